"""Snapshots of the tables in the store, and the removal of old changes.

A snapshot is compressed and cut into parts below the store's bound on values.
Its manifest is written last and only if absent, so a reader never sees half a
snapshot, and two writers of one generation do no harm.
"""

import dataclasses
import hashlib
import json
from typing import Final
import zlib

import pydantic

from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.store import records
from wigeonspool.store import store

MANIFEST_KEY_PREFIX: Final = "config/snapshot/"
PART_KEY_PREFIX: Final = "config/part/"
MAX_PART_BYTES: Final = 512 * 1024
MAX_READ_ATTEMPTS: Final = 3
DIGEST_BYTES: Final = 16
MAX_TABLES_BYTES: Final = 64 * 1024 * 1024

# A digest of the chain by generation, for some generations up to the tables'.
Lineage = dict[int, str]

_tables_adapter: Final = pydantic.TypeAdapter(entities.Tables)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredSnapshot:
    """Tables as a snapshot holds them.

    Attributes:
        tables: The tables.
        lineage: Digests of the generations that led to them.
    """

    tables: entities.Tables
    lineage: Lineage


@dataclasses.dataclass(frozen=True, slots=True)
class Manifest:
    """What a reader needs to fetch and check a snapshot.

    Attributes:
        writer: Identity in the keys of the parts.
        parts: Number of parts.
        checksum: Digest of all parts together.
        lineage: Digests of the generations that led to the tables.
    """

    writer: str
    parts: int
    checksum: str
    lineage: Lineage


_manifest_adapter: Final = pydantic.TypeAdapter(Manifest)


def encode_tables(tables: entities.Tables) -> bytes:
    """Returns the compressed form of tables."""
    return zlib.compress(_tables_adapter.dump_json(tables), level=6)


def decode_tables(data: bytes) -> entities.Tables:
    """Returns the tables in their compressed form.

    Raises:
        StoreAnswerError: If the bytes are damaged.
    """
    try:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(data, MAX_TABLES_BYTES)
        return _tables_adapter.validate_python(json.loads(text))
    except (ValueError, zlib.error, pydantic.ValidationError) as error:
        raise errors.StoreAnswerError("snapshot", str(error)) from error


def _compute_checksum(data: bytes) -> str:
    """Returns the checksum of a snapshot's bytes."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


class SnapshotStore:
    """Writes, reads and removes snapshots."""

    def __init__(self, client: store.StoreClient, prefix: str) -> None:
        self._client = client
        self._manifests_prefix = prefix + MANIFEST_KEY_PREFIX
        self._parts_prefix = prefix + PART_KEY_PREFIX

    def _build_manifest_key(self, generation: int) -> str:
        """Returns the key of a manifest; keys sort by generation."""
        return f"{self._manifests_prefix}{generation:016d}"

    def _build_part_prefix(self, generation: int, writer: str) -> str:
        """Returns the common prefix of the parts of one snapshot."""
        return f"{self._parts_prefix}{generation:016d}/{writer}/"

    async def write(
        self, tables: entities.Tables, lineage: Lineage, writer: str
    ) -> bool:
        """Writes a snapshot unless its generation has one.

        Args:
            tables: Tables to save.
            lineage: Digests of the generations that led to them.
            writer: Identity of this writer, unique among all.

        Returns:
            True if this call made it visible.

        Raises:
            StoreError: If the store could not serve a call; a later writer
                may try again.
        """
        key = self._build_manifest_key(tables.generation)
        if await self._client.read(key) is not None:
            return False
        data = encode_tables(tables)
        prefix = self._build_part_prefix(tables.generation, writer)
        starts = range(0, len(data), MAX_PART_BYTES)
        for number, start in enumerate(starts):
            part = data[start : start + MAX_PART_BYTES]
            await self._client.create(f"{prefix}{number:04d}", part)
        manifest = Manifest(
            writer, len(starts), _compute_checksum(data), lineage
        )
        return await self._client.create(
            key, _manifest_adapter.dump_json(manifest)
        )

    async def read_newest(self) -> StoredSnapshot | None:
        """Returns the newest snapshot, or None if there is none.

        Raises:
            StoreError: If the store could not serve a call or all snapshots
                are damaged.
        """
        return await self._read_first(newest=True)

    async def read_oldest(self) -> StoredSnapshot | None:
        """Returns the oldest kept snapshot, or None if there is none.

        Raises:
            StoreError: If the store could not serve a call or all snapshots
                are damaged.
        """
        return await self._read_first(newest=False)

    async def _read_first(self, newest: bool) -> StoredSnapshot | None:
        """Returns the first snapshot in an order that is not damaged.

        Raises:
            StoreError: If the store could not serve a call or all snapshots
                are damaged.
        """
        found = await self._client.read_prefix(
            self._manifests_prefix, limit=MAX_READ_ATTEMPTS, newest=newest
        )
        problem: errors.StoreAnswerError | None = None
        for entry in found:
            try:
                return await self._read(entry)
            except errors.StoreAnswerError as error:
                problem = error
        if problem is not None:
            raise problem
        return None

    async def _read(self, entry: records.Entry) -> StoredSnapshot:
        """Returns the snapshot of one manifest.

        Raises:
            StoreAnswerError: If a part is missing or damaged.
            StoreUnavailableError: If the store could not serve the call.
        """
        generation = int(entry.key.rpartition("/")[2])
        try:
            manifest = _manifest_adapter.validate_json(entry.value)
        except pydantic.ValidationError as error:
            raise errors.StoreAnswerError("manifest", str(error)) from error
        # Parts are read one by one, so that no answer exceeds one value.
        prefix = self._build_part_prefix(generation, manifest.writer)
        pieces: list[bytes] = []
        for number in range(manifest.parts):
            part = await self._client.read(f"{prefix}{number:04d}")
            pieces.append(b"" if part is None else part.value)
        data = b"".join(pieces)
        if _compute_checksum(data) != manifest.checksum:
            raise errors.StoreAnswerError("snapshot", "checksum differs")
        return StoredSnapshot(decode_tables(data), manifest.lineage)

    async def remove_before(self, generation: int) -> None:
        """Removes the snapshots of older generations.

        Raises:
            StoreError: If the store could not serve a call.
        """
        end = f"{generation:016d}"
        await self._client.remove_range(
            self._manifests_prefix, self._manifests_prefix + end
        )
        await self._client.remove_range(
            self._parts_prefix, self._parts_prefix + end
        )
