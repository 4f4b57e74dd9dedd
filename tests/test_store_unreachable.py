"""How long tasks of a cancelled job may run on when controllers lose the key-value store.

A leader is refused alone before an outage for all, is partitioned, or asks its peers for acknowledged cancellations.
"""

import asyncio
from collections.abc import Callable
from datetime import datetime
from random import Random
from typing import Any
from weakref import WeakKeyDictionary

import pytest

from roseweir.clock import monotonic_now
from roseweir.controller.leader import LeaderTerm
from roseweir.http import Reply, Response
from roseweir.kv_store import KeyValueStoreClient
from roseweir.leader_election.election import LeaderLease
from roseweir.leader_election.leader_search import LeaderSearch
from roseweir.scheduler import cluster_state as cluster_state_module
from roseweir.submissions.jobs import LIVE_JOB_PREFIX
from roseweir.workers.answer_authority import AnswerAuthority
from tests.simulation.cluster import SimulatedCluster, SimulatedWorker, raise_first_failure, virtual_now
from tests.simulation.fault_combinations import LongTaskCluster, is_caught, worker_params

Patch = pytest.MonkeyPatch

# -- the leader is refused alone, cancels are confirmed, then an outage for all ------------------


def refusal_then_outage_cluster(seed: int) -> tuple[LongTaskCluster, list[float]]:
    """The store refuses the leader alone, jobs are cancelled through other controllers, then a long outage hits all."""
    rng = Random(seed)
    lease_s = rng.choice([4.0, 6.0, 9.0])
    cancel_deadline_s = lease_s + rng.choice([4.0, 8.0, 14.0])
    refused_alone_s = rng.uniform(0.3, 2.3) if seed % 3 else rng.uniform(3.0, 9.0)
    cluster = LongTaskCluster(seed, params_override=worker_params(lease_s, cancel_deadline_s))
    outage_durations_s: list[float] = []

    async def refuse_then_outage(cluster: SimulatedCluster) -> None:
        assert isinstance(cluster, LongTaskCluster)
        await asyncio.sleep(24)
        node = cluster.current_leader()
        assert node.service is not None and node.service.leader_term is not None
        if seed % 2 == 0:
            node.network_faults["peers"] = (
                "refused"  # otherwise its peers report the cancels, or a successor if one is elected in time
            )
        # Answers in flight when the store begins to refuse arrive late.
        cluster.max_store_delay_s = rng.choice([0.0, 1.0, 2.9, 2.9])
        await asyncio.sleep(3)
        cluster.kv_store.refused_controllers.add(node.name)
        started_at = virtual_now()
        running_jobs = sorted({task.job_id for _, task in cluster.active_tasks()})
        leader_term = node.service.leader_term
        for job_id in running_jobs[::2]:
            cluster.spawn(cluster.cancel_via_others(job_id, node.name))
        await asyncio.sleep(refused_alone_s)
        if leader_term is not None:
            jobs = leader_term.cluster_state.jobs
            cluster.tested_case_count = sum(
                1 for j in running_jobs[::2] if j in cluster.cancelled_at and j in jobs and not jobs[j].final_state
            )
        cluster.max_store_delay_s = 0.0
        cluster.kv_store.is_down = True
        await asyncio.sleep(cancel_deadline_s * 1.5)
        cluster.kv_store.end_outage()
        cluster.kv_store.refused_controllers.clear()
        node.network_faults.clear()
        outage_durations_s.append(virtual_now() - started_at)

    cluster.schedule_action(refuse_then_outage)
    return cluster, outage_durations_s


OUTAGE_SEEDS = range(7700, 7712)


def test_tasks_cancelled_between_refusal_and_outage_stop_in_time() -> None:
    """The last answer leaves within the stale-cancellation window of a read that was sent before the cancel, and the
    worker's lease runs from a heartbeat sent before that answer: two seconds are left of `cancel_s`."""
    unread_cancellations = 0
    for seed in OUTAGE_SEEDS:
        cluster, outage_durations_s = refusal_then_outage_cluster(seed)
        raise_first_failure(cluster.run(length_s=80, job_count=14))
        assert outage_durations_s and outage_durations_s[0] > cluster.cancel_deadline_s, (
            "no outage longer than cancel_s"
        )
        unread_cancellations += cluster.tested_case_count
        for job_id, last_running_at in cluster.last_active_at.items():
            running_after_cancel_s = last_running_at - cluster.cancelled_at[job_id]
            assert running_after_cancel_s <= cluster.cancel_deadline_s - 2.0 + 0.1, (
                f"seed {seed}: {job_id} was running {running_after_cancel_s:.2f} s after its cancel"
            )
    assert unread_cancellations >= 5, "every leader read the cancels in time"


