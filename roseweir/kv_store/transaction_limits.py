"""The store's limits on one transaction, as far as they are known: configured, or learnt from refusals.

The limits may fall without notice. A refusal (400) proves that a value or the number of changes was too large, though
not which of the two, so one is lowered after the other until transactions pass. They are never raised again: too
low a limit costs more transactions, too high a one is refused.
"""

import logging

from roseweir.settings import MIN_TXN_OPS, MIN_VALUE_KIB, KeyValueStoreSettings

log = logging.getLogger(__name__)

MIN_VALUE_BYTES = int(MIN_VALUE_KIB * 1024)


class TransactionLimits:
    """The largest value, in bytes, and the most operations that one transaction may have."""

    def __init__(self, settings: KeyValueStoreSettings) -> None:
        """Start from the configured limits."""
        self.max_value_bytes = int(settings.max_value_kib * 1024)
        self.max_txn_ops = settings.max_txn_ops

    def lower_after_refusal(self, op_count: int, largest_bytes: int, is_value_named: bool) -> bool:
        """Lower a limit after a refused transaction; return False if the refusal proves nothing new.

        Args:
            op_count: Operations in the transaction.
            largest_bytes: Bytes of its largest value.
            is_value_named: Whether the answer's text mentions a value. The wording is no part of the protocol: it only
                decides which limit is lowered first.
        """
        if op_count > self.max_txn_ops or largest_bytes > self.max_value_bytes:
            return False  # sent before an earlier refusal was learnt from
        if is_value_named:
            is_lowered = self._lower_value_limit(largest_bytes) or self._lower_ops_limit(op_count)
        else:
            is_lowered = self._lower_ops_limit(op_count) or self._lower_value_limit(largest_bytes)
        if is_lowered:
            log.warning(
                "transaction limits lowered: op_count=%d largest_bytes=%d max_value_bytes=%d max_txn_ops=%d",
                op_count,
                largest_bytes,
                self.max_value_bytes,
                self.max_txn_ops,
            )
        return is_lowered

    def _lower_value_limit(self, refused_bytes: int) -> bool:
        if refused_bytes <= MIN_VALUE_BYTES:
            return False
        while self.max_value_bytes >= refused_bytes:
            self.max_value_bytes //= 2
        self.max_value_bytes = max(MIN_VALUE_BYTES, self.max_value_bytes)
        return True

    def _lower_ops_limit(self, refused_op_count: int) -> bool:
        if refused_op_count <= MIN_TXN_OPS:
            return False
        self.max_txn_ops = max(MIN_TXN_OPS, refused_op_count // 2)
        return True
