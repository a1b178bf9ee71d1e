"""The timeline over logs that entry VMs wrote."""

import json
import pathlib
from typing import Any

import pytest

from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.operator import logfiles
from wigeonspool.operator import timeline


def write_log(path: pathlib.Path, *lines: dict[str, Any] | str) -> None:
    texts = [x if isinstance(x, str) else json.dumps(x) for x in lines]
    path.write_text("\n".join(texts) + "\n", encoding="utf-8")


@pytest.fixture
def log_paths(tmp_path: pathlib.Path) -> list[pathlib.Path]:
    """Logs of two VMs, the second of which received a retry of request a."""
    first, second = tmp_path / "vm-1.log", tmp_path / "vm-2.log"
    step = [3, "sent", "t-1", 1.06]
    write_log(
        first,
        {
            "time": "T1",
            "vm": "vm-1",
            "part": "knowledge",
            "event": "changed",
            "key": "servers/t-1",
            "revision": 7,
        },
        {
            "time": "T3",
            "vm": "vm-1",
            "part": "requests",
            "event": "ended",
            "request": "a",
            "outcome": "target-refused",
            "steps": [step],
        },
        "no record",
    )
    write_log(
        second,
        "  12.5 vm-2 "
        + json.dumps({"time": "T2", "vm": "vm-2", "part": "requests",
                      "event": "refused", "request": "a"}),
        {"time": "T4", "vm": "vm-2", "part": "requests", "event": "ended",
         "request": "b", "outcome": "answered", "steps": []},
    )  # fmt: skip
    return [second, first]


class TestReading:
    @pytest.mark.parametrize(
        ("event_filter", "times"),
        [
            (events.Filter("", "", "", ()), ["T1", "T2", "T3", "T4"]),
            (events.Filter("a", "", "", ()), ["T2", "T3"]),
            (events.Filter("", "t-1", "", ()), ["T1", "T3"]),
            (events.Filter("", "", "vm-2", ()), ["T2", "T4"]),
            (events.Filter("c", "", "", ()), []),
        ],
    )
    def test_matching_lines_of_all_logs_are_in_order_of_time(
        self,
        log_paths: list[pathlib.Path],
        event_filter: events.Filter,
        times: list[str],
    ) -> None:
        log_lines = logfiles.read_logs(log_paths, event_filter)
        assert [line["time"] for line in log_lines.lines] == times
        assert (log_lines.lines_read, log_lines.unreadable) == (5, 1)

    def test_missing_log_is_reported(self, tmp_path: pathlib.Path) -> None:
        with pytest.raises(errors.SettingsError, match=r"gone\.log"):
            logfiles.read_logs(
                [tmp_path / "gone.log"], events.Filter("", "", "", ())
            )


class TestCommand:
    def test_lines_of_one_request_are_shown(
        self,
        log_paths: list[pathlib.Path],
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        timeline.show(log=log_paths, request="a")
        shown = capsys.readouterr().out.splitlines()
        assert shown[0] == "T2 vm-2 requests refused request=a"
        assert shown[1].startswith("T3 vm-1 requests ended request=a")
        assert '[[3,"sent","t-1",1.06]]' in shown[1]
        assert shown[2] == "# 1 of 5 lines hold no record"

    def test_unknown_request_exits_with_a_message(
        self,
        log_paths: list[pathlib.Path],
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        with pytest.raises(SystemExit):
            timeline.show(log=log_paths, request="c")
        assert "no line tells of it" in capsys.readouterr().err
