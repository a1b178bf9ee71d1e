"""Decodes what targets registered of themselves in the store.

An entry may be written by anybody. One that cannot be read names no target
and does no harm to the others.
"""

from typing import Final

import msgspec

from wigeonspool.model import errors
from wigeonspool.model import fleet
from wigeonspool.platform import duration_text

PREFIX: Final = "servers/"
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
    cold_time: str = msgspec.field(name="Cold_time", default="0ms")


class _Entry(msgspec.Struct, rename="pascal"):
    address: str
    info: _Info
    status: _Status
    born: int = msgspec.field(name="born", default=0)


_decoder: Final = msgspec.json.Decoder(_Entry)


def decode_entry(identity: str, value: bytes) -> fleet.TargetEntry:
    """Returns what a target registered.

    Args:
        identity: Identity of the target, which is the rest of its key.
        value: Value of the key.

    Raises:
        PlatformFormatError: If it names no target.
    """
    try:
        found = _decoder.decode(value)
        cold_seconds = duration_text.parse_seconds(found.status.cold_time)
    except (msgspec.MsgspecError, ValueError) as error:
        raise errors.PlatformFormatError(
            f"entry of a target: {error}"
        ) from error
    state = STATES.get(found.status.state)
    host, _, port = found.address.rpartition(":")
    if state is None:
        raise errors.PlatformFormatError(f"state {found.status.state!r}")
    if not host or not port.isdecimal():
        raise errors.PlatformFormatError(f"address {found.address!r}")
    if found.info.slots < 1 or not found.info.service:
        raise errors.PlatformFormatError("entry without slots or a service")
    return fleet.TargetEntry(
        identity=identity,
        service=found.info.service,
        address=found.address,
        zone=found.info.zone,
        slots=found.info.slots,
        state=state,
        warmup_seconds=cold_seconds,
        started_at_ms=found.born,
    )
