"""The pages and the systemd units agree with the code."""

from collections.abc import Iterator
import configparser
import inspect
import pathlib
import re
from typing import Any

import pydantic
import pytest

from wigeonspool.model import messages
from wigeonspool.model import options

ROOT = pathlib.Path(__file__).parent.parent
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
ANCHOR = re.compile(r"\]\(#([^)]+)\)")
ROW = re.compile(r"^\| `([\w.]+)` \| ([^|]+) \| ([^|]+) \| (.*) \|$", re.M)
UNITS = {"seconds": "s", "bytes": "bytes", "url": "URL"}


def read_descriptions(model: type[pydantic.BaseModel]) -> dict[str, str]:
    """Returns the description of each field in the doc comment of a model."""
    section = inspect.cleandoc(model.__doc__ or "").partition("Attributes:")[2]
    descriptions: dict[str, str] = {}
    name = ""
    for line in section.splitlines():
        match = re.match(r"    (\w+): (.*)", line)
        if match:
            name = match[1]
            descriptions[name] = match[2]
        elif line.startswith("        "):
            descriptions[name] += f" {line.strip()}"
    return descriptions


def iterate_settings(
    model: type[pydantic.BaseModel], prefix: str = ""
) -> Iterator[tuple[str, Any, str]]:
    """Yields the path, default and description of each setting."""
    descriptions = read_descriptions(model)
    for name, field in model.model_fields.items():
        kind = field.annotation
        if isinstance(kind, type) and issubclass(kind, options.Section):
            yield from iterate_settings(kind, f"{prefix}{name}.")
            continue
        default = "required"
        if isinstance(field.default, list):
            default = f"`[{', '.join(field.default)}]`"
        elif not field.is_required():
            default = f"`{field.default}`"
        yield f"{prefix}{name}", default, descriptions[name]


class TestSettingsTable:
    def test_table_matches_the_settings(self) -> None:
        page = (ROOT / "docs" / "OPERATING.md").read_text(encoding="utf-8")
        rows = {p: (d, text) for p, _, d, text in ROW.findall(page)}
        expected = {p: (d, t) for p, d, t in iterate_settings(options.Options)}
        assert rows == expected

    def test_units_match_the_names_of_settings(self) -> None:
        page = (ROOT / "docs" / "OPERATING.md").read_text(encoding="utf-8")
        for path, unit, _, _ in ROW.findall(page):
            suffix = re.split(r"[._]", path)[-1]
            assert unit == UNITS.get(suffix, unit), path
            assert (unit == "s") == (suffix == "seconds"), path


class TestLinks:
    @pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
    def test_links_refer_to_existing_files_and_headings(
        self, page: pathlib.Path
    ) -> None:
        text = page.read_text(encoding="utf-8")
        for target in LINK.findall(text):
            assert (page.parent / target).exists(), target
        headings = {
            re.sub(r"[^\w -]", "", line.lstrip("# ").lower()).replace(" ", "-")
            for line in text.splitlines()
            if line.startswith("#")
        }
        assert set(ANCHOR.findall(text)) <= headings


class TestArchitecture:
    PAGE = (ROOT / "docs" / "ARCHITECTURE.md").read_text(encoding="utf-8")

    def test_every_message_kind_is_listed(self) -> None:
        rows = [
            line for line in self.PAGE.splitlines() if line.startswith("| `")
        ]
        listed = {name for row in rows for name in re.findall(r"`(\w+)`", row)}
        assert set(messages.MESSAGE_TYPES) <= listed

    def test_mentioned_files_exist(self) -> None:
        for name in re.findall(r"`(\w+/\w+\.py)`", self.PAGE):
            assert (ROOT / "wigeonspool" / name).exists(), name


class TestSystemdUnits:
    def read_unit(self, name: str) -> configparser.ConfigParser:
        unit = configparser.ConfigParser(strict=False, interpolation=None)
        unit.read(ROOT / "examples" / "systemd" / name)
        return unit

    def test_stop_timeout_is_longer_than_drain_seconds(self) -> None:
        unit = self.read_unit("wigeonspool-gateway@.service")
        drain_seconds = options.GatewayOptions().drain_seconds
        assert float(unit["Service"]["TimeoutStopSec"]) > drain_seconds

    @pytest.mark.parametrize(
        "name", ["wigeonspool-agent.service", "wigeonspool-gateway@.service"]
    )
    def test_service_is_not_restarted_after_invalid_settings(
        self, name: str
    ) -> None:
        service = self.read_unit(name)["Service"]
        assert service["RestartPreventExitStatus"] == "2"
        assert service["KillSignal"] == "SIGTERM"
