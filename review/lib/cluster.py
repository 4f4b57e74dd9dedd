"""A small deployment on loopback: controllers as processes of their own, and the stand-ins around them."""

import asyncio
import contextlib
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
from pathlib import Path
from typing import Any

from fleet import Cloud, WorkerSettings, World
from store import Limits, StateService
from web import NoAnswer, request

ROOT = Path(__file__).resolve().parents[2]
TRY_AGAIN_S = 1.0
GIVE_UP_S = 60.0
ANSWER_TIMEOUT_S = 5.0
POLL_TIMEOUT_S = 2.0

# A small machine type that boots at once ("at times machines are up within a second or two").
BENCH = {
    "name": "bench",
    "cores": 8,
    "accelerators": 0,
    "memory_gb": 32,
    "cache_gb": 70,
    "fetch_gb_per_s": 0.8,
    "price": 0.6,
    "low_price": 0.2,
    "ready_s": 2,
    "yards": ["taipei", "taichung", "kaohsiung"],
}
WORKERS = WorkerSettings(report_s=1.0, lease_s=10.0, gang_wait_s=30.0, gang_peer_s=6.0, cancel_s=35.0)
STATE = Limits(rps=150.0, write_rps=60.0, value_kb=32.0, txn_ops=32)
TEAMS = [{"name": f"league-ops-{n}", "cpus": 0.0, "cpus_max": 0.0, "gpus": 8.0, "gpus_max": 18.0} for n in range(2)]


def trouble() -> bool:
    """Whether the script brings about the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def job(number: int, **fields: Any) -> dict[str, Any]:
    """A submission: an array of CPU tasks unless the fields say otherwise."""
    return {
        "name_id": f"j-{number:06d}",
        "docket": "stat-backfill",
        "crew": "league-ops-0",
        "shape": "sweep",
        "rank": "low",
        "parcels": 1,
        "cores": 2.0,
        "accelerators": 0.0,
        "memory_gb": 2.9,
        "kit": "img-01",
        "size_gb": 0.4,
        "builds": None,
        "yard": None,
        "together": False,
        "scatter": False,
        "loaners": True,
        "guess_s": 15.0,
        "mark_every_s": 0.0,
        "mark_s": 0.0,
        "due_s": 60.0,
    } | fields


class Controller:
    """One controller process."""

    def __init__(self, name: str, settings: dict[str, Any], folder: Path) -> None:
        self.name, self.settings = name, settings
        self.public, self.back = settings["public_addr"], settings["back"]
        self._config = folder / f"{name}.json"
        self._config.write_text(json.dumps(settings))
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.ends_by_itself = 0

    def start(self) -> None:
        """Start the process with the deploy file's command."""
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        command = [*shlex.split(deploy["run"]), str(self._config)]
        if command[0] == "python3":
            command[0] = sys.executable
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | {"LOG_LEVEL": os.environ.get("CASE_LOG", "info")},
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, and wait until it is gone."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            self.process.wait()

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for s in sockets:
            s.bind(("127.0.0.1", 0))
        return [s.getsockname()[1] for s in sockets]
    finally:
        for s in sockets:
            s.close()


