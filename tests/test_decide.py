"""Experiments in virtual time: the simulation and the policy's results."""

import json
import pathlib
from typing import Any

import pytest

from wigeonspool.gateway import connection_health
from wigeonspool.load import decide
from wigeonspool.load import experiment as experiments
from wigeonspool.load import main
from wigeonspool.model import errors

FOLDER = pathlib.Path(__file__).parent.parent / "experiments"


def run(name: str, *fields: str) -> dict[str, Any]:
    """Runs an experiment and returns its results by policy.

    Args:
        name: Name of the experiment.
        fields: field=value pairs that replace fields of its file.
    """
    path = FOLDER / f"{name}.yaml"
    experiment = experiments.read_experiment(path, fields)
    results: dict[str, Any] = decide.run_experiment(experiment)["policies"]
    return results


# overhead.yaml does not run in virtual time; test_drive.py checks it.
# targets-that-decline.yaml is an emulation; test_vm_declining_targets.py checks
# it in the same way.
VIRTUAL_TIME_FILES = sorted(
    set(FOLDER.glob("*.yaml"))
    - {FOLDER / "overhead.yaml", FOLDER / "targets-that-decline.yaml"}
)


class TestExperimentFiles:
    @pytest.mark.parametrize(
        "path", VIRTUAL_TIME_FILES, ids=lambda path: path.stem
    )
    def test_every_file_is_valid(self, path: pathlib.Path) -> None:
        assert experiments.read_experiment(path).name == path.stem

    def test_assignments_replace_fields(self) -> None:
        path = FOLDER / "head-of-line.yaml"
        fields = ["works.1.service_ms=2000", "targets.slots=8", "load=0.5"]
        experiment = experiments.read_experiment(path, fields)
        assert experiment.works[1].service_ms == 2000
        assert (experiment.targets.slots, experiment.load) == (8, 0.5)

    @pytest.mark.parametrize(
        "field", ["nothing=1", "works.9.share=1", "load", "load=minus"]
    )
    def test_invalid_assignment_is_rejected(self, field: str) -> None:
        path = FOLDER / "head-of-line.yaml"
        with pytest.raises(errors.SettingsError):
            experiments.read_experiment(path, [field])


class TestSimulation:
    def test_same_seed_gives_the_same_results(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = FOLDER / "head-of-line.yaml"
        fields = ["seconds=1", "warmup_seconds=0"]
        results = []
        for seed in (7, 7, 8):
            main.decide(path, seed=seed, set_=fields, json_=True)
            results.append(json.loads(capsys.readouterr().out)["policies"])
        assert str(results[0]) == str(results[1])
        assert str(results[0]) != str(results[2])

    def test_every_request_ends_once(self) -> None:
        fields = ["seconds=6", "policies=[policy, two-choices]"]
        for results in run("crest", *fields).values():
            row = results["kinds"]["short"]
            ends = ("answered_in_time", "late", "not_run", "unknown", "failed")
            assert row["offered"] == sum(row[end] for end in ends)
            assert results["refused_but_ran"] == 0

    def test_limit_is_service_time_plus_link_delays(self) -> None:
        fields = ["seconds=4", "policies=[one-queue]", "load=0.1"]
        fields += ["works.1.share=0.001", "works.0.spread=fixed"]
        results = run("head-of-line", *fields)
        for name in ("limit", "one-queue"):
            p50 = results[name]["kinds"]["short"]["p50_ms"]
            assert p50 == pytest.approx(3 + 5 + 3, rel=0.01)


class TestHeadOfLine:
    """Short and long requests share targets, over few gateways."""

    @pytest.mark.parametrize(
        ("name", "seconds", "to_limit"),
        [("head-of-line", 30, 1.10), ("head-of-line-5", 15, 1.5)],
    )
    def test_short_requests_stay_near_the_limit(
        self, name: str, seconds: int, to_limit: float
    ) -> None:
        fields = [f"seconds={seconds}", "policies=[policy, two-choices]"]
        results = run(name, *fields)["policy"]["kinds"]
        assert results["short"]["p99_to_limit"] <= to_limit
        assert results["short"]["p99_to_two-choices"] <= 0.4
        assert results["long"]["p50_to_limit"] <= 1.2


class TestCrest:
    """Demand is three times the capacity of the pool."""

    def test_what_can_be_served_is_served_in_time(self) -> None:
        fields = ["seconds=9", "policies=[policy]"]
        results = run("crest", *fields)["policy"]
        overload = results["windows"]["crest-1"]
        after = results["windows"]["after-1"]
        capacity = 2 * 22 * 4 / 0.020
        assert overload["delivered"] >= 0.95 * capacity
        assert after["answered_in_time"] >= 0.995 * after["offered"]
        assert overload["refusal_max_ms"] <= 20
        assert results["kinds"]["short"]["late"] == 0
        assert results["refused_but_ran"] == 0

    def test_low_priority_is_refused_first(self) -> None:
        low = "{name: low, share: 1, service_ms: 20, deadline_ms: 250"
        works = "[{name: high, share: 1, service_ms: 20, deadline_ms: 250,"
        works += f" priority: 0}}, {low}, priority: 5, long: true}}]"
        fields = ["seconds=9", "policies=[policy]", f"works={works}"]
        kinds = run("crest", *fields, "steps.1.load=1.6")["policy"]["kinds"]
        assert kinds["short"]["not_run"] < 0.1 * kinds["long"]["not_run"]


class TestFastFailure:
    """A target that fails everything within 0.2 ms."""

    def test_failing_target_gets_few_attempts(self) -> None:
        fields = ["seconds=9", "policies=[policy, two-choices]"]
        results = run("fast-failure", *fields)
        failing = results["policy"]["windows"]["failing"]
        assert failing["attempts"] >= failing["offered"] > 0
        assert 0 < failing["faulty_share"] <= 0.01
        assert failing["failed"] == 0
        # Few attempts are in flight at a target that fails fast, so two-choices
        # sends it more than its fair share of 1 in 14 attempts.
        baseline = results["two-choices"]["windows"]["failing"]
        assert baseline["faulty_share"] > 1 / 14


class TestUnresponsiveConnections:
    """Each of three faults makes a fifth of the open connections unresponsive.

    These connections do not recover.
    """

    FIELDS = ("seconds=8", "policies=[policy]", "warmup_seconds=0")

    def test_unresponsive_connections_are_detected_and_reads_served(
        self,
    ) -> None:
        results = run("silent", *self.FIELDS)["policy"]
        reads = results["kinds"]["short"]
        assert results["suspected"] > 0
        assert 0 < results["silence_found_ms"] <= 1000
        assert reads["answered_in_time"] == reads["offered"]
        assert results["runs_twice"] == 0
        assert results["refused_but_ran"] == 0

    def test_without_the_real_detector_some_reads_are_not_served(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        no_tokens = "has_token", lambda _: False
        monkeypatch.setattr(connection_health.UnresponsiveDetector, *no_tokens)
        results = run("silent", *self.FIELDS)["policy"]
        reads = results["kinds"]["short"]
        assert results["suspected"] == 0
        assert reads["answered_in_time"] < reads["offered"]
