"""The traffic comparison reports no difference for one tree, and detects small changes in what a controller sends."""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from typing import Any

import msgspec
import pytest

from benchmarks import traffic
from benchmarks.traffic import Message, first_difference, make_cluster, run_day
from roseweir.kv_store import KeyValueStoreClient
from roseweir.leader_election import election
from roseweir.settings import Peer
from tests import versions
from tests.versions import PRESENT, Version, production

SEED, LENGTH_S, JOBS = 3, 30.0, 10


@pytest.fixture(scope="module")
def messages() -> list[Message]:
    """The messages of one run of the present tree."""
    traffic_run = run_day(SEED, PRESENT, LENGTH_S, JOBS)
    assert not traffic_run.errors
    return traffic_run.messages


def test_two_runs_of_the_present_tree_are_equal(messages: list[Message]) -> None:
    assert first_difference(messages, run_day(SEED, PRESENT, LENGTH_S, JOBS).messages) is None
    # Every type of traffic that is compared occurs.
    for event_text in ("sends POST /txn to 10.2.0.1:1", "sends GET /machines", "is asked POST /hello at its public"):
        assert any(event_text in f"{message.event} {message.summary}" for message in messages), event_text
    assert any(":9000" in message.summary for message in messages)
    assert any("at its back address" in message.summary for message in messages)
    assert len({message.controller for message in messages}) == 3


def test_retry_one_millisecond_later_is_detected(messages: list[Message], monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(election, "RETRY_INTERVAL", election.RETRY_INTERVAL + timedelta(milliseconds=1))
    difference = first_difference(messages, run_day(SEED, PRESENT, LENGTH_S, JOBS).messages)
    assert difference is not None and "base: " in difference and "present: " in difference


def test_one_more_store_read_is_detected(messages: list[Message], monkeypatch: pytest.MonkeyPatch) -> None:
    original_get: Callable[..., Any] = KeyValueStoreClient.get
    calls: list[str] = []

    async def get(self: KeyValueStoreClient, key: str, *args: Any, **options: Any) -> Any:
        calls.append(key)
        if len(calls) == 10:
            await original_get(self, key, *args, **options)
        return await original_get(self, key, *args, **options)

    monkeypatch.setattr(KeyValueStoreClient, "get", get)
    difference = first_difference(messages, run_day(SEED, PRESENT, LENGTH_S, JOBS).messages)
    assert len(calls) > 10
    assert difference is not None and "/store/" in difference


def test_every_part_of_a_message_is_compared() -> None:
    message = Message(1.0, "n0", 1, "sends", "GET /store/a", b"1")
    changed = [
        replace(message, instant=1.001),
        replace(message, controller="n1"),
        replace(message, exchange=2),
        replace(message, event="gets"),
        replace(message, summary="GET /store/b"),
        replace(message, body=b"2"),
    ]
    assert first_difference([message], [message]) is None
    assert all(first_difference([message], [other]) is not None for other in changed)
    assert "no more messages" in str(first_difference([message, message], [message]))
    assert "no more messages" in str(first_difference([message], [message, message]))


def test_historical_version_runs_deterministically() -> None:
    traffic_run = run_day(1, production(), 10.0, 3)
    assert not traffic_run.errors and traffic_run.messages
    assert first_difference(traffic_run.messages, run_day(1, production(), 10.0, 3).messages) is None


def test_cluster_depends_on_the_seed_alone() -> None:
    present_cluster, other = make_cluster(SEED, PRESENT), make_cluster(SEED, production())
    assert (type(present_cluster), present_cluster.controller_count, present_cluster.max_clock_skew_s) == (
        type(other),
        other.controller_count,
        other.max_clock_skew_s,
    )


def test_hash_seed_is_fixed_by_a_process_restart(monkeypatch: pytest.MonkeyPatch) -> None:
    restart_environments: list[dict[str, str]] = []
    monkeypatch.setattr("os.execve", lambda path, arguments, environment: restart_environments.append(environment))
    monkeypatch.setenv("PYTHONHASHSEED", "0")
    traffic.fix_hash_seed()
    assert not restart_environments
    for value in ("", "random"):
        monkeypatch.setenv("PYTHONHASHSEED", value)
        traffic.fix_hash_seed()
    assert [environment["PYTHONHASHSEED"] for environment in restart_environments] == ["0", "0"]


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["--base", "no-such-commit"],
        ["--base", "--help-me"],
        ["--base", "HEAD", "--seeds", "0"],
        ["--base", "HEAD", "--seeds", "many"],
        ["--base", "HEAD", "--jobs", "-1"],
    ],
)
def test_invalid_arguments_are_reported_in_one_line(arguments: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as exit_info:
        traffic.main(arguments)
    assert exit_info.value.code == 2
    output = capsys.readouterr()
    assert output.err.count("\n") == 1 and not output.out


class RenamedPeer(msgspec.Struct, rename={"label": "node_name", "area": "site", "where": "peer_addr"}):
    label: str
    area: str
    where: str


def test_renamed_names_resolve_in_historical_versions(monkeypatch: pytest.MonkeyPatch) -> None:
    old = production()
    monkeypatch.setitem(versions.MODULES_IN_HISTORY, "settings_now", "settings")
    monkeypatch.setitem(versions.NAMES_IN_HISTORY, "settings_now:RenamedPeer", "Peer")
    monkeypatch.setitem(versions.ATTRIBUTES_IN_HISTORY, "label", "name")
    monkeypatch.setattr(RenamedPeer, "__module__", "roseweir.settings_now")
    assert old.module("settings_now") is old.module("settings")
    peer = old.adopt(RenamedPeer("n1", "a", "10.0.0.2:8081"))
    assert type(peer) is old.find("settings", "Peer")
    assert (peer.name, peer.zone, peer.address) == ("n1", "a", "10.0.0.2:8081")
    assert old.attribute(peer, "label") == "n1"
    # A class that moved here from another module.
    monkeypatch.setitem(versions.NAMES_IN_HISTORY, "controller.process:MovedPeer", "settings:Peer")
    assert old.find("controller.process", "MovedPeer") is old.find("settings", "Peer")


def test_version_without_the_old_name_resolves_the_present_name(monkeypatch: pytest.MonkeyPatch) -> None:
    old: Version = production()
    monkeypatch.setitem(versions.MODULES_IN_HISTORY, "settings", "settings_long_ago")
    monkeypatch.setitem(versions.NAMES_IN_HISTORY, "settings:Peer", "LongAgo")
    monkeypatch.setitem(versions.ATTRIBUTES_IN_HISTORY, "name", "long_ago")
    peer = old.adopt(Peer("n1", "a", "10.0.0.2:8081"))
    assert type(peer).__name__ == "Peer" and old.attribute(peer, "name") == "n1"
    assert old.attribute(None, "name") is None
