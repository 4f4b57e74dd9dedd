"""`forecast compare`: replays the same load under each scaling policy and computes the figures of each."""

from collections.abc import Callable, Iterable
from concurrent.futures import Future, ProcessPoolExecutor, wait
from datetime import UTC, datetime, time, timedelta, tzinfo
from multiprocessing import Array
from typing import Any, NamedTuple

import msgspec
from hdrh.histogram import HdrHistogram

from roseweir.forecast.demand_history import Pool
from roseweir.forecast.forecaster import CapacityNeed
from roseweir.forecast.settings import PredictiveScalingSettings
from roseweir.forecast.tools.recorded_load import Arrival
from roseweir.forecast.tools.replay import Replay, ReplayOutcome, TaskStart, actual_peaks
from roseweir.forecast.tools.simulated_provider import SimulatedProvider
from roseweir.operator_config import OperatorConfig

NONE, RESERVE, AHEAD, BEST = "none", "reserve", "ahead", "best"
POLICIES = (NONE, RESERVE, AHEAD, BEST)
# In a burst demand reaches this part of the highest measured demand; a lull up to this long does not end it.
MIN_BURST_SHARE, MAX_LULL = 0.35, timedelta(minutes=30)
# The smallest sufficient reserve is found in two rounds of this many sizes, as shares of the highest demand.
RESERVE_SIZES_PER_ROUND, MAX_RESERVE_SHARE = 8, 1.2
# A reserve is sufficient if the 95th percentile of its waits is at most this much above that of `ahead`.
WAIT_TOLERANCE_S = 1.0
PROGRESS_INTERVAL_S = 10.0
MAX_WAIT_MS = 7 * 86400 * 1000


class Burst(NamedTuple):
    name: str
    begins_at: float
    ends_at: float


class ReplayCase(msgspec.Struct):
    """The inputs of a replay, as passed to a worker process."""

    provider: SimulatedProvider
    operator_config: OperatorConfig
    scaling_settings: PredictiveScalingSettings
    load: list[Arrival]
    measured_from: float
    seed: int


class PolicyResult(msgspec.Struct):
    policy: str
    outcome: ReplayOutcome
    figures: dict[str, Any]
    size: float | None = None


def measurement_start(load: list[Arrival], days: int, zone: tzinfo) -> float:
    """The local midnight that lies `days` before the end of the load's last day."""
    last_day = datetime.fromtimestamp(load[-1].arrived_at, UTC).astimezone(zone).date()
    return datetime.combine(last_day - timedelta(days=days - 1), time(), zone).timestamp()


def find_bursts(case: ReplayCase) -> list[Burst]:
    peaks = actual_peaks(_make_replay(case, False))
    slot_s = case.scaling_settings.slot_s
    totals = {slot: sum(pools.values()) for slot, pools in peaks.items()}
    threshold = MIN_BURST_SHARE * max(totals.values(), default=0.0)
    slot_ranges: list[list[int]] = []
    for slot in sorted(s for s, total in totals.items() if total >= threshold > 0):
        if slot_ranges and (slot - slot_ranges[-1][1]) * slot_s <= MAX_LULL.total_seconds():
            slot_ranges[-1][1] = slot
        else:
            slot_ranges.append([slot, slot])
    zone = case.scaling_settings.calendar.zone
    bursts = []
    for first, last in slot_ranges:
        # Demand reaches the threshold a little after its first submissions.
        begins_at, ends_at = (first - 1) * slot_s, (last + 1) * slot_s
        name = datetime.fromtimestamp(first * slot_s, UTC).astimezone(zone).strftime("%a %d %b %H:%M")
        bursts.append(Burst(name, begins_at, ends_at))
    return bursts


def _make_replay(
    case: ReplayCase, is_predictive: bool, progress: Callable[[float], None] = lambda share: None
) -> Replay:
    return Replay(
        case.provider,
        case.operator_config,
        case.scaling_settings,
        case.load,
        case.measured_from,
        case.seed,
        is_predictive=is_predictive,
        progress=progress,
    )


