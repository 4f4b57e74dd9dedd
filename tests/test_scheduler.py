"""Scheduling decisions on a cluster state alone, without a controller process."""

from collections import deque
from datetime import datetime, timedelta
from typing import Any

import orjson
import pytest

from roseweir.clock import ZERO, seconds
from roseweir.cloud.offers import MachineOffer
from roseweir.cloud.scale_in import plan_scale_in
from roseweir.cloud.scale_out import plan_scale_out
from roseweir.limits.rules import renew_fetch_limits
from roseweir.operator_config import OperatorConfig
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.heartbeat_reconciliation import HeartbeatReconciler
from roseweir.scheduler.job_explanation import explain_job
from roseweir.scheduler.log_delta import Delta
from roseweir.scheduler.log_segments import SegmentTable
from roseweir.scheduler.model import JobRun, Machine, PlacementPhase
from roseweir.scheduler.recovery import RecoveredStarts
from roseweir.scheduler.scheduling_pass import SchedulingPassResult, run_scheduling_pass
from roseweir.submissions.jobs import GANG, SERVICE, MachineType
from roseweir.workers.messages import Heartbeat, TaskStatus
from tests.simulation.cluster import make_settings
from tests.simulation.job_specs import make_job_spec as job

NOW = datetime(2000, 1, 1)
CPU = MachineType("cpu", 8, 0, 64, 50, 1.0, 1.0, 0.3, 10, ("a", "b"))
GPU = MachineType("gpu", 8, 2, 64, 50, 1.0, 6.0, 2.0, 10, ("a", "b"))
TERM = 3


def make_cluster_state() -> ClusterState:
    cluster_state = ClusterState(make_settings(0), OperatorConfig(), TERM, NOW)
    cluster_state.catalog = {"cpu": CPU, "gpu": GPU}
    return cluster_state


class FakeWorker:
    """A worker whose heartbeats and task states the test controls."""

    def __init__(self, cluster_state: ClusterState, name: str, machine_type: str = "cpu", zone: str = "a") -> None:
        self.cluster_state, self.name, self.machine_type, self.zone = cluster_state, name, machine_type, zone
        self.sequence_number = 0
        self.tasks: dict[tuple[str, int], TaskStatus] = {}

    def make_heartbeat(self, term: int = TERM, incarnation: int = 1) -> Heartbeat:
        self.sequence_number += 1
        return Heartbeat(
            self.name,
            "10.1.0.1:9",
            self.machine_type,
            self.zone,
            False,
            incarnation,
            self.sequence_number,
            term,
            list(self.tasks.values()),
        )

    def send_heartbeat(self, now: datetime, term: int = TERM, incarnation: int = 1) -> list[dict[str, Any]]:
        machine = HeartbeatReconciler(self.cluster_state).apply_heartbeat(self.make_heartbeat(term, incarnation), now)
        assert machine is not None
        commands = self.cluster_state.collect_commands(machine, now, may_start_tasks=True)
        for command in commands:
            key = (command["parcel"], command["try"])
            if command["verb"] == "run":
                self.tasks[key] = TaskStatus(*key, "running")
            elif command["verb"] == "clear":
                self.tasks.pop(key, None)
        return commands

    def end_task(self, task: str, reason: str) -> None:
        for key in self.tasks:
            if key[0] == task:
                self.tasks[key] = TaskStatus(*key, "exited", reason)
                return
        raise AssertionError(f"task {task} is not on the worker, which has {list(self.tasks)}")

    @property
    def machine(self) -> Machine:
        return self.cluster_state.machines[self.name]


def commit_placements(cluster_state: ClusterState) -> None:
    """Marks planned placements as committed, as the log writer does once the key-value store has confirmed them."""
    for machine in cluster_state.machines.values():
        for placement in machine.placements.values():
            if placement.phase == PlacementPhase.PLANNED:
                placement.phase = PlacementPhase.COMMITTED


