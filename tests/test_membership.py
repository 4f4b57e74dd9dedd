"""Who should lead and who is alone, concluded from who reaches whom; three, five and seven controllers."""

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
from roseweir.membership.failure_detector import HEARTBEAT_CHECK_INTERVAL, HeartbeatMonitor, HeartbeatVerdict
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


def test_a_leader_is_unheard_only_if_it_looked_on_time_and_twice() -> None:
    monitor, missed = HeartbeatMonitor(), {"i-1": "10.1.0.1:9000"}
    on_time, late, still = (
        HEARTBEAT_CHECK_INTERVAL,
        HEARTBEAT_CHECK_INTERVAL * 3,
        HEARTBEAT_CHECK_INTERVAL + PROCESS_PAUSE_THRESHOLD * 2,
    )
    findings = [
        monitor.evaluate(NOW, NOW + took, missed if all_missed else {})
        for took, all_missed in [
            (on_time, True),
            (late, True),  # a loaded moment delays the looking too
            (on_time, True),
            (still, True),  # it stood still: reports wait in its buffers
            (on_time, True),
            (on_time, False),
            (on_time, True),
            (on_time, True),
            (on_time, True),
        ]
    ]
    assert findings == [HeartbeatVerdict.HEALTHY] * 3 + [HeartbeatVerdict.PROCESS_PAUSED] + [
        HeartbeatVerdict.HEALTHY
    ] * 3 + [HeartbeatVerdict.HEARTBEATS_MISSED, HeartbeatVerdict.HEALTHY]


@pytest.mark.parametrize("controllers", [3, 5, 7])
def test_a_leader_makes_way_exactly_if_another_reaches_workers_that_it_does_not(controllers: int) -> None:
    """One-way cuts drawn at random: each controller either reaches a worker or does not, and is reached or not."""
    draw = random.Random(controllers)
    made_way = stayed = 0
    for _ in range(400):
        workers = {f"i-{n}": f"10.1.0.{n}:9000" for n in range(draw.randint(4, MAX_WORKERS_IN_QUERY))}
        ask = ReachabilityQuery(4, 1, workers)
        out = [draw.random() < 0.5 for _ in range(controllers)]  # its way to the workers is cut
        back = [draw.random() < 0.5 for _ in range(controllers)]  # their way to it is cut
        answers = {
            f"n{n}": ReachabilityAnswer(4, 1, [] if out[n] else list(workers), [] if back[n] else list(workers)[::2])
            for n in range(1, controllers)
            if draw.random() < 0.8  # an answer that does not come counts for nothing
        }
        missing = dict.fromkeys(workers, (1, 5)) if back[0] else {}
        found = find_better_connected_node(answers, ask, 0 if out[0] else len(workers), missing)
        if found is None:
            stayed += 1
            # Whoever answered hears nobody; or is reached no better than the leader; or nobody is missing.
            assert not missing or all(not a.redirected and (not out[0] or not a.reachable) for a in answers.values())
        else:
            made_way += 1
            assert missing and (answers[found].redirected or answers[found].reachable)
    assert made_way > 50 and stayed > 50


def test_nothing_is_concluded_from_no_answer() -> None:
    ask = ReachabilityQuery(4, 1, {"i-1": "", "i-2": ""})
    missing = {"i-1": (1, 5), "i-2": (1, 9)}
    assert find_better_connected_node({}, ask, 0, missing) is None
    assert find_better_connected_node({"n1": ReachabilityAnswer(4, 1, [], [])}, ask, 0, missing) is None
    # Copies that came late to another node are older than what the leader has heard itself.
    assert (
        find_better_connected_node({"n1": ReachabilityAnswer(4, 1, [], ["i-1"], {"i-1": (1, 4)})}, ask, 2, missing)
        is None
    )
    assert (
        find_better_connected_node({"n1": ReachabilityAnswer(4, 1, [], ["i-1"], {"i-1": (1, 6)})}, ask, 2, missing)
        == "n1"
    )
    assert latest_leader([]) is None and latest_leader([PeerLeader("", 0), PeerLeader("", 0)]) is None
    assert latest_leader([PeerLeader("n1", 4), PeerLeader("", 0), PeerLeader("n2", 6)]) == PeerLeader("n2", 6)


