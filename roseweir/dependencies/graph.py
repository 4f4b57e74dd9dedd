"""The DAG of job dependencies: releases, transitive cancellations and effective priorities. No I/O, no clock.

A job is added after all its dependencies, and its dependencies never change, so there are no cycles. Only durable ends
of jobs are recorded in the graph. A job that has ended is removed, so the graph is as large as the set of waiting jobs.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

# Stored states of completed jobs.
DONE: Final = "done"
CANCELLED: Final = "cancelled"


@dataclass(slots=True)
class GraphChange:
    """The effects of one event on the jobs in the graph."""

    released: list[str] = field(default_factory=list)  # jobs whose dependencies are all done
    cancelled_with: dict[str, str] = field(default_factory=dict)  # the cancelled job that is the cause, by dependent
    priorities: dict[str, int] = field(default_factory=dict)  # effective priorities that have changed


class DependencyGraph:
    """Waiting jobs and the jobs that they depend on."""

    def __init__(self) -> None:
        self.dependencies: dict[str, set[str]] = {}  # by waiting job: those not known to be done
        self.dependents: dict[str, set[str]] = {}  # the same edges, by dependency
        # The cancelled job that is the cause, by each cancelled dependent whose own end is not recorded yet.
        self.cancelled_with: dict[str, str] = {}
        self._submitted_priorities: dict[str, int] = {}  # of the jobs with an edge whose priority has been recorded
        self._effective_priorities: dict[str, int] = {}

    def __contains__(self, job_id: str) -> bool:
        return job_id in self.dependencies or job_id in self.cancelled_with

    def effective_priority(self, job_id: str) -> int | None:
        """The lowest number among the priorities of the job and its transitive dependents; None if it has no edge."""
        return self._effective_priorities.get(job_id)

    def add_job(self, job_id: str, priority: int, unresolved_ids: Iterable[str]) -> GraphChange:
        """Add a waiting job; it is released if it has no unresolved dependencies.

        `unresolved_ids`: the dependencies that are not known to be done. The caller passes those that are known to be
        cancelled to `record_end` afterwards.
        """
        change = GraphChange()
        dependencies = set(unresolved_ids)
        root_id = min(
            (
                self.cancelled_with[dependency_id]
                for dependency_id in dependencies
                if dependency_id in self.cancelled_with
            ),
            default="",
        )
        if root_id:
            self._remove_priority(job_id)
            self._cancel_transitively([(job_id, root_id)], change)
            return change
        if not dependencies:
            change.released.append(job_id)
            return change
        self.dependencies[job_id] = dependencies
        for dependency_id in dependencies:
            self.dependents.setdefault(dependency_id, set()).add(job_id)
        self.record_priority(job_id, priority, change)
        return change

    def record_priority(self, job_id: str, priority: int, change: GraphChange | None = None) -> GraphChange:
        """Record the priority with which a job was submitted, if it has dependencies or dependents in the graph."""
        change = change or GraphChange()
        if job_id in self.dependencies or job_id in self.dependents:
            self._submitted_priorities[job_id] = priority
            self._effective_priorities.setdefault(job_id, priority)
            self._propagate_priorities([job_id, *self.dependencies.get(job_id, ())], change)
        return change

    def record_end(self, job_id: str, state: str) -> GraphChange:
        """Record a job's durable end: its dependents may be released, or are cancelled with it."""
        change = GraphChange()
        self.cancelled_with.pop(job_id, None)
        dependencies = self._remove_dependencies(job_id)
        if state == DONE:
            for dependent_id in sorted(self.dependents.pop(job_id, ())):
                remaining = self.dependencies[dependent_id]
                remaining.discard(job_id)
                if not remaining:
                    del self.dependencies[dependent_id]
                    change.released.append(dependent_id)
        else:
            self._cancel_transitively(
                [(dependent_id, job_id) for dependent_id in sorted(self.dependents.get(job_id, ()))], change
            )
            self.dependents.pop(job_id, None)
        self._remove_priority(job_id)
        self._propagate_priorities(dependencies, change)
        for released_id in change.released:
            if released_id not in self.dependents:
                self._remove_priority(released_id)
        return change

    def _cancel_transitively(self, initial: list[tuple[str, str]], change: GraphChange) -> None:
        """Cancel these jobs and their transitive dependents.

        `initial` pairs each job with the cancelled job that causes its cancellation.
        """
        stack = list(initial)
        affected: set[str] = set()
        while stack:
            job_id, root_id = stack.pop()
            if job_id in self.cancelled_with:
                continue
            self.cancelled_with[job_id] = change.cancelled_with[job_id] = root_id
            affected |= self._remove_dependencies(job_id)
            stack += [(dependent_id, root_id) for dependent_id in self.dependents.pop(job_id, ())]
            self._remove_priority(job_id)
        self._propagate_priorities(affected, change)

    def _remove_dependencies(self, job_id: str) -> set[str]:
        """Remove the edges to the job's dependencies; return these dependencies."""
        dependencies = self.dependencies.pop(job_id, set())
        for dependency_id in dependencies:
            dependents = self.dependents.get(dependency_id)
            if dependents is not None:
                dependents.discard(job_id)
                if not dependents:
                    del self.dependents[dependency_id]
        return dependencies

    def _remove_priority(self, job_id: str) -> None:
        self._submitted_priorities.pop(job_id, None)
        self._effective_priorities.pop(job_id, None)

    def _propagate_priorities(self, job_ids: Iterable[str], change: GraphChange) -> None:
        """Recompute these jobs' effective priorities; a change propagates to the job's dependencies."""
        stack = list(job_ids)
        while stack:
            job_id = stack.pop()
            submitted_priority = self._submitted_priorities.get(job_id)
            if submitted_priority is None:
                continue
            dependent_priorities = (
                self._effective_priorities.get(dependent_id, submitted_priority)
                for dependent_id in self.dependents.get(job_id, ())
            )
            priority = min(submitted_priority, min(dependent_priorities, default=submitted_priority))
            if priority != self._effective_priorities.get(job_id) or job_id not in self._effective_priorities:
                self._effective_priorities[job_id] = change.priorities[job_id] = priority
                stack += self.dependencies.get(job_id, ())
            if job_id not in self.dependents and job_id not in self.dependencies:
                self._remove_priority(job_id)


