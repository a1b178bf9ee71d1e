"""A short seeded soak of VM processes, and its checks on planted histories."""

import asyncio
import pathlib

import pytest

from tests.soak import fleet
from tests.soak import history as histories
from tests.soak import promises

SEED = 1
SECONDS = 40.0
VMS = 4


def build_attempt(method: str = "POST", **fields: object) -> histories.Attempt:
    """Returns an attempt to vm-1, answered by t-1 unless fields say else."""
    attempt = histories.Attempt(
        identity="a-1",
        vm="vm-1",
        method=method,
        path="/write/1",
        body=b"x",
        limit_seconds=2.0,
        reused=True,
        sent_at=100.0,
        ended_at=100.5,
        end=histories.End.ANSWERED,
        status=200,
        echoed="a-1",
        sealed=True,
        response=b"t-1",
    )
    for name, value in fields.items():
        setattr(attempt, name, value)
    return attempt


def build_history(
    attempt: histories.Attempt, *targets: str
) -> histories.History:
    """Returns a history of one attempt that ran at some targets."""
    history = histories.History(grace_seconds=4.0, calm_from=0.0)
    history.attempts[attempt.identity] = attempt
    history.runs[attempt.identity] = [
        histories.Run(target, attempt.method, attempt.path, attempt.body)
        for target in targets
    ]
    # Served requests, so that the fleet counts as recovered.
    for number in range(9):
        identity = f"calm-{number}"
        history.attempts[identity] = build_attempt(
            identity=identity, echoed=identity
        )
        history.runs[identity] = [
            histories.Run("t-1", "POST", "/write/1", b"x")
        ]
    return history


def find_names(history: histories.History) -> list[str]:
    """Returns the names of the broken promises."""
    return [line.split()[0] for line in promises.find_violations(history)]


def build_closed(**fields: object) -> histories.Attempt:
    """Returns an attempt whose connection ended without a response."""
    closed = {"end": histories.End.CLOSED, "status": 0, "echoed": ""}
    return build_attempt(
        **(closed | {"sealed": False, "response": b""} | fields)
    )


class TestAnswers:
    """Violations planted into what callers got and targets ran."""

    def test_complete_answer_breaks_no_promise(self) -> None:
        assert not find_names(build_history(build_attempt(), "t-1"))

    @pytest.mark.parametrize(
        "fields", [{"sealed": False}, {"echoed": "a-2"}, {"response": b"t-"}]
    )
    def test_answer_that_is_not_the_targets_is_found(
        self, fields: dict[str, object]
    ) -> None:
        history = build_history(build_attempt(**fields), "t-1")
        assert find_names(history) == ["wrong-response"]

    def test_changed_request_is_found(self) -> None:
        history = build_history(build_attempt(), "t-1")
        history.runs["a-1"][0].body = b"y"
        assert find_names(history) == ["changed-request"]

    def test_second_run_is_found(self) -> None:
        history = build_history(build_attempt(), "t-1", "t-2")
        assert find_names(history) == ["second-run"]

    def test_false_refusal_is_found(self) -> None:
        attempt = build_attempt(status=503, sealed=False, response=b"")
        assert find_names(build_history(attempt, "t-1")) == ["false-refusal"]
        assert not find_names(build_history(attempt))


class TestLostRequests:
    """Violations planted into requests that end without an answer."""

    def plant(
        self, history: histories.History, kind: str, subject: str, at: float
    ) -> None:
        history.disturbances.append(
            histories.Disturbance(
                kind, subject, kind in ("term", "hup"), at, at + 4.0
            )
        )

    @pytest.mark.parametrize("kind", ["term", "hup"])
    def test_request_cut_by_planned_work_is_found(self, kind: str) -> None:
        history = build_history(build_closed(), "t-1")
        self.plant(history, kind, "vm-1", at=99.9)
        assert find_names(history) == ["lost-request"]

    def test_cut_before_the_request_was_passed_on_is_found(self) -> None:
        history = build_history(build_closed())
        self.plant(history, "term", "vm-1", at=99.0)
        assert find_names(history) == ["lost-request"]

    def test_answer_in_place_of_a_target_at_work_is_found(self) -> None:
        attempt = build_attempt(status=502, sealed=False, response=b"")
        history = build_history(attempt, "t-1")
        self.plant(history, "term", "vm-1", at=99.9)
        assert find_names(history) == ["lost-request"]

    # Guards against a check that takes the time limit of a rule, which a
    # longer limit of the caller outlasts, for a request that a stop ended.
    @pytest.mark.parametrize(
        ("status", "seconds", "names"),
        [
            (504, 1.504, []),
            (504, 1.4, ["lost-request"]),
            (502, 1.504, ["lost-request"]),
        ],
    )
    def test_only_the_limit_of_the_rule_excuses_a_failure_at_a_stop(
        self, status: int, seconds: float, names: list[str]
    ) -> None:
        attempt = build_attempt(
            "GET",
            status=status,
            sealed=False,
            response=b"",
            ended_at=100.0 + seconds,
        )
        history = build_history(attempt, "t-1")
        self.plant(history, "term", "vm-1", at=99.9)
        assert find_names(history) == names

    def test_fault_of_the_vm_or_the_target_excuses_a_cut(self) -> None:
        for kind, subject in (("pause", "vm-1"), ("crash", "t-1")):
            history = build_history(build_closed(), "t-1")
            self.plant(history, "term", "vm-1", at=99.9)
            self.plant(history, kind, subject, at=99.0)
            assert not find_names(history)

    def test_end_of_the_grace_period_excuses_early_requests(self) -> None:
        attempt = build_closed(sent_at=101.0, ended_at=102.6)
        history = build_history(attempt, "t-1")
        self.plant(history, "term", "vm-1", at=99.2)
        assert not find_names(history)

    def test_more_than_three_cut_by_a_calm_vm_are_found(self) -> None:
        history = build_history(build_closed(), "t-1")
        for number in range(2, 5):
            identity = f"a-{number}"
            assert not find_names(history)
            history.attempts[identity] = build_closed(identity=identity)
            history.runs[identity] = [
                histories.Run("t-1", "POST", "/write/1", b"x")
            ]
        assert find_names(history) == ["lost-request"]


