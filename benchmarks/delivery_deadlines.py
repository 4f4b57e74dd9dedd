"""Delivery deadlines met with and without priority for steps at risk, compared to what capacity allows.

    python3 -m benchmarks.delivery_deadlines [--seeds 4]

Shortened nights of the simulated cluster of the tests, each without and with faults. An amendment's steps compete with
arrays that their team submitted earlier. The faults: controllers restart all night, a zone is partitioned for a while,
and a quarter of the cloud's machines is not available. The bound is the share of lots whose work would fit into the
CPUs that were up until the morning, if they ran nothing else.
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

    def __init__(self, seed: int, **options: Any) -> None:
        super().__init__(
            seed, make_deadline_config(time(0, 1, 40), margin=110), restart_delay_range_s=(0.2, 1.5), **options
        )
        self.filler_jobs = 60
        self.core_seconds = 0.0

    async def inject_night_faults(self, _: SimulatedCluster) -> None:
        if not self.has_faults_all_night:
            return
        await asyncio.sleep(12)
        for machine_type, count in self.cloud.capacity.items():
            self.cloud.capacity[machine_type] = max(1, count * 3 // 4)
        for restart in range(12):
            await self.restart_controller(self.current_leader())
            if restart == 5:
                self.partitioned_zones.add("b")
                await asyncio.sleep(4)
                self.partitioned_zones.discard("b")
            await asyncio.sleep(5)

    async def measure_capacity(self, _: SimulatedCluster) -> None:
        while virtual_now() < MORNING_S:
            await asyncio.sleep(1)
            self.core_seconds += sum(
                8.0 if worker.machine.machine_type == "cpu" else 16.0 for worker in self.workers.values()
            )

    def lots_bound(self) -> float:
        jobs = [self.jobs[job] for job in self.dependencies]
        required_core_seconds = float(sum(job["guess_s"] * job["parcels"] * job["cores"] for job in jobs))
        return min(1.0, self.core_seconds / max(required_core_seconds, 1e-9))


def run_night(seed: int, prioritises_steps_at_risk: bool, has_faults: bool) -> tuple[int, int, float]:
    original_slack_of_steps_at_risk = vars(controller)["slack_of_steps_at_risk"]
    if not prioritises_steps_at_risk:
        vars(controller)["slack_of_steps_at_risk"] = lambda statuses, workflows: {}
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
        vars(controller)["slack_of_steps_at_risk"] = original_slack_of_steps_at_risk
    if cluster.errors or cluster.rule_violations:
        raise SystemExit(f"mornings: seed {seed}: {(cluster.errors + cluster.rule_violations)[0]}")
    kept, lots = cluster.lots_delivered_by(MORNING_S)
    return kept, lots, cluster.lots_bound()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=4)
    args = parser.parse_args()
    for has_faults in (False, True):
        row: dict[str, Any] = {"troubled": has_faults, "seeds": args.seeds}
        for prioritises_steps_at_risk in (False, True):
            nights = [run_night(8100 + seed, prioritises_steps_at_risk, has_faults) for seed in range(args.seeds)]
            lots = sum(night[1] for night in nights)
            row["hurried" if prioritises_steps_at_risk else "plain"] = round(
                sum(night[0] for night in nights) / lots, 2
            )
            row["bound"] = round(sum(night[2] for night in nights) / len(nights), 2)
            row["lots"] = lots
        print(msgspec.json.encode(row).decode(), flush=True)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
