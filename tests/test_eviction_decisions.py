"""Unit tests of drains: settings, disruption budgets, eviction steps, automatic replacement and stored records."""

import random
from datetime import UTC, datetime, timedelta
from typing import Any, cast

import orjson
import pytest
import sexpdata

from roseweir.cli import main
from roseweir.clock import seconds
from roseweir.cloud.offers import MachineOffer
from roseweir.drain.auto_replacement import (
    REPLACE_FAILING,
    REPLACE_OLD,
    REPLACE_SLOW,
    AutoReplacement,
    replacement_cost,
)
from roseweir.drain.cli import expand_start_shorthand
from roseweir.drain.disruption_budget import BudgetUsage, DisruptionAccount
from roseweir.drain.eviction_state_machine import Decision, EvictionStateMachine
from roseweir.drain.lifecycle_listener import DrainLifecycleListener
from roseweir.drain.machine_health import MachineHealth
from roseweir.drain.model import (
    MAX_ACTIVE_DRAINS,
    MAX_ENDED_DRAINS,
    Drain,
    DrainRejected,
    DrainRequest,
    validate_request,
)
from roseweir.drain.settings import AutoReplacementSettings, DisruptionBudget, DrainSettings
from roseweir.drain.store import MAX_CORDON_PAGES, MAX_DISRUPTION_PAGES, DrainRecordFull, DrainStore
from roseweir.drain.surge_pool import Cordon, SurgePool
from roseweir.kv_store import KeyValueStoreClient
from roseweir.kv_store.transaction_limits import TransactionLimits
from roseweir.operator_config import parse_operator_config
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.lifecycle_events import DowntimeCause
from roseweir.scheduler.model import JobRun, new_job_run
from roseweir.scheduler.scheduling_pass import run_scheduling_pass
from roseweir.settings import KeyValueStoreSettings
from roseweir.sexp import SettingsError
from roseweir.submissions.jobs import GANG, SERVICE
from tests.simulation.job_specs import make_job_spec as job
from tests.test_scheduler import NOW, FakeWorker, commit_placements, make_cluster_state

UTC_NOW = datetime(2026, 3, 4, 12, tzinfo=UTC)
UTC_NOW_MS = round(UTC_NOW.timestamp() * 1000)


def parse_drain_settings(text: str) -> DrainSettings:
    settings = parse_operator_config(sexpdata.parse(text)).drain
    assert settings is not None
    return settings


# -- operator settings and requests -------------------------------------------------------------


def test_most_specific_budget_applies() -> None:
    settings = parse_drain_settings(
        '(disruption (budget (share 0.2)) (budget (team "t0") (tasks 5)) (budget (class "c") (gangs 1))'
        ' (budget (team "t0") (class "c") (per-hour 9)))'
    )
    budget_indices = [
        settings.budget_index(team, job_class)
        for team, job_class in (("t1", "x"), ("t0", "x"), ("t1", "c"), ("t0", "c"))
    ]
    assert budget_indices == [0, 1, 2, 3]
    assert settings.budget_at(2).share == 0.1, "a limit on gangs keeps the default share of tasks"
    assert DrainSettings().budget_at(DrainSettings().budget_index("t0", "c")).share == 0.1


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("(disruption (hole 0))", "`hole` must be above 0"),
        ("(disruption (hole 1.5))", "`hole` must be at most 1"),
        ("(disruption (budget))", "a `budget` needs"),
        ('(disruption (budget (team "a")))', "a `budget` needs"),
        ("(disruption (budget (share 0.1)) (budget (tasks 3)))", "two `budget` forms for the same default"),
        ("(disruption (budget (tasks 1.5)))", "whole number"),
        ("(disruption (budgets (tasks 1)))", "unknown name `budgets`"),
        ('(disruption (quiet (from "18:00") (to "25:00")))', "not a time"),
        ('(disruption (quiet (from "18:00")))', "needs `from` and `to`"),
        ("(replacement (replace-slow 1))", "above 1"),
        ("(replacement (replace-odd 1))", "unknown name `replace-odd`"),
        ('(calendar (time-zone "UTC"))', "says nothing without"),
    ],
)
def test_invalid_drain_settings_are_rejected(text: str, message: str) -> None:
    with pytest.raises(SettingsError, match=message):
        parse_drain_settings(text)


