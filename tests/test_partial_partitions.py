"""One-way partitions, replayed heartbeats, an isolated controller, machines that restart at once, and elections."""

import asyncio
from collections.abc import Callable

import pytest

from roseweir.clock import seconds
from roseweir.cloud.capacity import available_machines
from roseweir.cloud.liveness import MIN_FAILED_PROBES, PROBE_TIMEOUT, machines_to_probe, record_probe_result
from roseweir.cloud.scale_in import plan_scale_in
from roseweir.http import Reply
from roseweir.scheduler import heartbeat_reconciliation, one_way_partition
from roseweir.scheduler.heartbeat_reconciliation import HeartbeatReconciler
from roseweir.scheduler.lease_renewal import decide_lease_renewal, stop_commands_for
from roseweir.scheduler.model import PlacementPhase
from roseweir.scheduler.one_way_partition import WORKER_ANSWER_TIMEOUT, record_answer
from roseweir.scheduler.scheduling_pass import SchedulingPassResult, run_scheduling_pass
from roseweir.workers import messages as wire
from tests.simulation.cluster import (
    EXTENDED_FAULTS,
    PARTIAL_PARTITION_FAULTS,
    SimulatedCluster,
    SimulatedTask,
    raise_first_failure,
    virtual_now,
)
from tests.simulation.job_specs import make_job_spec as job
from tests.test_scheduler import CPU, NOW, TERM, FakeWorker, make_cluster_state, place_and_start

ALL_FAULTS = [*EXTENDED_FAULTS, *PARTIAL_PARTITION_FAULTS, *PARTIAL_PARTITION_FAULTS]


CONTROLLER_COUNT_BY_SEED = {9320: 2, 9321: 5, 9322: 5, 9323: 7}


@pytest.mark.parametrize("seed", [*range(9300, 9316), *CONTROLLER_COUNT_BY_SEED])
def test_random_days_with_partial_partitions_break_no_rule(seed: int) -> None:
    faults = PARTIAL_PARTITION_FAULTS if seed % 4 == 0 else ALL_FAULTS
    cluster = SimulatedCluster(
        seed,
        faults=faults,
        restart_delay_range_s=(0.05, 2.0),
        max_clock_skew_s=0.5,
        controller_count=CONTROLLER_COUNT_BY_SEED.get(seed, 3),
    )
    raise_first_failure(cluster.run())
    assert cluster.start_count > 20


# -- a machine that receives nothing ------------------------------------------------------------


def test_unreachable_machine_is_replaced_and_keeps_tasks_until_reregistered() -> None:
    cluster_state = make_cluster_state()
    worker, other_worker = FakeWorker(cluster_state, "i-1"), FakeWorker(cluster_state, "i-2")
    worker.send_heartbeat(NOW)
    job_run = cluster_state.add_job(job(1, cpus=8.0), 1)
    place_and_start(cluster_state, NOW, worker)
    waiting_run = cluster_state.add_job(job(2, cpus=8.0), 2)
    machine, now = worker.machine, NOW
    record_answer(machine, worker.sequence_number, now)
    # It sent heartbeats to other controllers although it was answered here: its answers seem to be lost.
    worker.sequence_number += 2
    now += WORKER_ANSWER_TIMEOUT + seconds(2)
    HeartbeatReconciler(cluster_state).apply_heartbeat(worker.make_heartbeat(), now)
    assert machine.is_suspected and cluster_state.collect_commands(machine, now, True) == []
    for _ in range(MIN_FAILED_PROBES):
        assert machines_to_probe(cluster_state, now) == [machine]
        machine.last_probe_at = now
        record_probe_result(cluster_state, machine, now, False, now + PROBE_TIMEOUT)
        now += seconds(1)
    assert machine.is_unreachable and machine not in list(available_machines(cluster_state, now)), (
        "a replacement machine is rented"
    )
    other_worker.send_heartbeat(now)
    other_worker.send_heartbeat(now)
    run_scheduling_pass(cluster_state, now)
    assert waiting_run.placements[0].machine.name == "i-2"
    cluster_state.apply_timeouts(now)
    assert 0 in job_run.placements, "the task may run until the lease expires"
    # The next incarnation is the earliest proof that the task no longer runs.
    task_machine = job_run.placements[0].machine
    assert (
        HeartbeatReconciler(cluster_state).apply_heartbeat(worker.make_heartbeat(incarnation=2), now) is task_machine
        and not job_run.placements
    )
    assert ("deaf" in [reason for _, reason in plan_scale_in(cluster_state, SchedulingPassResult(), now)]) is False
    assert (machine, "deaf") in plan_scale_in(
        cluster_state,
        SchedulingPassResult(),
        machine.unreachable_since + cluster_state.max_lease_duration + seconds(0.1),
    )
    # An answered probe proves that the machine is reachable.
    heartbeat = worker.make_heartbeat(incarnation=2)
    HeartbeatReconciler(cluster_state).apply_probe_response(heartbeat, (machine.incarnation, machine.sequence), now)
    assert not machine.is_unreachable and not machine.is_suspected


