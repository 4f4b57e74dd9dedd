"""The largest jobs of a class: they begin though smaller ones keep coming, and the account tells whether they do."""

import asyncio
import random
from typing import Any

import orjson
import pytest

from roseweir.clock import seconds
from roseweir.cloud.plan import wanted
from roseweir.placement import elders
from roseweir.placement import plan as plan_module
from roseweir.placement.elders import LAST, OLD, OLDEST, PART, YOUNG, Sizes, mark
from roseweir.placement.model import JobRun, new_run
from roseweir.placement.plan import plan
from roseweir.served.account import Account
from roseweir.served.largest import BEGIN_S, Size, decode, encode, largest, step_of
from roseweir.submissions.jobs import GANG, JobSpec
from tests.samples import spec as job
from tests.test_placement import NOW, Hand, new_board, record
from tests.test_rules import check
from tests.world import World, now


def stream(kind: str, minutes: float) -> float:
    """Small jobs of a team within its guarantee for ever, and a large one of another that is not: when it begins."""
    board = new_board()
    draw = random.Random(11)
    hands = [Hand(board, f"i-{n}", "gpu", "a") for n in range(6)]
    for hand in hands:
        hand.report(NOW)
        hand.report(NOW)
    ends: dict[str, float] = {}
    shapes: dict[str, dict[str, Any]] = {
        "gang": {"kind": GANG, "tasks": 3, "gpus": 2.0, "one_zone": True},
        "whole machine": {"tasks": 1, "gpus": 2.0, "cpus": 8.0},
    }
    big = board.add_job(job(1, team="t1", **shapes[kind]), 1)
    big_needs = big.spec.tasks
    number, at = 1, 0.0
    while at < minutes * 60:
        now = NOW + seconds(at)
        # More small tasks than there is room for, of teams of which none is at its limit for long.
        while sum(run.pending for run in board.jobs.values()) < 20:
            number += 1
            board.add_job(job(number, team="t0", gpus=1.0, priority=2, estimate_s=20.0, accepted_ms=0), number)
            board.teams["t0"].gpus = board.teams["t0"].gpus_max = 0.0
        for hand in hands:
            for task, _ in list(hand.tasks):
                name = task.rpartition("/")[0]
                if name != big.spec.id and ends.setdefault(task, at + draw.uniform(10, 30)) <= at:
                    hand.ends(task, "done")
            hand.report(now)
        for run in list(board.jobs.values()):
            run.unsaved.clear()
            if run.complete:
                run.over = "done"
                board._retire(run)
        plan(board, now)
        record(board)
        if len(big.placed) == big_needs:
            return at
        at += 1.0
    return at


