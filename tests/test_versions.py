"""The version in production beside the present one: where it comes from, and that the two don't mix."""

from pathlib import Path

import pytest

from tests import versions
from tests.simulation.cluster import SimulatedCluster
from tests.versions import PRESENT, HistoryMissing, extract, production


def test_a_commit_that_the_history_lacks_fails_with_one_line(tmp_path: Path) -> None:
    with pytest.raises(HistoryMissing, match="does not hold version 0000000") as failure:
        extract("0" * 40, cache=tmp_path)
    assert "\n" not in str(failure.value)
    assert list(tmp_path.iterdir()) == []


def test_without_git_it_fails_with_one_line(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("PATH", str(tmp_path))
    with pytest.raises(HistoryMissing, match="git is not installed"):
        extract("0" * 40, cache=tmp_path)


def test_what_was_taken_from_the_history_is_kept(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    commit = versions.production_commit()
    package = extract(commit, cache=tmp_path)
    monkeypatch.setenv("PATH", str(tmp_path))
    assert extract(commit, cache=tmp_path) == package


def test_the_versions_share_no_module() -> None:
    old = production()
    for path in ("controller.process", "submissions.jobs", "leader_election.election", "delivery_deadlines.controller"):
        assert old.module(path) is not PRESENT.module(path)
        assert old.module(path).__file__ != PRESENT.module(path).__file__
    assert old.find("leader_election.lease", "LeaderLease").__module__.startswith(old.package)
    assert old.find("controller.process", "SubmissionHandlers") is old.find(
        "submissions.handlers", "SubmissionHandlers"
    )


def test_a_world_of_production_alone_runs_production_alone() -> None:
    old = production()
    cluster = SimulatedCluster(1, is_calm=True, versions=[old] * 3)
    cluster.run(length_s=20, job_count=8)
    assert not cluster.errors and not cluster.rule_violations
    assert {type(service) for service in cluster.leader_by_term.values()} == {
        old.find("controller.process", "ControllerProcess")
    }
