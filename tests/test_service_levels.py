"""Service level accounts: compared with the simulation's own counts, team by team, across failovers."""

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
from tests.simulation.cluster import EXTENDED_FAULTS, SimulatedCluster, raise_first_failure, virtual_now
from tests.simulation.job_specs import make_job_spec as job
from tests.test_scheduler import NOW, FakeWorker, make_cluster_state


def expected_account(cluster: SimulatedCluster) -> dict[TeamAndClass, tuple[int, int, int]]:
    """Counts accepted, done and cancelled jobs by team and class: fields as users submitted them, ends as stored."""
    counters: dict[TeamAndClass, Counter[str]] = {}
    for key, (value, _, _) in cluster.kv_store.keys.items():
        prefix, _, job_id = key.partition("/")
        if prefix in ("live", "over"):
            row = (cluster.jobs[job_id]["crew"], cluster.jobs[job_id]["docket"])
            counters.setdefault(row, Counter())[value["state"] if prefix == "over" else "live"] += 1
    return {row: (sum(c.values()), c["done"], c["cancelled"]) for row, c in counters.items()}


def leader_account(cluster: SimulatedCluster) -> dict[TeamAndClass, tuple[int, int, int]] | None:
    for node in cluster.controllers:
        leader_term = None if node.service is None else node.service.leader_term
        if leader_term is not None and leader_term.is_ready:
            levels = leader_term.service_level_controller.account.service_levels(leader_term.cluster_state.jobs)
            return {
                row: (level.accepted, level.done, level.cancelled) for row, level in levels.items() if level.accepted
            }
    return None


@pytest.mark.parametrize("seed", range(9400, 9408))
@pytest.mark.parametrize("restart_delay_range_s", [(1.0, 4.0), (0.05, 0.5)], ids=["seconds", "at once"])
def test_leader_account_matches_simulation_across_failovers(
    seed: int, restart_delay_range_s: tuple[float, float]
) -> None:
    cluster = SimulatedCluster(
        seed, faults=[*EXTENDED_FAULTS, "crash", "all", "roll"], restart_delay_range_s=restart_delay_range_s
    )
    agreements: list[int] = []

    async def compare(cluster: SimulatedCluster) -> None:
        for at in (40.0, 60.0, 88.0):
            await asyncio.sleep(at - virtual_now())
            deadline = virtual_now() + 30
            while virtual_now() < deadline:
                # The leader learns of ends a moment after they are stored, and there may be no leader.
                if not cluster.kv_store.is_down and leader_account(cluster) == expected_account(cluster):
                    agreements.append(len(cluster.accepted_jobs))
                    break
                await asyncio.sleep(0.02)
        # By team, the leader counts no more jobs as started than workers have started, gangs aside.
        service = cluster.current_leader().service
        if service is not None and service.leader_term is not None and service.leader_term.is_ready:
            started_jobs = {job_id for job_id, _, _ in cluster.started_attempts}
            account = service.leader_term.service_level_controller.account
            account.update_started(service.leader_term.cluster_state.jobs, 0)
            teams = sum_by_team(account.service_levels(service.leader_term.cluster_state.jobs))
            for team, level in teams.items():
                max_started = sum(cluster.jobs[job_id]["crew"] == team for job_id in started_jobs) + sum(
                    j["crew"] == team and j["shape"] == "gang" for j in cluster.jobs.values()
                )
                cluster.check_rule(
                    level.started <= max_started, f"account: {team} counts more started jobs than workers report"
                )
        cluster.is_over = True

    cluster.schedule_action(compare)
    raise_first_failure(cluster.run(length_s=120))
    assert len(agreements) == 3, "the accounts never agreed"


