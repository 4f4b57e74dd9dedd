"""A small deployment for one case: the project's controllers as processes, and stand-ins for all else.

Traffic goes to loopback addresses only. `record.txt` in the case's folder gets what was sent, answered and run.
"""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from machine import Task, Worker
from platform_standins import Cloud, StateService
from wire import Server, ask

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_RUN_S = 116.0
WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Ports of the controllers are taken from here: below the range of outgoing connections.
PORTS = range(20_000, 32_000)


class CouldNotRun(Exception):
    """The case did not reach the point that it is about."""


def need(condition: object, text: str) -> None:
    """Go on only if this holds; otherwise the case could not run."""
    if not condition:
        raise CouldNotRun(text)


def free_port(taken: set[int]) -> int:
    """Return a loopback port that nothing uses."""
    while True:
        port = random.choice(PORTS)
        if port in taken:
            continue
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        taken.add(port)
        return port


class Node:
    """One controller process."""

    def __init__(self, name: str, zone: str, taken: set[int]) -> None:
        self.name, self.zone = name, zone
        self.public_port, self.peer_port = free_port(taken), free_port(taken)
        self.settings_file = Path()
        self.process: subprocess.Popen[bytes] | None = None


def job(name_id: str, **fields: Any) -> dict[str, Any]:
    """Return a submission; `fields` replace the defaults."""
    return {
        "name_id": name_id,
        "docket": "tiles",
        "crew": "maps",
        "shape": "sweep",
        "rank": "normal",
        "parcels": 1,
        "cores": 1.0,
        "accelerators": 0.0,
        "memory_gb": 1.0,
        "kit": "img-1",
        "size_gb": 0.1,
        "builds": None,
        "yard": None,
        "together": False,
        "scatter": False,
        "loaners": False,
        "guess_s": 5.0,
        "mark_every_s": 0.0,
        "mark_s": 0.0,
        "due_s": None,
    } | fields