def _evaluate_for(
    detector: StoreIsolationDetector, span_s: float, peers: PeerReachability, *, is_later_term_seen: bool = False
) -> bool:
    """What it concludes after this time, in which it evaluates the same evidence every half second."""
    now = NOW
    while now <= NOW + seconds(span_s):
        is_isolated = detector.evaluate_failing(peers, is_later_term_seen=is_later_term_seen, now=now)
        now += seconds(0.5)
    return is_isolated


def test_a_node_without_store_and_peers_is_isolated_and_in_an_outage_of_all_it_is_not() -> None:
    nobody, one_of_two = PeerReachability(2, 0, False), PeerReachability(2, 1, False)
    outage_of_all, one_is_served = PeerReachability(4, 4, False), PeerReachability(4, 4, True)
    assert not _evaluate_for(StoreIsolationDetector(), 60, outage_of_all), "every peer says so"
    assert _evaluate_for(StoreIsolationDetector(), 0, one_is_served), "a peer's answer"
    no_answer = PeerReachability(4, 0, False)
    assert _evaluate_for(StoreIsolationDetector(), 0, no_answer, is_later_term_seen=True), "a worker met a later leader"
    within, after = MAJORITY_UNREACHABLE_TIMEOUT.total_seconds() - 0.5, MAJORITY_UNREACHABLE_TIMEOUT.total_seconds()
    assert not _evaluate_for(StoreIsolationDetector(), within, nobody)
    assert _evaluate_for(StoreIsolationDetector(), after, nobody)
    # Two that reach one another and miss the third: it may have crashed in an outage, and is back by then.
    within, after = MINORITY_UNREACHABLE_TIMEOUT.total_seconds() - 0.5, MINORITY_UNREACHABLE_TIMEOUT.total_seconds()
    assert not _evaluate_for(StoreIsolationDetector(), within, one_of_two)
    assert _evaluate_for(StoreIsolationDetector(), after, one_of_two)
    assert not _evaluate_for(StoreIsolationDetector(), 60, PeerReachability(0, 0, False)), "a single controller"
    flapping = StoreIsolationDetector()
    for _ in range(MAX_REMOVALS):
        assert _evaluate_for(flapping, after, nobody)
        flapping.record_not_isolated()
        assert not flapping.is_isolated_from_store
    assert not _evaluate_for(flapping, after, nobody), "the balancer's pause doubles"


@pytest.mark.parametrize("found", [True, False])
def test_redirected_workers_stay_away_if_another_leads_and_come_back_in_an_outage(found: bool) -> None:
    search = LeaderSearch()
    search.start(3, seconds(1), NOW)
    assert not search.should_redirect("i-0", True, NOW), "those without tasks go first"
    assert search.should_redirect("i-1", False, NOW) and search.should_redirect("i-2", True, NOW + seconds(1.3))
    if not found:
        assert not search.should_redirect("i-1", False, NOW + seconds(3)), "answered again as it returns"
    assert not search.has_found_leader(NOW + seconds(4))
    assert search.has_found_leader(NOW + seconds(30)) == found
    search.start(3, seconds(1), NOW + seconds(2))
    assert search.redirected_at_by_worker == {"i-1": NOW, "i-2": NOW + seconds(1.3)}, "they are on their way"


def test_redirected_workers_count_for_a_while_and_are_bounded() -> None:
    redirected_workers = RedirectedWorkers()
    for number in range(9000):
        redirected_workers.record_heartbeat(f"i-{number}", (1, 7), NOW)
    assert not redirected_workers.find_redirected(["i-8999", "i-0"], NOW), (
        "one that came this instant may be with the leader in the next"
    )
    assert redirected_workers.find_redirected(["i-8999", "i-0"], NOW + seconds(2)) == {"i-8999": (1, 7)}
    redirected_workers.record_heartbeat("i-8999", (1, 7), NOW + seconds(8))
    assert not redirected_workers.find_redirected(["i-8999"], NOW + seconds(9)), "a copy that came late"
    assert len(sample_workers({f"i-{n}": "" for n in range(9000)})) <= MAX_WORKERS_IN_QUERY
