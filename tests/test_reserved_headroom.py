"""Headroom kept free for classes that must start at once, which lower-priority jobs may not use."""

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


def make_cluster_state_with_objective(threshold_s: float) -> ClusterState:
    cluster_state = make_cluster_state()
    params = msgspec.structs.replace(
        make_settings(0).params,
        objectives=[
            ServiceLevelObjective(objective_type="wait", target_share=0.9, job_class="viewer", threshold_s=threshold_s)
        ],
    )
    configured = ClusterState(msgspec.structs.replace(make_settings(0), params=params), OperatorConfig(), TERM, NOW)
    configured.catalog = cluster_state.catalog
    return configured


def viewer_service(number: int, task_count: int = 4) -> object:
    return job(
        number,
        job_class="viewer",
        job_type=SERVICE,
        task_count=task_count,
        cpus=2.0,
        priority=0,
        spread_across_zones=True,
        allows_spot=False,
        image="v",
    )


def make_full_cluster(threshold_s: float = 1.0) -> tuple[ClusterState, list[FakeWorker]]:
    cluster_state = make_cluster_state_with_objective(threshold_s)
    workers = [FakeWorker(cluster_state, f"i-{n:03d}", "cpu", "ab"[n % 2]) for n in range(40)]
    for worker in workers:
        worker.send_heartbeat(NOW)
    cluster_state.add_job(viewer_service(1), 1)  # type: ignore[arg-type]
    cluster_state.add_job(job(2, task_count=400, cpus=1.0, priority=2, image="w"), 2)
    run_scheduling_pass(cluster_state, NOW)
    return cluster_state, workers


def test_lower_priority_jobs_leave_headroom_for_next_service_in_each_zone() -> None:
    cluster_state, _ = make_full_cluster()
    assert len(cluster_state.jobs["j-000001"].placements) == 4
    # Headroom for one job, half of it in each zone: two of four tasks of 2 CPUs.
    free_cpus_by_zone = {z: sum(m.free_cpus for m in cluster_state.machines.values() if m.zone == z) for z in "ab"}
    assert free_cpus_by_zone == {"a": 4.0, "b": 4.0}
    cluster_state.add_job(viewer_service(3), 3)  # type: ignore[arg-type]
    run_scheduling_pass(cluster_state, NOW)
    assert len(cluster_state.jobs["j-000003"].placements) == 4
    zones = [p.machine.zone for p in cluster_state.jobs["j-000003"].placements.values()]
    assert zones.count("a") == zones.count("b") == 2


def test_no_headroom_where_machines_boot_within_the_threshold() -> None:
    """Machines boot in 4 s here, so a class that may wait longer gets rented machines instead of headroom."""
    cluster_state, _ = make_full_cluster(threshold_s=30.0)
    assert cluster_state.headroom.reserved_by_machine == {}
    assert sum(m.free_cpus for m in cluster_state.machines.values()) == 0


def test_headroom_is_bounded_by_a_share_of_the_zone() -> None:
    cluster_state = make_cluster_state_with_objective(1.0)
    for n in range(8):
        FakeWorker(cluster_state, f"i-{n:03d}", "cpu", "ab"[n % 2]).send_heartbeat(NOW)
    cluster_state.add_job(viewer_service(1, task_count=30), 1)  # type: ignore[arg-type]
    cluster_state.add_job(job(2, task_count=400, cpus=1.0, priority=2), 2)
    run_scheduling_pass(cluster_state, NOW)
    # 6% of a zone's 32 CPUs are fewer than one task needs.
    assert cluster_state.headroom.reserved_by_machine == {}


def test_job_of_the_same_priority_may_use_the_headroom() -> None:
    cluster_state, _ = make_full_cluster()
    same_priority = cluster_state.add_job(job(4, task_count=8, cpus=1.0, priority=0), 4)
    run_scheduling_pass(cluster_state, NOW + seconds(1))
    assert len(same_priority.placements) == 8


def test_without_enough_headroom_shortest_running_tasks_are_preempted() -> None:
    cluster_state, workers = make_full_cluster()
    first = cluster_state.add_job(viewer_service(5), 5)  # type: ignore[arg-type]
    second = cluster_state.add_job(viewer_service(6, task_count=8), 6)  # type: ignore[arg-type]
    run_scheduling_pass(cluster_state, NOW)
    assert len(first.placements) == 4 and len(second.placements) == 0
    for worker in workers:
        worker.send_heartbeat(NOW)
        worker.send_heartbeat(NOW)
    low_priority = cluster_state.jobs["j-000002"]
    for placement in low_priority.placements.values():
        placement.phase, placement.state = PlacementPhase.CONFIRMED, RUNNING
        placement.running_since = NOW - seconds(placement.index)
    run_scheduling_pass(cluster_state, NOW + seconds(0.1))
    assert not any(p.stop_requested_at for p in low_priority.placements.values()), (
        "no preemption during the first moment of waiting"
    )
    run_scheduling_pass(cluster_state, NOW + seconds(0.6))
    stopped = [p for p in low_priority.placements.values() if p.stop_requested_at is not None]
    zones = [p.machine.zone for p in stopped]
    # 8 tasks of 2 CPUs, half of them in each zone, need 16 victims of 1 CPU.
    assert len(stopped) == 16 and zones.count("a") == 8
    assert max(p.index for p in stopped) < 200
    run_scheduling_pass(cluster_state, NOW + seconds(0.7))
    assert len([p for p in low_priority.placements.values() if p.stop_requested_at is not None]) == 16, (
        "preemption for this job is already under way"
    )
    cluster_state.add_job(job(7, task_count=4, priority=0, cpus=2.0), 7)
    run_scheduling_pass(cluster_state, NOW + seconds(2))
    assert len([p for p in low_priority.placements.values() if p.stop_requested_at is not None]) == 16, (
        "no preemption for a class without an objective"
    )


def test_service_uses_cpus_kept_for_lower_priority_gpu_jobs_after_delay() -> None:
    cluster_state = make_cluster_state_with_objective(1.0)
    workers = [FakeWorker(cluster_state, f"i-{n:03d}", "gpu", "ab"[n % 2]) for n in range(2)]
    for worker in workers:
        worker.send_heartbeat(NOW)
    cluster_state.add_job(job(1, task_count=1, gpus=2.0, cpus=8.0, priority=2, zone="c"), 1)
    run = cluster_state.add_job(viewer_service(2), 2)  # type: ignore[arg-type]
    run_scheduling_pass(cluster_state, NOW)
    assert len(run.placements) == 0, "all CPUs of the machines are kept for their GPUs"
    run_scheduling_pass(cluster_state, NOW + seconds(4))
    assert len(run.placements) == 0
    for worker in workers:
        worker.send_heartbeat(NOW + seconds(5))
    run_scheduling_pass(cluster_state, NOW + seconds(5))
    assert len(run.placements) == 4


def test_gangs_are_never_preempted_for_a_few_cpus() -> None:
    """A gang with checkpoints loses little work when preempted, but must not be the first victim for a few CPUs."""
    cluster_state = make_cluster_state_with_objective(1.0)
    workers = [FakeWorker(cluster_state, f"i-{n:03d}", "gpu", "ab"[n % 2]) for n in range(2)]
    for worker in workers:
        worker.send_heartbeat(NOW)
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
    run = cluster_state.add_job(viewer_service(2), 2)  # type: ignore[arg-type]
    for elapsed_s in (0.0, 0.5, 1.0, 1.5):
        run_scheduling_pass(cluster_state, NOW + seconds(elapsed_s))
    assert len(run.placements) == 0 and not any(p.stop_requested_at for p in gang.placements.values())
