"""What a call to the cloud raises when the cloud does not do what it is asked."""

from roseweir.kv_store import StoreError


class CloudError(Exception):
    """Base of the errors that a call to the cloud raises, other than `roseweir.http.Unreachable`."""


class NoCapacity(CloudError):
    """The cloud has no machine of this type, zone and pricing now."""

    def __init__(self, path: str = "/machines") -> None:
        super().__init__(f"the cloud has no capacity: path={path}")
        self.path = path


class CloudRequestFailed(CloudError, StoreError):
    """The cloud answered with an error status.

    Also a `StoreError`, since the catalog is read in one step with values of the key-value store by callers
    that catch that one.
    """

    def __init__(self, path: str, status: int) -> None:
        super().__init__(f"cloud answered {status} to {path}")
        self.path = path
        self.status = status


class NotLeading(CloudError, StoreError):
    """The request was not sent: the right to act had ended when its turn came."""

    def __init__(self) -> None:
        super().__init__("this node may not lead any more")
