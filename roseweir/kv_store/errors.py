"""Errors of the key-value store's client.

Every error derives from `KeyValueStoreError`. Those that derive from `StoreError` may be retried later. A failed
comparison and an expired lease describe the stored state, so `except StoreError` must not catch them. A request without
an answer raises `roseweir.http.Unreachable` instead, and may have been executed.
"""


class KeyValueStoreError(Exception):
    """Base of all errors of this package."""


class StoreError(KeyValueStoreError):
    """The store refused the request (with any status that has no subclass below) and did not execute it."""


class StoreUnavailable(StoreError):
    """The store answered 503: the request was not executed."""


class RateLimited(StoreError):
    """The store answered 429: the request was not executed, because it exceeds the store's request rate."""


class ValueTooLarge(StoreError):
    """The store answered 400: a value or the whole transaction exceeds its limits, and nothing was changed.

    Attributes:
        is_limit_lowered: Whether this refusal lowered the known limits, so that a smaller transaction may succeed.
    """

    def __init__(self, message: str, is_limit_lowered: bool) -> None:
        super().__init__(message)
        self.is_limit_lowered = is_limit_lowered


class QueueFull(StoreError):
    """The group committer's queue is full; the change was not queued."""


class CompareFailed(KeyValueStoreError):
    """The store answered 409: a guard of the compare-and-swap failed, and nothing was changed.

    Attributes:
        failed_keys: The keys whose versions differ from their guards.
    """

    def __init__(self, failed_keys: list[str]) -> None:
        super().__init__(f"guards failed: {failed_keys}")
        self.failed_keys = failed_keys


class LeaseExpired(KeyValueStoreError):
    """The lease does not exist any more."""


class LeadershipLost(KeyValueStoreError):
    """The leader's key has changed: another node leads, and writes of this leader are rejected."""
