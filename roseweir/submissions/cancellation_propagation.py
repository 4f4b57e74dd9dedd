"""Whether a job is cancelled with one that it needs, derived from what is durable.

When a job is cancelled, all that need it, directly or through others, are cancelled with it. Its own end is the only
mark that is made before its user is told; the leader records the ends of the others later, and there may be no leader.
So a node that answers about a live job looks at the jobs that it awaits, theirs, and so on:

- one known to be cancelled: this one is cancelled with it;
- one known to be done: so were all that it awaited, and nothing behind it matters;
- one that lives: what it awaits is looked at in turn;
- neither live nor known to have ended: its end is read. If there is none, it was not accepted when the live
  jobs were read, so it was not cancelled by then.

Every answer is as new as the view of the live jobs that it starts from: a job that had ended by then is not among them,
and its end, which is made in the transaction that takes it from the live ones, is read afterwards.

The answer never goes back. An end is permanent, so a cancelled job stays cancelled. A job between it and the one asked
about can't become done: each starts only when all that it awaits are done, so none of them ever starts. Hence they
stay live, and the same way leads to the cancelled job, or their own end says cancelled. Nor can the way be a
circle: a job names only jobs that were accepted before its own record was made, and the record is made once.
"""

from collections.abc import Awaitable, Callable, Collection, Mapping

import msgspec

from roseweir.kv_store import KeyValueStoreClient
from roseweir.submissions.completed_jobs import CompletedJobReader
from roseweir.submissions.dependency_storage import read_dependencies
from roseweir.submissions.jobs import LIVE_JOB_PREFIX, decode_job_spec
from roseweir.submissions.live_job_index import LiveJobIndex
from roseweir.submissions.read_budget import ReadBudget

# A job's names that were read and are not in the view of the live jobs.
DependencyIds = dict[str, list[str]]


class DependencyTraversal(msgspec.Struct):
    """What one look at all that some jobs need has found."""

    is_cancelled: bool = False
    # Live jobs on the way to the cancelled one that was found: each needs it.
    cancelled_dependents: list[str] = []
    # Live jobs that were looked at, each with the jobs that it awaits and that are not known to be done.
    open_dependencies: DependencyIds = {}
    # Jobs whose ends have to be read, and live jobs whose names have to be.
    unknown_job_ids: set[str] = set()
    unread_dependency_ids: set[str] = set()

    @property
    def is_complete(self) -> bool:
        """Whether nothing is left that could be cancelled and is not known to be."""
        return self.is_cancelled or not (self.unknown_job_ids or self.unread_dependency_ids)


def traverse_dependencies(
    job_ids: Collection[str],
    terminal_states: Mapping[str, str],
    live_jobs: LiveJobIndex,
    dependencies_by_job: DependencyIds,
) -> DependencyTraversal:
    """Look at these jobs and all that they need, as far as it is known. Each is visited once, at any depth."""
    traversal = DependencyTraversal()
    # By job, the one that awaits it and led there.
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
        if state == "done" or job_id in live_jobs.known_not_cancelled:
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
        open_ids = [name for name in dependency_ids if terminal_states.get(name) != "done"]
        traversal.open_dependencies[job_id] = open_ids
        for name in open_ids:
            if name not in reached_from:
                reached_from[name] = job_id
                stack.append(name)
    return traversal


class CancellationResolver:
    def __init__(
        self,
        kv_store: KeyValueStoreClient,
        live_jobs: LiveJobIndex,
        completed_jobs: CompletedJobReader,
        read_budget: ReadBudget,
        remember_cancelled: Callable[[str], None],
    ) -> None:
        """`remember` is told of each live job that was found to be cancelled with another."""
        self._kv_store = kv_store
        self._live_jobs = live_jobs
        self._completed_jobs = completed_jobs
        self._read_budget = read_budget
        self._remember_cancelled = remember_cancelled

    async def is_cancelled(
        self,
        job_ids: Collection[str],
        requester: str,
        dependencies_by_job: DependencyIds | None = None,
        refresh: Callable[[], Awaitable[None]] | None = None,
    ) -> bool:
        """Whether one of these jobs, or one that they need, is cancelled.

        `read` holds names of live jobs that the view may lack; `refresh` makes the view a new one, for a caller that
        asks with an older one. RateLimited, Trouble or Unreachable if reading fails: never a guess.
        """
        dependencies_by_job = {} if dependencies_by_job is None else dependencies_by_job
        # Jobs without an end, which the view lacks: see above.
        absent_ids: set[str] = set()
        while True:
            traversal = traverse_dependencies(
                [job for job in job_ids if job not in absent_ids],
                self._completed_jobs.known_states,
                self._live_jobs,
                dependencies_by_job,
            )
            if traversal.is_cancelled:
                for job_id in traversal.cancelled_dependents:
                    self._remember_cancelled(job_id)
                return True
            self._keep_open_dependencies(traversal, dependencies_by_job)
            traversal.unknown_job_ids -= absent_ids
            if traversal.is_complete:
                if not dependencies_by_job and not absent_ids:
                    self._live_jobs.known_not_cancelled.update(traversal.open_dependencies)
                return False
            if traversal.unknown_job_ids:
                missing_ids = await self._completed_jobs.read_states(traversal.unknown_job_ids, requester)
                if missing_ids and refresh is not None:
                    # Accepted after the view was read.
                    await refresh()
                    refresh = None
                else:
                    absent_ids |= missing_ids
            for job_id in traversal.unread_dependency_ids:
                await self._read_dependencies(job_id, requester, dependencies_by_job)

    def _keep_open_dependencies(self, traversal: DependencyTraversal, dependencies_by_job: DependencyIds) -> None:
        """Names of jobs that are done need not be looked at again."""
        for job_id, dependency_ids in traversal.open_dependencies.items():
            if job_id in dependencies_by_job:
                dependencies_by_job[job_id] = dependency_ids
                self._live_jobs.set_dependencies(job_id, dependency_ids)
            else:
                kept = self._live_jobs.dependencies(job_id)
                if kept is not None and len(kept) > len(dependency_ids):
                    self._live_jobs.set_dependencies(job_id, dependency_ids)

    async def _read_dependencies(self, job_id: str, requester: str, dependencies_by_job: DependencyIds) -> None:
        """The names of a live job that are kept apart. If it has ended meanwhile, its end is read next.

        A few parts are read as one request: each node reads them once, and a list that costs more than the node may
        spend at once could never be read.
        """
        self._read_budget.spend(requester)
        entry = await self._kv_store.get(LIVE_JOB_PREFIX + job_id)
        if entry is None:
            self._live_jobs.discard(job_id)
            return
        spec = decode_job_spec(entry.value)
        dependencies_by_job[job_id] = await read_dependencies(self._kv_store, spec)
