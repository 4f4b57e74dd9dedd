# ruff: noqa: PLR0911
"""Stand-ins of the state service and the cloud, as the protocol page describes them."""

import asyncio
import json
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from wire import Answer, Server

Hook = Callable[[str, str, str, Any], Awaitable[Answer | None]]
KEPT_CHANGES = 10_000
PAGE_ITEMS = 1000


class Bucket:
    """A token bucket that holds one burst of tokens and refuses beyond them."""

    def __init__(self, rate: float, burst_s: float = 1.0) -> None:
        self.rate, self.most, self.tokens, self.at = rate, rate * burst_s, rate * burst_s, time.monotonic()

    def take(self, count: int = 1) -> bool:
        """Take tokens, or return False."""
        now = time.monotonic()
        self.tokens, self.at = min(self.most, self.tokens + (now - self.at) * self.rate), now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


class StateService:
    """The key-value store: one copy of the data, and one port for each node, so that a node can be told apart."""

    def __init__(self, limits: dict[str, Any]) -> None:
        self.limits = limits
        self.requests, self.writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.holds: dict[int, list[float]] = {}
        self.ledger, self.next_hold = 1, 1
        self.changes: list[tuple[str, Any, int]] = []
        self.changed = asyncio.Event()
        self.is_down = False
        self.refused_nodes: set[str] = set()
        self.refusals_429 = 0
        # Called for each request before it is served: may wait; an answer of its own replaces the service's.
        self.before: Hook | None = None
        # Called with each answer before it is sent: may wait; None: the answer is lost.
        self.after: Callable[[str, str, str, Any, Answer], Awaitable[Answer | None]] | None = None
        self.servers: dict[str, Server] = {}

    async def listen(self, node: str) -> int:
        """Open the port for a node, and return it."""

        async def handle(method: str, target: str, body: Any) -> Answer | None:
            return await self._handle(node, method, target, body)

        self.servers[node] = server = Server(handle)
        await server.start()
        return server.port

    def outage(self, is_down: bool) -> None:
        """Begin or end an outage; it ends with all leases at their full time."""
        self.is_down = is_down
        if not is_down:
            for hold in self.holds.values():
                hold[1] = time.monotonic() + hold[0]

    async def tick(self) -> None:
        """End leases when they are due, until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            if self.is_down:
                continue
            for hold in [h for h, (_, until) in self.holds.items() if time.monotonic() > until]:
                self._end_hold(hold)

    def _end_hold(self, hold: int) -> None:
        del self.holds[hold]
        attached = [key for key, (_, _, owner) in self.keys.items() if owner == hold]
        if attached:
            self.ledger += 1
        for key in attached:
            self._change(key, None, None)

    def _change(self, key: str, value: Any, hold: int | None) -> None:
        if value is None:
            if self.keys.pop(key, None) is None:
                return
        else:
            self.keys[key] = (value, self.ledger, hold)
        self.changes.append((key, value, self.ledger))
        if len(self.changes) > 2 * KEPT_CHANGES:
            del self.changes[:-KEPT_CHANGES]
        self.changed.set()
        self.changed = asyncio.Event()

    async def _handle(self, node: str, method: str, target: str, body: Any) -> Answer | None:
        if self.before is not None:
            answer = await self.before(node, method, target, body)
            if answer is not None:
                return answer
        answer = await self._serve(node, method, target, body)
        return answer if self.after is None else await self.after(node, method, target, body, answer)

    async def _serve(self, node: str, method: str, target: str, body: Any) -> Answer:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        if self.is_down or node in self.refused_nodes:
            return 503, {"error": "trouble"}
        is_renewal = parts.path.endswith("/extend")
        if not self.requests.take() and not is_renewal:
            self.refusals_429 += 1
            return 429, {"error": "rate"}
        if parts.path == "/watch":
            return await self._watch(node, query)
        if parts.path == "/txn":
            return self._commit(body)
        if parts.path.startswith("/holds"):
            return self._hold(method, parts.path, body)
        if parts.path == "/store":
            return 200, self._scan(query)
        key = unquote(parts.path.removeprefix("/store/"))
        if key not in self.keys:
            return 404, {"ledger": self.ledger}
        value, stamp, _ = self.keys[key]
        return 200, {"path": key, "v": value, "stamp": stamp}

    def _scan(self, query: dict[str, str]) -> Any:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.keys if key.startswith(prefix) and key > after)
        page = keys[: min(PAGE_ITEMS, int(query.get("limit", PAGE_ITEMS)))]
        pairs = [{"path": key, "v": self.keys[key][0], "stamp": self.keys[key][1]} for key in page]
        return {"pairs": pairs, "truncated": len(keys) > len(page), "ledger": self.ledger}

    def _hold(self, method: str, path: str, body: Any) -> Answer:
        if path == "/holds":
            hold, ttl = self.next_hold, body["ttl_ms"] / 1000
            self.next_hold += 1
            self.holds[hold] = [ttl, time.monotonic() + ttl]
            return 200, {"tenancy": hold}
        hold = int(path.split("/")[2])
        if hold not in self.holds:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end_hold(hold)
        else:
            self.holds[hold][1] = time.monotonic() + self.holds[hold][0]
        return 200, {"tenancy": hold}

    def _commit(self, body: Any) -> Answer:
        operations, guards = body["then"], body["guards"]
        if (
            len(operations) > self.limits["txn_ops"]
            or len(guards) > 4 * self.limits["txn_ops"]
            or any(len(json.dumps(op.get("v"))) > self.limits["value_kb"] * 1024 for op in operations)
        ):
            return 400, {"error": "too large"}
        if operations and not self.writes.take(len(operations)):
            self.refusals_429 += 1
            return 429, {"error": "rate"}
        if any(op.get("tenancy") is not None and op["tenancy"] not in self.holds for op in operations):
            return 400, {"error": "no such lease"}
        failed = [g["path"] for g in guards if self.keys.get(g["path"], (None, 0, None))[1] != g["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if operations:
            self.ledger += 1
        for op in operations:
            if "put" in op:
                self._change(op["put"], op["v"], op.get("tenancy"))
            else:
                self._change(op["delete"], None, None)
        return 200, {"ledger": self.ledger}

    async def _watch(self, node: str, query: dict[str, str]) -> Answer:
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + int(query.get("block_ms", "0")) / 1000
        while True:
            waiting = self.changed
            if not (self.is_down or node in self.refused_nodes):
                events = [
                    {"put": key, "v": value, "stamp": stamp} if value is not None else {"delete": key, "stamp": stamp}
                    for key, value, stamp in self.changes
                    if stamp > after and key.startswith(prefix)
                ]
                if events or time.monotonic() >= until:
                    return 200, {"ledger": self.ledger, "events": events}
            try:
                async with asyncio.timeout(max(0.01, min(0.2, until - time.monotonic()))):
                    await waiting.wait()
            except TimeoutError:
                pass


class Cloud:
    """Rents machines; a machine that is up is handed to `on_up`, one that is gone to `on_gone`."""

    def __init__(
        self,
        builds: list[dict[str, Any]],
        capacity: dict[tuple[str, str, bool], int],
        list_lag_s: float,
        on_up: Callable[[dict[str, Any]], Awaitable[str]],
        on_gone: Callable[[str], None],
    ) -> None:
        self.builds, self.capacity, self.list_lag_s = builds, capacity, list_lag_s
        self.on_up, self.on_gone = on_up, on_gone
        self.machines: dict[str, dict[str, Any]] = {}
        self.requisitions: dict[str, list[str]] = {}
        self.snapshots: list[tuple[float, list[dict[str, Any]]]] = []
        self.boot_factor = 1.0
        self.is_down = False
        self.refusals = 0
        self.on_event: Callable[[str], object] = print
        self._count = 0
        self._boots: set[asyncio.Task[None]] = set()

    def rent(self, build: str, yard: str, loaners: bool, boot_s: float, held_s: float = 0.0) -> str:
        """Add a machine that comes up after `boot_s`."""
        self._count += 1
        name = f"i-{self._count:06d}"
        self.machines[name] = {
            "name_id": name,
            "endpoint": "",
            "build": build,
            "yard": yard,
            "loaners": loaners,
            "standing": "booting",
            "rented_at": time.monotonic() - held_s,
        }
        task = asyncio.get_running_loop().create_task(self._boot(name, boot_s))
        self._boots.add(task)
        task.add_done_callback(self._boots.discard)
        return name

    async def _boot(self, name: str, boot_s: float) -> None:
        await asyncio.sleep(boot_s)
        machine = self.machines.get(name)
        if machine is not None:
            machine["endpoint"] = await self.on_up(machine)
            machine["standing"] = "running"

    async def tick(self) -> None:
        """Record what later lists show, until cancelled."""
        while True:
            now = time.monotonic()
            listed = [
                {k: v for k, v in machine.items() if k != "rented_at"}
                | {
                    "held_s": now - machine["rented_at"],
                    "endpoint": machine["endpoint"] or "127.0.0.1:1",
                }
                for machine in self.machines.values()
            ]
            self.snapshots.append((now, listed))
            del self.snapshots[:-400]
            await asyncio.sleep(0.25)

    async def handle(self, method: str, target: str, body: Any) -> Answer | None:
        """Answer a controller."""
        parts = urlsplit(target)
        if self.is_down:
            return 503, {"error": "trouble"}
        if parts.path == "/catalog":
            return 200, {"builds": self.builds}
        if parts.path == "/machines/release":
            for name in body["hosts"]:
                if self.machines.pop(name, None) is not None:
                    self.on_event(f"cloud: {name} is released")
                    self.on_gone(name)
            return 200, {}
        if parts.path == "/machines" and method == "POST":
            return self._rent(body)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        visible = [hosts for at, hosts in self.snapshots if at <= time.monotonic() - self.list_lag_s]
        hosts = visible[-1] if visible else []
        after, limit = query.get("after", ""), int(query.get("limit", "500"))
        hosts = [host for host in hosts if host["name_id"] > after]
        return 200, {"hosts": hosts[:limit], "truncated": len(hosts) > limit}

    def _rent(self, body: Any) -> Answer:
        requisition = body["requisition"]
        if requisition in self.requisitions:
            return 200, {"hosts": self.requisitions[requisition]}
        pool = (body["build"], body["yard"], body["loaners"])
        held = sum((m["build"], m["yard"], m["loaners"]) == pool for m in self.machines.values())
        count = min(body["how_many"], self.capacity.get(pool, 0) - held)
        if count <= 0:
            self.refusals += 1
            return 503, {"error": "no capacity"}
        ready_s = next(b["ready_s"] for b in self.builds if b["name"] == pool[0]) * self.boot_factor
        names = [self.rent(*pool, ready_s * random.uniform(0.6, 1.4)) for _ in range(count)]
        self.requisitions[requisition] = names
        self.on_event(f"cloud: rents {names} of {pool}")
        return 200, {"hosts": names}
