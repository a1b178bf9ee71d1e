"""Holds what arrives before an entry VM first knows its configuration.

The first read of the store takes a few round trips. What arrives meanwhile
waits for it, since nobody can tell yet whether it can be served.
"""

import asyncio
from typing import Final

from wigeonspool.core import knowledge

# A round trip to a store in another region takes 25 ms and one lost packet
# 200 ms; a store that has not answered by then is slow or away.
FIRST_READ_SECONDS: Final = 0.4


class StartGate:
    """Opens once the configuration is known, or could be for too long."""

    def __init__(self, known: knowledge.Knowledge) -> None:
        """Prepares a gate at the start of a process.

        Args:
            known: What this VM knows.
        """
        self._known = known
        self._news = asyncio.Event()
        self._open_at = asyncio.get_running_loop().time() + FIRST_READ_SECONDS

    def note_news(self) -> None:
        """Notes that this VM knows more than before."""
        if self._known.configuration is not None:
            self._news.set()

    async def wait(self) -> None:
        """Waits until the configuration is known, or is not known soon."""
        if self._known.configuration is not None:
            return
        try:
            async with asyncio.timeout_at(self._open_at):
                await self._news.wait()
        except TimeoutError:
            # Whoever waited is told that nothing is known.
            return
