"""Derives from durable records whether a job is cancelled because it depends on a cancelled job.

Cancelling a job cancels all jobs that depend on it, directly or indirectly. Only the completed key of the job itself is
written before its user is answered; the leader records the other cancellations later, and there may be no leader. So a
node that answers a request about a live job traverses its dependencies, their dependencies, and so on:

- A dependency that is cancelled: the job is cancelled as well.
- A dependency that is done: all its own dependencies are done too, so they are not visited.
- A live dependency: its own dependencies are visited.
- A dependency whose state is unknown: its completed key is read. If there is none, the job had not been accepted when
  the live jobs were read, so it was not cancelled at that time.

The result is as fresh as the live job cache that the traversal starts from: a job that had completed by then is not in
the cache, and its completed key, written in the transaction that deletes the live key, is read afterwards.

The result is stable. A terminal state is permanent, so a cancelled job stays cancelled. The jobs on the path from the
requested job to the cancelled one can't become done: a job starts only when all its dependencies are done, so none of
them ever starts. They stay live, and the same path leads to the cancelled job, or their own completed keys say
cancelled. The graph has no cycle: a job names only jobs that were accepted before its own record was written, and that
record is written only once.
"""

from collections.abc import Awaitable, Callable, Collection, Mapping

import msgspec

from roseweir.kv_store import KeyValueStoreClient
from roseweir.submissions.completed_jobs import CompletedJobReader
from roseweir.submissions.dependency_storage import read_dependencies
from roseweir.submissions.jobs import LIVE_JOB_PREFIX, decode_job_spec
from roseweir.submissions.live_job_index import LiveJobIndex
from roseweir.submissions.read_budget import ReadBudget

# Dependency ids by job id, for jobs whose dependencies were read but may be missing from the live job index.
DependenciesByJob = dict[str, list[str]]


class DependencyTraversal(msgspec.Struct):
    """The result of one traversal of the dependencies of some jobs."""

    is_cancelled: bool = False
    # Live jobs on the path to the cancelled job: each of them depends on it.
    cancelled_dependents: list[str] = []
    # Live jobs that were visited, each with its dependencies that are not known to be done.
    open_dependencies: DependenciesByJob = {}
    # Jobs whose completed keys have to be read.
    unknown_job_ids: set[str] = set()
    # Live jobs whose dependencies have to be read.
    unread_dependency_ids: set[str] = set()

    @property
    def is_complete(self) -> bool:
        """Whether no unread job could change the result."""
        return self.is_cancelled or not (self.unknown_job_ids or self.unread_dependency_ids)


def traverse_dependencies(
    job_ids: Collection[str],
    terminal_states: Mapping[str, str],
    live_jobs: LiveJobIndex,
    dependencies_by_job: DependenciesByJob,
) -> DependencyTraversal:
    """Traverse these jobs and their direct and indirect dependencies, as far as known; visit each job once.

    Args:
        job_ids: The jobs from which the traversal starts.
        terminal_states: "done" or "cancelled" by job id, as far as known.
        live_jobs: The live jobs with their dependencies.
        dependencies_by_job: Dependencies that were read from the store; they take precedence over those of `live_jobs`.
    """
    traversal = DependencyTraversal()
    # The dependent from which each job was reached; None for a job from which the traversal starts.
    reached_from: dict[str, str | None] = dict.fromkeys(job_ids)
    stack = list(reached_from)
    while stack:
        job_id = stack.pop()
        state = terminal_states.get(job_id)
        if state == "cancelled":
            traversal.is_cancelled = True
            dependent = reached_from[job_id]
            while dependent is not None:
                traversal.cancelled_dependents.append(dependent)
                dependent = reached_from[dependent]
            return traversal
        if state == "done" or job_id in live_jobs.not_cancelled_ids:
            continue
        dependency_ids = dependencies_by_job.get(job_id)
        if dependency_ids is None:
            if job_id not in live_jobs:
                traversal.unknown_job_ids.add(job_id)
                continue
            dependency_ids = live_jobs.dependencies(job_id)
        if dependency_ids is None:
            traversal.unread_dependency_ids.add(job_id)
            continue
        open_ids = [dependency_id for dependency_id in dependency_ids if terminal_states.get(dependency_id) != "done"]
        traversal.open_dependencies[job_id] = open_ids
        for dependency_id in open_ids:
            if dependency_id not in reached_from:
                reached_from[dependency_id] = job_id
                stack.append(dependency_id)
    return traversal


