"""Carries attempts over kept connections, which may go silent for good.

What a gateway decides about its connections is asked of the very classes that
real gateways use; only the connections themselves are fakes.
"""

from collections.abc import Callable, Iterable
import random
from typing import Any, Protocol

from wigeonspool.core import tables
from wigeonspool.gateway import connection_health
from wigeonspool.load import experiment as experiments
from wigeonspool.load import fakes
from wigeonspool.load import parties

Push = Callable[[float, Callable[..., None], Any], None]
Deliver = Callable[[float, fakes.Attempt, tables.Result], None]


class TargetSide(Protocol):
    """Where attempts are sent."""

    def send(self, now: float, job: parties.Job, zone: str) -> None:
        """Sends the attempt of a request from a gateway's zone."""


class Carrier:
    """The connections of all gateways.

    Attributes:
        suspected: Exchanges that gateways gave up as silent.
        found_seconds: Longest time from the silence, or the sending after it,
            until a gateway gave up an exchange.
    """

    def __init__(
        self,
        push: Push,
        deliver: Deliver,
        seed: int,
        gateways: Iterable[str],
        detects: bool,
    ) -> None:
        """Prepares gateways without connections.

        Args:
            push: Plans an event.
            deliver: Takes the result of an attempt.
            seed: Decides which connections go silent.
            gateways: Names of the gateways.
            detects: True if gateways look for silent connections.
        """
        self._push = push
        self._deliver = deliver
        self._chances = random.Random(seed)
        self._detects = detects
        self._detectors = {
            g: connection_health.UnresponsiveDetector() for g in gateways
        }
        self._trust = {
            g: connection_health.ReusePolicy() for g in self._detectors
        }
        self._idle: dict[tuple[str, str], list[fakes.Connection]] = {}
        self._busy: dict[int, fakes.Connection] = {}
        self.suspected = 0
        self.found_seconds = 0.0

    def send(
        self, now: float, job: parties.Job, zone: str, servers: TargetSide
    ) -> None:
        """Sends the attempt of a request over a kept or a new connection."""
        attempt = job.attempt
        assert attempt is not None
        attempt.sent_at = now
        attempt.connection = self._take(now, attempt, job.work.idempotent)
        self._busy[id(attempt.connection)] = attempt.connection
        if self._detects and job.work.idempotent:
            detector = self._detectors[attempt.gateway]
            at = detector.compute_suspect_at(job.work.name, now, job.deadline)
            self._push(at, self._suspect, (attempt, job, zone, servers))
        servers.send(now, job, zone)

    def _take(
        self, now: float, attempt: fakes.Attempt, may_reuse: bool
    ) -> fakes.Connection:
        """Returns a trusted connection, kept or new."""
        pair = (attempt.gateway, attempt.target)
        idle = self._idle.setdefault(pair, [])
        trust = self._trust[attempt.gateway]
        while may_reuse and idle:
            kept = idle.pop()
            if trust.is_reusable(attempt.target, kept.opened_at, now):
                kept.reused = True
                return kept
        return fakes.Connection(pair, now)

    def deliver(
        self,
        now: float,
        attempt: fakes.Attempt,
        job: parties.Job,
        result: tables.Result,
    ) -> None:
        """Takes a result, unless its connection is closed or silent."""
        connection = attempt.connection
        if connection.is_silent() or id(connection) not in self._busy:
            return
        del self._busy[id(connection)]
        if result.kind is not tables.ResultKind.LOST:
            detector = self._detectors[attempt.gateway]
            detector.record_first_byte(job.work.name, now - attempt.sent_at)
            if job.work.idempotent:
                self._idle[connection.pair].append(connection)
        self._deliver(now, attempt, result)

    def drop(self, attempt: fakes.Attempt) -> None:
        """Closes the connection of an attempt that was cancelled."""
        self._busy.pop(id(attempt.connection), None)

    def _suspect(
        self,
        now: float,
        what: tuple[fakes.Attempt, parties.Job, str, TargetSide],
    ) -> None:
        """Gives up an exchange that is without an answer for too long."""
        attempt, job, zone, servers = what
        connection = attempt.connection
        detector = self._detectors[attempt.gateway]
        if job.ended or job.attempt is not attempt or now >= job.deadline:
            return
        if not detector.has_token():
            return
        detector.consume_token()
        self.drop(attempt)
        self.suspected += 1
        if connection.is_silent():
            began = max(attempt.sent_at, connection.silent_at)
            self.found_seconds = max(self.found_seconds, now - began)
        if not connection.reused:
            lost = tables.Result(tables.ResultKind.LOST)
            self._deliver(now, attempt, lost)
            return
        self._trust[attempt.gateway].invalidate_peer(attempt.target, now)
        job.attempt = fakes.Attempt(
            job.request_id,
            attempt.gateway,
            attempt.target,
            attempt.service,
            attempt.deadline,
        )
        self.send(now, job, zone, servers)

    def silence(
        self, now: float, fault: experiments.Fault, targets: list[str]
    ) -> None:
        """Lets a part of the open connections to targets go silent."""
        idle = [c for kept in self._idle.values() for c in kept]
        for connection in [*idle, *self._busy.values()]:
            struck = self._chances.random() < fault.fraction
            if struck and connection.pair[1] in targets:
                connection.silent_at = min(connection.silent_at, now)
