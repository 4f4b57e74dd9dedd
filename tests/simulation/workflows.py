"""The simulated world with a registry: chains' own rules are checked from the workers' and the viewer's side."""

import asyncio
from typing import Any

import orjson

from benchmarks.simulated_registry import SimulatedRegistry
from roseweir.operator_config import OperatorConfig
from roseweir.workflows.settings import WorkflowSettings
from tests.simulation.cluster import SimulatedCluster, SimulatedTask, SimulatedWorker, virtual_now

STEP_ORDER = [["lot-boundaries"], ["lot-reproject"], ["viewer-tiles"]]


def workflow_config(**more: Any) -> OperatorConfig:
    found = OperatorConfig()
    fields: dict[str, Any] = {"step_order": STEP_ORDER, "max_amendments_per_window": 1000.0}
    found.workflow = WorkflowSettings(**(fields | more))
    return found


class WorkflowCluster(SimulatedCluster):
    def __init__(self, seed: int, operator_config: OperatorConfig | None = None, **more: Any) -> None:
        super().__init__(seed, operator_config or workflow_config(), **({"scale": 2} | more))
        self.registry = SimulatedRegistry(seed)
        self.dependencies: dict[str, list[str]] = {}
        self.revision_by_job: dict[str, tuple[str, int]] = {}  # delivery job: amendment and revision
        self.lots_by_job: dict[str, list[str]] = {}
        self.sent_amendments: dict[str, dict[str, Any]] = {}
        self.accepted_at: dict[str, float] = {}
        self.shown_revisions: dict[str, tuple[int, str]] = {}
        self.answer_statuses: list[int] = []
        self.may_skip_failed = False

    async def request_workflow(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """An order of a registry's or an operator's, at any node that is up."""
        up = [n for n in self.nodes if n.service is not None]
        if not up:
            return 0, {}
        node = self.rng.choice(up)
        try:
            async with asyncio.timeout(6.0):
                raw = orjson.dumps(order)
                response = await node.serve_peer("POST", "/chains", raw)
        except TimeoutError:
            return 0, {}
        if response is None or (not self.is_calm and self.rng.random() < 0.03):
            return 0, {}
        return response.status, orjson.loads(response.body)

    def register_amendment(self, amendment: dict[str, Any]) -> None:
        last = amendment["steps"][-1]["job"]["name_id"]
        self.revision_by_job[last] = (amendment["id"], amendment["revision"])
        self.lots_by_job[last] = amendment["lots"]
        self.sent_amendments[amendment["id"]] = amendment
        for step in amendment["steps"]:
            self.jobs.setdefault(step["job"]["name_id"], step["job"])
            self.without_request.add(step["job"]["name_id"])
            self.dependencies.setdefault(step["job"]["name_id"], step["after"])

    async def submit_amendment(self, amendment: dict[str, Any], timeout_s: float = 60.0) -> int:
        self.register_amendment(amendment)
        end = virtual_now() + timeout_s
        while virtual_now() < end:
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
        for job in self.dependencies.get(task.job_id, ()):
            ended = self.state.keys.get(f"over/{job}")
            good = ended is not None and (ended[0]["state"] == "done" or self.may_skip_failed)
            self.check_rule(good, f"started_early: {task.job_id} before the durable end of {job}")

    def record_delivery(self, job: str) -> None:
        """A delivery's last task has completed: its lots are in the viewer."""
        _, revision = self.revision_by_job[job]
        for lot in self.lots_by_job[job]:
            before = self.shown_revisions.get(lot, (0, ""))
            self.check_rule(revision >= before[0], f"older_after_newer: {lot} from {before} to {revision} by {job}")
            self.shown_revisions[lot] = (revision, job)

    async def watch_viewer(self, cluster: SimulatedCluster) -> None:
        told: set[str] = set()
        while True:
            await asyncio.sleep(0.02)
            for job in self.revision_by_job:
                parcels = self.jobs[job]["parcels"]
                if job not in told and all((job, n) in self.finished for n in range(parcels)):
                    told.add(job)
                    self.record_delivery(job)

    async def poll_steps(self, cluster: SimulatedCluster) -> None:
        """Users ask about steps as about any job, also before they may start."""
        while True:
            await asyncio.sleep(0.3)
            steps = sorted(j for j in self.accepted_jobs if j in self.dependencies)
            if steps:
                job_id = self.rng.choice(steps)
                status, answer = await self.ask("GET", f"/submissions/{job_id}")
                if answer.get("standing") == "aborted":
                    # Superseded or stopped, by the word of its sender.
                    self.cancel_requested.add(job_id)
                self.check_answer(job_id, status, answer)

    def workflow_states(self) -> dict[str, str]:
        """As the record has them, and the leader."""
        for node in self.nodes:
            leader_term = None if node.service is None else node.service.leader_term
            if leader_term is not None and leader_term.is_ready:
                return {name: chain.state for name, chain in leader_term.workflows.workflows.items()}
        return {}
