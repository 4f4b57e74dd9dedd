"""Checks whether a submission may depend on the jobs that it names.

It may name accepted jobs in any state, except services: a service never becomes done, so the job could never start. An
accepted job stays accepted, so any earlier read of a job by this node is sufficient. That a job was never accepted is
concluded only from reads that were sent after the submission arrived: first of its live key, then of its completed key,
which is written in the transaction that deletes the live key.
"""

from collections.abc import Sequence

import msgspec

from roseweir.kv_store import KeyValueStoreClient
from roseweir.submissions.cancellation_propagation import DependenciesByJob
from roseweir.submissions.completed_jobs import MAX_SINGLE_READS, CompletedJobReader
from roseweir.submissions.jobs import LIVE_JOB_PREFIX
from roseweir.submissions.live_job_cache import LiveJobCache
from roseweir.submissions.live_job_index import is_service, stored_dependencies_of
from roseweir.submissions.read_budget import ReadBudget

# Maximum number of job ids listed in a rejection reason.
MAX_LISTED_JOB_IDS = 5


class ValidationResult(msgspec.Struct):
    """The result of checking the jobs that a submission names as dependencies."""

    never_accepted_ids: list[str] = []
    service_ids: list[str] = []
    # Dependencies of live jobs that may be missing from the live job cache.
    dependencies_by_job: DependenciesByJob = {}

    @property
    def rejection_reason(self) -> str | None:
        """Why the jobs can't be dependencies, in the terms of the users' API; None if they can."""
        if self.never_accepted_ids:
            return f"awaits jobs that were never accepted: {_format_job_ids(self.never_accepted_ids)}"
        if self.service_ids:
            return f"awaits services, which are never done: {_format_job_ids(self.service_ids)}"
        return None


def _format_job_ids(job_ids: Sequence[str]) -> str:
    omitted_count = len(job_ids) - MAX_LISTED_JOB_IDS
    return ", ".join(job_ids[:MAX_LISTED_JOB_IDS]) + (f" and {omitted_count} more" if omitted_count > 0 else "")


class DependencyValidator:
    """Checks the jobs that submissions name against the store and this node's caches."""

    def __init__(
        self,
        kv_store: KeyValueStoreClient,
        *,
        live_job_cache: LiveJobCache,
        completed_jobs: CompletedJobReader,
        read_budget: ReadBudget,
    ) -> None:
        """Share the caches and the read budget with the other handlers of this node."""
        self._kv_store = kv_store
        self._live_job_cache = live_job_cache
        self._completed_jobs = completed_jobs
        self._read_budget = read_budget

    async def validate(self, job_ids: Sequence[str], requesting_job_id: str) -> ValidationResult:
        """Return the result of checking the jobs that the submission of `requesting_job_id` names.

        Raises:
            ReadBudgetExhausted: this node may send no further read now.
            StoreError, Unreachable: the key-value store did not answer.
        """
        result = ValidationResult()
        unresolved_ids = self._unresolved_ids(job_ids)
        if len(unresolved_ids) <= MAX_SINGLE_READS and self._read_budget.try_spend_many(len(unresolved_ids)):
            unresolved_ids = await self._read_live_records(unresolved_ids, result)
        elif unresolved_ids:
            await self._live_job_cache.wait_for_refresh()
            unresolved_ids = self._unresolved_ids(unresolved_ids)
        result.never_accepted_ids = await self._never_accepted_ids(unresolved_ids, requesting_job_id)
        result.service_ids = [
            job_id
            for job_id in job_ids
            if job_id in result.service_ids or self._live_job_cache.live_jobs.is_service(job_id)
        ]
        return result

    def _unresolved_ids(self, job_ids: Sequence[str]) -> list[str]:
        return [
            job_id
            for job_id in job_ids
            if job_id not in self._completed_jobs.terminal_states and job_id not in self._live_job_cache.live_jobs
        ]

    async def _read_live_records(self, job_ids: list[str], result: ValidationResult) -> list[str]:
        """Read the live keys of jobs into `result`; return the jobs that are not live."""
        entries = await self._kv_store.get_many(LIVE_JOB_PREFIX + job_id for job_id in job_ids)
        not_live: list[str] = []
        for job_id in job_ids:
            entry = entries[LIVE_JOB_PREFIX + job_id]
            if entry is None:
                not_live.append(job_id)
                continue
            if is_service(entry.value):
                result.service_ids.append(job_id)
            dependencies = stored_dependencies_of(entry.value)
            if not dependencies.part_count:
                result.dependencies_by_job[job_id] = dependencies.job_ids
        return not_live

    async def _never_accepted_ids(self, job_ids: list[str], requesting_job_id: str) -> list[str]:
        """Return the jobs, none of which is live, that have no completed key either: they were never accepted."""
        absent_ids: set[str] = set()
        remaining_ids = set(job_ids)
        while remaining_ids:
            absent_ids |= await self._completed_jobs.read_states(remaining_ids, requesting_job_id)
            remaining_ids = {
                job_id
                for job_id in remaining_ids
                if job_id not in absent_ids and job_id not in self._completed_jobs.terminal_states
            }
        return [job_id for job_id in job_ids if job_id in absent_ids]
