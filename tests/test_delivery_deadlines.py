"""Promises of mornings: which instant, how they stand, whom they hurry, and that no failure moves or forgets one."""

import asyncio
import random
from datetime import UTC, datetime, time, timedelta
from typing import Any
from zoneinfo import ZoneInfo

import pytest
import sexpdata

from roseweir.calendars import Calendar
from roseweir.clock import seconds
from roseweir.cloud.scale_out import time_budget
from roseweir.delivery_deadlines import chart, deadline_status
from roseweir.delivery_deadlines.controller import DeadlineController
from roseweir.delivery_deadlines.critical_path import remaining_critical_path
from roseweir.delivery_deadlines.deadline_status import (
    AT_RISK,
    LATE,
    MET,
    ON_TRACK,
    UNATTAINABLE,
    evaluate_deadline,
    slack_of_steps_at_risk,
)
from roseweir.delivery_deadlines.due_time import compute_due_ms, local_instant, night_ending_date
from roseweir.delivery_deadlines.lot_deliveries import delivered_lots
from roseweir.delivery_deadlines.night_report import NightReport
from roseweir.delivery_deadlines.settings import DeadlinePolicy, DeadlineSettings
from roseweir.delivery_deadlines.step_durations import StepDurations
from roseweir.operator_config import OperatorConfig, parse_operator_config
from roseweir.scheduler.queue_order import build_queue
from roseweir.sexp import SettingsError
from roseweir.workflows.model import Workflow, WorkflowStep
from tests.simulation.cluster import EXTENDED_FAULTS, PARTIAL_PARTITION_FAULTS, SimulatedCluster, virtual_now
from tests.simulation.job_specs import make_job_spec as job
from tests.simulation.workflows import WorkflowCluster, workflow_config
from tests.test_scheduler import NOW, make_cluster_state
from tests.test_simulated_days import check
from tests.test_workflows import watched

TORONTO = Calendar(time_zone="America/Toronto", holidays={(None, 12, 25), (2026, 12, 28)})


def ms(text: str, zone: str = "America/Toronto") -> int:
    return round(datetime.fromisoformat(text).replace(tzinfo=ZoneInfo(zone)).timestamp() * 1000)


@pytest.mark.parametrize(
    ("landed", "due", "more"),
    [
        ("2026-12-01T22:00", "2026-12-02T08:00", {}),
        ("2026-12-02T07:59", "2026-12-02T08:00", {}),
        ("2026-12-02T08:00", "2026-12-03T08:00", {}),
        ("2026-12-02T05:29", "2026-12-02T08:00", {"cutoff_time": time(5, 30)}),
        ("2026-12-02T05:30", "2026-12-03T08:00", {"cutoff_time": time(5, 30)}),
        ("2026-12-02T22:59", "2026-12-03T08:00", {"cutoff_time": time(23)}),
        ("2026-12-02T23:01", "2026-12-04T08:00", {"cutoff_time": time(23)}),
        ("2026-12-04T20:00", "2026-12-07T08:00", {}),  # a weekend
        ("2026-12-24T20:00", "2026-12-29T08:00", {}),  # a holiday, a weekend, and a holiday of this year
        ("2026-12-04T20:00", "2026-12-05T08:00", {"closed_weekdays": [6]}),
        # The night in which the clocks go on, and the one in which they go back.
        ("2026-03-07T23:00", "2026-03-08T08:00", {"closed_weekdays": []}),
        ("2026-10-31T23:00", "2026-11-01T08:00", {"closed_weekdays": []}),
    ],
)
def test_the_next_business_morning(landed: str, due: str, more: dict[str, Any]) -> None:
    found = compute_due_ms(ms(landed), DeadlinePolicy(**more), TORONTO)
    assert found == ms(due), datetime.fromtimestamp(found / 1000, UTC)
    assert night_ending_date(found, TORONTO) == due[:10]


def test_an_hour_that_is_skipped_or_comes_twice_is_one_instant() -> None:
    zone = ZoneInfo("America/Toronto")
    skipped = local_instant(datetime(2026, 3, 8).date(), time(2, 30), zone)
    assert skipped.astimezone(zone).replace(tzinfo=None) == datetime(2026, 3, 8, 3, 0)
    twice = local_instant(datetime(2026, 11, 1).date(), time(1, 30), zone)
    assert twice == datetime(2026, 11, 1, 5, 30, tzinfo=UTC), "the first time"
    for year in (2025, 2026, 2027):
        for day in range(365):
            at = datetime(year, 1, 1) + timedelta(days=day)
            landed = round(at.replace(tzinfo=zone).timestamp() * 1000) + 3600_000 * (day % 24)
            due = compute_due_ms(landed, DeadlinePolicy(), TORONTO)
            local = datetime.fromtimestamp(due / 1000, zone)
            assert due > landed and (local.hour, local.minute) == (8, 0) and local.weekday() < 5


