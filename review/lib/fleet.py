"""Stand-ins of the cloud and of the workers that run on its machines (protocol page)."""

import asyncio
import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from web import NoAnswer, Reply, Server, encode_json, request

MAX_BODY = 64 * 1024
ANSWER_TIMEOUT_S = 4.0


@dataclass
class WorkerSettings:
    """`workers` in the settings."""

    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


@dataclass
class Task:
    """A task of a job on a machine, or one that has exited and is not cleared yet."""

    parcel: str
    attempt: int
    standing: str = "pulling"
    cause: str | None = None
    stored: bool = False
    runner: "asyncio.Task[None] | None" = None

    def report(self) -> dict[str, Any]:
        """The task as reports list it."""
        entry: dict[str, Any] = {"parcel": self.parcel, "try": self.attempt, "standing": self.standing}
        if self.cause:
            entry["cause"] = self.cause
        if self.stored:
            entry["stored"] = True
        return entry


@dataclass
class Gang:
    """One attempt of a gang: its tasks start together once all of them are there, and complete together."""

    size: int
    gathered: set[str] = field(default_factory=set)
    started: asyncio.Event = field(default_factory=asyncio.Event)
    broken: asyncio.Event = field(default_factory=asyncio.Event)
    completes_at: float = 0.0

    def join(self, parcel: str, run_s: float) -> None:
        """Add a task that has its image; the last one starts the gang."""
        self.gathered.add(parcel)
        if len(self.gathered) == self.size and not self.started.is_set():
            self.completes_at = time.monotonic() + run_s
            self.started.set()

    def leave(self, parcel: str) -> None:
        """Remove a task; a gang that runs breaks unless it is complete."""
        self.gathered.discard(parcel)
        if self.started.is_set() and time.monotonic() < self.completes_at - 0.05:
            self.broken.set()


@dataclass
class World:
    """What users uploaded, what tasks did, and the record of both."""

    note: Callable[..., None]
    settings: WorkerSettings
    nodes: dict[str, str] = field(default_factory=dict)  # address of each controller by name, in the workers' order
    jobs: dict[str, dict[str, Any]] = field(default_factory=dict)  # submissions by id
    run_s: dict[str, float] = field(default_factory=dict)  # how long a task of the job runs
    gangs: dict[tuple[str, int], Gang] = field(default_factory=dict)  # by job and attempt
    results: set[str] = field(default_factory=set)  # tasks whose result is kept
    failures: set[tuple[str, str]] = field(default_factory=set)  # task and machine of each task that failed
    on_machine: dict[str, set[tuple[str, int]]] = field(default_factory=dict)  # machine and attempt, by task
    broken: list[str] = field(default_factory=list)  # rules that were seen broken
    largest_answer_line: int = 0
    mistaken: set[str] = field(default_factory=set)  # jobs whose tasks fail on every machine
    sick: set[str] = field(default_factory=set)  # machines that fail every task that they start
    refused_builds: set[str] = field(default_factory=set)  # machine types of which the cloud has none to give

    def break_rule(self, rule: str, text: str) -> None:
        """Record that a rule was broken."""
        self.broken.append(rule)
        self.note("RULE BROKEN", rule=rule, what=text)

    def task_starts(self, parcel: str, machine: str, attempt: int) -> None:
        """Note that a task has its image and is on the machine."""
        others = self.on_machine.setdefault(parcel, set())
        if others:
            self.break_rule("ran_twice", f"{parcel} starts on {machine} while on {sorted(others)}")
        others.add((machine, attempt))
        self.note("task starts", parcel=parcel, machine=machine, attempt=attempt)

    def task_leaves(self, parcel: str, machine: str, attempt: int, why: str) -> None:
        """Note that a task has left the machine."""
        entries = self.on_machine.get(parcel, set())
        if (machine, attempt) in entries:
            gang = self.gangs.get((parcel.rpartition("/")[0], attempt))
            if gang is not None:
                gang.leave(parcel)
            entries.discard((machine, attempt))
            self.note("task leaves", parcel=parcel, machine=machine, attempt=attempt, why=why)


