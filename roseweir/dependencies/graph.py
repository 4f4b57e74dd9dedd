"""The DAG of job dependencies: releases, transitive cancellations and effective priorities. No I/O, no clock.

A job arrives after all that it names, and its names never change, so there are no cycles. Only durable ends are
recorded in the graph; it assumes none. A job that has ended leaves it, so its size is that of what waits.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

# Stored states of completed jobs.
DONE: Final = "done"
CANCELLED: Final = "cancelled"


@dataclass(slots=True)
class GraphChange:
    """What follows from one event."""

    released: list[str] = field(default_factory=list)  # all that they awaited is done
    cancelled_with: dict[str, str] = field(default_factory=dict)  # with which job, by the id of the one that needs it
    priorities: dict[str, int] = field(default_factory=dict)  # effective ones that are others than before


class DependencyGraph:
    """Jobs that wait, and what they wait for."""

    def __init__(self) -> None:
        self.dependencies: dict[str, set[str]] = {}  # of a job that waits: what is not known to be done
        self.dependents: dict[str, set[str]] = {}  # the same edges, from the other end
        self.cancelled_with: dict[str, str] = {}  # jobs that are cancelled with one, which is named, and not over yet
        self._own_priorities: dict[str, int] = {}  # priorities as submitted, of all jobs with an edge that are known
        self._effective_priorities: dict[str, int] = {}

    def __contains__(self, job_id: str) -> bool:
        return job_id in self.dependencies or job_id in self.cancelled_with

    def effective_priority(self, job_id: str) -> int | None:
        """The lowest number of the job's own and of those of all that need it; None: nobody waits here."""
        return self._effective_priorities.get(job_id)

    def add_job(self, job_id: str, priority: int, awaited: Iterable[str]) -> GraphChange:
        """Add a job that waits; with nothing awaited it is released.

        `awaited`: the dependencies that are not known to be done. Those known to be cancelled are recorded by
        `record_end` afterwards.
        """
        change = GraphChange()
        dependencies = set(awaited)
        root = min((self.cancelled_with[name] for name in dependencies if name in self.cancelled_with), default="")
        if root:
            self._forget_priority(job_id)
            self._cancel_transitively([(job_id, root)], change)
            return change
        if not dependencies:
            change.released.append(job_id)
            return change
        self.dependencies[job_id] = dependencies
        for name in dependencies:
            self.dependents.setdefault(name, set()).add(job_id)
        self.record_priority(job_id, priority, change)
        return change

    def record_priority(self, job_id: str, priority: int, change: GraphChange | None = None) -> GraphChange:
        """Record the priority with which a job was submitted, if it waits or others wait for it."""
        change = change or GraphChange()
        if job_id in self.dependencies or job_id in self.dependents:
            self._own_priorities[job_id] = priority
            self._effective_priorities.setdefault(job_id, priority)
            self._propagate_priorities([job_id, *self.dependencies.get(job_id, ())], change)
        return change

    def record_end(self, job_id: str, state: str) -> GraphChange:
        """Record a job's end, which is durable: its dependents are released, or cancelled with it."""
        change = GraphChange()
        self.cancelled_with.pop(job_id, None)
        dependencies = self._remove_dependencies(job_id)
        if state == DONE:
            for dependent in sorted(self.dependents.pop(job_id, ())):
                remaining = self.dependencies[dependent]
                remaining.discard(job_id)
                if not remaining:
                    del self.dependencies[dependent]
                    change.released.append(dependent)
        else:
            self._cancel_transitively(
                [(dependent, job_id) for dependent in sorted(self.dependents.get(job_id, ()))], change
            )
            self.dependents.pop(job_id, None)
        self._forget_priority(job_id)
        self._propagate_priorities(dependencies, change)
        for released in change.released:
            if released not in self.dependents:
                self._forget_priority(released)
        return change

    def _cancel_transitively(self, initial: list[tuple[str, str]], change: GraphChange) -> None:
        """Cancel these jobs and all their transitive dependents, each with the job that it is paired with."""
        stack = list(initial)
        affected: set[str] = set()
        while stack:
            job_id, root = stack.pop()
            if job_id in self.cancelled_with:
                continue
            self.cancelled_with[job_id] = change.cancelled_with[job_id] = root
            affected |= self._remove_dependencies(job_id)
            stack += [(dependent, root) for dependent in self.dependents.pop(job_id, ())]
            self._forget_priority(job_id)
        self._propagate_priorities(affected, change)

    def _remove_dependencies(self, job_id: str) -> set[str]:
        """Remove the edges to what the job waits for; returns what that was."""
        dependencies = self.dependencies.pop(job_id, set())
        for name in dependencies:
            dependents = self.dependents.get(name)
            if dependents is not None:
                dependents.discard(job_id)
                if not dependents:
                    del self.dependents[name]
        return dependencies

    def _forget_priority(self, job_id: str) -> None:
        self._own_priorities.pop(job_id, None)
        self._effective_priorities.pop(job_id, None)

    def _propagate_priorities(self, job_ids: Iterable[str], change: GraphChange) -> None:
        """Recompute these jobs' effective priorities, and those of their dependencies where one has changed."""
        stack = list(job_ids)
        while stack:
            job_id = stack.pop()
            own_priority = self._own_priorities.get(job_id)
            if own_priority is None:
                continue
            dependent_priorities = (
                self._effective_priorities.get(name, own_priority) for name in self.dependents.get(job_id, ())
            )
            priority = min(own_priority, min(dependent_priorities, default=own_priority))
            if priority != self._effective_priorities.get(job_id) or job_id not in self._effective_priorities:
                self._effective_priorities[job_id] = change.priorities[job_id] = priority
                stack += self.dependencies.get(job_id, ())
            if job_id not in self.dependents and job_id not in self.dependencies:
                self._forget_priority(job_id)


