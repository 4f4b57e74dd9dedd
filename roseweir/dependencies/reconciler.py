"""Reconciles held jobs with the jobs that they depend on: releases them, or has them cancelled with a dependency.

What waits is not stored: any leader derives it from the live jobs' records and the ends of their dependencies. A job is
released only by an end that the store holds: one that this leader wrote itself, or read. A dependency that is not in
the cluster state has ended, mostly: it was accepted before the job that names it, so the watch has told of it before.
Its end is read, and as long as there is none to be read, the dependent stays held.

Jobs that are cancelled with another are held for ever from the moment the leader knows; `cancellation_writer.py`
writes their own ends.
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

# The wait after a request that failed.
RETRY_DELAY = timedelta(milliseconds=250)
# The interval at which ends that could not be read yet are read again.
POLL_INTERVAL = timedelta(seconds=1)
# Ends that are read at once: each is a request, and the log writer's requests wait behind them.
MAX_CONCURRENT_READS = 8
# More ends than this are looked for among the store's last changes first: one request tells of all ends there.
RECENT_CHANGES_THRESHOLD = 16
# How many of the store's last changes are asked for; it keeps 10,000.
MAX_RECENT_REVISIONS = 6_000
# Ends that are kept in memory.
MAX_REMEMBERED_ENDS = 10_000
# The least interval between updates of slack: the work is proportional to the jobs that wait, and none without them.
MIN_SLACK_INTERVAL = timedelta(seconds=2)
# The pause after an update, as a multiple of what it took: it uses a fiftieth of the processor at most.
SLACK_REST_FACTOR = 50
# Jobs that an answer names.
MAX_LISTED_JOBS = 20


class DependencyReconciler:
    """Keeps the cluster state in step with the dependency graph, for one leader's term."""

    def __init__(
        self,
        cluster_state: ClusterState,
        kv_store: KeyValueStoreClient,
        log_writer: LogWriter,
        may_act: Callable[[], bool],
        step_down: Callable[[str], None],
        on_released: Callable[[JobRun], None] = lambda run: None,
    ) -> None:
        """Create the reconciler of a term.

        Args:
            cluster_state: jobs are held and released in it.
            kv_store: ends and dependency lists are read from it.
            log_writer: deletes the keys of dependency lists, and records ends of jobs cancelled with others.
            may_act: whether this node surely leads.
            step_down: called with the reason when another has taken the leader's key.
            on_released: called with each job that may start now.
        """
        self.cluster_state = cluster_state
        self.kv_store = kv_store
        self.log_writer = log_writer
        self.graph = DependencyGraph()
        self.cancellation_writer = CancellationWriter(cluster_state, kv_store, log_writer, may_act, step_down)
        self._on_released = on_released
        # States of jobs that are over, as the store holds them.
        self._known_ends: OrderedDict[str, str] = OrderedDict()
        # Jobs whose dependency lists are in keys of their own and not read yet: whether accepted in an earlier term.
        self._unread_dependency_lists: dict[str, bool] = {}
        # Dependencies whose end has to be read, in that order.
        self._ends_to_read: dict[str, None] = {}
        # From which revision on the store's last changes are still to be searched for ends; None: not any more.
        self._recent_from_revision: int | None = None
        # Jobs whose release comes after their acceptance.
        self._late_releases: set[str] = set()
        # Live jobs with dependencies that have been released.
        self._released_dependents: set[str] = set()
        self._read_requested = asyncio.Event()
        # Set once a job with a dependency list in keys of its own is known.
        self._stored_lists_seen = asyncio.Event()

    # -- events -------------------------------------------------------------------------------

    def rebuild(self, revision: int) -> None:
        """Start from a cluster state rebuilt from the store: what has started was released by an earlier leader.

        `revision`: of the store, from before its records were read.
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
        """Take account of a live job. `is_inherited`: accepted before this leader's term."""
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
            self._late_releases.add(spec.id)
        if spec.dependencies.part_count:
            self._unread_dependency_lists[spec.id] = is_inherited
            self._stored_lists_seen.set()
            self._read_requested.set()
        else:
            self._add_to_graph(run, spec.dependencies.job_ids)

    def record_end(self, job_id: str, state: str) -> None:
        """Take account of a job's end, which is durable."""
        self._remember_end(job_id, state)
        run = self.cluster_state.jobs.get(job_id)
        if run is not None:
            self.log_writer.orphaned_chunk_keys.update(dependency_part_keys(job_id, run.spec.dependencies))
        self._unread_dependency_lists.pop(job_id, None)
        self._ends_to_read.pop(job_id, None)
        self.cancellation_writer.discard(job_id)
        self._late_releases.discard(job_id)
        self._released_dependents.discard(job_id)
        self._apply_change(self.graph.record_end(job_id, state))

    def _add_to_graph(self, run: JobRun, dependency_ids: Iterable[str]) -> None:
        spec, cluster_state = run.spec, self.cluster_state
        known_ends = {name: self._known_end(name) for name in set(dependency_ids)}
        unfinished = [name for name, state in known_ends.items() if state != DONE]
        if any(name in cluster_state.jobs for name in unfinished):
            self._late_releases.add(spec.id)
        self._apply_change(self.graph.add_job(spec.id, spec.priority, unfinished))
        for name in sorted(unfinished):
            dependency = cluster_state.jobs.get(name)
            if known_ends[name] == CANCELLED:
                self._apply_change(self.graph.record_end(name, CANCELLED))
            elif dependency is not None:
                self._apply_change(self.graph.record_priority(name, dependency.spec.priority))
            elif name in self.graph.dependents:
                self._ends_to_read[name] = None
                self._read_requested.set()

    def _known_end(self, job_id: str) -> str:
        run = self.cluster_state.jobs.get(job_id)
        return self._known_ends.get(job_id) or (run.final_state if run is not None else "")

    def _remember_end(self, job_id: str, state: str) -> None:
        self._known_ends[job_id] = state
        if len(self._known_ends) > MAX_REMEMBERED_ENDS:
            self._known_ends.popitem(last=False)

    def _apply_change(self, change: GraphChange) -> None:
        cluster_state = self.cluster_state
        for job_id, root in change.cancelled_with.items():
            run = cluster_state.jobs.get(job_id)
            if run is not None and not run.final_state:
                log.info("job cancelled with its dependency: job=%s dependency=%s", job_id, root)
                cluster_state.hold_job(run, f"nothing: it is cancelled with {root}")
                self.cancellation_writer.add(job_id)
        for job_id, priority in change.priorities.items():
            run = cluster_state.jobs.get(job_id)
            if run is not None:
                cluster_state.set_effective_priority(run, priority)
        for job_id in change.released:
            run = cluster_state.jobs.get(job_id)
            # One that is held for another reason, as its record can't be read, stays so.
            if run is not None and not run.final_state and run.hold_reason == WAITING_FOR_DEPENDENCIES:
                is_late = job_id in self._late_releases
                self._late_releases.discard(job_id)
                self._released_dependents.add(job_id)
                cluster_state.release_job(
                    run, max(utc_now_ms(), run.spec.accepted_ms) if is_late else run.spec.accepted_ms
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
        """Read dependency lists and ends that the cluster state does not hold."""
        while True:
            await wait_at_most(POLL_INTERVAL, self._read_requested.wait())
            self._read_requested.clear()
            for job_id in list(self._unread_dependency_lists):
                # A list that can't be read holds up its own job alone.
                await self._run_or_back_off(self._read_dependency_list(job_id))
            await self._run_or_back_off(self._read_ends())

    async def _run_or_back_off(self, read: Awaitable[None]) -> None:
        try:
            await read
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
            return  # it has ended meanwhile
        self._add_to_graph(run, dependency_ids)

    async def _read_ends(self) -> None:
        """Read ends of dependencies that the cluster state does not hold. What is not there yet is read again later."""
        if len(self._ends_to_read) > RECENT_CHANGES_THRESHOLD and self._recent_from_revision is not None:
            await self._read_recent_ends(self._recent_from_revision)
            self._recent_from_revision = None
        remaining = list(self._ends_to_read)
        while remaining:
            batch, remaining = remaining[:MAX_CONCURRENT_READS], remaining[MAX_CONCURRENT_READS:]
            batch = [job_id for job_id in batch if job_id in self._ends_to_read]
            for key, entry in (await self.kv_store.get_many(COMPLETED_JOB_PREFIX + job_id for job_id in batch)).items():
                job_id = key.removeprefix(COMPLETED_JOB_PREFIX)
                state = None if entry is None else _read_end_state(job_id, entry.value)
                if state is not None:
                    self._record_read_end(job_id, state)
                elif job_id in self.cluster_state.jobs or job_id not in self.graph.dependents:
                    # It has become known meanwhile, so `record_end` will be called; or no job depends on it any more.
                    self._ends_to_read.pop(job_id, None)
                    run = self.cluster_state.jobs.get(job_id)
                    if run is not None:
                        self._apply_change(self.graph.record_priority(job_id, run.spec.priority))

    async def _read_recent_ends(self, revision: int) -> None:
        changes = await self.kv_store.watch(COMPLETED_JOB_PREFIX, revision, ZERO)
        for item in changes[0] if changes is not None else ():
            job_id = item.key.removeprefix(COMPLETED_JOB_PREFIX)
            state = _read_end_state(job_id, item.value) if job_id in self._ends_to_read else None
            if state is not None:
                self._record_read_end(job_id, state)

    def _record_read_end(self, job_id: str, state: str) -> None:
        self._remember_end(job_id, state)
        self._ends_to_read.pop(job_id, None)
        self._apply_change(self.graph.record_end(job_id, state))

    async def _update_slack_loop(self) -> None:
        """Keep the cluster state's slack of pipeline jobs current."""
        duration = ZERO
        while True:
            await sleep(max(MIN_SLACK_INTERVAL, duration * SLACK_REST_FACTOR))
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
        """Once in a term, have the dependency lists of completed jobs deleted that an earlier leader left behind.

        Not before there is a job with a list in keys of its own: a leader without any sends no request.
        """
        await self._stored_lists_seen.wait()
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
        """Counts for the status answer, as its JSON object; empty if no job waits for another."""
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
        """One job's dependencies, dependents and critical path, as the answer's JSON object; empty if it has none."""
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
            job_id, graph.dependencies, lambda name: slack.stage_of(self.cluster_state, name).duration_ms
        )
        return {
            "awaits": sorted(dependencies)[:MAX_LISTED_JOBS],
            "awaits_more": max(0, len(dependencies) - MAX_LISTED_JOBS),
            "awaited_by": len(dependents),
            "priority": None if run is None else run.priority,
            "critical_path_s": round(path_ms / 1000, 1),  # from now to its end, as far as can be told
            "latest_start_in_s": None
            if latest_start is None
            else round((latest_start.start_ms - utc_now_ms()) / 1000, 1),
        }


def _read_end_state(job_id: str, value: Any) -> str | None:
    """The state of a stored end; None if it can't be read."""
    try:
        return decode_completed_job(value).state
    except msgspec.ValidationError as error:
        # Jobs that depend on it stay held, and no others.
        log.error("stored end of job unreadable: job=%s error=%s", job_id, error)
        return None
