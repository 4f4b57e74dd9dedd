"""A small HTTP/1.1 server and client on asyncio streams, for the stand-ins."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

Reply = tuple[int, Any]
# Receives the method, the path, the query and the decoded body. None: the connection is closed without an answer.
Handler = Callable[[str, str, dict[str, str], Any], Awaitable[Reply | None]]

MAX_HEAD_LINES = 100


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    first = await reader.readline()
    if not first:
        return None
    headers: dict[str, str] = {}
    for _ in range(MAX_HEAD_LINES):
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first.decode("latin-1").strip(), headers


def encode_json(value: Any) -> bytes:
    """Encode a body."""
    return json.dumps(value, separators=(",", ":")).encode()


class Server:
    """Answers requests on one loopback port; connections stay open between requests."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, port: int = 0) -> int:
        """Listen on a free port of the loopback address, and return it."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 22)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await _read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ")
                body = await reader.readexactly(int(head[1].get("content-length", "0")))
                url = urlsplit(target)
                query = {name: values[-1] for name, values in parse_qs(url.query).items()}
                reply = await self._handler(method, unquote(url.path), query, json.loads(body) if body else None)
                if reply is None:
                    return
                payload = encode_json(reply[1])
                writer.write(
                    f"HTTP/1.1 {reply[0]} Status\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(payload)}\r\n\r\n".encode()
                    + payload
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass  # the connection or the stand-in has ended
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class NoAnswer(Exception):
    """No answer came in time, or the connection failed."""


async def _exchange(address: str, method: str, path: str, payload: bytes) -> tuple[int, bytes, dict[str, str]]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 24)
    try:
        head = f"{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-length: {len(payload)}\r\n"
        writer.write((head + "connection: close\r\n\r\n").encode() + payload)
        await writer.drain()
        answer = await _read_head(reader)
        if answer is None:
            raise NoAnswer("closed")
        status = int(answer[0].split(" ")[1])
        length = answer[1].get("content-length")
        body = await (reader.readexactly(int(length)) if length is not None else reader.read())
        return status, body, answer[1]
    finally:
        with contextlib.suppress(Exception):
            writer.transport.abort()


async def request_raw(
    address: str, method: str, path: str, payload: bytes, timeout: float
) -> tuple[int, bytes, dict[str, str]]:
    """Send one request on a connection of its own; return status, body and headers."""
    try:
        return await asyncio.wait_for(_exchange(address, method, path, payload), timeout)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
        raise NoAnswer(f"{type(error).__name__}: {error}") from error


async def request(address: str, method: str, path: str, body: Any = None, timeout: float = 5.0) -> Reply:
    """Send one request on a connection of its own; return status and decoded body (None if it is not JSON)."""
    payload = b"" if body is None else encode_json(body)
    status, answer, _ = await request_raw(address, method, path, payload, timeout)
    try:
        return status, json.loads(answer)
    except ValueError:
        return status, None
