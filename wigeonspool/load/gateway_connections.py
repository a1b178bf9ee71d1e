"""Simulated connections of gateways to targets, which may become unresponsive.

Which connections to reuse or to suspect is decided by the same classes as in
real gateways; only the connections are fakes.
"""

from collections.abc import Callable, Iterable
import random
from typing import Any, Protocol

from wigeonspool.core import tables
from wigeonspool.gateway import connection_health
from wigeonspool.load import experiment as experiments
from wigeonspool.load import fakes
from wigeonspool.load import simulated_fleet

ScheduleEvent = Callable[[float, Callable[..., None], Any], None]
HandleResult = Callable[[float, fakes.Attempt, tables.Result], None]


class AttemptReceiver(Protocol):
    """The targets, to which attempts are sent."""

    def send(
        self, now: float, request: simulated_fleet.SimulatedRequest, zone: str
    ) -> None:
        """Sends the attempt of a request from a gateway's zone."""


class GatewayConnections:
    """The connections of all gateways to targets.

    Attributes:
        suspected: Number of attempts that gateways gave up because their
            connection seemed unresponsive.
        max_detection_seconds: Longest time until a gateway gave up an attempt
            on an unresponsive connection; it is counted from when the
            connection became unresponsive or, if that is later, from when the
            attempt was sent.
    """

    def __init__(
        self,
        schedule: ScheduleEvent,
        handle_result: HandleResult,
        seed: int,
        gateways: Iterable[str],
        detects_unresponsive: bool,
    ) -> None:
        """Creates gateways without connections.

        Args:
            schedule: Schedules an event.
            handle_result: Handles the result of an attempt.
            seed: Seed of the choice of connections that become unresponsive.
            gateways: Names of the gateways.
            detects_unresponsive: True if gateways look for unresponsive
                connections.
        """
        self._schedule = schedule
        self._handle_result = handle_result
        self._rng = random.Random(seed)
        self._detects_unresponsive = detects_unresponsive
        self._detectors = {
            g: connection_health.UnresponsiveDetector() for g in gateways
        }
        self._reuse_policies = {
            g: connection_health.ReusePolicy() for g in self._detectors
        }
        self._idle: dict[tuple[str, str], list[fakes.Connection]] = {}
        self._busy: dict[int, fakes.Connection] = {}
        self.suspected = 0
        self.max_detection_seconds = 0.0

    def send(
        self,
        now: float,
        request: simulated_fleet.SimulatedRequest,
        zone: str,
        receiver: AttemptReceiver,
    ) -> None:
        """Sends the attempt of a request over a pooled or a new connection.

        An attempt that must not run twice never reuses a connection and is
        never suspected.

        Args:
            now: Time in seconds.
            request: The request, with its attempt.
            zone: Zone of the gateway.
            receiver: The targets.
        """
        attempt = request.attempt
        assert attempt is not None
        attempt.sent_at = now
        attempt.connection = self._acquire(
            now, attempt, request.request_kind.idempotent
        )
        self._busy[id(attempt.connection)] = attempt.connection
        if self._detects_unresponsive and request.request_kind.idempotent:
            detector = self._detectors[attempt.gateway]
            suspect_at = detector.compute_suspect_at(
                request.request_kind.name, now, request.deadline
            )
            self._schedule(
                suspect_at, self._suspect, (attempt, request, zone, receiver)
            )
        receiver.send(now, request, zone)

    def _acquire(
        self, now: float, attempt: fakes.Attempt, may_reuse: bool
    ) -> fakes.Connection:
        """Returns a reusable connection from the pool, or a new one.

        Pooled connections that are too old or invalidated are dropped.
        """
        endpoints = (attempt.gateway, attempt.target)
        idle = self._idle.setdefault(endpoints, [])
        reuse_policy = self._reuse_policies[attempt.gateway]
        while may_reuse and idle:
            pooled = idle.pop()
            if reuse_policy.is_reusable(attempt.target, pooled.opened_at, now):
                pooled.reused = True
                return pooled
        return fakes.Connection(endpoints, now)

    def deliver(
        self,
        now: float,
        attempt: fakes.Attempt,
        request: simulated_fleet.SimulatedRequest,
        result: tables.Result,
    ) -> None:
        """Delivers a result to its gateway.

        The result is dropped if its connection is closed or unresponsive.
        """
        connection = attempt.connection
        if connection.is_unresponsive() or id(connection) not in self._busy:
            return
        del self._busy[id(connection)]
        if result.kind is not tables.ResultKind.LOST:
            detector = self._detectors[attempt.gateway]
            detector.record_first_byte(
                request.request_kind.name, now - attempt.sent_at
            )
            if request.request_kind.idempotent:
                self._idle[connection.endpoints].append(connection)
        self._handle_result(now, attempt, result)

    def close(self, attempt: fakes.Attempt) -> None:
        """Closes the connection of an attempt that was cancelled."""
        self._busy.pop(id(attempt.connection), None)

    def _suspect(
        self,
        now: float,
        event: tuple[
            fakes.Attempt,
            simulated_fleet.SimulatedRequest,
            str,
            AttemptReceiver,
        ],
    ) -> None:
        """Gives up an attempt that had no response for too long.

        If the connection was reused, the attempt is sent again over a new
        connection, and no connection to the target that was opened before is
        reused any more. If the connection was new, the attempt counts as lost.
        Nothing is done if the attempt has ended, its deadline has passed or
        the gateway's budget of suspicions is used up.
        """
        attempt, request, zone, receiver = event
        connection = attempt.connection
        detector = self._detectors[attempt.gateway]
        if (
            request.ended
            or request.attempt is not attempt
            or now >= request.deadline
        ):
            return
        if not detector.has_token():
            return
        detector.consume_token()
        self.close(attempt)
        self.suspected += 1
        if connection.is_unresponsive():
            began_at = max(attempt.sent_at, connection.unresponsive_at)
            self.max_detection_seconds = max(
                self.max_detection_seconds, now - began_at
            )
        if not connection.reused:
            lost = tables.Result(tables.ResultKind.LOST)
            self._handle_result(now, attempt, lost)
            return
        self._reuse_policies[attempt.gateway].invalidate_peer(
            attempt.target, now
        )
        request.attempt = fakes.Attempt(
            request.request_id,
            attempt.gateway,
            attempt.target,
            attempt.service_seconds,
            attempt.deadline,
        )
        self.send(now, request, zone, receiver)

    def make_unresponsive(
        self, now: float, fault: experiments.Fault, targets: list[str]
    ) -> None:
        """Makes open connections to targets unresponsive for good.

        Each connection is chosen with the probability `fault.fraction`.

        Args:
            now: Time in seconds.
            fault: The fault that begins.
            targets: Addresses of its targets.
        """
        idle = [c for pooled in self._idle.values() for c in pooled]
        for connection in [*idle, *self._busy.values()]:
            chosen = self._rng.random() < fault.fraction
            if chosen and connection.endpoints[1] in targets:
                connection.unresponsive_at = min(
                    connection.unresponsive_at, now
                )