def test_quiet_hours_span_midnight_and_exclude_holidays() -> None:
    settings = parse_drain_settings(
        '(calendar (time-zone "America/Toronto") (holiday "2026-03-05")'
        ' (event (name "rush") (from "2026-03-06T12:00") (to "2026-03-06T13:00") (factor 2)))'
        '(disruption (quiet (from "22:00") (to "06:00")))'
    )
    # Toronto is five hours behind.
    times = ["04T17:00", "05T04:00", "04T10:59", "04T11:00", "06T04:00", "06T17:30"]
    quiet = [settings.is_quiet(datetime.fromisoformat(f"2026-03-{time}+00:00")) for time in times]
    assert quiet == [False, True, True, False, False, True], "the 5th is a holiday, the 6th has a calendar event"


@pytest.mark.parametrize(
    ("drain_request", "message"),
    [
        (DrainRequest("Fleet"), "name `Fleet`"),
        (DrainRequest("status"), "name `status`"),
        (DrainRequest("replace-older"), "nor beginning"),
        (DrainRequest("x", machines=["i-1"] * 401), "at most 400"),
        (DrainRequest("x", machines=["i-1"], spot=True), "say nothing"),
        (DrainRequest("x", types=["huge"]), "unknown type `huge`, expected one of cpu"),
        (DrainRequest("x", deadline_s=0), "leaves no time"),
        (DrainRequest("x", grace_s=float("nan")), "no span"),
    ],
)
def test_invalid_drain_requests_are_rejected(drain_request: DrainRequest, message: str) -> None:
    with pytest.raises(DrainRejected, match=message):
        validate_request(drain_request, {"cpu"}, ["a"])


def test_command_line_reports_invalid_arguments_in_one_line(capsys: pytest.CaptureFixture[str]) -> None:
    assert expand_start_shorthand(["drain", "rack-7", "--all"]) == ["drain", "start", "rack-7", "--all"]
    assert expand_start_shorthand(["drain", "stop", "x"]) == ["drain", "stop", "x"]
    assert main(["drain", "x", "--at", "127.0.0.1:1"]) == 2
    assert main(["drain", "x", "--all", "--zone", "a", "--at", "127.0.0.1:1"]) == 2
    assert main(["drain", "status", "--at", "nowhere"]) == 2
    messages = capsys.readouterr().err.splitlines()
    assert len(messages) == 3 and "say --all" in messages[0] and "HOST:PORT" in messages[2]
    for arguments in (["drain", "x", "--all", "--older", "x"], ["drain", "x", "--all", "--spot", "--ordinary"]):
        with pytest.raises(SystemExit) as exit_info:
            main([*arguments, "--at", "127.0.0.1:1"])
        assert exit_info.value.code == 2


# -- disruption budgets -------------------------------------------------------------------------


def add_running_job(cluster_state: ClusterState, count: int, number: int = 1, **more: Any) -> JobRun:
    run = new_job_run(job(number, task_count=count, **more), 1)
    cluster_state.jobs[run.spec.id] = run
    run.placed_index_bound = count
    return run


