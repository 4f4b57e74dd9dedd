"""A simulated land registry that generates amendments from a seed.

    python3 -m benchmarks.simulated_registry [--seed N] [--landing 400]

Amendments arrive at a low rate, with bursts of hundreds at once. Some are sent twice, at once or later, some arrive out
of order, and some revisions arrive before older ones of the same lot. As a command, prints the amendments, one a line.
"""

import argparse
import random
from dataclasses import dataclass, field
from typing import Any

import orjson

TimedAmendment = tuple[float, dict[str, Any]]
JOB_CLASSES = ("lot-boundaries", "lot-reproject", "viewer-tiles")


@dataclass
class SimulatedRegistry:
    seed: int
    team: str = "t0"
    lot_count: int = 400  # lots in the registry
    run_time_range_s: tuple[float, float] = (1.0, 4.0)
    max_tasks: int = 3
    rng: random.Random = field(init=False)
    revision_by_lot: dict[str, int] = field(default_factory=dict)
    amendment_count: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)

    def make_job(self, job_id: str, job_class: str, task_count: int, **overrides: Any) -> dict[str, Any]:
        return {
            "name_id": job_id, "docket": job_class, "crew": self.team, "shape": "sweep", "rank": "normal",
            "parcels": task_count, "cores": 1.0, "accelerators": 0.0, "memory_gb": 1.0, "kit": f"img-{job_class}",
            "size_gb": 0.5, "builds": None, "yard": None, "together": False, "scatter": False, "loaners": True,
            "guess_s": round(self.rng.uniform(*self.run_time_range_s), 1), "mark_every_s": 0.0,
            "mark_s": 0.0, "due_s": None,
        } | overrides  # fmt: skip

    def make_amendment(self, lots: list[str] | None = None, fan_out: bool = False) -> dict[str, Any]:
        """Boundaries, reprojection, then tiles; `fan_out`: one reprojection for each lot, joined by the tiles."""
        self.amendment_count += 1
        if lots is None:
            lots = [
                f"lot-{n}"
                for n in self.rng.sample(range(self.lot_count), min(self.lot_count, self.rng.choice([1, 1, 1, 2, 5])))
            ]
        revision = max((self.revision_by_lot.get(lot, 0) for lot in lots), default=0) + 1
        self.revision_by_lot |= dict.fromkeys(lots, revision)
        name = f"{self.seed:03d}{self.amendment_count:06d}"
        boundary_job_id = f"j-4{name}0"
        steps: list[dict[str, Any]] = [{"job": self.make_job(boundary_job_id, JOB_CLASSES[0], 1), "after": []}]
        reproject_job_ids = []
        for number, step_lots in enumerate([[lot] for lot in lots] if fan_out else [lots]):
            job_id = f"j-4{name}{number + 1}"
            reproject_job_ids.append(job_id)
            task_count = self.rng.randint(1, self.max_tasks)
            steps.append(
                {
                    "job": self.make_job(job_id, JOB_CLASSES[1], task_count),
                    "after": [boundary_job_id],
                    "lots": step_lots,
                }
            )
        steps.append({"job": self.make_job(f"j-4{name}99", JOB_CLASSES[2], 2), "after": reproject_job_ids})
        return {"id": f"am-{name}", "revision": revision, "lots": lots, "steps": steps}

    def make_day(
        self, length_s: float, mean_interval_s: float, burst_at_s: float, burst_size: int
    ) -> list[tuple[float, dict[str, Any]]]:
        """(instant, amendment) in the order of sending, with repeated and delayed ones."""
        timed_amendments: list[TimedAmendment] = []
        at = 1.0
        while at < length_s:
            timed_amendments.append((at, self.make_amendment(fan_out=self.rng.random() < 0.2)))
            at += self.rng.expovariate(1 / mean_interval_s)
        timed_amendments += [(burst_at_s + self.rng.uniform(0, 1), self.make_amendment()) for _ in range(burst_size)]
        for sent_at, amendment in list(timed_amendments):
            if self.rng.random() < 0.15:
                # A copy sent at once or later.
                timed_amendments.append(
                    (sent_at + self.rng.choice([0.1, 1.0, 20.0]) * self.rng.uniform(0.5, 1.5), amendment)
                )
        # Some amendments are delayed, so that later ones arrive first.
        timed_amendments = [
            (sent_at + (self.rng.uniform(2, 15) if self.rng.random() < 0.1 else 0.0), amendment)
            for sent_at, amendment in timed_amendments
        ]
        return sorted(timed_amendments, key=lambda timed: timed[0])


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--landing", type=int, default=400, help="amendments that land at once")
    args = parser.parse_args()
    for at, amendment in SimulatedRegistry(args.seed).make_day(3600.0, 30.0, 1800.0, args.landing):
        print(f"{at:8.1f} {orjson.dumps(amendment).decode()}")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
