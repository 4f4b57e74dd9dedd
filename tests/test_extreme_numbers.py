"""Submissions with the largest and smallest numbers that the users' API accepts, on the complete service.

Whatever numbers a user sends, the submission is refused with 400 or 422, or its job runs, and so does every other job,
under the same leader and without an error in any log (incident docs/incidents/review-1.md).
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any

import msgspec
import orjson
import pytest
import sexpdata

from roseweir.clock import ZERO, seconds
from roseweir.cloud.scale_out import time_budget
from roseweir.dependencies.graph import DependencyGraph
from roseweir.dependencies.slack import latest_start_times, slack_of_jobs_at_risk
from roseweir.http import Reply, Response
from roseweir.operator_config import parse_operator_config
from roseweir.scheduler.heartbeat_reconciliation import HeartbeatReconciler
from roseweir.scheduler.model import MAX_TASKS_PER_MACHINE
from roseweir.scheduler.scheduling_pass import run_scheduling_pass
from roseweir.sexp import SettingsError
from roseweir.submissions.jobs import LIVE_JOB_PREFIX, model
from roseweir.submissions.messages import Submission
from roseweir.workers.messages import TaskStatus
from tests.simulation.cluster import (
    MACHINE_TYPES,
    TEAM_GPU_LIMIT,
    ZONES,
    SimulatedCluster,
    SimulatedWorker,
    json_reply,
    raise_first_failure,
    virtual_now,
)
from tests.simulation.job_specs import make_job_spec as job_spec
from tests.simulation.machine_faults import MAX_WAIT_S, cancel_until_confirmed
from tests.test_scheduler import NOW, FakeWorker, make_cluster_state

LARGEST_NUMBER = 1e12  # accepted by the users' API
# Beyond the range of `timedelta`, and of `datetime` as a sum with an instant: found by the review (300 s as 3e11 ns).
NANOSECONDS = 3e11
MICROSECONDS = 4e6  # of 4 s: in seconds, 46 days
BEYOND_FOREVER_S = 2.3e11  # from now on, an instant that `datetime` can represent, later than `clock.FOREVER`
SMALLEST_NUMBER = 5e-324
SHORTEST_DURATION_S = 1e-9  # shorter than `timedelta` can represent
MAX_MESSAGE_BYTES = 64 * 1024  # of a request, and of a line of an answer
RUN_TIME_S = 3.0  # of a task, unless a test gives another
JOB_TYPES = ("sweep", "gang", "daemon")

Fields = dict[str, float]

EXTREME_DURATIONS: dict[str, Fields] = {
    f"{field} {value:g}": {field: value}
    for field in ("guess_s", "due_s")
    for value in (0.0, SMALLEST_NUMBER, SHORTEST_DURATION_S, 1e9, BEYOND_FOREVER_S, NANOSECONDS, LARGEST_NUMBER)
} | {
    f"checkpoint every {interval_s:g} in {duration_s:g}": {"mark_every_s": interval_s, "mark_s": duration_s}
    for interval_s in (SMALLEST_NUMBER, SHORTEST_DURATION_S, LARGEST_NUMBER)
    for duration_s in (0.0, SMALLEST_NUMBER, LARGEST_NUMBER)
}

SMALL_AMOUNTS = (0.0, SMALLEST_NUMBER, 1e-9, 1e-6)
EXTREME_AMOUNTS: dict[str, Fields] = {
    f"{field} {value:g}": {field: value}
    for field in ("cores", "accelerators", "memory_gb", "size_gb")
    for value in (*SMALL_AMOUNTS, LARGEST_NUMBER)
} | {
    f"nothing but {value:g} {field}": {"cores": 0.0, "accelerators": 0.0, "memory_gb": 0.0} | {field: value}
    for field in ("cores", "accelerators", "memory_gb")
    for value in SMALL_AMOUNTS
}


def submission(number: int, **fields: Any) -> dict[str, Any]:
    return {
        "name_id": f"j-{number:06d}",
        "docket": "x",
        "crew": "t0",
        "shape": "sweep",
        "rank": "normal",
        "parcels": 2,
        "cores": 1.0,
        "accelerators": 0.0,
        "memory_gb": 1.0,
        "kit": "img-0",
        "size_gb": 0.5,
        "builds": None,
        "yard": None,
        "together": False,
        "scatter": False,
        "loaners": True,
        "guess_s": 5.0,
        "mark_every_s": 0.0,
        "mark_s": 0.0,
        "due_s": 60.0,
    } | fields


class SubmissionsCluster(SimulatedCluster):
    """A cluster without faults, whose users submit the jobs that a test gives it and wait until each has run."""

    def __init__(self, **options: Any) -> None:
        super().__init__(seed=1, without_random_faults=True, **options)
        self.run_time_by_job: dict[str, float] = {}

    def draw_run_time_s(self, job: dict[str, Any]) -> float:
        return self.run_time_by_job.get(job["name_id"], RUN_TIME_S)

    def play(self, act: Callable[[SimulatedCluster], Coroutine[Any, Any, None]], max_length_s: float) -> None:
        """Run `act`, which ends the day, in a cluster without other users; the result is not checked."""
        self.schedule_action(act)
        self.run(length_s=max_length_s, job_count=0)

    def assert_held(self) -> None:
        """No rule was broken, no controller failed, and the day was played to its end."""
        raise_first_failure(self)
        assert self.is_over

    async def deliver_heartbeat(
        self, worker: SimulatedWorker, controller_index: int, body: dict[str, Any]
    ) -> Response | None:
        self.check_rule(len(orjson.dumps(body)) <= MAX_MESSAGE_BYTES, f"heartbeat of {len(body['parcels'])} tasks")
        response = await super().deliver_heartbeat(worker, controller_index, body)
        answer_bytes = 0 if response is None else len(response.body)
        self.check_rule(answer_bytes <= MAX_MESSAGE_BYTES, f"answer of {answer_bytes} bytes to a heartbeat")
        return response

    async def wait_for_leader(self) -> None:
        while not any(c.service is not None and c.service.leader_term is not None for c in self.controllers):
            await asyncio.sleep(0.5)
        await asyncio.sleep(5.0)  # the first machines are up

    async def submit(self, job: dict[str, Any], run_time_s: float | None = None) -> bool:
        """Submit a job until a final answer; return whether it was accepted. Refusals have to be 400 or 422."""
        job_id = job["name_id"]
        self.jobs[job_id] = job
        if run_time_s is not None:
            self.run_time_by_job[job_id] = run_time_s
        for _ in range(5):
            status, answer = await self.send_user_request("POST", "/submissions", job)
            self.check_answer(job_id, status, answer)
            if status in (200, 201, 400, 422):
                break
            await asyncio.sleep(1.0)
        self.check_rule(status in (200, 201, 400, 422), f"{job_id} was answered {status} {answer}")
        if status in (200, 201):
            self.accepted_jobs.add(job_id)
        return status in (200, 201)

    async def check_repeated(self, job_id: str) -> None:
        """A repeated submission of an accepted job is answered 200, whatever this version thinks of its numbers."""
        status, answer = await self.send_user_request("POST", "/submissions", self.jobs[job_id])
        self.check_answer(job_id, status, answer)
        self.check_rule(status == 200, f"forgotten: repeated submission of {job_id} is answered {status}")

    async def wait_until_run(self, job_ids: list[str], within_s: float = MAX_WAIT_S) -> None:
        """Wait until each job is done, or all replicas of a service run; services are cancelled then."""
        deadline = virtual_now() + within_s
        remaining = [job_id for job_id in job_ids if job_id in self.accepted_jobs]
        while remaining and virtual_now() < deadline:
            await asyncio.sleep(0.5)
            for job_id in list(remaining):
                if await self._has_run(job_id):
                    remaining.remove(job_id)
        self.check_rule(not remaining, f"left waiting for {within_s:.0f} s: {', '.join(remaining)}")

    async def _has_run(self, job_id: str) -> bool:
        job = self.jobs[job_id]
        if job["shape"] != "daemon":
            status, answer = await self.send_user_request("GET", f"/submissions/{job_id}")
            self.check_answer(job_id, status, answer)
            return status == 200 and answer["standing"] == "done"
        if sum(t.job_id == job_id and t.state == "running" for _, t in self.active_tasks()) < job["parcels"]:
            return False
        self.spawn(cancel_until_confirmed(self, job_id))
        return True

    def started_jobs(self) -> set[str]:
        return {t.job_id for _, t in self.active_tasks()} | {job_id for job_id, _ in self.completed_tasks}

    def check_terms(self, expected_count: int) -> None:
        self.check_rule(
            len(self.leader_by_term) == expected_count, f"{len(self.leader_by_term)} terms, expected {expected_count}"
        )


@contextmanager
def errors_logged(caplog: pytest.LogCaptureFixture, expected_count: int = 0) -> Iterator[None]:
    """Check the number of different errors in the log."""
    caplog.clear()
    with caplog.at_level(logging.INFO):
        yield
    errors = {r.getMessage() for r in caplog.records if r.exc_info or r.levelno >= logging.ERROR}
    assert len(errors) == expected_count, errors


def jobs_of_all_types(first_number: int, **fields: Any) -> list[dict[str, Any]]:
    return [submission(first_number + n, shape=job_type, **fields) for n, job_type in enumerate(JOB_TYPES)]


def run_beside_sound_jobs(extreme_fields: Fields, **common_fields: Any) -> SubmissionsCluster:
    """Submit extreme and sound jobs of each type, twice: the second time to the next leader, which recovers the first.

    The extreme jobs run on while the others wait and run.
    """
    cluster = SubmissionsCluster()

    async def act(_: SimulatedCluster) -> None:
        await cluster.wait_for_leader()
        for turn in range(2):
            extreme = jobs_of_all_types(100 * turn + 1, **(common_fields | extreme_fields))
            sound = jobs_of_all_types(100 * turn + 11, **common_fields)
            for job in extreme:
                await cluster.submit(job, run_time_s=10.0)
            await asyncio.sleep(2.0)
            for job in sound:
                assert await cluster.submit(job)
            await cluster.wait_until_run([job["name_id"] for job in sound + extreme])
            for job in extreme:
                if job["name_id"] in cluster.accepted_jobs:
                    await cluster.check_repeated(job["name_id"])
            cluster.check_terms(turn + 1)
            if turn == 0:
                # One more job of each type waits or runs when the leader changes.
                for job in jobs_of_all_types(51, **(common_fields | extreme_fields)):
                    await cluster.submit(job, run_time_s=10.0)
                await cluster.restart_controller(cluster.current_leader())
                while len(cluster.leader_by_term) < 2:
                    await asyncio.sleep(0.5)
                await cluster.wait_until_run([f"j-{51 + n:06d}" for n in range(len(JOB_TYPES))])
        cluster.is_over = True

    cluster.play(act, max_length_s=700.0)
    return cluster


@pytest.mark.parametrize("gpus", [0.0, 1.0])
@pytest.mark.parametrize("case", EXTREME_DURATIONS)
def test_extreme_durations_keep_no_job_from_running(case: str, gpus: float, caplog: pytest.LogCaptureFixture) -> None:
    """A job with an estimate of 300 s in nanoseconds ended every leader's term: nothing was started (review/1)."""
    with errors_logged(caplog):
        cluster = run_beside_sound_jobs(EXTREME_DURATIONS[case], accelerators=gpus)
    cluster.assert_held()


