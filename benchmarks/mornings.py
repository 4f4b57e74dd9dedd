"""Promises kept beside the same night in plain order, and beside what capacity allows.

    python3 -m benchmarks.mornings [--seeds 4]

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

from roseweir.promises import desk
from tests.test_promises import Landings, promised
from tests.world import World, now

MORNING = 100.0


class Night(Landings):
    trouble_all_night = False

    def __init__(self, seed: int, **more: Any) -> None:
        super().__init__(seed, promised(time(0, 1, 40), margin=110), back_after=(0.2, 1.5), **more)
        self.fillers = 60
        self.core_s = 0.0

    async def falls(self, _: World) -> None:
        if not self.trouble_all_night:
            return
        await asyncio.sleep(12)
        for kind, count in self.cloud.capacity.items():
            self.cloud.capacity[kind] = max(1, count * 3 // 4)
        for turn in range(12):
            await self.restart(self.leader())
            if turn == 5:
                self.cuts.add("b")
                await asyncio.sleep(4)
                self.cuts.discard("b")
            await asyncio.sleep(5)

    async def measure(self, _: World) -> None:
        while now() < MORNING:
            await asyncio.sleep(1)
            self.core_s += sum(8.0 if w.host.build == "cpu" else 16.0 for w in self.workers.values())

    def bound(self) -> float:
        jobs = [self.jobs[job] for job in self.after]
        wanted = float(sum(job["guess_s"] * job["parcels"] * job["cores"] for job in jobs))
        return min(1.0, self.core_s / max(wanted, 1e-9))


def play(seed: int, hurries: bool, troubled: bool) -> tuple[int, int, float]:
    plain = vars(desk)["hurry"]
    if not hurries:
        vars(desk)["hurry"] = lambda standings, chains: {}
    try:
        world = Night(seed)
        world.trouble_all_night = troubled
        for act in (world.watch_viewer, world.night, world.falls, world.measure):
            world.spawn_later(act)
        world.play(length=MORNING + 2, jobs=1)
    finally:
        vars(desk)["hurry"] = plain
    if world.errors or world.broken:
        raise SystemExit(f"mornings: seed {seed}: {(world.errors + world.broken)[0]}")
    kept, lots = world.kept(MORNING)
    return kept, lots, world.bound()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=4)
    args = parser.parse_args()
    for troubled in (False, True):
        row: dict[str, Any] = {"troubled": troubled, "seeds": args.seeds}
        for hurries in (False, True):
            found = [play(8100 + seed, hurries, troubled) for seed in range(args.seeds)]
            lots = sum(each[1] for each in found)
            row["hurried" if hurries else "plain"] = round(sum(each[0] for each in found) / lots, 2)
            row["bound"] = round(sum(each[2] for each in found) / len(found), 2)
            row["lots"] = lots
        print(msgspec.json.encode(row).decode(), flush=True)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
