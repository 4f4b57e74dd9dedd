"""The server refuses malformed HTTP, bounds what it holds, and cuts off the slow; over real sockets."""

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

Talk = Callable[[int], Awaitable[None]]


async def echo(request: Request) -> Response:
    if request.path == "/fault":
        raise RuntimeError("on purpose")
    return json_response(200, {"path": request.path, "size": len(request.body), "large": request.is_too_large})


def with_server(talk: Talk, most: int = 50) -> None:
    async def main() -> None:
        listening = await serve("127.0.0.1", 0, echo, ConnectionAdmission(most))
        async with listening:
            await talk(listening.sockets[0].getsockname()[1])

    asyncio.run(main())


async def raw(port: int, data: bytes, timeout: float = 3.0) -> bytes:
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
def test_malformed_http_gets_400_and_the_connection_ends(data: bytes) -> None:
    async def talk(port: int) -> None:
        answer = await raw(port, data)
        assert answer.startswith(b"HTTP/1.1 400")

    with_server(talk)


def test_endless_head_is_cut_off() -> None:
    async def talk(port: int) -> None:
        head = b"GET / HTTP/1.1\r\nhost: x\r\n" + b"a: b\r\n" * 30000
        assert b"200" not in await raw_or_reset(port, head)

    with_server(talk)


def test_noise_never_harms_the_next_user() -> None:
    draw = random.Random(7)

    async def talk(port: int) -> None:
        for _ in range(60):
            noise = draw.randbytes(draw.randint(1, 400))
            try:
                await raw(port, b"POST /hello HTTP/1.1\r\n" * draw.randint(0, 1) + noise, timeout=0.02)
            except (TimeoutError, ConnectionError):
                pass
        client = Client(f"127.0.0.1:{port}")
        reply = await client.request("POST", "/x", {"a": 1}, timeout=timedelta(seconds=2))
        assert reply.json()["path"] == "/x"
        client.close()

    with_server(talk)


def test_body_over_the_limit_is_told_and_not_kept() -> None:
    async def talk(port: int) -> None:
        size = server.MAX_BODY_BYTES + 1
        head = f"POST /s HTTP/1.1\r\nhost: x\r\ncontent-length: {size}\r\n\r\n".encode()
        answer = await raw(port, head + b"x" * size)
        assert b'"large":true' in answer and b"connection: close" in answer.lower()

    with_server(talk)


def test_slow_half_open_and_surplus_connections_are_cut_off_while_others_are_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(server, "READ_TIMEOUT", timedelta(milliseconds=200))
    monkeypatch.setattr(server, "IDLE_TIMEOUT", timedelta(milliseconds=400))

    async def talk(port: int) -> None:
        slow = [asyncio.create_task(raw(port, b"POST /hello HTTP/1.1\r\nhost: x\r\ncont")) for _ in range(10)]
        idle = [asyncio.create_task(raw(port, b"")) for _ in range(10)]
        await asyncio.sleep(0.05)
        client = Client(f"127.0.0.1:{port}")
        for _ in range(20):
            reply = await client.request("POST", "/hello", {}, timeout=timedelta(milliseconds=500))
            assert reply.status == 200
        assert await asyncio.gather(*slow, *idle) == [b""] * 20
        client.close()
        await asyncio.sleep(0.05)
        # At the limit, the connection that has been idle the longest makes way for a worker's.
        held = [await asyncio.open_connection("127.0.0.1", port) for _ in range(50)]
        assert (await client.request("POST", "/hello", {}, timeout=timedelta(milliseconds=300))).status == 200
        assert await asyncio.wait_for(held[0][0].read(), 0.2) == b""
        client.close()
        for _, writer in held:
            writer.transport.abort()

    with_server(talk)


async def raw_or_reset(port: int, data: bytes = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n") -> bytes:
    try:
        return await raw(port, data)
    except ConnectionError:
        return b""


def test_client_keeps_connections_and_tells_when_no_answer_came() -> None:
    async def talk(port: int) -> None:
        client = Client(f"127.0.0.1:{port}")
        for i in range(5):
            reply = await client.request("GET", f"/{i}", timeout=timedelta(seconds=1))
            assert reply.json()["path"] == f"/{i}"
        assert (await client.request("GET", "/fault", timeout=timedelta(seconds=1))).status == 500
        client.close()
        with pytest.raises(Unreachable):
            await Client("127.0.0.1:1").request("GET", "/", timeout=timedelta(seconds=1))

    with_server(talk)


def test_an_answer_leaves_in_the_step_that_makes_it_and_the_clock_is_read_in_that_step() -> None:
    """uvloop keeps what is written to the end of an iteration, in which the right to it could end."""

    async def talk() -> None:
        loop = asyncio.get_running_loop()
        asked, go = asyncio.Event(), asyncio.Event()

        async def slow(request: Request) -> Response:
            asked.set()
            await go.wait()
            return json_response(200, {})

        def work() -> None:
            before = loop.time()
            time.sleep(0.4)
            assert loop.time() - before >= 0.39

        async def busy() -> None:
            await asked.wait()
            loop.call_soon(go.set)
            await go.wait()
            # In the iteration in which the answer is made, and after it.
            work()

        def ask(port: int) -> float:
            with socket.create_connection(("127.0.0.1", port)) as line:
                sent = time.monotonic()
                line.sendall(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
                assert line.recv(4096).startswith(b"HTTP/1.1 200")
                return time.monotonic() - sent

        async with await serve("127.0.0.1", 0, slow, ConnectionAdmission(50)) as listening:
            busy_too = asyncio.create_task(busy())
            assert await asyncio.to_thread(ask, listening.sockets[0].getsockname()[1]) < 0.3
            await busy_too

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(talk())
