"""Messages that controllers exchange about cancellations that their users were told of."""

import msgspec


class AcknowledgedCancellationsQuery(msgspec.Struct):
    """Asks for the cancellations acknowledged within the last `since_s` seconds."""

    since_s: float


class AcknowledgedCancellations(msgspec.Struct, rename={"job_ids": "cancelled"}):
    """The latest term known, and the jobs whose cancellation was acknowledged to users in the time asked about.

    `job_ids` is None if the controller has not been up for that long, so that it can't know all of them.
    """

    term: int
    job_ids: list[str] | None = None
