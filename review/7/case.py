"""Case 7: a job that failed once on the only machine that fits it never starts again, though the machine is well."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
from bed import BROKEN, HELD, WITH_TROUBLE, Bed, job, need, run_case

WAIT_S = 90.0
PARAMS = {
    "zones": ["taipei", "tainan"],
    "teams": [{"name": "league-ops-00", "cpus": 0.0, "cpus_max": 0.0, "gpus": 8.0, "gpus_max": 18.0}],
    "objectives": [
        {"kind": "wait", "class": "projection-train", "within_s": 18.0, "share": 0.88},
        {"kind": "guarantee", "within_s": 20.0, "share": 0.92},
    ],
    "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 30.0, "gang_peer_s": 6.0, "cancel_s": 35.0},
    "state": {"rps": 150.0, "write_rps": 60.0, "value_kb": 32.0, "txn_ops": 32},
    "cloud": {"rps": 3.0, "list_lag_s": 10.0},
    "limits": {"cpu": 0.6, "ram_mb": 146.0, "sockets": 600},
    "skew_ms": 5.0,
}
BUILDS = [
    {
        "name": "playmaker",
        "cores": 16,
        "accelerators": 2,
        "memory_gb": 128,
        "cache_gb": 100,
        "fetch_gb_per_s": 1.0,
        "price": 6.16,
        "low_price": 1.9,
        "ready_s": 25,
        "yards": ["taipei", "tainan"],
    }
]


def training(name_id: str) -> dict:
    """Return a job like those of `projection-train`."""
    return job(
        name_id,
        docket="projection-train",
        crew="league-ops-00",
        shape="gang",
        rank="urgent",
        cores=14.0,
        accelerators=2.0,
        memory_gb=100.0,
        builds=["playmaker"],
        size_gb=1.0,
        guess_s=3.0,
    )


def make_bed() -> Bed:
    """Return the deployment: one machine of the type, and the cloud has no other."""
    return Bed(Path(__file__).parent, PARAMS, BUILDS, {("playmaker", "tainan", False): 1})


async def play(bed: Bed) -> int:
    """Let the machine fail the first job's task, heal it, and wait for the first job to start again."""
    await bed.begin()
    worker = await bed.machine("playmaker", "tainan")
    worker.is_sick = WITH_TROUBLE
    first, second = training("j-000001"), training("j-000002")
    need(await bed.submit(first), "the first job was not accepted")
    need(await bed.wait_for(lambda: len(bed.starts) > 0, 15.0), "the first job did not start")
    await asyncio.sleep(1.0)
    worker.is_sick = False
    well_since = bed.now()
    bed.note(f"{worker.name} is well from now on")
    await asyncio.sleep(17.0)
    need(await bed.submit(second), "the second job was not accepted")
    while bed.now() < well_since + WAIT_S + 1.0 and ("j-000001", 0) not in bed.done:
        await asyncio.sleep(5.0)
        for body in (first, second):
            await bed.request(bed.nodes[0], "GET", f"/submissions/{body['name_id']}", None, 2.0)
    need(worker.name in bed.workers and not bed.ended_by_itself(), "the machine or a controller has ended")
    if ("j-000001", 0) not in bed.done:
        need(all(task.state == "exited" for task in worker.tasks.values()), "the machine has no room")
        others = "has run" if ("j-000002", 0) in bed.done else "has not run either"
        bed.breaks(
            "waits_beside_room",
            f"j-000001 was accepted and waits for {bed.now() - well_since:.0f} s beside {worker.name}, which is empty "
            f"and well; j-000002, which never failed, {others}",
        )
    return BROKEN if bed.broken else HELD


run_case(make_bed, play)
