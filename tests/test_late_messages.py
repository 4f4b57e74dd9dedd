"""Messages that arrive late: stale heartbeats, overtaken heartbeats, delayed transactions, a cancel as a job ends."""

import asyncio
from collections.abc import Callable
from datetime import datetime
from random import Random
from typing import Any

import pytest

from roseweir.clock import seconds
from roseweir.controller.live_jobs import LiveJobWatcher
from roseweir.http import Reply, Unreachable
from roseweir.kv_store import KeyValueStoreClient, StoreError
from roseweir.kv_store.client import put
from roseweir.kv_store.fenced_writes import FencedWriter
from roseweir.kv_store.transaction_limits import TransactionLimits
from roseweir.leader_election.messages import LEADER_KEY
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.heartbeat_reconciliation import HeartbeatReconciler
from roseweir.scheduler.lease_renewal import LeaseRenewal, decide_lease_renewal
from roseweir.scheduler.scheduling_pass import run_scheduling_pass
from roseweir.submissions.jobs import COMPLETED_JOB_PREFIX
from roseweir.workers import messages as wire
from tests.simulation import virtual_time
from tests.simulation.cluster import (
    LEASE_DURATION_S,
    SimulatedCluster,
    SimulatedKeyValueStore,
    make_settings,
    raise_first_failure,
)
from tests.simulation.fault_combinations import LongTaskCluster, is_caught
from tests.simulation.job_specs import make_job_spec as job
from tests.test_scheduler import NOW, FakeWorker, commit_placements, make_cluster_state

Patch = pytest.MonkeyPatch

# -- stale heartbeats, and probe responses that overtake heartbeats --------------------------------


class LeasedWorker:
    """A worker with its lease, and the heartbeats in flight between it and a cluster state."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.cluster_state = make_cluster_state()
        self.simulated_worker = FakeWorker(self.cluster_state, "i-1")
        self.lease_duration = seconds(LEASE_DURATION_S)
        self.now = NOW
        self.incarnation, self.renewed_at = 1, NOW
        self.heartbeats_in_flight: list[tuple[datetime, wire.Heartbeat]] = []
        self.sent_heartbeats: list[wire.Heartbeat] = []
        self.overtaken_count = self.duplicate_count = self.lease_expiry_count = 0

    def make_heartbeat(self) -> wire.Heartbeat:
        return self.simulated_worker.make_heartbeat(incarnation=self.incarnation)

    def place(self) -> None:
        if not self.simulated_worker.machine.placements and self.simulated_worker.machine.has_acknowledged_term:
            if not any(run.pending_count for run in self.cluster_state.jobs.values()):
                self.cluster_state.add_job(job(len(self.cluster_state.jobs) + 1, cpus=8.0), 1)
            run_scheduling_pass(self.cluster_state, self.now)
            commit_placements(self.cluster_state)

    def deliver(self, sent_at: datetime, heartbeat: wire.Heartbeat, is_duplicate: bool = False) -> None:
        machine = HeartbeatReconciler(self.cluster_state).apply_heartbeat(heartbeat, self.now)
        commands: list[dict[str, Any]] = []
        if machine is None:
            known_machine = self.cluster_state.machines.get(heartbeat.machine_name)
            if (
                known_machine is not None
                and heartbeat.sequence <= known_machine.sequence
                and heartbeat.incarnation == known_machine.incarnation
                and not is_duplicate
            ):
                self.overtaken_count += 1
            if decide_lease_renewal(self.cluster_state, heartbeat, self.now) is not LeaseRenewal.RENEWED:
                return
        else:
            commands = self.cluster_state.collect_commands(machine, self.now, may_start_tasks=True)
        if is_duplicate or heartbeat.incarnation != self.incarnation or self.now - sent_at > seconds(4):
            return  # the worker timed out, restarted, or does not wait for an answer to a duplicate
        self.renewed_at = max(self.renewed_at, sent_at)
        for command in commands:
            if command["verb"] == "run":
                self.simulated_worker.tasks[command["parcel"], command["try"]] = wire.TaskStatus(
                    command["parcel"], command["try"], "running"
                )

    def step(self) -> None:
        rng = self.rng
        self.now += seconds(rng.choice([0.05, 0.3, 0.3, 1.0, 4.0]))
        if self.now - self.renewed_at > self.lease_duration:
            self.incarnation, self.renewed_at = self.incarnation + 1, self.now
            self.simulated_worker.tasks.clear()
            self.lease_expiry_count += 1
        event_draw = rng.random()
        if event_draw < 0.4 and len(self.heartbeats_in_flight) < 2:
            heartbeat = self.make_heartbeat()
            self.heartbeats_in_flight.append((self.now, heartbeat))
            self.sent_heartbeats.append(heartbeat)
        elif event_draw < 0.7 and self.heartbeats_in_flight:
            self.deliver(*self.heartbeats_in_flight.pop(0))
        elif event_draw < 0.8 and self.sent_heartbeats:
            self.duplicate_count += 1
            self.deliver(self.now, rng.choice(self.sent_heartbeats), is_duplicate=True)
        elif event_draw < 0.95 and "i-1" in self.cluster_state.machines:
            machine = self.simulated_worker.machine
            sequence_before = (machine.incarnation, machine.sequence)
            HeartbeatReconciler(self.cluster_state).apply_probe_response(
                self.make_heartbeat(), sequence_before, self.now
            )
        if "i-1" in self.cluster_state.machines:
            self.place()
        self.cluster_state.apply_timeouts(self.now)

    def check(self) -> None:
        """A task that the cluster state counts as gone has ended: its worker's lease, counted from sending, is over."""
        running_tasks = {task for task, _ in self.simulated_worker.tasks}
        if self.now - self.renewed_at <= self.lease_duration:
            placed_tasks = (
                {p.task_name for p in self.simulated_worker.machine.placements.values()} if running_tasks else set()
            )
            assert running_tasks <= placed_tasks, (
                f"{running_tasks - placed_tasks} runs for {self.renewed_at + self.lease_duration - self.now} more"
            )


