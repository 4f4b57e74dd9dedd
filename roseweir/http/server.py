"""The server side: a routine per connection, with every wait and buffer bounded."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from functools import lru_cache
from socket import socket
from types import TracebackType
from typing import Any

import h11
import orjson

from roseweir.clock import FOREVER, pause, steady
from roseweir.connections import Room, Side

log = logging.getLogger(__name__)

MAX_BODY = 64 * 1024
MAX_DRAINED = 16 * MAX_BODY
MAX_HEAD = 16 * 1024
READ_PATIENCE = timedelta(seconds=5)
IDLE_PATIENCE = timedelta(seconds=60)
WRITE_PATIENCE = timedelta(seconds=5)
# How often a listener looks for connections whose patience is over.
LOOK = timedelta(milliseconds=500)

END = h11.EndOfMessage()


@dataclass(slots=True)
class Request:
    method: str
    path: str
    body: bytes
    too_large: bool = False


@dataclass(slots=True)
class Response:
    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)
    close: bool = False
    side: Side | None = None  # who it turned out to be that asked


Handler = Callable[[Request], Awaitable[Response]]
# Who asks, as far as the request tells.
SideOf = Callable[[Request], Side]
COME_BACK = timedelta(seconds=1)


def json_response(status: int, value: object, retry_after: timedelta | None = None) -> Response:
    headers = []
    if retry_after is not None:
        headers.append(("retry-after", str(max(1, round(retry_after.total_seconds())))))
    return Response(status, orjson.dumps(value), headers)


class Line:
    """A connection: until when its next step may take, and the state of its HTTP."""

    __slots__ = ("peer", "reader", "until", "writer")

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        # An answer leaves in the step that makes it: the rights that it uses are looked at in that step. uvloop
        # would keep it to the end of the iteration, which may have a planning pass in it.
        writer.transport.set_write_buffer_limits(high=0)
        self.peer = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD)
        self.until = FOREVER


class Listener:
    """Listens and answers; `room` decides which connections stay when there are too many."""

    def __init__(self, handler: Handler, room: "Room[Line]", side_of: SideOf) -> None:
        self._handler = handler
        self._side_of = side_of
        self.room = room
        self._lines: set[Line] = set()
        self._server: asyncio.Server | None = None
        self._watch: asyncio.Task[None] | None = None

    async def listen(self, host: str, port: int) -> None:
        backlog = min(256, self.room.most)
        self._server = await asyncio.start_server(self._connected, host, port, limit=MAX_BODY, backlog=backlog)
        self._watch = asyncio.create_task(self._watch_patience())

    @property
    def sockets(self) -> Sequence[socket]:
        assert self._server is not None
        return self._server.sockets

    async def __aenter__(self) -> "Listener":
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, where: TracebackType | None
    ) -> None:
        await self.close()

    async def close(self) -> None:
        assert self._server is not None and self._watch is not None
        self._watch.cancel()
        await asyncio.gather(self._watch, return_exceptions=True)
        self._server.close()
        await self._server.wait_closed()

    async def _watch_patience(self) -> None:
        """One look at all connections now and then: timers for each wait were a quarter of what a request cost."""
        while True:
            await pause(LOOK)
            now = steady()
            for line in [line for line in self._lines if line.until < now]:
                line.writer.transport.abort()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line = Line(reader, writer)
        admitted, victim = self.room.admit(line)
        if victim is not None:
            victim.writer.transport.abort()
        if not admitted:
            # Everybody is being answered: the newcomer is closed at once, cheaply.
            writer.transport.abort()
            return
        self._lines.add(line)
        try:
            await self._converse(line)
        except (ConnectionError, TimeoutError, OSError):
            pass
        except asyncio.CancelledError:
            # The loop is closing; streams would log a cancellation that nobody can act on.
            pass
        finally:
            self._lines.discard(line)
            self.room.leave(line)
            writer.transport.abort() if writer.is_closing() else writer.close()

    async def _converse(self, line: Line) -> None:
        peer = line.peer
        while True:
            try:
                request = await self._receive(line)
            except h11.RemoteProtocolError:
                if peer.our_state in {h11.IDLE, h11.SEND_RESPONSE} and not line.writer.is_closing():
                    await _send(line, json_response(400, {"error": "malformed request"}), True)
                return
            line.until = FOREVER
            if request is None:
                return
            response = await self._answer(line, request)
            close = response.close or request.too_large or peer.their_state is not h11.DONE
            close = not self.room.keeps(line, response.side) or close
            await _send(line, response, close)
            if close or peer.our_state is not h11.DONE:
                return
            peer.start_next_cycle()
            self.room.wait(line)

    async def _answer(self, line: Line, request: Request) -> Response:
        if not self.room.serves(line, self._side_of(request)):
            response = json_response(503, {"error": "too many connections"}, COME_BACK)
            response.close = True
            return response
        try:
            return await self._handler(request)
        except Exception:
            log.exception("request failed: %s %s", request.method, request.path)
            return json_response(500, {"error": "internal"})

    async def _receive(self, line: Line) -> Request | None:
        """Read one whole request; None when the other side is done."""
        peer = line.peer
        head: h11.Request | None = None
        parts: list[bytes] = []
        size = 0
        # Idle time is generous; once a head has begun, the whole request has READ_PATIENCE.
        line.until = steady() + IDLE_PATIENCE
        begun = False
        event: Any = peer.next_event() if peer.trailing_data[0] else h11.NEED_DATA
        while True:
            if event is h11.NEED_DATA:
                data = await line.reader.read(MAX_BODY)
                if data and not begun:
                    begun = True
                    line.until = steady() + READ_PATIENCE
                peer.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size <= MAX_BODY:
                    parts.append(bytes(event.data))
                else:
                    # Read on for a while without keeping anything: closing on unread data would
                    # reset the connection, and the answer with it.
                    parts.clear()
                    if size > MAX_DRAINED:
                        return _request(head, b"", too_large=True)
            elif isinstance(event, h11.EndOfMessage):
                return _request(head, b"".join(parts), too_large=size > MAX_BODY)
            else:
                return None
            event = peer.next_event()


async def serve(
    host: str, port: int, handler: Handler, room: "Room[Line]", side_of: SideOf = lambda _: Side.HEALTH
) -> Listener:
    """Listen for as many connections as there is room for; the listener is a context that ends with them."""
    listener = Listener(handler, room, side_of)
    await listener.listen(host, port)
    return listener


def _request(head: h11.Request | None, body: bytes, too_large: bool = False) -> Request:
    assert head is not None
    return Request(head.method.decode(), head.target.decode("ascii", "replace"), body, too_large)


@lru_cache(maxsize=1024)
def _head(status: int, length: int, headers: tuple[tuple[str, str], ...], close: bool) -> h11.Response:
    """Most answers share a few heads, and checking one costs as much as sending it."""
    fields = [("content-type", "application/json"), ("content-length", str(length)), *headers]
    if close:
        fields.append(("connection", "close"))
    return h11.Response(status_code=status, headers=fields)


async def _send(line: Line, response: Response, close: bool) -> None:
    peer, writer = line.peer, line.writer
    out = peer.send(_head(response.status, len(response.body), tuple(response.headers), close)) or b""
    if response.body:
        out += peer.send(h11.Data(data=response.body)) or b""
    out += peer.send(END) or b""
    if writer.is_closing():
        # Reset while the answer was made. uvloop raises an error of its own kind on such a write, and 63 connections
        # that were reset with a zone filled the log.
        raise ConnectionResetError("reset under its answer")
    writer.write(out)
    if writer.transport.get_write_buffer_size():
        line.until = steady() + WRITE_PATIENCE
        await writer.drain()
