"""Starvation of the largest jobs of a class: they start although smaller jobs keep arriving, and are accounted for."""

import asyncio
import random
from typing import Any

import orjson
import pytest

from roseweir.clock import seconds
from roseweir.cloud.scale_out import plan_scale_out
from roseweir.scheduler import queue_order, scheduling_pass, starvation
from roseweir.scheduler.model import JobRun, new_job_run
from roseweir.scheduler.scheduling_pass import run_scheduling_pass
from roseweir.scheduler.starvation import (
    CRITICALLY_STARVING,
    MAX_STARVING_POOL_FRACTION,
    NOT_STARVING,
    STARVATION_THRESHOLD,
    STARVING,
    JobSizeHistogram,
    PoolCapacity,
    mark_starving_jobs,
)
from roseweir.service_levels.accounting import ServiceLevelAccount
from roseweir.service_levels.largest_jobs import (
    MAX_START_DELAY_S,
    SizeCounts,
    decode_counts,
    encode_counts,
    size_bucket,
    sum_largest,
)
from roseweir.submissions.jobs import GANG, JobSpec
from tests.simulation.cluster import SimulatedCluster, raise_first_failure, virtual_now
from tests.simulation.job_specs import make_job_spec as job
from tests.test_scheduler import NOW, FakeWorker, commit_placements, make_cluster_state


def first_large_start_s(job_shape: str, minutes: float) -> float:
    """Returns when the large job of one team starts while small jobs of a team within its guarantee keep arriving."""
    cluster_state = make_cluster_state()
    rng = random.Random(11)
    workers = [FakeWorker(cluster_state, f"i-{n}", "gpu", "a") for n in range(6)]
    for worker in workers:
        worker.send_heartbeat(NOW)
        worker.send_heartbeat(NOW)
    end_times: dict[str, float] = {}
    job_options: dict[str, dict[str, Any]] = {
        "gang": {"job_type": GANG, "task_count": 3, "gpus": 2.0, "requires_single_zone": True},
        "whole machine": {"task_count": 1, "gpus": 2.0, "cpus": 8.0},
    }
    large_run = cluster_state.add_job(job(1, team="t1", **job_options[job_shape]), 1)
    task_count = large_run.spec.task_count
    number, elapsed_s = 1, 0.0
    while elapsed_s < minutes * 60:
        now = NOW + seconds(elapsed_s)
        # Keeps more small tasks pending than fit; no team stays at its limit for long.
        while sum(run.pending_count for run in cluster_state.jobs.values()) < 20:
            number += 1
            cluster_state.add_job(
                job(number, team="t0", gpus=1.0, priority=2, estimated_duration_s=20.0, accepted_ms=0), number
            )
            cluster_state.teams["t0"].guaranteed_gpus = cluster_state.teams["t0"].max_gpus = 0.0
        for worker in workers:
            for task, _ in list(worker.tasks):
                name = task.rpartition("/")[0]
                if (
                    name != large_run.spec.id
                    and end_times.setdefault(task, elapsed_s + rng.uniform(10, 30)) <= elapsed_s
                ):
                    worker.end_task(task, "done")
            worker.send_heartbeat(now)
        for run in list(cluster_state.jobs.values()):
            run.uncommitted_completions.clear()
            if run.is_complete:
                run.final_state = "done"
                cluster_state._remove_finished_job(run)
        run_scheduling_pass(cluster_state, now)
        commit_placements(cluster_state)
        if len(large_run.placements) == task_count:
            return elapsed_s
        elapsed_s += 1.0
    return elapsed_s


