"""Keys that one leader writes: guarded by the leader's key and their own versions, only where they differ.

A write without an answer may have run or may run yet: its key's version is read before the next write of it, and its
guard lets one of the tries count. A version is never used again, but 0 is: a key that was to be made by an unanswered
write, made by the next one and deleted later was made once more as the first was carried out. So such a key is not
deleted by this leader; the next one does it, whose election makes all that is still under way fail.
"""

import logging
from typing import Any

import orjson

from roseweir.http import Unreachable
from roseweir.kv_store.client import CompareFailed, Entry, KeyValueStoreClient, StoreError, ValueTooLarge, delete, put
from roseweir.kv_store.write_confirmation import LeaderTransactions
from roseweir.leader_election.messages import LEADER_KEY

log = logging.getLogger(__name__)

MAX_TXN_BYTES = 48 * 1024


class LeadershipLost(Exception):
    """Another leads."""


class FencedWriter:
    def __init__(self, kv_store: KeyValueStoreClient, leader_key_version: int, record_name: str) -> None:
        """`what`: whose record it is, for messages."""
        self.kv_store = kv_store
        self.leader_key_version = leader_key_version
        self.key_versions: dict[str, int] = {}
        self._leader_transactions = LeaderTransactions(kv_store, leader_key_version)
        self._record_name = record_name
        self._stored_values: dict[str, bytes] = {}
        self._uncertain_keys: set[str] = set()
        self._possibly_created_keys: set[str] = set()  # by a write that found no such key, and is still under way

    def load(self, entries: list[Entry]) -> None:
        """What is there as this leader begins."""
        self.key_versions = {entry.key: entry.version for entry in entries}
        self._stored_values = {entry.key: orjson.dumps(entry.value) for entry in entries}

    def changed_values(self, values: dict[str, Any]) -> dict[str, Any]:
        """Those that differ from what is there; an empty one that is not there is no change."""
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
        """Write keys in their order, as few transactions as they fit. None deletes. Trouble, Unreachable or Deposed.

        TooLarge once all others are written, if the state service refuses a value by itself.
        """
        refused: list[ValueTooLarge] = []
        batch: dict[str, Any] = {}
        batch_bytes = 0
        for key, value in changes.items():
            if value is None and key in self._possibly_created_keys:
                continue
            await self.refresh_version(key)
            entry_bytes = len(orjson.dumps(value)) + len(key) + 64
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
        """One transaction, or halves of it in their order where the state service refuses it; what it refuses alone."""
        try:
            await self.write(batch)
        except ValueTooLarge as e:
            keys = list(batch)
            if len(keys) == 1:
                log.warning("%s: refused as too large for the state service: %s", self._record_name, keys[0])
                return [e]
            half = len(keys) // 2
            refused_first = await self._write_or_split({key: batch[key] for key in keys[:half]})
            return refused_first + await self._write_or_split({key: batch[key] for key in keys[half:]})
        return []

    async def refresh_version(self, key: str) -> None:
        """Learn the version that an unanswered write may have left behind."""
        if key in self._uncertain_keys:
            entry = await self.kv_store.get(key)
            self.key_versions[key] = 0 if entry is None else entry.version
            self._uncertain_keys.discard(key)

    async def write(
        self,
        batch: dict[str, Any],
        guards: list[tuple[str, int]] | None = None,
        ops: list[dict[str, Any]] | None = None,
    ) -> None:
        """One transaction of these keys, with more guards and changes beside. Conflict if only one of those fails."""
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
            raise  # nothing was changed, and no version has become unsure
        except (StoreError, Unreachable) as e:
            self._uncertain_keys |= batch.keys()
            if isinstance(e, Unreachable):
                self._possibly_created_keys |= {
                    key for key, value in batch.items() if value and not self.key_versions.get(key, 0)
                }
            raise
        for key, value in batch.items():
            if value is None:
                self.key_versions.pop(key, None)
                self._stored_values.pop(key, None)
            else:
                self.key_versions[key] = revision
                self._stored_values[key] = orjson.dumps(value)
