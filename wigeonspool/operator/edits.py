"""Changes the tables without overwriting changes of other operators."""

import asyncio
from collections.abc import Callable
import dataclasses
import getpass
import time
from typing import Final
import uuid

from wigeonspool.model import changes
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.operator import differences
from wigeonspool.operator import versions
from wigeonspool.store import change_log

MAX_EDIT_ATTEMPTS: Final = 20
RETRY_DELAY_SECONDS: Final = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """A change and the differences that it makes.

    Attributes:
        change: The change; it is empty if nothing differs.
        generation: Generation of the desired tables; the current one if nothing
            differs.
        differences: Differences between the tables before and after.
    """

    change: changes.Change
    generation: int
    differences: list[differences.Difference]


def plan_edit(current: entities.Tables, desired: entities.Tables) -> Edit:
    """Returns the change from the current tables to the desired ones."""
    change = changes.diff_tables(
        current, desired, uuid.uuid4().hex, getpass.getuser(), time.time()
    )
    generation = current.generation if change.is_empty() else change.generation
    return Edit(
        change, generation, differences.compare_tables(current, desired)
    )


async def plan_replacement(
    log: change_log.ChangeLog,
    desired: entities.Tables,
    base: int | None = None,
) -> Edit:
    """Returns the change that replaces the tables with the desired ones.

    Args:
        log: Log of changes.
        desired: Complete tables after the change.
        base: Generation that the desired tables are based on, which must be
            the head of the log; None to accept any head.

    Raises:
        StoreError: If the store could not serve a call.
        ChainBrokenError: If the changes of the log do not form a chain.
        BaseOutdatedError: If the head is another generation than `base`.
    """
    current = await log.read_tables()
    if base is not None and base != current.generation:
        intervening_changes = await versions.describe_changes_after(log, base)
        raise errors.BaseOutdatedError(
            base, current.generation, intervening_changes
        )
    return plan_edit(current, desired)


async def replace_tables(
    log: change_log.ChangeLog,
    desired: entities.Tables,
    base: int | None = None,
) -> Edit:
    """Replaces the tables with the desired ones, or changes nothing.

    Args:
        log: Log of changes.
        desired: Complete tables after the change.
        base: Generation that the desired tables are based on, which must be
            the head of the log; None to accept any head.

    Raises:
        BaseOutdatedError: If another operator changed the tables first.
        ChangeOutcomeUnknownError: If the outcome of the write is unknown.
        ChangeTooLargeError: If the store cannot hold the change.
        ChainBrokenError: If the changes of the log do not form a chain.
        StoreError: If the store could not serve a call.
    """
    edit = await plan_replacement(log, desired, base)
    if edit.change.is_empty():
        return edit
    try:
        await log.propose(edit.change)
    except errors.ChangeConflictError as error:
        planned_base = edit.change.generation - 1
        intervening_changes = await versions.describe_changes_after(
            log, planned_base
        )
        raise errors.BaseOutdatedError(
            planned_base, error.generation, intervening_changes
        ) from error
    return edit


async def edit_tables(
    log: change_log.ChangeLog,
    transform: Callable[[entities.Tables], entities.Tables],
) -> Edit:
    """Writes transformed tables; starts again if another change came first.

    Args:
        log: Log of changes.
        transform: Returns the desired tables, given the current ones. It is
            called once for each attempt.

    Raises:
        ChangeConflictError: If other changes came first at each attempt.
        ChangeOutcomeUnknownError: If the outcome of the last attempt is
            unknown.
        ChangeTooLargeError: If the store cannot hold the change.
        ChainBrokenError: If the changes of the log do not form a chain.
        StoreError: If the store could not serve a call.
    """
    attempts = 0
    while True:
        current = await log.read_tables()
        edit = plan_edit(current, transform(current))
        if edit.change.is_empty():
            return edit
        attempts += 1
        try:
            await log.propose(edit.change)
        except (errors.ChangeConflictError, errors.ChangeOutcomeUnknownError):
            # A retry cannot apply a change twice: a write that takes effect
            # late occupies the generation that the next attempt would use, so
            # only one of the two can succeed.
            if attempts >= MAX_EDIT_ATTEMPTS:
                raise
            await asyncio.sleep(RETRY_DELAY_SECONDS)
            continue
        return edit
