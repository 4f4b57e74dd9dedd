"""The simulated world with users whose jobs wait for jobs: the rules for these are checked by their own account."""

import asyncio
from typing import Any

import msgspec

from roseweir import clock
from roseweir.operator_config import OperatorConfig
from roseweir.submissions.dependency_storage import split_dependencies
from roseweir.submissions.jobs import COMPLETED_JOB_PREFIX, LIVE_JOB_PREFIX, to_stored
from roseweir.submissions.messages import Submission
from tests.simulation.cluster import SimulatedCluster, SimulatedTask, SimulatedWorker, virtual_now

MAX_INLINE_DEPENDENCIES = 3  # more names than this are kept in keys of their own


class DependencyCluster(SimulatedCluster):
    """Jobs with names are recorded in the state service's order, as a controller that accepts them records them."""

    def __init__(self, seed: int, settings: OperatorConfig | None = None, **more: Any) -> None:
        super().__init__(seed, settings, **({"scale": 2} | more))
        self.dependencies: dict[str, list[str]] = {}
        self.last_polled_at: dict[str, float] = {}  # when the newest question about a job was sent
        self.polling: set[str] = set()

    def ancestors(self, job_id: str) -> set[str]:
        """All jobs that one needs, directly or through others."""
        found: set[str] = set()
        stack = list(self.dependencies.get(job_id, ()))
        while stack:
            name = stack.pop()
            if name not in found:
                found.add(name)
                stack += self.dependencies.get(name, ())
        return found

    def make_stage(self, **more: Any) -> dict[str, Any]:
        """A job that ends soon and fits anywhere."""
        job = self.make_job()
        fields = {"shape": "sweep", "parcels": 2, "accelerators": 0.0, "cores": 1.0, "builds": None, "yard": None}
        fields |= {"together": False, "guess_s": 1.0, "mistaken": False, "size_gb": 0.5, "loaners": True}
        return job | fields | more

    async def submit_and_register(self, job: dict[str, Any], awaits: list[str]) -> None:
        """Until the job is accepted. One with many names is written as a controller with small values would."""
        job_id = job["name_id"]
        self.jobs[job_id] = job
        self.dependencies[job_id] = awaits
        # Its history alone does not explain why it is cancelled: a job that it needs may be. See `check_answer`.
        self.without_request.add(job_id)
        if len(awaits) > MAX_INLINE_DEPENDENCIES:
            await self.write_job_record(job, awaits)
        else:
            await self.submit(job, awaits)
        self.accepted_jobs.add(job_id)

    async def submit(self, job: dict[str, Any], awaits: list[str]) -> None:
        wire = {key: value for key, value in job.items() if key != "mistaken"} | {"awaits": awaits or None}
        while True:
            status, answer = await self.ask("POST", "/submissions", wire)
            self.check_answer(job["name_id"], status, answer)
            if status in (200, 201):
                return
            self.check_rule(status not in (400, 422), f"refused: {job['name_id']}: {answer}")
            await asyncio.sleep(0.3)

    async def write_job_record(self, job: dict[str, Any], awaits: list[str]) -> None:
        job_id = job["name_id"]
        spec = msgspec.convert({k: v for k, v in job.items() if k != "mistaken"}, Submission).to_spec(
            clock.utc_now_ms()
        )
        parts = split_dependencies(job_id, awaits)
        ops: list[dict[str, Any]] = [{"put": key, "v": value} for key, value in parts.values_by_key.items()]
        spec = msgspec.structs.replace(spec, depends_on=parts.dependencies)
        guards = [{"path": LIVE_JOB_PREFIX + job_id, "stamp": 0}, {"path": COMPLETED_JOB_PREFIX + job_id, "stamp": 0}]
        ops.append({"put": LIVE_JOB_PREFIX + job_id, "v": to_stored(spec)})
        while self.state.is_down:
            await asyncio.sleep(0.1)
        assert self.state.commit_transaction({"guards": guards, "then": ops}).status == 200

    async def poll_until_ended(self, job_id: str, cancel_at: float = 1e9) -> None:
        """Its user asks until the job is over, and perhaps cancels it."""
        while job_id not in self.observed_ends:
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))
            self.last_polled_at[job_id] = virtual_now()
            if virtual_now() >= cancel_at:
                self.cancel_requested.add(job_id)
                status, answer = await self.ask("POST", f"/submissions/{job_id}/cancel")
            else:
                status, answer = await self.ask("GET", f"/submissions/{job_id}")
            self.check_answer(job_id, status, answer)

    async def submit_pipeline(
        self, depth: int, width: int, cancel_after: float | None = None, **more: Any
    ) -> list[str]:
        """Stages one after another, each of which needs some of the jobs before; one root may be cancelled."""
        jobs: list[str] = []
        for level in range(depth):
            for _ in range(1 if level == depth - 1 else width):
                job = self.make_stage(**more)
                most = min(len(jobs), self.rng.choice([1, 2, 5]))
                awaits = self.rng.sample(jobs[-3 * width :], most) if level else []
                await self.submit_and_register(job, awaits)
                jobs.append(job["name_id"])
                cancels = cancel_after is not None and len(jobs) == 1
                self.spawn(self.poll_until_ended(jobs[-1], virtual_now() + (cancel_after or 0.0) if cancels else 1e9))
                await asyncio.sleep(self.rng.uniform(0.0, 0.2))
        return jobs

    # -- rules --------------------------------------------------------------------------------

    def check_start(self, worker: SimulatedWorker, task: SimulatedTask) -> None:
        super().check_start(worker, task)
        for name in self.dependencies.get(task.job_id, ()):
            done = all((name, number) in self.finished for number in range(self.jobs[name]["parcels"]))
            ended = self.state.keys.get(COMPLETED_JOB_PREFIX + name)
            durable = ended is not None and ended[0]["state"] == "done"
            self.check_rule(done and durable, f"too_early: {task.job_id}/{task.index} before the durable end of {name}")

    def check_answer(self, job_id: str, status: int, answer: dict[str, Any]) -> None:
        before = self.ancestors(job_id)
        if status in (200, 201) and answer["standing"] == "aborted" and before & self.cancel_requested:
            self.cancel_requested.add(job_id)  # cancelled with a job that it needs
        super().check_answer(job_id, status, answer)
        if status in (200, 201) and answer["standing"] in ("queued", "running"):
            told = min((self.cancelled_at[name] for name in before if name in self.cancelled_at), default=1e9)
            late = self.last_polled_at.get(job_id, virtual_now()) > told + self.cancel_deadline_s
            self.check_rule(not late, f"orphaned: {job_id} is {answer['standing']}, a job before it was cancelled")

    def jobs_without_observed_end(self) -> list[str]:
        """Jobs with names whose users have not been told of their end."""
        return sorted(job_id for job_id in self.dependencies if job_id not in self.observed_ends)

    def uncancelled_descendants(self, before: float) -> list[str]:
        """Jobs without a durable end though one that they need was told as cancelled before this instant."""
        early = {name for name, at in self.cancelled_at.items() if at < before}
        return sorted(
            job for job in self.dependencies if LIVE_JOB_PREFIX + job in self.state.keys and self.ancestors(job) & early
        )
