"""The checker finds each planted violation of an invariant and no other."""

import dataclasses

import pytest

from wigeonspool.load import checker
from wigeonspool.load import history as histories
from wigeonspool.load import planted_violations


def build_submission(number: int, **fields: object) -> histories.Invocation:
    submission = histories.Invocation(
        request=f"r{number}",
        caller="clerk",
        key=f"k{number}",
        pool="refund",
        idempotent=False,
        started_at=float(number),
        deadline=number + 2.0,
        ended_at=number + 0.5,
        outcome="answered",
        status=200,
    )
    return dataclasses.replace(submission, **fields)  # type: ignore[arg-type]


def build_run(number: int, **fields: object) -> histories.Run:
    run = histories.Run(
        target=f"t{number % 2}",
        request=f"r{number}",
        caller="clerk",
        key=f"k{number}",
        path="/refund",
        started_at=number + 0.1,
        ended_at=number + 0.4,
        ending="answered",
    )
    return dataclasses.replace(run, **fields)  # type: ignore[arg-type]


def build_history() -> histories.History:
    """Returns a history that satisfies every invariant."""
    submissions = [build_submission(number) for number in range(6)]
    runs = [build_run(number) for number in range(6)]
    submissions[1].outcome = "unknown"
    submissions.append(
        build_submission(1, started_at=1.6, ended_at=1.7, attempt=1)
    )
    submissions[2] = build_submission(2, outcome="not_run", ended_at=2.05)
    submissions.append(build_submission(2, started_at=2.07, attempt=1))
    read = build_submission(7, key="", idempotent=True)
    runs.append(build_run(7, key="", ending="cancelled"))
    runs.append(build_run(7, key="", started_at=7.2))
    return histories.History(
        invocations=[*submissions, read],
        runs=runs,
        draining_periods=[histories.DrainingPeriod("t1", 20.0)],
        faults=[histories.Fault("pause", "", 9.0, 9.2)],
        probes=[histories.Probe("refund", float(i), 100) for i in range(9)],
        budgets=[histories.ProbeBudget("refund", 10.0, 20_000.0)],
        accepted=[
            histories.AcceptedGeneration(1, 0.5),
            histories.AcceptedGeneration(2, 4.0),
        ],
        activations=[
            histories.Activation("g1", "a", 1, 1.0),
            histories.Activation("g1", "a", 2, 4.5),
        ],
        lifetimes=[histories.ProcessLifetime("g1", "vm-1", "a", 0.0)],
        ended_at=30.0,
    )


class TestChecker:
    def test_history_without_violations_passes(self) -> None:
        assert checker.find_violations(build_history()) == []

    @pytest.mark.parametrize("name", planted_violations.PLANTED_VIOLATIONS)
    def test_only_the_planted_violation_is_found(self, name: str) -> None:
        invariant, plant = planted_violations.PLANTED_VIOLATIONS[name]
        history = build_history()
        plant(history)
        violations = checker.find_violations(history)
        assert {violation.promise for violation in violations} == {invariant}
        for violation in violations:
            assert checker.trace_violation(history, violation)

    def test_gateway_kill_excuses_a_cut_only_while_it_lasts(self) -> None:
        history = build_history()
        planted_violations.cut_connection(history)
        fault = histories.Fault("gateway-kill", "g", 7.0, 7.3)
        history.faults.append(fault)
        assert checker.find_violations(history) == []
        history.faults[-1] = dataclasses.replace(fault, ended_at=6.9)
        assert len(checker.find_violations(history)) == 1

    def test_partition_excuses_a_late_activation_only_on_its_vm(self) -> None:
        history = build_history()
        planted_violations.delay_activation(history)
        for vm, count in (("vm-2", 1), ("vm-1", 0)):
            history.faults = [histories.Fault("partition", vm, 3.9, 6.0)]
            assert len(checker.find_violations(history)) == count

    def test_single_probe_may_exceed_a_smaller_budget(self) -> None:
        history = build_history()
        history.probes = [
            histories.Probe("refund", at, 3000) for at in (1.0, 21.0, 41.0)
        ]
        history.budgets = [histories.ProbeBudget("refund", 0.05, 150.0)]
        assert checker.find_violations(history) == []
        history.probes += [histories.Probe("refund", 1.5, 3000)]
        (violation,) = checker.find_violations(history)
        assert violation.promise == "measuring"