@pytest.mark.parametrize("job_shape", ["gang", "whole machine"])
def test_large_job_starts_despite_arriving_small_jobs_of_higher_rank(
    job_shape: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(scheduling_pass, "mark_within_quota", lambda cluster_state: None)

    def is_within_quota(run: JobRun) -> bool:
        return run.spec.team == "t0"

    queue_rank = queue_order._queue_rank

    def rank_with_fixed_quota(run: JobRun) -> tuple[object, ...]:
        run.is_within_quota = is_within_quota(run)
        return queue_rank(run)

    monkeypatch.setattr(queue_order, "_queue_rank", rank_with_fixed_quota)
    assert first_large_start_s(job_shape, 6) < MAX_START_DELAY_S
    if job_shape == "gang":
        # Without starvation marks, capacity freed task by task never adds up to the gang.
        monkeypatch.setattr(queue_order, "mark_starving_jobs", lambda *args: None)
        assert first_large_start_s(job_shape, 6) >= 360


def test_starving_jobs_are_bounded_and_longest_waiting_come_first() -> None:
    runs = [new_job_run(job(n, gpus=2.0, job_type=GANG, task_count=4), n) for n in range(1, 9)]
    for n, run in enumerate(runs):
        run.first_waited_at = NOW - seconds(200 - 20 * n)
    pool_gpus = 8.0 * 8
    sizes = JobSizeHistogram()
    for run in runs:
        sizes.record(run.spec)
    mark_starving_jobs(runs, PoolCapacity(cpus=0.0, gpus=pool_gpus), sizes, None, NOW)
    starving = [run for run in runs if run.starvation_level > NOT_STARVING]
    assert starving == runs[: int(pool_gpus * MAX_STARVING_POOL_FRACTION / 8)] and [
        run.starvation_level for run in starving
    ] == [
        CRITICALLY_STARVING,
        CRITICALLY_STARVING,
    ]
    runs[0].has_started = True
    runs[0].first_waited_at = NOW
    mark_starving_jobs(runs, PoolCapacity(cpus=0.0, gpus=1.0), sizes, None, NOW)
    assert [run.starvation_level for run in runs[:3]] == [NOT_STARVING, CRITICALLY_STARVING, NOT_STARVING], (
        "at least one job is marked"
    )
    # A new leader takes the waiting time from the wall clock.
    recovered_run = new_job_run(job(20, accepted_ms=1000), 1)
    mark_starving_jobs([recovered_run], PoolCapacity(cpus=1.0, gpus=1.0), sizes, NOW - STARVATION_THRESHOLD, NOW)
    assert recovered_run.starvation_level == NOT_STARVING, "a small job starves only after the longer threshold"
    mark_starving_jobs(
        [recovered_run], PoolCapacity(cpus=1.0, gpus=1.0), sizes, NOW - STARVATION_THRESHOLD - seconds(2), NOW
    )
    assert recovered_run.starvation_level == STARVING and starvation.waiting_time(
        recovered_run, NOW - STARVATION_THRESHOLD, NOW
    ) == STARVATION_THRESHOLD - seconds(1)


def test_scale_out_rents_for_starving_gang_despite_scattered_capacity() -> None:
    cluster_state = make_cluster_state()
    starving_at = NOW + starvation.LARGE_JOB_STARVATION_THRESHOLD + seconds(6)
    for n in range(4):
        worker = FakeWorker(cluster_state, f"i-{n}", "gpu")
        worker.send_heartbeat(NOW)
        cluster_state.add_placement(cluster_state.add_job(job(n + 10, gpus=1.0), 1), 0, worker.machine, 1, NOW)
        worker.machine.last_heartbeat_at = starving_at
    gang = cluster_state.add_job(job(2, job_type=GANG, gpus=2.0, allows_spot=False), 2)
    for since, request_count in ((starving_at, 0), (NOW, 1)):
        gang.first_waited_at = since
        assert (
            sum(
                request.count
                for request in plan_scale_out(
                    cluster_state, run_scheduling_pass(cluster_state, starving_at), {}, 0, starving_at
                )[0]
            )
            == request_count
        )


def _account_after_failovers(seed: int) -> tuple[ServiceLevelAccount, dict[str, SizeCounts]]:
    """Returns an account that three leaders kept of jobs of two classes, and the expected counts of the largest."""
    rng = random.Random(seed)
    account = ServiceLevelAccount()
    rows: dict[tuple[str, int], SizeCounts] = {}
    wall_ms = 0
    for number in range(120):
        spec: JobSpec = job(
            number,
            job_class=rng.choice("xy"),
            task_count=rng.choice([1, 1, 1, 2, 4, 8]),
            gpus=2.0,
            accepted_ms=wall_ms + 1,
        )
        wait_s = rng.choice([1.0, 30.0, 200.0, 260.0, 400.0])
        account.add_job(spec)
        account.update_started({}, wall_ms + 1 + round(wait_s * 1000))
        account.live_jobs[spec.id].is_started = True
        account.record_outcome(spec.id, "done")
        account.confirm_end(spec.id)
        is_on_time = wait_s <= MAX_START_DELAY_S
        rows.setdefault((spec.job_class, size_bucket(spec.total_resource_units)), SizeCounts()).add(
            SizeCounts(1, 1, int(is_on_time), int(not is_on_time), 1, 0, round(wait_s))
        )
        if number % 40 == 39:
            recovered = ServiceLevelAccount()
            recovered.decode(account.encode(number, 4000))
            account = recovered
    return account, sum_largest(rows)


@pytest.mark.parametrize("seed", range(4))
def test_largest_job_counts_survive_failovers_and_encoding(seed: int) -> None:
    account, expected = _account_after_failovers(seed)
    assert account.largest_job_counts() == expected
    assert all(counts.accepted >= 0.1 * 40 for counts in expected.values())
    rows = {("x", 3): SizeCounts(9, 9, 8, 1, 9, 0, 250), ("x", 9): SizeCounts(1, 0, 0, 1, 0, 0, 900)}
    assert decode_counts(encode_counts(rows)) == rows
    many_rows = {(name, bucket): SizeCounts(bucket + 1) for name in "abc" for bucket in range(30)}
    decoded = decode_counts(encode_counts(many_rows, 900))
    assert len(orjson.dumps(encode_counts(many_rows, 900))) <= 900 and sum_largest(decoded) == sum_largest(many_rows), (
        "the largest buckets stay separate"
    )
    assert sum(counts.accepted for counts in decoded.values()) == sum(counts.accepted for counts in many_rows.values())
    assert sum_largest(rows)["x"] == rows["x", 9] and sum_largest(rows)["x"].on_time_fraction == 0.0, (
        "at least one bucket counts as the largest"
    )


class StarvationCluster(SimulatedCluster):
    """A team's small jobs of higher rank keep arriving while its largest job needs the team's whole limit."""

    def __init__(self, seed: int, **options: Any) -> None:
        super().__init__(seed, scale=2, restart_delay_range_s=(0.1, 1.0), **options)
        self.large_job_id = "j-7000001"
        self.large_job_starts: list[float] = []

    def make_job(self) -> dict[str, Any]:
        small_job_fields = {
            "shape": "sweep",
            "parcels": 1,
            "accelerators": 1.0,
            "cores": 2.0,
            "crew": "t0",
            "rank": "urgent",
        }
        small_job_fields |= {
            "builds": None,
            "yard": None,
            "together": False,
            "mistaken": False,
            "guess_s": 12.0,
            "docket": "x",
        }
        return super().make_job() | small_job_fields

    def check_start(self, worker: Any, task: Any) -> None:
        super().check_start(worker, task)
        if task.job_id == self.large_job_id and not self.large_job_starts:
            self.large_job_starts.append(virtual_now())

    async def submit_jobs(self, _: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        large_job_fields = {
            "shape": "gang",
            "parcels": 3,
            "accelerators": 2.0,
            "cores": 4.0,
            "name_id": self.large_job_id,
        }
        large_job_fields |= {"rank": "normal", "loaners": True}
        self.jobs[self.large_job_id] = self.make_job() | large_job_fields
        body = {k: v for k, v in self.jobs[self.large_job_id].items() if k != "mistaken"}
        while self.large_job_id not in self.accepted_jobs:
            status, answer = await self.send_user_request("POST", "/submissions", body)
            self.check_answer(self.large_job_id, status, answer)
            if status in (200, 201):
                self.accepted_jobs.add(self.large_job_id)
        while True:
            self.spawn(self.run_user())
            await asyncio.sleep(0.8)

    async def fail_machines_and_leaders(self, _: SimulatedCluster) -> None:
        """Fails a third of the machines, then restarts four leaders in turn."""
        await asyncio.sleep(14)
        for worker in list(self.workers.values())[::3]:
            worker.die()
            worker.machine.has_failed = True
        for _turn in range(4):
            await self.restart_controller(self.current_leader())
            await asyncio.sleep(5)


@pytest.mark.parametrize("with_failures", [False, True])
def test_largest_job_starts_beside_small_ones_despite_failures(
    with_failures: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(starvation, "LARGE_JOB_STARVATION_THRESHOLD", seconds(10))
    monkeypatch.setattr(starvation, "STARVATION_THRESHOLD", seconds(18))
    cluster = StarvationCluster(7900, without_random_faults=True)
    cluster.schedule_action(cluster.submit_jobs)
    if with_failures:
        cluster.schedule_action(cluster.fail_machines_and_leaders)
    raise_first_failure(cluster.run(length_s=75, job_count=3))
    assert cluster.large_job_starts and cluster.large_job_starts[0] < 8 + 45
    # Without starvation marks the small jobs overtake it for ever.
    monkeypatch.setattr(queue_order, "mark_starving_jobs", lambda *args: None)
    unprotected_cluster = StarvationCluster(7900, without_random_faults=True)
    unprotected_cluster.schedule_action(unprotected_cluster.submit_jobs)
    raise_first_failure(unprotected_cluster.run(length_s=75, job_count=3))
    assert not unprotected_cluster.large_job_starts
