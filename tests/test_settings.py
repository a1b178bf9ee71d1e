"""Errors in settings and tables files name file, line, field and problem."""

import dataclasses
import pathlib
import subprocess
import sys

import pytest

from wigeonspool.model import declarations
from wigeonspool.model import documents
from wigeonspool.model import errors
from wigeonspool.model import options

ROOT = pathlib.Path(__file__).parent.parent
CASES = pathlib.Path(__file__).parent / "cases"


@dataclasses.dataclass(frozen=True)
class Case:
    """One case in a text file of cases.

    Attributes:
        title: Name of the case.
        expected: Expected error message, with FILE for the name of the file.
        content: Content of the file to read.
    """

    title: str
    expected: str
    content: bytes


def read_cases(name: str) -> list[Case]:
    text = (CASES / name).read_text(encoding="utf-8")
    cases = []
    for block in text.split("\n=== ")[1:]:
        title, _, rest = block.partition("\n")
        expected, _, content = rest.partition("\n---\n")
        raw = content.encode()
        if content.startswith("bytes: "):
            raw = bytes.fromhex(content.removeprefix("bytes: ").strip())
        cases.append(Case(title, expected, raw))
    return cases


TABLES = read_cases("tables.txt")
SETTINGS = read_cases("settings.txt")


@pytest.fixture
def path(tmp_path: pathlib.Path) -> pathlib.Path:
    return tmp_path / "file.yaml"


class TestTables:
    @pytest.mark.parametrize("case", TABLES, ids=lambda case: case.title)
    def test_error_names_line_field_and_problem(
        self, case: Case, path: pathlib.Path
    ) -> None:
        path.write_bytes(case.content)
        with pytest.raises(errors.SettingsError) as caught:
            declarations.read_tables([path])
        assert str(caught.value) == case.expected.replace("FILE", str(path))

    def test_error_for_duplicate_pool_names_the_other_file(
        self, tmp_path: pathlib.Path
    ) -> None:
        paths = [tmp_path / "a.yaml", tmp_path / "b.yaml"]
        for path in paths:
            path.write_text("pools:\n- {name: q, slots: 1, targets: []}\n")
        with pytest.raises(errors.SettingsError) as caught:
            declarations.read_tables(paths)
        assert str(caught.value) == (
            f"{paths[1]}:2: pools.0.name: 'q' is declared twice,"
            f" first in {paths[0]}:2"
        )

    def test_nested_aliases_are_rejected(self, path: pathlib.Path) -> None:
        lines = ["a0: &a0 [x, x, x, x, x, x, x, x, x, x]"]
        for i in range(1, 10):
            aliases = ", ".join([f"*a{i - 1}"] * 10)
            lines.append(f"a{i}: &a{i} [{aliases}]")
        path.write_text("\n".join(lines))
        with pytest.raises(errors.SettingsError, match="more than 1000000"):
            documents.read_document(path)

    def test_too_deeply_nested_file_is_rejected(
        self, path: pathlib.Path
    ) -> None:
        path.write_text("pools: " + "[" * 5000)
        with pytest.raises(errors.SettingsError, match="nested too deeply"):
            documents.read_document(path)

    def test_missing_file_is_an_error(self, path: pathlib.Path) -> None:
        with pytest.raises(errors.SettingsError, match="file: No such file"):
            documents.read_document(path)


class TestSettings:
    @pytest.mark.parametrize("case", SETTINGS, ids=lambda case: case.title)
    def test_error_names_line_field_and_problem(
        self, case: Case, path: pathlib.Path
    ) -> None:
        path.write_bytes(case.content)
        with pytest.raises(errors.SettingsError) as caught:
            options.read_options(path)
        assert str(caught.value) == case.expected.replace("FILE", str(path))

    @pytest.mark.parametrize(
        "file", sorted(ROOT.glob("examples/**/vm-*.yaml")), ids=str
    )
    def test_examples_are_valid(self, file: pathlib.Path) -> None:
        assert options.read_options(file).vm


class TestCommands:
    @pytest.mark.parametrize(
        "command",
        [
            ["wigeonspool.agent.main", "--settings", "FILE"],
            ["wigeonspool.gateway.main", "--settings", "FILE"],
            ["wigeonspool.operator.ctl", "validate", "FILE"],
            ["wigeonspool.operator.ctl", "apply", "FILE"],
            ["wigeonspool.operator.ctl", "diff", "FILE"],
        ],
        ids=lambda command: " ".join(command[:2]),
    )
    def test_invalid_file_gives_exit_code_2(
        self, path: pathlib.Path, command: list[str]
    ) -> None:
        path.write_text("vm: 1\nroutes: 2\n")
        arguments = [str(path) if a == "FILE" else a for a in command[1:]]
        code = f"import {command[0]} as m; m.main()"
        completed = subprocess.run(
            [sys.executable, "-c", code, *arguments],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert completed.returncode == 2
        assert completed.stderr.startswith(f"{path}:")
        assert "Traceback" not in completed.stderr
