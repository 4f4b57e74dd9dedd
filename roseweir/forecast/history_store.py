"""The demand history in the state service: `demand/DAY/HOUR`, a ring of hours.

Every write is guarded by the leader's key and by the block's own version, and carries the revision up to
which jobs have been counted. So a former leader's late write changes nothing, and a successor counts exactly
those jobs that no written block has counted.
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
# Of a value, for a block: the service may count its bytes in another way.
MAX_VALUE_FILL = 0.9
# Reading the ring must leave the state service to rebuilding, reports and users.
READ_INTERVAL = seconds(0.05)
RETRY_INTERVAL = seconds(1)
# What a leader of another make may have left there is logged so many times in a reading.
MAX_LOGGED_INVALID_BLOCKS = 3


class DemandHistoryStore:
    def __init__(self, kv_store: KeyValueStoreClient, history: DemandHistory, leader_key_version: int) -> None:
        self.kv_store = kv_store
        self.history = history
        self.leader_key_version = leader_key_version
        self.invalid_block_count = 0
        self.write_count = 0
        # Versions of keys that hold something else than their block now: an older round, or nonsense.
        self._key_revisions: dict[str, int] = {}

    @property
    def max_keys(self) -> int:
        return self.history.days * BLOCKS_PER_DAY

    def block_key(self, block_number: int) -> str:
        day, hour = divmod(block_number, BLOCKS_PER_DAY)
        return f"{KEY_PREFIX}{day % self.history.days:03d}/{hour:02d}"

    async def load(self, wall_s: float) -> None:
        """Read the whole ring, a day at a time: a try that fails goes on where it was."""
        day = 0
        while day < self.history.days:
            try:
                entries, _ = await self.kv_store.scan(f"{KEY_PREFIX}{day:03d}/")
            except (StoreError, Unreachable) as e:
                log.info("reading the demand history: %s", e)
                await sleep(RETRY_INTERVAL)
                continue
            for entry in entries:
                self._key_revisions[entry.key] = entry.version
                try:
                    self.history.load_block(entry.value, entry.version, wall_s, entry.key, self.block_key)
                except InvalidStoredBlock as e:
                    self.invalid_block_count += 1
                    if self.invalid_block_count <= MAX_LOGGED_INVALID_BLOCKS:
                        log.warning("%s is left out of the demand history: %s", entry.key, e)
            day += 1
            await sleep(READ_INTERVAL)

    async def save(self) -> None:
        """Write what has changed; Deposed if another leads. A block at a time: there are two at most."""
        max_bytes = int(self.kv_store.transaction_limits.max_value_bytes * MAX_VALUE_FILL)
        for block in self.history.dirty_blocks():
            await self._save_block(block, max_bytes)

    async def _save_block(self, block: Block, max_bytes: int) -> None:
        key = self.block_key(block.number)
        value = self.history.encode(block, max_bytes)
        revision = block.revision or self._key_revisions.get(key, 0)
        block.is_dirty = False  # what is counted while the write is under way makes it so again
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
            # It may have run or may run yet: its guard lets one of the tries count.
            block.is_dirty = True
            log.info("demand history not written: %s", e)

    async def _refresh_block_revision(self, key: str, block: Block) -> None:
        """Only this leader's own unanswered write can be there: earlier leaders' fail since its election."""
        try:
            entry = await self.kv_store.get(key)
        except (StoreError, Unreachable):
            return
        block.revision = 0
        self._key_revisions[key] = 0 if entry is None else entry.version
