"""The known limits of the store on one transaction: initially the configured ones, lowered after refusals.

The store's limits may be lowered without notice. A refusal (400) shows that a value or the number of changes was too
large, but not which of the two, so one known limit after the other is lowered until transactions succeed. Known limits
are never raised: too low a limit only costs more transactions, while too high a limit makes the store refuse them.
"""

import logging

from roseweir.settings import MIN_TXN_OPS, MIN_VALUE_KIB, KeyValueStoreSettings

log = logging.getLogger(__name__)

MIN_VALUE_BYTES = int(MIN_VALUE_KIB * 1024)


class TransactionLimits:
    """The maximum size of a value, in bytes, and the maximum number of operations in one transaction."""

    def __init__(self, settings: KeyValueStoreSettings) -> None:
        """Start from the configured limits."""
        self.max_value_bytes = int(settings.max_value_kib * 1024)
        self.max_txn_ops = settings.max_txn_ops

    def lower_after_refusal(self, op_count: int, largest_bytes: int, is_value_named: bool) -> bool:
        """Lower a limit after a refused transaction; return False if the refusal shows nothing new.

        Args:
            op_count: Number of operations in the transaction.
            largest_bytes: Size of its largest value.
            is_value_named: Whether the answer's text mentions a value. The text is not part of the protocol, so it only
                decides which limit is lowered first.
        """
        if op_count > self.max_txn_ops or largest_bytes > self.max_value_bytes:
            return False  # sent before an earlier refusal lowered the limits
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