def test_tasks_counted_as_gone_have_ended_when_heartbeats_are_overtaken() -> None:
    overtaken_count = duplicate_count = lease_expiry_count = 0
    for seed in range(150):
        worker = LeasedWorker(seed)
        for _ in range(120):
            worker.step()
            worker.check()
        overtaken_count, duplicate_count, lease_expiry_count = (
            overtaken_count + worker.overtaken_count,
            duplicate_count + worker.duplicate_count,
            lease_expiry_count + worker.lease_expiry_count,
        )
    assert overtaken_count > 100 and duplicate_count > 100 and lease_expiry_count > 100, (
        overtaken_count,
        duplicate_count,
        lease_expiry_count,
    )


def answer_without_recording_lease(patch: Patch) -> None:
    """Answers every stale heartbeat, without recording the lease that the answer renews."""

    def always_renew(cluster_state: ClusterState, heartbeat: wire.Heartbeat, at: datetime) -> LeaseRenewal:
        return LeaseRenewal.RENEWED

    for caller in (__name__, "roseweir.workers.handlers"):
        patch.setattr(f"{caller}.decide_lease_renewal", always_renew)


def test_catches_lease_renewal_that_is_not_recorded(monkeypatch: Patch) -> None:
    answer_without_recording_lease(monkeypatch)
    with pytest.raises(AssertionError, match="runs for"):
        for seed in range(150):
            worker = LeasedWorker(seed)
            for _ in range(120):
                worker.step()
                worker.check()


# -- transactions that commit late ------------------------------------------------------------------


