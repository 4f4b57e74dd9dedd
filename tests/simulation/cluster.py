"""A small simulated cluster: stand-ins for the key-value store, the cloud, the workers and the users.

They follow the published protocol. All faults are drawn from one seeded generator, and the rules are checked at each
event, so that a failing day can be replayed from its seed.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import ExitStack, contextmanager
from contextvars import Context, ContextVar
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import Any
from unittest.mock import patch

import orjson

from roseweir.controller.process import ControllerProcess
from roseweir.http import Reply, Response, Unreachable
from roseweir.operator_config import OperatorConfig
from roseweir.settings import Settings
from tests.simulation import virtual_time
from tests.simulation.linearizability import OperationHistory, violations
from tests.simulation.user_faults import USER_FAULTS
from tests.versions import LOADED, PRESENT, Version

ZONES = ["a", "b"]
TEAM_GPU_LIMIT = 6.0
CANCEL_DEADLINE_S, LEASE_DURATION_S, HEARTBEAT_INTERVAL_S = 14.0, 6.0, 1.0
MACHINE_TYPES = {
    "cpu": {"cores": 8.0, "accelerators": 0.0, "memory_gb": 32.0},
    "gpu": {"cores": 16.0, "accelerators": 4.0, "memory_gb": 64.0},
}


# No run command goes to a machine that nothing has reached for this long: two unanswered queries, a lost answer.
UNREACHABLE_AFTER_S = 9.0
BASIC_FAULTS = ["crash", "crash", "roll", "all", "outage", "alone", "hang", "die", "recall", "cut", "sick", "slow"]
# The basic faults, and faults that were added later, as on-call engineers had met them.
EXTENDED_FAULTS = [*BASIC_FAULTS, "paused", "paused", "partly", "partly", "partly", "boots", "lag"]
# One-way partitions, duplicated heartbeats, isolated controllers and machines that restart in place.
PARTIAL_PARTITION_FAULTS = [
    "deaf machine",
    "deaf machine",
    "mute machine",
    "copies",
    "copies",
    "lone",
    "lone",
    "reborn",
    "reborn",
]
# Faults of the store and of the leader, which most often are one of the two that break a rule in combination.
STORE_AND_LEADER_FAULTS = ["late writes", "slow state", "gap", "held commands", "returns"]


class RuleViolation(AssertionError):
    pass


def virtual_now() -> float:
    return asyncio.get_running_loop().time()


# Offset of a controller's wall clock, set when its process starts.
_CLOCK_SKEW: ContextVar[float] = ContextVar("skew", default=0.0)


def make_settings(
    index: int,
    write_rps: float = 100.0,
    controller_count: int = 3,
    txn_ops: int = 24,
    value_kb: float = 8.0,
    params_override: dict[str, Any] | None = None,
) -> Settings:
    import msgspec

    nodes = [
        {"node_name": f"n{i}", "site": ZONES[i % 2], "peer_addr": f"10.0.0.{i + 1}:8081"}
        for i in range(controller_count)
    ]
    return msgspec.convert(
        {
            "node_name": f"n{index}",
            "site": ZONES[index % 2],
            "public_addr": f"10.0.0.{index + 1}:8080",
            "back": f"10.0.0.{index + 1}:8081",
            "known": [n for i, n in enumerate(nodes) if i != index],
            "endpoints": {"cloud": "10.2.0.2:1", "state": "10.2.0.1:1"},
            "params": {
                "zones": ZONES,
                "teams": [
                    {"name": "t0", "gpus": 2.0, "gpus_max": TEAM_GPU_LIMIT},
                    {"name": "t1", "gpus": 2.0, "gpus_max": TEAM_GPU_LIMIT},
                    {"name": "guest"},
                ],
                "objectives": [{"kind": "guarantee", "within_s": 10.0, "share": 0.9}],
                "workers": {
                    "report_s": HEARTBEAT_INTERVAL_S,
                    "lease_s": LEASE_DURATION_S,
                    "gang_wait_s": 8.0,
                    "gang_peer_s": 3.0,
                    "cancel_s": CANCEL_DEADLINE_S,
                },
                "state": {"rps": 200.0, "write_rps": write_rps, "value_kb": value_kb, "txn_ops": txn_ops},
                "cloud": {"rps": 10.0, "list_lag_s": 2.0},
                "limits": {"cpu": 1.0, "ram_mb": 256.0, "sockets": 256},
            }
            | (params_override or {}),
        },
        Settings,
    )


def network_target_of(address: str) -> str:
    if address == "10.2.0.1:1":
        return "state"
    if address == "10.2.0.2:1":
        return "cloud"
    return "workers" if address.endswith(":9000") else "peers"


def json_reply(status: int, value: object = None) -> Reply:
    return Reply(status, b"" if value is None else orjson.dumps(value))


@dataclass
class LoweredLimits:
    """Limits beyond which the key-value store rejects transactions, and how many it has rejected."""

    value_kb: float
    txn_ops: int
    write_rps: float
    tokens: float
    refilled_at: float
    too_large_count: int = 0  # transactions answered with 400
    rate_limited_count: int = 0  # transactions answered with 429

    def status_of(self, body: Any) -> int:
        ops = body["then"]
        largest = max((len(orjson.dumps(op.get("v"))) for op in ops), default=0)
        if len(ops) > self.txn_ops or len(body["guards"]) > 4 * self.txn_ops or largest > self.value_kb * 1024:
            self.too_large_count += 1
            return 400
        # The token bucket holds the writes of one second.
        self.tokens = min(self.write_rps, self.tokens + (virtual_now() - self.refilled_at) * self.write_rps)
        self.refilled_at = virtual_now()
        if len(ops) > self.tokens:
            self.rate_limited_count += 1
            return 429
        self.tokens -= len(ops)
        return 200


class SimulatedKeyValueStore:
    def __init__(self, cluster: "SimulatedCluster") -> None:
        self.cluster = cluster
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.leases_by_id: dict[int, tuple[float, float]] = {}
        self.revision = 1
        self.next_lease_id = 1
        self.events: list[tuple[str, Any, int]] = []
        self.is_down = False
        self.refused_controllers: set[str] = set()
        self.change_count = 0  # puts and deletes in all transactions
        self.max_page_items = 3
        self.lowered_limits: LoweredLimits | None = None  # None until `lower_limits` is called
        self.changed = asyncio.Event()

    def apply_change(self, key: str, value: Any, lease: int | None) -> None:
        if value is None:
            if self.keys.pop(key, None) is None:
                return
        else:
            self.keys[key] = (value, self.revision, lease)
        self.events.append((key, value, self.revision))
        self.changed.set()
        self.changed = asyncio.Event()

    def expire_leases(self) -> None:
        if self.is_down:
            return
        for lease, (_, until) in list(self.leases_by_id.items()):
            if virtual_now() > until:
                self.drop_lease(lease)

    def drop_lease(self, lease: int) -> None:
        del self.leases_by_id[lease]
        expired_keys = [key for key, (_, _, lease_of_key) in self.keys.items() if lease_of_key == lease]
        if expired_keys:
            self.revision += 1
            for key in expired_keys:
                self.apply_change(key, None, None)

    def end_outage(self) -> None:
        self.is_down = False
        self.leases_by_id = {lease: (ttl, virtual_now() + ttl) for lease, (ttl, _) in self.leases_by_id.items()}

    async def handle(self, controller_name: str, method: str, path: str, body: Any) -> Reply:
        if path.startswith("/watch"):
            return await self.watch(controller_name, path)
        if self.is_down or controller_name in self.refused_controllers:
            return json_reply(503)
        self.expire_leases()
        if path == "/txn":
            return self.commit_transaction(body)
        if path == "/holds":
            lease, ttl = self.next_lease_id, body["ttl_ms"] / 1000
            self.next_lease_id += 1
            self.leases_by_id[lease] = (ttl, virtual_now() + ttl)
            return json_reply(200, {"tenancy": lease})
        if path.startswith("/holds/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases_by_id:
                return json_reply(404, {})
            if method == "DELETE":
                self.drop_lease(lease)
                return json_reply(200, {})
            ttl = self.leases_by_id[lease][0]
            # A lease may end up to 100 ms late, never early.
            self.leases_by_id[lease] = (ttl, virtual_now() + ttl + self.cluster.rng.uniform(0, 0.1))
            return json_reply(200, {"tenancy": lease})
        if path.startswith("/store?"):
            query = dict(part.split("=") for part in path.partition("?")[2].split("&"))
            prefix = query["prefix"].replace("%2F", "/")
            after = query.get("after", "").replace("%2F", "/")
            matching_keys = sorted(k for k in self.keys if k.startswith(prefix) and k > after)
            max_items = min(self.max_page_items, int(query["limit"]))
            pairs = [{"path": k, "v": self.keys[k][0], "stamp": self.keys[k][1]} for k in matching_keys[:max_items]]
            return json_reply(
                200, {"pairs": pairs, "truncated": len(matching_keys) > max_items, "ledger": self.revision}
            )
        key = path.removeprefix("/store/")
        if key not in self.keys:
            return json_reply(404, {"ledger": self.revision})
        value, version, _ = self.keys[key]
        return json_reply(200, {"path": key, "v": value, "stamp": version})

    def lower_limits(self, value_kb: float, txn_ops: int, write_rps: float) -> None:
        """Lowers the store's limits without notice: transactions beyond them are rejected from now on."""
        self.lowered_limits = LoweredLimits(value_kb, txn_ops, write_rps, write_rps, virtual_now())

    def commit_transaction(self, body: Any) -> Reply:
        status = self.lowered_limits.status_of(body) if self.lowered_limits is not None else 200
        if status != 200:
            return json_reply(status, {"error": "refused"})
        max_ops = self.cluster.txn_ops
        assert len(body["then"]) <= max_ops and len(body["guards"]) <= 4 * max_ops and len(orjson.dumps(body)) <= 65536
        self.change_count += len(body["then"])
        for op in body["then"]:
            if op.get("tenancy") is not None and op["tenancy"] not in self.leases_by_id:
                return json_reply(400, {"error": "no such lease"})
        failed = [
            g["path"]
            for g in body["guards"]
            if (self.keys[g["path"]][1] if g["path"] in self.keys else 0) != g["stamp"]
        ]
        if failed:
            return json_reply(409, {"failed": failed, "ledger": self.revision})
        if body["then"]:
            self.revision += 1
            for op in body["then"]:
                if "put" in op:
                    assert len(orjson.dumps(op["v"])) <= self.cluster.value_kb * 1024
                    self.apply_change(op["put"], op["v"], op.get("tenancy"))
                else:
                    self.apply_change(op["delete"], None, None)
        return json_reply(200, {"ledger": self.revision})

    async def watch(self, controller_name: str, path: str) -> Reply:
        query = dict(part.split("=") for part in path.partition("?")[2].split("&"))
        prefix, after = query["prefix"].replace("%2F", "/"), int(query["after"])
        answer_at = virtual_now() + int(query["block_ms"]) / 1000
        while True:
            is_refused = self.is_down or controller_name in self.refused_controllers
            if not is_refused:
                self.expire_leases()
                events = [
                    {"put": k, "v": v, "stamp": r} if v is not None else {"delete": k, "stamp": r}
                    for k, v, r in self.events
                    if r > after and k.startswith(prefix)
                ]
                if events or virtual_now() >= answer_at:
                    return json_reply(200, {"ledger": self.revision, "events": events})
            next_change = self.changed
            try:
                async with asyncio.timeout(0.2 if is_refused else max(0.01, min(0.2, answer_at - virtual_now()))):
                    await next_change.wait()
            except TimeoutError:
                pass


