"""Group commits: small independent changes share a transaction, and one's conflict or refusal is its own.

A transaction without an answer holds up nothing behind it: the next one goes out beside it, reads look for what it
has written, and its changes are sent once more. So each change must be harmless when it is carried out late or
twice: guards of its own have to fail from its first run on, for as long as its keys' names are used.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import orjson

from roseweir.clock import seconds, sleep
from roseweir.http import Unreachable
from roseweir.kv_store.client import (
    CompareFailed,
    KeyValueStoreClient,
    RateLimited,
    RateLimiter,
    StoreError,
    ValueTooLarge,
)

log = logging.getLogger(__name__)

MAX_TXN_BYTES = 56 * 1024
# A change refused for the service's rate is tried again so often, before whoever asked for it hears of it.
MAX_RATE_LIMITED_ATTEMPTS = 4
RATE_LIMITED_RETRY_INTERVAL = seconds(0.25)
# Most answers come within 10 ms. While one takes longer than this, the next transaction goes out beside it,
NEXT_TXN_DELAY = timedelta(milliseconds=25)
# and no more of them than this.
MAX_TXNS_IN_FLIGHT = 8
# A transaction that takes longer than this is looked up, again and again at intervals that double,
CONFIRM_DELAY, CONFIRM_INTERVAL = timedelta(milliseconds=50), timedelta(milliseconds=100)
# and its changes that are not proven by then are sent once more.
RESEND_DELAY = timedelta(milliseconds=300)
# This part of the state service's changes may be spent on that, so many seconds' worth at once: while the service is
# slow, nothing is proven by then.
RESEND_WRITE_SHARE, RESEND_BURST_S = 0.05, 4.0

# The revision by which a change is proven to have been carried out; None: nothing is known, as it may run yet.
ConfirmWrite = Callable[[], Awaitable[int | None]]


@dataclass(slots=True, eq=False)
class _PendingChange:
    guards: list[tuple[str, int]]
    ops: list[dict[str, Any]]
    size_bytes: int
    result: asyncio.Future[int]
    confirm: ConfirmWrite | None
    txns_in_flight: int = 0  # transactions that hold it and have no answer
    is_resent: bool = False
    last_error: Exception | None = None


class QueueFull(StoreError):
    """Too many changes wait already."""


class GroupCommitter:
    def __init__(self, kv_store: KeyValueStoreClient, max_queued: int) -> None:
        self.kv_store = kv_store
        self.max_queued = max_queued
        self._queue: deque[_PendingChange] = deque()
        self._has_queued = asyncio.Event()
        self._resend_limiter = RateLimiter(kv_store.settings.max_writes_per_s * RESEND_WRITE_SHARE, RESEND_BURST_S)
        self._txns_in_flight: set[asyncio.Task[None]] = set()

    async def commit(
        self, guards: list[tuple[str, int]], ops: list[dict[str, Any]], confirm: ConfirmWrite | None = None
    ) -> int:
        """The revision, or one by which `proof` tells that it ran, or Conflict or Trouble.

        Unreachable and Conflict mean that the caller has to read.
        """
        if len(self._queue) >= self.max_queued:
            raise QueueFull("too many changes wait")
        result: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._queue.append(_PendingChange(guards, ops, len(orjson.dumps([guards, ops])), result, confirm))
        self._has_queued.set()
        return await result

    async def run(self) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                await self._has_queued.wait()
                if len(self._txns_in_flight) >= MAX_TXNS_IN_FLIGHT:
                    await asyncio.wait(self._txns_in_flight, return_when=asyncio.FIRST_COMPLETED)
                await self.kv_store.wait_for_request_capacity()
                await self.kv_store.wait_for_write_capacity()
                batch = self._take_batch()
                if batch:
                    commit_task = group.create_task(self._commit_batch(batch))
                    self._txns_in_flight.add(commit_task)
                    commit_task.add_done_callback(self._txns_in_flight.discard)
                    await asyncio.wait({commit_task}, timeout=NEXT_TXN_DELAY.total_seconds())
                if not self._queue:
                    self._has_queued.clear()

    def _take_batch(self) -> list[_PendingChange]:
        batch: list[_PendingChange] = []
        op_count = size_bytes = 0
        guarded_keys: set[str] = set()
        max_ops = self.kv_store.transaction_limits.max_txn_ops
        while self._queue:
            change = self._queue[0]
            if change.result.done():
                self._queue.popleft()
                continue
            keys = {key for key, _ in change.guards}
            # Two changes of one key must not share a transaction: the second has to see the first.
            if batch and (
                op_count + len(change.ops) > max_ops
                or size_bytes + change.size_bytes > MAX_TXN_BYTES
                or keys & guarded_keys
            ):
                break
            self._queue.popleft()
            batch.append(change)
            op_count += len(change.ops)
            size_bytes += change.size_bytes
            guarded_keys |= keys
        return batch

    async def _commit_batch(self, batch: list[_PendingChange]) -> None:
        """Until the transaction is answered, or each of its changes is settled otherwise."""
        for change in batch:
            change.txns_in_flight += 1
        send_task = asyncio.create_task(self._send_batch(batch))
        confirm_task = asyncio.create_task(self._confirm_or_resend(batch))
        try:
            await asyncio.wait({send_task, confirm_task}, return_when=asyncio.FIRST_COMPLETED)
            for task in (send_task, confirm_task):
                if task.done():
                    task.result()
        finally:
            send_task.cancel()
            confirm_task.cancel()

    async def _confirm_or_resend(self, batch: list[_PendingChange]) -> None:
        """Look for what an unanswered transaction has written, and send it again, until all its changes are settled."""
        await sleep(CONFIRM_DELAY)
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(self._confirm_change(c, c.confirm)) for c in batch if c.confirm is not None]
            tasks.append(group.create_task(self._resend(batch)))
            for change in batch:
                await asyncio.wait({change.result})
            for task in tasks:
                task.cancel()

    async def _confirm_change(self, change: _PendingChange, confirm: ConfirmWrite) -> None:
        interval = CONFIRM_INTERVAL
        while not change.result.done():
            try:
                revision = await confirm()
            except (StoreError, Unreachable):
                revision = None
            if revision is not None and not change.result.done():
                change.result.set_result(revision)
            await sleep(interval)
            interval *= 2

    async def _resend(self, batch: list[_PendingChange]) -> None:
        await sleep(RESEND_DELAY - CONFIRM_DELAY)
        unsettled = [change for change in batch if not change.is_resent and not change.result.done()]
        resendable = [change for change in unsettled if self._resend_limiter.try_acquire(len(change.ops))]
        for change in resendable:
            change.is_resent = True
        self._queue.extendleft(reversed(resendable))
        self._has_queued.set()

    async def _send_batch(self, batch: list[_PendingChange]) -> None:
        rate_refusals = 0
        while batch:
            guards = [guard for change in batch for guard in change.guards]
            ops = [op for change in batch for op in change.ops]
            try:
                revision = await self.kv_store.compare_and_swap(guards, ops)
            except CompareFailed as e:
                failed_keys = set(e.failed_keys)
                remaining: list[_PendingChange] = []
                for change in batch:
                    if any(key in failed_keys for key, _ in change.guards):
                        _fail_change(change, CompareFailed([k for k, _ in change.guards if k in failed_keys]))
                    else:
                        remaining.append(change)
                if len(remaining) == len(batch):
                    for change in remaining:
                        _fail_change(change, StoreError("conflict names no guard"))
                    return
                batch = remaining
                continue
            except ValueTooLarge as e:
                await self._send_halves(batch, e)
                return
            except RateLimited as e:
                rate_refusals += 1
                if rate_refusals < MAX_RATE_LIMITED_ATTEMPTS:
                    await sleep(RATE_LIMITED_RETRY_INTERVAL)
                    continue
                for change in batch:
                    self._record_failed_txn(change, e)
                return
            except (StoreError, Unreachable) as e:
                for change in batch:
                    self._record_failed_txn(change, e)
                return
            for change in batch:
                if not change.result.done():
                    change.result.set_result(revision)
            return

    async def _send_halves(self, batch: list[_PendingChange], error: ValueTooLarge) -> None:
        """Halves of a refused batch, so that what is too large by itself fails alone."""
        if len(batch) > 1:
            half = len(batch) // 2
            await self._send_batch(batch[:half])
            await self._send_batch(batch[half:])
            return
        keys = ", ".join(key for key, _ in batch[0].guards)
        log.warning("refused as too large for the state service: %s", keys)
        _fail_change(batch[0], error)

    def _record_failed_txn(self, change: _PendingChange, error: Exception) -> None:
        """Of one of the transactions that hold the change; the last of them fails it, as one that may have run."""
        change.txns_in_flight -= 1
        if change.last_error is None or isinstance(error, Unreachable):
            change.last_error = error
        if change.txns_in_flight == 0 and change not in self._queue:
            _fail_change(change, change.last_error)


def _fail_change(change: _PendingChange, error: Exception) -> None:
    if not change.result.done():
        change.result.set_exception(error)
