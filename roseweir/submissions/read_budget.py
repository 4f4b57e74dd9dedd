"""How many requests this node may send to the state service for users' questions.

A flood of polls must leave the state service to renewals and records.
"""

from collections import OrderedDict

from roseweir.kv_store.client import RateLimiter
from roseweir.submissions.errors import ReadBudgetExhausted

# The part of the state service's requests that this node may spend on reads for polls, what of it is for jobs that were
# refused one before, and how many of these it remembers.
READ_SHARE, RETRIED_READ_SHARE, MAX_REFUSED_JOBS = 0.25, 0.05, 4096


class ReadBudget:
    def __init__(self, requests_per_second: float) -> None:
        self._read_rate_limiter = RateLimiter(requests_per_second * (READ_SHARE - RETRIED_READ_SHARE))
        # Whoever was refused a read has some of them left to it: a flood of questions about one job after another
        # could keep any one job without an answer for as long as it lasts.
        self._retried_read_rate_limiter = RateLimiter(requests_per_second * RETRIED_READ_SHARE)
        self._refused_job_ids: OrderedDict[str, None] = OrderedDict()

    def spend(self, job_id: str) -> None:
        """One request for the sake of a question about this job, or RateLimited."""
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
        """Take so many at once; False if there are not so many to take."""
        return self._read_rate_limiter.try_acquire(request_count)
