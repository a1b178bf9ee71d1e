"""The target side of an experiment: attempts arrive, run and end there."""

from collections.abc import Callable
import random
from typing import Any, Final

from wigeonspool.core import tables
from wigeonspool.load import experiment as experiments
from wigeonspool.load import fakes
from wigeonspool.load import parties

Push = Callable[[float, Callable[..., None], Any], None]
Deliver = Callable[[float, fakes.Attempt, parties.Job, tables.Result], None]
REPORT_BYTES: Final = 32


class Servers:
    """All targets of an experiment.

    Attributes:
        attempts: Attempts that were sent.
        measuring_bytes: Bytes of load reports on answers.
        crashes: Targets that a request crashed.
        begun: Attempts that each target began, by address.
    """

    def __init__(
        self,
        experiment: experiments.Experiment,
        network: fakes.FakeNetwork,
        push: Push,
        deliver: Deliver,
        seed: int,
        slots: int,
    ) -> None:
        """Prepares the targets.

        Args:
            experiment: What happens.
            network: Carries attempts and results.
            push: Plans an event.
            deliver: Takes a result at the gateway of its attempt.
            seed: Seed of the chances that faults take.
            slots: Slots of each target.
        """
        self._experiment = experiment
        self._network = network
        self._push = push
        self._deliver = deliver
        self._chances = random.Random(seed)
        self._targets = {
            t.address: fakes.FakeTarget(
                t.address, t.zone, slots, experiment.targets.queue
            )
            for t in parties.list_targets(experiment)
        }
        self._sources: dict[int, tuple[fakes.Attempt, parties.Job, str]] = {}
        self.attempts = 0
        self.measuring_bytes = 0
        self.crashes = 0
        self.begun = dict.fromkeys(self._targets, 0)

    def has_fault(self, address: str) -> bool:
        """Returns True if a fault holds at a target now."""
        return bool(self._targets[address].faults)

    def send(self, now: float, job: parties.Job, zone: str) -> None:
        """Sends the attempt of a request from a gateway's zone."""
        attempt = job.attempt
        assert attempt is not None
        self.attempts += 1
        target = self._targets[attempt.target]
        size = job.work.request_bytes
        at = self._network.carry(now, zone, target.zone, size, caller=False)
        self._push(at, self._reach, (attempt, job, zone))

    def cancel(self, now: float, attempt: fakes.Attempt, zone: str) -> None:
        """Cancels an attempt from a gateway's zone."""
        attempt.cancelled = True
        goal = self._targets[attempt.target].zone
        at = self._network.carry(now, zone, goal, 100, caller=False)
        self._push(at, self._stop, attempt)

    def _stop(self, now: float, attempt: fakes.Attempt) -> None:
        """Frees the slot of a cancelled attempt."""
        self._sources.pop(id(attempt), None)
        if attempt.begun:
            attempt.begun = False
            target = self._targets[attempt.target]
            target.free_slot(now)
            self._begin(now, target)

    def _reach(
        self, now: float, what: tuple[fakes.Attempt, parties.Job, str]
    ) -> None:
        """Takes an attempt at its target."""
        attempt, job, zone = what
        target = self._targets[attempt.target]
        if attempt.connection.is_silent():
            return
        shed = target.has_fault("shed")
        is_shed = shed is not None and self._chances.random() < shed.fraction
        if is_shed or target.is_full() or target.has_fault("lost"):
            self._answer(now, what, tables.ResultKind.NOT_RUN)
            return
        failing = target.has_fault("fail")
        if failing is not None and self._chances.random() < failing.fraction:
            job.runs += 1
            at = now + fakes.FAIL_SECONDS
            self._push(at, self._fail, what)
            return
        self._sources[id(attempt)] = what
        target.enqueue(attempt)
        self._begin(now, target)

    def _fail(
        self, now: float, what: tuple[fakes.Attempt, parties.Job, str]
    ) -> None:
        """Ends an attempt that its target fails."""
        self._answer(now, what, tables.ResultKind.FAILED)

    def _begin(self, now: float, target: fakes.FakeTarget) -> None:
        """Begins what the free slots of a target can take."""
        while (begun := target.begin_next(now)) is not None:
            attempt, end = begun
            what = self._sources[id(attempt)]
            job = what[1]
            if end is None:
                del self._sources[id(attempt)]
                self._answer(now, what, tables.ResultKind.NOT_RUN)
                continue
            job.runs += 1
            self.begun[target.address] += 1
            if job.work.crashes:
                self._crash(now, target)
                return
            self._push(end, self._complete, what)

    def _complete(
        self, now: float, what: tuple[fakes.Attempt, parties.Job, str]
    ) -> None:
        """Ends an attempt that has run."""
        attempt = what[0]
        target = self._targets[attempt.target]
        if not attempt.begun:
            return
        attempt.begun = False
        del self._sources[id(attempt)]
        target.free_slot(now)
        self._answer(now, what, tables.ResultKind.ANSWERED)
        self._begin(now, target)

    def _answer(
        self,
        now: float,
        what: tuple[fakes.Attempt, parties.Job, str],
        kind: tables.ResultKind,
    ) -> None:
        """Sends the result of an attempt to its gateway."""
        attempt, job, zone = what
        target = self._targets[attempt.target]
        size = 100
        report = None
        if kind is tables.ResultKind.ANSWERED:
            size = job.work.answer_bytes
            if self._experiment.reports is not None:
                report = target.report(now, self._experiment.reports)
                size += REPORT_BYTES
                self.measuring_bytes += REPORT_BYTES
        result = tables.Result(
            kind,
            report,
            draining=target.has_fault("drain") is not None,
            crashed=kind is tables.ResultKind.LOST,
            refused=target.has_fault("lost") is not None
            and kind is tables.ResultKind.NOT_RUN,
        )
        at = self._network.carry(now, target.zone, zone, size, caller=False)
        self._push(at, self._arrive, (attempt, job, result))

    def _arrive(
        self, now: float, what: tuple[fakes.Attempt, parties.Job, tables.Result]
    ) -> None:
        """Takes a result at its gateway."""
        self._deliver(now, *what)

    def begin_fault(self, now: float, fault: experiments.Fault) -> list[str]:
        """Begins a fault and returns the addresses of its targets."""
        changed = list(self._targets.values())[: fault.targets]
        if fault.zone:
            changed = [
                t for t in self._targets.values() if t.zone == fault.zone
            ]
        for target in changed:
            target.faults.append(fault)
            if fault.kind == "lost":
                self._lose(now, target)
        return [target.address for target in changed]

    def end_fault(self, now: float, fault: experiments.Fault) -> None:
        """Ends a fault."""
        for target in self._targets.values():
            if fault in target.faults:
                target.faults.remove(fault)

    def _crash(self, now: float, target: fakes.FakeTarget) -> None:
        """Loses a target for as long as it takes to start again."""
        resends = self._experiment.resends
        assert resends is not None
        self.crashes += 1
        until = now + resends.restart_s
        fault = experiments.Fault(at_s=now, until_s=until, kind="lost")
        target.faults.append(fault)
        self._lose(now, target)
        self._push(until, self.end_fault, fault)

    def _lose(self, now: float, target: fakes.FakeTarget) -> None:
        """Loses all attempts at a target that died."""
        target.lose_all(now)
        for what in list(self._sources.values()):
            attempt = what[0]
            if attempt.target != target.address:
                continue
            attempt.begun = False
            del self._sources[id(attempt)]
            if not attempt.cancelled:
                self._answer(now, what, tables.ResultKind.LOST)
