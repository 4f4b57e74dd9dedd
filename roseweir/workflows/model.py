"""Workflows and their steps, as they are stored."""

from collections.abc import Iterable, Sequence

import msgspec

from roseweir.submissions.jobs import JobSpec
from roseweir.workflows.amendment import Amendment, content_digest
from roseweir.workflows.settings import WorkflowSettings


class WorkflowStep(msgspec.Struct, array_like=True):
    """One step of a workflow: a job, its dependencies and its outcome. Its number is its index in `Workflow.steps`."""

    job_id: str
    job_class: str
    dependencies: list[int]  # numbers of the steps that it depends on
    lot_numbers: list[int]  # indexes of the lots in `Workflow.lots` that it processes; empty: all
    outcome: str = ""  # done, cancelled or superseded; empty until the job has ended
    released_ms: int = 0
    ended_ms: int = 0
    is_delivery: bool = False  # when it is done, its lots are in the viewer


class Workflow(
    msgspec.Struct,
    omit_defaults=True,
    rename={"accepted_ms": "taken_ms", "reason": "why", "late_step_class": "held_by", "blocking_jobs": "behind"},
):
    """An accepted amendment. Times are in milliseconds since the epoch; 0: not yet."""

    id: str
    revision: int
    team: str
    landed_ms: int
    accepted_ms: int
    digest: str
    lots: list[str]
    steps: list[WorkflowStep]
    state: str = "open"  # open, standing (blocked) or stopped; final: done or superseded
    reason: str = ""
    due_ms: int = 0  # when its lots are due in the viewer; 0: no delivery deadline
    ended_ms: int = 0
    late_step_class: str = ""  # class of the step that made it late
    # Jobs of older workflows of the same lots: its deliveries wait until these have ended, with any outcome.
    blocking_jobs: list[str] = []

    @property
    def is_ended(self) -> bool:
        """Whether the workflow is in a final state."""
        return self.state in ("done", "superseded")

    def dependents(self, number: int) -> Iterable[int]:
        """Return the numbers of the steps that depend directly on a step."""
        return (n for n, step in enumerate(self.steps) if number in step.dependencies)

    def lots_of(self, step: WorkflowStep) -> list[str]:
        """Return the lots that a step processes."""
        return [self.lots[n] for n in step.lot_numbers] if step.lot_numbers else self.lots


def build_workflow(
    amendment: Amendment,
    specs: Sequence[JobSpec],
    dependencies: list[list[int]],
    settings: WorkflowSettings,
    now_ms: int,
) -> Workflow:
    """Return the workflow of a valid amendment that is accepted at `now_ms`, in milliseconds since the epoch."""
    lot_number_by_name = {lot: n for n, lot in enumerate(amendment.lots)}
    steps_with_dependents = {n for step_dependencies in dependencies for n in step_dependencies}
    steps = [
        WorkflowStep(
            spec.id,
            spec.job_class,
            dependencies[n],
            sorted(lot_number_by_name[lot] for lot in amendment.steps[n].lots),
            is_delivery=spec.job_class == settings.delivery_class
            if settings.delivery_class
            else n not in steps_with_dependents,
        )
        for n, spec in enumerate(specs)
    ]
    if not any(step.is_delivery for step in steps):
        for step_number, step in enumerate(steps):
            step.is_delivery = step_number not in steps_with_dependents
    return Workflow(
        id=amendment.id,
        revision=amendment.revision,
        team=specs[0].team,
        landed_ms=amendment.landed_ms or now_ms,
        accepted_ms=now_ms,
        digest=content_digest(amendment),
        lots=amendment.lots,
        steps=steps,
    )