def test_rejected_requests_are_counted_by_team_and_class() -> None:
    """A best-effort team's requests beyond its share get 429 on any node, and the leader counts them all."""
    cluster = SimulatedCluster(9450, without_random_faults=True, write_rps=20.0)
    levels_by_class: list[dict[str, ServiceLevel]] = []
    answers: Counter[int] = Counter()

    async def flood(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(10)
        for number in range(200):
            submission = cluster.make_job() | {"crew": "guest", "docket": "swarm", "accelerators": 0.0, "builds": None}
            submission |= {"name_id": f"j-7{number:05d}", "shape": "sweep", "parcels": 1, "mistaken": False}
            cluster.jobs[submission["name_id"]] = submission
            body = {k: v for k, v in submission.items() if k != "mistaken"}
            status, _ = await cluster.send_user_request("POST", "/submissions", body)
            answers[status] += 1
        await asyncio.sleep(12)
        service = cluster.current_leader().service
        assert service is not None and service.leader_term is not None
        account = service.leader_term.service_level_controller.account
        levels_by_class.append(sum_by_class(account.service_levels(service.leader_term.cluster_state.jobs)))

    cluster.schedule_action(flood)
    raise_first_failure(cluster.run(length_s=60, job_count=5))
    assert answers[429] > 20 and levels_by_class[0]["swarm"].turned_away == answers[429]
    assert levels_by_class[0]["swarm"].accepted == answers[201] and levels_by_class[0]["swarm"].served_fraction < 1.0


def test_account_beyond_value_size_sums_remaining_rows() -> None:
    account = ServiceLevelAccount()
    for team in range(40):
        for number in range(5):
            account.ended_counts[f"team-{team:02d}", f"class-{number}"] = EndedJobCounts(done=team, rejected_requests=1)
    encoded = account.encode(77, 2000)
    decoded = ServiceLevelAccount()
    assert decoded.decode(encoded) == 77
    assert (OTHER_ROW, OTHER_ROW) in decoded.ended_counts and ("team-39", "class-4") in decoded.ended_counts
    assert sum(counts.done for counts in decoded.ended_counts.values()) == sum(
        counts.done for counts in account.ended_counts.values()
    )
    assert sum(counts.rejected_requests for counts in decoded.ended_counts.values()) == 200


def test_job_ends_during_account_recovery_are_counted_once() -> None:
    """Jobs end before the live jobs are read, between the first page and the page with the job, or after all."""
    specs = {n: job(n) for n in range(1, 5)}
    account = ServiceLevelAccount()
    account.add_job(specs[1])
    ends = [(specs[2].id, completed_job(specs[2], "done"), 90), (specs[3].id, completed_job(specs[3], "done"), 101)]
    # Job 4 was accepted and ended after the first page: the watch delivers both events.
    ends.append((specs[4].id, completed_job(specs[4], "cancelled"), 103))
    account.apply_missed_ends(ends, revision=100)
    account.confirm_end(specs[3].id)
    account.add_job(specs[4])
    account.confirm_end(specs[4].id)
    assert account.jobs_with_unknown_outcome and not account.ended_counts["t0", "c"].cancelled
    account.record_outcome(specs[4].id, "cancelled")
    account.record_outcome(specs[1].id, "done")
    account.confirm_end(specs[1].id)
    account.confirm_end(specs[1].id)
    counts = account.ended_counts["t0", "c"]
    assert (counts.done, counts.cancelled) == (3, 1)


def test_service_with_replicas_down_lowers_the_served_fraction() -> None:
    cluster_state: ClusterState = make_cluster_state()
    worker = FakeWorker(cluster_state, "i-1")
    worker.send_heartbeat(NOW)
    run = cluster_state.add_job(job(1, job_type=SERVICE, task_count=5), 1)
    account = ServiceLevelAccount()
    account.add_job(run.spec)
    for index in range(2):
        placement = cluster_state.add_placement(run, index, cluster_state.machines["i-1"], 1, NOW)
        placement.state = wire.RUNNING
    account.update_started(cluster_state.jobs, 0)
    level = account.service_levels(cluster_state.jobs)["t0", "c"]
    assert (level.replicas, level.replicas_up, level.started) == (5, 2, 0) and level.served_fraction == 0.0
    account.live_jobs[run.spec.id].is_started = True
    assert account.service_levels(cluster_state.jobs)["t0", "c"].served_fraction == pytest.approx(0.4)
