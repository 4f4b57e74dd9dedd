"""The one account of tasks that are down: whoever took them down, and how many more a drain may.

Pure. A task is down from its halt, or from when it was proven gone, until it runs again, is done, or its job is over;
a gang as a whole. Each task belongs to exactly one bucket, its team's part under one budget, and a bucket knows all
tasks that are down, for whatever cause. Decisions about stopping come in one order, the leader's, and each takes its
place in the account before the next is made (`reserve`). So what a drain stops never takes a bucket above its bound,
however many drains there are at once, but for one thing: with nothing down at all, one task or gang may go even if
the bound is less than that. Otherwise a share of a small team, or a gang larger than the bound, would hold a drain up
for ever.

After a take-over, whatever may be down counts as down until it is seen to run: tasks that the record of places knows
and no report has shown yet, tasks of a job below the highest that was ever placed which are neither done nor placed
(indices are handed out in ascending order, and given back ones first), and what the ledger adds to that: how far each
job with something down had come. Halts are in the ledger before they go out; other losses follow within a second.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any

from roseweir.clock import START
from roseweir.drain.settings import Budget, DrainSettings
from roseweir.placement.model import JobRun, Phase, Placement
from roseweir.placement.watch import Cause
from roseweir.submissions.jobs import GANG, SERVICE
from roseweir.workers import messages as wire

# Windows of a minute and an hour are counted in slots of this length, those at both ends included.
SLOT = timedelta(seconds=30)
MINUTE, HOUR = 3, 121
# What drains did.
OF_OURS = (Cause.DRAIN, Cause.FORCED)


@dataclass(slots=True)
class Bucket:
    """A team's tasks under one budget."""

    budget: Budget
    team: str
    tasks: int = 0  # down now
    gangs: int = 0
    runs: int = 0  # tasks that run, as last counted
    causes: dict[Cause, int] = field(default_factory=dict)  # down now, by cause
    ever: dict[Cause, int] = field(default_factory=dict)
    slots: dict[int, int] = field(default_factory=dict)  # tasks taken down, by slot
    lost_s: float = 0.0  # of work, since this leader began

    @property
    def most(self) -> int:
        """Tasks that may be down at once."""
        bounds = []
        if self.budget.share is not None:
            bounds.append(int(self.budget.share * (self.runs + self.tasks) + 1e-9))
        if self.budget.tasks is not None:
            bounds.append(self.budget.tasks)
        return min(bounds)

    def within(self, now: datetime, slots: int) -> int:
        last = slot_of(now)
        return sum(count for slot, count in self.slots.items() if slot > last - slots)

    def count(self, tasks: int, now: datetime) -> None:
        slot = slot_of(now)
        self.slots[slot] = self.slots.get(slot, 0) + tasks
        if len(self.slots) > HOUR + 8:
            self.slots = {s: n for s, n in self.slots.items() if s > slot - HOUR}

    def holds(self, tasks: int, gang: bool, now: datetime) -> str:
        """Why so many more tasks, or a gang of so many, may not be stopped now; "": they may."""
        budget = self.budget
        if budget.is_nothing:
            return f"the budget of team {self.team} allows nothing"
        if self.tasks > 0 and self.tasks + tasks > self.most:
            return f"budget of team {self.team}: {self.tasks} tasks of {self.most} are down"
        if gang and budget.gangs is not None and self.gangs + 1 > budget.gangs:
            return f"budget of team {self.team}: {self.gangs} gangs of {budget.gangs} are down"
        for most, slots, span in ((budget.per_minute, MINUTE, "minute"), (budget.per_hour, HOUR, "hour")):
            if most is not None:
                used = self.within(now, slots)
                if used > 0 and used + tasks > most:
                    return f"budget of team {self.team}: {used} tasks of {most} in this {span}"
        return ""


def slot_of(now: datetime) -> int:
    return int((now - START) / SLOT)


