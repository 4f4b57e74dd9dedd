"""Decisions on a board, without a service around it."""

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


def place_and_start(cluster_state: ClusterState, now: datetime, *hands: FakeWorker) -> None:
    run_scheduling_pass(cluster_state, now)
    commit_placements(cluster_state)
    for hand in hands:
        hand.send_heartbeat(now)
        hand.send_heartbeat(now)


def test_no_run_before_the_record_and_none_without_a_lease() -> None:
    cluster_state = make_cluster_state()
    hand = FakeWorker(cluster_state, "i-1")
    hand.send_heartbeat(NOW)
    cluster_state.add_job(job(1), 1)
    run_scheduling_pass(cluster_state, NOW)
    assert hand.send_heartbeat(NOW) == []
    commit_placements(cluster_state)
    machine = HeartbeatReconciler(cluster_state).apply_heartbeat(hand.make_heartbeat(), NOW)
    assert machine is not None and cluster_state.collect_commands(machine, NOW, may_start_tasks=False) == []
    assert [o["verb"] for o in hand.send_heartbeat(NOW)] == ["run"]


def test_absence_needs_a_later_report_of_the_workers_own() -> None:
    cluster_state = make_cluster_state()
    hand = FakeWorker(cluster_state, "i-1")
    hand.send_heartbeat(NOW)
    run = cluster_state.add_job(job(1), 1)
    run_scheduling_pass(cluster_state, NOW)
    commit_placements(cluster_state)
    machine = HeartbeatReconciler(cluster_state).apply_heartbeat(hand.make_heartbeat(), NOW)
    assert machine is not None
    assert [o["verb"] for o in cluster_state.collect_commands(machine, NOW, may_start_tasks=True)] == ["run"]
    # The answer is still under way. A direct command's answer lists nothing, and proves nothing.
    HeartbeatReconciler(cluster_state).apply_command_response(hand.make_heartbeat(), NOW)
    assert run.placements[0].phase == PlacementPhase.SENT
    # A late report is older than what is known, and says nothing either.
    late = Heartbeat("i-1", "10.1.0.1:9", "cpu", "a", False, 1, 1, TERM, [])
    assert HeartbeatReconciler(cluster_state).apply_heartbeat(late, NOW) is None
    # The worker's next report proves the answer dropped: the recorded order may go out again.
    assert [o["verb"] for o in hand.send_heartbeat(NOW)] == ["run"]


def test_recorded_tasks_count_until_the_machine_shows_our_term() -> None:
    cluster_state = make_cluster_state()
    run = cluster_state.add_job(job(1, task_count=2, gpus=2.0), 1)
    machine = cluster_state.restore_machine("i-1", GPU, "a", False, NOW)
    cluster_state.restore_placement(run, 0, machine, 7, NOW)
    hand = FakeWorker(cluster_state, "i-1", "gpu")
    assert HeartbeatReconciler(cluster_state).apply_heartbeat(hand.make_heartbeat(TERM - 1), NOW) is None
    assert 0 in run.placements and cluster_state.usage_by_team["t0"].gpus == 2.0
    run_scheduling_pass(cluster_state, NOW)
    assert list(run.placements) == [0]
    hand.send_heartbeat(NOW, term=TERM)
    assert run.placements == {}
    # One that never reports is waited out: hold-over and a lease.
    other = cluster_state.restore_machine("i-2", GPU, "a", False, NOW)
    cluster_state.restore_placement(run, 1, other, 8, NOW)
    cluster_state.apply_timeouts(cluster_state.previous_leader_lease_expiry - seconds(0.1))
    assert 1 in run.placements
    cluster_state.apply_timeouts(cluster_state.previous_leader_lease_expiry + seconds(0.1))
    assert 1 not in run.placements


def test_completion_is_recorded_before_the_worker_may_forget_it() -> None:
    cluster_state = make_cluster_state()
    hand = FakeWorker(cluster_state, "i-1")
    hand.send_heartbeat(NOW)
    run = cluster_state.add_job(job(1, task_count=2), 1)
    place_and_start(cluster_state, NOW, hand)
    hand.end_task("j-000001/0", "done")
    assert hand.send_heartbeat(NOW) == [] and run.uncommitted_completions == {0}
    run.uncommitted_completions.clear()
    assert [o["verb"] for o in hand.send_heartbeat(NOW)] == ["clear"]


