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

from roseweir.clock import MONOTONIC_ORIGIN
from roseweir.drain.settings import DisruptionBudget, DrainSettings
from roseweir.scheduler.lifecycle_events import DowntimeCause
from roseweir.scheduler.model import JobRun, Placement, PlacementPhase
from roseweir.submissions.jobs import GANG, SERVICE
from roseweir.workers import messages as wire

# Windows of a minute and an hour are counted in slots of this length, those at both ends included.
RATE_SLOT_DURATION = timedelta(seconds=30)
MINUTE_SLOT_COUNT, HOUR_SLOT_COUNT = 3, 121
# What drains did.
DRAIN_CAUSES = (DowntimeCause.DRAIN, DowntimeCause.FORCED_DRAIN)


@dataclass(slots=True)
class BudgetUsage:
    """A team's tasks under one budget."""

    budget: DisruptionBudget
    team: str
    tasks_down: int = 0  # down now
    gangs_down: int = 0
    tasks_running: int = 0  # tasks that run, as last counted
    down_by_cause: dict[DowntimeCause, int] = field(default_factory=dict)  # down now, by cause
    total_by_cause: dict[DowntimeCause, int] = field(default_factory=dict)
    disruptions_by_slot: dict[int, int] = field(default_factory=dict)  # tasks taken down, by slot
    work_lost_s: float = 0.0  # of work, since this leader began

    @property
    def max_tasks_down(self) -> int:
        """Tasks that may be down at once."""
        bounds = []
        if self.budget.share is not None:
            bounds.append(int(self.budget.share * (self.tasks_running + self.tasks_down) + 1e-9))
        if self.budget.tasks is not None:
            bounds.append(self.budget.tasks)
        return min(bounds)

    def disruptions_within(self, now: datetime, slot_count: int) -> int:
        last_slot = rate_slot_of(now)
        return sum(count for slot, count in self.disruptions_by_slot.items() if slot > last_slot - slot_count)

    def record_disruptions(self, tasks: int, now: datetime) -> None:
        slot = rate_slot_of(now)
        self.disruptions_by_slot[slot] = self.disruptions_by_slot.get(slot, 0) + tasks
        if len(self.disruptions_by_slot) > HOUR_SLOT_COUNT + 8:
            self.disruptions_by_slot = {s: n for s, n in self.disruptions_by_slot.items() if s > slot - HOUR_SLOT_COUNT}

    def refusal_reason(self, tasks: int, is_gang: bool, now: datetime) -> str:
        """Why so many more tasks, or a gang of so many, may not be stopped now; "": they may."""
        budget = self.budget
        if budget.forbids_all:
            return f"the budget of team {self.team} allows nothing"
        if self.tasks_down > 0 and self.tasks_down + tasks > self.max_tasks_down:
            return f"budget of team {self.team}: {self.tasks_down} tasks of {self.max_tasks_down} are down"
        if is_gang and budget.gangs is not None and self.gangs_down + 1 > budget.gangs:
            return f"budget of team {self.team}: {self.gangs_down} gangs of {budget.gangs} are down"
        for max_disruptions, slot_count, window_name in (
            (budget.per_minute, MINUTE_SLOT_COUNT, "minute"),
            (budget.per_hour, HOUR_SLOT_COUNT, "hour"),
        ):
            if max_disruptions is not None:
                disruptions = self.disruptions_within(now, slot_count)
                if disruptions > 0 and disruptions + tasks > max_disruptions:
                    return f"budget of team {self.team}: {disruptions} tasks of {max_disruptions} in this {window_name}"
        return ""


def rate_slot_of(now: datetime) -> int:
    return int((now - MONOTONIC_ORIGIN) / RATE_SLOT_DURATION)


