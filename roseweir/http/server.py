"""The server side: one coroutine per connection, with every wait and buffer bounded."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from functools import lru_cache
from socket import socket
from types import TracebackType
from typing import Any

import h11

from roseweir.clock import FOREVER, monotonic_now, sleep
from roseweir.connections import ConnectionAdmission, ConnectionClass
from roseweir.http.messages import Request, Response, json_response

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024
MAX_DRAINED_BYTES = 16 * MAX_BODY_BYTES
MAX_HEAD_BYTES = 16 * 1024
READ_TIMEOUT = timedelta(seconds=5)
IDLE_TIMEOUT = timedelta(seconds=60)
WRITE_TIMEOUT = timedelta(seconds=5)
# Connections that the operating system accepts ahead of the listener.
MAX_BACKLOG = 256
# How often a listener looks for connections whose deadline has passed.
DEADLINE_CHECK_INTERVAL = timedelta(milliseconds=500)

END_OF_MESSAGE = h11.EndOfMessage()

Handler = Callable[[Request], Awaitable[Response]]
# The class of the client, as far as the request tells.
ClassifyRequest = Callable[[Request], ConnectionClass]
# When a client that is refused for lack of connections is told to retry.
RETRY_AFTER = timedelta(seconds=1)


class ServerConnection:
    """A connection: the deadline of its next step, and the state of its HTTP protocol."""

    __slots__ = ("deadline", "h11_connection", "reader", "writer")

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        # A response leaves in the step that makes it, since the leases that it relies on are checked in that step.
        # uvloop would keep it to the end of the loop's iteration, which may have a scheduling pass in it.
        writer.transport.set_write_buffer_limits(high=0)
        self.h11_connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.deadline = FOREVER


class Listener:
    """Listens and answers; `admission` decides which connections stay when there are too many."""

    def __init__(
        self, handler: Handler, admission: "ConnectionAdmission[ServerConnection]", classify_request: ClassifyRequest
    ) -> None:
        self._handler = handler
        self._classify_request = classify_request
        self.admission = admission
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._deadline_task: asyncio.Task[None] | None = None

    async def listen(self, host: str, port: int) -> None:
        """Start to accept connections. Raises `OSError` if the port cannot be bound."""
        backlog = min(MAX_BACKLOG, self.admission.max_connections)
        self._server = await asyncio.start_server(
            self._handle_connection, host, port, limit=MAX_BODY_BYTES, backlog=backlog
        )
        self._deadline_task = asyncio.create_task(self._close_expired())

    @property
    def sockets(self) -> Sequence[socket]:
        """The sockets that are listened on."""
        assert self._server is not None
        return self._server.sockets

    async def __aenter__(self) -> "Listener":
        return self

    async def __aexit__(
        self, error_type: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Stop listening."""
        assert self._server is not None and self._deadline_task is not None
        self._deadline_task.cancel()
        await asyncio.gather(self._deadline_task, return_exceptions=True)
        self._server.close()
        await self._server.wait_closed()

    async def _close_expired(self) -> None:
        """Check all connections' deadlines now and then: a timer for each wait was a quarter of a request's cost."""
        while True:
            await sleep(DEADLINE_CHECK_INTERVAL)
            now = monotonic_now()
            for connection in [connection for connection in self._connections if connection.deadline < now]:
                connection.writer.transport.abort()

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = ServerConnection(reader, writer)
        is_admitted, evicted = self.admission.admit(connection)
        if evicted is not None:
            evicted.writer.transport.abort()
        if not is_admitted:
            # No connection is idle: the new one is closed at once, cheaply.
            writer.transport.abort()
            return
        self._connections.add(connection)
        try:
            await self._serve_requests(connection)
        except (ConnectionError, TimeoutError, OSError):
            pass
        except asyncio.CancelledError:
            # The event loop is closing; streams would log a cancellation that nobody can act on.
            pass
        finally:
            self._connections.discard(connection)
            self.admission.remove(connection)
            writer.transport.abort() if writer.is_closing() else writer.close()

    async def _serve_requests(self, connection: ServerConnection) -> None:
        h11_connection = connection.h11_connection
        while True:
            try:
                request = await _receive_request(connection)
            except h11.RemoteProtocolError:
                if h11_connection.our_state in {h11.IDLE, h11.SEND_RESPONSE} and not connection.writer.is_closing():
                    await _send(connection, json_response(400, {"error": "malformed request"}), True)
                return
            connection.deadline = FOREVER
            if request is None:
                return
            response = await self._answer(connection, request)
            should_close = response.close or request.is_too_large or h11_connection.their_state is not h11.DONE
            should_close = not self.admission.may_keep_alive(connection, response.connection_class) or should_close
            await _send(connection, response, should_close)
            if should_close or h11_connection.our_state is not h11.DONE:
                return
            h11_connection.start_next_cycle()
            self.admission.mark_idle(connection)

    async def _answer(self, connection: ServerConnection, request: Request) -> Response:
        if not self.admission.admit_request(connection, self._classify_request(request)):
            response = json_response(503, {"error": "too many connections"}, RETRY_AFTER)
            response.close = True
            return response
        try:
            return await self._handler(request)
        except Exception:
            log.exception("request failed: %s %s", request.method, request.path)
            return json_response(500, {"error": "internal"})


