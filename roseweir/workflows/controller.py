"""Workflow controller of the leader: accepts amendments, releases steps as their dependencies end, reports status.

It is idle while there are no workflows. A step is an accepted job that names its dependencies; the cluster state holds
the job until this controller releases it. Releases have no stored record of their own: a new leader derives them from
the live jobs, the steps in the stored pages and the jobs that have ended since the pages were written.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any

import msgspec

from roseweir.clock import ZERO, monotonic_now, seconds, sleep, utc_now_ms, wait_at_most
from roseweir.http import Unreachable
from roseweir.kv_store import CompareFailed, Entry, KeyValueStoreClient, StoreError
from roseweir.kv_store.client import put
from roseweir.kv_store.fenced_writes import LeadershipLost
from roseweir.limits import TokenBucket
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import JobRun
from roseweir.submissions.jobs import (
    COMPLETED_JOB_PREFIX,
    LIVE_JOB_PREFIX,
    JobSpec,
    completed_job,
    decode_completed_job,
    rejection_reason,
    to_stored,
)
from roseweir.workflows import step_transitions
from roseweir.workflows.amendment_validation import job_specs, parse_amendment
from roseweir.workflows.errors import JobIdsContended, WorkflowRejected, WorkflowRetryLater
from roseweir.workflows.job_cancellation import cancel_live_job
from roseweir.workflows.job_progress import failure_count, has_started
from roseweir.workflows.model import Workflow, WorkflowStep, build_workflow
from roseweir.workflows.settings import WorkflowSettings
from roseweir.workflows.step_dependencies import step_dependencies
from roseweir.workflows.store import (
    MAX_PAGE_AGE_REVISIONS,
    PAGE_KEY_PREFIX,
    WorkflowStore,
    compact_ended_workflow,
)
from roseweir.workflows.views import workflow_view

log = logging.getLogger(__name__)

EVALUATION_INTERVAL = timedelta(seconds=1)
SAVE_INTERVAL = timedelta(seconds=2)
REPORT_INTERVAL = timedelta(seconds=60)
# Maximum number of deliveries of older workflows that one workflow may wait for.
MAX_BLOCKING_JOBS = 50
# An accepted step whose workflow has not been stored within this time is cancelled.
ORPHANED_JOB_TIMEOUT_MS = 180_000
# Maximum number of workflows without a new event that one pass evaluates.
MAX_IDLE_EVALUATIONS_PER_PASS = 200
# Maximum number of workflows that one answer lists.
MAX_LISTED_WORKFLOWS = 200


class WorkflowController:
    """Accepts amendments and runs their workflows during one term of a leader."""

    def __init__(
        self,
        settings: WorkflowSettings,
        cluster_state: ClusterState,
        kv_store: KeyValueStoreClient,
        leader_key_version: int,
        is_lease_valid: Callable[[], bool],
        step_down: Callable[[str], None],
    ) -> None:
        self.settings = settings
        self.cluster_state = cluster_state
        self.kv_store = kv_store
        self.store = WorkflowStore(kv_store, leader_key_version)
        self.workflows: dict[str, Workflow] = {}
        self.workflow_by_job: dict[str, Workflow] = {}  # by job id; unfinished steps only
        self.open_workflow_ids_by_lot: dict[str, set[str]] = {}  # ids of unfinished workflows
        # The newest accepted revision of each lot, among the retained workflows.
        self.newest_revision_by_lot: dict[str, int] = {}
        # Set by the deadline controller, if there is one: returns when a workflow is due, and handles its changes.
        self.assign_due_ms: Callable[[Workflow], int] = lambda workflow: 0
        self.on_workflow_changed: Callable[[Workflow], None] = lambda workflow: None
        self.watched_revision: Callable[[], int] = lambda: 0  # store revision up to which the ends of jobs are reported
        self.work_available = asyncio.Event()
        self.has_loaded_job_ends = False  # whether the ends since the pages were written have been read
        self._is_lease_valid = is_lease_valid
        self._step_down = step_down
        now = monotonic_now()
        self._intake_limiter = TokenBucket.full(now, settings.max_amendments_per_window, settings.intake_window)
        self._dirty_pages: set[int] = set()  # pages that have to be written
        self._workflows_with_deferred_changes: set[str] = set()  # their pages need not be written yet
        self._lock = asyncio.Lock()
        self._workflows_to_evaluate: set[str] = set()  # workflows with new events
        self._remaining_in_round: list[str] = []  # unfinished workflows to evaluate in this round
        # Ids of the workflows whose deliveries wait for the end of a job, by job id.
        self._blocked_workflows_by_job: dict[str, set[str]] = {}
        self._orphaned_jobs: set[str] = set()  # stored steps whose workflow was never stored
        self._ended_jobs: set[str] = set()  # ended jobs that a delivery may wait for
        self._is_save_urgent = False  # a workflow was blocked, which the next leader must find stored
        cluster_state.on_task_failed = self._on_task_failed

    # -- failover -----------------------------------------------------------------------------

    async def read_entries(self) -> list[Entry]:
        """Read the stored pages of workflows."""
        return await self.store.read_entries()

    def restore(self, entries: list[Entry]) -> None:
        """Load the stored workflows. To be called before the first scheduling pass: held steps must not start.

        Raises:
            PageUnreadable: a page cannot be decoded.
        """
        self.workflows = self.store.restore(entries)
        self._dirty_pages |= self.store.oversized_pages()
        for workflow in self.workflows.values():
            if not workflow.is_ended:
                self._add_to_indexes(workflow)
            elif workflow.state == "done":
                for lot in workflow.lots:
                    self.newest_revision_by_lot[lot] = max(self.newest_revision_by_lot.get(lot, -1), workflow.revision)
        self._restore_delivery_order()

    def _restore_delivery_order(self) -> None:
        """Derive the order of the deliveries of unfinished workflows again, in addition to what the pages hold.

        An older amendment that is accepted after a newer one delivers before it. That order is stored on the newer
        one's page, which is written after the acceptance. If a leader fails in between, the pages lack the order, and
        the older state of a lot could reach the viewer after the newer one (tests/test_fault_combinations.py).
        """
        for workflow in self._open_workflows():
            for workflow_id in sorted(
                {workflow_id for lot in workflow.lots for workflow_id in self.open_workflow_ids_by_lot.get(lot, ())}
            ):
                other = self.workflows[workflow_id]
                if other.revision < workflow.revision:
                    self._add_blocking_jobs(workflow, step_transitions.pending_delivery_jobs(other, workflow))

    def _add_blocking_jobs(self, workflow: Workflow, job_ids: list[str]) -> None:
        for job_id in job_ids:
            if job_id not in workflow.blocking_jobs:
                workflow.blocking_jobs.append(job_id)
                self._blocked_workflows_by_job.setdefault(job_id, set()).add(workflow.id)

    def _add_to_indexes(self, workflow: Workflow) -> None:
        self._workflows_to_evaluate.add(workflow.id)
        for job_id in workflow.blocking_jobs:
            self._blocked_workflows_by_job.setdefault(job_id, set()).add(workflow.id)
        for step in workflow.steps:
            if not step.outcome:
                self.workflow_by_job[step.job_id] = workflow
        for lot in workflow.lots:
            self.open_workflow_ids_by_lot.setdefault(lot, set()).add(workflow.id)
            self.newest_revision_by_lot[lot] = max(self.newest_revision_by_lot.get(lot, -1), workflow.revision)

    def _remove_from_indexes(self, workflow: Workflow) -> None:
        for step in workflow.steps:
            self.workflow_by_job.pop(step.job_id, None)
        for job_id in workflow.blocking_jobs:
            self._blocked_workflows_by_job.pop(job_id, None)
        for lot in workflow.lots:
            workflow_ids = self.open_workflow_ids_by_lot.get(lot)
            if workflow_ids is not None:
                workflow_ids.discard(workflow.id)
                if not workflow_ids:
                    del self.open_workflow_ids_by_lot[lot]

    async def _load_job_ends(self) -> None:
        """Load the ends of steps that the pages lack from the store's history since the pages were written."""
        jobs = self.cluster_state.jobs
        for job_id, run in [(job_id, jobs[job_id]) for job_id in self.workflow_by_job if job_id in jobs]:
            if run.final_state:
                # Still in the cluster state because the write-ahead log names its tasks.
                self.record_job_end(job_id, run.final_state)
        missing_jobs = {job_id for job_id in self.workflow_by_job if job_id not in jobs}
        states_by_job: dict[str, str] = {}
        changes = (
            await self.kv_store.watch(COMPLETED_JOB_PREFIX, self.store.oldest_page_revision(), ZERO)
            if missing_jobs
            else ([], 0)
        )
        if changes is not None:
            states_by_job = {
                change.key.removeprefix(COMPLETED_JOB_PREFIX): decode_completed_job(change.value).state
                for change in changes[0]
                if change.value is not None
            }
        for job_id in sorted(missing_jobs):
            if job_id in self.cluster_state.jobs:
                continue
            state = states_by_job.get(job_id)
            if state is None:
                entry = await self.kv_store.get(COMPLETED_JOB_PREFIX + job_id)
                state = None if entry is None else decode_completed_job(entry.value).state
            if state is not None:
                self.record_job_end(job_id, state)
        # Steps whose amendment was never acknowledged. They are kept for a while, as the sender may repeat the request.
        self._orphaned_jobs = {
            run.spec.id for run in self.cluster_state.jobs.values() if run.spec.workflow_id not in ("", *self.workflows)
        }
        self.has_loaded_job_ends = True

    def _open_workflows(self) -> Iterable[Workflow]:
        return (workflow for workflow in self.workflows.values() if not workflow.is_ended)

    # -- control loop -------------------------------------------------------------------------

    async def run(self) -> None:
        """Evaluate workflows on events and at an interval, save the pages and log counts at theirs, until cancelled."""
        last_saved = last_reported = monotonic_now()
        while True:
            await wait_at_most(EVALUATION_INTERVAL, self.work_available.wait())
            self.work_available.clear()
            if not self._is_lease_valid():
                await sleep(EVALUATION_INTERVAL)
                continue
            try:
                async with self._lock:
                    if not self.has_loaded_job_ends:
                        await self._load_job_ends()
                    if not self.workflows and not self._orphaned_jobs:
                        continue
                    await self._evaluate_workflows()
                    now = monotonic_now()
                    if self._is_save_urgent or now - last_saved >= SAVE_INTERVAL:
                        last_saved = now
                        await self._save_pages()
                        self._is_save_urgent = False
                    if now - last_reported >= REPORT_INTERVAL:
                        last_reported = now
                        self._log_counts()
            except LeadershipLost as e:
                self._step_down(str(e))
            except (StoreError, Unreachable, CompareFailed) as e:
                log.info("workflows not evaluated or saved, retrying: error=%s", e)
                await sleep(seconds(0.25))
            else:
                await sleep(seconds(0.05))

    def record_job_end(self, job_id: str, outcome: str) -> None:
        """Record the end of a job, which is durable already; `outcome`: done or cancelled."""
        self._ended_jobs.add(job_id)
        workflow = self.workflow_by_job.pop(job_id, None)
        if workflow is not None and step_transitions.record_step_outcome(workflow, job_id, outcome, utc_now_ms()):
            self._workflows_with_deferred_changes.add(workflow.id)
            self.on_workflow_changed(workflow)
            self._log_event(workflow, f"step ended: job={job_id} outcome={outcome}")
        affected_workflow_ids = self._blocked_workflows_by_job.get(job_id, set()) | (
            {workflow.id} if workflow is not None else set()
        )
        if affected_workflow_ids:
            self._workflows_to_evaluate |= affected_workflow_ids
            self.work_available.set()

    async def _evaluate_workflows(self) -> None:
        """Release, cancel and supersede steps; finish the workflows that have ended and block those that failed."""
        now_ms = utc_now_ms()
        await self._cancel_orphaned_jobs(now_ms)
        if not self._remaining_in_round:
            self._remaining_in_round = [workflow.id for workflow in self._open_workflows()]
        # Workflows with new events, and some of the others in each pass: a job may fail without an event that it ended.
        workflow_ids = self._workflows_to_evaluate | set(self._remaining_in_round[-MAX_IDLE_EVALUATIONS_PER_PASS:])
        del self._remaining_in_round[-MAX_IDLE_EVALUATIONS_PER_PASS:]
        self._workflows_to_evaluate = set()
        for workflow_id in sorted(workflow_ids):
            workflow = self.workflows.get(workflow_id)
            if workflow is None or workflow.is_ended:
                continue
            if workflow.state == "open":
                self._block_on_exhausted_attempts(workflow)
            actions = step_transitions.evaluate(workflow, self.settings, self._has_job_ended)
            for step_number in actions.cancellable:
                await self._end_step(workflow, workflow.steps[step_number], "cancelled")
            if workflow.state == "open":
                for step_number in actions.releasable:
                    self._release_step(workflow, workflow.steps[step_number], now_ms)
            else:
                self._hold_unstarted_steps(workflow)
            superseded_steps = step_transitions.superseded_steps(
                workflow, self.newest_revision_by_lot, self._has_step_started, self.settings
            )
            for step_number in superseded_steps:
                await self._end_step(workflow, workflow.steps[step_number], "superseded")
            if actions.cancellable or superseded_steps:
                actions = step_transitions.evaluate(workflow, self.settings, self._has_job_ended)
            if actions.final_state:
                self._finish_workflow(workflow, actions.final_state)

    async def _cancel_orphaned_jobs(self, now_ms: int) -> None:
        for job_id in sorted(self._orphaned_jobs):
            run = self.cluster_state.jobs.get(job_id)
            if run is None or run.final_state or run.spec.workflow_id in self.workflows:
                self._orphaned_jobs.discard(job_id)
            elif now_ms - run.spec.accepted_ms > ORPHANED_JOB_TIMEOUT_MS:
                log.info("orphaned step cancelled: job=%s workflow=%s", job_id, run.spec.workflow_id)
                await cancel_live_job(self.kv_store, job_id, run.spec)
                self._orphaned_jobs.discard(job_id)

    def _has_job_ended(self, job_id: str) -> bool:
        # A job has ended once its tasks have left their machines: a task that is being stopped may still deliver.
        return job_id not in self.cluster_state.jobs and (
            job_id in self._ended_jobs or (self.has_loaded_job_ends and job_id not in self.workflow_by_job)
        )

    def _release_step(self, workflow: Workflow, step: WorkflowStep, now_ms: int) -> None:
        run = self.cluster_state.jobs.get(step.job_id)
        if run is None or run.final_state:
            self._workflows_to_evaluate.add(workflow.id)  # the watch reports its end shortly
            return
        step.released_ms = now_ms
        self._workflows_with_deferred_changes.add(workflow.id)
        self._release_held_job(run, step)
        self.on_workflow_changed(workflow)
        self._log_event(workflow, f"step released: job={step.job_id}")

    def _release_held_job(self, run: JobRun, step: WorkflowStep) -> None:
        if run.hold_reason:
            # The job's due time and its place in the queue count from the release.
            self.cluster_state.release_job(run, step.released_ms)

    def _hold_unstarted_steps(self, workflow: Workflow) -> None:
        """Hold the unstarted steps of a stopped workflow, and all unfinished steps of a blocked one."""
        for step in workflow.steps:
            run = self.cluster_state.jobs.get(step.job_id)
            if run is None or step.outcome or run.final_state:
                continue
            may_continue = bool(step.released_ms) and has_started(run) and workflow.state != "standing"
            if may_continue:
                self._release_held_job(run, step)
            elif not run.hold_reason:
                self.cluster_state.hold_job(run, f"its chain {workflow.id} to go on: {workflow.reason}")

    def _on_task_failed(self, run: JobRun) -> None:
        """Hold a step as soon as its attempts are used up, before a scheduling pass places it again."""
        workflow = self.workflow_by_job.get(run.spec.id)
        if workflow is not None and workflow.state == "open" and self._has_exhausted_attempts(run):
            self.cluster_state.hold_job(run, f"its chain {workflow.id} to go on: its attempts are used up")
            self._workflows_to_evaluate.add(workflow.id)
            self.work_available.set()

    def _has_exhausted_attempts(self, run: JobRun) -> bool:
        return failure_count(run) >= self.settings.max_attempts and run.completed_count == 0

    def _block_on_exhausted_attempts(self, workflow: Workflow) -> None:
        """Block the workflow if one of its steps has used up its attempts."""
        for step in workflow.steps:
            run = self.cluster_state.jobs.get(step.job_id)
            if run is None or step.outcome or not step.released_ms:
                continue
            if self._has_exhausted_attempts(run):
                failures, machines = failure_count(run), len(run.failed_machines)
                workflow.state = "standing"
                workflow.reason = (
                    f"step {step.job_id} ({step.job_class}) failed {failures} times, on {machines} machines"
                )
                self._mark_page_dirty(workflow)
                self._is_save_urgent = True
                self.on_workflow_changed(workflow)
                self._log_event(workflow, "blocked")
                return
            if run.hold_reason:
                # The page says that the step was released, but a new leader holds its job at first.
                self._release_held_job(run, step)

    async def _end_step(self, workflow: Workflow, step: WorkflowStep, outcome: str) -> None:
        """Cancel a step's job as a user's request does; durable on return. `outcome`: cancelled or superseded."""
        if not step.outcome:
            run = self.cluster_state.jobs.get(step.job_id)
            if run is None or not await cancel_live_job(self.kv_store, step.job_id, run.spec):
                entry = await self.kv_store.get(COMPLETED_JOB_PREFIX + step.job_id)
                if entry is None:
                    return  # the watch reports its end shortly
                if decode_completed_job(entry.value).state == "done":
                    outcome = "done"
            self.workflow_by_job.pop(step.job_id, None)
            self._ended_jobs.add(step.job_id)
            step.outcome, step.ended_ms = outcome, utc_now_ms()
            self._workflows_with_deferred_changes.add(workflow.id)
            self._log_event(workflow, f"step ended: job={step.job_id} outcome={outcome}")

    def _finish_workflow(self, workflow: Workflow, state: str) -> None:
        workflow.state = state
        workflow.ended_ms = utc_now_ms()
        self._remove_from_indexes(workflow)
        self.on_workflow_changed(workflow)
        self._log_event(workflow, state)
        compacted = self.workflows[workflow.id] = compact_ended_workflow(workflow)
        self.store.record_compaction(workflow, compacted)
        self._mark_page_dirty(compacted)
        self._workflows_with_deferred_changes.discard(workflow.id)
        if state == "done":
            # The workflow's deliveries are done, so the ends that they waited for are no longer needed.
            self._ended_jobs.difference_update(workflow.blocking_jobs)
            for lot in workflow.lots:
                self.newest_revision_by_lot[lot] = max(self.newest_revision_by_lot.get(lot, -1), workflow.revision)

    # -- stored pages -------------------------------------------------------------------------

    def _mark_page_dirty(self, workflow: Workflow) -> None:
        page_number = self.store.page_by_workflow.get(workflow.id)
        if page_number is not None:
            self._dirty_pages.add(page_number)

    async def _save_pages(self) -> None:
        """Write the dirty pages, and those old enough that the store is about to drop the changes since."""
        self._remove_expired_workflows()
        dirty_pages, self._dirty_pages = self._dirty_pages, set()
        page_numbers = set(dirty_pages)
        watched_revision = self.watched_revision()
        for workflow_id in self._workflows_with_deferred_changes:
            page_number = self.store.page_by_workflow.get(workflow_id)
            if (
                page_number is not None
                and watched_revision - self.store.key_versions.get(WorkflowStore.page_key(page_number), 0)
                > MAX_PAGE_AGE_REVISIONS
            ):
                page_numbers.add(page_number)
        # Unchanged pages are written again as well, a few at a time: a new leader reads the ends since the oldest page.
        for key, version in self.store.key_versions.items():
            if watched_revision - version > MAX_PAGE_AGE_REVISIONS and len(page_numbers) < 4:
                page_numbers.add(int(key.removeprefix(PAGE_KEY_PREFIX)))
        if not page_numbers:
            return
        dirty_pages |= self.store.oversized_pages()
        split_targets = self.store.split_oversized_pages(self.workflows)
        write_order = dict.fromkeys([*split_targets, *sorted(page_numbers | dirty_pages)])
        values_by_key = {WorkflowStore.page_key(n): self.store.encode_page(n, self.workflows) for n in write_order}
        refreshed_keys = {
            key
            for key in values_by_key
            if watched_revision - self.store.key_versions.get(key, 0) > MAX_PAGE_AGE_REVISIONS
        }
        changes = {
            k: v for k, v in values_by_key.items() if k in refreshed_keys or k in self.store.changed_values({k: v})
        }
        try:
            await self.store.save(changes)
        except BaseException:
            self._dirty_pages |= dirty_pages
            raise
        self._workflows_with_deferred_changes = {
            workflow_id
            for workflow_id in self._workflows_with_deferred_changes
            if self.store.page_by_workflow.get(workflow_id) not in page_numbers
        }

    def _remove_expired_workflows(self) -> None:
        """Remove the ended workflows whose retention is over."""
        oldest_kept_ms = utc_now_ms() - round(self.settings.retention.total_seconds() * 1000)
        for workflow in [w for w in self.workflows.values() if w.is_ended and w.ended_ms < oldest_kept_ms]:
            self._remove_workflow(workflow)

    def _remove_workflow(self, workflow: Workflow) -> None:
        self._mark_page_dirty(workflow)
        self.store.release_page_space(workflow)
        self.workflows.pop(workflow.id, None)

    def _evict_oldest_ended_workflows(self) -> bool:
        """Evict the oldest ended workflows to make room for a new one. Return whether there were any."""
        ended_workflows = sorted((w for w in self.workflows.values() if w.is_ended), key=lambda w: (w.ended_ms, w.id))
        for workflow in ended_workflows[:20]:
            self._remove_workflow(workflow)
        return bool(ended_workflows)

    # -- requests of registries and operators ---------------------------------------------------

    async def accept_amendment(self, value: Any) -> tuple[bool, dict[str, Any]]:
        """Accept an amendment; durable when this returns.

        Returns:
            Whether it is new, and the workflow's view.

        Raises:
            WorkflowRejected: it is invalid, or conflicts with an earlier amendment or an existing job.
            WorkflowRetryLater: it cannot be accepted or recorded now.
        """
        amendment = parse_amendment(value)
        async with self._lock:
            existing = self.workflows.get(amendment.id)
            now_ms = utc_now_ms()
            specs = job_specs(amendment, now_ms)
            workflow = build_workflow(
                amendment, specs, step_dependencies(amendment, specs, self.settings), self.settings, now_ms
            )
            if existing is not None:
                if existing.digest != workflow.digest:
                    raise WorkflowRejected(f"amendment {amendment.id} is known with another content", 409)
                return False, workflow_view(existing, self.cluster_state)
            self._validate_jobs(amendment.id, specs)
            if not self.has_loaded_job_ends:
                raise WorkflowRetryLater("a new leader looks at what has ended")
            if not self._intake_limiter.can_pay(1.0, monotonic_now()):
                raise WorkflowRetryLater("more amendments than may be taken at once", self._retry_after_s())
            held_specs = [
                msgspec.structs.replace(
                    spec, workflow_id=workflow.id, depends_on=[specs[n].id for n in workflow.steps[number].dependencies]
                )
                for number, spec in enumerate(specs)
            ]
            workflow.due_ms = self.assign_due_ms(workflow)
            self._order_deliveries(workflow)
            await self._write_workflow(workflow, held_specs)
            self._intake_limiter.debit(1.0, monotonic_now())
            self.workflows[workflow.id] = workflow
            if workflow.is_ended:
                self._log_event(workflow, "superseded by a newer amendment of its lots")
                self.on_workflow_changed(workflow)
                return True, workflow_view(workflow, self.cluster_state)
            self._add_to_indexes(workflow)
            self._log_event(
                workflow,
                f"accepted: steps={len(workflow.steps)} lots={len(workflow.lots)} revision={workflow.revision}",
            )
            self.on_workflow_changed(workflow)
            self.work_available.set()
            return True, workflow_view(workflow, self.cluster_state)

    def _retry_after_s(self) -> float:
        return max(1.5, round(self.settings.intake_window.total_seconds() / self.settings.max_amendments_per_window, 1))

    def _validate_jobs(self, workflow_id: str, specs: list[JobSpec]) -> None:
        """Reject jobs that would be rejected as submissions, or whose ids are in use."""
        classes = {o.job_class for o in self.cluster_state.settings.params.objectives if o.job_class}
        classes |= {job_class for group in self.settings.step_order for job_class in group}
        for spec in specs:
            reason = rejection_reason(spec, self.cluster_state.teams, list(self.cluster_state.catalog.values()))
            if reason is not None:
                raise WorkflowRejected(f"step {spec.id}: {reason}", 422)
            if classes and spec.job_class not in classes:
                raise WorkflowRejected(f"step {spec.id}: unknown class {spec.job_class}", 422)
            workflow = self.workflow_by_job.get(spec.id)
            run = self.cluster_state.jobs.get(spec.id)
            if workflow is not None or (run is not None and run.spec.workflow_id != workflow_id):
                owner_text = f" of chain {workflow.id}" if workflow is not None else ""
                raise WorkflowRejected(f"step {spec.id}: a job{owner_text} has this id already", 409)

    def _order_deliveries(self, workflow: Workflow) -> None:
        """Order the workflow's deliveries among those of other workflows of its lots.

        The workflow is superseded if a newer revision of each of its lots has been accepted.
        """
        if all(self.newest_revision_by_lot.get(lot, -1) > workflow.revision for lot in workflow.lots):
            workflow.state, workflow.ended_ms = "superseded", workflow.accepted_ms
            for step in workflow.steps:
                step.outcome, step.ended_ms = "superseded", workflow.accepted_ms
            return
        workflow_ids = {
            workflow_id for lot in workflow.lots for workflow_id in self.open_workflow_ids_by_lot.get(lot, ())
        }
        newer: list[Workflow] = []
        for other in sorted(
            (self.workflows[workflow_id] for workflow_id in workflow_ids),
            key=lambda w: (w.revision, w.accepted_ms, w.id),
        ):
            if other.revision <= workflow.revision:
                workflow.blocking_jobs += step_transitions.pending_delivery_jobs(other, workflow)
            else:
                newer.append(other)
        if len(workflow.blocking_jobs) > MAX_BLOCKING_JOBS:
            raise WorkflowRetryLater("many older chains of its lots are on their way", 10.0)
        undelivered_lots = {lot for other in newer if not self._may_have_delivered(other) for lot in other.lots}
        conflicting_lots = [
            lot
            for lot in workflow.lots
            if self.newest_revision_by_lot.get(lot, -1) > workflow.revision and lot not in undelivered_lots
        ]
        conflicting_lots += [
            lot for other in newer if self._may_have_delivered(other) for lot in workflow.lots if lot in other.lots
        ]
        if conflicting_lots:
            shown_lots = ", ".join(sorted(set(conflicting_lots))[:5])
            raise WorkflowRejected(
                f"newer revisions of {shown_lots} are in the viewer or on their way: send the rest alone", 409
            )
        for other in newer:
            # The other workflow was accepted earlier but is newer, so its deliveries wait for those of this one.
            self._add_blocking_jobs(other, step_transitions.pending_delivery_jobs(workflow, other))
            self._mark_page_dirty(other)

    def _may_have_delivered(self, workflow: Workflow) -> bool:
        """Return whether a delivery may have started, even under an earlier leader whose releases are not stored."""
        return any(
            step.is_delivery and (step.released_ms or step.outcome or self._has_step_started(step))
            for step in workflow.steps
        )

    def _has_step_started(self, step: WorkflowStep) -> bool:
        run = self.cluster_state.jobs.get(step.job_id)
        return run is not None and has_started(run)

    async def _write_workflow(self, workflow: Workflow, specs: list[JobSpec]) -> None:
        """Write the workflow's page and the records of all its jobs, or nothing."""
        max_operations = self.kv_store.transaction_limits.max_txn_ops
        page_number = self.store.assign_page(workflow)
        while page_number is None and self._evict_oldest_ended_workflows():
            page_number = self.store.assign_page(workflow)
        if page_number is None:
            reason = (
                "its chain is larger than a value of the state service"
                if not self.store.page_sizes
                else "no room for it"
            )
            raise WorkflowRejected(f"amendment {workflow.id}: {reason}; send its lots in several", 422)
        is_superseded = workflow.is_ended
        key = WorkflowStore.page_key(page_number)
        try:
            await self.store.refresh_version(key)
            remaining_specs = list(specs)
            while len(remaining_specs) > max_operations - 1:
                # Jobs first: without the workflow's page they are held, and reused when the same amendment is repeated.
                await self._write_jobs(workflow, remaining_specs[: max_operations - 1], is_superseded, None)
                remaining_specs = remaining_specs[max_operations - 1 :]
            await self._write_jobs(
                workflow,
                remaining_specs,
                is_superseded,
                {key: self.store.encode_page(page_number, self.workflows | {workflow.id: workflow})},
            )
        except LeadershipLost as e:
            self._step_down(str(e))
            raise WorkflowRetryLater(str(e)) from e
        except (StoreError, Unreachable) as e:
            self.store.release_page_space(workflow)
            raise WorkflowRetryLater(f"not recorded: {e}") from e
        except WorkflowRejected:
            self.store.release_page_space(workflow)
            raise

    async def _write_jobs(
        self, workflow: Workflow, specs: list[JobSpec], is_superseded: bool, page_values: dict[str, Any] | None
    ) -> None:
        for _ in range(3):
            guards = [
                guard
                for spec in specs
                for guard in ((LIVE_JOB_PREFIX + spec.id, 0), (COMPLETED_JOB_PREFIX + spec.id, 0))
            ]
            if is_superseded:
                ops = [
                    put(COMPLETED_JOB_PREFIX + spec.id, to_stored(completed_job(spec, "cancelled"))) for spec in specs
                ]
            else:
                ops = [put(LIVE_JOB_PREFIX + spec.id, to_stored(spec)) for spec in specs]
            try:
                await self.store.write(page_values or {}, guards, ops)
                return
            except CompareFailed as e:
                already_written_jobs: set[str] = set()
                for key in e.failed_keys:
                    job_id = key.partition("/")[2]
                    entry = await self.kv_store.get(key)
                    if entry is None:
                        continue
                    if (
                        key.startswith(LIVE_JOB_PREFIX)
                        and isinstance(entry.value, dict)
                        and entry.value.get("chain") == workflow.id
                    ):
                        already_written_jobs.add(job_id)  # by an unacknowledged attempt at this amendment
                    else:
                        raise WorkflowRejected(f"step {job_id}: a job has this id already", 409) from e
                specs = [spec for spec in specs if spec.id not in already_written_jobs]
        raise JobIdsContended(workflow.id)

    async def stop_or_resume(self, workflow_id: str, verb: str) -> dict[str, Any]:
        """Stop or resume a workflow; durable when this returns. Return its view.

        Raises:
            WorkflowRejected: there is no such workflow, or it has ended.
            WorkflowRetryLater: it cannot be recorded now.
        """
        async with self._lock:
            workflow = self.workflows.get(workflow_id)
            if workflow is None:
                raise WorkflowRejected(f"no chain is called {workflow_id}", 404)
            if workflow.is_ended:
                raise WorkflowRejected(f"chain {workflow_id} is over: {workflow.state}")
            previous_state_and_reason = (workflow.state, workflow.reason)
            if verb == "stop":
                workflow.state, workflow.reason = "stopped", "stopped by an operator"
            else:
                workflow.state, workflow.reason = "open", ""
            self._mark_page_dirty(workflow)
            try:
                await self._save_pages()
            except LeadershipLost as e:
                self._step_down(str(e))
                raise WorkflowRetryLater(str(e)) from e
            except (StoreError, Unreachable) as e:
                workflow.state, workflow.reason = previous_state_and_reason
                raise WorkflowRetryLater(f"not recorded: {e}") from e
            if verb == "resume":
                for step in workflow.steps:
                    run = self.cluster_state.jobs.get(step.job_id)
                    if run is not None and not step.outcome and step.released_ms:
                        run.failure_count = 0
                        run.failed_machines.clear()
                        self._release_held_job(run, step)
            self._workflows_to_evaluate.add(workflow.id)
            self.on_workflow_changed(workflow)
            self._log_event(workflow, "resumed" if verb == "resume" else "stopped")
            self.work_available.set()
            return workflow_view(workflow, self.cluster_state)

    # -- reports ------------------------------------------------------------------------------

    def _log_event(self, workflow: Workflow, event: str) -> None:
        log.info("workflow %s: %s%s", workflow.id, event, f" reason={workflow.reason}" if workflow.reason else "")

    def _log_counts(self) -> None:
        counts = self.count_by_state()
        if any(state in counts for state in ("open", "standing", "stopped")):
            log.info("workflows: %s", " ".join(f"{state}={n}" for state, n in counts.items()))

    def count_by_state(self) -> dict[str, int]:
        """Return the number of workflows in each state."""
        counts: dict[str, int] = {}
        for workflow in self.workflows.values():
            counts[workflow.state] = counts.get(workflow.state, 0) + 1
        return dict(sorted(counts.items()))

    def summary(self) -> dict[str, Any]:
        """Return what `status` shows: the number of workflows by state, and the blocked ones with their reasons."""
        if not self.workflows:
            return {}
        blocked = [f"{w.id}: {w.reason}" for w in self.workflows.values() if w.state == "standing"]
        return {"chains": self.count_by_state(), "chains_standing": blocked[:20]}

    def describe(self) -> dict[str, Any]:
        """Return the answer that lists the workflows, blocked ones first."""
        state_order = {"standing": 0, "stopped": 1, "open": 2, "superseded": 3, "done": 4}
        workflows = sorted(self.workflows.values(), key=lambda w: (state_order[w.state], -w.accepted_ms, w.id))
        return {
            "counts": self.count_by_state(),
            "chains": [
                workflow_view(workflow, self.cluster_state, is_brief=True)
                for workflow in workflows[:MAX_LISTED_WORKFLOWS]
            ],
        }

    def describe_workflow(self, workflow_id: str) -> dict[str, Any]:
        """Return a workflow with its steps.

        Raises:
            WorkflowRejected: there is no workflow with this id.
        """
        workflow = self.workflows.get(workflow_id)
        if workflow is None:
            raise WorkflowRejected(f"no chain is called {workflow_id}", 404)
        return workflow_view(workflow, self.cluster_state)
