"""Case 1: one job with a mistaken `guess_s` keeps every leader from starting anything."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import asyncio  # noqa: E402

from cluster import Cluster, job, run_case, trouble  # noqa: E402


async def case(cluster: Cluster) -> bool:
    """Submit the mistaken job, then a sound one; the rule is broken if the sound one waits and no task is started."""
    cluster.cloud.add_machine("bench", "taipei", is_spot=False, ready_s=1.0)
    await asyncio.sleep(4)
    # 300 s; with the mistake the client has sent nanoseconds. The task itself runs for one second.
    mistaken = job(1, guess_s=300e9 if trouble() else 300.0)
    if await cluster.submit(mistaken, run_s=1.0) not in (200, 201):
        cluster.note("the mistaken job was not accepted")
    await asyncio.sleep(2)
    sound = job(2, crew="league-ops-1", parcels=2)
    await cluster.submit(sound, run_s=1.0)
    left = await cluster.left_waiting([sound["name_id"]])
    cluster.note("tasks that were started in all", count=len(cluster.world.on_machine))
    if left:
        return not cluster.world.on_machine
    return not await cluster.done_within(sound["name_id"], 20)


if __name__ == "__main__":
    sys.exit(run_case(case, HERE / "record.txt"))