def test_room_made_for_a_gang_does_not_go_to_others_piece_by_piece() -> None:
    cluster_state = make_cluster_state()
    hand = FakeWorker(cluster_state, "i-1", "gpu")
    hand.send_heartbeat(NOW)
    low = cluster_state.add_job(
        job(1, task_count=6, gpus=1.0, priority=3, checkpoint_interval_s=5.0, checkpoint_duration_s=1.0), 1
    )
    place_and_start(cluster_state, NOW, hand)
    assert len(low.placements) == 2
    gang = cluster_state.add_job(job(2, team="t1", job_type=GANG, gpus=2.0, priority=1), 2)
    run_scheduling_pass(cluster_state, NOW)
    run_scheduling_pass(cluster_state, NOW + seconds(2))
    victims = [p for p in low.placements.values() if p.stop_requested_at is not None]
    assert len(victims) == 2
    hand.end_task(victims[0].task_name, "halted")
    hand.send_heartbeat(NOW + seconds(3))
    run_scheduling_pass(cluster_state, NOW + seconds(3))
    assert len(low.placements) == 1, "the first victim's place was filled again"
    hand.end_task(victims[1].task_name, "halted")
    hand.send_heartbeat(NOW + seconds(4))
    run_scheduling_pass(cluster_state, NOW + seconds(4))
    assert len(gang.placements) == 1


def test_promise_that_ran_out_does_not_keep_its_own_job_from_asking_again() -> None:
    cluster_state = make_cluster_state()
    hands = [FakeWorker(cluster_state, f"i-{n}", "gpu") for n in range(2)]
    for hand in hands:
        hand.send_heartbeat(NOW)
    low = cluster_state.add_job(job(1, task_count=2, gpus=2.0, priority=3), 1)
    place_and_start(cluster_state, NOW, *hands)
    cluster_state.add_job(job(2, team="t1", gpus=2.0, priority=1), 2)
    # Room was promised on a machine and never came; no other job waits that would look at the promise.
    hands[0].machine.reserved_for_job, hands[0].machine.reserved_until = "j-000002", NOW + seconds(15)
    for later, stopped in ((2, 0), (16, 1)):
        for hand in hands:
            hand.send_heartbeat(NOW + seconds(later))
        run_scheduling_pass(cluster_state, NOW + seconds(later))
        assert sum(p.stop_requested_at is not None for p in low.placements.values()) == stopped


def fail(hand: FakeWorker, run: JobRun, now: datetime) -> None:
    index = next(i for i, p in run.placements.items() if p.machine is hand.machine)
    hand.end_task(f"{run.spec.id}/{index}", "error")
    hand.send_heartbeat(now)


def test_faulty_machine_leaves_but_a_mistaken_job_condemns_none() -> None:
    cluster_state = make_cluster_state()
    hands = [FakeWorker(cluster_state, f"i-{n}") for n in range(4)]
    for hand in hands:
        hand.send_heartbeat(NOW)
    mistaken = cluster_state.add_job(job(1, task_count=8, cpus=4.0), 1)
    place_and_start(cluster_state, NOW, *hands)
    for hand in hands:
        fail(hand, mistaken, NOW)
    assert not any(h.machine.is_marked_for_release for h in hands)
    # All but the first failures spoke against the job; those machines are not even paused.
    assert [h.machine.unhealthy_until > NOW for h in hands] == [False] * 4
    cluster_state.end_job("j-000001", _cancelled(mistaken), NOW)

    cluster_state = make_cluster_state()
    hand = FakeWorker(cluster_state, "i-1")
    hand.send_heartbeat(NOW)
    runs = [cluster_state.add_job(job(n), n) for n in (1, 2)]
    place_and_start(cluster_state, NOW, hand)
    fail(hand, runs[0], NOW)
    assert hand.machine.unhealthy_until > NOW and not hand.machine.is_marked_for_release
    fail(hand, runs[1], NOW)
    assert hand.machine.is_marked_for_release


def _cancelled(run: JobRun) -> Any:
    from roseweir.submissions.jobs import completed_job

    return completed_job(run.spec, "cancelled")


