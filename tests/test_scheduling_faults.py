"""Lost machines combined with limits: no job waits beside free capacity, and no team exceeds its limit."""

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
from tests.simulation.cluster import ZONES, SimulatedCluster, raise_first_failure, virtual_now
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
from tests.test_scheduler import NOW, FakeWorker, make_cluster_state


def test_scale_out_rents_cpu_machine_in_zone_with_only_gpu_machines() -> None:
    """The GPU machine fits the job, but its CPUs are kept for GPU tasks. If an idle machine of the other zone counts as
    enough total capacity, nothing is rented and the job waits for ever (generated day 85)."""
    cluster_state = make_cluster_state()
    FakeWorker(cluster_state, "i-1", "gpu", "a").send_heartbeat(NOW)
    FakeWorker(cluster_state, "i-2", "cpu", "b").send_heartbeat(NOW)
    cluster_state.add_job(job(1, cpus=4.0, gpus=1.0, zone="b"), 1)  # uses as many CPUs for each GPU as the machine has
    zone_bound = cluster_state.add_job(job(2, cpus=2.0, zone="a"), 2)
    at = NOW + seconds(1)
    pass_result = run_scheduling_pass(cluster_state, at)
    assert not zone_bound.placements
    requests, _ = plan_scale_out(cluster_state, pass_result, {}, 0, at)
    assert [(request.type_name, request.zone) for request in requests if request.type_name == "cpu"] == [("cpu", "a")]
    # When no CPU machine is available, the job may use the CPUs of the idle GPU machine.
    refused = {MachineOffer("cpu", "a", spot): at + seconds(9) for spot in (True, False)}
    assert plan_scale_out(cluster_state, pass_result, refused, 0, at)[1]


def test_scale_out_rents_machines_when_too_few_idle_ones_fit_a_gang() -> None:
    """If an idle machine of another zone counts as enough total capacity, nothing is rented: the gang waits, and its
    team's later jobs too, since the gang holds its share of the team's limit (generated day 6)."""
    cluster_state = make_cluster_state()
    FakeWorker(cluster_state, "i-1", "gpu", "a").send_heartbeat(NOW)
    FakeWorker(cluster_state, "i-2", "gpu", "b").send_heartbeat(NOW)
    at = NOW + seconds(1)
    gang_size = int(cluster_state.machines["i-1"].machine_type.gpus) // 2
    fitting = cluster_state.add_job(job(1, job_type="gang", task_count=gang_size, gpus=2.0, zone="a"), 1)
    assert run_scheduling_pass(cluster_state, at).placed_count == gang_size and len(fitting.placements) == gang_size
    for placement in list(fitting.placements.values()):
        cluster_state.remove_placement(placement, at)
    del cluster_state.jobs[fitting.spec.id]
    gang = cluster_state.add_job(job(2, job_type="gang", task_count=gang_size + 1, gpus=2.0, zone="a"), 2)
    pass_result = run_scheduling_pass(cluster_state, at)
    assert not gang.placements
    requests, _ = plan_scale_out(cluster_state, pass_result, {}, 0, at)
    assert [(request.type_name, request.zone, request.count) for request in requests] == [("gpu", "a", 1)]
    # A machine that has joined since is not rented a second time.
    FakeWorker(cluster_state, "i-3", "gpu", "a").send_heartbeat(at)
    assert not plan_scale_out(cluster_state, pass_result, {}, 0, at)[0]


# -- teams at their limits while machines are unreachable, jobs are cancelled and leaders change -------


# Running jobs that are cancelled while their machines are unreachable.
JOBS_CANCELLED_PER_ROUND = 2


