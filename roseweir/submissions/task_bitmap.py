"""Bitmaps of a job's completed tasks, as compact values of the key-value store.

A job's bitmap is stored in chunks of `TASKS_PER_CHUNK` tasks, one key each.
"""

import zlib
from base64 import b85decode, b85encode
from collections.abc import Iterable, Iterator

from roseweir.submissions.jobs import COMPLETED_TASKS_PREFIX, TASKS_PER_CHUNK


def chunk_key(job_id: str, number: int) -> str:
    """Return the key of one chunk of a job's bitmap."""
    return f"{COMPLETED_TASKS_PREFIX}{job_id}/{number}"


def chunk_numbers(task_count: int) -> range:
    """Return the numbers of the chunks that a job with `task_count` tasks may have."""
    return range((task_count + TASKS_PER_CHUNK - 1) // TASKS_PER_CHUNK)


def split_chunk_keys_for_completion(
    job_id: str, numbers: Iterable[int], max_txn_ops: int
) -> tuple[list[str], list[str]]:
    """Return the keys to delete in the transaction that completes the job, and those to delete later.

    The completion itself takes two of the transaction's `max_txn_ops` operations. A transaction of 8 operations has no
    room for the 13 chunks of 100,000 tasks. Chunks of a completed job are never read, so remaining ones only take up
    space.
    """
    max_keys = max_txn_ops - 2
    return (
        [chunk_key(job_id, number) for number in sorted(numbers) if number < max_keys],
        [chunk_key(job_id, number) for number in sorted(numbers) if number >= max_keys],
    )


def encode_bitmap(bitmap: bytes) -> str:
    """Return a chunk of at most 1,024 bytes as text: about 1.3 KB, much less if it is mostly full or empty."""
    return b85encode(zlib.compress(bitmap, 1)).decode()


def decode_task_numbers(text: str, first_task: int) -> Iterator[int]:
    """Yield the numbers of the completed tasks of an encoded chunk whose first bit is task `first_task`."""
    for offset, byte in enumerate(zlib.decompress(b85decode(text))):
        while byte:
            lowest_bit = byte & -byte
            yield first_task + offset * 8 + lowest_bit.bit_length() - 1
            byte ^= lowest_bit