class DisruptionAccount:
    def __init__(self, settings: DrainSettings) -> None:
        self.settings = settings
        self.usage_by_key: dict[tuple[int, str], BudgetUsage] = {}
        self.down_tasks: dict[str, dict[int, DowntimeCause]] = {}
        self.has_unsaved_changes = True  # since the ledger was last written
        self._usage_keys: dict[tuple[str, str], tuple[int, str]] = {}

    def usage_of(self, run: JobRun) -> BudgetUsage:
        spec = run.spec
        key = self._usage_keys.get((spec.team, spec.job_class))
        if key is None:
            key = self._usage_keys[spec.team, spec.job_class] = (
                self.settings.budget_index(spec.team, spec.job_class),
                spec.team,
            )
        return self._usage_for_key(key)

    def _usage_for_key(self, key: tuple[int, str]) -> BudgetUsage:
        usage = self.usage_by_key.get(key)
        if usage is None:
            usage = self.usage_by_key[key] = BudgetUsage(self.settings.budget_at(key[0]), key[1])
        return usage

    # -- what happens to tasks ----------------------------------------------------------------

    def mark_down(
        self, run: JobRun, indices: Iterable[int], cause: DowntimeCause, now: datetime, lost_s: float = 0.0
    ) -> None:
        """They are down for this cause, unless they were already. A gang is down as a whole."""
        usage = self.usage_of(run)
        is_gang = run.spec.job_type == GANG
        down = self.down_tasks.setdefault(run.spec.id, {})
        newly_down = [
            i for i in (range(run.spec.task_count) if is_gang else indices) if i not in down and not run.is_completed(i)
        ]
        usage.work_lost_s += lost_s
        if not newly_down:
            if not down:
                del self.down_tasks[run.spec.id]
            return
        if is_gang and not down:
            usage.gangs_down += 1
        for index in newly_down:
            down[index] = cause
        usage.tasks_down += len(newly_down)
        # Until they are counted again: otherwise a share would be taken of them twice.
        usage.tasks_running = max(0, usage.tasks_running - len(newly_down))
        usage.down_by_cause[cause] = usage.down_by_cause.get(cause, 0) + len(newly_down)
        usage.total_by_cause[cause] = usage.total_by_cause.get(cause, 0) + len(newly_down)
        if cause != DowntimeCause.UNKNOWN:
            # When it was taken down is not known; the ledger tells, as far as it was counted in a window.
            usage.record_disruptions(len(newly_down), now)
        self.has_unsaved_changes = True

    def mark_up(self, run: JobRun, indices: Iterable[int] | None = None) -> None:
        """They run again, or nobody waits for them any more. None: all of the job."""
        down = self.down_tasks.get(run.spec.id)
        if down is None:
            return
        usage = self.usage_of(run)
        for index in list(down) if indices is None or run.spec.job_type == GANG else indices:
            cause = down.pop(index, None)
            if cause is not None:
                usage.tasks_down -= 1
                usage.down_by_cause[cause] -= 1
        if not down:
            del self.down_tasks[run.spec.id]
            if run.spec.job_type == GANG:
                usage.gangs_down -= 1
        self.has_unsaved_changes = True

    def is_down(self, run: JobRun, index: int) -> bool:
        return index in self.down_tasks.get(run.spec.id, ())

    # -- what may be stopped ------------------------------------------------------------------

    def count_running(self, runs: Iterable[JobRun]) -> None:
        """How many tasks of each bucket run: what shares are taken of."""
        for usage in self.usage_by_key.values():
            usage.tasks_running = 0
        for run in runs:
            if run.placements and not run.final_state:
                down = self.down_tasks.get(run.spec.id, {})
                self.usage_of(run).tasks_running += sum(
                    p.state == wire.RUNNING and p.stop_requested_at is None and p.index not in down
                    for p in run.placements.values()
                )

    def reserve_disruption(self, run: JobRun, indices: list[int], now: datetime) -> str:
        """Take the place of a stop that is about to be decided; why not, or ""."""
        spec = run.spec
        is_gang = spec.job_type == GANG
        tasks = spec.task_count - run.completed_count if is_gang else len(indices)
        usage = self.usage_of(run)
        if spec.job_type == SERVICE:
            refusal = self._replica_refusal_reason(run, usage.budget, tasks)
            if refusal:
                return refusal
        refusal = usage.refusal_reason(tasks, is_gang, now)
        if not refusal:
            self.mark_down(run, indices, DowntimeCause.DRAIN, now)
        return refusal

    def _replica_refusal_reason(self, run: JobRun, budget: DisruptionBudget, tasks: int) -> str:
        """One replica at a time, and never fewer up than the operators say."""
        replicas_down = len(self.down_tasks.get(run.spec.id, ()))
        if replicas_down:
            return f"service {run.spec.id}: {replicas_down} of its replicas are down"
        replicas_up = sum(p.state == wire.RUNNING and p.stop_requested_at is None for p in run.placements.values())
        if budget.replicas_least is not None and replicas_up - tasks < budget.replicas_least:
            return f"service {run.spec.id}: {replicas_up} replicas up, {budget.replicas_least} are the least"
        return ""

    def exceeds_budget(self, run: JobRun, tasks: int) -> bool:
        """So many tasks that were reserved no longer fit: others went down while it was being recorded."""
        usage = self.usage_of(run)
        return usage.tasks_down > max(usage.max_tasks_down, tasks)

    def is_exhausted_by_losses(self, run: JobRun) -> bool:
        """The budget is used up by what was not our doing: nothing more is begun for this team."""
        usage = self.usage_of(run)
        lost_tasks = usage.tasks_down - sum(usage.down_by_cause.get(cause, 0) for cause in DRAIN_CAUSES)
        return lost_tasks > 0 and usage.tasks_down >= usage.max_tasks_down

    # -- take-overs ---------------------------------------------------------------------------

    def assume_down_after_failover(
        self, runs: Iterable[JobRun], placement_progress: dict[str, int], now: datetime
    ) -> None:
        """What may be down as this leader begins. `reached`: how far each job with something down had come."""
        for run in runs:
            if run.final_state:
                continue
            placed_count = max(run.placed_index_bound, placement_progress.get(run.spec.id, 0))
            unknown = [
                i
                for i in range(min(placed_count, run.spec.task_count))
                if not run.is_completed(i) and self._may_be_down(run, i)
            ]
            if unknown:
                self.mark_down(run, unknown, DowntimeCause.UNKNOWN, now)

    def _may_be_down(self, run: JobRun, index: int) -> bool:
        placement = run.placements.get(index)
        if placement is None:
            return True
        return (
            placement.phase not in (PlacementPhase.PLANNED, PlacementPhase.COMMITTED)
            and placement.state != wire.RUNNING
        )

    def placement_progress(self, runs: dict[str, JobRun]) -> dict[str, int]:
        """For the ledger: how far each job with something down has come, gangs first."""
        disrupted_runs = [runs[job_id] for job_id in self.down_tasks if job_id in runs]
        disrupted_runs.sort(key=lambda run: (run.spec.job_type != GANG, run.spec.id))
        return {
            run.spec.id: max(run.placed_index_bound, max(self.down_tasks[run.spec.id]) + 1) for run in disrupted_runs
        }

    def encode_rate_windows(self, now: datetime, wall_ms: int) -> dict[str, list[list[int]]]:
        """For the ledger: counts by slot of the wall clock, where a budget has a bound for a minute or an hour."""
        windows: dict[str, list[list[int]]] = {}
        first_slot = rate_slot_of(now) - HOUR_SLOT_COUNT
        wall_offset_ms = wall_ms - round((now - MONOTONIC_ORIGIN).total_seconds() * 1000)
        for (row, team), usage in self.usage_by_key.items():
            if usage.budget.per_minute is None and usage.budget.per_hour is None:
                continue
            slot_ms = round(RATE_SLOT_DURATION.total_seconds() * 1000)
            counts = [
                [(slot * slot_ms + wall_offset_ms) // 1000, n]
                for slot, n in sorted(usage.disruptions_by_slot.items())
                if slot > first_slot
            ]
            if counts:
                windows[f"{row}/{team}"] = counts
        return windows

    def restore_rate_windows(self, stored_windows: dict[str, Any], now: datetime, wall_ms: int) -> None:
        """Counts of earlier leaders. Rows are named by their order: with other settings each counts where it fits."""
        for key, counts in stored_windows.items():
            row, _, team = key.partition("/")
            if not row.lstrip("-").isdigit() or int(row) >= len(self.settings.budgets):
                continue
            usage = self._usage_for_key((int(row), team))
            for at_s, count in counts:
                # A second later than it was: clocks differ, and a window must not end early.
                age = timedelta(milliseconds=max(0, wall_ms - at_s * 1000 - 1000))
                slot = rate_slot_of(now - age)
                usage.disruptions_by_slot[slot] = usage.disruptions_by_slot.get(slot, 0) + int(count)

    def describe(self) -> list[dict[str, Any]]:
        rows = []
        for usage in sorted(self.usage_by_key.values(), key=lambda b: (b.team, b.budget.job_class or "")):
            rows.append(
                {
                    "team": usage.team,
                    "class": usage.budget.job_class,
                    "running": usage.tasks_running,
                    "may_be_down": usage.max_tasks_down,
                    "down": usage.tasks_down,
                    "gangs_down": usage.gangs_down,
                    "by": {cause.value: n for cause, n in usage.down_by_cause.items() if n},
                    "since_the_leader_began": {cause.value: n for cause, n in usage.total_by_cause.items()},
                    "work_lost_s": round(usage.work_lost_s, 1),
                }
            )
        return rows


def lost_work_s(placement: Placement, now: datetime) -> float:
    """Seconds of work that end with the task: since it began or last saved by itself; none if it can save."""
    spec = placement.run.spec
    if placement.running_since is None or spec.job_type == SERVICE:
        return 0.0
    run_time_s = (now - placement.running_since).total_seconds()
    return run_time_s % spec.checkpoint_interval_s if spec.checkpoint_interval_s > 0 else run_time_s
