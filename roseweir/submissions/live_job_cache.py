"""A cache of the live jobs, refreshed for each batch of polls by one read of the key-value store.

No answer may be older than one that any node has given. A watch that returns at once includes all changes up to the
moment it was sent, so a watch that was sent after a poll arrived is a fresh read for this poll and all earlier ones.
With one read per poll, the polls of a thousand small jobs exceeded the store's rate limit, and the store refused the
leader's lease renewals and log writes as well.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from roseweir.clock import NEVER, monotonic_now, seconds, sleep, wait_at_most
from roseweir.http import Unreachable
from roseweir.kv_store import KeyValueStoreClient, StoreError
from roseweir.kv_store.client import RateLimiter
from roseweir.submissions.jobs import LIVE_JOB_PREFIX
from roseweir.submissions.live_job_index import LiveJobIndex

# The share of the key-value store's request rate that all nodes together may spend on reads for polls.
POLL_READ_SHARE = 0.3
# The additional share for lookups that confirm unanswered writes, which do not wait for the next read for polls.
LOOKUP_READ_SHARE = 0.05
# Without requests, the cache is refreshed at this interval, so that no watch has to return many changes.
IDLE_REFRESH_INTERVAL = timedelta(seconds=5)
# A read that takes longer, or whose answer waits while this process is paused, does not count as fresh.
MAX_READ_DURATION = timedelta(seconds=1.5)
# The id of no job, for lookups that only wait for a fresh read.
NO_JOB_ID = ""

# Requests the counts of done and running tasks by job id from the leader; jobs unknown to the leader are omitted.
ProgressLookup = Callable[[list[str]], Awaitable[dict[str, tuple[int, int]]]]


@dataclass(frozen=True, slots=True)
class JobLiveness:
    """Whether a job is live, as of a revision of the key-value store that is no older than the request."""

    is_live: bool
    revision: int


class PendingPoll(NamedTuple):
    """A poll that waits for a fresh read, and then for the leader's counts of tasks done and running."""

    job_id: str
    future: "asyncio.Future[tuple[int, int] | None]"


class PendingLookup(NamedTuple):
    """A lookup that waits for a fresh read."""

    job_id: str
    future: "asyncio.Future[JobLiveness]"


