"""What the operators' pages had left out: one-way machines, late copies, a lone controller, machines back at once."""

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
    virtual_now,
)
from tests.simulation.job_specs import make_job_spec as job
from tests.test_scheduler import CPU, NOW, TERM, FakeWorker, make_cluster_state, place_and_start
from tests.test_simulated_days import check

ALL = [*EXTENDED_FAULTS, *PARTIAL_PARTITION_FAULTS, *PARTIAL_PARTITION_FAULTS]


CONTROLLERS = {9320: 2, 9321: 5, 9322: 5, 9323: 7}


@pytest.mark.parametrize("seed", [*range(9300, 9316), *CONTROLLERS])
def test_rough_days_with_what_was_left_out_break_no_rule(seed: int) -> None:
    troubles = PARTIAL_PARTITION_FAULTS if seed % 4 == 0 else ALL
    cluster = SimulatedCluster(
        seed,
        faults=troubles,
        restart_delay_range_s=(0.05, 2.0),
        max_clock_skew_s=0.5,
        controller_count=CONTROLLERS.get(seed, 3),
    )
    check(cluster.run())
    assert cluster.start_count > 20


# -- a machine that hears nothing ---------------------------------------------------------------


def test_what_is_not_sent_to_a_machine_that_hears_nothing_goes_elsewhere_and_its_tasks_as_its_tenure_ends() -> None:
    cluster_state = make_cluster_state()
    hand, other = FakeWorker(cluster_state, "i-1"), FakeWorker(cluster_state, "i-2")
    hand.send_heartbeat(NOW)
    runs = cluster_state.add_job(job(1, cpus=8.0), 1)
    place_and_start(cluster_state, NOW, hand)
    waits = cluster_state.add_job(job(2, cpus=8.0), 2)
    machine, at = hand.machine, NOW
    record_answer(machine, hand.sequence_number, at)
    # It went to other nodes meanwhile, though it was answered here: answers seem lost.
    hand.sequence_number += 2
    at += WORKER_ANSWER_TIMEOUT + seconds(2)
    HeartbeatReconciler(cluster_state).apply_heartbeat(hand.make_heartbeat(), at)
    assert machine.is_suspected and cluster_state.collect_commands(machine, at, True) == []
    for _ in range(MIN_FAILED_PROBES):
        assert machines_to_probe(cluster_state, at) == [machine]
        machine.last_probe_at = at
        record_probe_result(cluster_state, machine, at, False, at + PROBE_TIMEOUT)
        at += seconds(1)
    assert machine.is_unreachable and machine not in list(available_machines(cluster_state, at)), (
        "another is rented in its place"
    )
    other.send_heartbeat(at)
    other.send_heartbeat(at)
    run_scheduling_pass(cluster_state, at)
    assert waits.placements[0].machine.name == "i-2"
    cluster_state.apply_timeouts(at)
    assert 0 in runs.placements, "it may run until its lease is over"
    # The next tenure is the earliest proof that it does not any more.
    machine_of = runs.placements[0].machine
    assert (
        HeartbeatReconciler(cluster_state).apply_heartbeat(hand.make_heartbeat(incarnation=2), at) is machine_of
        and not runs.placements
    )
    assert ("deaf" in [why for _, why in plan_scale_in(cluster_state, SchedulingPassResult(), at)]) is False
    assert (machine, "deaf") in plan_scale_in(
        cluster_state,
        SchedulingPassResult(),
        machine.unreachable_since + cluster_state.max_lease_duration + seconds(0.1),
    )
    # It answers a question of ours: the way is open.
    report = hand.make_heartbeat(incarnation=2)
    HeartbeatReconciler(cluster_state).apply_probe_response(report, (machine.incarnation, machine.sequence), at)
    assert not machine.is_unreachable and not machine.is_suspected


class Deaf(SimulatedCluster):
    """One machine hears nothing for a while. All jobs are arrays that a few machines end in seconds."""

    def __init__(self, seed: int, span: float, controller_count: int = 3) -> None:
        super().__init__(seed, is_calm=True, controller_count=controller_count)
        self.span = span
        self.submitted: dict[str, float] = {}
        self.held: list[int] = []  # the tasks on the machine as it turned deaf
        self.schedule_action(Deaf.turn_deaf)

    def make_job(self) -> dict[str, object]:
        job = super().make_job()
        self.submitted[job["name_id"]] = virtual_now()
        small = {
            "shape": "sweep",
            "parcels": min(job["parcels"], 4),
            "accelerators": min(job["accelerators"], 1.0),
            "guess_s": min(job["guess_s"], 4.0),
        }
        return job | small

    async def turn_deaf(self: SimulatedCluster) -> None:
        assert isinstance(self, Deaf)
        await asyncio.sleep(25)
        while not any(worker.tasks for worker in self.workers.values()):
            await asyncio.sleep(0.1)
        busy = max(self.workers.values(), key=lambda w: len(w.tasks))
        self.held.append(len(busy.tasks))
        busy.set_one_way_partition("deaf")
        await asyncio.sleep(self.span)
        busy.set_one_way_partition("")