def test_slow_machine_goes_back_after_two_arrays() -> None:
    cluster_state = make_cluster_state()
    hands = [FakeWorker(cluster_state, f"i-{n}") for n in range(5)]
    now = NOW
    for hand in hands:
        hand.send_heartbeat(now)
    for number in (1, 2):
        run = cluster_state.add_job(job(number, task_count=40), number)
        place_and_start(cluster_state, now, *hands)
        assert not hands[0].machine.is_marked_for_release
        for wait, group in ((10, hands[1:]), (20, hands[:1])):
            now += seconds(wait)
            for hand in group:
                for task in [p.task_name for p in hand.machine.placements.values()]:
                    hand.end_task(task, "done")
                hand.send_heartbeat(now)
        run.uncommitted_completions.clear()
        for hand in hands:
            hand.send_heartbeat(now)
    assert [hand.machine.is_marked_for_release for hand in hands] == [True, False, False, False, False]


def test_cpu_work_spills_onto_gpu_machines_only_while_nothing_else_can_be_had() -> None:
    cluster_state = make_cluster_state()
    hands = [FakeWorker(cluster_state, f"i-{n}", "gpu") for n in range(4)]
    for hand in hands:
        hand.send_heartbeat(NOW)
    cluster_state.add_job(job(1, gpus=2.0, cpus=8.0), 1)
    run_scheduling_pass(cluster_state, NOW)
    commit_placements(cluster_state)
    cpu = cluster_state.add_job(job(2, task_count=100), 2)
    run_scheduling_pass(cluster_state, NOW)
    assert len(cpu.placements) == 0
    cluster_state.overflow_until = NOW + seconds(30)
    run_scheduling_pass(cluster_state, NOW)
    # One machine is taken by GPU work, and two starts' worth are kept clear.
    assert len(cpu.placements) == 8


def test_silent_machine_goes_back_but_not_a_silent_zone() -> None:
    cluster_state = make_cluster_state()
    hands = [FakeWorker(cluster_state, f"i-{zone}{n}", zone=zone) for zone in "ab" for n in range(4)]
    for hand in hands:
        hand.send_heartbeat(NOW)
    cluster_state.add_job(job(1, task_count=64), 1)
    place_and_start(cluster_state, NOW, *hands)
    later = NOW + seconds(7.5)
    for hand in hands[1:]:
        hand.send_heartbeat(later)
    # The zone has only just been heard (again): the last one to turn up is not at fault yet.
    assert [m.name for m, why in plan_scale_in(cluster_state, SchedulingPassResult(), later) if why == "silent"] == []
    later += seconds(7.5)
    for hand in hands[1:]:
        hand.send_heartbeat(later)
    assert [m.name for m, why in plan_scale_in(cluster_state, SchedulingPassResult(), later) if why == "silent"] == [
        "i-a0"
    ]
    much_later = later + seconds(7.5)
    for hand in hands[4:]:
        hand.send_heartbeat(much_later)
    assert [
        m.name for m, why in plan_scale_in(cluster_state, SchedulingPassResult(), much_later) if why == "silent"
    ] == []


def test_rents_the_cheapest_that_fits_and_nothing_for_work_held_by_a_teams_limit() -> None:
    cluster_state = make_cluster_state()
    cluster_state.add_job(job(1, task_count=16, allows_spot=False), 1)
    wants, exhausted = plan_scale_out(cluster_state, run_scheduling_pass(cluster_state, NOW), {}, 0, NOW)
    assert {w.type_name for w in wants} == {"cpu"} and not any(w.is_spot for w in wants) and not exhausted
    refused = {MachineOffer("cpu", zone, spot): NOW + seconds(9) for zone in "ab" for spot in (True, False)}
    wants, exhausted = plan_scale_out(cluster_state, run_scheduling_pass(cluster_state, NOW), refused, 0, NOW)
    assert {w.type_name for w in wants} == {"gpu"} or exhausted

    cluster_state = make_cluster_state()
    hands = [FakeWorker(cluster_state, f"i-{n}", "gpu") for n in range(3)]
    for hand in hands:
        hand.send_heartbeat(NOW)
    run = cluster_state.add_job(job(1, task_count=20, gpus=1.0), 1)
    place_and_start(cluster_state, NOW, *hands)
    assert len(run.placements) == 6  # the team's limit
    assert plan_scale_out(cluster_state, run_scheduling_pass(cluster_state, NOW), {}, 0, NOW)[0] == []