def place_and_start(cluster_state: ClusterState, now: datetime, *workers: FakeWorker) -> None:
    run_scheduling_pass(cluster_state, now)
    commit_placements(cluster_state)
    for worker in workers:
        worker.send_heartbeat(now)
        worker.send_heartbeat(now)


def test_run_command_needs_a_committed_placement_and_a_lease() -> None:
    cluster_state = make_cluster_state()
    worker = FakeWorker(cluster_state, "i-1")
    worker.send_heartbeat(NOW)
    cluster_state.add_job(job(1), 1)
    run_scheduling_pass(cluster_state, NOW)
    assert worker.send_heartbeat(NOW) == []
    commit_placements(cluster_state)
    machine = HeartbeatReconciler(cluster_state).apply_heartbeat(worker.make_heartbeat(), NOW)
    assert machine is not None and cluster_state.collect_commands(machine, NOW, may_start_tasks=False) == []
    assert [command["verb"] for command in worker.send_heartbeat(NOW)] == ["run"]


def test_only_a_later_heartbeat_proves_a_start_command_lost() -> None:
    cluster_state = make_cluster_state()
    worker = FakeWorker(cluster_state, "i-1")
    worker.send_heartbeat(NOW)
    run = cluster_state.add_job(job(1), 1)
    run_scheduling_pass(cluster_state, NOW)
    commit_placements(cluster_state)
    machine = HeartbeatReconciler(cluster_state).apply_heartbeat(worker.make_heartbeat(), NOW)
    assert machine is not None
    assert [command["verb"] for command in cluster_state.collect_commands(machine, NOW, may_start_tasks=True)] == [
        "run"
    ]
    # The answer with the command is still under way. A response to a direct command lists no tasks and does not prove
    # that the command was lost.
    HeartbeatReconciler(cluster_state).apply_command_response(worker.make_heartbeat(), NOW)
    assert run.placements[0].phase == PlacementPhase.SENT
    # A stale heartbeat is older than the last applied one and does not prove it either.
    stale_heartbeat = Heartbeat("i-1", "10.1.0.1:9", "cpu", "a", False, 1, 1, TERM, [])
    assert HeartbeatReconciler(cluster_state).apply_heartbeat(stale_heartbeat, NOW) is None
    # The worker's next heartbeat proves that the answer was lost: the committed start is sent again.
    assert [command["verb"] for command in worker.send_heartbeat(NOW)] == ["run"]


def test_recovered_placement_counts_until_heartbeat_with_current_term() -> None:
    cluster_state = make_cluster_state()
    run = cluster_state.add_job(job(1, task_count=2, gpus=2.0), 1)
    machine = cluster_state.restore_machine("i-1", GPU, "a", False, NOW)
    cluster_state.restore_placement(run, 0, machine, 7, NOW)
    worker = FakeWorker(cluster_state, "i-1", "gpu")
    assert HeartbeatReconciler(cluster_state).apply_heartbeat(worker.make_heartbeat(TERM - 1), NOW) is None
    assert 0 in run.placements and cluster_state.usage_by_team["t0"].gpus == 2.0
    run_scheduling_pass(cluster_state, NOW)
    assert list(run.placements) == [0]
    worker.send_heartbeat(NOW, term=TERM)
    assert run.placements == {}
    # A machine that never sends a heartbeat counts until the previous leader's last lease has expired.
    silent_machine = cluster_state.restore_machine("i-2", GPU, "a", False, NOW)
    cluster_state.restore_placement(run, 1, silent_machine, 8, NOW)
    cluster_state.apply_timeouts(cluster_state.previous_leader_lease_expiry - seconds(0.1))
    assert 1 in run.placements
    cluster_state.apply_timeouts(cluster_state.previous_leader_lease_expiry + seconds(0.1))
    assert 1 not in run.placements


