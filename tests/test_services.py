"""A place of services: replicas spread over two zones, short leases, few and small writes, gangs of whole machines.

The world keeps its own account of how long replicas were up, and of each that was lost.
"""

import asyncio
from typing import Any

import pytest

from roseweir.placement.model import JobRun, Phase
from roseweir.placement.recorder import Found, Recorder
from roseweir.submissions.jobs import SERVICE
from tests.test_rules import check
from tests.world import LATER, Node, World, now

PARAMS: dict[str, Any] = {
    "teams": [{"name": "t0"}, {"name": "t1"}],
    "objectives": [{"kind": "wait", "class": "viewer", "within_s": 1.0, "share": 0.94}],
}
# A replica counts from so long after its job was accepted.
SETTLED = 15.0


class ServiceWorld(World):
    def __init__(self, seed: int, **more: Any) -> None:
        super().__init__(seed, write_rps=15.0, txn_ops=8, value_kb=4.0, scale=4, params=PARAMS, **more)
        self.team_max = None
        self.accepted_at: dict[str, float] = {}
        self.wanted_s = self.up_s = 0.0

    def make_job(self) -> dict[str, Any]:
        draw = self.draw
        made = super().make_job() | {"builds": None, "yard": None, "mistaken": False, "together": False}
        kind = draw.random()
        if kind < 0.6:
            made |= {"docket": "viewer", "shape": "daemon", "rank": "critical", "parcels": draw.choice([2, 4, 9])}
            made |= {"cores": 2.0, "accelerators": 0.0, "scatter": True, "loaners": False, "guess_s": 0.0}
            made |= {"mark_every_s": 0.0, "mark_s": 0.0, "due_s": None}
        elif kind < 0.85:
            made |= {"shape": "sweep", "rank": "normal", "parcels": draw.randint(10, 40), "cores": 2.0}
            made |= {"accelerators": 0.0, "loaners": True, "docket": "tally"}
        else:
            made |= {"shape": "gang", "rank": "normal", "parcels": draw.choice([1, 2]), "cores": 14.0}
            made |= {"accelerators": 4.0, "memory_gb": 50.0, "loaners": False, "together": True, "docket": "gangs"}
        return made

    def check_answer(self, job_id: str, status: int, answer: dict[str, Any]) -> None:
        super().check_answer(job_id, status, answer)
        if status in (200, 201) and answer["standing"] in ("queued", "running"):
            self.accepted_at.setdefault(job_id, now())

    async def check_always(self) -> None:
        self.spawn(super().check_always())
        while True:
            await asyncio.sleep(0.25)
            up: dict[str, int] = {}
            for _, task in self.on_machines():
                up[task.job] = up.get(task.job, 0) + 1
            for job_id, at in self.accepted_at.items():
                job = self.jobs[job_id]
                if job["shape"] == "daemon" and job_id not in self.asked_cancel and now() > at + SETTLED:
                    self.wanted_s += 0.25 * job["parcels"]
                    self.up_s += 0.25 * min(job["parcels"], up.get(job_id, 0))

    @property
    def up(self) -> float:
        return self.up_s / self.wanted_s if self.wanted_s else 1.0


@pytest.mark.parametrize("seed", range(9500, 9510))
def test_rough_days_of_services_break_no_rule(seed: int) -> None:
    back = (0.05, 1.0) if seed % 2 else (1.0, 4.0)
    world = ServiceWorld(seed, troubles=[*LATER, "deaf", "recall", "sick"], back_after=back, skew=0.25).play(jobs=35)
    check(world)
    assert world.starts > 60


async def _crash(world: World, who: str) -> None:
    node = world.leader()
    if who == "leader":
        await world.restart(node)
    elif who == "all":
        await asyncio.gather(*(world.restart(each) for each in world.nodes))
    elif who == "roll":
        for each in world.nodes:
            await world.restart(each)
            await asyncio.sleep(4)
    elif who == "refused":
        world.state.refuses.add(node.name)
        await asyncio.sleep(12)
        world.state.refuses.clear()
    elif who == "outage":
        # Longer than a lease: reports are answered on, as far as cancels allow.
        world.state.out = True
        await asyncio.sleep(5.5)
        world.state.outage_ends()
    else:
        lost: list[Node] = world.nodes if who == "peers" else [node]
        for each in lost:
            each.lost[who] = "refused"
        await asyncio.sleep(12)
        for each in lost:
            each.lost.clear()


@pytest.mark.parametrize("who", ["leader", "all", "roll", "refused", "outage", "peers", "state", "workers"])
def test_no_healthy_replica_is_lost_with_controllers(who: str) -> None:
    world = ServiceWorld(9600, calm=True)
    before: dict[tuple[str, int], int] = {}

    def replicas() -> dict[tuple[str, int], int]:
        daemons = [t for _, t in world.on_machines() if world.jobs[t.job]["shape"] == "daemon"]
        return {(t.job, t.index): t.attempt for t in daemons}

    async def act(world: World) -> None:
        await asyncio.sleep(25)
        before.update(replicas())
        await _crash(world, who)
        await asyncio.sleep(6)
        after = replicas()
        kept = {key: attempt for key, attempt in before.items() if key[0] not in world.asked_cancel}
        for key, attempt in kept.items():
            world.rule(after.get(key) == attempt, f"replica {key} was lost")

    world.spawn_later(act)
    check(world.play(length=75, jobs=25))
    assert len(before) >= 6
    assert all(worker.session == 1 for worker in world.workers.values()), "a worker's lease ran out"
    assert world.up > 0.99


def test_lost_replicas_are_up_again_before_lower_work() -> None:
    """A third of the machines dies under a full fleet: replicas come back first, where they may be."""
    world = ServiceWorld(9601, calm=True)

    async def die(world: World) -> None:
        await asyncio.sleep(30)
        for worker in world.draw.sample(list(world.workers.values()), len(world.workers) // 3):
            worker.die()
            worker.host.failed = True

    world.spawn_later(die)
    check(world.play(length=80, jobs=40))
    # A lease of 6 s, or a release that proves it gone, and a boot of 4 s, for a third of the replicas once.
    assert world.up > 0.9


# -- the checks themselves --------------------------------------------------------------------


def test_broken_variant_that_forgets_replicas_at_a_take_over_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    restore = Recorder._restore_tasks

    def forget(self: Recorder, found: Found) -> None:
        found.newest = {k: v for k, v in found.newest.items() if self.board.jobs[k[0]].spec.kind != SERVICE}
        restore(self, found)

    monkeypatch.setattr(Recorder, "_restore_tasks", forget)
    for seed in range(9700, 9712):
        broken = ServiceWorld(seed, troubles=["crash", "all", "cut"]).play(jobs=35).broken
        if any("ran_twice" in str(error) or "scatter" in str(error) for error in broken):
            return
    pytest.fail("no seed caught it")


def test_broken_variant_that_breaks_scatter_on_a_return_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    def seen_only(self: JobRun, zone: str) -> int:
        return sum(1 for p in self.placed.values() if p.machine.zone == zone and p.phase != Phase.RECORDED)

    monkeypatch.setattr(JobRun, "placed_in_zone", seen_only)
    for seed in range(9720, 9740):
        broken = ServiceWorld(seed, troubles=["crash", "all", "cut", "die", "recall"]).play(jobs=35).broken
        if any("scatter" in str(error) for error in broken):
            return
    pytest.fail("no seed caught it")
