"""Segments of the write-ahead log: which tasks may be on which machine.

A segment is one value of the key-value store and holds the entries of several machines. With hundreds of machines a
scheduling pass changes every segment, and writing all of them before tasks could start took seconds, while 2,000 to
3,000 tasks waited. So new starts are written to a delta first (`log_delta`), and to segments later, as the store's
write rate allows (`compaction`).

A segment that an earlier leader wrote under a higher value limit is split: entries move to other segments, and it is
written again once the remaining ones fit.

Segments and deltas are guarded by their own versions as well as the leader's key: a late write of an older value then
fails instead of overwriting newer placements.
"""

from collections.abc import Iterable
from typing import Any

import orjson

from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.log_keys import encode_machine_tasks, encode_start_id
from roseweir.scheduler.model import Machine, Placement

# Share of its maximum size up to which a segment is filled: the encoded entries grow after they were added.
SEGMENT_FILL_RATIO = 0.8
# Punctuation of a start in a machine's entry.
START_OVERHEAD_BYTES = 12
# Punctuation around a machine's entry in its segment.
ENTRY_OVERHEAD_BYTES = 8
# A segment larger than this share of the value limit is not written at all.
MAX_VALUE_RATIO = 0.95
# Several segments share one transaction, which is limited to 64 KiB.
MAX_SEGMENT_BYTES = 8 * 1024


def machine_entry_bytes(machine_name: str, entry: dict[str, Any]) -> int:
    """Return the bytes that a machine's entry takes of its segment."""
    return len(orjson.dumps(entry)) + len(machine_name) + ENTRY_OVERHEAD_BYTES


def _build_entry(machine: Machine, tasks: dict[str, dict[str, list[int]]]) -> dict[str, Any]:
    """Return the entry of a machine with these tasks."""
    return {
        "type": machine.machine_type.name,
        "zone": machine.zone,
        "spot": machine.is_spot,
        "tasks": tasks,
        # May be out of date: a new leader only uses images to place tasks where they are cached.
        "images": {image: round(size, 2) for image, size in machine.image_cache.items()},
        "rented": machine.is_autoscaled,
    }


