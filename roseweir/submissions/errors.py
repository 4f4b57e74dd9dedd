"""Errors of the users' API."""

from datetime import timedelta


class SubmissionError(Exception):
    """Base of the errors of this package, apart from those of the key-value store."""


class ReadBudgetExhausted(SubmissionError):
    """This node may send no further read for users' requests now."""


class SubmissionRejected(SubmissionError):
    """A submission that is not accepted.

    Attributes:
        status: The HTTP status to answer with.
        reason: Why the submission is rejected, in the terms of the users' API.
        retry_after: The delay before a retry; None if a retry can't succeed.
    """

    def __init__(self, status: int, reason: str, retry_after: timedelta | None = None) -> None:
        """Reject with this status and reason."""
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after = retry_after
