"""What demand to expect, from the same hours of past weeks. Pure.

A slot of the future is compared with the same local time of earlier weeks, and its neighbours at half the
weight. Each past slot gives one sample for a pool: the teams' peaks, each no more than the team's limit allows,
added up. Teams and classes that come together are so counted together. The answer is a weighted quantile of
the samples, times the level of the present hour (docs/notes/renting-ahead.md).
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from datetime import UTC, datetime, timedelta
from typing import NamedTuple

from roseweir.forecast.history import GUESTS, History, Key, Pool, Shape
from roseweir.forecast.settings import DAY, AheadSettings
from roseweir.settings import Team

NEIGHBOUR = 0.5
# What the present says about the level is held against this much of what is expected: the noise of a quiet hour
# must not move the next burst.
SHY = 0.25
# Demand is absent when less than this part of it has come, once this part of the target should have.
ABSENT, MATTERS = 0.2, 0.25
REMEMBERED, EXPECTED_KEPT = 4096, 256


class Expected(NamedTuple):
    """Units at once, in one slot: quantiles, and why."""

    low: float
    middle: float
    units: float
    weeks: int
    why: str


class Need(NamedTuple):
    """So many units of a pool should stand ready by then."""

    pool: Pool
    shape: Shape
    units: float
    by: float  # seconds since 1970
    why: str


def guest_teams(teams: Iterable[Team]) -> frozenset[str]:
    """Teams without a guarantee; where nobody has one, nobody is a guest."""
    known = list(teams)
    return frozenset(t.name for t in known if not t.guaranteed) if any(t.guaranteed for t in known) else frozenset()


class Forecast:
    def __init__(
        self, settings: AheadSettings, teams: Mapping[str, Team], history: History, guests: frozenset[str]
    ) -> None:
        self.settings = settings
        self.calendar = settings.calendar
        self.zone = self.calendar.zone
        self.teams = teams
        self.history = history
        self.guests = guests | {GUESTS}
        # Weeks that are over do not change, so neither do these.
        self._past: OrderedDict[int, dict[Pool, float]] = OrderedDict()
        self._expected: OrderedDict[int, dict[Pool, Expected]] = OrderedDict()
        self._shapes: dict[Pool, Shape] = {}
        self._shapes_at = -1

    # -- one slot -----------------------------------------------------------------------------

    def demand(self, slot: int) -> dict[Pool, float]:
        """Units that each pool would have had running in this slot, as limits and the guests' share allow."""
        found = self._past.get(slot)
        if found is not None:
            return found
        found = self._demand(slot)
        # The open slot and those that a late count may still reach change.
        if slot < self.history.newest - 2 * 3600 // self.history.slot_s:
            self._past[slot] = found
            if len(self._past) > REMEMBERED:
                self._past.popitem(last=False)
        return found

    def _demand(self, slot: int) -> dict[Pool, float]:
        rows = [(key, shape, self._worth(slot, peak, mean)) for key, shape, peak, mean in self.history.loads(slot)]
        scales = {team: self._within_limit(team, rows) for team in {key.team for key, _, _ in rows}}
        demand: dict[Pool, float] = {}
        guests: dict[Pool, float] = {}
        own = {True: 0.0, False: 0.0}
        for key, _, units in rows:
            units *= scales[key.team]
            if key.team in self.guests:
                guests[key.pool] = guests.get(key.pool, 0.0) + units
            else:
                demand[key.pool] = demand.get(key.pool, 0.0) + units
                own[key.pool.gpus] += units
        for gpus in (True, False):
            theirs = sum(units for pool, units in guests.items() if pool.gpus == gpus)
            if theirs > 0:
                share = min(1.0, own[gpus] * self.settings.guest_share / theirs)
                for pool, units in guests.items():
                    if pool.gpus == gpus and share > 0:
                        demand[pool] = demand.get(pool, 0.0) + units * share
        return demand

    def _worth(self, slot: int, peak: float, mean: float) -> float:
        """The part of a slot's peak that capacity should be held for.

        What is in use for a small part of the slot only is not worth a machine that idles for the rest.
        """
        if slot >= self.history.newest:
            return peak
        return min(peak, mean * self.settings.peak_most)

    def _within_limit(self, name: str, rows: list[tuple[Key, Shape, float]]) -> float:
        """The part of a team's demand that its limit lets run at once."""
        team = self.teams.get(name)
        if team is None:
            return 1.0
        gpus = cpus = 0.0
        for key, shape, units in rows:
            if key.team != name:
                continue
            if key.pool.gpus:
                gpus += units
                cpus += units * (shape.cpus / shape.gpus if shape.gpus > 0 else 0.0)
            else:
                cpus += units
        scale = 1.0
        if team.gpus_max > 0 and gpus > team.gpus_max:
            scale = team.gpus_max / gpus
        if team.cpus_max > 0 and cpus > team.cpus_max:
            scale = min(scale, team.cpus_max / cpus)
        return scale

    # -- the same time in earlier weeks -------------------------------------------------------

    def local(self, slot: int) -> datetime:
        return datetime.fromtimestamp(slot * self.history.slot_s, UTC).astimezone(self.zone)

    def weeks_before(self, slot: int, weeks: int) -> int | None:
        """The slot at the same local time so many weeks before; None if the clocks skipped that time."""
        local = self.local(slot).replace(tzinfo=None) - timedelta(weeks=weeks)
        there = local.replace(tzinfo=self.zone)
        instant = there.astimezone(UTC)
        if instant.astimezone(self.zone).replace(tzinfo=None) != local:
            return None
        return int(instant.timestamp()) // self.history.slot_s

    def _usual(self, slot: int) -> bool:
        """Whether a past slot says something about usual weeks."""
        local = self.local(slot)
        return not self.calendar.is_holiday(local.date()) and self.calendar.event_at(local) is None

    def _samples(self, slot: int) -> tuple[list[tuple[int, float]], int]:
        """Past slots like this one, with their weights, and how many weeks they come from."""
        found: list[tuple[int, float]] = []
        weeks = 0
        for week in range(1, self.settings.weeks + 1):
            same = self.weeks_before(slot, week)
            if same is None:
                continue
            weight = self.settings.fade ** (week - 1)
            near = [(same - 1, weight * NEIGHBOUR), (same, weight), (same + 1, weight * NEIGHBOUR)]
            usable = [(s, w) for s, w in near if self.history.known(s, self.settings.known_share) and self._usual(s)]
            weeks += bool(usable)
            found += usable
        return found, weeks

    def expect(self, slot: int) -> dict[Pool, Expected]:
        """What each pool will want in a slot to come, before the present level is looked at."""
        found = self._expected.get(slot)
        if found is None:
            found = self._expected[slot] = self._expect(slot)
            if len(self._expected) > EXPECTED_KEPT:
                self._expected.popitem(last=False)
        return found

    def _expect(self, slot: int) -> dict[Pool, Expected]:
        local = self.local(slot)
        samples, weeks = self._samples(slot)
        if weeks < self.settings.least_weeks:
            return {}
        factor, suffix = 1.0, ""
        if self.calendar.is_holiday(local.date()):
            factor, suffix = 0.0, ", a holiday"
        event = self.calendar.event_at(local)
        if event is not None:
            factor, suffix = event.factor, f", {event.name}"
        pools = sorted({pool for s, _ in samples for pool in self.demand(s)}, key=repr)
        expected: dict[Pool, Expected] = {}
        for pool in pools:
            values = sorted((self.demand(s).get(pool, 0.0), w) for s, w in samples)
            low, middle, high = (quantile(values, q) * factor for q in (0.25, 0.5, self.settings.quantile))
            expected[pool] = Expected(low, middle, high, weeks, f"{weeks} weeks{suffix}")
        return expected

    def history_says(self) -> str:
        """Why there is no forecast, or an empty text."""
        _, weeks = self._samples(self.history.newest + 1)
        if weeks >= self.settings.least_weeks:
            return ""
        return f"{weeks} of the {self.settings.least_weeks} weeks that a forecast needs are known at this hour"

    # -- the present --------------------------------------------------------------------------

    def level(self, pool: Pool, target: float, now_slot: int) -> tuple[float, str]:
        """By how much the present hour differs from what was expected of it: a factor, and why."""
        slots = max(1, round(self.settings.level_window / self.settings.slot))
        absent_slots = max(1, round(self.settings.absent_after / self.settings.slot))
        actual = expected = 0.0
        came = should = 0.0
        known = absent_known = 0
        for back in range(1, max(slots, absent_slots) + 1):
            slot = now_slot - back
            if not self.history.known(slot, self.settings.known_share):
                continue
            usual = self.expect(slot).get(pool)
            before, now = (0.0 if usual is None else usual.middle), self.demand(slot).get(pool, 0.0)
            if back <= slots:
                actual, expected, known = actual + now, expected + before, known + 1
            if back <= absent_slots:
                came, should, absent_known = came + now, should + before, absent_known + 1
        if known == 0:
            return 1.0, ""
        open_now = self.demand(now_slot).get(pool, 0.0)
        if (
            absent_known == absent_slots
            and should >= MATTERS * target * absent_slots
            and came < ABSENT * should
            and open_now < ABSENT * should / absent_slots
        ):
            return 0.0, f"absent: {came / absent_slots:.3g} came where {should / absent_slots:.3g} was usual"
        shy = SHY * target
        factor = min(self.settings.level_most, (actual / known + shy) / (expected / known + shy)) if target > 0 else 1.0
        usual_now = self.expect(now_slot).get(pool)
        if usual_now is not None and usual_now.middle > 0:
            # What came in the open slot tells at once that a late burst has begun.
            factor = max(factor, min(1.0, open_now / usual_now.middle))
        return factor, f"level {factor:.2f}"

    def needs(self, now: float, leads: Mapping[Pool, float]) -> list[Need]:
        """What should stand ready: the most that is expected from now until what is ordered now is of use.

        `leads` is how long a pool's machines take until they are of use, in seconds; pools that it does not
        name take a slot.
        """
        history = self.history
        slot = history.slot_of(now)
        ahead: dict[int, dict[Pool, Expected]] = {}
        longest = max([*leads.values(), float(history.slot_s)], default=0.0)
        for number in range(slot, history.slot_of(now + longest) + 1):
            ahead[number] = self.expect(number)
        best: dict[Pool, tuple[Expected, int]] = {}
        for number, pools in ahead.items():
            for pool, expected in pools.items():
                if number > history.slot_of(now + leads.get(pool, history.slot_s)):
                    continue
                if expected.units > best.get(pool, (Expected(0, 0, 0, 0, ""), 0))[0].units:
                    best[pool] = expected, number
        shapes = self.shapes()
        needs: list[Need] = []
        for pool, (expected, number) in best.items():
            factor, why = self.level(pool, expected.units, slot)
            units = expected.units * factor
            at = self.local(number).strftime("%H:%M")
            why = f"{expected.units:.3g} at {at} by {expected.why}" + (f", {why}" if why else "")
            if units > 1e-6:
                needs.append(Need(pool, shapes[pool], units, number * history.slot_s, why))
        return needs

    def shapes(self) -> dict[Pool, Shape]:
        """The task of each pool's heaviest series, and the pool's largest image.

        The largest of every measure would make a task that no job has, and that may fit no machine.
        """
        if self._shapes_at != self.history.newest or not self._shapes.keys() >= {k.pool for k in self.history.series}:
            self._shapes_at = self.history.newest
            heaviest: dict[Pool, tuple[float, Shape]] = {}
            images: dict[Pool, float] = {}
            for key, series in self.history.series.items():
                weight = sum(series.areas)
                images[key.pool] = max(images.get(key.pool, 0.0), series.shape.image_gb)
                if key.pool not in heaviest or weight > heaviest[key.pool][0]:
                    heaviest[key.pool] = weight, series.shape
            self._shapes = {p: shape._replace(image_gb=images[p]) for p, (_, shape) in heaviest.items()}
        return self._shapes

    def days(self, now: float) -> int:
        """How many days of the ring were watched at least in part."""
        per_day = round(DAY / self.settings.slot)
        first = self.history.slot_of(now) - self.history.size + 1
        return sum(
            any(self.history.known(s, self.settings.known_share) for s in range(d, d + per_day))
            for d in range(first, first + self.history.size, per_day)
        )


def quantile(values: list[tuple[float, float]], share: float) -> float:
    """The least of the sorted (value, weight) pairs that reaches this share of the weight."""
    total = sum(weight for _, weight in values)
    reached = 0.0
    for value, weight in values:
        reached += weight
        if reached >= share * total - 1e-9:
            return value
    return values[-1][0] if values else 0.0
