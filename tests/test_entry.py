"""The real entry point on loopback, against the simulated key-value store and cloud over real sockets."""

import asyncio
import os
import socket
import sys
from datetime import timedelta
from pathlib import Path

import orjson

from roseweir.connections import ConnectionAdmission
from roseweir.http import Client, Request, Response, Unreachable, serve
from tests.simulation.cluster import SimulatedCloud, SimulatedCluster, SimulatedKeyValueStore
from tests.test_submissions import submission_body

ROOT = Path(__file__).parent.parent
SECOND = timedelta(seconds=1)


def free_ports(count: int) -> list[int]:
    """Return ports below the ephemeral range, so that no outgoing connection takes one before it is used."""
    ports: list[int] = []
    port = 20_000 + os.getpid() % 2_500 * 4
    while len(ports) < count:
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) != 0:
                ports.append(port)
        port += 1
    return ports


async def serve_on_loopback(tmp_path: Path) -> None:
    cluster = SimulatedCluster(1, is_calm=True)
    cluster.state, cluster.cloud, cluster.nodes = SimulatedKeyValueStore(cluster), SimulatedCloud(cluster), []

    async def serve_store(request: Request) -> Response:
        body = orjson.loads(request.body) if request.body else None
        reply = await cluster.state.handle("n", request.method, request.path, body)
        return Response(reply.status, reply.body)

    async def serve_cloud(request: Request) -> Response:
        body = orjson.loads(request.body) if request.body else None
        reply = await cluster.cloud.handle("n", request.method, request.path, body)
        return Response(reply.status, reply.body)

    settings = orjson.loads((ROOT / "examples" / "settings.json").read_bytes())
    ports = free_ports(4)
    settings["public_addr"], settings["back"] = f"127.0.0.1:{ports[0]}", f"127.0.0.1:{ports[1]}"
    settings["endpoints"] = {"state": f"127.0.0.1:{ports[2]}", "cloud": f"127.0.0.1:{ports[3]}"}
    settings["params"]["teams"][0]["gpus_max"] = 8.0
    settings_file = tmp_path / "settings.json"
    settings_file.write_bytes(orjson.dumps(settings))
    servers = [
        await serve("127.0.0.1", ports[2], serve_store, ConnectionAdmission(50)),
        await serve("127.0.0.1", ports[3], serve_cloud, ConnectionAdmission(50)),
    ]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(ROOT / "run.py"),
        "serve",
        "--config",
        str(settings_file),
        env=os.environ | {"LOG_LEVEL": "info"},
        stderr=asyncio.subprocess.PIPE,
    )
    users = Client(settings["public_addr"])
    try:
        for _ in range(100):
            try:
                if (await users.request("GET", "/healthz", timeout=SECOND)).status == 200:
                    break
            except Unreachable:
                pass
            await asyncio.sleep(0.1)
        accepted = await users.request("POST", "/submissions", submission_body(crew="maps"), timeout=SECOND * 5)
        assert accepted.status == 201
        polled = await users.request("GET", "/submissions/j-000412", timeout=SECOND * 5)
        assert polled.json()["standing"] == "queued"
        peers = Client(settings["back"])
        for _ in range(50):
            status = (await peers.request("GET", "/status", timeout=SECOND)).json()
            if status.get("jobs") == 1:
                break
            await asyncio.sleep(0.1)
        assert status["leader"] == "node-0" and status["jobs"] == 1
        assert (await peers.request("GET", "/limits", timeout=SECOND)).json()["limits"] == []
        # Limits are not served on the public address.
        assert (await users.request("GET", "/limits", timeout=SECOND)).status == 404
        status_command = await asyncio.create_subprocess_exec(
            sys.executable, str(ROOT / "run.py"), "status", "--at", settings["back"], stdout=asyncio.subprocess.PIPE
        )
        out, _ = await status_command.communicate()
        assert status_command.returncode == 0 and b"node-0" in out
        peers.close()
    finally:
        users.close()
        if process.returncode is None:
            process.kill()
        _, log = await process.communicate()
        for server in servers:
            await server.close()
        for task in list(cluster.tasks):
            task.cancel()
    assert b"leader elected: term=1" in log


def test_entry_point_serves_on_loopback(tmp_path: Path) -> None:
    asyncio.run(serve_on_loopback(tmp_path))
