"""Promises of mornings: which instant, how they stand, whom they hurry, and that no failure moves or forgets one."""

import asyncio
import random
from datetime import UTC, datetime, time, timedelta
from typing import Any
from zoneinfo import ZoneInfo

import pytest
import sexpdata

from roseweir.calendars import Calendar
from roseweir.chains.model import Chain, Step
from roseweir.clock import seconds
from roseweir.cloud.plan import time_left
from roseweir.forms import SettingsError
from roseweir.placement.plan import queue
from roseweir.promises import cli, track
from roseweir.promises.desk import PromiseDesk
from roseweir.promises.morning import due_ms, instant, night_of
from roseweir.promises.settings import Promise, PromiseSettings
from roseweir.promises.track import (
    AT_RISK,
    CANNOT,
    KEPT,
    LATE,
    ON_COURSE,
    Night,
    Times,
    hurry,
    look,
    lots_there,
    remaining,
)
from roseweir.tuning import Tuning, parse_tuning
from tests.chained import ChainWorld, tuning
from tests.samples import spec as job
from tests.test_chains import watched
from tests.test_placement import NOW, new_board
from tests.test_rules import check
from tests.world import LATER, LEFT_OUT, World, now

TORONTO = Calendar(time_zone="America/Toronto", holidays={(None, 12, 25), (2026, 12, 28)})


def ms(text: str, zone: str = "America/Toronto") -> int:
    return round(datetime.fromisoformat(text).replace(tzinfo=ZoneInfo(zone)).timestamp() * 1000)


@pytest.mark.parametrize(
    ("landed", "due", "more"),
    [
        ("2026-12-01T22:00", "2026-12-02T08:00", {}),
        ("2026-12-02T07:59", "2026-12-02T08:00", {}),
        ("2026-12-02T08:00", "2026-12-03T08:00", {}),
        ("2026-12-02T05:29", "2026-12-02T08:00", {"cut_off": time(5, 30)}),
        ("2026-12-02T05:30", "2026-12-03T08:00", {"cut_off": time(5, 30)}),
        ("2026-12-02T22:59", "2026-12-03T08:00", {"cut_off": time(23)}),
        ("2026-12-02T23:01", "2026-12-04T08:00", {"cut_off": time(23)}),
        ("2026-12-04T20:00", "2026-12-07T08:00", {}),  # a weekend
        ("2026-12-24T20:00", "2026-12-29T08:00", {}),  # a holiday, a weekend, and a holiday of this year
        ("2026-12-04T20:00", "2026-12-05T08:00", {"closed": [6]}),
        # The night in which the clocks go on, and the one in which they go back.
        ("2026-03-07T23:00", "2026-03-08T08:00", {"closed": []}),
        ("2026-10-31T23:00", "2026-11-01T08:00", {"closed": []}),
    ],
)
def test_the_next_business_morning(landed: str, due: str, more: dict[str, Any]) -> None:
    found = due_ms(ms(landed), Promise(**more), TORONTO)
    assert found == ms(due), datetime.fromtimestamp(found / 1000, UTC)
    assert night_of(found, TORONTO) == due[:10]


def test_an_hour_that_is_skipped_or_comes_twice_is_one_instant() -> None:
    zone = ZoneInfo("America/Toronto")
    skipped = instant(datetime(2026, 3, 8).date(), time(2, 30), zone)
    assert skipped.astimezone(zone).replace(tzinfo=None) == datetime(2026, 3, 8, 3, 0)
    twice = instant(datetime(2026, 11, 1).date(), time(1, 30), zone)
    assert twice == datetime(2026, 11, 1, 5, 30, tzinfo=UTC), "the first time"
    for year in (2025, 2026, 2027):
        for day in range(365):
            at = datetime(year, 1, 1) + timedelta(days=day)
            landed = round(at.replace(tzinfo=zone).timestamp() * 1000) + 3600_000 * (day % 24)
            due = due_ms(landed, Promise(), TORONTO)
            local = datetime.fromtimestamp(due / 1000, zone)
            assert due > landed and (local.hour, local.minute) == (8, 0) and local.weekday() < 5