@pytest.mark.parametrize("seed", range(20))
def test_reserved_disruptions_never_exceed_a_budget(seed: int) -> None:
    """Random reservations, losses and recoveries of several teams, with gangs, stay within the budgets.

    Only a single unit may exceed a budget, and only while nothing else of the budget is down.
    """
    rng = random.Random(seed)
    budgets = [
        DisruptionBudget(share=0.15),
        DisruptionBudget(team="t0", tasks=6),
        DisruptionBudget(job_class="g", tasks=9, gangs=2),
    ]
    account = DisruptionAccount(DrainSettings(budgets=budgets))
    runs = [
        new_job_run(
            job(
                number,
                task_count=rng.randint(1, 12),
                team=f"t{number % 2}",
                job_type=GANG if number % 3 == 0 else "array",
                job_class="g" if number % 3 == 0 else "c",
            ),
            1,
        )
        for number in range(1, 20)
    ]
    buckets = {id(account.usage_of(job_run)): account.usage_of(job_run) for job_run in runs}
    reserved_count = 0
    for step in range(400):
        now = NOW + seconds(step)
        for bucket in buckets.values():
            bucket.tasks_running = 60 - bucket.tasks_down
        run = rng.choice(runs)
        index = rng.randrange(run.spec.task_count)
        bucket = account.usage_of(run)
        bucket.tasks_running = 60 - bucket.tasks_down
        tasks_down_before, max_tasks_down = bucket.tasks_down, bucket.max_tasks_down
        event_draw = rng.random()
        if event_draw < 0.15:
            account.mark_down(run, [index], DowntimeCause.LOST, now)
        elif event_draw < 0.45:
            account.mark_up(run, [index])
        elif not account.is_down(run, index) and account.reserve_disruption(run, [index], now) == "":
            reserved_count += 1
            assert bucket.tasks_down <= max_tasks_down or tasks_down_before == 0, (run.spec, tasks_down_before, bucket)
            assert bucket.budget.gangs is None or bucket.gangs_down <= 2
        # The counters must match a recount of the tasks that are down.
        for bucket in buckets.values():
            bucket_runs = [job_run for job_run in runs if account.usage_of(job_run) is bucket]
            assert bucket.tasks_down == sum(len(account.down_tasks.get(job_run.spec.id, ())) for job_run in bucket_runs)
            assert bucket.tasks_down == sum(bucket.down_by_cause.values())
            assert bucket.gangs_down == sum(
                job_run.spec.job_type == GANG and job_run.spec.id in account.down_tasks for job_run in bucket_runs
            )
    assert reserved_count > 10


def test_rate_limits_of_a_budget_survive_failover() -> None:
    settings = DrainSettings(budgets=[DisruptionBudget(tasks=50, per_minute=3, per_hour=5)])
    account, cluster_state = DisruptionAccount(settings), make_cluster_state()
    run = add_running_job(cluster_state, 40)
    account.usage_of(run).tasks_running = 40

    def stop_task(offset: timedelta, index: int) -> str:
        refusal_reason = account.reserve_disruption(run, [index], NOW + offset)
        account.mark_up(run, [index])
        return refusal_reason

    assert [stop_task(seconds(second), second) == "" for second in range(4)] == [True, True, True, False]
    successor = DisruptionAccount(settings)
    successor.restore_rate_windows(
        account.encode_rate_windows(NOW + seconds(5), UTC_NOW_MS + 5000), NOW + seconds(5), UTC_NOW_MS + 5000
    )
    successor.usage_of(run).tasks_running = 40
    account = successor
    assert "in this minute" in stop_task(seconds(6), 6)
    assert stop_task(seconds(130), 7) == stop_task(seconds(131), 8) == ""
    assert "in this hour" in stop_task(seconds(300), 9)
    assert stop_task(seconds(3900), 10) == ""


def test_tasks_count_as_down_after_failover_until_they_run() -> None:
    """A new leader cannot know which tasks run, so each that may be down counts until a heartbeat shows it running."""
    cluster_state = make_cluster_state()
    worker = FakeWorker(cluster_state, "i-1")
    worker.send_heartbeat(NOW)
    run = cluster_state.add_job(job(1, task_count=8), 1)
    for index in (0, 1, 5):
        cluster_state.restore_placement(run, index, worker.machine, 7, NOW)
    run.mark_completed(2)
    account = DisruptionAccount(DrainSettings())
    # The stored bound of placed indices is 7: tasks 0 to 6 may have been started, task 7 was not.
    account.assume_down_after_failover([run], {run.spec.id: 7}, NOW)
    assert sorted(account.down_tasks[run.spec.id]) == [0, 1, 3, 4, 5, 6]
    cluster_state.lifecycle_listener = DrainLifecycleListener(cluster_state, account, MachineHealth())
    for index in (0, 1, 5):
        worker.tasks[f"j-000001/{index}", 7] = running_task_status(f"j-000001/{index}", 7)
    worker.send_heartbeat(NOW)
    assert sorted(account.down_tasks[run.spec.id]) == [3, 4, 6]


