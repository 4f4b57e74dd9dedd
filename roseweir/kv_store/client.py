"""Keys, transactions, leases and watches, and a pace that stays within the service's limits."""

import asyncio
import logging
from collections.abc import Awaitable, Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any, TypeVar
from urllib.parse import quote

import orjson

from roseweir.clock import monotonic_now, seconds, sleep
from roseweir.http import Connect, Reply, Unreachable, connect
from roseweir.kv_store.transaction_limits import TransactionLimits
from roseweir.settings import KeyValueStoreSettings

log = logging.getLogger(__name__)

REQUEST_TIMEOUT = timedelta(seconds=2)
MAX_CONNECTIONS = 8
# By what a refusal slows the pace, how slow it may get, and the share of the set pace that it regains in a second.
RATE_DECREASE_FACTOR, MIN_RATE_SHARE, RATE_RECOVERY_PER_S = 0.8, 0.1, 0.01
RATE_DECREASE_INTERVAL = timedelta(seconds=1)
# Keys in one response, at most.
MAX_PAGE_KEYS = 1000

T = TypeVar("T")
U = TypeVar("U")


class StoreError(Exception):
    """The request surely did not run (429 or 503), or was refused."""


class RateLimited(StoreError):
    """429: the request did not run, the service's rate was passed."""


class ValueTooLarge(StoreError):
    """400: a value or the transaction as a whole is beyond the service's limits, and nothing was changed."""

    def __init__(self, message: str, is_limit_lowered: bool) -> None:
        """`learnt`: the limits are lower now, so that smaller parts may pass."""
        super().__init__(message)
        self.is_limit_lowered = is_limit_lowered


class CompareFailed(Exception):
    """A guard failed; nothing was changed."""

    def __init__(self, failed_keys: list[str]) -> None:
        super().__init__(f"guards failed: {failed_keys}")
        self.failed_keys = failed_keys


class LeaseExpired(Exception):
    """The lease is gone."""


@dataclass(slots=True)
class Entry:
    key: str
    value: Any
    version: int


@dataclass(slots=True)
class Page:
    """Keys in their order, whether there are more after them, and a revision that they are as new as."""

    entries: list[Entry]
    has_more: bool
    revision: int


@dataclass(slots=True)
class WatchEvent:
    """One change of a watch: the value is None for a deletion."""

    key: str
    value: Any
    version: int


class RateLimiter:
    """A token bucket that makes callers wait instead of being refused."""

    def __init__(self, per_second: float, burst_s: float = 1.0) -> None:
        """`burst` is how many seconds' worth may go out at once."""
        self.rate = per_second
        self.max_tokens = per_second * burst_s
        self.tokens = self.max_tokens
        self.refilled_at: datetime | None = None

    def _refill(self) -> None:
        now = monotonic_now()
        if self.refilled_at is not None:
            self.tokens = min(self.max_tokens, self.tokens + (now - self.refilled_at).total_seconds() * self.rate)
        self.refilled_at = now

    async def acquire(self, cost: float = 1.0) -> None:
        self._refill()
        self.tokens -= cost
        if self.tokens < 0:
            await sleep(seconds(-self.tokens / self.rate))

    def try_acquire(self, cost: float = 1.0) -> bool:
        """Take without waiting; False when there is nothing left to take."""
        self._refill()
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True

    async def wait_for_tokens(self, token_count: float) -> float:
        """Wait until so much has been saved up, so that a batch can still grow; what there is then."""
        while True:
            self._refill()
            if self.tokens >= min(token_count, self.max_tokens) - 1e-6:
                return self.tokens
            await sleep(seconds((min(token_count, self.max_tokens) - self.tokens) / self.rate + 0.001))


class AdaptiveRateLimiter(RateLimiter):
    """A pace that learns the service's rate from refusals: down at once, and slowly up again to what was set."""

    def __init__(self, per_second: float) -> None:
        super().__init__(per_second)
        self._configured_rate = per_second
        self._last_decreased_at: datetime | None = None

    def _refill(self) -> None:
        previously_refilled_at = self.refilled_at
        super()._refill()
        if previously_refilled_at is not None and self.refilled_at is not None and self.rate < self._configured_rate:
            rate_gain = (
                (self.refilled_at - previously_refilled_at).total_seconds()
                * RATE_RECOVERY_PER_S
                * self._configured_rate
            )
            self.rate = self.max_tokens = min(self._configured_rate, self.rate + rate_gain)

    def decrease_rate(self) -> bool:
        """The service refused for its rate; whether this slowed the pace: refusals of one moment count once."""
        self._refill()
        if (
            self._last_decreased_at is not None
            and self.refilled_at is not None
            and self.refilled_at - self._last_decreased_at < RATE_DECREASE_INTERVAL
        ):
            return False
        self._last_decreased_at = self.refilled_at
        self.rate = self.max_tokens = max(self._configured_rate * MIN_RATE_SHARE, self.rate * RATE_DECREASE_FACTOR)
        self.tokens = min(self.tokens, 0.0)
        return True


