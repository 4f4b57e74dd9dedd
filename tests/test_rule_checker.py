"""Proof that the rules' checker works: a service broken on purpose is caught on some seeded day."""

from collections.abc import Callable
from datetime import timedelta

import pytest

from roseweir.cloud import controller as cloud_desk
from roseweir.kv_store import KeyValueStoreClient
from roseweir.leader_election.election import LeaderLease
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import JobRun, Placement, PlacementPhase
from roseweir.scheduler.recovery import LogRecovery
from roseweir.submissions import job_status
from roseweir.workers import messages as wire
from roseweir.workers.answer_authority import AnswerAuthority
from tests.simulation.cluster import SimulatedCluster

Break = Callable[[pytest.MonkeyPatch], None]


def no_write_ahead(patch: pytest.MonkeyPatch) -> None:
    """Orders go out before they are recorded."""
    place = ClusterState.add_placement

    def placed(self: ClusterState, *args: object, **more: object) -> Placement:
        placement = place(self, *args, **more)  # type: ignore[arg-type]
        if placement.phase == PlacementPhase.PLANNED:
            placement.phase = PlacementPhase.COMMITTED
            self.dirty_machines.discard(placement.machine.name)
        return placement

    patch.setattr(ClusterState, "add_placement", placed)


def no_records_read(patch: pytest.MonkeyPatch) -> None:
    """A new leader ignores what earlier ones recorded."""

    def forget(self: LogRecovery, found: object) -> None: ...

    patch.setattr(LogRecovery, "_restore_placements", forget)


def keep_silent_machines(patch: pytest.MonkeyPatch) -> None:
    """Giving back machines that went silent would hide what the two variants below do wrong."""
    patch.setattr(cloud_desk, "plan_scale_in", lambda board, left, now, kept: [])


def no_fencing(patch: pytest.MonkeyPatch) -> None:
    """A leader that was deposed goes on: no terms on answers, no guards, no look at the lease."""
    keep_silent_machines(patch)
    txn = KeyValueStoreClient.compare_and_swap

    async def unguarded(self: KeyValueStoreClient, guards: object, ops: list[dict[str, object]]) -> int:
        kept = [g for g in guards if not g[0].startswith(("lead/leader", "places/"))]  # type: ignore[attr-defined]
        return await txn(self, guards if any("tenancy" in op for op in ops) else kept, ops)  # type: ignore[arg-type]

    patch.setattr(KeyValueStoreClient, "compare_and_swap", unguarded)
    patch.setattr(LeaderLease, "is_valid", lambda self: True)
    patch.setattr(LeaderLease, "end", lambda self, reason: None)
    patch.setattr(AnswerAuthority, "may_answer", lambda self, now: True)
    patch.setattr(wire, "heartbeat_response", lambda term, orders: {"warrant": 1, "orders": orders})


def hasty_absence(patch: pytest.MonkeyPatch) -> None:
    """A silent machine's tasks count as gone before its lease has run out."""
    init = ClusterState.__init__

    def short(self: ClusterState, *args: object, **more: object) -> None:
        init(self, *args, **more)  # type: ignore[arg-type]
        self.max_lease_duration = timedelta(seconds=2)
        self.previous_leader_lease_expiry = self.term_started_at

    patch.setattr(ClusterState, "__init__", short)


def endless_holdover(patch: pytest.MonkeyPatch) -> None:
    """A leader without news goes on keeping tasks alive."""
    keep_silent_machines(patch)
    patch.setattr(AnswerAuthority, "may_answer", lambda self, now: True)
    patch.setattr(LeaderLease, "end", lambda self, reason: None)


def no_quota(patch: pytest.MonkeyPatch) -> None:
    from roseweir.scheduler import reservations, scheduling_pass

    for caller in (scheduling_pass, reservations):
        patch.setattr(caller, "tasks_within_team_limit", lambda board, spec, claim: 1 << 30)


def no_zones(patch: pytest.MonkeyPatch) -> None:
    from roseweir.scheduler import preemption, task_placement

    def anywhere(run: JobRun, zone: str) -> int:
        return 1 << 30

    for caller in (task_placement, preemption):
        patch.setattr(caller, "max_tasks_in_zone", anywhere)


def polls_from_memory(patch: pytest.MonkeyPatch) -> None:
    """A node answers from what it has read before."""
    read = job_status.JobStatusReader.read
    known: dict[tuple[int, str], object] = {}

    async def remembered(self: job_status.JobStatusReader, job_id: str) -> object:
        key = (id(self), job_id)
        if key not in known:
            known[key] = await read(self, job_id)
        return known[key]

    patch.setattr(job_status.JobStatusReader, "read", remembered)


def done_too_early(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        JobRun, "is_complete", property(lambda self: self.completed_count >= max(1, self.spec.task_count - 1))
    )


def cancels_unheard(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ClusterState, "end_job", lambda self, job_id, ended, now: None)


@pytest.mark.parametrize(
    ("broken", "rule"),
    [
        (no_write_ahead, "ran_twice"),
        (no_records_read, "ran_twice"),
        (no_fencing, ""),
        (hasty_absence, "ran_twice"),
        (endless_holdover, "ran_cancelled"),
        (no_quota, "quota"),
        (no_zones, "wrong_place"),
        (polls_from_memory, ""),
        (done_too_early, "not_done"),
        (cancels_unheard, "ran_cancelled"),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_broken_variant_is_caught(broken: Break, rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    broken(monkeypatch)
    for seed in range(40):
        troubles = ["deaf", "cut"] if seed % 2 else None
        if any(rule in str(error) for error in SimulatedCluster(seed, faults=troubles).run().rule_violations):
            return
    pytest.fail("no seed caught it")
