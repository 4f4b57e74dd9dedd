"""A place of services: replicas spread over two zones, short leases, few and small writes, gangs of whole machines.

The world keeps its own account of how long replicas were up, and of each that was lost.
"""

import asyncio
from typing import Any

import pytest

from roseweir.scheduler.model import JobRun, PlacementPhase
from roseweir.scheduler.recovery import LogRecovery, RecoveredStarts
from roseweir.submissions.jobs import SERVICE
from tests.simulation.cluster import EXTENDED_FAULTS, SimulatedCluster, SimulatedController, virtual_now
from tests.test_simulated_days import check

PARAMS: dict[str, Any] = {
    "teams": [{"name": "t0"}, {"name": "t1"}],
    "objectives": [{"kind": "wait", "class": "viewer", "within_s": 1.0, "share": 0.94}],
}
# A replica counts from so long after its job was accepted.
SETTLED = 15.0


class ServiceWorld(SimulatedCluster):
    def __init__(self, seed: int, **more: Any) -> None:
        super().__init__(seed, write_rps=15.0, txn_ops=8, value_kb=4.0, scale=4, params_override=PARAMS, **more)
        self.team_gpu_limit = None
        self.accepted_at: dict[str, float] = {}
        self.wanted_s = self.up_s = 0.0

    def make_job(self) -> dict[str, Any]:
        rng = self.rng
        made = super().make_job() | {"builds": None, "yard": None, "mistaken": False, "together": False}
        kind = rng.random()
        if kind < 0.6:
            made |= {"docket": "viewer", "shape": "daemon", "rank": "critical", "parcels": rng.choice([2, 4, 9])}
            made |= {"cores": 2.0, "accelerators": 0.0, "scatter": True, "loaners": False, "guess_s": 0.0}
            made |= {"mark_every_s": 0.0, "mark_s": 0.0, "due_s": None}
        elif kind < 0.85:
            made |= {"shape": "sweep", "rank": "normal", "parcels": rng.randint(10, 40), "cores": 2.0}
            made |= {"accelerators": 0.0, "loaners": True, "docket": "tally"}
        else:
            made |= {"shape": "gang", "rank": "normal", "parcels": rng.choice([1, 2]), "cores": 14.0}
            made |= {"accelerators": 4.0, "memory_gb": 50.0, "loaners": False, "together": True, "docket": "gangs"}
        return made

    def check_answer(self, job_id: str, status: int, answer: dict[str, Any]) -> None:
        super().check_answer(job_id, status, answer)
        if status in (200, 201) and answer["standing"] in ("queued", "running"):
            self.accepted_at.setdefault(job_id, virtual_now())

    async def check_continuously(self) -> None:
        self.spawn(super().check_continuously())
        while True:
            await asyncio.sleep(0.25)
            up: dict[str, int] = {}
            for _, task in self.active_tasks():
                up[task.job_id] = up.get(task.job_id, 0) + 1
            for job_id, at in self.accepted_at.items():
                job = self.jobs[job_id]
                if job["shape"] == "daemon" and job_id not in self.cancel_requested and virtual_now() > at + SETTLED:
                    self.wanted_s += 0.25 * job["parcels"]
                    self.up_s += 0.25 * min(job["parcels"], up.get(job_id, 0))

    @property
    def up(self) -> float:
        return self.up_s / self.wanted_s if self.wanted_s else 1.0


@pytest.mark.parametrize("seed", range(9500, 9510))
def test_rough_days_of_services_break_no_rule(seed: int) -> None:
    back = (0.05, 1.0) if seed % 2 else (1.0, 4.0)
    cluster = ServiceWorld(
        seed, faults=[*EXTENDED_FAULTS, "deaf", "recall", "sick"], restart_delay_range_s=back, max_clock_skew_s=0.25
    ).run(job_count=35)
    check(cluster)
    assert cluster.start_count > 60