class CancellationResolver:
    """Traverses dependencies, reading missing states and records until the traversal is complete."""

    def __init__(
        self,
        kv_store: KeyValueStoreClient,
        *,
        live_jobs: LiveJobIndex,
        completed_jobs: CompletedJobReader,
        read_budget: ReadBudget,
        cache_cancelled: Callable[[str], None],
    ) -> None:
        """Call `cache_cancelled` with each live job that is cancelled because of a dependency."""
        self._kv_store = kv_store
        self._live_jobs = live_jobs
        self._completed_jobs = completed_jobs
        self._read_budget = read_budget
        self._cache_cancelled = cache_cancelled

    async def is_cancelled(
        self,
        job_ids: Collection[str],
        requesting_job_id: str,
        dependencies_by_job: DependenciesByJob | None = None,
        refresh: Callable[[], Awaitable[None]] | None = None,
    ) -> bool:
        """Whether one of these jobs, or one that they depend on, is cancelled.

        Args:
            job_ids: The jobs from which the traversal starts.
            requesting_job_id: The id of the job for which the reads are counted in the read budget.
            dependencies_by_job: Dependencies of live jobs that the index may lack; those read here are added.
            refresh: Refreshes the index of live jobs, for a caller whose index may be outdated.

        Raises:
            ReadBudgetExhausted: this node may send no further read now.
            StoreError, Unreachable: a read failed, so the result is unknown.
        """
        dependencies_by_job = {} if dependencies_by_job is None else dependencies_by_job
        # Jobs that are neither live nor completed; see the module's docstring.
        absent_ids: set[str] = set()
        while True:
            traversal = traverse_dependencies(
                [job for job in job_ids if job not in absent_ids],
                self._completed_jobs.terminal_states,
                self._live_jobs,
                dependencies_by_job,
            )
            if traversal.is_cancelled:
                for job_id in traversal.cancelled_dependents:
                    self._cache_cancelled(job_id)
                return True
            self._drop_done_dependencies(traversal, dependencies_by_job)
            traversal.unknown_job_ids -= absent_ids
            if traversal.is_complete:
                if not dependencies_by_job and not absent_ids:
                    self._live_jobs.not_cancelled_ids.update(traversal.open_dependencies)
                return False
            if traversal.unknown_job_ids:
                missing_ids = await self._completed_jobs.read_states(traversal.unknown_job_ids, requesting_job_id)
                if missing_ids and refresh is not None:
                    # The missing jobs may have been accepted after the live jobs were read.
                    await refresh()
                    refresh = None
                else:
                    absent_ids |= missing_ids
            for job_id in traversal.unread_dependency_ids:
                await self._read_dependencies(job_id, requesting_job_id, dependencies_by_job)

    def _drop_done_dependencies(self, traversal: DependencyTraversal, dependencies_by_job: DependenciesByJob) -> None:
        """Remove dependencies that are done, which need not be visited again."""
        for job_id, dependency_ids in traversal.open_dependencies.items():
            if job_id in dependencies_by_job:
                dependencies_by_job[job_id] = dependency_ids
                self._live_jobs.set_dependencies(job_id, dependency_ids)
            else:
                indexed_ids = self._live_jobs.dependencies(job_id)
                if indexed_ids is not None and len(indexed_ids) > len(dependency_ids):
                    self._live_jobs.set_dependencies(job_id, dependency_ids)

    async def _read_dependencies(
        self, job_id: str, requesting_job_id: str, dependencies_by_job: DependenciesByJob
    ) -> None:
        """Read the dependencies of a live job from the store.

        If the job has completed, it is removed from the index, and the next pass reads its terminal state. All parts of
        a list count as one request: a node reads them once, and a list that cost more than the read budget allows at
        once could never be read.
        """
        self._read_budget.spend(requesting_job_id)
        entry = await self._kv_store.get(LIVE_JOB_PREFIX + job_id)
        if entry is None:
            self._live_jobs.discard(job_id)
            return
        spec = decode_job_spec(entry.value)
        dependencies_by_job[job_id] = await read_dependencies(self._kv_store, spec)
