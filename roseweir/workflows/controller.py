"""The leader's side of chains: takes amendments, lets steps go as what they follow has ended, and tells how they stand.

Idle until there is a chain. A step is an accepted job that names what it follows; the board holds it until this desk
lets it go. Who lets go and when is no record of its own: a new leader knows it from the jobs that live, the marks in
the pages and the ends since these were written.
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
from roseweir.kv_store.client import delete, put
from roseweir.kv_store.fenced_writes import LeadershipLost
from roseweir.kv_store.write_confirmation import commit_or_confirm
from roseweir.limits import TokenBucket
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.job_explanation import explain_job
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
from roseweir.workflows.model import (
    Workflow,
    WorkflowRejected,
    WorkflowRetryLater,
    WorkflowStep,
    build_workflow,
    job_specs,
    parse_amendment,
    step_dependencies,
)
from roseweir.workflows.settings import WorkflowSettings
from roseweir.workflows.store import MAX_PAGE_AGE_REVISIONS, WorkflowStore, compact_ended_workflow

log = logging.getLogger(__name__)

EVALUATION_INTERVAL, SAVE_INTERVAL, REPORT_INTERVAL = timedelta(seconds=1), timedelta(seconds=2), timedelta(seconds=60)
# Deliveries of older chains that one waits for, at the most.
MAX_BLOCKING_JOBS = 50
# So long after its acceptance a step whose chain was never recorded is ended.
ORPHANED_JOB_TIMEOUT_MS = 180_000
# Chains that are looked at in a step though nothing is known to have happened in them.
MAX_IDLE_EVALUATIONS_PER_PASS = 200
MAX_LISTED_WORKFLOWS = 200  # chains that one answer lists


class WorkflowController:
    def __init__(
        self,
        settings: WorkflowSettings,
        cluster_state: ClusterState,
        kv_store: KeyValueStoreClient,
        leader_version: int,
        may_write: Callable[[], bool],
        step_down: Callable[[str], None],
    ) -> None:
        self.settings = settings
        self.cluster_state = cluster_state
        self.kv_store = kv_store
        self.store = WorkflowStore(kv_store, leader_version)
        self.workflows: dict[str, Workflow] = {}
        self.workflow_by_job: dict[str, Workflow] = {}  # of steps that are not over
        self.open_workflow_ids_by_lot: dict[str, set[str]] = {}  # open chains
        self.newest_revision_by_lot: dict[
            str, int
        ] = {}  # by lot, the newest revision that was taken, as far as it is told of
        # Until when a chain is promised in the viewer, and who wants to know of changes, if anybody does.
        self.assign_due_ms: Callable[[Workflow], int] = lambda workflow: 0
        self.on_workflow_changed: Callable[[Workflow], None] = lambda workflow: None
        self.watched_revision: Callable[[], int] = lambda: 0  # up to which the ends of jobs have been told
        self.work_available = asyncio.Event()
        self.has_loaded_ends = False  # the ends since the pages were written are known
        self._may_write = may_write
        self._step_down = step_down
        now = monotonic_now()
        self._intake_limiter = TokenBucket.full(now, settings.max_amendments_per_window, settings.intake_window)
        self._dirty_pages: set[int] = set()  # pages that differ from what is written, and have to be written
        self._workflows_with_unsaved_marks: set[str] = set()  # chains with marks that can wait
        self._lock = asyncio.Lock()
        self._workflows_to_evaluate: set[str] = set()  # chains in which something has happened
        self._remaining_in_round: list[str] = []  # of all open ones, those that were not looked at yet in this round
        self._blocked_workflows_by_job: dict[
            str, set[str]
        ] = {}  # jobs that some delivery waits for, and of which chains
        self._orphaned_jobs: set[str] = set()  # steps that were recorded, and their chain never was
        self._ended_jobs: set[str] = set()  # jobs known to have ended, that some delivery waits for
        self._is_save_urgent = False  # a chain came to stand still: the next leader has to know
        cluster_state.on_task_failed = self._on_task_failed

    # -- taking over --------------------------------------------------------------------------

    async def read_entries(self) -> list[Entry]:
        return await self.store.read_entries()

    def restore(self, entries: list[Entry]) -> None:
        """Before any pass: what a chain holds must not start."""
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
        """What delivers before what, of chains that go on: derived, and not only read.

        An older amendment that comes after a newer one is put before it. That stands on the newer one's page, which is
        written a moment later: a leader that ended in between left the two free to deliver in any order, and a lot's
        older state came into the viewer after its newer one (tests/test_fault_combinations.py).
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
        """The ends of steps that no leader has marked: of those since the pages were written the service tells."""
        jobs = self.cluster_state.jobs
        for job_id, run in [(job_id, jobs[job_id]) for job_id in self.workflow_by_job if job_id in jobs]:
            if run.final_state:
                # On the board for its tasks' sake, as the record of places names them.
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
                i.key.removeprefix(COMPLETED_JOB_PREFIX): decode_completed_job(i.value).state
                for i in changes[0]
                if i.value is not None
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
        # Steps whose chain was never answered for: their sender was told nothing, and may send it again for a while.
        self._orphaned_jobs = {
            run.spec.id for run in self.cluster_state.jobs.values() if run.spec.workflow_id not in ("", *self.workflows)
        }
        self.has_loaded_ends = True

    def _open_workflows(self) -> Iterable[Workflow]:
        return (workflow for workflow in self.workflows.values() if not workflow.is_ended)

    # -- the term -----------------------------------------------------------------------------

    async def run(self) -> None:
        last_saved = last_reported = monotonic_now()
        while True:
            await wait_at_most(EVALUATION_INTERVAL, self.work_available.wait())
            self.work_available.clear()
            if not self._may_write():
                await sleep(EVALUATION_INTERVAL)
                continue
            try:
                async with self._lock:
                    if not self.has_loaded_ends:
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
                log.info("chains: %s", e)
                await sleep(seconds(0.25))
            else:
                await sleep(seconds(0.05))

    def record_job_end(self, job_id: str, outcome: str) -> None:
        """A job's end is durable."""
        self._ended_jobs.add(job_id)
        workflow = self.workflow_by_job.pop(job_id, None)
        if workflow is not None and step_transitions.record_step_outcome(workflow, job_id, outcome, utc_now_ms()):
            self._workflows_with_unsaved_marks.add(workflow.id)
            self.on_workflow_changed(workflow)
            self._log_event(workflow, f"step {job_id} {outcome}")
        affected_workflow_ids = self._blocked_workflows_by_job.get(job_id, set()) | (
            {workflow.id} if workflow is not None else set()
        )
        if affected_workflow_ids:
            self._workflows_to_evaluate |= affected_workflow_ids
            self.work_available.set()

    async def _evaluate_workflows(self) -> None:
        """Let go what is free, end what has to end, and see which chains are over or cannot go on."""
        now_ms = utc_now_ms()
        await self._cancel_orphaned_jobs(now_ms)
        if not self._remaining_in_round:
            self._remaining_in_round = [workflow.id for workflow in self._open_workflows()]
        # Those in which something has happened, and of the others some at a time: jobs fail without an end.
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
            for n in actions.cancellable:
                await self._end_step(workflow, workflow.steps[n], "cancelled")
            if workflow.state == "open":
                for n in actions.releasable:
                    self._release_step(workflow, workflow.steps[n], now_ms)
            else:
                self._hold_unstarted_steps(workflow)
            superseded = step_transitions.superseded_steps(
                workflow, self.newest_revision_by_lot, self._has_step_started, self.settings
            )
            for n in superseded:
                await self._end_step(workflow, workflow.steps[n], "superseded")
            if actions.cancellable or superseded:
                actions = step_transitions.evaluate(workflow, self.settings, self._has_job_ended)
            if actions.final_state:
                self._finish_workflow(workflow, actions.final_state)

    async def _cancel_orphaned_jobs(self, now_ms: int) -> None:
        for job_id in sorted(self._orphaned_jobs):
            run = self.cluster_state.jobs.get(job_id)
            if run is None or run.final_state or run.spec.workflow_id in self.workflows:
                self._orphaned_jobs.discard(job_id)
            elif now_ms - run.spec.accepted_ms > ORPHANED_JOB_TIMEOUT_MS:
                log.info("chains: %s is ended: its amendment %s was not taken", job_id, run.spec.workflow_id)
                await self._cancel_live_job(job_id, run.spec)
                self._orphaned_jobs.discard(job_id)

    async def _cancel_live_job(self, job_id: str, spec: JobSpec) -> bool:
        """A job's end by its sender's word, durable when this returns. False if it does not live."""
        live = await self.kv_store.get(LIVE_JOB_PREFIX + job_id)
        if live is None:
            return False
        ops = [
            put(COMPLETED_JOB_PREFIX + job_id, to_stored(completed_job(spec, "cancelled"))),
            delete(LIVE_JOB_PREFIX + job_id),
        ]

        async def confirm_cancelled() -> int | None:
            entry = await self.kv_store.get(COMPLETED_JOB_PREFIX + job_id)
            return (
                entry.version if entry is not None and decode_completed_job(entry.value).state == "cancelled" else None
            )

        await commit_or_confirm(
            self.kv_store,
            [(LIVE_JOB_PREFIX + job_id, live.version), (COMPLETED_JOB_PREFIX + job_id, 0)],
            ops,
            confirm_cancelled,
        )
        return True

    def _has_job_ended(self, job_id: str) -> bool:
        # Not before its tasks have left their machines: one that was stopped might deliver yet.
        return job_id not in self.cluster_state.jobs and (
            job_id in self._ended_jobs or (self.has_loaded_ends and job_id not in self.workflow_by_job)
        )

    def _release_step(self, workflow: Workflow, step: WorkflowStep, now_ms: int) -> None:
        run = self.cluster_state.jobs.get(step.job_id)
        if run is None or run.final_state:
            self._workflows_to_evaluate.add(workflow.id)  # the watch tells of it in a moment
            return
        step.released_ms = now_ms
        self._workflows_with_unsaved_marks.add(workflow.id)
        self._release_held_job(run, step)
        self.on_workflow_changed(workflow)
        self._log_event(workflow, f"step {step.job_id} may start")

    def _release_held_job(self, run: JobRun, step: WorkflowStep) -> None:
        if run.hold_reason:
            # Its due time and its place in the queue run from here.
            self.cluster_state.release_job(run, step.released_ms)

    def _hold_unstarted_steps(self, workflow: Workflow) -> None:
        """Nothing more begins of a chain that stands still or was stopped; a step that fails does not go on failing."""
        for step in workflow.steps:
            run = self.cluster_state.jobs.get(step.job_id)
            if run is None or step.outcome or run.final_state:
                continue
            may_continue = bool(step.released_ms) and _has_started(run) and workflow.state != "standing"
            if may_continue:
                self._release_held_job(run, step)
            elif not run.hold_reason:
                self.cluster_state.hold_job(run, f"its chain {workflow.id} to go on: {workflow.reason}")

    def _on_task_failed(self, run: JobRun) -> None:
        """A task has failed. A step whose attempts are used up is held at once, before anything places it again."""
        workflow = self.workflow_by_job.get(run.spec.id)
        if workflow is not None and workflow.state == "open" and self._has_exhausted_attempts(run):
            self.cluster_state.hold_job(run, f"its chain {workflow.id} to go on: its attempts are used up")
            self._workflows_to_evaluate.add(workflow.id)
            self.work_available.set()

    def _has_exhausted_attempts(self, run: JobRun) -> bool:
        return _failure_count(run) >= self.settings.max_attempts and run.completed_count == 0

    def _block_on_exhausted_attempts(self, workflow: Workflow) -> None:
        """A step whose attempts are used up: the chain stands still, and says so."""
        for step in workflow.steps:
            run = self.cluster_state.jobs.get(step.job_id)
            if run is None or step.outcome or not step.released_ms:
                continue
            if self._has_exhausted_attempts(run):
                failure_count, machine_count = _failure_count(run), len(run.failed_machines)
                workflow.state = "standing"
                workflow.reason = (
                    f"step {step.job_id} ({step.job_class}) failed {failure_count} times, on {machine_count} machines"
                )
                self._mark_page_dirty(workflow)
                self._is_save_urgent = True
                self.on_workflow_changed(workflow)
                self._log_event(workflow, "stands still")
                return
            if run.hold_reason:
                # A new leader knows from the page that it may start.
                self._release_held_job(run, step)

    async def _end_step(self, workflow: Workflow, step: WorkflowStep, outcome: str) -> None:
        """End a step by the word of its sender, as a user's cancel does. Durable when this returns."""
        if not step.outcome:
            run = self.cluster_state.jobs.get(step.job_id)
            if run is None or not await self._cancel_live_job(step.job_id, run.spec):
                entry = await self.kv_store.get(COMPLETED_JOB_PREFIX + step.job_id)
                if entry is None:
                    return  # heard of in a moment
                if decode_completed_job(entry.value).state == "done":
                    outcome = "done"
            self.workflow_by_job.pop(step.job_id, None)
            self._ended_jobs.add(step.job_id)
            step.outcome, step.ended_ms = outcome, utc_now_ms()
            self._workflows_with_unsaved_marks.add(workflow.id)
            self._log_event(workflow, f"step {step.job_id} {outcome}")

    def _finish_workflow(self, workflow: Workflow, state: str) -> None:
        workflow.state = state
        workflow.ended_ms = utc_now_ms()
        self._remove_from_indexes(workflow)
        self.on_workflow_changed(workflow)
        self._log_event(workflow, state)
        compacted = self.workflows[workflow.id] = compact_ended_workflow(workflow)
        self.store.record_compaction(workflow, compacted)
        self._mark_page_dirty(compacted)
        self._workflows_with_unsaved_marks.discard(workflow.id)
        if state == "done":
            # Whom this one has overtaken in the viewer needs to be known no more.
            self._ended_jobs.difference_update(workflow.blocking_jobs)
            for lot in workflow.lots:
                self.newest_revision_by_lot[lot] = max(self.newest_revision_by_lot.get(lot, -1), workflow.revision)

    # -- the record ---------------------------------------------------------------------------

    def _mark_page_dirty(self, workflow: Workflow) -> None:
        page_number = self.store.page_by_workflow.get(workflow.id)
        if page_number is not None:
            self._dirty_pages.add(page_number)

    async def _save_pages(self) -> None:
        """Pages with what must be known, and those whose marks would be forgotten by the state service."""
        self._remove_expired_workflows()
        dirty_pages, self._dirty_pages = self._dirty_pages, set()
        page_numbers = set(dirty_pages)
        watched_revision = self.watched_revision()
        for workflow_id in self._workflows_with_unsaved_marks:
            page_number = self.store.page_by_workflow.get(workflow_id)
            if (
                page_number is not None
                and watched_revision - self.store.key_versions.get(WorkflowStore.page_key(page_number), 0)
                > MAX_PAGE_AGE_REVISIONS
            ):
                page_numbers.add(page_number)
        # A page that nothing has changed on is old as well: ends are asked for from the oldest page on.
        for key, version in self.store.key_versions.items():
            if watched_revision - version > MAX_PAGE_AGE_REVISIONS and len(page_numbers) < 4:
                page_numbers.add(int(key.removeprefix("chain/")))
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
        self._workflows_with_unsaved_marks = {
            workflow_id
            for workflow_id in self._workflows_with_unsaved_marks
            if self.store.page_by_workflow.get(workflow_id) not in page_numbers
        }

    def _remove_expired_workflows(self) -> None:
        """Ended chains go after their time, and the oldest of them where there is no room."""
        oldest_kept_ms = utc_now_ms() - round(self.settings.retention.total_seconds() * 1000)
        for workflow in [c for c in self.workflows.values() if c.is_ended and c.ended_ms < oldest_kept_ms]:
            self._remove_workflow(workflow)

    def _remove_workflow(self, workflow: Workflow) -> None:
        self._mark_page_dirty(workflow)
        self.store.release_page_space(workflow)
        self.workflows.pop(workflow.id, None)

    def _evict_oldest_ended_workflows(self) -> bool:
        """The oldest chains that have ended make way for one that comes. Whether some did."""
        ended_workflows = sorted((c for c in self.workflows.values() if c.is_ended), key=lambda c: (c.ended_ms, c.id))
        for workflow in ended_workflows[:20]:
            self._remove_workflow(workflow)
        return bool(ended_workflows)

    # -- registries and operators ---------------------------------------------------------------

    async def accept_amendment(self, value: Any) -> tuple[bool, dict[str, Any]]:
        """Take an amendment; durable when this returns. (whether it is new, how it stands); Refused or NotNow."""
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
                return False, self._workflow_view(existing)
            self._validate_jobs(amendment.id, specs)
            if not self.has_loaded_ends:
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
                self._log_event(workflow, "superseded: a newer amendment of its lots is here")
                self.on_workflow_changed(workflow)
                return True, self._workflow_view(workflow)
            self._add_to_indexes(workflow)
            self._log_event(
                workflow, f"taken: {len(workflow.steps)} steps, {len(workflow.lots)} lots, revision {workflow.revision}"
            )
            self.on_workflow_changed(workflow)
            self.work_available.set()
            return True, self._workflow_view(workflow)

    def _retry_after_s(self) -> float:
        return max(1.5, round(self.settings.intake_window.total_seconds() / self.settings.max_amendments_per_window, 1))

    def _validate_jobs(self, workflow_id: str, specs: list[JobSpec]) -> None:
        """What a submission would be refused for."""
        classes = {o.job_class for o in self.cluster_state.settings.params.objectives if o.job_class}
        classes |= {workflow_id for group in self.settings.step_order for workflow_id in group}
        for spec in specs:
            reason = rejection_reason(spec, self.cluster_state.teams, list(self.cluster_state.catalog.values()))
            if reason is not None:
                raise WorkflowRejected(f"step {spec.id}: {reason}", 422)
            if classes and spec.job_class not in classes:
                raise WorkflowRejected(f"step {spec.id}: unknown class {spec.job_class}", 422)
            workflow = self.workflow_by_job.get(spec.id)
            run = self.cluster_state.jobs.get(spec.id)
            if workflow is not None or (run is not None and run.spec.workflow_id != workflow_id):
                owner = f" of chain {workflow.id}" if workflow is not None else ""
                raise WorkflowRejected(f"step {spec.id}: a job{owner} has this id already", 409)

    def _order_deliveries(self, workflow: Workflow) -> None:
        """What this one's delivery waits for. A chain that comes after newer ones is superseded as it is taken."""
        if all(self.newest_revision_by_lot.get(lot, -1) > workflow.revision for lot in workflow.lots):
            workflow.state, workflow.ended_ms = "superseded", workflow.accepted_ms
            for step in workflow.steps:
                step.outcome, step.ended_ms = "superseded", workflow.accepted_ms
            return
        workflow_ids = {name for lot in workflow.lots for name in self.open_workflow_ids_by_lot.get(lot, ())}
        newer: list[Workflow] = []
        for other in sorted(
            (self.workflows[name] for name in workflow_ids), key=lambda c: (c.revision, c.accepted_ms, c.id)
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
            # It came first and is newer: what it delivers waits for this one.
            self._add_blocking_jobs(other, step_transitions.pending_delivery_jobs(workflow, other))
            self._mark_page_dirty(other)

    def _may_have_delivered(self, workflow: Workflow) -> bool:
        """Whether some of its delivery may have begun, also under an earlier leader, whose release is not on record."""
        return any(
            step.is_delivery and (step.released_ms or step.outcome or self._has_step_started(step))
            for step in workflow.steps
        )

    def _has_step_started(self, step: WorkflowStep) -> bool:
        run = self.cluster_state.jobs.get(step.job_id)
        return run is not None and _has_started(run)

    async def _write_workflow(self, workflow: Workflow, specs: list[JobSpec]) -> None:
        """The chain's page and all its jobs' records, or nothing."""
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
                # Jobs first: without the chain's page they are held, and taken up as the same amendment comes again.
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
                own_jobs: set[str] = set()
                for path in e.failed_keys:
                    job_id = path.partition("/")[2]
                    entry = await self.kv_store.get(path)
                    if entry is None:
                        continue
                    if (
                        path.startswith(LIVE_JOB_PREFIX)
                        and isinstance(entry.value, dict)
                        and entry.value.get("chain") == workflow.id
                    ):
                        own_jobs.add(job_id)  # an earlier try of this amendment that nobody was told of
                    else:
                        raise WorkflowRejected(f"step {job_id}: a job has this id already", 409) from e
                specs = [spec for spec in specs if spec.id not in own_jobs]
        raise StoreError("the steps' ids kept changing")

    async def stop_or_resume(self, workflow_id: str, verb: str) -> dict[str, Any]:
        """Stop a chain where it stands, or let it go on."""
        async with self._lock:
            workflow = self.workflows.get(workflow_id)
            if workflow is None:
                raise WorkflowRejected(f"no chain is called {workflow_id}", 404)
            if workflow.is_ended:
                raise WorkflowRejected(f"chain {workflow_id} is over: {workflow.state}")
            previous = (workflow.state, workflow.reason)
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
                workflow.state, workflow.reason = previous
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
            self._log_event(workflow, "goes on" if verb == "resume" else "stopped")
            self.work_available.set()
            return self._workflow_view(workflow)

    # -- told ---------------------------------------------------------------------------------

    def _log_event(self, workflow: Workflow, event: str) -> None:
        log.info("chain %s: %s%s", workflow.id, event, f"; {workflow.reason}" if workflow.reason else "")

    def _log_counts(self) -> None:
        counts = self.count_by_state()
        if any(state in counts for state in ("open", "standing", "stopped")):
            log.info("chains: %s", ", ".join(f"{n} {state}" for state, n in counts.items()))

    def count_by_state(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for workflow in self.workflows.values():
            counts[workflow.state] = counts.get(workflow.state, 0) + 1
        return dict(sorted(counts.items()))

    def summary(self) -> dict[str, Any]:
        """For `status`."""
        if not self.workflows:
            return {}
        blocked = [f"{c.id}: {c.reason}" for c in self.workflows.values() if c.state == "standing"]
        return {"chains": self.count_by_state(), "chains_standing": blocked[:20]}

    def describe(self) -> dict[str, Any]:
        state_order = {"standing": 0, "stopped": 1, "open": 2, "superseded": 3, "done": 4}
        workflows = sorted(self.workflows.values(), key=lambda c: (state_order[c.state], -c.accepted_ms, c.id))
        return {
            "counts": self.count_by_state(),
            "chains": [self._workflow_view(workflow, is_brief=True) for workflow in workflows[:MAX_LISTED_WORKFLOWS]],
        }

    def describe_workflow(self, workflow_id: str) -> dict[str, Any]:
        workflow = self.workflows.get(workflow_id)
        if workflow is None:
            raise WorkflowRejected(f"no chain is called {workflow_id}", 404)
        return self._workflow_view(workflow)

    def _workflow_view(self, workflow: Workflow, is_brief: bool = False) -> dict[str, Any]:
        now_ms = utc_now_ms()
        answer: dict[str, Any] = {
            "id": workflow.id,
            "revision": workflow.revision,
            "team": workflow.team,
            "state": workflow.state,
            "why": workflow.reason or None,
            "lots": len(workflow.lots),
            "steps": len(workflow.steps),
            "steps_over": sum(bool(step.outcome) for step in workflow.steps),
            "taken_s_ago": round((now_ms - workflow.accepted_ms) / 1000, 1),
            "ended_s_ago": round((now_ms - workflow.ended_ms) / 1000, 1) if workflow.ended_ms else None,
            "due_ms": workflow.due_ms or None,
            "waits_for": self._waiting_reason(workflow),
        }
        if not is_brief:
            answer["detail"] = [self._step_view(step, workflow) for step in workflow.steps]
        return answer

    def _waiting_reason(self, workflow: Workflow) -> str | None:
        if workflow.is_ended:
            return None
        if workflow.state != "open":
            return workflow.reason
        for step in workflow.steps:
            if not step.outcome and step.released_ms:
                explanation = explain_job(self.cluster_state, step.job_id, monotonic_now())
                if explanation is not None and explanation["waits_for"]:
                    return f"step {step.job_id}: {explanation['waits_for']}"
        unfinished = [step.job_id for step in workflow.steps if not step.outcome]
        return (
            f"steps {', '.join(unfinished[:3])}{' and more' if len(unfinished) > 3 else ''} to end"
            if unfinished
            else None
        )

    def _step_view(self, step: WorkflowStep, workflow: Workflow) -> dict[str, Any]:
        run = self.cluster_state.jobs.get(step.job_id)
        state = step.outcome or ("waits" if not step.released_ms else "runs" if run and _has_started(run) else "queued")
        return {
            "job": step.job_id,
            "class": step.job_class,
            "state": state,
            "follows": [workflow.steps[n].job_id for n in step.dependencies],
            "tasks": run.spec.task_count if run is not None else None,
            "tasks_done": run.completed_count if run is not None else None,
        }


def _failure_count(run: JobRun) -> int:
    return max(run.failure_count, len(run.failed_machines))


def _has_started(run: JobRun) -> bool:
    return run.has_started or run.completed_count > 0 or any(p.phase > 0 for p in run.placements.values())
