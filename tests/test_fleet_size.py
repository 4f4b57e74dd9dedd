"""What a large fleet costs, counted in changes of the state service, never by the clock."""

import asyncio
from collections.abc import Iterable
from datetime import datetime
from typing import Any, cast

import orjson
import pytest

from roseweir.clock import seconds
from roseweir.cloud import scale_out as cloud_plan
from roseweir.cloud.capacity import available_machines
from roseweir.kv_store import KeyValueStoreClient
from roseweir.kv_store.transaction_limits import TransactionLimits
from roseweir.notifier import Notifier
from roseweir.scheduler import capacity_snapshot as look_module
from roseweir.scheduler import preemption, task_placement
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.log_batch import LogBatch
from roseweir.scheduler.log_delta import INITIAL_DELTA_COUNT
from roseweir.scheduler.log_segments import SegmentTable
from roseweir.scheduler.log_writer import LogWriter
from roseweir.scheduler.model import Machine, PlacementPhase
from roseweir.scheduler.scheduling_pass import SchedulingPassResult, run_scheduling_pass
from roseweir.settings import KeyValueStoreSettings
from roseweir.submissions.jobs import GANG
from tests.simulation import virtual_time
from tests.simulation.job_specs import make_job_spec as job
from tests.test_scheduler import NOW, FakeWorker, make_cluster_state


class Counting:
    """A state service that takes everything within its limits, and counts."""

    writes_per_s = 20.0
    transaction_limits = TransactionLimits(
        KeyValueStoreSettings(max_requests_per_s=100.0, max_writes_per_s=30.0, max_value_kib=8.0, max_txn_ops=24)
    )

    def __init__(self) -> None:
        self.changes = 0
        self.keys: dict[str, Any] = {}

    async def wait_for_write_capacity(self, reserved_share: float = 0.0) -> float:
        return self.writes_per_s

    async def compare_and_swap(self, guards: list[tuple[str, int]], ops: list[dict[str, Any]]) -> int:
        assert len(ops) <= 24 and len(guards) <= 96 and len(orjson.dumps([guards, ops])) <= 65536
        assert all(len(orjson.dumps(op.get("v"))) <= 8192 for op in ops)
        self.changes += len(ops)
        self.keys |= {op["put"]: op["v"] for op in ops if "put" in op}
        return self.changes


def fleet(machines: int) -> tuple[ClusterState, list[FakeWorker]]:
    cluster_state = make_cluster_state()
    hands = [
        FakeWorker(cluster_state, f"i-{n:06d}", "gpu" if n % 8 == 0 else "cpu", "ab"[n % 2]) for n in range(machines)
    ]
    for hand in hands:
        hand.send_heartbeat(NOW)
    return cluster_state, hands


async def record(cluster_state: ClusterState, state: Counting, until: int) -> None:
    """Let the recorder work until no more than so many starts and ends wait for it."""
    recorder = LogWriter(cast(KeyValueStoreClient, state), cluster_state, 1, Notifier())
    recorder.work_available.set()
    task = asyncio.create_task(recorder.run())
    waiting = until + 1
    for _ in range(400):
        await asyncio.sleep(0.05)
        placed = [p for run in cluster_state.jobs.values() for p in run.placements.values()]
        waiting = sum(p.phase == PlacementPhase.PLANNED for p in placed) + sum(
            len(run.uncommitted_completions) for run in cluster_state.jobs.values()
        )
        if waiting <= until:
            break
        recorder.work_available.set()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert waiting <= until, f"{waiting} starts and ends still wait for the record"


def test_changes_for_a_start_do_not_grow_with_the_fleet() -> None:
    """600 machines, an array of 3,000: thousands of starts cost notes, not a page for each few machines."""
    cluster_state, hands = fleet(600)
    run = cluster_state.add_job(job(1, task_count=3000), 1)
    run_scheduling_pass(cluster_state, NOW)
    assert len(run.placements) == 3000
    state = Counting()
    virtual_time.run_in_virtual_time(record(cluster_state, state, 0))
    assert state.changes <= 60
    # Then a few starts and ends anywhere in the fleet cost a change or two.
    for hand in hands:
        hand.send_heartbeat(NOW)
        hand.send_heartbeat(NOW)
    ended = 0
    for hand in hands[1:40]:
        for key in list(hand.tasks)[:1]:
            hand.end_task(key[0], "done")
            hand.send_heartbeat(NOW)
            ended += 1
    assert ended > 20
    before = state.changes
    virtual_time.run_in_virtual_time(record(cluster_state, state, 0))
    few = state.changes - before
    assert 0 < few <= INITIAL_DELTA_COUNT + 24


def test_gang_starts_whole_in_one_zone_with_one_attempt() -> None:
    cluster_state = make_cluster_state()
    hands = [FakeWorker(cluster_state, f"i-{n:03d}", "gpu", "ab"[n % 2]) for n in range(16)]
    for hand in hands:
        hand.send_heartbeat(NOW)
    gang = cluster_state.add_job(
        job(
            2, team="t1", job_type=GANG, task_count=3, gpus=2.0, cpus=6.0, requires_single_zone=True, allows_spot=False
        ),
        2,
    )
    run_scheduling_pass(cluster_state, NOW)
    assert len(gang.placements) == 3 and len({p.attempt for p in gang.placements.values()}) == 1
    assert len({p.machine.zone for p in gang.placements.values()}) == 1