class OneWayPartitionCluster(SimulatedCluster):
    """One machine receives nothing for `partition_s`. All jobs are arrays that a few machines finish in seconds."""

    def __init__(self, seed: int, partition_s: float, controller_count: int = 3) -> None:
        super().__init__(seed, without_random_faults=True, controller_count=controller_count)
        self.partition_s = partition_s
        self.submitted_at: dict[str, float] = {}
        self.task_counts: list[int] = []  # the number of tasks on the machine when its partition began
        self.schedule_action(OneWayPartitionCluster.partition_busiest_worker)

    def make_job(self) -> dict[str, object]:
        job = super().make_job()
        self.submitted_at[job["name_id"]] = virtual_now()
        limits = {
            "shape": "sweep",
            "parcels": min(job["parcels"], 4),
            "accelerators": min(job["accelerators"], 1.0),
            "guess_s": min(job["guess_s"], 4.0),
        }
        return job | limits

    async def partition_busiest_worker(self: SimulatedCluster) -> None:
        assert isinstance(self, OneWayPartitionCluster)
        await asyncio.sleep(25)
        while not any(worker.tasks for worker in self.workers.values()):
            await asyncio.sleep(0.1)
        busy = max(self.workers.values(), key=lambda w: len(w.tasks))
        self.task_counts.append(len(busy.tasks))
        busy.set_one_way_partition("deaf")
        await asyncio.sleep(self.partition_s)
        busy.set_one_way_partition("")


@pytest.mark.parametrize("partition_s", [12.0, 40.0])
@pytest.mark.parametrize(
    ("seed", "controller_count"), [*((seed, 3) for seed in range(7310, 7316)), (7316, 1), (7317, 1)]
)
def test_unreachable_machine_delays_no_job_beyond_its_lease(
    seed: int, controller_count: int, partition_s: float
) -> None:
    cluster = OneWayPartitionCluster(seed, partition_s, controller_count)
    raise_first_failure(cluster.run(length_s=100, job_count=30))
    checked_jobs = {job for job in cluster.accepted_jobs if cluster.submitted_at[job] < 70}
    assert cluster.task_counts and len(checked_jobs) >= 15
    assert checked_jobs - set(cluster.observed_ends) == set()