def booting(cluster_state: ClusterState, name: str, since: datetime, kind: MachineType = CPU) -> Machine:
    machine = Machine(name, kind, "a", False, known_since=since)
    machine.is_booting = machine.is_autoscaled = True
    machine.scaled_out_at = since
    cluster_state.machines[name] = machine
    return machine


def test_slow_boots_are_waited_for_instead_of_being_ordered_again() -> None:
    """A late machine gets a substitute. When late ones outnumber those on time, others would be as late."""
    cluster_state = make_cluster_state()
    cluster_state.add_job(job(1, task_count=64, allows_spot=False, machine_types=["cpu"], zone="a"), 1)
    machines = [booting(cluster_state, f"i-{n}", NOW) for n in range(4)]
    late = NOW + CPU.boot_duration * 2.5
    assert plan_scale_out(cluster_state, run_scheduling_pass(cluster_state, late), {}, 0, late)[0] == []
    # Those still booting are mostly late on any day: what came up on time speaks against slow boots.
    cluster_state.boot_ratios["cpu"] = deque((NOW + CPU.boot_duration, 1.0) for _ in range(8))
    assert (
        sum(w.count for w in plan_scale_out(cluster_state, run_scheduling_pass(cluster_state, late), {}, 0, late)[0])
        >= 3
    )

    # Some came up after five times the catalog's figure: the next ones are not given back before that.
    slow = NOW + CPU.boot_duration * 5
    cluster_state.boot_ratios.clear()
    for number in range(4, 7):
        booting(cluster_state, f"i-{number}", NOW)
        FakeWorker(cluster_state, f"i-{number}").send_heartbeat(slow)
    for machine in machines:
        machine.scaled_out_at = slow
    almost = slow + CPU.boot_duration * 19
    assert [
        why
        for m, why in plan_scale_in(cluster_state, SchedulingPassResult(), slow + CPU.boot_duration * 12)
        if m.is_booting
    ] == []
    cluster_state.boot_ratios["cpu"] = deque((almost, taken) for _, taken in cluster_state.boot_ratios["cpu"])
    assert [why for m, why in plan_scale_in(cluster_state, SchedulingPassResult(), almost) if m.is_booting] == []
    assert [
        why
        for m, why in plan_scale_in(cluster_state, SchedulingPassResult(), almost + CPU.boot_duration * 3)
        if m.is_booting
    ] == ["never came up"] * 4


def test_machine_found_booting_in_the_list_may_be_up_and_is_heard_first() -> None:
    """After a take-over machines at work went back at once: they had been ordered long ago (inc-1d61)."""
    cluster_state = make_cluster_state()
    found = booting(cluster_state, "i-1", NOW - seconds(900))
    found.is_autoscaled, found.known_since = False, NOW
    assert plan_scale_in(cluster_state, SchedulingPassResult(), NOW + seconds(3)) == []
    assert [why for _, why in plan_scale_in(cluster_state, SchedulingPassResult(), NOW + seconds(20))] == [
        "never came up"
    ]


def test_for_a_mistaken_job_no_room_is_made_and_it_goes_last() -> None:
    cluster_state = make_cluster_state()
    hands = [FakeWorker(cluster_state, f"i-{n}", "gpu") for n in range(4)]
    for hand in hands:
        hand.send_heartbeat(NOW)
    mistaken = cluster_state.add_job(job(1, task_count=4, gpus=1.0, job_type=GANG, team="t0"), 1)
    for hand in hands[:3]:
        mistaken.failed_machines.add(hand.name)
    cluster_state.add_job(job(2, task_count=8, gpus=1.0, priority=3, team="t1"), 1)
    left = start_pass(cluster_state, NOW)
    assert not any(run is mistaken for run, _ in left.unplaced)
    assert not any(m.reserved_for_job for m in cluster_state.machines.values())
    mistaken.failed_machines.clear()
    assert any(run is mistaken for run, _ in start_pass(cluster_state, NOW + seconds(5)).unplaced)