def test_waiting_gang_keeps_its_part_of_the_teams_limit() -> None:
    """Arrays took what came free one task at a time, and the gang before them never began."""
    cluster_state = make_cluster_state()
    hands = [FakeWorker(cluster_state, f"i-{n}", "gpu") for n in range(2)]
    for hand in hands:
        hand.send_heartbeat(NOW)
    # The limit is 6 GPUs: the gang wants all of them, and there are 4 in sight.
    gang = cluster_state.add_job(job(1, job_type=GANG, task_count=3, gpus=2.0), 1)
    array = cluster_state.add_job(job(2, task_count=6, gpus=1.0), 2)
    run_scheduling_pass(cluster_state, NOW)
    assert len(gang.placements) == 0 and len(array.placements) == 0
    third = FakeWorker(cluster_state, "i-9", "gpu")
    third.send_heartbeat(NOW)
    run_scheduling_pass(cluster_state, NOW)
    assert len(gang.placements) == 3 and len(array.placements) == 0


def test_ends_of_a_swarm_do_not_hold_up_the_records_of_starts() -> None:
    """Beside starts one job ends in a batch, a job within its guarantee first."""
    cluster_state, hands = fleet(20)
    now = NOW + seconds(1)
    for number in range(100):
        run = cluster_state.add_job(job(1000 + number, team="guest", priority=3), 1)
        run.mark_completed(0)
        run.uncommitted_completions.add(0)
        cluster_state.dirty_jobs.add(run.spec.id)
    owner = cluster_state.add_job(job(5000, gpus=1.0), 1)
    owner.is_within_quota = True
    owner.mark_completed(0)
    owner.uncommitted_completions.add(0)
    cluster_state.dirty_jobs.add(owner.spec.id)
    cluster_state.add_job(job(6000, task_count=50), 1)
    for hand in hands:
        hand.send_heartbeat(now)
        hand.send_heartbeat(now)
    run_scheduling_pass(cluster_state, now)
    assert cluster_state.planned_placements
    recorder = LogWriter(cast(KeyValueStoreClient, Counting()), cluster_state, 1, Notifier())

    async def batched() -> LogBatch:
        return recorder._build_batch(available_writes=10.0)

    batch = virtual_time.run_in_virtual_time(batched())
    assert batch.delta_writes and [run.spec.id for run in batch.finished_jobs] == ["j-005000"]
    assert not cluster_state.planned_placements


def test_replacements_in_a_gang_leave_later_jobs_no_more_than_the_teams_limit() -> None:
    """They gave back a part of the limit that they had not claimed, and an array went over it."""
    cluster_state, hands = fleet(80)
    for hand in hands:
        hand.send_heartbeat(NOW)
    gang = cluster_state.add_job(job(1, task_count=4, gpus=1.0, job_type=GANG), 1)
    run_scheduling_pass(cluster_state, NOW)
    assert len(gang.placements) == 4
    for index in (0, 1):
        cluster_state.remove_placement(gang.placements[index], NOW)
    array = cluster_state.add_job(job(2, task_count=8, gpus=1.0), 1)
    run_scheduling_pass(cluster_state, NOW)
    assert len(gang.placements) == 4
    assert cluster_state.usage_by_team["t0"].gpus <= cluster_state.teams["t0"].max_gpus
    assert len(array.placements) == 2


def test_rental_looks_at_the_fleet_once_however_many_jobs_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each waiting job looked again which machines stand, and what boots took."""
    cluster_state, _ = fleet(50)
    left = SchedulingPassResult(unplaced=[(cluster_state.add_job(job(number), 1), 1) for number in range(100)])
    looks = 0
    standing = available_machines

    def counted(cluster_state: ClusterState, now: datetime) -> Iterable[Machine]:
        nonlocal looks
        looks += 1
        return standing(cluster_state, now)

    monkeypatch.setattr(cloud_plan, "available_machines", counted)
    cloud_plan.plan_scale_out(cluster_state, left, {}, 0, NOW)
    assert looks == 1


def test_passes_over_a_swarm_look_at_machines_with_room_only(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each of 500 one-task jobs looked at every one of 700 machines, though almost all were full."""
    cluster_state, hands = fleet(200)
    now = NOW + seconds(1)
    for hand in hands:
        hand.send_heartbeat(now)
        hand.send_heartbeat(now)
    cluster_state.add_job(job(1, task_count=200 * 8 - 40), 1)
    run_scheduling_pass(cluster_state, now)
    for number in range(500):
        cluster_state.add_job(job(100 + number), 1)
    seen = 0
    suits = look_module.allows_machine

    def counted(*args: object) -> bool:
        nonlocal seen
        seen += 1
        return suits(*args)  # type: ignore[arg-type]

    for caller in (task_placement, preemption):
        monkeypatch.setattr(caller, "allows_machine", counted)
    assert run_scheduling_pass(cluster_state, now).placed_count == 40
    assert seen < 40 * 20


def test_machine_full_of_small_jobs_fits_the_smallest_value_without_its_images() -> None:
    cluster_state = make_cluster_state()
    hand = FakeWorker(cluster_state, "i-000001", "gpu")
    hand.send_heartbeat(NOW)
    machine = cluster_state.machines["i-000001"]
    for number in range(16):
        machine.record_image_use(f"image-of-a-long-name-{number:03d}", 0.1)
        cluster_state.add_job(job(number, cpus=1.0, image=f"image-of-a-long-name-{number:03d}"), 1)
    run_scheduling_pass(cluster_state, NOW)
    pages = SegmentTable(2 * 1024)
    pages.update_machine(cluster_state, "i-000001")
    held = pages.encode_segment(pages.segment_by_machine["i-000001"])["machines"]["i-000001"]
    assert len(orjson.dumps(pages.encode_segment(0))) <= 2 * 1024 and len(held["tasks"]) == len(machine.placements) == 8
