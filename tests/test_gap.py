"""The gap, a leader cut off, and the word of the other controllers: how long a cancelled job's tasks may stay."""

import asyncio
from collections.abc import Callable
from datetime import datetime
from random import Random
from typing import Any
from weakref import WeakKeyDictionary

import pytest

from roseweir.clock import steady
from roseweir.http import Reply, Response
from roseweir.leadership.leadership import Term
from roseweir.membership.judge import Scouts
from roseweir.placement import board as board_module
from roseweir.reign import Reign
from roseweir.state import StateClient
from roseweir.submissions.jobs import LIVE
from roseweir.workers.desk import WorkerDesk
from tests.meetings import Long, caught, workers
from tests.test_rules import check
from tests.world import Worker, World, now

Patch = pytest.MonkeyPatch

# -- the gap: the leader refused alone, cancels confirmed, then an outage for all ----------------


def gap_world(seed: int) -> tuple[Long, list[float]]:
    """The leader is refused alone, jobs are cancelled elsewhere, then nobody has the state service for long."""
    draw = Random(seed)
    lease = draw.choice([4.0, 6.0, 9.0])
    cancel = lease + draw.choice([4.0, 8.0, 14.0])
    alone = draw.uniform(0.3, 2.3) if seed % 3 else draw.uniform(3.0, 9.0)
    world = Long(seed, params=workers(lease, cancel))
    spans: list[float] = []

    async def gap(world: World) -> None:
        assert isinstance(world, Long)
        await asyncio.sleep(24)
        node = world.leader()
        assert node.service is not None and node.service.reign is not None
        if seed % 2 == 0:
            node.lost["peers"] = "refused"  # or it hears of the cancels, or of its successor if one has time to come
        # Answers that are under way as the service begins to refuse come late.
        world.state_slow = draw.choice([0.0, 1.0, 2.9, 2.9])
        await asyncio.sleep(3)
        world.state.refuses.add(node.name)
        begun = now()
        held = sorted({task.job for _, task in world.on_machines()})
        reign = node.service.reign
        for job_id in held[::2]:
            world.spawn(world.cancel(job_id, node.name))
        await asyncio.sleep(alone)
        if reign is not None:
            known = reign.board.jobs
            world.unheard = sum(1 for j in held[::2] if j in world.cancelled and j in known and not known[j].over)
        world.state_slow = 0.0
        world.state.out = True
        await asyncio.sleep(cancel * 1.5)
        world.state.outage_ends()
        world.state.refuses.clear()
        node.lost.clear()
        spans.append(now() - begun)

    world.spawn_later(gap)
    return world, spans


GAPS = range(7700, 7712)


def test_tasks_of_jobs_cancelled_in_the_gap_are_gone_in_time() -> None:
    """Bound: the last answer goes out less than the hold-over after a read that was sent before the cancel, and the
    worker's lease runs from a report that was sent before that answer: two seconds are left of `cancel_s`."""
    unheard = 0
    for seed in GAPS:
        world, spans = gap_world(seed)
        check(world.play(length=80, jobs=14))
        assert spans and spans[0] > world.cancel_s, "no outage longer than cancel_s"
        unheard += world.unheard
        for job_id, last in world.last_seen.items():
            taken = last - world.cancelled[job_id]
            assert taken <= world.cancel_s - 2.0 + 0.1, (
                f"seed {seed}: {job_id} was there {taken:.2f} s after its cancel"
            )
    assert unheard >= 5, "no leader was left without the news"


def holdover_longer(patch: Patch) -> None:
    """One lease too long."""
    plain = board_module.holdover
    patch.setattr(board_module, "holdover", lambda settings: plain(settings) + settings.params.workers.lease)


def news_at_the_answer(patch: Patch) -> None:
    """News counts from when the answer came, and not from when the question went out."""
    plain = StateClient.watch
    answered: WeakKeyDictionary[StateClient, datetime] = WeakKeyDictionary()
    states: WeakKeyDictionary[WorkerDesk, StateClient] = WeakKeyDictionary()

    async def watch(self: StateClient, prefix: str, *args: Any, **more: Any) -> Any:
        found = await plain(self, prefix, *args, **more)
        if prefix == LIVE and found is not None:
            answered[self] = steady()
        return found

    def may_answer(self: WorkerDesk, at: datetime) -> bool:
        came = answered.get(states[self], self.news_at)
        return at - max(self.news_at, came) < self.board.holdover and not self.term.ended.is_set()

    def begun(self: Reign, *args: Any, **more: Any) -> None:
        init(self, *args, **more)
        states[self.workers] = self.state

    init = Reign.__init__
    patch.setattr(Reign, "__init__", begun)
    patch.setattr(StateClient, "watch", watch)
    patch.setattr(WorkerDesk, "may_answer", may_answer)


