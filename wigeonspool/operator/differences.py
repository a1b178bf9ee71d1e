"""Compares two states of the tables, field by field."""

from collections.abc import Iterable, Iterator, Mapping
import dataclasses
from typing import Any, Final

from wigeonspool.model import changes
from wigeonspool.model import entities

# The targets of a pool are compared one by one, by address.
TARGETS_FIELD: Final = "targets"
# Value before a change whose previous tables are not in the log any more.
UNKNOWN_VALUE: Final = "not kept"


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One difference between two states of the tables.

    Attributes:
        table: "pool" or "route".
        row: Name of the row.
        field: Name of the field that changes; "row" if the values before are
            unknown, or "" if a row or target is added or removed.
        target: Address of the target that differs, or "" for the row itself.
        before: Value before; None if there was none, or `UNKNOWN_VALUE`.
        after: Value after; None if there is none.
    """

    table: str
    row: str
    field: str
    target: str
    before: Any
    after: Any


def _compare_fields(
    table: str, row: str, target: str, before: Any, after: Any
) -> Iterator[Difference]:
    """Yields the fields that differ between two rows or two targets."""
    for field in dataclasses.fields(before):
        if field.name == TARGETS_FIELD:
            continue
        old = getattr(before, field.name)
        new = getattr(after, field.name)
        if old != new:
            yield Difference(table, row, field.name, target, old, new)


def _compare_targets(
    pool: str,
    before: Iterable[entities.Target],
    after: Iterable[entities.Target],
) -> Iterator[Difference]:
    """Yields what differs between the targets of one pool."""
    old = {target.address: target for target in before}
    new = {target.address: target for target in after}
    for address in sorted(old.keys() | new.keys()):
        if address in old and address in new:
            yield from _compare_fields(
                "pool", pool, address, old[address], new[address]
            )
        else:
            yield Difference(
                "pool", pool, "", address, old.get(address), new.get(address)
            )


def _compare_rows(
    table: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[Difference]:
    """Yields what differs between two states of one table."""
    for name in sorted(before.keys() | after.keys()):
        old = before.get(name)
        new = after.get(name)
        if old is None or new is None:
            yield Difference(table, name, "", "", old, new)
            continue
        yield from _compare_fields(table, name, "", old, new)
        if isinstance(old, entities.Pool) and isinstance(new, entities.Pool):
            yield from _compare_targets(name, old.targets, new.targets)


def compare_tables(
    before: entities.Tables, after: entities.Tables
) -> list[Difference]:
    """Returns all differences from one state of the tables to another."""
    return [
        *_compare_rows("pool", before.pools, after.pools),
        *_compare_rows("route", before.routes, after.routes),
    ]


def describe_change(change: changes.Change) -> list[Difference]:
    """Returns the rows that a change writes or removes.

    This is for a change whose previous tables are unknown, so that its
    differences to them cannot be computed.
    """
    written: list[tuple[str, entities.Pool | entities.Route]] = [
        *(("pool", pool) for pool in change.put_pools),
        *(("route", route) for route in change.put_routes),
    ]
    removed = [
        *(("pool", name) for name in change.removed_pools),
        *(("route", name) for name in change.removed_routes),
    ]
    return [
        *(
            Difference(
                table, row.name, "row", "", UNKNOWN_VALUE, _summarize(row)
            )
            for table, row in written
        ),
        *(
            Difference(table, name, "row", "", UNKNOWN_VALUE, "removed")
            for table, name in removed
        ),
    ]


def _format_value(value: Any) -> str:
    """Returns a value as text; booleans are written as in YAML."""
    if isinstance(value, bool):
        return str(value).lower()
    return str(value)


def _summarize(value: Any) -> str:
    """Returns a summary of a row or target that is added or removed."""
    if isinstance(value, entities.Pool):
        return f"{len(value.targets)} targets of {value.slots} slots"
    if isinstance(value, entities.Route):
        return f"{value.method} {value.path_prefix} to pool {value.pool}"
    assert isinstance(value, entities.Target)
    state = ", drained" if value.drained else ""
    return f"zone {value.zone}{state}"


def format_difference(difference: Difference) -> str:
    """Returns a difference as a line of text, marked with +, - or ~."""
    location = f"{difference.table} {difference.row}"
    if difference.target:
        location += f" target {difference.target}"
    if difference.field:
        before = _format_value(difference.before)
        after = _format_value(difference.after)
        return f"~ {location}: {difference.field}: {before} -> {after}"
    if difference.before is None:
        return f"+ {location}: {_summarize(difference.after)}"
    return f"- {location}: {_summarize(difference.before)}"
