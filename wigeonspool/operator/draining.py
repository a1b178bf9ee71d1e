"""Drains targets and returns them to service, by changing the tables."""

import dataclasses
from typing import Final

import aiohttp

from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.operator import arguments
from wigeonspool.operator import edits
from wigeonspool.operator import sessions
from wigeonspool.store import vms

VM_LIST_TIMEOUT_SECONDS: Final = 2.0


def mark_drained(
    tables: entities.Tables, address: str, drained: bool
) -> entities.Tables:
    """Returns a copy of tables in which a target is drained or in service.

    All pools that list the target are changed.

    Args:
        tables: Tables to copy.
        address: host:port of the target.
        drained: True if the target shall receive no new requests.

    Raises:
        TargetUnknownError: If no pool lists the target.
    """
    pools = dict(tables.pools)
    is_listed = False
    for pool in tables.pools.values():
        if all(target.address != address for target in pool.targets):
            continue
        is_listed = True
        targets = tuple(
            dataclasses.replace(target, drained=drained)
            if target.address == address
            else target
            for target in pool.targets
        )
        pools[pool.name] = dataclasses.replace(pool, targets=targets)
    if not is_listed:
        raise errors.TargetUnknownError(address)
    return dataclasses.replace(tables, pools=pools)


async def set_drained(
    name: str, drained: bool, vm_list: str, where: arguments.StoreLocation
) -> edits.Edit:
    """Drains a target or returns it to service.

    Args:
        name: host:port of the target, or the name of its VM.
        drained: True if the target shall receive no new requests.
        vm_list: URL of the VM list.
        where: The store.

    Raises:
        TargetUnknownError: If no pool lists the target, or the VM list does
            not name the VM.
        VmListError: If a VM is named and the VM list could not be read.
        ChangeConflictError: If other changes came first at each attempt.
        ChangeOutcomeUnknownError: If the outcome of the last attempt is
            unknown.
        ChangeTooLargeError: If the store cannot hold the change.
        ChainBrokenError: If the changes of the log do not form a chain.
        StoreError: If the store could not serve a call.
    """
    address = await find_target_address(name, vm_list)

    def mark_target(tables: entities.Tables) -> entities.Tables:
        return mark_drained(tables, address, drained)

    async with sessions.open_log(where.store, where.prefix) as log:
        return await edits.edit_tables(log, mark_target)


async def find_target_address(name: str, vm_list: str) -> str:
    """Returns the address of a target, given its address or its VM.

    Args:
        name: host:port of the target, or the name of its VM.
        vm_list: URL of the VM list, which is read only for the name of a VM.

    Raises:
        TargetUnknownError: If the VM list has no target VM of that name.
        VmListError: If the VM list could not be read.
    """
    if ":" in name:
        return name
    async with aiohttp.ClientSession() as session:
        listed_vms = await vms.read_vms(
            session, vm_list, VM_LIST_TIMEOUT_SECONDS
        )
    for vm in listed_vms:
        if vm.name == name and vm.role == "target":
            return vm.address
    raise errors.TargetUnknownError(name)
