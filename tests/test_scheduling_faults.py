"""Combined faults of machines that are lost and limits: nobody waits beside room, and nobody passes a limit."""

import asyncio
from typing import Any

import pytest

from roseweir.clock import seconds
from roseweir.cloud.offers import MachineOffer
from roseweir.cloud.scale_out import plan_scale_out
from roseweir.controller.live_jobs import LiveJobWatcher
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.heartbeat_reconciliation import HeartbeatReconciler
from roseweir.scheduler.model import Machine, Placement, PlacementPhase
from roseweir.scheduler.scheduling_pass import run_scheduling_pass
from roseweir.submissions.jobs import CompletedJob, JobSpec
from tests.simulation.cluster import ZONES, SimulatedCluster, virtual_now
from tests.simulation.fault_combinations import QUIET_S, FaultCombinationCluster, FaultSchedule, is_caught
from tests.simulation.job_specs import make_job_spec as job
from tests.simulation.machine_faults import (
    MAX_WAIT_S,
    cancel_running_jobs,
    cancel_until_confirmed,
    fail_half_of_zone,
    partition_workers,
    running_jobs,
    stop_all_controllers,
)
from tests.test_fault_combinations import ignore_previous_leader_leases
from tests.test_machine_faults import CheckedLongTaskCluster, Patch, Variant
from tests.test_scheduler import NOW, Hand, new_board
from tests.test_simulated_days import check


def test_a_machine_is_rented_for_cpu_work_in_a_zone_that_has_only_gpu_machines_left() -> None:
    """The machine with GPUs suits the job, but its CPUs are kept for its GPUs, and the other zone's idle machine made
    the sums come out even: the job waited for ever (drawn day 85)."""
    cluster_state = new_board()
    Hand(cluster_state, "i-1", "gpu", "a").report(NOW)
    Hand(cluster_state, "i-2", "cpu", "b").report(NOW)
    cluster_state.add_job(
        job(1, cpus=4.0, gpus=1.0, zone="b"), 1
    )  # brings along as many CPUs for each GPU as there are
    bound = cluster_state.add_job(job(2, cpus=2.0, zone="a"), 2)
    at = NOW + seconds(1)
    left = run_scheduling_pass(cluster_state, at)
    assert not bound.placements
    wants, _ = plan_scale_out(cluster_state, left, {}, 0, at)
    assert [(w.type_name, w.zone) for w in wants if w.type_name == "cpu"] == [("cpu", "a")]
    # None to be had: then it may use the CPUs of the idle GPUs.
    refused = {MachineOffer("cpu", "a", spot): at + seconds(9) for spot in (True, False)}
    assert plan_scale_out(cluster_state, left, refused, 0, at)[1]


def test_machines_are_rented_for_a_gang_for_which_the_empty_ones_that_suit_it_are_too_few() -> None:
    """An idle machine of another zone made the sums come out even: the gang waited, and its team's later jobs with it,
    since it holds its part of the team's limit (drawn day 6)."""
    cluster_state = new_board()
    Hand(cluster_state, "i-1", "gpu", "a").report(NOW)
    Hand(cluster_state, "i-2", "gpu", "b").report(NOW)
    at = NOW + seconds(1)
    here = int(cluster_state.machines["i-1"].machine_type.gpus) // 2
    fits = cluster_state.add_job(job(1, job_type="gang", task_count=here, gpus=2.0, zone="a"), 1)
    assert run_scheduling_pass(cluster_state, at).placed_count == here and len(fits.placements) == here
    for placement in list(fits.placements.values()):
        cluster_state.remove_placement(placement, at)
    del cluster_state.jobs[fits.spec.id]
    gang = cluster_state.add_job(job(2, job_type="gang", task_count=here + 1, gpus=2.0, zone="a"), 2)
    left = run_scheduling_pass(cluster_state, at)
    assert not gang.placements
    wants, _ = plan_scale_out(cluster_state, left, {}, 0, at)
    assert [(w.type_name, w.zone, w.count) for w in wants] == [("gpu", "a", 1)]
    # What boots already is not asked for twice.
    Hand(cluster_state, "i-3", "gpu", "a").report(at)
    assert not plan_scale_out(cluster_state, left, {}, 0, at)[0]


# -- teams at their limits while machines can't be asked, jobs are cancelled, and leaders change -------


# Of jobs that run, as their machines can't be asked.
CANCELLED_A_TURN = 2


