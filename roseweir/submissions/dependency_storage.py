"""Stores a job's dependencies: in the job's record, or under separate keys if the record has no room.

Ids under separate keys are compressed and split into parts, one key each. The keys contain a digest of the ids, so
writing them again, or writing those of another request body with the same job id, never changes the ids that a record
refers to. The parts are written before the record and deleted when the job completes, or later, since parts of a
completed job are never read. No part may be deleted before the job has completed, since the job's record may be about
to be written.
"""

import hashlib
import zlib
from base64 import b64decode, b64encode
from collections.abc import Container, Iterable

import msgspec
import orjson

from roseweir.kv_store import KeyValueStoreClient, StoreError
from roseweir.submissions.jobs import COMPLETED_JOB_PREFIX, JobSpec, StoredDependencies, to_stored

DEPENDENCY_PART_PREFIX = "awaits/"
# The smallest value limit of a key-value store (`state.value_kb`), less a margin, as the store may count its own
# serialization of the JSON value. Larger values are never written, whatever the limit is now: it may be lowered without
# notice.
MAX_VALUE_BYTES = 2048 - 128
# The ids of a request body, which is at most 64 KiB, always fit; this service never writes more.
MAX_DECOMPRESSED_BYTES = 128 * 1024
DIGEST_LENGTH = 20


class DependenciesUnreadable(StoreError):
    """A part is missing because the job has completed meanwhile, or can't be decoded."""


class DependencyParts(msgspec.Struct, frozen=True):
    """Ids to store under separate keys: the reference for the job's record, and the values by key."""

    dependencies: StoredDependencies
    values_by_key: dict[str, str]


def dependency_part_keys(job_id: str, dependencies: StoredDependencies) -> list[str]:
    """Return the keys that hold a job's dependency ids, in order; none if the record itself holds them."""
    return [
        f"{DEPENDENCY_PART_PREFIX}{job_id}/{dependencies.digest}/{number}" for number in range(dependencies.part_count)
    ]


def split_part_keys_for_completion(
    job_id: str, dependencies: StoredDependencies, max_keys: int
) -> tuple[list[str], list[str]]:
    """Return the keys to delete in the transaction that completes the job, at most `max_keys`, and the rest."""
    keys = dependency_part_keys(job_id, dependencies)
    max_keys = max(0, max_keys)
    return keys[:max_keys], keys[max_keys:]


def fits_job_record(spec: JobSpec) -> bool:
    """Whether the job's record, including its dependency ids, fits the smallest value limit."""
    return len(orjson.dumps(to_stored(spec))) <= MAX_VALUE_BYTES


def split_dependencies(job_id: str, job_ids: Iterable[str]) -> DependencyParts:
    """Return a job's dependency ids as values of at most `MAX_VALUE_BYTES` each, to store under separate keys."""
    raw = "\n".join(sorted(job_ids)).encode()
    digest = hashlib.sha256(raw).hexdigest()[:DIGEST_LENGTH]
    text = b64encode(zlib.compress(raw)).decode()
    piece_length = MAX_VALUE_BYTES - len('""')
    pieces = [text[at : at + piece_length] for at in range(0, len(text), piece_length)]
    dependencies = StoredDependencies(part_count=len(pieces), digest=digest)
    return DependencyParts(dependencies, dict(zip(dependency_part_keys(job_id, dependencies), pieces, strict=True)))


def join_dependencies(pieces: Iterable[str]) -> list[str]:
    """Return the sorted job ids that were split into these pieces.

    Raises:
        ValueError, zlib.error: the pieces are not a complete result of `split_dependencies`.
    """
    decompressor = zlib.decompressobj()
    raw = decompressor.decompress(b64decode("".join(pieces)), MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof:
        raise ValueError("the job ids are truncated")
    return raw.decode().split("\n")


async def read_dependencies(kv_store: KeyValueStoreClient, spec: JobSpec) -> list[str]:
    """Return the ids of a job's dependencies, wherever they are stored.

    Raises:
        DependenciesUnreadable: the job has completed meanwhile, or the parts can't be read.
        StoreError, Unreachable: the key-value store did not answer.
    """
    dependencies = spec.dependencies
    if not dependencies.part_count:
        return list(dependencies.job_ids)
    keys = dependency_part_keys(spec.id, dependencies)
    entries = await kv_store.get_many(keys)
    pieces: list[str] = []
    for key in keys:
        entry = entries[key]
        if entry is None:
            raise DependenciesUnreadable(f"{key} is missing")
        pieces.append(entry.value)
    try:
        return join_dependencies(pieces)
    except (TypeError, ValueError, zlib.error) as e:
        raise DependenciesUnreadable(f"dependencies of {spec.id} can't be read: {e}") from e


async def orphaned_part_keys(kv_store: KeyValueStoreClient, live_jobs: Container[str]) -> list[str]:
    """Return the keys of parts that belong to completed jobs, which are no longer read.

    Parts of a job that is neither live nor completed are not returned: its record may be about to be written.
    `live_jobs` may be outdated, as a completed job never becomes live again.
    """
    entries, _ = await kv_store.scan(DEPENDENCY_PART_PREFIX)
    job_id_by_key = {entry.key: entry.key.removeprefix(DEPENDENCY_PART_PREFIX).partition("/")[0] for entry in entries}
    completed_entries = await kv_store.get_many(
        COMPLETED_JOB_PREFIX + job_id for job_id in sorted(set(job_id_by_key.values())) if job_id not in live_jobs
    )
    return [
        key for key, job_id in job_id_by_key.items() if completed_entries.get(COMPLETED_JOB_PREFIX + job_id) is not None
    ]
