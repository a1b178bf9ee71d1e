"""What the store holds and is asked, in the JSON form of its interface."""

import base64
import dataclasses
import json
from typing import Any

from wigeonspool.model import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One key of the store.

    Attributes:
        key: Its name.
        value: Its bytes.
        revision: Store revision of its last write.
        lease: Lease that it is bound to, 0 for none.
    """

    key: str
    value: bytes
    revision: int
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """The result of a read of many keys.

    Attributes:
        entries: Entries in the order asked for.
        revision: Store revision that the read saw.
    """

    entries: list[Entry]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """What must hold for a transaction to write.

    Attributes:
        key: Key to compare.
        value: Bytes that it must hold, or None if it must be absent.
    """

    key: str
    value: bytes | None = None


def build_compare(condition: Condition) -> dict[str, Any]:
    """Returns a condition in the form of the protocol."""
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
    """Returns base64 text, as the JSON interface carries bytes."""
    return base64.b64encode(data).decode("ascii")


def compute_range_end(prefix: str) -> bytes:
    """Returns the first key after all keys with a prefix."""
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


def parse_entry(document: dict[str, Any]) -> Entry:
    """Returns the entry in a key-value document."""
    return Entry(
        key=base64.b64decode(document["key"]).decode(),
        value=base64.b64decode(document.get("value", "")),
        revision=int(document.get("mod_revision", 0)),
        lease=int(document.get("lease", 0)),
    )


def parse_watch_line(line: bytes) -> list[Entry]:
    """Returns the written entries in one line of a watch.

    Raises:
        StoreAnswerError: If the line is not of the protocol.
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
        raise errors.StoreAnswerError("/v3/watch", "bad line") from error