def test_clear_command_waits_for_committed_completion() -> None:
    cluster_state = make_cluster_state()
    worker = FakeWorker(cluster_state, "i-1")
    worker.send_heartbeat(NOW)
    run = cluster_state.add_job(job(1, task_count=2), 1)
    place_and_start(cluster_state, NOW, worker)
    worker.end_task("j-000001/0", "done")
    assert worker.send_heartbeat(NOW) == [] and run.uncommitted_completions == {0}
    run.uncommitted_completions.clear()
    assert [command["verb"] for command in worker.send_heartbeat(NOW)] == ["clear"]


def test_machine_preempted_for_a_gang_is_reserved_for_the_gang() -> None:
    cluster_state = make_cluster_state()
    worker = FakeWorker(cluster_state, "i-1", "gpu")
    worker.send_heartbeat(NOW)
    low = cluster_state.add_job(
        job(1, task_count=6, gpus=1.0, priority=3, checkpoint_interval_s=5.0, checkpoint_duration_s=1.0), 1
    )
    place_and_start(cluster_state, NOW, worker)
    assert len(low.placements) == 2
    gang = cluster_state.add_job(job(2, team="t1", job_type=GANG, gpus=2.0, priority=1), 2)
    run_scheduling_pass(cluster_state, NOW)
    run_scheduling_pass(cluster_state, NOW + seconds(2))
    victims = [p for p in low.placements.values() if p.stop_requested_at is not None]
    assert len(victims) == 2
    worker.end_task(victims[0].task_name, "halted")
    worker.send_heartbeat(NOW + seconds(3))
    run_scheduling_pass(cluster_state, NOW + seconds(3))
    assert len(low.placements) == 1, "the first victim's capacity went to another task"
    worker.end_task(victims[1].task_name, "halted")
    worker.send_heartbeat(NOW + seconds(4))
    run_scheduling_pass(cluster_state, NOW + seconds(4))
    assert len(gang.placements) == 1


def test_expired_reservation_does_not_block_preemption_for_its_own_job() -> None:
    cluster_state = make_cluster_state()
    workers = [FakeWorker(cluster_state, f"i-{n}", "gpu") for n in range(2)]
    for worker in workers:
        worker.send_heartbeat(NOW)
    low = cluster_state.add_job(job(1, task_count=2, gpus=2.0, priority=3), 1)
    place_and_start(cluster_state, NOW, *workers)
    cluster_state.add_job(job(2, team="t1", gpus=2.0, priority=1), 2)
    # A machine was reserved and never became free; no other job waits whose placement would clear the reservation.
    workers[0].machine.reserved_for_job, workers[0].machine.reserved_until = "j-000002", NOW + seconds(15)
    for elapsed_s, stopped_count in ((2, 0), (16, 1)):
        for worker in workers:
            worker.send_heartbeat(NOW + seconds(elapsed_s))
        run_scheduling_pass(cluster_state, NOW + seconds(elapsed_s))
        assert sum(p.stop_requested_at is not None for p in low.placements.values()) == stopped_count


def fail_task(worker: FakeWorker, run: JobRun, now: datetime) -> None:
    index = next(i for i, p in run.placements.items() if p.machine is worker.machine)
    worker.end_task(f"{run.spec.id}/{index}", "error")
    worker.send_heartbeat(now)


def test_faulty_machine_is_released_but_not_for_a_crash_looping_job() -> None:
    cluster_state = make_cluster_state()
    workers = [FakeWorker(cluster_state, f"i-{n}") for n in range(4)]
    for worker in workers:
        worker.send_heartbeat(NOW)
    crash_looping = cluster_state.add_job(job(1, task_count=8, cpus=4.0), 1)
    place_and_start(cluster_state, NOW, *workers)
    for worker in workers:
        fail_task(worker, crash_looping, NOW)
    assert not any(worker.machine.is_marked_for_release for worker in workers)
    # From the second failure on they count against the job: the machines are not even marked unhealthy.
    assert [worker.machine.unhealthy_until > NOW for worker in workers] == [False] * 4
    cluster_state.end_job("j-000001", _completed_as_cancelled(crash_looping), NOW)

    cluster_state = make_cluster_state()
    worker = FakeWorker(cluster_state, "i-1")
    worker.send_heartbeat(NOW)
    runs = [cluster_state.add_job(job(n), n) for n in (1, 2)]
    place_and_start(cluster_state, NOW, worker)
    fail_task(worker, runs[0], NOW)
    assert worker.machine.unhealthy_until > NOW and not worker.machine.is_marked_for_release
    fail_task(worker, runs[1], NOW)
    assert worker.machine.is_marked_for_release


