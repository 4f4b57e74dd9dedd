"""HTTP server with one coroutine per connection; every wait and every buffer is bounded."""

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
# Connections that the operating system queues until the listener accepts them.
MAX_BACKLOG = 256
DEADLINE_CHECK_INTERVAL = timedelta(milliseconds=500)

END_OF_MESSAGE = h11.EndOfMessage()

Handler = Callable[[Request], Awaitable[Response]]
# Determines the client's class from its request alone.
ClassifyRequest = Callable[[Request], ConnectionClass]
# Value of the retry-after header for clients that are refused because connections are scarce.
RETRY_AFTER = timedelta(seconds=1)


class ServerConnection:
    """A client's connection, the deadline of the pending read or write, and the state of the HTTP protocol."""

    __slots__ = ("deadline", "h11_connection", "reader", "writer")

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        # A response relies on leases that are checked in the step of the event loop that creates it, so it is sent in
        # that step. By default uvloop buffers it until the end of the iteration, which may contain a scheduling pass.
        writer.transport.set_write_buffer_limits(high=0)
        self.h11_connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.deadline = FOREVER


class Listener:
    """Accepts connections and answers requests; `admission` decides which stay open when connections are scarce."""

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
        self._deadline_task = asyncio.create_task(self._abort_expired_connections())

    @property
    def sockets(self) -> Sequence[socket]:
        """The listening sockets."""
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

    async def _abort_expired_connections(self) -> None:
        """Close connections whose deadline has passed, by a periodic check of all of them.

        A timer for each wait would be a quarter of the cost of a request.
        """
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
            # No connection is idle, so none can be replaced: the new one is closed without a response.
            writer.transport.abort()
            return
        self._connections.add(connection)
        try:
            await self._serve_requests(connection)
        except (ConnectionError, TimeoutError, OSError):
            pass
        except asyncio.CancelledError:
            # The event loop is closing; asyncio streams would log the cancellation, which is no fault.
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
            log.exception("request failed: method=%s path=%s", request.method, request.path)
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
    """Read one complete request; return None if the client closed the connection."""
    h11_connection = connection.h11_connection
    head: h11.Request | None = None
    body_parts: list[bytes] = []
    body_size = 0
    # The first byte has to arrive within IDLE_TIMEOUT, and the rest of the request within READ_TIMEOUT after it.
    connection.deadline = monotonic_now() + IDLE_TIMEOUT
    has_request_begun = False
    event: Any = h11_connection.next_event() if h11_connection.trailing_data[0] else h11.NEED_DATA
    while True:
        if event is h11.NEED_DATA:
            data = await connection.reader.read(MAX_BODY_BYTES)
            if data and not has_request_begun:
                has_request_begun = True
                connection.deadline = monotonic_now() + READ_TIMEOUT
            h11_connection.receive_data(data)
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body_size += len(event.data)
            if body_size <= MAX_BODY_BYTES:
                body_parts.append(bytes(event.data))
            else:
                # Up to MAX_DRAINED_BYTES are read and discarded: closing a connection with unread data resets it, and
                # the client may lose the response.
                body_parts.clear()
                if body_size > MAX_DRAINED_BYTES:
                    return _to_request(head, b"", is_too_large=True)
        elif isinstance(event, h11.EndOfMessage):
            return _to_request(head, b"".join(body_parts), is_too_large=body_size > MAX_BODY_BYTES)
        else:
            return None
        event = h11_connection.next_event()


def _to_request(head: h11.Request | None, body: bytes, is_too_large: bool = False) -> Request:
    assert head is not None
    return Request(head.method.decode(), head.target.decode("ascii", "replace"), body, is_too_large)


@lru_cache(maxsize=1024)
def _response_head(status: int, length: int, headers: tuple[tuple[str, str], ...], should_close: bool) -> h11.Response:
    """Return a response head. Cached, since most heads repeat, and validating one takes as long as sending it."""
    header_fields = [("content-type", "application/json"), ("content-length", str(length)), *headers]
    if should_close:
        header_fields.append(("connection", "close"))
    return h11.Response(status_code=status, headers=header_fields)


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
        # The connection was reset while the response was created. A write would make uvloop raise an error of its own
        # type; when a zone failed, such errors of 63 reset connections filled the log.
        raise ConnectionResetError("connection reset before the response was sent")
    writer.write(outgoing)
    if writer.transport.get_write_buffer_size():
        connection.deadline = monotonic_now() + WRITE_TIMEOUT
        await writer.drain()
