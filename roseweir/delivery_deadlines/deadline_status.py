"""How promises stand: where each lot is, when it should be in the viewer, and what is at risk. Pure.

The forecast goes by the longest way through the steps that are left: for each the time that its class has taken from
its release to its end, at a stated quantile, less what has passed. What is told as kept or late rests on durable ends
and the clock alone, never on a forecast.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from roseweir.workflows.model import Workflow, WorkflowStep

MET, LATE, DELIVERED_LATE, SUPERSEDED = "kept", "late", "late, in the viewer", "superseded"
ON_TRACK, AT_RISK, UNATTAINABLE = "on course", "at risk", "cannot be kept any more"
# Ends that a class's times are told from, and what a class takes of which nothing is known.
MAX_DURATION_SAMPLES, DEFAULT_STEP_DURATION_S = 64, 60.0
# A step that has taken longer than its class usually does is given this part of that time again.
MIN_REMAINING_FRACTION = 0.25


class StepDurations:
    """Seconds from a step's release to its end, by class: what they took lately."""

    def __init__(self) -> None:
        self.samples_by_class: dict[str, deque[float]] = {}

    def add(self, job_class: str, seconds: float) -> None:
        self.samples_by_class.setdefault(job_class, deque(maxlen=MAX_DURATION_SAMPLES)).append(round(seconds, 1))

    def quantile(self, job_class: str, fraction: float) -> float | None:
        durations = sorted(self.samples_by_class.get(job_class, ()))
        return durations[min(len(durations) - 1, int(len(durations) * fraction))] if durations else None

    def encode(self) -> dict[str, list[float]]:
        """Enough to go on with."""
        return {name: list(times)[-16:] for name, times in sorted(self.samples_by_class.items())}

    def decode(self, value: Mapping[str, Any]) -> None:
        for name, times in value.items():
            self.samples_by_class[str(name)] = deque((float(t) for t in times), maxlen=MAX_DURATION_SAMPLES)


@dataclass(slots=True)
class DeadlineStatus:
    """Of one chain with a promise."""

    workflow_id: str
    team: str
    due_ms: int
    state: str
    stage: str  # the class of the step that it is at, "in the viewer" or "superseded"
    expected_ms: int  # when its last lot should be in the viewer
    slack_ms: int  # until when it could wait; below 0: it will be late
    lot_count: int
    delivered_lot_count: int
    waits_for: str | None = None
    slowest_step_class: str = ""  # the class of the step that takes the longest of what is left


def remaining_critical_path(
    workflow: Workflow, typical_duration: Callable[[WorkflowStep], float], now_ms: int
) -> tuple[float, str]:
    """Seconds of the longest way to the last delivery, and the class of its longest step."""
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
        usually = typical_duration(step)
        left = usually
        if step.released_ms:
            left = max(usually * MIN_REMAINING_FRACTION, usually - (now_ms - step.released_ms) / 1000)
        longest, name = (left, step.job_class) if left > before[1] else (before[1], before[2])
        paths[n] = (before[0] + left, longest, name)
        return paths[n]

    longest_path = max(
        (path_to(n) for n, step in enumerate(workflow.steps) if step.is_delivery), default=(0.0, 0.0, "")
    )
    return longest_path[0], longest_path[2]


def delivered_lots(workflow: Workflow, by_ms: int | None = None) -> list[str]:
    """Lots all of whose deliveries have durably ended, by an instant if one is named."""
    undelivered: set[str] = set()
    lots_with_delivery: set[str] = set()
    for step in workflow.steps:
        if not step.is_delivery:
            continue
        lots = workflow.lots_of(step)
        lots_with_delivery.update(lots)
        if step.outcome != "done" or (by_ms is not None and step.ended_ms > by_ms):
            undelivered.update(lots)
    return [lot for lot in workflow.lots if lot in lots_with_delivery and lot not in undelivered]


