"""What controllers ask one another of users and leaders."""

import msgspec


class AcknowledgedCancellationsQuery(msgspec.Struct):
    since_s: float


class AcknowledgedCancellations(msgspec.Struct, rename={"job_ids": "cancelled"}):
    """The latest term known, and the jobs whose users were told of a cancel in that time; null: not known that far."""

    term: int
    job_ids: list[str] | None = None
