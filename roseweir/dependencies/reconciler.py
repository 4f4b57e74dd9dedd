"""Reconciles held jobs with the jobs that they depend on: releases them, or has them cancelled with a dependency.

The set of waiting jobs is not stored: any leader derives it from the live jobs' records and the ends of their
dependencies. A job is released only by ends that are in the store, written or read by this leader. A dependency that is
not in the cluster state has in most cases ended: it was accepted before its dependent, so the watch has delivered it
first. Its end is read from the store, and the dependent stays held until the store has that end.

Once the leader learns that a dependency is cancelled, it holds the dependents for good; `cancellation_writer.py` writes
their ends.
"""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Iterable
from datetime import timedelta
from typing import Any

import msgspec

from roseweir.clock import ZERO, monotonic_now, sleep, utc_now_ms, wait_at_most
from roseweir.dependencies import slack
from roseweir.dependencies.cancellation_writer import CancellationWriter
from roseweir.dependencies.graph import CANCELLED, DONE, DependencyGraph, GraphChange, LatestStart, longest_path_ms
from roseweir.http import Unreachable
from roseweir.kv_store import KeyValueStoreClient, StoreError
from roseweir.scheduler.cluster_state import WAITING_FOR_DEPENDENCIES, ClusterState
from roseweir.scheduler.log_writer import LogWriter
from roseweir.scheduler.model import JobRun
from roseweir.submissions.dependency_storage import dependency_part_keys, orphaned_part_keys, read_dependencies
from roseweir.submissions.jobs import (
    COMPLETED_JOB_PREFIX,
    decode_completed_job,
)

log = logging.getLogger(__name__)

# The delay before a failed request is retried.
RETRY_DELAY = timedelta(milliseconds=250)
# The interval at which ends that are not in the store yet are read again.
POLL_INTERVAL = timedelta(seconds=1)
# Limits the ends that are read concurrently: each is a request, and the log writer's requests queue behind them.
MAX_CONCURRENT_READS = 8
# If more ends than this have to be read, the store's latest changes, which one request returns, are searched first.
RECENT_CHANGES_THRESHOLD = 16
# How many of the latest revisions are requested; the store keeps 10,000.
MAX_RECENT_REVISIONS = 6_000
# The maximum number of ends that are kept in memory.
MAX_CACHED_FINAL_STATES = 10_000
# The minimum interval between updates of slack. An update's cost is proportional to the number of waiting jobs.
MIN_SLACK_INTERVAL = timedelta(seconds=2)
# The minimum pause after an update, as a multiple of the update's duration: updates use at most 1/50 of CPU time.
SLACK_PAUSE_FACTOR = 50
# The maximum number of dependencies that an answer lists.
MAX_LISTED_JOBS = 20


