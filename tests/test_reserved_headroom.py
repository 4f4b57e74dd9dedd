"""Room kept free for classes that must start at once, and what lower work may not take of it."""

import msgspec

from roseweir.clock import seconds
from roseweir.operator_config import OperatorConfig
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import PlacementPhase
from roseweir.scheduler.scheduling_pass import run_scheduling_pass
from roseweir.settings import ServiceLevelObjective
from roseweir.submissions.jobs import GANG, SERVICE
from roseweir.workers.messages import RUNNING
from tests.simulation.cluster import make_settings
from tests.simulation.job_specs import make_job_spec as job
from tests.test_scheduler import NOW, TERM, FakeWorker, make_cluster_state


def board_with_aim(within_s: float) -> ClusterState:
    cluster_state = make_cluster_state()
    given = msgspec.structs.replace(
        make_settings(0).params,
        objectives=[
            ServiceLevelObjective(objective_type="wait", target_share=0.9, job_class="viewer", threshold_s=within_s)
        ],
    )
    fresh = ClusterState(msgspec.structs.replace(make_settings(0), params=given), OperatorConfig(), TERM, NOW)
    fresh.catalog = cluster_state.catalog
    return fresh


def viewer(number: int, tasks: int = 4) -> object:
    return job(
        number,
        job_class="viewer",
        job_type=SERVICE,
        task_count=tasks,
        cpus=2.0,
        priority=0,
        spread_across_zones=True,
        allows_spot=False,
        image="v",
    )


def full(within_s: float = 1.0) -> tuple[ClusterState, list[FakeWorker]]:
    cluster_state = board_with_aim(within_s)
    hands = [FakeWorker(cluster_state, f"i-{n:03d}", "cpu", "ab"[n % 2]) for n in range(40)]
    for hand in hands:
        hand.send_heartbeat(NOW)
    cluster_state.add_job(viewer(1), 1)  # type: ignore[arg-type]
    cluster_state.add_job(job(2, task_count=400, cpus=1.0, priority=2, image="w"), 2)
    run_scheduling_pass(cluster_state, NOW)
    return cluster_state, hands


def test_lower_work_leaves_room_in_each_zone_and_the_next_service_starts_at_once() -> None:
    cluster_state, _ = full()
    assert len(cluster_state.jobs["j-000001"].placements) == 4
    # A job's worth in each zone: half of four tasks of 2 CPUs.
    free = {z: sum(m.free_cpus for m in cluster_state.machines.values() if m.zone == z) for z in "ab"}
    assert free == {"a": 4.0, "b": 4.0}
    cluster_state.add_job(viewer(3), 3)  # type: ignore[arg-type]
    run_scheduling_pass(cluster_state, NOW)
    assert len(cluster_state.jobs["j-000003"].placements) == 4
    zones = [p.machine.zone for p in cluster_state.jobs["j-000003"].placements.values()]
    assert zones.count("a") == zones.count("b") == 2


def test_nothing_is_kept_where_machines_boot_in_time() -> None:
    """4 s is what they take here: a class that may wait longer can be rented for."""
    cluster_state, _ = full(within_s=30.0)
    assert cluster_state.headroom.reserved_by_machine == {}
    assert sum(m.free_cpus for m in cluster_state.machines.values()) == 0


def test_no_more_than_a_part_of_a_zone_is_kept() -> None:
    cluster_state = board_with_aim(1.0)
    for n in range(8):
        FakeWorker(cluster_state, f"i-{n:03d}", "cpu", "ab"[n % 2]).send_heartbeat(NOW)
    cluster_state.add_job(viewer(1, tasks=30), 1)  # type: ignore[arg-type]
    cluster_state.add_job(job(2, task_count=400, cpus=1.0, priority=2), 2)
    run_scheduling_pass(cluster_state, NOW)
    # 6% of the 32 CPUs of a zone is less than a task.
    assert cluster_state.headroom.reserved_by_machine == {}


def test_work_of_the_same_rank_or_within_a_guarantee_need_not_leave_it() -> None:
    cluster_state, _ = full()
    same = cluster_state.add_job(job(4, task_count=8, cpus=1.0, priority=0), 4)
    run_scheduling_pass(cluster_state, NOW + seconds(1))
    assert len(same.placements) == 8