def test_settings_are_checked() -> None:
    found = parse_tuning(
        sexpdata.parse(
            '(calendar (time-zone "America/Toronto")) (promise (by "07:30") (closed "sunday")) (promise (team "t1"))'
        )
    ).promise
    assert found is not None and found.of("t0") is found.promises[0] and found.of("t1") is found.promises[1]
    assert found.calendar.time_zone == "America/Toronto"
    for bad in ('(by "25:00")', '(closed "someday")', "(quantile 1)", "(nothing)", '(by "08:00+01:00")'):
        with pytest.raises(SettingsError):
            parse_tuning(sexpdata.parse(f"(promise {bad})"))
    with pytest.raises(SettingsError):
        parse_tuning(sexpdata.parse("(promise) (promise)"))


def chain(due: int, *steps: Step, lots: int = 2) -> Chain:
    return Chain("am", 1, "t0", 0, 0, "", [f"lot-{n}" for n in range(lots)], list(steps), due_ms=due)


def three(outcomes: tuple[str, str, str] = ("", "", ""), released: tuple[int, int, int] = (1, 0, 0)) -> list[Step]:
    return [
        Step(f"j-{n}", "abc"[n], [n - 1] if n else [], [], outcomes[n], released[n], 5000 * (n + 1), delivers=n == 2)
        for n in range(3)
    ]


def test_how_a_promise_stands_and_that_nothing_is_told_before_its_durable_end() -> None:
    times = Times()
    for value in (8, 10, 12, 10, 30):
        for name in "abc":
            times.add(name, value)

    def usual(step: Step) -> float:
        return times.quantile(step.job_class, 0.5) or 0.0

    left_s, held_by = remaining(chain(0, *three()), usual, 1)
    assert left_s == pytest.approx(30.0, abs=0.01) and held_by == "a"
    assert remaining(chain(0, *three()), usual, 9001)[0] == pytest.approx(22.5), "late steps get a part again"
    states = [
        (100_000, 20_000, 1, ("", "", ""), ON_COURSE),
        (40_000, 20_000, 1, ("", "", ""), AT_RISK),
        (5_000, 0, 1, ("", "", ""), CANNOT),
        (40_000, 0, 41_000, ("done", "done", ""), LATE),
        (40_000, 0, 30_000, ("done", "done", "done"), KEPT),
        (14_000, 0, 30_000, ("done", "done", "done"), track.IN_VIEWER_LATE),
    ]
    for due, margin, at, outcomes, state in states:
        assert look(chain(due, *three(outcomes)), usual, margin, at).state == state
    fan = chain(
        20_000,
        Step("j-1", "c", [], [0], "done", 1, 5_000, delivers=True),
        Step("j-2", "c", [], [1], "done", 1, 25_000, delivers=True),
    )
    assert lots_there(fan) == ["lot-0", "lot-1"] and lots_there(fan, 20_000) == ["lot-0"], "each lot by itself"
    night = Night()
    night.add(fan, "c", 30_000)
    assert (night.promised, night.kept, night.late) == (2, 1, 1) and Night.decode(night.encode()) == night