@pytest.mark.parametrize("gpus", [0.0, 1.0])
@pytest.mark.parametrize("case", EXTREME_AMOUNTS)
def test_extreme_amounts_keep_no_job_from_running(case: str, gpus: float, caplog: pytest.LogCaptureFixture) -> None:
    """A machine holds more tasks of 1e-310 cores than a float can count: the quotient ended every leader's term."""
    with errors_logged(caplog):
        cluster = run_beside_sound_jobs(EXTREME_AMOUNTS[case], accelerators=gpus)
    cluster.assert_held()


@pytest.mark.parametrize("job_type", ["sweep", "gang"])
def test_task_that_would_save_for_days_is_stopped_at_once(job_type: str) -> None:
    """A preempted task that was given all the time it asked for to save a checkpoint kept its GPUs for good."""
    cluster = SubmissionsCluster()

    async def act(_: SimulatedCluster) -> None:
        cluster.cloud.capacity = {pool: int(pool == ("gpu", "a", False)) for pool in cluster.cloud.capacity}
        cluster.cloud.boot_failure_probability = 0.0
        await cluster.wait_for_leader()
        whole_machine = {"parcels": 2, "accelerators": 2.0, "shape": job_type}
        saves_for_days = {"mark_every_s": 2.0, "mark_s": MICROSECONDS}
        preempted = submission(1, rank="low", guess_s=300.0, **whole_machine, **saves_for_days)
        assert await cluster.submit(preempted, run_time_s=60.0)
        while not any(t.state == "running" for _, t in cluster.active_tasks()):
            await asyncio.sleep(0.5)
        assert await cluster.submit(submission(2, rank="urgent", crew="t1", **whole_machine))
        await cluster.wait_until_run(["j-000002"])
        await cluster.wait_until_run(["j-000001"], within_s=100.0)
        cluster.check_terms(1)
        cluster.is_over = True

    cluster.play(act, max_length_s=350.0)
    cluster.assert_held()


