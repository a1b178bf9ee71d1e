"""Targets that state how long they want no requests, in virtual time."""

from collections.abc import Iterable
import functools
import json
import math
import pathlib
from typing import Any

import pytest

from tests import test_vm_crest
from wigeonspool.load import emulated_targets
from wigeonspool.load import emulation
from wigeonspool.load import emulation_experiment
from wigeonspool.load import main
from wigeonspool.model import errors
from wigeonspool.vm import attempts
from wigeonspool.vm import target_notices

FILE = (
    pathlib.Path(__file__).parent.parent
    / "experiments"
    / "targets-that-decline.yaml"
)
# An attempt that is on its way when its target declines arrives within this
# time; after it, two more may reach the target until the end that it stated.
SLACK_SECONDS = 0.5
MAX_ARRIVALS = 2
WINDOW_SECONDS = 0.5
SEED = 1
# The slowdowns of the targets differ between two runs with the same seed, so
# shares are compared over many seeds.
SEEDS = range(1, 17)


@functools.cache
def run_with_notices(seed: int) -> emulation.Emulation:
    """Runs the experiment, once for all tests."""
    experiment = emulation_experiment.read_experiment(FILE)
    return emulation_experiment.run_experiment(
        experiment.model_copy(update={"seed": seed})
    )


@functools.cache
def run_without_notices(seed: int) -> emulation.Emulation:
    """Runs the same load on VMs that ignore what targets state."""

    def ignore(*arguments: Any) -> None:
        del arguments

    def is_declined(*arguments: Any) -> bool:
        del arguments
        return False

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(target_notices.NoticeRecorder, "record", ignore)
        patch.setattr(attempts, "is_declined", is_declined)
        return run_with_notices.__wrapped__(seed)


def find_settings() -> emulated_targets.EmulationSettings:
    """Returns the settings of the experiment."""
    return emulation_experiment.read_experiment(FILE).settings


def find_decline_end() -> float:
    """Returns when the targets begin to accept requests again."""
    settings = find_settings()
    return settings.decline_at + settings.decline_seconds


def count_most_in_window(times: Iterable[float], seconds: float) -> int:
    """Returns the largest number of times within any window of a length."""
    ordered = sorted(times)
    begin = most = 0
    for end, at in enumerate(ordered):
        while ordered[begin] <= at - seconds:
            begin += 1
        most = max(most, end - begin + 1)
    return most


def count_most_after_decline(
    arrivals: list[emulated_targets.Arrival], retry_after: float
) -> int:
    """Returns the most arrivals of one VM while a target wants none.

    Counts requests and health checks from `SLACK_SECONDS` after the target
    declined a request of that VM until the end of the time that it stated.
    """
    most = 0
    for declined in arrivals:
        if declined.declined:
            begin = declined.at + SLACK_SECONDS
            end = declined.at + retry_after
            during = [
                arrival
                for arrival in arrivals
                if arrival.vm == declined.vm and begin < arrival.at < end
            ]
            most = max(most, len(during))
    return most


def list_declining_targets(
    run: emulation.Emulation,
) -> list[emulated_targets.EmulatedTarget]:
    """Returns the targets that declined a request."""
    return [
        target
        for target in run.targets.values()
        if any(arrival.declined for arrival in target.arrivals)
    ]


def compute_share_in_time(runs: Iterable[emulation.Emulation]) -> float:
    """Returns the share served in time from the begin of the decline."""
    begin = find_settings().decline_at
    sent = [
        request
        for run in runs
        for request in run.ended
        if request.sent_at >= begin
    ]
    return sum(request.in_time for request in sent) / len(sent)


class TestTargetsThatDecline:
    """A third of the targets decline requests for ten seconds."""

    # Guards against requests and health checks to targets that want none.
    def test_no_vm_sends_to_a_target_that_wants_no_requests(self) -> None:
        settings = find_settings()
        declining = list_declining_targets(run_with_notices(SEED))
        assert len(declining) == settings.targets / 3
        most = max(
            count_most_after_decline(target.arrivals, settings.retry_after)
            for target in declining
        )
        assert most <= MAX_ARRIVALS

    # Guards against a policy that loses requests by keeping away from targets.
    def test_as_many_requests_are_served_in_time_as_without_notices(
        self,
    ) -> None:
        share = compute_share_in_time(map(run_with_notices, SEEDS))
        share_before = compute_share_in_time(map(run_without_notices, SEEDS))
        assert share >= share_before

    # Guards against a second wave of requests that are late or refused when the
    # targets accept requests again.
    def test_return_makes_no_second_wave(self) -> None:
        end = find_decline_end()
        capacity = test_vm_crest.compute_capacity(find_settings())
        missed = [
            request.sent_at
            for request in run_with_notices(SEED).ended
            if request.sent_at >= end and not request.in_time
        ]
        # Demand is below the capacity, so all requests could be served.
        bound = (1 - test_vm_crest.MIN_PAYOFF) * capacity * WINDOW_SECONDS
        assert count_most_in_window(missed, WINDOW_SECONDS) <= bound

    # Guards against VMs that all return to the same idle target at once.
    def test_no_returning_target_gets_more_than_it_can_run(self) -> None:
        settings = find_settings()
        per_target = test_vm_crest.compute_capacity(settings) / settings.targets
        bound = math.ceil(per_target * WINDOW_SECONDS) + settings.slots
        end = find_decline_end()
        most = max(
            count_most_in_window(
                (
                    arrival.at
                    for arrival in target.arrivals
                    if arrival.at >= end and not arrival.health_check
                ),
                WINDOW_SECONDS,
            )
            for target in list_declining_targets(run_with_notices(SEED))
        )
        assert most <= bound

    # Guards against targets that get no requests after they declined.
    def test_targets_get_requests_again(self) -> None:
        settings = find_settings()
        begin = find_decline_end() + settings.retry_after
        for target in list_declining_targets(run_with_notices(SEED)):
            assert any(
                arrival.at >= begin and not arrival.health_check
                for arrival in target.arrivals
            )

    # Guards against checks above that a fault could not fail.
    def test_vms_that_ignore_notices_break_the_bound(self) -> None:
        retry_after = find_settings().retry_after
        most = max(
            count_most_after_decline(target.arrivals, retry_after)
            for target in run_without_notices(SEED).targets.values()
        )
        assert most > MAX_ARRIVALS


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
