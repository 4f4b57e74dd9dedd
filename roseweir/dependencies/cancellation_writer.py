"""Writes the ends of jobs that are cancelled with a job that they depend on, in the background.

Until an end is written, any controller derives it from the end of the cancelled dependency. The writes may therefore be
slow: they use only the part of the store's write rate that task starts leave unused (arithmetic: docs/design.md).
"""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta
from itertools import islice

from roseweir.clock import sleep
from roseweir.dependencies.graph import CANCELLED
from roseweir.http import Unreachable
from roseweir.kv_store import CompareFailed, KeyValueStoreClient, StoreError
from roseweir.kv_store.client import delete, put
from roseweir.leader_election.messages import LEADER_KEY
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.log_writer import LogWriter
from roseweir.submissions.jobs import COMPLETED_JOB_PREFIX, LIVE_JOB_PREFIX, completed_job, to_stored

log = logging.getLogger(__name__)

# The delay before a failed request is retried.
RETRY_DELAY = timedelta(milliseconds=250)
# The delay before the leader lease is checked again, while this node may not lead.
LEADERSHIP_RETRY_DELAY = timedelta(seconds=1)
# The share of a second's changes that this writer leaves available. The log writer leaves a quarter to submissions, so
# the next quarter is left to the log writer.
RESERVED_WRITE_FRACTION = 0.5
# After waiting this long for changes above the reserved share, one job is ended all the same, which takes two changes.
WRITE_BUDGET_TIMEOUT = timedelta(seconds=2)
# The maximum number of jobs that one transaction ends; a stored end takes up to 300 bytes.
MAX_CANCELLATIONS_PER_TRANSACTION = 64


class CancellationWriter:
    """Writes the ends of jobs that are cancelled with a dependency, several in each transaction."""

    def __init__(
        self,
        cluster_state: ClusterState,
        kv_store: KeyValueStoreClient,
        log_writer: LogWriter,
        is_lease_valid: Callable[[], bool],
        step_down: Callable[[str], None],
    ) -> None:
        """Create the writer of a term.

        Args:
            cluster_state: Jobs are looked up in it.
            kv_store: Ends are written to it.
            log_writer: Holds the leader key's version, and applies the ends of jobs.
            is_lease_valid: Returns whether this node's leader lease is valid.
            step_down: Called with the reason when another node has taken the leader's key.
        """
        self.cluster_state = cluster_state
        self.kv_store = kv_store
        self.log_writer = log_writer
        self._is_lease_valid = is_lease_valid
        self._step_down = step_down
        # Jobs whose ends have to be written, in this order (a dict used as an ordered set).
        self.pending: dict[str, None] = {}
        self._requested = asyncio.Event()

    def add(self, job_id: str) -> None:
        """Queue the job's end to be written."""
        self.pending[job_id] = None
        self._requested.set()

    def discard(self, job_id: str) -> None:
        """Remove a job whose end is durable or need not be written."""
        self.pending.pop(job_id, None)

    async def run(self) -> None:
        """Write the ends of the jobs in `pending` until cancelled."""
        while True:
            await self._requested.wait()
            if not self.pending:
                self._requested.clear()
                continue
            write_budget = await self._wait_for_write_budget()
            if not self._is_lease_valid():
                await sleep(LEADERSHIP_RETRY_DELAY)
                continue
            max_jobs = max(1, min(int(write_budget), self.kv_store.transaction_limits.max_txn_ops) // 2)
            try:
                await self._write_cancellations(
                    list(islice(self.pending, min(max_jobs, MAX_CANCELLATIONS_PER_TRANSACTION)))
                )
            except (StoreError, Unreachable) as error:
                log.info("transitive cancellation failed: error=%s", error)
                await sleep(RETRY_DELAY)

    async def _wait_for_write_budget(self) -> float:
        """Wait up to `WRITE_BUDGET_TIMEOUT` for changes above the reserved share; return how many are available."""
        try:
            async with asyncio.timeout(WRITE_BUDGET_TIMEOUT.total_seconds()):
                return await self.kv_store.wait_for_write_capacity(RESERVED_WRITE_FRACTION)
        except TimeoutError:
            return 0.0

    async def _write_cancellations(self, job_ids: list[str]) -> None:
        """End these jobs in one transaction, which fails if the leader's key or one of the jobs has changed."""
        runs = [run for run in map(self.cluster_state.jobs.get, job_ids) if run is not None and not run.final_state]
        for job_id in set(job_ids) - {run.spec.id for run in runs}:
            self.pending.pop(job_id, None)
        if not runs:
            return
        guards = [(LEADER_KEY, self.log_writer.leader_key_version)]
        operations = []
        for run in runs:
            job_id = run.spec.id
            guards += [(LIVE_JOB_PREFIX + job_id, run.version), (COMPLETED_JOB_PREFIX + job_id, 0)]
            operations += [
                put(COMPLETED_JOB_PREFIX + job_id, to_stored(completed_job(run.spec, CANCELLED))),
                delete(LIVE_JOB_PREFIX + job_id),
            ]
        try:
            await self.kv_store.compare_and_swap(guards, operations)
        except CompareFailed as error:
            if LEADER_KEY in error.failed_keys:
                self._step_down("the leader's key has changed")
                await sleep(LEADERSHIP_RETRY_DELAY)
                return
            # The user cancelled the job first, or an earlier attempt was committed but its answer was lost.
            for job_id in sorted({key.partition("/")[2] for key in error.failed_keys}):
                await self.log_writer.refresh_job_end(job_id)
                if self.pending.pop(job_id, "over") is None:
                    self.pending[job_id] = None  # its end is not stored: retried after the others
                    await sleep(RETRY_DELAY)
            return
        for run in runs:
            self.log_writer.record_job_end(run.spec.id, completed_job(run.spec, CANCELLED))
