"""Messages that controllers exchange about cancellations that they have acknowledged to users."""

import msgspec


class AcknowledgedCancellationsQuery(msgspec.Struct):
    """Asks for the cancellations acknowledged within the last `since_s` seconds."""

    since_s: float


class AcknowledgedCancellations(msgspec.Struct, rename={"job_ids": "cancelled"}):
    """The latest known term, and the jobs whose cancellation was acknowledged to users in the queried time.

    `job_ids` is None if the list may be incomplete: the controller started within that time, or has discarded entries.
    """

    term: int
    job_ids: list[str] | None = None
