"""Leader hand-over and isolation, decided from reachability reports; three, five and seven controllers."""

import random

import pytest

from roseweir.clock import PROCESS_PAUSE_THRESHOLD, seconds
from roseweir.leader_election.leader_search import LeaderSearch
from roseweir.leader_election.messages import PeerLeader, ReachabilityAnswer, ReachabilityQuery
from roseweir.leader_election.worker_reachability import (
    MAX_WORKERS_IN_QUERY,
    find_better_connected_node,
    sample_workers,
)
from roseweir.membership.failure_detector import HEARTBEAT_CHECK_INTERVAL, HeartbeatCheckResult, HeartbeatMonitor
from roseweir.membership.peers import latest_leader
from roseweir.membership.redirected_workers import RedirectedWorkers
from roseweir.membership.store_isolation import (
    MAJORITY_UNREACHABLE_TIMEOUT,
    MAX_REMOVALS,
    MINORITY_UNREACHABLE_TIMEOUT,
    PeerReachability,
    StoreIsolationDetector,
)
from tests.test_scheduler import NOW


def test_missed_heartbeats_count_after_two_timely_checks() -> None:
    monitor, missed = HeartbeatMonitor(), {"i-1": "10.1.0.1:9000"}
    on_time, late, paused = (
        HEARTBEAT_CHECK_INTERVAL,
        HEARTBEAT_CHECK_INTERVAL * 3,
        HEARTBEAT_CHECK_INTERVAL + PROCESS_PAUSE_THRESHOLD * 2,
    )
    check_results = [
        monitor.evaluate(NOW, NOW + elapsed, missed if all_missed else {})
        for elapsed, all_missed in [
            (on_time, True),
            (late, True),  # under load the check itself runs late
            (on_time, True),
            (paused, True),  # the process was paused: heartbeats wait in its buffers
            (on_time, True),
            (on_time, False),
            (on_time, True),
            (on_time, True),
            (on_time, True),
        ]
    ]
    assert check_results == [HeartbeatCheckResult.HEALTHY] * 3 + [HeartbeatCheckResult.PROCESS_PAUSED] + [
        HeartbeatCheckResult.HEALTHY
    ] * 3 + [HeartbeatCheckResult.HEARTBEATS_MISSED, HeartbeatCheckResult.HEALTHY]


@pytest.mark.parametrize("controllers", [3, 5, 7])
def test_leader_steps_down_only_for_a_better_connected_controller(controllers: int) -> None:
    """Random one-way partitions: each controller reaches the workers or not, and is reached by them or not."""
    rng = random.Random(controllers)
    stepped_down = stayed = 0
    for _ in range(400):
        workers = {f"i-{n}": f"10.1.0.{n}:9000" for n in range(rng.randint(4, MAX_WORKERS_IN_QUERY))}
        query = ReachabilityQuery(4, 1, workers)
        outbound_lost = [rng.random() < 0.5 for _ in range(controllers)]  # requests to the workers are lost
        inbound_lost = [rng.random() < 0.5 for _ in range(controllers)]  # heartbeats from the workers are lost
        answers = {
            f"n{n}": ReachabilityAnswer(
                4, 1, [] if outbound_lost[n] else list(workers), [] if inbound_lost[n] else list(workers)[::2]
            )
            for n in range(1, controllers)
            if rng.random() < 0.8  # a missing answer proves nothing
        }
        missing = dict.fromkeys(workers, (1, 5)) if inbound_lost[0] else {}
        better_node = find_better_connected_node(answers, query, 0 if outbound_lost[0] else len(workers), missing)
        if better_node is None:
            stayed += 1
            # Either no worker is missing, or workers reach no peer and no peer reaches more of them than the leader.
            assert not missing or all(
                not a.redirected and (not outbound_lost[0] or not a.reachable) for a in answers.values()
            )
        else:
            stepped_down += 1
            assert missing and (answers[better_node].redirected or answers[better_node].reachable)
    assert stepped_down > 50 and stayed > 50


def test_missing_answers_prove_nothing() -> None:
    query = ReachabilityQuery(4, 1, {"i-1": "", "i-2": ""})
    missing = {"i-1": (1, 5), "i-2": (1, 9)}
    assert find_better_connected_node({}, query, 0, missing) is None
    assert find_better_connected_node({"n1": ReachabilityAnswer(4, 1, [], [])}, query, 0, missing) is None
    # Delayed duplicates at another node are older than the heartbeats that the leader has received.
    assert (
        find_better_connected_node({"n1": ReachabilityAnswer(4, 1, [], ["i-1"], {"i-1": (1, 4)})}, query, 2, missing)
        is None
    )
    assert (
        find_better_connected_node({"n1": ReachabilityAnswer(4, 1, [], ["i-1"], {"i-1": (1, 6)})}, query, 2, missing)
        == "n1"
    )
    assert latest_leader([]) is None and latest_leader([PeerLeader("", 0), PeerLeader("", 0)]) is None
    assert latest_leader([PeerLeader("n1", 4), PeerLeader("", 0), PeerLeader("n2", 6)]) == PeerLeader("n2", 6)


