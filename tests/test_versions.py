"""The version in production is extracted from the history, and shares no modules with the present one."""

from pathlib import Path

import pytest

from tests import versions
from tests.simulation.cluster import SimulatedCluster
from tests.versions import PRESENT, RENAMING_COMMIT, HistoryMissing, descends_from, extract, load, production


def test_missing_commit_fails_with_one_line_message(tmp_path: Path) -> None:
    with pytest.raises(HistoryMissing, match="does not hold version 0000000") as failure:
        extract("0" * 40, cache=tmp_path)
    assert "\n" not in str(failure.value)
    assert list(tmp_path.iterdir()) == []


def test_missing_git_fails_with_one_line_message(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("PATH", str(tmp_path))
    with pytest.raises(HistoryMissing, match="git is not installed"):
        extract("0" * 40, cache=tmp_path)


def test_extracted_version_is_cached(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    commit = versions.production_commit()
    package = extract(commit, cache=tmp_path)
    monkeypatch.setenv("PATH", str(tmp_path))
    assert extract(commit, cache=tmp_path) == package


def test_versions_share_no_modules() -> None:
    production_version = production()
    for path in ("controller.process", "submissions.jobs", "leader_election.election", "delivery_deadlines.controller"):
        assert production_version.module(path) is not PRESENT.module(path)
        assert production_version.module(path).__file__ != PRESENT.module(path).__file__
    assert production_version.find("leader_election.lease", "LeaderLease").__module__.startswith(
        production_version.package
    )
    assert production_version.find("controller.process", "SubmissionHandlers") is production_version.find(
        "submissions.handlers", "SubmissionHandlers"
    )


def test_cluster_of_production_version_runs_no_other_version() -> None:
    production_version = production()
    cluster = SimulatedCluster(1, without_random_faults=True, versions=[production_version] * 3)
    cluster.run(length_s=20, job_count=8)
    assert not cluster.errors and not cluster.rule_violations
    assert {type(service) for service in cluster.leader_by_term.values()} == {
        production_version.find("controller.process", "ControllerProcess")
    }


def test_name_that_had_another_meaning_in_between_is_not_mistaken() -> None:
    """The tables name `leadership` as the older name of `leader_election`; after the renaming both names exist.

    Looked up by its older name, the attribute of a version in between was an object of another class.
    """
    renamed_version, production_version = load(RENAMING_COMMIT), production()
    assert not renamed_version.has_older_names and production_version.has_older_names and not PRESENT.has_older_names
    cluster = SimulatedCluster(1, without_random_faults=True, versions=[renamed_version] * 3)
    cluster.run(length_s=20, job_count=8)
    assert not cluster.errors and not cluster.rule_violations
    for service in cluster.leader_by_term.values():
        assert hasattr(service, "leadership")
        assert renamed_version.attribute(service, "leader_election") is service.leader_election
    assert renamed_version.module("controller.leadership").__name__.startswith(renamed_version.package)


def test_descent_from_the_renaming_is_read_from_the_history() -> None:
    assert descends_from(RENAMING_COMMIT, RENAMING_COMMIT)
    assert not descends_from(versions.production_commit(), RENAMING_COMMIT)
    with pytest.raises(HistoryMissing, match="lacks"):
        descends_from("0" * 40, RENAMING_COMMIT)