@dataclass(slots=True, frozen=True)
class Stage:
    """A job's duration and deadline, as a stage of its pipeline."""

    duration_ms: int  # estimated, from the job's start to its end
    deadline_ms: int | None  # the job's own deadline, Unix time


@dataclass(slots=True, frozen=True, order=True)
class LatestStart:
    """The latest time at which a job may start, and the deadline that requires it; Unix time in milliseconds."""

    start_ms: int
    deadline_ms: int


def latest_starts(
    job_ids: Iterable[str], dependents: Mapping[str, set[str]], stage_of: Callable[[str], Stage]
) -> dict[str, LatestStart]:
    """The latest starts that meet all deadlines, for jobs with a deadline of their own or of a transitive dependent.

    A job has to end before its own deadline and before the latest start of each of its dependents.
    """
    latest_start_by_job: dict[str, LatestStart | None] = {}
    for first_job_id in job_ids:
        stack = [first_job_id]
        while stack:
            job_id = stack[-1]
            if job_id in latest_start_by_job:
                stack.pop()
                continue
            unresolved = [
                dependent_id for dependent_id in dependents.get(job_id, ()) if dependent_id not in latest_start_by_job
            ]
            if unresolved:
                stack += unresolved
                continue
            stack.pop()
            job_stage = stage_of(job_id)
            latest_ends = [
                end
                for dependent_id in dependents.get(job_id, ())
                if (end := latest_start_by_job[dependent_id]) is not None
            ]
            if job_stage.deadline_ms is not None:
                latest_ends.append(LatestStart(job_stage.deadline_ms, job_stage.deadline_ms))
            end = min(latest_ends, default=None)
            latest_start_by_job[job_id] = (
                None if end is None else LatestStart(end.start_ms - job_stage.duration_ms, end.deadline_ms)
            )
    return {job_id: start for job_id, start in latest_start_by_job.items() if start is not None}


def longest_path_ms(job_id: str, edges: Mapping[str, set[str]], duration_ms: Callable[[str], int]) -> int:
    """The duration in milliseconds of the longest path from a job along the edges, including the job itself."""
    path_ms_by_job: dict[str, int] = {}
    stack = [job_id]
    while stack:
        current_id = stack[-1]
        unresolved = [
            next_id
            for next_id in edges.get(current_id, ())
            if next_id not in path_ms_by_job and current_id not in path_ms_by_job
        ]
        if unresolved:
            stack += unresolved
            continue
        stack.pop()
        path_ms_by_job[current_id] = duration_ms(current_id) + max(
            (path_ms_by_job[next_id] for next_id in edges.get(current_id, ())), default=0
        )
    return path_ms_by_job[job_id]
