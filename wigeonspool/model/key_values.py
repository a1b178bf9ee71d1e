"""Interface of the key-value store that the cluster state is read from."""

import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class KeyValue:
    """A key with its value, or a change of a key.

    Attributes:
        key: The key.
        value: Value of the key, or None if the key was removed.
        revision: Revision of the last change of the key.
        lease: Lease that the key is bound to, or 0.
    """

    key: str
    value: bytes | None
    revision: int
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """An ordered list of keys, or of changes of keys.

    Attributes:
        items: The keys or changes.
        revision: Revision of the store that the page reflects.
        more: True if the range has more keys after this page.
        unreadable_keys: Keys of items that could not be decoded; "" for an item
            whose key could not be decoded either.
        era: Era of the store that the page reflects. It increases when the
            store is restored from a copy; revisions of different eras cannot be
            compared. 0 for a store without eras.
    """

    items: tuple[KeyValue, ...]
    revision: int
    more: bool = False
    unreadable_keys: tuple[str, ...] = ()
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GrantedLease:
    """A lease that the store granted.

    Attributes:
        lease: ID of the lease; it identifies the lease within its era only.
        era: Era of the store that granted it.
    """

    lease: int
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class WriteResult:
    """What the store replied to a write.

    Attributes:
        revision: Revision that the write got.
        era: Era of the store that executed it.
    """

    revision: int
    era: int = 0


class KeyValueSource(Protocol):
    """The calls of the store that read the cluster state."""

    async def read_range(
        self, prefix: str, after: str = "", stale: bool = False
    ) -> Page:
        """Returns a page of the keys with a prefix.

        Args:
            prefix: Common prefix of the keys.
            after: If not "", only keys after this one are returned.
            stale: True if the data may be seconds old, which makes the call
                cheap.

        Raises:
            StoreError: If the call failed.
        """

    async def watch(self, prefix: str, after: int, wait_seconds: float) -> Page:
        """Returns the changes after a revision as soon as there is one.

        The page is empty if there is no change within the waiting time.

        Args:
            prefix: Common prefix of the keys.
            after: Revision up to which the caller has all changes.
            wait_seconds: Maximum time to wait for a change.

        Raises:
            HistoryExpiredError: If the store no longer has the changes after
                the revision.
            StoreError: If the call failed.
        """


class CallCounter(Protocol):
    """Counts the calls to the store.

    Attributes:
        calls: All calls so far, including failed ones.
        failures: Failed calls.
    """

    calls: int
    failures: int