def run_replay(
    case: ReplayCase, policy: str, size: float = 0.0, progress: Callable[[float], None] = lambda share: None
) -> ReplayOutcome:
    """Run one replay. `size`: of the reserve, as a share of each pool's highest demand."""
    replay = _make_replay(case, policy != NONE, progress)
    if policy in (RESERVE, BEST):
        peaks = actual_peaks(replay)
        history, forecaster = replay.planner.history, replay.planner.forecaster

        def perfect_forecast(now: float, lead_times_s: dict[Pool, float]) -> list[CapacityNeed]:
            """The highest actual demand until machines requested now can run tasks."""
            needs: list[CapacityNeed] = []
            for pool, shape in forecaster.task_shapes().items():
                last_slot = history.slot_of(now + lead_times_s.get(pool, history.slot_s))
                slots = range(history.slot_of(now), last_slot + 1)
                units = max(peaks.get(slot, {}).get(pool, 0.0) for slot in slots)
                if units > 0:
                    needs.append(CapacityNeed(pool, shape, units, now, "known"))
            return needs

        highest_by_pool: dict[Pool, float] = {}
        for pools in peaks.values():
            for pool, units in pools.items():
                highest_by_pool[pool] = max(highest_by_pool.get(pool, 0.0), units)

        def fixed_reserve(now: float, lead_times_s: dict[Pool, float]) -> list[CapacityNeed]:
            shapes = forecaster.task_shapes()
            return [
                CapacityNeed(p, shapes[p], u * size, now, "reserve")
                for p, u in highest_by_pool.items()
                if p in shapes and size > 0
            ]

        replay.planner.need_source = perfect_forecast if policy == BEST else fixed_reserve
    return replay.run()


# The completed share of each replay, in memory shared between the processes.
_progress_shares: Any = None


def _initialise_worker(progress_shares: Any) -> None:
    global _progress_shares
    _progress_shares = progress_shares


def _run_replay_in_worker(case: ReplayCase, policy: str, size: float, replay_index: int) -> ReplayOutcome:
    def progress(share: float) -> None:
        _progress_shares[replay_index] = share

    return run_replay(case, policy, size, progress)


class _ReplayPool:
    """Runs replays in worker processes and reports their progress."""

    def __init__(self, pool: ProcessPoolExecutor, progress_shares: Any, log_progress: Callable[[str], None]) -> None:
        self._pool, self._shares, self._log_progress = pool, progress_shares, log_progress
        self._started_count = 0

    def start(self, case: ReplayCase, policy: str, size: float = 0.0) -> Future[ReplayOutcome]:
        future = self._pool.submit(_run_replay_in_worker, case, policy, size, self._started_count)
        self._started_count += 1
        return future

    def result(self, future: Future[ReplayOutcome]) -> ReplayOutcome:
        while not wait([future], PROGRESS_INTERVAL_S).done:
            progress_texts = [f"{share:.0%}" for share in self._shares if 0 < share < 1]
            self._log_progress(f"replays under way: {', '.join(progress_texts)}" if progress_texts else "replays begin")
        return future.result()


