"""Dependencies between the steps of an amendment, checked for unknown steps and cycles. Pure."""

from collections.abc import Sequence

from roseweir.submissions.jobs import JobSpec
from roseweir.workflows.amendment import Amendment
from roseweir.workflows.errors import WorkflowRejected
from roseweir.workflows.settings import WorkflowSettings


def step_dependencies(amendment: Amendment, specs: Sequence[JobSpec], settings: WorkflowSettings) -> list[list[int]]:
    """Return for each step the numbers of the steps that it depends on.

    Raises:
        WorkflowRejected: a step names an unknown lot or step, or the dependencies form a cycle.
    """
    step_number_by_job = {spec.id: n for n, spec in enumerate(specs)}
    lots = set(amendment.lots)
    dependencies: list[list[int]] = []
    for step_number, step in enumerate(amendment.steps):
        for lot in step.lots:
            if lot not in lots:
                raise WorkflowRejected(
                    f"step {specs[step_number].id} is for lot {lot}, which the amendment does not name"
                )
        if step.dependencies is None:
            dependencies.append(_default_dependencies(step_number, specs, amendment, settings))
            continue
        for job_id in step.dependencies:
            if job_id not in step_number_by_job:
                raise WorkflowRejected(
                    f"step {specs[step_number].id} follows {job_id}, which is no step of the amendment"
                )
        dependencies.append(sorted({step_number_by_job[job_id] for job_id in step.dependencies}))
    _reject_cycles(dependencies, specs)
    return dependencies


def _default_dependencies(
    step_number: int, specs: Sequence[JobSpec], amendment: Amendment, settings: WorkflowSettings
) -> list[int]:
    """Return the dependencies of a step that lists none: steps for its lots in the nearest earlier group with any."""
    group_index = settings.group_index(specs[step_number].job_class)
    if group_index is None:
        return []
    step_lots = set(amendment.steps[step_number].lots)
    for earlier_group_index in range(group_index - 1, -1, -1):
        earlier_steps = [
            n
            for n, spec in enumerate(specs)
            if spec.job_class in settings.step_order[earlier_group_index]
            and (not step_lots or not amendment.steps[n].lots or step_lots & set(amendment.steps[n].lots))
        ]
        if earlier_steps:
            return earlier_steps
    return []


def _reject_cycles(dependencies: list[list[int]], specs: Sequence[JobSpec]) -> None:
    unresolved = {n: set(remaining) for n, remaining in enumerate(dependencies)}
    while unresolved:
        resolved = [n for n, remaining in unresolved.items() if not remaining]
        if not resolved:
            cycle_ids = ", ".join(specs[n].id for n in sorted(unresolved))
            raise WorkflowRejected(f"steps follow one another in a circle: {cycle_ids}")
        for step_number in resolved:
            del unresolved[step_number]
        for remaining in unresolved.values():
            remaining.difference_update(resolved)