@pytest.mark.parametrize("broken", [holdover_longer, news_at_the_answer], ids=lambda b: b.__name__)
def test_a_gap_catches_a_leader_that_answers_too_long(broken: Callable[[Patch], None], monkeypatch: Patch) -> None:
    broken(monkeypatch)
    assert caught(lambda seed: gap_world(seed)[0], range(7736, 7760), "late")


def test_nothing_starts_on_a_lease_that_an_outage_left_before_the_first_news(monkeypatch: Patch) -> None:
    """The lease is renewed as the outage ends; jobs that others had ended before it must not start."""

    def play() -> tuple[list[str], bool]:
        world = Long(7720, params=workers(6.0, 24.0))
        world.tasks_most = 3
        started: list[str] = []
        renewed: list[bool] = []
        plain = world.on_run

        def on_run(worker: Worker, key: tuple[str, int]) -> None:
            plain(worker, key)
            if key[0] in world.cancelled:
                started.append(f"{key[0]}/{key[1]}")

        world.on_run = on_run  # type: ignore[method-assign]

        async def scene(world: World) -> None:
            assert isinstance(world, Long)
            await asyncio.sleep(28.6)
            node = world.leader()
            assert node.service is not None and node.service.reign is not None
            reign = node.service.reign
            handle, hold = world.state.handle, [False]

            async def slow(name: str, method: str, path: str, body: object) -> Reply:
                answer = await handle(name, method, path, body)
                if hold[0] and path.startswith("/watch?prefix=live"):
                    await asyncio.sleep(1.5)
                return answer

            world.state.handle = slow  # type: ignore[method-assign, assignment]
            node.lost["peers"] = "refused"  # or they would tell of the cancels
            # What is placed now is recorded, and cannot be sent: the machines' reports do not come.
            node.lost["workers"] = "refused"
            before = set(world.jobs)
            for _ in range(6):
                world.spawn(world.user())
            await asyncio.sleep(0.7)
            world.state.refuses.add(node.name)
            ready = {p.run.spec.id for m in reign.board.machines.values() for p in m.placements.values()}
            for job_id in sorted(ready - before):
                world.spawn(world.cancel(job_id, node.name))
            await asyncio.sleep(0.8)
            world.state.out = True
            await asyncio.sleep(1.6)
            del node.lost["workers"]
            await asyncio.sleep(2.6)
            hold[0] = True  # the watch is answered later than the renewal
            world.state.outage_ends()
            world.state.refuses.clear()
            await asyncio.sleep(1.2)
            renewed.append(reign.term.may_run())

        world.spawn_later(scene)
        check(world.play(length=50, jobs=2))
        return started, bool(renewed and renewed[0])

    started, renewed = play()
    assert renewed and started == []
    monkeypatch.setattr(WorkerDesk, "may_start", lambda self, at: self.term.may_run())
    started, _ = play()
    assert started, "the variant without news was not caught"


# -- cut from state service and controllers, with workers and users -------------------------------


def cut_world(seed: int) -> Long:
    """The leader is left with its workers and users alone; jobs are cancelled through its successor."""
    world = Long(seed)

    async def lose(world: World) -> None:
        assert isinstance(world, Long)
        await asyncio.sleep(24)
        node = world.leader()
        assert node.service is not None and node.service.reign is not None
        old = node.service.reign
        world.spawn(world.lose(node, ["state", "peers"], 35.0))
        while not any(n is not node and n.service and n.service.reign and n.service.reign.open for n in world.nodes):
            await asyncio.sleep(0.02)
        for job_id in sorted({task.job for _, task in world.on_machines()}):
            await world.cancel(job_id, node.name)
            known = old.board.jobs.get(job_id)
            world.unheard += old.term.reason == "" and known is not None and not known.over

    world.spawn_later(lose)
    return world