def running_task_status(task: str, attempt: int) -> Any:
    from roseweir.workers.messages import TaskStatus

    return TaskStatus(task, attempt, "running")


def test_services_lose_one_replica_at_a_time_down_to_the_minimum() -> None:
    cluster_state = make_cluster_state()
    workers = [FakeWorker(cluster_state, f"i-{number}") for number in range(3)]
    for worker in workers:
        worker.send_heartbeat(NOW)
    run = cluster_state.add_job(job(1, task_count=3, job_type=SERVICE), 1)
    run_scheduling_pass(cluster_state, NOW)
    commit_placements(cluster_state)
    for _ in range(2):
        for worker in workers:
            worker.send_heartbeat(NOW)
    account = DisruptionAccount(DrainSettings(budgets=[DisruptionBudget(tasks=9, replicas_least=2)]))
    account.count_running([run])
    assert account.reserve_disruption(run, [0], NOW) == ""
    assert "1 of its replicas are down" in account.reserve_disruption(run, [1], NOW)
    account.mark_up(run, [0])
    strict_account = DisruptionAccount(DrainSettings(budgets=[DisruptionBudget(tasks=9, replicas_least=3)]))
    assert "3 are the least" in strict_account.reserve_disruption(run, [0], NOW)


# -- eviction steps -----------------------------------------------------------------------------


def start_drain(
    cluster_state: ClusterState, workers: list[FakeWorker], settings: DrainSettings | None = None
) -> EvictionStateMachine:
    """Returns a state machine with an active drain of the first worker's machine."""
    settings = settings or DrainSettings(hole=1.0)
    account = DisruptionAccount(settings)
    pool = SurgePool(cluster_state, settings.hole, NOW)
    state_machine = EvictionStateMachine(settings, cluster_state, account, pool, None, NOW - seconds(60))
    state_machine.has_machine_list = True
    cluster_state.lifecycle_listener = DrainLifecycleListener(cluster_state, account, MachineHealth())
    request = DrainRequest("x", machines=[workers[0].name], replace=False)
    state_machine.drains["x"] = Drain(request, UTC_NOW_MS, UTC_NOW_MS + 10_000_000, settings.grace.total_seconds(), "")
    cluster_state.zone_responsive_since = {"a": NOW, "b": NOW}
    return state_machine


def send_heartbeats(workers: list[FakeWorker], now: datetime) -> None:
    for worker in workers:
        worker.send_heartbeat(now)
        worker.send_heartbeat(now)


def decide(state_machine: EvictionStateMachine, now: datetime) -> Decision:
    decision = state_machine.decide(now, UTC_NOW + (now - NOW))
    state_machine.apply(decision, now)
    return decision


def place_and_run(cluster_state: ClusterState, workers: list[FakeWorker], run: JobRun) -> None:
    run_scheduling_pass(cluster_state, NOW)
    commit_placements(cluster_state)
    send_heartbeats(workers, NOW)
    send_heartbeats(workers, NOW)
    assert all(placement.state == "running" for placement in run.placements.values()) and run.placements