class Account:
    def __init__(self, settings: DrainSettings) -> None:
        self.settings = settings
        self.buckets: dict[tuple[int, str], Bucket] = {}
        self.down: dict[str, dict[int, Cause]] = {}
        self.changed = True  # since the ledger was last written
        self._keys: dict[tuple[str, str], tuple[int, str]] = {}

    def bucket(self, run: JobRun) -> Bucket:
        spec = run.spec
        key = self._keys.get((spec.team, spec.job_class))
        if key is None:
            key = self._keys[spec.team, spec.job_class] = (self.settings.row(spec.team, spec.job_class), spec.team)
        return self._bucket(key)

    def _bucket(self, key: tuple[int, str]) -> Bucket:
        bucket = self.buckets.get(key)
        if bucket is None:
            bucket = self.buckets[key] = Bucket(self.settings.budget(key[0]), key[1])
        return bucket

    # -- what happens to tasks ----------------------------------------------------------------

    def take_down(self, run: JobRun, indices: Iterable[int], cause: Cause, now: datetime, lost_s: float = 0.0) -> None:
        """They are down for this cause, unless they were already. A gang is down as a whole."""
        bucket = self.bucket(run)
        gang = run.spec.kind == GANG
        down = self.down.setdefault(run.spec.id, {})
        fresh = [i for i in (range(run.spec.tasks) if gang else indices) if i not in down and not run.is_done(i)]
        bucket.lost_s += lost_s
        if not fresh:
            if not down:
                del self.down[run.spec.id]
            return
        if gang and not down:
            bucket.gangs += 1
        for index in fresh:
            down[index] = cause
        bucket.tasks += len(fresh)
        # Until they are counted again: otherwise a share would be taken of them twice.
        bucket.runs = max(0, bucket.runs - len(fresh))
        bucket.causes[cause] = bucket.causes.get(cause, 0) + len(fresh)
        bucket.ever[cause] = bucket.ever.get(cause, 0) + len(fresh)
        if cause != Cause.UNKNOWN:
            # When it was taken down is not known; the ledger tells, as far as it was counted in a window.
            bucket.count(len(fresh), now)
        self.changed = True

    def bring_up(self, run: JobRun, indices: Iterable[int] | None = None) -> None:
        """They run again, or nobody waits for them any more. None: all of the job."""
        down = self.down.get(run.spec.id)
        if down is None:
            return
        bucket = self.bucket(run)
        for index in list(down) if indices is None or run.spec.kind == GANG else indices:
            was = down.pop(index, None)
            if was is not None:
                bucket.tasks -= 1
                bucket.causes[was] -= 1
        if not down:
            del self.down[run.spec.id]
            if run.spec.kind == GANG:
                bucket.gangs -= 1
        self.changed = True

    def is_down(self, run: JobRun, index: int) -> bool:
        return index in self.down.get(run.spec.id, ())

    # -- what may be stopped ------------------------------------------------------------------

    def count_running(self, runs: Iterable[JobRun]) -> None:
        """How many tasks of each bucket run: what shares are taken of."""
        for bucket in self.buckets.values():
            bucket.runs = 0
        for run in runs:
            if run.placed and not run.over:
                down = self.down.get(run.spec.id, {})
                self.bucket(run).runs += sum(
                    p.state == wire.RUNNING and p.halt_at is None and p.index not in down for p in run.placed.values()
                )

    def reserve(self, run: JobRun, indices: list[int], now: datetime) -> str:
        """Take the place of a stop that is about to be decided; why not, or ""."""
        spec = run.spec
        gang = spec.kind == GANG
        tasks = spec.tasks - run.done_count if gang else len(indices)
        bucket = self.bucket(run)
        if spec.kind == SERVICE:
            why = self._replicas(run, bucket.budget, tasks)
            if why:
                return why
        why = bucket.holds(tasks, gang, now)
        if not why:
            self.take_down(run, indices, Cause.DRAIN, now)
        return why

    def _replicas(self, run: JobRun, budget: Budget, tasks: int) -> str:
        """One replica at a time, and never fewer up than the operators say."""
        down = len(self.down.get(run.spec.id, ()))
        if down:
            return f"service {run.spec.id}: {down} of its replicas are down"
        up = sum(p.state == wire.RUNNING and p.halt_at is None for p in run.placed.values())
        if budget.replicas_least is not None and up - tasks < budget.replicas_least:
            return f"service {run.spec.id}: {up} replicas up, {budget.replicas_least} are the least"
        return ""

    def exceeds(self, run: JobRun, tasks: int) -> bool:
        """So many tasks that were reserved no longer fit: others went down while it was being recorded."""
        bucket = self.bucket(run)
        return bucket.tasks > max(bucket.most, tasks)

    def is_hurt(self, run: JobRun) -> bool:
        """The budget is used up by what was not our doing: nothing more is begun for this team."""
        bucket = self.bucket(run)
        theirs = bucket.tasks - sum(bucket.causes.get(cause, 0) for cause in OF_OURS)
        return theirs > 0 and bucket.tasks >= bucket.most

    # -- take-overs ---------------------------------------------------------------------------

    def begin(self, runs: Iterable[JobRun], reached: dict[str, int], now: datetime) -> None:
        """What may be down as this leader begins. `reached`: how far each job with something down had come."""
        for run in runs:
            if run.over:
                continue
            upto = max(run.placed_upto, reached.get(run.spec.id, 0))
            unknown = [i for i in range(min(upto, run.spec.tasks)) if not run.is_done(i) and self._may_be_down(run, i)]
            if unknown:
                self.take_down(run, unknown, Cause.UNKNOWN, now)

    def _may_be_down(self, run: JobRun, index: int) -> bool:
        placement = run.placed.get(index)
        if placement is None:
            return True
        return placement.phase not in (Phase.PLANNED, Phase.READY) and placement.state != wire.RUNNING

    def reached(self, runs: dict[str, JobRun]) -> dict[str, int]:
        """For the ledger: how far each job with something down has come, gangs first."""
        found = [runs[job_id] for job_id in self.down if job_id in runs]
        found.sort(key=lambda run: (run.spec.kind != GANG, run.spec.id))
        return {run.spec.id: max(run.placed_upto, max(self.down[run.spec.id]) + 1) for run in found}

    def windows(self, now: datetime, wall_ms: int) -> dict[str, list[list[int]]]:
        """For the ledger: counts by slot of the wall clock, where a budget has a bound for a minute or an hour."""
        found: dict[str, list[list[int]]] = {}
        first = slot_of(now) - HOUR
        shift = wall_ms - round((now - START).total_seconds() * 1000)
        for (row, team), bucket in self.buckets.items():
            if bucket.budget.per_minute is None and bucket.budget.per_hour is None:
                continue
            span = round(SLOT.total_seconds() * 1000)
            counts = [[(slot * span + shift) // 1000, n] for slot, n in sorted(bucket.slots.items()) if slot > first]
            if counts:
                found[f"{row}/{team}"] = counts
        return found

    def take_windows(self, kept: dict[str, Any], now: datetime, wall_ms: int) -> None:
        """Counts of earlier leaders. Rows are named by their order: with other settings each counts where it fits."""
        for name, counts in kept.items():
            row, _, team = name.partition("/")
            if not row.lstrip("-").isdigit() or int(row) >= len(self.settings.budgets):
                continue
            bucket = self._bucket((int(row), team))
            for at_s, count in counts:
                # A second later than it was: clocks differ, and a window must not end early.
                age = timedelta(milliseconds=max(0, wall_ms - at_s * 1000 - 1000))
                slot = slot_of(now - age)
                bucket.slots[slot] = bucket.slots.get(slot, 0) + int(count)

    def describe(self) -> list[dict[str, Any]]:
        rows = []
        for bucket in sorted(self.buckets.values(), key=lambda b: (b.team, b.budget.job_class or "")):
            rows.append(
                {
                    "team": bucket.team,
                    "class": bucket.budget.job_class,
                    "running": bucket.runs,
                    "may_be_down": bucket.most,
                    "down": bucket.tasks,
                    "gangs_down": bucket.gangs,
                    "by": {cause.value: n for cause, n in bucket.causes.items() if n},
                    "since_the_leader_began": {cause.value: n for cause, n in bucket.ever.items()},
                    "work_lost_s": round(bucket.lost_s, 1),
                }
            )
        return rows


def lost_work(placement: Placement, now: datetime) -> float:
    """Seconds of work that end with the task: since it began or last saved by itself; none if it can save."""
    spec = placement.run.spec
    if placement.running_since is None or spec.kind == SERVICE:
        return 0.0
    ran = (now - placement.running_since).total_seconds()
    return ran % spec.checkpoint_s if spec.checkpoint_s > 0 else ran
