"""Accepts validated submissions: checks their dependencies and makes their durable records.

A job is accepted exactly once. Whoever submits a known id again gets its present state, whatever else the request says.
"""

import asyncio
import logging
from datetime import timedelta
from typing import NamedTuple

import msgspec

from roseweir.clock import monotonic_now
from roseweir.http import Unreachable
from roseweir.kv_store import CompareFailed, StoreError
from roseweir.kv_store.client import RateLimiter, gather_all, put
from roseweir.kv_store.group_commit import GroupCommitter
from roseweir.settings import Settings
from roseweir.submissions.cancellation_propagation import CancellationResolver, DependencyIds
from roseweir.submissions.dependency_storage import fits_job_record, split_dependencies
from roseweir.submissions.dependency_validation import DependencyValidator
from roseweir.submissions.errors import ReadBudgetExhausted, SubmissionRejected
from roseweir.submissions.idempotency import WriteConfirmations
from roseweir.submissions.job_status import JobStatus, JobStatusReader
from roseweir.submissions.jobs import COMPLETED_JOB_PREFIX, LIVE_JOB_PREFIX, JobSpec, completed_job, to_stored
from roseweir.submissions.live_job_cache import LiveJobCache
from roseweir.submissions.terminal_state_cache import TerminalStateCache

log = logging.getLogger(__name__)

BEST_EFFORT_RETRY_AFTER = timedelta(seconds=3)
# The share of the key-value store's writes that acceptances for best-effort teams may take: the completions of their
# jobs can wait for the records of starts.
BEST_EFFORT_WRITE_SHARE = 0.4
# Seconds' worth of that rate that may be written at once.
BEST_EFFORT_BURST_SECONDS = 10.0
# How old the live job cache may be when it tells whether a dependency of a new job is cancelled.
MAX_CACHE_AGE = timedelta(seconds=5)
# For how long a user waits for the reads that tell it, before the job is accepted without them.
DEPENDENCY_CHECK_TIMEOUT = timedelta(milliseconds=100)


class AcceptedJob(NamedTuple):
    """An accepted job, as its submission is answered."""

    state: str
    is_new: bool  # False: an earlier submission may have been answered as accepted


