"""A simulated cluster that counts disrupted tasks at the workers, independently of what the leader reports.

On its days jobs need no GPUs, have one priority and are cancelled by users alone, so every stop command for a running
task on a machine without a spot preemption notice comes from a drain.
"""

import asyncio
from typing import Any

import orjson

from roseweir.controller.process import ControllerProcess
from roseweir.http import Request, Response
from roseweir.operator_config import OperatorConfig
from tests.simulation.cluster import SimulatedCluster, SimulatedTask, SimulatedWorker, virtual_now

# A leader detects a lost task when the lease expires; the next leader also waits for leases that the last one renewed.
LOSS_DETECTION_S = 45.0
WATCH_INTERVAL_S = 0.25
# Without a leader, or before it has read the cloud's list, no machine is known: twice the longest such period.
MAX_LEAK_S = 60.0

TaskKey = tuple[str, int]


class EvictionCluster(SimulatedCluster):
    """Days with drains.

    `max_disrupted_share`: share of a team's tasks that drains may disrupt at once; None: the budget is not checked.
    """

    def __init__(
        self, seed: int, operator_config: OperatorConfig, max_disrupted_share: float | None, **options: Any
    ) -> None:
        super().__init__(seed, operator_config, **options)
        self.max_disrupted_share = max_disrupted_share
        self.running_before: set[TaskKey] = set()
        self.stopped_at: dict[TaskKey, float] = {}
        self.lost_at: dict[TaskKey, float] = {}
        self.recent_task_counts: list[tuple[float, dict[str, int]]] = []  # tasks running or disrupted, by team
        self.deadline_at = 1e9
        self.loss_detection_s = LOSS_DETECTION_S
        self.recently_ended: dict[TaskKey, float] = {}
        self.leaked_since: dict[str, float] = {}
        self.stop_count = 0
        self.moved_count = 0
        self.shapes = ["sweep", "sweep", "gang", "daemon"]
        self.max_task_duration_s = 12.0  # largest estimated duration of a task
        self.drain_answers: dict[str, dict[str, Any]] = {}
        self.schedule_action(lambda _: self._watch_tasks())

    def make_job(self) -> dict[str, Any]:
        job = super().make_job()
        shape = self.rng.choice(self.shapes)
        task_counts = {
            "sweep": self.rng.randint(4, 16),
            "gang": self.rng.randint(2, 4),
            "daemon": self.rng.randint(2, 3),
        }
        return job | {
            "shape": shape,
            "parcels": task_counts[shape],
            "rank": "normal",
            "accelerators": 0.0,
            "cores": self.rng.choice([1.0, 2.0]),
            "builds": None,
            "yard": None,
            "guess_s": 0.0 if shape == "daemon" else self.rng.uniform(2.0, self.max_task_duration_s),
            "mistaken": False,
        }

    # -- checks at the workers ----------------------------------------------------------------

    def on_halt(self, worker: SimulatedWorker, task: SimulatedTask, grace: float) -> None:
        key = (task.job_id, task.index)
        job = self.jobs[task.job_id]
        if task.state != "running" or task.job_id in self.cancel_requested or worker.preempted_at is not None:
            return
        if (
            key in self.finished
            or task.job_id in self.observed_ends
            or any(w is not worker for w, _ in self.other_attempts(key))
        ):
            return
        self.stop_count += 1
        if virtual_now() < self.deadline_at and job["mark_every_s"] > 0:
            self.check_rule(grace >= job["mark_s"], f"saved work: {key} got a stop command with a grace of {grace} s")
        is_gang = job["shape"] == "gang"
        task_keys = [(task.job_id, i) for i in range(job["parcels"])] if is_gang else [key]
        if all(task_key in self.stopped_at for task_key in task_keys):
            return  # another member of a gang that was counted, or a repeated stop command
        for task_key in task_keys:
            self.stopped_at[task_key] = virtual_now()
            self.lost_at.pop(task_key, None)
        if is_gang:
            self.spawn(self.check_gang(task.job_id, task.attempt))
        if job["shape"] == "daemon":
            stopped_count = sum((task.job_id, i) in self.stopped_at for i in range(job["parcels"]))
            self.check_rule(
                stopped_count <= 1 or virtual_now() >= self.deadline_at,
                f"service {task.job_id}: {stopped_count} replicas stopped at once",
            )
        if self.max_disrupted_share is not None and virtual_now() < self.deadline_at:
            self.check_budget(job["crew"], task_keys)

    def other_attempts(self, key: TaskKey) -> list[tuple[SimulatedWorker, SimulatedTask]]:
        return [(w, t) for w, t in self.active_tasks() if (t.job_id, t.index) == key]

    def check_budget(self, team: str, stopped_tasks: list[TaskKey]) -> None:
        """Checks the budget as of now: tasks that run again since `_watch_tasks` last looked count as running."""
        assert self.max_disrupted_share is not None
        running = {(t.job_id, t.index) for _, t in self.active_tasks() if t.state == "running" and t.stopped_at is None}
        detected_losses = {key for key, at in self.lost_at.items() if virtual_now() - at > self.loss_detection_s}
        disrupted = {
            key
            for key in (self.stopped_at.keys() | detected_losses) - (running - set(stopped_tasks))
            if self.jobs[key[0]]["crew"] == team
        }
        present_count = sum(
            self.jobs[job]["crew"] == team for job, _ in self.running_before | running | self.recently_ended.keys()
        )
        task_count = max((counts.get(team, 0) for _, counts in self.recent_task_counts), default=0)
        task_count = max(task_count, present_count)
        max_disrupted = max(len(stopped_tasks), int(self.max_disrupted_share * task_count + 1e-9))
        self.check_rule(
            len(disrupted) <= max_disrupted,
            f"budget: {sorted(disrupted)} of {team} are disrupted, {max_disrupted} may be (of {task_count})",
        )

    async def check_gang(self, job_id: str, attempt: int) -> None:
        """All members of a gang stop within `gang_peer_timeout_s` of the first, which is 3 s here."""
        await asyncio.sleep(3.0)
        still_running_on = [
            w.machine.name
            for w, t in self.active_tasks()
            if (t.job_id, t.attempt) == (job_id, attempt)
            and t.state == "running"
            and t.stopped_at is None
            and not w.is_hung
        ]
        is_partitioned = any(w.machine.zone in self.partitioned_zones for w in self.workers.values())
        self.check_rule(
            not still_running_on or is_partitioned or self.has_faults,
            f"half a gang: {job_id} still runs on {still_running_on}",
        )

    @property
    def has_faults(self) -> bool:
        return not self.is_calm

    async def _watch_tasks(self) -> None:
        while True:
            running = {
                (t.job_id, t.index) for _, t in self.active_tasks() if t.state == "running" and t.stopped_at is None
            }
            self.running_before |= running
            for key in running:
                # A task on a hung machine counts as stopped until it runs again.
                if self.stopped_at.get(key, 1e9) < virtual_now() - WATCH_INTERVAL_S:
                    del self.stopped_at[key]
                    self.moved_count += 1
                self.lost_at.pop(key, None)
            ended = self.finished | {
                k for k in self.running_before if k[0] in self.observed_ends or k[0] in self.cancel_requested
            }
            # The leader may not have received the heartbeats yet that report these ends.
            self.recently_ended = {
                k: at for k, at in self.recently_ended.items() if virtual_now() - at < 3.0
            } | dict.fromkeys(self.running_before & ended, virtual_now())
            self.running_before -= ended
            for key in self.running_before - running - self.stopped_at.keys():
                self.lost_at.setdefault(key, virtual_now())
            for times in (self.stopped_at, self.lost_at):
                for key in [
                    k for k in times if k in ended or k[0] in self.observed_ends or k[0] in self.cancel_requested
                ]:
                    del times[key]
            counts: dict[str, int] = {}
            for job_id, _ in [*self.running_before, *self.recently_ended]:
                team = self.jobs[job_id]["crew"]
                counts[team] = counts.get(team, 0) + 1
            leaked = self.leaked_machines()
            self.leaked_since = {name: at for name, at in self.leaked_since.items() if name in leaked}
            for name in leaked:
                self.leaked_since.setdefault(name, virtual_now())
            self.check_rule(
                all(virtual_now() - at < MAX_LEAK_S for at in self.leaked_since.values()),
                f"leaked: {self.leaked_since}",
            )
            self.recent_task_counts = [
                (at, c) for at, c in self.recent_task_counts if virtual_now() - at < LOSS_DETECTION_S
            ] + [(virtual_now(), counts)]
            await asyncio.sleep(WATCH_INTERVAL_S)

    # -- operators ----------------------------------------------------------------------------

    async def request_drain(self, body: dict[str, Any], max_attempts: int = 60) -> tuple[int, dict[str, Any]]:
        """Sends a request to any running controller, and retries until the answer is final."""
        request = Request("POST", "/drains", orjson.dumps(body))

        async def serve_drain(service: ControllerProcess) -> Response:
            return await service.serve_peer(request)

        for _ in range(max_attempts):
            running_controllers = [n for n in self.nodes if n.service is not None]
            if running_controllers:
                try:
                    async with asyncio.timeout(5.0):
                        response = await self.rng.choice(running_controllers).serve(serve_drain)
                except TimeoutError:
                    response = None
                if response is not None and response.status != 503:
                    return response.status, orjson.loads(response.body)
            await asyncio.sleep(1.0)
        return 503, {}

    async def start_drain(self, name: str, **fields: Any) -> int:
        status, answer = await self.request_drain({"verb": "start", "ask": {"name": name} | fields})
        self.drain_answers[name] = answer
        return status

    async def list_drains(self) -> dict[str, Any]:
        """All drains in the status answer, by name."""
        _, answer = await self.request_drain({"verb": "status"})
        return {row["name"]: row for row in answer["drains"] + answer["ended"]}

    def leaked_machines(self) -> set[str]:
        """Machines that are rented and up, and that the leader does not know."""
        service = self.current_leader().service
        machines_of_leader = (
            service.leader_term.cluster_state.machines
            if service is not None and service.leader_term is not None
            else {}
        )
        return {
            h.name
            for h in self.cloud.machines.values()
            if h.worker and not (h.is_gone or h.has_failed or h.name in machines_of_leader)
        }
