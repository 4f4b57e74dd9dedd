"""The simulation's rule checks work: each variant of the service with a fault breaks the expected rule on some seed."""

from collections.abc import Callable
from datetime import timedelta

import pytest

from roseweir.cloud import controller as cloud_controller
from roseweir.kv_store import KeyValueStoreClient
from roseweir.leader_election.election import LeaderLease
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import JobRun, Placement, PlacementPhase
from roseweir.scheduler.recovery import LogRecovery
from roseweir.submissions import job_status
from roseweir.workers import messages as wire
from roseweir.workers.answer_authority import AnswerAuthority
from tests.simulation.cluster import SimulatedCluster

BreakService = Callable[[pytest.MonkeyPatch], None]


def commands_sent_before_log_write(patch: pytest.MonkeyPatch) -> None:
    """Commands are sent before the log write that records them."""
    add_placement = ClusterState.add_placement

    def add_committed_placement(self: ClusterState, *args: object, **options: object) -> Placement:
        placement = add_placement(self, *args, **options)  # type: ignore[arg-type]
        if placement.phase == PlacementPhase.PLANNED:
            placement.phase = PlacementPhase.COMMITTED
            self.dirty_machines.discard(placement.machine.name)
        return placement

    patch.setattr(ClusterState, "add_placement", add_committed_placement)


def no_log_recovery(patch: pytest.MonkeyPatch) -> None:
    """A new leader ignores the placements that earlier leaders recorded."""

    def restore_nothing(self: LogRecovery, starts: object) -> None: ...

    patch.setattr(LogRecovery, "_restore_placements", restore_nothing)


def keep_unreachable_machines(patch: pytest.MonkeyPatch) -> None:
    """Releases no machines: releasing unreachable ones would hide the faults of two variants below."""
    patch.setattr(cloud_controller, "plan_scale_in", lambda cluster_state, last_pass, now, kept_machines: [])


def no_fencing(patch: pytest.MonkeyPatch) -> None:
    """A deposed leader continues: no fencing tokens in answers, no guards on writes, no check of the lease."""
    keep_unreachable_machines(patch)
    compare_and_swap = KeyValueStoreClient.compare_and_swap

    async def unguarded(self: KeyValueStoreClient, guards: object, ops: list[dict[str, object]]) -> int:
        unfenced_guards = [guard for guard in guards if not guard[0].startswith(("lead/leader", "places/"))]  # type: ignore[attr-defined]
        return await compare_and_swap(self, guards if any("tenancy" in op for op in ops) else unfenced_guards, ops)  # type: ignore[arg-type]

    patch.setattr(KeyValueStoreClient, "compare_and_swap", unguarded)
    patch.setattr(LeaderLease, "is_valid", lambda self: True)
    patch.setattr(LeaderLease, "end", lambda self, reason: None)
    patch.setattr(AnswerAuthority, "may_answer", lambda self, now: True)
    patch.setattr(wire, "heartbeat_response", lambda fencing_token, commands: {"warrant": 1, "orders": commands})


def tasks_lost_before_lease_expiry(patch: pytest.MonkeyPatch) -> None:
    """Tasks of an unreachable machine count as lost before the machine's lease has expired."""
    init = ClusterState.__init__

    def init_with_short_lease(self: ClusterState, *args: object, **options: object) -> None:
        init(self, *args, **options)  # type: ignore[arg-type]
        self.max_lease_duration = timedelta(seconds=2)
        self.previous_leader_lease_expiry = self.term_started_at

    patch.setattr(ClusterState, "__init__", init_with_short_lease)


def leader_answers_after_lease_expiry(patch: pytest.MonkeyPatch) -> None:
    """A leader that can't read the key-value store still renews the leases of workers."""
    keep_unreachable_machines(patch)
    patch.setattr(AnswerAuthority, "may_answer", lambda self, now: True)
    patch.setattr(LeaderLease, "end", lambda self, reason: None)


def no_team_limit(patch: pytest.MonkeyPatch) -> None:
    from roseweir.scheduler import reservations, scheduling_pass

    for caller in (scheduling_pass, reservations):
        patch.setattr(caller, "tasks_within_team_limit", lambda cluster_state, spec, gang_claim: 1 << 30)


def no_zone_limit(patch: pytest.MonkeyPatch) -> None:
    from roseweir.scheduler import preemption, task_placement

    def no_limit(job_run: JobRun, zone: str) -> int:
        return 1 << 30

    for caller in (task_placement, preemption):
        patch.setattr(caller, "max_tasks_in_zone", no_limit)


def polls_from_cache(patch: pytest.MonkeyPatch) -> None:
    """A controller answers polls from a cache that it never refreshes."""
    read = job_status.JobStatusReader.read
    cached_answers: dict[tuple[int, str], object] = {}

    async def read_cached(self: job_status.JobStatusReader, job_id: str) -> object:
        key = (id(self), job_id)
        if key not in cached_answers:
            cached_answers[key] = await read(self, job_id)
        return cached_answers[key]

    patch.setattr(job_status.JobStatusReader, "read", read_cached)


def job_done_too_early(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        JobRun, "is_complete", property(lambda self: self.completed_count >= max(1, self.spec.task_count - 1))
    )


def cancels_ignored(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ClusterState, "end_job", lambda self, job_id, ended, now: None)


@pytest.mark.parametrize(
    ("break_service", "rule"),
    [
        (commands_sent_before_log_write, "ran_twice"),
        (no_log_recovery, "ran_twice"),
        (no_fencing, ""),
        (tasks_lost_before_lease_expiry, "ran_twice"),
        (leader_answers_after_lease_expiry, "ran_cancelled"),
        (no_team_limit, "quota"),
        (no_zone_limit, "wrong_place"),
        (polls_from_cache, ""),
        (job_done_too_early, "not_done"),
        (cancels_ignored, "ran_cancelled"),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_broken_variant_is_caught(break_service: BreakService, rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    break_service(monkeypatch)
    for seed in range(40):
        faults = ["deaf", "cut"] if seed % 2 else None
        if any(rule in str(error) for error in SimulatedCluster(seed, faults=faults).run().rule_violations):
            return
    pytest.fail("no seed caught it")
