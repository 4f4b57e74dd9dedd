"""Errors of the delivery deadlines' stored records."""


class DeliveryDeadlineError(Exception):
    """Base of the errors of this package."""


class NightRecordUnreadable(DeliveryDeadlineError):
    """The stored night reports or step durations do not have the form that this version writes.

    Attributes:
        cause: the decoding error.
    """

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"the stored night reports cannot be decoded: {cause!r}")
        self.cause = cause
