"""Decodes the entries with which targets register themselves in the store.

Any client of the store may write an entry. An entry that cannot be decoded
registers no target and does not affect the other entries.
"""

from typing import Annotated, Final

import msgspec

from wigeonspool.model import errors
from wigeonspool.model import fleet
from wigeonspool.platform import value_limits

PREFIX: Final = "servers/"
MAX_ENTRY_BYTES: Final = 64 * 1024
MAX_SLOTS: Final = 1_000_000
# The year 9999; the messages between VMs have integers of 64 bits.
MAX_BORN_MS: Final = 253_402_300_799_999
MAX_SEQUENCE: Final = 2**63 - 1
MAX_COLD_SECONDS: Final = 24 * 3600.0
STATES: Final = {
    "ready": fleet.TargetState.SERVING,
    "draining": fleet.TargetState.DRAINING,
}


class _Info(msgspec.Struct, rename="pascal"):
    service: str
    zone: str
    slots: int


class _Status(msgspec.Struct, rename="pascal"):
    state: str
    # Time after the registration during which the target is still slow.
    cold_time: str = msgspec.field(name="Cold_time", default="0ms")
    # Decoded later, since an invalid value must not cost the entry.
    seq: msgspec.Raw = msgspec.Raw(b"0")


class _Entry(msgspec.Struct, rename="pascal"):
    address: str
    info: _Info
    status: _Status
    # Start of the target, in milliseconds since the epoch, or 0.
    born: int = msgspec.field(name="born", default=0)


_Sequence = Annotated[int, msgspec.Meta(ge=0, le=MAX_SEQUENCE)]

_decoder: Final = msgspec.json.Decoder(_Entry)


def decode_entry(identity: str, value: bytes) -> fleet.TargetEntry:
    """Decodes the entry of a target.

    Args:
        identity: Identity of the target: its key without the prefix.
        value: Value of the key.

    Raises:
        PlatformFormatError: If the value cannot be decoded, or the identity or
            a field is invalid.
    """
    entry = value_limits.decode_json(_decoder, value, MAX_ENTRY_BYTES)
    state = STATES.get(entry.status.state)
    if state is None:
        raise errors.PlatformFormatError(
            f"State: {value_limits.quote(entry.status.state)} is unknown"
        )
    value_limits.check_identity(identity)
    value_limits.check_address("Address", entry.address)
    value_limits.check_name("Service", entry.info.service)
    value_limits.check_name("Zone", entry.info.zone, empty_allowed=True)
    value_limits.check_range("Slots", entry.info.slots, 1, MAX_SLOTS)
    value_limits.check_range("born", entry.born, 0, MAX_BORN_MS)
    warmup_seconds = value_limits.parse_duration(
        "Cold_time", entry.status.cold_time, MAX_COLD_SECONDS
    )
    return fleet.TargetEntry(
        identity=identity,
        service=entry.info.service,
        address=entry.address,
        zone=entry.info.zone,
        slots=entry.info.slots,
        state=state,
        warmup_seconds=warmup_seconds,
        started_at_ms=entry.born,
        sequence=_read_sequence(entry.status.seq),
    )


def _read_sequence(value: msgspec.Raw) -> int:
    """Returns the sequence number of an entry, or 0 if it is invalid."""
    try:
        sequence: int = msgspec.json.decode(value, type=_Sequence)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return 0
    return sequence