class TeamLimitCluster(CheckedLongTaskCluster):
    """Arrays of GPU tasks beyond the limits of both teams; quota that is proven free must be used within 40 s."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.max_wait_s = 40.0
        self.peak_gpus_in_use = 0.0

    def make_job(self) -> dict[str, Any]:
        gpus = {"accelerators": 1.0, "parcels": 4, "crew": self.rng.choice(["t0", "t1"])}
        return super().make_job() | gpus | {"guess_s": self.rng.choice([12.0, 40.0]), "loaners": True, "scatter": False}

    def check_start(self, worker: Any, task: Any) -> None:
        super().check_start(worker, task)
        team = self.jobs[task.job_id]["crew"]
        other_jobs = [self.jobs[t.job_id] for _, t in self.active_tasks() if t is not task]
        in_use = 1.0 + sum(other["accelerators"] for other in other_jobs if other["crew"] == team)
        self.peak_gpus_in_use = max(self.peak_gpus_in_use, in_use)


async def make_machines_unreachable(cluster: SimulatedCluster, fault: str) -> None:
    """Makes machines hang or lose the network in one or both directions, and cancels jobs that run meanwhile."""
    if fault == "hang":
        await cancel_running_jobs(cluster, cluster.rng.choice([3.0, 9.0]))
        return
    jobs = running_jobs(cluster)
    for job_id in cluster.rng.sample(jobs, min(len(jobs), JOBS_CANCELLED_PER_ROUND)):
        cluster.spawn(cancel_until_confirmed(cluster, job_id))
    if fault == "cut":
        zone = cluster.rng.choice(ZONES)
        cluster.partitioned_zones.add(zone)
        await asyncio.sleep(cluster.lease_duration_s * 1.4)
        cluster.partitioned_zones.discard(zone)
        cluster.partition_healed_at[zone] = virtual_now()
    else:
        await partition_workers(cluster, fault, 9.0)


def team_limit_cluster(seed: int) -> TeamLimitCluster:
    cluster = TeamLimitCluster(seed)

    async def inject_faults(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(22)
        for round_index in range(4):
            # A generated day may otherwise have no running jobs to cancel before the last of the four faults is over.
            while len(running_jobs(cluster)) < JOBS_CANCELLED_PER_ROUND:
                await asyncio.sleep(0.5)
            fault_task = cluster.spawn(
                make_machines_unreachable(cluster, ("hang", "cut", "mute", "deaf")[(seed + round_index) % 4])
            )
            # The leader fails before it has read the cancellations, or after other jobs may have started instead.
            await asyncio.sleep(cluster.rng.choice([0.3, 1.5, 5.0, 5.0]))
            await cluster.restart_controller(cluster.current_leader())
            await asyncio.sleep(cluster.rng.uniform(2, 5))
            await cluster.restart_controller(cluster.current_leader())
            await asyncio.wait([fault_task])
            await asyncio.sleep(3)

    cluster.schedule_action(inject_faults)
    return cluster


def quota_released_at_cancellation(patch: Patch) -> None:
    """A cancelled job's quota is released at once, instead of when its tasks are proven gone."""
    end_job = ClusterState.end_job

    def end_job_and_free_quota(self: ClusterState, job_id: str, ended: CompletedJob, at: Any) -> None:
        run = self.jobs.get(job_id)
        end_job(self, job_id, ended, at)
        for placement in [] if run is None else list(run.placements.values()):
            self.remove_placement(placement, at)

    patch.setattr(ClusterState, "end_job", end_job_and_free_quota)


def quota_never_released(patch: Patch) -> None:
    """The quota of a cancelled job's tasks is not released when they are proven gone."""
    remove_placement = ClusterState.remove_placement

    def remove_without_freeing_quota(self: ClusterState, placement: Placement, *args: Any) -> None:
        was_placed = placement.run.placements.get(placement.index) is placement
        remove_placement(self, placement, *args)
        if was_placed and placement.run.final_state:
            self.usage_by_team[placement.run.spec.team].gpus += placement.run.spec.gpus

    patch.setattr(ClusterState, "remove_placement", remove_without_freeing_quota)


def test_team_limit_counts_unconfirmed_tasks_until_they_are_gone() -> None:
    for seed in range(8200, 8204):
        cluster = team_limit_cluster(seed)
        raise_first_failure(cluster.run(length_s=150, job_count=16))
        assert cluster.peak_gpus_in_use >= 6.0 and len(cluster.cancelled_at) >= 4


BROKEN_TEAM_LIMIT_VARIANTS: list[tuple[Variant, str]] = [
    (quota_released_at_cancellation, "quota"),
    (quota_never_released, "waits_beside_room"),
    (ignore_previous_leader_leases, ""),
]


@pytest.mark.parametrize(
    ("variant", "rule"), BROKEN_TEAM_LIMIT_VARIANTS, ids=lambda value: getattr(value, "__name__", None)
)
def test_broken_team_limit_accounting_is_caught(variant: Variant, rule: str, monkeypatch: Patch) -> None:
    variant(monkeypatch)
    assert is_caught(team_limit_cluster, range(8200, 8220), rule, 150, 16)


# -- zones: single-zone jobs lose machines, a zone with its leader is partitioned, all controllers stop --


