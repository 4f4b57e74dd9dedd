"""Which jobs live, as new as each question: one read of the state service answers all polls that wait.

No answer may be older than one that any node has given. A watch that returns at once tells all changes up to
its sending, so one sent after a poll came in is a fresh read, and it serves every poll that came before it.
With a read for each poll, a swarm of a thousand small jobs polled the state service out of its limit, and the
leader's renewals and records were refused with the polls.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from roseweir.clock import NEVER, monotonic_now, seconds, sleep, wait_at_most
from roseweir.http import Unreachable
from roseweir.kv_store import KeyValueStoreClient, StoreError
from roseweir.kv_store.client import RateLimiter
from roseweir.submissions.jobs import LIVE_JOB_PREFIX
from roseweir.submissions.live_job_index import LiveJobIndex

# The part of the state service's requests that all nodes together may spend on reads for polls.
POLL_READ_SHARE = 0.3
# A lookup of an unanswered write does not wait for its turn among the polls: so much more may be spent on these.
LOOKUP_READ_SHARE = 0.05
# Without polls the view is brought up to date this often, so that no answer has to hold much.
IDLE_REFRESH_INTERVAL = timedelta(seconds=5)
# An answer that took longer, or was left lying while this node stood still, is not fresh any more.
MAX_READ_DURATION = timedelta(seconds=1.5)
# No job has this name.
NO_JOB_ID = ""

# Tasks done and running of these jobs, as far as the leader can tell.
ProgressLookup = Callable[[list[str]], Awaitable[dict[str, tuple[int, int]]]]


@dataclass(frozen=True, slots=True)
class JobLiveness:
    """Whether a job lives, as of a revision of the state service that is no older than the question."""

    is_live: bool
    revision: int


class LiveJobCache:
    def __init__(self, kv_store: KeyValueStoreClient, node_count: int, progress_lookup: ProgressLookup) -> None:
        self.kv_store = kv_store
        self._progress_lookup = progress_lookup
        self._read_interval = seconds(node_count / (kv_store.settings.max_requests_per_s * POLL_READ_SHARE))
        self.live_jobs = LiveJobIndex()
        # When the read was sent that the view is as new as.
        self.read_at = NEVER
        self._revision: int | None = None
        self._pending_polls: list[tuple[str, asyncio.Future[tuple[int, int] | None]]] = []
        self._pending_lookups: list[tuple[str, asyncio.Future[JobLiveness]]] = []
        self._lookup_rate_limiter = RateLimiter(kv_store.settings.max_requests_per_s * LOOKUP_READ_SHARE / node_count)
        self._request_pending, self._lookup_urgent = asyncio.Event(), asyncio.Event()
        self._answer_task: asyncio.Task[None] | None = None

    async def read_progress(self, job_id: str) -> tuple[int, int] | None:
        """Tasks done and running of a job that lives; None if it does not."""
        future: asyncio.Future[tuple[int, int] | None] = asyncio.get_running_loop().create_future()
        self._pending_polls.append((job_id, future))
        self._request_pending.set()
        return await future

    async def read_liveness(self, job_id: str) -> JobLiveness:
        """Whether a job lives, by a fresh read; without its progress, for which the leader would have to be asked."""
        future: asyncio.Future[JobLiveness] = asyncio.get_running_loop().create_future()
        self._pending_lookups.append((job_id, future))
        if self._lookup_rate_limiter.try_acquire():
            self._lookup_urgent.set()
        self._request_pending.set()
        return await future

    async def wait_for_refresh(self) -> None:
        """Until the view is as new as this call."""
        await self.read_liveness(NO_JOB_ID)

    async def run(self) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                await wait_at_most(IDLE_REFRESH_INTERVAL, self._request_pending.wait())
                self._request_pending.clear()
                self._lookup_urgent.clear()
                if self._answer_task is not None and not self._pending_lookups:
                    await sleep(self._read_interval)
                    continue
                lookups, self._pending_lookups = self._pending_lookups, []
                polls: list[tuple[str, asyncio.Future[tuple[int, int] | None]]] = []
                if self._answer_task is None:  # else these polls are for the next read: the leader is being asked
                    polls, self._pending_polls = self._pending_polls, []
                try:
                    revision = await self._read_fresh()
                except (StoreError, Unreachable) as e:
                    for future in [each for _, each in polls] + [each for _, each in lookups]:
                        if not future.done():
                            future.set_exception(e)
                else:
                    for job_id, lookup in lookups:
                        if not lookup.done():
                            lookup.set_result(JobLiveness(job_id in self.live_jobs, revision))
                    if polls:
                        self._answer_task = group.create_task(self._answer_polls(polls))
                        self._answer_task.add_done_callback(self._on_polls_answered)
                await wait_at_most(self._read_interval, self._lookup_urgent.wait())

    def _on_polls_answered(self, _: "asyncio.Task[None]") -> None:
        self._answer_task = None
        if self._pending_polls:
            self._request_pending.set()

    async def _read_fresh(self) -> int:
        """Bring the view up to date; the revision that it has reached. Trouble if that took too long."""
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
        # The revision is from before the first page: what changes meanwhile is told by the next watch.
        entries, revision = await self.kv_store.scan(LIVE_JOB_PREFIX)
        self.live_jobs.replace_all({entry.key.removeprefix(LIVE_JOB_PREFIX): entry.value for entry in entries})
        self._revision = revision

    async def _answer_polls(self, polls: list[tuple[str, "asyncio.Future[tuple[int, int] | None]"]]) -> None:
        live_job_ids = sorted({job_id for job_id, future in polls if job_id in self.live_jobs and not future.done()})
        task_counts = await self._progress_lookup(live_job_ids) if live_job_ids else {}
        for job_id, future in polls:
            if not future.done():
                future.set_result(task_counts.get(job_id, (0, 0)) if job_id in self.live_jobs else None)