class JobAcceptor:
    """Makes the durable records of submitted jobs."""

    def __init__(
        self,
        settings: Settings,
        *,
        group_commit: GroupCommitter,
        live_job_cache: LiveJobCache,
        terminal_states: TerminalStateCache,
        job_statuses: JobStatusReader,
        dependency_validator: DependencyValidator,
        cancellation_resolver: CancellationResolver,
        write_confirmations: WriteConfirmations,
    ) -> None:
        """Share the caches and the group commit with the other handlers of this node."""
        self._teams = {team.name: team for team in settings.params.teams}
        self._has_guaranteed_team = any(team.has_guarantee for team in self._teams.values())
        self._group_commit = group_commit
        self._live_job_cache = live_job_cache
        self._terminal_states = terminal_states
        self._job_statuses = job_statuses
        self._dependency_validator = dependency_validator
        self._cancellation_resolver = cancellation_resolver
        self._write_confirmations = write_confirmations
        best_effort_rate = (
            settings.params.kv_store.max_writes_per_s * BEST_EFFORT_WRITE_SHARE / (len(settings.peers) + 1)
        )
        self._best_effort_rate_limiter = RateLimiter(best_effort_rate, BEST_EFFORT_BURST_SECONDS)

    async def accept(self, job_id: str, spec: JobSpec) -> AcceptedJob:
        """Make the job's record, unless the job is known already; the job's state is returned either way.

        Raises:
            SubmissionRejected: the job is not accepted now, unless it is known: the caller has to look.
            ReadBudgetExhausted: this node may send no further read now.
            StoreError, Unreachable: whether the job is accepted is not known.
        """
        if spec.dependencies:
            return await self._accept_with_dependencies(job_id, spec)
        self._check_best_effort_share(spec)
        return await self._write_job_record(job_id, spec)

    def _is_best_effort(self, spec: JobSpec) -> bool:
        """Whether the job's team has no guarantee while another has one.

        Where no team has one, nobody is best-effort: there, 931 requests of all teams were rejected in the first half
        minute of a day (third deployment, steady load).
        """
        return self._has_guaranteed_team and not self._teams[spec.team].has_guarantee

    def _check_best_effort_share(self, spec: JobSpec) -> None:
        """Raise SubmissionRejected if the job is beyond the share of writes of best-effort teams.

        A burst of their jobs must leave the records of all teams' starts and completions their writes.
        """
        if self._is_best_effort(spec) and not self._best_effort_rate_limiter.try_acquire():
            raise SubmissionRejected(429, "more jobs than this team may submit at once", BEST_EFFORT_RETRY_AFTER)

    async def _accept_with_dependencies(self, job_id: str, spec: JobSpec) -> AcceptedJob:
        """Accept a job after reading whether it may depend on the jobs it names, and whether it is cancelled by now."""
        if job_id in self._terminal_states.states or job_id in self._live_job_cache.live_jobs:
            return await self._known_job(job_id)
        dependency_ids = spec.dependencies.job_ids
        validation = await self._dependency_validator.validate(dependency_ids, job_id)
        if validation.rejection_reason is not None:
            raise SubmissionRejected(422, validation.rejection_reason)
        self._check_best_effort_share(spec)
        is_cancelled = await self._is_dependency_cancelled(dependency_ids, job_id, validation.dependencies_by_job)
        if is_cancelled:
            return await self._write_job_record(job_id, spec, is_cancelled=True)
        accepted = await self._write_job_record(job_id, await self._store_dependencies(spec))
        if is_cancelled is None:
            return AcceptedJob((await self._known_job(job_id)).state, accepted.is_new)
        return accepted

    async def _known_job(self, job_id: str) -> AcceptedJob:
        """Return the state of a job that has been accepted; StoreError if it is not found: the user asks again."""
        status = await self._job_statuses.read(job_id)
        if status is None:
            raise StoreError(f"known job {job_id} was not found")
        return AcceptedJob(status.state, is_new=False)

    async def _is_dependency_cancelled(
        self, dependency_ids: list[str], job_id: str, dependencies_by_job: DependencyIds
    ) -> bool | None:
        """Whether one of these jobs, or one that they depend on, is cancelled; None: it takes too long to tell."""
        try:
            async with asyncio.timeout(DEPENDENCY_CHECK_TIMEOUT.total_seconds()):
                if monotonic_now() - self._live_job_cache.read_at > MAX_CACHE_AGE:
                    await self._live_job_cache.wait_for_refresh()
                return await self._cancellation_resolver.is_cancelled(
                    dependency_ids, job_id, dependencies_by_job, self._live_job_cache.wait_for_refresh
                )
        except (TimeoutError, ReadBudgetExhausted, StoreError, Unreachable) as e:
            log.debug("accepted before cancellation is known: job=%s error=%r", job_id, e)
            return None

    async def _store_dependencies(self, spec: JobSpec) -> JobSpec:
        """Return the job as its record can hold it; dependency ids that it has no room for are stored first."""
        if fits_job_record(spec):
            return spec
        stored_parts = split_dependencies(spec.id, spec.dependencies.job_ids)
        await gather_all(
            *(self._group_commit.commit([], [put(key, value)]) for key, value in stored_parts.values_by_key.items())
        )
        return msgspec.structs.replace(spec, depends_on=stored_parts.dependencies)

    async def _write_job_record(self, job_id: str, spec: JobSpec, is_cancelled: bool = False) -> AcceptedJob:
        """Make the job's record: that it is live, or that it was cancelled as it came."""
        if is_cancelled:
            record_write = put(COMPLETED_JOB_PREFIX + job_id, to_stored(completed_job(spec, "cancelled")))
            confirmation = self._write_confirmations.job_cancelled(job_id)
        else:
            record_write = put(LIVE_JOB_PREFIX + job_id, to_stored(spec))
            confirmation = self._write_confirmations.job_accepted(job_id)
        known_status: JobStatus | None
        try:
            await self._group_commit.commit(
                [(LIVE_JOB_PREFIX + job_id, 0), (COMPLETED_JOB_PREFIX + job_id, 0)],
                [record_write],
                confirmation.find_revision,
            )
        except CompareFailed:
            known_status = await self._job_statuses.read(job_id)
            if known_status is None:
                raise StoreError("a known job was not found") from None
            return AcceptedJob(known_status.state, is_new=False)
        except Unreachable:
            # The transaction may have run: the key tells. If it runs later, a retry will find it.
            known_status = await self._job_statuses.read(job_id)
            if known_status is None:
                raise
            return AcceptedJob(known_status.state, is_new=False)
        log.debug("accepted: job=%s tasks=%d class=%s", job_id, spec.task_count, spec.job_class)
        # A read tells that the job is known, and not by which of its submissions: an earlier one may have got 201.
        return AcceptedJob("cancelled" if is_cancelled else "queued", is_new=not confirmation.is_confirmed)
