"""The account of who is served: against the simulated world's own, team by team, through take-overs."""

import asyncio
from collections import Counter

import pytest

from roseweir.scheduler.cluster_state import ClusterState
from roseweir.service_levels.accounting import ServiceLevelAccount
from roseweir.service_levels.service_level import (
    EndedJobCounts,
    ServiceLevel,
    TeamAndClass,
    sum_by_class,
    sum_by_team,
)
from roseweir.submissions.jobs import SERVICE, completed_job
from roseweir.submissions.rejections import OTHER_ROW
from roseweir.workers import messages as wire
from tests.simulation.cluster import EXTENDED_FAULTS, SimulatedCluster, virtual_now
from tests.simulation.job_specs import make_job_spec as job
from tests.test_scheduler import NOW, FakeWorker, make_cluster_state
from tests.test_simulated_days import check


def world_account(cluster: SimulatedCluster) -> dict[TeamAndClass, tuple[int, int, int]]:
    """Accepted, done and cancelled by team and class: jobs from the users' side, ends from what is durable."""
    found: dict[TeamAndClass, Counter[str]] = {}
    for key, (value, _, _) in cluster.state.keys.items():
        kind, _, job_id = key.partition("/")
        if kind in ("live", "over"):
            row = (cluster.jobs[job_id]["crew"], cluster.jobs[job_id]["docket"])
            found.setdefault(row, Counter())[value["state"] if kind == "over" else "live"] += 1
    return {row: (sum(c.values()), c["done"], c["cancelled"]) for row, c in found.items()}


def service_account(cluster: SimulatedCluster) -> dict[TeamAndClass, tuple[int, int, int]] | None:
    for node in cluster.nodes:
        reign = None if node.service is None else node.service.leader_term
        if reign is not None and reign.is_ready:
            standings = reign.service_levels.account.service_levels(reign.cluster_state.jobs)
            return {row: (at.accepted, at.done, at.cancelled) for row, at in standings.items() if at.accepted}
    return None


@pytest.mark.parametrize("seed", range(9400, 9408))
@pytest.mark.parametrize("back", [(1.0, 4.0), (0.05, 0.5)], ids=["seconds", "at once"])
def test_account_is_the_worlds_own_after_any_take_overs(seed: int, back: tuple[float, float]) -> None:
    cluster = SimulatedCluster(seed, faults=[*EXTENDED_FAULTS, "crash", "all", "roll"], restart_delay_range_s=back)
    compared: list[int] = []

    async def compare(cluster: SimulatedCluster) -> None:
        for at in (40.0, 60.0, 88.0):
            await asyncio.sleep(at - virtual_now())
            until = virtual_now() + 30
            while virtual_now() < until:
                # News of ends come a moment after they are durable, and there may be no leader.
                if not cluster.state.is_down and service_account(cluster) == world_account(cluster):
                    compared.append(len(cluster.accepted_jobs))
                    break
                await asyncio.sleep(0.02)
        # Teams: whoever started a task according to the workers has started according to the leader.
        reign = cluster.current_leader().service
        if reign is not None and reign.leader_term is not None and reign.leader_term.is_ready:
            started = {task for task, _, _ in cluster.started_attempts}
            account = reign.leader_term.service_levels.account
            account.update_started(reign.leader_term.cluster_state.jobs, 0)
            teams = sum_by_team(account.service_levels(reign.leader_term.cluster_state.jobs))
            for team, at_team in teams.items():
                most = sum(cluster.jobs[task]["crew"] == team for task in started) + sum(
                    j["crew"] == team and j["shape"] == "gang" for j in cluster.jobs.values()
                )
                cluster.check_rule(at_team.started <= most, f"account: {team} has started more than workers say")
        cluster.is_over = True

    cluster.schedule_action(compare)
    check(cluster.run(length_s=120))
    assert len(compared) == 3, "the accounts never agreed"


