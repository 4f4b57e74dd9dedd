"""How long a whole fleet takes to replace, by budget, beside what no order of steps could beat.

    python3 -m benchmarks.fleet_replacement [--seeds 3] [--scale 8]

Days of the simulated world of the tests, in virtual time: some jobs outlast the drain and can save, the others end
by themselves. A drain of all machines is asked for at second 60.

The bound is the larger of two. By the hole: so many machines of a type may be on their way at once, and each takes a
boot (the shortest that is drawn). By the budget: each long task has to be down once for its save and a report, and only
so many may be down together.
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
    """Long tasks that save, on two fifths of what can be had, and short ones that do not, all through the day."""

    long_jobs = 0

    def make_job(self) -> dict[str, object]:
        more: dict[str, object] = {"shape": "sweep", "parcels": 8, "loaners": False, "cores": 2.0}
        if virtual_now() < DRAIN_AT_S / 2 and self.long_jobs < self.scale * 2:
            self.long_jobs += 1
            more |= {"guess_s": 3000.0, "mark_every_s": 2.0, "mark_s": CHECKPOINT_S}
        else:
            more |= {"guess_s": 8.0, "mark_every_s": 0.0}
        return super().make_job() | more


def run_fleet_drain(
    seed: int, scale: int, max_disrupted_share: float, max_missing_share: float
) -> tuple[float, float, int, int, int]:
    """Seconds taken, the bound, machines drained, tasks moved, machines rented meanwhile."""
    tuning = OperatorConfig()
    tuning.drain = DrainSettings(
        hole=max_missing_share,
        soon=seconds(15),
        grace=seconds(60),
        deadline=timedelta(hours=1),
        budgets=[DisruptionBudget(share=max_disrupted_share)],
    )
    cluster = BenchmarkFleet(seed, tuning, max_disrupted_share, is_calm=True, scale=scale)
    found: list[tuple[float, float, int, int, int]] = []

    async def drain_fleet(cluster: BenchmarkFleet) -> None:
        await asyncio.sleep(DRAIN_AT_S)
        hosts = [h for h in cluster.cloud.machines.values() if h.worker and not h.is_gone]
        tasks = [cluster.jobs[t.job_id] for _, t in cluster.active_tasks()]
        long = sum(job["guess_s"] > 1000 for job in tasks)
        assert await cluster.start_drain("fleet", deadline_s=3000) == 201, cluster.drain_answers
        waves = max(
            ceil(count / max(1, int(max_missing_share * count)))
            for build in ("cpu", "gpu")
            if (count := sum(h.machine_type == build for h in hosts))
        )
        moves = long / max(1, int(max_disrupted_share * len(tasks)))
        bound = max(waves * MIN_BOOT_S, moves * (CHECKPOINT_S + HEARTBEAT_INTERVAL_S * 0.75))
        rented, moved = len(cluster.cloud.machines), cluster.moved_count
        while (await cluster.list_drains())["fleet"]["ended_s_ago"] is None:  # noqa: ASYNC110
            await asyncio.sleep(0.5)
        found.append(
            (
                virtual_now() - DRAIN_AT_S,
                bound,
                len(hosts),
                cluster.moved_count - moved,
                len(cluster.cloud.machines) - rented,
            )
        )
        cluster.is_over = True

    cluster.schedule_action(lambda _: drain_fleet(cluster))
    cluster.run(length_s=1200, job_count=scale * 40)
    if cluster.errors or cluster.rule_violations or not found:
        raise SystemExit(f"seed {seed}: {cluster.errors[:1] or cluster.rule_violations[:1] or 'the drain did not end'}")
    return found[0]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=3, metavar="N", help="days for each row (3)")
    parser.add_argument("--scale", type=int, default=8, metavar="N", help="times the small world's machines (8)")
    args = parser.parse_args()
    print("| budget | hole | machines | seconds | bound | times the bound | tasks moved | machines rented |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for share in (0.05, 0.1, 0.2):
        for hole in (0.1, 0.2):
            days = [run_fleet_drain(seed, args.scale, share, hole) for seed in range(1, args.seeds + 1)]
            mean = [sum(column) / len(days) for column in zip(*days, strict=True)]
            took, bound, machines, moved, rented = mean
            print(
                f"| {share} | {hole} | {machines:.0f} | {took:.0f} | {bound:.0f} | {took / bound:.1f} "
                f"| {moved:.0f} | {rented:.0f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