def compare(
    case: ReplayCase, policies: Iterable[str], workers: int, progress: Callable[[str], None]
) -> tuple[list[PolicyResult], list[Burst]]:
    """Replay each policy. The reserve is the smallest with which waits in bursts are as short as with `ahead`."""
    bursts = find_bursts(case)
    wanted_policies = list(policies)
    results: dict[str, PolicyResult] = {}
    progress_shares = Array("d", len(POLICIES) + 2 * RESERVE_SIZES_PER_ROUND)
    with ProcessPoolExecutor(workers, initializer=_initialise_worker, initargs=(progress_shares,)) as processes:
        pool = _ReplayPool(processes, progress_shares, progress)
        single_size_policies = [
            p
            for p in POLICIES
            if p != RESERVE and (p in wanted_policies or (p == AHEAD and RESERVE in wanted_policies))
        ]
        futures_by_policy = {p: pool.start(case, p) for p in single_size_policies}
        for policy, future in futures_by_policy.items():
            results[policy] = _make_result(policy, pool.result(future), bursts)
            progress(f"{policy}: {format_summary(results[policy].figures)}")
        if RESERVE in wanted_policies:
            max_wait_s = results[AHEAD].figures["burst"]["wait_p95_s"] + WAIT_TOLERANCE_S
            low_size, high_size = 0.0, MAX_RESERVE_SHARE
            smallest: PolicyResult | None = None
            for _ in range(2):
                sizes = [
                    low_size + (high_size - low_size) * n / RESERVE_SIZES_PER_ROUND
                    for n in range(1, RESERVE_SIZES_PER_ROUND + 1)
                ]
                futures = [pool.start(case, RESERVE, size) for size in sizes]
                for size, future in zip(sizes, futures, strict=True):
                    result = _make_result(RESERVE, pool.result(future), bursts)
                    result.size = size
                    progress(f"reserve of {size:.3f} of the highest demand: {format_summary(result.figures)}")
                    if result.figures["burst"]["wait_p95_s"] <= max_wait_s:
                        smallest, high_size = result, size
                        for unneeded in futures:
                            unneeded.cancel()
                        break
                    low_size = size
                else:
                    break
            if smallest is None:
                smallest = result
            results[RESERVE] = smallest
    return [results[p] for p in POLICIES if p in results and p in wanted_policies], bursts


def format_summary(figures: dict[str, Any]) -> str:
    burst = figures["burst"]
    return (
        f"wait in bursts {burst['wait_mean_s']:.1f} s on average, p95 {burst['wait_p95_s']:.1f} s; "
        f"{figures['idle_machine_h']:.1f} idle of {figures['machine_h']:.1f} machine-hours"
    )


def wait_statistics(starts: Iterable[TaskStart]) -> dict[str, Any]:
    """Mean and percentiles of the time from submission to start, in seconds."""
    histogram = HdrHistogram(1, MAX_WAIT_MS, 3)
    total, count = 0.0, 0
    for start in starts:
        histogram.record_value(min(MAX_WAIT_MS, max(1, round(start.wait_s * 1000))))
        total, count = total + start.wait_s, count + 1
    if not count:
        return {"tasks": 0, "wait_mean_s": 0.0, "wait_p50_s": 0.0, "wait_p95_s": 0.0}
    return {
        "tasks": count,
        "wait_mean_s": round(total / count, 2),
        "wait_p50_s": histogram.get_value_at_percentile(50) / 1000,
        "wait_p95_s": histogram.get_value_at_percentile(95) / 1000,
    }


def _make_result(policy: str, outcome: ReplayOutcome, bursts: list[Burst]) -> PolicyResult:
    starts_by_burst: dict[str, list[TaskStart]] = {burst.name: [] for burst in bursts}
    starts_by_class: dict[str, list[TaskStart]] = {}
    for start in outcome.starts:
        starts_by_class.setdefault(start.job_class, []).append(start)
        for burst in bursts:
            if burst.begins_at <= start.submitted_at < burst.ends_at:
                starts_by_burst[burst.name].append(start)
    figures = wait_statistics(outcome.starts) | {
        "idle_machine_h": round(outcome.idle_machine_hours, 2),
        "machine_h": round(outcome.machine_hours, 2),
        "ahead_machine_h": round(outcome.prewarmed_machine_hours, 2),
        "cost": round(outcome.cost, 2),
        "unfinished_jobs": outcome.unfinished_jobs,
        "refusals": outcome.refusals,
        "burst": wait_statistics(start for starts in starts_by_burst.values() for start in starts),
        "by_class": {name: wait_statistics(starts) for name, starts in sorted(starts_by_class.items())},
        "by_burst": {name: wait_statistics(starts) for name, starts in starts_by_burst.items()},
        "ahead_by_day": {day: round(hours, 2) for day, hours in sorted(outcome.prewarmed_hours_by_day.items())},
    }
    return PolicyResult(policy, outcome, figures)
