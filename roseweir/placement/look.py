"""What one planning pass has found out about the machines, kept for as long as it holds.

Pure. Within a pass nothing changes a machine but the pass itself, and `Machine.changes` counts that, so what was
worked out for one job serves the others. Each of 300 waiting jobs sorted the same tasks' ends on the same machines.
"""

from collections.abc import Callable
from datetime import datetime, timedelta

from roseweir.placement.board import Board
from roseweir.placement.model import JobRun, Machine, Placement, how_many
from roseweir.submissions.jobs import JobSpec

# Type, zone and kind of machine.
Kind = tuple[str, str, bool]
# CPUs, GPUs and GB of memory that a task takes.
Size = tuple[float, float, float]
# Which machines a job allows at all: types, zone, whether spot machines, and whether it needs GPUs: CPU-only work
# finds less room on a machine with GPUs, which is kept for those that do.
Demand = tuple[tuple[str, ...] | None, str | None, bool, bool]


def suits(spec: JobSpec, machine: Machine) -> bool:
    """Type, zone and kind of machine that the job allows."""
    return (
        (spec.types is None or machine.type.name in spec.types)
        and (spec.zone is None or machine.zone == spec.zone)
        and (spec.spot or not machine.spot)
        and (spec.image_gb <= machine.type.cache_gb or spec.is_held_by(machine.type))
    )


def size_of(spec: JobSpec) -> Size:
    return (spec.cpus, spec.gpus, spec.memory_gb)


def demand_of(spec: JobSpec) -> Demand:
    return (None if spec.types is None else tuple(spec.types), spec.zone, spec.spot, spec.gpus > 0)


class Room:
    """What is free on a machine, and what would be if more tasks left it."""

    __slots__ = ("cpus", "gpus", "memory")

    def __init__(self, machine: Machine) -> None:
        self.cpus, self.gpus, self.memory = machine.free_cpus, machine.free_gpus, machine.free_memory

    def add(self, placement: Placement) -> None:
        spec = placement.run.spec
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory += spec.memory_gb

    def tasks(self, spec: JobSpec) -> int:
        return how_many(spec, self.cpus, self.gpus, self.memory)


