"""What a drain decides, piece by piece: budgets, steps, reasons, what is kept, and what operators may write."""

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

WALL = datetime(2026, 3, 4, 12, tzinfo=UTC)
MS = round(WALL.timestamp() * 1000)


def read(text: str) -> DrainSettings:
    found = parse_operator_config(sexpdata.parse(text)).drain
    assert found is not None
    return found


# -- what operators write ---------------------------------------------------------------------


def test_each_class_of_a_team_is_under_the_budget_that_says_the_most() -> None:
    found = read(
        '(disruption (budget (share 0.2)) (budget (team "t0") (tasks 5)) (budget (class "c") (gangs 1))'
        ' (budget (team "t0") (class "c") (per-hour 9)))'
    )
    rows = [found.budget_index(team, name) for team, name in (("t1", "x"), ("t0", "x"), ("t1", "c"), ("t0", "c"))]
    assert rows == [0, 1, 2, 3]
    assert found.budget_at(2).share == 0.1, "gangs are counted beside the default share"
    assert DrainSettings().budget_at(DrainSettings().budget_index("t0", "c")).share == 0.1


@pytest.mark.parametrize(
    ("text", "said"),
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
def test_bad_forms_are_refused_with_one_line(text: str, said: str) -> None:
    with pytest.raises(SettingsError, match=said):
        read(text)


def test_quiet_hours_pass_midnight_and_follow_the_calendar() -> None:
    found = read(
        '(calendar (time-zone "America/Toronto") (holiday "2026-03-05")'
        ' (event (name "rush") (from "2026-03-06T12:00") (to "2026-03-06T13:00") (factor 2)))'
        '(disruption (quiet (from "22:00") (to "06:00")))'
    )
    # Toronto is five hours behind.
    times = ["04T17:00", "05T04:00", "04T10:59", "04T11:00", "06T04:00", "06T17:30"]
    quiet = [found.is_quiet(datetime.fromisoformat(f"2026-03-{time}+00:00")) for time in times]
    assert quiet == [False, True, True, False, False, True], "the 5th is a holiday, the 6th has a known rush"


@pytest.mark.parametrize(
    ("ask", "said"),
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
def test_drains_that_make_no_sense_are_refused(ask: DrainRequest, said: str) -> None:
    with pytest.raises(DrainRejected, match=said):
        validate_request(ask, {"cpu"}, ["a"])


def test_the_command_line_says_in_one_line_what_is_wrong(capsys: pytest.CaptureFixture[str]) -> None:
    assert expand_start_shorthand(["drain", "rack-7", "--all"]) == ["drain", "start", "rack-7", "--all"]
    assert expand_start_shorthand(["drain", "stop", "x"]) == ["drain", "stop", "x"]
    assert main(["drain", "x", "--at", "127.0.0.1:1"]) == 2
    assert main(["drain", "x", "--all", "--zone", "a", "--at", "127.0.0.1:1"]) == 2
    assert main(["drain", "status", "--at", "nowhere"]) == 2
    said = capsys.readouterr().err.splitlines()
    assert len(said) == 3 and "say --all" in said[0] and "HOST:PORT" in said[2]
    for words in (["drain", "x", "--all", "--older", "x"], ["drain", "x", "--all", "--spot", "--ordinary"]):
        with pytest.raises(SystemExit) as ended:
            main([*words, "--at", "127.0.0.1:1"])
        assert ended.value.code == 2


# -- the account ------------------------------------------------------------------------------


def running(cluster_state: ClusterState, count: int, number: int = 1, **more: Any) -> JobRun:
    run = new_job_run(job(number, task_count=count, **more), 1)
    cluster_state.jobs[run.spec.id] = run
    run.placed_index_bound = count
    return run


@pytest.mark.parametrize("seed", range(20))
def test_no_order_of_drains_losses_and_recoveries_takes_a_bucket_above_its_bound(seed: int) -> None:
    """Several teams and budgets, gangs among them: stops that are taken never go beyond, but for one unit alone."""
    draw = random.Random(seed)
    budgets = [
        DisruptionBudget(share=0.15),
        DisruptionBudget(team="t0", tasks=6),
        DisruptionBudget(job_class="g", tasks=9, gangs=2),
    ]
    account = DisruptionAccount(DrainSettings(budgets=budgets))
    runs = [
        new_job_run(
            job(
                n,
                task_count=draw.randint(1, 12),
                team=f"t{n % 2}",
                job_type=GANG if n % 3 == 0 else "array",
                job_class="g" if n % 3 == 0 else "c",
            ),
            1,
        )
        for n in range(1, 20)
    ]
    buckets = {id(account.usage_of(r)): account.usage_of(r) for r in runs}
    taken = 0
    for step in range(400):
        now = NOW + seconds(step)
        for bucket in buckets.values():
            bucket.tasks_running = 60 - bucket.tasks_down
        run = draw.choice(runs)
        index = draw.randrange(run.spec.task_count)
        bucket = account.usage_of(run)
        bucket.tasks_running = 60 - bucket.tasks_down
        before, most = bucket.tasks_down, bucket.max_tasks_down
        what = draw.random()
        if what < 0.15:
            account.mark_down(run, [index], DowntimeCause.LOST, now)
        elif what < 0.45:
            account.mark_up(run, [index])
        elif not account.is_down(run, index) and account.reserve_disruption(run, [index], now) == "":
            taken += 1
            assert bucket.tasks_down <= most or before == 0, (run.spec, before, bucket)
            assert bucket.budget.gangs is None or bucket.gangs_down <= 2
        # The same from what is down, told one by one.
        for bucket in buckets.values():
            mine = [r for r in runs if account.usage_of(r) is bucket]
            assert bucket.tasks_down == sum(len(account.down_tasks.get(r.spec.id, ())) for r in mine)
            assert bucket.tasks_down == sum(bucket.down_by_cause.values())
            assert bucket.gangs_down == sum(r.spec.job_type == GANG and r.spec.id in account.down_tasks for r in mine)
    assert taken > 10


def test_bounds_for_a_minute_and_an_hour_outlive_a_take_over() -> None:
    settings = DrainSettings(budgets=[DisruptionBudget(tasks=50, per_minute=3, per_hour=5)])
    account, cluster_state = DisruptionAccount(settings), make_cluster_state()
    run = running(cluster_state, 40)
    account.usage_of(run).tasks_running = 40

    def stops(until: timedelta, index: int) -> str:
        why = account.reserve_disruption(run, [index], NOW + until)
        account.mark_up(run, [index])
        return why

    assert [stops(seconds(s), s) == "" for s in range(4)] == [True, True, True, False]
    successor = DisruptionAccount(settings)
    successor.restore_rate_windows(
        account.encode_rate_windows(NOW + seconds(5), MS + 5000), NOW + seconds(5), MS + 5000
    )
    successor.usage_of(run).tasks_running = 40
    account = successor
    assert "in this minute" in stops(seconds(6), 6)
    assert stops(seconds(130), 7) == stops(seconds(131), 8) == ""
    assert "in this hour" in stops(seconds(300), 9)
    assert stops(seconds(3900), 10) == ""


def test_after_a_take_over_what_may_be_down_counts_until_it_is_seen_to_run() -> None:
    cluster_state = make_cluster_state()
    hand = FakeWorker(cluster_state, "i-1")
    hand.send_heartbeat(NOW)
    run = cluster_state.add_job(job(1, task_count=8), 1)
    for index in (0, 1, 5):
        cluster_state.restore_placement(run, index, hand.machine, 7, NOW)
    run.mark_completed(2)
    account = DisruptionAccount(DrainSettings())
    # The ledger knows that it had come to task 6, the last one; 7 was never started.
    account.assume_down_after_failover([run], {run.spec.id: 7}, NOW)
    assert sorted(account.down_tasks[run.spec.id]) == [0, 1, 3, 4, 5, 6]
    cluster_state.lifecycle_listener = DrainLifecycleListener(cluster_state, account, MachineHealth())
    for index in (0, 1, 5):
        hand.tasks[f"j-000001/{index}", 7] = task_report(f"j-000001/{index}", 7)
    hand.send_heartbeat(NOW)
    assert sorted(account.down_tasks[run.spec.id]) == [3, 4, 6]


def task_report(task: str, attempt: int) -> Any:
    from roseweir.workers.messages import TaskStatus

    return TaskStatus(task, attempt, "running")


def test_services_lose_one_replica_at_a_time_and_never_more_than_their_least() -> None:
    cluster_state = make_cluster_state()
    hands = [FakeWorker(cluster_state, f"i-{n}") for n in range(3)]
    for hand in hands:
        hand.send_heartbeat(NOW)
    run = cluster_state.add_job(job(1, task_count=3, job_type=SERVICE), 1)
    run_scheduling_pass(cluster_state, NOW)
    commit_placements(cluster_state)
    for _ in range(2):
        for hand in hands:
            hand.send_heartbeat(NOW)
    account = DisruptionAccount(DrainSettings(budgets=[DisruptionBudget(tasks=9, replicas_least=2)]))
    account.count_running([run])
    assert account.reserve_disruption(run, [0], NOW) == ""
    assert "1 of its replicas are down" in account.reserve_disruption(run, [1], NOW)
    account.mark_up(run, [0])
    least = DisruptionAccount(DrainSettings(budgets=[DisruptionBudget(tasks=9, replicas_least=3)]))
    assert "3 are the least" in least.reserve_disruption(run, [0], NOW)


# -- steps ------------------------------------------------------------------------------------


def drained(
    cluster_state: ClusterState, hands: list[FakeWorker], settings: DrainSettings | None = None
) -> EvictionStateMachine:
    """A drain of the first machine, begun with."""
    settings = settings or DrainSettings(hole=1.0)
    account = DisruptionAccount(settings)
    pool = SurgePool(cluster_state, settings.hole, NOW)
    steps = EvictionStateMachine(settings, cluster_state, account, pool, None, NOW - seconds(60))
    steps.has_machine_list = True
    cluster_state.lifecycle_listener = DrainLifecycleListener(cluster_state, account, MachineHealth())
    ask = DrainRequest("x", machines=[hands[0].name], replace=False)
    steps.drains["x"] = Drain(ask, MS, MS + 10_000_000, settings.grace.total_seconds(), "")
    cluster_state.zone_responsive_since = {"a": NOW, "b": NOW}
    return steps


def heard(hands: list[FakeWorker], now: datetime) -> None:
    for hand in hands:
        hand.send_heartbeat(now)
        hand.send_heartbeat(now)


def decide(steps: EvictionStateMachine, now: datetime) -> Decision:
    decision = steps.decide(now, WALL + (now - NOW))
    steps.apply(decision, now)
    return decision


def placed(cluster_state: ClusterState, hands: list[FakeWorker], run: JobRun) -> None:
    run_scheduling_pass(cluster_state, NOW)
    commit_placements(cluster_state)
    heard(hands, NOW)
    heard(hands, NOW)
    assert all(p.state == "running" for p in run.placements.values()) and run.placements


def test_a_gang_is_stopped_as_a_whole_just_after_a_checkpoint_and_with_room_elsewhere() -> None:
    cluster_state = make_cluster_state()
    hands = [FakeWorker(cluster_state, f"i-{n}", "gpu") for n in range(4)]
    heard(hands, NOW)
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
    placed(cluster_state, hands, run)
    host = next(iter(run.placements.values())).machine.name
    hands.sort(key=lambda h: h.name != host)
    steps = drained(cluster_state, hands)
    decide(steps, NOW)
    stops: dict[int, list[int]] = {}
    for after in range(1, 60):
        now = NOW + seconds(after)
        heard(hands, now)
        for stop in decide(steps, now).evictions:
            stops[after] = [p.index for p in stop.placements]
            assert {p.stop_grace for p in run.placements.values()} == {seconds(4 + 1 + 3)}
    assert list(stops) == [40] or list(stops) == [1], stops
    assert sorted(next(iter(stops.values()))) == [0, 1], "both mates, on both machines"


def test_what_is_soon_over_is_waited_for_and_what_cannot_save_until_the_grace_is_over() -> None:
    cluster_state = make_cluster_state()
    hands = [FakeWorker(cluster_state, "i-0"), FakeWorker(cluster_state, "i-1")]
    heard(hands, NOW)
    soon = cluster_state.add_job(
        job(1, task_count=2, estimated_duration_s=30.0, checkpoint_interval_s=5.0, checkpoint_duration_s=1.0), 1
    )
    rigid = cluster_state.add_job(job(2, task_count=2, estimated_duration_s=9000.0), 1)
    placed(cluster_state, hands, soon)
    assert rigid.placements
    steps = drained(cluster_state, hands, DrainSettings(hole=1.0, soon=seconds(60), grace=seconds(100)))
    stopped: dict[str, int] = {}
    for after in range(120):
        now = NOW + seconds(after)
        heard(hands, now)
        for stop in decide(steps, now).evictions:
            stopped.setdefault(stop.run.spec.id, after)
    on_it = {p.run.spec.id for p in cluster_state.machines["i-0"].placements.values()} | stopped.keys()
    assert rigid.spec.id in on_it
    assert stopped.get(rigid.spec.id, 101) >= 100
    assert stopped.get(soon.spec.id, 101) >= 100, "it should have been over: it may take longer than its owner thinks"


def test_an_empty_machine_leaves_once_what_it_told_is_recorded_and_an_overlapping_drain_takes_over() -> None:
    cluster_state = make_cluster_state()
    hands = [FakeWorker(cluster_state, "i-0"), FakeWorker(cluster_state, "i-1")]
    heard(hands, NOW)
    steps = drained(cluster_state, hands)
    other = Drain(DrainRequest("y", zones=["a"], replace=False), MS + 1, MS + 10_000_000, 300.0, "i-9")
    steps.drains["y"] = other
    decide(steps, NOW)
    assert steps.cordons["i-0"].owner == "x" and cluster_state.drain_by_machine == {"i-0": "x", "i-1": "y"}
    del steps.drains["x"]
    cluster_state.machines["i-0"].exits_to_clear.append(("j-1/0", 1, "done"))
    now = NOW + seconds(1)
    assert decide(steps, now).uncordoned == [] and steps.cordons["i-0"].owner == "y"
    assert [m.name for m in steps.release_empty_machines(now)] == ["i-1"]
    cluster_state.machines["i-0"].exits_to_clear.clear()
    assert [m.name for m in steps.release_empty_machines(now)] == ["i-0"]


def test_a_machine_that_waits_for_long_tasks_before_it_goes_back_is_emptied_too() -> None:
    """It counted as leaving already, and a drain of all waited for it for ever."""
    cluster_state = make_cluster_state()
    hands = [FakeWorker(cluster_state, "i-0"), FakeWorker(cluster_state, "i-1")]
    heard(hands, NOW)
    run = cluster_state.add_job(
        job(1, task_count=9, estimated_duration_s=9000.0, checkpoint_interval_s=5.0, checkpoint_duration_s=1.0), 1
    )
    placed(cluster_state, hands, run)
    cluster_state.machines["i-0"].is_marked_for_release = True
    steps = drained(cluster_state, hands, DrainSettings(hole=1.0, grace=seconds(1)))
    stopped = 0
    for after in range(1, 15):
        heard(hands, NOW + seconds(after))
        stopped += len(decide(steps, NOW + seconds(after)).evictions)
    assert stopped > 0


def test_more_forced_machines_than_the_record_has_room_for_go_in_turns() -> None:
    cluster_state = make_cluster_state()
    hands = [FakeWorker(cluster_state, f"i-{n}") for n in range(6)]
    heard(hands, NOW)
    steps = drained(cluster_state, hands)
    steps.max_cordons = 2
    steps.drains["x"] = Drain(DrainRequest("x", force=True, replace=False), MS - 10, MS - 5, 0.0, "i-9")
    gone: list[str] = []
    for after in range(1, 5):
        heard([h for h in hands if h.name not in gone], NOW + seconds(after))
        decide(steps, NOW + seconds(after))
        assert len(steps.cordons) <= 2
        for machine in steps.release_empty_machines(NOW + seconds(after)):
            cluster_state.remove_machine(machine.name, NOW + seconds(after), "released")
            gone.append(machine.name)
    assert len(gone) == 6


def test_replacements_come_first_while_they_can_be_had_and_the_hole_is_bounded_where_they_cannot() -> None:
    cluster_state = make_cluster_state()
    hands = [FakeWorker(cluster_state, f"i-{n:02d}") for n in range(20)]
    heard(hands, NOW)
    pool = SurgePool(cluster_state, 0.1, NOW)
    machines = list(cluster_state.machines.values())
    assert pool.cordon_capacity("cpu", False, True, [], NOW) == 2, "nobody needs what is missing"
    pool.update([False], {}, NOW)
    assert pool.cordon_capacity("cpu", False, True, [], NOW) == 0, "nothing is in place yet"
    wants = pool.plan_rentals({"cpu": machines}, {}, [], NOW)
    assert sum(w.count for w in wants) == 2 and all(w.is_surge for w in wants)
    refused = {MachineOffer("cpu", zone, False): NOW + seconds(12) for zone in "ab"}
    pool.update([False], refused, NOW)
    assert pool.plan_rentals({"cpu": machines}, refused, [], NOW) == []
    assert pool.cordon_capacity("cpu", False, True, [], NOW) == 2
    cordons = [Cordon("x", "cpu", MachineOffer("cpu", "a", False), MS, True) for _ in range(2)]
    assert pool.cordon_capacity("cpu", False, True, cordons, NOW) == 0
    pool.record_departure(cordons.pop(), NOW)
    assert pool.cordon_capacity("cpu", False, True, cordons, NOW) == 0, "gone is not replaced"
    # One that was rented since is in place once it has reported and holds an image.
    new = FakeWorker(cluster_state, "i-99")
    new.send_heartbeat(NOW + seconds(5))
    new.send_heartbeat(NOW + seconds(6))
    new.machine.scaled_out_at = NOW + seconds(1)
    pool.update([False], refused, NOW + seconds(7))
    assert pool.cordon_capacity("cpu", False, True, cordons, NOW) == 0
    new.machine.record_image_use("img", 1.0)
    pool.update([False], refused, NOW + seconds(8))
    assert pool.cordon_capacity("cpu", False, True, cordons, NOW + seconds(8)) == 1
    # Later, with nothing waiting for machines of its kind, a gap closes by itself.
    pool.record_departure(cordons.pop(), NOW + seconds(9))
    pool.update([], {}, NOW + seconds(60))
    assert pool.missing_count("cpu", []) == 0


# -- reasons of its own -----------------------------------------------------------------------


def old_board(count: int) -> tuple[ClusterState, list[FakeWorker]]:
    cluster_state = make_cluster_state()
    hands = [FakeWorker(cluster_state, f"i-{n:03d}") for n in range(count)]
    heard(hands, NOW)
    for hand in hands:
        hand.machine.scaled_out_at = NOW - seconds(100)
    return cluster_state, hands


def test_no_more_machines_and_money_a_day_than_was_said_even_through_take_overs() -> None:
    cluster_state, hands = old_board(30)
    price = replacement_cost(hands[0].machine)
    settings = AutoReplacementSettings(older=seconds(50), machines_a_day=10, money_a_day=price * 6.5)
    own = AutoReplacement(settings, MachineHealth())
    begun: dict[int, int] = {}
    for hour in range(48):
        ms = MS + hour * 3_600_000
        if hour % 5 == 0:
            kept = own.encode()
            own = AutoReplacement(settings, MachineHealth())
            own.restore(orjson.loads(orjson.dumps(kept)))
        for name, reason in own.select_machines(cluster_state.machines.values(), NOW, ms).items():
            if not own.refusal_reason(cluster_state.machines[name], ms):
                own.charge(cluster_state.machines[name], reason, NOW, ms)
                day = datetime.fromtimestamp(ms / 1000, UTC).day
                begun[day] = begun.get(day, 0) + 1
    assert begun == {4: 6, 5: 6, 6: 6}


def test_a_reason_that_calls_much_of_a_type_bad_or_does_no_good_brakes_itself_and_tries_again_later() -> None:
    cluster_state, hands = old_board(20)
    evidence = MachineHealth()
    own = AutoReplacement(AutoReplacementSettings(slow=1.5, failing=2), evidence)

    def slow(hand: FakeWorker) -> None:
        for _ in range(10):
            evidence.record_run(hand.machine, 3.0)

    for hand in hands[:3]:
        slow(hand)
    assert set(own.select_machines(cluster_state.machines.values(), NOW, MS).values()) == {REPLACE_SLOW}
    for hand in hands[:3]:
        own.charge(hand.machine, REPLACE_SLOW, NOW, MS)
    # What came in their place is as slow.
    for hand in hands[17:19]:
        hand.machine.scaled_out_at = NOW + seconds(30)
        slow(hand)
    assert own.select_machines(cluster_state.machines.values(), NOW, MS) == {}
    brakes = own.describe(MS)["brakes"]
    assert brakes[0]["type"] == "cpu" and "no better" in brakes[0]["why"] and brakes[0]["lifts_in_s"] == 3600
    assert own.select_machines(cluster_state.machines.values(), NOW, MS + 3_700_000) != {}, "it tries again"
    for hand in hands[:8]:
        slow(hand)
    assert own.select_machines(cluster_state.machines.values(), NOW, MS + 3_800_000) == {}
    assert own.describe(MS + 3_800_000)["brakes"][0]["lifts_in_s"] == 7200, "for twice as long"
    # Another reason has its own brake.
    run = cluster_state.add_job(job(1), 1)
    for number in (1, 2):
        evidence.record_failure(hands[12].machine, new_job_run(job(number), 1) if number == 2 else run, NOW)
    assert own.select_machines(cluster_state.machines.values(), NOW, MS + 3_800_000) == {
        hands[12].name: REPLACE_FAILING
    }


def test_age_comes_to_all_alike_and_unknown_ages_to_nobody() -> None:
    cluster_state, hands = old_board(4)
    hands[1].machine.scaled_out_at = NOW - seconds(10)
    hands[2].machine.scaled_out_at = datetime(1970, 1, 1)
    own = AutoReplacement(AutoReplacementSettings(older=seconds(50)), MachineHealth())
    assert own.select_machines(cluster_state.machines.values(), NOW, MS) == {
        hands[0].name: REPLACE_OLD,
        hands[3].name: REPLACE_OLD,
    }


# -- what is kept -----------------------------------------------------------------------------


class Small:
    transaction_limits = TransactionLimits(
        KeyValueStoreSettings(max_requests_per_s=100.0, max_writes_per_s=30.0, max_value_kib=8.0, max_txn_ops=24)
    )


def test_ten_thousand_machines_take_a_bounded_number_of_keys_within_their_size() -> None:
    store = DrainStore(cast(KeyValueStoreClient, Small()), 1)
    cordons = {
        f"i-{n:06d}": Cordon("replace-older", "starter", MachineOffer("starter", "kaohsiung", True), MS, True)
        for n in range(1000)
    }
    values = store.encode_cordons(cordons)
    assert len(values) == MAX_CORDON_PAGES and all(len(orjson.dumps(v)) <= 8192 for v in values.values())
    assert store.max_cordons == 496
    fits = DrainStore(cast(KeyValueStoreClient, Small()), 1).encode_cordons(
        {f"i-{n:06d}" + "x" * 30: cordons["i-000000"] for n in range(store.max_cordons)}
    )
    assert all(len(orjson.dumps(v)) <= 8192 for v in fits.values())
    again = store.encode_cordons({name: c for name, c in cordons.items() if name != "i-000500"})
    assert sum(values[key] != again[key] for key in values) == 1, "one machine's step changes one key"
    with pytest.raises(DrainRecordFull):
        store.encode_cordons({f"i-{n:06d}": cordons["i-000000"] for n in range(10_000)})
    reached = {f"j-{n:06d}": n for n in range(20_000)}
    account = store.encode_disruptions(reached, {}, {"j-000007", "j-019999"})
    assert len(account) == MAX_DISRUPTION_PAGES and all(len(orjson.dumps(v)) <= 8192 for v in account.values())
    kept: dict[str, int] = {}
    for value in account.values():
        kept |= value["reached"]
    assert {"j-000007", "j-019999"} <= kept.keys()
    assert MAX_ACTIVE_DRAINS + MAX_ENDED_DRAINS + MAX_CORDON_PAGES + MAX_DISRUPTION_PAGES + 1 < 100


def test_a_bucket_says_what_holds_it() -> None:
    bucket = BudgetUsage(DisruptionBudget(share=0.1), "t0", tasks_down=4, tasks_running=36)
    assert bucket.max_tasks_down == 4
    assert bucket.refusal_reason(1, False, NOW) == "budget of team t0: 4 tasks of 4 are down"
    assert BudgetUsage(DisruptionBudget(share=0.1), "t0", tasks_running=3).refusal_reason(3, True, NOW) == "", (
        "one gang, with nothing down"
    )
    assert "allows nothing" in BudgetUsage(DisruptionBudget(tasks=0), "t0", tasks_running=300).refusal_reason(
        1, False, NOW
    )
