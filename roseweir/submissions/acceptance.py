"""Accepts validated submissions: checks their dependencies and writes their durable records.

A job is accepted exactly once. A submission with the id of an accepted job is answered with the present state of that
job, whatever else the request contains.
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
from roseweir.submissions.cancellation_propagation import CancellationResolver, DependenciesByJob
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
# The share of the key-value store's write rate that acceptances for best-effort teams may use. The rest is left to
# the write-ahead log of task starts and completions; completions of best-effort jobs may be delayed behind starts.
BEST_EFFORT_WRITE_SHARE = 0.4
# Largest burst of these writes, in seconds of their rate.
BEST_EFFORT_BURST_SECONDS = 10.0
# Maximum age of the live job cache when it decides whether a dependency of a new job is cancelled.
MAX_CACHE_AGE = timedelta(seconds=5)
# How long a submission waits for the reads of that check before the job is accepted without its result.
DEPENDENCY_CHECK_TIMEOUT = timedelta(milliseconds=100)


class AcceptedJob(NamedTuple):
    """The state of an accepted job, for the answer to its submission."""

    state: str
    is_new: bool  # False: an earlier submission may already have been answered as accepted


class JobAcceptor:
    """Writes the durable records of submitted jobs."""

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
        """Write the job's record unless the job was accepted before; return the job's state in both cases.

        Raises:
            SubmissionRejected: the job is not accepted now; the caller has to check whether it was accepted before.
            ReadBudgetExhausted: this node may send no further read now.
            StoreError, Unreachable: the job may or may not have been accepted.
        """
        if spec.dependencies:
            return await self._accept_with_dependencies(job_id, spec)
        self._check_best_effort_share(spec)
        return await self._write_job_record(job_id, spec)

    def _is_best_effort(self, spec: JobSpec) -> bool:
        """Whether the job's team has no guarantee while another team has one.

        If no team has a guarantee, no team is best-effort: at a steady load, limiting all teams rejected 931 requests
        in the first half minute of a day.
        """
        return self._has_guaranteed_team and not self._teams[spec.team].has_guarantee

    def _check_best_effort_share(self, spec: JobSpec) -> None:
        """Raise SubmissionRejected if the job exceeds the share of writes of best-effort teams.

        A burst of their jobs must leave enough writes for the write-ahead log of all teams' starts and completions.
        """
        if self._is_best_effort(spec) and not self._best_effort_rate_limiter.try_acquire():
            raise SubmissionRejected(429, "more jobs than this team may submit at once", BEST_EFFORT_RETRY_AFTER)

    async def _accept_with_dependencies(self, job_id: str, spec: JobSpec) -> AcceptedJob:
        """Accept a job after checking that its dependencies are allowed and whether one of them has been cancelled."""
        if job_id in self._terminal_states.states or job_id in self._live_job_cache.live_jobs:
            return await self._read_accepted_job(job_id)
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
            return AcceptedJob((await self._read_accepted_job(job_id)).state, accepted.is_new)
        return accepted

    async def _read_accepted_job(self, job_id: str) -> AcceptedJob:
        """Return the state of a job that was accepted before; StoreError, so that the user retries, if not found."""
        status = await self._job_statuses.read(job_id)
        if status is None:
            raise StoreError(f"accepted job {job_id} was not found")
        return AcceptedJob(status.state, is_new=False)

    async def _is_dependency_cancelled(
        self, dependency_ids: list[str], job_id: str, dependencies_by_job: DependenciesByJob
    ) -> bool | None:
        """Whether one of these jobs, or one that they depend on, is cancelled; None if the check fails or times out."""
        try:
            async with asyncio.timeout(DEPENDENCY_CHECK_TIMEOUT.total_seconds()):
                if monotonic_now() - self._live_job_cache.read_at > MAX_CACHE_AGE:
                    await self._live_job_cache.wait_for_refresh()
                return await self._cancellation_resolver.is_cancelled(
                    dependency_ids, job_id, dependencies_by_job, self._live_job_cache.wait_for_refresh
                )
        except (TimeoutError, ReadBudgetExhausted, StoreError, Unreachable) as e:
            log.debug("accepting job without dependency cancellation check: job=%s error=%r", job_id, e)
            return None

    async def _store_dependencies(self, spec: JobSpec) -> JobSpec:
        """Return the job in a form that fits its record; ids that do not fit are first stored under separate keys."""
        if fits_job_record(spec):
            return spec
        stored_parts = split_dependencies(spec.id, spec.dependencies.job_ids)
        await gather_all(
            *(self._group_commit.commit([], [put(key, value)]) for key, value in stored_parts.values_by_key.items())
        )
        return msgspec.structs.replace(spec, depends_on=stored_parts.dependencies)

    async def _write_job_record(self, job_id: str, spec: JobSpec, is_cancelled: bool = False) -> AcceptedJob:
        """Write the job's record: a live record, or a completed one if the job is cancelled on acceptance."""
        if is_cancelled:
            record_write = put(COMPLETED_JOB_PREFIX + job_id, to_stored(completed_job(spec, "cancelled")))
            confirmation = self._write_confirmations.cancellation_confirmation(job_id)
        else:
            record_write = put(LIVE_JOB_PREFIX + job_id, to_stored(spec))
            confirmation = self._write_confirmations.acceptance_confirmation(job_id)
        status: JobStatus | None
        try:
            await self._group_commit.commit(
                [(LIVE_JOB_PREFIX + job_id, 0), (COMPLETED_JOB_PREFIX + job_id, 0)],
                [record_write],
                confirmation.find_revision,
            )
        except CompareFailed:
            status = await self._job_statuses.read(job_id)
            if status is None:
                raise StoreError("the job exists, but its record was not found") from None
            return AcceptedJob(status.state, is_new=False)
        except Unreachable:
            # The transaction may have been applied, as the job's key shows. If it is applied later, a retry finds it.
            status = await self._job_statuses.read(job_id)
            if status is None:
                raise
            return AcceptedJob(status.state, is_new=False)
        log.debug("accepted: job=%s tasks=%d class=%s", job_id, spec.task_count, spec.job_class)
        # A confirming read proves acceptance, but not by which submission: an earlier one may have got 201.
        return AcceptedJob("cancelled" if is_cancelled else "queued", is_new=not confirmation.is_confirmed)
