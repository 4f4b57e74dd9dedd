"""Expected demand, computed from the same hours of past weeks. No I/O.

The samples for a future slot are the slots at the same local time of earlier weeks, and their neighbours at half
the weight. Each past slot gives one sample for a pool: the sum of the teams' peaks, each reduced to what the team's
limit allows, so that demand which arrives together is counted together. The forecast is a weighted quantile of the
samples, times the level of the present hour (docs/notes/renting-ahead.md).
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from datetime import UTC, datetime, timedelta
from typing import NamedTuple

from roseweir.forecast.demand_history import BEST_EFFORT_TEAMS, DemandHistory, Pool, SeriesKey, TaskShape
from roseweir.forecast.settings import DAY, PredictiveScalingSettings
from roseweir.settings import Team

NEIGHBOUR_SLOT_WEIGHT = 0.5
# This part of the target is added to both sides of the ratio of actual to expected demand, so that the noise of a quiet
# hour does not change the forecast of the next burst.
LEVEL_DAMPING = 0.25
# Demand is absent if less than this part of the expected demand has arrived, and that was at least this part of the
# target.
MAX_ABSENT_SHARE, MIN_SHARE_OF_TARGET = 0.2, 0.25
MAX_CACHED_PAST_SLOTS, MAX_CACHED_EXPECTATIONS = 4096, 256


class ExpectedDemand(NamedTuple):
    """Quantiles of the concurrent units in one slot, and the reason for the forecast."""

    low_units: float
    median_units: float
    high_units: float
    week_count: int
    reason: str


class CapacityNeed(NamedTuple):
    """Units of a pool that should be available by an instant."""

    pool: Pool
    shape: TaskShape
    units: float
    needed_at: float  # seconds since 1970
    reason: str


def find_best_effort_teams(teams: Iterable[Team]) -> frozenset[str]:
    """Teams without a guarantee; none if no team has a guarantee."""
    all_teams = list(teams)
    return (
        frozenset(t.name for t in all_teams if not t.has_guarantee)
        if any(t.has_guarantee for t in all_teams)
        else frozenset()
    )


class DemandForecaster:
    def __init__(
        self,
        settings: PredictiveScalingSettings,
        teams: Mapping[str, Team],
        history: DemandHistory,
        best_effort_teams: frozenset[str],
    ) -> None:
        self.settings = settings
        self.calendar = settings.calendar
        self.zone = self.calendar.zone
        self.teams = teams
        self.history = history
        self.best_effort_teams = best_effort_teams | {BEST_EFFORT_TEAMS}
        # Slots of past weeks do not change, so what is computed from them can be cached.
        self._past_demand_cache: OrderedDict[int, dict[Pool, float]] = OrderedDict()
        self._expected_cache: OrderedDict[int, dict[Pool, ExpectedDemand]] = OrderedDict()
        self._task_shapes: dict[Pool, TaskShape] = {}
        self._shapes_computed_for = -1

    # -- one slot -----------------------------------------------------------------------------

    def past_demand(self, slot: int) -> dict[Pool, float]:
        """Units that each pool would have had running in this slot, within team limits and the best-effort share."""
        demand = self._past_demand_cache.get(slot)
        if demand is not None:
            return demand
        demand = self._compute_past_demand(slot)
        # The current slot, and recent ones that jobs may still be counted in, are not cached.
        if slot < self.history.newest_slot - 2 * 3600 // self.history.slot_s:
            self._past_demand_cache[slot] = demand
            if len(self._past_demand_cache) > MAX_CACHED_PAST_SLOTS:
                self._past_demand_cache.popitem(last=False)
        return demand

    def _compute_past_demand(self, slot: int) -> dict[Pool, float]:
        rows = [
            (key, shape, self._sustained_units(slot, peak, mean)) for key, shape, peak, mean in self.history.loads(slot)
        ]
        scales = {team: self._team_limit_scale(team, rows) for team in {key.team for key, _, _ in rows}}
        demand: dict[Pool, float] = {}
        best_effort_demand: dict[Pool, float] = {}
        guaranteed_units = {True: 0.0, False: 0.0}
        for key, _, units in rows:
            units *= scales[key.team]
            if key.team in self.best_effort_teams:
                best_effort_demand[key.pool] = best_effort_demand.get(key.pool, 0.0) + units
            else:
                demand[key.pool] = demand.get(key.pool, 0.0) + units
                guaranteed_units[key.pool.gpus] += units
        for gpus in (True, False):
            best_effort_units = sum(units for pool, units in best_effort_demand.items() if pool.gpus == gpus)
            if best_effort_units > 0:
                share = min(1.0, guaranteed_units[gpus] * self.settings.guest_share / best_effort_units)
                for pool, units in best_effort_demand.items():
                    if pool.gpus == gpus and share > 0:
                        demand[pool] = demand.get(pool, 0.0) + units * share
        return demand

    def _sustained_units(self, slot: int, peak: float, mean: float) -> float:
        """The part of a slot's peak that capacity should be held for.

        A peak that lasts for a small part of the slot is not worth a machine that is idle for the rest.
        """
        if slot >= self.history.newest_slot:
            return peak
        return min(peak, mean * self.settings.peak_most)

    def _team_limit_scale(self, team_name: str, rows: list[tuple[SeriesKey, TaskShape, float]]) -> float:
        """The part of a team's demand that its limit lets run at once."""
        team = self.teams.get(team_name)
        if team is None:
            return 1.0
        gpus = cpus = 0.0
        for key, shape, units in rows:
            if key.team != team_name:
                continue
            if key.pool.gpus:
                gpus += units
                cpus += units * (shape.cpus / shape.gpus if shape.gpus > 0 else 0.0)
            else:
                cpus += units
        scale = 1.0
        if team.max_gpus > 0 and gpus > team.max_gpus:
            scale = team.max_gpus / gpus
        if team.max_cpus > 0 and cpus > team.max_cpus:
            scale = min(scale, team.max_cpus / cpus)
        return scale

    # -- samples of past weeks ----------------------------------------------------------------

    def local_time(self, slot: int) -> datetime:
        return datetime.fromtimestamp(slot * self.history.slot_s, UTC).astimezone(self.zone)

    def slot_weeks_before(self, slot: int, weeks: int) -> int | None:
        """The slot at the same local time this many weeks earlier; None if a clock change skipped that time."""
        local = self.local_time(slot).replace(tzinfo=None) - timedelta(weeks=weeks)
        zoned = local.replace(tzinfo=self.zone)
        instant = zoned.astimezone(UTC)
        if instant.astimezone(self.zone).replace(tzinfo=None) != local:
            return None
        return int(instant.timestamp()) // self.history.slot_s

    def _is_typical(self, slot: int) -> bool:
        """Whether a past slot lies outside of holidays and calendar events."""
        local = self.local_time(slot)
        return not self.calendar.is_holiday(local.date()) and self.calendar.event_at(local) is None

    def _past_samples(self, slot: int) -> tuple[list[tuple[int, float]], int]:
        """Past slots comparable to this one, with their weights, and the number of weeks that they come from."""
        samples: list[tuple[int, float]] = []
        weeks = 0
        for week in range(1, self.settings.weeks + 1):
            same_slot = self.slot_weeks_before(slot, week)
            if same_slot is None:
                continue
            weight = self.settings.fade ** (week - 1)
            neighbourhood = [
                (same_slot - 1, weight * NEIGHBOUR_SLOT_WEIGHT),
                (same_slot, weight),
                (same_slot + 1, weight * NEIGHBOUR_SLOT_WEIGHT),
            ]
            usable = [
                (s, w)
                for s, w in neighbourhood
                if self.history.is_watched(s, self.settings.known_share) and self._is_typical(s)
            ]
            weeks += bool(usable)
            samples += usable
        return samples, weeks

    def expected_demand(self, slot: int) -> dict[Pool, ExpectedDemand]:
        """The expected demand of each pool in a future slot, before the present level is applied."""
        expected = self._expected_cache.get(slot)
        if expected is None:
            expected = self._expected_cache[slot] = self._compute_expected_demand(slot)
            if len(self._expected_cache) > MAX_CACHED_EXPECTATIONS:
                self._expected_cache.popitem(last=False)
        return expected

    def _compute_expected_demand(self, slot: int) -> dict[Pool, ExpectedDemand]:
        local = self.local_time(slot)
        samples, weeks = self._past_samples(slot)
        if weeks < self.settings.least_weeks:
            return {}
        factor, suffix = 1.0, ""
        if self.calendar.is_holiday(local.date()):
            factor, suffix = 0.0, ", a holiday"
        event = self.calendar.event_at(local)
        if event is not None:
            factor, suffix = event.demand_factor, f", {event.name}"
        pools = sorted({pool for s, _ in samples for pool in self.past_demand(s)}, key=repr)
        expected: dict[Pool, ExpectedDemand] = {}
        for pool in pools:
            values = sorted((self.past_demand(s).get(pool, 0.0), w) for s, w in samples)
            low, median, high = (weighted_quantile(values, q) * factor for q in (0.25, 0.5, self.settings.quantile))
            expected[pool] = ExpectedDemand(low, median, high, weeks, f"{weeks} weeks{suffix}")
        return expected

    def no_forecast_reason(self) -> str:
        """Why there is no forecast; empty if there is one."""
        _, weeks = self._past_samples(self.history.newest_slot + 1)
        if weeks >= self.settings.least_weeks:
            return ""
        return f"{weeks} of the {self.settings.least_weeks} weeks that a forecast needs are known at this hour"

    # -- present level and needs --------------------------------------------------------------

    def present_level(self, pool: Pool, target: float, current_slot: int) -> tuple[float, str]:
        """The ratio of recent demand to what was expected of it, as a factor for the forecast, and the reason."""
        level_slots = max(1, round(self.settings.level_window / self.settings.slot))
        absent_slots = max(1, round(self.settings.absent_after / self.settings.slot))
        total_actual_units = total_expected_units = 0.0
        arrived_units = due_units = 0.0
        watched_slots = watched_absence_slots = 0
        for slots_back in range(1, max(level_slots, absent_slots) + 1):
            slot = current_slot - slots_back
            if not self.history.is_watched(slot, self.settings.known_share):
                continue
            expected_demand = self.expected_demand(slot).get(pool)
            expected_units, actual_units = (
                (0.0 if expected_demand is None else expected_demand.median_units),
                self.past_demand(slot).get(pool, 0.0),
            )
            if slots_back <= level_slots:
                total_actual_units, total_expected_units, watched_slots = (
                    total_actual_units + actual_units,
                    total_expected_units + expected_units,
                    watched_slots + 1,
                )
            if slots_back <= absent_slots:
                arrived_units, due_units, watched_absence_slots = (
                    arrived_units + actual_units,
                    due_units + expected_units,
                    watched_absence_slots + 1,
                )
        if watched_slots == 0:
            return 1.0, ""
        current_units = self.past_demand(current_slot).get(pool, 0.0)
        if (
            watched_absence_slots == absent_slots
            and due_units >= MIN_SHARE_OF_TARGET * target * absent_slots
            and arrived_units < MAX_ABSENT_SHARE * due_units
            and current_units < MAX_ABSENT_SHARE * due_units / absent_slots
        ):
            return (
                0.0,
                f"absent: {arrived_units / absent_slots:.3g} came where {due_units / absent_slots:.3g} was usual",
            )
        damping = LEVEL_DAMPING * target
        factor = (
            min(
                self.settings.level_most,
                (total_actual_units / watched_slots + damping) / (total_expected_units / watched_slots + damping),
            )
            if target > 0
            else 1.0
        )
        expected_now = self.expected_demand(current_slot).get(pool)
        if expected_now is not None and expected_now.median_units > 0:
            # Demand in the current slot shows at once that a late burst has begun.
            factor = max(factor, min(1.0, current_units / expected_now.median_units))
        return factor, f"level {factor:.2f}"

    def needs(self, now: float, lead_times_s: Mapping[Pool, float]) -> list[CapacityNeed]:
        """The units to have available: the highest expected until machines requested now can run tasks.

        `lead_times_s` is how long that takes for a pool's machines; a pool without an entry takes one slot.
        """
        history = self.history
        current_slot = history.slot_of(now)
        expected_by_slot: dict[int, dict[Pool, ExpectedDemand]] = {}
        longest_lead_s = max([*lead_times_s.values(), float(history.slot_s)], default=0.0)
        for slot in range(current_slot, history.slot_of(now + longest_lead_s) + 1):
            expected_by_slot[slot] = self.expected_demand(slot)
        highest_by_pool: dict[Pool, tuple[ExpectedDemand, int]] = {}
        for slot, pools in expected_by_slot.items():
            for pool, expected in pools.items():
                if slot > history.slot_of(now + lead_times_s.get(pool, history.slot_s)):
                    continue
                if expected.high_units > highest_by_pool.get(pool, (ExpectedDemand(0, 0, 0, 0, ""), 0))[0].high_units:
                    highest_by_pool[pool] = expected, slot
        shapes = self.task_shapes()
        needs: list[CapacityNeed] = []
        for pool, (expected, slot) in highest_by_pool.items():
            factor, reason = self.present_level(pool, expected.high_units, current_slot)
            units = expected.high_units * factor
            local_time = self.local_time(slot).strftime("%H:%M")
            reason = f"{expected.high_units:.3g} at {local_time} by {expected.reason}" + (
                f", {reason}" if reason else ""
            )
            if units > 1e-6:
                needs.append(CapacityNeed(pool, shapes[pool], units, slot * history.slot_s, reason))
        return needs

    def task_shapes(self) -> dict[Pool, TaskShape]:
        """The task shape of each pool's series with the most use, with the pool's largest image size.

        The maximum of each resource would give a task that no job has, and that may fit no machine.
        """
        if self._shapes_computed_for != self.history.newest_slot or not self._task_shapes.keys() >= {
            k.pool for k in self.history.series
        }:
            self._shapes_computed_for = self.history.newest_slot
            heaviest: dict[Pool, tuple[float, TaskShape]] = {}
            images: dict[Pool, float] = {}
            for key, series in self.history.series.items():
                weight = sum(series.areas)
                images[key.pool] = max(images.get(key.pool, 0.0), series.shape.image_gb)
                if key.pool not in heaviest or weight > heaviest[key.pool][0]:
                    heaviest[key.pool] = weight, series.shape
            self._task_shapes = {p: shape._replace(image_gb=images[p]) for p, (_, shape) in heaviest.items()}
        return self._task_shapes

    def watched_days(self, now: float) -> int:
        """The number of days in the history that were watched at least in part."""
        slots_per_day = round(DAY / self.settings.slot)
        first_slot = self.history.slot_of(now) - self.history.slot_count + 1
        return sum(
            any(self.history.is_watched(s, self.settings.known_share) for s in range(d, d + slots_per_day))
            for d in range(first_slot, first_slot + self.history.slot_count, slots_per_day)
        )


def weighted_quantile(values: list[tuple[float, float]], target_share: float) -> float:
    """The lowest value at which the sorted (value, weight) pairs reach this share of the total weight."""
    total = sum(weight for _, weight in values)
    reached_weight = 0.0
    for value, weight in values:
        reached_weight += weight
        if reached_weight >= target_share * total - 1e-9:
            return value
    return values[-1][0] if values else 0.0
