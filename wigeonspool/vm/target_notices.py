"""Records what targets state about themselves in their responses.

The notices are read from each response to an attempt or a health check, before
its body, unless the response states that it belongs to another request.
"""

import asyncio
from collections.abc import Callable, Iterable
import dataclasses
import datetime
import math
import time

from wigeonspool.core import target_notices
from wigeonspool.model import fleet
from wigeonspool.model import protocols
from wigeonspool.vm import channels
from wigeonspool.vm import structured_log

log = structured_log.get_logger("targets")


@dataclasses.dataclass(slots=True)
class NoticeCounts:
    """Counters of notices since the start of the process.

    Attributes:
        leaving: Starts of targets that stated that they leave.
        declined: Responses that moved the end of a target's decline.
        ignored: Responses with an invalid value.
        withheld: Attempts that were about to be sent when their target stated
            that it wants no requests.
    """

    leaving: int = 0
    declined: int = 0
    ignored: int = 0
    withheld: int = 0


class NoticeRecorder:
    """Records the notices of targets and decides which targets get requests.

    Attributes:
        counts: Counters of notices.
        on_unwilling: Called with the service of a target that has just stated
            that it leaves or declines requests.
    """

    def __init__(
        self,
        vm: str,
        pool: channels.ChannelPool,
        protocol_adapter: protocols.ProtocolAdapter,
    ) -> None:
        """Creates a recorder without notices.

        Args:
            vm: Name of this VM.
            pool: Connections to targets; idle ones to a leaving target are
                closed.
            protocol_adapter: Protocol of the targets.
        """
        self.counts = NoticeCounts()
        self.on_unwilling: Callable[[str], None] = lambda service: None
        self._table = target_notices.NoticeTable(vm)
        self._pool = pool
        self._protocol_adapter = protocol_adapter
        self._loop = asyncio.get_running_loop()

    def read(
        self,
        entry: fleet.TargetEntry,
        request: str,
        status: int,
        fields: protocols.Headers,
    ) -> protocols.TargetNotice:
        """Reads and records the notice in a response of a target.

        Args:
            entry: Entry of the target.
            request: Identity of the attempt, or "" for a health check.
            status: HTTP status of the response.
            fields: Header fields of the response.
        """
        notice = self._protocol_adapter.read_notice(status, fields)
        self.record(entry, request, notice)
        return notice

    def record(
        self,
        entry: fleet.TargetEntry,
        request: str,
        notice: protocols.TargetNotice,
    ) -> None:
        """Records a notice of a target, and logs it if it is new.

        Args:
            entry: Entry of the target.
            request: Identity of the attempt, or "" for a health check.
            notice: The notice.
        """
        now = self._loop.time()
        if notice.problem:
            self._record_problem(now, entry, request, notice.problem)
        if notice.leaving:
            self._record_leaving(now, entry, request)
        if notice.retry_after_seconds is not None:
            until = now + notice.retry_after_seconds
            self._record_declined(now, entry, request, until)

    def _record_problem(
        self, now: float, entry: fleet.TargetEntry, request: str, problem: str
    ) -> None:
        """Counts an invalid value, and logs it if it differs from the last."""
        self.counts.ignored += 1
        if self._table.record_problem(now, entry, problem):
            log.warning(
                "notice of a target ignored",
                target=entry.identity,
                request=request,
                reason=problem,
            )

    def _record_leaving(
        self, now: float, entry: fleet.TargetEntry, request: str
    ) -> None:
        """Records that a target leaves and closes its idle connections."""
        self._pool.close_idle(entry.address)
        if self._table.record_leaving(now, entry):
            self.counts.leaving += 1
            log.info(
                "target leaves",
                target=entry.identity,
                service=entry.service,
                started_at_ms=entry.started_at_ms,
                request=request,
            )
            self.on_unwilling(entry.service)

    def _record_declined(
        self, now: float, entry: fleet.TargetEntry, request: str, until: float
    ) -> None:
        """Records until when a target declines requests."""
        if self._table.record_declined(now, entry, until):
            self.counts.declined += 1
            log.info(
                "target declines requests",
                target=entry.identity,
                service=entry.service,
                until=self.format_time(until),
                seconds=round(until - now, 3),
                request=request,
            )
            self.on_unwilling(entry.service)

    def may_send(self, entry: fleet.TargetEntry) -> bool:
        """Returns True unless a target leaves or declines requests."""
        return self._table.may_send(self._loop.time(), entry)

    def may_admit(self, entry: fleet.TargetEntry) -> bool:
        """Returns True if a target may be probed now.

        Fewer requests are admitted for a while after a decline.
        """
        return self._table.may_admit(self._loop.time(), entry)

    def admit(self, entry: fleet.TargetEntry) -> bool:
        """Counts a health check and the request that may follow it.

        Returns:
            False if neither must be sent.
        """
        return self._table.admit(self._loop.time(), entry)

    def is_leaving(self, entry: fleet.TargetEntry) -> bool:
        """Returns True if a target stated that it leaves."""
        return self._table.is_leaving(entry)

    def find_declined_seconds(self, entry: fleet.TargetEntry) -> float:
        """Returns how long a target still declines requests, or 0."""
        now = self._loop.time()
        until = self._table.find_declined_until(now, entry)
        return 0.0 if until is None else until - now

    def find_wanted_at(
        self, entries: Iterable[fleet.TargetEntry]
    ) -> float | None:
        """Returns when one of some targets will first want a request.

        Returns:
            The time on the loop clock, infinity if all of them leave, or None
            if one of them wants requests now or there are none.
        """
        return self._table.find_wanted_at(self._loop.time(), entries)

    def put_back(
        self, entry: fleet.TargetEntry, channel: channels.Channel
    ) -> None:
        """Releases a connection; closes it instead if its target leaves."""
        if self.is_leaving(entry):
            channel.close()
        else:
            channel.release()

    def format_time(self, at: float) -> str:
        """Returns a time of the loop clock as UTC text, or "" for infinity."""
        if math.isinf(at):
            return ""
        seconds = time.time() + at - self._loop.time()
        moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
        return moment.isoformat(timespec="milliseconds")
