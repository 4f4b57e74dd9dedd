"""Keys of the write-ahead log in the key-value store, and the identifiers of starts within its values.

The log consists of segments and deltas below one prefix: `places/0007` is segment 7, `places/note-3` is delta 3.
"""

from collections.abc import Iterable

from roseweir.scheduler.model import Placement

LOG_PREFIX = "places/"
DELTA_KEY_PREFIX = "note-"


def segment_key(number: int) -> str:
    """Return the key of a segment."""
    return f"{LOG_PREFIX}{number:04d}"


def delta_key(number: int) -> str:
    """Return the key of a delta."""
    return f"{LOG_PREFIX}{DELTA_KEY_PREFIX}{number}"


def is_delta_key(key: str) -> bool:
    """Return whether a key of the log is a delta's; it is a segment's otherwise."""
    return key.startswith(LOG_PREFIX + DELTA_KEY_PREFIX)


def parse_delta_key(key: str) -> int:
    """Return the number of the delta with this key.

    Raises:
        ValueError: The key ends in no number.
    """
    return int(key.removeprefix(LOG_PREFIX + DELTA_KEY_PREFIX))


def parse_segment_key(key: str) -> int:
    """Return the number of the segment with this key.

    Raises:
        ValueError: The key ends in no number.
    """
    return int(key.removeprefix(LOG_PREFIX))


def encode_start_id(placement: Placement) -> str:
    """Return a start's identifier: `attempt`, or `attempt.replacement` for a replacement in a gang.

    Of two logged starts of one task the one with the newer identifier counts.
    """
    return (
        f"{placement.attempt}.{placement.replacement_number}"
        if placement.replacement_number
        else str(placement.attempt)
    )


def decode_start_id(start_id: str) -> tuple[int, int]:
    """Return the attempt and the replacement number of a start's identifier; newer starts compare greater.

    Raises:
        ValueError: The identifier is not of the form that `encode_start_id` returns.
    """
    attempt, _, replacement_number = start_id.partition(".")
    return int(attempt), int(replacement_number or 0)


def encode_machine_tasks(placements: Iterable[Placement]) -> dict[str, dict[str, list[int]]]:
    """Return `{job id: {start id: [task indices]}}` of placements on one machine."""
    indices_by_job: dict[str, dict[str, list[int]]] = {}
    for placement in placements:
        indices_by_start_id = indices_by_job.setdefault(placement.run.spec.id, {})
        indices_by_start_id.setdefault(encode_start_id(placement), []).append(placement.index)
    return indices_by_job