class AtLimit(CheckedLongTaskCluster):
    """Arrays of GPU tasks, more than the two teams' limits allow; room that is proven free is used within 40 s."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.max_wait_s = 40.0
        self.most_in_use = 0.0

    def make_job(self) -> dict[str, Any]:
        gpus = {"accelerators": 1.0, "parcels": 4, "crew": self.rng.choice(["t0", "t1"])}
        return super().make_job() | gpus | {"guess_s": self.rng.choice([12.0, 40.0]), "loaners": True, "scatter": False}

    def check_start(self, worker: Any, task: Any) -> None:
        super().check_start(worker, task)
        crew = self.jobs[task.job_id]["crew"]
        there = [self.jobs[t.job_id] for _, t in self.active_tasks() if t is not task]
        in_use = 1.0 + sum(other["accelerators"] for other in there if other["crew"] == crew)
        self.most_in_use = max(self.most_in_use, in_use)


async def lose_some(cluster: SimulatedCluster, way: str) -> None:
    """Machines hang, are cut off, mute or deaf, and jobs that run on them are cancelled in that spell."""
    if way == "hang":
        await cancel_running_jobs(cluster, cluster.rng.choice([3.0, 9.0]))
        return
    jobs = running_jobs(cluster)
    for job_id in cluster.rng.sample(jobs, min(len(jobs), CANCELLED_A_TURN)):
        cluster.spawn(cancel_until_confirmed(cluster, job_id))
    if way == "cut":
        zone = cluster.rng.choice(ZONES)
        cluster.partitioned_zones.add(zone)
        await asyncio.sleep(cluster.lease_duration_s * 1.4)
        cluster.partitioned_zones.discard(zone)
        cluster.partition_healed_at[zone] = virtual_now()
    else:
        await partition_workers(cluster, way, 9.0)


def at_limit(seed: int) -> AtLimit:
    cluster = AtLimit(seed)

    async def act(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(22)
        for turn in range(4):
            # Without this a drawn day may bring no jobs to cancel until the last of the four is over.
            while len(running_jobs(cluster)) < CANCELLED_A_TURN:
                await asyncio.sleep(0.5)
            losing = cluster.spawn(lose_some(cluster, ("hang", "cut", "mute", "deaf")[(seed + turn) % 4]))
            # Before the cancellations are known, or after others may have begun in their place.
            await asyncio.sleep(cluster.rng.choice([0.3, 1.5, 5.0, 5.0]))
            await cluster.restart_controller(cluster.current_leader())
            await asyncio.sleep(cluster.rng.uniform(2, 5))
            await cluster.restart_controller(cluster.current_leader())
            await asyncio.wait([losing])
            await asyncio.sleep(3)

    cluster.schedule_action(act)
    return cluster


def released_as_cancelled(patch: Patch) -> None:
    """A cancelled job's part of the limit is free at once, and not when its tasks are proven gone."""
    end_job = ClusterState.end_job

    def hasty(self: ClusterState, job_id: str, ended: CompletedJob, at: Any) -> None:
        run = self.jobs.get(job_id)
        end_job(self, job_id, ended, at)
        for placement in [] if run is None else list(run.placements.values()):
            self.remove_placement(placement, at)

    patch.setattr(ClusterState, "end_job", hasty)


def never_released(patch: Patch) -> None:
    """What a cancelled job's tasks used of the limit is not given back as they are proven gone."""
    remove = ClusterState.remove_placement

    def keeping(self: ClusterState, placement: Placement, *rest: Any) -> None:
        there = placement.run.placements.get(placement.index) is placement
        remove(self, placement, *rest)
        if there and placement.run.final_state:
            self.usage_by_team[placement.run.spec.team].gpus += placement.run.spec.gpus

    patch.setattr(ClusterState, "remove_placement", keeping)


def test_at_their_limits_teams_count_what_may_be_there_and_use_what_is_proven_free() -> None:
    for seed in range(8200, 8204):
        cluster = at_limit(seed)
        check(cluster.run(length_s=150, job_count=16))
        assert cluster.most_in_use >= 6.0 and len(cluster.cancelled_at) >= 4


LIMIT_VARIANTS: list[tuple[Variant, str]] = [
    (released_as_cancelled, "quota"),
    (never_released, "waits_beside_room"),
    (ignore_previous_leader_leases, ""),
]


@pytest.mark.parametrize(("broken", "rule"), LIMIT_VARIANTS, ids=lambda value: getattr(value, "__name__", None))
def test_at_their_limits_catch(broken: Variant, rule: str, monkeypatch: Patch) -> None:
    broken(monkeypatch)
    assert is_caught(at_limit, range(8200, 8220), rule, 150, 16)


# -- zones: bound jobs lose machines, a zone and its controller are cut off, all controllers are away --


