"""Reads the terminal states of completed jobs and caches them.

A terminal state never changes, so it is read once, and one call reads for all calls that wait: after a start, a node
gets requests about many jobs at once, each of which depends on jobs whose states it has not read. A few states are read
one by one. Many are read by pages of the completed jobs, each page starting at the first id that is still to be read.
Thousands of ids then take tens of requests, and never more requests than ids. Pages are short until one shows that they
contain many of the ids to read.
"""

import asyncio
from collections.abc import Callable, Collection, MutableMapping

from roseweir.kv_store import KeyValueStoreClient
from roseweir.kv_store.client import MAX_PAGE_KEYS
from roseweir.submissions.errors import ReadBudgetExhausted
from roseweir.submissions.jobs import COMPLETED_JOB_PREFIX, decode_completed_job
from roseweir.submissions.read_budget import ReadBudget

# Up to this many jobs are read one by one.
MAX_SINGLE_READS = 16
# Pages that a call reads before the next waiting call may read.
MAX_PAGES_PER_TURN = 4
# Keys per short page.
SHORT_PAGE_LIMIT = 64
# A page of full length is read only if it is expected to contain at least this many of the ids to read.
MIN_EXPECTED_MATCHES = 16
# Maximum number of ids that calls read for each other; beyond that, each call reads only its own ids.
MAX_REQUESTED_IDS = 20_000


def key_suffix_just_before(job_id: str) -> str:
    """Return a string that sorts before the job id and after every job id that precedes it."""
    return job_id[:-1] + chr(ord(job_id[-1]) - 1) + "~"


class CompletedJobReader:
    """Reads terminal states; one call reads at a time, for all calls that wait.

    Attributes:
        terminal_states: "done" or "cancelled" by job id.
    """

    def __init__(
        self,
        kv_store: KeyValueStoreClient,
        *,
        terminal_states: MutableMapping[str, str],
        cache_state: Callable[[str, str], None],
        read_budget: ReadBudget,
    ) -> None:
        """Add states to `terminal_states` by calling `cache_state` with a job id and its terminal state."""
        self.terminal_states = terminal_states
        self._kv_store = kv_store
        self._cache_state = cache_state
        self._read_budget = read_budget
        # Held by the call that reads for all; afterwards, the other calls find most of their states in the cache.
        self._read_lock = asyncio.Lock()
        self._requested_ids: set[str] = set()

    async def read_states(self, job_ids: Collection[str], requesting_job_id: str) -> set[str]:
        """Read the terminal states of some of these jobs; return the jobs that have no completed key.

        One call may read only some of the states; the caller repeats the call for the rest.

        Raises:
            ReadBudgetExhausted: this node may send no further read now.
            StoreError, Unreachable: the key-value store did not answer.
        """
        unread_ids = {job_id for job_id in job_ids if job_id not in self.terminal_states}
        if len(self._requested_ids) + len(unread_ids) <= MAX_REQUESTED_IDS:
            self._requested_ids |= unread_ids
        async with self._read_lock:
            still_unread_ids = {job_id for job_id in unread_ids if job_id not in self.terminal_states}
            if not still_unread_ids:
                return set()
            ids_to_read = sorted(
                still_unread_ids | {job_id for job_id in self._requested_ids if job_id not in self.terminal_states}
            )
            absent_ids = await (
                self._read_pages(ids_to_read, requesting_job_id)
                if len(ids_to_read) > MAX_SINGLE_READS
                else self._read_each(ids_to_read, requesting_job_id)
            )
            self._requested_ids = {
                job_id
                for job_id in self._requested_ids
                if job_id not in self.terminal_states and job_id not in absent_ids
            }
            # Each call reads jobs without a completed key itself, since the live jobs may have changed between calls.
            return absent_ids & still_unread_ids

    async def _read_each(self, job_ids: list[str], requesting_job_id: str) -> set[str]:
        job_ids = self._limit_to_budget(job_ids, requesting_job_id)
        entries = await self._kv_store.get_many(COMPLETED_JOB_PREFIX + job_id for job_id in job_ids)
        absent_ids: set[str] = set()
        for job_id in job_ids:
            entry = entries[COMPLETED_JOB_PREFIX + job_id]
            if entry is None:
                absent_ids.add(job_id)
            else:
                self._cache_state(job_id, decode_completed_job(entry.value).state)
        return absent_ids

    def _limit_to_budget(self, job_ids: list[str], requesting_job_id: str) -> list[str]:
        """Return as many of the ids as the read budget allows; ReadBudgetExhausted if it allows none."""
        for count in range(len(job_ids)):
            try:
                self._read_budget.spend(requesting_job_id)
            except ReadBudgetExhausted:
                if count == 0:
                    raise
                return job_ids[:count]
        return job_ids

    async def _read_pages(self, job_ids: list[str], requesting_job_id: str) -> set[str]:
        absent_ids: set[str] = set()
        position, limit = 0, SHORT_PAGE_LIMIT
        for page_number in range(MAX_PAGES_PER_TURN):
            if position >= len(job_ids):
                break
            try:
                self._read_budget.spend(requesting_job_id)
            except ReadBudgetExhausted:
                if page_number == 0:
                    raise
                break
            page = await self._kv_store.scan_page(
                COMPLETED_JOB_PREFIX, COMPLETED_JOB_PREFIX + key_suffix_just_before(job_ids[position]), limit
            )
            stored_by_id = {entry.key.removeprefix(COMPLETED_JOB_PREFIX): entry.value for entry in page.entries}
            last_job_id = page.entries[-1].key.removeprefix(COMPLETED_JOB_PREFIX) if page.has_more else None
            page_start = position
            while position < len(job_ids) and (last_job_id is None or job_ids[position] <= last_job_id):
                job_id = job_ids[position]
                position += 1
                if job_id in stored_by_id:
                    self._cache_state(job_id, decode_completed_job(stored_by_id[job_id]).state)
                else:
                    absent_ids.add(job_id)
            limit = (
                MAX_PAGE_KEYS
                if (position - page_start) * MAX_PAGE_KEYS / limit >= MIN_EXPECTED_MATCHES
                else SHORT_PAGE_LIMIT
            )
        return absent_ids
