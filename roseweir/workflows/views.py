"""Workflows and their steps as JSON objects, for the answers of `/chains`."""

from typing import Any

from roseweir.clock import monotonic_now, utc_now_ms
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.job_explanation import explain_job
from roseweir.workflows.job_progress import has_started
from roseweir.workflows.model import Workflow, WorkflowStep


def workflow_view(workflow: Workflow, cluster_state: ClusterState, *, is_brief: bool = False) -> dict[str, Any]:
    """Return a workflow as a JSON object; `is_brief`: without its steps."""
    now_ms = utc_now_ms()
    answer: dict[str, Any] = {
        "id": workflow.id,
        "revision": workflow.revision,
        "team": workflow.team,
        "state": workflow.state,
        "why": workflow.reason or None,
        "lots": len(workflow.lots),
        "steps": len(workflow.steps),
        "steps_over": sum(bool(step.outcome) for step in workflow.steps),
        "taken_s_ago": round((now_ms - workflow.accepted_ms) / 1000, 1),
        "ended_s_ago": round((now_ms - workflow.ended_ms) / 1000, 1) if workflow.ended_ms else None,
        "due_ms": workflow.due_ms or None,
        "waits_for": _waiting_reason(workflow, cluster_state),
    }
    if not is_brief:
        answer["detail"] = [_step_view(step, workflow, cluster_state) for step in workflow.steps]
    return answer


def _waiting_reason(workflow: Workflow, cluster_state: ClusterState) -> str | None:
    if workflow.is_ended:
        return None
    if workflow.state != "open":
        return workflow.reason
    for step in workflow.steps:
        if not step.outcome and step.released_ms:
            explanation = explain_job(cluster_state, step.job_id, monotonic_now())
            if explanation is not None and explanation["waits_for"]:
                return f"step {step.job_id}: {explanation['waits_for']}"
    unfinished_jobs = [step.job_id for step in workflow.steps if not step.outcome]
    return (
        f"steps {', '.join(unfinished_jobs[:3])}{' and more' if len(unfinished_jobs) > 3 else ''} to end"
        if unfinished_jobs
        else None
    )


def _step_view(step: WorkflowStep, workflow: Workflow, cluster_state: ClusterState) -> dict[str, Any]:
    run = cluster_state.jobs.get(step.job_id)
    state = step.outcome or ("waits" if not step.released_ms else "runs" if run and has_started(run) else "queued")
    return {
        "job": step.job_id,
        "class": step.job_class,
        "state": state,
        "follows": [workflow.steps[n].job_id for n in step.dependencies],
        "tasks": run.spec.task_count if run is not None else None,
        "tasks_done": run.completed_count if run is not None else None,
    }
