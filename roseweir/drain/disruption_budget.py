"""Account of all tasks that are down, for whatever cause, and of how many more a drain may stop.

Performs no I/O. A task is down from its stop request, or from when it is proven gone, until it runs again, completes,
or its job ends; a gang is down as a whole. Each task counts in exactly one `BudgetUsage`, that of its team under one
budget, which counts tasks that are down for any cause. The leader decides stops one after another and reserves each
(`reserve_disruption`) before it decides the next, so evictions never exceed a bound, however many drains run at once.
There is one exception: while nothing is down, one task or gang may be stopped even if it exceeds the bound. Otherwise
the share of a small team, or a gang larger than the bound, would block a drain for ever.

After a failover, every task that may be down counts as down until a heartbeat shows it running: tasks with a stored
placement that no heartbeat has listed yet; tasks below the highest index that was ever placed which are neither
completed nor placed (indices are handed out in ascending order, returned ones first); and tasks below the stored
placement progress of each job that had tasks down. Stops are stored before they are requested, other losses within a
second.
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

# Disruptions within a minute and an hour are counted in slots of this length; the partial slots at both ends count.
RATE_SLOT_DURATION = timedelta(seconds=30)
MINUTE_SLOT_COUNT, HOUR_SLOT_COUNT = 3, 121
# Causes that are drains, in contrast to losses.
DRAIN_CAUSES = (DowntimeCause.DRAIN, DowntimeCause.FORCED_DRAIN)


@dataclass(slots=True)
class BudgetUsage:
    """A team's tasks under one budget."""

    budget: DisruptionBudget
    team: str
    tasks_down: int = 0
    gangs_down: int = 0
    tasks_running: int = 0  # as last counted by `count_running`
    down_by_cause: dict[DowntimeCause, int] = field(default_factory=dict)  # of `tasks_down`
    total_by_cause: dict[DowntimeCause, int] = field(default_factory=dict)  # tasks taken down in this leader's term
    disruptions_by_slot: dict[int, int] = field(default_factory=dict)  # tasks taken down, by slot number
    work_lost_s: float = 0.0  # seconds of lost work in this leader's term

    @property
    def max_tasks_down(self) -> int:
        """Number of tasks that may be down at once."""
        bounds = []
        if self.budget.share is not None:
            bounds.append(int(self.budget.share * (self.tasks_running + self.tasks_down) + 1e-9))
        if self.budget.tasks is not None:
            bounds.append(self.budget.tasks)
        return min(bounds)

    def disruptions_within(self, now: datetime, slot_count: int) -> int:
        last_slot = rate_slot_of(now)
        return sum(count for slot, count in self.disruptions_by_slot.items() if slot > last_slot - slot_count)

    def record_disruptions(self, task_count: int, now: datetime) -> None:
        slot = rate_slot_of(now)
        self.disruptions_by_slot[slot] = self.disruptions_by_slot.get(slot, 0) + task_count
        if len(self.disruptions_by_slot) > HOUR_SLOT_COUNT + 8:
            self.disruptions_by_slot = {s: n for s, n in self.disruptions_by_slot.items() if s > slot - HOUR_SLOT_COUNT}

    def refusal_reason(self, task_count: int, is_gang: bool, now: datetime) -> str:
        """Why this many more tasks, or a gang of this size, may not be stopped now; "" if they may."""
        budget = self.budget
        if budget.forbids_all:
            return f"the budget of team {self.team} allows nothing"
        if self.tasks_down > 0 and self.tasks_down + task_count > self.max_tasks_down:
            return f"budget of team {self.team}: {self.tasks_down} tasks of {self.max_tasks_down} are down"
        if is_gang and budget.gangs is not None and self.gangs_down + 1 > budget.gangs:
            return f"budget of team {self.team}: {self.gangs_down} gangs of {budget.gangs} are down"
        for max_disruptions, slot_count, window_name in (
            (budget.per_minute, MINUTE_SLOT_COUNT, "minute"),
            (budget.per_hour, HOUR_SLOT_COUNT, "hour"),
        ):
            if max_disruptions is not None:
                disruptions = self.disruptions_within(now, slot_count)
                if disruptions > 0 and disruptions + task_count > max_disruptions:
                    return f"budget of team {self.team}: {disruptions} tasks of {max_disruptions} in this {window_name}"
        return ""


def rate_slot_of(now: datetime) -> int:
    return int((now - MONOTONIC_ORIGIN) / RATE_SLOT_DURATION)


