"""Targets that state how long they want no requests, in virtual time."""

import json
import pathlib

import pytest

from wigeonspool.load import emulation_experiment
from wigeonspool.load import main
from wigeonspool.model import errors

FILE = (
    pathlib.Path(__file__).parent.parent
    / "experiments"
    / "targets-that-decline.yaml"
)


class TestExperimentFile:
    def test_file_is_valid(self) -> None:
        experiment = emulation_experiment.read_experiment(FILE)
        assert experiment.name == FILE.stem
        settings = experiment.settings
        declining = round(settings.decline_share * settings.targets)
        assert declining == settings.targets / 3
        assert settings.decline_seconds == 10
        assert settings.retry_after == 2

    @pytest.mark.parametrize(
        ("old", "new", "field"),
        [
            ("name: ", "nothing: 1\nname: ", "nothing"),
            ("  slots: 4", "  nothing: 4", "settings.nothing"),
            ("slots: 4", "slots: many", "settings.slots"),
            ("slots: 4", "slots: 0", "settings"),
            ("work: 0.1", "work: .nan", "settings"),
            ("retry_after: 2", "retry_after: -2", "settings"),
            ("decline_share: 0.334", "decline_share: 1.5", "settings"),
            ("seconds: 4}", "seconds: 0}", "steps.0.seconds"),
            ("seconds: 4}", "seconds: .inf}", "steps.0.seconds"),
        ],
    )
    def test_invalid_file_is_rejected_with_its_field(
        self, old: str, new: str, field: str, tmp_path: pathlib.Path
    ) -> None:
        text = FILE.read_text(encoding="utf-8")
        assert old in text
        path = tmp_path / "experiment.yaml"
        path.write_text(text.replace(old, new, 1), encoding="utf-8")
        with pytest.raises(errors.SettingsError) as error_info:
            emulation_experiment.read_experiment(path)
        assert error_info.value.field == field
        assert error_info.value.file == str(path)

    @pytest.mark.parametrize("steps", ["", "steps: []"])
    def test_file_without_load_steps_is_rejected(
        self, steps: str, tmp_path: pathlib.Path
    ) -> None:
        text = FILE.read_text(encoding="utf-8")
        path = tmp_path / "experiment.yaml"
        path.write_text(text.partition("steps:")[0] + steps, encoding="utf-8")
        with pytest.raises(errors.SettingsError) as error_info:
            emulation_experiment.read_experiment(path)
        assert error_info.value.field == "steps"

    def test_missing_file_is_rejected(self, tmp_path: pathlib.Path) -> None:
        with pytest.raises(errors.SettingsError):
            emulation_experiment.read_experiment(tmp_path / "none.yaml")


class TestCommand:
    def test_command_line_replaces_parts_of_the_file(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        set_ = ["decline_at=0", "decline_seconds=1", "decline_share=1"]
        main.emulate(["30x1"], file=FILE, seed=3, set_=set_, json_=True)
        (row,) = json.loads(capsys.readouterr().out)
        assert 0 < row["refused"] <= row["offered"] < 60

    def test_no_load_steps_exits_with_an_error(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        with pytest.raises(SystemExit) as exit_info:
            main.emulate()
        assert exit_info.value.code == main.EXIT_INVALID_SETTINGS
        assert "command line: step" in capsys.readouterr().err