def test_operators_are_told_what_a_job_waits_for() -> None:
    cluster_state = make_cluster_state()
    cluster_state.add_job(job(1, task_count=3), 1)
    told = explain_job(cluster_state, "j-000001", NOW)
    assert told is not None and told["tasks_waiting"] == 3
    assert told["waits_for"] == "a machine that fits; 0 are booting"
    hand = FakeWorker(cluster_state, "i-1", "gpu")
    hand.send_heartbeat(NOW)
    cluster_state.add_job(job(2, task_count=20, gpus=1.0), 2)
    hand.send_heartbeat(NOW)
    start_pass(cluster_state, NOW)
    waits = [(explain_job(cluster_state, f"j-00000{n}", NOW) or {})["waits_for"] for n in (1, 2)]
    assert waits == [None, "room on the machines that fit"]
    cluster_state.usage_by_team["t0"].gpus = 6.0
    assert (explain_job(cluster_state, "j-000002", NOW) or {})["waits_for"] == "its team's limit"
    assert explain_job(cluster_state, "j-000009", NOW) is None


def start_pass(cluster_state: ClusterState, now: datetime) -> SchedulingPassResult:
    for machine in cluster_state.machines.values():
        machine.has_acknowledged_term, machine.last_heartbeat_at = True, now
    return run_scheduling_pass(cluster_state, now)


def test_limits_after_a_take_over_release_at_most_a_window_and_the_burst() -> None:
    cluster_state = make_cluster_state()
    hands = [FakeWorker(cluster_state, f"i-{n}") for n in range(40)]
    for hand in hands:
        hand.send_heartbeat(NOW)
    tuning = OperatorConfig(fetch_share=0.1, fetch_burst_gb=10.0)
    renew_fetch_limits(cluster_state.limits, [("a", CPU)] * 40, tuning, NOW)
    runs = [
        cluster_state.add_job(job(n, task_count=2, cpus=4.0, image=f"img-{n}", image_gb=10.0), n) for n in range(40)
    ]
    run_scheduling_pass(cluster_state, NOW)
    fetched = {(p.machine.name, r.spec.image) for r in runs for p in r.placements.values()}
    window = 40 * 0.1 * tuning.fetch_window.total_seconds()
    assert 0 < len(fetched) * 10.0 <= window + tuning.fetch_burst_gb
    # Tasks whose image is at hand are not held up by a zone's empty bucket.
    hands[39].machine.record_image_use("img-own", 1.0)
    own = cluster_state.add_job(job(99, team="t1", image="img-own", image_gb=9.0), 99)
    run_scheduling_pass(cluster_state, NOW)
    assert len(own.placements) == 1


def test_machine_that_moves_stays_on_its_old_page_until_the_new_one_is_written() -> None:
    cluster_state = make_cluster_state()
    pages = SegmentTable(1024)
    run = cluster_state.add_job(job(1, task_count=4000, cpus=0.001, memory_gb=0.001), 1)
    machines = [cluster_state.restore_machine(f"i-{n}", CPU, "a", False, NOW) for n in range(3)]
    for n, machine in enumerate(machines):
        cluster_state.restore_placement(run, n, machine, 5, NOW)
        pages.update_machine(cluster_state, machine.name)
    first = pages.segment_by_machine["i-1"]
    for index in range(100, 300):
        cluster_state.restore_placement(run, index, machines[1], 5, NOW)
    pages.update_machine(cluster_state, "i-1")
    moved = pages.segment_by_machine["i-1"]
    assert moved != first
    pages.mark_written(first, 2)
    assert "i-1" in pages.entries_by_segment[first] and "i-1" not in pages.current_machines(first)
    reader = SegmentTable(1024)
    for number in pages.entries_by_segment:
        reader.load_segment(number, pages.encode_segment(number), 1)
    assert reader.superseded_segments == {"i-1": {max(first, moved)}}
    reader.mark_written(min(first, moved), 2)
    assert "i-1" not in reader.entries_by_segment[max(first, moved)] and max(first, moved) in reader.dirty_segments
    pages.mark_written(moved, 3)
    assert "i-1" not in pages.entries_by_segment[first] and first in pages.dirty_segments