async def serve(
    host: str,
    port: int,
    handler: Handler,
    admission: "ConnectionAdmission[ServerConnection]",
    classify_request: ClassifyRequest = lambda _: ConnectionClass.HEALTH,
) -> Listener:
    """Start a listener that keeps as many connections as `admission` allows.

    The listener is an async context manager that closes on exit. Raises `OSError` if the port cannot be bound.
    """
    listener = Listener(handler, admission, classify_request)
    await listener.listen(host, port)
    return listener


async def _receive_request(connection: ServerConnection) -> Request | None:
    """Read one whole request; None when the other side is done."""
    h11_connection = connection.h11_connection
    head: h11.Request | None = None
    parts: list[bytes] = []
    size = 0
    # IDLE_TIMEOUT is long; once a head has begun, the whole request has READ_TIMEOUT.
    connection.deadline = monotonic_now() + IDLE_TIMEOUT
    has_begun = False
    event: Any = h11_connection.next_event() if h11_connection.trailing_data[0] else h11.NEED_DATA
    while True:
        if event is h11.NEED_DATA:
            data = await connection.reader.read(MAX_BODY_BYTES)
            if data and not has_begun:
                has_begun = True
                connection.deadline = monotonic_now() + READ_TIMEOUT
            h11_connection.receive_data(data)
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            size += len(event.data)
            if size <= MAX_BODY_BYTES:
                parts.append(bytes(event.data))
            else:
                # Read on for a while without keeping anything: closing on unread data would
                # reset the connection, and the answer with it.
                parts.clear()
                if size > MAX_DRAINED_BYTES:
                    return _to_request(head, b"", is_too_large=True)
        elif isinstance(event, h11.EndOfMessage):
            return _to_request(head, b"".join(parts), is_too_large=size > MAX_BODY_BYTES)
        else:
            return None
        event = h11_connection.next_event()


def _to_request(head: h11.Request | None, body: bytes, is_too_large: bool = False) -> Request:
    assert head is not None
    return Request(head.method.decode(), head.target.decode("ascii", "replace"), body, is_too_large)


@lru_cache(maxsize=1024)
def _response_head(status: int, length: int, headers: tuple[tuple[str, str], ...], should_close: bool) -> h11.Response:
    """Cached: most responses share a few heads, and validating one costs as much as sending it."""
    fields = [("content-type", "application/json"), ("content-length", str(length)), *headers]
    if should_close:
        fields.append(("connection", "close"))
    return h11.Response(status_code=status, headers=fields)


async def _send(connection: ServerConnection, response: Response, should_close: bool) -> None:
    h11_connection, writer = connection.h11_connection, connection.writer
    outgoing = (
        h11_connection.send(_response_head(response.status, len(response.body), tuple(response.headers), should_close))
        or b""
    )
    if response.body:
        outgoing += h11_connection.send(h11.Data(data=response.body)) or b""
    outgoing += h11_connection.send(END_OF_MESSAGE) or b""
    if writer.is_closing():
        # Reset while the response was made. uvloop raises an error of its own kind on such a write, and 63 connections
        # that were reset when a zone failed filled the log.
        raise ConnectionResetError("connection reset before the response was sent")
    writer.write(outgoing)
    if writer.transport.get_write_buffer_size():
        connection.deadline = monotonic_now() + WRITE_TIMEOUT
        await writer.drain()