def test_gang_is_evicted_whole_right_after_a_checkpoint() -> None:
    """The eviction waits for a checkpoint, and needs capacity for the whole gang on other machines."""
    cluster_state = make_cluster_state()
    workers = [FakeWorker(cluster_state, f"i-{number}", "gpu") for number in range(4)]
    send_heartbeats(workers, NOW)
    run = cluster_state.add_job(
        job(
            1,
            task_count=2,
            job_type=GANG,
            gpus=2.0,
            checkpoint_interval_s=40.0,
            checkpoint_duration_s=4.0,
            estimated_duration_s=600.0,
        ),
        1,
    )
    place_and_run(cluster_state, workers, run)
    gang_machine = next(iter(run.placements.values())).machine.name
    workers.sort(key=lambda worker: worker.name != gang_machine)
    state_machine = start_drain(cluster_state, workers)
    decide(state_machine, NOW)
    evicted_indices: dict[int, list[int]] = {}
    for elapsed_s in range(1, 60):
        now = NOW + seconds(elapsed_s)
        send_heartbeats(workers, now)
        for eviction in decide(state_machine, now).evictions:
            evicted_indices[elapsed_s] = [placement.index for placement in eviction.placements]
            assert {placement.stop_grace for placement in run.placements.values()} == {seconds(4 + 1 + 3)}
    assert list(evicted_indices) == [40] or list(evicted_indices) == [1], evicted_indices
    assert sorted(next(iter(evicted_indices.values()))) == [0, 1], "both tasks of the gang, on both machines"


def test_tasks_without_checkpoints_run_until_the_grace_ends() -> None:
    """Tasks with a short remaining estimate are waited for too."""
    cluster_state = make_cluster_state()
    workers = [FakeWorker(cluster_state, "i-0"), FakeWorker(cluster_state, "i-1")]
    send_heartbeats(workers, NOW)
    ending_soon = cluster_state.add_job(
        job(1, task_count=2, estimated_duration_s=30.0, checkpoint_interval_s=5.0, checkpoint_duration_s=1.0), 1
    )
    without_checkpoints = cluster_state.add_job(job(2, task_count=2, estimated_duration_s=9000.0), 1)
    place_and_run(cluster_state, workers, ending_soon)
    assert without_checkpoints.placements
    state_machine = start_drain(cluster_state, workers, DrainSettings(hole=1.0, soon=seconds(60), grace=seconds(100)))
    evicted_at_s: dict[str, int] = {}
    for elapsed_s in range(120):
        now = NOW + seconds(elapsed_s)
        send_heartbeats(workers, now)
        for eviction in decide(state_machine, now).evictions:
            evicted_at_s.setdefault(eviction.run.spec.id, elapsed_s)
    job_ids = {
        placement.run.spec.id for placement in cluster_state.machines["i-0"].placements.values()
    } | evicted_at_s.keys()
    assert without_checkpoints.spec.id in job_ids
    assert evicted_at_s.get(without_checkpoints.spec.id, 101) >= 100
    assert evicted_at_s.get(ending_soon.spec.id, 101) >= 100, (
        "its estimate has passed, but it may still run until the grace ends"
    )


def test_empty_machine_is_released_after_exits_are_cleared() -> None:
    """When the drain that owns a cordon is removed, an overlapping drain takes the cordon over."""
    cluster_state = make_cluster_state()
    workers = [FakeWorker(cluster_state, "i-0"), FakeWorker(cluster_state, "i-1")]
    send_heartbeats(workers, NOW)
    state_machine = start_drain(cluster_state, workers)
    overlapping_drain = Drain(
        DrainRequest("y", zones=["a"], replace=False), UTC_NOW_MS + 1, UTC_NOW_MS + 10_000_000, 300.0, "i-9"
    )
    state_machine.drains["y"] = overlapping_drain
    decide(state_machine, NOW)
    assert state_machine.cordons["i-0"].owner == "x" and cluster_state.drain_by_machine == {"i-0": "x", "i-1": "y"}
    del state_machine.drains["x"]
    cluster_state.machines["i-0"].exits_to_clear.append(("j-1/0", 1, "done"))
    now = NOW + seconds(1)
    assert decide(state_machine, now).uncordoned == [] and state_machine.cordons["i-0"].owner == "y"
    assert [machine.name for machine in state_machine.release_empty_machines(now)] == ["i-1"]
    cluster_state.machines["i-0"].exits_to_clear.clear()
    assert [machine.name for machine in state_machine.release_empty_machines(now)] == ["i-0"]


