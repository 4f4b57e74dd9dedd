"""Reads the status of a job, never older than a status that any node has returned before."""

from typing import NamedTuple

from roseweir.kv_store import KeyValueStoreClient
from roseweir.submissions.cancellation_propagation import CancellationResolver
from roseweir.submissions.jobs import COMPLETED_JOB_PREFIX, decode_completed_job
from roseweir.submissions.live_job_cache import LiveJobCache
from roseweir.submissions.read_budget import ReadBudget
from roseweir.submissions.terminal_state_cache import TerminalStateCache


class JobStatus(NamedTuple):
    """A job's state and task counts, as a poll returns them."""

    state: str  # "queued", "running", "done" or "cancelled"
    done_count: int = 0  # tasks
    running_count: int = 0  # tasks


class JobStatusReader:
    """Reads the status of jobs from the key-value store, the live job cache and the terminal state cache."""

    def __init__(
        self,
        kv_store: KeyValueStoreClient,
        *,
        live_job_cache: LiveJobCache,
        terminal_states: TerminalStateCache,
        cancellation_resolver: CancellationResolver,
        read_budget: ReadBudget,
    ) -> None:
        """Share the caches and the read budget with the other handlers of this node."""
        self.kv_store = kv_store
        self.live_job_cache = live_job_cache
        self._terminal_states = terminal_states
        self._cancellation_resolver = cancellation_resolver
        self._read_budget = read_budget

    async def read(self, job_id: str) -> JobStatus | None:
        """Return the job's status, or None if the job was never accepted.

        The transaction that deletes a job's live key writes its completed key, which is never deleted. So if first the
        live key and then the completed key is found missing, the job had not been accepted when the first was read.

        Raises:
            ReadBudgetExhausted: this node may send no further read now.
            StoreError, Unreachable: the key-value store did not answer.
        """
        state = self._terminal_states.states.get(job_id)
        if state is not None:
            return JobStatus(state)
        task_counts = await self.live_job_cache.read_progress(job_id)
        if task_counts is not None:
            done, running = task_counts
            if done == running == 0 and await self._is_cancelled_by_dependency(job_id):
                return JobStatus("cancelled")
            return JobStatus("running" if running else "queued", done, running)
        return await self._read_completed(job_id)

    async def _read_completed(self, job_id: str) -> JobStatus | None:
        self._read_budget.spend(job_id)
        completed_entry = await self.kv_store.get(COMPLETED_JOB_PREFIX + job_id)
        if completed_entry is None:
            return None
        completed = decode_completed_job(completed_entry.value)
        self._terminal_states.add(job_id, completed.state)
        return JobStatus(completed.state, completed.task_count if completed.state == "done" else 0)

    async def _is_cancelled_by_dependency(self, job_id: str) -> bool:
        """Whether a live job without started tasks depends on a cancelled one; a job with started tasks never does."""
        return self.live_job_cache.live_jobs.dependencies(
            job_id
        ) != [] and await self._cancellation_resolver.is_cancelled([job_id], job_id)
