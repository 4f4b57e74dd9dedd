"""The leader's deadline controller: assigns and tracks delivery deadlines, and gives workflows at risk precedence.

The due time is part of the workflow's record, which is durable before the amendment is acknowledged. Everything else is
derived from workflows, except the reports of past nights and the measured durations of steps by class: these are stored
under one key.
"""

import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec

from roseweir.clock import monotonic_now, sleep, utc_now_ms
from roseweir.delivery_deadlines import due_time
from roseweir.delivery_deadlines.deadline_status import (
    AT_RISK,
    LATE,
    STATE_SORT_ORDER,
    UNATTAINABLE,
    DeadlineStatus,
    evaluate_deadline,
    slack_of_steps_at_risk,
)
from roseweir.delivery_deadlines.errors import NightRecordUnreadable
from roseweir.delivery_deadlines.lot_deliveries import delivered_lots
from roseweir.delivery_deadlines.night_report import NightReport
from roseweir.delivery_deadlines.settings import DEFAULT_FORECAST_QUANTILE, DeadlineSettings
from roseweir.delivery_deadlines.step_durations import DEFAULT_STEP_DURATION_S, StepDurations
from roseweir.http import Unreachable
from roseweir.kv_store import CompareFailed, KeyValueStoreClient, StoreError
from roseweir.kv_store.fenced_writes import FencedWriter, LeadershipLost
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.job_explanation import explain_job
from roseweir.workflows.controller import WorkflowController
from roseweir.workflows.model import Workflow, WorkflowStep

log = logging.getLogger(__name__)

NIGHT_REPORTS_KEY = "promise/nights"
EVALUATION_INTERVAL = timedelta(seconds=2)
SAVE_INTERVAL = timedelta(seconds=30)
RETRY_INTERVAL = timedelta(seconds=1)
# A report is closed this long after the lots were due; lots that are late by then stay late.
REPORT_CLOSE_DELAY_MS = 24 * 3600 * 1000
# Maximum number of deadlines that one answer lists.
MAX_LISTED_DEADLINES = 200
# Fraction of the largest allowed value that the stored record may fill.
MAX_VALUE_FILL = 0.9
# Size limit of a value that is assumed where the store allows larger ones.
MAX_VALUE_BYTES = 8 * 1024


