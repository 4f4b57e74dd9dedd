"""Days of drains and replacements under all troubles; the world's own account checks budgets, gangs and services."""

import asyncio
from datetime import timedelta
from typing import Any

import pytest

from roseweir.clock import seconds
from roseweir.drain.settings import Budget, DrainSettings, OwnReasons
from roseweir.tuning import Tuning
from tests.disturbance import DrainWorld
from tests.test_rules import check
from tests.world import LATER, now

SHARE = 0.2


def tuning(older: float | None = None, **more: Any) -> Tuning:
    own = None if older is None else OwnReasons(older=seconds(older), machines_a_day=10_000, money_a_day=1e6)
    found = Tuning()
    budget = Budget(share=SHARE, **more)
    found.drain = DrainSettings(0.25, seconds(3), seconds(8), timedelta(minutes=5), [budget], [], own)
    return found


def world_of(seed: int, older: float | None = None, calm: bool = True, **more: Any) -> DrainWorld:
    more = {"scale": 2} | more
    return DrainWorld(seed, tuning(older), SHARE, calm=calm, **more)


def test_quiet_day_replaces_the_fleet_within_budgets() -> None:
    world = world_of(1, older=25)
    check(world.play(length=140, jobs=40))
    first = [h for h in world.cloud.hosts.values() if h.rented < 15]
    assert sum(h.gone for h in first) >= 0.8 * len(first), "most of the first machines are replaced"
    assert world.moved > 0, "nothing was stopped that ran again"


@pytest.mark.parametrize("seed", range(12))
def test_rough_days_with_replacements_break_no_rule_and_pass_no_budget(seed: int) -> None:
    world = world_of(20_000 + seed, older=20, calm=False, troubles=LATER)
    check(world.play(length=110, jobs=40))
    assert world.starts > 20


async def overlapping(world: DrainWorld) -> None:
    """Drains of every kind, asked for at any controller, one stopped in the middle."""
    draw = world.draw
    await asyncio.sleep(15)
    assert await world.drain("fleet", deadline_s=60) in (200, 201)
    assert await world.drain("fleet", deadline_s=60) == 200, "the same drain"
    assert await world.drain("fleet", deadline_s=61) == 400
    await asyncio.sleep(draw.uniform(1, 10))
    world.forced_from = now() + 40
    assert await world.drain("zone", zones=["a"], deadline_s=40, force=True) in (200, 201)
    await asyncio.sleep(draw.uniform(1, 10))
    assert await world.drain("spot", spot=True, replace=False, deadline_s=30) in (200, 201, 400)
    await asyncio.sleep(draw.uniform(1, 10))
    status, _ = await world.order({"verb": "stop", "name": "fleet"})
    assert status in (200, 503)
    await asyncio.sleep(65)
    world.troubles = ["lag"]
    await asyncio.sleep(20)
    drains = await world.drains()
    assert {"fleet", "zone"} <= drains.keys(), "an intention that was answered was lost"
    assert all(row["ended_s_ago"] is not None for row in drains.values()), drains


@pytest.mark.parametrize("seed", range(8))
def test_overlapping_drains_under_all_troubles_end_or_say_why_not(seed: int) -> None:
    world = world_of(21_000 + seed, calm=False, troubles=LATER)
    world.spawn_later(lambda _: overlapping(world))
    check(world.play(length=150, jobs=40))