class Bound(CheckedLongTaskCluster):
    """Arrays that may run in one zone only."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.max_wait_s = 60.0

    def make_job(self) -> dict[str, Any]:
        return super().make_job() | {"yard": self.rng.choice(ZONES), "cores": 2.0, "guess_s": 12.0, "builds": ["cpu"]}


def zones(seed: int) -> Bound:
    cluster = Bound(seed)

    async def act(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(15)
        for turn in range(3):
            zone = ZONES[(seed + turn) % 2]
            if turn != 1:
                await fail_half_of_zone(cluster, zone)
            leader = cluster.current_leader()
            # The leader's own zone, with it in there: its workers go on hearing it for as long as it may answer.
            cluster.partitioned_zones.add(leader.zone)
            for node in cluster.nodes:
                if node.zone == leader.zone:
                    cluster.spawn(
                        cluster.lose_network(node, ["state", "peers", "cloud"], cluster.lease_duration_s * 2.5)
                    )
            await asyncio.sleep(2.0)
            for job_id in running_jobs(cluster)[:2]:
                cluster.spawn(cancel_until_confirmed(cluster, job_id))
            await asyncio.sleep(cluster.lease_duration_s * 2.5)
            cluster.partitioned_zones.clear()
            cluster.partition_healed_at[leader.zone] = virtual_now()
            await asyncio.sleep(2)
            await stop_all_controllers(cluster)

    cluster.schedule_action(act)
    return cluster


def zone_not_asked(patch: Patch) -> None:
    def anywhere(spec: JobSpec, machine: Machine) -> bool:
        return spec.machine_types is None or machine.machine_type.name in spec.machine_types

    patch.setattr("roseweir.scheduler.task_placement.allows_machine", anywhere)
    patch.setattr("roseweir.scheduler.preemption.allows_machine", anywhere)
    patch.setattr("roseweir.scheduler.capacity_snapshot.allows_machine", anywhere)


def recorded_tasks_stay(patch: Patch) -> None:
    """What an earlier leader recorded counts as there although its machine reports that it is not."""
    conclude = HeartbeatReconciler._remove_unlisted_tasks

    def believe(self: HeartbeatReconciler, machine: Machine, listed: set[tuple[str, int]], *rest: Any) -> None:
        recorded = {key for key, p in machine.placements.items() if p.phase == PlacementPhase.RECOVERED}
        conclude(self, machine, listed | recorded, *rest)

    patch.setattr(HeartbeatReconciler, "_remove_unlisted_tasks", believe)


def test_work_bound_to_a_zone_goes_on_there_once_the_zone_and_the_controllers_are_back() -> None:
    for seed in range(8220, 8223):
        check(zones(seed).run(length_s=190, job_count=20))


ZONE_VARIANTS: list[tuple[Variant, str]] = [
    (zone_not_asked, "wrong_place"),
    (recorded_tasks_stay, "waits_beside_room"),
    (ignore_previous_leader_leases, ""),
]


@pytest.mark.parametrize(("broken", "rule"), ZONE_VARIANTS, ids=lambda value: getattr(value, "__name__", None))
def test_work_bound_to_a_zone_catches(broken: Variant, rule: str, monkeypatch: Patch) -> None:
    broken(monkeypatch)
    assert is_caught(zones, range(8220, 8235), rule, 190, 20)


# -- the checks of whole days: no wait beside room once faults are over, no start after a cancellation ---


def ends_are_not_learnt(patch: Patch) -> None:
    """A leader does not take in that jobs are over."""
    learn = LiveJobWatcher._apply_live_job

    def keep(self: LiveJobWatcher, job_id: str, value: object, version: int, revision: int) -> None:
        if value is not None:
            learn(self, job_id, value, version, revision)

    patch.setattr(LiveJobWatcher, "_apply_live_job", keep)


def cancelled_in_the_queue(seed: int) -> AtLimit:
    """Jobs that wait for their team's limit are cancelled as a leader has just begun, and other work ends later."""
    cluster = AtLimit(seed)

    async def act(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(25)
        for _ in range(3):
            await cluster.restart_controller(cluster.current_leader())
            waiting = sorted(cluster.accepted_jobs - cluster.observed_ends.keys() - set(running_jobs(cluster)))
            await asyncio.sleep(cluster.rng.uniform(2, 5))
            for job_id in waiting[:2]:
                await cancel_until_confirmed(cluster, job_id)
            await asyncio.sleep(15)

    cluster.schedule_action(act)
    return cluster


def test_what_is_cancelled_in_the_queue_is_never_told_to_start_later() -> None:
    cancelled = 0
    for seed in range(8230, 8233):
        cluster = cancelled_in_the_queue(seed)
        check(cluster.run(length_s=110, job_count=16))
        cancelled += len(cluster.cancelled_at)
    assert cancelled >= 6


def test_start_orders_after_a_cancellation_are_caught(monkeypatch: Patch) -> None:
    ends_are_not_learnt(monkeypatch)
    assert is_caught(cancelled_in_the_queue, range(8230, 8236), "start_after_cancel", 110, 16)


def day_of(seed: int) -> FaultCombinationCluster:
    """All controllers are away for longer than a lease while tasks run; then nothing goes wrong any more."""
    return FaultSchedule(seed, ((30.0, "all away"), (50.0, "all away")), quiet_s=QUIET_S).run()


def test_drawn_days_check_what_waits_once_faults_are_over() -> None:
    day = day_of(8240)
    check(day)
    assert day.quiet_s > MAX_WAIT_S and day.longest_wait < MAX_WAIT_S


def test_a_job_that_waits_beside_room_once_faults_are_over_is_caught(monkeypatch: Patch) -> None:
    recorded_tasks_stay(monkeypatch)
    assert any("waits_beside_room" in day_of(seed).first_failure for seed in range(8240, 8246))
