"""The leader's part of jobs that wait for jobs: holds and releases them, and ends those cancelled with others.

Nothing is stored of what waits: any leader derives it from the live jobs' records and the ends of those that they name.
A job is released only by an end that the state service holds: one that this leader recorded itself, or read. A job that
is named and not on the board has ended, mostly: it was accepted before the one that names it, so the watch has told of
it before. Its end is read, and as long as there is none to be read, the other stays held.

Jobs that are cancelled with another are held for ever from the moment the leader knows. Their own ends are written in
the background with the changes that starts leave over. Until then any controller derives them from the end of the job
that was cancelled, so the writing may be slow (arithmetic: docs/design.md).
"""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Iterable
from datetime import timedelta
from itertools import islice
from typing import Any

import msgspec

from roseweir.clock import ZERO, monotonic_now, sleep, utc_now_ms, wait_at_most
from roseweir.dependencies import slack
from roseweir.dependencies.graph import CANCELLED, DependencyGraph, GraphChange, LatestStart, longest_path_ms
from roseweir.http import Unreachable
from roseweir.kv_store import CompareFailed, KeyValueStoreClient, StoreError
from roseweir.kv_store.client import delete, put
from roseweir.leader_election.messages import LEADER_KEY
from roseweir.scheduler.cluster_state import WAITING_FOR_DEPENDENCIES, ClusterState
from roseweir.scheduler.log_writer import LogWriter
from roseweir.scheduler.model import JobRun
from roseweir.submissions.dependency_storage import dependency_part_keys, orphaned_part_keys, read_dependencies
from roseweir.submissions.jobs import (
    COMPLETED_JOB_PREFIX,
    LIVE_JOB_PREFIX,
    completed_job,
    decode_completed_job,
    to_stored,
)

log = logging.getLogger(__name__)

RETRY_DELAY, POLL_INTERVAL = timedelta(milliseconds=250), timedelta(seconds=1)
# Ends that are read at once: each is a request, and the recorder's wait behind them.
MAX_CONCURRENT_READS = 8
# More than this many are looked for among the state service's last changes first: one request tells of all ends there.
# Of its changes it keeps the last 10,000; so many are asked for.
RECENT_CHANGES_THRESHOLD, MAX_RECENT_REVISIONS = 16, 6_000
# Ends that are remembered.
MAX_REMEMBERED_ENDS = 10_000
# What the sweep leaves of a second's changes. The recorder keeps a quarter of it: the sweep spends what is above both.
RESERVED_WRITE_FRACTION = 0.5
# If there is nothing above that for so long, one job is ended all the same: two changes in so many seconds.
WRITE_BUDGET_TIMEOUT = timedelta(seconds=2)
# Slack is told anew so often: it is work proportional to the jobs that wait, and none without them.
MIN_SLACK_INTERVAL = timedelta(seconds=2)
# After it took longer, it rests for so many times as long: it takes a fiftieth of the processor at most.
SLACK_REST_FACTOR = 50
# Jobs that one transaction ends at the most: their ends are up to 300 bytes each.
MAX_CANCELLATIONS_PER_TRANSACTION = 64
MAX_LISTED_JOBS = 20  # jobs that an answer names


