"""Controllers of the production version and the present one run side by side and on each other's stored data."""

import asyncio
from dataclasses import dataclass
from itertools import pairwise
from typing import Any

import msgspec
import pytest

from roseweir.leader_election.messages import FEATURE_LEVEL, LeaderRecord
from tests.simulation.cluster import SimulatedCluster, raise_first_failure
from tests.simulation.rolling_upgrade import (
    ROLL_BEGINS_AT_S,
    ROLL_INTERVAL_RANGE_S,
    RollingUpgradeCluster,
    terms_led_by,
)
from tests.versions import PRESENT, Version, production

FAULTS = ["crash", "all", "outage", "alone", "hang", "cut", "late writes", "paused", "slow state", "returns"]


@pytest.mark.parametrize(("seed", "fault"), list(enumerate(FAULTS, 7100)))
def test_rolling_upgrade_during_a_fault_loses_nothing(seed: int, fault: str) -> None:
    cluster = RollingUpgradeCluster(seed, faults=[fault], controller_count=5 if seed % 4 == 3 else 3).run_day_to_end()
    cluster.check_outcome()
    assert cluster.start_count > 10


@pytest.mark.parametrize("controllers", [3, 5])
def test_users_are_answered_throughout_rolling_upgrade_without_faults(controllers: int) -> None:
    cluster = RollingUpgradeCluster(
        7900 + controllers, without_random_faults=True, controller_count=controllers
    ).run_day_to_end()
    cluster.check_outcome()
    statuses_during_roll = [
        status
        for at, status in cluster.user_answers
        if ROLL_BEGINS_AT_S <= at <= cluster.rolled_at + ROLL_INTERVAL_RANGE_S[1]
    ]
    assert len(statuses_during_roll) > 50 and set(statuses_during_roll) <= {200, 201, 404}, (
        "a request was refused or got no answer"
    )


@pytest.mark.parametrize("seed", [7200, 7201])
def test_rollback_to_production_loses_nothing(seed: int) -> None:
    RollingUpgradeCluster(seed, first_version=PRESENT, next_version=production()).run_day_to_end().check_outcome()


@pytest.mark.parametrize("seed", [7300, 7301])
def test_leaders_of_both_versions_continue_from_each_others_records(seed: int) -> None:
    """Two controllers, one of each version; the leader is killed every 14 s."""
    cluster = SimulatedCluster(
        seed, controller_count=2, versions=[production(), PRESENT], faults=["hang"], restart_delay_range_s=(5.0, 6.0)
    )

    async def alternate(cluster: SimulatedCluster) -> None:
        while True:
            await asyncio.sleep(14)
            await cluster.restart_controller(cluster.current_leader())

    cluster.schedule_action(alternate)
    raise_first_failure(cluster.run(length_s=100, job_count=15))
    present_version_led = terms_led_by(cluster, PRESENT)
    assert set(pairwise(present_version_led)) >= {(False, True), (True, False)}, present_version_led


# -- elections during a rolling upgrade ----------------------------------------------------------


async def wait_for_leader(cluster: SimulatedCluster, excluded: Any = None) -> Any:
    """Waits for a leader other than the given process, and returns its process."""
    for _ in range(600):
        leading_processes = [
            n.service for n in cluster.controllers if n.running_version.attribute(n.service, "leader_term") is not None
        ]
        if leading_processes and leading_processes[0] is not excluded:
            return leading_processes[0]
        await asyncio.sleep(0.02)
    raise AssertionError("no controller leads")


@dataclass(frozen=True)
class Succession:
    """The versions that led before and after the leader was killed."""

    before: Version
    after: Version
    same_node: bool


def kill_leader(
    seed: int, versions: list[Version], restart_delay_range_s: tuple[float, float], restart_version: Version
) -> Succession:
    cluster = SimulatedCluster(
        seed, without_random_faults=True, versions=versions, restart_delay_range_s=restart_delay_range_s
    )
    successions: list[Succession] = []

    async def kill(cluster: SimulatedCluster) -> None:
        first_leader = await wait_for_leader(cluster)
        node, before = cluster.current_leader(), cluster.current_leader().running_version
        node.version = restart_version
        cluster.spawn(cluster.restart_controller(node))
        await wait_for_leader(cluster, first_leader)
        successions.append(
            Succession(before, cluster.current_leader().running_version, cluster.current_leader() is node)
        )
        cluster.is_over = True

    cluster.schedule_action(kill)
    raise_first_failure(cluster.run(length_s=30, job_count=0))
    return successions[0]


def test_upgraded_leader_that_restarts_fast_leads_again() -> None:
    """Otherwise a controller of the old version would lead, which the upgrade restarts soon after."""
    successions = [
        kill_leader(seed, [production()] * 3, (0.1, 0.5), restart_version=PRESENT) for seed in range(7400, 7420)
    ]
    wins = sum(succession.same_node and succession.after is PRESENT for succession in successions)
    assert wins >= 17, f"{wins} of {len(successions)}"


def test_leader_that_restarts_without_upgrade_yields_to_peers() -> None:
    for seed in range(7400, 7403):
        assert not kill_leader(seed, [PRESENT] * 3, (0.1, 0.5), restart_version=PRESENT).same_node, seed


def test_upgraded_controllers_have_election_priority() -> None:
    """One of the two remaining controllers is upgraded; without priority it would win half of the elections."""
    old = production()
    successions = [
        kill_leader(seed, [old, PRESENT, old], (9.0, 9.0), restart_version=old) for seed in range(7500, 7530)
    ]
    after_old = [succession for succession in successions if succession.before is old]
    wins = sum(succession.after is PRESENT for succession in after_old)
    assert len(after_old) >= 5 and wins >= 0.75 * len(after_old), f"{wins} of {len(after_old)}"


def test_production_reads_the_present_leader_record() -> None:
    record = msgspec.to_builtins(LeaderRecord("n1", "10.0.0.2:8081", 7, 3, FEATURE_LEVEL))
    old = production().find("leader_election.messages", "LeaderRecord")
    assert msgspec.to_builtins(msgspec.convert(record, old)) == {k: v for k, v in record.items() if k != "level"}
    production_record = msgspec.to_builtins(old("n1", "10.0.0.2:8081", 7, 3))
    assert msgspec.convert(production_record, LeaderRecord).feature_level == 0 < FEATURE_LEVEL