GPU_JOBS_THAT_NEED_ALL_CPUS: dict[str, Fields] = {
    "a quarter of the CPUs for a quarter of the GPUs": {"accelerators": 1.0, "cores": 4.0},
    "a CPU for next to no GPU": {"accelerators": 1e-9, "cores": 1.0},
}


@pytest.mark.parametrize("gpu_job", GPU_JOBS_THAT_NEED_ALL_CPUS)
@pytest.mark.parametrize("job_type", JOB_TYPES)
def test_job_that_fits_only_gpu_machines_runs_beside_gpu_jobs(
    job_type: str, gpu_job: str, caplog: pytest.LogCaptureFixture
) -> None:
    """A job without GPUs needs the memory of a machine with GPUs, whose CPUs were all reserved for jobs with GPUs."""
    cluster = SubmissionsCluster()

    async def act(_: SimulatedCluster) -> None:
        cluster.cloud.boot_failure_probability = 0.0
        await cluster.wait_for_leader()
        assert await cluster.submit(submission(1, **GPU_JOBS_THAT_NEED_ALL_CPUS[gpu_job]), run_time_s=60.0)
        await asyncio.sleep(2.0)
        # Longer than a machine with idle GPUs is kept for other work.
        assert await cluster.submit(submission(2, shape=job_type, memory_gb=40.0), run_time_s=100.0)
        await cluster.wait_until_run(["j-000002"], within_s=MAX_WAIT_S + 100.0)
        await cluster.wait_until_run(["j-000001"])
        cluster.check_terms(1)
        cluster.is_over = True

    with errors_logged(caplog):
        cluster.play(act, max_length_s=350.0)
    cluster.assert_held()