class Look:
    def __init__(self, board: Board, machines: list[Machine], now: datetime) -> None:
        """`machines`: those that tasks may be started on."""
        self.board = board
        self.machines = machines
        self.now = now
        self._rank = {m.name: n for n, m in enumerate(machines)}
        self._precious: dict[str, float] = {}
        self._fitting: dict[tuple[Demand, Size], list[Machine]] = {}
        self._zones: dict[tuple[Demand, Size], dict[str, list[Machine]]] = {}
        self._ends: dict[str, tuple[int, list[tuple[datetime, Placement]]]] = {}
        self._order: list[tuple[datetime, str, Machine]] | None = None
        self._estimates: dict[JobRun, timedelta] = {}
        # What no machine has room for, by what the job allows.
        self._full: dict[tuple[Demand, int], list[Size]] = {}

    def rank(self, machine: Machine) -> int:
        return self._rank[machine.name]

    def precious(self, machine: Machine) -> float:
        """1.0 for a machine that holds images of classes which must start soon."""
        found = self._precious.get(machine.name)
        if found is None:
            prompt = self.board.prompt_images
            found = self._precious[machine.name] = float(any(image in prompt for image in machine.images))
        return found

    def with_gpus(self, spec: JobSpec) -> list[Machine]:
        """Machines with GPUs that could take a task of the job if they were empty."""
        key = (demand_of(spec), size_of(spec))
        found = self._fitting.get(key)
        if found is None:
            found = [m for m in self.machines if m.type.gpus > 0 and suits(spec, m) and spec.fits(m.type)]
            self._fitting[key] = found
        return found

    def by_zone(self, spec: JobSpec) -> dict[str, list[Machine]]:
        """The same by zone."""
        key = (demand_of(spec), size_of(spec))
        found = self._zones.get(key)
        if found is None:
            found = self._zones[key] = {}
            for machine in self.with_gpus(spec):
                found.setdefault(machine.zone, []).append(machine)
        return found

    # -- what has no room ---------------------------------------------------------------------

    def is_full(self, spec: JobSpec, access: int) -> bool:
        """No machine has room for a task that takes no more than one of this job, and allows the same.

        `access`: what it may use of the room that is kept for others; jobs that differ in it say nothing of each other.
        """
        return any(
            size[0] <= spec.cpus and size[1] <= spec.gpus and size[2] <= spec.memory_gb
            for size in self._full.get((demand_of(spec), access), ())
        )

    def note_full(self, spec: JobSpec, access: int) -> None:
        self._full.setdefault((demand_of(spec), access), []).append(size_of(spec))

    def room_came_free(self) -> None:
        """Somebody was stopped: what had no room may have some, and sooner."""
        self._full.clear()
        self._order = None

    # -- when there will be room --------------------------------------------------------------

    def soonest(
        self, spec: JobSpec, zone: str | None, wanted: int, passed_over: Callable[[Machine], bool]
    ) -> list[tuple[datetime, Machine]]:
        """The machines with GPUs that have room for so many of the job's tasks the soonest, in order.

        They are looked at in the order of the time before which they have no room for anything, so most need no
        look: one that has no room before the last of those found has nothing to add.
        """
        found: list[tuple[datetime, str, Machine]] = []
        for bound, name, machine in self._in_order():
            if len(found) >= wanted and (bound, name) >= found[-1][:2]:
                break
            if zone not in (None, machine.zone) or not suits(spec, machine) or not spec.fits(machine.type):
                continue
            if passed_over(machine):
                continue
            times = self._room_at(machine, spec, wanted)
            if times and (len(found) < wanted or (times[0], name) < found[-1][:2]):
                found += [(when, name, machine) for when in times]
                found.sort(key=_when_and_who)
                del found[wanted:]
        return [(when, machine) for when, _, machine in found]

    def _in_order(self) -> list[tuple[datetime, str, Machine]]:
        """Machines with GPUs by the instant before which they have no room for a task that takes any.

        What the pass places on them meanwhile takes room and gives none, so this holds until somebody is stopped.
        """
        if self._order is None:
            self._order = [(self._room_before(m), m.name, m) for m in self.machines if m.type.gpus > 0]
            self._order.sort(key=_when_and_who)
        return self._order

    def _room_before(self, machine: Machine) -> datetime:
        if machine.free_gpus > 1e-6:
            return self.now
        with_gpus = (p for p in machine.placements.values() if p.run.spec.gpus > 0)
        return min((p.expected_end(self.now, self._estimate(p.run)) for p in with_gpus), default=self.now)

    def _estimate(self, run: JobRun) -> timedelta:
        found = self._estimates.get(run)
        if found is None:
            found = self._estimates[run] = self.board.estimate(run.spec)
        return found

    def _room_at(self, machine: Machine, spec: JobSpec, wanted: int) -> list[datetime]:
        """When there will be room for the first, the second and further tasks."""
        room = Room(machine)
        times = [self.now] * min(wanted, room.tasks(spec))
        if len(times) >= wanted:
            return times
        for end, placement in self._timeline(machine):
            room.add(placement)
            times += [end] * (min(wanted, room.tasks(spec)) - len(times))
            if len(times) >= wanted:
                break
        return times

    def _timeline(self, machine: Machine) -> list[tuple[datetime, Placement]]:
        """The machine's tasks in the order in which they should end."""
        known = self._ends.get(machine.name)
        if known is not None and known[0] == machine.changes:
            return known[1]
        ends = [(p.expected_end(self.now, self._estimate(p.run)), p) for p in machine.placements.values()]
        ends.sort(key=_when)
        self._ends[machine.name] = (machine.changes, ends)
        return ends


def _when(pair: tuple[datetime, Placement]) -> datetime:
    return pair[0]


def _when_and_who(entry: tuple[datetime, str, Machine]) -> tuple[datetime, str]:
    return entry[:2]
