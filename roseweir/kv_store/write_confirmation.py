"""Confirmation of writes by reads while their answer is pending, since a lost answer would delay all later writes.

A read can only prove that the transaction was executed. It can't prove the opposite: if the key does not exist or has
another value, the transaction may still be executed later.
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

# Delay before the first read that checks whether a write was executed. Most answers take less than 10 ms.
CONFIRM_DELAY = timedelta(milliseconds=60)
# Interval from the first to the second of these reads; it doubles each time.
CONFIRM_INTERVAL = timedelta(milliseconds=120)
# Timeout of one such read.
CONFIRM_TIMEOUT = timedelta(milliseconds=500)
# Delay after which an unconfirmed transaction is sent a second time, if that is harmless.
RESEND_DELAY = timedelta(milliseconds=400)

# Returns the revision at which a write was executed, or None if that is uncertain: it may still be executed later.
ConfirmWrite = Callable[[], Awaitable[int | None]]


async def commit_or_confirm(
    kv_store: KeyValueStoreClient, guards: Guards, ops: Operations, confirm: ConfirmWrite
) -> int:
    """Return or raise the outcome of `compare_and_swap`, or return the revision from `confirm` if that comes first."""
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
    """One leader's transactions on a set of keys that only the leader writes.

    Every transaction is guarded by the version of the leader's key. So while the leader's key is unchanged, only this
    leader can have written a version of another key that is newer than the transaction's guard. If its value is that of
    the transaction, this transaction was executed, unless an unconfirmed one has the same guard and value for the key.
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
                transaction writes each of them.
            may_resend: Whether a transaction may be sent twice. This requires that none of the keys is deleted and
                created again, so that an executed transaction can't be executed a second time.
        """
        self._kv_store = kv_store
        self._leader_key_version = leader_key_version
        self._write_once_prefixes = write_once_prefixes
        self._may_resend = may_resend
        # Guard version and value of each unanswered write, by key. Writes whose guards can't hold any more may be left
        # out.
        self._unconfirmed_writes: dict[str, set[tuple[int, bytes]]] = {}

    async def commit(self, guards: Guards, ops: Operations) -> int:
        """Commit and return the revision, which is the version of all written keys; errors as `compare_and_swap`."""
        writes = self._writes_by_key(guards, ops)
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
                # Attempts with other guard versions can't succeed any more, since no version except 0 is reused.
                self._unconfirmed_writes[key] = {attempt for attempt in attempts if attempt[0] in (0, version)} | {
                    (version, value)
                }
            raise

    async def _commit_with_resend(self, guards: Guards, ops: Operations, confirm: ConfirmWrite) -> int:
        """Send the transaction a second time if it is not confirmed in time. At most one of the two succeeds."""
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
        """Return the first revision, or raise an error if no attempt has one.

        Raises:
            CompareFailed: A guard failed, and no read confirms that another attempt succeeded.
            Unreachable: At least one attempt may have been executed.
            StoreError: No attempt was executed.
        """
        errors: list[Exception] = []
        for attempt in asyncio.as_completed(attempts):
            try:
                return await attempt
            except CompareFailed:
                # The other attempt may have succeeded. If it has not, its guards fail as well.
                revision = await self._confirm_or_none(confirm) if len(attempts) > 1 else None
                if revision is None:
                    raise
                return revision
            except (StoreError, Unreachable) as error:
                errors.append(error)
        raise next((e for e in errors if isinstance(e, Unreachable)), errors[0])

    @staticmethod
    async def _confirm_or_none(confirm: ConfirmWrite) -> int | None:
        try:
            return await confirm()
        except (StoreError, Unreachable):
            return None

    def _writes_by_key(self, guards: Guards, ops: Operations) -> dict[str, tuple[int, bytes]]:
        """Return the guard version and the value of each written key, by key."""
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
        # Read after the key itself: if the leader's key is unchanged, only this leader can have written the key.
        leader = await self._kv_store.get(LEADER_KEY, timeout=CONFIRM_TIMEOUT)
        return entry.version if leader is not None and leader.version == self._leader_key_version else None


def canonical_json(value: Any) -> bytes:
    """Encode a value so that equal values have equal encodings, regardless of the order of their fields."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS | orjson.OPT_NON_STR_KEYS)
