"""An event loop whose clock moves only when nothing is left to do.

What runs on it is the real code, in the time that its sleeps and timeouts
ask for and no other, so that the same seed gives the same figures.
"""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any, TypeVar

Result = TypeVar("Result")


class _Clock:
    """Time in seconds."""

    __slots__ = ("now",)

    def __init__(self) -> None:
        self.now = 0.0


class _Selector(selectors.SelectSelector):
    """Moves the clock instead of waiting."""

    def __init__(self, clock: _Clock) -> None:
        super().__init__()
        self._clock = clock

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns what is ready now; the time to wait passes at once."""
        if timeout is not None and timeout > 0:
            self._clock.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time."""

    def __init__(self) -> None:
        """Prepares a loop at time 0."""
        self._virtual = _Clock()
        super().__init__(_Selector(self._virtual))

    def time(self) -> float:
        """Returns the virtual time, in seconds."""
        return self._virtual.now


def run(work: Coroutine[Any, Any, Result]) -> Result:
    """Runs a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
