"""What a source of knowledge gives: keys, pages of them, and changes."""

import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class KeyValue:
    """One key as the source holds it, or as it was changed.

    Attributes:
        key: The key.
        value: Its value, or None if the key was removed.
        revision: Revision of its last change.
        lease: Lease that holds it, or 0.
    """

    key: str
    value: bytes | None
    revision: int
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Some keys, or some changes of keys, in order.

    Attributes:
        items: The keys.
        revision: Revision of the source that they show.
        more: True if further keys follow.
    """

    items: tuple[KeyValue, ...]
    revision: int
    more: bool = False


class KeyValueSource(Protocol):
    """Where knowledge comes from."""

    async def read_range(
        self, prefix: str, after: str = "", stale: bool = False
    ) -> Page:
        """Returns a page of the keys with a prefix.

        Args:
            prefix: Common prefix of the keys.
            after: Only keys behind this one, if given.
            stale: True if the answer may be seconds old; such a call is cheap.

        Raises:
            StoreError: If the source could not serve the call.
        """

    async def watch(self, prefix: str, after: int, wait_seconds: float) -> Page:
        """Returns the changes after a revision as soon as there is one.

        Args:
            prefix: Common prefix of the keys.
            after: Revision that is known.
            wait_seconds: Longest time to wait for a change.

        Raises:
            HistoryGoneError: If the source forgot what followed the revision.
            StoreError: If the source could not serve the call.
        """


class CallCounter(Protocol):
    """Counts the calls to a source.

    Attributes:
        calls: Calls made so far, those that failed too.
        failures: Calls that failed.
    """

    calls: int
    failures: int