class Cluster:
    """The deployment, and its users."""

    def __init__(self, record: Path, **options: Any) -> None:
        self.started_at = time.monotonic()
        self._record = record.open("w")
        self.count = options.get("count", 3)
        self.limits: Limits = options.get("limits", STATE)
        self.workers: WorkerSettings = options.get("workers", WORKERS)
        self.teams = options.get("teams", TEAMS)
        self.list_lag_s = options.get("list_lag_s", 4.0)
        self.cloud_rps = options.get("cloud_rps", 3.0)
        self.world = World(self.note, self.workers)
        self.state = StateService(self.limits)
        self.cloud = Cloud(self.world, options.get("builds", [BENCH]), self.list_lag_s, options.get("machines", 8))
        self.controllers: dict[str, Controller] = {}
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self.told: dict[str, list[tuple[float, str, str]]] = {}

    def note(self, event: str, **fields: Any) -> None:
        """Write one line to the record."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._record.write(f"{time.monotonic() - self.started_at:8.3f} {event}{': ' if text else ''}{text}\n")
        self._record.flush()

    async def start(self) -> None:
        """Start the stand-ins and the controllers, and wait until all controllers are healthy."""
        state, cloud = await self.state.start(), await self.cloud.start()
        ports = _free_ports(2 * self.count)
        zones = self.cloud.builds[0]["yards"]
        names = [f"steward-{n}" for n in range(self.count)]
        for n, name in enumerate(names):
            settings = {
                "node_name": name,
                "site": zones[n % len(zones)],
                "public_addr": f"127.0.0.1:{ports[2 * n]}",
                "back": f"127.0.0.1:{ports[2 * n + 1]}",
                "known": [
                    {"node_name": other, "site": zones[m % len(zones)], "peer_addr": f"127.0.0.1:{ports[2 * m + 1]}"}
                    for m, other in enumerate(names)
                    if m != n
                ],
                "endpoints": await self.endpoints(name, {"cloud": cloud, "state": state}),
                "params": {
                    "count": self.count,
                    "zones": zones,
                    "teams": self.teams,
                    "objectives": [
                        {"kind": "deadline", "class": "stat-backfill", "share": 0.9, "times": 1.0},
                        {"kind": "guarantee", "within_s": 20.0, "share": 0.92},
                    ],
                    "workers": vars(self.workers),
                    "state": self.limits._asdict(),
                    "cloud": {"rps": self.cloud_rps, "list_lag_s": self.list_lag_s},
                    "limits": {"cpu": 1.0, "ram_mb": 256.0, "sockets": 600},
                    "skew_ms": 5.0,
                },
            }
            controller = self.controllers[name] = Controller(name, settings, self.folder)
            self.world.nodes[name] = controller.public
            controller.start()
        self.note("controllers started", count=self.count)
        for controller in self.controllers.values():
            if not await self.wait_for(lambda c=controller: self.is_healthy(c), 20):
                raise RuntimeError(f"{controller.name} did not become healthy")

    async def endpoints(self, _: str, addresses: dict[str, str]) -> dict[str, str]:
        """The addresses of cloud and state service for one controller; a case may put a proxy in between."""
        return addresses

    def stop(self) -> None:
        """End everything that was started."""
        for controller in self.controllers.values():
            with contextlib.suppress(Exception):
                controller.send_signal(signal.SIGCONT)
            controller.kill()
        self.cloud.stop()
        self.state.server.stop()
        for controller in self.controllers.values():
            text = controller.log.read_text(errors="replace")
            for word in ("Traceback", "leader term failed", "leader elected", "OverflowError"):
                count = text.count(word)
                if count:
                    self.note("in the log", controller=controller.name, text=f"'{word}'", times=count)
            keep = os.environ.get("CASE_KEEP")
            if keep:
                Path(keep).mkdir(parents=True, exist_ok=True)
                (Path(keep) / controller.log.name).write_text(text)
        self._folder.cleanup()
        self._record.close()

    async def wait_for(self, check: Any, within_s: float, every_s: float = 0.1) -> bool:
        """Wait until the check is true; return whether it was within the time."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            result = check()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return True
            await asyncio.sleep(every_s)
        return False

    async def is_healthy(self, controller: Controller) -> bool:
        """Whether the controller answers its health check with 200."""
        try:
            return (await request(controller.public, "GET", "/healthz", timeout=1.0))[0] == 200
        except NoAnswer:
            return False

    async def leader(self) -> Controller | None:
        """The controller that holds the leader's key; None if none does."""
        entry = self.state.values.get("lead/leader")
        return None if entry is None else self.controllers.get(entry[0]["name"])

    # -- users ------------------------------------------------------------------------------------

    def pick(self, at: str | None = None) -> Controller:
        """The node that the load balancer picks."""
        running = [c for c in self.controllers.values() if c.is_running]
        return self.controllers[at] if at else random.choice(running or list(self.controllers.values()))

    async def ask(
        self, method: str, path: str, body: Any = None, at: str | None = None, timeout: float = ANSWER_TIMEOUT_S
    ) -> tuple[int, Any]:
        """One request of a user; status 0 if no answer came. Both are recorded."""
        node = self.pick(at)
        shown = "" if body is None else json.dumps({k: body[k] for k in body if k in CHANGED_FIELDS})
        try:
            status, answer = await request(node.public, method, path, body, timeout)
        except NoAnswer as error:
            self.note("user", request=f"{method} {path}", node=node.name, sent=shown, answer=f"none ({error})")
            return 0, None
        self.note("user", request=f"{method} {path}", node=node.name, sent=shown, answer=f"{status} {answer}")
        if status in (200, 201) and isinstance(answer, dict) and "standing" in answer:
            self.told.setdefault(answer["name_id"], []).append((time.monotonic(), path, answer["standing"]))
        return status, answer

    async def _retry(self, path: str, body: Any, at: str | None) -> tuple[int, Any]:
        end = time.monotonic() + GIVE_UP_S
        while True:
            status, answer = await self.ask("POST", path, body, at)
            if status in (200, 201, 400, 422) or time.monotonic() > end:
                return status, answer
            await asyncio.sleep(TRY_AGAIN_S)

    async def submit(self, spec: dict[str, Any], run_s: float = 1.0, at: str | None = None) -> int:
        """Submit a job, with retries; return the last status."""
        self.world.jobs[spec["name_id"]] = spec
        self.world.run_s[spec["name_id"]] = run_s
        return (await self._retry("/submissions", spec, at))[0]

    async def cancel(self, job_id: str, at: str | None = None) -> tuple[int, Any]:
        """Cancel a job, with retries."""
        return await self._retry(f"/submissions/{job_id}/cancel", None, at)

    async def poll(self, job_id: str, at: str | None = None) -> str | None:
        """Ask for a job once; return its standing, `404`, or None."""
        status, answer = await self.ask("GET", f"/submissions/{job_id}", at=at, timeout=POLL_TIMEOUT_S)
        return answer["standing"] if status == 200 else "404" if status == 404 else None

    async def done_within(self, job_id: str, within_s: float, every_s: float = 2.0) -> bool:
        """Poll until the job is done; return whether it was within the time."""

        async def is_done() -> bool:
            return await self.poll(job_id) == "done"

        return await self.wait_for(is_done, within_s, every_s)

    # -- the rule on waiting ----------------------------------------------------------------------

    def has_task(self, job_id: str) -> bool:
        """Whether a task of the job is on a machine, or a result of it is kept."""
        prefix = f"{job_id}/"
        return any(entries and parcel.startswith(prefix) for parcel, entries in self.world.on_machine.items()) or any(
            parcel.startswith(prefix) for parcel in self.world.results
        )

    def has_room_for(self, spec: dict[str, Any]) -> bool:
        """Whether a healthy machine that fits a task of the job has room for it, and its team is under its limit."""
        team = next(t for t in self.teams if t["name"] == spec["crew"])
        used = [
            self.world.jobs[parcel.rpartition("/")[0]]
            for parcel, entries in self.world.on_machine.items()
            for _ in entries
        ]
        for limit, amount in (("cpus_max", "cores"), ("gpus_max", "accelerators")):
            in_use = sum(j[amount] for j in used if j["crew"] == spec["crew"])
            if team[limit] > 0 and in_use + spec[amount] > team[limit]:
                return False
        return any(
            worker.host not in self.world.sick
            and (spec["builds"] is None or worker.build["name"] in spec["builds"])
            and (spec["yard"] is None or worker.yard == spec["yard"])
            and (spec["loaners"] or not worker.is_spot)
            and spec["size_gb"] <= worker.build["cache_gb"]
            and worker.has_room(spec)
            for worker in self.cloud.workers.values()
        )

    async def left_waiting(self, job_ids: list[str], most_s: float = 90.0) -> list[str]:
        """Watch accepted jobs until each has started or has waited too long; return those that were left waiting.

        Only a wait without interruption counts, while a machine that fits has room and the team is under its limit.
        """
        since = dict.fromkeys(job_ids, time.monotonic())
        left: list[str] = []
        last_poll = 0.0
        while since:
            now = time.monotonic()
            for job_id in list(since):
                if self.has_task(job_id):
                    self.note("no longer waits", job=job_id, waited=f"{now - since.pop(job_id):.1f}")
                elif not self.has_room_for(self.world.jobs[job_id]):
                    since[job_id] = now
                elif now - since[job_id] > most_s:
                    self.note("LEFT WAITING", job=job_id, for_s=f"{now - since.pop(job_id):.1f}", room="yes")
                    left.append(job_id)
            if now - last_poll > 5:
                last_poll = now
                for job_id in job_ids:
                    await self.poll(job_id)
                self.note("leader", term=self.state.values.get("lead/term", (None,))[0])
            await asyncio.sleep(0.2)
        return left


CHANGED_FIELDS = ("name_id", "shape", "parcels", "cores", "guess_s", "mark_s", "due_s", "awaits", "kit", "size_gb")


def run_case(case: Any, record: Path, **options: Any) -> int:
    """Run one case; return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

    async def run() -> int:
        cluster = options.pop("cluster", Cluster)(record, **options)
        try:
            async with asyncio.timeout(116):
                await cluster.start()
                result = bool(await case(cluster))
            cluster.note("result", broken=result)
            return 1 if result else 0
        except Exception as error:  # noqa: BLE001
            cluster.note("the case could not run", error=repr(error))
            return 2
        finally:
            cluster.stop()

    return asyncio.run(run())
