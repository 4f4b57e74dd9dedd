"""Which tasks of a job are done, as compact values of the state service."""

import zlib
from base64 import b85decode, b85encode
from collections.abc import Iterable, Iterator

from roseweir.submissions.jobs import COMPLETED_TASKS_PREFIX, TASKS_PER_CHUNK


def chunk_key(job_id: str, number: int) -> str:
    return f"{COMPLETED_TASKS_PREFIX}{job_id}/{number}"


def chunk_numbers(task_count: int) -> range:
    """Numbers of the chunks that a job of so many tasks may have."""
    return range((task_count + TASKS_PER_CHUNK - 1) // TASKS_PER_CHUNK)


def split_chunk_keys_for_completion(job_id: str, numbers: Iterable[int], txn_ops: int) -> tuple[list[str], list[str]]:
    """Keys of these chunks that go in the transaction of the job's end, and those left to be tidied up.

    The end itself takes two changes. A transaction of 8 has no room for the 13 chunks of 100,000 tasks, and nobody
    reads a chunk of a job that is over: what is left costs room, not truth.
    """
    max_keys = txn_ops - 2
    return (
        [chunk_key(job_id, number) for number in sorted(numbers) if number < max_keys],
        [chunk_key(job_id, number) for number in sorted(numbers) if number >= max_keys],
    )


def encode_bitmap(bitmap: bytes) -> str:
    """At most 1,024 bytes of bits; about 1.3 KB as text, much less for mostly full or empty ones."""
    return b85encode(zlib.compress(bitmap, 1)).decode()


def decode_task_numbers(text: str, first_task: int) -> Iterator[int]:
    for offset, byte in enumerate(zlib.decompress(b85decode(text))):
        while byte:
            lowest_bit = byte & -byte
            yield first_task + offset * 8 + lowest_bit.bit_length() - 1
            byte ^= lowest_bit
