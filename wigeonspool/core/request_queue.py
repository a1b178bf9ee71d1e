"""The queued requests of a pool, in order of deadline.

Long work is queued separately, so that short work can overtake it when the only
free slots are those that are reserved for short work.
"""

import heapq

from wigeonspool.core import tables


class RequestQueue:
    """Queued requests of one pool.

    Attributes:
        short_work: Expected service time of all queued short work, in seconds.
        long_work: Expected service time of all queued long work, in seconds.
    """

    __slots__ = ("_long", "_short", "long_work", "short_work")

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._short: list[tuple[float, int, tables.RequestRow]] = []
        self._long: list[tuple[float, int, tables.RequestRow]] = []
        self.short_work = 0.0
        self.long_work = 0.0

    def __bool__(self) -> bool:
        """Returns True if there are entries; some may be settled already."""
        return bool(self._short or self._long)

    def push(self, request: tables.RequestRow) -> None:
        """Adds a request, ordered by deadline.

        Its expected service time and whether it is long must be set in its row.
        """
        entry = (request.deadline, request.request_id, request)
        if request.is_long:
            heapq.heappush(self._long, entry)
            self.long_work += request.expected_seconds
        else:
            heapq.heappush(self._short, entry)
            self.short_work += request.expected_seconds

    def peek(self, allow_long: bool) -> tables.RequestRow | None:
        """Returns the queued request with the earliest deadline, or None.

        Args:
            allow_long: False to look at short work only.
        """
        short = self._peek(self._short)
        long = self._peek(self._long) if allow_long else None
        if short is None or long is None:
            return short or long
        return short if short.deadline <= long.deadline else long

    def pop(self, request: tables.RequestRow) -> None:
        """Removes a request that `peek` returned."""
        self._pop_heap(self._long if request.is_long else self._short)

    def _peek(
        self, heap: list[tuple[float, int, tables.RequestRow]]
    ) -> tables.RequestRow | None:
        """Returns the first queued request of a heap; drops settled ones."""
        while heap:
            request = heap[0][2]
            if request.state is tables.RequestState.QUEUED:
                return request
            self._pop_heap(heap)
        return None

    def _pop_heap(
        self, heap: list[tuple[float, int, tables.RequestRow]]
    ) -> None:
        """Removes the first entry of a heap."""
        request = heapq.heappop(heap)[2]
        if request.is_long:
            self.long_work = max(0.0, self.long_work - request.expected_seconds)
        else:
            self.short_work = max(
                0.0, self.short_work - request.expected_seconds
            )