@pytest.mark.parametrize("kind", ["gang", "whole machine"])
def test_a_large_job_begins_though_small_ones_of_higher_standing_keep_coming(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(plan_module, "mark_covered", lambda board: None)

    def covered(run: JobRun) -> bool:
        return run.spec.team == "t0"

    order = plan_module._order

    def patched(run: JobRun) -> tuple[object, ...]:
        run.covered = covered(run)
        return order(run)

    monkeypatch.setattr(plan_module, "_order", patched)
    assert stream(kind, 6) < BEGIN_S
    if kind == "gang":
        # Without it the pieces never add up.
        monkeypatch.setattr(plan_module, "mark", lambda *more: None)
        assert stream(kind, 6) >= 360


def test_only_so_many_are_old_at_once_and_the_oldest_come_first() -> None:
    runs = [new_run(job(n, gpus=2.0, kind=GANG, tasks=4), n) for n in range(1, 9)]
    for n, run in enumerate(runs):
        run.first_wait = NOW - seconds(200 - 20 * n)
    pool = 8.0 * 8
    sizes = Sizes()
    for run in runs:
        sizes.note(run.spec)
    mark(runs, {True: pool, False: 0.0}, sizes, None, NOW)
    old = [run for run in runs if run.age > YOUNG]
    assert old == runs[: int(pool * PART / 8)] and [run.age for run in old] == [OLDEST, OLDEST]
    runs[0].begun = True
    runs[0].first_wait = NOW
    mark(runs, {True: 1.0, False: 0.0}, sizes, None, NOW)
    assert [run.age for run in runs[:3]] == [YOUNG, OLDEST, YOUNG], "one at least"
    # A leader that has just begun tells by the time of day.
    fresh = new_run(job(20, accepted_ms=1000), 1)
    mark([fresh], {True: 1.0, False: 1.0}, sizes, NOW - LAST, NOW)
    assert fresh.age == YOUNG, "one of the small ones"
    mark([fresh], {True: 1.0, False: 1.0}, sizes, NOW - LAST - seconds(2), NOW)
    assert fresh.age == OLD and elders.waited(fresh, NOW - LAST, NOW) == LAST - seconds(1)


def test_capacity_is_asked_for_a_job_that_waits_in_pieces() -> None:
    board = new_board()
    late = NOW + elders.AFTER + seconds(6)
    for n in range(4):
        hand = Hand(board, f"i-{n}", "gpu")
        hand.report(NOW)
        board.place(board.add_job(job(n + 10, gpus=1.0), 1), 0, hand.machine, 1, NOW)
        hand.machine.heard = late
    gang = board.add_job(job(2, kind=GANG, gpus=2.0, spot=False), 2)
    for since, wants in ((late, 0), (NOW, 1)):
        gang.first_wait = since
        assert sum(want.count for want in wanted(board, plan(board, late), {}, 0, late)[0]) == wants


def _account(seed: int) -> tuple[Account, dict[str, Size]]:
    """Jobs of two classes that begin or do not, over three leaders; and what the world knows of its largest."""
    draw = random.Random(seed)
    account = Account()
    rows: dict[tuple[str, int], Size] = {}
    wall = 0
    for number in range(120):
        spec: JobSpec = job(
            number, job_class=draw.choice("xy"), tasks=draw.choice([1, 1, 1, 2, 4, 8]), gpus=2.0, accepted_ms=wall + 1
        )
        wait = draw.choice([1.0, 30.0, 200.0, 260.0, 400.0])
        account.accepted(spec)
        account.look({}, wall + 1 + round(wait * 1000))
        account.live[spec.id].started = True
        account.over(spec.id, "done")
        account.gone(spec.id)
        in_time = wait <= BEGIN_S
        rows.setdefault((spec.job_class, step_of(spec.size)), Size()).add(
            Size(1, 1, int(in_time), int(not in_time), 1, 0, round(wait))
        )
        if number % 40 == 39:
            again = Account()
            again.decode(account.encode(number, 4000))
            account = again
    return account, largest(rows)


@pytest.mark.parametrize("seed", range(4))
def test_the_largest_are_told_as_the_world_knows_them_through_take_overs(seed: int) -> None:
    account, expected = _account(seed)
    assert account.sizes() == expected
    assert all(size.accepted >= 0.1 * 40 for size in expected.values())
    rows = {("x", 3): Size(9, 9, 8, 1, 9, 0, 250), ("x", 9): Size(1, 0, 0, 1, 0, 0, 900)}
    assert decode(encode(rows)) == rows
    many = {(name, step): Size(step + 1) for name in "abc" for step in range(30)}
    again = decode(encode(many, 900))
    assert len(orjson.dumps(encode(many, 900))) <= 900 and largest(again) == largest(many), "the largest are kept apart"
    assert sum(size.accepted for size in again.values()) == sum(size.accepted for size in many.values())
    assert largest(rows)["x"] == rows["x", 9] and largest(rows)["x"].served == 0.0, "one at least"


class Starved(World):
    """A team's small jobs of higher rank keep coming; its largest needs the whole of the team's limit."""

    def __init__(self, seed: int, **more: Any) -> None:
        super().__init__(seed, scale=2, back_after=(0.1, 1.0), **more)
        self.large = "j-7000001"
        self.begun: list[float] = []

    def make_job(self) -> dict[str, Any]:
        small = {"shape": "sweep", "parcels": 1, "accelerators": 1.0, "cores": 2.0, "crew": "t0", "rank": "urgent"}
        small |= {"builds": None, "yard": None, "together": False, "mistaken": False, "guess_s": 12.0, "docket": "x"}
        return super().make_job() | small

    def check_start(self, worker: Any, task: Any) -> None:
        super().check_start(worker, task)
        if task.job == self.large and not self.begun:
            self.begun.append(now())

    async def story(self, _: World) -> None:
        await asyncio.sleep(8)
        shape = {"shape": "gang", "parcels": 3, "accelerators": 2.0, "cores": 4.0, "name_id": self.large}
        shape |= {"rank": "normal", "loaners": True}
        self.jobs[self.large] = self.make_job() | shape
        body = {k: v for k, v in self.jobs[self.large].items() if k != "mistaken"}
        while self.large not in self.accepted:
            status, answer = await self.ask("POST", "/submissions", body)
            self.check_answer(self.large, status, answer)
            if status in (200, 201):
                self.accepted.add(self.large)
        while True:
            self.spawn(self.user())
            await asyncio.sleep(0.8)

    async def failing(self, _: World) -> None:
        """A third of the machines, and leaders one after the other."""
        await asyncio.sleep(14)
        for worker in list(self.workers.values())[::3]:
            worker.die()
            worker.host.failed = True
        for _turn in range(4):
            await self.restart(self.leader())
            await asyncio.sleep(5)


@pytest.mark.parametrize("fails", [False, True])
def test_the_largest_begins_beside_its_teams_small_ones_though_leaders_and_machines_fall(
    fails: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(elders, "AFTER", seconds(10))
    monkeypatch.setattr(elders, "LAST", seconds(18))
    world = Starved(7900, calm=True)
    world.spawn_later(world.story)
    if fails:
        world.spawn_later(world.failing)
    check(world.play(length=75, jobs=3))
    assert world.begun and world.begun[0] < 8 + 45
    # Without it the small ones pass it for ever.
    monkeypatch.setattr(plan_module, "mark", lambda *more: None)
    plain = Starved(7900, calm=True)
    plain.spawn_later(plain.story)
    check(plain.play(length=75, jobs=3))
    assert not plain.begun
