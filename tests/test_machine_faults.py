"""Combined faults of workers, machines and commands, each injected at the time at which it does most harm.

Each test has a broken variant of the code that it relies on, which the same simulated days catch.
`docs/notes/combined-faults-machines.md` lists them.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from roseweir.clock import monotonic_now
from roseweir.cloud.machine_inventory import MachineInventory
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.heartbeat_reconciliation import HeartbeatReconciler
from roseweir.scheduler.model import Machine, PlacementPhase
from roseweir.workers import messages as wire
from roseweir.workers.direct_commands import DirectCommandSender
from tests.simulation.cluster import (
    ZONES,
    SimulatedCluster,
    SimulatedTask,
    SimulatedWorker,
    raise_first_failure,
    virtual_now,
)
from tests.simulation.fault_combinations import LongTaskCluster, is_caught
from tests.simulation.machine_faults import (
    CheckedCluster,
    cancel_until_confirmed,
    current_term,
    deliver_to_all_controllers,
    fail_half_of_zone,
    running_jobs,
)
from tests.test_fault_combinations import reuse_previous_term
from tests.test_partial_partitions import accept_heartbeats_of_any_term

Patch = pytest.MonkeyPatch
Variant = Callable[[Patch], None]


class CheckedLongTaskCluster(LongTaskCluster, CheckedCluster):
    """Long tasks; checks that no task is stopped which the leader of its worker's term has not asked to stop."""

    def __init__(self, seed: int, **options: Any) -> None:
        super().__init__(seed, **({"restart_delay_range_s": (0.2, 1.0)} | options))
        self.stop_count = 0

    def on_stop_command(self, worker: SimulatedWorker, task: SimulatedTask, grace_s: float) -> None:
        self.stop_count += 1
        for node in self.controllers:
            leader_term = None if node.service is None else node.service.leader_term
            if leader_term is None or leader_term.cluster_state.term != worker.fencing_token:
                continue
            job_run = leader_term.cluster_state.jobs.get(task.job_id)
            placement = None if job_run is None else job_run.placements.get(task.index)
            should_run = (
                placement is not None
                and placement.phase == PlacementPhase.CONFIRMED
                and placement.attempt == task.attempt
                and placement.machine.name == worker.machine.name
                and placement.stop_requested_at is None
            )
            self.check_rule(not should_run, f"stopped_for_nothing: {task.job_id}/{task.index} on {worker.machine.name}")


def workers_by_name(cluster: SimulatedCluster) -> list[SimulatedWorker]:
    return sorted(cluster.workers.values(), key=lambda worker: worker.machine.name)


# -- direct commands that arrive late, once ----------------------------------------------------------


class PreemptingGangsCluster(CheckedLongTaskCluster):
    """Gangs of two priorities on machines with little room: they preempt each other, by direct commands."""

    def make_job(self) -> dict[str, Any]:
        gang = {"shape": "gang", "parcels": 2, "cores": 4.0, "guess_s": self.rng.choice([8.0, 20.0])}
        checkpoints = {"mark_every_s": 2.0, "mark_s": 1.0} if self.rng.random() < 0.5 else {}
        rank = {"rank": self.rng.choice(["critical", "low"]), "crew": self.rng.choice(["t0", "t1"])}
        gpus = {"accelerators": self.rng.choice([0.0, 2.0])}
        return super().make_job() | gang | checkpoints | rank | gpus | {"builds": None}


