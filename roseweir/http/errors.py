"""Errors of the HTTP client."""


class HttpError(Exception):
    """Base of the errors that this package raises."""


class Unreachable(HttpError):
    """No usable answer came: the outcome is unknown. The request may have run, or may still run later.

    `connected`: the other side accepted the connection, so something runs there.
    """

    def __init__(self, message: str, connected: bool = False) -> None:
        super().__init__(message)
        self.connected = connected
