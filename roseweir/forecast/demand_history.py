"""Accepted demand, counted in time slots. No I/O: the current instant is always an argument.

Counted is the *offered load*: how much would run concurrently if every accepted job started at once. This is the
capacity with which no job would wait, and unlike the load that ran it does not shrink when machines are missing.
Instants are seconds since 1970 (UTC), so a clock change causes neither a gap nor a repeated slot; the forecaster
converts to local time.

Size limits, for any number of classes, teams and weeks: `series_most` + MAX_TEAM_WIDE_SERIES + 4 series in memory, and
a ring of (7 x weeks + 1) x 24 blocks of one hour in the key-value store, each within the size given to `encode`.
"""

import math
from array import array
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from datetime import datetime
from heapq import heappop, heappush
from typing import Annotated, Any, NamedTuple

import msgspec
import orjson
from msgspec import Meta

BLOCK_DURATION_S = 3600
# Series beyond `series_most`, each for all classes of a team that have no series of their own.
MAX_TEAM_WIDE_SERIES = 16
# Class or team name of a series that combines several.
ANY_NAME = "*"
# Team name of the series that combine all teams without a guarantee.
BEST_EFFORT_TEAMS = "*guests"
# Teams without a guarantee may have this part of the series, so that their classes do not displace those of others.
BEST_EFFORT_SERIES_SHARE = 0.25
# Hours kept for writing while the key-value store is unavailable; older ones are lost.
MAX_UNWRITTEN_BLOCKS = 24
# Boot and image fetch ratios of a machine type that are stored with the newest block.
MAX_RATIOS_PER_TYPE = 32


class Pool(NamedTuple):
    """The machines that a group of jobs can use: with or without GPUs, which types, in which zone, spot or not.

    `types` and `zone` are None if any will do.
    """

    gpus: bool
    types: tuple[str, ...] | None
    zone: str | None
    spot: bool

    def __str__(self) -> str:
        resource = "gpu" if self.gpus else "cpu"
        types = f" on {','.join(self.types)}" if self.types is not None else ""
        zone = f" in {self.zone}" if self.zone is not None else ""
        return f"{resource}{types}{zone}{' (spot too)' if self.spot else ''}"


class SeriesKey(NamedTuple):
    pool: Pool
    job_class: str
    team: str


class TaskShape(NamedTuple):
    """The maximum resources of a task in a series, and its largest image."""

    cpus: float
    gpus: float
    memory_gb: float
    image_gb: float

    def maximum(self, other: "TaskShape") -> "TaskShape":
        return TaskShape(*map(max, self, other))


class Demand(NamedTuple):
    """An accepted job: the units (GPUs, or CPUs for jobs without GPUs) that it uses concurrently, and for how long."""

    job_id: str
    key: SeriesKey
    shape: TaskShape
    accepted_at: float
    duration_s: float  # inf: until it is cancelled
    units: float
    unit_seconds: float
    task_count: int


RatiosByType = Mapping[str, Iterable[tuple[datetime, float]]]


@dataclass(slots=True)
class Series:
    """A ring of slots: the highest number of concurrent units in each, and the unit-seconds in use."""

    shape: TaskShape
    peaks: "array[float]"
    areas: "array[float]"
    area_added_until: float = 0.0  # instant up to which the current slot's area has been added


@dataclass(slots=True)
class Block:
    """An hour as stored in the key-value store: [unit-seconds accepted, tasks, peak, area] by series and slot."""

    number: int
    watched_s: list[float]
    cells_by_series: dict[SeriesKey, dict[int, list[float]]] = field(default_factory=dict)
    revision: int = 0
    is_dirty: bool = True


class InvalidStoredBlock(Exception):
    """A stored block that cannot be used."""


NonNegativeFloat = Annotated[float, Meta(ge=0, le=1e15)]
BoundedName = Annotated[str, Meta(max_length=200)]
Ratio = Annotated[float, Meta(ge=0, le=1e4)]


