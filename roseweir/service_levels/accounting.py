"""The leader's account of service levels, by team and class of jobs. Pure: no I/O, no clock.

Live jobs are counted from the cluster state, ended jobs in stored counters. An end is counted only when the watch on
live jobs reports it, so the counters hold exactly the ends up to the watch's revision, which is stored with them. The
next leader reads the counters and the ends since that revision, so that no end is lost or counted twice; whether a job
that was cancelled in between had started is not recorded. The outcome of a job is always the durable one: a job that is
complete in the cluster state may have been cancelled before its end was recorded, so an end that the watch reports
first is looked up in the store.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import orjson

from roseweir.scheduler.model import JobRun
from roseweir.service_levels.errors import AccountUnreadable
from roseweir.service_levels.largest_jobs import (
    MAX_START_DELAY_S,
    ClassAndBucket,
    SizeCounts,
    decode_counts,
    encode_counts,
    size_bucket,
    sum_largest,
)
from roseweir.service_levels.service_level import EndedJobCounts, ServiceLevel, TeamAndClass
from roseweir.submissions.jobs import ARRAY, SERVICE, CompletedJob, JobSpec
from roseweir.submissions.rejections import OTHER_ROW
from roseweir.workers import messages as wire


@dataclass(slots=True)
class _LiveJob:
    """A job whose end is not counted yet."""

    team_and_class: TeamAndClass
    is_started: bool = False
    outcome: str = ""  # done or cancelled; empty: not known yet
    size_bucket: int | None = None  # None: an earlier version recorded its end, without its size
    accepted_ms: int = 0
    wait_s: float = 0.0  # seconds from its acceptance until its start, or until now
    is_inherited: bool = False  # from an earlier leader
    is_held: bool = False  # waits for its dependencies or cannot be decoded, so it cannot start
    is_start_time_known: bool = True


@dataclass
class ServiceLevelAccount:
    """Counts of live and ended jobs, and of rejected requests, by team and class."""

    ended_counts: dict[TeamAndClass, EndedJobCounts] = field(default_factory=dict)
    live_jobs: dict[str, _LiveJob] = field(default_factory=dict)
    has_unsaved_changes: bool = False
    # How often ends were lost because the stored account was older than the store's history or could not be decoded.
    gap_count: int = 0
    # Ended jobs whose outcome is not known yet.
    jobs_with_unknown_outcome: dict[str, _LiveJob] = field(default_factory=dict)
    # Ended jobs by class and size; `largest_job_counts` adds the live ones.
    counts_by_size: dict[ClassAndBucket, SizeCounts] = field(default_factory=dict)
    # Ends that only the completed-job records have shown, or only the watch: see `apply_missed_ends`.
    _ends_awaiting_watch: dict[str, CompletedJob] = field(default_factory=dict)
    _watched_ends_of_unknown_jobs: set[str] = field(default_factory=set)

    def counts_for(self, row: TeamAndClass) -> EndedJobCounts:
        """Return the row of a team and class for modification; marks the account as having unsaved changes."""
        self.has_unsaved_changes = True
        return self.ended_counts.setdefault(row, EndedJobCounts())

    # -- events -------------------------------------------------------------------------------

    def add_job(self, spec: JobSpec) -> None:
        """Count an accepted job as live. A job that is counted already is left as it is."""
        if spec.id not in self.live_jobs:
            self.live_jobs[spec.id] = _LiveJob(
                (spec.team, spec.job_class),
                size_bucket=size_bucket(spec.total_resource_units),
                accepted_ms=spec.accepted_ms,
            )

    def record_outcome(self, job_id: str, outcome: str) -> None:
        """Record the durable outcome (`done` or `cancelled`) of a job; its end is counted when the watch reports it."""
        if job_id in self.jobs_with_unknown_outcome:
            self._count_end(self.jobs_with_unknown_outcome.pop(job_id), outcome)
        elif job_id in self.live_jobs:
            self.live_jobs[job_id].outcome = outcome

    def confirm_end(self, job_id: str) -> None:
        """Count the end of a job that the watch on live jobs has reported."""
        job = self.live_jobs.pop(job_id, None)
        if job is None:
            end = self._ends_awaiting_watch.pop(job_id, None)
            if end is None:
                self._watched_ends_of_unknown_jobs.add(job_id)
            else:
                self._count_end(_live_job_from_end(end), end.state)
        elif job.outcome:
            self._count_end(job, job.outcome)
        else:
            self.jobs_with_unknown_outcome[job_id] = job

    def apply_missed_ends(self, ends: Iterable[tuple[str, CompletedJob, int]], revision: int) -> None:
        """Count ends since the account was stored, of jobs that are not live any more.

        An end after `revision` is also reported by the watch on live jobs. Its job either is live in this account, or
        ended after that revision and before its page of live jobs was read; only `ends` holds the record of the latter.

        Args:
            ends: id, record and store revision of each completed job.
            revision: the store revision from which the watch on live jobs continued.
        """
        for job_id, end, end_revision in ends:
            if job_id in self.live_jobs:
                continue
            if end_revision <= revision or job_id in self._watched_ends_of_unknown_jobs:
                self._count_end(_live_job_from_end(end), end.state)
            else:
                self._ends_awaiting_watch[job_id] = end
        self._watched_ends_of_unknown_jobs.clear()

    def _count_end(self, job: _LiveJob, outcome: str) -> None:
        counts = self.counts_for(job.team_and_class)
        if outcome == "done":
            counts.done += 1
        else:
            counts.cancelled += 1
            counts.cancelled_after_start += job.is_started
        if job.size_bucket is not None and not job.is_held:
            size_counts = self.counts_by_size.setdefault((job.team_and_class[1], job.size_bucket), SizeCounts())
            size_counts.accepted += 1
            size_counts.done += outcome == "done"
            size_counts.cancelled += outcome != "done"
            if job.is_started or outcome == "done":
                size_counts.begun += 1
                if job.is_start_time_known:
                    size_counts.in_time += job.wait_s <= MAX_START_DELAY_S
                    size_counts.late += job.wait_s > MAX_START_DELAY_S
                    size_counts.longest_s = max(size_counts.longest_s, round(job.wait_s))

    def add_rejected_requests(self, counts: Mapping[TeamAndClass, int]) -> None:
        """Add newly rejected requests; counts of 0 or below are ignored."""
        for row, count in counts.items():
            if count > 0:
                self.counts_for(row).rejected_requests += count

    def update_started(self, runs: Mapping[str, JobRun], now_ms: int, is_settled: bool = True) -> None:
        """Mark the live jobs that have started: of an array one task runs, of a gang or service all tasks at once.

        Args:
            runs: the cluster state's jobs by id.
            now_ms: the time of day, in milliseconds.
            is_settled: whether machines have had time to send heartbeats to this leader. Before that, a running job
                may have started long ago, so its start time counts as unknown.
        """
        for job_id, job in self.live_jobs.items():
            run = runs.get(job_id)
            job.is_held = run is not None and bool(run.hold_reason)
            if run is not None and not job.is_held:
                job.accepted_ms = run.eligible_from_ms
            if not job.is_started and not job.is_held:
                job.wait_s = max(0.0, (now_ms - job.accepted_ms) / 1000)
                job.is_started = run is not None and has_started(run)
                if job.is_started and job.is_inherited and not is_settled and job.wait_s > MAX_START_DELAY_S:
                    job.is_start_time_known = False

    def largest_job_counts(self) -> dict[str, SizeCounts]:
        """Return for each class the counts of its largest jobs, waiting ones included."""
        rows: dict[ClassAndBucket, SizeCounts] = {}
        for key, size_counts in self.counts_by_size.items():
            rows.setdefault(key, SizeCounts()).add(size_counts)
        for job in (self.live_jobs | self.jobs_with_unknown_outcome).values():
            if job.size_bucket is None or job.is_held:
                continue
            row = rows.setdefault((job.team_and_class[1], job.size_bucket), SizeCounts())
            if not job.is_start_time_known:
                row.add(SizeCounts(accepted=1, begun=int(job.is_started)))
                continue
            overdue = job.wait_s > MAX_START_DELAY_S
            # A waiting job that may still start in time counts neither as in time nor as late.
            in_time = job.is_started and not overdue
            row.add(
                SizeCounts(
                    accepted=1,
                    begun=int(job.is_started),
                    in_time=int(in_time),
                    late=int(overdue),
                    longest_s=round(job.wait_s),
                )
            )
        return sum_largest(rows)

    # -- service levels -----------------------------------------------------------------------

    def service_levels(self, runs: Mapping[str, JobRun]) -> dict[TeamAndClass, ServiceLevel]:
        """Return the present service level of each team and class; `runs`: the cluster state's jobs by id."""
        levels: dict[TeamAndClass, ServiceLevel] = {}
        for row, counts in self.ended_counts.items():
            ended = counts.done + counts.cancelled
            started = counts.done + counts.cancelled_after_start
            levels[row] = ServiceLevel(ended, started, counts.done, counts.cancelled, counts.rejected_requests)
        for job_id, job in (self.live_jobs | self.jobs_with_unknown_outcome).items():
            if job.is_held:
                continue
            level = levels.setdefault(job.team_and_class, ServiceLevel())
            level.accepted += 1
            level.started += job.is_started
            level.waiting += not job.is_started
            run = runs.get(job_id)
            if run is None:
                continue
            running = sum(p.state == wire.RUNNING for p in run.placements.values())
            level.tasks_running += running
            level.tasks_waiting += run.pending_count
            if run.spec.job_type == SERVICE:
                level.services += 1
                level.replicas += run.spec.task_count
                level.replicas_up += running
        return levels

    # -- the stored account -------------------------------------------------------------------

    def encode(self, revision: int, max_bytes: int) -> dict[str, Any]:
        """Return the value to store, of at most `max_bytes` as JSON: the smallest rows are merged until it fits.

        `revision`: the store revision up to which the watch on live jobs has reported.
        """
        size_rows = encode_counts(self.counts_by_size, max_bytes // 3)
        rows = sorted(self.ended_counts.items(), key=lambda item: (item[1].done + item[1].cancelled, item[0]))
        overflow = EndedJobCounts()
        while True:
            encoded_rows = [
                [*row, counts.done, counts.cancelled, counts.cancelled_after_start, counts.rejected_requests]
                for row, counts in rows
            ]
            if overflow != EndedJobCounts():
                encoded_rows.append(
                    [
                        OTHER_ROW,
                        OTHER_ROW,
                        overflow.done,
                        overflow.cancelled,
                        overflow.cancelled_after_start,
                        overflow.rejected_requests,
                    ]
                )
            value = {"through": revision, "gaps": self.gap_count, "rows": encoded_rows, "sizes": size_rows}
            if not rows or len(orjson.dumps(value)) <= max_bytes:
                return value
            overflow.add(rows.pop(0)[1])

    def decode(self, value: Any) -> int:
        """Add a stored account to this one, and return the store revision up to which it holds the ends.

        Raises:
            AccountUnreadable: the value does not have the form that `encode` writes.
        """
        try:
            return self._add_stored(value)
        except (KeyError, TypeError, ValueError) as error:
            raise AccountUnreadable(error) from error

    def _add_stored(self, value: Any) -> int:
        self.gap_count = int(value["gaps"])
        for team, job_class, *counts in value["rows"]:
            self.ended_counts.setdefault((str(team), str(job_class)), EndedJobCounts()).add(
                EndedJobCounts(*map(int, counts))
            )
        for key, size_counts in decode_counts(value.get("sizes", ())).items():
            self.counts_by_size.setdefault(key, SizeCounts()).add(size_counts)
        return int(value["through"])


def _live_job_from_end(end: CompletedJob) -> _LiveJob:
    # The record of an ended job does not hold its start time.
    return _LiveJob(
        (end.team, end.job_class),
        end.state == "done",
        size_bucket=size_bucket(end.total_resource_units) if end.total_resource_units else None,
        is_start_time_known=False,
    )


def has_started(run: JobRun) -> bool:
    """Return whether a job has started, as far as the cluster state shows.

    One running task of an array is enough; of a gang or service all tasks have to run at once.
    """
    if run.completed_count > 0:
        return True
    running = sum(p.state in (wire.RUNNING, wire.SAVING_CHECKPOINT) for p in run.placements.values())
    return running > 0 if run.spec.job_type == ARRAY else running >= run.spec.task_count