class DelayedCommitStore:
    """A key-value store that leaves some transactions unanswered and commits them at a random later request."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.cluster = SimulatedCluster(seed, without_random_faults=True)
        self.simulated_store = SimulatedKeyValueStore(self.cluster)
        self.settings = make_settings(0).params.kv_store
        self.transaction_limits = TransactionLimits(self.settings)
        self.pending_transactions: list[dict[str, Any]] = []
        self.late_commit_count = 0

    async def get(self, key: str) -> Any:
        from roseweir.kv_store import Entry

        self.commit_some_pending()
        stored = self.simulated_store.keys.get(key)
        return None if stored is None else Entry(key, stored[0], stored[1])

    async def compare_and_swap(self, guards: list[tuple[str, int]], ops: list[dict[str, Any]]) -> int:
        from roseweir.kv_store import CompareFailed

        self.commit_some_pending()
        transaction = {"guards": [{"path": k, "stamp": v} for k, v in guards], "then": ops}
        outcome_draw = self.rng.random()
        if outcome_draw < 0.3:
            self.pending_transactions.append(transaction)
            raise Unreachable("not yet")
        answer = self.simulated_store.commit_transaction(transaction)
        if outcome_draw < 0.4:
            raise Unreachable("answer lost")
        if answer.status == 409:
            raise CompareFailed(answer.json()["failed"])
        return int(answer.json()["ledger"])

    def commit_some_pending(self, probability: float = 0.2) -> None:
        self.rng.shuffle(self.pending_transactions)
        while self.pending_transactions and self.rng.random() < probability:
            self.late_commit_count += (
                self.simulated_store.commit_transaction(self.pending_transactions.pop()).status == 200
            )

    def value(self, key: str) -> Any:
        stored = self.simulated_store.keys.get(key)
        return None if stored is None else stored[0]


async def _write_with_lost_answers(seed: int) -> tuple[int, int, list[str]]:
    """Writes and deletes keys while answers are lost; returns late commits, pending transactions and violations."""
    store = DelayedCommitStore(seed)
    store.simulated_store.commit_transaction({"guards": [], "then": [put(LEADER_KEY, {"term": 1})]})
    fenced_writer = FencedWriter(store, store.simulated_store.keys[LEADER_KEY][1], "test")  # type: ignore[arg-type]
    rng = Random(seed)
    violations: list[str] = []
    expected_values: dict[str, Any] = {}
    last_values: dict[str, Any] = {}  # last value of each key, kept after its deletion
    number = 0
    for _ in range(25):
        number += 1
        changes = {f"k{n}": {"n": number} if rng.random() < 0.6 else None for n in range(3) if rng.random() < 0.6}
        for _ in range(12):
            try:
                await fenced_writer.save(changes)
                break
            except (StoreError, Unreachable):
                continue
        else:
            return store.late_commit_count, 0, violations
        expected_values |= changes
        store.commit_some_pending(0.5)
        for key, value in expected_values.items():
            stored_value = store.value(key)
            last_value = last_values.setdefault(key, value)
            if value is not None:
                last_values[key] = value
                if stored_value != value:
                    violations.append(f"{key} is {stored_value} and not {value}")
            elif stored_value is not None and stored_value != last_value:
                violations.append(f"{key} was deleted, and is back as {stored_value}")
    # No pending transaction of the last leader may commit under the next, which can so delete what is left.
    store.simulated_store.commit_transaction({"guards": [], "then": [put(LEADER_KEY, {"term": 2})]})
    keys_after_takeover = dict(store.simulated_store.keys)
    for transaction in store.pending_transactions:
        store.simulated_store.commit_transaction(transaction)
    if store.simulated_store.keys != keys_after_takeover:
        violations.append("a write of the last leader was committed")
    return store.late_commit_count, len(store.pending_transactions), violations


def test_late_commits_do_not_override_a_leaders_answered_writes() -> None:
    late_commits = pending_count = 0
    for seed in range(200):
        late, pending, violations = virtual_time.run_in_virtual_time(_write_with_lost_answers(seed))
        late_commits, pending_count = late_commits + late, pending_count + pending
        assert not violations, f"seed {seed}: {violations}"
    assert late_commits > 200 and pending_count > 50


def test_catches_key_deleted_while_its_creation_is_pending(monkeypatch: Patch) -> None:
    original_init = FencedWriter.__init__

    class EmptySet(set[str]):
        def __contains__(self, key: object) -> bool:
            return False

    def start_without_created_keys(self: FencedWriter, *args: Any) -> None:
        original_init(self, *args)
        self._possibly_created_keys = EmptySet()

    monkeypatch.setattr(FencedWriter, "__init__", start_without_created_keys)
    assert any(
        "is back" in each
        for seed in range(200)
        for each in virtual_time.run_in_virtual_time(_write_with_lost_answers(seed))[2]
    )


def late_write_cluster(seed: int) -> SimulatedCluster:
    """Half of all transactions commit late while leaders are restarted."""
    cluster = LongTaskCluster(seed, restart_delay_range_s=(0.1, 1.0))
    cluster.max_tasks, cluster.task_duration_s = 12, 10.0

    async def restart_leaders(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        cluster.late_write_probability = 0.5
        for _ in range(9):
            await asyncio.sleep(cluster.rng.uniform(5, 9))
            await cluster.restart_controller(cluster.current_leader())
            # The next leader knows machines that send no heartbeat only from the stored log.
            for worker in cluster.workers.values():
                worker.is_hung = cluster.rng.random() < 0.4
            await asyncio.sleep(2.5)
            for worker in cluster.workers.values():
                worker.is_hung = False
        cluster.late_write_probability = 0.0

    cluster.schedule_action(restart_leaders)
    return cluster


def test_late_writes_during_leader_changes_break_no_rule() -> None:
    for seed in range(7750, 7756):
        cluster = late_write_cluster(seed)
        raise_first_failure(cluster.run(length_s=110, job_count=25))
        assert cluster.start_count > 20 and cluster.kv_store.keys["lead/term"][0] >= 4


def guard_by_leader_key_alone(patch: Patch) -> None:
    """The leader key alone guards segments and deltas, so an older write of the same term succeeds."""
    original_compare_and_swap = KeyValueStoreClient.compare_and_swap

    async def compare_leader_key_alone(
        self: KeyValueStoreClient, guards: list[tuple[str, int]], ops: list[dict[str, Any]]
    ) -> int:
        return await original_compare_and_swap(
            self, [guard for guard in guards if not guard[0].startswith("places/")], ops
        )

    patch.setattr(KeyValueStoreClient, "compare_and_swap", compare_leader_key_alone)


def test_catches_log_writes_without_version_guards(monkeypatch: Patch) -> None:
    guard_by_leader_key_alone(monkeypatch)
    monkeypatch.setattr("roseweir.cloud.controller.plan_scale_in", lambda cluster_state, left, at, kept: [])
    assert is_caught(late_write_cluster, range(7770, 7800), "ran_twice", 110, 25)


# -- a cancel as its job completes ------------------------------------------------------------------


@pytest.mark.parametrize("is_broken", [False, True])
def test_job_outcome_is_reported_as_stored(is_broken: bool, monkeypatch: Patch) -> None:
    """A cancel between the last task's end and the stored record must not release the steps that follow."""
    if is_broken:
        apply_live_job = LiveJobWatcher._apply_live_job

        def assume_completed(self: LiveJobWatcher, job_id: str, value: object, version: int, revision: int) -> None:
            run = self.cluster_state.jobs.get(job_id)
            if value is None and run is not None and run.is_complete and not run.final_state:
                from roseweir.submissions.jobs import completed_job

                self.log_writer.record_job_end(job_id, completed_job(run.spec, "done"))
                return
            apply_live_job(self, job_id, value, version, revision)

        monkeypatch.setattr(LiveJobWatcher, "_apply_live_job", assume_completed)
    raced_cancels = 0
    violations: list[str] = []
    for seed in range(7760, 7764):
        cluster = LongTaskCluster(seed)
        cluster.task_duration_s, cluster.max_tasks = 4.0, 2
        reported_ends: list[tuple[str, str]] = []

        async def cancel_completed_jobs(
            cluster: SimulatedCluster, reported_ends: list[tuple[str, str]] = reported_ends
        ) -> None:
            nonlocal raced_cancels
            assert isinstance(cluster, LongTaskCluster)
            original_handle = cluster.kv_store.handle
            await asyncio.sleep(6)
            node = cluster.current_leader()
            assert node.service is not None and node.service.leader_term is not None
            leader_term = node.service.leader_term
            original_on_job_ended = leader_term.log_writer.on_job_ended

            def record_end(
                job_id: str, state: str, original_on_job_ended: Callable[[str, str], None] = original_on_job_ended
            ) -> None:
                reported_ends.append((job_id, state))
                original_on_job_ended(job_id, state)

            leader_term.log_writer.on_job_ended = record_end

            async def handle(name: str, method: str, path: str, body: Any) -> Reply:
                if name == node.name and path == "/txn" and "over/" in str(body):
                    await asyncio.sleep(0.8)
                return await original_handle(name, method, path, body)

            cluster.kv_store.handle = handle  # type: ignore[method-assign, assignment]
            while True:
                await asyncio.sleep(0.05)
                for job_id, run in list(leader_term.cluster_state.jobs.items()):
                    if (
                        run.is_complete
                        and not run.final_state
                        and job_id not in cluster.cancel_requested
                        and cluster.rng.random() < 0.5
                    ):
                        raced_cancels += 1
                        cluster.spawn(cluster.cancel_via_others(job_id, node.name))

        cluster.schedule_action(cancel_completed_jobs)
        raise_first_failure(cluster.run(length_s=60, job_count=14))
        for job_id, reported_state in reported_ends:
            stored_state = cluster.kv_store.keys[COMPLETED_JOB_PREFIX + job_id][0]["state"]
            if reported_state != stored_state:
                violations.append(f"{job_id} is stored as {stored_state}, and was reported as {reported_state}")
        assert len(reported_ends) > 5
    assert raced_cancels > 5 and bool(violations) == is_broken, violations
