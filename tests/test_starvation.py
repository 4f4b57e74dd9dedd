"""The largest jobs of a class: they begin though smaller ones keep coming, and the account tells whether they do."""

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
from tests.simulation.cluster import SimulatedCluster, virtual_now
from tests.simulation.job_specs import make_job_spec as job
from tests.test_scheduler import NOW, FakeWorker, commit_placements, make_cluster_state
from tests.test_simulated_days import check


def stream(kind: str, minutes: float) -> float:
    """Small jobs of a team within its guarantee for ever, and a large one of another that is not: when it begins."""
    cluster_state = make_cluster_state()
    draw = random.Random(11)
    hands = [FakeWorker(cluster_state, f"i-{n}", "gpu", "a") for n in range(6)]
    for hand in hands:
        hand.send_heartbeat(NOW)
        hand.send_heartbeat(NOW)
    ends: dict[str, float] = {}
    shapes: dict[str, dict[str, Any]] = {
        "gang": {"job_type": GANG, "task_count": 3, "gpus": 2.0, "requires_single_zone": True},
        "whole machine": {"task_count": 1, "gpus": 2.0, "cpus": 8.0},
    }
    big = cluster_state.add_job(job(1, team="t1", **shapes[kind]), 1)
    big_needs = big.spec.task_count
    number, at = 1, 0.0
    while at < minutes * 60:
        now = NOW + seconds(at)
        # More small tasks than there is room for, of teams of which none is at its limit for long.
        while sum(run.pending_count for run in cluster_state.jobs.values()) < 20:
            number += 1
            cluster_state.add_job(
                job(number, team="t0", gpus=1.0, priority=2, estimated_duration_s=20.0, accepted_ms=0), number
            )
            cluster_state.teams["t0"].guaranteed_gpus = cluster_state.teams["t0"].max_gpus = 0.0
        for hand in hands:
            for task, _ in list(hand.tasks):
                name = task.rpartition("/")[0]
                if name != big.spec.id and ends.setdefault(task, at + draw.uniform(10, 30)) <= at:
                    hand.end_task(task, "done")
            hand.send_heartbeat(now)
        for run in list(cluster_state.jobs.values()):
            run.uncommitted_completions.clear()
            if run.is_complete:
                run.final_state = "done"
                cluster_state._forget_finished_job(run)
        run_scheduling_pass(cluster_state, now)
        commit_placements(cluster_state)
        if len(big.placements) == big_needs:
            return at
        at += 1.0
    return at


