"""Errors of the HTTP client."""


class HttpError(Exception):
    """Base of the errors that this package raises."""


class Unreachable(HttpError):
    """No usable response arrived, so the outcome is unknown: the request may have been executed, or may be later.

    `connected`: whether the server accepted the connection, so that at least its operating system is running.
    """

    def __init__(self, message: str, connected: bool = False) -> None:
        super().__init__(message)
        self.connected = connected
