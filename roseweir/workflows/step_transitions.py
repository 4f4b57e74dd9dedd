"""State transitions of workflows. Without I/O: `evaluate` returns the actions, and the controller performs them.

A step is releasable once all its dependencies are satisfied: done, or cancelled where the settings skip cancelled
steps. The outcomes of steps follow from the records of their jobs, so a workflow that was stored long ago is brought up
to date by the ends of jobs since.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from roseweir.workflows.model import Workflow, WorkflowStep
from roseweir.workflows.settings import WorkflowSettings


@dataclass(slots=True)
class PendingActions:
    """The actions that one evaluation of a workflow calls for; steps are given by their numbers."""

    releasable: list[int] = field(default_factory=list)  # steps that may start now
    cancellable: list[int] = field(default_factory=list)  # steps to cancel
    final_state: str = ""  # the workflow's final state, if it has ended


def record_step_outcome(workflow: Workflow, job_id: str, outcome: str, now_ms: int) -> bool:
    """Record the durable end of a step's job, at `now_ms`. Return whether the job was an unfinished step."""
    for step in workflow.steps:
        if step.job_id == job_id and not step.outcome:
            step.outcome = outcome
            step.ended_ms = now_ms
            return True
    return False


def evaluate(workflow: Workflow, settings: WorkflowSettings, has_ended: Callable[[str], bool]) -> PendingActions:
    """Return the pending actions of a workflow.

    Args:
        workflow: the workflow.
        settings: the settings of workflows.
        has_ended: returns whether a job has ended, with any outcome; called for the jobs that block deliveries.
    """
    actions = PendingActions()
    if workflow.is_ended:
        return actions
    cancelled_steps = [n for n, step in enumerate(workflow.steps) if step.outcome == "cancelled"]
    if cancelled_steps and settings.on_cancel == "stop":
        # The dependencies of these steps will never be satisfied.
        for step_number in _transitive_dependents(workflow, cancelled_steps):
            if not workflow.steps[step_number].outcome:
                actions.cancellable.append(step_number)
    deliveries_allowed = all(has_ended(job_id) for job_id in workflow.blocking_jobs)
    for step_number, step in enumerate(workflow.steps):
        if step.outcome or step.released_ms or step_number in actions.cancellable:
            continue
        if all(_satisfies_dependents(workflow.steps[dependency], settings) for dependency in step.dependencies) and (
            deliveries_allowed or not step.is_delivery
        ):
            actions.releasable.append(step_number)
    if all(step.outcome for step in workflow.steps):
        delivered = any(step.outcome == "done" and step.is_delivery for step in workflow.steps)
        superseded = any(step.outcome == "superseded" for step in workflow.steps)
        actions.final_state = "superseded" if superseded and not delivered else "done"
    return actions


def _satisfies_dependents(step: WorkflowStep, settings: WorkflowSettings) -> bool:
    return step.outcome == "done" or (step.outcome == "cancelled" and settings.on_cancel == "skip")


def _transitive_dependents(workflow: Workflow, step_numbers: Iterable[int]) -> set[int]:
    dependents: set[int] = set()
    frontier = list(step_numbers)
    while frontier:
        for dependent in workflow.dependents(frontier.pop()):
            if dependent not in dependents:
                dependents.add(dependent)
                frontier.append(dependent)
    return dependents


def superseded_steps(
    older: Workflow,
    newest_revision_by_lot: Mapping[str, int],
    has_started: Callable[[WorkflowStep], bool],
    settings: WorkflowSettings,
) -> list[int]:
    """Return the numbers of the older workflow's steps that have to end, as newer workflows cover all their lots.

    A step that another unfinished step depends on stays, unless that one has to end too. Otherwise, with one lot of a
    join superseded, the join would wait for a dependency that is never satisfied, and the newer workflow for the join.

    Args:
        older: the older workflow.
        newest_revision_by_lot: the newest accepted revision of each lot.
        has_started: returns whether a step's job has started.
        settings: the settings of workflows.
    """
    superseded = []
    for step_number, step in enumerate(older.steps):
        if step.outcome or not all(newest_revision_by_lot.get(lot, -1) > older.revision for lot in older.lots_of(step)):
            continue
        if not has_started(step) or settings.superseded == "stop":
            superseded.append(step_number)
    while still_needed := [
        n for n in superseded if any(not older.steps[d].outcome and d not in superseded for d in older.dependents(n))
    ]:
        superseded = [n for n in superseded if n not in still_needed]
    return superseded


def pending_delivery_jobs(older: Workflow, newer: Workflow) -> list[str]:
    """Return the older workflow's unfinished delivery jobs for lots of the newer one, whose deliveries wait for them.

    Jobs that are about to be superseded are included until they have ended.
    """
    lots = set(newer.lots)
    return [
        step.job_id for step in older.steps if step.is_delivery and not step.outcome and lots & set(older.lots_of(step))
    ]
