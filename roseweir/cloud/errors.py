"""Errors of calls to the cloud's API."""

from roseweir.kv_store import StoreError


class CloudError(Exception):
    """Base of the errors that calls to the cloud raise, other than `roseweir.http.Unreachable`."""


class NoCapacity(CloudError):
    """The cloud has no machine of this type, zone and pricing now."""

    def __init__(self, path: str = "/machines") -> None:
        super().__init__(f"the cloud has no capacity: path={path}")
        self.path = path


class CloudRequestFailed(CloudError, StoreError):
    """The cloud answered with an error status.

    Also a `StoreError`, since callers that read the catalog together with values of the key-value store catch
    `StoreError`.
    """

    def __init__(self, path: str, status: int) -> None:
        super().__init__(f"cloud answered {status} to {path}")
        self.path = path
        self.status = status


class NotLeading(CloudError, StoreError):
    """The request was not sent: after the wait for the rate limiter, the leader lease was no longer valid."""

    def __init__(self) -> None:
        super().__init__("leader lease no longer valid; request not sent")
