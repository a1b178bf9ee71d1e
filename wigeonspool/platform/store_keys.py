"""Converts between keys of the platform's store and the cluster state.

Decodes each changed key into a change of the cluster state, and builds the keys
that VMs write.
"""

import re
from typing import Final

import msgspec

from wigeonspool.core import cluster_state
from wigeonspool.core import suspect_reports
from wigeonspool.model import errors
from wigeonspool.model import fleet
from wigeonspool.model import key_values
from wigeonspool.platform import configuration
from wigeonspool.platform import target_entries
from wigeonspool.platform import value_limits

CONFIGURATION_KEY: Final = "op/config"
# The key exists while the zone is evacuated; its value has no meaning.
EVACUATION_PREFIX: Final = "op/evacuate/"
VM_PREFIX: Final = "vms/"
SUSPECT_PREFIX: Final = "suspects/"
# Values of the key of a suspect. VMs of earlier versions write the first only.
SUSPECT_CRASHED: Final = b""
SUSPECT_ANSWERED: Final = b"answered"
MAX_VM_BYTES: Final = 4 * 1024
# Fingerprints have 64 bits.
_FINGERPRINT: Final = re.compile("[0-9a-f]{1,16}")


class _Vm(msgspec.Struct, array_like=True):
    region: str
    zone: str
    address: str
    peer_address: str
    capacity: float


_vm_decoder: Final = msgspec.msgpack.Decoder(_Vm)


def decode_change(
    key: str, value: bytes | None, lease: int = 0
) -> cluster_state.Change | None:
    """Returns the change that a key makes, or None for a key without effect.

    An unreadable target entry is no error: the result is a change that removes
    the target and carries the problem.

    Args:
        key: Key of the store.
        value: Value of the key, or None if the key was removed.
        lease: Lease that the key is attached to, or 0.

    Raises:
        PlatformFormatError: If the value of a configuration, a VM or a suspect
            cannot be decoded, or the zone of an evacuation is not a name. The
            cluster state then stays as it is.
    """
    if key.startswith(target_entries.PREFIX):
        identity = key.removeprefix(target_entries.PREFIX)
        if value is None:
            return cluster_state.TargetChange(identity, None)
        try:
            entry = target_entries.decode_entry(identity, value)
        except errors.PlatformFormatError as error:
            # A target that the key registered before is removed.
            return cluster_state.TargetChange(identity, None, str(error))
        return cluster_state.TargetChange(identity, entry)
    if key.startswith(VM_PREFIX):
        name = key.removeprefix(VM_PREFIX)
        return cluster_state.VmChange(name, _decode_vm(name, value), lease)
    if key.startswith(SUSPECT_PREFIX):
        return _decode_suspect(key.removeprefix(SUSPECT_PREFIX), value)
    if key.startswith(EVACUATION_PREFIX):
        zone = key.removeprefix(EVACUATION_PREFIX)
        value_limits.check_name("zone", zone)
        return cluster_state.EvacuationChange(zone, value is not None)
    if key == CONFIGURATION_KEY and value is not None:
        decoded = configuration.decode_configuration(value)
        return cluster_state.ConfigurationChange(decoded)
    return None


def _decode_suspect(
    name: str, value: bytes | None
) -> cluster_state.SuspectChange:
    """Returns the crash that a suspect key records.

    An unknown value means that the crash counts.

    Args:
        name: The key without its prefix: fingerprint of the request in
            hexadecimal, a slash, and the identity of the target.
        value: Value of the key, or None if it was removed.

    Raises:
        PlatformFormatError: If the fingerprint is not a hexadecimal number of
            64 bits, or the identity is invalid.
    """
    fingerprint_text, _, target = name.partition("/")
    if _FINGERPRINT.fullmatch(fingerprint_text) is None:
        raise errors.PlatformFormatError(
            f"suspect: {value_limits.quote(fingerprint_text)} is no fingerprint"
        )
    value_limits.check_identity(target)
    state = suspect_reports.ReportState.CRASHED
    if value is None:
        state = suspect_reports.ReportState.EXPIRED
    elif value == SUSPECT_ANSWERED:
        state = suspect_reports.ReportState.ANSWERED
    return cluster_state.SuspectChange(int(fingerprint_text, 16), target, state)


def build_suspect_key(fingerprint: int, target: str) -> str:
    """Returns the key that reports a target crash to all VMs.

    Args:
        fingerprint: Fingerprint of the request that was running.
        target: Identity of the target that crashed.
    """
    return f"{SUSPECT_PREFIX}{fingerprint:016x}/{target}"


def encode_report(
    report: suspect_reports.SuspectReport,
) -> tuple[str, bytes | None]:
    """Returns the key of a report and its value, or None to remove it."""
    value = {
        suspect_reports.ReportState.CRASHED: SUSPECT_CRASHED,
        suspect_reports.ReportState.ANSWERED: SUSPECT_ANSWERED,
        suspect_reports.ReportState.EXPIRED: None,
    }[report.state]
    return build_suspect_key(*report.subject), value


def decode_report(
    item: key_values.KeyValue, own_lease: int
) -> tuple[suspect_reports.Subject, suspect_reports.StoredReport] | None:
    """Returns the report that a key holds, or None if it holds none.

    Args:
        item: A key, which may be removed.
        own_lease: Lease of this VM, or 0.
    """
    if not item.key.startswith(SUSPECT_PREFIX):
        return None
    try:
        change = decode_change(item.key, item.value, item.lease)
    except errors.PlatformFormatError:
        return None
    if not isinstance(change, cluster_state.SuspectChange):
        return None
    is_own = bool(own_lease) and item.lease == own_lease
    return (change.fingerprint, change.target), suspect_reports.StoredReport(
        change.state, item.revision, is_own
    )


def _decode_vm(name: str, value: bytes | None) -> fleet.VmEntry | None:
    """Returns the entry of a VM, or None if its key was removed.

    Raises:
        PlatformFormatError: If the value cannot be decoded, or a field is
            invalid.
    """
    if value is None:
        return None
    record = value_limits.decode_msgpack(_vm_decoder, value, MAX_VM_BYTES)
    value_limits.check_identity(name)
    value_limits.check_name("region", record.region, empty_allowed=True)
    value_limits.check_name("zone", record.zone, empty_allowed=True)
    value_limits.check_address("address", record.address)
    value_limits.check_address("peer_address", record.peer_address)
    value_limits.check_range(
        "capacity",
        record.capacity,
        fleet.MIN_CAPACITY_CORES,
        fleet.MAX_CAPACITY_CORES,
    )
    return fleet.VmEntry(
        name,
        record.region,
        record.zone,
        record.address,
        record.peer_address,
        record.capacity,
    )


def encode_vm(entry: fleet.VmEntry) -> tuple[str, bytes]:
    """Returns the key and the value with which a VM registers itself."""
    record = _Vm(
        entry.region,
        entry.zone,
        entry.address,
        entry.peer_address,
        entry.capacity,
    )
    return VM_PREFIX + entry.name, msgspec.msgpack.encode(record)