def extend_stale_cancellation_window(patch: Patch) -> None:
    """The stale-cancellation window is one worker lease too long."""
    original = cluster_state_module.stale_cancellation_window
    patch.setattr(
        cluster_state_module,
        "stale_cancellation_window",
        lambda settings: original(settings) + settings.params.workers.lease_duration,
    )


def date_reads_by_their_answer(patch: Patch) -> None:
    """A read of cancellations is dated by the arrival of its answer instead of by its sending."""
    original = KeyValueStoreClient.watch
    answered_at_by_store: WeakKeyDictionary[KeyValueStoreClient, datetime] = WeakKeyDictionary()
    store_by_authority: WeakKeyDictionary[AnswerAuthority, KeyValueStoreClient] = WeakKeyDictionary()

    async def watch(self: KeyValueStoreClient, prefix: str, *args: Any, **options: Any) -> Any:
        answer = await original(self, prefix, *args, **options)
        if prefix == LIVE_JOB_PREFIX and answer is not None:
            answered_at_by_store[self] = monotonic_now()
        return answer

    def may_answer(self: AnswerAuthority, at: datetime) -> bool:
        answered_at = answered_at_by_store.get(store_by_authority[self], self.cancellations_read_at)
        return (
            at - max(self.cancellations_read_at, answered_at) < self.cluster_state.stale_cancellation_window
            and not self.leader_lease.ended.is_set()
        )

    def start_term(self: LeaderTerm, *args: Any, **options: Any) -> None:
        original_init(self, *args, **options)
        store_by_authority[self.heartbeat_handler.authority] = self.kv_store

    original_init = LeaderTerm.__init__
    patch.setattr(LeaderTerm, "__init__", start_term)
    patch.setattr(KeyValueStoreClient, "watch", watch)
    patch.setattr(AnswerAuthority, "may_answer", may_answer)


@pytest.mark.parametrize(
    "variant", [extend_stale_cancellation_window, date_reads_by_their_answer], ids=lambda b: b.__name__
)
def test_catches_leader_that_answers_too_long(variant: Callable[[Patch], None], monkeypatch: Patch) -> None:
    variant(monkeypatch)
    assert is_caught(lambda seed: refusal_then_outage_cluster(seed)[0], range(7736, 7760), "late")


def test_no_task_starts_on_renewed_lease_before_cancellations_are_read(monkeypatch: Patch) -> None:
    """The lease is renewed as the outage ends; jobs cancelled through other controllers before it must not start."""

    def run_outage() -> tuple[list[str], bool]:
        cluster = LongTaskCluster(7720, params_override=worker_params(6.0, 24.0))
        cluster.max_tasks = 3
        started: list[str] = []
        renewed: list[bool] = []
        original_on_run_command = cluster.on_run_command

        def on_run_command(worker: SimulatedWorker, key: tuple[str, int]) -> None:
            original_on_run_command(worker, key)
            if key[0] in cluster.cancelled_at:
                started.append(f"{key[0]}/{key[1]}")

        cluster.on_run_command = on_run_command  # type: ignore[method-assign]

        async def outage_and_renewal(cluster: SimulatedCluster) -> None:
            assert isinstance(cluster, LongTaskCluster)
            await asyncio.sleep(28.6)
            node = cluster.current_leader()
            assert node.service is not None and node.service.leader_term is not None
            leader_term = node.service.leader_term
            handle, is_live_watch_delayed = cluster.kv_store.handle, [False]

            async def delay_live_watch(name: str, method: str, path: str, body: object) -> Reply:
                answer = await handle(name, method, path, body)
                if is_live_watch_delayed[0] and path.startswith("/watch?prefix=live"):
                    await asyncio.sleep(1.5)
                return answer

            cluster.kv_store.handle = delay_live_watch  # type: ignore[method-assign, assignment]
            node.network_faults["peers"] = "refused"  # otherwise its peers report the cancels
            # Placements made now are recorded, and cannot be sent: no heartbeats arrive.
            node.network_faults["workers"] = "refused"
            earlier_jobs = set(cluster.jobs)
            for _ in range(6):
                cluster.spawn(cluster.run_user())
            await asyncio.sleep(0.7)
            cluster.kv_store.refused_controllers.add(node.name)
            placed_jobs = {
                placement.run.spec.id
                for machine in leader_term.cluster_state.machines.values()
                for placement in machine.placements.values()
            }
            for job_id in sorted(placed_jobs - earlier_jobs):
                cluster.spawn(cluster.cancel_via_others(job_id, node.name))
            await asyncio.sleep(0.8)
            cluster.kv_store.is_down = True
            await asyncio.sleep(1.6)
            del node.network_faults["workers"]
            await asyncio.sleep(2.6)
            is_live_watch_delayed[0] = True  # the watch is answered later than the renewal
            cluster.kv_store.end_outage()
            cluster.kv_store.refused_controllers.clear()
            await asyncio.sleep(1.2)
            renewed.append(leader_term.leader_lease.is_valid())

        cluster.schedule_action(outage_and_renewal)
        raise_first_failure(cluster.run(length_s=50, job_count=2))
        return started, bool(renewed and renewed[0])

    started, renewed = run_outage()
    assert renewed and started == []
    monkeypatch.setattr(AnswerAuthority, "may_start_tasks", lambda self, at: self.leader_lease.is_valid())
    started, _ = run_outage()
    assert started, "the variant that starts tasks without a read was not caught"