class DeadlineController:
    """Assigns and tracks the delivery deadlines of workflows during one term of a leader."""

    def __init__(
        self,
        settings: DeadlineSettings,
        workflow_controller: WorkflowController,
        cluster_state: ClusterState,
        kv_store: KeyValueStoreClient,
        leader_key_version: int,
        is_lease_valid: Callable[[], bool],
        step_down: Callable[[str], None],
    ) -> None:
        self.settings = settings
        self.workflow_controller = workflow_controller
        self.cluster_state = cluster_state
        self.fenced_writer = FencedWriter(kv_store, leader_key_version, "promises")
        self.step_durations = StepDurations()
        self.closed_reports: dict[str, NightReport] = {}  # by the date of the morning that ends the night
        self.statuses: dict[str, DeadlineStatus] = {}  # by workflow id
        self.is_loaded = False
        self._is_lease_valid = is_lease_valid
        self._step_down = step_down
        self._measured_jobs: set[str] = set()
        workflow_controller.assign_due_ms = self.assign_due_ms
        workflow_controller.on_workflow_changed = self.on_workflow_changed

    # -- workflows ----------------------------------------------------------------------------

    def assign_due_ms(self, workflow: Workflow) -> int:
        """Return when the workflow's lots are due, in milliseconds since the epoch; 0: no deadline."""
        policy = self.settings.policy_for(workflow.team)
        return 0 if policy is None else due_time.compute_due_ms(workflow.landed_ms, policy, self.settings.calendar)

    def on_workflow_changed(self, workflow: Workflow) -> None:
        """Record the durations of steps that have ended, and update the status of the workflow's deadline."""
        for step in workflow.steps:
            if step.outcome == "done" and step.released_ms and step.job_id not in self._measured_jobs:
                self._measured_jobs.add(step.job_id)
                self.step_durations.add(step.job_class, (step.ended_ms - step.released_ms) / 1000)
        if workflow.is_ended:
            if (
                workflow.state == "done"
                and workflow.due_ms
                and len(delivered_lots(workflow, workflow.due_ms)) < len(workflow.lots)
            ):
                workflow.late_step_class = self._slowest_step_class(workflow)
            self._measured_jobs.difference_update(step.job_id for step in workflow.steps)
        if workflow.due_ms:
            self._update_status(workflow, utc_now_ms())

    # -- control loop -------------------------------------------------------------------------

    async def run(self) -> None:
        """Evaluate the deadlines and save the night reports, each at its interval, until cancelled."""
        last_saved = monotonic_now()
        while True:
            await sleep(EVALUATION_INTERVAL)
            try:
                if not self.is_loaded:
                    await self._load()
                self._evaluate_deadlines()
                if monotonic_now() - last_saved >= SAVE_INTERVAL and self._is_lease_valid():
                    last_saved = monotonic_now()
                    await self._save()
            except LeadershipLost as e:
                self._step_down(str(e))
            except (StoreError, Unreachable, CompareFailed) as e:
                log.info("night reports not read or written, retrying: error=%s", e)
                await sleep(RETRY_INTERVAL)

    async def _load(self) -> None:
        entry = await self.fenced_writer.kv_store.get(NIGHT_REPORTS_KEY)
        if entry is not None:
            self.fenced_writer.load([entry])
            try:
                self._restore(entry.value)
            except NightRecordUnreadable as e:
                # Only the reports of past nights and the first forecasts depend on this record.
                log.warning("night reports unreadable, starting with empty ones: error=%r", e.cause)
                self.closed_reports = {}
        self.is_loaded = True

    def _restore(self, value: Any) -> None:
        try:
            self.closed_reports = {str(night): NightReport.decode(report) for night, report in value["nights"].items()}
            self.step_durations.decode(value["times"])
        except (KeyError, TypeError, ValueError, AttributeError) as e:
            raise NightRecordUnreadable(e) from e

    async def _save(self) -> None:
        now_ms = utc_now_ms()
        newly_closed: dict[str, NightReport] = {}
        for workflow in self._workflows_with_deadline():
            if workflow.due_ms + REPORT_CLOSE_DELAY_MS < now_ms:
                night = due_time.night_ending_date(workflow.due_ms, self.settings.calendar)
                if night not in self.closed_reports:
                    newly_closed.setdefault(night, NightReport()).add(
                        workflow, self._delaying_step_class(workflow), now_ms
                    )
        self.closed_reports |= newly_closed
        for night in sorted(self.closed_reports)[: max(0, len(self.closed_reports) - self.settings.max_night_reports)]:
            del self.closed_reports[night]
        value = {
            "nights": {night: report.encode() for night, report in sorted(self.closed_reports.items())},
            "times": self.step_durations.encode(),
        }
        max_value_bytes = self.fenced_writer.kv_store.transaction_limits.max_value_bytes
        max_bytes = int(min(max_value_bytes, MAX_VALUE_BYTES) * MAX_VALUE_FILL)
        while len(msgspec.json.encode(value)) > max_bytes and value["nights"]:
            del value["nights"][min(value["nights"])]
        changes = self.fenced_writer.changed_values({NIGHT_REPORTS_KEY: value})
        if changes:
            await self.fenced_writer.save(changes)

    def _workflows_with_deadline(self) -> list[Workflow]:
        return [workflow for workflow in self.workflow_controller.workflows.values() if workflow.due_ms]

    def _evaluate_deadlines(self) -> None:
        now_ms = utc_now_ms()
        workflow_ids = {workflow.id for workflow in self._workflows_with_deadline()}
        self.statuses = {
            workflow_id: status for workflow_id, status in self.statuses.items() if workflow_id in workflow_ids
        }
        for workflow in self._workflows_with_deadline():
            if not workflow.is_ended or workflow.id not in self.statuses:
                self._update_status(workflow, now_ms)
        slack_by_job = slack_of_steps_at_risk(
            (s for s in self.statuses.values() if s.state == AT_RISK), self.workflow_controller.workflows
        )
        self.cluster_state.set_slack("promises", slack_by_job)

    def _update_status(self, workflow: Workflow, now_ms: int) -> None:
        policy = self.settings.policy_for(workflow.team)
        quantile = DEFAULT_FORECAST_QUANTILE if policy is None else policy.forecast_quantile
        risk_margin_ms = 0 if policy is None else round(policy.risk_margin.total_seconds() * 1000)

        def typical_duration_s(step: WorkflowStep) -> float:
            measured_s = self.step_durations.quantile(step.job_class, quantile)
            if measured_s is not None:
                return measured_s
            run = self.cluster_state.jobs.get(step.job_id)
            return (
                DEFAULT_STEP_DURATION_S
                if run is None
                else max(DEFAULT_STEP_DURATION_S, self.cluster_state.estimate_runtime(run.spec).total_seconds())
            )

        previous = self.statuses.get(workflow.id)
        status = evaluate_deadline(workflow, typical_duration_s, risk_margin_ms, now_ms)
        if status.state in (AT_RISK, UNATTAINABLE, LATE):
            status.waits_for = self._waiting_reason(workflow)
        elif (
            previous is not None and status.state not in (AT_RISK, UNATTAINABLE, LATE) and not status.slowest_step_class
        ):
            status.slowest_step_class = previous.slowest_step_class
        self.statuses[workflow.id] = status
        if previous is None or previous.state != status.state:
            slack_text = f" slack_s={status.slack_ms / 1000:.0f}" if not workflow.is_ended else ""
            waits_for_text = f" waits_for={status.waits_for}" if status.waits_for else ""
            log.info(
                "delivery deadline: workflow=%s lots=%d state=%s%s%s",
                workflow.id,
                len(workflow.lots),
                status.state,
                slack_text,
                waits_for_text,
            )

    def _waiting_reason(self, workflow: Workflow) -> str | None:
        if workflow.state != "open":
            return workflow.reason or workflow.state
        for step in workflow.steps:
            if not step.outcome and step.released_ms:
                explanation = explain_job(self.cluster_state, step.job_id, monotonic_now())
                if explanation is not None and explanation["waits_for"]:
                    return f"{step.job_class}: {explanation['waits_for']}"
                return f"{step.job_class} to end"
        return None

    def _slowest_step_class(self, workflow: Workflow) -> str:
        """Return the class of the step that exceeded the median duration of its class by the longest time."""
        excess_s_and_class = [
            ((s.ended_ms - s.released_ms) / 1000 - (self.step_durations.quantile(s.job_class, 0.5) or 0.0), s.job_class)
            for s in workflow.steps
            if s.released_ms and s.ended_ms
        ]
        return max(excess_s_and_class, default=(0.0, ""))[1]

    def _delaying_step_class(self, workflow: Workflow) -> str:
        if workflow.late_step_class:
            return workflow.late_step_class
        status = self.statuses.get(workflow.id)
        return status.slowest_step_class if status is not None else ""

    # -- reports ------------------------------------------------------------------------------

    def night_reports(self) -> dict[str, NightReport]:
        """Return the closed reports and the current state of open ones, by the date of the night's morning."""
        reports = dict(self.closed_reports)
        now_ms = utc_now_ms()
        for workflow in self._workflows_with_deadline():
            night = due_time.night_ending_date(workflow.due_ms, self.settings.calendar)
            if night not in self.closed_reports:
                reports.setdefault(night, NightReport()).add(workflow, self._delaying_step_class(workflow), now_ms)
        return dict(sorted(reports.items()))

    def describe(self, night: str = "") -> dict[str, Any]:
        """Return the answer to `promises`; `night`: only the deadlines of the night that ends on this date."""
        statuses = sorted(self.statuses.values(), key=lambda s: (STATE_SORT_ORDER[s.state], s.slack_ms, s.workflow_id))
        if night:
            statuses = [s for s in statuses if due_time.night_ending_date(s.due_ms, self.settings.calendar) == night]
        now_ms = utc_now_ms()
        return {
            "promises": [_deadline_view(s, now_ms) for s in statuses[:MAX_LISTED_DEADLINES]],
            "nights": [_night_view(night_date, report) for night_date, report in self.night_reports().items()],
        }

    def summary(self) -> dict[str, Any]:
        """Return what `status` shows: the number of deadlines in each state."""
        counts: dict[str, int] = {}
        for status in self.statuses.values():
            counts[status.state] = counts.get(status.state, 0) + 1
        return {"promises": counts} if counts else {}


def _deadline_view(status: DeadlineStatus, now_ms: int) -> dict[str, Any]:
    return {
        "chain": status.workflow_id,
        "team": status.team,
        "state": status.state,
        "stage": status.stage,
        "due_in_s": round((status.due_ms - now_ms) / 1000),
        "expected_in_s": round((status.expected_ms - now_ms) / 1000),
        "slack_s": round(status.slack_ms / 1000),
        "lots": status.lot_count,
        "lots_in_viewer": status.delivered_lot_count,
        "waits_for": status.waits_for,
        "due_ms": status.due_ms,
        "ended_ms": status.expected_ms if status.stage == "in the viewer" else None,
    }


def _night_view(night: str, report: NightReport) -> dict[str, Any]:
    return {
        "night": night,
        "promised": report.due_lots,
        "kept": report.on_time_lots,
        "late": report.late_lots,
        "superseded": report.superseded_lots,
        "worst_late_s": report.max_lateness_s,
        "late_by_step": report.late_lots_by_step_class,
    }
