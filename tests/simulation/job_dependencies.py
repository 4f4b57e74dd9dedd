"""The simulated cluster with jobs that depend on other jobs, and the rules for such jobs."""

import asyncio
from typing import Any

import msgspec

from roseweir import clock
from roseweir.operator_config import OperatorConfig
from roseweir.submissions.dependency_storage import split_dependencies
from roseweir.submissions.jobs import COMPLETED_JOB_PREFIX, LIVE_JOB_PREFIX, to_stored
from roseweir.submissions.messages import Submission
from tests.simulation.cluster import SimulatedCluster, SimulatedTask, SimulatedWorker, virtual_now

MAX_INLINE_DEPENDENCIES = 3  # a job with more dependencies stores them under separate keys


class DependencyCluster(SimulatedCluster):
    """Records jobs with their dependencies in the store, as a controller that accepts them does."""

    def __init__(self, seed: int, operator_config: OperatorConfig | None = None, **options: Any) -> None:
        super().__init__(seed, operator_config, **({"scale": 2} | options))
        self.dependencies: dict[str, list[str]] = {}
        self.last_polled_at: dict[str, float] = {}  # when the latest request about a job was sent
        self.polling: set[str] = set()

    def ancestors(self, job_id: str) -> set[str]:
        """All jobs that a job depends on, directly or transitively."""
        ancestors: set[str] = set()
        stack = list(self.dependencies.get(job_id, ()))
        while stack:
            dependency = stack.pop()
            if dependency not in ancestors:
                ancestors.add(dependency)
                stack += self.dependencies.get(dependency, ())
        return ancestors

    def make_stage(self, **overrides: Any) -> dict[str, Any]:
        """A short job that fits on any machine."""
        job = self.make_job()
        fields = {"shape": "sweep", "parcels": 2, "accelerators": 0.0, "cores": 1.0, "builds": None, "yard": None}
        fields |= {"together": False, "guess_s": 1.0, "mistaken": False, "size_gb": 0.5, "loaners": True}
        return job | fields | overrides

    async def submit_and_register(self, job: dict[str, Any], depends_on: list[str]) -> None:
        """Submits a job until it is accepted.

        One with many dependencies is written as by a controller whose store has a small value limit.
        """
        job_id = job["name_id"]
        self.jobs[job_id] = job
        self.dependencies[job_id] = depends_on
        # It may be cancelled with a job that it depends on, which its own history does not show. See `check_answer`.
        self.without_request.add(job_id)
        if len(depends_on) > MAX_INLINE_DEPENDENCIES:
            await self.write_job_record(job, depends_on)
        else:
            await self.submit(job, depends_on)
        self.accepted_jobs.add(job_id)

    async def submit(self, job: dict[str, Any], depends_on: list[str]) -> None:
        wire = {key: value for key, value in job.items() if key != "mistaken"} | {"awaits": depends_on or None}
        while True:
            status, answer = await self.ask("POST", "/submissions", wire)
            self.check_answer(job["name_id"], status, answer)
            if status in (200, 201):
                return
            self.check_rule(status not in (400, 422), f"refused: {job['name_id']}: {answer}")
            await asyncio.sleep(0.3)

    async def write_job_record(self, job: dict[str, Any], depends_on: list[str]) -> None:
        job_id = job["name_id"]
        spec = msgspec.convert({k: v for k, v in job.items() if k != "mistaken"}, Submission).to_spec(
            clock.utc_now_ms()
        )
        split = split_dependencies(job_id, depends_on)
        operations: list[dict[str, Any]] = [{"put": key, "v": value} for key, value in split.values_by_key.items()]
        spec = msgspec.structs.replace(spec, depends_on=split.dependencies)
        guards = [{"path": LIVE_JOB_PREFIX + job_id, "stamp": 0}, {"path": COMPLETED_JOB_PREFIX + job_id, "stamp": 0}]
        operations.append({"put": LIVE_JOB_PREFIX + job_id, "v": to_stored(spec)})
        while self.state.is_down:
            await asyncio.sleep(0.1)
        assert self.state.commit_transaction({"guards": guards, "then": operations}).status == 200

    async def poll_until_ended(self, job_id: str, cancel_at: float = 1e9) -> None:
        """Polls a job until it has ended; sends a cancel once `cancel_at` is reached."""
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
        self, depth: int, width: int, cancel_after: float | None = None, **overrides: Any
    ) -> list[str]:
        """Submits stages of jobs that depend on some of the earlier jobs; the first job may be cancelled."""
        jobs: list[str] = []
        for level in range(depth):
            for _ in range(1 if level == depth - 1 else width):
                job = self.make_stage(**overrides)
                max_dependencies = min(len(jobs), self.rng.choice([1, 2, 5]))
                depends_on = self.rng.sample(jobs[-3 * width :], max_dependencies) if level else []
                await self.submit_and_register(job, depends_on)
                jobs.append(job["name_id"])
                cancels = cancel_after is not None and len(jobs) == 1
                self.spawn(self.poll_until_ended(jobs[-1], virtual_now() + (cancel_after or 0.0) if cancels else 1e9))
                await asyncio.sleep(self.rng.uniform(0.0, 0.2))
        return jobs

    # -- rules --------------------------------------------------------------------------------

    def check_start(self, worker: SimulatedWorker, task: SimulatedTask) -> None:
        super().check_start(worker, task)
        for dependency in self.dependencies.get(task.job_id, ()):
            is_done = all((dependency, number) in self.finished for number in range(self.jobs[dependency]["parcels"]))
            stored_end = self.state.keys.get(COMPLETED_JOB_PREFIX + dependency)
            is_durable = stored_end is not None and stored_end[0]["state"] == "done"
            self.check_rule(
                is_done and is_durable, f"too_early: {task.job_id}/{task.index} before the durable end of {dependency}"
            )

    def check_answer(self, job_id: str, status: int, answer: dict[str, Any]) -> None:
        ancestors = self.ancestors(job_id)
        if status in (200, 201) and answer["standing"] == "aborted" and ancestors & self.cancel_requested:
            self.cancel_requested.add(job_id)  # cancelled with a job that it depends on
        super().check_answer(job_id, status, answer)
        if status in (200, 201) and answer["standing"] in ("queued", "running"):
            first_cancelled_at = min(
                (self.cancelled_at[name] for name in ancestors if name in self.cancelled_at), default=1e9
            )
            is_late = self.last_polled_at.get(job_id, virtual_now()) > first_cancelled_at + self.cancel_deadline_s
            self.check_rule(
                not is_late, f"orphaned: {job_id} is {answer['standing']}, a job that it depends on was cancelled"
            )

    def jobs_without_observed_end(self) -> list[str]:
        """Jobs with dependencies whose end no user has observed."""
        return sorted(job_id for job_id in self.dependencies if job_id not in self.observed_ends)

    def uncancelled_descendants(self, before: float) -> list[str]:
        """Jobs without a durable end although a cancel of one that they depend on was confirmed before this time."""
        cancelled_jobs = {name for name, at in self.cancelled_at.items() if at < before}
        return sorted(
            job
            for job in self.dependencies
            if LIVE_JOB_PREFIX + job in self.state.keys and self.ancestors(job) & cancelled_jobs
        )
