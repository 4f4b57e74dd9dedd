"""Group commit: small independent changes share a transaction, and each change has its own outcome.

An unanswered transaction does not block later ones: the next transaction is sent while it is in flight, reads check
whether it was executed, and its changes are sent a second time. So a change must be harmless if it is executed late or
twice: once it has been executed, its own guards have to fail for as long as its keys are used.
"""

import asyncio
import logging
from collections import deque
from dataclasses import dataclass
from datetime import timedelta

import orjson

from roseweir.clock import seconds, sleep
from roseweir.http import Unreachable
from roseweir.kv_store.client import KeyValueStoreClient
from roseweir.kv_store.errors import CompareFailed, QueueFull, RateLimited, StoreError, ValueTooLarge
from roseweir.kv_store.operations import Guards, Operations
from roseweir.kv_store.rate_limiter import RateLimiter
from roseweir.kv_store.write_confirmation import ConfirmWrite

__all__ = ["ConfirmWrite", "GroupCommitter", "QueueFull"]  # other packages import all of them from here

log = logging.getLogger(__name__)

MAX_TXN_BYTES = 56 * 1024
# Attempts to send a change that the store refuses with 429, before the caller gets the error.
MAX_RATE_LIMITED_ATTEMPTS = 4
RATE_LIMITED_RETRY_INTERVAL = seconds(0.25)
# The next transaction is sent after this delay if the last one is still unanswered. Most answers take less than 10 ms.
NEXT_TXN_DELAY = timedelta(milliseconds=25)
MAX_TXNS_IN_FLIGHT = 8
# Delay before the first read that checks whether an unanswered transaction was executed.
CONFIRM_DELAY = timedelta(milliseconds=50)
# Interval from the first to the second of these reads; it doubles each time.
CONFIRM_INTERVAL = timedelta(milliseconds=100)
# Delay after which the unconfirmed changes of an unanswered transaction are sent a second time.
RESEND_DELAY = timedelta(milliseconds=300)
# Share of the store's changes per second that may be spent on sending changes a second time. Without this limit all
# changes would be sent twice while the store is slow, since none is confirmed in time.
RESEND_WRITE_SHARE = 0.05
RESEND_BURST_S = 4.0


@dataclass(slots=True, eq=False)
class _PendingChange:
    guards: Guards
    ops: Operations
    size_bytes: int
    result: asyncio.Future[int]
    confirm: ConfirmWrite | None
    txns_in_flight: int = 0  # unanswered transactions that contain this change
    is_resent: bool = False
    last_error: Exception | None = None


class GroupCommitter:
    """Queues changes and commits them in shared transactions, while `run` is running."""

    def __init__(self, kv_store: KeyValueStoreClient, max_queued: int) -> None:
        """Begin with an empty queue; `commit` raises QueueFull while it holds `max_queued` changes or more.

        Changes that are sent a second time are queued even beyond this limit.
        """
        self.kv_store = kv_store
        self.max_queued = max_queued
        self._queue: deque[_PendingChange] = deque()
        self._has_queued = asyncio.Event()
        self._resend_limiter = RateLimiter(kv_store.settings.max_writes_per_s * RESEND_WRITE_SHARE, RESEND_BURST_S)
        self._txns_in_flight: set[asyncio.Task[None]] = set()

    async def commit(self, guards: Guards, ops: Operations, confirm: ConfirmWrite | None = None) -> int:
        """Commit one change; return its revision, or the revision that `confirm` returns if that comes first.

        Raises:
            QueueFull: The queue is full; the change was not queued.
            CompareFailed: One of its guards failed, possibly because an earlier attempt succeeded; the caller has to
                read the keys.
            ValueTooLarge: The store refuses the change even in a transaction of its own.
            StoreError: The change was not executed.
            Unreachable: The change may have been executed; the caller has to read the keys.
        """
        if len(self._queue) >= self.max_queued:
            raise QueueFull("too many changes wait")
        result: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._queue.append(_PendingChange(guards, ops, len(orjson.dumps([guards, ops])), result, confirm))
        self._has_queued.set()
        return await result

    async def run(self) -> None:
        """Commit queued changes until cancelled."""
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
            # Two changes of the same key must not share a transaction: the guard of the second has to be checked
            # against the result of the first.
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
        """Send a batch, and return when it is answered or all of its changes have been confirmed by reads."""
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
        """Check by reads which changes of an unanswered transaction were executed, and send the others again.

        Returns when all changes have an outcome.
        """
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
            except CompareFailed as error:
                batch = _fail_conflicting(batch, error)
                continue
            except ValueTooLarge as error:
                await self._send_halves(batch, error)
                return
            except RateLimited as error:
                rate_refusals += 1
                if rate_refusals < MAX_RATE_LIMITED_ATTEMPTS:
                    await sleep(RATE_LIMITED_RETRY_INTERVAL)
                    continue
                self._record_failed_txn(batch, error)
                return
            except (StoreError, Unreachable) as error:
                self._record_failed_txn(batch, error)
                return
            for change in batch:
                if not change.result.done():
                    change.result.set_result(revision)
            return

    async def _send_halves(self, batch: list[_PendingChange], error: ValueTooLarge) -> None:
        """Send the halves of a refused batch separately, so that only a change that is itself too large fails."""
        if len(batch) > 1:
            half = len(batch) // 2
            await self._send_batch(batch[:half])
            await self._send_batch(batch[half:])
            return
        keys = ", ".join(key for key, _ in batch[0].guards)
        log.warning("change refused as too large: keys=%s", keys)
        _fail_change(batch[0], error)

    def _record_failed_txn(self, batch: list[_PendingChange], error: Exception) -> None:
        """Record the failure of one of the transactions that contain these changes.

        A change fails when the last of its transactions has failed: with Unreachable if any of them may have been
        executed.
        """
        for change in batch:
            change.txns_in_flight -= 1
            if change.last_error is None or isinstance(error, Unreachable):
                change.last_error = error
            if change.txns_in_flight == 0 and change not in self._queue:
                _fail_change(change, change.last_error)


def _fail_conflicting(batch: list[_PendingChange], error: CompareFailed) -> list[_PendingChange]:
    """Fail the changes whose guards failed; return the others. If the error names no guard of the batch, fail all."""
    failed_keys = set(error.failed_keys)
    remaining: list[_PendingChange] = []
    for change in batch:
        if any(key in failed_keys for key, _ in change.guards):
            _fail_change(change, CompareFailed([key for key, _ in change.guards if key in failed_keys]))
        else:
            remaining.append(change)
    if len(remaining) < len(batch):
        return remaining
    for change in remaining:
        _fail_change(change, StoreError("conflict names no guard"))
    return []


def _fail_change(change: _PendingChange, error: Exception) -> None:
    if not change.result.done():
        change.result.set_exception(error)
