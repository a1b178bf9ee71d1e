"""Experiments in virtual time: the harness, and what the policy reaches."""

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
    """Returns the figures of an experiment's policies, by policy."""
    path = FOLDER / f"{name}.yaml"
    experiment = experiments.read_experiment(path, fields)
    figures: dict[str, Any] = decide.run_experiment(experiment)["policies"]
    return figures


# test_drive.py checks the file of the real path.
VIRTUAL = sorted(set(FOLDER.glob("*.yaml")) - {FOLDER / "overhead.yaml"})


class TestExperimentFiles:
    @pytest.mark.parametrize("path", VIRTUAL, ids=lambda path: path.stem)
    def test_every_file_is_valid(self, path: pathlib.Path) -> None:
        assert experiments.read_experiment(path).name == path.stem

    def test_any_field_can_be_set(self) -> None:
        path = FOLDER / "head-of-line.yaml"
        fields = ["works.1.service_ms=2000", "targets.slots=8", "load=0.5"]
        experiment = experiments.read_experiment(path, fields)
        assert experiment.works[1].service_ms == 2000
        assert (experiment.targets.slots, experiment.load) == (8, 0.5)

    @pytest.mark.parametrize(
        "field", ["nothing=1", "works.9.share=1", "load", "load=minus"]
    )
    def test_a_wrong_field_is_refused(self, field: str) -> None:
        path = FOLDER / "head-of-line.yaml"
        with pytest.raises(errors.SettingsError):
            experiments.read_experiment(path, [field])


class TestHarness:
    def test_same_seed_gives_the_same_figures(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = FOLDER / "head-of-line.yaml"
        fields = ["seconds=1", "warmup_seconds=0"]
        seen = []
        for seed in (7, 7, 8):
            main.decide(path, seed=seed, set_=fields, json_=True)
            seen.append(json.loads(capsys.readouterr().out)["policies"])
        assert str(seen[0]) == str(seen[1])
        assert str(seen[0]) != str(seen[2])

    def test_every_request_ends_once(self) -> None:
        fields = ["seconds=6", "policies=[policy, two-choices]"]
        for figures in run("crest", *fields).values():
            row = figures["kinds"]["short"]
            ends = ("answered_in_time", "late", "not_run", "unknown", "failed")
            assert row["offered"] == sum(row[end] for end in ends)
            assert figures["refused_but_ran"] == 0

    def test_limit_is_service_time_and_links(self) -> None:
        fields = ["seconds=4", "policies=[one-queue]", "load=0.1"]
        fields += ["works.1.share=0.001", "works.0.spread=fixed"]
        figures = run("head-of-line", *fields)
        for name in ("limit", "one-queue"):
            p50 = figures[name]["kinds"]["short"]["p50_ms"]
            assert p50 == pytest.approx(3 + 5 + 3, rel=0.01)


class TestHeadOfLine:
    """Short work beside long work, over few gateways."""

    @pytest.mark.parametrize(
        ("name", "seconds", "to_limit"),
        [("head-of-line", 30, 1.10), ("head-of-line-5", 15, 1.5)],
    )
    def test_short_work_stays_near_its_limit(
        self, name: str, seconds: int, to_limit: float
    ) -> None:
        fields = [f"seconds={seconds}", "policies=[policy, two-choices]"]
        figures = run(name, *fields)["policy"]["kinds"]
        assert figures["short"]["p99_to_limit"] <= to_limit
        assert figures["short"]["p99_to_two-choices"] <= 0.4
        assert figures["long"]["p50_to_limit"] <= 1.2


class TestCrest:
    """Three times the demand that the pool can serve."""

    def test_what_can_be_served_is_served_in_time(self) -> None:
        fields = ["seconds=9", "policies=[policy]"]
        figures = run("crest", *fields)["policy"]
        crest = figures["windows"]["crest-1"]
        after = figures["windows"]["after-1"]
        capacity = 2 * 22 * 4 / 0.020
        assert crest["delivered"] >= 0.95 * capacity
        assert after["answered_in_time"] >= 0.995 * after["offered"]
        assert crest["refusal_max_ms"] <= 20
        assert figures["kinds"]["short"]["late"] == 0
        assert figures["refused_but_ran"] == 0

    def test_less_important_work_is_refused_first(self) -> None:
        low = "{name: low, share: 1, service_ms: 20, deadline_ms: 250"
        works = "[{name: high, share: 1, service_ms: 20, deadline_ms: 250,"
        works += f" priority: 0}}, {low}, priority: 5, long: true}}]"
        fields = ["seconds=9", "policies=[policy]", f"works={works}"]
        kinds = run("crest", *fields, "steps.1.load=1.6")["policy"]["kinds"]
        assert kinds["short"]["not_run"] < 0.1 * kinds["long"]["not_run"]


class TestFastFailure:
    """A target that fails everything within 0.2 ms."""

    def test_failing_target_gets_next_to_nothing(self) -> None:
        fields = ["seconds=9", "policies=[policy, two-choices]"]
        figures = run("fast-failure", *fields)
        failing = figures["policy"]["windows"]["failing"]
        assert failing["attempts"] >= failing["offered"] > 0
        assert 0 < failing["faulty_share"] <= 0.01
        assert failing["failed"] == 0
        # Of 14 targets, one with few in flight attracts more than its part.
        baseline = figures["two-choices"]["windows"]["failing"]
        assert baseline["faulty_share"] > 1 / 14


class TestSilent:
    """A fifth of the open connections go silent for good, three times."""

    FIELDS = ("seconds=8", "policies=[policy]", "warmup_seconds=0")

    def test_silent_connections_are_found_and_reads_answered(self) -> None:
        figures = run("silent", *self.FIELDS)["policy"]
        reads = figures["kinds"]["short"]
        assert figures["suspected"] > 0
        assert 0 < figures["silence_found_ms"] <= 1000
        assert reads["answered_in_time"] == reads["offered"]
        assert figures["runs_twice"] == 0
        assert figures["refused_but_ran"] == 0

    def test_it_is_the_detector_of_real_gateways_that_finds_them(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        refuse = "has_token", lambda _: False
        monkeypatch.setattr(connection_health.UnresponsiveDetector, *refuse)
        figures = run("silent", *self.FIELDS)["policy"]
        reads = figures["kinds"]["short"]
        assert figures["suspected"] == 0
        assert reads["answered_in_time"] < reads["offered"]
