"""Measures the cost of predictive scaling on a leader.

    python3 -m benchmarks.forecast --machines 723 --series 48 [--json]

The cluster state has the given machines and the demand history full weeks; there is no network. Times are CPU times.
"""

import argparse
import json
import resource
import time
from collections.abc import Callable
from datetime import datetime

import orjson

from roseweir.clock import MONOTONIC_ORIGIN, seconds
from roseweir.forecast.demand_history import Demand, Pool, SeriesKey, TaskShape
from roseweir.forecast.scaling_planner import ScalingPlanner
from roseweir.forecast.settings import PredictiveScalingSettings
from roseweir.forecast.tools.simulated_provider import load_provider
from roseweir.operator_config import OperatorConfig
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import Machine

BEGIN_S = 1_780_272_000.0  # a Monday, UTC


def seconds_per_call(action: Callable[[int], object], call_count: int) -> float:
    started_at = time.process_time()
    for number in range(call_count):
        action(number)
    return (time.process_time() - started_at) / call_count


def peak_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def make_cluster_state(machines: int, now: datetime) -> ClusterState:
    provider = load_provider(None, None, machines, [f"t{n}" for n in range(8)])
    cluster_state = ClusterState(provider.settings, OperatorConfig(), 1, now)
    cluster_state.catalog = dict(provider.catalog)
    machine_types = list(provider.catalog.values())
    for number in range(machines):
        machine = Machine(f"i-{number:06d}", machine_types[number % 4 == 0], "ab"[number % 2], False, added_at=now)
        machine.last_heartbeat_at = machine.scaled_out_at = machine.idle_since = now
        machine.has_acknowledged_term = True
        cluster_state.machines[machine.name] = machine
    return cluster_state


def measure(machines: int, series: int, weeks: int) -> dict[str, float]:
    now = MONOTONIC_ORIGIN
    planner = ScalingPlanner(
        PredictiveScalingSettings(series_most=series, weeks=weeks), make_cluster_state(machines, now)
    )
    peak_before_mb = peak_mb()
    history = planner.history
    pools = [
        Pool(gpus, None, zone, spot) for gpus in (False, True) for zone in (None, "a", "b") for spot in (True, False)
    ]
    at, number = BEGIN_S, 0
    count_times_s: list[float] = []
    while at < BEGIN_S + weeks * 7 * 86400:
        started_at = time.process_time()
        for row in range(series):
            pool = pools[row % len(pools)]
            shape = TaskShape(2.0, 1.0 if pool.gpus else 0.0, 8.0, 4.0)
            key = SeriesKey(pool, f"class-{row}", f"t{row % 8}")
            history.record_accepted_job(Demand(f"j-{number}", key, shape, at, 1500.0, 20.0, 30000.0, 10))
            number += 1
        history.mark_watched(at - 1800, at)
        count_times_s.append((time.process_time() - started_at) / series)
        at += 1800
        for block in history.open_blocks.values():
            block.is_dirty = False
    history.advance_to(at)
    history_mb = peak_mb() - peak_before_mb
    block = max(history.open_blocks.values(), key=lambda b: len(b.cells_by_series))
    return {
        "machines": machines,
        "series": len(history.series),
        "count_us": round(sum(count_times_s) / len(count_times_s) * 1e6, 1),
        "first_needs_ms": round(seconds_per_call(lambda n: planner.forecaster.needs(at, {}), 1) * 1e3, 2),
        "needs_ms": round(seconds_per_call(lambda n: planner.forecaster.needs(at + n, {}), 20) * 1e3, 2),
        "decide_ms": round(
            seconds_per_call(lambda n: planner.plan([], {}, at + n, now + seconds(n / 100)), 100) * 1e3, 2
        ),
        "encode_ms": round(seconds_per_call(lambda n: history.encode(block, 8192), 20) * 1e3, 2),
        "value_bytes": len(orjson.dumps(history.encode(block, 8192))),
        "history_mb": round(history_mb, 1),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description="Measures the cost of predictive scaling on a leader.")
    parser.add_argument("--machines", type=int, default=723)
    parser.add_argument("--series", type=int, default=48)
    parser.add_argument("--weeks", type=int, default=8)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    figures = measure(args.machines, args.series, args.weeks)
    if args.json:
        print(json.dumps(figures))
    else:
        for name, value in figures.items():
            print(f"{name:16} {value}")


if __name__ == "__main__":
    main()
