"""Status requests about an accepted job are answered, through and after faults of nodes and floods of requests."""

import asyncio

import pytest

from roseweir.http import Request
from roseweir.membership.store_isolation import StoreIsolationDetector
from tests.simulation.cluster import (
    EXTENDED_FAULTS,
    PARTIAL_PARTITION_FAULTS,
    SimulatedCluster,
    raise_first_failure,
    virtual_now,
)
from tests.simulation.load_balancer import LoadBalancer, PollingUsers

MAX_UNANSWERED_S = 10.0


def schedule_polling_users(cluster: SimulatedCluster, faults_end_at_s: float) -> list[PollingUsers]:
    """Schedule users that poll all accepted jobs; the returned list holds them once the simulation has started."""
    pollers: list[PollingUsers] = []

    async def poll(cluster: SimulatedCluster) -> None:
        balancer = LoadBalancer(cluster)
        cluster.spawn(balancer.run())
        users = PollingUsers(cluster, balancer, lambda: virtual_now() >= faults_end_at_s)
        pollers.append(users)
        await users.run()

    cluster.faults_end_at = faults_end_at_s
    cluster.schedule_action(poll)
    return pollers


@pytest.mark.parametrize("seed", range(9500, 9506))
@pytest.mark.parametrize("controller_count", [3, 5])
def test_every_job_is_answered_soon_after_all_faults_end(seed: int, controller_count: int) -> None:
    cluster = SimulatedCluster(
        seed,
        faults=[*EXTENDED_FAULTS, *PARTIAL_PARTITION_FAULTS],
        controller_count=controller_count,
        restart_delay_range_s=(0.2, 4.0),
    )
    pollers = schedule_polling_users(cluster, 80.0)

    async def end_all_faults(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(80)
        # Ends all faults now, also those whose drawn duration is longer.
        cluster.kv_store.refused_controllers.clear()
        if cluster.kv_store.is_down:
            cluster.kv_store.end_outage()
        for node in cluster.controllers:
            node.network_faults.clear()
            node.pause_gate.resume()
            node.delay_s = 0.0
            if node.service is None:
                node.start()
        cluster.partitioned_zones.clear()
        cluster.without_random_faults = True

    cluster.schedule_action(end_all_faults)
    raise_first_failure(cluster.run(length_s=130, job_count=40))
    assert pollers[0].longest_unanswered_s <= MAX_UNANSWERED_S and not pollers[0].unanswered_since, (
        pollers[0].longest_unanswered_s,
        pollers[0].unanswered_since,
    )


@pytest.mark.parametrize("stays_healthy", [False, True])
def test_isolated_nodes_that_answer_503_leave_no_job_unanswered(
    stays_healthy: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two of three nodes reach neither the key-value store nor their peers for two minutes.

    The load balancer prefers them, as they have no load, unless they report themselves as failing.
    """
    if stays_healthy:
        monkeypatch.setattr(StoreIsolationDetector, "evaluate_isolation", lambda self, *args, **more: False)
    cluster = SimulatedCluster(7600, without_random_faults=True)
    pollers = schedule_polling_users(cluster, 25.0)

    async def isolate_followers(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(20)
        for node in [n for n in cluster.controllers if n is not cluster.current_leader()][:2]:
            node.network_faults |= {"state": "refused", "peers": "refused"}

    cluster.schedule_action(isolate_followers)
    cluster.run(length_s=120, job_count=30)
    if stays_healthy:
        # A job that stays unanswered this long may also violate the simulated cluster's rule "forgotten".
        assert not cluster.errors and all("forgotten" in str(violation) for violation in cluster.rule_violations)
        assert pollers[0].longest_unanswered_s > MAX_UNANSWERED_S
    else:
        raise_first_failure(cluster)
        assert pollers[0].longest_unanswered_s <= MAX_UNANSWERED_S and not pollers[0].unanswered_since, (
            pollers[0].longest_unanswered_s,
            pollers[0].unanswered_since,
        )


def test_flood_of_polls_leaves_no_ended_job_unanswered() -> None:
    """Each poll of an ended or unknown job takes a read, so a flood of polls can use up the read budget."""
    cluster = SimulatedCluster(7601, without_random_faults=True, params_override=None)
    pollers = schedule_polling_users(cluster, 0.0)
    refusals: list[int] = []

    async def flood(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(40)
        for node in cluster.controllers:
            assert node.service is not None
            node.service.submission_handlers._terminal_states.states.clear()

        async def poll_unknown_jobs() -> None:
            while True:
                job_id = f"j-8{cluster.rng.randrange(10**9)}"
                node = cluster.rng.choice(cluster.controllers)
                request = Request("GET", f"/submissions/{job_id}", b"")
                response = await node.serve(lambda service, request=request: service.serve_public(request))  # type: ignore[misc]
                if response is not None and response.status == 429:
                    refusals.append(1)
                await asyncio.sleep(cluster.rng.uniform(0.2, 0.6))

        for _ in range(150):
            cluster.spawn(poll_unknown_jobs())

    cluster.schedule_action(flood)
    raise_first_failure(cluster.run(length_s=100, job_count=30))
    assert len(refusals) > 500
    assert pollers[0].longest_unanswered_s <= 20 and len(cluster.observed_ends) > 15, pollers[0].longest_unanswered_s


def test_job_with_an_unreadable_record_is_held_and_other_jobs_run() -> None:
    cluster = SimulatedCluster(7602, without_random_faults=True)
    observed: list[object] = []

    async def corrupt_job_record(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(25)
        job_id = "j-7654321"
        overrides = {
            "name_id": job_id,
            "shape": "sweep",
            "parcels": 400,
            "accelerators": 0.0,
            "builds": None,
            "rank": "low",
        }
        cluster.jobs[job_id] = cluster.make_job() | overrides | {"mistaken": False, "yard": None}
        body = {k: v for k, v in cluster.jobs[job_id].items() if k != "mistaken"}
        assert (await cluster.send_user_request("POST", "/submissions", body))[0] == 201
        cluster.accepted_jobs.add(job_id)
        await asyncio.sleep(4)
        value, version, lease = cluster.kv_store.keys[f"live/{job_id}"]
        cluster.kv_store.keys[f"live/{job_id}"] = (
            value | {"kind": "of a later version", "cpus": "many"},
            version,
            lease,
        )
        await cluster.restart_controller(cluster.current_leader())
        await asyncio.sleep(6)
        status, answer = await cluster.send_user_request("GET", f"/submissions/{job_id}")
        observed.extend([status, answer["standing"]])
        service = cluster.current_leader().service
        assert service is not None
        observed.append(service.status_reporter.describe_status()["jobs_held"])
        observed.append(service.leader_election.failed_terms)
        cluster.cancel_requested.add(job_id)
        status, answer = await cluster.send_user_request("POST", f"/submissions/{job_id}/cancel")
        observed.extend([status, answer["standing"]])
        cluster.observed_ends[job_id] = "aborted"

    cluster.schedule_action(corrupt_job_record)
    raise_first_failure(cluster.run(length_s=90, job_count=25))
    assert observed[:2] in ([200, "queued"], [200, "running"]) and observed[3:] == [0, 200, "aborted"], observed
    assert isinstance(observed[2], list) and "its record to be readable" in observed[2][0]
    assert len(cluster.observed_ends) > 15