@dataclass
class SimulatedMachine:
    name: str
    machine_type: str
    zone: str
    is_spot: bool
    rented_at: float
    up_at: float
    worker: "SimulatedWorker | None" = None
    is_gone: bool = False
    has_failed: bool = False


class SimulatedCloud:
    def __init__(self, cluster: "SimulatedCluster") -> None:
        self.cluster = cluster
        self.machines: dict[str, SimulatedMachine] = {}
        self.answered_requests: dict[str, list[str]] = {}
        self.capacity = {
            (b, z, s): (3 if b == "cpu" else 1) * cluster.scale
            for b in MACHINE_TYPES
            for z in ZONES
            for s in (True, False)
        }
        self.listings: list[tuple[float, list[dict[str, Any]]]] = []
        self.boot_factor, self.boot_failure_probability = 1.0, 0.05
        self.listing_lag_s = 2.0

    def rent_machine(self, machine_type: str, zone: str, is_spot: bool) -> SimulatedMachine:
        rng = self.cluster.rng
        boot_s = 4.0 * self.boot_factor * rng.uniform(0.3, 1.5) if rng.random() > self.boot_failure_probability else 1e9
        machine = SimulatedMachine(
            f"i-{len(self.machines):06d}", machine_type, zone, is_spot, virtual_now(), virtual_now() + boot_s
        )
        self.machines[machine.name] = machine
        self.cluster.spawn(self.boot(machine))
        return machine

    async def boot(self, machine: SimulatedMachine) -> None:
        if machine.up_at > 1e8:
            return
        await asyncio.sleep(machine.up_at - virtual_now())
        if not machine.is_gone:
            machine.worker = SimulatedWorker(self.cluster, machine)
            await machine.worker.run()

    def remove_machine(self, machine: SimulatedMachine) -> None:
        machine.is_gone = True
        if machine.worker is not None:
            machine.worker.die()

    def machine_state(self, machine: SimulatedMachine) -> str:
        return "failed" if machine.has_failed else "running" if machine.worker else "booting"

    async def handle(self, controller_name: str, method: str, path: str, body: Any) -> Reply:
        if path == "/catalog":
            return json_reply(
                200,
                {
                    "builds": [
                        {
                            "name": name,
                            **resources,
                            "cache_gb": 20.0,
                            "fetch_gb_per_s": 2.0,
                            "price": 1.0,
                            "low_price": 0.3,
                            "ready_s": 4.0,
                            "yards": ZONES,
                        }
                        for name, resources in MACHINE_TYPES.items()
                    ]
                },
            )
        if path == "/machines":
            if body["requisition"] in self.answered_requests:
                return json_reply(200, {"hosts": self.answered_requests[body["requisition"]]})
            pool = (body["build"], body["yard"], body["loaners"])
            rented_count = sum(
                1
                for h in self.machines.values()
                if not h.is_gone and not h.has_failed and (h.machine_type, h.zone, h.is_spot) == pool
            )
            count = min(body["how_many"], self.capacity[pool] - rented_count)
            if count <= 0:
                return json_reply(503, {"error": "no capacity"})
            names = [self.rent_machine(*pool).name for _ in range(count)]
            self.answered_requests[body["requisition"]] = names
            return json_reply(200, {"hosts": names})
        if path == "/machines/release":
            for name in body["hosts"]:
                if name in self.machines:
                    self.remove_machine(self.machines[name])
            return json_reply(200, {})
        listed = [
            {
                "name_id": h.name,
                "endpoint": f"{h.name}:9000",
                "build": h.machine_type,
                "yard": h.zone,
                "loaners": h.is_spot,
                "standing": self.machine_state(h),
                "held_s": virtual_now() - h.rented_at,
            }
            for h in self.machines.values()
            if not h.is_gone
        ]
        self.listings.append((virtual_now(), listed))
        visible_listings = [entry for at, entry in self.listings if at <= virtual_now() - self.listing_lag_s]
        return json_reply(200, {"hosts": visible_listings[-1] if visible_listings else [], "truncated": False})


