"""Runs the commands of docs/CALLERS.md and checks its table of reasons."""

import asyncio
import pathlib
import re

import pytest

from tests import fleet as fleets
from wigeonspool.gateway import responses
from wigeonspool.model import outcomes

pytestmark = pytest.mark.processes

PAGE = (pathlib.Path(__file__).parent.parent / "docs/CALLERS.md").read_text()
BLOCKS = re.findall(r"```sh\n(.*?)```\n```text\n(.*?)```", PAGE, re.DOTALL)
ROWS = dict(re.findall(r"^\| `([a-z-]+)` \| ([0-9, ]+) \|", PAGE, re.M))
ADDRESS = "127.0.0.1:22010"


def build_tables(target: str) -> dict[str, object]:
    targets = [{"address": target, "zone": "zone-0"}]
    pools = [
        {"name": name, "slots": 4, "targets": targets}
        for name in ("queue", "decision")
    ]
    read = {
        "name": "read",
        "method": "GET",
        "path_prefix": "/queue",
        "pool": "queue",
        "idempotent": True,
    }
    write = {
        "name": "write",
        "method": "POST",
        "path_prefix": "/decision",
        "pool": "decision",
        "idempotent": False,
    }
    return {"pools": pools, "routes": [read, write]}


class TestCommands:
    async def test_commands_print_what_the_page_shows(
        self, fleet: fleets.Fleet, tmp_path: pathlib.Path
    ) -> None:
        target = await fleet.start_target()
        await fleet.apply(build_tables(target.address))
        await fleets.wait_for(
            lambda: all(
                len(g._view.gateways) == 2 for g in fleet.gateways.values()
            )
        )
        assert len(BLOCKS) == 4
        for command, shown in BLOCKS:
            process = await asyncio.create_subprocess_exec(
                "bash",
                "-euc",
                command.replace(ADDRESS, fleet.addresses["vm-0"]),
                stdout=asyncio.subprocess.PIPE,
                env={"PATH": "/usr/bin:/bin", "TMPDIR": str(tmp_path)},
            )
            printed, _ = await process.communicate()
            assert process.returncode == 0
            self.check_shown(shown, printed.decode())
        assert [r.path for r in target.runs if r.key] == ["/decision/ban"]

    def check_shown(self, shown: str, printed: str) -> None:
        """Checks that the lines of the page are printed, in this order."""
        lines = [re.escape(line) for line in shown.strip().split("\n")]
        pattern = ".*?".join(lines).replace(re.escape("..."), "[^}]*?")
        assert re.search(pattern, printed, re.DOTALL), printed


class TestReasons:
    @pytest.mark.parametrize("reason", outcomes.Reason)
    def test_page_shows_the_statuses_of_each_reason(
        self, reason: outcomes.Reason
    ) -> None:
        statuses = [
            responses.build_problem(build_failure(reason), "").status
            for build_failure in (
                outcomes.build_refusal,
                outcomes.build_unknown_outcome,
            )
        ]
        shown = [int(status) for status in ROWS[reason].split(", ")]
        assert list(dict.fromkeys(statuses)) == shown

    def test_page_shows_no_unknown_reason(self) -> None:
        assert ROWS.keys() == {str(reason) for reason in outcomes.Reason}