# -- a leader partitioned from store and peers, but not from workers and users --------------------


def partitioned_leader_cluster(seed: int) -> LongTaskCluster:
    """The leader reaches only its workers and users; jobs are cancelled through its successor."""
    cluster = LongTaskCluster(seed)

    async def partition_leader(cluster: SimulatedCluster) -> None:
        assert isinstance(cluster, LongTaskCluster)
        await asyncio.sleep(24)
        node = cluster.current_leader()
        assert node.service is not None and node.service.leader_term is not None
        old_term = node.service.leader_term
        cluster.spawn(cluster.lose_network(node, ["state", "peers"], 35.0))
        while not any(
            n is not node and n.service and n.service.leader_term and n.service.leader_term.is_ready
            for n in cluster.controllers
        ):
            await asyncio.sleep(0.02)
        for job_id in sorted({task.job_id for _, task in cluster.active_tasks()}):
            await cluster.cancel_via_others(job_id, node.name)
            run = old_term.cluster_state.jobs.get(job_id)
            cluster.tested_case_count += (
                old_term.leader_lease.end_reason == "" and run is not None and not run.final_state
            )

    cluster.schedule_action(partition_leader)
    return cluster


def test_cancel_via_new_leader_stops_tasks_of_partitioned_leader() -> None:
    unread_cancellations = 0
    for seed in range(7730, 7738):
        cluster = partitioned_leader_cluster(seed)
        raise_first_failure(cluster.run(length_s=70, job_count=14))
        unread_cancellations += cluster.tested_case_count
        for job_id, last_running_at in cluster.last_active_at.items():
            assert last_running_at - cluster.cancelled_at[job_id] <= cluster.cancel_deadline_s - 1.9, (
                f"seed {seed}: {job_id}"
            )
    assert unread_cancellations >= 10, "the old leader's term had ended before every cancel"


def never_end_leader_term(patch: Patch) -> None:
    patch.setattr(AnswerAuthority, "may_answer", lambda self, at: True)
    patch.setattr(LeaderLease, "end", lambda self, reason: None)
    patch.setattr(LeaderSearch, "should_redirect", lambda self, *args: False)


def test_catches_partitioned_leader_that_keeps_answering(monkeypatch: Patch) -> None:
    never_end_leader_term(monkeypatch)
    assert is_caught(partitioned_leader_cluster, range(7730, 7745), "ran_cancelled", 70)


class ZonePartitionCluster(LongTaskCluster):
    """Workers of other zones cannot reach one controller."""

    isolated_controller = ""

    async def deliver_heartbeat(
        self, worker: SimulatedWorker, controller_index: int, body: dict[str, Any]
    ) -> Response | None:
        controller = self.controllers[controller_index]
        if controller.name == self.isolated_controller and worker.machine.zone != controller.zone:
            await asyncio.sleep(4.0)
            return None
        return await super().deliver_heartbeat(worker, controller_index, body)


