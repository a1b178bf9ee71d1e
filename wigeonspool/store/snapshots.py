"""Snapshots of the tables in the store.

A snapshot is compressed and split into parts that are smaller than the maximum
size of a value. The manifest is written last, and only if it is absent. So a
reader never sees an incomplete snapshot, and concurrent writers of the same
generation do not conflict.
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

# Digests of the chain of changes by generation, for some generations up to that
# of the tables.
Lineage = dict[int, str]

_tables_adapter: Final = pydantic.TypeAdapter(entities.Tables)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredSnapshot:
    """Content of a snapshot.

    Attributes:
        tables: The tables.
        lineage: Digests of the generations up to that of the tables.
    """

    tables: entities.Tables
    lineage: Lineage


@dataclasses.dataclass(frozen=True, slots=True)
class Manifest:
    """Describes how to read and verify a snapshot.

    Attributes:
        writer: Identity of the writer, which is in the keys of the parts.
        parts: Number of parts.
        checksum: Digest of all parts together.
        lineage: Digests of the generations up to that of the tables.
    """

    writer: str
    parts: int
    checksum: str
    lineage: Lineage


_manifest_adapter: Final = pydantic.TypeAdapter(Manifest)


def encode_tables(tables: entities.Tables) -> bytes:
    """Returns tables as compressed JSON."""
    return zlib.compress(_tables_adapter.dump_json(tables), level=6)


def decode_tables(data: bytes) -> entities.Tables:
    """Returns the tables in compressed JSON.

    Raises:
        StoreReplyError: If the data is damaged, or if it decompresses to more
            than `MAX_TABLES_BYTES`.
    """
    try:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(data, MAX_TABLES_BYTES)
        return _tables_adapter.validate_python(json.loads(text))
    except (ValueError, zlib.error, pydantic.ValidationError) as error:
        raise errors.StoreReplyError("snapshot", str(error)) from error


def _compute_checksum(data: bytes) -> str:
    """Returns the checksum of the compressed data of a snapshot."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


class SnapshotStore:
    """Writes, reads and removes snapshots."""

    def __init__(self, client: store.StoreClient, prefix: str) -> None:
        self._client = client
        self._manifests_prefix = prefix + MANIFEST_KEY_PREFIX
        self._parts_prefix = prefix + PART_KEY_PREFIX

    def _build_manifest_key(self, generation: int) -> str:
        """Returns the key of a manifest; keys are ordered by generation."""
        return f"{self._manifests_prefix}{generation:016d}"

    def _build_part_prefix(self, generation: int, writer: str) -> str:
        """Returns the common key prefix of the parts of one snapshot."""
        return f"{self._parts_prefix}{generation:016d}/{writer}/"

    async def write(
        self, tables: entities.Tables, lineage: Lineage, writer: str
    ) -> bool:
        """Writes a snapshot, unless there is one of the same generation.

        Args:
            tables: Tables to write.
            lineage: Digests of the generations up to that of the tables.
            writer: Identity of this writer, unique among all writers.

        Returns:
            True if this call wrote the manifest, False if there was one.

        Raises:
            StoreError: If a call failed; another writer may write the snapshot
                later.
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
            StoreError: If a call failed or all tried snapshots are damaged.
        """
        return await self._read_first(newest=True)

    async def read_oldest(self) -> StoredSnapshot | None:
        """Returns the oldest snapshot, or None if there is none.

        Raises:
            StoreError: If a call failed or all tried snapshots are damaged.
        """
        return await self._read_first(newest=False)

    async def _read_first(self, newest: bool) -> StoredSnapshot | None:
        """Returns the newest or oldest snapshot that is not damaged.

        At most `MAX_READ_ATTEMPTS` snapshots are tried.

        Args:
            newest: True to start with the newest one.

        Raises:
            StoreError: If a call failed or all tried snapshots are damaged.
        """
        manifests = await self._client.read_prefix(
            self._manifests_prefix, limit=MAX_READ_ATTEMPTS, newest=newest
        )
        problem: errors.StoreReplyError | None = None
        for entry in manifests:
            try:
                return await self._read(entry)
            except errors.StoreReplyError as error:
                problem = error
        if problem is not None:
            raise problem
        return None

    async def _read(self, entry: records.Entry) -> StoredSnapshot:
        """Returns the snapshot that a manifest describes.

        Raises:
            StoreReplyError: If the manifest or a part is damaged, or if a part
                is missing.
            StoreUnavailableError: If a call failed.
        """
        generation = int(entry.key.rpartition("/")[2])
        try:
            manifest = _manifest_adapter.validate_json(entry.value)
        except pydantic.ValidationError as error:
            raise errors.StoreReplyError("manifest", str(error)) from error
        # Parts are read one by one, so no reply is larger than one value.
        prefix = self._build_part_prefix(generation, manifest.writer)
        parts: list[bytes] = []
        for number in range(manifest.parts):
            part = await self._client.read(f"{prefix}{number:04d}")
            parts.append(b"" if part is None else part.value)
        data = b"".join(parts)
        if _compute_checksum(data) != manifest.checksum:
            raise errors.StoreReplyError("snapshot", "checksum differs")
        return StoredSnapshot(decode_tables(data), manifest.lineage)

    async def remove_before(self, generation: int) -> None:
        """Removes the snapshots of older generations.

        Raises:
            StoreError: If a call failed.
        """
        end = f"{generation:016d}"
        await self._client.remove_range(
            self._manifests_prefix, self._manifests_prefix + end
        )
        await self._client.remove_range(
            self._parts_prefix, self._parts_prefix + end
        )
