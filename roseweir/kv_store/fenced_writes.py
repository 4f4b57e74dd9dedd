"""Fenced writes: keys that only the leader writes, guarded by the leader's key and by their own versions.

Only values that differ from the stored ones are written. An unanswered write may have been executed, or may be executed
later, so the version of its key is read before the next write, and the guard lets only one of the two succeed. Versions
are never reused, except version 0 (no such key). If an unanswered write was to create a key, and the next write creates
it and a later one deletes it, a late execution of the unanswered write would create the key again. So this leader does
not delete such a key. The next leader can, since its election makes the guards of all writes still in flight fail.
"""

import logging
from typing import Any

import orjson

from roseweir.http import Unreachable
from roseweir.kv_store.client import KeyValueStoreClient
from roseweir.kv_store.errors import CompareFailed, LeadershipLost, StoreError, ValueTooLarge
from roseweir.kv_store.keys import LEADER_KEY
from roseweir.kv_store.operations import Guards, Operations, delete, put
from roseweir.kv_store.records import Entry
from roseweir.kv_store.write_confirmation import LeaderTransactions

__all__ = ["FencedWriter", "LeadershipLost"]  # other packages import the error from here

log = logging.getLogger(__name__)

MAX_TXN_BYTES = 48 * 1024
# Maximum bytes that a key adds to a transaction besides its name and value.
KEY_OVERHEAD_BYTES = 64


class FencedWriter:
    """Writes the keys of one record (a set of keys with one owner) for one leader.

    Attributes:
        key_versions: The known versions of the record's keys; keys that are missing here do not exist in the store.
    """

    def __init__(self, kv_store: KeyValueStoreClient, leader_key_version: int, record_name: str) -> None:
        """Begin with an empty record; errors and log lines contain `record_name`."""
        self.kv_store = kv_store
        self.leader_key_version = leader_key_version
        self.key_versions: dict[str, int] = {}
        self._leader_transactions = LeaderTransactions(kv_store, leader_key_version)
        self._record_name = record_name
        self._stored_values: dict[str, bytes] = {}
        self._uncertain_keys: set[str] = set()
        # Keys that an unanswered write with guard version 0 may still create.
        self._possibly_created_keys: set[str] = set()

    def load(self, entries: list[Entry]) -> None:
        """Load the record's entries as stored when this leader was elected."""
        self.key_versions = {entry.key: entry.version for entry in entries}
        self._stored_values = {entry.key: orjson.dumps(entry.value) for entry in entries}

    def changed_values(self, values: dict[str, Any]) -> dict[str, Any]:
        """Return the values that differ from the stored ones.

        An empty value does not differ from a key that does not exist.
        """
        changed: dict[str, Any] = {}
        for key, value in values.items():
            stored_value = self._stored_values.get(key)
            is_empty = value is None or not any(value.values())
            if (
                key in self._uncertain_keys
                or (stored_value is None and not is_empty)
                or (stored_value and orjson.dumps(value) != stored_value)
            ):
                changed[key] = value
        return changed

    async def save(self, changes: dict[str, Any]) -> None:
        """Write keys in their order, in as few transactions as possible. A value of None deletes its key.

        Raises:
            ValueTooLarge: The store refuses a value even in a transaction of its own; all other keys are written.
            LeadershipLost: Another node leads.
            StoreError, Unreachable: A transaction failed; the keys after it are not written.
        """
        refused: list[ValueTooLarge] = []
        batch: dict[str, Any] = {}
        batch_bytes = 0
        for key, value in changes.items():
            if value is None and key in self._possibly_created_keys:
                continue
            await self.refresh_version(key)
            entry_bytes = len(orjson.dumps(value)) + len(key) + KEY_OVERHEAD_BYTES
            if batch and (
                batch_bytes + entry_bytes > MAX_TXN_BYTES or len(batch) >= self.kv_store.transaction_limits.max_txn_ops
            ):
                refused += await self._write_or_split(batch)
                batch, batch_bytes = {}, 0
            batch[key] = value
            batch_bytes += entry_bytes
        if batch:
            refused += await self._write_or_split(batch)
        if refused:
            raise refused[0]

    async def _write_or_split(self, batch: dict[str, Any]) -> list[ValueTooLarge]:
        """Write a batch, split in halves if the store refuses it as too large; return the refusals of single keys."""
        try:
            await self.write(batch)
        except ValueTooLarge as error:
            keys = list(batch)
            if len(keys) == 1:
                log.warning("value refused as too large: record=%s key=%s", self._record_name, keys[0])
                return [error]
            half = len(keys) // 2
            refused_first = await self._write_or_split({key: batch[key] for key in keys[:half]})
            return refused_first + await self._write_or_split({key: batch[key] for key in keys[half:]})
        return []

    async def refresh_version(self, key: str) -> None:
        """Read the version of a key if an unanswered write may have changed it; otherwise send no request."""
        if key in self._uncertain_keys:
            entry = await self.kv_store.get(key)
            self.key_versions[key] = 0 if entry is None else entry.version
            self._uncertain_keys.discard(key)

    async def write(
        self,
        batch: dict[str, Any],
        guards: Guards | None = None,
        ops: Operations | None = None,
    ) -> None:
        """Write these keys in one transaction, together with additional guards and operations.

        Raises:
            LeadershipLost: Another node leads.
            CompareFailed: Only additional guards failed; nothing was changed.
            ValueTooLarge: The store refuses the transaction as too large; nothing was changed.
            StoreError, Unreachable: The keys' versions are uncertain, and are read before the next write.
        """
        fencing_guards = [
            (LEADER_KEY, self.leader_key_version),
            *((key, self.key_versions.get(key, 0)) for key in batch),
        ]
        key_ops = [
            put(key, value) if value is not None else delete(key)
            for key, value in batch.items()
            if value is not None or self.key_versions.get(key, 0)
        ]
        try:
            revision = await self._leader_transactions.commit(fencing_guards + (guards or []), key_ops + (ops or []))
        except CompareFailed as error:
            if LEADER_KEY in error.failed_keys:
                raise LeadershipLost("the leader's key has changed") from error
            if batch.keys() & set(error.failed_keys):
                self._uncertain_keys |= batch.keys()
                raise StoreError(f"{self._record_name}: record out of date: {', '.join(error.failed_keys)}") from error
            raise
        except ValueTooLarge:
            raise  # nothing was changed, and no version has become uncertain
        except (StoreError, Unreachable) as error:
            self._record_uncertain_write(batch, error)
            raise
        self._record_written(batch, revision)

    def _record_uncertain_write(self, batch: dict[str, Any], error: StoreError | Unreachable) -> None:
        self._uncertain_keys |= batch.keys()
        if isinstance(error, Unreachable):
            self._possibly_created_keys |= {
                key for key, value in batch.items() if value and not self.key_versions.get(key, 0)
            }

    def _record_written(self, batch: dict[str, Any], revision: int) -> None:
        for key, value in batch.items():
            if value is None:
                self.key_versions.pop(key, None)
                self._stored_values.pop(key, None)
            else:
                self.key_versions[key] = revision
                self._stored_values[key] = orjson.dumps(value)