def test_machine_marked_for_release_is_drained_too() -> None:
    """Guards against a drain that treats such a machine as already released and waits for it forever."""
    cluster_state = make_cluster_state()
    workers = [FakeWorker(cluster_state, "i-0"), FakeWorker(cluster_state, "i-1")]
    send_heartbeats(workers, NOW)
    run = cluster_state.add_job(
        job(1, task_count=9, estimated_duration_s=9000.0, checkpoint_interval_s=5.0, checkpoint_duration_s=1.0), 1
    )
    place_and_run(cluster_state, workers, run)
    cluster_state.machines["i-0"].is_marked_for_release = True
    state_machine = start_drain(cluster_state, workers, DrainSettings(hole=1.0, grace=seconds(1)))
    eviction_count = 0
    for elapsed_s in range(1, 15):
        send_heartbeats(workers, NOW + seconds(elapsed_s))
        eviction_count += len(decide(state_machine, NOW + seconds(elapsed_s)).evictions)
    assert eviction_count > 0


def test_forced_drain_beyond_max_cordons_proceeds_in_batches() -> None:
    cluster_state = make_cluster_state()
    workers = [FakeWorker(cluster_state, f"i-{number}") for number in range(6)]
    send_heartbeats(workers, NOW)
    state_machine = start_drain(cluster_state, workers)
    state_machine.max_cordons = 2
    state_machine.drains["x"] = Drain(
        DrainRequest("x", force=True, replace=False), UTC_NOW_MS - 10, UTC_NOW_MS - 5, 0.0, "i-9"
    )
    released: list[str] = []
    for elapsed_s in range(1, 5):
        send_heartbeats([worker for worker in workers if worker.name not in released], NOW + seconds(elapsed_s))
        decide(state_machine, NOW + seconds(elapsed_s))
        assert len(state_machine.cordons) <= 2
        for machine in state_machine.release_empty_machines(NOW + seconds(elapsed_s)):
            cluster_state.remove_machine(machine.name, NOW + seconds(elapsed_s), "released")
            released.append(machine.name)
    assert len(released) == 6


def test_drain_waits_for_replacements_or_bounds_missing_machines() -> None:
    """Machines are cordoned once replacements are ready; if none can be rented, `hole` bounds the missing share."""
    cluster_state = make_cluster_state()
    workers = [FakeWorker(cluster_state, f"i-{number:02d}") for number in range(20)]
    send_heartbeats(workers, NOW)
    pool = SurgePool(cluster_state, 0.1, NOW)
    machines = list(cluster_state.machines.values())
    assert pool.cordon_capacity("cpu", False, True, [], NOW) == 2, "no queued work needs the missing machines"
    pool.update([False], {}, NOW)
    assert pool.cordon_capacity("cpu", False, True, [], NOW) == 0, "no replacement is ready yet"
    rentals = pool.plan_rentals({"cpu": machines}, {}, [], NOW)
    assert sum(rental.count for rental in rentals) == 2 and all(rental.is_surge for rental in rentals)
    refused = {MachineOffer("cpu", zone, False): NOW + seconds(12) for zone in "ab"}
    pool.update([False], refused, NOW)
    assert pool.plan_rentals({"cpu": machines}, refused, [], NOW) == []
    assert pool.cordon_capacity("cpu", False, True, [], NOW) == 2
    cordons = [Cordon("x", "cpu", MachineOffer("cpu", "a", False), UTC_NOW_MS, True) for _ in range(2)]
    assert pool.cordon_capacity("cpu", False, True, cordons, NOW) == 0
    pool.record_departure(cordons.pop(), NOW)
    assert pool.cordon_capacity("cpu", False, True, cordons, NOW) == 0, "the departed machine has no replacement"
    # A machine rented since then counts as a replacement once it has sent a heartbeat and holds an image.
    replacement = FakeWorker(cluster_state, "i-99")
    replacement.send_heartbeat(NOW + seconds(5))
    replacement.send_heartbeat(NOW + seconds(6))
    replacement.machine.scaled_out_at = NOW + seconds(1)
    pool.update([False], refused, NOW + seconds(7))
    assert pool.cordon_capacity("cpu", False, True, cordons, NOW) == 0
    replacement.machine.record_image_use("img", 1.0)
    pool.update([False], refused, NOW + seconds(8))
    assert pool.cordon_capacity("cpu", False, True, cordons, NOW + seconds(8)) == 1
    # With no queued work for this machine type, the missing machine no longer counts.
    pool.record_departure(cordons.pop(), NOW + seconds(9))
    pool.update([], {}, NOW + seconds(60))
    assert pool.missing_count("cpu", []) == 0