def _completed_as_cancelled(run: JobRun) -> Any:
    from roseweir.submissions.jobs import completed_job

    return completed_job(run.spec, "cancelled")


def test_slow_machine_is_released_after_two_arrays() -> None:
    cluster_state = make_cluster_state()
    workers = [FakeWorker(cluster_state, f"i-{n}") for n in range(5)]
    now = NOW
    for worker in workers:
        worker.send_heartbeat(now)
    for number in (1, 2):
        run = cluster_state.add_job(job(number, task_count=40), number)
        place_and_start(cluster_state, now, *workers)
        assert not workers[0].machine.is_marked_for_release
        for runtime_s, group in ((10, workers[1:]), (20, workers[:1])):
            now += seconds(runtime_s)
            for worker in group:
                for task in [p.task_name for p in worker.machine.placements.values()]:
                    worker.end_task(task, "done")
                worker.send_heartbeat(now)
        run.uncommitted_completions.clear()
        for worker in workers:
            worker.send_heartbeat(now)
    assert [worker.machine.is_marked_for_release for worker in workers] == [True, False, False, False, False]


def test_cpu_tasks_overflow_to_gpu_machines_only_without_cpu_machines() -> None:
    cluster_state = make_cluster_state()
    workers = [FakeWorker(cluster_state, f"i-{n}", "gpu") for n in range(4)]
    for worker in workers:
        worker.send_heartbeat(NOW)
    cluster_state.add_job(job(1, gpus=2.0, cpus=8.0), 1)
    run_scheduling_pass(cluster_state, NOW)
    commit_placements(cluster_state)
    cpu_run = cluster_state.add_job(job(2, task_count=100), 2)
    run_scheduling_pass(cluster_state, NOW)
    assert len(cpu_run.placements) == 0
    cluster_state.overflow_until = NOW + seconds(30)
    run_scheduling_pass(cluster_state, NOW)
    # One machine runs a GPU task, and two more are kept clear for GPU tasks that start.
    assert len(cpu_run.placements) == 8


def test_silent_machine_is_released_but_not_a_silent_zone() -> None:
    cluster_state = make_cluster_state()
    workers = [FakeWorker(cluster_state, f"i-{zone}{n}", zone=zone) for zone in "ab" for n in range(4)]
    for worker in workers:
        worker.send_heartbeat(NOW)
    cluster_state.add_job(job(1, task_count=64), 1)
    place_and_start(cluster_state, NOW, *workers)
    later = NOW + seconds(7.5)
    for worker in workers[1:]:
        worker.send_heartbeat(later)
    # Heartbeats from the zone have only just resumed: a machine that is late by a moment is not released yet.
    assert [
        m.name for m, reason in plan_scale_in(cluster_state, SchedulingPassResult(), later) if reason == "silent"
    ] == []
    later += seconds(7.5)
    for worker in workers[1:]:
        worker.send_heartbeat(later)
    assert [
        m.name for m, reason in plan_scale_in(cluster_state, SchedulingPassResult(), later) if reason == "silent"
    ] == ["i-a0"]
    much_later = later + seconds(7.5)
    for worker in workers[4:]:
        worker.send_heartbeat(much_later)
    assert [
        m.name for m, reason in plan_scale_in(cluster_state, SchedulingPassResult(), much_later) if reason == "silent"
    ] == []