def test_of_two_records_of_a_task_only_the_newer_start_counts() -> None:
    """A page told of a task's earlier place, which was proven gone; the later one had not been heard yet."""
    machines = {n: Machine(f"i-{n}", CPU, "a", False) for n in (1, 2, 3)}
    for order in ((1, 2, 3), (3, 2, 1), (2, 3, 1)):
        found = RecoveredStarts()
        for n in order:
            found.add("j-1", {{1: "5", 2: "5.1", 3: "4.7"}[n]: [0]}, machines[n], None)
        assert found.newest_starts["j-1", 0] == ((5, 1), machines[2], None)
        assert found.stale_machines == {"i-1", "i-3"}


def test_note_holds_hundreds_of_starts_and_lets_go_of_what_pages_hold() -> None:
    cluster_state = make_cluster_state()
    run = cluster_state.add_job(job(1, task_count=3000, cpus=0.1, memory_gb=0.1), 1)
    note = Delta()
    for n in range(40):
        machine = cluster_state.restore_machine(f"i-{n:06d}", CPU, "a", False, NOW)
        for index in range(n * 20, n * 20 + 20):
            note.add_start(cluster_state.add_placement(run, index, machine, 7, NOW))
    for index in range(2000, 2200):
        run.delta_completions.add(index)
        note.add_completion(run, index)
    assert note.size_bytes * 0.5 < len(orjson.dumps(note.encode())) <= note.size_bytes < 8192
    for index in range(0, 700):
        run.placements[index].is_in_segment = True
    run.delta_completions.clear()
    note.prune()
    assert note.encode()["starts"]["j-000001"]["7"] == {
        f"i-{n:06d}": list(range(n * 20, n * 20 + 20)) for n in range(35, 40)
    }
    assert note.encode()["done"] == {}


@pytest.mark.parametrize("grace", [0.0, 5.0])
def test_cancelled_task_is_halted_until_it_is_gone(grace: float) -> None:
    cluster_state = make_cluster_state()
    hand = FakeWorker(cluster_state, "i-1")
    hand.send_heartbeat(NOW)
    run = cluster_state.add_job(job(1, checkpoint_interval_s=grace, checkpoint_duration_s=1.0), 1)
    place_and_start(cluster_state, NOW, hand)
    cluster_state.end_job("j-000001", _cancelled(run), NOW)
    for _ in range(3):
        orders = hand.send_heartbeat(NOW)
        assert [(o["verb"], o["wind_down_s"]) for o in orders] == [("halt", ZERO.total_seconds())]
    hand.end_task("j-000001/0", "halted")
    assert [o["verb"] for o in hand.send_heartbeat(NOW + timedelta(seconds=1))] == ["clear"]
    assert "j-000001" not in cluster_state.jobs


def test_service_that_runs_well_is_not_at_fault_for_the_machines_that_fail_it() -> None:
    """Its failures summed up over its life: after three faulty machines it went behind all lower work."""
    cluster_state = make_cluster_state()
    hands = [FakeWorker(cluster_state, f"i-{n}") for n in range(6)]
    for hand in hands:
        hand.send_heartbeat(NOW)
    service = cluster_state.add_job(job(1, job_type=SERVICE, task_count=12, cpus=4.0, priority=0), 1)
    place_and_start(cluster_state, NOW, *hands)
    later = NOW + seconds(30)
    for number, hand in enumerate(hands[:4]):
        at = later + seconds(number)
        for placement in hand.machine.placements.values():
            placement.running_since = at - seconds(1)
        fail(hand, service, at)
        assert hand.machine.is_marked_for_release, "it failed a sound service at once"
        assert not service.is_crash_looping and service.failure_count == 0
    assert "restart:j-000001" not in cluster_state.limits.by_tag


def test_service_that_fails_wherever_it_starts_is_mistaken() -> None:
    cluster_state = make_cluster_state()
    hands = [FakeWorker(cluster_state, f"i-{n}") for n in range(4)]
    for hand in hands:
        hand.send_heartbeat(NOW)
    service = cluster_state.add_job(job(1, job_type=SERVICE, task_count=8, cpus=4.0, priority=0), 1)
    place_and_start(cluster_state, NOW, *hands)
    for hand in hands[:3]:
        fail(hand, service, NOW + seconds(2))
    assert service.is_crash_looping and not any(h.machine.is_marked_for_release for h in hands)
    # The last one's replicas go on, and speak for it.
    run_scheduling_pass(cluster_state, NOW + seconds(20))
    assert not service.is_crash_looping