@pytest.mark.parametrize("seed", range(5))
def test_hurry_moves_nobody_elses_place_and_what_cannot_be_kept_pushes_nobody(seed: int) -> None:
    draw = random.Random(seed)
    board = new_board()
    for n in range(1, 60):
        board.add_job(job(n, team=draw.choice(["t0", "t1"]), priority=draw.randint(1, 3), accepted_ms=n), n)
    plain = queue(board, NOW)
    chosen = draw.sample(plain, 15)
    board.slack_ms = {run.spec.id: draw.randint(-50, 500) * 1000 for run in chosen}
    hurried = queue(board, NOW)
    kind = [(run.spec.team, run.spec.priority, run.covered) for run in plain]
    assert [(run.spec.team, run.spec.priority, run.covered) for run in hurried] == kind
    for group in set(kind):
        runs = [run for run, k in zip(hurried, kind, strict=True) if k == group]
        slack = [board.slack_ms.get(run.spec.id) for run in runs]
        first = [s for s in slack if s is not None]
        assert slack[: len(first)] == sorted(first)
        rest = [run.spec.accepted_ms for run in runs if run.spec.id not in board.slack_ms]
        assert rest == sorted(rest)
    run = chosen[0]
    board.slack_ms[run.spec.id] = 30_000
    assert time_left(board, run, seconds(0)) == seconds(18), "machines are asked for in that time"
    lost = look(chain(5_000, *three()), lambda step: 100.0, 0, 1)
    assert lost.state == CANNOT and hurry([lost], {"am": chain(5_000, *three())}) == {}


# -- in the simulated world ---------------------------------------------------------------------


def promised(by: time, **more: Any) -> Tuning:
    """The world's days begin at midnight."""
    found = tuning()
    found.promise = PromiseSettings(
        promises=[Promise(by=by, closed=[], margin=seconds(more.pop("margin", 40)), **more)]
    )
    return found


def desk_of(world: World) -> PromiseDesk | None:
    return next((n.service.reign.promises for n in world.nodes if n.service and n.service.reign), None)


class Landings(ChainWorld):
    """An array of the same team fills the place before a landing that is promised for soon after."""

    def __init__(self, seed: int, settings: Tuning, landing: int = 12, **more: Any) -> None:
        super().__init__(seed, settings, **({"calm": True, "scale": 1} | more))
        self.registry.run_s = (1.0, 2.0)
        self.landing = landing
        self.fillers = 10
        self.ends: dict[str, float] = {}

    async def night(self, _: World) -> None:
        await asyncio.sleep(6)
        for n in range(self.fillers):
            # Of the team's own, and earlier in the queue.
            filler = self.registry.job(f"j-3{n:05d}", "lot-reproject", 40, guess_s=6.0)
            self.jobs[filler["name_id"]] = filler
            status, answer = await self.ask("POST", "/submissions", filler)
            self.check_answer(filler["name_id"], status, answer)
            if status in (200, 201):
                self.accepted.add(filler["name_id"])
        for _turn in range(self.landing):
            self.spawn(self.amend(self.registry.amendment(fan_out=False)))
            await asyncio.sleep(0.1)

    def finish(self, job: str) -> None:
        super().finish(job)
        self.ends[job] = now()

    def kept(self, due: float) -> tuple[int, int]:
        """Lots that were in the viewer by then, and all of those taken, as the workers know it."""
        taken = {last for last, (name, _) in self.of.items() if name in self.taken}
        lots = sum(len(self.lots[last]) for last in taken)
        return sum(len(self.lots[last]) for last in taken if self.ends.get(last, 1e9) <= due), lots


def share(seeds: range, hurries: bool, patch: pytest.MonkeyPatch) -> float:
    kept = lots = 0
    for seed in seeds:
        with patch.context() as inner:
            if not hurries:
                inner.setattr("roseweir.promises.desk.hurry", lambda standings, chains: {})
            world = watched(Landings(seed, promised(time(0, 1, 40), margin=110)))
            world.fillers = 60
            world.spawn_later(world.night)
            check(world.play(length=102, jobs=1))
            found = world.kept(100.0)
            kept, lots = kept + found[0], lots + found[1]
    return kept / lots


def test_more_promises_are_kept_than_by_plain_order(monkeypatch: pytest.MonkeyPatch) -> None:
    plain, hurried = (share(range(7800, 7803), each, monkeypatch) for each in (False, True))
    assert hurried > plain + 0.15, (plain, hurried)


