"""The version in production and the present one, side by side and on one another's data."""

import asyncio
from dataclasses import dataclass
from itertools import pairwise
from typing import Any

import msgspec
import pytest

from roseweir.leader_election.messages import FEATURE_LEVEL, LeaderRecord
from tests.simulation.cluster import SimulatedCluster
from tests.simulation.rolling_upgrade import (
    ROLL_BEGINS_AT_S,
    ROLL_INTERVAL_RANGE_S,
    RollingUpgradeCluster,
    raise_first_failure,
    terms_led_by,
)
from tests.versions import PRESENT, Version, production

TROUBLES = ["crash", "all", "outage", "alone", "hang", "cut", "late writes", "paused", "slow state", "returns"]


@pytest.mark.parametrize(("seed", "trouble"), list(enumerate(TROUBLES, 7100)))
def test_a_roll_beside_each_trouble_loses_nothing(seed: int, trouble: str) -> None:
    cluster = RollingUpgradeCluster(seed, faults=[trouble], controller_count=5 if seed % 4 == 3 else 3).run_day_to_end()
    cluster.check_outcome()
    assert cluster.start_count > 10


@pytest.mark.parametrize("controllers", [3, 5])
def test_users_are_answered_all_through_a_calm_roll(controllers: int) -> None:
    cluster = RollingUpgradeCluster(7900 + controllers, is_calm=True, controller_count=controllers).run_day_to_end()
    cluster.check_outcome()
    in_the_roll = [
        status
        for at, status in cluster.user_answers
        if ROLL_BEGINS_AT_S <= at <= cluster.rolled_at + ROLL_INTERVAL_RANGE_S[1]
    ]
    assert len(in_the_roll) > 50 and set(in_the_roll) <= {200, 201, 404}, "a request without an answer, or refused"


@pytest.mark.parametrize("seed", [7200, 7201])
def test_going_back_to_the_version_before_loses_nothing(seed: int) -> None:
    RollingUpgradeCluster(seed, first=PRESENT, then=production()).run_day_to_end().check_outcome()


@pytest.mark.parametrize("seed", [7300, 7301])
def test_leaders_of_both_versions_in_turn_go_on_with_one_anothers_record(seed: int) -> None:
    """Of two controllers, one of each version, whichever leads is killed, again and again."""
    cluster = SimulatedCluster(
        seed, controller_count=2, versions=[production(), PRESENT], faults=["hang"], restart_delay_range_s=(5.0, 6.0)
    )

    async def alternate(cluster: SimulatedCluster) -> None:
        while True:
            await asyncio.sleep(14)
            await cluster.restart_controller(cluster.current_leader())

    cluster.schedule_action(alternate)
    raise_first_failure(cluster.run(length_s=100, job_count=15))
    led = terms_led_by(cluster, PRESENT)
    assert set(pairwise(led)) >= {(False, True), (True, False)}, led


# -- who leads during a roll --------------------------------------------------------------------


async def until_led(cluster: SimulatedCluster, but: Any = None) -> Any:
    """The leading process, if it is not that one."""
    for _ in range(600):
        leading = [
            n.service for n in cluster.nodes if n.running_version.attribute(n.service, "leader_term") is not None
        ]
        if leading and leading[0] is not but:
            return leading[0]
        await asyncio.sleep(0.02)
    raise AssertionError("nobody leads")


@dataclass(frozen=True)
class Succession:
    """Who leads after a leader was killed."""

    before: Version
    after: Version
    same_node: bool


def kill_leader(seed: int, versions: list[Version], back_after: tuple[float, float], back_as: Version) -> Succession:
    cluster = SimulatedCluster(seed, is_calm=True, versions=versions, restart_delay_range_s=back_after)
    found: list[Succession] = []

    async def kill(cluster: SimulatedCluster) -> None:
        first = await until_led(cluster)
        node, before = cluster.current_leader(), cluster.current_leader().running_version
        node.version = back_as
        cluster.spawn(cluster.restart_controller(node))
        await until_led(cluster, first)
        found.append(Succession(before, cluster.current_leader().running_version, cluster.current_leader() is node))
        cluster.is_over = True

    cluster.schedule_action(kill)
    raise_first_failure(cluster.run(length_s=30, job_count=0))
    return found[0]


def test_an_upgraded_process_that_is_back_at_once_leads_again() -> None:
    """Otherwise one of the old ones would, which is about to be killed as well."""
    changes = [kill_leader(seed, [production()] * 3, (0.1, 0.5), back_as=PRESENT) for seed in range(7400, 7420)]
    won = sum(change.same_node and change.after is PRESENT for change in changes)
    assert won >= 17, f"{won} of {len(changes)}"


def test_a_process_that_is_back_at_once_without_an_upgrade_lets_the_others_stand_first() -> None:
    for seed in range(7400, 7403):
        assert not kill_leader(seed, [PRESENT] * 3, (0.1, 0.5), back_as=PRESENT).same_node, seed


def test_upgraded_controllers_stand_first() -> None:
    """One of two that are left is upgraded, and would win half of the elections otherwise."""
    old = production()
    changes = [kill_leader(seed, [old, PRESENT, old], (9.0, 9.0), back_as=old) for seed in range(7500, 7530)]
    after_old = [change for change in changes if change.before is old]
    won = sum(change.after is PRESENT for change in after_old)
    assert len(after_old) >= 5 and won >= 0.75 * len(after_old), f"{won} of {len(after_old)}"


def test_production_reads_what_this_version_says_of_who_leads() -> None:
    record = msgspec.to_builtins(LeaderRecord("n1", "10.0.0.2:8081", 7, 3, FEATURE_LEVEL))
    old = production().find("leader_election.messages", "LeaderRecord")
    assert msgspec.to_builtins(msgspec.convert(record, old)) == {k: v for k, v in record.items() if k != "level"}
    of_production = msgspec.to_builtins(old("n1", "10.0.0.2:8081", 7, 3))
    assert msgspec.convert(of_production, LeaderRecord).feature_level == 0 < FEATURE_LEVEL
