"""An event loop in virtual time, for tests of the real code without waiting.

The clock advances only when no callback is ready, by the time until the next
timer. The code under test sleeps and times out as usual, but no real time
passes, and the same seed gives the same results on any machine.
"""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any, TypeVar

Result = TypeVar("Result")


class _Clock:
    """Virtual time, in seconds."""

    __slots__ = ("now",)

    def __init__(self) -> None:
        self.now = 0.0


class _Selector(selectors.SelectSelector):
    """A selector that advances the virtual clock instead of waiting."""

    def __init__(self, clock: _Clock) -> None:
        super().__init__()
        self._clock = clock

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advances the clock by the timeout and returns the ready files."""
        if timeout is not None and timeout > 0:
            self._clock.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time."""

    def __init__(self) -> None:
        """Creates a loop at time 0."""
        self._virtual_clock = _Clock()
        super().__init__(_Selector(self._virtual_clock))

    def time(self) -> float:
        """Returns the virtual time, in seconds."""
        return self._virtual_clock.now


def run(coroutine: Coroutine[Any, Any, Result]) -> Result:
    """Runs a coroutine in virtual time and returns its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
