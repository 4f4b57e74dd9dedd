"""Errors of workflows."""


class WorkflowError(Exception):
    """Base of the errors of this package."""


class WorkflowRejected(WorkflowError):
    """A request that is not accepted.

    Attributes:
        status: the HTTP status of the answer.
    """

    def __init__(self, reason: str, status: int = 400) -> None:
        super().__init__(reason)
        self.status = status


class WorkflowRetryLater(WorkflowError):
    """A request that cannot be accepted or recorded now, and may be repeated under the same id.

    Attributes:
        retry_after_s: seconds after which to repeat it.
    """

    def __init__(self, reason: str, retry_after_s: float = 1.0) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s