def _evaluate_for(
    detector: StoreIsolationDetector, span_s: float, peers: PeerReachability, *, is_later_term_reported: bool = False
) -> bool:
    """Returns the result after this time of evaluations of the same evidence every half second."""
    now = NOW
    while now <= NOW + seconds(span_s):
        is_isolated = detector.evaluate_isolation(peers, is_later_term_reported=is_later_term_reported, now=now)
        now += seconds(0.5)
    return is_isolated


def test_node_without_store_and_peers_is_isolated_but_not_in_full_outage() -> None:
    no_peer_reachable, one_of_two_reachable = PeerReachability(2, 0, False), PeerReachability(2, 1, False)
    full_outage, one_peer_served = PeerReachability(4, 4, False), PeerReachability(4, 4, True)
    assert not _evaluate_for(StoreIsolationDetector(), 60, full_outage), "every peer reports the outage"
    assert _evaluate_for(StoreIsolationDetector(), 0, one_peer_served), "the store serves a peer"
    no_answer = PeerReachability(4, 0, False)
    assert _evaluate_for(StoreIsolationDetector(), 0, no_answer, is_later_term_reported=True), (
        "a worker reported a later term"
    )
    within, after = MAJORITY_UNREACHABLE_TIMEOUT.total_seconds() - 0.5, MAJORITY_UNREACHABLE_TIMEOUT.total_seconds()
    assert not _evaluate_for(StoreIsolationDetector(), within, no_peer_reachable)
    assert _evaluate_for(StoreIsolationDetector(), after, no_peer_reachable)
    # Two controllers that miss a third: it may have crashed during an outage, and is restarted within this time.
    within, after = MINORITY_UNREACHABLE_TIMEOUT.total_seconds() - 0.5, MINORITY_UNREACHABLE_TIMEOUT.total_seconds()
    assert not _evaluate_for(StoreIsolationDetector(), within, one_of_two_reachable)
    assert _evaluate_for(StoreIsolationDetector(), after, one_of_two_reachable)
    assert not _evaluate_for(StoreIsolationDetector(), 60, PeerReachability(0, 0, False)), "a single controller"
    flapping = StoreIsolationDetector()
    for _ in range(MAX_REMOVALS):
        assert _evaluate_for(flapping, after, no_peer_reachable)
        flapping.record_not_isolated()
        assert not flapping.is_isolated_from_store
    assert not _evaluate_for(flapping, after, no_peer_reachable), "each removal doubles the load balancer's pause"


@pytest.mark.parametrize("is_leader_found", [True, False])
def test_redirected_workers_return_only_if_no_other_leader_is_found(is_leader_found: bool) -> None:
    search = LeaderSearch()
    search.start(3, seconds(1), NOW)
    assert not search.should_redirect("i-0", True, NOW), "workers without tasks are redirected first"
    assert search.should_redirect("i-1", False, NOW) and search.should_redirect("i-2", True, NOW + seconds(1.3))
    if not is_leader_found:
        assert not search.should_redirect("i-1", False, NOW + seconds(3)), "a returning worker is answered again"
    assert not search.has_found_leader(NOW + seconds(4))
    assert search.has_found_leader(NOW + seconds(30)) == is_leader_found
    search.start(3, seconds(1), NOW + seconds(2))
    assert search.redirected_at_by_worker == {"i-1": NOW, "i-2": NOW + seconds(1.3)}, "they are still redirected"


def test_redirected_workers_expire_and_are_bounded() -> None:
    redirected_workers = RedirectedWorkers()
    for number in range(9000):
        redirected_workers.record_heartbeat(f"i-{number}", (1, 7), NOW)
    assert not redirected_workers.find_redirected(["i-8999", "i-0"], NOW), (
        "a worker that came just now may reach the leader next"
    )
    assert redirected_workers.find_redirected(["i-8999", "i-0"], NOW + seconds(2)) == {"i-8999": (1, 7)}
    redirected_workers.record_heartbeat("i-8999", (1, 7), NOW + seconds(8))
    assert not redirected_workers.find_redirected(["i-8999"], NOW + seconds(9)), "a delayed duplicate does not count"
    assert len(sample_workers({f"i-{n}": "" for n in range(9000)})) <= MAX_WORKERS_IN_QUERY
