"""User requests that provoke races: concurrent polls, repeats, and cancels while a job ends or the leader changes.

Each function is a fault that the simulated cluster can draw. The controllers' answers are checked at the end of the
day against the history of all operations.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

import orjson

from roseweir.http import Request
from tests.simulation.linearizability import Operation, Stage

if TYPE_CHECKING:
    from tests.simulation.cluster import SimulatedCluster, SimulatedController

Job = dict[str, Any]

# How long users wait for an answer, and how soon they retry a cancel.
REQUEST_TIMEOUT_S, CANCEL_RETRY_INTERVAL_S = 5.0, 0.3
# Changes that make a job exceed all machines or its team's limit or violate the schema, and the expected status.
UNRUNNABLE_CHANGES: list[tuple[Job, int]] = [
    ({"cores": 1000.0}, 422),
    ({"crew": "nobody"}, 422),
    ({"builds": ["none"]}, 422),
    ({"shape": "gang", "parcels": 50, "accelerators": 2.0, "builds": None}, 422),
    ({"memory_gb": 1e6}, 422),
    ({"parcels": 0}, 400),
    ({"parcels": 100_001}, 400),
    ({"cores": -1.0}, 400),
    ({"rank": "highest"}, 400),
    ({"shape": None}, 400),
]
REQUIRED_FIELDS = ["crew", "shape", "rank", "parcels", "cores", "docket"]


def to_wire(job: Job) -> Job:
    return {key: value for key, value in job.items() if key != "mistaken"}


async def request_controller(
    cluster: "SimulatedCluster", node: "SimulatedController", method: str, path: str, body: object = None
) -> tuple[int, Job]:
    """Sends one request to this controller; (0, {}) without an answer."""
    raw = b"" if body is None else orjson.dumps(body)
    try:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            response = await node.serve(lambda service: service.serve_public(Request(method, path, raw)))
    except TimeoutError:
        return 0, {}
    return (0, {}) if response is None else (response.status, orjson.loads(response.body))


async def cancel_until_answered(
    cluster: "SimulatedCluster", job_id: str, node: "SimulatedController | None" = None
) -> None:
    cluster.cancel_requested.add(job_id)
    while True:
        target = node or cluster.rng.choice(cluster.nodes)
        status, answer = await request_controller(cluster, target, "POST", f"/submissions/{job_id}/cancel")
        if status in (200, 404):
            check_end(cluster, job_id, answer)
            return
        node = None
        await asyncio.sleep(CANCEL_RETRY_INTERVAL_S)


def check_end(cluster: "SimulatedCluster", job_id: str, answer: Job) -> None:
    """Checks an end that one of several concurrent users observes; the history checks its order among other answers."""
    if answer.get("standing") == "aborted":
        cluster.cancelled_at.setdefault(job_id, asyncio.get_running_loop().time())
    elif answer.get("standing") == "done":
        tasks = range(cluster.jobs[job_id]["parcels"])
        cluster.check_rule(all((job_id, n) in cluster.finished for n in tasks), f"not_done: {job_id}")


def unfinished_jobs(cluster: "SimulatedCluster") -> list[str]:
    return sorted(cluster.accepted_jobs - cluster.observed_ends.keys() - cluster.cancel_requested)


# -- concurrent polls -------------------------------------------------------------------------------


async def concurrent_polls(cluster: "SimulatedCluster", duration_s: float) -> None:
    """When an answer first shows a job accepted or ended, users poll all controllers or repeat, within milliseconds."""
    polled_stages: set[tuple[str, Stage]] = set()

    def poll_on_change(operation: Operation) -> None:
        stage = operation.stage
        job_id = operation.job_id
        if stage in (Stage.LIVE, Stage.ENDED) and (job_id, stage) not in polled_stages and job_id in cluster.jobs:
            polled_stages.add((job_id, stage))
            cluster.spawn(_poll_all_controllers(cluster, job_id))

    cluster.history.listeners.append(poll_on_change)
    await asyncio.sleep(duration_s)
    cluster.history.listeners.remove(poll_on_change)


async def _poll_all_controllers(cluster: "SimulatedCluster", job_id: str) -> None:
    for _ in range(3):
        for node in cluster.nodes:
            cluster.spawn(_poll_controller(cluster, node, job_id))
        await asyncio.sleep(cluster.rng.uniform(0.0, 0.01))


async def _poll_controller(cluster: "SimulatedCluster", node: "SimulatedController", job_id: str) -> None:
    rng = cluster.rng
    await asyncio.sleep(rng.uniform(0.0, 0.005))
    draw = rng.random()
    if draw < 0.04 and job_id in cluster.accepted_jobs:
        await cancel_until_answered(cluster, job_id, node)
        return
    if draw < 0.3 and job_id not in cluster.without_request:
        _, answer = await request_controller(cluster, node, "POST", "/submissions", to_wire(cluster.jobs[job_id]))
    else:
        _, answer = await request_controller(cluster, node, "GET", f"/submissions/{job_id}")
    check_end(cluster, job_id, answer)


# -- invalid requests ---------------------------------------------------------------------------------


async def invalid_requests(cluster: "SimulatedCluster", duration_s: float) -> None:
    end_at = asyncio.get_running_loop().time() + duration_s
    while asyncio.get_running_loop().time() < end_at:
        await asyncio.sleep(cluster.rng.uniform(0.1, 0.6))
        send_invalid = cluster.rng.choice([_repeat_unfinished, _cancel_done, _submit_unrunnable, _submit_incomplete])
        cluster.spawn(send_invalid(cluster))


async def _repeat_unfinished(cluster: "SimulatedCluster") -> None:
    jobs = [job for job in unfinished_jobs(cluster) if job not in cluster.without_request]
    if jobs:
        job_id = cluster.rng.choice(jobs)
        node = cluster.rng.choice(cluster.nodes)
        status, answer = await request_controller(cluster, node, "POST", "/submissions", to_wire(cluster.jobs[job_id]))
        cluster.check_rule(status in (0, 200, 429, 503, 504), f"forgotten: the repeat of {job_id} got {status}")
        check_end(cluster, job_id, answer)


async def _cancel_done(cluster: "SimulatedCluster") -> None:
    done_jobs = sorted(job_id for job_id, end in cluster.observed_ends.items() if end == "done")
    if done_jobs:
        job_id = cluster.rng.choice(done_jobs)
        node = cluster.rng.choice(cluster.nodes)
        status, answer = await request_controller(cluster, node, "POST", f"/submissions/{job_id}/cancel")
        cluster.check_rule(
            status != 200 or answer["standing"] == "done", f"went_back: {job_id} was done, and is {answer}"
        )
        cluster.check_rule(status != 404, f"forgotten: the cancel of {job_id} got 404")


async def _submit_unrunnable(cluster: "SimulatedCluster") -> None:
    change, expected_status = cluster.rng.choice(UNRUNNABLE_CHANGES)
    await _check_refused(cluster, to_wire(cluster.make_job()) | change, expected_status)


async def _submit_incomplete(cluster: "SimulatedCluster") -> None:
    job = to_wire(cluster.make_job())
    del job[cluster.rng.choice(REQUIRED_FIELDS)]
    await _check_refused(cluster, job, 400)


async def _check_refused(cluster: "SimulatedCluster", job: Job, expected_status: int) -> None:
    """Checks that every controller rejects the job, and that none knows it or has stored anything afterwards."""
    job_id = job["name_id"] = f"j-7{cluster.rng.randrange(10**8):08d}"
    for node in cluster.nodes:
        status, _ = await request_controller(cluster, node, "POST", "/submissions", job)
        cluster.check_rule(
            status in (0, expected_status, 429, 503, 504),
            f"accepted_wrongly: {job} got {status}, not {expected_status}",
        )
    status, answer = await request_controller(
        cluster, cluster.rng.choice(cluster.nodes), "GET", f"/submissions/{job_id}"
    )
    cluster.check_rule(status != 200, f"invented: {job_id}, which can't run, is {answer}")
    stored_keys = [key for key in cluster.state.keys if job_id in key]
    cluster.check_rule(not stored_keys, f"accepted_wrongly: {stored_keys} of a job that can't run")


# -- races of cancels ----------------------------------------------------------------------------------


async def cancel_at_end(cluster: "SimulatedCluster", duration_s: float) -> None:
    """Users cancel, poll and repeat jobs from just before the end of their last task to just after it."""
    end_at = asyncio.get_running_loop().time() + duration_s
    handled_jobs: set[str] = set()
    while asyncio.get_running_loop().time() < end_at:
        await asyncio.sleep(0.02)
        for job_id in _about_to_end(cluster) - handled_jobs:
            handled_jobs.add(job_id)
            if cluster.rng.random() < 0.7:
                cluster.spawn(_cancel_near_end(cluster, job_id))


def _about_to_end(cluster: "SimulatedCluster", within_s: float = 0.2) -> set[str]:
    """Accepted jobs whose only unfinished task, or gang, ends within this many seconds."""
    latest_end = asyncio.get_running_loop().time() + within_s
    job_ids = set()
    for _, task in cluster.active_tasks():
        job = cluster.jobs[task.job_id]
        if (
            task.state != "running"
            or task.ends_at > latest_end
            or job["shape"] == "daemon"
            or task.job_id not in cluster.accepted_jobs
        ):
            continue
        tasks = range(job["parcels"] if job["shape"] == "sweep" else 0)
        if all(n == task.index or (task.job_id, n) in cluster.finished for n in tasks):
            job_ids.add(task.job_id)
    return job_ids


async def _cancel_near_end(cluster: "SimulatedCluster", job_id: str) -> None:
    rng = cluster.rng
    await asyncio.sleep(rng.uniform(0.0, 0.6))
    for node in cluster.nodes:
        cluster.spawn(_poll_controller(cluster, node, job_id))
    await cancel_until_answered(cluster, job_id)


async def cancel_during_failover(cluster: "SimulatedCluster", duration_s: float) -> None:
    """The leader restarts; jobs are cancelled before, without a leader, while the next one recovers, and after."""
    leader_crash_delay_s = min(1.0, duration_s / 2)
    jobs = unfinished_jobs(cluster)
    for job_id in cluster.rng.sample(jobs, min(6, len(jobs))):
        cluster.spawn(_cancel_after(cluster, job_id, cluster.rng.uniform(0.0, 6.0)))
    await asyncio.sleep(leader_crash_delay_s)
    await cluster.restart_controller(cluster.current_leader())


async def _cancel_after(cluster: "SimulatedCluster", job_id: str, delay_s: float) -> None:
    await asyncio.sleep(delay_s)
    await cancel_until_answered(cluster, job_id)


async def repeated_failovers(cluster: "SimulatedCluster", duration_s: float) -> None:
    """The leader restarts repeatedly, seconds apart; at times all controllers crash and one is back within a second."""
    end_at = asyncio.get_running_loop().time() + duration_s
    while asyncio.get_running_loop().time() < end_at:
        if cluster.rng.random() < 0.2:
            await cluster.inject_fault("returns")
        else:
            await cluster.restart_controller(cluster.current_leader())
        await asyncio.sleep(cluster.rng.uniform(0.2, 6.0))


async def lost_answers(cluster: "SimulatedCluster", duration_s: float) -> None:
    """Transactions are applied at once, and a share of them get no answer."""
    cluster.lost_answer_probability = cluster.rng.uniform(0.1, 0.6)
    await asyncio.sleep(duration_s)
    cluster.lost_answer_probability = 0.0


USER_FAULTS: dict[str, Callable[["SimulatedCluster", float], Coroutine[Any, Any, None]]] = {
    "cancel at end": cancel_at_end,
    "cancel in hand-over": cancel_during_failover,
    "close looks": concurrent_polls,
    "hand-overs": repeated_failovers,
    "lost answers": lost_answers,
    "odd requests": invalid_requests,
}