class DisruptionAccount:
    def __init__(self, settings: DrainSettings) -> None:
        self.settings = settings
        self.usage_by_key: dict[tuple[int, str], BudgetUsage] = {}
        self.down_tasks: dict[str, dict[int, DowntimeCause]] = {}
        self.has_unsaved_changes = True  # changes since the account was last stored
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

    # -- task events --------------------------------------------------------------------------

    def mark_down(
        self, run: JobRun, indices: Iterable[int], cause: DowntimeCause, now: datetime, lost_s: float = 0.0
    ) -> None:
        """Count tasks as down for this cause, except those that already are. A gang is down as a whole."""
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
        # Until `count_running` runs again: `max_tasks_down` would count these tasks twice, as running and as down.
        usage.tasks_running = max(0, usage.tasks_running - len(newly_down))
        usage.down_by_cause[cause] = usage.down_by_cause.get(cause, 0) + len(newly_down)
        usage.total_by_cause[cause] = usage.total_by_cause.get(cause, 0) + len(newly_down)
        if cause != DowntimeCause.UNKNOWN:
            # It is not known when tasks of an unknown cause went down; `restore_rate_windows` restores the disruptions
            # that were stored.
            usage.record_disruptions(len(newly_down), now)
        self.has_unsaved_changes = True

    def mark_up(self, run: JobRun, indices: Iterable[int] | None = None) -> None:
        """Count tasks as no longer down: they run again, or need not run any more. None: all tasks of the job."""
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

    # -- decisions about stops ----------------------------------------------------------------

    def count_running(self, runs: Iterable[JobRun]) -> None:
        """Recount the running tasks under each budget, on which shares are based."""
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
        """Reserve the stop of tasks within their budget; return why it was refused, or ""."""
        spec = run.spec
        is_gang = spec.job_type == GANG
        task_count = spec.task_count - run.completed_count if is_gang else len(indices)
        usage = self.usage_of(run)
        if spec.job_type == SERVICE:
            refusal = self._replica_refusal_reason(run, usage.budget, task_count)
            if refusal:
                return refusal
        refusal = usage.refusal_reason(task_count, is_gang, now)
        if not refusal:
            self.mark_down(run, indices, DowntimeCause.DRAIN, now)
        return refusal

    def _replica_refusal_reason(self, run: JobRun, budget: DisruptionBudget, task_count: int) -> str:
        """A service loses one replica at a time, and keeps at least `replicas-least` of them up."""
        replicas_down = len(self.down_tasks.get(run.spec.id, ()))
        if replicas_down:
            return f"service {run.spec.id}: {replicas_down} of its replicas are down"
        replicas_up = sum(p.state == wire.RUNNING and p.stop_requested_at is None for p in run.placements.values())
        if budget.replicas_least is not None and replicas_up - task_count < budget.replicas_least:
            return f"service {run.spec.id}: {replicas_up} replicas up, {budget.replicas_least} are the least"
        return ""

    def exceeds_budget(self, run: JobRun, task_count: int) -> bool:
        """Whether this many reserved tasks no longer fit: others went down while the decision was being stored."""
        usage = self.usage_of(run)
        return usage.tasks_down > max(usage.max_tasks_down, task_count)

    def is_exhausted_by_losses(self, run: JobRun) -> bool:
        """Whether the budget is used up, in part by losses: machines with tasks of the team are not cordoned then."""
        usage = self.usage_of(run)
        lost_tasks = usage.tasks_down - sum(usage.down_by_cause.get(cause, 0) for cause in DRAIN_CAUSES)
        return lost_tasks > 0 and usage.tasks_down >= usage.max_tasks_down

    # -- failover and storage -----------------------------------------------------------------

    def assume_down_after_failover(
        self, runs: Iterable[JobRun], placement_progress: dict[str, int], now: datetime
    ) -> None:
        """Count all tasks that may be down after a failover as down.

        `placement_progress` bounds the placed task indices of each job that had tasks down.
        """
        for run in runs:
            if run.final_state:
                continue
            placed_count = max(run.placed_index_bound, placement_progress.get(run.spec.id, 0))
            possibly_down = [
                i
                for i in range(min(placed_count, run.spec.task_count))
                if not run.is_completed(i) and self._may_be_down(run, i)
            ]
            if possibly_down:
                self.mark_down(run, possibly_down, DowntimeCause.UNKNOWN, now)

    def _may_be_down(self, run: JobRun, index: int) -> bool:
        placement = run.placements.get(index)
        if placement is None:
            return True
        return (
            placement.phase not in (PlacementPhase.PLANNED, PlacementPhase.COMMITTED)
            and placement.state != wire.RUNNING
        )

    def placement_progress(self, runs: dict[str, JobRun]) -> dict[str, int]:
        """Upper bound of the placed task indices of each job with tasks down, to be stored; gangs first."""
        disrupted_runs = [runs[job_id] for job_id in self.down_tasks if job_id in runs]
        disrupted_runs.sort(key=lambda run: (run.spec.job_type != GANG, run.spec.id))
        return {
            run.spec.id: max(run.placed_index_bound, max(self.down_tasks[run.spec.id]) + 1) for run in disrupted_runs
        }

    def encode_rate_windows(self, now: datetime, wall_ms: int) -> dict[str, list[list[int]]]:
        """Counts by wall-clock slot, to be stored; only for budgets with a bound per minute or per hour."""
        windows: dict[str, list[list[int]]] = {}
        first_slot = rate_slot_of(now) - HOUR_SLOT_COUNT
        wall_offset_ms = wall_ms - round((now - MONOTONIC_ORIGIN).total_seconds() * 1000)
        for (budget_index, team), usage in self.usage_by_key.items():
            if usage.budget.per_minute is None and usage.budget.per_hour is None:
                continue
            slot_ms = round(RATE_SLOT_DURATION.total_seconds() * 1000)
            counts = [
                [(slot * slot_ms + wall_offset_ms) // 1000, n]
                for slot, n in sorted(usage.disruptions_by_slot.items())
                if slot > first_slot
            ]
            if counts:
                windows[f"{budget_index}/{team}"] = counts
        return windows

    def restore_rate_windows(self, stored_windows: dict[str, Any], now: datetime, wall_ms: int) -> None:
        """Add the counts of earlier leaders.

        Keys name budgets by index: after a change of settings, counts go to the budget that has the index now.
        """
        for key, counts in stored_windows.items():
            index_text, _, team = key.partition("/")
            if not index_text.lstrip("-").isdigit() or int(index_text) >= len(self.settings.budgets):
                continue
            usage = self._usage_for_key((int(index_text), team))
            for at_s, count in counts:
                # Counted as a second later than it was: clocks differ, and a window must not end early.
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
    """Seconds of work lost if a task ends without a final checkpoint: since its start or last periodic checkpoint."""
    return 0.0 if placement.run.spec.job_type == SERVICE else placement.work_since_checkpoint_s(now)