async def _crash(cluster: SimulatedCluster, who: str) -> None:
    node = cluster.current_leader()
    if who == "leader":
        await cluster.restart_controller(node)
    elif who == "all":
        await asyncio.gather(*(cluster.restart_controller(each) for each in cluster.nodes))
    elif who == "roll":
        for each in cluster.nodes:
            await cluster.restart_controller(each)
            await asyncio.sleep(4)
    elif who == "refused":
        cluster.state.refused_controllers.add(node.name)
        await asyncio.sleep(12)
        cluster.state.refused_controllers.clear()
    elif who == "outage":
        # Longer than a lease: reports are answered on, as far as cancels allow.
        cluster.state.is_down = True
        await asyncio.sleep(5.5)
        cluster.state.end_outage()
    else:
        lost: list[SimulatedController] = cluster.nodes if who == "peers" else [node]
        for each in lost:
            each.network_faults[who] = "refused"
        await asyncio.sleep(12)
        for each in lost:
            each.network_faults.clear()


@pytest.mark.parametrize("who", ["leader", "all", "roll", "refused", "outage", "peers", "state", "workers"])
def test_no_healthy_replica_is_lost_with_controllers(who: str) -> None:
    cluster = ServiceWorld(9600, is_calm=True)
    before: dict[tuple[str, int], int] = {}

    def replicas() -> dict[tuple[str, int], int]:
        daemons = [t for _, t in cluster.active_tasks() if cluster.jobs[t.job_id]["shape"] == "daemon"]
        return {(t.job_id, t.index): t.attempt for t in daemons}

    async def act(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(25)
        before.update(replicas())
        await _crash(cluster, who)
        await asyncio.sleep(6)
        after = replicas()
        kept = {key: attempt for key, attempt in before.items() if key[0] not in cluster.cancel_requested}
        for key, attempt in kept.items():
            cluster.check_rule(after.get(key) == attempt, f"replica {key} was lost")

    cluster.schedule_action(act)
    check(cluster.run(length_s=75, job_count=25))
    assert len(before) >= 6
    assert all(worker.incarnation == 1 for worker in cluster.workers.values()), "a worker's lease ran out"
    assert cluster.up > 0.99


def test_lost_replicas_are_up_again_before_lower_work() -> None:
    """A third of the machines dies under a full fleet: replicas come back first, where they may be."""
    cluster = ServiceWorld(9601, is_calm=True)

    async def die(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(30)
        for worker in cluster.rng.sample(list(cluster.workers.values()), len(cluster.workers) // 3):
            worker.die()
            worker.machine.has_failed = True

    cluster.schedule_action(die)
    check(cluster.run(length_s=80, job_count=40))
    # A lease of 6 s, or a release that proves it gone, and a boot of 4 s, for a third of the replicas once.
    assert cluster.up > 0.9


# -- the checks themselves --------------------------------------------------------------------


def test_broken_variant_that_forgets_replicas_at_a_take_over_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    restore = LogRecovery._restore_placements

    def forget(self: LogRecovery, found: RecoveredStarts) -> None:
        found.newest_starts = {
            k: v for k, v in found.newest_starts.items() if self.cluster_state.jobs[k[0]].spec.job_type != SERVICE
        }
        restore(self, found)

    monkeypatch.setattr(LogRecovery, "_restore_placements", forget)
    for seed in range(9700, 9712):
        broken = ServiceWorld(seed, faults=["crash", "all", "cut"]).run(job_count=35).rule_violations
        if any("ran_twice" in str(error) or "scatter" in str(error) for error in broken):
            return
    pytest.fail("no seed caught it")


def test_broken_variant_that_breaks_scatter_on_a_return_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    def seen_only(self: JobRun, zone: str) -> int:
        return sum(
            1 for p in self.placements.values() if p.machine.zone == zone and p.phase != PlacementPhase.RECOVERED
        )

    monkeypatch.setattr(JobRun, "count_placed_in_zone", seen_only)
    for seed in range(9720, 9740):
        broken = ServiceWorld(seed, faults=["crash", "all", "cut", "die", "recall"]).run(job_count=35).rule_violations
        if any("scatter" in str(error) for error in broken):
            return
    pytest.fail("no seed caught it")
