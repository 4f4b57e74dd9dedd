"""Free capacity as one scheduling pass finds it, cached for as long as it holds.

No I/O. Within a pass nothing changes a machine but the pass itself, and `Machine.change_count` counts that, so what
was computed for one job serves the others. Each of 300 waiting jobs sorted the same tasks' ends on the same machines.
"""

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import NamedTuple

from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import JobRun, Machine, Placement, max_fitting_tasks
from roseweir.submissions.jobs import JobSpec

# Free CPUs, GPUs and GB are sums of floats: room that is short by no more than this is enough.
CAPACITY_TOLERANCE = 1e-6

# CPUs, GPUs and GB of memory that a task takes.
TaskSize = tuple[float, float, float]
# Which machines a job allows at all: types, zone, whether spot machines, and whether it needs GPUs: CPU-only work
# finds less room on a machine with GPUs, which is kept for those that do.
MachineRequirements = tuple[tuple[str, ...] | None, str | None, bool, bool]


def allows_machine(spec: JobSpec, machine: Machine) -> bool:
    """Whether the job allows the machine: its type, zone, spot or not, and an image cache that holds its image."""
    return (
        (spec.machine_types is None or machine.machine_type.name in spec.machine_types)
        and (spec.zone is None or machine.zone == spec.zone)
        and (spec.allows_spot or not machine.is_spot)
        and (spec.image_gb <= machine.machine_type.cache_gb or spec.image_fits_cache(machine.machine_type))
    )


def task_size(spec: JobSpec) -> TaskSize:
    """What one task of the job takes."""
    return (spec.cpus, spec.gpus, spec.memory_gb)


def machine_requirements(spec: JobSpec) -> MachineRequirements:
    """Which machines the job allows, as a key of caches."""
    return (
        None if spec.machine_types is None else tuple(spec.machine_types),
        spec.zone,
        spec.allows_spot,
        spec.gpus > 0,
    )


class FreeCapacity:
    """What is free on a machine, and what would be if more tasks left it."""

    __slots__ = ("cpus", "gpus", "memory_gb")

    def __init__(self, machine: Machine) -> None:
        self.cpus, self.gpus, self.memory_gb = machine.free_cpus, machine.free_gpus, machine.free_memory

    def release(self, placement: Placement) -> None:
        """Count what the task takes as free."""
        spec = placement.run.spec
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory_gb += spec.memory_gb

    def task_capacity(self, spec: JobSpec) -> int:
        """How many tasks of the job fit into what is free."""
        return max_fitting_tasks(spec, self.cpus, self.gpus, self.memory_gb)


class MachineWithRoom(NamedTuple):
    """A machine, and when it will have room for one more task than the entries for it before this one."""

    free_at: datetime
    machine: Machine


