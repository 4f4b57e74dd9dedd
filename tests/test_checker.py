"""Proof that the rules' checker works: a service broken on purpose is caught on some seeded day."""

from collections.abc import Callable
from datetime import timedelta

import pytest

from roseweir.cloud import desk as cloud_desk
from roseweir.leadership.leadership import Term
from roseweir.placement.board import Board
from roseweir.placement.model import JobRun, Phase, Placement
from roseweir.placement.recorder import Recorder
from roseweir.state import StateClient
from roseweir.submissions import desk
from roseweir.workers import messages as wire
from roseweir.workers.desk import WorkerDesk
from tests.world import World

Break = Callable[[pytest.MonkeyPatch], None]


def no_write_ahead(patch: pytest.MonkeyPatch) -> None:
    """Orders go out before they are recorded."""
    place = Board.place

    def placed(self: Board, *args: object, **more: object) -> Placement:
        placement = place(self, *args, **more)  # type: ignore[arg-type]
        if placement.phase == Phase.PLANNED:
            placement.phase = Phase.READY
            self.dirty_machines.discard(placement.machine.name)
        return placement

    patch.setattr(Board, "place", placed)


def no_records_read(patch: pytest.MonkeyPatch) -> None:
    """A new leader ignores what earlier ones recorded."""

    def forget(self: Recorder, found: object) -> None: ...

    patch.setattr(Recorder, "_restore_tasks", forget)


def keep_silent_machines(patch: pytest.MonkeyPatch) -> None:
    """Giving back machines that went silent would hide what the two variants below do wrong."""
    patch.setattr(cloud_desk, "surplus", lambda board, left, now, kept: [])


def no_fencing(patch: pytest.MonkeyPatch) -> None:
    """A leader that was deposed goes on: no terms on answers, no guards, no look at the lease."""
    keep_silent_machines(patch)
    txn = StateClient.txn

    async def unguarded(self: StateClient, guards: object, ops: list[dict[str, object]]) -> int:
        kept = [g for g in guards if not g[0].startswith(("lead/leader", "places/"))]  # type: ignore[attr-defined]
        return await txn(self, guards if any("tenancy" in op for op in ops) else kept, ops)  # type: ignore[arg-type]

    patch.setattr(StateClient, "txn", unguarded)
    patch.setattr(Term, "may_run", lambda self: True)
    patch.setattr(Term, "end", lambda self, reason: None)
    patch.setattr(WorkerDesk, "may_answer", lambda self, now: True)
    patch.setattr(wire, "answer", lambda term, orders: {"warrant": 1, "orders": orders})


def hasty_absence(patch: pytest.MonkeyPatch) -> None:
    """A silent machine's tasks count as gone before its lease has run out."""
    init = Board.__init__

    def short(self: Board, *args: object, **more: object) -> None:
        init(self, *args, **more)  # type: ignore[arg-type]
        self.lease = timedelta(seconds=2)
        self.unproven_until = self.began

    patch.setattr(Board, "__init__", short)


def endless_holdover(patch: pytest.MonkeyPatch) -> None:
    """A leader without news goes on keeping tasks alive."""
    keep_silent_machines(patch)
    patch.setattr(WorkerDesk, "may_answer", lambda self, now: True)
    patch.setattr(Term, "end", lambda self, reason: None)


def no_quota(patch: pytest.MonkeyPatch) -> None:
    from roseweir.placement import plan

    patch.setattr(plan, "quota", lambda board, spec, claim: 1 << 30)


def no_zones(patch: pytest.MonkeyPatch) -> None:
    from roseweir.placement import plan

    def anywhere(run: JobRun, zone: str) -> int:
        return 1 << 30

    patch.setattr(plan, "_zone_room", anywhere)


def polls_from_memory(patch: pytest.MonkeyPatch) -> None:
    """A node answers from what it has read before."""
    read = desk.Desk._read
    known: dict[tuple[int, str], object] = {}

    async def remembered(self: desk.Desk, job_id: str) -> object:
        key = (id(self), job_id)
        if key not in known:
            known[key] = await read(self, job_id)
        return known[key]

    patch.setattr(desk.Desk, "_read", remembered)


def done_too_early(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(JobRun, "complete", property(lambda self: self.done_count >= max(1, self.spec.tasks - 1)))


def cancels_unheard(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Board, "end_job", lambda self, job_id, ended, now: None)


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
        if any(rule in str(error) for error in World(seed, troubles=troubles).play().broken):
            return
    pytest.fail("no seed caught it")