def test_cancels_through_the_new_leader_reach_tasks_that_the_old_one_keeps() -> None:
    unheard = 0
    for seed in range(7730, 7738):
        world = cut_world(seed)
        check(world.play(length=70, jobs=14))
        unheard += world.unheard
        for job_id, last in world.last_seen.items():
            assert last - world.cancelled[job_id] <= world.cancel_s - 1.9, f"seed {seed}: {job_id}"
    assert unheard >= 10, "the old leader was gone before any cancel"


def nobody_ends_a_term(patch: Patch) -> None:
    patch.setattr(WorkerDesk, "may_answer", lambda self, at: True)
    patch.setattr(Term, "end", lambda self, reason: None)
    patch.setattr(Scouts, "sends_away", lambda self, *told: False)


def test_a_cut_leader_that_goes_on_is_caught(monkeypatch: Patch) -> None:
    nobody_ends_a_term(monkeypatch)
    assert caught(cut_world, range(7730, 7745), "ran_cancelled", 70)


class Apart(Long):
    """Workers of other zones do not reach one node."""

    apart = ""

    async def hello(self, worker: Worker, index: int, body: dict[str, Any]) -> Response | None:
        node = self.nodes[index]
        if node.name == self.apart and worker.host.yard != node.zone:
            await asyncio.sleep(4.0)
            return None
        return await super().hello(worker, index, body)


def renewals_refused(seed: int) -> Long:
    """Nothing can be written or renewed, in a zone that is cut: the leader goes on to read, and to be reported to."""
    world = Apart(seed, controllers=2, scale=3)

    async def refuse(world: World) -> None:
        assert isinstance(world, Apart)
        await asyncio.sleep(24)
        node = world.leader()
        plain = world.state.handle

        async def handle(name: str, method: str, path: str, body: object) -> Reply:
            if name == node.name and method != "GET":
                return Reply(429, b"{}")
            return await plain(name, method, path, body)

        world.state.handle = handle  # type: ignore[method-assign, assignment]
        node.lost["peers"] = "refused"
        world.cuts.add(node.zone)
        world.apart = node.name
        begun = now()
        while node.service is not None and node.service.reign is not None and now() < begun + 45:
            await asyncio.sleep(0.1)
        world.unheard = sum(node.zone == worker.host.yard for worker in world.workers.values())

    world.spawn_later(refuse)
    return world


def rights_by_news_alone(patch: Patch) -> None:
    patch.setattr(
        WorkerDesk,
        "may_answer",
        lambda self, at: at - self.news_at < self.board.holdover and not self.term.ended.is_set(),
    )


@pytest.mark.parametrize("broken", [False, True])
def test_a_leader_that_reads_and_cannot_renew_keeps_no_task_beyond_what_its_successor_counts_on(
    broken: bool, monkeypatch: Patch
) -> None:
    # Giving silent machines back would prove their tasks gone.
    monkeypatch.setattr("roseweir.cloud.desk.surplus", lambda board, left, at, kept: [])
    # As if nobody that it sends to look for another leader found one: what is shown is the bound alone.
    monkeypatch.setattr(Scouts, "found", lambda self, at: False)
    if broken:
        rights_by_news_alone(monkeypatch)
    days = [renewals_refused(seed).play(length=85, jobs=14) for seed in range(7740, 7744)]
    if broken:
        assert any("ran_twice" in str(error) for day in days for error in day.broken)
        return
    for day in days:
        check(day)
    assert all(day.unheard for day in days if isinstance(day, Long))


# -- the word of the other controllers ---------------------------------------------------------------


def out_for_all(seed: int, what: str) -> tuple[Long, dict[str, Any]]:
    """The state service is down for two minutes; before, the leader may be refused alone while jobs are cancelled."""
    world = Long(seed, back_after=(0.1, 0.1))
    seen: dict[str, Any] = {}

    async def act(world: World) -> None:
        assert isinstance(world, Long)
        await asyncio.sleep(24)
        node = world.leader()
        others = [n for n in world.nodes if n is not node]
        held = sorted({task.job for _, task in world.on_machines()})
        seen["sessions"] = {name: worker.session for name, worker in world.workers.items()}
        world.state.refuses.add(node.name)
        await asyncio.sleep(0.8)
        for job_id in held[::2] if what != "nobody" else ():
            await world.cancel(job_id, node.name)
        seen["cancelled"] = len(world.cancelled)
        await asyncio.sleep(0.2)
        world.state.out = True
        if what == "restarted":
            for each in others:
                world.spawn(world.restart(each))
        elif what == "cut":
            others[0].lost["peers"] = "silent"
        elif what == "frozen":
            others[0].gate.shut()
        await asyncio.sleep(45)
        seen["after"] = {name: worker.session for name, worker in world.workers.items()}
        seen["there"] = sorted({task.job for _, task in world.on_machines()} & set(world.cancelled))
        for each in others:
            each.lost.clear()
            each.gate.open()
        world.state.outage_ends()
        world.state.refuses.clear()

    world.spawn_later(act)
    world.run_s = 200.0
    return world, seen


