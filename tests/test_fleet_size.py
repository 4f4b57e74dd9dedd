"""Costs of a large fleet, counted in key-value store writes and machine checks, not measured by the clock."""

import asyncio
from collections.abc import Iterable
from datetime import datetime
from typing import Any, cast

import orjson
import pytest

from roseweir.clock import seconds
from roseweir.cloud import scale_out
from roseweir.cloud.capacity import available_machines
from roseweir.kv_store import KeyValueStoreClient
from roseweir.kv_store.transaction_limits import TransactionLimits
from roseweir.notifier import Notifier
from roseweir.scheduler import capacity_snapshot, preemption, task_placement
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


class CountingStore:
    """A key-value store that accepts every transaction within its limits and counts the operations."""

    writes_per_s = 20.0
    transaction_limits = TransactionLimits(
        KeyValueStoreSettings(max_requests_per_s=100.0, max_writes_per_s=30.0, max_value_kib=8.0, max_txn_ops=24)
    )

    def __init__(self) -> None:
        self.operation_count = 0
        self.keys: dict[str, Any] = {}

    async def wait_for_write_capacity(self, reserved_share: float = 0.0) -> float:
        return self.writes_per_s

    async def compare_and_swap(self, guards: list[tuple[str, int]], ops: list[dict[str, Any]]) -> int:
        assert len(ops) <= 24 and len(guards) <= 96 and len(orjson.dumps([guards, ops])) <= 65536
        assert all(len(orjson.dumps(op.get("v"))) <= 8192 for op in ops)
        self.operation_count += len(ops)
        self.keys |= {op["put"]: op["v"] for op in ops if "put" in op}
        return self.operation_count


def make_fleet(machine_count: int) -> tuple[ClusterState, list[FakeWorker]]:
    cluster_state = make_cluster_state()
    workers = [
        FakeWorker(cluster_state, f"i-{n:06d}", "gpu" if n % 8 == 0 else "cpu", "ab"[n % 2])
        for n in range(machine_count)
    ]
    for worker in workers:
        worker.send_heartbeat(NOW)
    return cluster_state, workers


async def run_log_writer(cluster_state: ClusterState, store: CountingStore, max_waiting: int) -> None:
    """Runs the log writer until at most `max_waiting` starts and completions are uncommitted."""
    log_writer = LogWriter(cast(KeyValueStoreClient, store), cluster_state, 1, Notifier())
    log_writer.work_available.set()
    task = asyncio.create_task(log_writer.run())
    waiting = max_waiting + 1
    for _ in range(400):
        await asyncio.sleep(0.05)
        placed = [p for run in cluster_state.jobs.values() for p in run.placements.values()]
        waiting = sum(p.phase == PlacementPhase.PLANNED for p in placed) + sum(
            len(run.uncommitted_completions) for run in cluster_state.jobs.values()
        )
        if waiting <= max_waiting:
            break
        log_writer.work_available.set()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert waiting <= max_waiting, f"{waiting} starts and completions are still uncommitted"


def test_writes_per_start_do_not_grow_with_the_fleet() -> None:
    """An array of 3,000 tasks on 600 machines is written as deltas, not as one segment for every few machines."""
    cluster_state, workers = make_fleet(600)
    run = cluster_state.add_job(job(1, task_count=3000), 1)
    run_scheduling_pass(cluster_state, NOW)
    assert len(run.placements) == 3000
    store = CountingStore()
    virtual_time.run_in_virtual_time(run_log_writer(cluster_state, store, 0))
    assert store.operation_count <= 60
    # After that, a few starts and completions anywhere in the fleet cost few writes.
    for worker in workers:
        worker.send_heartbeat(NOW)
        worker.send_heartbeat(NOW)
    ended_count = 0
    for worker in workers[1:40]:
        for key in list(worker.tasks)[:1]:
            worker.end_task(key[0], "done")
            worker.send_heartbeat(NOW)
            ended_count += 1
    assert ended_count > 20
    operations_before = store.operation_count
    virtual_time.run_in_virtual_time(run_log_writer(cluster_state, store, 0))
    new_operations = store.operation_count - operations_before
    assert 0 < new_operations <= INITIAL_DELTA_COUNT + 24


def test_gang_starts_in_one_zone_with_a_single_attempt() -> None:
    cluster_state = make_cluster_state()
    workers = [FakeWorker(cluster_state, f"i-{n:03d}", "gpu", "ab"[n % 2]) for n in range(16)]
    for worker in workers:
        worker.send_heartbeat(NOW)
    gang = cluster_state.add_job(
        job(
            2, team="t1", job_type=GANG, task_count=3, gpus=2.0, cpus=6.0, requires_single_zone=True, allows_spot=False
        ),
        2,
    )
    run_scheduling_pass(cluster_state, NOW)
    assert len(gang.placements) == 3 and len({p.attempt for p in gang.placements.values()}) == 1
    assert len({p.machine.zone for p in gang.placements.values()}) == 1