@pytest.mark.parametrize("job_type", ["array", GANG, SERVICE])
@pytest.mark.parametrize("demand", [{"cpus": 0.0}, {"cpus": 1e-9}, {"cpus": 0.0, "gpus": 1e-9}], ids=str)
def test_scale_out_rents_one_machine_for_tasks_that_need_almost_nothing(
    job_type: str, demand: dict[str, float]
) -> None:
    """Fewer units than the rounding tolerance rented nothing: with no machine yet, the job waited for ever."""
    cluster_state = make_cluster_state()
    cluster_state.add_job(job(1, job_type=job_type, task_count=100, **({"memory_gb": 0.0} | demand)), 1)
    at = NOW + seconds(1)
    pass_result = run_scheduling_pass(cluster_state, at)
    requests, _ = plan_scale_out(cluster_state, pass_result, {}, 0, at)
    assert [request.count for request in requests] == [1]
    assert requests[0].type_name == ("gpu" if demand.get("gpus") else "cpu")


def test_scale_out_rents_cheapest_fit_and_nothing_beyond_team_limit() -> None:
    cluster_state = make_cluster_state()
    cluster_state.add_job(job(1, task_count=16, allows_spot=False), 1)
    requests, is_exhausted = plan_scale_out(cluster_state, run_scheduling_pass(cluster_state, NOW), {}, 0, NOW)
    assert (
        {request.type_name for request in requests} == {"cpu"}
        and not any(request.is_spot for request in requests)
        and not is_exhausted
    )
    refused = {MachineOffer("cpu", zone, spot): NOW + seconds(9) for zone in "ab" for spot in (True, False)}
    requests, is_exhausted = plan_scale_out(cluster_state, run_scheduling_pass(cluster_state, NOW), refused, 0, NOW)
    assert {request.type_name for request in requests} == {"gpu"} or is_exhausted

    cluster_state = make_cluster_state()
    workers = [FakeWorker(cluster_state, f"i-{n}", "gpu") for n in range(3)]
    for worker in workers:
        worker.send_heartbeat(NOW)
    run = cluster_state.add_job(job(1, task_count=20, gpus=1.0), 1)
    place_and_start(cluster_state, NOW, *workers)
    assert len(run.placements) == 6  # the team's limit
    assert plan_scale_out(cluster_state, run_scheduling_pass(cluster_state, NOW), {}, 0, NOW)[0] == []


def add_booting_machine(
    cluster_state: ClusterState, name: str, since: datetime, machine_type: MachineType = CPU
) -> Machine:
    machine = Machine(name, machine_type, "a", False, added_at=since)
    machine.is_booting = machine.is_autoscaled = True
    machine.scaled_out_at = since
    cluster_state.machines[name] = machine
    return machine


def test_slow_boots_are_waited_for_instead_of_rented_again() -> None:
    """A machine that boots late gets a substitute, but not when most boot late: a substitute would be as late."""
    cluster_state = make_cluster_state()
    cluster_state.add_job(job(1, task_count=64, allows_spot=False, machine_types=["cpu"], zone="a"), 1)
    machines = [add_booting_machine(cluster_state, f"i-{n}", NOW) for n in range(4)]
    overdue = NOW + CPU.boot_duration * 2.5
    assert plan_scale_out(cluster_state, run_scheduling_pass(cluster_state, overdue), {}, 0, overdue)[0] == []
    # Of the machines that still boot, most are always late: boots that finished on time show that boots are not slow.
    cluster_state.boot_ratios["cpu"] = deque((NOW + CPU.boot_duration, 1.0) for _ in range(8))
    assert (
        sum(
            request.count
            for request in plan_scale_out(cluster_state, run_scheduling_pass(cluster_state, overdue), {}, 0, overdue)[0]
        )
        >= 3
    )

    # Some boots took five times the catalog's duration: the next machines are not released before that.
    slow_boot_end = NOW + CPU.boot_duration * 5
    cluster_state.boot_ratios.clear()
    for number in range(4, 7):
        add_booting_machine(cluster_state, f"i-{number}", NOW)
        FakeWorker(cluster_state, f"i-{number}").send_heartbeat(slow_boot_end)
    for machine in machines:
        machine.scaled_out_at = slow_boot_end
    before_timeout = slow_boot_end + CPU.boot_duration * 19
    assert [
        reason
        for m, reason in plan_scale_in(cluster_state, SchedulingPassResult(), slow_boot_end + CPU.boot_duration * 12)
        if m.is_booting
    ] == []
    cluster_state.boot_ratios["cpu"] = deque(
        (before_timeout, boot_ratio) for _, boot_ratio in cluster_state.boot_ratios["cpu"]
    )
    assert [
        reason for m, reason in plan_scale_in(cluster_state, SchedulingPassResult(), before_timeout) if m.is_booting
    ] == []
    assert [
        reason
        for m, reason in plan_scale_in(cluster_state, SchedulingPassResult(), before_timeout + CPU.boot_duration * 3)
        if m.is_booting
    ] == ["never came up"] * 4


