"""All deltas of the write-ahead log: how full they are, and which of them takes new entries."""

from collections.abc import Iterator
from datetime import timedelta

from roseweir.clock import NEVER, monotonic_now
from roseweir.scheduler.log_delta import INITIAL_DELTA_COUNT, Delta, max_delta_count
from roseweir.scheduler.log_keys import delta_key
from roseweir.scheduler.log_segments import SegmentTable

# Pruning all deltas costs time for each of their entries. A delta that is written is pruned in any case.
PRUNE_INTERVAL = timedelta(milliseconds=500)
# Maximum fullness, as a share of its capacity, of a delta that is written as a batch's first one, or as a further one.
MAX_FIRST_DELTA_FULLNESS = 0.9
MAX_FURTHER_DELTA_FULLNESS = 0.5


class DeltaTable:
    """The deltas of the log.

    Attributes:
        deltas: All deltas, by number. An earlier leader may have stored more than INITIAL_DELTA_COUNT.
        max_value_bytes: Limit of the store on one value.
    """

    def __init__(self, segment_table: SegmentTable, max_value_bytes: int) -> None:
        """Create empty deltas with the capacity of a segment."""
        self.deltas = [Delta() for _ in range(INITIAL_DELTA_COUNT)]
        self.max_value_bytes = max_value_bytes
        self._segment_table = segment_table
        self._pruned_at = NEVER

    @property
    def capacity_bytes(self) -> int:
        """Size up to which one delta is filled."""
        return self._segment_table.fill_bytes

    def key_of(self, delta: Delta) -> str:
        """Return the key that a delta is stored under."""
        return delta_key(self.deltas.index(delta))

    def fullness(self) -> float:
        """Return the used share of the capacity of all deltas that the log may have."""
        max_deltas = max(len(self.deltas), max_delta_count(self.max_value_bytes))
        return sum(delta.size_bytes for delta in self.deltas) / (self.capacity_bytes * max_deltas)

    def by_free_space(self) -> Iterator[Delta]:
        """Yield the deltas, the emptiest first; before one over half full, new ones up to the maximum number."""
        max_deltas = max_delta_count(self.max_value_bytes)
        for delta in sorted(self.deltas, key=lambda delta: (delta.size_bytes, -delta.stale_entry_count)):
            while delta.size_bytes > self.capacity_bytes * MAX_FURTHER_DELTA_FULLNESS and len(self.deltas) < max_deltas:
                self.deltas.append(Delta())
                yield self.deltas[-1]
            yield delta

    def prune(self) -> None:
        """Prune all deltas, unless that was done within PRUNE_INTERVAL."""
        now = monotonic_now()
        if now - self._pruned_at >= PRUNE_INTERVAL:
            self._pruned_at = now
            for delta in self.deltas:
                delta.prune()
