"""Decodes keys of the store into changes of what a VM knows."""

from typing import Final

import msgspec

from wigeonspool.core import cluster_state
from wigeonspool.model import errors
from wigeonspool.model import fleet
from wigeonspool.platform import configuration
from wigeonspool.platform import target_entries

CONFIGURATION_KEY: Final = "op/config"
VM_PREFIX: Final = "vms/"
SUSPECT_PREFIX: Final = "suspects/"


class _Vm(msgspec.Struct, array_like=True):
    region: str
    zone: str
    address: str
    peer_address: str
    capacity: float


def decode_change(
    key: str, value: bytes | None, lease: int = 0
) -> cluster_state.Change | None:
    """Returns what a key tells, or None if it is of no concern here.

    Args:
        key: Key of the store.
        value: Its value, or None if it was removed.
        lease: Lease that holds it, or 0.

    Raises:
        PlatformFormatError: If a configuration, a VM or a suspect cannot be
            read; what was known before stays.
    """
    if key.startswith(target_entries.PREFIX):
        identity = key.removeprefix(target_entries.PREFIX)
        if value is None:
            return cluster_state.TargetChange(identity, None)
        try:
            entry = target_entries.decode_entry(identity, value)
        except errors.PlatformFormatError as error:
            # It names no target, whatever it named before.
            return cluster_state.TargetChange(identity, None, str(error))
        return cluster_state.TargetChange(identity, entry)
    if key.startswith(VM_PREFIX):
        name = key.removeprefix(VM_PREFIX)
        return cluster_state.VmChange(name, _decode_vm(name, value), lease)
    if key.startswith(SUSPECT_PREFIX) and value is not None:
        return _decode_suspect(key.removeprefix(SUSPECT_PREFIX))
    if key == CONFIGURATION_KEY and value is not None:
        found = configuration.decode_configuration(value)
        return cluster_state.ConfigurationChange(found)
    return None


def _decode_suspect(name: str) -> cluster_state.SuspectChange:
    """Returns the crash that the rest of a key tells of.

    Raises:
        PlatformFormatError: If it tells of none.
    """
    text, _, target = name.partition("/")
    try:
        return cluster_state.SuspectChange(int(text, 16), target)
    except ValueError as error:
        raise errors.PlatformFormatError(f"suspect: {error}") from error


def build_suspect_key(fingerprint: int, target: str) -> str:
    """Returns the key that tells all VMs of a crash."""
    return f"{SUSPECT_PREFIX}{fingerprint:016x}/{target}"


def _decode_vm(name: str, value: bytes | None) -> fleet.VmEntry | None:
    """Returns what a VM wrote of itself, or None if it has no entry.

    Raises:
        PlatformFormatError: If it cannot be read.
    """
    if value is None:
        return None
    try:
        found = msgspec.msgpack.decode(value, type=_Vm)
    except (msgspec.MsgspecError, ValueError) as error:
        raise errors.PlatformFormatError(f"entry of a VM: {error}") from error
    return fleet.VmEntry(
        name,
        found.region,
        found.zone,
        found.address,
        found.peer_address,
        found.capacity,
    )


def encode_vm(entry: fleet.VmEntry) -> tuple[str, bytes]:
    """Returns the key and the value under which a VM registers itself."""
    found = _Vm(
        entry.region,
        entry.zone,
        entry.address,
        entry.peer_address,
        entry.capacity,
    )
    return VM_PREFIX + entry.name, msgspec.msgpack.encode(found)
