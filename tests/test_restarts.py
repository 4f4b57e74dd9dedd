"""Controllers that end and are started again within a fraction of a second, at every moment, once or again and again.

The successor has its former self's name and address, and meets that one's lease, connections and what it had under way.
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
from tests.simulation.cluster import EXTENDED_FAULTS, SimulatedCluster, SimulatedController, virtual_now
from tests.test_simulated_days import check

SOON = (0.05, 1.0)


@pytest.mark.parametrize("seed", range(9200, 9212))
def test_rough_days_with_processes_that_are_back_at_once_break_no_rule(seed: int) -> None:
    """Times of day differ by up to a second, and by another each time that a process starts."""
    troubles = [*EXTENDED_FAULTS, "crash", "crash", "roll", "all", "all", "outage"]
    cluster = SimulatedCluster(seed, faults=troubles, restart_delay_range_s=SOON, max_clock_skew_s=1.0).run()
    check(cluster)
    assert cluster.start_count > 20


def _has(*phases: PlacementPhase) -> Callable[[SimulatedController], bool]:
    def found(node: SimulatedController) -> bool:
        reign = None if node.service is None else node.service.leader_term
        runs = [] if reign is None else list(reign.cluster_state.jobs.values())
        return any(p.phase in phases for run in runs for p in run.placements.values())

    return found


async def _recorded(cluster: SimulatedCluster) -> SimulatedController:
    """The leader, in the step in which its starts have become durable and it has not been told so."""
    noted = asyncio.Event()
    state, plain = cluster.state, cluster.state.commit_transaction

    def txn(body: Any) -> Reply:
        answer = plain(body)
        if answer.status == 200 and any(op.get("put", "").startswith("places/note-") for op in body["then"]):
            noted.set()
        return answer

    state.commit_transaction = txn  # type: ignore[method-assign]
    await noted.wait()
    state.commit_transaction = plain  # type: ignore[method-assign]
    return cluster.current_leader()


def _reign(of: Callable[..., bool]) -> Callable[[SimulatedController], bool]:
    return lambda node: (
        node.service is not None and node.service.leader_term is not None and of(node.service.leader_term)
    )


MOMENTS: dict[str, Callable[[SimulatedController], bool]] = {
    "elected": lambda node: node.service is not None and node.service.leader_election.leader_lease is not None,
    "reading the record": _reign(lambda reign: not reign.is_ready),
    "open": _reign(lambda reign: reign.is_ready),
    "placing": _has(PlacementPhase.PLANNED),
    "recorded": lambda node: False,
    "orders out": _has(PlacementPhase.SENT),
    "submitting": lambda node: (
        node.service is not None and node.service.submission_handlers.group_commit._has_queued.is_set()
    ),
}


def _leads(cluster: SimulatedCluster) -> bool:
    return any(n.service and n.service.leader_term and n.service.leader_term.is_ready for n in cluster.nodes)


@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("times", [1, 10])
def test_whoever_reaches_a_moment_ends_there_and_is_back_at_once(moment: str, times: int) -> None:
    cluster = SimulatedCluster(7200 + times, is_calm=True, max_clock_skew_s=0.5, restart_delay_range_s=SOON, scale=3)
    reached: list[str] = []
    gaps: list[float] = []

    async def end(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(20)
        # A take-over has all moments in it.
        cluster.spawn(cluster.restart_controller(cluster.current_leader()))
        await asyncio.sleep(0)
        for _ in range(times):
            # Quiet moments pass within milliseconds: looked for in steps, for a while.
            for _ in range(20000):
                node = next((n for n in cluster.nodes if MOMENTS[moment](n)), None)
                if moment == "recorded":
                    node = await _recorded(cluster)
                if node is not None:
                    break
                await asyncio.sleep(0.001)
            if node is None:
                break
            reached.append(node.name)
            await cluster.restart_controller(node)
        ended = virtual_now()
        while not _leads(cluster):
            await asyncio.sleep(0.01)
        gaps.append(virtual_now() - ended)

    cluster.schedule_action(end)
    check(cluster.run(length_s=80, job_count=30))
    assert reached
    # No lease of an earlier self is waited for: it lasts 2.5 s.
    assert gaps and gaps[0] < 1.5
    if times == 1:
        assert all(worker.incarnation == 1 for worker in cluster.workers.values()), "a worker's lease ran out"


@pytest.mark.parametrize("who", ["leader", "all"])
@pytest.mark.parametrize("back", [0.05, 0.2, 0.8])
def test_workers_and_users_have_a_leader_again_within_a_moment(who: str, back: float) -> None:
    """A leader that was back at once waited for its own former lease of 2.5 s, and sent workers on meanwhile."""
    cluster = SimulatedCluster(7210, is_calm=True, restart_delay_range_s=(back, back))
    gaps: list[float] = []
    terms: list[int] = []

    async def end(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(25)
        leader = cluster.current_leader()
        ended = virtual_now()
        if who == "leader":
            await cluster.restart_controller(leader)
        else:
            await asyncio.gather(*(cluster.restart_controller(node) for node in cluster.nodes))
        while not _leads(cluster):
            await asyncio.sleep(0.01)
        gaps.append(virtual_now() - ended)
        terms.append(cluster.state.keys["lead/term"][0])

    cluster.schedule_action(end)
    check(cluster.run(length_s=60, job_count=20))
    assert gaps[0] < back + 0.5 and terms == [2]
    assert all(worker.incarnation == 1 for worker in cluster.workers.values()), "a worker's lease ran out"


def test_a_crash_loop_costs_few_elections_and_the_service_goes_on_elsewhere() -> None:
    """One ends 0.3 s after each start, fifty times: it never leads again while others are there."""
    cluster = SimulatedCluster(7220, is_calm=True, restart_delay_range_s=(0.05, 0.05))
    terms: list[int] = []
    changes: list[int] = []

    async def loop(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(20)
        node = cluster.current_leader()
        await cluster.restart_controller(node)
        for _ in range(50):
            await asyncio.sleep(0.3)
            await cluster.restart_controller(node)
        terms.append(cluster.state.keys["lead/term"][0])

    async def count(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(21)
        before = cluster.state.change_count
        await asyncio.sleep(15)
        changes.append(cluster.state.change_count - before)

    cluster.schedule_action(loop)
    cluster.schedule_action(count)
    check(cluster.run(length_s=60, job_count=10))
    assert terms == [2]
    assert changes[0] < 15 * 20


def test_all_in_a_loop_elect_no_more_often_than_they_must() -> None:
    """Everybody ends half a second after each start: elections stay a few a second, and the day goes on after it."""
    cluster = SimulatedCluster(7221, is_calm=True, restart_delay_range_s=(0.05, 0.2))
    terms: list[int] = []
    ended: list[float] = []
    gaps: list[float] = []

    async def loop(cluster: SimulatedCluster, node: SimulatedController) -> None:
        while virtual_now() < 35:
            await cluster.restart_controller(node)
            await asyncio.sleep(cluster.rng.uniform(0.3, 0.7))

    async def all_of_them(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(20)
        terms.append(cluster.state.keys["lead/term"][0])
        await asyncio.gather(*(loop(cluster, node) for node in cluster.nodes))
        ended.append(virtual_now())
        terms.append(cluster.state.keys["lead/term"][0])
        while not _leads(cluster):
            await asyncio.sleep(0.01)
        gaps.append(virtual_now() - ended[0])

    cluster.schedule_action(all_of_them)
    check(cluster.run(length_s=90, job_count=25))
    assert 0 < terms[1] - terms[0] < 15 * 4
    assert gaps[0] < 1.5


def test_broken_variant_that_takes_the_old_lease_for_its_own_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    async def carry_on(self: LeaderElection) -> None:
        assert self.leader is not None
        found = await self.kv_store.get(LEADER_KEY)
        if found is not None:
            await self._hold_leadership(
                LeaderLease(self.leader.term, self.leader.lease_id, found.version, monotonic_now())
            )

    monkeypatch.setattr(LeaderElection, "_revoke_stale_lease", carry_on)
    for seed in range(9300, 9340):
        broken = (
            SimulatedCluster(seed, faults=["crash", "crash", "all", "cut"], restart_delay_range_s=SOON)
            .run()
            .rule_violations
        )
        if any("used_twice" in str(error) for error in broken):
            return
    pytest.fail("no seed caught it")