class SegmentTable:
    """All segments of the log as they are to be written, with their sizes and stored versions.

    Attributes:
        fill_bytes: Size up to which a segment is filled.
        max_segment_bytes: Size above which a segment is not written.
        entries_by_segment: Entry of each machine, by segment number and machine name.
        entry_bytes: Encoded size of each of these entries.
        segment_bytes: Sum of the entry sizes of each segment.
        segment_versions: Stored version of each segment, 0 if it is not stored.
        dirty_segments: Segments that differ from what is stored.
        segment_by_machine: Segment with the newest entry of each machine.
        superseded_segments: Segments that hold an older entry of a machine whose entry has moved, by machine name. The
            older entry stays until the segment with the newer one is written, so each segment can be written by
            itself. Segments that had to be written together formed groups too large for a transaction, and after a
            failover nothing could be logged.
        partial_placements: Placements in the entry of each machine whose tasks do not all fit into one value. The
            other placements of the machine stay in deltas.
    """

    def __init__(self, max_value_bytes: int) -> None:
        """Create an empty table under a limit on the bytes of one value."""
        self.fill_bytes = self.max_segment_bytes = 0
        self.set_max_value_bytes(max_value_bytes)
        self.entries_by_segment: dict[int, dict[str, dict[str, Any]]] = {}
        self.entry_bytes: dict[int, dict[str, int]] = {}
        self.segment_bytes: dict[int, int] = {}
        self.segment_versions: dict[int, int] = {}
        self.dirty_segments: set[int] = set()
        self.segment_by_machine: dict[str, int] = {}
        self.superseded_segments: dict[str, set[int]] = {}
        self.partial_placements: dict[str, set[Placement]] = {}

    def set_max_value_bytes(self, max_value_bytes: int) -> None:
        """Set the limit for later writes; `split_oversized` applies it to the existing segments."""
        self.fill_bytes = int(min(max_value_bytes, MAX_SEGMENT_BYTES) * SEGMENT_FILL_RATIO)
        self.max_segment_bytes = int(max_value_bytes * MAX_VALUE_RATIO)

    def is_writable(self, number: int) -> bool:
        """Return whether a segment fits into one value."""
        return self.segment_bytes[number] <= self.max_segment_bytes

    def split_oversized(self) -> None:
        """Move entries out of segments that are too large to be written.

        A moved entry is removed from its old segment as soon as the new segment is written.
        """
        self.dirty_segments.update(self.segment_by_machine[machine_name] for machine_name in self.superseded_segments)
        for number in sorted(number for number in self.entries_by_segment if not self.is_writable(number)):
            remaining_bytes = 0
            for machine_name, size in list(self.entry_bytes[number].items()):
                if self.segment_by_machine[machine_name] != number or size > self.max_segment_bytes:
                    continue
                if remaining_bytes + size <= self.fill_bytes:
                    remaining_bytes += size
                else:
                    self._move_entry(number, machine_name)

    def _move_entry(self, number: int, machine_name: str) -> None:
        entry, size = self.entries_by_segment[number][machine_name], self.entry_bytes[number][machine_name]
        superseded_numbers = self.superseded_segments.setdefault(machine_name, set())
        superseded_numbers.add(number)
        target_number = self._find_segment(size)
        superseded_numbers.discard(target_number)
        self._store_entry(target_number, machine_name, entry, size)
        self.dirty_segments.add(target_number)

    def load_segment(self, number: int, value: dict[str, Any], version: int) -> None:
        """Add a stored segment to the table."""
        self.segment_versions[number] = version
        self.entries_by_segment[number] = {}
        self.entry_bytes[number] = {}
        self.segment_bytes[number] = 0
        for machine_name, entry in value.get("machines", {}).items():
            current_segment = self.segment_by_machine.get(machine_name)
            self._store_entry(number, machine_name, entry, machine_entry_bytes(machine_name, entry))
            if current_segment is not None:
                # An earlier leader ended between the writes of two segments: the tasks of both entries are restored.
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
        """Bring a machine's entry up to date; it moves when its segment gets too full."""
        machine = cluster_state.machines.get(machine_name)
        tasks = encode_machine_tasks(machine.placements.values()) if machine is not None else {}
        if machine is None or not (tasks or machine.image_cache):
            self._remove_machine(machine_name)
            return
        entry = _build_entry(machine, tasks)
        number = self.segment_by_machine.get(machine_name)
        if number is not None and self.entries_by_segment[number][machine_name] == entry:
            return
        size = machine_entry_bytes(machine_name, entry)
        self.partial_placements.pop(machine_name, None)
        if size > self.fill_bytes:
            # Leaves room for tasks: images only improve the placements of a new leader.
            entry["images"] = {}
            size = machine_entry_bytes(machine_name, entry)
        if size > self.max_segment_bytes:
            size = self._truncate_entry(machine, entry)
        # An entry still above the value limit, written by an earlier leader, stays in its segment, which is not written
        # until tasks of it have ended.
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
        """Remove tasks from an entry above the value limit, except tasks that are in no delta; return its size."""
        included_placements = [p for p in machine.placements.values() if p.is_in_segment]
        size = machine_entry_bytes(machine.name, entry | {"tasks": encode_machine_tasks(included_placements)})
        for placement in machine.placements.values():
            start_bytes = (
                len(placement.run.spec.id)
                + len(encode_start_id(placement))
                + len(str(placement.index))
                + START_OVERHEAD_BYTES
            )
            if not placement.is_in_segment and size + start_bytes <= self.fill_bytes:
                included_placements.append(placement)
                size += start_bytes
        self.partial_placements[machine.name] = set(included_placements)
        entry["tasks"] = encode_machine_tasks(included_placements)
        return machine_entry_bytes(machine.name, entry)

    def placements_in_entry(self, machine: Machine) -> Iterable[Placement]:
        """Return the placements in a machine's entry."""
        return self.partial_placements.get(machine.name, machine.placements.values())

    def _find_segment(self, size: int) -> int:
        for number in sorted(self.entries_by_segment):
            # A third of a segment is left for the growth of the entries already there.
            if self.segment_bytes[number] + size <= self.fill_bytes * 2 // 3:
                return number
        return max(self.entries_by_segment, default=-1) + 1

    def current_machines(self, number: int) -> list[str]:
        """Return the machines whose newest entry is in this segment."""
        return [
            machine_name
            for machine_name in self.entries_by_segment[number]
            if self.segment_by_machine[machine_name] == number
        ]

    def mark_written(self, number: int, version: int) -> None:
        """Record that a segment was stored under this version, and remove older entries of its machines elsewhere."""
        self.segment_versions[number] = version
        self.dirty_segments.discard(number)
        for machine_name in self.current_machines(number):
            for superseded_segment in self.superseded_segments.pop(machine_name, set()):
                self._remove_entry(superseded_segment, machine_name)

    def encode_segment(self, number: int) -> dict[str, Any]:
        """Return the value to store for a segment."""
        return {"machines": dict(self.entries_by_segment[number])}
