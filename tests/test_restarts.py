"""Controllers that restart within a fraction of a second, in every phase, once or repeatedly.

The new process has the name and address of the earlier one, and meets its lease, connections and requests in flight.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from roseweir.clock import monotonic_now
from roseweir.http import Reply
from roseweir.leader_election.election import LeaderElection, LeaderLease
from roseweir.leader_election.messages import LEADER_KEY
from roseweir.scheduler.model import PlacementPhase
from tests.simulation.cluster import (
    EXTENDED_FAULTS,
    SimulatedCluster,
    SimulatedController,
    raise_first_failure,
    virtual_now,
)

RESTART_DELAY_RANGE_S = (0.05, 1.0)


@pytest.mark.parametrize("seed", range(9200, 9212))
def test_runs_with_faults_and_fast_restarts_break_no_rule(seed: int) -> None:
    """Wall clocks differ by up to a second, and the difference changes at each start of a process."""
    faults = [*EXTENDED_FAULTS, "crash", "crash", "roll", "all", "all", "outage"]
    cluster = SimulatedCluster(
        seed, faults=faults, restart_delay_range_s=RESTART_DELAY_RANGE_S, max_clock_skew_s=1.0
    ).run()
    raise_first_failure(cluster)
    assert cluster.start_count > 20


def _has_placement_in(*phases: PlacementPhase) -> Callable[[SimulatedController], bool]:
    def has_placement(node: SimulatedController) -> bool:
        leader_term = None if node.service is None else node.service.leader_term
        runs = [] if leader_term is None else list(leader_term.cluster_state.jobs.values())
        return any(p.phase in phases for run in runs for p in run.placements.values())

    return has_placement


async def _leader_with_durable_starts(cluster: SimulatedCluster) -> SimulatedController:
    """Returns the leader at the step in which its starts are durable and the answer has not reached it."""
    delta_committed = asyncio.Event()
    state, original_commit = cluster.kv_store, cluster.kv_store.commit_transaction

    def commit_and_signal(body: Any) -> Reply:
        answer = original_commit(body)
        if answer.status == 200 and any(op.get("put", "").startswith("places/note-") for op in body["then"]):
            delta_committed.set()
        return answer

    state.commit_transaction = commit_and_signal  # type: ignore[method-assign]
    await delta_committed.wait()
    state.commit_transaction = original_commit  # type: ignore[method-assign]
    return cluster.current_leader()


def _leader_term_matches(condition: Callable[..., bool]) -> Callable[[SimulatedController], bool]:
    return lambda node: (
        node.service is not None and node.service.leader_term is not None and condition(node.service.leader_term)
    )


PHASES: dict[str, Callable[[SimulatedController], bool]] = {
    "elected": lambda node: node.service is not None and node.service.leader_election.leader_lease is not None,
    "restoring state": _leader_term_matches(lambda leader_term: not leader_term.is_ready),
    "ready": _leader_term_matches(lambda leader_term: leader_term.is_ready),
    "placing": _has_placement_in(PlacementPhase.PLANNED),
    "starts durable": lambda node: False,
    "commands sent": _has_placement_in(PlacementPhase.SENT),
    "submitting": lambda node: (
        node.service is not None and node.service.submission_handlers.group_commit._has_queued.is_set()
    ),
}


def _has_ready_leader(cluster: SimulatedCluster) -> bool:
    return any(
        node.service and node.service.leader_term and node.service.leader_term.is_ready for node in cluster.controllers
    )


@pytest.mark.parametrize("phase", PHASES)
@pytest.mark.parametrize("restart_count", [1, 10])
def test_controller_restarted_in_any_phase_recovers_without_lease_wait(phase: str, restart_count: int) -> None:
    cluster = SimulatedCluster(
        7200 + restart_count,
        without_random_faults=True,
        max_clock_skew_s=0.5,
        restart_delay_range_s=RESTART_DELAY_RANGE_S,
        scale=3,
    )
    restarted_nodes: list[str] = []
    leaderless_s: list[float] = []

    async def restart_in_phase(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(20)
        # A failover passes through every phase.
        cluster.spawn(cluster.restart_controller(cluster.current_leader()))
        await asyncio.sleep(0)
        for _ in range(restart_count):
            # Short phases last milliseconds: poll every millisecond, for 20 s at most.
            for _ in range(20000):
                node = next((node for node in cluster.controllers if PHASES[phase](node)), None)
                if phase == "starts durable":
                    node = await _leader_with_durable_starts(cluster)
                if node is not None:
                    break
                await asyncio.sleep(0.001)
            if node is None:
                break
            restarted_nodes.append(node.name)
            await cluster.restart_controller(node)
        ended_at = virtual_now()
        while not _has_ready_leader(cluster):
            await asyncio.sleep(0.01)
        leaderless_s.append(virtual_now() - ended_at)

    cluster.schedule_action(restart_in_phase)
    raise_first_failure(cluster.run(length_s=80, job_count=30))
    assert restarted_nodes
    # The new process does not wait for the lease of its earlier process, which lasts 2.5 s.
    assert leaderless_s and leaderless_s[0] < 1.5
    if restart_count == 1:
        assert all(worker.incarnation == 1 for worker in cluster.workers.values()), "a worker's lease expired"


@pytest.mark.parametrize("restarted", ["leader", "all"])
@pytest.mark.parametrize("restart_delay_s", [0.05, 0.2, 0.8])
def test_leader_is_ready_within_half_a_second_of_a_restart(restarted: str, restart_delay_s: float) -> None:
    """A restarted leader that waits for the 2.5 s lease of its earlier process redirects workers meanwhile."""
    cluster = SimulatedCluster(
        7210, without_random_faults=True, restart_delay_range_s=(restart_delay_s, restart_delay_s)
    )
    leaderless_s: list[float] = []
    terms: list[int] = []

    async def restart_controllers(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(25)
        leader = cluster.current_leader()
        ended_at = virtual_now()
        if restarted == "leader":
            await cluster.restart_controller(leader)
        else:
            await asyncio.gather(*(cluster.restart_controller(node) for node in cluster.controllers))
        while not _has_ready_leader(cluster):
            await asyncio.sleep(0.01)
        leaderless_s.append(virtual_now() - ended_at)
        terms.append(cluster.kv_store.keys["lead/term"][0])

    cluster.schedule_action(restart_controllers)
    raise_first_failure(cluster.run(length_s=60, job_count=20))
    assert leaderless_s[0] < restart_delay_s + 0.5 and terms == [2]
    assert all(worker.incarnation == 1 for worker in cluster.workers.values()), "a worker's lease expired"


def test_crash_looping_controller_causes_no_further_elections() -> None:
    """One controller crashes 0.3 s after each start, fifty times: it never leads again while others run."""
    cluster = SimulatedCluster(7220, without_random_faults=True, restart_delay_range_s=(0.05, 0.05))
    terms: list[int] = []
    store_changes: list[int] = []

    async def crash_loop(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(20)
        node = cluster.current_leader()
        await cluster.restart_controller(node)
        for _ in range(50):
            await asyncio.sleep(0.3)
            await cluster.restart_controller(node)
        terms.append(cluster.kv_store.keys["lead/term"][0])

    async def count_changes(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(21)
        changes_before = cluster.kv_store.change_count
        await asyncio.sleep(15)
        store_changes.append(cluster.kv_store.change_count - changes_before)

    cluster.schedule_action(crash_loop)
    cluster.schedule_action(count_changes)
    raise_first_failure(cluster.run(length_s=60, job_count=10))
    assert terms == [2]
    assert store_changes[0] < 15 * 20


def test_crash_looping_controllers_elect_at_a_bounded_rate() -> None:
    """Each controller crashes 0.3 to 0.7 s after its start: at most four elections a second, then recovery."""
    cluster = SimulatedCluster(7221, without_random_faults=True, restart_delay_range_s=(0.05, 0.2))
    terms: list[int] = []
    ended_at: list[float] = []
    leaderless_s: list[float] = []

    async def crash_loop(cluster: SimulatedCluster, node: SimulatedController) -> None:
        while virtual_now() < 35:
            await cluster.restart_controller(node)
            await asyncio.sleep(cluster.rng.uniform(0.3, 0.7))

    async def crash_all(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(20)
        terms.append(cluster.kv_store.keys["lead/term"][0])
        await asyncio.gather(*(crash_loop(cluster, node) for node in cluster.controllers))
        ended_at.append(virtual_now())
        terms.append(cluster.kv_store.keys["lead/term"][0])
        while not _has_ready_leader(cluster):
            await asyncio.sleep(0.01)
        leaderless_s.append(virtual_now() - ended_at[0])

    cluster.schedule_action(crash_all)
    raise_first_failure(cluster.run(length_s=90, job_count=25))
    assert 0 < terms[1] - terms[0] < 15 * 4
    assert leaderless_s[0] < 1.5


def test_catches_reuse_of_the_earlier_process_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    async def hold_stale_lease(self: LeaderElection) -> None:
        assert self.leader is not None
        entry = await self.kv_store.get(LEADER_KEY)
        if entry is not None:
            await self._hold_leadership(
                LeaderLease(self.leader.term, self.leader.lease_id, entry.version, monotonic_now())
            )

    monkeypatch.setattr(LeaderElection, "_revoke_stale_lease", hold_stale_lease)
    for seed in range(9300, 9340):
        violations = (
            SimulatedCluster(seed, faults=["crash", "crash", "all", "cut"], restart_delay_range_s=RESTART_DELAY_RANGE_S)
            .run()
            .rule_violations
        )
        if any("used_twice" in str(error) for error in violations):
            return
    pytest.fail("no seed caught it")
