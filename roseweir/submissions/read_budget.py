"""Limits the reads that this node sends to the key-value store for users' requests.

A flood of polls must not use up the store's request rate, which lease renewals and the write-ahead log need.
"""

from collections import OrderedDict

from roseweir.kv_store.client import RateLimiter
from roseweir.submissions.errors import ReadBudgetExhausted

# The share of the key-value store's request rate that this node may spend on reads for users.
READ_SHARE = 0.25
# The part of that share which is reserved for jobs that were refused a read before.
RETRIED_READ_SHARE = 0.05
# Maximum number of refused jobs that are recorded.
MAX_REFUSED_JOBS = 4096


class ReadBudget:
    """Two rate limiters: one for all requests, one for those about jobs that were refused before."""

    def __init__(self, requests_per_second: float) -> None:
        """Take shares of `requests_per_second`, the rate that the store allows."""
        self._read_rate_limiter = RateLimiter(requests_per_second * (READ_SHARE - RETRIED_READ_SHARE))
        # Without this reserve, a flood of polls about constantly different jobs could leave a single job unanswered for
        # as long as the flood lasts.
        self._retried_read_rate_limiter = RateLimiter(requests_per_second * RETRIED_READ_SHARE)
        self._refused_job_ids: OrderedDict[str, None] = OrderedDict()

    def spend(self, job_id: str) -> None:
        """Spend one request on this job; ReadBudgetExhausted if none is left."""
        if self._read_rate_limiter.try_acquire() or (
            job_id in self._refused_job_ids and self._retried_read_rate_limiter.try_acquire()
        ):
            self._refused_job_ids.pop(job_id, None)
            return
        self._refused_job_ids[job_id] = None
        if len(self._refused_job_ids) > MAX_REFUSED_JOBS:
            self._refused_job_ids.popitem(last=False)
        raise ReadBudgetExhausted

    def try_spend_many(self, request_count: int) -> bool:
        """Spend this many requests at once; if fewer are left, spend none and return False."""
        return self._read_rate_limiter.try_acquire(request_count)
