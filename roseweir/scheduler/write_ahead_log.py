"""The write-ahead record: which tasks may be on which machine, in pages and notes.

A page is one value of the state service and holds all that is known of several machines. With
hundreds of machines a pass touches every page, and writing them all before a task may start took
seconds (2,000 to 3,000 tasks waited so on the grown belanger-cadastre). So what is new goes into a
note first, one change for hundreds of starts and completions. Pages follow as the state service's
limits allow, and what they hold is left out when the note is next written.

A page that an earlier leader wrote under a higher limit is split: its entries move to other pages, and it is written
again once what is left on it fits. A note that is too large is not written until its starts have gone into pages.

Pages and notes are guarded by their own versions as well as the leader's: a late write of an older
one then fails instead of hiding newer placements.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import orjson

from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import JobRun, Machine, Placement

LOG_PREFIX = "places/"
DELTA_KEY_PREFIX = "note-"
# So many notes there are at first. More are added as these fill up, as long as all of them hold no more than this: a
# start that ends while it is in a note never has to go into a page.
INITIAL_DELTA_COUNT, MAX_TOTAL_DELTA_BYTES = 6, 768 * 1024

# Sizes are measured on the encoded entry, and left room to grow while a page is filled.
SEGMENT_FILL_RATIO = 0.8
# Punctuation of a start in a machine's entry.
START_OVERHEAD_BYTES = 12
# What is larger than this share of a value is not written at all.
MAX_VALUE_RATIO = 0.95
# Several pages share one transaction, which holds 64 KiB in all.
MAX_SEGMENT_BYTES = 8 * 1024


def encode_start_id(placement: Placement) -> str:
    """The attempt, and for a gang's replacements which one: of two records the newer one counts."""
    return (
        f"{placement.attempt}.{placement.replacement_number}"
        if placement.replacement_number
        else str(placement.attempt)
    )


def decode_start_id(start_id: str) -> tuple[int, int]:
    attempt, _, replacement_number = start_id.partition(".")
    return int(attempt), int(replacement_number or 0)


def max_delta_count(max_value_bytes: int) -> int:
    """How many notes there may be: the smaller they are, the more. Readers take any number of them."""
    return MAX_TOTAL_DELTA_BYTES // min(max_value_bytes, MAX_SEGMENT_BYTES)


def encode_machine_tasks(placements: Iterable[Placement]) -> dict[str, dict[str, list[int]]]:
    """{job: {attempt: [indices]}} of these tasks of a machine."""
    indices_by_job: dict[str, dict[str, list[int]]] = {}
    for placement in placements:
        attempts = indices_by_job.setdefault(placement.run.spec.id, {})
        attempts.setdefault(encode_start_id(placement), []).append(placement.index)
    return indices_by_job


def machine_entry_bytes(machine_name: str, entry: dict[str, Any]) -> int:
    """Bytes that a machine's entry takes of its page."""
    return len(orjson.dumps(entry)) + len(machine_name) + 8


def segment_key(number: int) -> str:
    return f"{LOG_PREFIX}{number:04d}"


def delta_key(number: int) -> str:
    return f"{LOG_PREFIX}{DELTA_KEY_PREFIX}{number}"


# What an entry of a note needs in the encoded value, and the bytes of each.
SizedParts = tuple[tuple[object, int], ...]


def _start_parts(placement: Placement) -> SizedParts:
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
    return (((run.spec.id, "done"), len(run.spec.id) + 6), ((run, index), len(str(index)) + 1))


@dataclass(slots=True, eq=False)
class Delta:
    """Starts and completions that are nowhere else yet, with an estimate of their encoded size.

    Each part of the encoded value (a job's name, a machine's) is counted with the entries that need it,
    so that taking some out costs what is taken out: every note was summed anew for each batch.
    """

    version: int = 0
    # By entry, what it was counted with: a recorded task's attempt may be learnt anew meanwhile.
    starts: dict[Placement, SizedParts] = field(default_factory=dict)
    completions: dict[tuple[JobRun, int], SizedParts] = field(default_factory=dict)
    size_bytes: int = 64
    # Entries of the stored value that are left out when it is next written. Each makes a new leader more careful, and
    # has it read how the job ended if that is over.
    stale_entry_count: int = 0
    _part_reference_counts: dict[object, int] = field(default_factory=dict)

    def prune(self) -> None:
        """Leave out what pages and chunks hold by now, and what is over."""
        for placement in [p for p in self.starts if p.is_in_segment or p.run.placements.get(p.index) is not p]:
            self._release_parts(self.starts.pop(placement))
            self.stale_entry_count += 1
        for entry in [
            (run, index) for run, index in self.completions if run.final_state or index not in run.delta_completions
        ]:
            self._release_parts(self.completions.pop(entry))
            self.stale_entry_count += 1

    def mark_written(self, version: int) -> None:
        self.version = version
        self.stale_entry_count = 0

    def add_start(self, placement: Placement) -> None:
        self.starts[placement] = self._acquire_parts(_start_parts(placement))

    def add_completion(self, run: JobRun, index: int) -> None:
        self.completions[run, index] = self._acquire_parts(_completion_parts(run, index))

    def remove_unwritten(self, starts: list[Placement], completions: list[tuple[JobRun, int]]) -> None:
        """These were not written after all."""
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
        instance_pools: dict[tuple[str, str, bool], int] = {}
        machines: dict[str, int] = {}
        starts: dict[str, dict[str, dict[str, list[int]]]] = {}
        for placement in self.starts:
            machine_name = placement.machine.name
            instance_pool = (placement.machine.machine_type.name, placement.machine.zone, placement.machine.is_spot)
            machines[machine_name] = instance_pools.setdefault(instance_pool, len(instance_pools))
            attempts = starts.setdefault(placement.run.spec.id, {})
            attempts.setdefault(encode_start_id(placement), {}).setdefault(machine_name, []).append(placement.index)
        completions: dict[str, list[int]] = {}
        for run, index in self.completions:
            completions.setdefault(run.spec.id, []).append(index)
        return {"kinds": list(instance_pools), "machines": machines, "starts": starts, "done": completions}


