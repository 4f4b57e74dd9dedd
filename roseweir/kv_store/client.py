"""The store's HTTP client: keys, compare-and-swap, leases and watches, within the store's request rates."""

import asyncio
import logging
from collections.abc import Iterable
from datetime import timedelta
from urllib.parse import quote

import orjson

from roseweir.clock import seconds
from roseweir.http import Connect, Reply, Unreachable, connect
from roseweir.kv_store.concurrency import gather_all, gather_pair
from roseweir.kv_store.errors import (
    CompareFailed,
    LeaseExpired,
    RateLimited,
    StoreError,
    StoreUnavailable,
    ValueTooLarge,
)
from roseweir.kv_store.operations import Guards, Operations, delete, put
from roseweir.kv_store.rate_limiter import AdaptiveRateLimiter, RateLimiter
from roseweir.kv_store.records import Entry, Page, WatchEvent
from roseweir.kv_store.transaction_limits import TransactionLimits
from roseweir.settings import KeyValueStoreSettings

# Other packages still import some of these from here.
__all__ = [
    "MAX_PAGE_KEYS",
    "REQUEST_TIMEOUT",
    "AdaptiveRateLimiter",
    "CompareFailed",
    "Entry",
    "KeyValueStoreClient",
    "LeaseExpired",
    "Page",
    "RateLimited",
    "RateLimiter",
    "StoreError",
    "ValueTooLarge",
    "WatchEvent",
    "delete",
    "gather_all",
    "gather_pair",
    "put",
]

log = logging.getLogger(__name__)

REQUEST_TIMEOUT = seconds(2)
MAX_CONNECTIONS = 8
# Maximum number of keys in one response.
MAX_PAGE_KEYS = 1000
# This node's shares of the store's requests and changes per second. All controllers share the store's limits, so no
# controller uses them entirely.
REQUEST_RATE_SHARE = 0.6
WRITE_RATE_SHARE = 0.7