class CapacitySnapshot:
    """Free capacity of the fleet in one scheduling pass, and when more of it comes free."""

    def __init__(self, cluster_state: ClusterState, machines: list[Machine], now: datetime) -> None:
        """Take a snapshot; `machines`: those that tasks may be started on."""
        self.cluster_state = cluster_state
        self.machines = machines
        self.now = now
        self._rank_by_machine = {m.name: n for n, m in enumerate(machines)}
        self._urgent_image_penalties: dict[str, float] = {}
        self._fitting_gpu_machines: dict[tuple[MachineRequirements, TaskSize], list[Machine]] = {}
        self._fitting_gpu_machines_by_zone: dict[tuple[MachineRequirements, TaskSize], dict[str, list[Machine]]] = {}
        self._expected_ends_by_machine: dict[str, tuple[int, list[tuple[datetime, Placement]]]] = {}
        self._earliest_room_order: list[tuple[datetime, str, Machine]] | None = None
        self._estimated_durations: dict[JobRun, timedelta] = {}
        # Task sizes that no machine has room for, by what the job allows.
        self._full_sizes: dict[tuple[MachineRequirements, int], list[TaskSize]] = {}

    def rank(self, machine: Machine) -> int:
        """The machine's position among those of the pass: the last criterion between equal machines."""
        return self._rank_by_machine[machine.name]

    def urgent_image_penalty(self, machine: Machine) -> float:
        """1.0 for a machine that holds images of low-latency classes, else 0.0."""
        penalty = self._urgent_image_penalties.get(machine.name)
        if penalty is None:
            urgent_images = self.cluster_state.low_latency_images
            penalty = self._urgent_image_penalties[machine.name] = float(
                any(image in urgent_images for image in machine.image_cache)
            )
        return penalty

    def fitting_gpu_machines(self, spec: JobSpec) -> list[Machine]:
        """Machines with GPUs that could take a task of the job if they were empty."""
        key = (machine_requirements(spec), task_size(spec))
        fitting = self._fitting_gpu_machines.get(key)
        if fitting is None:
            fitting = [
                m
                for m in self.machines
                if m.machine_type.gpus > 0 and allows_machine(spec, m) and spec.fits_machine_type(m.machine_type)
            ]
            self._fitting_gpu_machines[key] = fitting
        return fitting

    def fitting_gpu_machines_by_zone(self, spec: JobSpec) -> dict[str, list[Machine]]:
        """The machines of `fitting_gpu_machines` by zone."""
        key = (machine_requirements(spec), task_size(spec))
        machines_by_zone = self._fitting_gpu_machines_by_zone.get(key)
        if machines_by_zone is None:
            machines_by_zone = self._fitting_gpu_machines_by_zone[key] = {}
            for machine in self.fitting_gpu_machines(spec):
                machines_by_zone.setdefault(machine.zone, []).append(machine)
        return machines_by_zone

    # -- what has no room ---------------------------------------------------------------------

    def is_full(self, spec: JobSpec, access_level: int) -> bool:
        """No machine has room for a task that takes no more than one of this job, and allows the same.

        `access_level`: which reserved room the job may use (`CapacityReservations.access_level`); what is full at one
        level may not be at another.
        """
        return any(
            size[0] <= spec.cpus and size[1] <= spec.gpus and size[2] <= spec.memory_gb
            for size in self._full_sizes.get((machine_requirements(spec), access_level), ())
        )

    def record_full(self, spec: JobSpec, access_level: int) -> None:
        """Remember that no machine has room for a task of the job."""
        self._full_sizes.setdefault((machine_requirements(spec), access_level), []).append(task_size(spec))

    def invalidate_after_preemption(self) -> None:
        """Tasks were preempted: what had no room may have some, and sooner."""
        self._full_sizes.clear()
        self._earliest_room_order = None

    # -- when there will be room --------------------------------------------------------------

    def earliest_machines_with_room(
        self, spec: JobSpec, zone: str | None, tasks_wanted: int, is_excluded: Callable[[Machine], bool]
    ) -> list[MachineWithRoom]:
        """The machines with GPUs that will soonest have room for tasks of the job, one entry for each task.

        Machines are searched in the order of the earliest time at which they could have room for anything, and the
        search ends at the first that cannot have room before the last of those found.

        Args:
            spec: the job.
            zone: None for any zone.
            tasks_wanted: how many tasks need room.
            is_excluded: machines for which it is true are left out.

        Returns:
            `tasks_wanted` entries or fewer, by time and then by the machine's name.
        """
        earliest: list[tuple[datetime, str, Machine]] = []
        for earliest_possible, name, machine in self._machines_by_earliest_room():
            if len(earliest) >= tasks_wanted and (earliest_possible, name) >= earliest[-1][:2]:
                break
            if (
                zone not in (None, machine.zone)
                or not allows_machine(spec, machine)
                or not spec.fits_machine_type(machine.machine_type)
            ):
                continue
            if is_excluded(machine):
                continue
            room_times = self._room_times(machine, spec, tasks_wanted)
            if room_times and (len(earliest) < tasks_wanted or (room_times[0], name) < earliest[-1][:2]):
                earliest += [(free_at, name, machine) for free_at in room_times]
                earliest.sort(key=_time_and_machine_name)
                del earliest[tasks_wanted:]
        return [MachineWithRoom(free_at, machine) for free_at, _, machine in earliest]

    def _machines_by_earliest_room(self) -> list[tuple[datetime, str, Machine]]:
        """Machines with GPUs by the instant before which they have no room for a task that takes any.

        What the pass places on them meanwhile takes room and gives none, so this holds until a task is preempted.
        """
        if self._earliest_room_order is None:
            self._earliest_room_order = [
                (self._earliest_room(m), m.name, m) for m in self.machines if m.machine_type.gpus > 0
            ]
            self._earliest_room_order.sort(key=_time_and_machine_name)
        return self._earliest_room_order

    def _earliest_room(self, machine: Machine) -> datetime:
        if machine.free_gpus > CAPACITY_TOLERANCE:
            return self.now
        gpu_placements = (p for p in machine.placements.values() if p.run.spec.gpus > 0)
        return min(
            (p.expected_end(self.now, self._estimated_duration(p.run)) for p in gpu_placements), default=self.now
        )

    def _estimated_duration(self, run: JobRun) -> timedelta:
        duration = self._estimated_durations.get(run)
        if duration is None:
            duration = self._estimated_durations[run] = self.cluster_state.estimate_runtime(run.spec)
        return duration

    def _room_times(self, machine: Machine, spec: JobSpec, tasks_wanted: int) -> list[datetime]:
        """When there will be room for the first, the second and further tasks."""
        free_capacity = FreeCapacity(machine)
        room_times = [self.now] * min(tasks_wanted, free_capacity.task_capacity(spec))
        if len(room_times) >= tasks_wanted:
            return room_times
        for end, placement in self._expected_ends(machine):
            free_capacity.release(placement)
            room_times += [end] * (min(tasks_wanted, free_capacity.task_capacity(spec)) - len(room_times))
            if len(room_times) >= tasks_wanted:
                break
        return room_times

    def _expected_ends(self, machine: Machine) -> list[tuple[datetime, Placement]]:
        """The machine's tasks in the order in which they should end."""
        cached = self._expected_ends_by_machine.get(machine.name)
        if cached is not None and cached[0] == machine.change_count:
            return cached[1]
        ends = [(p.expected_end(self.now, self._estimated_duration(p.run)), p) for p in machine.placements.values()]
        ends.sort(key=_end_time)
        self._expected_ends_by_machine[machine.name] = (machine.change_count, ends)
        return ends


def _end_time(pair: tuple[datetime, Placement]) -> datetime:
    return pair[0]


def _time_and_machine_name(entry: tuple[datetime, str, Machine]) -> tuple[datetime, str]:
    return entry[:2]
