"""The critical path of a workflow: the longest sequence of unfinished steps up to its last delivery. Pure."""

from collections.abc import Callable

from roseweir.workflows.model import Workflow, WorkflowStep

# A step that has run for longer than its class typically does is given this part of the typical duration again.
MIN_REMAINING_FRACTION = 0.25


def remaining_critical_path(
    workflow: Workflow, typical_duration: Callable[[WorkflowStep], float], now_ms: int
) -> tuple[float, str]:
    """Return the seconds left on the critical path to the last delivery, and the class of its longest step.

    Args:
        workflow: the workflow; ended steps take no more time.
        typical_duration: the seconds that a step of its class takes from release to end.
        now_ms: the time of day, in milliseconds.
    """
    paths: dict[int, tuple[float, float, str]] = {}

    def path_to(n: int) -> tuple[float, float, str]:
        known = paths.get(n)
        if known is not None:
            return known
        step = workflow.steps[n]
        before = max((path_to(m) for m in step.dependencies), default=(0.0, 0.0, ""))
        if step.outcome:
            paths[n] = (before[0], before[1], before[2])
            return paths[n]
        typical_s = typical_duration(step)
        left_s = typical_s
        if step.released_ms:
            left_s = max(typical_s * MIN_REMAINING_FRACTION, typical_s - (now_ms - step.released_ms) / 1000)
        longest, name = (left_s, step.job_class) if left_s > before[1] else (before[1], before[2])
        paths[n] = (before[0] + left_s, longest, name)
        return paths[n]

    longest_path = max(
        (path_to(n) for n, step in enumerate(workflow.steps) if step.is_delivery), default=(0.0, 0.0, "")
    )
    return longest_path[0], longest_path[2]
