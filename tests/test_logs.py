import json
import logging

import loguru
import pytest

from wigeonspool import logs
from wigeonspool.model import options


@pytest.fixture(autouse=True)
def restore_logs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Restores the root logger after each test."""
    root = logging.getLogger()
    monkeypatch.setattr(root, "handlers", list(root.handlers))
    monkeypatch.setattr(root, "level", root.level)


def configure(log_format: str, level: str = "INFO") -> None:
    settings = options.LogOptions.model_validate(
        {"format": log_format, "level": level}
    )
    logs.configure_logs("agent vm-1", settings)


class TestText:
    def test_line_has_the_prefix_of_its_component(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        configure("text")
        loguru.logger.info("listening on {}", "10.0.0.1:7000")
        line = capsys.readouterr().err
        assert line.endswith("INFO agent vm-1: listening on 10.0.0.1:7000\n")

    def test_library_records_go_to_the_same_log(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        configure("text")
        logging.getLogger("mode.services").error("task %s crashed {x}", "beat")
        line = capsys.readouterr().err
        assert line.endswith(
            "ERROR agent vm-1: mode.services: task beat crashed {x}\n"
        )

    def test_library_info_is_logged_at_level_debug_only(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        configure("text")
        logging.getLogger("mode.services").info("starting")
        assert capsys.readouterr().err == ""
        configure("text", "DEBUG")
        logging.getLogger("mode.services").info("starting")
        assert "mode.services: starting" in capsys.readouterr().err

    def test_library_records_below_the_level_are_dropped(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        configure("text", "ERROR")
        logging.getLogger("asyncio").warning("slow")
        assert capsys.readouterr().err == ""


class TestJson:
    def test_each_record_is_one_line_of_json(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        configure("json")
        loguru.logger.warning("two\nlines of {}", "text")
        try:
            raise ValueError("broken")
        except ValueError:
            logging.getLogger("mode.services").exception("crashed")
        lines = capsys.readouterr().err.splitlines()
        first, second = (json.loads(line) for line in lines)
        assert first["part"] == "agent vm-1"
        assert first["message"] == "two\nlines of text"
        assert second["message"] == "mode.services: crashed"
        assert second["exception"] == "ValueError('broken')"
        assert "Traceback" in second["traceback"]
