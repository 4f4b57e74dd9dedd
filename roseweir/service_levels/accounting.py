"""The leader's account of who is served, by team and class of jobs. Pure: no I/O, no clock.

A job counts where it is: live ones are on the board, and those that are over in a tally. An end is counted as the
watch on live jobs tells of it, and never before: the tally then holds just the ends up to the watch's revision, and
that revision is written with it. A successor reads the tally, asks for the ends since, and knows all of them: none
lost, none counted twice. What it cannot know is whether a job that was cancelled meanwhile had started. How a job
ended is what is durable: one complete here may have been cancelled before its end was recorded, so where the watch is
the first to tell, its end is looked up.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, fields
from typing import Any

import orjson

from roseweir.scheduler.model import JobRun
from roseweir.service_levels.largest_jobs import (
    MAX_START_DELAY_S,
    ClassAndBucket,
    SizeCounts,
    decode_counts,
    encode_counts,
    size_bucket,
    sum_largest,
)
from roseweir.submissions.jobs import ARRAY, SERVICE, CompletedJob, JobSpec
from roseweir.submissions.rejections import OTHER_ROW
from roseweir.workers import messages as wire

# Team and class. What finds no room in the record is kept together under REST.
TeamAndClass = tuple[str, str]
# A team or class of which less than this part is served has had a bad day.
MIN_SERVED_FRACTION = 0.5


@dataclass(slots=True)
class EndedJobCounts:
    """Jobs that are over, and submissions that were sent away with a time to come back."""

    done: int = 0
    cancelled: int = 0
    cancelled_after_start: int = 0  # of those cancelled
    rejected_requests: int = 0

    def add(self, other: "EndedJobCounts") -> None:
        for each in fields(self):
            setattr(self, each.name, getattr(self, each.name) + getattr(other, each.name))


@dataclass(slots=True)
class ServiceLevel:
    """How a team or class stands; jobs, unless it says tasks."""

    accepted: int = 0
    started: int = 0
    done: int = 0
    cancelled: int = 0
    turned_away: int = 0  # requests, retries included
    waiting: int = 0  # not started yet
    tasks_waiting: int = 0
    tasks_running: int = 0
    services: int = 0  # live, which are never done
    # Of services: replicas asked for, and those that run.
    replicas: int = 0
    replicas_up: int = 0

    def add(self, other: "ServiceLevel") -> None:
        for each in fields(self):
            setattr(self, each.name, getattr(self, each.name) + getattr(other, each.name))

    @property
    def served_fraction(self) -> float:
        """The least of: requests not sent away, jobs started, replicas up. Jobs under way are neither done nor not."""
        shares = [1.0]
        if self.accepted + self.turned_away:
            shares.append(self.accepted / (self.accepted + self.turned_away))
        if self.accepted - self.cancelled > 0:
            shares.append(min(1.0, self.started / (self.accepted - self.cancelled)))
        if self.replicas:
            shares.append(self.replicas_up / self.replicas)
        return min(shares)


@dataclass(slots=True)
class _LiveJob:
    team_and_class: TeamAndClass
    is_started: bool = False
    outcome: str = ""  # done or cancelled, once known
    size_bucket: int | None = None  # of its size; None: over before this leader began
    accepted_ms: int = 0
    wait_s: float = 0.0  # seconds from its acceptance until it began, or so far
    is_inherited: bool = False  # from an earlier leader
    is_held: bool = False  # it waits for others' ends, or cannot be read: nobody could serve it
    has_known_start: bool = True  # when it began is known


@dataclass
class ServiceLevelAccount:
    ended_counts: dict[TeamAndClass, EndedJobCounts] = field(default_factory=dict)
    live_jobs: dict[str, _LiveJob] = field(default_factory=dict)
    has_unsaved_changes: bool = False
    # Ends that nobody could tell of any more: the record was too old when it was read.
    gap_count: int = 0
    # Over, and not yet known how.
    jobs_with_unknown_outcome: dict[str, _LiveJob] = field(default_factory=dict)
    # Jobs by class and size, as far as they have ended or begun; `sizes` adds those that wait.
    counts_by_size: dict[ClassAndBucket, SizeCounts] = field(default_factory=dict)
    # Told by the record alone, or by the watch alone: see ended_unseen().
    _ends_awaiting_watch: dict[str, CompletedJob] = field(default_factory=dict)
    _watched_ends_of_unknown_jobs: set[str] = field(default_factory=set)

    def counts_for(self, row: TeamAndClass) -> EndedJobCounts:
        self.has_unsaved_changes = True
        return self.ended_counts.setdefault(row, EndedJobCounts())

    # -- what happens -------------------------------------------------------------------------

    def add_job(self, spec: JobSpec) -> None:
        if spec.id not in self.live_jobs:
            self.live_jobs[spec.id] = _LiveJob(
                (spec.team, spec.job_class),
                size_bucket=size_bucket(spec.total_resource_units),
                accepted_ms=spec.accepted_ms,
            )

    def record_outcome(self, job_id: str, outcome: str) -> None:
        """The job's end is recorded; it is counted when the watch tells."""
        if job_id in self.jobs_with_unknown_outcome:
            self._count_end(self.jobs_with_unknown_outcome.pop(job_id), outcome)
        elif job_id in self.live_jobs:
            self.live_jobs[job_id].outcome = outcome

    def confirm_end(self, job_id: str) -> None:
        """The watch tells that the job is over."""
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
        """Ends since the record was written, each with its revision, of jobs that are not live any more.

        What ended after `revision` is told by the watch on live jobs as well: as the end of a job that it has told
        of before, or of one that ended between that revision and the reading of its page, which only this read knows.
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
            size = self.counts_by_size.setdefault((job.team_and_class[1], job.size_bucket), SizeCounts())
            size.accepted += 1
            size.done += outcome == "done"
            size.cancelled += outcome != "done"
            if job.is_started or outcome == "done":
                size.begun += 1
                if job.has_known_start:
                    size.in_time += job.wait_s <= MAX_START_DELAY_S
                    size.late += job.wait_s > MAX_START_DELAY_S
                    size.longest_s = max(size.longest_s, round(job.wait_s))

    def add_rejected_requests(self, counts: Mapping[TeamAndClass, int]) -> None:
        for row, count in counts.items():
            if count > 0:
                self.counts_for(row).rejected_requests += count

    def update_started(self, runs: Mapping[str, JobRun], now_ms: int, is_settled: bool = True) -> None:
        """See which live jobs have started: of an array a task, of a gang or service all tasks at once.

        `settled`: machines have had time to report to this leader. Before, what runs may have begun long ago.
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
                    job.has_known_start = False

    def largest_job_counts(self) -> dict[str, SizeCounts]:
        """Of each class its largest jobs, those that wait included."""
        rows: dict[ClassAndBucket, SizeCounts] = {}
        for key, size in self.counts_by_size.items():
            rows.setdefault(key, SizeCounts()).add(size)
        for job in (self.live_jobs | self.jobs_with_unknown_outcome).values():
            if job.size_bucket is None or job.is_held:
                continue
            row = rows.setdefault((job.team_and_class[1], job.size_bucket), SizeCounts())
            if not job.has_known_start:
                row.add(SizeCounts(1, begun=int(job.is_started)))
                continue
            overdue = job.wait_s > MAX_START_DELAY_S
            # What waits and still may begin in time is neither.
            in_time = job.is_started and not overdue
            row.add(SizeCounts(1, int(job.is_started), int(in_time), int(overdue), 0, 0, round(job.wait_s)))
        return sum_largest(rows)

    # -- how it stands ------------------------------------------------------------------------

    def service_levels(self, runs: Mapping[str, JobRun]) -> dict[TeamAndClass, ServiceLevel]:
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

    # -- the record ---------------------------------------------------------------------------

    def encode(self, revision: int, max_bytes: int) -> dict[str, Any]:
        """At most so many bytes: what the smallest rows would take is kept together."""
        sizes = encode_counts(self.counts_by_size, max_bytes // 3)
        rows = sorted(self.ended_counts.items(), key=lambda item: (item[1].done + item[1].cancelled, item[0]))
        overflow = EndedJobCounts()
        while True:
            kept = [[*row, t.done, t.cancelled, t.cancelled_after_start, t.rejected_requests] for row, t in rows]
            if overflow != EndedJobCounts():
                kept.append(
                    [
                        OTHER_ROW,
                        OTHER_ROW,
                        overflow.done,
                        overflow.cancelled,
                        overflow.cancelled_after_start,
                        overflow.rejected_requests,
                    ]
                )
            value = {"through": revision, "gaps": self.gap_count, "rows": kept, "sizes": sizes}
            if not rows or len(orjson.dumps(value)) <= max_bytes:
                return value
            overflow.add(rows.pop(0)[1])

    def decode(self, value: Any) -> int:
        """Take the record in; the revision up to which it holds the ends. KeyError, TypeError or ValueError."""
        self.gap_count = int(value["gaps"])
        for team, job_class, *counts in value["rows"]:
            self.ended_counts.setdefault((str(team), str(job_class)), EndedJobCounts()).add(
                EndedJobCounts(*map(int, counts))
            )
        for key, size in decode_counts(value.get("sizes", ())).items():
            self.counts_by_size.setdefault(key, SizeCounts()).add(size)
        return int(value["through"])


def _live_job_from_end(end: CompletedJob) -> _LiveJob:
    # When it began is not known any more.
    return _LiveJob(
        (end.team, end.job_class),
        end.state == "done",
        size_bucket=size_bucket(end.total_resource_units) if end.total_resource_units else None,
        has_known_start=False,
    )


def has_started(run: JobRun) -> bool:
    if run.completed_count > 0:
        return True
    running = sum(p.state in (wire.RUNNING, wire.SAVING_CHECKPOINT) for p in run.placements.values())
    return running > 0 if run.spec.job_type == ARRAY else running >= run.spec.task_count


def sum_by(key_index: int, levels: Mapping[TeamAndClass, ServiceLevel]) -> dict[str, ServiceLevel]:
    """Summed up by team (0) or class (1)."""
    sums: dict[str, ServiceLevel] = {}
    for row, level in levels.items():
        sums.setdefault(row[key_index], ServiceLevel()).add(level)
    return dict(sorted(sums.items()))


def format_service_level(name: str, level: ServiceLevel) -> str:
    """For the log."""
    text = f"{name}: {level.accepted} jobs accepted, {level.started} started"
    text += f", {level.done} done, {level.cancelled} cancelled"
    if level.replicas:
        text += f", {level.replicas_up} of {level.replicas} replicas up"
    if level.turned_away:
        text += f", {level.turned_away} requests sent away"
    if level.tasks_waiting:
        text += f", {level.waiting} jobs and {level.tasks_waiting} tasks wait"
    return text + (", UNDER HALF" if level.served_fraction < MIN_SERVED_FRACTION else "")