@dataclass
class SimulatedTask:
    job_id: str
    index: int
    attempt: int
    state: str = "pulling"
    cause: str | None = None
    is_checkpointed: bool | None = None
    stopped_at: float | None = None
    ends_at: float = 0.0

    @property
    def is_active(self) -> bool:
        return self.state in ("gathering", "running", "saving")


class SimulatedWorker:
    def __init__(self, cluster: "SimulatedCluster", machine: SimulatedMachine) -> None:
        self.cluster, self.machine = cluster, machine
        self.incarnation, self.sequence, self.fencing_token = 1, 0, 0
        self.tasks: dict[tuple[str, int], SimulatedTask] = {}
        self.cached_images: set[str] = set()
        self.is_dead = False
        self.is_hung = False
        self.is_unhealthy = False
        self.one_way_partition = ""  # "deaf": no answer or command reaches it; "mute": no heartbeat leaves it
        self.partitioned_since = self.resumed_at = 0.0
        self.preempted_at: float | None = None
        self.lease_renewed_at = virtual_now()
        self.controller_index = cluster.rng.randrange(cluster.controller_count)
        self.heartbeat_due = asyncio.Event()
        cluster.workers[machine.name] = self

    def set_one_way_partition(self, direction: str) -> None:
        self.one_way_partition, self.partitioned_since = direction, virtual_now()

    def restart_in_place(self) -> None:
        """The machine restarts under its name, without tasks, as a new incarnation; old commands may still arrive."""
        self.die()
        worker = self.machine.worker = SimulatedWorker(self.cluster, self.machine)
        worker.incarnation = self.incarnation + 1
        worker.preempted_at = self.preempted_at
        self.cluster.spawn(worker.run())

    def die(self) -> None:
        self.is_dead = True
        self.tasks.clear()
        self.heartbeat_due.set()
        self.cluster.workers.pop(self.machine.name, None)

    async def run(self) -> None:
        self.cluster.spawn(self.run_machine())
        while not self.is_dead:
            if self.is_hung:
                await asyncio.sleep(0.05)
                continue
            await self.send_heartbeat()
            try:
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S * self.cluster.rng.uniform(0.75, 1.25)):
                    await asyncio.sleep(0.5)
                    await self.heartbeat_due.wait()
            except TimeoutError:
                pass
            self.heartbeat_due.clear()

    async def run_machine(self) -> None:
        """The machine's own activity: lease expiry, image fetches, gang starts and ends of tasks."""
        while not self.is_dead:
            await asyncio.sleep(0.05)
            # The lease of a hung machine expires too: its tasks may run on within the lease only.
            if not self.is_dead and virtual_now() - self.lease_renewed_at > self.cluster.lease_duration_s:
                self.tasks.clear()
                self.incarnation += 1
                self.lease_renewed_at = virtual_now()
                self.heartbeat_due.set()
                continue
            for task in list(self.tasks.values()):
                if not self.is_hung:
                    self.advance_task(task)

    def advance_task(self, task: SimulatedTask) -> None:
        job = self.cluster.jobs[task.job_id]
        if task.state == "pulling" and virtual_now() >= task.ends_at:
            self.cached_images.add(job["kit"])
            if (task.job_id, task.index) in self.cluster.completed_tasks:
                return self.exit_task(task, "done")
            self.cluster.check_start(self, task)
            task.state = "gathering" if job["shape"] == "gang" else "running"
            task.ends_at = virtual_now() + (8.0 if task.state == "gathering" else self.cluster.draw_run_time_s(job))
            self.heartbeat_due.set()
        elif task.state == "gathering":
            members = self.cluster.gang_members(task)
            if len(members) == job["parcels"] and all(t.is_active and not w.is_hung for w, t in members):
                task.state = "running"
                task.ends_at = virtual_now() + self.cluster.draw_run_time_s(job)
                self.heartbeat_due.set()
            elif virtual_now() >= task.ends_at:
                self.exit_task(task, "alone")
        elif task.state == "running":
            if job["shape"] == "gang" and task.stopped_at is None:
                members = self.cluster.gang_members(task)
                if len(members) < job["parcels"] and not self.cluster.is_gang_done(task):
                    return self.exit_task(task, "mates_gone")
            if self.is_unhealthy or job.get("mistaken"):
                return self.exit_task(task, "error")
            if virtual_now() >= task.ends_at and job["shape"] != "daemon":
                self.complete_task(task)
        elif task.state == "saving" and virtual_now() >= task.ends_at:
            self.exit_task(task, "halted", is_checkpointed=True)
        return None

    def complete_task(self, task: SimulatedTask) -> None:
        job = self.cluster.jobs[task.job_id]
        indices = range(job["parcels"]) if job["shape"] == "gang" else [task.index]
        for index in indices:
            self.cluster.completed_tasks.add((task.job_id, index))
        self.exit_task(task, "done")

    def exit_task(self, task: SimulatedTask, cause: str, is_checkpointed: bool | None = None) -> None:
        task.state, task.cause, task.is_checkpointed = "exited", cause, is_checkpointed
        self.heartbeat_due.set()

    def heartbeat_body(self) -> dict[str, Any]:
        self.sequence += 1
        machine = self.machine
        return {
            "host": machine.name,
            "endpoint": f"{machine.name}:9000",
            "build": machine.machine_type,
            "yard": machine.zone,
            "loaners": machine.is_spot,
            "tenure": self.incarnation,
            "tally": self.sequence,
            "warrant": self.fencing_token,
            "recall_s": None if self.preempted_at is None else max(0.0, self.preempted_at - virtual_now()),
            "parcels": [
                {
                    "parcel": f"{t.job_id}/{t.index}",
                    "try": t.attempt,
                    "standing": t.state,
                    "cause": t.cause,
                    "stored": t.is_checkpointed,
                }
                for t in self.tasks.values()
            ],
        }

    async def send_heartbeat(self) -> None:
        sent_at, incarnation, body = virtual_now(), self.incarnation, self.heartbeat_body()
        response = await self.cluster.deliver_heartbeat(self, self.controller_index, body)
        while self.is_hung:
            await asyncio.sleep(0.05)
        if self.is_dead or incarnation != self.incarnation:
            return
        if response is None or response.status != 200:
            target = orjson.loads(response.body).get("answers_to") if response and response.status == 421 else None
            if target is not None and int(target[1:]) != self.controller_index:
                self.controller_index = int(target[1:])
            else:
                self.controller_index = (self.controller_index + 1) % self.cluster.controller_count
                await asyncio.sleep(0.5)
            self.heartbeat_due.set()
            return
        content = orjson.loads(response.body)
        if virtual_now() - sent_at > 4.0 or content.get("warrant", 0) < self.fencing_token:
            return
        if content["warrant"] > self.fencing_token:
            self.fencing_token = content["warrant"]
            self.heartbeat_due.set()
        self.lease_renewed_at = max(self.lease_renewed_at, sent_at)
        self.execute_commands(content["orders"])

    def execute_commands(self, commands: list[dict[str, Any]]) -> None:
        for command in commands:
            job_id, _, index = command["parcel"].rpartition("/")
            key = (job_id, int(index))
            task = self.tasks.get(key)
            is_same_attempt = task is not None and task.attempt == command["try"]
            if command["verb"] == "run" and not is_same_attempt:
                self.cluster.on_run_command(self, key)
                self.start_task(key, command["try"])
            elif command["verb"] == "clear" and is_same_attempt and task is not None and task.state == "exited":
                self.cluster.on_clear_command(task)
                del self.tasks[key]
            elif command["verb"] == "halt" and is_same_attempt and task is not None and task.state != "exited":
                self.stop_task(task, command["wind_down_s"])

    def start_task(self, key: tuple[str, int], attempt: int) -> None:
        job = self.cluster.jobs.get(key[0])
        task = SimulatedTask(key[0], key[1], attempt)
        existing_task = self.tasks.get(key)
        if existing_task is not None and existing_task.state != "exited":
            return  # still active: this model has one attempt per task, so a refusal would overwrite the old one
        self.tasks[key] = task
        if job is None:
            return self.exit_task(task, "unknown")
        capacity = MACHINE_TYPES[self.machine.machine_type]
        for resource in ("cores", "accelerators", "memory_gb"):
            used = sum(
                self.cluster.jobs[t.job_id][resource]
                for t in self.tasks.values()
                if t.state != "exited" and t is not task
            )
            if used + job[resource] > capacity[resource] + 1e-6:
                return self.exit_task(task, "no_room")
        task.ends_at = virtual_now() + (0.0 if job["kit"] in self.cached_images else job["size_gb"] / 2.0)
        return None

    def stop_task(self, task: SimulatedTask, grace_s: float) -> None:
        job = self.cluster.jobs[task.job_id]
        self.cluster.on_stop_command(self, task, grace_s)
        if task.state == "running" and job["mark_every_s"] > 0 and grace_s >= job["mark_s"]:
            task.state, task.stopped_at, task.ends_at = "saving", virtual_now(), virtual_now() + job["mark_s"]
        elif task.state == "saving" and grace_s > 0:
            pass
        else:
            self.exit_task(task, "halted", is_checkpointed=False)

    def handle_direct_command(self, body: dict[str, Any]) -> Reply:
        if body["warrant"] < self.fencing_token or body["tenure"] != self.incarnation:
            return json_reply(409, self.heartbeat_body())
        if body["warrant"] > self.fencing_token:
            self.fencing_token = body["warrant"]
        self.execute_commands(body["orders"])
        return json_reply(200, self.heartbeat_body())


