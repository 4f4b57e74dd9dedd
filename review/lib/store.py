"""Stand-in of the state service: keys, transactions, leases and watches, within its limits (protocol page)."""

import asyncio
import json
import time
from collections import deque
from typing import Any, NamedTuple

from web import Reply, Server, encode_json

KEPT_CHANGES = 10_000
MAX_ITEMS = 1000
MAX_RESPONSE_BYTES = 512 * 1024
MAX_TXN_BYTES = 64 * 1024


class Limits(NamedTuple):
    """The limits in the settings."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int


class _Bucket:
    """A token bucket with a burst of one second's worth."""

    def __init__(self, rate: float) -> None:
        self.rate, self.tokens, self.at = rate, rate, time.monotonic()

    def take(self, cost: float) -> bool:
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True


class StateService:
    """One state service; `refuse` answers 503 to all, as in an outage."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.revision = 0
        self.values: dict[str, tuple[Any, int, int]] = {}  # value, version, lease
        self.changes: deque[tuple[int, str, Any, bool]] = deque(maxlen=KEPT_CHANGES)
        self.leases: dict[int, list[float]] = {}  # ttl, end
        self.last_lease = 0
        self.server = Server(self._handle)
        self.is_out = False
        self._requests, self._writes = _Bucket(limits.rps), _Bucket(limits.write_rps)
        self._changed = asyncio.Event()
        self.refusals: dict[str, int] = {}

    async def start(self) -> str:
        """Serve, and return the address."""
        port = await self.server.start()
        asyncio.create_task(self._expire_leases())
        return f"127.0.0.1:{port}"

    def end_outage(self) -> None:
        """Serve again; all leases are at their full time."""
        now = time.monotonic()
        for lease in self.leases.values():
            lease[1] = now + lease[0]
        self.is_out = False
        self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self.is_out:
                continue
            now = time.monotonic()
            for lease in [lease for lease, (_, end) in self.leases.items() if end < now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [key for key, (_, _, held) in self.values.items() if held == lease]
        if keys:
            self.revision += 1
            for key in keys:
                del self.values[key]
                self.changes.append((self.revision, key, None, False))
            self._notify()

    def _refuse(self, status: int, error: str) -> Reply:
        self.refusals[error] = self.refusals.get(error, 0) + 1
        return status, {"error": error}

    async def _handle(self, method: str, path: str, query: dict[str, str], body: Any) -> Reply | None:
        if self.is_out:
            return self._refuse(503, "outage")
        if not self._requests.take(1):
            return self._refuse(429, "requests")
        if path == "/txn":
            return self._txn(body)
        if path == "/watch":
            return await self._watch(query)
        if path.startswith("/store"):
            return self._scan(query) if path == "/store" else self._get(path.removeprefix("/store/"))
        return self._hold(method, path, body)

    def _get(self, key: str) -> Reply:
        entry = self.values.get(key)
        if entry is None:
            return 404, {"ledger": self.revision}
        return 200, {"path": key, "v": entry[0], "stamp": entry[1], "tenancy": entry[2] or None}

    def _hold(self, method: str, path: str, body: Any) -> Reply:
        if path == "/holds" and method == "POST":
            self.last_lease += 1
            ttl = body["ttl_ms"] / 1000
            self.leases[self.last_lease] = [ttl, time.monotonic() + ttl]
            return 200, {"tenancy": self.last_lease}
        lease = int(path.split("/")[2])
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end_lease(lease)
        else:
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
        return 200, {}

    def _scan(self, query: dict[str, str]) -> Reply:
        limit = min(MAX_ITEMS, int(query.get("limit", MAX_ITEMS)))
        prefix, after = query.get("prefix", ""), query.get("after", "")
        pairs: list[dict[str, Any]] = []
        size = 0
        keys = sorted(key for key in self.values if key.startswith(prefix) and key > after)
        for key in keys:
            pair = {"path": key, "v": self.values[key][0], "stamp": self.values[key][1]}
            size += len(json.dumps(pair))
            if len(pairs) >= limit or (pairs and size > MAX_RESPONSE_BYTES):
                return 200, {"pairs": pairs, "truncated": True, "ledger": self.revision}
            pairs.append(pair)
        return 200, {"pairs": pairs, "truncated": False, "ledger": self.revision}

    def _refused_txn(self, body: Any) -> Reply | None:
        """The refusal of a transaction beyond the limits, or with an expired lease; None if there is none."""
        guards, ops = body.get("guards", []), body.get("then", [])
        if ops and not self._writes.take(len(ops)):
            return self._refuse(429, "writes")
        if len(ops) > self.limits.txn_ops or len(guards) > 4 * self.limits.txn_ops:
            return self._refuse(400, "too many changes")
        if len(encode_json(body)) > MAX_TXN_BYTES:
            return self._refuse(400, "transaction too large")
        puts = [op for op in ops if "put" in op]
        if any(len(encode_json(op["v"])) > self.limits.value_kb * 1024 for op in puts):
            return self._refuse(400, "value too large")
        if any(op.get("tenancy") and op["tenancy"] not in self.leases for op in puts):
            return 400, {"error": "no such lease"}
        return None

    def _txn(self, body: Any) -> Reply:
        refusal = self._refused_txn(body)
        if refusal is not None:
            return refusal
        failed = [g["path"] for g in body.get("guards", []) if self._version(g["path"]) != g["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        ops = body.get("then", [])
        if not ops:
            return 200, {"ledger": self.revision}
        self.revision += 1
        for op in ops:
            if "put" in op:
                self.values[op["put"]] = (op["v"], self.revision, op.get("tenancy") or 0)
                self.changes.append((self.revision, op["put"], op["v"], True))
            elif op["delete"] in self.values:
                del self.values[op["delete"]]
                self.changes.append((self.revision, op["delete"], None, False))
        self._notify()
        return 200, {"ledger": self.revision}

    def _version(self, key: str) -> int:
        return self.values[key][1] if key in self.values else 0

    async def _watch(self, query: dict[str, str]) -> Reply:
        prefix, after = query["prefix"], int(query["after"])
        end = time.monotonic() + int(query.get("block_ms", "0")) / 1000
        while True:
            changed = self._changed
            if not self.is_out:
                if len(self.changes) == KEPT_CHANGES and after < self.changes[0][0] - 1:
                    return 410, {"error": "too old"}
                found = [c for c in self.changes if c[0] > after and c[1].startswith(prefix)]
                if found or time.monotonic() >= end:
                    events = [
                        {"put": key, "v": value, "stamp": revision} if is_put else {"delete": key, "stamp": revision}
                        for revision, key, value, is_put in found
                    ]
                    return 200, {"ledger": self.revision, "events": events}
            try:
                await asyncio.wait_for(changed.wait(), max(0.001, end - time.monotonic()) if not self.is_out else 0.5)
            except TimeoutError:
                pass
