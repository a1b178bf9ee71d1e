"""Changes of the tables that lose no change of another operator."""

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

EDIT_ATTEMPTS: Final = 20
RETRY_SECONDS: Final = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """A change and what it does.

    Attributes:
        change: The change; it is empty if nothing differs.
        generation: Generation that holds what was wanted.
        differences: What it alters.
    """

    change: changes.Change
    generation: int
    differences: list[differences.Difference]


def plan_edit(held: entities.Tables, wanted: entities.Tables) -> Edit:
    """Returns the change that leads from held to wanted tables."""
    change = changes.diff_tables(
        held, wanted, uuid.uuid4().hex, getpass.getuser(), time.time()
    )
    generation = held.generation if change.is_empty() else change.generation
    return Edit(change, generation, differences.compare_tables(held, wanted))


async def plan_tables(
    log: change_log.ChangeLog,
    wanted: entities.Tables,
    base: int | None = None,
) -> Edit:
    """Returns the change that makes the tables equal to wanted ones.

    Args:
        log: Log of changes.
        wanted: Tables that shall exist.
        base: Generation that the operator worked from, if it must be the head.

    Raises:
        StoreError: If the store could not serve a call.
        BaseOutdatedError: If the head is another generation than `base`.
    """
    held = await log.read_tables()
    if base is not None and base != held.generation:
        lost_to = await versions.describe_between(log, base)
        raise errors.BaseOutdatedError(base, held.generation, lost_to)
    return plan_edit(held, wanted)


async def put_tables(
    log: change_log.ChangeLog,
    wanted: entities.Tables,
    base: int | None = None,
) -> Edit:
    """Makes the tables equal to wanted ones, or changes nothing.

    Args:
        log: Log of changes.
        wanted: Tables that shall exist.
        base: Generation that the operator worked from, if it must be the head.

    Raises:
        BaseOutdatedError: If another operator's change came first.
        ChangeUnknownError: If the outcome could not be learned.
        ChangeTooLargeError: If the store cannot hold the change.
        StoreError: If the store could not serve a call.
    """
    edit = await plan_tables(log, wanted, base)
    if edit.change.is_empty():
        return edit
    try:
        await log.propose(edit.change)
    except errors.ChangeConflictError as error:
        held = edit.change.generation - 1
        lost_to = await versions.describe_between(log, held)
        raise errors.BaseOutdatedError(
            held, error.generation, lost_to
        ) from error
    return edit


async def edit_tables(
    log: change_log.ChangeLog,
    alter: Callable[[entities.Tables], entities.Tables],
) -> Edit:
    """Alters the tables; a change that came first is read and built on.

    Args:
        log: Log of changes.
        alter: Returns the tables wanted, given those held.

    Raises:
        ChangeConflictError: If other changes came first each time.
        ChangeUnknownError: If the outcome could not be learned.
        StoreError: If the store could not serve a call.
    """
    attempts = 0
    while True:
        held = await log.read_tables()
        edit = plan_edit(held, alter(held))
        if edit.change.is_empty():
            return edit
        attempts += 1
        try:
            await log.propose(edit.change)
        except (errors.ChangeConflictError, errors.ChangeUnknownError):
            # A write that takes effect late holds the generation that the
            # next attempt would take, so only one of the two can exist.
            if attempts >= EDIT_ATTEMPTS:
                raise
            await asyncio.sleep(RETRY_SECONDS)
            continue
        return edit
