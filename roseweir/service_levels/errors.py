"""Errors of the service level account."""


class ServiceLevelError(Exception):
    """Base of the errors of this package."""


class AccountUnreadable(ServiceLevelError):
    """The stored account does not have the form that this version writes.

    Attributes:
        cause: the error that occurred while decoding.
    """

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"the stored account cannot be decoded: {cause!r}")
        self.cause = cause
