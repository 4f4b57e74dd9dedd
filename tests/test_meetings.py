"""Two troubles at once: each meeting is brought about on purpose, and a broken variant of the service is caught by it.

`docs/notes/meetings.md` says what each of them rests on; days of drawn pairs are in `tests/meetings.py`.
"""

import asyncio
from collections.abc import Callable
from datetime import datetime, time
from typing import Any

import msgspec
import orjson
import pytest

from roseweir.bell import Bell
from roseweir.chains.desk import ChainDesk
from roseweir.clock import steady
from roseweir.http import Request, Unreachable
from roseweir.leadership.leadership import Term
from roseweir.placement.board import Board
from roseweir.placement.learning import Learning
from roseweir.placement.model import Phase
from roseweir.placement.plan import plan
from roseweir.state import StateClient, Trouble
from roseweir.state.client import put
from roseweir.workers import messages as wire
from roseweir.workers.desk import WorkerDesk
from tests import virtual
from tests.chained import ChainWorld
from tests.meetings import Day, Long, Met, caught
from tests.samples import spec as job
from tests.test_chains import watched as seen_in_the_viewer
from tests.test_drain import world_of as replaced
from tests.test_known import ANSWERED, watched
from tests.test_packing import Pieces
from tests.test_packing import tuning as pieces_tuning
from tests.test_placement import NOW, TERM, Hand, new_board, record
from tests.test_promises import Landings, promised
from tests.test_rules import check
from tests.world import LATER, LEFT_OUT, MEETING, TaskOn, Worker, World, now

Patch = pytest.MonkeyPatch

# -- any two or three ---------------------------------------------------------------------------


@pytest.mark.parametrize("first", range(0, 48, 4))
def test_any_two_or_three_troubles_that_meet_break_no_rule(first: int) -> None:
    met: set[frozenset[str]] = set()
    for seed in range(first, first + 4):
        day: Met = Day.drawn(seed).play()
        check(day)
        met |= day.meetings
    assert len(met) >= 4, "the troubles did not meet"


# -- chains: an older amendment is taken after a newer one, and the leader ends ---------------------


@pytest.mark.parametrize("broken", [False, True])
def test_who_delivers_first_is_known_to_whoever_leads_next(broken: bool, monkeypatch: Patch) -> None:
    if broken:
        monkeypatch.setattr(ChainDesk, "_wait_for_older", lambda self: None)
    wrong: list[str] = []
    for seed in range(7770, 7774):
        # Small values: the two are on pages of their own.
        world = ChainWorld(seed, calm=True, back_after=(0.1, 0.5), value_kb=2.0)
        world.registry.run_s = (2.0, 6.0)
        states: list[str] = []

        async def act(_: World, world: ChainWorld = world) -> None:
            await asyncio.sleep(8)
            for turn in range(4):
                lots = [f"lot-{turn}"]
                # A lot of its own, or it would be superseded as it comes; of the other one its step is overtaken.
                older = world.registry.amendment([*lots, f"own-{turn}"], fan_out=turn % 2 == 0)
                newer = world.registry.amendment(lots)
                between = world.registry.amendment([f"other-{turn}"], fan_out=True)
                for step in older["steps"]:
                    step["job"]["guess_s"] = 9.0
                await world.amend(newer)
                await world.amend(between)
                await world.amend(older)
                await world.restart(world.leader())
                await asyncio.sleep(12)

        async def look(_: World, world: ChainWorld = world, states: list[str] = states) -> None:
            await asyncio.sleep(118)
            states.extend(world.chain_states().values())

        world.spawn_later(act)
        world.spawn_later(look)
        world.spawn_later(world.watch_viewer)
        world.play(length=120, jobs=2)
        assert len(world.taken) == 12, world.statuses
        if not broken:
            assert set(states) == {"done"}, "a chain stands still and nobody is told"
        wrong += [str(error) for error in [*world.broken, *world.errors]]
    assert bool(wrong) == broken, wrong
    assert all("older_after_newer" in each for each in wrong)