@pytest.mark.parametrize("span", [12.0, 40.0])
@pytest.mark.parametrize(("seed", "controllers"), [*((seed, 3) for seed in range(7310, 7316)), (7316, 1), (7317, 1)])
def test_a_machine_that_hears_nothing_holds_up_no_job_for_longer_than_its_lease(
    seed: int, controllers: int, span: float
) -> None:
    cluster = Deaf(seed, span, controllers)
    check(cluster.run(length_s=100, job_count=30))
    judged = {job for job in cluster.accepted_jobs if cluster.submitted[job] < 70}
    assert cluster.held and len(judged) >= 15
    assert judged - set(cluster.observed_ends) == set()


def test_a_leader_whose_answers_reach_nobody_makes_way_before_leases_end() -> None:
    cluster = SimulatedCluster(7311, is_calm=True)
    leaders: list[str] = []

    async def lose(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(25)
        node = cluster.current_leader()
        node.network_faults["workers"] = "answers"
        leaders.append(node.name)
        await asyncio.sleep(12)
        leaders.append(cluster.current_leader().name)
        node.network_faults.clear()

    cluster.schedule_action(lose)
    check(cluster.run(length_s=60, job_count=20))
    assert leaders[0] != leaders[1]


# -- copies -------------------------------------------------------------------------------------


def test_a_copy_as_the_first_word_of_a_machine_proves_nothing() -> None:
    """The recorded attempt was taken for the copy's, the real one's then for a stranger's, and was stopped."""
    cluster_state = make_cluster_state()
    run = cluster_state.add_job(job(1, task_count=2, cpus=2.0), 1)
    machine = cluster_state.restore_machine("i-1", CPU, "a", False, NOW)
    cluster_state.restore_placement(run, 0, machine, 9, NOW)
    cluster_state.restore_placement(run, 1, machine, 9, NOW)
    copy = wire.Heartbeat(
        "i-1", "10.1.0.1:9", "cpu", "a", False, 1, 40, TERM - 1, [
            wire.TaskStatus("j-000001/0", 3, "running"),
            wire.TaskStatus("j-000001/1", 9, "exited", "halted"),
        ],
    )  # fmt: skip
    real = wire.Heartbeat(
        "i-1", "10.1.0.1:9", "cpu", "a", False, 1, 90, TERM, [
            wire.TaskStatus("j-000001/0", 9, "running"),
            wire.TaskStatus("j-000001/1", 9, "running"),
        ],
    )  # fmt: skip
    for _ in range(1000):
        assert (
            HeartbeatReconciler(cluster_state).apply_heartbeat(copy, NOW + seconds(1)) is None
            and stop_commands_for(cluster_state, copy) == []
        )
    assert (
        machine.last_heartbeat_at < NOW
        and not machine.has_acknowledged_term
        and {p.attempt for p in run.placements.values()} == {9}
    )
    assert all(p.phase == PlacementPhase.RECOVERED for p in run.placements.values())
    assert HeartbeatReconciler(cluster_state).apply_heartbeat(real, NOW + seconds(2)) is machine
    assert cluster_state.collect_commands(machine, NOW + seconds(2), True) == [] and len(run.placements) == 2
    # In our own term it is older than what is known.
    heard = machine.last_heartbeat_at
    assert (
        HeartbeatReconciler(cluster_state).apply_heartbeat(real, NOW + seconds(9)) is None
        and machine.last_heartbeat_at == heard
    )


def test_copies_keep_no_lost_machines_tasks_and_bring_no_released_machine_back() -> None:
    cluster_state = make_cluster_state()
    run = cluster_state.add_job(job(1, cpus=8.0), 1)
    machine = cluster_state.restore_machine("i-1", CPU, "a", False, NOW)
    cluster_state.restore_placement(run, 0, machine, 9, NOW)
    hand, at = FakeWorker(cluster_state, "i-1"), NOW
    while at < NOW + seconds(120) and run.placements:
        at += seconds(0.5)
        word = hand.make_heartbeat(TERM - 1)
        assert HeartbeatReconciler(cluster_state).apply_heartbeat(word, at) is None
        decide_lease_renewal(cluster_state, word, at)
        cluster_state.apply_timeouts(at)
    assert (
        not run.placements
        and at - NOW <= cluster_state.max_lease_duration * 2 + cluster_state.stale_cancellation_window
    ), "words renew for a lease at the most"
    cluster_state.forget_machine("i-1", at, "released")
    assert (
        HeartbeatReconciler(cluster_state).apply_heartbeat(hand.make_heartbeat(), at + seconds(600)) is None
        and "i-1" not in cluster_state.machines
    )
    stranger = FakeWorker(cluster_state, "i-9")
    assert (
        HeartbeatReconciler(cluster_state).apply_heartbeat(stranger.make_heartbeat(TERM - 1), at) is None
        and "i-9" not in cluster_state.machines
    )


# -- a lone controller --------------------------------------------------------------------------


@pytest.mark.parametrize("way", ["refused", "silent"])
@pytest.mark.parametrize("controllers", [3, 5])
def test_a_leader_without_state_service_and_peers_lets_its_workers_go_and_turns_unhealthy(
    way: str, controllers: int
) -> None:
    """It answered them for its whole hold-over, and nothing started anywhere meanwhile."""
    cluster = SimulatedCluster(7320, is_calm=True, controller_count=controllers)
    seen: dict[str, object] = {}

    async def lose(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(30)
        node = cluster.current_leader()
        for what in ("state", "peers"):
            node.network_faults[what] = way
        lost = virtual_now()
        service = node.service
        assert service is not None
        while service.leader_term is not None:
            await asyncio.sleep(0.05)
        seen["gone"] = virtual_now() - lost
        seen["alone"] = service.membership.is_isolated_from_store
        await asyncio.sleep(4)
        seen["leader"] = cluster.current_leader().name != node.name
        seen["sessions"] = [w.incarnation for w in cluster.workers.values()]
        node.network_faults.clear()
        await asyncio.sleep(6)
        seen["back"] = not service.membership.is_isolated_from_store and service.leader_election.leader is not None

    cluster.schedule_action(lose)
    check(cluster.run(length_s=80, job_count=20))
    # Its right, a report's time for scouts without tasks to come by, and their way through all nodes.
    assert isinstance(seen["gone"], float) and seen["gone"] < 8.0 + controllers, seen
    assert seen["alone"] and seen["leader"] and seen["back"], seen
    assert set(seen["sessions"]) == {1}, "a worker's lease ran out"  # type: ignore[call-overload]


def test_in_an_outage_with_peers_out_of_reach_a_leader_keeps_its_workers() -> None:
    cluster = SimulatedCluster(7321, is_calm=True)
    sessions: list[int] = []
    scouts: list[bool] = []

    async def out(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(30)
        cluster.state.is_down = True
        for node in cluster.nodes:
            node.network_faults["peers"] = "refused"
        await asyncio.sleep(6)
        reign = cluster.current_leader().service.leader_term  # type: ignore[union-attr]
        scouts.append(
            reign is not None
            and bool(reign.worker_handlers.leader_search.redirected_at_by_worker)
            and reign.worker_handlers.leader_search.has_worker_returned
        )
        cluster.state.end_outage()
        for node in cluster.nodes:
            node.network_faults.clear()
        await asyncio.sleep(5)
        sessions.extend(worker.incarnation for worker in cluster.workers.values())

    cluster.schedule_action(out)
    check(cluster.run(length_s=70, job_count=20))
    assert scouts == [True] and set(sessions) == {1}, "scouts come back, and all are held"
    assert cluster.state.keys["lead/term"][0] == 1


# -- machines that are back at once -------------------------------------------------------------


def test_a_machine_that_is_back_at_once_has_nothing_on_it_and_runs_again() -> None:
    cluster = SimulatedCluster(7330, is_calm=True)
    born: list[str] = []

    async def again(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(20)
        for _ in range(12):
            for worker in list(cluster.workers.values()):
                if worker.tasks and not worker.is_dead:
                    worker.restart_in_place()
                    born.append(worker.machine.name)
                    break
            await asyncio.sleep(1.5)
        await cluster.restart_controller(cluster.current_leader())

    cluster.schedule_action(again)
    check(cluster.run(length_s=110, job_count=25))
    assert len(born) > 6
    unfinished = [j for j in cluster.accepted_jobs - set(cluster.observed_ends) if cluster.jobs[j]["shape"] == "sweep"]
    assert unfinished == []


# -- in the middle of an election ---------------------------------------------------------------

STEPS = {
    "lease asked for": ("/holds", False, "POST"),
    "lease granted, not yet known": ("/holds", True, "POST"),
    "key asked for": ("/txn", False, "lead/leader"),
    "key written, answer lost": ("/txn", True, "lead/leader"),
    "renewal": ("/extend", True, "POST"),
}


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("back", [0.05, 0.6])
def test_whoever_stands_ends_at_each_step_of_its_election_and_somebody_leads_soon(step: str, back: float) -> None:
    """No term is used twice: the world looks at that all the time."""
    cluster = SimulatedCluster(7340, is_calm=True, restart_delay_range_s=(back, back))
    path_of, after, what = STEPS[step]
    ended: list[str] = []
    gaps: list[float] = []

    async def watch(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(15)
        plain = cluster.state.handle

        async def handle(node: str, method: str, path: str, body: object) -> Reply:
            mine = path_of in path and (what in (method, "") or what in str(body))
            if not mine or len(ended) >= 6:
                return await plain(node, method, path, body)
            ended.append(node)
            answer = await plain(node, method, path, body) if after else None
            cluster.spawn(cluster.restart_controller(cluster.nodes[int(node[1:])]))
            await asyncio.sleep(0)
            return answer or await plain(node, method, path, body)

        cluster.state.handle = handle  # type: ignore[method-assign]
        await cluster.restart_controller(cluster.current_leader())
        while len(ended) < 6 and virtual_now() < 50:
            await asyncio.sleep(0.05)
        last = virtual_now()
        while not any(n.service and n.service.leader_term and n.service.leader_term.is_ready for n in cluster.nodes):
            await asyncio.sleep(0.02)
        gaps.append(virtual_now() - last)

    cluster.schedule_action(watch)
    check(cluster.run(length_s=75, job_count=10))
    assert ended and gaps and gaps[0] < 4.0, (ended, gaps)


def test_two_candidates_that_end_in_turn_leave_a_leader_seconds_after_the_last_end() -> None:
    cluster = SimulatedCluster(7350, is_calm=True, restart_delay_range_s=(0.1, 0.3), controller_count=2)
    gaps: list[float] = []

    async def turns(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(15)
        for number in range(24):
            cluster.spawn(cluster.restart_controller(cluster.nodes[number % 2]))
            await asyncio.sleep(0.25)
        last = virtual_now()
        while not any(n.service and n.service.leader_term and n.service.leader_term.is_ready for n in cluster.nodes):
            await asyncio.sleep(0.02)
        gaps.append(virtual_now() - last)

    cluster.schedule_action(turns)
    check(cluster.run(length_s=60, job_count=10))
    assert gaps[0] < 4.0


# -- broken variants ----------------------------------------------------------------------------

Break = Callable[[pytest.MonkeyPatch], None]


def never_in_doubt(patch: pytest.MonkeyPatch) -> None:
    """Whatever is heard is taken for reached."""
    patch.setattr(one_way_partition, "mark_suspected", lambda machine, now: None)


def words_believed(patch: pytest.MonkeyPatch) -> None:
    """The first report of a machine counts, whatever term it shows."""
    take = HeartbeatReconciler.apply_heartbeat

    def believe(self: HeartbeatReconciler, report: wire.Heartbeat, now: object) -> object:
        machine = self.cluster_state.machines.get(report.machine_name)
        if machine is None or not machine.has_acknowledged_term:
            report.fencing_token = self.cluster_state.term
        return take(self, report, now)  # type: ignore[arg-type]

    patch.setattr(HeartbeatReconciler, "apply_heartbeat", believe)
    patch.setattr(
        heartbeat_reconciliation.HeartbeatReconciler,
        "_apply_unacknowledged_heartbeat",
        lambda self, machine, report, now: None,
    )


def test_broken_variant_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    """A lone controller gets all reports of the machine, so nothing but the doubt keeps it from being sent tasks."""
    never_in_doubt(monkeypatch)
    for seed in range(7310, 7318):
        if any(
            "sent_in_vain" in str(error)
            for error in Deaf(seed, 12.0, controller_count=1).run(job_count=30).rule_violations
        ):
            return
    pytest.fail("no seed caught it")


class Copied(SimulatedCluster):
    """Leaders end in turn while every report is copied; nobody has a reason to stop any task."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, is_calm=True, restart_delay_range_s=(0.2, 1.0))
        self.stopped: list[str] = []
        self.heartbeat_copiers = 1

    def make_job(self) -> dict[str, object]:
        job = super().make_job()
        plain = {"accelerators": 0.0, "shape": "sweep", "rank": "normal", "builds": None, "mistaken": False}
        return job | plain | {"parcels": 12, "cores": 2.0, "guess_s": 12.0, "together": False, "yard": None}

    def on_halt(self, worker: object, task: SimulatedTask, grace: float) -> None:
        if task.job_id not in self.cancel_requested:
            self.stopped.append(f"{task.job_id}/{task.index}")


@pytest.mark.parametrize("broken", [False, True])
def test_copies_stop_no_healthy_task(broken: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    if broken:
        words_believed(monkeypatch)
    stopped: list[str] = []
    for seed in range(7340, 7346):
        cluster = Copied(seed)

        async def end(cluster: SimulatedCluster) -> None:
            for _ in range(8):
                await asyncio.sleep(8)
                await cluster.restart_controller(cluster.current_leader())

        cluster.schedule_action(end)
        cluster.run(length_s=80, job_count=10)
        stopped += [*cluster.stopped, *map(str, cluster.rule_violations)]
    assert bool(stopped) == broken, stopped
