"""State transitions of workflows. Pure: takes what is known of jobs, returns the actions to perform.

A step is releasable once all its dependencies are satisfied: done, or cancelled where the settings skip cancelled
steps. A workflow stores nothing beyond what the jobs' own records show: one that was stored long ago is brought up to
date by the ends of jobs since.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from roseweir.workflows.model import Workflow, WorkflowStep
from roseweir.workflows.settings import WorkflowSettings


@dataclass(slots=True)
class PendingActions:
    """The actions that an evaluation of one workflow asks for."""

    releasable: list[int] = field(default_factory=list)  # steps that may start now
    cancellable: list[int] = field(default_factory=list)  # steps that have to be cancelled
    final_state: str = ""  # the workflow's final state, if it has ended


def record_step_outcome(workflow: Workflow, job_id: str, outcome: str, now_ms: int) -> bool:
    """Note the durable end of a step's job, at `now_ms`. Return whether it was not known before."""
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
        has_ended: whether a job of an older workflow, which blocks this one's deliveries, has ended in whatever way.
    """
    actions = PendingActions()
    if workflow.is_ended:
        return actions
    cancelled_steps = [n for n, step in enumerate(workflow.steps) if step.outcome == "cancelled"]
    if cancelled_steps and settings.on_cancel == "stop":
        # The dependencies of these steps will never be satisfied.
        for n in _transitive_dependents(workflow, cancelled_steps):
            if not workflow.steps[n].outcome:
                actions.cancellable.append(n)
    deliveries_allowed = all(has_ended(job_id) for job_id in workflow.blocking_jobs)
    for n, step in enumerate(workflow.steps):
        if step.outcome or step.released_ms or n in actions.cancellable:
            continue
        if all(_satisfies_dependents(workflow.steps[dependency], settings) for dependency in step.dependencies) and (
            deliveries_allowed or not step.is_delivery
        ):
            actions.releasable.append(n)
    if all(step.outcome for step in workflow.steps):
        delivered = any(step.outcome == "done" and step.is_delivery for step in workflow.steps)
        superseded = any(step.outcome == "superseded" for step in workflow.steps)
        actions.final_state = "superseded" if superseded and not delivered else "done"
    return actions


def _satisfies_dependents(step: WorkflowStep, settings: WorkflowSettings) -> bool:
    return step.outcome == "done" or (step.outcome == "cancelled" and settings.on_cancel == "skip")


def _transitive_dependents(workflow: Workflow, step_numbers: Iterable[int]) -> set[int]:
    found: set[int] = set()
    frontier = list(step_numbers)
    while frontier:
        for n in workflow.dependents(frontier.pop()):
            if n not in found:
                found.add(n)
                frontier.append(n)
    return found


def superseded_steps(
    older: Workflow,
    newest_revision_by_lot: Mapping[str, int],
    has_started: Callable[[WorkflowStep], bool],
    settings: WorkflowSettings,
) -> list[int]:
    """Return the steps of the older workflow that have to end, as newer workflows cover all their lots.

    A step that another unfinished step depends on stays: otherwise, with one lot of a join superseded, the join would
    wait for a step that never ends, and the newer workflow for the join.

    Args:
        older: the workflow.
        newest_revision_by_lot: the newest accepted revision of each lot.
        has_started: whether a step's job has started.
        settings: the settings of workflows.
    """
    found = []
    for n, step in enumerate(older.steps):
        if step.outcome or not all(newest_revision_by_lot.get(lot, -1) > older.revision for lot in older.lots_of(step)):
            continue
        if not has_started(step) or settings.superseded == "stop":
            found.append(n)
    while still_needed := [
        n for n in found if any(not older.steps[f].outcome and f not in found for f in older.dependents(n))
    ]:
        found = [n for n in found if n not in still_needed]
    return found


def pending_delivery_jobs(older: Workflow, newer: Workflow) -> list[str]:
    """Return the jobs of the older workflow that may still deliver lots of the newer one, which must come after them.

    Those that are to be superseded count as well, until they have ended.
    """
    lots = set(newer.lots)
    return [
        step.job_id for step in older.steps if step.is_delivery and not step.outcome and lots & set(older.lots_of(step))
    ]
