"""Days that combine two or three faults drawn from a seed; a day that breaks a rule is shrunk to the events it needs.

To run many seeds by hand: `python -m tests.simulation.fault_combinations 0 2000` simulates these days in several
processes, and prints for each day that breaks a rule a minimal set of events that still breaks one.
"""

import asyncio
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from random import Random
from typing import Any

import orjson

from roseweir.http import Request
from roseweir.submissions.jobs import COMPLETED_JOB_PREFIX
from tests.simulation.cluster import (
    EXTENDED_FAULTS,
    PARTIAL_PARTITION_FAULTS,
    STORE_AND_LEADER_FAULTS,
    SimulatedCluster,
    virtual_now,
)
from tests.simulation.machine_faults import MACHINE_FAULTS, CheckedCluster
from tests.simulation.user_faults import USER_FAULTS

FAULT_NAMES = sorted(
    {*EXTENDED_FAULTS, *PARTIAL_PARTITION_FAULTS, *STORE_AND_LEADER_FAULTS, *USER_FAULTS, *MACHINE_FAULTS, "deaf"}
)
FAULT_ROUNDS, ROUND_INTERVAL_S = 4, 16.0
DAY_LENGTH_S = 95.0
# Some days end with a period without faults, long enough to show a job that waits beside free capacity.
QUIET_DAY_PROBABILITY, QUIET_S = 0.25, 125.0


@dataclass(frozen=True)
class FaultSchedule:
    seed: int
    events: tuple[tuple[float, str], ...]  # when each fault begins
    controllers: int = 3
    jobs: int = 25
    quiet_s: float = 0.0  # length of the period without faults at the end

    @staticmethod
    def generate(seed: int) -> "FaultSchedule":
        rng = Random(seed)
        fault_names = rng.sample(FAULT_NAMES, rng.choice([2, 2, 3]))
        round_starts = [12.0 + ROUND_INTERVAL_S * n for n in range(FAULT_ROUNDS)]
        events = [(start + rng.uniform(0, 4.0), fault) for start in round_starts for fault in fault_names]
        controllers = rng.choice([2, 3, 3, 3, 5])
        quiet_s = QUIET_S if rng.random() < QUIET_DAY_PROBABILITY else 0.0
        return FaultSchedule(seed, tuple(sorted(events)), controllers, quiet_s=quiet_s)

    def run(self) -> "FaultCombinationCluster":
        return FaultCombinationCluster(self).run_schedule()


class FaultCombinationCluster(CheckedCluster):
    """A day with the faults of a schedule and no others; records when each was active."""

    def __init__(self, schedule: FaultSchedule) -> None:
        super().__init__(
            schedule.seed,
            is_calm=True,
            controller_count=schedule.controllers,
            restart_delay_range_s=(0.1, 2.5),
            max_clock_skew_s=0.5,
        )
        self.schedule = schedule
        self.fault_spans: list[tuple[float, float, str]] = []
        self.schedule_action(lambda _: self._inject_scheduled_faults())

    async def _inject_scheduled_faults(self) -> None:
        for start, fault in self.schedule.events:
            await asyncio.sleep(max(0.0, start - virtual_now()))
            self.spawn(self._inject_scheduled_fault(fault))

    async def _inject_scheduled_fault(self, fault: str) -> None:
        started_at = virtual_now()
        self.faults_active += 1
        try:
            await (MACHINE_FAULTS[fault](self) if fault in MACHINE_FAULTS else self.inject_fault(fault))
        finally:
            self.faults_active -= 1
            self.fault_spans.append((started_at, virtual_now(), fault))

    def run_schedule(self) -> "FaultCombinationCluster":
        self.run(DAY_LENGTH_S + self.schedule.quiet_s, self.schedule.jobs)
        return self

    @property
    def overlapping_faults(self) -> set[frozenset[str]]:
        """Pairs of faults active at the same time, or within a second: requests and writes under way last that long."""
        return {
            frozenset((fault, other_fault))
            for n, (start, end, fault) in enumerate(self.fault_spans)
            for other_start, other_end, other_fault in self.fault_spans[n + 1 :]
            if other_start <= end + 1.0 and start <= other_end + 1.0 and fault != other_fault
        }

    @property
    def first_failure(self) -> str:
        failures = [str(e) for e in self.rule_violations] + [repr(e) for e in self.errors]
        return failures[0] if failures else ""


