"""What the board tells, put into the account and the evidence."""

from datetime import datetime, timedelta

from roseweir.drain.budget import Account, lost_work
from roseweir.drain.evidence import Evidence
from roseweir.placement.board import Board
from roseweir.placement.model import JobRun, Machine, Placement
from roseweir.placement.watch import Cause
from roseweir.submissions.jobs import GANG
from roseweir.workers import messages as wire


class Watch:
    def __init__(self, board: Board, account: Account, evidence: Evidence) -> None:
        self.board = board
        self.account = account
        self.evidence = evidence

    def halted(self, placement: Placement, cause: Cause, now: datetime) -> None:
        run = placement.run
        if not run.over:
            lost = 0.0 if run.spec.checkpoint_s > 0 else lost_work(placement, now)
            self.account.take_down(run, [placement.index], cause, now, lost)

    def gone(self, placement: Placement, cause: Cause, now: datetime) -> None:
        run = placement.run
        if not run.over and not run.is_done(placement.index):
            self.account.take_down(run, [placement.index], cause, now, lost_work(placement, now))

    def runs(self, placement: Placement) -> None:
        run = placement.run
        if run.spec.kind == GANG and not self._all_run(run):
            return
        self.account.bring_up(run, [placement.index])

    def _all_run(self, run: JobRun) -> bool:
        """A gang is up when every mate runs: after a take-over some may be gone that were not heard of yet."""
        return len(run.placed) == run.spec.tasks and all(
            p.state == wire.RUNNING and p.halt_at is None for p in run.placed.values()
        )

    def done(self, run: JobRun, index: int) -> None:
        self.account.bring_up(run, [index])

    def over(self, run: JobRun) -> None:
        self.account.bring_up(run)

    def took(self, placement: Placement, taken: timedelta) -> None:
        usual = self.board.estimate(placement.run.spec)
        if usual > timedelta(0):
            self.evidence.took(placement.machine, taken / usual)

    def failed(self, machine: Machine, run: JobRun, now: datetime) -> None:
        self.evidence.failed(machine, run, now)

    def lapsed(self, machine: Machine, now: datetime) -> None:
        self.evidence.lapsed(machine, now)

    def recalled(self, machine: Machine, now: datetime) -> None:
        self.evidence.recalled(machine, now)