def test_waiting_gang_holds_its_share_of_the_team_limit() -> None:
    """Otherwise arrays take quota that becomes free task by task, and the gang queued before them never starts."""
    cluster_state = make_cluster_state()
    workers = [FakeWorker(cluster_state, f"i-{n}", "gpu") for n in range(2)]
    for worker in workers:
        worker.send_heartbeat(NOW)
    # The limit is 6 GPUs: the gang needs all of them, and the machines have 4.
    gang = cluster_state.add_job(job(1, job_type=GANG, task_count=3, gpus=2.0), 1)
    array = cluster_state.add_job(job(2, task_count=6, gpus=1.0), 2)
    run_scheduling_pass(cluster_state, NOW)
    assert len(gang.placements) == 0 and len(array.placements) == 0
    third_worker = FakeWorker(cluster_state, "i-9", "gpu")
    third_worker.send_heartbeat(NOW)
    run_scheduling_pass(cluster_state, NOW)
    assert len(gang.placements) == 3 and len(array.placements) == 0


def test_completions_of_many_small_jobs_do_not_delay_start_writes() -> None:
    """A batch with starts commits the completion of one job only, and of a job within its quota first."""
    cluster_state, workers = make_fleet(20)
    now = NOW + seconds(1)
    for number in range(100):
        run = cluster_state.add_job(job(1000 + number, team="guest", priority=3), 1)
        run.mark_completed(0)
        run.uncommitted_completions.add(0)
        cluster_state.dirty_jobs.add(run.spec.id)
    within_quota_run = cluster_state.add_job(job(5000, gpus=1.0), 1)
    within_quota_run.is_within_quota = True
    within_quota_run.mark_completed(0)
    within_quota_run.uncommitted_completions.add(0)
    cluster_state.dirty_jobs.add(within_quota_run.spec.id)
    cluster_state.add_job(job(6000, task_count=50), 1)
    for worker in workers:
        worker.send_heartbeat(now)
        worker.send_heartbeat(now)
    run_scheduling_pass(cluster_state, now)
    assert cluster_state.planned_placements
    log_writer = LogWriter(cast(KeyValueStoreClient, CountingStore()), cluster_state, 1, Notifier())

    async def build_batch() -> LogBatch:
        return log_writer._build_batch(available_writes=10.0)

    batch = virtual_time.run_in_virtual_time(build_batch())
    assert batch.delta_writes and [run.spec.id for run in batch.finished_jobs] == ["j-005000"]
    assert not cluster_state.planned_placements


def test_replaced_gang_tasks_do_not_raise_the_team_limit() -> None:
    """Guards against replaced gang tasks that return quota they never claimed, so that an array exceeds the limit."""
    cluster_state, workers = make_fleet(80)
    for worker in workers:
        worker.send_heartbeat(NOW)
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


def test_scale_out_scans_the_fleet_once_for_all_waiting_jobs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against computing the available machines and boot times again for each waiting job."""
    cluster_state, _ = make_fleet(50)
    pass_result = SchedulingPassResult(unplaced=[(cluster_state.add_job(job(number), 1), 1) for number in range(100)])
    call_count = 0
    original = available_machines

    def counting_available_machines(cluster_state: ClusterState, now: datetime) -> Iterable[Machine]:
        nonlocal call_count
        call_count += 1
        return original(cluster_state, now)

    monkeypatch.setattr(scale_out, "available_machines", counting_available_machines)
    scale_out.plan_scale_out(cluster_state, pass_result, {}, 0, NOW)
    assert call_count == 1


def test_pass_over_many_small_jobs_checks_only_machines_with_room(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against each of 500 one-task jobs checking all 700 machines, almost all of them full."""
    cluster_state, workers = make_fleet(200)
    now = NOW + seconds(1)
    for worker in workers:
        worker.send_heartbeat(now)
        worker.send_heartbeat(now)
    cluster_state.add_job(job(1, task_count=200 * 8 - 40), 1)
    run_scheduling_pass(cluster_state, now)
    for number in range(500):
        cluster_state.add_job(job(100 + number), 1)
    check_count = 0
    allows_machine = capacity_snapshot.allows_machine

    def counting_allows_machine(*args: object) -> bool:
        nonlocal check_count
        check_count += 1
        return allows_machine(*args)  # type: ignore[arg-type]

    for caller in (task_placement, preemption):
        monkeypatch.setattr(caller, "allows_machine", counting_allows_machine)
    assert run_scheduling_pass(cluster_state, now).placed_count == 40
    assert check_count < 40 * 20


def test_full_machine_entry_fits_smallest_value_size_without_images() -> None:
    cluster_state = make_cluster_state()
    worker = FakeWorker(cluster_state, "i-000001", "gpu")
    worker.send_heartbeat(NOW)
    machine = cluster_state.machines["i-000001"]
    for number in range(16):
        machine.record_image_use(f"image-of-a-long-name-{number:03d}", 0.1)
        cluster_state.add_job(job(number, cpus=1.0, image=f"image-of-a-long-name-{number:03d}"), 1)
    run_scheduling_pass(cluster_state, NOW)
    segments = SegmentTable(2 * 1024)
    segments.update_machine(cluster_state, "i-000001")
    entry = segments.encode_segment(segments.segment_by_machine["i-000001"])["machines"]["i-000001"]
    assert (
        len(orjson.dumps(segments.encode_segment(0))) <= 2 * 1024
        and len(entry["tasks"]) == len(machine.placements) == 8
    )