class LiveJobCache:
    """Answers polls and lookups in batches, each after a read that was sent when its requests had arrived.

    Attributes:
        live_jobs: The live jobs as of the last read.
        read_at: When that read was sent (monotonic).
    """

    def __init__(self, kv_store: KeyValueStoreClient, node_count: int, progress_lookup: ProgressLookup) -> None:
        """Share the rate limit of `kv_store` among `node_count` nodes; `progress_lookup` requests task counts."""
        self.kv_store = kv_store
        self._progress_lookup = progress_lookup
        self._read_interval = seconds(node_count / (kv_store.settings.max_requests_per_s * POLL_READ_SHARE))
        self.live_jobs = LiveJobIndex()
        self.read_at = NEVER
        self._revision: int | None = None
        self._pending_polls: list[PendingPoll] = []
        self._pending_lookups: list[PendingLookup] = []
        self._lookup_rate_limiter = RateLimiter(kv_store.settings.max_requests_per_s * LOOKUP_READ_SHARE / node_count)
        self._request_pending, self._lookup_urgent = asyncio.Event(), asyncio.Event()
        self._answer_task: asyncio.Task[None] | None = None

    async def read_progress(self, job_id: str) -> tuple[int, int] | None:
        """Return the counts of a live job's tasks, done and running; None if the job is not live.

        Raises:
            StoreError, Unreachable: the read failed or took too long.
        """
        future: asyncio.Future[tuple[int, int] | None] = asyncio.get_running_loop().create_future()
        self._pending_polls.append(PendingPoll(job_id, future))
        self._request_pending.set()
        return await future

    async def read_liveness(self, job_id: str) -> JobLiveness:
        """Return whether a job is live, by a fresh read, without asking the leader for its progress.

        Raises:
            StoreError, Unreachable: the read failed or took too long.
        """
        future: asyncio.Future[JobLiveness] = asyncio.get_running_loop().create_future()
        self._pending_lookups.append(PendingLookup(job_id, future))
        if self._lookup_rate_limiter.try_acquire():
            self._lookup_urgent.set()
        self._request_pending.set()
        return await future

    async def wait_for_refresh(self) -> None:
        """Wait for a read that is sent after this call; raises the same errors as `read_liveness`."""
        await self.read_liveness(NO_JOB_ID)

    async def run(self) -> None:
        """Refresh the cache and answer pending requests; never returns."""
        async with asyncio.TaskGroup() as group:
            while True:
                await wait_at_most(IDLE_REFRESH_INTERVAL, self._request_pending.wait())
                self._request_pending.clear()
                self._lookup_urgent.clear()
                if self._answer_task is not None and not self._pending_lookups:
                    await sleep(self._read_interval)
                    continue
                lookups, polls = self._take_batch()
                try:
                    revision = await self._read_fresh()
                except (StoreError, Unreachable) as e:
                    _fail_batch(polls, lookups, e)
                else:
                    self._resolve_lookups(lookups, revision)
                    if polls:
                        self._answer_task = group.create_task(self._answer_polls(polls))
                        self._answer_task.add_done_callback(self._on_polls_answered)
                await wait_at_most(self._read_interval, self._lookup_urgent.wait())

    def _take_batch(self) -> tuple[list[PendingLookup], list[PendingPoll]]:
        """Take the requests that the next read answers; polls only if no earlier batch of polls awaits the leader."""
        lookups, self._pending_lookups = self._pending_lookups, []
        polls: list[PendingPoll] = []
        if self._answer_task is None:
            polls, self._pending_polls = self._pending_polls, []
        return lookups, polls

    def _resolve_lookups(self, lookups: list[PendingLookup], revision: int) -> None:
        for job_id, future in lookups:
            if not future.done():
                future.set_result(JobLiveness(job_id in self.live_jobs, revision))

    def _on_polls_answered(self, _: "asyncio.Task[None]") -> None:
        self._answer_task = None
        if self._pending_polls:
            self._request_pending.set()

    async def _read_fresh(self) -> int:
        """Refresh the cache and return its revision; StoreError if the read took too long."""
        sent_at = monotonic_now()
        await self._refresh()
        if monotonic_now() - sent_at > MAX_READ_DURATION or self._revision is None:
            raise StoreError("the read took too long")
        self.read_at = sent_at
        return self._revision

    async def _refresh(self) -> None:
        if self._revision is not None:
            changes = await self.kv_store.watch(
                LIVE_JOB_PREFIX, self._revision, timedelta(0), timeout=MAX_READ_DURATION
            )
            if changes is not None:
                events, self._revision = changes
                for event in events:
                    job_id = event.key.removeprefix(LIVE_JOB_PREFIX)
                    if event.value is None:
                        self.live_jobs.discard(job_id)
                    else:
                        self.live_jobs.add(job_id, event.value)
                return
        self._revision = None
        # The revision is from before the first page, so the next watch returns the changes made during the scan.
        entries, revision = await self.kv_store.scan(LIVE_JOB_PREFIX)
        self.live_jobs.replace_all({entry.key.removeprefix(LIVE_JOB_PREFIX): entry.value for entry in entries})
        self._revision = revision

    async def _answer_polls(self, polls: list[PendingPoll]) -> None:
        live_job_ids = sorted({job_id for job_id, future in polls if job_id in self.live_jobs and not future.done()})
        task_counts = await self._progress_lookup(live_job_ids) if live_job_ids else {}
        for job_id, future in polls:
            if not future.done():
                future.set_result(task_counts.get(job_id, (0, 0)) if job_id in self.live_jobs else None)


def _fail_batch(polls: list[PendingPoll], lookups: list[PendingLookup], error: StoreError | Unreachable) -> None:
    for future in [poll.future for poll in polls] + [lookup.future for lookup in lookups]:
        if not future.done():
            future.set_exception(error)