class StoredSeries(msgspec.Struct, array_like=True):
    pool: Annotated[int, Meta(ge=0)]
    job_class: BoundedName
    team: BoundedName
    shape: tuple[NonNegativeFloat, NonNegativeFloat, NonNegativeFloat, NonNegativeFloat]
    slots: dict[str, tuple[NonNegativeFloat, NonNegativeFloat, NonNegativeFloat, NonNegativeFloat]]


class StoredBlock(msgspec.Struct, rename={"start_s": "start", "counted_revision": "mark", "watched_s": "covered"}):
    slot_s: int
    start_s: int
    counted_revision: Annotated[int, Meta(ge=0)]
    watched_s: list[NonNegativeFloat]
    pools: list[tuple[bool, list[BoundedName] | None, BoundedName | None, bool]]
    series: list[StoredSeries]
    boots: dict[BoundedName, list[Ratio]] = {}
    fetches: dict[BoundedName, list[Ratio]] = {}


@dataclass(slots=True)
class _ActiveJob:
    key: SeriesKey
    units: float
    ends_at: float


class DemandHistory:
    def __init__(self, slot_s: int, weeks: int, series_most: int, best_effort_teams: Iterable[str] = ()) -> None:
        self.slot_s = slot_s
        self.series_most = series_most
        self.days = weeks * 7 + 1
        self.slot_count = self.days * 86400 // slot_s
        self.watched_s = array("d", bytes(8 * self.slot_count))
        self.series: dict[SeriesKey, Series] = {}
        self.open_blocks: dict[int, Block] = {}
        # Revision of the key-value store up to which every accepted job has been counted, by this or an earlier leader.
        self.counted_revision = 0
        self.open_slot: int | None = None
        self.newest_slot = -1
        # The latest boot and image fetch times by machine type, as ratios to the catalog's figures.
        self.boot_ratios: dict[str, list[float]] = {}
        self.fetch_ratios: dict[str, list[float]] = {}
        self._newest_ratio_at: dict[tuple[bool, str], datetime] = {}
        self._active_units: dict[SeriesKey, float] = {}
        self._active_jobs: dict[str, _ActiveJob] = {}
        self._expected_ends: list[tuple[float, str]] = []
        self._best_effort_teams = frozenset(best_effort_teams)  # teams without a guarantee

    # -- time ---------------------------------------------------------------------------------

    def slot_of(self, at: float) -> int:
        return int(at // self.slot_s)

    def has_slot(self, slot: int) -> bool:
        """Whether the ring holds this slot: it is neither too old nor in the future."""
        return self.newest_slot - self.slot_count < slot <= self.newest_slot

    def advance_to(self, now: float) -> None:
        """Open the slots up to now; jobs that are still active are counted in each of them.

        If the clock is behind that of an earlier leader, no slot is opened and that leader's counts remain.
        """
        slot = self.slot_of(now)
        if self.open_slot is None or slot - self.open_slot > self.slot_count:
            self.open_slot = slot - 1
        while self.open_slot < slot:
            start = (self.open_slot + 1) * self.slot_s
            self._expire_jobs(start)
            for key in self._active_units:
                self._accumulate_area(key, start)
            self.open_slot += 1
            self._clear_up_to(self.open_slot)
            for key, units in self._active_units.items():
                if units > 1e-9:
                    self._raise_peak(key, self.open_slot, units)
        self._drop_written_blocks(self.open_slot * self.slot_s // BLOCK_DURATION_S)

    def _drop_written_blocks(self, current_block_number: int) -> None:
        """Drop blocks before the previous hour once written: only the current hour and the previous one still change.

        Blocks not yet written are kept until the key-value store accepts them, up to MAX_UNWRITTEN_BLOCKS.
        """
        if len(self.open_blocks) <= 2:
            return
        for number in [n for n in self.open_blocks if n < current_block_number - 1]:
            if not self.open_blocks[number].is_dirty or number < current_block_number - MAX_UNWRITTEN_BLOCKS:
                del self.open_blocks[number]

    def _clear_up_to(self, slot: int) -> None:
        if self.newest_slot < 0:
            self.newest_slot = slot - 1
        if slot <= self.newest_slot:
            return
        for number in range(max(self.newest_slot + 1, slot - self.slot_count + 1), slot + 1):
            ring_index = number % self.slot_count
            self.watched_s[ring_index] = 0.0
            for series in self.series.values():
                series.peaks[ring_index] = series.areas[ring_index] = 0.0
        if slot * self.slot_s // 86400 != self.newest_slot * self.slot_s // 86400:
            # Once a day: remove series that have no demand in any slot of the ring.
            for key in [k for k, s in self.series.items() if k not in self._active_units and not any(s.peaks)]:
                del self.series[key]
        self.newest_slot = slot

    def _expire_jobs(self, now: float) -> None:
        while self._expected_ends and self._expected_ends[0][0] <= now:
            at, job_id = heappop(self._expected_ends)
            if job_id in self._active_jobs and self._active_jobs[job_id].ends_at <= at:
                self._deactivate_job(job_id, at)

    def _deactivate_job(self, job_id: str, ended_at: float) -> None:
        active = self._active_jobs.pop(job_id, None)
        if active is None:
            return
        self._accumulate_area(active.key, ended_at)
        remaining_units = self._active_units.get(active.key, 0.0) - active.units
        if remaining_units > 1e-9:
            self._active_units[active.key] = remaining_units
        else:
            self._active_units.pop(active.key, None)

    def mark_watched(self, begin_s: float, end_s: float) -> None:
        """Record that every job accepted between the two instants has been counted."""
        slot = self.slot_of(begin_s)
        while begin_s < end_s:
            watched_until = min(end_s, (slot + 1) * self.slot_s)
            block = self._get_or_create_block(slot)
            if block is not None:
                offset = slot - block.number * BLOCK_DURATION_S // self.slot_s
                block.watched_s[offset] = min(float(self.slot_s), block.watched_s[offset] + watched_until - begin_s)
                self.watched_s[slot % self.slot_count] = block.watched_s[offset]
                block.is_dirty = True
            begin_s, slot = watched_until, slot + 1

    def is_watched(self, slot: int, min_share: float) -> bool:
        return self.has_slot(slot) and self.watched_s[slot % self.slot_count] >= min_share * self.slot_s

    # -- counting -----------------------------------------------------------------------------

    def record_accepted_job(self, demand: Demand, is_recount: bool = False) -> None:
        """Count an accepted job.

        `is_recount`: an earlier leader has counted it, so it is only added to the active jobs.
        """
        self.advance_to(demand.accepted_at)
        key = self._choose_series_key(demand)
        if not is_recount:
            slot = self.slot_of(demand.accepted_at)
            cell = self._get_or_create_cell(key, slot)
            if cell is not None:
                cell[0] += demand.unit_seconds
                cell[1] += demand.task_count
        until = demand.accepted_at + demand.duration_s
        if demand.job_id in self._active_jobs or self.open_slot is None:
            return
        if until <= self.open_slot * self.slot_s:
            return
        self._expire_jobs(demand.accepted_at)
        self._accumulate_area(key, demand.accepted_at)
        self._active_jobs[demand.job_id] = _ActiveJob(key, demand.units, until)
        if until < math.inf:
            heappush(self._expected_ends, (until, demand.job_id))
        self._active_units[key] = self._active_units.get(key, 0.0) + demand.units
        self._raise_peak(key, self.open_slot, self._active_units[key])
        if not is_recount:
            # The job was accepted before this leader took over, and no earlier leader counted it in these slots.
            for slot in range(
                max(self.slot_of(demand.accepted_at), self.newest_slot - self.slot_count + 1), self.open_slot
            ):
                self._raise_peak(key, slot, self.series[key].peaks[slot % self.slot_count] + demand.units)
                self._add_area_to_slot(key, slot, demand.units * self.slot_s)

    def record_ended_job(self, job_id: str, now: float) -> None:
        """Remove an ended job from the active ones, before or after its estimated end."""
        self.advance_to(now)
        self._expire_jobs(now)
        self._deactivate_job(job_id, now)

    def _choose_series_key(self, demand: Demand) -> SeriesKey:
        """The series for a job: of its class and team, else of its team, else of all teams, as there is room."""
        key = demand.key
        is_best_effort = key.team in self._best_effort_teams
        best_effort_series_count = (
            sum(k.team == BEST_EFFORT_TEAMS or k.team in self._best_effort_teams for k in self.series)
            if is_best_effort
            else 0
        )
        has_room = (
            len(self.series) < self.series_most
            and best_effort_series_count < self.series_most * BEST_EFFORT_SERIES_SHARE
        )
        team_key = SeriesKey(key.pool, ANY_NAME, key.team)
        if key in self.series or has_room:
            chosen = key
        elif team_key in self.series or (
            not is_best_effort and len(self.series) < self.series_most + MAX_TEAM_WIDE_SERIES
        ):
            chosen = team_key
        else:
            chosen = self._coarse_key(key)
        self._get_or_create_series(chosen, demand.shape)
        return chosen

    def _get_or_create_series(self, key: SeriesKey, shape: TaskShape) -> Series:
        series = self.series.get(key)
        if series is None:
            empty_ring = bytes(4 * self.slot_count)
            series = self.series[key] = Series(shape, array("f", empty_ring), array("f", empty_ring))
        else:
            series.shape = series.shape.maximum(shape)
        return series

    def _get_or_create_block(self, slot: int) -> Block | None:
        """The block of a slot; None if it is neither in memory nor of the current or previous hour."""
        if self.open_slot is None:
            return None
        number = slot * self.slot_s // BLOCK_DURATION_S
        current_number = self.open_slot * self.slot_s // BLOCK_DURATION_S
        block = self.open_blocks.get(number)
        if block is None and current_number - 1 <= number <= current_number:
            block = self.open_blocks[number] = Block(number, [0.0] * (BLOCK_DURATION_S // self.slot_s))
        return block

    def _get_or_create_cell(self, key: SeriesKey, slot: int) -> list[float] | None:
        block = self._get_or_create_block(slot)
        if block is None:
            return None
        block.is_dirty = True
        offset = slot - block.number * BLOCK_DURATION_S // self.slot_s
        return block.cells_by_series.setdefault(key, {}).setdefault(offset, [0.0] * 4)

    def _accumulate_area(self, key: SeriesKey, now: float) -> None:
        """Add the unit-seconds used in the current slot since the last addition."""
        series = self.series.get(key)
        if series is None or self.open_slot is None:
            return
        begin = max(series.area_added_until, self.open_slot * self.slot_s)
        end = min(now, (self.open_slot + 1) * self.slot_s)
        if end > begin:
            self._add_area_to_slot(key, self.open_slot, self._active_units.get(key, 0.0) * (end - begin))
            series.area_added_until = end

    def _add_area_to_slot(self, key: SeriesKey, slot: int, area: float) -> None:
        if area > 0 and self.has_slot(slot):
            self.series[key].areas[slot % self.slot_count] += area
            cell = self._get_or_create_cell(key, slot)
            if cell is not None:
                cell[3] += area

    def _raise_peak(self, key: SeriesKey, slot: int, units: float) -> None:
        series = self.series.get(key)
        if series is None or not self.has_slot(slot):
            return
        ring_index = slot % self.slot_count
        if units > series.peaks[ring_index]:
            series.peaks[ring_index] = units
            cell = self._get_or_create_cell(key, slot)
            if cell is not None:
                cell[2] = units

    def loads(self, slot: int) -> Iterator[tuple[SeriesKey, TaskShape, float, float]]:
        """The offered load of each series in this slot: its peak and its mean, in units."""
        if not self.has_slot(slot):
            return
        ring_index = slot % self.slot_count
        for key, series in self.series.items():
            if series.peaks[ring_index] > 0:
                yield key, series.shape, series.peaks[ring_index], series.areas[ring_index] / self.slot_s

    # -- encoding for the key-value store -----------------------------------------------------

    def encode(self, block: Block, max_bytes: int) -> dict[str, Any]:
        """The block's stored value, within `max_bytes`: the series with the least demand are merged until it fits."""
        counts = {key: {o: list(cell) for o, cell in cells.items()} for key, cells in block.cells_by_series.items()}
        while True:
            value = self._encode_block(block, counts)
            size = len(orjson.dumps(value))
            if size <= max_bytes:
                return value
            if all(key == self._coarse_key(key) for key in counts):
                # Only the four combined series are left, and these are small; the ratios may still be many.
                value["boots"] = value["fetches"] = {}
                return value
            lightest = [key for key in counts if key != self._coarse_key(key)]
            lightest.sort(key=lambda k: sum(cell[0] for cell in counts[k].values()))
            for key in lightest[: max(1, len(counts) // 8)]:
                self._merge_series(counts, key)

    def _coarse_key(self, key: SeriesKey) -> SeriesKey:
        """The combined series for jobs without a series of their own; it may use any machine that is not spot."""
        team = BEST_EFFORT_TEAMS if key.team == BEST_EFFORT_TEAMS or key.team in self._best_effort_teams else ANY_NAME
        return SeriesKey(Pool(key.pool.gpus, None, None, False), ANY_NAME, team)

    def _merge_series(self, counts: dict[SeriesKey, dict[int, list[float]]], key: SeriesKey) -> None:
        team_key = SeriesKey(key.pool, ANY_NAME, key.team)
        target = team_key if key.job_class != ANY_NAME and team_key in counts else self._coarse_key(key)
        self._get_or_create_series(target, self.series[key].shape if key in self.series else TaskShape(0, 0, 0, 0))
        target_cells = counts.setdefault(target, {})
        for offset, cell in counts.pop(key).items():
            # Peaks of different series need not coincide; their sum is an upper bound.
            target_cells[offset] = [a + b for a, b in zip(target_cells.get(offset, [0.0] * 4), cell, strict=True)]

    def _encode_block(self, block: Block, counts: dict[SeriesKey, dict[int, list[float]]]) -> dict[str, Any]:
        pools: dict[Pool, int] = {}
        rows = []
        for key, cells in counts.items():
            number = pools.setdefault(key.pool, len(pools))
            shape = self.series[key].shape if key in self.series else TaskShape(0, 0, 0, 0)
            slots = {str(o): [_round_to_four_digits(x) for x in cell] for o, cell in cells.items()}
            rows.append([number, key.job_class, key.team, list(shape), slots])
        return {
            "slot_s": self.slot_s,
            "start": block.number * BLOCK_DURATION_S,
            "mark": self.counted_revision,
            "covered": [round(x) for x in block.watched_s],
            "pools": [[p.gpus, None if p.types is None else list(p.types), p.zone, p.spot] for p in pools],
            "series": rows,
            "boots": {name: [_round_to_four_digits(x) for x in ratios] for name, ratios in self.boot_ratios.items()},
            "fetches": {name: [_round_to_four_digits(x) for x in ratios] for name, ratios in self.fetch_ratios.items()},
        }

    def load_block(self, value: Any, revision: int, now: float, key: str, key_of_block: Callable[[int], str]) -> None:
        """Add a stored block to the history. Raises InvalidStoredBlock, and adds nothing, if it is invalid.

        Blocks of an earlier round of the ring, or from the future, are ignored.
        """
        try:
            stored = msgspec.convert(value, StoredBlock)
        except (msgspec.ValidationError, RecursionError) as e:
            raise InvalidStoredBlock(str(e)) from e
        slots_per_block = BLOCK_DURATION_S // self.slot_s
        if stored.slot_s != self.slot_s:
            raise InvalidStoredBlock(f"the slot length is {stored.slot_s} s")
        if (
            stored.start_s % BLOCK_DURATION_S
            or len(stored.watched_s) != slots_per_block
            or key_of_block(stored.start_s // BLOCK_DURATION_S) != key
        ):
            raise InvalidStoredBlock("the start or the number of slots does not match the key")
        rows: list[tuple[SeriesKey, TaskShape, dict[int, tuple[float, float, float, float]]]] = []
        for row in stored.series:
            if row.pool >= len(stored.pools):
                raise InvalidStoredBlock("a series refers to a missing pool")
            gpus, types, zone, spot = stored.pools[row.pool]
            pool = Pool(gpus, None if types is None else tuple(types), zone, spot)
            slots = {int(o): cell for o, cell in row.slots.items() if o.isascii() and o.isdigit()}
            if len(slots) != len(row.slots) or any(o >= slots_per_block for o in slots):
                raise InvalidStoredBlock("a series has slots outside its block")
            rows.append((SeriesKey(pool, row.job_class, row.team), TaskShape(*row.shape), slots))
        number = stored.start_s // BLOCK_DURATION_S
        first_slot = number * slots_per_block
        current_number = int(now // BLOCK_DURATION_S)
        if not current_number - self.slot_count // slots_per_block < number <= current_number + 1:
            return
        self.counted_revision = max(self.counted_revision, stored.counted_revision)
        self._clear_up_to(
            max(self.newest_slot, min(first_slot + slots_per_block - 1, self.slot_of(now) + slots_per_block))
        )
        block = Block(number, [min(float(self.slot_s), c) for c in stored.watched_s], {}, revision, is_dirty=False)
        for offset, watched_s in enumerate(block.watched_s):
            if self.has_slot(first_slot + offset):
                self.watched_s[(first_slot + offset) % self.slot_count] = watched_s
        for stored_key, shape, slots in rows:
            is_full = stored_key not in self.series and len(self.series) >= self.series_most + MAX_TEAM_WIDE_SERIES
            chosen = self._coarse_key(stored_key) if is_full else stored_key
            series = self._get_or_create_series(chosen, shape)
            cells = block.cells_by_series.setdefault(chosen, {})
            for offset, cell in slots.items():
                previous_cell = cells.get(offset, [0.0] * 4)
                cells[offset] = [a + b for a, b in zip(previous_cell, cell, strict=True)]
                if self.has_slot(first_slot + offset):
                    ring_index = (first_slot + offset) % self.slot_count
                    series.peaks[ring_index], series.areas[ring_index] = cells[offset][2], cells[offset][3]
        if number >= current_number - 1:
            self.open_blocks[number] = block
        if number >= max(self.open_blocks, default=0):
            self.boot_ratios = {name: list(ratios[-MAX_RATIOS_PER_TYPE:]) for name, ratios in stored.boots.items()}
            self.fetch_ratios = {name: list(ratios[-MAX_RATIOS_PER_TYPE:]) for name, ratios in stored.fetches.items()}

    def record_startup_ratios(self, boot_ratios: RatiosByType, fetch_ratios: RatiosByType) -> None:
        """Add new boot and fetch ratios.

        The cluster state keeps ratios for minutes; the late ones of past weeks are needed here.
        """
        for ratios_by_type, samples_by_type in ((self.boot_ratios, boot_ratios), (self.fetch_ratios, fetch_ratios)):
            for name, samples in samples_by_type.items():
                newest_at = self._newest_ratio_at.get((ratios_by_type is self.boot_ratios, name))
                new_samples = [(at, ratio) for at, ratio in samples if newest_at is None or at > newest_at]
                if new_samples:
                    self._newest_ratio_at[ratios_by_type is self.boot_ratios, name] = new_samples[-1][0]
                    ratios_by_type[name] = [
                        *ratios_by_type.get(name, []),
                        *(min(1e4, ratio) for _, ratio in new_samples),
                    ][-MAX_RATIOS_PER_TYPE:]

    def dirty_blocks(self) -> Iterable[Block]:
        return [block for _, block in sorted(self.open_blocks.items()) if block.is_dirty]


def _round_to_four_digits(value: float) -> float:
    """Round to four significant digits, which are precise enough and keep stored values small."""
    rounded = float(f"{value:.4g}")
    return int(rounded) if rounded == int(rounded) else rounded