def test_what_is_sent_away_is_counted_by_team_and_class() -> None:
    """A guest's flood: its requests over its share get 429, and the leader knows whose they were, on any node."""
    cluster = SimulatedCluster(9450, is_calm=True, write_rps=20.0)
    told: list[dict[str, ServiceLevel]] = []
    answers: Counter[int] = Counter()

    async def flood(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(10)
        for number in range(200):
            made = cluster.make_job() | {"crew": "guest", "docket": "swarm", "accelerators": 0.0, "builds": None}
            made |= {"name_id": f"j-7{number:05d}", "shape": "sweep", "parcels": 1, "mistaken": False}
            cluster.jobs[made["name_id"]] = made
            wire_job = {k: v for k, v in made.items() if k != "mistaken"}
            status, _ = await cluster.ask("POST", "/submissions", wire_job)
            answers[status] += 1
        await asyncio.sleep(12)
        service = cluster.current_leader().service
        assert service is not None and service.leader_term is not None
        account = service.leader_term.service_levels.account
        told.append(sum_by_class(account.service_levels(service.leader_term.cluster_state.jobs)))

    cluster.schedule_action(flood)
    check(cluster.run(length_s=60, job_count=5))
    assert answers[429] > 20 and told[0]["swarm"].turned_away == answers[429]
    assert told[0]["swarm"].accepted == answers[201] and told[0]["swarm"].served_fraction < 1.0


def test_record_that_outgrows_its_room_keeps_the_rest_together() -> None:
    account = ServiceLevelAccount()
    for team in range(40):
        for number in range(5):
            account.ended_counts[f"team-{team:02d}", f"class-{number}"] = EndedJobCounts(done=team, rejected_requests=1)
    value = account.encode(77, 2000)
    again = ServiceLevelAccount()
    assert again.decode(value) == 77
    assert (OTHER_ROW, OTHER_ROW) in again.ended_counts and ("team-39", "class-4") in again.ended_counts
    assert sum(t.done for t in again.ended_counts.values()) == sum(t.done for t in account.ended_counts.values())
    assert sum(t.rejected_requests for t in again.ended_counts.values()) == 200


def test_ends_around_the_reading_of_the_record_are_counted_once() -> None:
    """Some ended before the live jobs were read, some between the first page and their own, some after all."""
    spec = {n: job(n) for n in range(1, 5)}
    account = ServiceLevelAccount()
    account.add_job(spec[1])
    ends = [(spec[2].id, completed_job(spec[2], "done"), 90), (spec[3].id, completed_job(spec[3], "done"), 101)]
    # 4 came and went after the first page: the watch tells of both.
    ends.append((spec[4].id, completed_job(spec[4], "cancelled"), 103))
    account.apply_missed_ends(ends, revision=100)
    account.confirm_end(spec[3].id)
    account.add_job(spec[4])
    account.confirm_end(spec[4].id)
    assert account.jobs_with_unknown_outcome and not account.ended_counts["t0", "c"].cancelled
    account.record_outcome(spec[4].id, "cancelled")
    account.record_outcome(spec[1].id, "done")
    account.confirm_end(spec[1].id)
    account.confirm_end(spec[1].id)
    tally = account.ended_counts["t0", "c"]
    assert (tally.done, tally.cancelled) == (3, 1)


def test_service_with_half_of_its_replicas_down_is_told_as_badly_served() -> None:
    cluster_state: ClusterState = make_cluster_state()
    hand = FakeWorker(cluster_state, "i-1")
    hand.send_heartbeat(NOW)
    run = cluster_state.add_job(job(1, job_type=SERVICE, task_count=5), 1)
    account = ServiceLevelAccount()
    account.add_job(run.spec)
    for index in range(2):
        placed = cluster_state.add_placement(run, index, cluster_state.machines["i-1"], 1, NOW)
        placed.state = wire.RUNNING
    account.update_started(cluster_state.jobs, 0)
    at = account.service_levels(cluster_state.jobs)["t0", "c"]
    assert (at.replicas, at.replicas_up, at.started) == (5, 2, 0) and at.served_fraction == 0.0
    account.live_jobs[run.spec.id].is_started = True
    assert account.service_levels(cluster_state.jobs)["t0", "c"].served_fraction == pytest.approx(0.4)