@pytest.mark.parametrize("who", ["leader", "all", "state", "zone"])
def test_no_failure_moves_forgets_or_doubles_a_promise(who: str) -> None:
    world = watched(Landings(7810, promised(time(0, 2)), landing=8, back_after=(0.1, 1.0), skew=0.5))
    dues: dict[str, set[int]] = {}
    told: list[Any] = []

    async def look_on(_: World) -> None:
        while True:
            await asyncio.sleep(0.1)
            desk = desk_of(world)
            for known in desk._promised() if desk is not None else ():
                dues.setdefault(known.id, set()).add(known.due_ms)

    async def fail(_: World) -> None:
        await asyncio.sleep(12)
        for _turn in range(6):
            if who == "leader":
                await world.restart(world.leader())
            elif who == "all":
                await asyncio.gather(*(world.restart(node) for node in world.nodes))
            elif who == "state":
                world.state.out = True
                await asyncio.sleep(7)
                world.state.outage_ends()
            else:
                world.cuts.add("a")
                await asyncio.sleep(4)
                world.cuts.discard("a")
            await asyncio.sleep(6)

    async def end(_: World) -> None:
        await asyncio.sleep(118)
        while desk_of(world) is None or not desk_of(world).loaded:  # type: ignore[union-attr]
            await asyncio.sleep(0.2)
        desk = desk_of(world)
        assert desk is not None
        desk._look()
        told.append({s.chain: s.state for s in desk.standings.values()})
        told.append(desk.describe())

    world.spawn_later(world.night)
    world.spawn_later(look_on)
    world.spawn_later(fail)
    world.spawn_later(end)
    check(world.play(length=125, jobs=1))
    midnight = round(datetime(2026, 1, 1, tzinfo=UTC).timestamp() * 1000)
    assert set(dues) == set(world.taken) and all(each == {midnight + 120_000} for each in dues.values())
    kept = {world.of[last][0] for last, at in world.ends.items() if at <= 117}
    assert all(told[0].get(name) in (KEPT, track.SUPERSEDED) for name in kept & set(told[0])), told[0]
    assert sum(night["promised"] for night in told[1]["nights"]) == sum(len(a["lots"]) for a in world.sent.values())


@pytest.mark.parametrize("seed", range(7820, 7824))
def test_rough_nights_break_no_rule_and_are_told_as_the_world_knows_them(seed: int) -> None:
    world = watched(Landings(seed, promised(time(0, 1, 30)), calm=False, troubles=[*LATER, *LEFT_OUT], scale=2))
    wrong: list[str] = []

    async def compare(_: World) -> None:
        while True:
            await asyncio.sleep(0.25)
            desk = desk_of(world)
            for standing in list(desk.standings.values()) if desk is not None else ():
                last = world.sent[standing.chain]["steps"][-1]["job"]["name_id"]
                over = world.state.keys.get(f"over/{last}")
                if standing.state == KEPT and (over is None or over[0]["state"] != "done"):
                    wrong.append(f"{standing.chain} told as kept before its durable end")

    world.spawn_later(world.night)
    world.spawn_later(compare)
    check(world.play(length=110, jobs=5))
    assert wrong == []


def test_nights_are_kept_durably_in_bounded_space_and_drawn(tmp_path: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("roseweir.promises.desk.CLOSED_MS", 10_000)
    monkeypatch.setattr("roseweir.promises.desk.SAVE", seconds(2))
    world = watched(Landings(7830, promised(time(0, 1)), landing=6, scale=2))
    told: list[Any] = []

    async def end(_: World) -> None:
        await asyncio.sleep(90)
        told.append("promise/nights" in world.state.keys)
        await world.restart(world.leader())
        await asyncio.sleep(8)
        desk = desk_of(world)
        assert desk is not None
        told.append(desk.describe())
        world.over = True

    world.spawn_later(world.night)
    world.spawn_later(end)
    check(world.play(length=120, jobs=1))
    assert told[0] and told[1]["nights"][0]["night"] == "2026-01-01"
    night = told[1]["nights"][0]
    assert night["kept"] + night["late"] + night["superseded"] == night["promised"] > 0
    cli.draw(told[1], tmp_path / "night.png")
    assert (tmp_path / "night.png").stat().st_size > 5000