class SimulatedController:
    """A controller process: the complete service except its sockets."""

    def __init__(self, cluster: "SimulatedCluster", index: int) -> None:
        self.cluster, self.index = cluster, index
        self.name = f"n{index}"
        self.version = cluster.versions[index]  # run by the next process that starts
        self.running_version = self.version
        self.zone = ZONES[index % 2]
        self.service: ControllerProcess | None = None
        self.main_task: asyncio.Task[None] | None = None
        self.delay_s = self.clock_skew_s = 0.0
        # Network faults by target ("state", "cloud", "peers", "workers"): how traffic with it fails.
        self.network_faults: dict[str, str] = {}
        self.pause_gate = virtual_time.PauseGate()
        # A dict keeps insertion order; a set would cancel the tasks by address, in another order on each run.
        self.handler_tasks: dict[asyncio.Task[Any], None] = {}

    def start(self) -> None:
        self.pause_gate = virtual_time.PauseGate()
        cluster = self.cluster
        controller_settings = make_settings(
            self.index,
            cluster.write_rps,
            cluster.controller_count,
            cluster.txn_ops,
            cluster.value_kb,
            cluster.params_override,
        )
        self.clock_skew_s = (
            cluster.rng.uniform(-cluster.max_clock_skew_s, cluster.max_clock_skew_s)
            if cluster.max_clock_skew_s
            else 0.0
        )
        self.running_version = self.version
        self.service = self.running_version.make_service(
            controller_settings, self.cluster.operator_config, self.connect
        )
        recorded = self.cluster.history.record_operations(self.service.serve_public, self.name)
        self.service.serve_public = recorded  # type: ignore[method-assign]
        self.main_task = self.spawn(self.running_version.attribute(self.service, "run_background_tasks")())
        self.main_task.add_done_callback(self.record_failure)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
        """Starts a task of this controller's process; it and the tasks it starts stop while the process is paused."""
        context = self.pause_gate.context()
        context.run(_CLOCK_SKEW.set, self.clock_skew_s)
        return asyncio.get_running_loop().create_task(work, context=context)

    async def serve(self, handler: Callable[[ControllerProcess], Coroutine[Any, Any, Response]]) -> Response | None:
        """The response to a request; the handler goes on when the caller has timed out. None if the process is down."""
        service = self.service
        if service is None:
            return None
        task = self.spawn(handler(service))
        self.handler_tasks[task] = None
        task.add_done_callback(lambda done: self.handler_tasks.pop(done, None))
        self.cluster.track_task(task)
        await asyncio.wait({task})
        return None if task.cancelled() else task.result()

    async def serve_public(self, method: str, path: str, raw: bytes) -> Response | None:
        """Serves a user's or a worker's request."""
        return await self.serve(
            lambda service: service.serve_public(self.running_version.make_request(method, path, raw))
        )

    async def serve_peer(self, method: str, path: str, raw: bytes) -> Response | None:
        """Serves another controller's or an operator's request."""
        return await self.serve(
            lambda service: service.serve_peer(self.running_version.make_request(method, path, raw))
        )

    def record_failure(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.cluster.errors.append(task.exception())

    def crash(self) -> None:
        if self.running_version.attribute(self.service, "leader_election.failed_terms"):
            self.cluster.errors.append(AssertionError("a term ended in a fault of the service, see its log"))
        drain_failure = self.running_version.attribute(self.service, "leader_term.drain_controller.failure")
        if drain_failure:
            self.cluster.errors.append(AssertionError(f"drains ended in a fault: {drain_failure}"))
        if self.main_task is not None:
            self.main_task.cancel()
        for handler in list(self.handler_tasks):
            handler.cancel()
        self.pause_gate.resume()
        self.service = None

    def connect(self, address: str, pool: int) -> Callable[..., Awaitable[Reply]]:
        async def send(method: str, path: str, body: object = None, *, timeout: timedelta) -> Reply:
            # Copied through JSON, as on the wire, so that the two sides share no objects.
            copy = orjson.loads(orjson.dumps(body))
            return await self.cluster.send_request(self, address, method, path, copy, timeout)

        return send


class SimulatedCluster:
    def __init__(
        self,
        seed: int,
        operator_config: OperatorConfig | None = None,
        without_random_faults: bool = False,
        faults: list[str] | None = None,
        write_rps: float = 100.0,
        scale: int = 1,
        controller_count: int = 3,
        txn_ops: int = 24,
        value_kb: float = 8.0,
        restart_delay_range_s: tuple[float, float] = (1.0, 4.0),
        max_clock_skew_s: float = 0.0,
        params_override: dict[str, Any] | None = None,
        versions: list[Version] | None = None,
    ) -> None:
        self.versions = versions or [PRESENT] * controller_count  # of each controller when the day begins
        self.params_override = params_override  # cluster parameters that replace those of `make_settings`
        self.team_gpu_limit: float | None = TEAM_GPU_LIMIT
        self.controller_count = controller_count
        self.txn_ops, self.value_kb = txn_ops, value_kb
        self.restart_delay_range_s = restart_delay_range_s  # delay before a crashed process restarts
        self.max_clock_skew_s = max_clock_skew_s  # largest wall clock offset; drawn when a process starts
        self.scale = scale  # factor for the cloud's capacity and the tasks of array jobs
        self.write_rps = write_rps
        self.scheduled_actions: list[Callable[[SimulatedCluster], Coroutine[Any, Any, None]]] = []
        self.seed = seed
        self.rng = random.Random(seed)
        self.operator_config = operator_config or OperatorConfig()
        # Draws no faults, and loses and delays no messages at random; tests may still inject faults.
        self.without_random_faults = without_random_faults
        self.faults = faults or BASIC_FAULTS
        self.jobs: dict[str, dict[str, Any]] = {}
        self.workers: dict[str, SimulatedWorker] = {}
        self.completed_tasks: set[tuple[str, int]] = set()  # (job, task)
        self.accepted_jobs: set[str] = set()
        self.cancelled_at: dict[str, float] = {}
        self.cancel_requested: set[str] = set()
        self.observed_ends: dict[str, str] = {}
        self.history = OperationHistory()  # every user request that reached a controller, with its answer
        self.externally_changed_jobs: set[str] = set()  # jobs that other interfaces than user requests submit or cancel
        self.errors: list[Any] = []
        self.rule_violations: list[RuleViolation] = []
        self.start_count = 0
        self.started_attempts: set[tuple[str, int, int]] = set()  # (job, task, attempt) of every start
        self.leader_by_term: dict[int, ControllerProcess] = {}  # the process that led each term
        self.partitioned_zones: set[str] = set()
        self.partition_healed_at: dict[str, float] = {}  # when the last partition of a zone ended
        self.heartbeat_duplication_count = 0  # active faults that duplicate heartbeats
        self.late_write_probability = 0.0  # share of transactions that get no answer and are applied 2 to 12 s later
        self.lost_answer_probability = 0.0  # share of transactions that are applied at once and get no answer
        self.max_store_delay_s = 0.0  # largest delay of the key-value store's answers
        self.late_command_probability = 0.0  # share of commands and queries that reach workers 2 to 16 s late
        self.recorded_heartbeats: list[bytes] | None = None  # copies, while a fault records them for a replay
        worker_settings = make_settings(0, params_override=params_override).params.workers
        self.lease_duration_s, self.cancel_deadline_s = (
            worker_settings.lease_duration.total_seconds(),
            worker_settings.cancel_timeout.total_seconds(),
        )
        self.faults_end_at = 1e9  # all faults are over; none begins in the 15 s before
        self.is_over = False  # set by a test to end the day early
        self.tasks: dict[asyncio.Task[Any], None] = {}

    def spawn(self, work: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
        """Starts a task outside any controller's process, so that pausing a controller does not stop it."""
        task = asyncio.get_running_loop().create_task(work, context=Context())
        self.track_task(task)
        return task

    def track_task(self, task: "asyncio.Task[Any]") -> None:
        self.tasks[task] = None
        task.add_done_callback(self._task_ended)

    def _task_ended(self, task: asyncio.Task[Any]) -> None:
        self.tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None and not isinstance(task.exception(), Unreachable):
            self.errors.append(task.exception())

    def check_rule(self, holds: bool, description: str) -> None:
        if not holds:
            error = RuleViolation(f"seed {self.seed} at {virtual_now():.2f} s: {description}")
            self.rule_violations.append(error)

    # -- messages -----------------------------------------------------------------------------

    async def send_request(
        self, controller: SimulatedController, address: str, method: str, path: str, body: Any, timeout: timedelta
    ) -> Reply:
        """Sends a controller's request; it is delivered even if the controller times out or is paused meanwhile."""
        sending = self.spawn(self._send_request(controller, address, method, path, body, timeout))
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await asyncio.shield(sending)
        except TimeoutError:
            worker = self.workers.get(address.removesuffix(":9000"))
            raise Unreachable("no answer", connected=worker is not None and worker.is_hung) from None

    async def _send_request(
        self, controller: SimulatedController, address: str, method: str, path: str, body: Any, timeout: timedelta
    ) -> Reply:
        raw = b"" if body is None else orjson.dumps(body)

        async def deliver() -> Reply:
            if address == "10.2.0.1:1":
                return await self.kv_store.handle(controller.name, method, path, body)
            if address == "10.2.0.2:1":
                return await self.cloud.handle(controller.name, method, path, body)
            if address.endswith(":9000"):
                worker = self.workers.get(address.removesuffix(":9000"))
                if worker is None or worker.is_dead:
                    raise Unreachable("no such worker")
                while worker.is_hung:
                    await asyncio.sleep(0.1)
                if worker.one_way_partition == "deaf":
                    await asyncio.sleep(timeout.total_seconds())
                    raise Unreachable("one-way partition: the worker receives nothing")
                if worker.is_dead:
                    raise Unreachable("gone")
                if method == "GET":
                    return json_reply(200, worker.heartbeat_body())
                return worker.handle_direct_command(body)
            for peer in self.controllers:
                if address == f"10.0.0.{peer.index + 1}:8081":
                    if "peers" in peer.network_faults:
                        await asyncio.sleep(timeout.total_seconds())
                    response = await peer.serve_peer(method, path, raw)
                    if response is not None:
                        return Reply(response.status, response.body)
            raise Unreachable("refused")

        fault_draw = self.rng.random()
        await asyncio.sleep(self.rng.uniform(0.002, 0.02) + controller.delay_s)
        network_fault = controller.network_faults.get(network_target_of(address))
        if network_fault == "refused" or (network_fault == "flaky" and self.rng.random() < 0.5):
            raise Unreachable("refused")
        if network_fault == "silent" or network_fault == "answers":
            if network_fault == "answers":
                await deliver()
            await asyncio.sleep(timeout.total_seconds())
            raise Unreachable("no answer arrives")
        target = network_target_of(address)
        if path == "/txn" and self.is_answer_lost(controller, body):
            await deliver()
            await asyncio.sleep(timeout.total_seconds())
            raise Unreachable("transaction applied, answer lost")
        if self.max_store_delay_s and target == "state":
            answer = await deliver()
            await asyncio.sleep(self.rng.uniform(0, self.max_store_delay_s))
            return answer
        late_probability = (
            self.late_write_probability
            if path == "/txn"
            else self.late_command_probability
            if target == "workers"
            else 0.0
        )
        if late_probability and self.rng.random() < late_probability:
            self.spawn(self.deliver_late(deliver, 12.0 if path == "/txn" else 16.0))
            await asyncio.sleep(timeout.total_seconds())
            raise Unreachable("delayed; delivered later")
        if not self.without_random_faults and not path.startswith("/watch"):
            if fault_draw < 0.01:
                await asyncio.sleep(timeout.total_seconds())
                raise Unreachable("request lost")
            if fault_draw < 0.02:
                await deliver()
                await asyncio.sleep(timeout.total_seconds())
                raise Unreachable("answer lost")
            if fault_draw < 0.03:
                self.spawn(self.deliver_late(deliver))
                await asyncio.sleep(timeout.total_seconds())
                raise Unreachable("delayed; may be delivered later")
        return await deliver()

    def is_answer_lost(self, controller: SimulatedController, body: Any) -> bool:
        """Whether a transaction is applied at once and its answer is lost."""
        return self.lost_answer_probability > 0 and self.rng.random() < self.lost_answer_probability

    async def deliver_late(self, deliver: Callable[[], Awaitable[Reply]], max_delay_s: float = 30.0) -> None:
        await asyncio.sleep(self.rng.uniform(2.0, max_delay_s))
        try:
            await deliver()
        except Unreachable:
            pass

    async def deliver_heartbeat(
        self, worker: SimulatedWorker, controller_index: int, body: dict[str, Any]
    ) -> Response | None:
        controller = self.controllers[controller_index]
        raw = orjson.dumps(body)
        if self.recorded_heartbeats is not None:
            self.recorded_heartbeats.append(raw)
        if self.heartbeat_duplication_count:
            for _ in range(self.rng.choice([0, 1, 1, 2])):
                self.spawn(self.deliver_heartbeat_copy(raw))
        if worker.one_way_partition == "mute":
            await asyncio.sleep(4.0)
            return None
        if worker.one_way_partition == "deaf":
            self.spawn(self.check_unreachable_worker(worker, controller, raw))
            await asyncio.sleep(4.0)
            return None
        if worker.machine.zone in self.partitioned_zones and controller.zone not in self.partitioned_zones:
            if self.rng.random() < 0.3:
                self.spawn(self.deliver_heartbeat_late(controller, raw))
            await asyncio.sleep(4.0)
            return None
        await asyncio.sleep(self.rng.uniform(0.001, 0.01) + controller.delay_s)
        network_fault = controller.network_faults.get("workers")
        if network_fault == "refused" or (network_fault == "flaky" and self.rng.random() < 0.5):
            return None
        if network_fault in ("silent", "answers"):
            if network_fault == "answers":
                self.spawn(controller.serve_public("POST", "/hello", raw))
            await asyncio.sleep(4.0)
            return None
        try:
            async with asyncio.timeout(4.0):
                return await controller.serve_public("POST", "/hello", raw)
        except TimeoutError:
            return None

    async def deliver_heartbeat_copy(self, raw: bytes) -> None:
        """Delivers a copy of a heartbeat to any controller, up to well over a lease duration late."""
        await asyncio.sleep(self.rng.choice([0.01, 1.0, 5.0, 20.0]) * self.rng.uniform(0.5, 1.5))
        await self.rng.choice(self.controllers).serve_public("POST", "/hello", raw)

    async def check_unreachable_worker(
        self, worker: SimulatedWorker, controller: SimulatedController, raw: bytes
    ) -> None:
        response = await controller.serve_public("POST", "/hello", raw)
        if response is not None and response.status == 200 and worker.one_way_partition == "deaf":
            started_tasks = [
                command["parcel"] for command in orjson.loads(response.body)["orders"] if command["verb"] == "run"
            ]
            # The leader can't detect the one-way partition while the zone is partitioned or the machine hangs. After
            # that the machine has another incarnation, and only what follows tells it from a healthy machine.
            detectable_since = max(
                worker.partitioned_since, worker.resumed_at, self.partition_healed_at.get(worker.machine.zone, 0.0)
            )
            is_detectable = (
                virtual_now() - detectable_since > UNREACHABLE_AFTER_S
                and worker.machine.zone not in self.partitioned_zones
            )
            self.check_rule(
                not (started_tasks and is_detectable),
                f"sent_in_vain: {started_tasks} to {worker.machine.name}, which receives nothing",
            )

    async def deliver_heartbeat_late(self, controller: SimulatedController, raw: bytes) -> None:
        await asyncio.sleep(self.rng.uniform(1.0, 20.0))
        await controller.serve_public("POST", "/hello", raw)

    # -- rules --------------------------------------------------------------------------------

    def active_tasks(self) -> Iterator[tuple[SimulatedWorker, SimulatedTask]]:
        for worker in self.workers.values():
            for task in worker.tasks.values():
                if task.is_active:
                    yield worker, task

    def on_stop_command(self, worker: SimulatedWorker, task: SimulatedTask, grace_s: float) -> None:
        """Called when a stop command for a task arrives; for subclasses that record it."""

    def on_run_command(self, worker: SimulatedWorker, key: tuple[str, int]) -> None:
        """Called when a run command arrives for a task that the worker does not have."""

    def on_clear_command(self, task: SimulatedTask) -> None:
        """Called when a worker removes a task that has ended."""

    def gang_members(self, task: SimulatedTask) -> list[tuple[SimulatedWorker, SimulatedTask]]:
        return [(w, t) for w, t in self.active_tasks() if t.job_id == task.job_id and t.attempt == task.attempt]

    def is_gang_done(self, task: SimulatedTask) -> bool:
        return (task.job_id, 0) in self.completed_tasks

    def draw_run_time_s(self, job: dict[str, Any]) -> float:
        return float(job["guess_s"] * self.rng.uniform(0.5, 1.5))

    def check_start(self, worker: SimulatedWorker, task: SimulatedTask) -> None:
        job, machine = self.jobs[task.job_id], worker.machine
        self.start_count += 1
        name = f"{task.job_id}/{task.index} on {machine.name}"
        other_tasks = [(w, t) for w, t in self.active_tasks() if t is not task]
        self.check_rule(
            not any((t.job_id, t.index) == (task.job_id, task.index) for _, t in other_tasks), f"ran_twice: {name}"
        )
        if job["shape"] != "gang":
            # A replaced member of a gang starts with the attempt of the other members.
            attempt_key = (task.job_id, task.index, task.attempt)
            self.check_rule(attempt_key not in self.started_attempts, f"used_twice: attempt {task.attempt} of {name}")
            self.started_attempts.add(attempt_key)
        gpus_in_use = sum(
            self.jobs[t.job_id]["accelerators"] for _, t in other_tasks if self.jobs[t.job_id]["crew"] == job["crew"]
        )
        if self.team_gpu_limit is not None:
            self.check_rule(gpus_in_use + job["accelerators"] <= self.team_gpu_limit + 1e-6, f"quota: {name}")
        self.check_rule(job["builds"] is None or machine.machine_type in job["builds"], f"wrong_place: type of {name}")
        self.check_rule(job["yard"] in (None, machine.zone), f"wrong_place: zone of {name}")
        self.check_rule(job["loaners"] or not machine.is_spot, f"wrong_place: spot machine for {name}")
        zones_of_job = [w.machine.zone for w, t in other_tasks if t.job_id == task.job_id]
        if job["together"]:
            self.check_rule(all(z == machine.zone for z in zones_of_job), f"wrong_place: together {name}")
        if job["scatter"]:
            max_in_zone = (job["parcels"] + 1) // 2
            self.check_rule(zones_of_job.count(machine.zone) + 1 <= max_in_zone, f"wrong_place: scatter {name}")
        cancelled_at = self.cancelled_at.get(task.job_id)
        self.check_rule(
            cancelled_at is None or virtual_now() <= cancelled_at + self.cancel_deadline_s,
            f"ran_cancelled: {name} started",
        )

    async def check_continuously(self) -> None:
        while True:
            await asyncio.sleep(0.25)
            for _, task in self.active_tasks():
                cancelled_at = self.cancelled_at.get(task.job_id)
                self.check_rule(
                    cancelled_at is None or virtual_now() <= cancelled_at + self.cancel_deadline_s,
                    f"ran_cancelled: {task.job_id}/{task.index} is active",
                )
            for controller in self.controllers:
                term = controller.running_version.attribute(controller.service, "leader_election.leader_lease.term")
                if controller.service is not None and term is not None:
                    leader = self.leader_by_term.setdefault(term, controller.service)
                    self.check_rule(leader is controller.service, f"used_twice: term {term}")

    def check_answer(self, job_id: str, status: int, answer: dict[str, Any]) -> None:
        if status == 404:
            self.check_rule(job_id not in self.accepted_jobs, f"forgotten: {job_id}")
        if status not in (200, 201):
            return
        self.check_rule(job_id in self.jobs, f"invented: {job_id}")
        job_state = answer["standing"]
        previous_end = self.observed_ends.get(job_id)
        self.check_rule(previous_end in (None, job_state), f"went_back: {job_id} from {previous_end} to {job_state}")
        if job_state == "done":
            task_count = self.jobs[job_id]["parcels"]
            completed_count = sum((job_id, i) in self.completed_tasks for i in range(task_count))
            self.check_rule(completed_count == task_count, f"not_done: {job_id}")
        if job_state == "aborted":
            self.check_rule(job_id in self.cancel_requested, f"went_back: {job_id} cancelled by nobody")
            self.cancelled_at.setdefault(job_id, virtual_now())
        if job_state in ("done", "aborted"):
            self.observed_ends[job_id] = job_state

    # -- users --------------------------------------------------------------------------------

    async def send_user_request(self, method: str, path: str, body: object = None) -> tuple[int, dict[str, Any]]:
        running_controllers = [n for n in self.controllers if n.service is not None]
        if not running_controllers:
            await asyncio.sleep(0.1)
            return 0, {}
        controller = self.rng.choice(running_controllers)
        await asyncio.sleep(self.rng.uniform(0.001, 0.02))
        loses_answer = not self.without_random_faults and self.rng.random() < 0.03
        raw = orjson.dumps(body) if body else b""
        try:
            async with asyncio.timeout(5.0):
                response = await controller.serve_public(method, path, raw)
        except TimeoutError:
            return 0, {}
        if loses_answer or response is None:
            return 0, {}
        return response.status, orjson.loads(response.body)

    def make_job(self) -> dict[str, Any]:
        rng = self.rng
        shape = rng.choice(["sweep", "sweep", "sweep", "gang", "daemon"])
        needs_gpu = rng.random() < 0.5
        task_count = rng.randint(1, 12) * self.scale if shape == "sweep" else rng.randint(1, 3)
        saves_checkpoints = rng.random() < 0.5
        job_id = f"j-{rng.randrange(10**6):06d}"
        while job_id in self.jobs:
            job_id = f"j-{rng.randrange(10**6):06d}"
        return {
            "name_id": job_id,
            "docket": rng.choice(["x", "y"]),
            "crew": rng.choice(["t0", "t1"]),
            "shape": shape,
            "rank": rng.choice(["critical", "urgent", "normal", "low"]),
            "parcels": task_count,
            "cores": rng.choice([1.0, 2.0, 4.0]),
            "accelerators": float(rng.randint(1, 2)) if needs_gpu else 0.0,
            "memory_gb": 4.0,
            "kit": f"img-{rng.randrange(4)}",
            "size_gb": rng.uniform(0.5, 4.0),
            "builds": ["gpu"] if needs_gpu and rng.random() < 0.5 else None,
            "yard": rng.choice([None, None, "a", "b"]),
            "together": rng.random() < 0.3,
            "scatter": False,
            "loaners": rng.random() < 0.7,
            "guess_s": rng.uniform(1.0, 8.0) if shape != "daemon" else 0.0,
            "mark_every_s": 2.0 if saves_checkpoints else 0.0,
            "mark_s": 1.0 if saves_checkpoints else 0.0,
            "due_s": rng.choice([None, 60.0]),
            "mistaken": rng.random() < 0.05,
        }

    async def run_user(self) -> None:
        job = self.make_job()
        if job["yard"] is None and not job["together"] and self.rng.random() < 0.3:
            job["scatter"] = True
        job_id = job["name_id"]
        self.jobs[job_id] = job
        wire = {k: v for k, v in job.items() if k != "mistaken"}
        end = virtual_now() + 60
        while virtual_now() < end:
            status, answer = await self.send_user_request("POST", "/submissions", wire)
            self.check_answer(job_id, status, answer)
            if status in (200, 201):
                self.accepted_jobs.add(job_id)
                break
            if status in (400, 422):
                self.check_rule(job_id not in self.accepted_jobs, f"forgotten: {job_id} refused {status}")
                return
            await asyncio.sleep(1.0)
        else:
            return
        cancels = job["shape"] == "daemon" or job["mistaken"] or self.rng.random() < 0.3
        cancel_at = virtual_now() + self.rng.uniform(0, 30) if cancels else 1e9
        while job_id not in self.observed_ends:
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
            if virtual_now() >= cancel_at:
                self.cancel_requested.add(job_id)
                status, answer = await self.send_user_request("POST", f"/submissions/{job_id}/cancel")
            elif self.rng.random() < 0.1:
                status, answer = await self.send_user_request("POST", "/submissions", wire)
                self.check_rule(status not in (400, 422), f"forgotten: {job_id} refused {status}")
            else:
                status, answer = await self.send_user_request("GET", f"/submissions/{job_id}")
            self.check_answer(job_id, status, answer)
        for _ in range(3):
            await asyncio.sleep(self.rng.uniform(1, 10))
            self.check_answer(job_id, *await self.send_user_request("GET", f"/submissions/{job_id}"))

    async def query_unknown_jobs(self) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(1, 5))
            job_id = f"j-9{self.rng.randrange(10**9)}"
            self.check_answer(job_id, *await self.send_user_request("GET", f"/submissions/{job_id}"))

    # -- faults -------------------------------------------------------------------------------

    async def inject_faults(self) -> None:
        rng = self.rng
        while True:
            await asyncio.sleep(rng.expovariate(1 / 6))
            if virtual_now() < self.faults_end_at - 15:
                self.spawn(self.inject_fault(rng.choice(self.faults)))

    def current_leader(self) -> SimulatedController:
        return next(
            (n for n in self.controllers if n.running_version.attribute(n.service, "leader_term")),
            self.rng.choice(self.controllers),
        )

    async def inject_fault(self, fault: str) -> None:
        rng = self.rng
        worker = rng.choice(list(self.workers.values())) if self.workers else None
        if fault in USER_FAULTS:
            await USER_FAULTS[fault](self, rng.uniform(5.0, 25.0))
        elif fault == "crash":
            await self.restart_controller(self.current_leader() if rng.random() < 0.6 else rng.choice(self.controllers))
        elif fault == "roll":
            for controller in self.controllers:
                await self.restart_controller(controller)
        elif fault == "all":
            await asyncio.gather(*(self.restart_controller(controller) for controller in self.controllers))
        elif fault == "outage":
            if not self.kv_store.is_down:
                self.kv_store.is_down = True
                await asyncio.sleep(rng.choice([2.0, 5.0, 12.0]))
                self.kv_store.end_outage()
        elif fault == "alone":
            controller = self.current_leader() if rng.random() < 0.8 else rng.choice(self.controllers)
            self.kv_store.refused_controllers.add(controller.name)
            await asyncio.sleep(rng.uniform(1, 20))
            self.kv_store.refused_controllers.discard(controller.name)
        elif fault == "deaf":
            # The leader alone loses the key-value store for 30 s, while its workers still reach it.
            controller = self.current_leader()
            if not self.kv_store.refused_controllers:
                self.kv_store.refused_controllers.add(controller.name)
                await asyncio.sleep(30)
                self.kv_store.refused_controllers.discard(controller.name)
        elif fault == "paused":
            # The process is suspended: its sockets stay open, and it continues where it stopped.
            controller = self.current_leader() if rng.random() < 0.7 else rng.choice(self.controllers)
            gate = controller.pause_gate
            gate.pause()
            await asyncio.sleep(rng.choice([1.0, 4.0, 12.0, 40.0]) * rng.uniform(0.7, 1.5))
            gate.resume()
        elif fault == "partly":
            # One or two controllers lose part of the network, each target with one drawn network fault.
            for controller in rng.sample(self.controllers, rng.choice([1, 1, 2])):
                targets = rng.sample(["state", "workers", "peers", "cloud"], rng.choice([1, 1, 2, 3]))
                self.spawn(self.lose_network(controller, targets, rng.uniform(3, 25)))
        elif fault == "boots":
            # For a while machines boot late, fail to boot more often, or boot at once.
            self.cloud.boot_factor, self.cloud.boot_failure_probability = rng.choice(
                [(4.0, 0.1), (1.0, 0.6), (0.05, 0.0)]
            )
            await asyncio.sleep(rng.uniform(10, 40))
            self.cloud.boot_factor, self.cloud.boot_failure_probability = 1.0, 0.05
        elif fault == "lag":
            self.cloud.listing_lag_s = rng.uniform(4.0, 20.0)
            await asyncio.sleep(rng.uniform(10, 40))
            self.cloud.listing_lag_s = 2.0
        elif fault == "cut":
            zone = rng.choice(ZONES)
            self.partitioned_zones.add(zone)
            await asyncio.sleep(rng.uniform(1, 15))
            self.partitioned_zones.discard(zone)
            self.partition_healed_at[zone] = virtual_now()
        elif fault == "copies":
            self.heartbeat_duplication_count += 1
            await asyncio.sleep(rng.uniform(5, 30))
            self.heartbeat_duplication_count -= 1
        elif fault == "lone":
            # One or two controllers lose the key-value store and the other controllers, but not their workers.
            for controller in rng.sample(self.controllers, rng.choice([1, 1, 1, 2])):
                self.spawn(self.lose_network(controller, ["state", "peers"], rng.uniform(5, 40)))
        elif fault == "late writes":
            self.late_write_probability = rng.uniform(0.1, 0.6)
            await asyncio.sleep(rng.uniform(5, 25))
            self.late_write_probability = 0.0
        elif fault == "held commands":
            self.late_command_probability = rng.uniform(0.3, 1.0)
            await asyncio.sleep(rng.uniform(5, 25))
            self.late_command_probability = 0.0
        elif fault == "slow state":
            self.max_store_delay_s = rng.choice([0.3, 1.0, 2.9])
            await asyncio.sleep(rng.uniform(3, 20))
            self.max_store_delay_s = 0.0
        elif fault == "gap":
            await self.isolate_leader_then_fail_store(
                self.current_leader(), rng.uniform(0.2, 3.5), self.cancel_deadline_s * rng.uniform(0.8, 1.3)
            )
        elif fault == "returns":
            # All controllers crash; one restarts within a second, the others after it, and the first crashes again.
            first, *others = rng.sample(self.controllers, len(self.controllers))
            for controller in self.controllers:
                controller.crash()
            await asyncio.sleep(rng.uniform(0.05, 0.9))
            if first.service is None:
                first.start()
            await asyncio.sleep(rng.uniform(0.1, 6.0))
            for controller in others:
                if controller.service is None:
                    controller.start()
            await self.restart_controller(first)
        elif fault == "slow":
            controller = rng.choice(self.controllers)
            controller.delay_s = rng.uniform(0.05, 0.8)
            await asyncio.sleep(rng.uniform(1, 10))
            controller.delay_s = 0.0
        elif worker is None:
            return
        elif fault in ("deaf machine", "mute machine"):
            worker.set_one_way_partition(fault.partition(" ")[0])
            await asyncio.sleep(rng.uniform(2, 40))
            worker.set_one_way_partition("")
        elif fault == "reborn":
            if not worker.is_dead and not worker.is_hung:
                worker.restart_in_place()
        elif fault == "hang":
            worker.is_hung = True
            await asyncio.sleep(rng.uniform(1, 15))
            worker.is_hung = False
            worker.resumed_at = virtual_now()
        elif fault == "die":
            worker.die()
            await asyncio.sleep(5)
            worker.machine.has_failed = True
        elif fault == "recall" and worker.machine.is_spot:
            if rng.random() < 0.8:
                worker.preempted_at = virtual_now() + 4.0
                worker.heartbeat_due.set()
                await asyncio.sleep(rng.uniform(2, 6))
            self.cloud.remove_machine(worker.machine)
        elif fault == "sick":
            worker.is_unhealthy = True
            await asyncio.sleep(rng.uniform(5, 20))
            worker.is_unhealthy = False

    async def isolate_leader_then_fail_store(
        self, controller: SimulatedController, isolated_s: float, outage_s: float
    ) -> None:
        """The key-value store refuses this controller alone, and then fails for all."""
        if self.kv_store.is_down or self.kv_store.refused_controllers:
            return
        self.kv_store.refused_controllers.add(controller.name)
        await asyncio.sleep(isolated_s)
        self.kv_store.is_down = True
        await asyncio.sleep(outage_s)
        self.kv_store.end_outage()
        self.kv_store.refused_controllers.discard(controller.name)

    async def lose_network(self, controller: SimulatedController, targets: list[str], duration_s: float) -> None:
        for target in targets:
            controller.network_faults[target] = self.rng.choice(["refused", "silent", "answers", "flaky"])
        await asyncio.sleep(duration_s)
        for target in targets:
            controller.network_faults.pop(target, None)

    async def restart_controller(self, controller: SimulatedController) -> None:
        if controller.service is None:
            return
        controller.crash()
        await asyncio.sleep(self.rng.uniform(*self.restart_delay_range_s))
        if controller.service is None:
            controller.start()

    # -- a day --------------------------------------------------------------------------------

    async def run_day(self, length_s: float, job_count: int) -> None:
        self.kv_store = SimulatedKeyValueStore(self)
        self.cloud = SimulatedCloud(self)
        self.controllers = [SimulatedController(self, i) for i in range(self.controller_count)]
        with virtual_wall_clock():
            for controller in self.controllers:
                controller.start()
            for zone in ZONES * self.scale:
                self.cloud.rent_machine("cpu", zone, False)
            self.spawn(self.check_continuously())
            self.spawn(self.query_unknown_jobs())
            if not self.without_random_faults:
                self.spawn(self.inject_faults())
            for action in self.scheduled_actions:
                self.spawn(action(self))
            for _ in range(job_count):
                self.spawn(self.run_user())
                await asyncio.sleep(self.rng.expovariate(job_count / (length_s * 0.7)))
                if self.rule_violations:
                    break
            end = length_s
            while virtual_now() < end and not (self.rule_violations or self.errors or self.is_over):
                await asyncio.sleep(0.5)
            for controller in self.controllers:
                controller.crash()
            for task in list(self.tasks):
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            await asyncio.sleep(0)
            for violation in violations(self.history.operations, self.externally_changed_jobs):
                self.check_rule(False, str(violation))

    def schedule_action(self, action: Callable[["SimulatedCluster"], Coroutine[Any, Any, None]]) -> None:
        """Adds a coroutine of a test that is started when the day begins."""
        self.scheduled_actions.append(action)

    def run(self, length_s: float = 90.0, job_count: int = 25) -> "SimulatedCluster":
        virtual_time.run_in_virtual_time(self.run_day(length_s, job_count))
        return self


@contextmanager
def virtual_wall_clock() -> Iterator[None]:
    loop = asyncio.get_running_loop()

    def virtual_utc_now() -> datetime:
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=loop.time() + _CLOCK_SKEW.get())

    with ExitStack() as patches:
        for version in LOADED:
            patches.enter_context(patch.object(*version.locate("clock", "utc_now"), virtual_utc_now))
        yield


def raise_first_failure(cluster: SimulatedCluster) -> None:
    """Raises the first error of a run, or else the first broken rule."""
    if cluster.errors:
        raise cluster.errors[0]
    if cluster.rule_violations:
        raise cluster.rule_violations[0]
