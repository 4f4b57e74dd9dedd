"""An accepted job stays known for good: whoever asks about it gets an answer, however others fare."""

import asyncio

import pytest

from roseweir.http import Request
from roseweir.membership.store_isolation import StoreIsolationDetector
from tests.simulation.cluster import EXTENDED_FAULTS, PARTIAL_PARTITION_FAULTS, SimulatedCluster, virtual_now
from tests.simulation.load_balancer import LoadBalancer, PollingUsers
from tests.test_simulated_days import check

ANSWERED = 10.0


def watched(cluster: SimulatedCluster, quiet_from: float) -> list[PollingUsers]:
    found: list[PollingUsers] = []

    async def ask(cluster: SimulatedCluster) -> None:
        balancer = LoadBalancer(cluster)
        cluster.spawn(balancer.run())
        asked = PollingUsers(cluster, balancer, lambda: virtual_now() >= quiet_from)
        found.append(asked)
        await asked.run()

    cluster.faults_end_at = quiet_from
    cluster.schedule_action(ask)
    return found


@pytest.mark.parametrize("seed", range(9500, 9506))
@pytest.mark.parametrize("controllers", [3, 5])
def test_every_job_is_answered_within_seconds_of_the_end_of_all_troubles(seed: int, controllers: int) -> None:
    cluster = SimulatedCluster(
        seed,
        faults=[*EXTENDED_FAULTS, *PARTIAL_PARTITION_FAULTS],
        controller_count=controllers,
        restart_delay_range_s=(0.2, 4.0),
    )
    found = watched(cluster, 80.0)

    async def calm_down(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(80)
        # All that was under way is over now; what the day drew for longer ends with it.
        cluster.state.refused_controllers.clear()
        if cluster.state.is_down:
            cluster.state.end_outage()
        for node in cluster.nodes:
            node.network_faults.clear()
            node.pause_gate.resume()
            node.delay_s = 0.0
            if node.service is None:
                node.start()
        cluster.partitioned_zones.clear()
        cluster.is_calm = True

    cluster.schedule_action(calm_down)
    check(cluster.run(length_s=130, job_count=40))
    assert found[0].longest_unanswered_s <= ANSWERED and not found[0].unanswered_since, (
        found[0].longest_unanswered_s,
        found[0].unanswered_since,
    )


@pytest.mark.parametrize("stays_healthy", [False, True])
def test_lone_nodes_that_answer_503_leave_no_job_without_an_answer(
    stays_healthy: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two of three lack state service and peers for two minutes: the balancer prefers them, as they have no work."""
    if stays_healthy:
        monkeypatch.setattr(StoreIsolationDetector, "evaluate_failing", lambda self, *args, **more: False)
    cluster = SimulatedCluster(7600, is_calm=True)
    found = watched(cluster, 25.0)

    async def lose(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(20)
        for node in [n for n in cluster.nodes if n is not cluster.current_leader()][:2]:
            node.network_faults |= {"state": "refused", "peers": "refused"}

    cluster.schedule_action(lose)
    cluster.run(length_s=120, job_count=30)
    if stays_healthy:
        # A job without an answer for so long breaks the world's own rule as well, on the days on which it shows.
        assert not cluster.errors and all("forgotten" in str(broken) for broken in cluster.rule_violations)
        assert found[0].longest_unanswered_s > ANSWERED
    else:
        check(cluster)
        assert found[0].longest_unanswered_s <= ANSWERED and not found[0].unanswered_since, (
            found[0].longest_unanswered_s,
            found[0].unanswered_since,
        )


def test_a_flood_of_questions_keeps_no_ended_job_without_an_answer() -> None:
    """Each question about a job that is over, or never was, takes a read; a flood used up what there is of them."""
    cluster = SimulatedCluster(7601, is_calm=True, params_override=None)
    found = watched(cluster, 0.0)
    refused: list[int] = []

    async def flood(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(40)
        for node in cluster.nodes:
            assert node.service is not None
            node.service.submission_handlers._terminal_states.states.clear()

        async def one() -> None:
            while True:
                job_id = f"j-8{cluster.rng.randrange(10**9)}"
                node = cluster.rng.choice(cluster.nodes)
                ask = Request("GET", f"/submissions/{job_id}", b"")
                response = await node.serve(lambda service, ask=ask: service.serve_public(ask))  # type: ignore[misc]
                if response is not None and response.status == 429:
                    refused.append(1)
                await asyncio.sleep(cluster.rng.uniform(0.2, 0.6))

        for _ in range(150):
            cluster.spawn(one())

    cluster.schedule_action(flood)
    check(cluster.run(length_s=100, job_count=30))
    assert len(refused) > 500
    assert found[0].longest_unanswered_s <= 20 and len(cluster.observed_ends) > 15, found[0].longest_unanswered_s


def test_a_job_whose_record_cannot_be_read_stays_known_and_says_so_and_others_run() -> None:
    cluster = SimulatedCluster(7602, is_calm=True)
    told: list[object] = []

    async def spoil(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(25)
        job_id = "j-7654321"
        plain = {
            "name_id": job_id,
            "shape": "sweep",
            "parcels": 400,
            "accelerators": 0.0,
            "builds": None,
            "rank": "low",
        }
        cluster.jobs[job_id] = cluster.make_job() | plain | {"mistaken": False, "yard": None}
        body = {k: v for k, v in cluster.jobs[job_id].items() if k != "mistaken"}
        assert (await cluster.ask("POST", "/submissions", body))[0] == 201
        cluster.accepted_jobs.add(job_id)
        await asyncio.sleep(4)
        value, version, lease = cluster.state.keys[f"live/{job_id}"]
        cluster.state.keys[f"live/{job_id}"] = (value | {"kind": "of a later version", "cpus": "many"}, version, lease)
        await cluster.restart_controller(cluster.current_leader())
        await asyncio.sleep(6)
        status, answer = await cluster.ask("GET", f"/submissions/{job_id}")
        told.extend([status, answer["standing"]])
        service = cluster.current_leader().service
        assert service is not None
        told.append(service.status_reporter.describe_status()["jobs_held"])
        told.append(service.leader_election.failed_terms)
        cluster.cancel_requested.add(job_id)
        status, answer = await cluster.ask("POST", f"/submissions/{job_id}/cancel")
        told.extend([status, answer["standing"]])
        cluster.observed_ends[job_id] = "aborted"

    cluster.schedule_action(spoil)
    check(cluster.run(length_s=90, job_count=25))
    assert told[:2] in ([200, "queued"], [200, "running"]) and told[3:] == [0, 200, "aborted"], told
    assert isinstance(told[2], list) and "its record to be readable" in told[2][0]
    assert len(cluster.observed_ends) > 15
