"""Transactions that are looked up while their answer is awaited, since a lost answer would hold up what follows.

Only what a read finds is proof, and only of one thing: that the transaction was carried out. A key that is not there,
or holds something else, proves nothing, since the transaction may be carried out later.
"""

import asyncio
from datetime import timedelta
from typing import Any

import orjson

from roseweir.clock import sleep
from roseweir.http import Unreachable
from roseweir.kv_store.client import CompareFailed, KeyValueStoreClient, StoreError
from roseweir.kv_store.group_commit import ConfirmWrite
from roseweir.leader_election.messages import LEADER_KEY

# Most answers come within 10 ms. One that takes longer than this is looked up, at intervals that double.
CONFIRM_DELAY, CONFIRM_INTERVAL = timedelta(milliseconds=60), timedelta(milliseconds=120)
CONFIRM_TIMEOUT = timedelta(milliseconds=500)
# What is not proven by then is sent once more where that is harmless.
RESEND_DELAY = timedelta(milliseconds=400)

Guards = list[tuple[str, int]]
Ops = list[dict[str, Any]]


async def commit_or_confirm(kv_store: KeyValueStoreClient, guards: Guards, ops: Ops, confirm: ConfirmWrite) -> int:
    """`StateClient.txn`, or the revision that `proof` finds if that comes first."""
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
    """The transactions of one leader on keys that nobody else writes, one object for each set of keys.

    Every transaction is guarded by the leader's key. So a version of such a key that is newer than the transaction's
    guard was written by this leader while that key is unchanged, and by this transaction if no other of its tries that
    may still run puts the same value with the same guard.
    """

    def __init__(
        self,
        kv_store: KeyValueStoreClient,
        leader_key_version: int,
        write_once_prefixes: tuple[str, ...] = (),
        may_resend: bool = False,
    ) -> None:
        """What the keys allow.

        `written_once`: prefixes of keys without guards of their own that one answered transaction at most writes.
        `resend`: none of the keys is deleted and made again, so that a transaction that ran can't run once more.
        """
        self._kv_store = kv_store
        self._leader_key_version = leader_key_version
        self._write_once_prefixes = write_once_prefixes
        self._may_resend = may_resend
        # Guard and value of writes without an answer, by key. The versions of guards that failed since don't matter.
        self._unconfirmed_writes: dict[str, set[tuple[int, bytes]]] = {}

    async def commit(self, guards: Guards, ops: Ops) -> int:
        """The revision; Conflict, Trouble, or Unreachable as of `StateClient.txn`. All keys put have this revision."""
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

    async def _commit_with_resend(self, guards: Guards, ops: Ops, confirm: ConfirmWrite) -> int:
        """Send it once more if nothing is proven in time. At most one of the two counts, no matter which."""
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
        """The first revision or conflict; Trouble only if no try got further, Unreachable if any may have run."""
        errors: list[Exception] = []
        for attempt in asyncio.as_completed(attempts):
            try:
                return await attempt
            except CompareFailed:
                # It may be with the other try. If it is not, the other one can't run any more.
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

    def _own_writes(self, guards: Guards, ops: Ops) -> dict[str, tuple[int, bytes]]:
        """By key the version that it was guarded with and the value put."""
        versions = dict(guards)
        writes: dict[str, tuple[int, bytes]] = {}
        for op in ops:
            key = op.get("put")
            if key is not None and (key in versions or key.startswith(self._write_once_prefixes)):
                writes[key] = versions.get(key, 0), _canonical_json(op["v"])
        return writes

    async def _find_written_version(self, key: str, guard_version: int, value: bytes) -> int | None:
        entry = await self._kv_store.get(key, timeout=CONFIRM_TIMEOUT)
        if (
            entry is None
            or entry.version <= max(guard_version, self._leader_key_version)
            or _canonical_json(entry.value) != value
        ):
            return None
        # Read after it: until then nobody but this leader has written the key.
        leader = await self._kv_store.get(LEADER_KEY, timeout=CONFIRM_TIMEOUT)
        return entry.version if leader is not None and leader.version == self._leader_key_version else None


def _canonical_json(value: Any) -> bytes:
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS | orjson.OPT_NON_STR_KEYS)