def refused_renewals_cluster(seed: int) -> LongTaskCluster:
    """In a partitioned zone the store refuses the leader's writes and renewals; reads and heartbeats still succeed."""
    cluster = ZonePartitionCluster(seed, controller_count=2, scale=3)

    async def refuse_writes(cluster: SimulatedCluster) -> None:
        assert isinstance(cluster, ZonePartitionCluster)
        await asyncio.sleep(24)
        node = cluster.current_leader()
        original_handle = cluster.kv_store.handle

        async def handle(name: str, method: str, path: str, body: object) -> Reply:
            if name == node.name and method != "GET":
                return Reply(429, b"{}")
            return await original_handle(name, method, path, body)

        cluster.kv_store.handle = handle  # type: ignore[method-assign, assignment]
        node.network_faults["peers"] = "refused"
        cluster.partitioned_zones.add(node.zone)
        cluster.isolated_controller = node.name
        refused_since = virtual_now()
        while node.service is not None and node.service.leader_term is not None and virtual_now() < refused_since + 45:
            await asyncio.sleep(0.1)
        cluster.tested_case_count = sum(node.zone == worker.machine.zone for worker in cluster.workers.values())

    cluster.schedule_action(refuse_writes)
    return cluster


def answer_while_reads_are_fresh(patch: Patch) -> None:
    patch.setattr(
        AnswerAuthority,
        "may_answer",
        lambda self, at: (
            at - self.cancellations_read_at < self.cluster_state.stale_cancellation_window
            and not self.leader_lease.ended.is_set()
        ),
    )


@pytest.mark.parametrize("is_broken", [False, True])
def test_leader_that_cannot_renew_its_lease_keeps_no_task_too_long(is_broken: bool, monkeypatch: Patch) -> None:
    # Returning silent machines to the cloud would prove that their tasks have stopped.
    monkeypatch.setattr("roseweir.cloud.controller.plan_scale_in", lambda cluster_state, left, at, kept: [])
    # As if no redirected worker found another leader, so that only the time bound ends the tasks.
    monkeypatch.setattr(LeaderSearch, "has_found_leader", lambda self, at: False)
    if is_broken:
        answer_while_reads_are_fresh(monkeypatch)
    clusters = [refused_renewals_cluster(seed).run(length_s=85, job_count=14) for seed in range(7740, 7744)]
    if is_broken:
        assert any("ran_twice" in str(error) for cluster in clusters for error in cluster.rule_violations)
        return
    for cluster in clusters:
        raise_first_failure(cluster)
    assert all(cluster.tested_case_count for cluster in clusters if isinstance(cluster, LongTaskCluster))


# -- acknowledged cancellations of the other controllers ---------------------------------------------


def full_outage_cluster(seed: int, scenario: str) -> tuple[LongTaskCluster, dict[str, Any]]:
    """The store refuses the leader alone while jobs may be cancelled via its peers, then is down for 45 s."""
    cluster = LongTaskCluster(seed, restart_delay_range_s=(0.1, 0.1))
    observed: dict[str, Any] = {}

    async def run_outage(cluster: SimulatedCluster) -> None:
        assert isinstance(cluster, LongTaskCluster)
        await asyncio.sleep(24)
        node = cluster.current_leader()
        peers = [n for n in cluster.controllers if n is not node]
        running_jobs = sorted({task.job_id for _, task in cluster.active_tasks()})
        observed["before"] = {name: worker.incarnation for name, worker in cluster.workers.items()}
        cluster.kv_store.refused_controllers.add(node.name)
        await asyncio.sleep(0.8)
        for job_id in running_jobs[::2] if scenario != "no cancels" else ():
            await cluster.cancel_via_others(job_id, node.name)
        observed["cancelled"] = len(cluster.cancelled_at)
        await asyncio.sleep(0.2)
        cluster.kv_store.is_down = True
        if scenario == "restarted":
            for peer in peers:
                cluster.spawn(cluster.restart_controller(peer))
        elif scenario == "partitioned":
            peers[0].network_faults["peers"] = "silent"
        elif scenario == "paused":
            peers[0].pause_gate.pause()
        await asyncio.sleep(45)
        observed["after"] = {name: worker.incarnation for name, worker in cluster.workers.items()}
        observed["still_running"] = sorted(
            {task.job_id for _, task in cluster.active_tasks()} & set(cluster.cancelled_at)
        )
        for peer in peers:
            peer.network_faults.clear()
            peer.pause_gate.resume()
        cluster.kv_store.end_outage()
        cluster.kv_store.refused_controllers.clear()

    cluster.schedule_action(run_outage)
    cluster.task_duration_s = 200.0
    return cluster, observed