class TestPipelines:
    """Violations planted into what stands behind a close."""

    # Guards against a check that misses a second run of a request that its
    # caller was told was not read.
    def test_write_that_ran_behind_a_close_is_found(self) -> None:
        attempt = build_attempt(end=histories.End.UNREAD, status=0)
        history = build_history(attempt, "t-1")
        assert "ran-unread" in find_names(history)

    # Guards against a check that takes a request that was not sent to a target
    # for a lost one.
    def test_write_that_was_not_read_is_no_violation(self) -> None:
        attempt = build_attempt(end=histories.End.UNREAD, status=0)
        assert find_names(build_history(attempt)) == []

    # Guards against a check that misses reads which run for nobody.
    def test_read_that_ran_behind_a_close_at_a_stop_is_found(self) -> None:
        attempt = build_attempt("GET", end=histories.End.UNREAD, status=0)
        history = build_history(attempt, "t-1")
        history.disturbances.append(
            histories.Disturbance("term", "vm-1", True, 99.9)
        )
        assert "lost-request" in find_names(history)


class TestNotices:
    """Violations planted into what reaches targets that state something."""

    def plant(
        self, seconds: float | None, *times: float, refused: bool
    ) -> histories.History:
        """Returns a history in which attempts reach t-1 at some times."""
        history = build_history(build_attempt(), "t-1")
        history.notices.append(histories.Notice("t-1", 200.0, 210.0, seconds))
        for number, at in enumerate(times):
            identity = f"late-{number}"
            history.attempts[identity] = build_attempt(
                method="GET",
                identity=identity,
                echoed=identity,
                sent_at=at,
                ended_at=at + 0.1,
            )
            history.runs[identity] = [
                histories.Run("t-1", "GET", "/write/1", b"x")
            ]
            history.arrivals.append(
                histories.Arrival("t-1", at, identity, refused)
            )
        return history

    def test_request_to_a_target_that_leaves_is_found(self) -> None:
        history = self.plant(None, 201.0, 203.0, refused=False)
        assert not find_names(history)
        history = self.plant(None, 201.0, 203.2, refused=False)
        assert find_names(history) == ["sent-to-leaving"]

    def test_third_request_that_was_declined_is_found(self) -> None:
        times = (201.0, 201.1, 201.6, 201.7)
        assert not find_names(self.plant(1.0, *times, refused=True))
        history = self.plant(1.0, *times, 201.8, refused=True)
        assert find_names(history) == ["sent-to-declining"]


class TestRetries:
    """Violations planted into how often requests reach targets."""

    # With 10 requests of this kind, 62 extra arrivals are allowed in 10 s.
    @pytest.mark.parametrize(("extra", "is_broken"), [(62, False), (63, True)])
    def test_too_many_extra_attempts_are_found(
        self, extra: int, is_broken: bool
    ) -> None:
        history = build_history(build_attempt(), "t-1")
        assert len(history.attempts) == 10
        history.arrivals += [
            histories.Arrival("t-1", 100.1 + number / 10, "a-1", True)
            for number in range(extra + 1)
        ]
        expected = ["too-many-retries"] if is_broken else []
        assert find_names(history) == expected


class TestProcesses:
    """Violations planted into the life of processes."""

    def test_process_that_ends_by_itself_is_found(self) -> None:
        history = build_history(build_attempt(), "t-1")
        history.self_ended.append(("vm-1", 0))
        assert find_names(history) == ["process-ended"]

    def test_fleet_that_does_not_recover_is_found(self) -> None:
        history = build_history(build_attempt(), "t-1")
        for attempt in history.attempts.values():
            attempt.status = 502
            attempt.sealed = False
        assert find_names(history) == ["no-recovery"]

    # Guards against a check that does not see a VM whose entry was lost.
    def test_vm_that_is_not_registered(self) -> None:
        history = build_history(build_attempt(), "t-1")
        history.unregistered = ["vm-1"]
        assert find_names(history) == ["not-registered"]


class TestShortSoak:
    """Processes under overlapping faults, stops, restarts and changes."""

    @pytest.mark.processes
    def test_no_promise_is_broken(self, tmp_path: pathlib.Path) -> None:
        async def run() -> histories.History:
            soak = fleet.SoakFleet(tmp_path, SEED, VMS)
            await soak.run(SECONDS)
            return soak.history

        history = asyncio.run(run())
        assert not promises.find_violations(history)
        assert len(history.attempts) > 0