def test_where_the_headroom_is_not_enough_lower_work_makes_room_the_shortest_run_first() -> None:
    cluster_state, hands = full()
    first = cluster_state.add_job(viewer(5), 5)  # type: ignore[arg-type]
    second = cluster_state.add_job(viewer(6, tasks=8), 6)  # type: ignore[arg-type]
    run_scheduling_pass(cluster_state, NOW)
    assert len(first.placements) == 4 and len(second.placements) == 0
    for hand in hands:
        hand.send_heartbeat(NOW)
        hand.send_heartbeat(NOW)
    low = cluster_state.jobs["j-000002"]
    for placement in low.placements.values():
        placement.phase, placement.state = PlacementPhase.CONFIRMED, RUNNING
        placement.running_since = NOW - seconds(placement.index)
    run_scheduling_pass(cluster_state, NOW + seconds(0.1))
    assert not any(p.stop_requested_at for p in low.placements.values()), "it waits for a moment"
    run_scheduling_pass(cluster_state, NOW + seconds(0.6))
    stopped = [p for p in low.placements.values() if p.stop_requested_at is not None]
    zones = [p.machine.zone for p in stopped]
    # 8 tasks of 2 CPUs, half of them in each zone, for victims of 1 CPU.
    assert len(stopped) == 16 and zones.count("a") == 8
    assert max(p.index for p in stopped) < 200
    run_scheduling_pass(cluster_state, NOW + seconds(0.7))
    assert len([p for p in low.placements.values() if p.stop_requested_at is not None]) == 16, (
        "room is being made already"
    )
    cluster_state.add_job(job(7, task_count=4, priority=0, cpus=2.0), 7)
    run_scheduling_pass(cluster_state, NOW + seconds(2))
    assert len([p for p in low.placements.values() if p.stop_requested_at is not None]) == 16, (
        "not for a class without such an aim"
    )


def test_after_a_while_it_uses_machines_kept_clear_for_gpu_work_of_lower_rank() -> None:
    cluster_state = board_with_aim(1.0)
    hands = [FakeWorker(cluster_state, f"i-{n:03d}", "gpu", "ab"[n % 2]) for n in range(2)]
    for hand in hands:
        hand.send_heartbeat(NOW)
    cluster_state.add_job(job(1, task_count=1, gpus=2.0, cpus=8.0, priority=2, zone="c"), 1)
    run = cluster_state.add_job(viewer(2), 2)  # type: ignore[arg-type]
    run_scheduling_pass(cluster_state, NOW)
    assert len(run.placements) == 0, "all CPUs of the machines come with their GPUs"
    run_scheduling_pass(cluster_state, NOW + seconds(4))
    assert len(run.placements) == 0
    for hand in hands:
        hand.send_heartbeat(NOW + seconds(5))
    run_scheduling_pass(cluster_state, NOW + seconds(5))
    assert len(run.placements) == 4


def test_gangs_are_never_stopped_for_a_few_cpus() -> None:
    """One that saves loses little by it, so it was the first to be stopped."""
    cluster_state = board_with_aim(1.0)
    hands = [FakeWorker(cluster_state, f"i-{n:03d}", "gpu", "ab"[n % 2]) for n in range(2)]
    for hand in hands:
        hand.send_heartbeat(NOW)
    gang = cluster_state.add_job(
        job(
            1,
            task_count=2,
            job_type=GANG,
            gpus=2.0,
            cpus=8.0,
            priority=2,
            checkpoint_interval_s=15.0,
            checkpoint_duration_s=4.0,
        ),
        1,
    )
    run_scheduling_pass(cluster_state, NOW)
    assert len(gang.placements) == 2
    for placement in gang.placements.values():
        placement.phase, placement.state, placement.running_since = PlacementPhase.CONFIRMED, RUNNING, NOW
    cluster_state.overflow_until = NOW + seconds(60)
    run = cluster_state.add_job(viewer(2), 2)  # type: ignore[arg-type]
    for later in (0.0, 0.5, 1.0, 1.5):
        run_scheduling_pass(cluster_state, NOW + seconds(later))
    assert len(run.placements) == 0 and not any(p.stop_requested_at for p in gang.placements.values())
