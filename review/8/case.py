"""Case 8: a job with an image for which no machine can be had keeps empty machines from all jobs of its size."""

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
from bed import BROKEN, HELD, WITH_TROUBLE, Bed, job, need, run_case

WAIT_S = 90.0
PARAMS = {
    "zones": ["rouyn-noranda", "val-dor"],
    "teams": [
        {"name": f"equipe-foresterie-0{n}", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}
        for n in range(2)
    ],
    "objectives": [{"kind": "deadline", "class": "plot-tally", "share": 0.72, "times": 1.0}],
    "workers": {"report_s": 0.8, "lease_s": 11.0, "gang_wait_s": 30.0, "gang_peer_s": 5.0, "cancel_s": 36.0},
    "state": {"rps": 200.0, "write_rps": 15.0, "value_kb": 4.0, "txn_ops": 8},
    "cloud": {"rps": 2.0, "list_lag_s": 8.0},
    "limits": {"cpu": 1.0, "ram_mb": 146.0, "sockets": 800},
    "skew_ms": 1000.0,
}


def build(name: str, cores: int, memory_gb: int, cache_gb: int) -> dict[str, Any]:
    """Return a machine type."""
    return {
        "name": name,
        "cores": cores,
        "accelerators": 0,
        "memory_gb": memory_gb,
        "cache_gb": cache_gb,
        "fetch_gb_per_s": 1.0,
        "price": 0.05 * cores,
        "low_price": 0.02 * cores,
        "ready_s": 15,
        "yards": ["rouyn-noranda"],
    }


BUILDS = [build("epinette", 8, 32, 50), build("bouleau", 64, 128, 40)]
POOL = ("bouleau", "rouyn-noranda", False)


def tally(name_id: str, team: int, size_gb: float) -> dict[str, Any]:
    """Return an array like those of `plot-tally`."""
    return job(
        name_id,
        docket="plot-tally",
        crew=f"equipe-foresterie-0{team}",
        parcels=4,
        cores=2.0,
        memory_gb=2.8,
        kit=f"img-{name_id}",
        size_gb=size_gb,
        guess_s=5.0,
    )


def make_bed() -> Bed:
    """Return the deployment: one machine of one type; the cloud has no others."""
    return Bed(Path(__file__).parent, PARAMS, BUILDS, {POOL: 1})


async def play(bed: Bed) -> int:
    """Submit the odd job of one team, then sound ones of another team."""
    await bed.begin()
    worker = await bed.machine("bouleau", "rouyn-noranda")
    if WITH_TROUBLE:
        # An image that only the cache of an `epinette` holds, of which there is none.
        need(await bed.submit(tally("j-000001", 0, 45.0)), "the odd job was not accepted")
        await asyncio.sleep(1.0)
    sound = [tally(f"j-00000{n}", 1, 1.0) for n in (2, 3)]
    for body in sound:
        need(await bed.submit(body), "a sound job was not accepted")
    since = bed.now()

    def are_done() -> bool:
        return all((body["name_id"], index) in bed.done for body in sound for index in range(4))

    while bed.now() < since + WAIT_S + 1.0 and not are_done():
        await asyncio.sleep(5.0)
        for body in sound:
            await bed.request(bed.nodes[0], "GET", f"/submissions/{body['name_id']}", None, 2.0)
    need(worker.name in bed.workers and not bed.ended_by_itself(), "a machine or a controller has ended")
    if not bed.starts:
        need(not worker.tasks, "the machine has no room")
        bed.breaks(
            "waits_beside_room",
            f"two sound jobs of another team wait for {bed.now() - since:.0f} s beside {worker.name}, which is empty",
        )
    return BROKEN if bed.broken else HELD


run_case(make_bed, play)
