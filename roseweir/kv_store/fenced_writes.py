"""Fenced writes: keys that only the leader writes, guarded by the leader's key and by their own versions.

Only values that differ from the stored ones are written. A write without an answer may have been carried out, or may be
later: the version of its key is read before the next write, and the guard lets only one of the attempts succeed. A
version is never used again, except 0. A key that was to be created by an unanswered write, was created by the next one
and deleted later, was created once more as the first write was carried out late. So this leader does not delete such a
key. The next leader does: its election makes every write that is still in flight fail.
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
# What a key adds to a transaction's size beside its name and value, at most.
KEY_OVERHEAD_BYTES = 64


class FencedWriter:
    """Writes the keys of one record (a set of keys with one owner) for one leader.

    Attributes:
        key_versions: The versions of the record's keys, as far as known; a key that is not there does not exist.
    """

    def __init__(self, kv_store: KeyValueStoreClient, leader_key_version: int, record_name: str) -> None:
        """Begin with an empty record; `record_name` names it in errors and log lines."""
        self.kv_store = kv_store
        self.leader_key_version = leader_key_version
        self.key_versions: dict[str, int] = {}
        self._leader_transactions = LeaderTransactions(kv_store, leader_key_version)
        self._record_name = record_name
        self._stored_values: dict[str, bytes] = {}
        self._uncertain_keys: set[str] = set()
        self._possibly_created_keys: set[str] = set()  # by a write that found no such key, and is still in flight

    def load(self, entries: list[Entry]) -> None:
        """Take over the record's entries as stored when this leader was elected."""
        self.key_versions = {entry.key: entry.version for entry in entries}
        self._stored_values = {entry.key: orjson.dumps(entry.value) for entry in entries}

    def changed_values(self, values: dict[str, Any]) -> dict[str, Any]:
        """Return the values that differ from the stored ones.

        An empty value of a key that does not exist is no change.
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
        """Write keys in their order, in as few transactions as they fit. A value of None deletes its key.

        Raises:
            ValueTooLarge: The store refuses a value by itself; all other keys are written.
            LeadershipLost: Another node leads.
            StoreError, Unreachable: A transaction failed; keys after it are not written.
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
        """Write a batch, in halves where the store refuses it as too large; return the refusals of single keys."""
        try:
            await self.write(batch)
        except ValueTooLarge as e:
            keys = list(batch)
            if len(keys) == 1:
                log.warning("value refused as too large: record=%s key=%s", self._record_name, keys[0])
                return [e]
            half = len(keys) // 2
            refused_first = await self._write_or_split({key: batch[key] for key in keys[:half]})
            return refused_first + await self._write_or_split({key: batch[key] for key in keys[half:]})
        return []

    async def refresh_version(self, key: str) -> None:
        """Read the version of a key that an unanswered write may have changed; no request for any other key."""
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
        """Write these keys in one transaction, with further guards and operations beside them.

        Raises:
            LeadershipLost: Another node leads.
            CompareFailed: Only further guards failed; nothing was changed.
            ValueTooLarge: Nothing was changed.
            StoreError, Unreachable: The keys' versions are uncertain, and are read before they are written again.
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
        except CompareFailed as e:
            if LEADER_KEY in e.failed_keys:
                raise LeadershipLost("the leader's key has changed") from e
            if batch.keys() & set(e.failed_keys):
                self._uncertain_keys |= batch.keys()
                raise StoreError(f"{self._record_name}: record out of date: {', '.join(e.failed_keys)}") from e
            raise
        except ValueTooLarge:
            raise  # nothing was changed, and no version has become uncertain
        except (StoreError, Unreachable) as e:
            self._record_uncertain_write(batch, e)
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
