"""Errors of workflows."""

from roseweir.kv_store import StoreError


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
    """The request cannot be accepted or stored now, and may be repeated with the same id.

    Attributes:
        retry_after_s: the delay, in seconds, after which to repeat the request.
    """

    def __init__(self, reason: str, retry_after_s: float = 1.0) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class PageUnreadable(WorkflowError, StoreError):
    """A stored page of workflows cannot be decoded.

    Attributes:
        key: the page's key.
        cause: the decoding error.
    """

    def __init__(self, key: str, cause: Exception) -> None:
        super().__init__(f"{key} can't be read: {cause!r}")
        self.key = key
        self.cause = cause


class JobIdsContended(WorkflowError, StoreError):
    """Each attempt to write the records of a workflow's jobs conflicted with another write.

    Attributes:
        workflow_id: the id of the workflow.
    """

    def __init__(self, workflow_id: str) -> None:
        super().__init__("the steps' ids kept changing")
        self.workflow_id = workflow_id
