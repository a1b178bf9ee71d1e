"""The targets of an experiment in virtual time.

Attempts arrive at a target, wait in its queue, run in its slots and end with a
result for their gateway.
"""

from collections.abc import Callable
import random
from typing import Any, Final

from wigeonspool.core import tables
from wigeonspool.load import experiment as experiments
from wigeonspool.load import fakes
from wigeonspool.load import simulated_fleet

ScheduleEvent = Callable[[float, Callable[..., None], Any], None]
DeliverResult = Callable[
    [float, fakes.Attempt, simulated_fleet.SimulatedRequest, tables.Result],
    None,
]
LOAD_REPORT_BYTES: Final = 32


class SimulatedTargets:
    """All targets of an experiment.

    Attributes:
        attempts: Attempts that were sent.
        load_report_bytes: Bytes of load reports on responses.
        crashes: Number of times that a request crashed its target.
        started_attempts: Number of attempts that each target started, by
            address.
    """

    def __init__(
        self,
        experiment: experiments.Experiment,
        network: fakes.FakeNetwork,
        schedule_event: ScheduleEvent,
        deliver_result: DeliverResult,
        seed: int,
        slots: int,
    ) -> None:
        """Creates the targets of the experiment without faults.

        Args:
            experiment: Description of the targets and of their faults.
            network: Delays and counts attempts and results.
            schedule_event: Schedules an event.
            deliver_result: Handles a result at the gateway of its attempt.
            seed: Seed of the random choices of faults.
            slots: Slots of each target.
        """
        self._experiment = experiment
        self._network = network
        self._schedule_event = schedule_event
        self._deliver_result = deliver_result
        self._rng = random.Random(seed)
        self._targets = {
            t.address: fakes.FakeTarget(
                t.address, t.zone, slots, experiment.targets.queue
            )
            for t in simulated_fleet.list_targets(experiment)
        }
        # By `id` of the attempt: attempt, request and zone of the gateway.
        self._pending: dict[
            int, tuple[fakes.Attempt, simulated_fleet.SimulatedRequest, str]
        ] = {}
        self.attempts = 0
        self.load_report_bytes = 0
        self.crashes = 0
        self.started_attempts = dict.fromkeys(self._targets, 0)

    def has_fault(self, address: str) -> bool:
        """Returns True if a fault is active at a target."""
        return bool(self._targets[address].faults)

    def send(
        self, now: float, request: simulated_fleet.SimulatedRequest, zone: str
    ) -> None:
        """Sends the attempt of a request from a gateway's zone."""
        attempt = request.attempt
        assert attempt is not None
        self.attempts += 1
        target = self._targets[attempt.target]
        size = request.request_kind.request_bytes
        at = self._network.transmit(now, zone, target.zone, size, caller=False)
        self._schedule_event(
            at, self._receive_attempt, (attempt, request, zone)
        )

    def cancel(self, now: float, attempt: fakes.Attempt, zone: str) -> None:
        """Cancels an attempt from a gateway's zone."""
        attempt.cancelled = True
        target_zone = self._targets[attempt.target].zone
        at = self._network.transmit(now, zone, target_zone, 100, caller=False)
        self._schedule_event(at, self._end_cancelled, attempt)

    def _end_cancelled(self, now: float, attempt: fakes.Attempt) -> None:
        """Removes a cancelled attempt from its target and frees its slot."""
        self._pending.pop(id(attempt), None)
        if attempt.begun:
            attempt.begun = False
            target = self._targets[attempt.target]
            target.free_slot(now)
            self._start_queued(now, target)

    def _receive_attempt(
        self,
        now: float,
        delivery: tuple[fakes.Attempt, simulated_fleet.SimulatedRequest, str],
    ) -> None:
        """Handles an attempt at its target: rejects, fails or queues it."""
        attempt, request, zone = delivery
        target = self._targets[attempt.target]
        if attempt.connection.is_unresponsive():
            return
        shed = target.find_fault("shed")
        is_rejected = shed is not None and self._rng.random() < shed.fraction
        if is_rejected or target.is_full() or target.find_fault("lost"):
            self._send_result(now, delivery, tables.ResultKind.NOT_RUN)
            return
        failing = target.find_fault("fail")
        if failing is not None and self._rng.random() < failing.fraction:
            request.runs += 1
            at = now + fakes.FAILURE_RESPONSE_SECONDS
            self._schedule_event(at, self._end_failed, delivery)
            return
        self._pending[id(attempt)] = delivery
        target.enqueue(attempt)
        self._start_queued(now, target)

    def _end_failed(
        self,
        now: float,
        delivery: tuple[fakes.Attempt, simulated_fleet.SimulatedRequest, str],
    ) -> None:
        """Ends an attempt that failed at its target."""
        self._send_result(now, delivery, tables.ResultKind.FAILED)

    def _start_queued(self, now: float, target: fakes.FakeTarget) -> None:
        """Starts queued attempts of a target while slots are free."""
        while (started := target.begin_next(now)) is not None:
            attempt, end = started
            delivery = self._pending[id(attempt)]
            request = delivery[1]
            if end is None:
                del self._pending[id(attempt)]
                self._send_result(now, delivery, tables.ResultKind.NOT_RUN)
                continue
            request.runs += 1
            self.started_attempts[target.address] += 1
            if request.request_kind.crashes:
                self._crash(now, target)
                return
            self._schedule_event(end, self._complete, delivery)

    def _complete(
        self,
        now: float,
        delivery: tuple[fakes.Attempt, simulated_fleet.SimulatedRequest, str],
    ) -> None:
        """Ends an attempt whose service time has passed."""
        attempt = delivery[0]
        target = self._targets[attempt.target]
        if not attempt.begun:
            return
        attempt.begun = False
        del self._pending[id(attempt)]
        target.free_slot(now)
        self._send_result(now, delivery, tables.ResultKind.ANSWERED)
        self._start_queued(now, target)

    def _send_result(
        self,
        now: float,
        delivery: tuple[fakes.Attempt, simulated_fleet.SimulatedRequest, str],
        kind: tables.ResultKind,
    ) -> None:
        """Sends the result of an attempt to its gateway."""
        attempt, request, zone = delivery
        target = self._targets[attempt.target]
        size = 100
        report = None
        if kind is tables.ResultKind.ANSWERED:
            size = request.request_kind.answer_bytes
            if self._experiment.reports is not None:
                report = target.build_load_report(now, self._experiment.reports)
                size += LOAD_REPORT_BYTES
                self.load_report_bytes += LOAD_REPORT_BYTES
        result = tables.Result(
            kind,
            report,
            draining=target.find_fault("drain") is not None,
            crashed=kind is tables.ResultKind.LOST,
            connection_refused=target.find_fault("lost") is not None
            and kind is tables.ResultKind.NOT_RUN,
        )
        at = self._network.transmit(now, target.zone, zone, size, caller=False)
        self._schedule_event(
            at, self._receive_result, (attempt, request, result)
        )

    def _receive_result(
        self,
        now: float,
        delivery: tuple[
            fakes.Attempt, simulated_fleet.SimulatedRequest, tables.Result
        ],
    ) -> None:
        """Delivers a result to its gateway."""
        self._deliver_result(now, *delivery)

    def begin_fault(self, now: float, fault: experiments.Fault) -> list[str]:
        """Starts a fault and returns the addresses of the affected targets."""
        affected = list(self._targets.values())[: fault.targets]
        if fault.zone:
            affected = [
                t for t in self._targets.values() if t.zone == fault.zone
            ]
        for target in affected:
            target.faults.append(fault)
            if fault.kind == "lost":
                self._end_all_attempts(now, target)
        return [target.address for target in affected]

    def end_fault(self, now: float, fault: experiments.Fault) -> None:
        """Ends a fault at all targets that it affects."""
        for target in self._targets.values():
            if fault in target.faults:
                target.faults.remove(fault)

    def _crash(self, now: float, target: fakes.FakeTarget) -> None:
        """Crashes a target, which is unavailable until it has restarted."""
        resends = self._experiment.resends
        assert resends is not None
        self.crashes += 1
        until = now + resends.restart_s
        fault = experiments.Fault(at_s=now, until_s=until, kind="lost")
        target.faults.append(fault)
        self._end_all_attempts(now, target)
        self._schedule_event(until, self.end_fault, fault)

    def _end_all_attempts(self, now: float, target: fakes.FakeTarget) -> None:
        """Ends all attempts at a crashed target as lost."""
        target.drop_all_attempts(now)
        for delivery in list(self._pending.values()):
            attempt = delivery[0]
            if attempt.target != target.address:
                continue
            attempt.begun = False
            del self._pending[id(attempt)]
            if not attempt.cancelled:
                self._send_result(now, delivery, tables.ResultKind.LOST)