class KeyValueStoreClient:
    def __init__(self, address: str, settings: KeyValueStoreSettings, connect: Connect = connect) -> None:
        self.settings = settings
        self._send = connect(address, MAX_CONNECTIONS)
        self.is_failing = False  # the last request got no answer, or 503
        # All controllers share the service's limits, so one of them never plans to use them whole.
        self._request_limiter = AdaptiveRateLimiter(settings.max_requests_per_s * 0.6)
        self._write_limiter = AdaptiveRateLimiter(settings.max_writes_per_s * 0.7)
        self.transaction_limits = TransactionLimits(settings)

    async def _call(
        self, method: str, path: str, body: object = None, timeout: timedelta = REQUEST_TIMEOUT, is_write: bool = False
    ) -> Reply:
        try:
            reply = await self._send(method, path, body, timeout=timeout)
        except Unreachable:
            self.is_failing = True
            raise
        self.is_failing = reply.status == 503
        if reply.status == 429:
            self._apply_rate_refusal(is_write)
            raise RateLimited("state service answered 429")
        if reply.status == 503:
            raise StoreError("state service answered 503")
        return reply

    def _apply_rate_refusal(self, is_write: bool) -> None:
        limiter, unit = (self._write_limiter, "changes") if is_write else (self._request_limiter, "requests")
        if limiter.decrease_rate():
            log.info("the state service answered 429: %.1f %s a second from now on", limiter.rate, unit)

    async def get(self, key: str, timeout: timedelta = REQUEST_TIMEOUT) -> Entry | None:
        await self._request_limiter.acquire()
        reply = await self._call("GET", f"/store/{quote(key, safe='/')}", timeout=timeout)
        if reply.status == 404:
            return None
        if reply.status != 200:
            raise StoreError(f"state service answered {reply.status}")
        payload = reply.json()
        return Entry(payload["path"], payload["v"], payload["stamp"])

    async def get_many(self, keys: Iterable[str]) -> dict[str, Entry | None]:
        """Several keys, a few at a time. Any that cannot be read fails the whole."""
        semaphore = asyncio.Semaphore(MAX_CONNECTIONS)

        async def get_one(key: str) -> tuple[str, Entry | None]:
            async with semaphore:
                return key, await self.get(key)

        return dict(await gather_all(*(get_one(key) for key in keys)))

    async def scan(self, prefix: str) -> tuple[list[Entry], int]:
        """All keys with the prefix, and a revision from before the first page was read."""
        entries: list[Entry] = []
        after, revision = "", None
        while True:
            page = await self.scan_page(prefix, after)
            if revision is None:
                revision = page.revision
            entries += page.entries
            if not page.has_more:
                return entries, revision
            after = page.entries[-1].key

    async def scan_page(self, prefix: str, after: str = "", limit: int = MAX_PAGE_KEYS) -> Page:
        """The first keys with the prefix that sort after a text, at most so many and as one response holds."""
        await self._request_limiter.acquire()
        path = f"/store?prefix={quote(prefix, safe='')}&limit={limit}"
        reply = await self._call("GET", path + (f"&after={quote(after, safe='')}" if after else ""))
        if reply.status != 200:
            raise StoreError(f"state service answered {reply.status}")
        payload = reply.json()
        entries = [Entry(p["path"], p["v"], p["stamp"]) for p in payload["pairs"]]
        return Page(entries, bool(payload.get("truncated")) and bool(entries), int(payload["ledger"]))

    async def compare_and_swap(self, guards: list[tuple[str, int]], ops: list[dict[str, Any]]) -> int:
        """Commit and return the revision. Unreachable means that it may have run, or may run later.

        TooLarge: it went beyond the service's limits, which `limits` has learnt from.
        """
        if ops:
            await self._write_limiter.acquire(len(ops))
        await self._request_limiter.acquire()
        body = {"guards": [{"path": k, "stamp": v} for k, v in guards], "then": ops}
        reply = await self._call("POST", "/txn", body, is_write=bool(ops))
        if reply.status == 200:
            return int(reply.json()["ledger"])
        if reply.status == 409:
            raise CompareFailed(reply.json().get("failed", []))
        if reply.status == 400 and b"lease" in reply.body:
            raise LeaseExpired(reply.body.decode(errors="replace"))
        if reply.status == 400 and ops:
            largest_bytes = max(len(orjson.dumps(op.get("v"))) for op in ops)
            is_limit_lowered = self.transaction_limits.lower_after_refusal(
                len(ops), largest_bytes, b"value" in reply.body
            )
            raise ValueTooLarge(
                f"state service answered 400 to {len(ops)} changes, the largest of {largest_bytes} bytes",
                is_limit_lowered,
            )
        raise StoreError(f"state service answered {reply.status}: {reply.body[:200]!r}")

    async def wait_for_write_capacity(self, reserved_share: float = 0.0) -> float:
        """Wait until this share of a second's changes has been saved up; how many there are above it."""
        reserved_tokens = self._write_limiter.max_tokens * reserved_share
        return await self._write_limiter.wait_for_tokens(reserved_tokens) - reserved_tokens

    async def wait_for_request_capacity(self) -> None:
        """Wait until this node's requests are within their pace again."""
        await self._request_limiter.wait_for_tokens(0.0)

    @property
    def writes_per_s(self) -> float:
        return self._write_limiter.rate

    async def grant_lease(self, ttl: timedelta) -> int:
        await self._request_limiter.acquire()
        reply = await self._call("POST", "/holds", {"ttl_ms": round(ttl.total_seconds() * 1000)})
        if reply.status != 200:
            raise StoreError(f"state service answered {reply.status}")
        return int(reply.json()["tenancy"])

    async def renew_lease(self, lease_id: int, timeout: timedelta) -> None:
        reply = await self._call("POST", f"/holds/{lease_id}/extend", timeout=timeout)
        if reply.status == 404:
            raise LeaseExpired(f"lease {lease_id} is gone")
        if reply.status != 200:
            raise StoreError(f"state service answered {reply.status}")

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease at once, with the keys attached to it."""
        await self._request_limiter.acquire()
        reply = await self._call("DELETE", f"/holds/{lease_id}")
        if reply.status not in (200, 404):
            raise StoreError(f"state service answered {reply.status}")

    async def watch(
        self, prefix: str, after: int, max_wait: timedelta, timeout: timedelta = REQUEST_TIMEOUT
    ) -> tuple[list[WatchEvent], int] | None:
        """Changes after a revision, and the revision they reach; None when the keys must be read again."""
        max_wait_ms = round(max_wait.total_seconds() * 1000)
        path = f"/watch?prefix={quote(prefix, safe='')}&after={after}&block_ms={max_wait_ms}"
        reply = await self._call("GET", path, timeout=max_wait + timeout)
        if reply.status == 410:
            return None
        if reply.status != 200:
            raise StoreError(f"state service answered {reply.status}")
        payload = reply.json()
        events = [
            WatchEvent(e["put"], e.get("v"), e["stamp"]) if "put" in e else WatchEvent(e["delete"], None, e["stamp"])
            for e in payload["events"]
        ]
        return events, int(payload["ledger"])


async def gather_all(*awaitables: Awaitable[T]) -> list[T]:
    """All results, or the first failure once every call is over."""
    results = await asyncio.gather(*awaitables, return_exceptions=True)
    for result in results:
        if isinstance(result, BaseException):
            raise result
    return [result for result in results if not isinstance(result, BaseException)]


async def gather_pair(first_awaitable: Awaitable[T], second_awaitable: Awaitable[U]) -> tuple[T, U]:
    """The results of two calls at once, or the first failure once both are over."""
    first, second = await asyncio.gather(first_awaitable, second_awaitable, return_exceptions=True)
    if isinstance(first, BaseException):
        raise first
    if isinstance(second, BaseException):
        raise second
    return first, second


def put(key: str, value: Any, lease_id: int | None = None) -> dict[str, Any]:
    return {"put": key, "v": value} if lease_id is None else {"put": key, "v": value, "tenancy": lease_id}


def delete(key: str) -> dict[str, Any]:
    return {"delete": key}