@pytest.mark.parametrize("scenario", ["no cancels", "cancels"])
def test_acknowledged_cancellations_of_all_peers_keep_leases_in_outage(
    scenario: str,
) -> None:
    for seed in range(7850, 7853):
        cluster, observed = full_outage_cluster(seed, scenario)
        raise_first_failure(cluster.run(length_s=85, job_count=10))
        assert observed["after"] == observed["before"] and not observed["still_running"], "worker leases expired"
        assert (observed["cancelled"] > 0) == (scenario == "cancels")
        for job_id, last_running_at in cluster.last_active_at.items():
            assert last_running_at - cluster.cancelled_at[job_id] < 7.0, "its tasks ran until their lease expired"


@pytest.mark.parametrize("scenario", ["restarted", "partitioned", "paused"])
def test_restarted_unreachable_or_paused_peer_confirms_nothing(scenario: str) -> None:
    for seed in range(7850, 7853):
        cluster, observed = full_outage_cluster(seed, scenario)
        raise_first_failure(cluster.run(length_s=85, job_count=10))
        assert observed["cancelled"] > 0 and not observed["still_running"]
        assert all(observed["after"].get(name, 0) != incarnation for name, incarnation in observed["before"].items())


def answer_for_earlier_process(patch: Patch) -> None:
    """A restarted controller answers for a span in which an earlier process may have acknowledged cancellations."""
    from roseweir.submissions.terminal_state_cache import TerminalStateCache

    patch.setattr(
        TerminalStateCache,
        "acknowledged_since",
        lambda self, span: [
            job_id
            for acknowledged_at, job_id in self._acknowledged_cancellations
            if acknowledged_at >= monotonic_now() - span
        ],
    )


def accept_partial_peer_answers(patch: Patch) -> None:
    """Counts the answers of the reachable peers as the answer of all."""
    from roseweir.membership.messages import AcknowledgedCancellations
    from roseweir.membership.peers import PeerClients

    original_fetch = PeerClients.fetch_acknowledged_cancellations

    async def fetch_from_reachable(self: PeerClients, span: Any) -> AcknowledgedCancellations | None:
        peers, merged = self._transports, AcknowledgedCancellations(0, [])
        for name, peer in peers.items():
            self._transports = {name: peer}
            answer = await original_fetch(self, span)
            if answer is not None:
                merged = AcknowledgedCancellations(
                    max(merged.term, answer.term), (merged.job_ids or []) + (answer.job_ids or [])
                )
        self._transports = peers
        return merged

    patch.setattr(PeerClients, "fetch_acknowledged_cancellations", fetch_from_reachable)


@pytest.mark.parametrize(
    ("variant", "scenario"),
    [
        (answer_for_earlier_process, "restarted"),
        (accept_partial_peer_answers, "partitioned"),
        (accept_partial_peer_answers, "paused"),
    ],
)
def test_catches_peer_answers_that_prove_nothing(
    variant: Callable[[Patch], None], scenario: str, monkeypatch: Patch
) -> None:
    variant(monkeypatch)
    assert is_caught(lambda seed: full_outage_cluster(seed, scenario)[0], range(7850, 7860), "ran_cancelled", 85, 10)


def slow_store_cluster(seed: int) -> tuple[LongTaskCluster, list[dict[str, int]]]:
    """The store commits every request, but each answer takes longer than the leader waits for a renewal."""
    cluster = LongTaskCluster(seed)
    incarnations: list[dict[str, int]] = []

    async def slow_down_store(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(24)
        original_handle = cluster.kv_store.handle

        async def handle(name: str, method: str, path: str, body: object) -> Reply:
            answer = await original_handle(name, method, path, body)
            await asyncio.sleep(1.5)
            return answer

        incarnations.append({name: worker.incarnation for name, worker in cluster.workers.items()})
        cluster.kv_store.handle = handle  # type: ignore[method-assign, assignment]
        await asyncio.sleep(40)
        cluster.kv_store.handle = original_handle  # type: ignore[method-assign]
        incarnations.append({name: worker.incarnation for name, worker in cluster.workers.items()})

    cluster.schedule_action(slow_down_store)
    return cluster, incarnations


def test_leader_with_late_renewal_answers_relies_on_its_peers() -> None:
    for seed in range(7870, 7873):
        cluster, incarnations = slow_store_cluster(seed)
        raise_first_failure(cluster.run(length_s=90, job_count=10))
        before, after = incarnations
        assert before and all(after.get(name) == incarnation for name, incarnation in before.items()), (
            "worker leases expired"
        )
