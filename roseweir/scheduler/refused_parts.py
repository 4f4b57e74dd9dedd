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
    """Finds the part over which batches are refused when the refusal itself does not tell.

    All parts of such a batch become suspects, and each later batch takes one of them at most, until it is known which
    part is refused. That one alone is held back, until REFUSAL_RETRY_INTERVAL has passed.
    """

    def __init__(self) -> None:
        """Start without suspects."""
        self._suspect_part_keys: set[str] = set()
        self._refused_until: dict[str, datetime] = {}

    def try_add(self, batch: LogBatch, part_key: str) -> bool:
        """Return whether the part with this key may go with the batch; if so, it counts as one of the batch's parts."""
        refused_until = self._refused_until.get(part_key)
        if refused_until is not None and monotonic_now() < refused_until:
            return False
        if part_key in self._suspect_part_keys:
            if batch.suspect_key is not None:
                return False
            batch.suspect_key = part_key
        batch.part_keys.append(part_key)
        return True

    def record_committed(self, batch: LogBatch) -> None:
        """Clear the parts of a batch that was written."""
        self._suspect_part_keys.difference_update(batch.part_keys)

    def record_refusal(self, batch: LogBatch, error: ValueTooLarge) -> None:
        """Hold back the refused part of a batch, or suspect all of its parts.

        Nothing is done if the refusal has lowered the transaction limits: the next batches obey those.
        """
        if error.is_limit_lowered:
            return
        refused_part_key = batch.suspect_key or (batch.part_keys[0] if len(batch.part_keys) == 1 else None)
        if refused_part_key is None:
            self._suspect_part_keys.update(batch.part_keys)
            return
        self._suspect_part_keys.discard(refused_part_key)
        self._refused_until[refused_part_key] = monotonic_now() + REFUSAL_RETRY_INTERVAL
        log.warning("log part refused: key=%s error=%s", refused_part_key, error)
