# ruff: noqa: PLR0913
"""A small HTTP/1.1 server and client with JSON bodies, for stand-ins and users. Standard library only."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

Answer = tuple[int, Any]
# Returns the status and the JSON body; None: the connection is closed without an answer.
Handler = Callable[[str, str, Any], Awaitable[Answer | None]]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read one request or response: its first line, its headers in lower case, its body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first_line, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return first_line, headers, await reader.readexactly(length) if length else b""


def encode(first_line: str, body: bytes, *headers: str) -> bytes:
    """Return the bytes of a request or response."""
    lines = [first_line, "content-type: application/json", f"content-length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


class Server:
    """Answers requests on one loopback port; a connection stays open until its client closes it."""

    def __init__(self, handler: Handler, port: int = 0) -> None:
        self.handler = handler
        self.port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen; `port` is the port afterwards."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ")
                answer = await self.handler(method, target, json.loads(message[2]) if message[2] else None)
                if answer is None:
                    writer.transport.abort()
                    break
                body = json.dumps(answer[1]).encode()
                writer.write(encode(f"HTTP/1.1 {answer[0]} X", body))
                await writer.drain()
                if message[1].get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def ask(
    port: int, method: str, path: str, body: Any = None, timeout: float = 5.0, *, close: bool = True
) -> tuple[int, Any]:
    """Send one request on a connection of its own; (0, None) if no answer arrives within the timeout."""
    writer: asyncio.StreamWriter | None = None
    raw = b"" if body is None else json.dumps(body).encode()
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
            headers = ["host: 127.0.0.1"] + (["connection: close"] if close else [])
            writer.write(encode(f"{method} {path} HTTP/1.1", raw, *headers))
            await writer.drain()
            message = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.transport.abort()
    if message is None:
        return 0, None
    try:
        return int(message[0].split(" ")[1]), json.loads(message[2]) if message[2] else None
    except (ValueError, IndexError):
        return 0, None