TINY_TASKS: dict[str, dict[str, Any]] = {
    "array": {"shape": "sweep", "parcels": 1500},
    "service": {"shape": "daemon", "parcels": 600},
}


@pytest.mark.parametrize("cpus", [0.0, 0.001])
@pytest.mark.parametrize("case", TINY_TASKS)
def test_tiny_tasks_leave_room_in_messages_and_on_machines(
    case: str, cpus: float, caplog: pytest.LogCaptureFixture
) -> None:
    """Thousands of tiny tasks fit on a machine, but not into a heartbeat: its lease expired again and again."""
    cluster = SubmissionsCluster()
    # As long as the protocol allows, so that the messages are as long as they can be.
    long_ids = [f"j-{10**17 + n:018d}" for n in range(2)]

    async def act(_: SimulatedCluster) -> None:
        cluster.cloud.boot_failure_probability = 0.0
        await cluster.wait_for_leader()
        for job_id in long_ids:
            tiny = submission(0, cores=cpus, memory_gb=0.0, **TINY_TASKS[case]) | {"name_id": job_id}
            assert await cluster.submit(tiny, run_time_s=10.0)
        await asyncio.sleep(5.0)
        sound = jobs_of_all_types(11) + jobs_of_all_types(21, cores=cpus, memory_gb=0.0)
        for job in sound:
            assert await cluster.submit(job)
        await cluster.wait_until_run([job["name_id"] for job in sound])
        deadline = virtual_now() + MAX_WAIT_S
        while not cluster.started_jobs() >= set(long_ids) and virtual_now() < deadline:
            await asyncio.sleep(0.5)
        cluster.check_rule(cluster.started_jobs() >= set(long_ids), f"only {cluster.started_jobs()} have started")
        cluster.check_terms(1)
        cluster.is_over = True

    with errors_logged(caplog):
        cluster.play(act, max_length_s=250.0)
    cluster.assert_held()