# -- automatic replacement ----------------------------------------------------------------------


def make_aged_machines(count: int) -> tuple[ClusterState, list[FakeWorker]]:
    cluster_state = make_cluster_state()
    workers = [FakeWorker(cluster_state, f"i-{number:03d}") for number in range(count)]
    send_heartbeats(workers, NOW)
    for worker in workers:
        worker.machine.scaled_out_at = NOW - seconds(100)
    return cluster_state, workers


def test_daily_replacement_limits_hold_across_failovers() -> None:
    cluster_state, workers = make_aged_machines(30)
    price = replacement_cost(workers[0].machine)
    settings = AutoReplacementSettings(older=seconds(50), machines_a_day=10, money_a_day=price * 6.5)
    auto_replacement = AutoReplacement(settings, MachineHealth())
    replaced_by_day: dict[int, int] = {}
    for hour in range(48):
        now_ms = UTC_NOW_MS + hour * 3_600_000
        if hour % 5 == 0:
            encoded = auto_replacement.encode()
            auto_replacement = AutoReplacement(settings, MachineHealth())
            auto_replacement.restore(orjson.loads(orjson.dumps(encoded)))
        for name, reason in auto_replacement.select_machines(cluster_state.machines.values(), NOW, now_ms).items():
            if not auto_replacement.refusal_reason(cluster_state.machines[name], now_ms):
                auto_replacement.charge(cluster_state.machines[name], reason, NOW, now_ms)
                day = datetime.fromtimestamp(now_ms / 1000, UTC).day
                replaced_by_day[day] = replaced_by_day.get(day, 0) + 1
    assert replaced_by_day == {4: 6, 5: 6, 6: 6}


def test_ineffective_replacement_reason_pauses_and_retries() -> None:
    """A reason pauses when it selects too many machines of a type, or when the replacements are no better."""
    cluster_state, workers = make_aged_machines(20)
    machine_health = MachineHealth()
    auto_replacement = AutoReplacement(AutoReplacementSettings(slow=1.5, failing=2), machine_health)

    def record_slow_runs(worker: FakeWorker) -> None:
        for _ in range(10):
            machine_health.record_run(worker.machine, 3.0)

    for worker in workers[:3]:
        record_slow_runs(worker)
    assert set(auto_replacement.select_machines(cluster_state.machines.values(), NOW, UTC_NOW_MS).values()) == {
        REPLACE_SLOW
    }
    for worker in workers[:3]:
        auto_replacement.charge(worker.machine, REPLACE_SLOW, NOW, UTC_NOW_MS)
    # The replacements are as slow.
    for worker in workers[17:19]:
        worker.machine.scaled_out_at = NOW + seconds(30)
        record_slow_runs(worker)
    assert auto_replacement.select_machines(cluster_state.machines.values(), NOW, UTC_NOW_MS) == {}
    brakes = auto_replacement.describe(UTC_NOW_MS)["brakes"]
    assert brakes[0]["type"] == "cpu" and "no better" in brakes[0]["why"] and brakes[0]["lifts_in_s"] == 3600
    assert auto_replacement.select_machines(cluster_state.machines.values(), NOW, UTC_NOW_MS + 3_700_000) != {}, (
        "the pause has ended"
    )
    for worker in workers[:8]:
        record_slow_runs(worker)
    assert auto_replacement.select_machines(cluster_state.machines.values(), NOW, UTC_NOW_MS + 3_800_000) == {}
    assert auto_replacement.describe(UTC_NOW_MS + 3_800_000)["brakes"][0]["lifts_in_s"] == 7200, (
        "the second pause is twice as long"
    )
    # Each replacement reason pauses separately.
    run = cluster_state.add_job(job(1), 1)
    for number in (1, 2):
        machine_health.record_failure(workers[12].machine, new_job_run(job(number), 1) if number == 2 else run, NOW)
    assert auto_replacement.select_machines(cluster_state.machines.values(), NOW, UTC_NOW_MS + 3_800_000) == {
        workers[12].name: REPLACE_FAILING
    }