def test_settings_are_checked() -> None:
    found = parse_operator_config(
        sexpdata.parse(
            '(calendar (time-zone "America/Toronto")) (promise (by "07:30") (closed "sunday")) (promise (team "t1"))'
        )
    ).delivery_deadline
    assert (
        found is not None
        and found.policy_for("t0") is found.policies[0]
        and found.policy_for("t1") is found.policies[1]
    )
    assert found.calendar.time_zone == "America/Toronto"
    for bad in ('(by "25:00")', '(closed "someday")', "(quantile 1)", "(nothing)", '(by "08:00+01:00")'):
        with pytest.raises(SettingsError):
            parse_operator_config(sexpdata.parse(f"(promise {bad})"))
    with pytest.raises(SettingsError):
        parse_operator_config(sexpdata.parse("(promise) (promise)"))


def chain(due: int, *steps: WorkflowStep, lots: int = 2) -> Workflow:
    return Workflow("am", 1, "t0", 0, 0, "", [f"lot-{n}" for n in range(lots)], list(steps), due_ms=due)


def three(
    outcomes: tuple[str, str, str] = ("", "", ""), released: tuple[int, int, int] = (1, 0, 0)
) -> list[WorkflowStep]:
    return [
        WorkflowStep(
            f"j-{n}", "abc"[n], [n - 1] if n else [], [], outcomes[n], released[n], 5000 * (n + 1), is_delivery=n == 2
        )
        for n in range(3)
    ]


def test_how_a_promise_stands_and_that_nothing_is_told_before_its_durable_end() -> None:
    times = StepDurations()
    for value in (8, 10, 12, 10, 30):
        for name in "abc":
            times.add(name, value)

    def usual(step: WorkflowStep) -> float:
        return times.quantile(step.job_class, 0.5) or 0.0

    left_s, held_by = remaining_critical_path(chain(0, *three()), usual, 1)
    assert left_s == pytest.approx(30.0, abs=0.01) and held_by == "a"
    assert remaining_critical_path(chain(0, *three()), usual, 9001)[0] == pytest.approx(22.5), (
        "late steps get a part again"
    )
    states = [
        (100_000, 20_000, 1, ("", "", ""), ON_TRACK),
        (40_000, 20_000, 1, ("", "", ""), AT_RISK),
        (5_000, 0, 1, ("", "", ""), UNATTAINABLE),
        (40_000, 0, 41_000, ("done", "done", ""), LATE),
        (40_000, 0, 30_000, ("done", "done", "done"), MET),
        (14_000, 0, 30_000, ("done", "done", "done"), deadline_status.DELIVERED_LATE),
    ]
    for due, margin, at, outcomes, state in states:
        assert evaluate_deadline(chain(due, *three(outcomes)), usual, margin, at).state == state
    fan = chain(
        20_000,
        WorkflowStep("j-1", "c", [], [0], "done", 1, 5_000, is_delivery=True),
        WorkflowStep("j-2", "c", [], [1], "done", 1, 25_000, is_delivery=True),
    )
    assert delivered_lots(fan) == ["lot-0", "lot-1"] and delivered_lots(fan, 20_000) == ["lot-0"], "each lot by itself"
    night = NightReport()
    night.add(fan, "c", 30_000)
    assert (night.due_lots, night.on_time_lots, night.late_lots) == (2, 1, 1) and NightReport.decode(
        night.encode()
    ) == night


