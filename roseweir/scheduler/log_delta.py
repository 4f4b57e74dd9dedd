"""Deltas of the write-ahead log: starts and completions that no segment or completion bitmap holds yet.

A delta is one value of the key-value store. A single write of it commits hundreds of starts and completions; compaction
moves them into segments and bitmaps later.
"""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from roseweir.scheduler.log_keys import encode_start_id
from roseweir.scheduler.log_segments import MAX_SEGMENT_BYTES
from roseweir.scheduler.model import JobRun, Placement

# Deltas that a log starts with. More are added as these fill up, as long as all of them together stay below
# MAX_TOTAL_DELTA_BYTES: the start of a task that ends soon is then never written to a segment.
INITIAL_DELTA_COUNT = 6
MAX_TOTAL_DELTA_BYTES = 768 * 1024
# Bytes of an encoded delta without entries.
EMPTY_DELTA_BYTES = 64


def max_delta_count(max_value_bytes: int) -> int:
    """Return the maximum number of deltas, which is higher for smaller ones. Recovery accepts any number."""
    return MAX_TOTAL_DELTA_BYTES // min(max_value_bytes, MAX_SEGMENT_BYTES)


class CompletedTask(NamedTuple):
    """A completed task of a job."""

    run: JobRun
    task_index: int


# Parts of the encoded value that an entry of a delta needs, each with its size in bytes.
SizedParts = tuple[tuple[object, int], ...]


def _start_parts(placement: Placement) -> SizedParts:
    """Return the parts that a start needs: its job, attempt, machine, instance pool and index."""
    job_id, machine = placement.run.spec.id, placement.machine
    machine_name_bytes = len(machine.name)
    return (
        (job_id, len(job_id) + 6),
        ((job_id, placement.attempt, placement.replacement_number), 24),
        ((machine.name,), machine_name_bytes + 8),
        (
            (machine.machine_type.name, machine.zone, machine.is_spot),
            len(machine.machine_type.name) + len(machine.zone) + 14,
        ),
        ((job_id, placement.attempt, placement.replacement_number, machine.name), machine_name_bytes + 6),
        (placement, len(str(placement.index)) + 1),
    )


def _completion_parts(run: JobRun, index: int) -> SizedParts:
    """Return the parts that a completed task needs: its job and index."""
    return (((run.spec.id, "done"), len(run.spec.id) + 6), ((run, index), len(str(index)) + 1))


@dataclass(slots=True, eq=False)
class Delta:
    """Starts and completions that are stored nowhere else yet, with an estimate of their encoded size.

    Parts of the encoded value (a job's id, a machine's name) are reference-counted by the entries that need them, so
    removing entries costs time in proportion to what is removed. Summing every delta anew for each batch was too slow.

    Attributes:
        version: Version of the stored value, 0 if there is none.
        starts: Starts, each with its parts when it was added: a heartbeat may correct the attempt of a recovered task
            later.
        completions: Completed tasks as (job, index), with their parts.
        size_bytes: Estimated size of the encoded value.
        stale_entry_count: Entries of the stored value that the next write leaves out. A new leader assumes that the
            tasks of stale starts may be running, and reads the ends of their jobs if these have ended.
    """

    version: int = 0
    starts: dict[Placement, SizedParts] = field(default_factory=dict)
    completions: dict[CompletedTask, SizedParts] = field(default_factory=dict)
    size_bytes: int = EMPTY_DELTA_BYTES
    stale_entry_count: int = 0
    _part_reference_counts: dict[object, int] = field(default_factory=dict)

    def prune(self) -> None:
        """Remove entries that segments or completion bitmaps hold, and those of ended tasks and jobs."""
        for placement in [p for p in self.starts if p.is_in_segment or p.run.placements.get(p.index) is not p]:
            self._release_parts(self.starts.pop(placement))
            self.stale_entry_count += 1
        for entry in [
            task
            for task in self.completions
            if task.run.final_state or task.task_index not in task.run.delta_completions
        ]:
            self._release_parts(self.completions.pop(entry))
            self.stale_entry_count += 1

    def mark_written(self, version: int) -> None:
        """Record that the delta was stored with its current entries under this version."""
        self.version = version
        self.stale_entry_count = 0

    def add_start(self, placement: Placement) -> None:
        """Add a start."""
        self.starts[placement] = self._acquire_parts(_start_parts(placement))

    def add_completion(self, run: JobRun, index: int) -> None:
        """Add a completed task."""
        self.completions[CompletedTask(run, index)] = self._acquire_parts(_completion_parts(run, index))

    def remove_unwritten(self, starts: list[Placement], completions: list[CompletedTask]) -> None:
        """Remove entries whose write failed."""
        for placement in starts:
            self._release_parts(self.starts.pop(placement))
        for entry in completions:
            self._release_parts(self.completions.pop(entry))

    def _acquire_parts(self, parts: SizedParts) -> SizedParts:
        reference_counts = self._part_reference_counts
        for part, size in parts:
            count = reference_counts.get(part, 0)
            reference_counts[part] = count + 1
            if count == 0:
                self.size_bytes += size
        return parts

    def _release_parts(self, parts: SizedParts) -> None:
        reference_counts = self._part_reference_counts
        for part, size in parts:
            count = reference_counts[part] - 1
            if count:
                reference_counts[part] = count
            else:
                del reference_counts[part]
                self.size_bytes -= size

    def encode(self) -> dict[str, Any]:
        """Return the stored value: instance pools, machines by pool number, starts by job, completions by job."""
        instance_pools: dict[tuple[str, str, bool], int] = {}
        machines: dict[str, int] = {}
        starts: dict[str, dict[str, dict[str, list[int]]]] = {}
        for placement in self.starts:
            machine_name = placement.machine.name
            instance_pool = (placement.machine.machine_type.name, placement.machine.zone, placement.machine.is_spot)
            machines[machine_name] = instance_pools.setdefault(instance_pool, len(instance_pools))
            job_starts = starts.setdefault(placement.run.spec.id, {})
            job_starts.setdefault(encode_start_id(placement), {}).setdefault(machine_name, []).append(placement.index)
        completions: dict[str, list[int]] = {}
        for run, index in self.completions:
            completions.setdefault(run.spec.id, []).append(index)
        return {"kinds": list(instance_pools), "machines": machines, "starts": starts, "done": completions}
