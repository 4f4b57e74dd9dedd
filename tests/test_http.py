"""The HTTP server over real sockets: malformed requests, size limits, and timeouts of slow clients."""

import asyncio
import random
import socket
import time
from collections.abc import Awaitable, Callable
from datetime import timedelta

import pytest
import uvloop

from roseweir.connections import ConnectionAdmission
from roseweir.http import Client, Request, Response, Unreachable, json_response, serve, server

ClientScenario = Callable[[int], Awaitable[None]]


async def echo(request: Request) -> Response:
    if request.path == "/fault":
        raise RuntimeError("on purpose")
    return json_response(200, {"path": request.path, "size": len(request.body), "large": request.is_too_large})


def run_with_server(scenario: ClientScenario, max_connections: int = 50) -> None:
    async def main() -> None:
        http_server = await serve("127.0.0.1", 0, echo, ConnectionAdmission(max_connections))
        async with http_server:
            await scenario(http_server.sockets[0].getsockname()[1])

    asyncio.run(main())


async def exchange_raw(port: int, data: bytes, timeout: float = 3.0) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(data)
        async with asyncio.timeout(timeout):
            return await reader.read()
    finally:
        writer.transport.abort()


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x01\x02\r\n\r\n",
        b"GET / HTTP/one\r\nhost: x\r\n\r\n",
        b"GET /\r\n\r\n",
        b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: -4\r\n\r\n",
        b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
        b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    ],
)
def test_malformed_http_gets_400_and_the_connection_is_closed(data: bytes) -> None:
    async def scenario(port: int) -> None:
        answer = await exchange_raw(port, data)
        assert answer.startswith(b"HTTP/1.1 400")

    run_with_server(scenario)


def test_oversized_request_head_is_rejected() -> None:
    async def scenario(port: int) -> None:
        head = b"GET / HTTP/1.1\r\nhost: x\r\n" + b"a: b\r\n" * 30000
        assert b"200" not in await exchange_raw_or_reset(port, head)

    run_with_server(scenario)


def test_random_bytes_do_not_affect_the_next_client() -> None:
    rng = random.Random(7)

    async def scenario(port: int) -> None:
        for _ in range(60):
            noise = rng.randbytes(rng.randint(1, 400))
            try:
                await exchange_raw(port, b"POST /hello HTTP/1.1\r\n" * rng.randint(0, 1) + noise, timeout=0.02)
            except (TimeoutError, ConnectionError):
                pass
        client = Client(f"127.0.0.1:{port}")
        reply = await client.request("POST", "/x", {"a": 1}, timeout=timedelta(seconds=2))
        assert reply.json()["path"] == "/x"
        client.close()

    run_with_server(scenario)


def test_body_over_the_limit_is_marked_as_too_large() -> None:
    async def scenario(port: int) -> None:
        size = server.MAX_BODY_BYTES + 1
        head = f"POST /s HTTP/1.1\r\nhost: x\r\ncontent-length: {size}\r\n\r\n".encode()
        answer = await exchange_raw(port, head + b"x" * size)
        assert b'"large":true' in answer and b"connection: close" in answer.lower()

    run_with_server(scenario)


def test_slow_idle_and_surplus_connections_are_closed_and_others_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(server, "READ_TIMEOUT", timedelta(milliseconds=200))
    monkeypatch.setattr(server, "IDLE_TIMEOUT", timedelta(milliseconds=400))

    async def scenario(port: int) -> None:
        slow = [asyncio.create_task(exchange_raw(port, b"POST /hello HTTP/1.1\r\nhost: x\r\ncont")) for _ in range(10)]
        idle = [asyncio.create_task(exchange_raw(port, b"")) for _ in range(10)]
        await asyncio.sleep(0.05)
        client = Client(f"127.0.0.1:{port}")
        for _ in range(20):
            reply = await client.request("POST", "/hello", {}, timeout=timedelta(milliseconds=500))
            assert reply.status == 200
        assert await asyncio.gather(*slow, *idle) == [b""] * 20
        client.close()
        await asyncio.sleep(0.05)
        # At the limit, the connection that has been idle the longest is closed for a new one.
        open_connections = [await asyncio.open_connection("127.0.0.1", port) for _ in range(50)]
        assert (await client.request("POST", "/hello", {}, timeout=timedelta(milliseconds=300))).status == 200
        assert await asyncio.wait_for(open_connections[0][0].read(), 0.2) == b""
        client.close()
        for _, writer in open_connections:
            writer.transport.abort()

    run_with_server(scenario)


async def exchange_raw_or_reset(port: int, data: bytes = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n") -> bytes:
    try:
        return await exchange_raw(port, data)
    except ConnectionError:
        return b""


def test_client_reuses_connections_and_raises_unreachable_without_an_answer() -> None:
    async def scenario(port: int) -> None:
        client = Client(f"127.0.0.1:{port}")
        for i in range(5):
            reply = await client.request("GET", f"/{i}", timeout=timedelta(seconds=1))
            assert reply.json()["path"] == f"/{i}"
        assert (await client.request("GET", "/fault", timeout=timedelta(seconds=1))).status == 500
        client.close()
        with pytest.raises(Unreachable):
            await Client("127.0.0.1:1").request("GET", "/", timeout=timedelta(seconds=1))

    run_with_server(scenario)


def test_response_is_sent_in_the_event_loop_iteration_that_creates_it() -> None:
    """uvloop buffers writes until the end of an iteration, by when the lease that permits the response may expire.

    The loop's clock has to advance within an iteration for the same reason.
    """

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        request_received, may_respond = asyncio.Event(), asyncio.Event()

        async def respond_when_allowed(request: Request) -> Response:
            request_received.set()
            await may_respond.wait()
            return json_response(200, {})

        def block_event_loop() -> None:
            before = loop.time()
            time.sleep(0.4)
            assert loop.time() - before >= 0.39

        async def block_after_response() -> None:
            await request_received.wait()
            loop.call_soon(may_respond.set)
            await may_respond.wait()
            # Runs in the iteration that creates the response, after it.
            block_event_loop()

        def measure_response_s(port: int) -> float:
            with socket.create_connection(("127.0.0.1", port)) as connection:
                sent_at = time.monotonic()
                connection.sendall(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
                assert connection.recv(4096).startswith(b"HTTP/1.1 200")
                return time.monotonic() - sent_at

        async with await serve("127.0.0.1", 0, respond_when_allowed, ConnectionAdmission(50)) as http_server:
            blocking_task = asyncio.create_task(block_after_response())
            assert await asyncio.to_thread(measure_response_s, http_server.sockets[0].getsockname()[1]) < 0.3
            await blocking_task

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(scenario())
