"""Measures how long the replacement of a whole fleet takes for each disruption budget, and compares a lower bound.

    python3 -m benchmarks.fleet_replacement [--seeds 3] [--scale 8]

Runs days of the simulated cluster of the tests, in virtual time: some jobs outlast the drain and write checkpoints, the
others end by themselves. A drain of all machines is requested at second 60.

The lower bound is the larger of two. From the limit on missing machines (hole): only so many machines of a type may be
replaced at a time, and each takes a boot (the shortest possible). From the budget: each long task is interrupted once,
for a checkpoint and a heartbeat, and only so many may be interrupted at a time.
"""

import argparse
import asyncio
from datetime import timedelta
from math import ceil

from roseweir.clock import seconds
from roseweir.drain.settings import DisruptionBudget, DrainSettings
from roseweir.operator_config import OperatorConfig
from tests.simulation.cluster import HEARTBEAT_INTERVAL_S, virtual_now
from tests.simulation.eviction import EvictionCluster

DRAIN_AT_S, MIN_BOOT_S, CHECKPOINT_S = 60.0, 4.0 * 0.3, 1.0


class BenchmarkFleet(EvictionCluster):
    """Long tasks with checkpoints on two fifths of the capacity, and short tasks without, throughout the day."""

    long_jobs = 0

    def make_job(self) -> dict[str, object]:
        overrides: dict[str, object] = {"shape": "sweep", "parcels": 8, "loaners": False, "cores": 2.0}
        if virtual_now() < DRAIN_AT_S / 2 and self.long_jobs < self.scale * 2:
            self.long_jobs += 1
            overrides |= {"guess_s": 3000.0, "mark_every_s": 2.0, "mark_s": CHECKPOINT_S}
        else:
            overrides |= {"guess_s": 8.0, "mark_every_s": 0.0}
        return super().make_job() | overrides


def run_fleet_drain(
    seed: int, scale: int, max_disrupted_share: float, max_missing_share: float
) -> tuple[float, float, int, int, int]:
    """Seconds taken, the lower bound, machines drained, tasks moved, machines rented during the drain."""
    operator_config = OperatorConfig()
    operator_config.drain = DrainSettings(
        hole=max_missing_share,
        soon=seconds(15),
        grace=seconds(60),
        deadline=timedelta(hours=1),
        budgets=[DisruptionBudget(share=max_disrupted_share)],
    )
    cluster = BenchmarkFleet(seed, operator_config, max_disrupted_share, without_random_faults=True, scale=scale)
    results: list[tuple[float, float, int, int, int]] = []

    async def drain_fleet(cluster: BenchmarkFleet) -> None:
        await asyncio.sleep(DRAIN_AT_S)
        machines = [machine for machine in cluster.cloud.machines.values() if machine.worker and not machine.is_gone]
        jobs = [cluster.jobs[t.job_id] for _, t in cluster.active_tasks()]
        long_task_count = sum(job["guess_s"] > 1000 for job in jobs)
        assert await cluster.start_drain("fleet", deadline_s=3000) == 201, cluster.drain_answers
        boot_rounds = max(
            ceil(count / max(1, int(max_missing_share * count)))
            for type_name in ("cpu", "gpu")
            if (count := sum(machine.machine_type == type_name for machine in machines))
        )
        checkpoint_rounds = long_task_count / max(1, int(max_disrupted_share * len(jobs)))
        bound = max(boot_rounds * MIN_BOOT_S, checkpoint_rounds * (CHECKPOINT_S + HEARTBEAT_INTERVAL_S * 0.75))
        rented_before, moved_before = len(cluster.cloud.machines), cluster.moved_count
        while (await cluster.list_drains())["fleet"]["ended_s_ago"] is None:  # noqa: ASYNC110
            await asyncio.sleep(0.5)
        results.append(
            (
                virtual_now() - DRAIN_AT_S,
                bound,
                len(machines),
                cluster.moved_count - moved_before,
                len(cluster.cloud.machines) - rented_before,
            )
        )
        cluster.is_over = True

    cluster.schedule_action(lambda _: drain_fleet(cluster))
    cluster.run(length_s=1200, job_count=scale * 40)
    if cluster.errors or cluster.rule_violations or not results:
        raise SystemExit(f"seed {seed}: {cluster.errors[:1] or cluster.rule_violations[:1] or 'the drain did not end'}")
    return results[0]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=3, metavar="N", help="days for each row (3)")
    parser.add_argument("--scale", type=int, default=8, metavar="N", help="times the small world's machines (8)")
    args = parser.parse_args()
    print("| budget | hole | machines | seconds | bound | times the bound | tasks moved | machines rented |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for disrupted_share in (0.05, 0.1, 0.2):
        for missing_share in (0.1, 0.2):
            day_results = [
                run_fleet_drain(seed, args.scale, disrupted_share, missing_share) for seed in range(1, args.seeds + 1)
            ]
            means = [sum(column) / len(day_results) for column in zip(*day_results, strict=True)]
            mean_s, bound, machines, moved, rented = means
            print(
                f"| {disrupted_share} | {missing_share} | {machines:.0f} | {mean_s:.0f} "
                f"| {bound:.0f} | {mean_s / bound:.1f} | {moved:.0f} | {rented:.0f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