def test_leader_whose_answers_are_lost_resigns_before_leases_expire() -> None:
    cluster = SimulatedCluster(7311, without_random_faults=True)
    leaders: list[str] = []

    async def lose_answers(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(25)
        node = cluster.current_leader()
        node.network_faults["workers"] = "answers"
        leaders.append(node.name)
        await asyncio.sleep(12)
        leaders.append(cluster.current_leader().name)
        node.network_faults.clear()

    cluster.schedule_action(lose_answers)
    raise_first_failure(cluster.run(length_s=60, job_count=20))
    assert leaders[0] != leaders[1]


# -- replayed heartbeats ------------------------------------------------------------------------


def test_replayed_first_heartbeat_changes_nothing() -> None:
    """A replayed heartbeat must not replace the recorded attempt by its older one, which would stop the real task."""
    cluster_state = make_cluster_state()
    job_run = cluster_state.add_job(job(1, task_count=2, cpus=2.0), 1)
    machine = cluster_state.restore_machine("i-1", CPU, "a", False, NOW)
    cluster_state.restore_placement(job_run, 0, machine, 9, NOW)
    cluster_state.restore_placement(job_run, 1, machine, 9, NOW)
    replayed = wire.Heartbeat(
        "i-1", "10.1.0.1:9", "cpu", "a", False, 1, 40, TERM - 1, [
            wire.TaskStatus("j-000001/0", 3, "running"),
            wire.TaskStatus("j-000001/1", 9, "exited", "halted"),
        ],
    )  # fmt: skip
    current = wire.Heartbeat(
        "i-1", "10.1.0.1:9", "cpu", "a", False, 1, 90, TERM, [
            wire.TaskStatus("j-000001/0", 9, "running"),
            wire.TaskStatus("j-000001/1", 9, "running"),
        ],
    )  # fmt: skip
    for _ in range(1000):
        assert (
            HeartbeatReconciler(cluster_state).apply_heartbeat(replayed, NOW + seconds(1)) is None
            and stop_commands_for(cluster_state, replayed) == []
        )
    assert (
        machine.last_heartbeat_at < NOW
        and not machine.has_acknowledged_term
        and {p.attempt for p in job_run.placements.values()} == {9}
    )
    assert all(p.phase == PlacementPhase.RECOVERED for p in job_run.placements.values())
    assert HeartbeatReconciler(cluster_state).apply_heartbeat(current, NOW + seconds(2)) is machine
    assert cluster_state.collect_commands(machine, NOW + seconds(2), True) == [] and len(job_run.placements) == 2
    # A replayed heartbeat of the current term is older than the last one.
    last_heartbeat_at = machine.last_heartbeat_at
    assert (
        HeartbeatReconciler(cluster_state).apply_heartbeat(current, NOW + seconds(9)) is None
        and machine.last_heartbeat_at == last_heartbeat_at
    )


def test_replayed_heartbeats_keep_no_tasks_and_no_released_machine() -> None:
    cluster_state = make_cluster_state()
    job_run = cluster_state.add_job(job(1, cpus=8.0), 1)
    machine = cluster_state.restore_machine("i-1", CPU, "a", False, NOW)
    cluster_state.restore_placement(job_run, 0, machine, 9, NOW)
    worker, now = FakeWorker(cluster_state, "i-1"), NOW
    while now < NOW + seconds(120) and job_run.placements:
        now += seconds(0.5)
        heartbeat = worker.make_heartbeat(TERM - 1)
        assert HeartbeatReconciler(cluster_state).apply_heartbeat(heartbeat, now) is None
        decide_lease_renewal(cluster_state, heartbeat, now)
        cluster_state.apply_timeouts(now)
    assert (
        not job_run.placements
        and now - NOW <= cluster_state.max_lease_duration * 2 + cluster_state.stale_cancellation_window
    ), "replayed heartbeats keep a task for one lease at most"
    cluster_state.remove_machine("i-1", now, "released")
    assert (
        HeartbeatReconciler(cluster_state).apply_heartbeat(worker.make_heartbeat(), now + seconds(600)) is None
        and "i-1" not in cluster_state.machines
    )
    unknown_worker = FakeWorker(cluster_state, "i-9")
    assert (
        HeartbeatReconciler(cluster_state).apply_heartbeat(unknown_worker.make_heartbeat(TERM - 1), now) is None
        and "i-9" not in cluster_state.machines
    )


# -- an isolated controller ---------------------------------------------------------------------


@pytest.mark.parametrize("fault", ["refused", "silent"])
@pytest.mark.parametrize("controller_count", [3, 5])
def test_leader_without_store_and_peers_resigns_and_is_unhealthy(fault: str, controller_count: int) -> None:
    """If the isolated leader answered its workers for the whole hold-over, no task could start in that time."""
    cluster = SimulatedCluster(7320, without_random_faults=True, controller_count=controller_count)
    observed: dict[str, object] = {}

    async def isolate_leader(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(30)
        node = cluster.current_leader()
        for link in ("state", "peers"):
            node.network_faults[link] = fault
        isolated_at = virtual_now()
        service = node.service
        assert service is not None
        while service.leader_term is not None:
            await asyncio.sleep(0.05)
        observed["stopped_after_s"] = virtual_now() - isolated_at
        observed["is_isolated"] = service.membership.is_isolated_from_store
        await asyncio.sleep(4)
        observed["leader_changed"] = cluster.current_leader().name != node.name
        observed["incarnations"] = [w.incarnation for w in cluster.workers.values()]
        node.network_faults.clear()
        await asyncio.sleep(6)
        observed["recovered"] = (
            not service.membership.is_isolated_from_store and service.leader_election.leader is not None
        )

    cluster.schedule_action(isolate_leader)
    raise_first_failure(cluster.run(length_s=80, job_count=20))
    # The leader lease, one heartbeat interval in which idle workers are redirected, and their search for a leader.
    assert isinstance(observed["stopped_after_s"], float) and observed["stopped_after_s"] < 8.0 + controller_count, (
        observed
    )
    assert observed["is_isolated"] and observed["leader_changed"] and observed["recovered"], observed
    assert set(observed["incarnations"]) == {1}, "a worker's lease expired"  # type: ignore[call-overload]


def test_leader_keeps_workers_in_outage_with_unreachable_peers() -> None:
    cluster = SimulatedCluster(7321, without_random_faults=True)
    incarnations: list[int] = []
    has_searched_and_returned: list[bool] = []

    async def fail_store_and_peers(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(30)
        cluster.kv_store.is_down = True
        for node in cluster.controllers:
            node.network_faults["peers"] = "refused"
        await asyncio.sleep(6)
        leader_term = cluster.current_leader().service.leader_term  # type: ignore[union-attr]
        has_searched_and_returned.append(
            leader_term is not None
            and bool(leader_term.heartbeat_handler.leader_search.redirected_at_by_worker)
            and leader_term.heartbeat_handler.leader_search.has_worker_returned
        )
        cluster.kv_store.end_outage()
        for node in cluster.controllers:
            node.network_faults.clear()
        await asyncio.sleep(5)
        incarnations.extend(worker.incarnation for worker in cluster.workers.values())

    cluster.schedule_action(fail_store_and_peers)
    raise_first_failure(cluster.run(length_s=70, job_count=20))
    assert has_searched_and_returned == [True] and set(incarnations) == {1}, (
        "redirected workers return, and all keep their leases"
    )
    assert cluster.kv_store.keys["lead/term"][0] == 1


# -- machines that restart at once --------------------------------------------------------------


def test_machine_restarted_at_once_has_no_tasks_and_runs_new_ones() -> None:
    cluster = SimulatedCluster(7330, without_random_faults=True)
    restarted_machines: list[str] = []

    async def restart_busy_machines(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(20)
        for _ in range(12):
            for worker in list(cluster.workers.values()):
                if worker.tasks and not worker.is_dead:
                    worker.restart_in_place()
                    restarted_machines.append(worker.machine.name)
                    break
            await asyncio.sleep(1.5)
        await cluster.restart_controller(cluster.current_leader())

    cluster.schedule_action(restart_busy_machines)
    raise_first_failure(cluster.run(length_s=110, job_count=25))
    assert len(restarted_machines) > 6
    unfinished = [
        job for job in cluster.accepted_jobs - set(cluster.observed_ends) if cluster.jobs[job]["shape"] == "sweep"
    ]
    assert unfinished == []


# -- in the middle of an election ---------------------------------------------------------------

STEPS = {
    "lease requested": ("/holds", False, "POST"),
    "lease granted, answer lost": ("/holds", True, "POST"),
    "leader key requested": ("/txn", False, "lead/leader"),
    "leader key written, answer lost": ("/txn", True, "lead/leader"),
    "renewal": ("/extend", True, "POST"),
}


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("restart_delay_s", [0.05, 0.6])
def test_candidate_that_restarts_at_election_step_is_soon_replaced(step: str, restart_delay_s: float) -> None:
    """The simulated cluster checks at every event that no term is used twice."""
    cluster = SimulatedCluster(
        7340, without_random_faults=True, restart_delay_range_s=(restart_delay_s, restart_delay_s)
    )
    step_path, is_applied, step_text = STEPS[step]
    restarted: list[str] = []
    gaps_s: list[float] = []

    async def restart_at_step(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(15)
        original_handle = cluster.kv_store.handle

        async def handle(controller_name: str, method: str, path: str, body: object) -> Reply:
            is_step = step_path in path and (step_text in (method, "") or step_text in str(body))
            if not is_step or len(restarted) >= 6:
                return await original_handle(controller_name, method, path, body)
            restarted.append(controller_name)
            answer = await original_handle(controller_name, method, path, body) if is_applied else None
            cluster.spawn(cluster.restart_controller(cluster.controllers[int(controller_name[1:])]))
            await asyncio.sleep(0)
            return answer or await original_handle(controller_name, method, path, body)

        cluster.kv_store.handle = handle  # type: ignore[method-assign]
        await cluster.restart_controller(cluster.current_leader())
        while len(restarted) < 6 and virtual_now() < 50:
            await asyncio.sleep(0.05)
        last_restart_at = virtual_now()
        while not any(
            controller.service and controller.service.leader_term and controller.service.leader_term.is_ready
            for controller in cluster.controllers
        ):
            await asyncio.sleep(0.02)
        gaps_s.append(virtual_now() - last_restart_at)

    cluster.schedule_action(restart_at_step)
    raise_first_failure(cluster.run(length_s=75, job_count=10))
    assert restarted and gaps_s and gaps_s[0] < 4.0, (restarted, gaps_s)


def test_leader_is_elected_soon_after_two_candidates_restart_in_turn() -> None:
    cluster = SimulatedCluster(7350, without_random_faults=True, restart_delay_range_s=(0.1, 0.3), controller_count=2)
    gaps_s: list[float] = []

    async def restart_in_turn(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(15)
        for number in range(24):
            cluster.spawn(cluster.restart_controller(cluster.controllers[number % 2]))
            await asyncio.sleep(0.25)
        last_restart_at = virtual_now()
        while not any(
            controller.service and controller.service.leader_term and controller.service.leader_term.is_ready
            for controller in cluster.controllers
        ):
            await asyncio.sleep(0.02)
        gaps_s.append(virtual_now() - last_restart_at)

    cluster.schedule_action(restart_in_turn)
    raise_first_failure(cluster.run(length_s=60, job_count=10))
    assert gaps_s[0] < 4.0


# -- broken variants ----------------------------------------------------------------------------

Variant = Callable[[pytest.MonkeyPatch], None]


def never_suspect_machines(patch: pytest.MonkeyPatch) -> None:
    """Every machine whose heartbeats arrive is taken for reachable."""
    patch.setattr(one_way_partition, "mark_suspected", lambda machine, now: None)


def accept_heartbeats_of_any_term(patch: pytest.MonkeyPatch) -> None:
    """The first heartbeat of a machine is applied, whatever term it carries."""
    apply_heartbeat = HeartbeatReconciler.apply_heartbeat

    def apply_any_term(self: HeartbeatReconciler, heartbeat: wire.Heartbeat, now: object) -> object:
        machine = self.cluster_state.machines.get(heartbeat.machine_name)
        if machine is None or not machine.has_acknowledged_term:
            heartbeat.fencing_token = self.cluster_state.term
        return apply_heartbeat(self, heartbeat, now)  # type: ignore[arg-type]

    patch.setattr(HeartbeatReconciler, "apply_heartbeat", apply_any_term)
    patch.setattr(
        heartbeat_reconciliation.HeartbeatReconciler,
        "_apply_unacknowledged_heartbeat",
        lambda self, machine, heartbeat, now: None,
    )


def test_sending_tasks_to_unreachable_machine_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    """A single controller gets all heartbeats of the machine, so only the suspicion keeps it from being sent tasks."""
    never_suspect_machines(monkeypatch)
    for seed in range(7310, 7318):
        if any(
            "sent_in_vain" in str(error)
            for error in OneWayPartitionCluster(seed, 12.0, controller_count=1).run(job_count=30).rule_violations
        ):
            return
    pytest.fail("no seed caught it")


class ReplayedHeartbeatsCluster(SimulatedCluster):
    """Leaders restart in turn while every heartbeat is replayed; there is no reason to stop any task."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, without_random_faults=True, restart_delay_range_s=(0.2, 1.0))
        self.stopped: list[str] = []
        self.heartbeat_duplication_count = 1

    def make_job(self) -> dict[str, object]:
        job = super().make_job()
        overrides = {"accelerators": 0.0, "shape": "sweep", "rank": "normal", "builds": None, "mistaken": False}
        return job | overrides | {"parcels": 12, "cores": 2.0, "guess_s": 12.0, "together": False, "yard": None}

    def on_stop_command(self, worker: object, task: SimulatedTask, grace_s: float) -> None:
        if task.job_id not in self.cancel_requested:
            self.stopped.append(f"{task.job_id}/{task.index}")


@pytest.mark.parametrize("is_broken", [False, True])
def test_replayed_heartbeats_stop_no_healthy_task(is_broken: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    if is_broken:
        accept_heartbeats_of_any_term(monkeypatch)
    stopped: list[str] = []
    for seed in range(7340, 7346):
        cluster = ReplayedHeartbeatsCluster(seed)

        async def restart_leaders(cluster: SimulatedCluster) -> None:
            for _ in range(8):
                await asyncio.sleep(8)
                await cluster.restart_controller(cluster.current_leader())

        cluster.schedule_action(restart_leaders)
        cluster.run(length_s=80, job_count=10)
        stopped += [*cluster.stopped, *map(str, cluster.rule_violations)]
    assert bool(stopped) == is_broken, stopped