class Bed:
    """The deployment of one case, its record and its checks."""

    def __init__(
        self,
        folder: Path,
        params: dict[str, Any],
        builds: list[dict[str, Any]],
        capacity: dict[tuple[str, str, bool], int],
        node_count: int = 3,
    ) -> None:
        self.params, self.builds = params, builds
        self.workers_params = params["workers"]
        self.started_at = time.monotonic()
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        self.temporary = tempfile.TemporaryDirectory(prefix="case-")
        taken: set[int] = set()
        self.nodes = [Node(f"steward-{n}", params["zones"][n % len(params["zones"])], taken) for n in range(node_count)]
        self.state = StateService(params["state"])
        self.cloud = Cloud(builds, capacity, params["cloud"]["list_lag_s"], self._machine_up, self._machine_gone)
        self.cloud.on_event = self.note
        self.cloud_server = Server(self.cloud.handle)
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.mistaken: set[str] = set()
        self.done: set[tuple[str, int]] = set()
        self.starts: list[tuple[float, str, str]] = []
        self.broken: list[str] = []
        self.run_time: Callable[[dict[str, Any]], float] = lambda job: job["guess_s"]
        self._tasks: set[asyncio.Task[Any]] = set()

    # -- record ---------------------------------------------------------------------------------

    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self.started_at

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self._record.write(f"{self.now():8.2f} {text}\n")
        self._record.flush()

    def breaks(self, rule: str, text: str) -> None:
        """Record that a rule was broken."""
        self.note(f"BROKEN {rule}: {text}")
        self.broken.append(f"{rule}: {text}")

    # -- processes ------------------------------------------------------------------------------

    def spawn(self, work: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
        """Start a task that ends with the case."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: "asyncio.Task[Any]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.note(f"a stand-in ended with {task.exception()!r}")

    async def start(self) -> None:
        """Start the stand-ins and all controllers."""
        await self.cloud_server.start()
        self.spawn(self.state.tick())
        self.spawn(self.cloud.tick())
        for node in self.nodes:
            state_port = await self.state.listen(node.name)
            settings = {
                "node_name": node.name,
                "site": node.zone,
                "public_addr": f"127.0.0.1:{node.public_port}",
                "back": f"127.0.0.1:{node.peer_port}",
                "known": [
                    {"node_name": n.name, "site": n.zone, "peer_addr": f"127.0.0.1:{n.peer_port}"}
                    for n in self.nodes
                    if n is not node
                ],
                "endpoints": {"cloud": f"127.0.0.1:{self.cloud_server.port}", "state": f"127.0.0.1:{state_port}"},
                "params": self.params | {"count": len(self.nodes)},
            }
            node.settings_file = Path(self.temporary.name) / f"{node.name}.json"
            node.settings_file.write_text(json.dumps(settings), encoding="utf-8")
        for node in self.nodes:
            self.start_node(node)

    def start_node(self, node: Node) -> None:
        """Start a controller with the `run` entry of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))
        log_file = (Path(self.temporary.name) / f"{node.name}.log").open("ab")
        node.process = subprocess.Popen(
            [*shlex.split(deploy["run"]), str(node.settings_file)],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log_file,
            stderr=log_file,
            env=os.environ | {"LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
        )
        log_file.close()
        self.note(f"{node.name} starts")

    def kill(self, node: Node) -> None:
        """End a controller without a signal that it could handle."""
        if node.process is not None:
            self.note(f"{node.name} is killed")
            node.process.kill()
            node.process.wait()
            node.process = None

    def pause(self, node: Node) -> None:
        """Stop a controller; it keeps its sockets."""
        assert node.process is not None
        self.note(f"{node.name} stands still")
        node.process.send_signal(signal.SIGSTOP)

    def go_on(self, node: Node) -> None:
        """Let a stopped controller go on."""
        assert node.process is not None
        self.note(f"{node.name} goes on")
        node.process.send_signal(signal.SIGCONT)

    def ended_by_itself(self) -> list[str]:
        """Names of controllers that ended without being killed."""
        return [n.name for n in self.nodes if n.process is not None and n.process.poll() is not None]

    def log_of(self, node: Node) -> str:
        """What a controller has written so far."""
        return (Path(self.temporary.name) / f"{node.name}.log").read_text(encoding="utf-8", errors="replace")

    def close(self) -> None:
        """End all processes and stand-ins."""
        for node in self.nodes:
            if node.process is not None:
                node.process.kill()
                node.process.wait()
        for worker in self.workers.values():
            worker.die()
        for task in list(self._tasks):
            task.cancel()
        for node in self.nodes:
            for line in self.log_of(node).splitlines():
                self._record.write(f"log {node.name}: {line}\n")
        self._record.close()
        self.temporary.cleanup()

    # -- machines -------------------------------------------------------------------------------

    async def _machine_up(self, machine: dict[str, Any]) -> str:
        worker = self.workers[machine["name_id"]] = Worker(self, machine)
        await worker.start()
        self.note(f"{worker.name} is up: {machine['build']} in {machine['yard']}")
        return f"127.0.0.1:{worker.server.port}"

    def _machine_gone(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.die()

    def stop_machine(self, worker: Worker) -> None:
        """Let a machine stop with all that is on it; the cloud lists it as running for 30 s more, then as failed."""
        self.note(f"{worker.name} stops with all that is on it")
        self._machine_gone(worker.name)
        machine = self.cloud.machines.get(worker.name)
        if machine is not None:
            self.spawn(self._list_as_failed(machine))

    async def _list_as_failed(self, machine: dict[str, Any]) -> None:
        await asyncio.sleep(30.0)
        machine["standing"] = "failed"

    def node_index(self, name: str | None) -> int | None:
        """The position of a controller by its name."""
        return next((n for n, node in enumerate(self.nodes) if node.name == name), None)

    # -- tasks ----------------------------------------------------------------------------------

    def on_machines(self) -> list[tuple[Worker, Task]]:
        """All tasks that are on a machine."""
        return [(w, t) for w in self.workers.values() for t in w.tasks.values() if t.is_on_machine]

    def gang(self, task: Task) -> list[tuple[Worker, Task]]:
        """The members of a gang's attempt that are on a machine."""
        key = (task.job["name_id"], task.attempt)
        return [(w, t) for w, t in self.on_machines() if (t.job["name_id"], t.attempt) == key]

    def is_whole(self, task: Task) -> bool:
        """Whether all members of a gang's attempt are on machines that execute."""
        members = self.gang(task)
        return len(members) == task.job["parcels"] and not any(w.is_hung for w, _ in members)

    def is_done(self, task: Task) -> bool:
        """Whether the task has completed, here or elsewhere."""
        return (task.job["name_id"], task.index) in self.done

    def complete(self, task: Task) -> None:
        """Keep the result of a task; the tasks of a gang complete together."""
        indices = range(task.job["parcels"]) if task.job["shape"] == "gang" else [task.index]
        self.done.update((task.job["name_id"], index) for index in indices)

    def check_start(self, worker: Worker, task: Task) -> None:
        """Check the rules that hold at a start."""
        self.starts.append((self.now(), task.name, worker.name))
        self.note(f"{worker.name}: {task.name} try {task.attempt} starts")
        others = [(w, t) for w, t in self.on_machines() if t is not task]
        where = [w.name for w, t in others if t.name == task.name]
        if where:
            self.breaks("ran_twice", f"{task.name} starts on {worker.name} while it is on {where}")
        team = next((t for t in self.params["teams"] if t["name"] == task.job["crew"]), {})
        for amount, limit in (("cores", team.get("cpus_max", 0.0)), ("accelerators", team.get("gpus_max", 0.0))):
            used = sum(t.job[amount] for _, t in others if t.job["crew"] == task.job["crew"]) + task.job[amount]
            if limit > 0 and used > limit + 1e-6:
                self.breaks("quota", f"{task.job['crew']} uses {used} of {limit} {amount} with {task.name}")
        self._check_place(worker, task, [w.machine["yard"] for w, t in others if t.job is task.job])

    def _check_place(self, worker: Worker, task: Task, yards: list[str]) -> None:
        machine, spec = worker.machine, task.job
        most = (spec["parcels"] + 1) // 2
        allowed = (
            (spec["builds"] is None or machine["build"] in spec["builds"])
            and spec["yard"] in (None, machine["yard"])
            and (spec["loaners"] or not machine["loaners"])
            and not (spec["together"] and any(yard != machine["yard"] for yard in yards))
            and not (spec["scatter"] and yards.count(machine["yard"]) + 1 > most)
        )
        if not allowed:
            self.breaks("wrong_place", f"{task.name} on {worker.name}, its others in {yards}")

    # -- users ----------------------------------------------------------------------------------

    async def request(
        self, node: Node, method: str, path: str, body: Any = None, timeout: float = 5.0
    ) -> tuple[int, Any]:
        """Send one user's request to a node, and record it."""
        sent_at = self.now()
        status, answer = await ask(node.public_port, method, path, body, timeout)
        self.note(f"user {method} {path} at {node.name} (sent {sent_at:.2f}): {status} {json.dumps(answer)}")
        return status, answer

    async def healthy(self, node: Node) -> bool:
        """Whether a node counts as healthy."""
        return (await ask(node.public_port, "GET", "/healthz", None, 1.0))[0] == 200

    async def wait_until_healthy(self, timeout: float = 30.0) -> bool:
        """Wait until all nodes are healthy."""
        end = self.now() + timeout
        while self.now() < end:
            if all([await self.healthy(node) for node in self.nodes]):
                return True
            await asyncio.sleep(0.2)
        return False

    async def begin(self) -> Node:
        """Start all, and wait until the nodes are healthy and one leads; return that one."""
        await self.start()
        need(await self.wait_until_healthy(), "the nodes did not become healthy")
        leader = await self.wait_for_leader()
        need(leader, "no node leads")
        assert leader is not None
        return leader

    async def machine(self, build: str, yard: str, *, loaners: bool = False) -> Worker:
        """Add a machine that is up since ten minutes ago, and return it once it has heard the leader."""
        name = self.cloud.rent(build, yard, loaners, 0.0, held_s=600.0)
        need(
            await self.wait_for(lambda: name in self.workers and self.workers[name].warrant > 0, 15.0),
            f"{name} did not hear the leader",
        )
        return self.workers[name]

    async def submit(self, body: dict[str, Any], for_s: float = 60.0) -> bool:
        """Submit until it is accepted or refused for good, for up to 60 s; return whether it was accepted."""
        self.jobs[body["name_id"]] = body
        end = self.now() + for_s
        turn = 0
        while self.now() < end:
            node = self.nodes[turn % len(self.nodes)]
            turn += 1
            status, _ = await self.request(node, "POST", "/submissions", body)
            if status in (200, 201):
                return True
            if status in (400, 422):
                return False
            await asyncio.sleep(1.0)
        return False

    async def leader(self) -> Node | None:
        """The node that leads, by its own word."""
        for node in self.nodes:
            if node.process is None:
                continue
            status, answer = await ask(node.peer_port, "GET", "/status", None, 1.0)
            if status == 200 and answer.get("leader") == node.name:
                return node
        return None

    async def wait_for_leader(self, timeout: float = 20.0) -> Node | None:
        """Wait until a node leads."""
        end = self.now() + timeout
        while self.now() < end:
            node = await self.leader()
            if node is not None:
                return node
            await asyncio.sleep(0.1)
        return None

    async def wait_for(self, condition: Callable[[], bool], timeout: float) -> bool:
        """Wait until something is true of the stand-ins."""
        end = self.now() + timeout
        while not condition():
            if self.now() >= end:
                return False
            await asyncio.sleep(0.02)
        return True


def run_case(bed_factory: Callable[[], Bed], play: Callable[[Bed], Coroutine[Any, Any, int]]) -> None:
    """Run a case and exit: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""

    async def main() -> int:
        bed = bed_factory()
        bed.note(f"trouble: {WITH_TROUBLE}")
        try:
            async with asyncio.timeout(MAX_RUN_S):
                result = await play(bed)
            if bed.ended_by_itself():
                bed.note(f"ended by themselves: {bed.ended_by_itself()}")
        except (TimeoutError, CouldNotRun) as error:
            bed.note(f"could not run: {error!r}")
            result = NOT_RUN
        finally:
            bed.note(f"broken: {bed.broken}")
            bed.close()
        return result

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    sys.exit(asyncio.run(main()))