def referenced_types_and_jobs(value: dict[str, Any]) -> tuple[set[str], set[str]]:
    """The machine types and the jobs whose places a page or a note tells of."""
    if "starts" in value:
        return {instance_pool[0] for instance_pool in value["kinds"]}, set(value["starts"])
    entries = value["machines"].values()
    return {entry["type"] for entry in entries}, {job_id for entry in entries for job_id in entry["tasks"]}


class SegmentTable:
    def __init__(self, max_value_bytes: int) -> None:
        self.fill_bytes = self.max_segment_bytes = 0  # bytes that a page is filled to, and that it may have at the most
        self.set_max_value_bytes(max_value_bytes)
        self.entries_by_segment: dict[int, dict[str, dict[str, Any]]] = {}
        self.entry_bytes: dict[int, dict[str, int]] = {}
        self.segment_bytes: dict[int, int] = {}  # of sizes, by page
        self.segment_versions: dict[int, int] = {}
        self.dirty_segments: set[int] = set()
        self.segment_by_machine: dict[str, int] = {}
        # Pages that still hold an older entry of a machine that has moved. It stays until the newer page
        # is written: so each page can be written by itself. Pages that had to be written together grew
        # into chains that fitted no transaction, and after a take-over nothing was recorded any more.
        self.superseded_segments: dict[str, set[int]] = {}
        # Machines whose tasks do not all fit a value: those that their entry holds. The others stay in notes.
        self.partial_placements: dict[str, set[Placement]] = {}

    def set_max_value_bytes(self, max_value_bytes: int) -> None:
        """What is written from now on fits values of this size; `split` takes care of what is there."""
        self.fill_bytes = int(min(max_value_bytes, MAX_SEGMENT_BYTES) * SEGMENT_FILL_RATIO)
        self.max_segment_bytes = int(max_value_bytes * MAX_VALUE_RATIO)

    def is_writable(self, number: int) -> bool:
        return self.segment_bytes[number] <= self.max_segment_bytes

    def split_oversized(self) -> None:
        """Move entries off pages that are too large to be written, as if their machines had outgrown them.

        A machine's older entry goes as soon as the page with the newer one is written.
        """
        self.dirty_segments.update(self.segment_by_machine[machine_name] for machine_name in self.superseded_segments)
        for number in sorted(number for number in self.entries_by_segment if not self.is_writable(number)):
            kept_bytes = 0
            for machine_name, size in list(self.entry_bytes[number].items()):
                if self.segment_by_machine[machine_name] != number or size > self.max_segment_bytes:
                    continue
                if kept_bytes + size <= self.fill_bytes:
                    kept_bytes += size
                else:
                    self._move_entry(number, machine_name)

    def _move_entry(self, number: int, machine_name: str) -> None:
        entry, size = self.entries_by_segment[number][machine_name], self.entry_bytes[number][machine_name]
        superseded = self.superseded_segments.setdefault(machine_name, set())
        superseded.add(number)
        target = self._find_segment(size)
        superseded.discard(target)
        self._store_entry(target, machine_name, entry, size)
        self.dirty_segments.add(target)

    def load_segment(self, number: int, value: dict[str, Any], version: int) -> None:
        self.segment_versions[number] = version
        self.entries_by_segment[number] = {}
        self.entry_bytes[number] = {}
        self.segment_bytes[number] = 0
        for machine_name, entry in value.get("machines", {}).items():
            current_segment = self.segment_by_machine.get(machine_name)
            self._store_entry(number, machine_name, entry, machine_entry_bytes(machine_name, entry))
            if current_segment is not None:
                # Caught between two pages: it counts with the tasks of both.
                self.segment_by_machine[machine_name] = current_segment
                self.superseded_segments.setdefault(machine_name, set()).add(number)

    def _store_entry(self, number: int, machine_name: str, entry: dict[str, Any], size: int) -> None:
        self.entries_by_segment.setdefault(number, {})[machine_name] = entry
        sizes = self.entry_bytes.setdefault(number, {})
        self.segment_bytes[number] = self.segment_bytes.get(number, 0) + size - sizes.get(machine_name, 0)
        sizes[machine_name] = size
        self.segment_versions.setdefault(number, 0)
        self.segment_by_machine[machine_name] = number

    def _remove_entry(self, number: int, machine_name: str) -> None:
        if machine_name in self.entries_by_segment[number]:
            del self.entries_by_segment[number][machine_name]
            self.segment_bytes[number] -= self.entry_bytes[number].pop(machine_name)
            self.dirty_segments.add(number)

    def _remove_machine(self, machine_name: str) -> None:
        self.partial_placements.pop(machine_name, None)
        number = self.segment_by_machine.pop(machine_name, None)
        if number is not None:
            for segment_number in (number, *self.superseded_segments.pop(machine_name, ())):
                self._remove_entry(segment_number, machine_name)

    def update_machine(self, cluster_state: ClusterState, machine_name: str) -> None:
        """Bring a machine's entry up to date; it moves when its page gets too full."""
        machine = cluster_state.machines.get(machine_name)
        tasks = encode_machine_tasks(machine.placements.values()) if machine is not None else {}
        if machine is None or not (tasks or machine.image_cache):
            self._remove_machine(machine_name)
            return
        entry = {
            "type": machine.machine_type.name,
            "zone": machine.zone,
            "spot": machine.is_spot,
            "tasks": tasks,
            # Images are no promise, but a new leader that knows them places better.
            "images": {image: round(size, 2) for image, size in machine.image_cache.items()},
            "rented": machine.is_autoscaled,
        }
        number = self.segment_by_machine.get(machine_name)
        if number is not None and self.entries_by_segment[number][machine_name] == entry:
            return
        size = machine_entry_bytes(machine_name, entry)
        self.partial_placements.pop(machine_name, None)
        if size > self.fill_bytes:
            # A value has to hold the machine's tasks; its images only make a new leader place better.
            entry["images"] = {}
            size = machine_entry_bytes(machine_name, entry)
        if size > self.max_segment_bytes:
            size = self._truncate_entry(machine, entry)
        # An entry that no value holds, of an earlier leader's, stays as it is stored until tasks of it have ended.
        if number is not None and size <= self.max_segment_bytes:
            other_entry_bytes = self.segment_bytes[number] - self.entry_bytes[number][machine_name]
            if other_entry_bytes + size > self.fill_bytes and other_entry_bytes > 0:
                self.superseded_segments.setdefault(machine_name, set()).add(number)
                number = None
        if number is None:
            number = self._find_segment(size)
            self.superseded_segments.get(machine_name, set()).discard(number)
        self._store_entry(number, machine_name, entry, size)
        self.dirty_segments.add(number)

    def _truncate_entry(self, machine: Machine, entry: dict[str, Any]) -> int:
        """Leave tasks out of an entry that no value holds; its size. What is in no note any more stays in it."""
        chosen = [p for p in machine.placements.values() if p.is_in_segment]
        size = machine_entry_bytes(machine.name, entry | {"tasks": encode_machine_tasks(chosen)})
        for placement in machine.placements.values():
            start_bytes = (
                len(placement.run.spec.id)
                + len(encode_start_id(placement))
                + len(str(placement.index))
                + START_OVERHEAD_BYTES
            )
            if not placement.is_in_segment and size + start_bytes <= self.fill_bytes:
                chosen.append(placement)
                size += start_bytes
        self.partial_placements[machine.name] = set(chosen)
        entry["tasks"] = encode_machine_tasks(chosen)
        return machine_entry_bytes(machine.name, entry)

    def recorded_placements(self, machine: Machine) -> Iterable[Placement]:
        """Those that the machine's entry holds."""
        return self.partial_placements.get(machine.name, machine.placements.values())

    def _find_segment(self, size: int) -> int:
        for number in sorted(self.entries_by_segment):
            # A third of a page is left for the growth of the entries already there.
            if self.segment_bytes[number] + size <= self.fill_bytes * 2 // 3:
                return number
        return max(self.entries_by_segment, default=-1) + 1

    def current_machines(self, number: int) -> list[str]:
        """The machines whose newest entry is on this page."""
        return [
            machine_name
            for machine_name in self.entries_by_segment[number]
            if self.segment_by_machine[machine_name] == number
        ]

    def mark_written(self, number: int, version: int) -> None:
        self.segment_versions[number] = version
        self.dirty_segments.discard(number)
        for machine_name in self.current_machines(number):
            for superseded_segment in self.superseded_segments.pop(machine_name, set()):
                self._remove_entry(superseded_segment, machine_name)

    def encode_segment(self, number: int) -> dict[str, Any]:
        return {"machines": dict(self.entries_by_segment[number])}