def cluster_with_late_commands(seed: int) -> SimulatedCluster:
    """All direct commands arrive 2 to 16 s late; meanwhile jobs are cancelled, machines hang and leaders restart."""
    cluster = PreemptingGangsCluster(seed)

    async def act(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(10)
        cluster.late_command_probability = 1.0
        for turn in range(9):
            job_ids = running_jobs(cluster)
            for job_id in cluster.rng.sample(job_ids, min(2, len(job_ids))):
                cluster.spawn(cancel_until_confirmed(cluster, job_id))
            worker = cluster.rng.choice(workers_by_name(cluster))
            worker.is_hung = True
            await asyncio.sleep(cluster.rng.choice([0.3, 1.2, 4.0]))
            if turn % 2:
                await cluster.restart_controller(cluster.current_leader())
            worker.is_hung = False
            await asyncio.sleep(cluster.rng.uniform(1, 6))

    cluster.schedule_action(act)
    return cluster


def take_unanswered_stop_commands_for_done(patch: Patch) -> None:
    """Tasks that were sent a stop command are taken for stopped when no answer arrives."""
    send_stop_command = DirectCommandSender._send_stop_command

    async def remove_if_unanswered(self: DirectCommandSender, machine: Machine, concurrency: asyncio.Semaphore) -> None:
        stopping = [
            p
            for p in machine.placements.values()
            if p.stop_requested_at is not None and p.phase == PlacementPhase.CONFIRMED
        ]
        sequence = machine.sequence
        await send_stop_command(self, machine, concurrency)
        if machine.sequence == sequence:
            for placement in stopping:
                self.cluster_state.remove_placement(placement, monotonic_now())

    patch.setattr(DirectCommandSender, "_send_stop_command", remove_if_unanswered)


def reuse_attempts(patch: Patch) -> None:
    """All starts by a leader have the same attempt, so a late stop command stops the replacement of its task."""
    patch.setattr(ClusterState, "allocate_attempt", lambda self: self.term << 28)


def test_late_commands_stop_and_start_only_requested_tasks() -> None:
    stop_count = 0
    for seed in range(8100, 8103):
        cluster = cluster_with_late_commands(seed)
        raise_first_failure(cluster.run(length_s=100, job_count=30))
        assert isinstance(cluster, PreemptingGangsCluster)
        stop_count += cluster.stop_count
    assert stop_count > 30


# Each with the rule that it breaks, and the first of the four seeds that it is run with.
LATE_COMMAND_VARIANTS: list[tuple[Variant, str, int]] = [
    (take_unanswered_stop_commands_for_done, "quota", 8111),
    (reuse_attempts, "stopped_for_nothing", 8104),
    (reuse_previous_term, "used_twice", 8100),
]


@pytest.mark.parametrize(
    ("variant", "rule", "first_seed"), LATE_COMMAND_VARIANTS, ids=lambda v: getattr(v, "__name__", None)
)
def test_late_commands_catch(variant: Variant, rule: str, first_seed: int, monkeypatch: Patch) -> None:
    variant(monkeypatch)
    assert is_caught(cluster_with_late_commands, range(first_seed, first_seed + 4), rule, 100, 30)


# -- heartbeats that are replayed to the next leader -------------------------------------------------


def cluster_with_replayed_heartbeats(seed: int) -> CheckedLongTaskCluster:
    """Old heartbeats, also of earlier incarnations, reach all controllers as a term begins, before current ones."""
    cluster = CheckedLongTaskCluster(seed)
    cluster.max_tasks, cluster.task_duration_s = 8, 12.0

    async def act(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        recorded_heartbeats: list[bytes] = []
        cluster.recorded_heartbeats = recorded_heartbeats
        for turn in range(6):
            await asyncio.sleep(cluster.rng.uniform(2, 6))
            worker = cluster.rng.choice(workers_by_name(cluster))
            worker.is_hung = turn % 2 == 0
            previous_term = current_term(cluster)
            restarting = cluster.spawn(cluster.restart_controller(cluster.current_leader()))
            # These machines send no heartbeats until the replayed ones have arrived.
            hung = workers_by_name(cluster) if turn % 3 else []
            while current_term(cluster) <= previous_term:
                for hung_worker in hung:
                    hung_worker.is_hung = True
                await asyncio.sleep(0.005)
            for delay_s in (0.0, 0.05, 0.3, 1.5):
                await asyncio.sleep(delay_s)
                await deliver_to_all_controllers(
                    cluster,
                    recorded_heartbeats[-8:]
                    + cluster.rng.sample(recorded_heartbeats, min(len(recorded_heartbeats), 12)),
                )
            for hung_worker in [*hung, worker]:
                hung_worker.is_hung = False
            await asyncio.wait([restarting])
            # Replay once more after the new leader has acted.
            await asyncio.sleep(cluster.rng.uniform(1, 8))
            await deliver_to_all_controllers(
                cluster, cluster.rng.sample(recorded_heartbeats, min(len(recorded_heartbeats), 20))
            )

    cluster.schedule_action(act)
    return cluster


def ignore_heartbeat_order(patch: Patch) -> None:
    """The heartbeat that arrives last is taken for the newest."""
    apply_heartbeat = HeartbeatReconciler.apply_heartbeat

    def apply_in_any_order(self: HeartbeatReconciler, heartbeat: wire.Heartbeat, now: Any) -> Machine | None:
        machine = self.cluster_state.machines.get(heartbeat.machine_name)
        if machine is not None:
            machine.sequence = machine.expired_incarnation = 0
            machine.incarnation = min(machine.incarnation, heartbeat.incarnation)
        return apply_heartbeat(self, heartbeat, now)

    patch.setattr(HeartbeatReconciler, "apply_heartbeat", apply_in_any_order)


def test_heartbeats_replayed_to_next_leader_change_nothing() -> None:
    for seed in range(8130, 8133):
        cluster = cluster_with_replayed_heartbeats(seed)
        raise_first_failure(cluster.run(length_s=100, job_count=22))
        assert max(cluster.leader_by_term) >= 5
        assert not cluster.unfinished_jobs(before=40), cluster.unfinished_jobs(before=40)


@pytest.mark.parametrize("variant", [accept_heartbeats_of_any_term, ignore_heartbeat_order])
def test_heartbeats_replayed_to_next_leader_catch(variant: Variant, monkeypatch: Patch) -> None:
    variant(monkeypatch)
    assert is_caught(cluster_with_replayed_heartbeats, range(8130, 8160), "", 100, 22)


# -- new machines that boot fast, slow writes, and a leader that restarts -----------------------------


def cluster_with_fast_boots(seed: int) -> CheckedLongTaskCluster:
    """A leader restarts right after a task began on a new machine, which sends its successor no heartbeat at first."""
    cluster = CheckedLongTaskCluster(seed)
    cluster.max_tasks, cluster.task_duration_s = 10, 14.0

    async def act(cluster: SimulatedCluster) -> None:
        cluster.cloud.boot_factor, cluster.cloud.boot_failure_probability = 0.3, 0.0
        await asyncio.sleep(8)
        for turn in range(7):
            cluster.cloud.listing_lag_s = cluster.rng.choice([0.5, 2.0, 4.0])
            cluster.late_write_probability = 0.5 if turn % 2 else 0.0
            cluster.max_store_delay_s = 0.0 if turn % 2 else 0.9
            await fail_half_of_zone(cluster, ZONES[turn % 2])
            new_workers: list[SimulatedWorker] = []
            deadline = virtual_now() + 6.0
            while not new_workers and virtual_now() < deadline:
                await asyncio.sleep(0.01)
                new_workers = [
                    w for w in workers_by_name(cluster) if w.tasks and virtual_now() - w.machine.rented_at < 6.0
                ]
            await asyncio.sleep(cluster.rng.choice([0.0, 0.05, 0.4]))
            for worker in new_workers:
                worker.is_hung = True
            await cluster.restart_controller(cluster.current_leader())
            await asyncio.sleep(4.5)
            for worker in new_workers:
                worker.is_hung = False
            cluster.late_write_probability = cluster.max_store_delay_s = 0.0
            await asyncio.sleep(2)

    cluster.schedule_action(act)
    return cluster


def send_starts_before_they_are_recorded(patch: Patch) -> None:
    collect_commands = ClusterState.collect_commands

    def commit_and_collect_commands(
        self: ClusterState, machine: Machine, now: Any, may_run: bool
    ) -> list[dict[str, Any]]:
        for placement in machine.placements.values():
            if placement.phase == PlacementPhase.PLANNED:
                placement.phase = PlacementPhase.COMMITTED
        return collect_commands(self, machine, now, may_run)

    patch.setattr(ClusterState, "collect_commands", commit_and_collect_commands)
    patch.setattr("roseweir.cloud.controller.plan_scale_in", lambda cluster_state, pass_result, now, kept: [])


def expire_unlisted_machines(patch: Patch) -> None:
    """A machine that the cloud does not list yet is taken for gone, with the tasks on it."""
    reconcile = MachineInventory.reconcile

    def reconcile_and_expire_unlisted(self: MachineInventory, listed: list[Any], now: Any) -> None:
        reconcile(self, listed, now)
        listed_names = {entry.name for entry in listed}
        for machine in list(self.cluster_state.machines.values()):
            if machine.name not in listed_names:
                self.cluster_state.expire_machine(machine, now, "not listed")

    patch.setattr(MachineInventory, "reconcile", reconcile_and_expire_unlisted)


def test_next_leader_recovers_tasks_on_new_machines() -> None:
    for seed in range(8160, 8163):
        cluster = cluster_with_fast_boots(seed)
        raise_first_failure(cluster.run(length_s=110, job_count=22))
        assert max(cluster.leader_by_term) >= 5 and cluster.start_count > 40


@pytest.mark.parametrize("variant", [send_starts_before_they_are_recorded, expire_unlisted_machines])
def test_tasks_on_new_machines_catch(variant: Variant, monkeypatch: Patch) -> None:
    variant(monkeypatch)
    assert is_caught(cluster_with_fast_boots, range(8160, 8190), "ran_twice", 110, 22)