# -- hand-over there and back, all end, one returns -------------------------------------------------


def handed_over(seed: int) -> World:
    """Leadership goes to and fro; all end, one is back within a second; a former leader stands still meanwhile."""
    world = World(seed, calm=True, back_after=(0.05, 0.9), skew=0.5)

    async def act(world: World) -> None:
        await asyncio.sleep(10)
        for turn in range(6):
            first = world.leader()
            if turn % 3 == 0:
                first.gate.shut()
                await asyncio.sleep(4.0)
                await world.restart(world.leader())
                first.gate.open()
            elif turn % 3 == 1:
                await world.one_trouble("returns")
            else:
                world.state.refuses.add(first.name)
                await asyncio.sleep(3.5)
                world.state.refuses.clear()
                await world.restart(world.leader())
            await asyncio.sleep(world.draw.uniform(0.5, 7.0))

    world.spawn_later(act)
    return world


def test_hand_overs_there_and_back_use_no_term_twice_and_break_no_rule() -> None:
    for seed in range(7780, 7786):
        world = handed_over(seed)
        check(world.play(length=100, jobs=25))
        assert len(world.terms) >= 5 and len(set(world.terms.values())) >= 4, "it did not change hands"


def terms_from_memory(patch: Patch) -> None:
    """Who stands takes the last term that it has seen itself for the newest."""
    get = StateClient.get

    async def stale(self: StateClient, key: str, **more: Any) -> Any:
        found = await get(self, key, **more)
        if key == "lead/term" and found is not None:
            found.value = max(0, found.value - 1)
        return found

    patch.setattr(StateClient, "get", stale)


def test_a_term_that_is_used_again_is_caught(monkeypatch: Patch) -> None:
    terms_from_memory(monkeypatch)
    assert caught(handed_over, range(7780, 7784), "used_twice", 100, 25)


# -- small jobs whose tasks end far apart, across a change of leader ---------------------------------


