"""How drains stand, for operators. Pure."""

from datetime import datetime
from typing import Any

from roseweir.drain.model import Drain
from roseweir.drain.steps import Steps


def drain(steps: Steps, one: Drain, now: datetime, wall_ms: int) -> dict[str, Any]:
    counts: dict[str, int] = {}
    waits: dict[str, int] = {}
    here = [] if one.outcome else list(steps.machines_of(one.name))
    for machine in here:
        step = steps.step_of(machine).value
        counts[step] = counts.get(step, 0) + 1
        why = steps.waits.get(machine.name)
        if why:
            waits[why] = waits.get(why, 0) + 1
    last = steps.progress.get(one.name)
    return {
        "name": one.name,
        "reason": one.ask.reason,
        "state": one.outcome or "goes on",
        "machines": counts,
        "machines_chosen": one.total,
        "machines_gone": max(0, one.total - (one.left if one.outcome else len(here))),
        "waits_for": None if one.outcome else _main(steps, waits),
        "no_step_for_s": None if last is None or one.outcome else round((now - last).total_seconds(), 1),
        "deadline_in_s": None if one.outcome else round((one.deadline_ms - wall_ms) / 1000, 1),
        "then": "force" if one.ask.force else "give up",
        "replaced": one.ask.replace,
        "expected_end_in_s": None if one.outcome else steps.expected_s(one.name),
        "ended_s_ago": round((wall_ms - one.ended_ms) / 1000, 1) if one.outcome else None,
    }


def _main(steps: Steps, waits: dict[str, int]) -> str | None:
    """What holds all of it, or what holds the most machines."""
    if "" in steps.waits:
        return steps.waits[""]
    if not waits:
        return None
    why = max(sorted(waits), key=lambda w: waits[w])
    others = sum(waits.values()) - waits[why]
    return f"{why} ({waits[why]} machines)" + (f"; {others} for something else" if others else "")


def summary(steps: Steps) -> dict[str, Any]:
    down = [bucket for bucket in steps.account.buckets.values() if bucket.tasks]
    return {
        "drains": [f"{name}: {sum(1 for _ in steps.machines_of(name))} machines left" for name in steps.drains],
        "machines_drained_now": len(steps.cordons),
        "machines_replaced": steps.replaced,
        "teams_disturbed": [f"{b.team}: {b.tasks} tasks down, {b.most} may be" for b in down],
    }


def all_of(steps: Steps, ended: list[Drain], on: bool, now: datetime, wall_ms: int) -> dict[str, Any]:
    active = sorted(steps.drains.values(), key=lambda d: (d.asked_ms, d.name))
    kinds = sorted({c.kind for c in steps.cordons.values()} | steps.pool.gaps.keys() | steps.due.keys())
    own: dict[str, dict[str, int]] = {}
    for name, owner in steps.owners.items():
        machine = steps.board.machines.get(name)
        if machine is not None and owner not in steps.drains:
            counts = own.setdefault(owner, {})
            step = steps.step_of(machine).value
            counts[step] = counts.get(step, 0) + 1
    return {
        "on": on,
        "drains": [drain(steps, one, now, wall_ms) for one in active],
        "own_reasons": None if steps.own is None else steps.own.describe(wall_ms) | {"machines": own},
        "budgets": steps.account.describe(),
        "types": [
            {
                "type": kind,
                "missing": steps.pool.hole(kind, steps.cordons.values()),
                "may_be_missing": steps.pool.most(kind),
                "ready_to_replace": len(steps.pool.free.get(kind, ())),
                "sold_out": steps.pool.is_sold_out(kind, False, now) and steps.pool.is_sold_out(kind, True, now),
            }
            for kind in kinds
        ],
        "machines_replaced": steps.replaced,
        "ended": [drain(steps, one, now, wall_ms) for one in sorted(ended, key=lambda d: -d.ended_ms)],
    }