class KeyValueStoreClient:
    """Client of the key-value store; paths and fields as in the protocol.

    In addition to the errors that each method documents, all methods raise RateLimited (429), StoreUnavailable (503)
    and StoreError (any other refusal) for requests that were not executed, and `roseweir.http.Unreachable` for requests
    that may have been executed.

    Attributes:
        is_failing: Whether the last request got no answer, or 503.
        transaction_limits: The known limits of one transaction, which are lowered when the store refuses a transaction.
    """

    def __init__(self, address: str, settings: KeyValueStoreSettings, connect: Connect = connect) -> None:
        """Prepare connections to the store's address; the settings contain the initial limits and rates."""
        self.settings = settings
        self._send = connect(address, MAX_CONNECTIONS)
        self.is_failing = False
        self._request_limiter = AdaptiveRateLimiter(settings.max_requests_per_s * REQUEST_RATE_SHARE)
        self._write_limiter = AdaptiveRateLimiter(settings.max_writes_per_s * WRITE_RATE_SHARE)
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
            raise StoreUnavailable("state service answered 503")
        return reply

    def _apply_rate_refusal(self, is_write: bool) -> None:
        limiter, unit = (self._write_limiter, "changes") if is_write else (self._request_limiter, "requests")
        if limiter.decrease_rate():
            log.info("store request rate decreased: status=429 unit=%s per_second=%.1f", unit, limiter.rate)

    async def get(self, key: str, timeout: timedelta = REQUEST_TIMEOUT) -> Entry | None:
        """Read one key; None if it does not exist."""
        await self._request_limiter.acquire()
        reply = await self._call("GET", f"/store/{quote(key, safe='/')}", timeout=timeout)
        if reply.status == 404:
            return None
        _require_ok(reply)
        payload = reply.json()
        return Entry(payload["path"], payload["v"], payload["stamp"])

    async def get_many(self, keys: Iterable[str]) -> dict[str, Entry | None]:
        """Read several keys, MAX_CONNECTIONS at a time. The call fails if any key can't be read."""
        semaphore = asyncio.Semaphore(MAX_CONNECTIONS)

        async def get_one(key: str) -> tuple[str, Entry | None]:
            async with semaphore:
                return key, await self.get(key)

        return dict(await gather_all(*(get_one(key) for key in keys)))

    async def scan(self, prefix: str) -> tuple[list[Entry], int]:
        """Return all entries with the prefix, and a revision from before the first page was read."""
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
        """Return the first entries with the prefix whose keys sort after `after`, at most `limit` of them."""
        await self._request_limiter.acquire()
        path = f"/store?prefix={quote(prefix, safe='')}&limit={limit}"
        reply = await self._call("GET", path + (f"&after={quote(after, safe='')}" if after else ""))
        _require_ok(reply)
        payload = reply.json()
        entries = [Entry(p["path"], p["v"], p["stamp"]) for p in payload["pairs"]]
        return Page(entries, bool(payload.get("truncated")) and bool(entries), int(payload["ledger"]))

    async def compare_and_swap(self, guards: Guards, ops: Operations) -> int:
        """Execute all operations if every guard holds; return the revision, which is the version of all written keys.

        Raises:
            CompareFailed: A guard failed; nothing was changed.
            LeaseExpired: The lease of a written key does not exist any more; nothing was changed.
            ValueTooLarge: The transaction exceeds the store's limits; nothing was changed, and `transaction_limits` was
                lowered unless the refusal showed nothing new.
            Unreachable: The transaction may have been executed, or may be executed later.
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
        """Wait until the reserved share of the changes is available; return how many more are available.

        Args:
            reserved_share: Share of the changes of one second that is left for other writers of this node.
        """
        reserved_tokens = self._write_limiter.max_tokens * reserved_share
        return await self._write_limiter.wait_for_tokens(reserved_tokens) - reserved_tokens

    async def wait_for_request_capacity(self) -> None:
        """Wait until the request rate of this node is below its limit again."""
        await self._request_limiter.wait_for_tokens(0.0)

    @property
    def writes_per_s(self) -> float:
        """This node's present limit of changes per second."""
        return self._write_limiter.rate

    async def grant_lease(self, ttl: timedelta) -> int:
        """Grant a lease with this time to live; return its id."""
        await self._request_limiter.acquire()
        reply = await self._call("POST", "/holds", {"ttl_ms": round(ttl.total_seconds() * 1000)})
        _require_ok(reply)
        return int(reply.json()["tenancy"])

    async def renew_lease(self, lease_id: int, timeout: timedelta) -> None:
        """Extend a lease to its full time to live; LeaseExpired if it does not exist any more.

        The request rate limit does not delay renewals, since a late renewal could cost the leader its lease.
        """
        reply = await self._call("POST", f"/holds/{lease_id}/extend", timeout=timeout)
        if reply.status == 404:
            raise LeaseExpired(f"lease {lease_id} does not exist")
        _require_ok(reply)

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease at once and delete the keys attached to it. It is no error if the lease does not exist."""
        await self._request_limiter.acquire()
        reply = await self._call("DELETE", f"/holds/{lease_id}")
        if reply.status not in (200, 404):
            raise StoreError(f"state service answered {reply.status}")

    async def watch(
        self, prefix: str, after: int, max_wait: timedelta, timeout: timedelta = REQUEST_TIMEOUT
    ) -> tuple[list[WatchEvent], int] | None:
        """Wait for changes after a revision, up to `max_wait`.

        Returns:
            The changes and the latest revision that they cover, or None (410) if the store does not keep the changes
            since `after` any more, so that the keys must be read again.
        """
        max_wait_ms = round(max_wait.total_seconds() * 1000)
        path = f"/watch?prefix={quote(prefix, safe='')}&after={after}&block_ms={max_wait_ms}"
        reply = await self._call("GET", path, timeout=max_wait + timeout)
        if reply.status == 410:
            return None
        _require_ok(reply)
        payload = reply.json()
        events = [
            WatchEvent(e["put"], e.get("v"), e["stamp"]) if "put" in e else WatchEvent(e["delete"], None, e["stamp"])
            for e in payload["events"]
        ]
        return events, int(payload["ledger"])


def _require_ok(reply: Reply) -> None:
    if reply.status != 200:
        raise StoreError(f"state service answered {reply.status}")
