"""Promises kept beside the same night in plain order, and beside what capacity allows.

    python3 -m benchmarks.delivery_deadlines [--seeds 4]

Nights of the simulated world of the tests, shortened: an amendment's steps compete with their own team's arrays, which
came before them; controllers are restarted all night, a zone is lost for a while, a quarter of the machines is sold
out. The bound is the share of lots whose work would fit into the processors that were up until the morning, if these
did nothing else.
"""

import argparse
import asyncio
from datetime import time
from typing import Any

import msgspec

from roseweir.delivery_deadlines import controller
from tests.simulation.cluster import SimulatedCluster, virtual_now
from tests.test_delivery_deadlines import DeadlineCluster, make_deadline_config

MORNING_S = 100.0


class BenchmarkNight(DeadlineCluster):
    has_faults_all_night = False

    def __init__(self, seed: int, **more: Any) -> None:
        super().__init__(
            seed, make_deadline_config(time(0, 1, 40), margin=110), restart_delay_range_s=(0.2, 1.5), **more
        )
        self.filler_jobs = 60
        self.core_seconds = 0.0

    async def inject_night_faults(self, _: SimulatedCluster) -> None:
        if not self.has_faults_all_night:
            return
        await asyncio.sleep(12)
        for kind, count in self.cloud.capacity.items():
            self.cloud.capacity[kind] = max(1, count * 3 // 4)
        for turn in range(12):
            await self.restart_controller(self.current_leader())
            if turn == 5:
                self.partitioned_zones.add("b")
                await asyncio.sleep(4)
                self.partitioned_zones.discard("b")
            await asyncio.sleep(5)

    async def measure_capacity(self, _: SimulatedCluster) -> None:
        while virtual_now() < MORNING_S:
            await asyncio.sleep(1)
            self.core_seconds += sum(8.0 if w.machine.machine_type == "cpu" else 16.0 for w in self.workers.values())

    def lots_bound(self) -> float:
        jobs = [self.jobs[job] for job in self.dependencies]
        wanted = float(sum(job["guess_s"] * job["parcels"] * job["cores"] for job in jobs))
        return min(1.0, self.core_seconds / max(wanted, 1e-9))


def run_night(seed: int, prioritises_urgent: bool, has_faults: bool) -> tuple[int, int, float]:
    original_hurry = vars(controller)["urgent_job_slack"]
    if not prioritises_urgent:
        vars(controller)["urgent_job_slack"] = lambda standings, chains: {}
    try:
        cluster = BenchmarkNight(seed)
        cluster.has_faults_all_night = has_faults
        for act in (
            cluster.watch_viewer,
            cluster.submit_night_work,
            cluster.inject_night_faults,
            cluster.measure_capacity,
        ):
            cluster.schedule_action(act)
        cluster.run(length_s=MORNING_S + 2, job_count=1)
    finally:
        vars(controller)["urgent_job_slack"] = original_hurry
    if cluster.errors or cluster.rule_violations:
        raise SystemExit(f"mornings: seed {seed}: {(cluster.errors + cluster.rule_violations)[0]}")
    kept, lots = cluster.lots_delivered_by(MORNING_S)
    return kept, lots, cluster.lots_bound()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=4)
    args = parser.parse_args()
    for troubled in (False, True):
        row: dict[str, Any] = {"troubled": troubled, "seeds": args.seeds}
        for hurries in (False, True):
            found = [run_night(8100 + seed, hurries, troubled) for seed in range(args.seeds)]
            lots = sum(each[1] for each in found)
            row["hurried" if hurries else "plain"] = round(sum(each[0] for each in found) / lots, 2)
            row["bound"] = round(sum(each[2] for each in found) / len(found), 2)
            row["lots"] = lots
        print(msgspec.json.encode(row).decode(), flush=True)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
