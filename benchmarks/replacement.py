"""How long a whole fleet takes to replace, by budget, beside what no order of steps could beat.

    python3 -m benchmarks.replacement [--seeds 3] [--scale 8]

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
from roseweir.drain.settings import Budget, DrainSettings
from roseweir.tuning import Tuning
from tests.disturbance import DrainWorld
from tests.world import REPORT_S, now

BEGIN, LEAST_BOOT, SAVE = 60.0, 4.0 * 0.3, 1.0


class Fleet(DrainWorld):
    """Long tasks that save, on two fifths of what can be had, and short ones that do not, all through the day."""

    long_jobs = 0

    def make_job(self) -> dict[str, object]:
        more: dict[str, object] = {"shape": "sweep", "parcels": 8, "loaners": False, "cores": 2.0}
        if now() < BEGIN / 2 and self.long_jobs < self.scale * 2:
            self.long_jobs += 1
            more |= {"guess_s": 3000.0, "mark_every_s": 2.0, "mark_s": SAVE}
        else:
            more |= {"guess_s": 8.0, "mark_every_s": 0.0}
        return super().make_job() | more


def play(seed: int, scale: int, share: float, hole: float) -> tuple[float, float, int, int, int]:
    """Seconds taken, the bound, machines drained, tasks moved, machines rented meanwhile."""
    tuning = Tuning()
    tuning.drain = DrainSettings(
        hole=hole, soon=seconds(15), grace=seconds(60), deadline=timedelta(hours=1), budgets=[Budget(share=share)]
    )
    world = Fleet(seed, tuning, share, calm=True, scale=scale)
    found: list[tuple[float, float, int, int, int]] = []

    async def act(world: Fleet) -> None:
        await asyncio.sleep(BEGIN)
        hosts = [h for h in world.cloud.hosts.values() if h.worker and not h.gone]
        tasks = [world.jobs[t.job] for _, t in world.on_machines()]
        long = sum(job["guess_s"] > 1000 for job in tasks)
        assert await world.drain("fleet", deadline_s=3000) == 201, world.answers
        waves = max(
            ceil(count / max(1, int(hole * count)))
            for build in ("cpu", "gpu")
            if (count := sum(h.build == build for h in hosts))
        )
        moves = long / max(1, int(share * len(tasks)))
        bound = max(waves * LEAST_BOOT, moves * (SAVE + REPORT_S * 0.75))
        rented, moved = len(world.cloud.hosts), world.moved
        while (await world.drains())["fleet"]["ended_s_ago"] is None:  # noqa: ASYNC110
            await asyncio.sleep(0.5)
        found.append((now() - BEGIN, bound, len(hosts), world.moved - moved, len(world.cloud.hosts) - rented))
        world.over = True

    world.spawn_later(lambda _: act(world))
    world.play(length=1200, jobs=scale * 40)
    if world.errors or world.broken or not found:
        raise SystemExit(f"seed {seed}: {world.errors[:1] or world.broken[:1] or 'the drain did not end'}")
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
            days = [play(seed, args.scale, share, hole) for seed in range(1, args.seeds + 1)]
            mean = [sum(column) / len(days) for column in zip(*days, strict=True)]
            took, bound, machines, moved, rented = mean
            print(
                f"| {share} | {hole} | {machines:.0f} | {took:.0f} | {bound:.0f} | {took / bound:.1f} "
                f"| {moved:.0f} | {rented:.0f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