@pytest.mark.parametrize("seed", range(5))
def test_hurry_moves_nobody_elses_place_and_what_cannot_be_kept_pushes_nobody(seed: int) -> None:
    draw = random.Random(seed)
    cluster_state = make_cluster_state()
    for n in range(1, 60):
        cluster_state.add_job(job(n, team=draw.choice(["t0", "t1"]), priority=draw.randint(1, 3), accepted_ms=n), n)
    plain = build_queue(cluster_state, NOW)
    chosen = draw.sample(plain, 15)
    cluster_state.slack_ms_by_job = {run.spec.id: draw.randint(-50, 500) * 1000 for run in chosen}
    hurried = build_queue(cluster_state, NOW)
    kind = [(run.spec.team, run.spec.priority, run.is_within_quota) for run in plain]
    assert [(run.spec.team, run.spec.priority, run.is_within_quota) for run in hurried] == kind
    for group in set(kind):
        runs = [run for run, k in zip(hurried, kind, strict=True) if k == group]
        slack = [cluster_state.slack_ms_by_job.get(run.spec.id) for run in runs]
        first = [s for s in slack if s is not None]
        assert slack[: len(first)] == sorted(first)
        rest = [run.spec.accepted_ms for run in runs if run.spec.id not in cluster_state.slack_ms_by_job]
        assert rest == sorted(rest)
    run = chosen[0]
    cluster_state.slack_ms_by_job[run.spec.id] = 30_000
    assert time_budget(cluster_state, run, seconds(0)) == seconds(18), "machines are asked for in that time"
    lost = evaluate_deadline(chain(5_000, *three()), lambda step: 100.0, 0, 1)
    assert lost.state == UNATTAINABLE and slack_of_steps_at_risk([lost], {"am": chain(5_000, *three())}) == {}


# -- in the simulated world ---------------------------------------------------------------------


def promised(by: time, **more: Any) -> OperatorConfig:
    """The world's days begin at midnight."""
    found = workflow_config()
    found.delivery_deadline = DeadlineSettings(
        policies=[DeadlinePolicy(due_time=by, closed_weekdays=[], risk_margin=seconds(more.pop("margin", 40)), **more)]
    )
    return found


def desk_of(cluster: SimulatedCluster) -> DeadlineController | None:
    return next(
        (n.service.leader_term.deadline_controller for n in cluster.nodes if n.service and n.service.leader_term), None
    )


class Landings(WorkflowCluster):
    """An array of the same team fills the place before a landing that is promised for soon after."""

    def __init__(self, seed: int, operator_config: OperatorConfig, landing: int = 12, **more: Any) -> None:
        super().__init__(seed, operator_config, **({"is_calm": True, "scale": 1} | more))
        self.registry.run_time_range_s = (1.0, 2.0)
        self.landing = landing
        self.fillers = 10
        self.ends: dict[str, float] = {}

    async def night(self, _: SimulatedCluster) -> None:
        await asyncio.sleep(6)
        for n in range(self.fillers):
            # Of the team's own, and earlier in the queue.
            filler = self.registry.make_job(f"j-3{n:05d}", "lot-reproject", 40, guess_s=6.0)
            self.jobs[filler["name_id"]] = filler
            status, answer = await self.ask("POST", "/submissions", filler)
            self.check_answer(filler["name_id"], status, answer)
            if status in (200, 201):
                self.accepted_jobs.add(filler["name_id"])
        for _turn in range(self.landing):
            self.spawn(self.submit_amendment(self.registry.make_amendment(fan_out=False)))
            await asyncio.sleep(0.1)

    def record_delivery(self, job: str) -> None:
        super().record_delivery(job)
        self.ends[job] = virtual_now()

    def kept(self, due: float) -> tuple[int, int]:
        """Lots that were in the viewer by then, and all of those taken, as the workers know it."""
        taken = {last for last, (name, _) in self.revision_by_job.items() if name in self.accepted_at}
        lots = sum(len(self.lots_by_job[last]) for last in taken)
        return sum(len(self.lots_by_job[last]) for last in taken if self.ends.get(last, 1e9) <= due), lots


def share(seeds: range, hurries: bool, patch: pytest.MonkeyPatch) -> float:
    kept = lots = 0
    for seed in seeds:
        with patch.context() as inner:
            if not hurries:
                inner.setattr(
                    "roseweir.delivery_deadlines.controller.slack_of_steps_at_risk", lambda standings, chains: {}
                )
            cluster = watched(Landings(seed, promised(time(0, 1, 40), margin=110)))
            cluster.fillers = 60
            cluster.schedule_action(cluster.night)
            check(cluster.run(length_s=102, job_count=1))
            found = cluster.kept(100.0)
            kept, lots = kept + found[0], lots + found[1]
    return kept / lots


def test_more_promises_are_kept_than_by_plain_order(monkeypatch: pytest.MonkeyPatch) -> None:
    plain, hurried = (share(range(7800, 7803), each, monkeypatch) for each in (False, True))
    assert hurried > plain + 0.15, (plain, hurried)