@dataclass(slots=True, frozen=True)
class Stage:
    """What a job adds to its pipeline's length, in milliseconds of the time of day."""

    duration_ms: int  # from its start to its end, as far as can be told
    deadline_ms: int | None  # its own deadline


@dataclass(slots=True, frozen=True, order=True)
class LatestStart:
    """By when a job has to start, and the deadline that asks for it; milliseconds of the time of day."""

    start_ms: int
    deadline_ms: int


def latest_starts(
    job_ids: Iterable[str], dependents: Mapping[str, set[str]], stage_of: Callable[[str], Stage]
) -> dict[str, LatestStart]:
    """By when each job has to start so that no deadline behind it is missed, of those with one.

    A job has to end before its own deadline and before the latest start of each job that needs it.
    """
    found: dict[str, LatestStart | None] = {}
    for first_job_id in job_ids:
        stack = [first_job_id]
        while stack:
            job_id = stack[-1]
            if job_id in found:
                stack.pop()
                continue
            unresolved = [name for name in dependents.get(job_id, ()) if name not in found]
            if unresolved:
                stack += unresolved
                continue
            stack.pop()
            job_stage = stage_of(job_id)
            latest_ends = [end for name in dependents.get(job_id, ()) if (end := found[name]) is not None]
            if job_stage.deadline_ms is not None:
                latest_ends.append(LatestStart(job_stage.deadline_ms, job_stage.deadline_ms))
            end = min(latest_ends, default=None)
            found[job_id] = None if end is None else LatestStart(end.start_ms - job_stage.duration_ms, end.deadline_ms)
    return {job_id: start for job_id, start in found.items() if start is not None}


def longest_path_ms(job_id: str, edges: Mapping[str, set[str]], duration_ms: Callable[[str], int]) -> int:
    """Milliseconds of the longest path from a job along the edges, the job itself included."""
    path_ms: dict[str, int] = {}
    stack = [job_id]
    while stack:
        current = stack[-1]
        unresolved = [name for name in edges.get(current, ()) if name not in path_ms and current not in path_ms]
        if unresolved:
            stack += unresolved
            continue
        stack.pop()
        path_ms[current] = duration_ms(current) + max((path_ms[name] for name in edges.get(current, ())), default=0)
    return path_ms[job_id]
