"""The status of delivery deadlines: the stage of each workflow, its expected delivery and whether it is at risk. Pure.

The forecast is the length of the critical path through the unfinished steps. Each step counts with the time that its
class takes from release to end, at the quantile in the settings, less the time since its release. Whether a deadline
was met or missed depends on durable ends and the clock alone, never on a forecast.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from roseweir.delivery_deadlines.critical_path import MIN_REMAINING_FRACTION, remaining_critical_path
from roseweir.delivery_deadlines.lot_deliveries import delivered_lots, last_delivery_ms
from roseweir.workflows.model import Workflow, WorkflowStep

MET = "kept"
LATE = "late"
DELIVERED_LATE = "late, in the viewer"
SUPERSEDED = "superseded"
ON_TRACK = "on course"
AT_RISK = "at risk"
UNATTAINABLE = "cannot be kept any more"
# The order in which states are listed: those that need an operator first.
STATE_SORT_ORDER = {AT_RISK: 0, UNATTAINABLE: 1, LATE: 2, ON_TRACK: 3, DELIVERED_LATE: 4, MET: 5, SUPERSEDED: 6}


@dataclass(slots=True)
class DeadlineStatus:
    """The status of one workflow that has a delivery deadline."""

    workflow_id: str
    team: str
    due_ms: int
    state: str
    stage: str  # the class of its current step, "in the viewer", "not delivered" or "superseded"
    expected_ms: int  # forecast or actual time of the last lot's delivery
    slack_ms: int  # time from `expected_ms` to the due time; below 0: late
    lot_count: int
    delivered_lot_count: int
    waits_for: str | None = None
    slowest_step_class: str = ""  # the class of the longest step on the critical path


def evaluate_deadline(
    workflow: Workflow, typical_duration_s: Callable[[WorkflowStep], float], risk_margin_ms: int, now_ms: int
) -> DeadlineStatus:
    """Return the current status of a workflow's deadline.

    Args:
        workflow: a workflow with a deadline.
        typical_duration_s: returns the seconds that a step of its class takes from release to end.
        risk_margin_ms: with less slack than this, in milliseconds, the deadline is at risk.
        now_ms: the current time, in milliseconds since the epoch.
    """
    delivered_lot_count = len(delivered_lots(workflow))
    remaining_s, slowest_step_class = remaining_critical_path(workflow, typical_duration_s, now_ms)
    expected_ms = now_ms + round(remaining_s * 1000)
    delivered_ms = last_delivery_ms(workflow)
    current_step_class = next((s.job_class for s in workflow.steps if not s.outcome and s.released_ms), "")
    stage = current_step_class or next((s.job_class for s in workflow.steps if not s.outcome), "in the viewer")
    if workflow.state == "superseded":
        state, stage, expected_ms = SUPERSEDED, "superseded", workflow.ended_ms
    elif delivered_lot_count == len(workflow.lots):
        state = MET if delivered_ms <= workflow.due_ms else DELIVERED_LATE
        stage, expected_ms = "in the viewer", delivered_ms
    elif now_ms > workflow.due_ms:
        state = LATE
    elif workflow.is_ended:
        state, stage = LATE, "not delivered"
    elif now_ms + remaining_s * 1000 * MIN_REMAINING_FRACTION > workflow.due_ms:
        state = UNATTAINABLE
    elif expected_ms + risk_margin_ms > workflow.due_ms or workflow.state != "open":
        state = AT_RISK
    else:
        state = ON_TRACK
    slack_ms = workflow.due_ms - expected_ms
    return DeadlineStatus(
        workflow_id=workflow.id,
        team=workflow.team,
        due_ms=workflow.due_ms,
        state=state,
        stage=stage,
        expected_ms=expected_ms,
        slack_ms=slack_ms,
        lot_count=len(workflow.lots),
        delivered_lot_count=delivered_lot_count,
        slowest_step_class=slowest_step_class,
    )


def slack_of_steps_at_risk(statuses: Iterable[DeadlineStatus], workflows: Mapping[str, Workflow]) -> dict[str, int]:
    """Return the slack, in milliseconds by job id, of the released steps of workflows at risk.

    These jobs are scheduled first among their team's jobs. Workflows that can no longer be on time are left out, as
    they must not delay those that can, and so are workflows that are on track.
    """
    slack_by_job: dict[str, int] = {}
    for status in statuses:
        if status.state != AT_RISK:
            continue
        for step in workflows[status.workflow_id].steps:
            if not step.outcome and step.released_ms:
                slack_by_job[step.job_id] = min(status.slack_ms, slack_by_job.get(step.job_id, status.slack_ms))
    return slack_by_job