@pytest.mark.parametrize("who", ["leader", "all", "state", "zone"])
def test_no_failure_moves_forgets_or_doubles_a_promise(who: str) -> None:
    cluster = watched(
        Landings(7810, promised(time(0, 2)), landing=8, restart_delay_range_s=(0.1, 1.0), max_clock_skew_s=0.5)
    )
    dues: dict[str, set[int]] = {}
    told: list[Any] = []

    async def look_on(_: SimulatedCluster) -> None:
        while True:
            await asyncio.sleep(0.1)
            desk = desk_of(cluster)
            for known in desk._workflows_with_deadline() if desk is not None else ():
                dues.setdefault(known.id, set()).add(known.due_ms)

    async def fail(_: SimulatedCluster) -> None:
        await asyncio.sleep(12)
        for _turn in range(6):
            if who == "leader":
                await cluster.restart_controller(cluster.current_leader())
            elif who == "all":
                await asyncio.gather(*(cluster.restart_controller(node) for node in cluster.nodes))
            elif who == "state":
                cluster.state.is_down = True
                await asyncio.sleep(7)
                cluster.state.end_outage()
            else:
                cluster.partitioned_zones.add("a")
                await asyncio.sleep(4)
                cluster.partitioned_zones.discard("a")
            await asyncio.sleep(6)

    async def end(_: SimulatedCluster) -> None:
        await asyncio.sleep(118)
        while desk_of(cluster) is None or not desk_of(cluster).is_loaded:  # type: ignore[union-attr]
            await asyncio.sleep(0.2)
        desk = desk_of(cluster)
        assert desk is not None
        desk._evaluate_deadlines()
        told.append({s.workflow_id: s.state for s in desk.statuses.values()})
        told.append(desk.describe())

    cluster.schedule_action(cluster.night)
    cluster.schedule_action(look_on)
    cluster.schedule_action(fail)
    cluster.schedule_action(end)
    check(cluster.run(length_s=125, job_count=1))
    midnight = round(datetime(2026, 1, 1, tzinfo=UTC).timestamp() * 1000)
    assert set(dues) == set(cluster.accepted_at) and all(each == {midnight + 120_000} for each in dues.values())
    kept = {cluster.revision_by_job[last][0] for last, at in cluster.ends.items() if at <= 117}
    assert all(told[0].get(name) in (MET, deadline_status.SUPERSEDED) for name in kept & set(told[0])), told[0]
    assert sum(night["promised"] for night in told[1]["nights"]) == sum(
        len(a["lots"]) for a in cluster.sent_amendments.values()
    )


@pytest.mark.parametrize("seed", range(7820, 7824))
def test_rough_nights_break_no_rule_and_are_told_as_the_world_knows_them(seed: int) -> None:
    cluster = watched(
        Landings(
            seed, promised(time(0, 1, 30)), is_calm=False, faults=[*EXTENDED_FAULTS, *PARTIAL_PARTITION_FAULTS], scale=2
        )
    )
    wrong: list[str] = []

    async def compare(_: SimulatedCluster) -> None:
        while True:
            await asyncio.sleep(0.25)
            desk = desk_of(cluster)
            for standing in list(desk.statuses.values()) if desk is not None else ():
                last = cluster.sent_amendments[standing.workflow_id]["steps"][-1]["job"]["name_id"]
                over = cluster.state.keys.get(f"over/{last}")
                if standing.state == MET and (over is None or over[0]["state"] != "done"):
                    wrong.append(f"{standing.workflow_id} told as kept before its durable end")

    cluster.schedule_action(cluster.night)
    cluster.schedule_action(compare)
    check(cluster.run(length_s=110, job_count=5))
    assert wrong == []


def test_nights_are_kept_durably_in_bounded_space_and_drawn(tmp_path: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("roseweir.delivery_deadlines.controller.REPORT_CLOSE_DELAY_MS", 10_000)
    monkeypatch.setattr("roseweir.delivery_deadlines.controller.SAVE_INTERVAL", seconds(2))
    cluster = watched(Landings(7830, promised(time(0, 1)), landing=6, scale=2))
    told: list[Any] = []

    async def end(_: SimulatedCluster) -> None:
        await asyncio.sleep(90)
        told.append("promise/nights" in cluster.state.keys)
        await cluster.restart_controller(cluster.current_leader())
        await asyncio.sleep(8)
        desk = desk_of(cluster)
        assert desk is not None
        told.append(desk.describe())
        cluster.is_over = True

    cluster.schedule_action(cluster.night)
    cluster.schedule_action(end)
    check(cluster.run(length_s=120, job_count=1))
    assert told[0] and told[1]["nights"][0]["night"] == "2026-01-01"
    night = told[1]["nights"][0]
    assert night["kept"] + night["late"] + night["superseded"] == night["promised"] > 0
    chart.draw_chart(told[1], tmp_path / "night.png")
    assert (tmp_path / "night.png").stat().st_size > 5000