class DependencyReconciler:
    """Applies the changes of the dependency graph to the cluster state, for one term as leader."""

    def __init__(
        self,
        cluster_state: ClusterState,
        kv_store: KeyValueStoreClient,
        log_writer: LogWriter,
        is_lease_valid: Callable[[], bool],
        step_down: Callable[[str], None],
        on_released: Callable[[JobRun], None] = lambda run: None,
    ) -> None:
        """Create the reconciler of a term.

        Args:
            cluster_state: Jobs are held and released in it.
            kv_store: Ends and dependency lists are read from it.
            log_writer: Deletes the keys of dependency lists, and records ends of jobs cancelled with a dependency.
            is_lease_valid: Returns whether this node's leader lease is valid.
            step_down: Called with the reason when another node has taken the leader's key.
            on_released: Called with each job that is released.
        """
        self.cluster_state = cluster_state
        self.kv_store = kv_store
        self.log_writer = log_writer
        self.graph = DependencyGraph()
        self.cancellation_writer = CancellationWriter(cluster_state, kv_store, log_writer, is_lease_valid, step_down)
        self._on_released = on_released
        # Final states of ended jobs as stored; the oldest entries are evicted.
        self._cached_final_states: OrderedDict[str, str] = OrderedDict()
        # Jobs whose dependency lists are stored in separate keys and not read yet; the value is `is_inherited`.
        self._unread_dependency_lists: dict[str, bool] = {}
        # Dependencies whose ends have to be read, in this order (a dict used as an ordered set).
        self._ends_to_read: dict[str, None] = {}
        # The revision from which the store's latest changes have to be searched for ends; None once they are searched.
        self._recent_from_revision: int | None = None
        # Jobs whose queue position counts from their release instead of their acceptance.
        self._queued_from_release: set[str] = set()
        # Live jobs with dependencies that are released.
        self._released_dependents: set[str] = set()
        self._read_requested = asyncio.Event()
        # Set once there is a job whose dependency list is stored in separate keys.
        self._has_stored_lists = asyncio.Event()

    # -- events -------------------------------------------------------------------------------

    def rebuild(self, revision: int) -> None:
        """Build the graph from a recovered cluster state. Jobs that have started were released by an earlier leader.

        `revision`: The store's revision before its records were read.
        """
        self._recent_from_revision = max(0, revision - MAX_RECENT_REVISIONS)
        for run in list(self.cluster_state.jobs.values()):
            if (
                run.hold_reason == WAITING_FOR_DEPENDENCIES
                and not run.final_state
                and (run.placements or run.completed_count)
            ):
                self._released_dependents.add(run.spec.id)
                self.cluster_state.release_job(run, run.spec.accepted_ms)
        for run in list(self.cluster_state.jobs.values()):
            self.add_job(run, is_inherited=True)

    def add_job(self, run: JobRun, is_inherited: bool = False) -> None:
        """Add a live job to the graph if it is held for its dependencies.

        `is_inherited`: Whether the job was accepted before this leader's term.
        """
        spec = run.spec
        if run.final_state:
            return
        if spec.id in self.graph.dependents:
            self._apply_change(self.graph.record_priority(spec.id, spec.priority))
        if (
            not spec.dependencies
            or not run.hold_reason
            or spec.id in self.graph
            or spec.id in self._unread_dependency_lists
        ):
            return
        if is_inherited:
            self._queued_from_release.add(spec.id)
        if spec.dependencies.part_count:
            self._unread_dependency_lists[spec.id] = is_inherited
            self._has_stored_lists.set()
            self._read_requested.set()
        else:
            self._add_to_graph(run, spec.dependencies.job_ids)

    def record_end(self, job_id: str, state: str) -> None:
        """Record a job's durable end, and release or cancel its dependents."""
        self._cache_final_state(job_id, state)
        run = self.cluster_state.jobs.get(job_id)
        if run is not None:
            self.log_writer.orphaned_chunk_keys.update(dependency_part_keys(job_id, run.spec.dependencies))
        self._unread_dependency_lists.pop(job_id, None)
        self._ends_to_read.pop(job_id, None)
        self.cancellation_writer.discard(job_id)
        self._queued_from_release.discard(job_id)
        self._released_dependents.discard(job_id)
        self._apply_change(self.graph.record_end(job_id, state))

    def _add_to_graph(self, run: JobRun, dependency_ids: Iterable[str]) -> None:
        spec, cluster_state = run.spec, self.cluster_state
        final_states = {dependency_id: self._final_state(dependency_id) for dependency_id in set(dependency_ids)}
        unresolved_ids = [dependency_id for dependency_id, state in final_states.items() if state != DONE]
        if any(dependency_id in cluster_state.jobs for dependency_id in unresolved_ids):
            self._queued_from_release.add(spec.id)
        self._apply_change(self.graph.add_job(spec.id, spec.priority, unresolved_ids))
        for dependency_id in sorted(unresolved_ids):
            dependency = cluster_state.jobs.get(dependency_id)
            if final_states[dependency_id] == CANCELLED:
                self._apply_change(self.graph.record_end(dependency_id, CANCELLED))
            elif dependency is not None:
                self._apply_change(self.graph.record_priority(dependency_id, dependency.spec.priority))
            elif dependency_id in self.graph.dependents:
                self._ends_to_read[dependency_id] = None
                self._read_requested.set()

    def _final_state(self, job_id: str) -> str:
        run = self.cluster_state.jobs.get(job_id)
        return self._cached_final_states.get(job_id) or (run.final_state if run is not None else "")

    def _cache_final_state(self, job_id: str, state: str) -> None:
        self._cached_final_states[job_id] = state
        if len(self._cached_final_states) > MAX_CACHED_FINAL_STATES:
            self._cached_final_states.popitem(last=False)

    def _apply_change(self, change: GraphChange) -> None:
        cluster_state = self.cluster_state
        for job_id, root_id in change.cancelled_with.items():
            run = cluster_state.jobs.get(job_id)
            if run is not None and not run.final_state:
                log.info("job cancelled with its dependency: job=%s dependency=%s", job_id, root_id)
                cluster_state.hold_job(run, f"nothing: it is cancelled with {root_id}")
                self.cancellation_writer.add(job_id)
        for job_id, priority in change.priorities.items():
            run = cluster_state.jobs.get(job_id)
            if run is not None:
                cluster_state.set_effective_priority(run, priority)
        for job_id in change.released:
            run = cluster_state.jobs.get(job_id)
            # A job that is held for another reason, such as an unreadable record, stays held.
            if run is not None and not run.final_state and run.hold_reason == WAITING_FOR_DEPENDENCIES:
                counts_from_release = job_id in self._queued_from_release
                self._queued_from_release.discard(job_id)
                self._released_dependents.add(job_id)
                cluster_state.release_job(
                    run, max(utc_now_ms(), run.spec.accepted_ms) if counts_from_release else run.spec.accepted_ms
                )
                self._on_released(run)

    # -- the term -----------------------------------------------------------------------------

    async def run(self) -> None:
        """Run the background tasks of the term until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read_loop())
            group.create_task(self.cancellation_writer.run())
            group.create_task(self._collect_orphaned_lists())
            group.create_task(self._update_slack_loop())

    async def _read_loop(self) -> None:
        """Read dependency lists and ends that are not in the cluster state."""
        while True:
            await wait_at_most(POLL_INTERVAL, self._read_requested.wait())
            self._read_requested.clear()
            for job_id in list(self._unread_dependency_lists):
                # Each list is read on its own: an unreadable one delays only its own job.
                await self._run_or_back_off(self._read_dependency_list(job_id))
            await self._run_or_back_off(self._read_ends())

    async def _run_or_back_off(self, operation: Awaitable[None]) -> None:
        try:
            await operation
        except (StoreError, Unreachable, msgspec.ValidationError) as error:
            log.info("reading dependencies failed: error=%s", error)
            await sleep(RETRY_DELAY)

    async def _read_dependency_list(self, job_id: str) -> None:
        run = self.cluster_state.jobs.get(job_id)
        dependency_ids = None if run is None else await read_dependencies(self.kv_store, run.spec)
        if (
            self._unread_dependency_lists.pop(job_id, None) is None
            or run is None
            or run.final_state
            or dependency_ids is None
        ):
            return  # the job has ended during the read
        self._add_to_graph(run, dependency_ids)

    async def _read_ends(self) -> None:
        """Read the ends of dependencies that are not in the cluster state; missing ends are read again later."""
        if len(self._ends_to_read) > RECENT_CHANGES_THRESHOLD and self._recent_from_revision is not None:
            await self._read_recent_ends(self._recent_from_revision)
            self._recent_from_revision = None
        remaining = list(self._ends_to_read)
        while remaining:
            batch, remaining = remaining[:MAX_CONCURRENT_READS], remaining[MAX_CONCURRENT_READS:]
            batch = [job_id for job_id in batch if job_id in self._ends_to_read]
            for key, entry in (await self.kv_store.get_many(COMPLETED_JOB_PREFIX + job_id for job_id in batch)).items():
                job_id = key.removeprefix(COMPLETED_JOB_PREFIX)
                state = None if entry is None else _decode_final_state(job_id, entry.value)
                if state is not None:
                    self._record_read_end(job_id, state)
                elif job_id in self.cluster_state.jobs or job_id not in self.graph.dependents:
                    # Either the dependency is in the cluster state by now, so that `record_end` will be called,
                    # or no job depends on it any more.
                    self._ends_to_read.pop(job_id, None)
                    run = self.cluster_state.jobs.get(job_id)
                    if run is not None:
                        self._apply_change(self.graph.record_priority(job_id, run.spec.priority))

    async def _read_recent_ends(self, revision: int) -> None:
        watch_result = await self.kv_store.watch(COMPLETED_JOB_PREFIX, revision, ZERO)
        for event in watch_result[0] if watch_result is not None else ():
            job_id = event.key.removeprefix(COMPLETED_JOB_PREFIX)
            state = _decode_final_state(job_id, event.value) if job_id in self._ends_to_read else None
            if state is not None:
                self._record_read_end(job_id, state)

    def _record_read_end(self, job_id: str, state: str) -> None:
        self._cache_final_state(job_id, state)
        self._ends_to_read.pop(job_id, None)
        self._apply_change(self.graph.record_end(job_id, state))

    async def _update_slack_loop(self) -> None:
        """Update the cluster state's slack of pipeline jobs until cancelled."""
        duration = ZERO
        while True:
            await sleep(max(MIN_SLACK_INTERVAL, duration * SLACK_PAUSE_FACTOR))
            started_at = monotonic_now()
            self.cluster_state.set_slack(
                "pipelines", slack.slack_of_jobs_at_risk(self._latest_start_times(), utc_now_ms())
            )
            duration = monotonic_now() - started_at

    def _latest_start_times(self) -> dict[str, LatestStart]:
        graph = self.graph
        return slack.latest_start_times(
            self.cluster_state, graph, [*graph.dependencies, *graph.dependents, *self._released_dependents]
        )

    async def _collect_orphaned_lists(self) -> None:
        """Once in a term, queue the dependency lists of completed jobs that an earlier leader left behind for deletion.

        Waits until there is a job whose list is stored in separate keys: a leader without any sends no request.
        """
        await self._has_stored_lists.wait()
        while True:
            try:
                self.log_writer.orphaned_chunk_keys.update(
                    await orphaned_part_keys(self.kv_store, self.cluster_state.jobs)
                )
                return
            except (StoreError, Unreachable) as error:
                log.info("reading orphaned dependency lists failed: error=%s", error)
                await sleep(POLL_INTERVAL)

    # -- status -------------------------------------------------------------------------------

    def summary(self) -> dict[str, Any]:
        """Counts for the status answer, ready for JSON; empty if no job waits for another."""
        graph = self.graph
        if not (graph.dependencies or graph.cancelled_with or self._unread_dependency_lists):
            return {}
        return {
            "jobs_waiting_for_jobs": len(graph.dependencies) + len(self._unread_dependency_lists),
            "jobs_awaited": len(graph.dependents),
            "jobs_awaited_to_be_read": len(self._ends_to_read),
            "jobs_cancelled_with_others": len(graph.cancelled_with),
        }

    def describe_job(self, job_id: str) -> dict[str, Any]:
        """One job's dependencies, dependents and critical path, ready for JSON; empty if it has none."""
        graph = self.graph
        dependencies, dependents = graph.dependencies.get(job_id, set()), graph.dependents.get(job_id, set())
        if job_id in graph.cancelled_with:
            return {"cancelled_with": graph.cancelled_with[job_id]}
        if job_id in self._unread_dependency_lists:
            return {"awaits": "names that are being read"}
        if not dependencies and not dependents and job_id not in self._released_dependents:
            return {}
        run = self.cluster_state.jobs.get(job_id)
        latest_start = slack.latest_start_times(self.cluster_state, graph, [job_id]).get(job_id)
        path_ms = longest_path_ms(
            job_id,
            graph.dependencies,
            lambda dependency_id: slack.stage_of(self.cluster_state, dependency_id).duration_ms,
        )
        return {
            "awaits": sorted(dependencies)[:MAX_LISTED_JOBS],
            "awaits_more": max(0, len(dependencies) - MAX_LISTED_JOBS),
            "awaited_by": len(dependents),
            "priority": None if run is None else run.priority,
            "critical_path_s": round(path_ms / 1000, 1),  # estimated, from now to the job's end
            "latest_start_in_s": None
            if latest_start is None
            else round((latest_start.start_ms - utc_now_ms()) / 1000, 1),
        }


def _decode_final_state(job_id: str, value: Any) -> str | None:
    """The final state in a stored end; None if the end is unreadable."""
    try:
        return decode_completed_job(value).state
    except msgspec.ValidationError as error:
        # Only the jobs that depend on this one stay held.
        log.error("stored end of job unreadable: job=%s error=%s", job_id, error)
        return None