@pytest.mark.parametrize("what", ["nobody", "cancels"])
def test_in_an_outage_of_all_the_word_of_all_controllers_keeps_every_lease_and_stops_what_was_cancelled(
    what: str,
) -> None:
    for seed in range(7850, 7853):
        world, seen = out_for_all(seed, what)
        check(world.play(length=85, jobs=10))
        assert seen["after"] == seen["sessions"] and not seen["there"], "leases ran out"
        assert (seen["cancelled"] > 0) == (what == "cancels")
        for job_id, last in world.last_seen.items():
            assert last - world.cancelled[job_id] < 7.0, "it had to wait for its lease"


@pytest.mark.parametrize("what", ["restarted", "cut", "frozen"])
def test_a_controller_that_began_anew_is_cut_off_or_stands_still_gives_no_word(what: str) -> None:
    for seed in range(7850, 7853):
        world, seen = out_for_all(seed, what)
        check(world.play(length=85, jobs=10))
        assert seen["cancelled"] > 0 and not seen["there"]
        assert all(seen["after"].get(name, 0) != session for name, session in seen["sessions"].items())


def what_an_earlier_process_told_is_forgotten(patch: Patch) -> None:
    from roseweir.submissions.desk import Desk

    patch.setattr(Desk, "cancelled_since", lambda self, span: [job for at, job in self._told if at >= steady() - span])


def most_are_enough(patch: Patch) -> None:
    """The word of those that answer counts for all."""
    from roseweir.membership.desk import Membership
    from roseweir.membership.messages import Told

    plain = Membership.ask_told

    async def some(self: Membership, span: Any) -> Told | None:
        peers, found = self._peers, Told(0, [])
        for name, peer in peers.items():
            self._peers = {name: peer}
            told = await plain(self, span)
            if told is not None:
                found = Told(max(found.term, told.term), (found.cancelled or []) + (told.cancelled or []))
        self._peers = peers
        return found

    patch.setattr(Membership, "ask_told", some)


@pytest.mark.parametrize(
    ("broken", "what"),
    [(what_an_earlier_process_told_is_forgotten, "restarted"), (most_are_enough, "cut"), (most_are_enough, "frozen")],
)
def test_a_word_that_proves_nothing_is_caught(broken: Callable[[Patch], None], what: str, monkeypatch: Patch) -> None:
    broken(monkeypatch)
    assert caught(lambda seed: out_for_all(seed, what)[0], range(7850, 7860), "ran_cancelled", 85, 10)


def slow_for_all(seed: int) -> tuple[Long, list[dict[str, int]]]:
    """Every answer of the state service takes longer than a renewal is waited for; all that is asked is carried out."""
    world = Long(seed)
    sessions: list[dict[str, int]] = []

    async def act(world: World) -> None:
        await asyncio.sleep(24)
        plain = world.state.handle

        async def handle(name: str, method: str, path: str, body: object) -> Reply:
            answer = await plain(name, method, path, body)
            await asyncio.sleep(1.5)
            return answer

        sessions.append({name: worker.session for name, worker in world.workers.items()})
        world.state.handle = handle  # type: ignore[method-assign, assignment]
        await asyncio.sleep(40)
        world.state.handle = plain  # type: ignore[method-assign]
        sessions.append({name: worker.session for name, worker in world.workers.items()})

    world.spawn_later(act)
    return world, sessions


def test_a_leader_whose_renewals_are_answered_too_late_goes_by_the_word_of_the_others() -> None:
    for seed in range(7870, 7873):
        world, sessions = slow_for_all(seed)
        check(world.play(length=90, jobs=10))
        before, after = sessions
        assert before and all(after.get(name) == session for name, session in before.items()), "leases ran out"
