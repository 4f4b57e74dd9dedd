"""Confirmation of writes by reads while their answer is awaited, since a lost answer would block what follows.

A read can prove only one thing: that the transaction was carried out. A key that does not exist, or holds another
value, proves nothing, since the transaction may be carried out later.
"""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import orjson

from roseweir.clock import sleep
from roseweir.http import Unreachable
from roseweir.kv_store.client import KeyValueStoreClient
from roseweir.kv_store.errors import CompareFailed, StoreError
from roseweir.kv_store.keys import LEADER_KEY
from roseweir.kv_store.operations import Guards, Operations

# Most answers come within 10 ms. After this delay the write is looked up by a read,
CONFIRM_DELAY = timedelta(milliseconds=60)
# then after this interval, which doubles each time.
CONFIRM_INTERVAL = timedelta(milliseconds=120)
# Of one such read.
CONFIRM_TIMEOUT = timedelta(milliseconds=500)
# What is not confirmed by then is sent once more where that is harmless.
RESEND_DELAY = timedelta(milliseconds=400)

# Returns the revision at which a write is proven to have been carried out. None: nothing is known, as it may be later.
ConfirmWrite = Callable[[], Awaitable[int | None]]


async def commit_or_confirm(
    kv_store: KeyValueStoreClient, guards: Guards, ops: Operations, confirm: ConfirmWrite
) -> int:
    """Return (or raise) what `compare_and_swap` does, or the revision that `confirm` finds if that comes first."""
    send_task = asyncio.create_task(kv_store.compare_and_swap(guards, ops))
    confirm_task = asyncio.create_task(_poll_until_confirmed(confirm))
    try:
        await asyncio.wait({send_task, confirm_task}, return_when=asyncio.FIRST_COMPLETED)
        return (send_task if send_task.done() else confirm_task).result()
    finally:
        send_task.cancel()
        confirm_task.cancel()


async def _poll_until_confirmed(confirm: ConfirmWrite) -> int:
    interval = CONFIRM_DELAY
    while True:
        await sleep(interval)
        try:
            revision = await confirm()
        except (StoreError, Unreachable):
            revision = None
        if revision is not None:
            return revision
        interval = CONFIRM_INTERVAL if interval == CONFIRM_DELAY else 2 * interval


class LeaderTransactions:
    """One leader's transactions on a set of keys that nobody else writes.

    Every transaction is guarded by the leader's key. So a version of such a key that is newer than the transaction's
    guard was written by this leader while the leader's key is unchanged, and by this transaction unless another attempt
    that may still be carried out puts the same value with the same guard.
    """

    def __init__(
        self,
        kv_store: KeyValueStoreClient,
        leader_key_version: int,
        write_once_prefixes: tuple[str, ...] = (),
        may_resend: bool = False,
    ) -> None:
        """Begin without unconfirmed writes.

        Args:
            kv_store: The store's client.
            leader_key_version: Version of the leader's key since this leader's election.
            write_once_prefixes: Prefixes of keys that need no guards of their own, because at most one answered
                transaction writes each.
            may_resend: Whether a transaction may be sent twice: none of the keys is deleted and created again, so that
                one that was carried out can't be carried out once more.
        """
        self._kv_store = kv_store
        self._leader_key_version = leader_key_version
        self._write_once_prefixes = write_once_prefixes
        self._may_resend = may_resend
        # Guard and value of writes without an answer, by key. Versions of guards that have failed since don't matter.
        self._unconfirmed_writes: dict[str, set[tuple[int, bytes]]] = {}

    async def commit(self, guards: Guards, ops: Operations) -> int:
        """Commit and return the revision, which all keys put have as their version; errors as of `compare_and_swap`."""
        writes = self._own_writes(guards, ops)
        unambiguous_writes = [
            (key, *write) for key, write in writes.items() if write not in self._unconfirmed_writes.get(key, ())
        ]
        try:
            if not unambiguous_writes:
                return await self._kv_store.compare_and_swap(guards, ops)

            async def confirm() -> int | None:
                return await self._find_written_version(*unambiguous_writes[0])

            if self._may_resend:
                return await self._commit_with_resend(guards, ops, confirm)
            return await commit_or_confirm(self._kv_store, guards, ops, confirm)
        except (Unreachable, asyncio.CancelledError):
            for key, (version, value) in writes.items():
                attempts = self._unconfirmed_writes.get(key, set())
                # A version is never used again, but 0 is.
                self._unconfirmed_writes[key] = {attempt for attempt in attempts if attempt[0] in (0, version)} | {
                    (version, value)
                }
            raise

    async def _commit_with_resend(self, guards: Guards, ops: Operations, confirm: ConfirmWrite) -> int:
        """Send it once more if it is not confirmed in time. At most one of the two succeeds, no matter which."""
        attempts = [asyncio.create_task(commit_or_confirm(self._kv_store, guards, ops, confirm))]
        try:
            await asyncio.wait(attempts, timeout=RESEND_DELAY.total_seconds())
            if not attempts[0].done():
                attempts.append(asyncio.create_task(self._kv_store.compare_and_swap(guards, ops)))
            return await self._first_outcome(attempts, confirm)
        finally:
            for attempt in attempts:
                attempt.cancel()

    async def _first_outcome(self, attempts: list["asyncio.Task[int]"], confirm: ConfirmWrite) -> int:
        """Return the first revision; raise a failed comparison, else Unreachable if any may have run, else an error."""
        errors: list[Exception] = []
        for attempt in asyncio.as_completed(attempts):
            try:
                return await attempt
            except CompareFailed:
                # The other attempt may have succeeded. If it has not, it can't be carried out any more.
                revision = await self._confirm_or_none(confirm) if len(attempts) > 1 else None
                if revision is None:
                    raise
                return revision
            except (StoreError, Unreachable) as e:
                errors.append(e)
        raise next((e for e in errors if isinstance(e, Unreachable)), errors[0])

    @staticmethod
    async def _confirm_or_none(confirm: ConfirmWrite) -> int | None:
        try:
            return await confirm()
        except (StoreError, Unreachable):
            return None

    def _own_writes(self, guards: Guards, ops: Operations) -> dict[str, tuple[int, bytes]]:
        """The version that each key put was guarded with, and the value put, by key."""
        versions = dict(guards)
        writes: dict[str, tuple[int, bytes]] = {}
        for op in ops:
            key = op.get("put")
            if key is not None and (key in versions or key.startswith(self._write_once_prefixes)):
                writes[key] = versions.get(key, 0), canonical_json(op["v"])
        return writes

    async def _find_written_version(self, key: str, guard_version: int, value: bytes) -> int | None:
        entry = await self._kv_store.get(key, timeout=CONFIRM_TIMEOUT)
        if (
            entry is None
            or entry.version <= max(guard_version, self._leader_key_version)
            or canonical_json(entry.value) != value
        ):
            return None
        # Read after the key itself: until then nobody but this leader has written it.
        leader = await self._kv_store.get(LEADER_KEY, timeout=CONFIRM_TIMEOUT)
        return entry.version if leader is not None and leader.version == self._leader_key_version else None


def canonical_json(value: Any) -> bytes:
    """Encode a value so that equal values give equal bytes, whatever the order of their fields."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS | orjson.OPT_NON_STR_KEYS)