def test_booting_machine_gets_time_for_a_heartbeat_after_failover() -> None:
    """Guards against a new leader releasing working machines at once because they were rented long ago (inc-1d61)."""
    cluster_state = make_cluster_state()
    machine = add_booting_machine(cluster_state, "i-1", NOW - seconds(900))
    machine.is_autoscaled, machine.added_at = False, NOW
    assert plan_scale_in(cluster_state, SchedulingPassResult(), NOW + seconds(3)) == []
    assert [reason for _, reason in plan_scale_in(cluster_state, SchedulingPassResult(), NOW + seconds(20))] == [
        "never came up"
    ]


def test_crash_looping_job_goes_last_and_preempts_nothing() -> None:
    cluster_state = make_cluster_state()
    workers = [FakeWorker(cluster_state, f"i-{n}", "gpu") for n in range(4)]
    for worker in workers:
        worker.send_heartbeat(NOW)
    crash_looping = cluster_state.add_job(job(1, task_count=4, gpus=1.0, job_type=GANG, team="t0"), 1)
    for worker in workers[:3]:
        crash_looping.failed_machines.add(worker.name)
    cluster_state.add_job(job(2, task_count=8, gpus=1.0, priority=3, team="t1"), 1)
    pass_result = schedule_with_live_machines(cluster_state, NOW)
    assert not any(run is crash_looping for run, _ in pass_result.unplaced)
    assert not any(m.reserved_for_job for m in cluster_state.machines.values())
    crash_looping.failed_machines.clear()
    assert any(run is crash_looping for run, _ in schedule_with_live_machines(cluster_state, NOW + seconds(5)).unplaced)


def test_job_explanation_says_what_a_job_waits_for() -> None:
    cluster_state = make_cluster_state()
    cluster_state.add_job(job(1, task_count=3), 1)
    explanation = explain_job(cluster_state, "j-000001", NOW)
    assert explanation is not None and explanation["tasks_waiting"] == 3
    assert explanation["waits_for"] == "a machine that fits; 0 are booting"
    worker = FakeWorker(cluster_state, "i-1", "gpu")
    worker.send_heartbeat(NOW)
    cluster_state.add_job(job(2, task_count=20, gpus=1.0), 2)
    worker.send_heartbeat(NOW)
    schedule_with_live_machines(cluster_state, NOW)
    waiting_reasons = [(explain_job(cluster_state, f"j-00000{n}", NOW) or {})["waits_for"] for n in (1, 2)]
    assert waiting_reasons == [None, "room on the machines that fit"]
    cluster_state.usage_by_team["t0"].gpus = 6.0
    assert (explain_job(cluster_state, "j-000002", NOW) or {})["waits_for"] == "its team's limit"
    assert explain_job(cluster_state, "j-000009", NOW) is None