@pytest.mark.parametrize("kind", ["gang", "whole machine"])
def test_a_large_job_begins_though_small_ones_of_higher_standing_keep_coming(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(scheduling_pass, "mark_within_quota", lambda board: None)

    def covered(run: JobRun) -> bool:
        return run.spec.team == "t0"

    order = queue_order._queue_rank

    def patched(run: JobRun) -> tuple[object, ...]:
        run.is_within_quota = covered(run)
        return order(run)

    monkeypatch.setattr(queue_order, "_queue_rank", patched)
    assert stream(kind, 6) < MAX_START_DELAY_S
    if kind == "gang":
        # Without it the pieces never add up.
        monkeypatch.setattr(queue_order, "mark_starving_jobs", lambda *more: None)
        assert stream(kind, 6) >= 360


def test_only_so_many_are_old_at_once_and_the_oldest_come_first() -> None:
    runs = [new_job_run(job(n, gpus=2.0, job_type=GANG, task_count=4), n) for n in range(1, 9)]
    for n, run in enumerate(runs):
        run.first_waited_at = NOW - seconds(200 - 20 * n)
    pool = 8.0 * 8
    sizes = JobSizeHistogram()
    for run in runs:
        sizes.record(run.spec)
    mark_starving_jobs(runs, PoolCapacity(cpus=0.0, gpus=pool), sizes, None, NOW)
    old = [run for run in runs if run.starvation_level > NOT_STARVING]
    assert old == runs[: int(pool * MAX_STARVING_POOL_FRACTION / 8)] and [run.starvation_level for run in old] == [
        CRITICALLY_STARVING,
        CRITICALLY_STARVING,
    ]
    runs[0].has_started = True
    runs[0].first_waited_at = NOW
    mark_starving_jobs(runs, PoolCapacity(cpus=0.0, gpus=1.0), sizes, None, NOW)
    assert [run.starvation_level for run in runs[:3]] == [NOT_STARVING, CRITICALLY_STARVING, NOT_STARVING], (
        "one at least"
    )
    # A leader that has just begun tells by the time of day.
    fresh = new_job_run(job(20, accepted_ms=1000), 1)
    mark_starving_jobs([fresh], PoolCapacity(cpus=1.0, gpus=1.0), sizes, NOW - STARVATION_THRESHOLD, NOW)
    assert fresh.starvation_level == NOT_STARVING, "one of the small ones"
    mark_starving_jobs([fresh], PoolCapacity(cpus=1.0, gpus=1.0), sizes, NOW - STARVATION_THRESHOLD - seconds(2), NOW)
    assert fresh.starvation_level == STARVING and starvation.waiting_time(
        fresh, NOW - STARVATION_THRESHOLD, NOW
    ) == STARVATION_THRESHOLD - seconds(1)


def test_capacity_is_asked_for_a_job_that_waits_in_pieces() -> None:
    cluster_state = make_cluster_state()
    late = NOW + starvation.LARGE_JOB_STARVATION_THRESHOLD + seconds(6)
    for n in range(4):
        hand = FakeWorker(cluster_state, f"i-{n}", "gpu")
        hand.send_heartbeat(NOW)
        cluster_state.add_placement(cluster_state.add_job(job(n + 10, gpus=1.0), 1), 0, hand.machine, 1, NOW)
        hand.machine.last_heartbeat_at = late
    gang = cluster_state.add_job(job(2, job_type=GANG, gpus=2.0, allows_spot=False), 2)
    for since, wants in ((late, 0), (NOW, 1)):
        gang.first_waited_at = since
        assert (
            sum(
                want.count
                for want in plan_scale_out(cluster_state, run_scheduling_pass(cluster_state, late), {}, 0, late)[0]
            )
            == wants
        )


def _account(seed: int) -> tuple[ServiceLevelAccount, dict[str, SizeCounts]]:
    """Jobs of two classes that begin or do not, over three leaders; and what the world knows of its largest."""
    draw = random.Random(seed)
    account = ServiceLevelAccount()
    rows: dict[tuple[str, int], SizeCounts] = {}
    wall = 0
    for number in range(120):
        spec: JobSpec = job(
            number,
            job_class=draw.choice("xy"),
            task_count=draw.choice([1, 1, 1, 2, 4, 8]),
            gpus=2.0,
            accepted_ms=wall + 1,
        )
        wait = draw.choice([1.0, 30.0, 200.0, 260.0, 400.0])
        account.add_job(spec)
        account.update_started({}, wall + 1 + round(wait * 1000))
        account.live_jobs[spec.id].is_started = True
        account.record_outcome(spec.id, "done")
        account.confirm_end(spec.id)
        in_time = wait <= MAX_START_DELAY_S
        rows.setdefault((spec.job_class, size_bucket(spec.total_resource_units)), SizeCounts()).add(
            SizeCounts(1, 1, int(in_time), int(not in_time), 1, 0, round(wait))
        )
        if number % 40 == 39:
            again = ServiceLevelAccount()
            again.decode(account.encode(number, 4000))
            account = again
    return account, sum_largest(rows)


@pytest.mark.parametrize("seed", range(4))
def test_the_largest_are_told_as_the_world_knows_them_through_take_overs(seed: int) -> None:
    account, expected = _account(seed)
    assert account.largest_job_counts() == expected
    assert all(size.accepted >= 0.1 * 40 for size in expected.values())
    rows = {("x", 3): SizeCounts(9, 9, 8, 1, 9, 0, 250), ("x", 9): SizeCounts(1, 0, 0, 1, 0, 0, 900)}
    assert decode_counts(encode_counts(rows)) == rows
    many = {(name, step): SizeCounts(step + 1) for name in "abc" for step in range(30)}
    again = decode_counts(encode_counts(many, 900))
    assert len(orjson.dumps(encode_counts(many, 900))) <= 900 and sum_largest(again) == sum_largest(many), (
        "the largest are kept apart"
    )
    assert sum(size.accepted for size in again.values()) == sum(size.accepted for size in many.values())
    assert sum_largest(rows)["x"] == rows["x", 9] and sum_largest(rows)["x"].on_time_fraction == 0.0, "one at least"


class Starved(SimulatedCluster):
    """A team's small jobs of higher rank keep coming; its largest needs the whole of the team's limit."""

    def __init__(self, seed: int, **more: Any) -> None:
        super().__init__(seed, scale=2, restart_delay_range_s=(0.1, 1.0), **more)
        self.large = "j-7000001"
        self.begun: list[float] = []

    def make_job(self) -> dict[str, Any]:
        small = {"shape": "sweep", "parcels": 1, "accelerators": 1.0, "cores": 2.0, "crew": "t0", "rank": "urgent"}
        small |= {"builds": None, "yard": None, "together": False, "mistaken": False, "guess_s": 12.0, "docket": "x"}
        return super().make_job() | small

    def check_start(self, worker: Any, task: Any) -> None:
        super().check_start(worker, task)
        if task.job_id == self.large and not self.begun:
            self.begun.append(virtual_now())

    async def story(self, _: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        shape = {"shape": "gang", "parcels": 3, "accelerators": 2.0, "cores": 4.0, "name_id": self.large}
        shape |= {"rank": "normal", "loaners": True}
        self.jobs[self.large] = self.make_job() | shape
        body = {k: v for k, v in self.jobs[self.large].items() if k != "mistaken"}
        while self.large not in self.accepted_jobs:
            status, answer = await self.ask("POST", "/submissions", body)
            self.check_answer(self.large, status, answer)
            if status in (200, 201):
                self.accepted_jobs.add(self.large)
        while True:
            self.spawn(self.run_user())
            await asyncio.sleep(0.8)

    async def failing(self, _: SimulatedCluster) -> None:
        """A third of the machines, and leaders one after the other."""
        await asyncio.sleep(14)
        for worker in list(self.workers.values())[::3]:
            worker.die()
            worker.machine.has_failed = True
        for _turn in range(4):
            await self.restart_controller(self.current_leader())
            await asyncio.sleep(5)


@pytest.mark.parametrize("fails", [False, True])
def test_the_largest_begins_beside_its_teams_small_ones_though_leaders_and_machines_fall(
    fails: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(starvation, "LARGE_JOB_STARVATION_THRESHOLD", seconds(10))
    monkeypatch.setattr(starvation, "STARVATION_THRESHOLD", seconds(18))
    cluster = Starved(7900, is_calm=True)
    cluster.schedule_action(cluster.story)
    if fails:
        cluster.schedule_action(cluster.failing)
    check(cluster.run(length_s=75, job_count=3))
    assert cluster.begun and cluster.begun[0] < 8 + 45
    # Without it the small ones pass it for ever.
    monkeypatch.setattr(queue_order, "mark_starving_jobs", lambda *more: None)
    plain = Starved(7900, is_calm=True)
    plain.schedule_action(plain.story)
    check(plain.run(length_s=75, job_count=3))
    assert not plain.begun
