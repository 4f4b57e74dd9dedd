"""The demand history in the key-value store: `demand/DAY/HOUR`, a ring of hours.

Each write is a compare-and-swap on the versions of the leader key and of the block, and contains the revision up to
which jobs have been counted. So a late write of a former leader fails, and its successor counts exactly the jobs that
no written block has counted.
"""

import logging

from roseweir.clock import seconds, sleep
from roseweir.forecast.demand_history import Block, DemandHistory, InvalidStoredBlock
from roseweir.http import Unreachable
from roseweir.kv_store import CompareFailed, KeyValueStoreClient, StoreError
from roseweir.kv_store.errors import LeadershipLost
from roseweir.kv_store.operations import put
from roseweir.leader_election.messages import LEADER_KEY

log = logging.getLogger(__name__)

KEY_PREFIX = "demand/"
BLOCKS_PER_DAY = 24
# Share of the value size limit that a block may use, since the store may encode the value to more bytes.
MAX_VALUE_FILL = 0.9
# Pause between reads, so that loading leaves enough of the store's request rate to recovery, heartbeats and users.
READ_INTERVAL = seconds(0.05)
RETRY_INTERVAL = seconds(1)
# Invalid blocks that are logged in one load; a leader of another version may have written many.
MAX_LOGGED_INVALID_BLOCKS = 3


class DemandHistoryStore:
    def __init__(self, kv_store: KeyValueStoreClient, history: DemandHistory, leader_key_version: int) -> None:
        self.kv_store = kv_store
        self.history = history
        self.leader_key_version = leader_key_version
        self.invalid_block_count = 0
        self.write_count = 0
        # Versions of keys as last read, for blocks not yet written: a key may hold an older round or an invalid value.
        self._key_revisions: dict[str, int] = {}

    @property
    def max_keys(self) -> int:
        return self.history.days * BLOCKS_PER_DAY

    def block_key(self, block_number: int) -> str:
        day, hour = divmod(block_number, BLOCKS_PER_DAY)
        return f"{KEY_PREFIX}{day % self.history.days:03d}/{hour:02d}"

    async def load(self, wall_s: float) -> None:
        """Read the whole ring, one day at a time; a failed read is retried from the same day."""
        day = 0
        while day < self.history.days:
            try:
                entries, _ = await self.kv_store.scan(f"{KEY_PREFIX}{day:03d}/")
            except (StoreError, Unreachable) as e:
                log.info("demand history not read; retrying: error=%s", e)
                await sleep(RETRY_INTERVAL)
                continue
            for entry in entries:
                self._key_revisions[entry.key] = entry.version
                try:
                    self.history.load_block(entry.value, entry.version, wall_s, entry.key, self.block_key)
                except InvalidStoredBlock as e:
                    self.invalid_block_count += 1
                    if self.invalid_block_count <= MAX_LOGGED_INVALID_BLOCKS:
                        log.warning("invalid demand history block ignored: key=%s error=%s", entry.key, e)
            day += 1
            await sleep(READ_INTERVAL)

    async def save(self) -> None:
        """Write the changed blocks, one at a time. Raises LeadershipLost if the leader key has changed."""
        max_bytes = int(self.kv_store.transaction_limits.max_value_bytes * MAX_VALUE_FILL)
        for block in self.history.dirty_blocks():
            await self._save_block(block, max_bytes)

    async def _save_block(self, block: Block, max_bytes: int) -> None:
        key = self.block_key(block.number)
        value = self.history.encode(block, max_bytes)
        revision = block.revision or self._key_revisions.get(key, 0)
        block.is_dirty = False  # a job counted during the write marks it dirty again
        try:
            block.revision = await self.kv_store.compare_and_swap(
                [(LEADER_KEY, self.leader_key_version), (key, revision)], [put(key, value)]
            )
            self.write_count += 1
        except CompareFailed as e:
            block.is_dirty = True
            if LEADER_KEY in e.failed_keys:
                raise LeadershipLost("the leader's key has changed") from e
            await self._refresh_block_revision(key, block)
        except (StoreError, Unreachable) as e:
            # The write may be applied already or later; the version check lets only one attempt succeed.
            block.is_dirty = True
            log.info("demand history not written; retrying at the next save: error=%s", e)

    async def _refresh_block_revision(self, key: str, block: Block) -> None:
        """Read the key's version again; only an unanswered write of this leader can have changed it.

        Writes of earlier leaders have failed since this leader's election.
        """
        try:
            entry = await self.kv_store.get(key)
        except (StoreError, Unreachable):
            return
        block.revision = 0
        self._key_revisions[key] = 0 if entry is None else entry.version
