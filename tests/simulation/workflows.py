"""The simulated cluster with a registry: workflow rules are checked at the workers and at the viewer."""

import asyncio
from typing import Any

import orjson

from benchmarks.simulated_registry import SimulatedRegistry
from roseweir.operator_config import OperatorConfig
from roseweir.workflows.settings import WorkflowSettings
from tests.simulation.cluster import SimulatedCluster, SimulatedTask, SimulatedWorker, virtual_now

STEP_ORDER = [["lot-boundaries"], ["lot-reproject"], ["viewer-tiles"]]


def workflow_config(**settings: Any) -> OperatorConfig:
    config = OperatorConfig()
    fields: dict[str, Any] = {"step_order": STEP_ORDER, "max_amendments_per_window": 1000.0}
    config.workflow = WorkflowSettings(**(fields | settings))
    return config


class WorkflowCluster(SimulatedCluster):
    def __init__(self, seed: int, operator_config: OperatorConfig | None = None, **options: Any) -> None:
        super().__init__(seed, operator_config or workflow_config(), **({"scale": 2} | options))
        self.registry = SimulatedRegistry(seed)
        self.dependencies: dict[str, list[str]] = {}
        self.revision_by_job: dict[str, tuple[str, int]] = {}  # amendment and revision, by delivery job
        self.lots_by_job: dict[str, list[str]] = {}
        self.sent_amendments: dict[str, dict[str, Any]] = {}
        self.accepted_at: dict[str, float] = {}
        self.shown_revisions: dict[str, tuple[int, str]] = {}
        self.answer_statuses: list[int] = []
        self.may_skip_failed = False

    async def request_workflow(self, request: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Sends a workflow request of the registry or an operator to any running controller."""
        running_controllers = [n for n in self.controllers if n.service is not None]
        if not running_controllers:
            return 0, {}
        controller = self.rng.choice(running_controllers)
        try:
            async with asyncio.timeout(6.0):
                request_body = orjson.dumps(request)
                response = await controller.serve_peer("POST", "/chains", request_body)
        except TimeoutError:
            return 0, {}
        if response is None or (not self.without_random_faults and self.rng.random() < 0.03):
            return 0, {}
        return response.status, orjson.loads(response.body)

    def register_amendment(self, amendment: dict[str, Any]) -> None:
        delivery_job = amendment["steps"][-1]["job"]["name_id"]
        self.revision_by_job[delivery_job] = (amendment["id"], amendment["revision"])
        self.lots_by_job[delivery_job] = amendment["lots"]
        self.sent_amendments[amendment["id"]] = amendment
        for step in amendment["steps"]:
            self.jobs.setdefault(step["job"]["name_id"], step["job"])
            self.externally_changed_jobs.add(step["job"]["name_id"])
            self.dependencies.setdefault(step["job"]["name_id"], step["after"])

    async def submit_amendment(self, amendment: dict[str, Any], timeout_s: float = 60.0) -> int:
        self.register_amendment(amendment)
        deadline = virtual_now() + timeout_s
        while virtual_now() < deadline:
            status, answer = await self.request_workflow({"verb": "amend", "amendment": amendment})
            self.answer_statuses.append(status)
            if status in (200, 201):
                if amendment["id"] not in self.accepted_at:
                    self.accepted_at[amendment["id"]] = virtual_now()
                    if answer["chain"]["state"] != "superseded":
                        self.accepted_jobs |= {step["job"]["name_id"] for step in amendment["steps"]}
                return status
            if status in (400, 409, 422):
                return status
            await asyncio.sleep(float(answer.get("come_back_s", 1.0)) if answer else 1.0)
        return 0

    def check_start(self, worker: SimulatedWorker, task: SimulatedTask) -> None:
        super().check_start(worker, task)
        for dependency in self.dependencies.get(task.job_id, ()):
            stored_end = self.kv_store.keys.get(f"over/{dependency}")
            may_start = stored_end is not None and (stored_end[0]["state"] == "done" or self.may_skip_failed)
            self.check_rule(may_start, f"started_early: {task.job_id} before the durable end of {dependency}")

    def record_delivery(self, job: str) -> None:
        """Called when the last task of a delivery has completed: its lots are now in the viewer."""
        _, revision = self.revision_by_job[job]
        for lot in self.lots_by_job[job]:
            shown = self.shown_revisions.get(lot, (0, ""))
            self.check_rule(revision >= shown[0], f"older_after_newer: {lot} from {shown} to {revision} by {job}")
            self.shown_revisions[lot] = (revision, job)

    async def watch_viewer(self, cluster: SimulatedCluster) -> None:
        delivered_jobs: set[str] = set()
        while True:
            await asyncio.sleep(0.02)
            for job in self.revision_by_job:
                task_count = self.jobs[job]["parcels"]
                if job not in delivered_jobs and all((job, n) in self.completed_tasks for n in range(task_count)):
                    delivered_jobs.add(job)
                    self.record_delivery(job)

    async def poll_steps(self, cluster: SimulatedCluster) -> None:
        """Users poll the jobs of steps like any job, also before these may start."""
        while True:
            await asyncio.sleep(0.3)
            step_jobs = sorted(step_job for step_job in self.accepted_jobs if step_job in self.dependencies)
            if step_jobs:
                job_id = self.rng.choice(step_jobs)
                status, answer = await self.send_user_request("GET", f"/submissions/{job_id}")
                if answer.get("standing") == "aborted":
                    # The workflow was superseded or stopped, as its sender requested.
                    self.cancel_requested.add(job_id)
                self.check_answer(job_id, status, answer)

    def workflow_states(self) -> dict[str, str]:
        """The state of each workflow, as the leader holds it; empty without a ready leader."""
        for controller in self.controllers:
            leader_term = None if controller.service is None else controller.service.leader_term
            if leader_term is not None and leader_term.is_ready:
                return {name: workflow.state for name, workflow in leader_term.workflow_controller.workflows.items()}
        return {}
