"""The dependencies between the steps of an amendment, checked for unknown steps and cycles. Pure."""

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
    step_numbers = {spec.id: n for n, spec in enumerate(specs)}
    lots = set(amendment.lots)
    dependencies: list[list[int]] = []
    for n, step in enumerate(amendment.steps):
        for lot in step.lots:
            if lot not in lots:
                raise WorkflowRejected(f"step {specs[n].id} is for lot {lot}, which the amendment does not name")
        if step.dependencies is None:
            dependencies.append(_default_dependencies(n, specs, amendment, settings))
            continue
        for name in step.dependencies:
            if name not in step_numbers:
                raise WorkflowRejected(f"step {specs[n].id} follows {name}, which is no step of the amendment")
        dependencies.append(sorted({step_numbers[name] for name in step.dependencies}))
    _reject_cycles(dependencies, specs)
    return dependencies


def _default_dependencies(
    step_number: int, specs: Sequence[JobSpec], amendment: Amendment, settings: WorkflowSettings
) -> list[int]:
    """Return the dependencies of a step that names none: the steps for its lots in the nearest earlier group."""
    group = settings.group_index(specs[step_number].job_class)
    if group is None:
        return []
    own_lots = set(amendment.steps[step_number].lots)
    for earlier_group in range(group - 1, -1, -1):
        earlier_steps = [
            n
            for n, spec in enumerate(specs)
            if spec.job_class in settings.step_order[earlier_group]
            and (not own_lots or not amendment.steps[n].lots or own_lots & set(amendment.steps[n].lots))
        ]
        if earlier_steps:
            return earlier_steps
    return []


def _reject_cycles(dependencies: list[list[int]], specs: Sequence[JobSpec]) -> None:
    unresolved = {n: set(remaining) for n, remaining in enumerate(dependencies)}
    while unresolved:
        resolved = [n for n, remaining in unresolved.items() if not remaining]
        if not resolved:
            names = ", ".join(specs[n].id for n in sorted(unresolved))
            raise WorkflowRejected(f"steps follow one another in a circle: {names}")
        for n in resolved:
            del unresolved[n]
        for remaining in unresolved.values():
            remaining.difference_update(resolved)
