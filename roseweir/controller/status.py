"""A controller's answers to the operators' queries `status`, `limits`, `forecast`, `served` and `status --job`."""

from typing import Any

from roseweir.clock import monotonic_now
from roseweir.connections import ConnectionAdmission
from roseweir.controller.leader import LeaderTerm
from roseweir.controller.leadership import Leadership, job_data_age_s
from roseweir.http import ServerConnection
from roseweir.leader_election.messages import FEATURE_LEVEL
from roseweir.scheduler.job_explanation import explain_job

# The maximum number of held jobs that `status` lists.
MAX_HELD_JOBS_LISTED = 20


class StatusReporter:
    """Answers operators' read-only queries, as dictionaries ready for JSON."""

    def __init__(
        self,
        leadership: Leadership,
        admission: ConnectionAdmission[ServerConnection],
        *,
        is_predictive_scaling_enabled: bool,
    ) -> None:
        self._leadership = leadership
        self._admission = admission
        self._is_predictive_scaling_enabled = is_predictive_scaling_enabled

    def describe_status(self) -> dict[str, Any]:
        """The answer to `status`: connections of this node and, if it leads, the state of the cluster."""
        leader_term = self._leadership.leader_term
        leader = self._leadership.leader_election.leader
        answer = self._leadership.describe_node() | {
            "term": None if leader is None else leader.term,
            "level": FEATURE_LEVEL,
        }
        answer["connections"] = self._admission.describe()
        if leader_term is not None:
            answer |= _describe_cluster_state(leader_term)
            answer |= _summarize_controllers(leader_term)
        return answer

    def describe_limits(self) -> dict[str, Any]:
        """The answer to `limits`: the startup limits in force; none unless this node leads."""
        leader_term = self._leadership.leader_term
        return self._leadership.describe_node() | {
            "limits": [] if leader_term is None else leader_term.cluster_state.limits.describe(monotonic_now())
        }

    def describe_forecast(self) -> dict[str, Any]:
        """The answer to `forecast`: whether predictive scaling is enabled and, on the leader, its forecast."""
        leader_term = self._leadership.leader_term
        answer = self._leadership.describe_node() | {"switched_on": self._is_predictive_scaling_enabled}
        if leader_term is not None and leader_term.predictive_scaler is not None:
            answer |= leader_term.predictive_scaler.describe()
        return answer

    def describe_service_levels(self) -> dict[str, Any] | None:
        """The answer to `served`; None unless this node leads."""
        leader_term = self._leadership.ready_term
        if leader_term is None:
            return None
        return (
            self._leadership.describe_node()
            | leader_term.service_level_controller.describe()
            | {"as_of_s": job_data_age_s(leader_term)}
        )

    def describe_job(self, job_id: str) -> dict[str, Any] | None:
        """The answer to `status --job`: what a live job waits for; None for another job or unless this node leads."""
        leader_term = self._leadership.ready_term
        if leader_term is None:
            return None
        explanation = explain_job(leader_term.cluster_state, job_id, monotonic_now())
        if explanation is None:
            return None
        return (
            self._leadership.describe_node()
            | explanation
            | leader_term.dependency_reconciler.describe_job(job_id)
            | {"as_of_s": job_data_age_s(leader_term)}
        )


def _describe_cluster_state(leader_term: LeaderTerm) -> dict[str, Any]:
    """Counts of jobs, tasks and machines in the leader's cluster state."""
    cluster_state = leader_term.cluster_state
    runs = cluster_state.jobs.values()
    machines = cluster_state.machines.values()
    return {
        "jobs": len(cluster_state.jobs),
        "tasks_waiting": sum(run.pending_count for run in runs),
        "tasks_placed": sum(len(run.placements) for run in runs),
        "jobs_held": [f"{run.spec.id}: {run.hold_reason}" for run in runs if run.hold_reason][:MAX_HELD_JOBS_LISTED],
        "machines": len(cluster_state.machines),
        "machines_booting": sum(machine.is_booting for machine in machines),
        "machines_overdue": len(cluster_state.overdue_machines(monotonic_now())),
        "machines_in_doubt": sorted(
            machine.name for machine in machines if machine.is_suspected and not machine.is_unreachable
        ),
        "machines_deaf": sorted(machine.name for machine in machines if machine.is_unreachable),
        "as_of_s": job_data_age_s(leader_term) if leader_term.is_ready else None,
    }


def _summarize_controllers(leader_term: LeaderTerm) -> dict[str, Any]:
    """The fields that each of the leader's controllers adds to `status`, in the order in which they are shown."""
    summary: dict[str, Any] = {}
    if leader_term.predictive_scaler is not None:
        summary |= leader_term.predictive_scaler.summary()
    summary |= leader_term.drain_controller.summary()
    summary |= leader_term.service_level_controller.summary()
    summary |= leader_term.workflow_controller.summary()
    summary |= leader_term.dependency_reconciler.summary()
    if leader_term.deadline_controller is not None:
        summary |= leader_term.deadline_controller.summary()
    if leader_term.rebalancer is not None and leader_term.drain_controller.is_active:
        summary |= leader_term.rebalancer.summary()
    return summary