def schedule_with_live_machines(cluster_state: ClusterState, now: datetime) -> SchedulingPassResult:
    for machine in cluster_state.machines.values():
        machine.has_acknowledged_term, machine.last_heartbeat_at = True, now
    return run_scheduling_pass(cluster_state, now)


def test_fetch_limit_after_failover_allows_one_window_and_the_burst() -> None:
    cluster_state = make_cluster_state()
    workers = [FakeWorker(cluster_state, f"i-{n}") for n in range(40)]
    for worker in workers:
        worker.send_heartbeat(NOW)
    operator_config = OperatorConfig(fetch_share=0.1, fetch_burst_gb=10.0)
    renew_fetch_limits(cluster_state.limits, [("a", CPU)] * 40, operator_config, NOW)
    runs = [
        cluster_state.add_job(job(n, task_count=2, cpus=4.0, image=f"img-{n}", image_gb=10.0), n) for n in range(40)
    ]
    run_scheduling_pass(cluster_state, NOW)
    fetches = {(p.machine.name, r.spec.image) for r in runs for p in r.placements.values()}
    window_gb = 40 * 0.1 * operator_config.fetch_window.total_seconds()
    assert 0 < len(fetches) * 10.0 <= window_gb + operator_config.fetch_burst_gb
    # A task whose image is cached on the machine is not delayed by the zone's empty token bucket.
    workers[39].machine.record_image_use("img-own", 1.0)
    cached_run = cluster_state.add_job(job(99, team="t1", image="img-own", image_gb=9.0), 99)
    run_scheduling_pass(cluster_state, NOW)
    assert len(cached_run.placements) == 1


def test_moved_machine_stays_in_old_segment_until_new_one_is_written() -> None:
    cluster_state = make_cluster_state()
    segments = SegmentTable(1024)
    run = cluster_state.add_job(job(1, task_count=4000, cpus=0.001, memory_gb=0.001), 1)
    machines = [cluster_state.restore_machine(f"i-{n}", CPU, "a", False, NOW) for n in range(3)]
    for n, machine in enumerate(machines):
        cluster_state.restore_placement(run, n, machine, 5, NOW)
        segments.update_machine(cluster_state, machine.name)
    old_segment = segments.segment_by_machine["i-1"]
    for index in range(100, 300):
        cluster_state.restore_placement(run, index, machines[1], 5, NOW)
    segments.update_machine(cluster_state, "i-1")
    new_segment = segments.segment_by_machine["i-1"]
    assert new_segment != old_segment
    segments.mark_written(old_segment, 2)
    assert "i-1" in segments.entries_by_segment[old_segment] and "i-1" not in segments.current_machines(old_segment)
    recovered = SegmentTable(1024)
    for number in segments.entries_by_segment:
        recovered.load_segment(number, segments.encode_segment(number), 1)
    assert recovered.superseded_segments == {"i-1": {max(old_segment, new_segment)}}
    recovered.mark_written(min(old_segment, new_segment), 2)
    assert (
        "i-1" not in recovered.entries_by_segment[max(old_segment, new_segment)]
        and max(old_segment, new_segment) in recovered.dirty_segments
    )
    segments.mark_written(new_segment, 3)
    assert "i-1" not in segments.entries_by_segment[old_segment] and old_segment in segments.dirty_segments


def test_newest_recorded_start_of_a_task_wins() -> None:
    """A stale segment lists a task's earlier placement, which is proven gone, before its later one is confirmed."""
    machines = {n: Machine(f"i-{n}", CPU, "a", False) for n in (1, 2, 3)}
    for read_order in ((1, 2, 3), (3, 2, 1), (2, 3, 1)):
        recovered = RecoveredStarts()
        for n in read_order:
            recovered.add("j-1", {{1: "5", 2: "5.1", 3: "4.7"}[n]: [0]}, machines[n], None)
        assert recovered.newest_starts["j-1", 0] == ((5, 1), machines[2], None)
        assert recovered.stale_machines == {"i-1", "i-3"}