def test_machines_above_the_age_limit_are_replaced_unless_age_unknown() -> None:
    cluster_state, workers = make_aged_machines(4)
    workers[1].machine.scaled_out_at = NOW - seconds(10)
    workers[2].machine.scaled_out_at = datetime(1970, 1, 1)
    auto_replacement = AutoReplacement(AutoReplacementSettings(older=seconds(50)), MachineHealth())
    assert auto_replacement.select_machines(cluster_state.machines.values(), NOW, UTC_NOW_MS) == {
        workers[0].name: REPLACE_OLD,
        workers[3].name: REPLACE_OLD,
    }


# -- stored records -----------------------------------------------------------------------------


class SmallLimitsClient:
    transaction_limits = TransactionLimits(
        KeyValueStoreSettings(max_requests_per_s=100.0, max_writes_per_s=30.0, max_value_kib=8.0, max_txn_ops=24)
    )


def test_drain_records_fit_into_a_bounded_number_of_keys() -> None:
    store = DrainStore(cast(KeyValueStoreClient, SmallLimitsClient()), 1)
    cordons = {
        f"i-{number:06d}": Cordon(
            "replace-older", "starter", MachineOffer("starter", "kaohsiung", True), UTC_NOW_MS, True
        )
        for number in range(1000)
    }
    values = store.encode_cordons(cordons)
    assert len(values) == MAX_CORDON_PAGES and all(len(orjson.dumps(value)) <= 8192 for value in values.values())
    assert store.max_cordons == 496
    longest_names = DrainStore(cast(KeyValueStoreClient, SmallLimitsClient()), 1).encode_cordons(
        {f"i-{number:06d}" + "x" * 30: cordons["i-000000"] for number in range(store.max_cordons)}
    )
    assert all(len(orjson.dumps(value)) <= 8192 for value in longest_names.values())
    after_removal = store.encode_cordons({name: cordon for name, cordon in cordons.items() if name != "i-000500"})
    assert sum(values[key] != after_removal[key] for key in values) == 1, "removing one cordon changes one key"
    with pytest.raises(DrainRecordFull):
        store.encode_cordons({f"i-{number:06d}": cordons["i-000000"] for number in range(10_000)})
    placed_index_bounds = {f"j-{number:06d}": number for number in range(20_000)}
    disruptions = store.encode_disruptions(placed_index_bounds, {}, {"j-000007", "j-019999"})
    assert len(disruptions) == MAX_DISRUPTION_PAGES and all(
        len(orjson.dumps(value)) <= 8192 for value in disruptions.values()
    )
    stored_bounds: dict[str, int] = {}
    for value in disruptions.values():
        stored_bounds |= value["reached"]
    assert {"j-000007", "j-019999"} <= stored_bounds.keys()
    assert MAX_ACTIVE_DRAINS + MAX_ENDED_DRAINS + MAX_CORDON_PAGES + MAX_DISRUPTION_PAGES + 1 < 100


def test_budget_usage_explains_its_refusal() -> None:
    bucket = BudgetUsage(DisruptionBudget(share=0.1), "t0", tasks_down=4, tasks_running=36)
    assert bucket.max_tasks_down == 4
    assert bucket.refusal_reason(1, False, NOW) == "budget of team t0: 4 tasks of 4 are down"
    assert BudgetUsage(DisruptionBudget(share=0.1), "t0", tasks_running=3).refusal_reason(3, True, NOW) == "", (
        "one gang may exceed the budget while nothing is down"
    )
    assert "allows nothing" in BudgetUsage(DisruptionBudget(tasks=0), "t0", tasks_running=300).refusal_reason(
        1, False, NOW
    )
