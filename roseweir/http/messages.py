"""Requests and responses of a listener's handler."""

from dataclasses import dataclass, field
from datetime import timedelta

import orjson

from roseweir.connections import ConnectionClass


@dataclass(slots=True)
class Request:
    """A request with its complete body, which is empty if it was too large."""

    method: str
    path: str
    body: bytes
    is_too_large: bool = False


@dataclass(slots=True)
class Response:
    """A response. `close`: the connection is closed after it."""

    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)
    close: bool = False
    connection_class: ConnectionClass | None = None  # the client's class, if the handler determined it


def json_response(status: int, value: object, retry_after: timedelta | None = None) -> Response:
    """Return a response with `value` as JSON; `retry_after` is sent in whole seconds, at least one."""
    headers = []
    if retry_after is not None:
        headers.append(("retry-after", str(max(1, round(retry_after.total_seconds())))))
    return Response(status, orjson.dumps(value), headers)