def evaluate_deadline(
    workflow: Workflow, typical_duration: Callable[[WorkflowStep], float], margin_ms: int, now_ms: int
) -> DeadlineStatus:
    delivered_lot_count = len(delivered_lots(workflow))
    left_s, slowest_step_class = remaining_critical_path(workflow, typical_duration, now_ms)
    expected_ms = now_ms + round(left_s * 1000)
    delivered_ms = max((s.ended_ms for s in workflow.steps if s.is_delivery and s.outcome == "done"), default=0)
    current = next((s.job_class for s in workflow.steps if not s.outcome and s.released_ms), "")
    stage = current or next((s.job_class for s in workflow.steps if not s.outcome), "in the viewer")
    if workflow.state == "superseded":
        state, stage, expected_ms = SUPERSEDED, "superseded", workflow.ended_ms
    elif delivered_lot_count == len(workflow.lots):
        state = MET if delivered_ms <= workflow.due_ms else DELIVERED_LATE
        stage, expected_ms = "in the viewer", delivered_ms
    elif now_ms > workflow.due_ms:
        state = LATE
    elif workflow.is_ended:
        state, stage = LATE, "not delivered"
    elif now_ms + left_s * 1000 * MIN_REMAINING_FRACTION > workflow.due_ms:
        state = UNATTAINABLE
    elif expected_ms + margin_ms > workflow.due_ms or workflow.state != "open":
        state = AT_RISK
    else:
        state = ON_TRACK
    slack_ms = workflow.due_ms - expected_ms
    return DeadlineStatus(
        workflow.id,
        workflow.team,
        workflow.due_ms,
        state,
        stage,
        expected_ms,
        slack_ms,
        len(workflow.lots),
        delivered_lot_count,
        slowest_step_class=slowest_step_class,
    )


STATE_SORT_ORDER = {AT_RISK: 0, UNATTAINABLE: 1, LATE: 2, ON_TRACK: 3, DELIVERED_LATE: 4, MET: 5, SUPERSEDED: 6}


def urgent_job_slack(statuses: Iterable[DeadlineStatus], workflows: Mapping[str, Workflow]) -> dict[str, int]:
    """Slack in milliseconds of the jobs that have to be first among their team's: steps of what is at risk.

    What cannot be kept any more does not push out what can, and what is on course needs no help.
    """
    slack_by_job: dict[str, int] = {}
    for status in statuses:
        if status.state != AT_RISK:
            continue
        for step in workflows[status.workflow_id].steps:
            if not step.outcome and step.released_ms:
                slack_by_job[step.job_id] = min(status.slack_ms, slack_by_job.get(step.job_id, status.slack_ms))
    return slack_by_job


@dataclass(slots=True)
class NightReport:
    """A night's report: lots promised for one morning."""

    due_lots: int = 0
    on_time_lots: int = 0
    late_lots: int = 0
    superseded_lots: int = 0
    max_lateness_s: int = 0
    late_lots_by_step_class: dict[str, int] = field(
        default_factory=dict
    )  # lots that were late, by the class of the step that held them

    def add(self, workflow: Workflow, late_step_class: str, now_ms: int) -> None:
        lot_count = len(workflow.lots)
        self.due_lots += lot_count
        if workflow.state == "superseded":
            self.superseded_lots += lot_count
            return
        on_time_count = len(delivered_lots(workflow, workflow.due_ms))
        self.on_time_lots += on_time_count
        if now_ms > workflow.due_ms and on_time_count < lot_count:
            self.late_lots += lot_count - on_time_count
            delivered_ms = max((s.ended_ms for s in workflow.steps if s.is_delivery), default=0)
            late_until_ms = delivered_ms if workflow.is_ended and delivered_ms else now_ms
            self.max_lateness_s = max(self.max_lateness_s, round((late_until_ms - workflow.due_ms) / 1000))
            self.late_lots_by_step_class[late_step_class or "unknown"] = (
                self.late_lots_by_step_class.get(late_step_class or "unknown", 0) + lot_count - on_time_count
            )

    def encode(self) -> list[Any]:
        return [
            self.due_lots,
            self.on_time_lots,
            self.late_lots,
            self.superseded_lots,
            self.max_lateness_s,
            self.late_lots_by_step_class,
        ]

    @classmethod
    def decode(cls, value: Any) -> "NightReport":
        *counts, late_lots_by_step_class = value
        due_lots, on_time_lots, late_lots, superseded_lots, max_lateness_s = map(int, counts)
        return cls(
            due_lots,
            on_time_lots,
            late_lots,
            superseded_lots,
            max_lateness_s,
            {str(name): int(n) for name, n in late_lots_by_step_class.items()},
        )