class SingleZoneCluster(CheckedLongTaskCluster):
    """Arrays that may run in one zone only."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.max_wait_s = 60.0

    def make_job(self) -> dict[str, Any]:
        return super().make_job() | {"yard": self.rng.choice(ZONES), "cores": 2.0, "guess_s": 12.0, "builds": ["cpu"]}


def single_zone_cluster(seed: int) -> SingleZoneCluster:
    cluster = SingleZoneCluster(seed)

    async def inject_faults(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(15)
        for round_index in range(3):
            zone = ZONES[(seed + round_index) % 2]
            if round_index != 1:
                await fail_half_of_zone(cluster, zone)
            leader = cluster.current_leader()
            # The partition contains the leader: workers of its zone still reach it while it may answer heartbeats.
            cluster.partitioned_zones.add(leader.zone)
            for node in cluster.controllers:
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

    cluster.schedule_action(inject_faults)
    return cluster


def zone_constraint_ignored(patch: Patch) -> None:
    def allows_any_zone(spec: JobSpec, machine: Machine) -> bool:
        return spec.machine_types is None or machine.machine_type.name in spec.machine_types

    patch.setattr("roseweir.scheduler.task_placement.allows_machine", allows_any_zone)
    patch.setattr("roseweir.scheduler.preemption.allows_machine", allows_any_zone)
    patch.setattr("roseweir.scheduler.capacity_snapshot.allows_machine", allows_any_zone)


def recovered_placements_kept(patch: Patch) -> None:
    """A placement recorded by an earlier leader stays although the machine's heartbeat does not list its task."""
    remove_unlisted = HeartbeatReconciler._remove_unlisted_tasks

    def keep_recovered(self: HeartbeatReconciler, machine: Machine, listed: set[tuple[str, int]], *args: Any) -> None:
        recovered = {key for key, p in machine.placements.items() if p.phase == PlacementPhase.RECOVERED}
        remove_unlisted(self, machine, listed | recovered, *args)

    patch.setattr(HeartbeatReconciler, "_remove_unlisted_tasks", keep_recovered)


def test_single_zone_jobs_resume_after_zone_and_controller_outages() -> None:
    for seed in range(8220, 8223):
        raise_first_failure(single_zone_cluster(seed).run(length_s=190, job_count=20))


BROKEN_ZONE_VARIANTS: list[tuple[Variant, str]] = [
    (zone_constraint_ignored, "wrong_place"),
    (recovered_placements_kept, "waits_beside_room"),
    (ignore_previous_leader_leases, ""),
]


@pytest.mark.parametrize(("variant", "rule"), BROKEN_ZONE_VARIANTS, ids=lambda value: getattr(value, "__name__", None))
def test_broken_zone_placement_is_caught(variant: Variant, rule: str, monkeypatch: Patch) -> None:
    variant(monkeypatch)
    assert is_caught(single_zone_cluster, range(8220, 8235), rule, 190, 20)


# -- checks over whole days: no wait beside free capacity after the last fault, no start after a cancellation ---


def job_ends_not_applied(patch: Patch) -> None:
    """The leader does not apply the deletion of live jobs that ended."""
    apply_live_job = LiveJobWatcher._apply_live_job

    def ignore_job_ends(self: LiveJobWatcher, job_id: str, value: object, version: int, revision: int) -> None:
        if value is not None:
            apply_live_job(self, job_id, value, version, revision)

    patch.setattr(LiveJobWatcher, "_apply_live_job", ignore_job_ends)


def queued_jobs_cancelled_cluster(seed: int) -> TeamLimitCluster:
    """Jobs that wait for their team's limit are cancelled just after a failover, before quota becomes free."""
    cluster = TeamLimitCluster(seed)

    async def inject_faults(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(25)
        for _ in range(3):
            await cluster.restart_controller(cluster.current_leader())
            waiting = sorted(cluster.accepted_jobs - cluster.observed_ends.keys() - set(running_jobs(cluster)))
            await asyncio.sleep(cluster.rng.uniform(2, 5))
            for job_id in waiting[:2]:
                await cancel_until_confirmed(cluster, job_id)
            await asyncio.sleep(15)

    cluster.schedule_action(inject_faults)
    return cluster


def test_job_cancelled_while_queued_gets_no_start_command() -> None:
    cancelled_count = 0
    for seed in range(8230, 8233):
        cluster = queued_jobs_cancelled_cluster(seed)
        raise_first_failure(cluster.run(length_s=110, job_count=16))
        cancelled_count += len(cluster.cancelled_at)
    assert cancelled_count >= 6


def test_start_command_after_cancellation_is_caught(monkeypatch: Patch) -> None:
    job_ends_not_applied(monkeypatch)
    assert is_caught(queued_jobs_cancelled_cluster, range(8230, 8236), "start_after_cancel", 110, 16)


def day_without_controllers(seed: int) -> FaultCombinationCluster:
    """All controllers are stopped for longer than a lease while tasks run; no further fault follows."""
    return FaultSchedule(seed, ((30.0, "all away"), (50.0, "all away")), quiet_s=QUIET_S).run()


def test_generated_days_check_for_waiting_jobs_after_the_last_fault() -> None:
    day = day_without_controllers(8240)
    raise_first_failure(day)
    assert day.quiet_s > MAX_WAIT_S and day.longest_wait < MAX_WAIT_S


def test_job_that_waits_beside_free_capacity_after_faults_is_caught(monkeypatch: Patch) -> None:
    recovered_placements_kept(monkeypatch)
    assert any("waits_beside_room" in day_without_controllers(seed).first_failure for seed in range(8240, 8246))