def test_gang_of_tiny_tasks_is_spread_over_machines_that_can_report_it() -> None:
    cluster_state = make_cluster_state()
    for n in range(4):
        FakeWorker(cluster_state, f"i-{n}").send_heartbeat(NOW)
    gang = cluster_state.add_job(job_spec(1, job_type="gang", task_count=700, cpus=0.0, memory_gb=0.0), 1)
    later = cluster_state.add_job(job_spec(2, task_count=4, cpus=0.0, memory_gb=0.0), 2)
    run_scheduling_pass(cluster_state, NOW + seconds(1))
    assert len(gang.placements) == 700 and len(later.placements) == 4
    assert all(len(m.placements) <= MAX_TASKS_PER_MACHINE // 2 + 4 for m in cluster_state.machines.values())


def test_stored_estimate_of_an_earlier_version_keeps_no_job_from_running(caplog: pytest.LogCaptureFixture) -> None:
    """An earlier version accepted the job and stored its number unchanged: it runs, and a repeat finds it."""
    cluster = SubmissionsCluster()
    extreme = jobs_of_all_types(1, guess_s=NANOSECONDS, due_s=LARGEST_NUMBER, mark_s=LARGEST_NUMBER, mark_every_s=1.0)

    async def act(_: SimulatedCluster) -> None:
        for job in extreme:
            store_job(cluster, job)
            cluster.accepted_jobs.add(job["name_id"])
            cluster.run_time_by_job[job["name_id"]] = 10.0
        await cluster.wait_for_leader()
        sound = jobs_of_all_types(11)
        for job in sound:
            assert await cluster.submit(job)
        await cluster.wait_until_run([job["name_id"] for job in sound + extreme])
        for job in extreme:
            await cluster.check_repeated(job["name_id"])
        cluster.check_terms(1)
        cluster.is_over = True

    with errors_logged(caplog):
        cluster.play(act, max_length_s=200.0)
    cluster.assert_held()


def stored_unchanged(job: dict[str, Any]) -> dict[str, Any]:
    """The record of a job as versions wrote it that stored all numbers as they were sent."""
    record: dict[str, Any] = msgspec.to_builtins(msgspec.convert(job, Submission).to_spec(accepted_ms=1))
    return record | {
        "estimate_s": job["guess_s"],
        "checkpoint_s": job["mark_every_s"],
        "save_s": job["mark_s"],
        "deadline_s": job["due_s"],
    }


def store_job(cluster: SubmissionsCluster, job: dict[str, Any], stored_fields: dict[str, Any] | None = None) -> None:
    """Add the record of a job that a controller accepted earlier, with some of its stored fields replaced."""
    job_id = job["name_id"]
    cluster.jobs[job_id] = job
    cluster.externally_changed_jobs.add(job_id)
    cluster.kv_store.revision += 1
    cluster.kv_store.apply_change(LIVE_JOB_PREFIX + job_id, stored_unchanged(job) | (stored_fields or {}), None)


def test_lateness_beyond_the_range_of_durations_has_a_time_budget() -> None:
    """The path of an array that its team's limit splits into 100,000 waves is longer than `timedelta` can represent."""
    cluster_state = make_cluster_state()
    first = cluster_state.add_job(
        job_spec(1, task_count=100_000, gpus=TEAM_GPU_LIMIT, estimated_duration_s=LARGEST_NUMBER, deadline_s=60.0), 1
    )
    latest_starts = latest_start_times(cluster_state, DependencyGraph(), [first.spec.id])
    cluster_state.set_slack("pipelines", slack_of_jobs_at_risk(latest_starts, now_ms=60_000))
    assert first.spec.id in cluster_state.slack_ms_by_job
    assert time_budget(cluster_state, first, seconds(60)) == ZERO


def leave_durations_unbounded(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(model, "bound_fields", lambda record, names, bound: None)
    patch.setattr(model, "seconds", lambda value: timedelta(seconds=value))


@pytest.mark.parametrize("case", ["guess_s 1e-09", "guess_s 2.3e+11", "guess_s 3e+11"])
def test_unbounded_durations_are_caught(case: str, monkeypatch: pytest.MonkeyPatch) -> None:
    leave_durations_unbounded(monkeypatch)
    cluster = run_beside_sound_jobs(EXTREME_DURATIONS[case])
    assert cluster.rule_violations or cluster.errors


@pytest.mark.parametrize("field", ["cores", "accelerators", "memory_gb"])
def test_unbounded_amounts_are_caught(field: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(model, "bounded_amount", lambda value: value)
    cluster = run_beside_sound_jobs({field: SMALLEST_NUMBER})
    assert cluster.rule_violations or cluster.errors


# -- numbers from stored records, the cloud, workers and settings ---------------------------------------


def run_with_sound_jobs(
    caplog: pytest.LogCaptureFixture,
    prepare: Callable[[SubmissionsCluster], None] = lambda cluster: None,
    params_override: dict[str, Any] | None = None,
    expected_errors: int = 0,
    **common_fields: Any,
) -> None:
    """Run sound jobs of each type, with and without GPUs, after `prepare`: under one leader, no other error logged."""
    cluster = SubmissionsCluster(params_override=params_override)

    async def act(_: SimulatedCluster) -> None:
        prepare(cluster)
        await cluster.wait_for_leader()
        sound = jobs_of_all_types(11, **common_fields) + jobs_of_all_types(21, accelerators=1.0, **common_fields)
        for job in sound:
            assert await cluster.submit(job)
        await cluster.wait_until_run([job["name_id"] for job in sound])
        cluster.check_terms(1)
        cluster.is_over = True

    with errors_logged(caplog, expected_errors):
        cluster.play(act, max_length_s=200.0)
    cluster.assert_held()


STORED_NUMBERS = {
    "accepted_ms": (-(10**18), 10**18),
    "priority": (-(10**18), 10**18),
    "cpus": (-1e300, 1e300),
    "gpus": (-1e300, 1e-300, 1e300),
    "memory_gb": (-1e300, 1e-300, 1e300),
    "image_gb": (-1e300, 1e-300, 1e300),
    "estimate_s": (-1e300, 1e300),
    "checkpoint_s": (-1e300, 1e300),
    "save_s": (-1e300, 1e300),
    "deadline_s": (-1e300, 1e300),
}


@pytest.mark.parametrize(
    ("field", "value"), [(field, value) for field, values in STORED_NUMBERS.items() for value in values]
)
def test_no_number_in_a_stored_job_ends_a_term(field: str, value: float, caplog: pytest.LogCaptureFixture) -> None:
    """A new leader reads the records of all jobs; one that it can't calculate with ended its term, then each other."""

    def store_jobs(cluster: SubmissionsCluster) -> None:
        for job in jobs_of_all_types(1):
            store_job(cluster, job, {field: value})

    run_with_sound_jobs(caplog, store_jobs)


@pytest.mark.parametrize("task_count", [-(10**18), -1, 0, 100_001, 10**15])
def test_stored_job_with_an_impossible_task_count_is_held(task_count: int, caplog: pytest.LogCaptureFixture) -> None:
    """A bitmap of that many tasks can't be allocated; the job is held, which one line in the log says."""

    run_with_sound_jobs(
        caplog, lambda cluster: store_job(cluster, submission(1), {"tasks": task_count}), expected_errors=1
    )


CATALOG_NUMBERS = {
    "cores": (0.0, 1e-320, 1e300),
    "memory_gb": (0.0, 1e300),
    "cache_gb": (0.0, 1e300),
    "fetch_gb_per_s": (0.0, 1e-320, 1e300),
    "price": (0.0, 1e-320, 1e300),
    "low_price": (0.0, 1e-320, 1e300),
    "ready_s": (0.0, 1e-320, 1e300),
}


@pytest.mark.parametrize(
    ("field", "value"), [(field, value) for field, values in CATALOG_NUMBERS.items() for value in values]
)
def test_no_number_in_the_catalog_ends_a_term(
    field: str, value: float, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """One of the machine types has an extreme number, and a machine of it is up; some jobs need no CPUs."""
    resources = {"cores": 8.0, "accelerators": 0.0, "memory_gb": 32.0}
    monkeypatch.setitem(MACHINE_TYPES, "odd", resources | ({field: value} if field in resources else {}))

    def falsify_catalog(cluster: SubmissionsCluster) -> None:
        answer_request = cluster.cloud.handle

        async def answer_with_extreme_number(controller_name: str, method: str, path: str, body: Any) -> Reply:
            reply = await answer_request(controller_name, method, path, body)
            if path != "/catalog":
                return reply
            entries = orjson.loads(reply.body)["builds"]
            return json_reply(200, {"builds": [e | ({field: value} if e["name"] == "odd" else {}) for e in entries]})

        cluster.cloud.handle = answer_with_extreme_number  # type: ignore[method-assign]
        cluster.cloud.rent_machine("odd", ZONES[0], is_spot=False)

    for cpus in (1.0, 0.0):
        run_with_sound_jobs(caplog, falsify_catalog, cores=cpus)


@pytest.mark.parametrize("age_s", [-1e300, 0.0, 1e300])
def test_no_age_of_a_listed_machine_ends_a_term(age_s: float, caplog: pytest.LogCaptureFixture) -> None:
    def falsify_ages(cluster: SubmissionsCluster) -> None:
        answer_request = cluster.cloud.handle

        async def answer_with_age(controller_name: str, method: str, path: str, body: Any) -> Reply:
            reply = await answer_request(controller_name, method, path, body)
            if path.startswith("/machines?"):
                listed = orjson.loads(reply.body)
                return json_reply(200, listed | {"hosts": [m | {"held_s": age_s} for m in listed["hosts"]]})
            return reply

        cluster.cloud.handle = answer_with_age  # type: ignore[method-assign]

    run_with_sound_jobs(caplog, falsify_ages)


EXTREME_PARAMS: dict[str, dict[str, Any]] = {
    "store rates": {"state": {"rps": 1e308, "write_rps": 1e308, "value_kb": 8.0, "txn_ops": 24}},
    "store value size": {"state": {"rps": 200.0, "write_rps": 100.0, "value_kb": 1e308, "txn_ops": 24}},
    "cloud": {"cloud": {"rps": 1e308, "list_lag_s": 1e308}},
    "processes": {"limits": {"cpu": 1e308, "ram_mb": 1e308, "sockets": 2**62}},
    "clock skew": {"skew_ms": 1e308},
    "large quotas": {
        "teams": [{"name": "t0", "cpus": 1e308, "cpus_max": 1e308, "gpus": 1e308, "gpus_max": 1e308}, {"name": "t1"}]
    },
    "objectives": {
        "objectives": [
            {"kind": "wait", "class": "x", "within_s": 1e308, "share": 0.9},
            {"kind": "finished", "class": "x", "within_s": -1e308, "share": 0.9},
            {"kind": "guarantee", "within_s": 1e-320, "share": 0.9},
        ]
    },
}


@pytest.mark.parametrize("params", EXTREME_PARAMS)
def test_no_number_in_the_settings_ends_a_term(params: str, caplog: pytest.LogCaptureFixture) -> None:
    run_with_sound_jobs(caplog, params_override=EXTREME_PARAMS[params])


def test_no_number_in_a_heartbeat_is_an_error() -> None:
    """The largest numbers that a heartbeat may hold, and a completed task that its job does not have."""
    cluster_state = make_cluster_state()
    worker = FakeWorker(cluster_state, "i-1")
    run = cluster_state.add_job(job_spec(1, task_count=3), 1)
    worker.tasks["done", 1] = TaskStatus(f"{run.spec.id}/999999", 2**64 - 1, "exited", "done")
    worker.tasks["running", 1] = TaskStatus(f"{run.spec.id}/1", 2**64 - 1, "running")
    commands = worker.send_heartbeat(NOW)
    assert [command["verb"] for command in commands] == ["clear", "halt"]
    heartbeat = msgspec.structs.replace(worker.make_heartbeat(), reclaim_notice_s=1e9, sequence=2**64 - 1)
    assert HeartbeatReconciler(cluster_state).apply_heartbeat(heartbeat, NOW) is cluster_state.machines[worker.name]


@pytest.mark.parametrize("text", ["1e13", "1e999", "1" + "0" * 400])
def test_operators_number_that_is_too_large_is_refused_in_one_line(text: str) -> None:
    with pytest.raises(SettingsError, match="must be at most"):
        parse_operator_config(sexpdata.parse(f"(disruption (soon {text}))"))
