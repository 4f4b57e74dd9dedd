"""HTTP client with pooled connections to one address, and a timeout on every request."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import h11
import orjson

from roseweir.http.errors import Unreachable

READ_SIZE_BYTES = 64 * 1024


@dataclass(slots=True)
class Reply:
    """A response of any status, with its complete body."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Return the decoded body. Raises `Unreachable` if it is not JSON."""
        try:
            return orjson.loads(self.body)
        except orjson.JSONDecodeError as e:
            raise Unreachable(f"answer is not JSON: {e}", connected=True) from e


@dataclass(slots=True)
class _PooledConnection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    h11_connection: h11.Connection


Transport = Callable[..., Awaitable[Reply]]
Connect = Callable[[str, int], Transport]


def connect(address: str, pool_size: int) -> Transport:
    """Return a transport to an address, `host:port`. Tests replace this function with their own."""
    return Client(address, pool_size).request


class Client:
    """Sends requests to one host and port. Idle connections are pooled; after an error a connection is closed."""

    def __init__(self, address: str, pool_size: int = 4) -> None:
        host, _, port = address.rpartition(":")
        self.host, self.port = host, int(port)
        self._idle_connections: list[_PooledConnection] = []
        self._max_idle_connections = pool_size

    async def request(self, method: str, path: str, body: object = None, *, timeout: timedelta) -> Reply:
        """Send one request, with `body` as JSON unless it is None, and read the complete response.

        Raises `Unreachable` if no response arrived within `timeout`, which covers connecting, sending and reading.
        """
        payload = b"" if body is None else orjson.dumps(body)
        connection: _PooledConnection | None = None
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                connection = await self._acquire_connection()
                reply, is_reusable = await self._exchange(connection, method, path, payload)
        except (OSError, TimeoutError, h11.ProtocolError, EOFError) as e:
            if connection is not None:
                connection.writer.transport.abort()
            message = f"{method} {self.host}:{self.port}{path}: {type(e).__name__} {e}"
            raise Unreachable(message, connected=connection is not None) from e
        except asyncio.CancelledError:
            if connection is not None:
                connection.writer.transport.abort()
            raise
        if is_reusable and len(self._idle_connections) < self._max_idle_connections:
            connection.h11_connection.start_next_cycle()
            self._idle_connections.append(connection)
        else:
            connection.writer.close()
        return reply

    async def _acquire_connection(self) -> _PooledConnection:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if not connection.reader.at_eof() and not connection.writer.is_closing():
                return connection
            connection.writer.transport.abort()
        reader, writer = await asyncio.open_connection(self.host, self.port)
        # A request that relies on a lease must be sent in the step of the event loop in which the lease was checked, so
        # it is not buffered.
        writer.transport.set_write_buffer_limits(high=0)
        return _PooledConnection(reader, writer, h11.Connection(h11.CLIENT))

    async def _exchange(
        self, connection: _PooledConnection, method: str, path: str, payload: bytes
    ) -> tuple[Reply, bool]:
        h11_connection = connection.h11_connection
        headers = [("host", f"{self.host}:{self.port}"), ("content-length", str(len(payload)))]
        if payload:
            headers.append(("content-type", "application/json"))
        outgoing = h11_connection.send(h11.Request(method=method, target=path, headers=headers)) or b""
        if payload:
            outgoing += h11_connection.send(h11.Data(data=payload)) or b""
        outgoing += h11_connection.send(h11.EndOfMessage()) or b""
        connection.writer.write(outgoing)
        await connection.writer.drain()
        status = 0
        body_parts: list[bytes] = []
        while True:
            event = h11_connection.next_event()
            if event is h11.NEED_DATA:
                h11_connection.receive_data(await connection.reader.read(READ_SIZE_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body_parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                is_reusable = h11_connection.our_state is h11.DONE and h11_connection.their_state is h11.DONE
                return Reply(status, b"".join(body_parts)), is_reusable
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("closed early")

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle_connections:
            self._idle_connections.pop().writer.transport.abort()