class Few(Long):
    """Jobs of two or three tasks; what was done and cleared from its worker is durable, and never told to run again."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, back_after=(0.1, 1.0))
        self.tasks_most = 3
        self.cleared: set[tuple[str, int]] = set()
        self.across = 0  # tasks that ended under another leader than a mate of theirs
        self.ended_under: dict[str, set[int]] = {}

    def run_time(self, job: dict[str, Any]) -> float:
        return self.draw.choice([1.0, 9.0, 22.0]) * self.draw.uniform(0.7, 1.3)

    def on_clear(self, task: TaskOn) -> None:
        if task.cause == "done":
            self.cleared.add((task.job, task.index))
            self.ended_under.setdefault(task.job, set()).add(max(self.terms, default=0))

    def on_run(self, worker: Worker, key: tuple[str, int]) -> None:
        self.rule(key not in self.cleared, f"done_again: {key} was cleared as done, and is told to run")


async def leaders_follow(world: World) -> None:
    await asyncio.sleep(8)
    for _ in range(10):
        # Right after a report that tells of an end, or in the middle of its record.
        ended = len(world.finished)
        until = now() + 5.0
        while len(world.finished) == ended and now() < until:
            await asyncio.sleep(0.01)
        await asyncio.sleep(world.draw.choice([0.0, 0.02, 0.1, 0.5, 1.1]))
        await world.restart(world.leader())
        await asyncio.sleep(world.draw.uniform(1.0, 5.0))


def few(seed: int) -> World:
    world = Few(seed)
    world.spawn_later(leaders_follow)
    return world


def test_tasks_that_end_far_apart_across_leaders_are_done_once_and_their_jobs_are() -> None:
    across = 0
    for seed in range(7790, 7796):
        world = few(seed)
        check(world.play(length=130, jobs=18))
        assert isinstance(world, Few)
        across += sum(len(terms) > 1 for terms in world.ended_under.values())
        assert not world.left(before=90), f"seed {seed}: {world.left(before=90)} are not done"
    assert across >= 10, "no job ended under two leaders"


def cleared_before_it_is_durable(patch: Patch) -> None:
    orders = Board.orders

    def hasty(self: Board, machine: Any, at: datetime, may_run: bool) -> list[dict[str, Any]]:
        found = orders(self, machine, at, may_run)
        told = {order["parcel"] for order in found}
        return found + [wire.clear(task, attempt) for task, attempt, _ in machine.exits if task not in told]

    patch.setattr(Board, "orders", hasty)


def test_a_completion_that_is_cleared_too_early_is_caught(monkeypatch: Patch) -> None:
    cleared_before_it_is_durable(monkeypatch)
    assert caught(few, range(7790, 7810), "done_again", 130, 18)


# -- an old report after newer ones ------------------------------------------------------------------


def old_reports(seed: int) -> World:
    """Every report is copied and comes again, up to five leases late, while leases run out and leaders change."""
    world = World(seed, calm=True, back_after=(0.1, 1.0))
    world.copying = 1

    async def act(world: World) -> None:
        await asyncio.sleep(10)
        while True:
            for worker in world.draw.sample(sorted(world.workers.values(), key=lambda w: w.host.name), 1):
                worker.hung = True
                await asyncio.sleep(world.draw.choice([2.0, 7.0]))
                worker.hung = False
            if world.draw.random() < 0.5:
                await world.restart(world.leader())
            await asyncio.sleep(world.draw.uniform(1, 5))

    world.spawn_later(act)
    return world


def test_old_reports_of_earlier_sessions_and_attempts_change_nothing() -> None:
    for seed in range(7800, 7806):
        world = old_reports(seed)
        check(world.play(length=90, jobs=25))
        assert any(worker.session > 1 for worker in world.workers.values())


def order_of_reports_ignored(patch: Patch) -> None:
    take = Learning.take_report

    def believe(self: Learning, report: wire.Report, at: datetime) -> Any:
        machine = self.board.machines.get(report.machine)
        if machine is not None:
            machine.seq = machine.dead_session = 0
            machine.session = min(machine.session, report.session)
        return take(self, report, at)

    patch.setattr(Learning, "take_report", believe)


def test_a_leader_that_believes_old_reports_is_caught(monkeypatch: Patch) -> None:
    order_of_reports_ignored(monkeypatch)
    assert caught(old_reports, range(7800, 7820), "", 90, 25)


# -- the state service slow, refusing the leader, then everybody, while users cancel and ask ----------


def asked_world(seed: int) -> tuple[World, list[Any]]:
    world = World(seed, calm=True, controllers=3 if seed % 2 else 5)
    found = watched(world, 72.0)

    async def act(world: World) -> None:
        await asyncio.sleep(15)
        for _ in range(2):
            world.state_slow = world.draw.choice([0.5, 1.4, 2.5])
            await asyncio.sleep(world.draw.uniform(4, 8))
            await world.gap(world.leader(), world.draw.uniform(0.5, 4.0), world.cancel_s * 1.1)
            world.state_slow = 0.0
            await asyncio.sleep(2)

    world.spawn_later(act)
    return world, found


def test_users_who_cancel_and_ask_meanwhile_get_no_older_answer_and_soon_every_answer() -> None:
    for seed in range(7810, 7816):
        world, found = asked_world(seed)
        check(world.play(length=100, jobs=30))
        assert found[0].longest <= ANSWERED and not found[0].without, (found[0].longest, found[0].without)
        assert len(world.cancelled) > 3


def slow_reads_are_fresh(patch: Patch) -> None:
    """Polls are answered by the newest read that is there, however old, when the state service does not answer."""
    from roseweir.submissions.view import View

    refresh = View._refresh

    async def lenient(self: View) -> None:
        try:
            await refresh(self)
        except (Trouble, Unreachable):
            if self._revision is None:
                raise

    patch.setattr(View, "_refresh", lenient)


def test_answers_from_reads_before_the_trouble_are_caught(monkeypatch: Patch) -> None:
    slow_reads_are_fresh(monkeypatch)
    assert caught(lambda seed: asked_world(seed)[0], range(7810, 7830), "", 100, 30)


# -- a leader ends while machines with long tasks can't be reached, or hear no answer -----------------


def followed(seed: int) -> Long:
    """Half of the machines are deaf, hang or are cut off for a while as their leader ends, and once more after that."""
    world = Long(seed, back_after=(0.2, 1.0))

    async def act(world: World) -> None:
        await asyncio.sleep(20)
        for turn in range(3):
            way = ("deaf", "hang", "cut")[(seed + turn) % 3]
            some = world.draw.sample(sorted(world.workers.values(), key=lambda w: w.host.name), len(world.workers) // 2)
            if way == "cut":
                world.cuts.add("a")
            for worker in some:
                worker.hung = way == "hang"
                if way == "deaf":
                    worker.lose("deaf")
            await asyncio.sleep(0.5)
            await world.restart(world.leader())
            await asyncio.sleep(world.draw.choice([2.0, 5.0, 9.0]))
            await world.restart(world.leader())
            await asyncio.sleep(world.draw.choice([0.5, 4.0]))
            world.cuts.clear()
            for worker in some:
                worker.hung = False
                worker.lose("")
            await asyncio.sleep(5)

    world.spawn_later(act)
    return world


def test_nothing_runs_twice_and_nothing_waits_when_the_next_leader_is_not_heard() -> None:
    for seed in range(7820, 7826):
        world = followed(seed)
        world.run_s = 14.0
        check(world.play(length=125, jobs=14))
        # The last trouble ends by 70 s; what the last leader may have kept alive counts for 13 s then.
        assert not world.left(before=70), f"seed {seed}: {world.left(before=70)} still wait"


def leases_of_the_last_leader_forgotten(patch: Patch) -> None:
    init = Board.__init__

    def begun(self: Board, *args: Any, **more: Any) -> None:
        init(self, *args, **more)
        self.unproven_until = self.began

    patch.setattr(Board, "__init__", begun)
    patch.setattr("roseweir.cloud.desk.surplus", lambda board, left, at, kept: [])


def test_a_leader_that_forgets_what_the_last_one_kept_alive_is_caught(monkeypatch: Patch) -> None:
    leases_of_the_last_leader_forgotten(monkeypatch)
    assert caught(followed, range(7820, 7850), "ran_twice", 125)


# -- a command or its answer is held up, and the machine goes on --------------------------------------


def held_up(seed: int) -> World:
    """Direct commands and questions come 2 to 12 s late, also to machines that hung, while gangs are stopped."""
    world = World(seed, calm=True, back_after=(0.2, 1.0))

    async def act(world: World) -> None:
        await asyncio.sleep(10)
        world.held_commands = 0.8
        while True:
            worker = world.draw.choice(sorted(world.workers.values(), key=lambda w: w.host.name))
            worker.hung = True
            await asyncio.sleep(world.draw.choice([1.0, 4.5]))
            worker.hung = False
            if world.draw.random() < 0.2:
                await world.restart(world.leader())
            await asyncio.sleep(world.draw.uniform(0.5, 3.0))

    world.spawn_later(act)
    return world


def test_commands_that_come_late_harm_nobody() -> None:
    for seed in range(7830, 7836):
        check(held_up(seed).play(length=90, jobs=25))


def starts_by_direct_commands(patch: Patch) -> None:
    halts, direct = Board.halts, WorkerDesk.direct

    def more(self: Board, machine: Any) -> list[dict[str, Any]]:
        ready = [p for p in machine.placements.values() if p.phase in (Phase.READY, Phase.SENT)]
        return halts(self, machine) + [wire.run(p.name, p.attempt) for p in ready]

    async def eager(self: WorkerDesk) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(direct(self))
            while True:
                await asyncio.sleep(0.1)
                self.board.urgent |= self.board.machines.keys()

    patch.setattr(Board, "halts", more)
    patch.setattr(WorkerDesk, "direct", eager)


def test_a_start_that_can_come_late_is_caught(monkeypatch: Patch) -> None:
    starts_by_direct_commands(monkeypatch)
    assert caught(held_up, range(7830, 7850), "", 90, 25)


# -- input that makes no sense ----------------------------------------------------------------------


def test_a_report_that_makes_no_sense_gets_400_and_changes_nothing() -> None:
    board = new_board()
    hand = Hand(board, "i-1")
    hand.report(NOW)
    run = board.add_job(job(1, tasks=2, cpus=2.0), 1)
    plan(board, NOW)
    record(board)
    hand.report(NOW)
    hand.report(NOW)
    term = Term(TERM, 1, 1, NOW)
    good = orjson.loads(orjson.dumps(msgspec.to_builtins(hand.body())))

    async def main() -> None:
        desk = WorkerDesk(board, term, Bell(), asyncio.Event(), lambda *_: None, lambda: True)  # type: ignore[arg-type]
        desk.news_at = term.held_at = steady()
        before = [(p.name, p.phase, p.state) for p in run.placed.values()], hand.machine.seq, len(hand.machine.exits)
        gone = {"parcel": "j-000001/0", "try": 1, "standing": "exited", "cause": "done"}
        for strange in [
            {"parcels": [gone, {"parcel": "j-1/x", "try": 1, "standing": "running"}]},
            {"parcels": [gone, {"parcel": "j-000001/-1", "try": 1, "standing": "exited", "cause": "done"}]},
            {"parcels": [gone | {"try": -4}]},
            {"tally": -1},
            {"recall_s": 1e300},
            {"endpoint": "nowhere"},
            {"parcels": None},
        ]:
            raw = orjson.dumps(good | strange)
            assert (await desk.report(Request("POST", "/hello", raw))).status == 400, strange
        after = [(p.name, p.phase, p.state) for p in run.placed.values()], hand.machine.seq, len(hand.machine.exits)
        assert before == after and not term.ended.is_set()

    virtual.run(main())


def test_an_unreadable_record_of_who_leads_ends_no_controller() -> None:
    world = World(7840, calm=True)

    async def spoil(world: World) -> None:
        await asyncio.sleep(20)
        held = world.state.keys["lead/leader"][2]
        world.state.txn({"guards": [], "then": [put("lead/leader", ["nobody"], held)]})
        await asyncio.sleep(5)
        world.state.txn({"guards": [], "then": [{"delete": "lead/leader"}]})

    world.spawn_later(spoil)
    check(world.play(length=60, jobs=15))
    assert len(world.terms) >= 2, "nobody led once it was gone"


# -- chains, promises, moves and drains in all of these ----------------------------------------------

MET = [*LATER, *LEFT_OUT, *MEETING, *MEETING, *MEETING]


def with_chains(seed: int) -> World:
    world = seen_in_the_viewer(ChainWorld(seed, troubles=MET, back_after=(0.1, 3.0)))

    async def act(_: World) -> None:
        for at, amendment in world.registry.day(70.0, 3.0, 20.0, 15):
            await asyncio.sleep(max(0.0, at - now()))
            world.spawn(world.amend(amendment))

    world.spawn_later(act)
    return world


def with_drains(seed: int) -> World:
    return replaced(seed, older=20, calm=False, troubles=MET)


def with_promises(seed: int) -> World:
    world = seen_in_the_viewer(Landings(seed, promised(time(0, 1, 30)), calm=False, troubles=MET, scale=2))
    world.spawn_later(world.night)
    return world


def with_moves(seed: int) -> World:
    world = Pieces(seed, pieces_tuning(0.3), 0.3, calm=False, troubles=MET)
    world.spawn_later(world.story)
    return world


@pytest.mark.parametrize("seed", range(7860, 7863))
@pytest.mark.parametrize("with_", [with_chains, with_drains, with_promises, with_moves], ids=lambda w: w.__name__)
def test_steps_promises_budgets_and_moves_hold_where_troubles_meet(with_: Callable[[int], World], seed: int) -> None:
    check(with_(seed).play(length=110, jobs=10))
