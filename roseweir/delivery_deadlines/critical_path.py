"""The critical path of a workflow: the longest sequence of unfinished steps up to its last delivery. Pure."""

from collections.abc import Callable

from roseweir.workflows.model import Workflow, WorkflowStep

# A released step is expected to take at least this fraction of the typical duration of its class from now on, even if
# it has already run for longer than that duration.
MIN_REMAINING_FRACTION = 0.25


def remaining_critical_path(
    workflow: Workflow, typical_duration_s: Callable[[WorkflowStep], float], now_ms: int
) -> tuple[float, str]:
    """Return the remaining seconds on the critical path to the last delivery, and the class of its longest step.

    Args:
        workflow: the workflow; its ended steps take no more time.
        typical_duration_s: returns the seconds that a step of its class takes from release to end.
        now_ms: the current time, in milliseconds since the epoch.
    """
    # Remaining seconds, those of the longest step, and the class of that step, by step number.
    path_by_step: dict[int, tuple[float, float, str]] = {}

    def path_to(step_number: int) -> tuple[float, float, str]:
        cached_path = path_by_step.get(step_number)
        if cached_path is not None:
            return cached_path
        step = workflow.steps[step_number]
        previous_path = max((path_to(m) for m in step.dependencies), default=(0.0, 0.0, ""))
        if step.outcome:
            path_by_step[step_number] = (previous_path[0], previous_path[1], previous_path[2])
            return path_by_step[step_number]
        typical_s = typical_duration_s(step)
        remaining_s = typical_s
        if step.released_ms:
            remaining_s = max(typical_s * MIN_REMAINING_FRACTION, typical_s - (now_ms - step.released_ms) / 1000)
        longest_step_s, longest_step_class = (
            (remaining_s, step.job_class) if remaining_s > previous_path[1] else (previous_path[1], previous_path[2])
        )
        path_by_step[step_number] = (previous_path[0] + remaining_s, longest_step_s, longest_step_class)
        return path_by_step[step_number]

    longest_path = max(
        (path_to(n) for n, step in enumerate(workflow.steps) if step.is_delivery), default=(0.0, 0.0, "")
    )
    return longest_path[0], longest_path[2]
