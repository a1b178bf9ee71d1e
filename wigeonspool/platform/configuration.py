"""The log of configuration changes, kept in the store.

A change is created under its generation only if that key is absent, so the
store arbitrates between operators: one writer wins each generation.
"""

import contextlib
import json
from typing import Final

import pydantic

from wigeonspool.model import changes
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.platform import store

CHANGES: Final = "config/change/"
READ_ATTEMPTS: Final = 5

_adapter: Final = pydantic.TypeAdapter(changes.Change)


def encode_change(change: changes.Change) -> bytes:
    """Returns the stored form of a change.

    Raises:
        ChangeTooLargeError: If it exceeds the store's bound on values.
    """
    value = _adapter.dump_json(change)
    if len(value) > store.MAX_VALUE_BYTES:
        raise errors.ChangeTooLargeError(len(value), store.MAX_VALUE_BYTES)
    return value


def decode_change(value: bytes) -> changes.Change:
    """Returns the change in a stored value.

    Raises:
        StoreAnswerError: If the value is not a change.
    """
    try:
        return _adapter.validate_python(json.loads(value))
    except (ValueError, pydantic.ValidationError) as error:
        raise errors.StoreAnswerError("change", str(error)) from error


class ChangeLog:
    """Reads and extends the log of changes."""

    def __init__(self, client: store.StoreClient, prefix: str) -> None:
        self._client = client
        self._prefix = prefix + CHANGES

    @property
    def prefix(self) -> str:
        """Key prefix of the log."""
        return self._prefix

    def _key(self, generation: int) -> str:
        """Returns the key of a generation; keys sort by generation."""
        return f"{self._prefix}{generation:016d}"

    async def read_after(self, generation: int) -> list[changes.Change]:
        """Returns all changes after a generation, oldest first.

        Raises:
            StoreError: If the store could not serve the call.
        """
        entries = await self._client.read_prefix(
            self._prefix, after=self._key(generation)
        )
        return [decode_change(entry.value) for entry in entries]

    async def read_tables(self) -> entities.Tables:
        """Returns the tables at the head of the log.

        Raises:
            StoreError: If the store could not serve the call.
        """
        tables = entities.EMPTY_TABLES
        for change in await self.read_after(0):
            tables = changes.apply_change(tables, change)
        return tables

    async def propose(self, change: changes.Change) -> None:
        """Writes a change; returns once it is known to hold its generation.

        Args:
            change: Change to write, based on the generation before its own.

        Raises:
            ChangeConflictError: If another change holds the generation.
            ChangeUnknownError: If the outcome could not be learned.
            ChangeTooLargeError: If the store cannot hold the change.
            StoreAnswerError: If the store broke its protocol.
        """
        value = encode_change(change)
        # A lost write may still have taken effect; reading decides.
        with contextlib.suppress(errors.StoreUnavailableError):
            await self._client.create(self._key(change.generation), value)
        holder = await self._read_holder(change)
        if holder.change_id != change.change_id:
            raise errors.ChangeConflictError(
                change.generation, holder.author, holder.change_id
            )

    async def _read_holder(self, change: changes.Change) -> changes.Change:
        """Returns the change that holds a generation.

        Raises:
            ChangeUnknownError: If the generation could not be read, or is
                still free, in which case a late write may yet take it.
        """
        for _ in range(READ_ATTEMPTS):
            try:
                entry = await self._client.read(self._key(change.generation))
            except errors.StoreUnavailableError:
                continue
            if entry is not None:
                return decode_change(entry.value)
            break
        raise errors.ChangeUnknownError(change.generation, change.change_id)