class LongTaskCluster(SimulatedCluster):
    """Small jobs with long tasks, which only users stop; records when tasks of cancelled jobs were last active."""

    def __init__(self, seed: int, **options: Any) -> None:
        super().__init__(seed, is_calm=True, **options)
        self.last_seen_running: dict[str, float] = {}
        self.accepted_at: dict[str, float] = {}
        self.unheard_cancellations = 0  # jobs cancelled while a leader that workers could reach had not learned of it
        self.schedule_action(lambda _: self._watch_cancelled_tasks())
        self.max_tasks, self.task_duration_s = 6, 90.0

    def make_job(self) -> dict[str, Any]:
        fixed_fields = {"accelerators": 0.0, "shape": "sweep", "rank": "normal", "builds": None, "mistaken": False}
        drawn_fields = {"parcels": self.rng.randint(2, self.max_tasks), "cores": 1.0, "together": False, "yard": None}
        return (
            super().make_job()
            | fixed_fields
            | drawn_fields
            | {"guess_s": self.task_duration_s, "crew": "t0", "due_s": None}
        )

    async def _watch_cancelled_tasks(self) -> None:
        while True:
            for _, task in self.active_tasks():
                if task.job_id in self.cancelled_at:
                    self.last_seen_running[task.job_id] = virtual_now()
            await asyncio.sleep(0.02)

    async def cancel_via_others(self, job_id: str, avoided_controller: str) -> None:
        """Sends a user's cancel to other controllers than this one until its end is confirmed."""
        self.cancel_requested.add(job_id)
        while job_id not in self.observed_ends:
            self.rng.shuffle(self.nodes)
            self.nodes.sort(key=lambda node: node.name == avoided_controller)
            status, answer = await self.request_controller(self.nodes[0].name, "POST", f"/submissions/{job_id}/cancel")
            self.check_answer(job_id, status, answer)
            await asyncio.sleep(0.05)
        self.nodes.sort(key=lambda node: node.index)

    async def request_controller(self, name: str, method: str, path: str) -> tuple[int, dict[str, Any]]:
        node = next(n for n in self.nodes if n.name == name)
        try:
            async with asyncio.timeout(5.0):
                response = await node.serve(lambda service: service.serve_public(Request(method, path, b"")))
        except TimeoutError:
            return 0, {}
        return (0, {}) if response is None else (response.status, orjson.loads(response.body))

    async def run_user(self) -> None:
        """Submits a job until it is accepted; the test does the rest."""
        job = self.make_job()
        job_id = job["name_id"]
        self.jobs[job_id] = job
        while job_id not in self.accepted_jobs:
            status, answer = await self.ask("POST", "/submissions", {k: v for k, v in job.items() if k != "mistaken"})
            self.check_answer(job_id, status, answer)
            if status in (200, 201):
                self.accepted_jobs.add(job_id)
                self.accepted_at[job_id] = virtual_now()
            await asyncio.sleep(1.0)

    def unfinished_jobs(self, before: float) -> set[str]:
        """Jobs accepted before this time that have no durable end."""
        return {
            job_id
            for job_id, accepted_at in self.accepted_at.items()
            if accepted_at < before and COMPLETED_JOB_PREFIX + job_id not in self.state.keys
        }


def worker_params(lease_s: float, cancel_s: float) -> dict[str, Any]:
    worker_settings = {
        "report_s": 1.0,
        "lease_s": lease_s,
        "gang_wait_s": 8.0,
        "gang_peer_s": 3.0,
        "cancel_s": cancel_s,
    }
    return {"workers": worker_settings}


def is_caught(
    make_cluster: Callable[[int], SimulatedCluster], seeds: range, rule_name: str, length_s: float = 80, jobs: int = 14
) -> bool:
    for seed in seeds:
        cluster = make_cluster(seed).run(length_s=length_s, job_count=jobs)
        is_cancel_late = isinstance(cluster, LongTaskCluster) and any(
            last_seen_at - cluster.cancelled_at[job_id] > cluster.cancel_deadline_s - 1.9
            for job_id, last_seen_at in cluster.last_seen_running.items()
        )
        if any(rule_name in str(error) for error in cluster.rule_violations) or (
            rule_name == "late" and is_cancel_late
        ):
            return True
    return False


def shrink(schedule: FaultSchedule) -> FaultSchedule:
    """The same day with fewer events that still break a rule: leaves out each event that is not needed for it."""
    kept = list(schedule.events)
    for event in schedule.events:
        fewer = replace(schedule, events=tuple(e for e in kept if e != event))
        if fewer.events and fewer.run().first_failure:
            kept.remove(event)
    return replace(schedule, events=tuple(kept))


def _run_seed(seed: int) -> str:
    failure = FaultSchedule.generate(seed).run().first_failure
    if not failure:
        return ""
    schedule = shrink(FaultSchedule.generate(seed))
    return f"{failure}\n  {schedule}: {schedule.run().first_failure}"


def main() -> None:
    first_seed, end_seed = int(sys.argv[1]), int(sys.argv[2])
    process_count = int(sys.argv[3]) if len(sys.argv) > 3 else 2
    failed_days = 0
    with ProcessPoolExecutor(process_count) as pool:
        for failure in pool.map(_run_seed, range(first_seed, end_seed), chunksize=4):
            if failure:
                failed_days += 1
                print(failure, flush=True)
    print(f"{end_seed - first_seed} days, {failed_days} broke a rule")


if __name__ == "__main__":
    main()