class DependencyReconciler:
    """Brings the board and the stored ends in line with what jobs await, for one leader's term."""

    def __init__(
        self,
        cluster_state: ClusterState,
        kv_store: KeyValueStoreClient,
        recorder: LogWriter,
        may_act: Callable[[], bool],
        step_down: Callable[[str], None],
        on_released: Callable[[JobRun], None] = lambda run: None,
    ) -> None:
        """`may_act`: whether this node surely leads. `released`: told of each job that may start now."""
        self.cluster_state = cluster_state
        self.kv_store = kv_store
        self.recorder = recorder
        self.graph = DependencyGraph()
        self._may_act = may_act
        self._step_down = step_down
        self._on_released = on_released
        self._known_ends: OrderedDict[str, str] = (
            OrderedDict()
        )  # of jobs that are over, as the state service holds them
        self._unread_dependency_lists: dict[
            str, bool
        ] = {}  # jobs whose names are in keys of their own; whether an earlier leader's
        self._ends_to_read: dict[str, None] = {}  # jobs that are named, and whose end has to be read
        self._recent_from_revision: int | None = None  # a revision; None: nothing is left to be looked at there
        self._late_releases: set[str] = set()  # jobs whose release comes after their acceptance
        self._released_dependents: set[str] = set()  # live jobs that awaited others and have been released
        self._cancellations_to_write: dict[str, None] = {}  # jobs cancelled with others whose own end is not written
        self._read_requested, self._cancellation_requested = asyncio.Event(), asyncio.Event()
        self._stored_lists_seen = asyncio.Event()  # a job has names in keys of their own

    # -- what happens -------------------------------------------------------------------------

    def rebuild(self, revision: int) -> None:
        """The board is rebuilt: what has started was released by an earlier leader, the rest is looked at anew.

        `revision`: of the state service, from before its records were read.
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
        """A live job, as it becomes known. `inherited`: accepted before this leader's term."""
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
        """A job's end is durable."""
        self._remember_end(job_id, state)
        run = self.cluster_state.jobs.get(job_id)
        if run is not None:
            self.recorder.orphaned_chunk_keys.update(dependency_part_keys(job_id, run.spec.dependencies))
        self._unread_dependency_lists.pop(job_id, None)
        self._ends_to_read.pop(job_id, None)
        self._cancellations_to_write.pop(job_id, None)
        self._late_releases.discard(job_id)
        self._released_dependents.discard(job_id)
        self._apply_change(self.graph.record_end(job_id, state))

    def _add_to_graph(self, run: JobRun, dependency_ids: Iterable[str]) -> None:
        spec, cluster_state = run.spec, self.cluster_state
        known_ends = {name: self._known_end(name) for name in set(dependency_ids)}
        unfinished = [name for name, state in known_ends.items() if state != "done"]
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
                log.info("job %s is cancelled with %s, which it awaits", job_id, root)
                cluster_state.hold_job(run, f"nothing: it is cancelled with {root}")
                self._cancellations_to_write[job_id] = None
                self._cancellation_requested.set()
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
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read_loop())
            group.create_task(self._write_cancellations_loop())
            group.create_task(self._collect_orphaned_lists())
            group.create_task(self._update_slack_loop())

    async def _read_loop(self) -> None:
        """Read names and ends that the board does not know."""
        while True:
            await wait_at_most(POLL_INTERVAL, self._read_requested.wait())
            self._read_requested.clear()
            for job_id in list(self._unread_dependency_lists):
                # Names that can't be read hold up their own job alone.
                await self._run_or_back_off(self._read_dependency_list(job_id))
            await self._run_or_back_off(self._read_ends())

    async def _run_or_back_off(self, read: Awaitable[None]) -> None:
        try:
            await read
        except (StoreError, Unreachable, msgspec.ValidationError) as error:
            log.info("jobs that wait: %s", error)
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
        """The ends of jobs that are named and not on the board. What is not there yet is asked for again."""
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
                    # It has come meanwhile: its end will be told of. Or nobody awaits it any more.
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

    async def _write_cancellations_loop(self) -> None:
        """Write the ends of jobs that are cancelled with others."""
        while True:
            await self._cancellation_requested.wait()
            if not self._cancellations_to_write:
                self._cancellation_requested.clear()
                continue
            write_budget = await self._wait_for_write_budget()
            if not self._may_act():
                await sleep(POLL_INTERVAL)
                continue
            max_jobs = max(1, min(int(write_budget), self.kv_store.transaction_limits.max_txn_ops) // 2)
            try:
                await self._write_cancellations(
                    list(islice(self._cancellations_to_write, min(max_jobs, MAX_CANCELLATIONS_PER_TRANSACTION)))
                )
            except (StoreError, Unreachable) as error:
                log.info("ending jobs that are cancelled with others: %s", error)
                await sleep(RETRY_DELAY)

    async def _wait_for_write_budget(self) -> float:
        """Wait until starts leave some changes over, for a while; how many."""
        try:
            async with asyncio.timeout(WRITE_BUDGET_TIMEOUT.total_seconds()):
                return await self.kv_store.wait_for_write_capacity(RESERVED_WRITE_FRACTION)
        except TimeoutError:
            return 0.0

    async def _write_cancellations(self, job_ids: list[str]) -> None:
        runs = [run for run in map(self.cluster_state.jobs.get, job_ids) if run is not None and not run.final_state]
        for job_id in set(job_ids) - {run.spec.id for run in runs}:
            self._cancellations_to_write.pop(job_id, None)
        if not runs:
            return
        guards = [(LEADER_KEY, self.recorder.leader_version)]
        operations = []
        for run in runs:
            job_id = run.spec.id
            guards += [(LIVE_JOB_PREFIX + job_id, run.version), (COMPLETED_JOB_PREFIX + job_id, 0)]
            operations += [
                put(COMPLETED_JOB_PREFIX + job_id, to_stored(completed_job(run.spec, "cancelled"))),
                delete(LIVE_JOB_PREFIX + job_id),
            ]
        try:
            await self.kv_store.compare_and_swap(guards, operations)
        except CompareFailed as error:
            if LEADER_KEY in error.failed_keys:
                self._step_down("the leader's key has changed")
                await sleep(POLL_INTERVAL)
                return
            # Its user was faster, or an earlier try of this ran that was not answered.
            for job_id in sorted({path.partition("/")[2] for path in error.failed_keys}):
                await self.recorder.refresh_job_end(job_id)
                if self._cancellations_to_write.pop(job_id, "over") is None:
                    self._cancellations_to_write[job_id] = None  # not over: the others first
                    await sleep(RETRY_DELAY)
            return
        for run in runs:
            self.recorder.record_job_end(run.spec.id, completed_job(run.spec, "cancelled"))

    async def _update_slack_loop(self) -> None:
        """Tell the board which jobs of pipelines run out of time."""
        duration = ZERO
        while True:
            await sleep(max(MIN_SLACK_INTERVAL, duration * SLACK_REST_FACTOR))
            started_at = monotonic_now()
            if slack.ORDER_BY_SLACK:
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
        """Once in a term: keys with names of jobs that are over, which an earlier leader left behind.

        Not before there is a job with such keys: a leader without any asks for nothing.
        """
        await self._stored_lists_seen.wait()
        while True:
            try:
                self.recorder.orphaned_chunk_keys.update(
                    await orphaned_part_keys(self.kv_store, self.cluster_state.jobs)
                )
                return
            except (StoreError, Unreachable) as error:
                log.info("names of jobs that are over: %s", error)
                await sleep(POLL_INTERVAL)

    # -- told ---------------------------------------------------------------------------------

    def summary(self) -> dict[str, Any]:
        """For `status`."""
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
        """Of one job: what it waits for, who waits for it, and how long its critical path is; empty: neither."""
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
    try:
        return decode_completed_job(value).state
    except msgspec.ValidationError as error:
        # What needs it stays held, and nothing else does.
        log.error("the end of job %s can't be read: %s", job_id, error)
        return None
