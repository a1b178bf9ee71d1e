"""Entries and conditions of the store, and their JSON encoding."""

import base64
import dataclasses
import json
from typing import Any

from wigeonspool.model import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A key of the store with its value.

    Attributes:
        key: Name of the key.
        value: Value of the key.
        revision: Store revision of the last write of the key.
        lease: Lease that the key is bound to, or 0.
    """

    key: str
    value: bytes
    revision: int
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Result of a range read.

    Attributes:
        entries: Entries in the requested order.
        revision: Store revision that the entries reflect.
    """

    entries: list[Entry]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """A condition of a transaction.

    Attributes:
        key: Key to compare.
        value: Required value of the key, or None if the key must be absent.
    """

    key: str
    value: bytes | None = None


def build_compare(condition: Condition) -> dict[str, Any]:
    """Returns the JSON form of a condition."""
    key = encode_bytes(condition.key.encode())
    if condition.value is None:
        return {
            "key": key,
            "target": "CREATE",
            "result": "EQUAL",
            "create_revision": 0,
        }
    return {
        "key": key,
        "target": "VALUE",
        "result": "EQUAL",
        "value": encode_bytes(condition.value),
    }


def encode_bytes(data: bytes) -> str:
    """Returns the base64 text by which the JSON interface encodes bytes."""
    return base64.b64encode(data).decode("ascii")


def compute_range_end(prefix: str) -> bytes:
    """Returns the smallest key greater than all keys with a prefix."""
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


def parse_entry(document: dict[str, Any]) -> Entry:
    """Returns the entry that a JSON key-value object describes."""
    return Entry(
        key=base64.b64decode(document["key"]).decode(),
        value=base64.b64decode(document.get("value", "")),
        revision=int(document.get("mod_revision", 0)),
        lease=int(document.get("lease", 0)),
    )


def parse_watch_line(line: bytes) -> list[Entry]:
    """Returns the written entries in one line of a watch; omits removals.

    Raises:
        StoreReplyError: If the line does not have the expected form.
    """
    try:
        result = json.loads(line).get("result", {})
        events = result.get("events", [])
        return [
            parse_entry(event["kv"])
            for event in events
            if event.get("type", "PUT") == "PUT"
        ]
    except (ValueError, KeyError, AttributeError) as error:
        raise errors.StoreReplyError("/v3/watch", "invalid line") from error
