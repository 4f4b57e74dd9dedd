"""Parts of the write-ahead log that the key-value store refuses: they are isolated so that the rest can be written."""

import logging
from datetime import datetime, timedelta

from roseweir.clock import monotonic_now
from roseweir.kv_store import ValueTooLarge
from roseweir.scheduler.log_batch import LogBatch

log = logging.getLogger(__name__)

# A part that the store refuses even by itself is tried again after this long.
REFUSAL_RETRY_INTERVAL = timedelta(seconds=10)


class RefusedParts:
    """Finds the part that causes the refusal of batches when the store's error does not identify it.

    All parts of a refused batch become suspects, and each later batch contains at most one suspect, until a refusal
    identifies the part. Only this part is then excluded from batches, for REFUSAL_RETRY_INTERVAL.
    """

    def __init__(self) -> None:
        """Start without suspects."""
        self._suspect_part_keys: set[str] = set()
        self._excluded_until: dict[str, datetime] = {}

    def try_add(self, batch: LogBatch, part_key: str) -> bool:
        """Add the key of a part to the batch's parts if the batch may contain it; return whether it was added."""
        excluded_until = self._excluded_until.get(part_key)
        if excluded_until is not None and monotonic_now() < excluded_until:
            return False
        if part_key in self._suspect_part_keys:
            if batch.suspect_key is not None:
                return False
            batch.suspect_key = part_key
        batch.part_keys.append(part_key)
        return True

    def record_committed(self, batch: LogBatch) -> None:
        """Remove the parts of a committed batch from the suspects."""
        self._suspect_part_keys.difference_update(batch.part_keys)

    def record_refusal(self, batch: LogBatch, error: ValueTooLarge) -> None:
        """Exclude the refused part of a batch, or suspect all of its parts if it is not identified.

        Does nothing if the refusal has lowered the transaction limits: later batches comply with them.
        """
        if error.is_limit_lowered:
            return
        refused_part_key = batch.suspect_key or (batch.part_keys[0] if len(batch.part_keys) == 1 else None)
        if refused_part_key is None:
            self._suspect_part_keys.update(batch.part_keys)
            return
        self._suspect_part_keys.discard(refused_part_key)
        self._excluded_until[refused_part_key] = monotonic_now() + REFUSAL_RETRY_INTERVAL
        log.warning("log part refused: key=%s error=%s", refused_part_key, error)
