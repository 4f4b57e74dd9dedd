"""Errors of the key-value store's client.

Every error derives from `KeyValueStoreError`. `StoreError` is only a part of them: a failed comparison and an expired
lease are answers about the stored state, and `except StoreError`, which means "try again later", must not catch them.
A request that got no answer at all raises `roseweir.http.Unreachable` instead, and may have been carried out.
"""


class KeyValueStoreError(Exception):
    """Base of all errors of this package."""


class StoreError(KeyValueStoreError):
    """The store refused the request (any status without an error of its own below) and did not carry it out."""


class StoreUnavailable(StoreError):
    """The store answered 503: the request was not carried out."""


class RateLimited(StoreError):
    """The store answered 429: the request was not carried out, because it exceeds the store's request rate."""


class ValueTooLarge(StoreError):
    """The store answered 400: a value or the whole transaction exceeds its limits, and nothing was changed.

    Attributes:
        is_limit_lowered: Whether the known limits were lowered by this refusal, so that smaller parts may pass.
    """

    def __init__(self, message: str, is_limit_lowered: bool) -> None:
        super().__init__(message)
        self.is_limit_lowered = is_limit_lowered


class QueueFull(StoreError):
    """Too many changes wait in the group committer already; this one was not queued."""


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
