"""Which tasks of a job are done, as compact values of the state service."""

import zlib
from base64 import b85decode, b85encode
from collections.abc import Iterable, Iterator

from roseweir.submissions.jobs import CHUNK_TASKS, DONE_TASKS


def chunk_key(job_id: str, number: int) -> str:
    return f"{DONE_TASKS}{job_id}/{number}"


def chunks_of(tasks: int) -> range:
    """Numbers of the chunks that a job of so many tasks may have."""
    return range((tasks + CHUNK_TASKS - 1) // CHUNK_TASKS)


def at_the_end(job_id: str, numbers: Iterable[int], txn_ops: int) -> tuple[list[str], list[str]]:
    """Keys of these chunks that go in the transaction of the job's end, and those left to be tidied up.

    The end itself takes two changes. A transaction of 8 has no room for the 13 chunks of 100,000 tasks, and nobody
    reads a chunk of a job that is over: what is left costs room, not truth.
    """
    room = txn_ops - 2
    return (
        [chunk_key(job_id, number) for number in sorted(numbers) if number < room],
        [chunk_key(job_id, number) for number in sorted(numbers) if number >= room],
    )


def encode_bits(bits: bytes) -> str:
    """At most 1,024 bytes of bits; about 1.3 KB as text, much less for mostly full or empty ones."""
    return b85encode(zlib.compress(bits, 1)).decode()


def decode_bits(text: str, first: int) -> Iterator[int]:
    for offset, byte in enumerate(zlib.decompress(b85decode(text))):
        while byte:
            low = byte & -byte
            yield first + offset * 8 + low.bit_length() - 1
            byte ^= low
