"""Days on which two or three troubles meet, drawn from a seed; a day that breaks a rule shrinks to what it takes.

Many seeds at once, by hand: `python -m tests.simulation.fault_combinations 0 2000` plays these days, several at a
time, and prints of each that breaks a rule the fewest events that still do.
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
# Some days go on without faults for so long that a job that waits for nothing shows.
QUIET_DAY_PROBABILITY, QUIET_S = 0.25, 125.0


@dataclass(frozen=True)
class FaultSchedule:
    seed: int
    events: tuple[tuple[float, str], ...]  # when each trouble begins
    controllers: int = 3
    jobs: int = 25
    quiet_s: float = 0.0  # so long without faults at the end

    @staticmethod
    def generate(seed: int) -> "FaultSchedule":
        rng = Random(seed)
        kinds = rng.sample(FAULT_NAMES, rng.choice([2, 2, 3]))
        begin = [12.0 + ROUND_INTERVAL_S * n for n in range(FAULT_ROUNDS)]
        events = [(at + rng.uniform(0, 4.0), kind) for at in begin for kind in kinds]
        controllers = rng.choice([2, 3, 3, 3, 5])
        quiet_s = QUIET_S if rng.random() < QUIET_DAY_PROBABILITY else 0.0
        return FaultSchedule(seed, tuple(sorted(events)), controllers, quiet_s=quiet_s)

    def run(self) -> "FaultCombinationCluster":
        return FaultCombinationCluster(self).run_schedule()


class FaultCombinationCluster(CheckedCluster):
    """A day of these troubles and no others, and how they overlapped."""

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
        for at, kind in self.schedule.events:
            await asyncio.sleep(max(0.0, at - virtual_now()))
            self.spawn(self._inject_scheduled_fault(kind))

    async def _inject_scheduled_fault(self, kind: str) -> None:
        begun = virtual_now()
        self.faults_active += 1
        try:
            await (MACHINE_FAULTS[kind](self) if kind in MACHINE_FAULTS else self.inject_fault(kind))
        finally:
            self.faults_active -= 1
            self.fault_spans.append((begun, virtual_now(), kind))

    def run_schedule(self) -> "FaultCombinationCluster":
        self.run(DAY_LENGTH_S + self.schedule.quiet_s, self.schedule.jobs)
        return self

    @property
    def overlapping_faults(self) -> set[frozenset[str]]:
        """Kinds that went on at the same time, or within a second of one another: what is under way lasts so long."""
        return {
            frozenset((one, other))
            for n, (begun, ended, one) in enumerate(self.fault_spans)
            for begins, ends, other in self.fault_spans[n + 1 :]
            if begins <= ended + 1.0 and begun <= ends + 1.0 and one != other
        }

    @property
    def first_failure(self) -> str:
        faults = [str(e) for e in self.rule_violations] + [repr(e) for e in self.errors]
        return faults[0] if faults else ""


class LongTaskCluster(SimulatedCluster):
    """Long tasks of small jobs, which nobody but users stops; and when tasks of cancelled jobs were last seen."""

    def __init__(self, seed: int, **more: Any) -> None:
        super().__init__(seed, is_calm=True, **more)
        self.last_seen_running: dict[str, float] = {}
        self.accepted_at: dict[str, float] = {}
        self.unheard_cancellations = 0  # jobs that were cancelled while a leader that workers heard did not know of it
        self.schedule_action(lambda _: self._watch_cancelled_tasks())
        self.max_tasks, self.task_duration_s = 6, 90.0

    def make_job(self) -> dict[str, Any]:
        plain = {"accelerators": 0.0, "shape": "sweep", "rank": "normal", "builds": None, "mistaken": False}
        more = {"parcels": self.rng.randint(2, self.max_tasks), "cores": 1.0, "together": False, "yard": None}
        return super().make_job() | plain | more | {"guess_s": self.task_duration_s, "crew": "t0", "due_s": None}

    async def _watch_cancelled_tasks(self) -> None:
        while True:
            for _, task in self.active_tasks():
                if task.job_id in self.cancelled_at:
                    self.last_seen_running[task.job_id] = virtual_now()
            await asyncio.sleep(0.02)

    async def cancel_via_others(self, job_id: str, avoid: str) -> None:
        """A user's cancel that comes to other nodes than this one, until it is answered."""
        self.cancel_requested.add(job_id)
        while job_id not in self.observed_ends:
            self.rng.shuffle(self.nodes)
            self.nodes.sort(key=lambda node: node.name == avoid)
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
        """Submits, and leaves the rest to the test."""
        wanted = self.make_job()
        job_id = wanted["name_id"]
        self.jobs[job_id] = wanted
        while job_id not in self.accepted_jobs:
            status, answer = await self.ask(
                "POST", "/submissions", {k: v for k, v in wanted.items() if k != "mistaken"}
            )
            self.check_answer(job_id, status, answer)
            if status in (200, 201):
                self.accepted_jobs.add(job_id)
                self.accepted_at[job_id] = virtual_now()
            await asyncio.sleep(1.0)

    def unfinished_jobs(self, before: float) -> set[str]:
        """Jobs accepted by then that have no durable end."""
        return {
            job
            for job, at in self.accepted_at.items()
            if at < before and COMPLETED_JOB_PREFIX + job not in self.state.keys
        }


def worker_params(lease: float, cancel: float) -> dict[str, Any]:
    times = {"report_s": 1.0, "lease_s": lease, "gang_wait_s": 8.0, "gang_peer_s": 3.0, "cancel_s": cancel}
    return {"workers": times}


def is_caught(
    make_cluster: Callable[[int], SimulatedCluster], seeds: range, rule_name: str, length_s: float = 80, jobs: int = 14
) -> bool:
    for seed in seeds:
        cluster = make_cluster(seed).run(length_s=length_s, job_count=jobs)
        late = isinstance(cluster, LongTaskCluster) and any(
            last - cluster.cancelled_at[j] > cluster.cancel_deadline_s - 1.9
            for j, last in cluster.last_seen_running.items()
        )
        if any(rule_name in str(error) for error in cluster.rule_violations) or (rule_name == "late" and late):
            return True
    return False


def shrink(schedule: FaultSchedule) -> FaultSchedule:
    """The same day with the fewest events that still break a rule: one after the other is left out."""
    kept = list(schedule.events)
    for event in schedule.events:
        fewer = replace(schedule, events=tuple(e for e in kept if e != event))
        if fewer.events and fewer.run().first_failure:
            kept.remove(event)
    return replace(schedule, events=tuple(kept))


def _run_seed(seed: int) -> str:
    found = FaultSchedule.generate(seed).run().first_failure
    if not found:
        return ""
    schedule = shrink(FaultSchedule.generate(seed))
    return f"{found}\n  {schedule}: {schedule.run().first_failure}"


def main() -> None:
    first, last = int(sys.argv[1]), int(sys.argv[2])
    at_once = int(sys.argv[3]) if len(sys.argv) > 3 else 2
    bad = 0
    with ProcessPoolExecutor(at_once) as pool:
        for found in pool.map(_run_seed, range(first, last), chunksize=4):
            if found:
                bad += 1
                print(found, flush=True)
    print(f"{last - first} days, {bad} broke a rule")


if __name__ == "__main__":
    main()