class Worker:
    """The worker of one machine: reports to one controller at a time, and runs tasks."""

    def __init__(self, world: World, host: str, build: dict[str, Any], yard: str, is_spot: bool) -> None:
        self.world, self.host, self.build, self.yard, self.is_spot = world, host, build, yard, is_spot
        self.tenure, self.tally, self.warrant = 1, 0, 0
        self.tasks: dict[tuple[str, int], Task] = {}
        self.images: set[str] = set()
        self.fetches: dict[str, asyncio.Event] = {}
        self.server = Server(self._handle)
        self.node = ""
        self.lease_from = time.monotonic()
        self._changed = asyncio.Event()
        self._runners: list[asyncio.Task[None]] = []
        self.is_gone = False
        self.too_large_reports = 0

    async def start(self) -> None:
        """Begin to report."""
        await self.server.start()
        self.lease_from = time.monotonic()
        self.node = random.choice(list(self.world.nodes))
        self._runners = [asyncio.create_task(self._report_loop()), asyncio.create_task(self._lease_loop())]

    def stop(self, why: str) -> None:
        """End the machine with everything on it."""
        self.is_gone = True
        for runner in self._runners:
            runner.cancel()
        self._end_tasks(why)
        self.server.stop()

    def _end_tasks(self, why: str) -> None:
        for task in self.tasks.values():
            if task.runner is not None:
                task.runner.cancel()
            self.world.task_leaves(task.parcel, self.host, task.attempt, why)
        self.tasks.clear()

    # -- reports --------------------------------------------------------------------------------

    def _report(self) -> dict[str, Any]:
        self.tally += 1
        return {
            "host": self.host,
            "endpoint": f"127.0.0.1:{self.server.port}",
            "build": self.build["name"],
            "yard": self.yard,
            "loaners": self.is_spot,
            "tenure": self.tenure,
            "tally": self.tally,
            "warrant": self.warrant,
            "recall_s": None,
            "parcels": [task.report() for task in self.tasks.values()],
        }

    async def _lease_loop(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.lease_from > self.world.settings.lease_s:
                self.world.note("lease ends", machine=self.host, tenure=self.tenure, tasks=len(self.tasks))
                self._end_tasks("lease ended")
                self.tenure += 1
                self.lease_from = time.monotonic()
                self._changed.set()

    async def _report_loop(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._changed.clear()
            sent_at = time.monotonic()
            wait = await self._report_once(sent_at)
            least = max(0.0, sent_at + 0.5 - loop.time())
            if wait is None:
                wait = self.world.settings.report_s * random.uniform(0.75, 1.25) - (time.monotonic() - sent_at)
            elif wait >= 0:
                await asyncio.sleep(wait)
                continue
            await asyncio.sleep(least)
            try:
                await asyncio.wait_for(self._changed.wait(), max(0.0, wait - least))
            except TimeoutError:
                pass

    async def _report_once(self, sent_at: float) -> float | None:
        """Report; return the pause until the next report, None for the usual one."""
        tenure, report = self.tenure, self._report()
        if len(encode_json(report)) > MAX_BODY:
            # The protocol allows no larger body, so nothing can be sent.
            self.too_large_reports += 1
            self.world.note("report too large", machine=self.host, tasks=len(self.tasks))
            return 1.0
        try:
            status, answer = await request(
                self.world.nodes[self.node], "POST", "/hello", report, timeout=ANSWER_TIMEOUT_S
            )
        except NoAnswer:
            return self._next_node()
        if status == 200 and isinstance(answer, dict):
            self.world.largest_answer_line = max(self.world.largest_answer_line, len(encode_json(answer)))
            if tenure == self.tenure and (answer.get("warrant") or -1) >= self.warrant:
                if answer["warrant"] > self.warrant:
                    self._changed.set()
                self.warrant = answer["warrant"]
                self.lease_from = max(self.lease_from, sent_at)
                self._execute(answer.get("orders", []))
            return None
        if status == 421 and isinstance(answer, dict):
            leader = answer.get("answers_to")
            if leader in self.world.nodes and leader != self.node:
                self.node = leader
                return random.uniform(0, 0.5)
        return self._next_node()

    def _next_node(self) -> float:
        names = list(self.world.nodes)
        self.node = names[(names.index(self.node) + 1) % len(names)]
        return 1.0

    # -- commands -------------------------------------------------------------------------------

    async def _handle(self, method: str, path: str, _: dict[str, str], body: Any) -> Reply | None:
        if path == "/status" and method == "GET":
            return 200, self._report()
        if path != "/do" or method != "POST":
            return 404, {}
        if "warrant" not in body or "tenure" not in body:
            return 400, {"error": "warrant or tenure is missing"}
        if body["warrant"] < self.warrant or body["tenure"] != self.tenure:
            return 409, self._report()
        self.warrant = body["warrant"]
        self._execute(body.get("orders", []))
        return 200, self._report()

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["parcel"], order["try"])
            if order["verb"] == "run":
                self._run(*key)
            elif order["verb"] == "halt" and key in self.tasks:
                self._halt(self.tasks[key], float(order.get("wind_down_s", 0)))
            elif order["verb"] == "clear" and key in self.tasks and self.tasks[key].standing == "exited":
                del self.tasks[key]

    def _run(self, parcel: str, attempt: int) -> None:
        if (parcel, attempt) in self.tasks:
            return
        task = self.tasks[parcel, attempt] = Task(parcel, attempt)
        job = self.world.jobs.get(parcel.rpartition("/")[0])
        if job is None or int(parcel.rpartition("/")[2]) >= job["parcels"]:
            self._exit(task, "unknown")
        elif any(t.parcel == parcel and t.standing != "exited" and t is not task for t in self.tasks.values()):
            self._exit(task, "in_use")
        elif not self.has_room(job):
            self._exit(task, "no_room")
        else:
            task.runner = asyncio.create_task(self._run_task(task, job))

    def has_room(self, job: dict[str, Any]) -> bool:
        """Whether there are enough free resources for one more task of the job; fetching tasks count."""
        used = [
            self.world.jobs[t.parcel.rpartition("/")[0]]
            for t in self.tasks.values()
            if t.standing != "exited" and t.runner is not None
        ]
        return all(
            sum(j[name] for j in used) + job[name] <= self.build[name] + 1e-6
            for name in ("cores", "accelerators", "memory_gb")
        )

    async def _run_task(self, task: Task, job: dict[str, Any]) -> None:
        await self._fetch(job)
        self.world.task_starts(task.parcel, self.host, task.attempt)
        if job["shape"] == "gang" and task.parcel not in self.world.results:
            await self._run_gang_task(task, job)
            return
        task.standing = "running"
        self._changed.set()
        if self.host in self.world.sick or job["name_id"] in self.world.mistaken:
            await asyncio.sleep(0.2)
            self.world.failures.add((task.parcel, self.host))
            self._exit(task, "error")
            return
        if task.parcel not in self.world.results:
            run_s = self.world.run_s.get(job["name_id"], 1.0)
            if job["shape"] == "daemon":
                run_s = 1e6
            await asyncio.sleep(run_s)
            self.world.results.add(task.parcel)
        self._exit(task, "done")

    async def _run_gang_task(self, task: Task, job: dict[str, Any]) -> None:
        gang = self.world.gangs.setdefault((job["name_id"], task.attempt), Gang(job["parcels"]))
        task.standing = "gathering"
        self._changed.set()
        gang.join(task.parcel, self.world.run_s.get(job["name_id"], 1.0))
        try:
            await asyncio.wait_for(gang.started.wait(), self.world.settings.gang_wait_s)
        except TimeoutError:
            self._exit(task, "alone")
            return
        task.standing = "running"
        self._changed.set()
        try:
            await asyncio.wait_for(gang.broken.wait(), max(0.0, gang.completes_at - time.monotonic()))
        except TimeoutError:
            self.world.results.add(task.parcel)
            self._exit(task, "done")
        else:
            self._exit(task, "mates_gone")

    async def _fetch(self, job: dict[str, Any]) -> None:
        image = job["kit"]
        if image in self.images:
            return
        if image not in self.fetches:
            done = self.fetches[image] = asyncio.Event()
            await asyncio.sleep(job["size_gb"] / self.build["fetch_gb_per_s"])
            self.images.add(image)
            del self.fetches[image]
            done.set()
        else:
            await self.fetches[image].wait()

    def _exit(self, task: Task, cause: str, stored: bool = False) -> None:
        if task.standing != "exited":
            task.standing, task.cause, task.stored = "exited", cause, stored
            self.world.task_leaves(task.parcel, self.host, task.attempt, cause)
            self._changed.set()

    def _halt(self, task: Task, wind_down_s: float) -> None:
        if task.standing == "exited":
            return
        job = self.world.jobs[task.parcel.rpartition("/")[0]]
        if task.runner is not None:
            task.runner.cancel()
        if task.standing == "running" and job["mark_every_s"] > 0 and 0 < job["mark_s"] <= wind_down_s:
            task.standing = "saving"
            task.runner = asyncio.create_task(self._save(task, job["mark_s"]))
            self._changed.set()
            return
        if job["kit"] in self.fetches and job["kit"] not in self.images:
            self.fetches.pop(job["kit"]).set()
        self._exit(task, "halted")

    async def _save(self, task: Task, mark_s: float) -> None:
        await asyncio.sleep(mark_s)
        self._exit(task, "halted", stored=True)


class Cloud:
    """Rents machines; each comes up after `ready_s` and starts a worker."""

    def __init__(self, world: World, builds: list[dict[str, Any]], lag_s: float, most: int) -> None:
        self.world, self.builds, self.lag_s, self.most = world, builds, lag_s, most
        self.server = Server(self._handle)
        self.machines: dict[str, dict[str, Any]] = {}
        self.workers: dict[str, Worker] = {}
        self.rented: dict[str, list[str]] = {}
        self.lists: deque[tuple[float, list[dict[str, Any]]]] = deque(maxlen=4000)
        self.last_number = 0

    async def start(self) -> str:
        """Serve, and return the address."""
        await self.server.start()
        asyncio.create_task(self._keep_lists())
        return f"127.0.0.1:{self.server.port}"

    def stop(self) -> None:
        """End all machines."""
        for worker in self.workers.values():
            worker.stop("the case ends")
        self.server.stop()

    def _now_listed(self) -> list[dict[str, Any]]:
        now = time.monotonic()
        return [
            {
                "name_id": name,
                "endpoint": f"127.0.0.1:{self.workers[name].server.port}" if name in self.workers else "127.0.0.1:9",
                "build": machine["build"],
                "yard": machine["yard"],
                "loaners": machine["loaners"],
                "standing": machine["standing"],
                "held_s": now - machine["at"],
            }
            for name, machine in sorted(self.machines.items())
        ]

    async def _keep_lists(self) -> None:
        while True:
            self.lists.append((time.monotonic(), self._now_listed()))
            await asyncio.sleep(0.25)

    def end_machine(self, name: str) -> None:
        """The machine stops with all that is on it, and is gone."""
        self.world.note("machine dies", machine=name)
        del self.machines[name]
        self.workers.pop(name).stop("machine died")

    async def _handle(self, method: str, path: str, query: dict[str, str], body: Any) -> Reply | None:
        if path == "/catalog":
            return 200, {"builds": self.builds}
        if path == "/machines" and method == "POST":
            return self._rent(body)
        if path == "/machines/release":
            for name in body["hosts"]:
                if self.machines.pop(name, None) is not None:
                    self.world.note("machine released", machine=name)
                worker = self.workers.pop(name, None)
                if worker is not None:
                    worker.stop("machine released")
            return 200, {}
        if path == "/machines":
            as_of = time.monotonic() - self.lag_s
            listed = next((entries for at, entries in reversed(self.lists) if at <= as_of), [])
            after, limit = query.get("after", ""), int(query.get("limit", "500"))
            page = [entry for entry in listed if entry["name_id"] > after]
            return 200, {"hosts": page[:limit], "truncated": len(page) > limit}
        return 404, {}

    def _rent(self, body: dict[str, Any]) -> Reply:
        if body["requisition"] in self.rented:
            return 200, {"hosts": self.rented[body["requisition"]]}
        count = min(body["how_many"], 50, self.most - len(self.machines))
        if count <= 0 or body["build"] in self.world.refused_builds:
            self.world.note("rental refused: no capacity", build=body["build"], yard=body["yard"])
            return 503, {"error": "no capacity"}
        names = [self.add_machine(body["build"], body["yard"], body["loaners"]) for _ in range(count)]
        self.rented[body["requisition"]] = names
        return 200, {"hosts": names}

    def add_machine(self, build: str, yard: str, is_spot: bool, ready_s: float | None = None) -> str:
        """Rent one machine; return its name."""
        self.last_number += 1
        name = f"i-{self.last_number:06d}"
        kind = next(b for b in self.builds if b["name"] == build)
        self.machines[name] = {
            "build": build,
            "yard": yard,
            "loaners": is_spot,
            "standing": "booting",
            "at": time.monotonic(),
        }
        self.world.note("machine rented", machine=name, build=build, yard=yard)
        asyncio.create_task(self._boot(name, kind, yard, is_spot, kind["ready_s"] if ready_s is None else ready_s))
        return name

    async def _boot(self, name: str, kind: dict[str, Any], yard: str, is_spot: bool, ready_s: float) -> None:
        await asyncio.sleep(ready_s)
        if name not in self.machines:
            return
        worker = self.workers[name] = Worker(self.world, name, kind, yard, is_spot)
        await worker.start()
        self.machines[name]["standing"] = "running"