def test_delta_holds_hundreds_of_starts_and_prunes_those_in_segments() -> None:
    cluster_state = make_cluster_state()
    run = cluster_state.add_job(job(1, task_count=3000, cpus=0.1, memory_gb=0.1), 1)
    delta = Delta()
    for n in range(40):
        machine = cluster_state.restore_machine(f"i-{n:06d}", CPU, "a", False, NOW)
        for index in range(n * 20, n * 20 + 20):
            delta.add_start(cluster_state.add_placement(run, index, machine, 7, NOW))
    for index in range(2000, 2200):
        run.delta_completions.add(index)
        delta.add_completion(run, index)
    assert delta.size_bytes * 0.5 < len(orjson.dumps(delta.encode())) <= delta.size_bytes < 8192
    for index in range(0, 700):
        run.placements[index].is_in_segment = True
    run.delta_completions.clear()
    delta.prune()
    assert delta.encode()["starts"]["j-000001"]["7"] == {
        f"i-{n:06d}": list(range(n * 20, n * 20 + 20)) for n in range(35, 40)
    }
    assert delta.encode()["done"] == {}


@pytest.mark.parametrize("checkpoint_interval_s", [0.0, 5.0])
def test_stop_command_is_repeated_until_cancelled_task_is_gone(checkpoint_interval_s: float) -> None:
    cluster_state = make_cluster_state()
    worker = FakeWorker(cluster_state, "i-1")
    worker.send_heartbeat(NOW)
    run = cluster_state.add_job(job(1, checkpoint_interval_s=checkpoint_interval_s, checkpoint_duration_s=1.0), 1)
    place_and_start(cluster_state, NOW, worker)
    cluster_state.end_job("j-000001", _completed_as_cancelled(run), NOW)
    for _ in range(3):
        commands = worker.send_heartbeat(NOW)
        assert [(command["verb"], command["wind_down_s"]) for command in commands] == [("halt", ZERO.total_seconds())]
    worker.end_task("j-000001/0", "halted")
    assert [command["verb"] for command in worker.send_heartbeat(NOW + timedelta(seconds=1))] == ["clear"]
    assert "j-000001" not in cluster_state.jobs


def test_service_with_healthy_replicas_is_not_blamed_for_faulty_machines() -> None:
    """If failures over its whole life added up, three faulty machines would move it behind all lower-priority jobs."""
    cluster_state = make_cluster_state()
    workers = [FakeWorker(cluster_state, f"i-{n}") for n in range(6)]
    for worker in workers:
        worker.send_heartbeat(NOW)
    service = cluster_state.add_job(job(1, job_type=SERVICE, task_count=12, cpus=4.0, priority=0), 1)
    place_and_start(cluster_state, NOW, *workers)
    running_at = NOW + seconds(30)
    for number, worker in enumerate(workers[:4]):
        at = running_at + seconds(number)
        for placement in worker.machine.placements.values():
            placement.running_since = at - seconds(1)
        fail_task(worker, service, at)
        assert worker.machine.is_marked_for_release, "a machine that fails a healthy service at once is released"
        assert not service.is_crash_looping and service.failure_count == 0
    assert "restart:j-000001" not in cluster_state.limits.by_tag


def test_service_that_fails_on_every_machine_is_crash_looping() -> None:
    cluster_state = make_cluster_state()
    workers = [FakeWorker(cluster_state, f"i-{n}") for n in range(4)]
    for worker in workers:
        worker.send_heartbeat(NOW)
    service = cluster_state.add_job(job(1, job_type=SERVICE, task_count=8, cpus=4.0, priority=0), 1)
    place_and_start(cluster_state, NOW, *workers)
    for worker in workers[:3]:
        fail_task(worker, service, NOW + seconds(2))
    assert service.is_crash_looping and not any(worker.machine.is_marked_for_release for worker in workers)
    # Replicas on the last machine keep running, which clears the crash loop.
    run_scheduling_pass(cluster_state, NOW + seconds(20))
    assert not service.is_crash_looping
