"""Free capacity of the machines during one scheduling pass, cached as long as it is valid.

No I/O. Within a pass only the pass itself changes machines, and `Machine.change_count` counts these changes, so results
computed for one job are reused for others. Otherwise each of 300 waiting jobs would sort the expected ends of the same
tasks on the same machines.
"""

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import NamedTuple

from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import JobRun, Machine, Placement, max_fitting_tasks
from roseweir.submissions.jobs import JobSpec

# Free CPUs, GPUs and GB are sums of floats: a shortage of no more than this is ignored.
CAPACITY_TOLERANCE = 1e-6

# CPUs, GPUs and GB of memory that a task takes.
TaskSize = tuple[float, float, float]
# Which machines a job allows: types, zone, whether spot machines, and whether it needs GPUs. CPU-only work has less
# room on a machine with GPUs, where CPUs are reserved for tasks that need GPUs.
MachineRequirements = tuple[tuple[str, ...] | None, str | None, bool, bool]


def allows_machine(spec: JobSpec, machine: Machine) -> bool:
    """Whether the job allows the machine by type, zone and spot status, and its image fits into the image cache."""
    return (
        (spec.machine_types is None or machine.machine_type.name in spec.machine_types)
        and (spec.zone is None or machine.zone == spec.zone)
        and (spec.allows_spot or not machine.is_spot)
        and (spec.image_gb <= machine.machine_type.cache_gb or spec.image_fits_cache(machine.machine_type))
    )


def task_size(spec: JobSpec) -> TaskSize:
    """Return the resources that one task of the job takes."""
    return (spec.cpus, spec.gpus, spec.memory_gb)


def machine_requirements(spec: JobSpec) -> MachineRequirements:
    """Return which machines the job allows, as a cache key."""
    return (
        None if spec.machine_types is None else tuple(spec.machine_types),
        spec.zone,
        spec.allows_spot,
        spec.gpus > 0,
    )


class FreeCapacity:
    """Free resources of a machine, to which those of its tasks can be added as if the tasks had ended."""

    __slots__ = ("cpus", "gpus", "memory_gb", "task_slots")

    def __init__(self, machine: Machine) -> None:
        self.cpus, self.gpus, self.memory_gb = machine.free_cpus, machine.free_gpus, machine.free_memory_gb
        self.task_slots = machine.free_task_slots

    def release(self, placement: Placement) -> None:
        """Add the task's resources to the free ones."""
        spec = placement.run.spec
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory_gb += spec.memory_gb
        self.task_slots += 1

    def task_capacity(self, spec: JobSpec) -> int:
        """Return how many tasks of the job fit into the free resources."""
        return min(max_fitting_tasks(spec, self.cpus, self.gpus, self.memory_gb), self.task_slots)


class MachineWithRoom(NamedTuple):
    """A machine, and when it will have room for one task more than its earlier entries in the same list take."""

    free_at: datetime
    machine: Machine


class CapacitySnapshot:
    """Free capacity of the fleet in one scheduling pass, and when more becomes free."""

    def __init__(self, cluster_state: ClusterState, machines: list[Machine], now: datetime) -> None:
        """Take a snapshot; `machines` are those on which tasks may be started."""
        self.cluster_state = cluster_state
        self.machines = machines
        self.now = now
        self._rank_by_machine = {m.name: n for n, m in enumerate(machines)}
        self._low_latency_image_penalties: dict[str, float] = {}
        self._fitting_gpu_machines: dict[tuple[MachineRequirements, TaskSize], list[Machine]] = {}
        self._fitting_gpu_machines_by_zone: dict[tuple[MachineRequirements, TaskSize], dict[str, list[Machine]]] = {}
        self._expected_ends_by_machine: dict[str, tuple[int, list[tuple[datetime, Placement]]]] = {}
        self._earliest_room_order: list[tuple[datetime, str, Machine]] | None = None
        self._estimated_durations: dict[JobRun, timedelta] = {}
        # Jobs that have no room on some machine for want of task slots alone, which says nothing about other jobs.
        self.slot_limited_job_ids: set[str] = set()
        # Task sizes for which no machine has room, by machine requirements and access level.
        self._full_sizes: dict[tuple[MachineRequirements, int], list[TaskSize]] = {}

    def rank(self, machine: Machine) -> int:
        """Return the machine's position among those of the pass, the tie-breaker between equal machines."""
        return self._rank_by_machine[machine.name]

    def low_latency_image_penalty(self, machine: Machine) -> float:
        """Return 1.0 for a machine that has cached images of low-latency classes, else 0.0."""
        penalty = self._low_latency_image_penalties.get(machine.name)
        if penalty is None:
            low_latency_images = self.cluster_state.low_latency_images
            penalty = self._low_latency_image_penalties[machine.name] = float(
                any(image in low_latency_images for image in machine.image_cache)
            )
        return penalty

    def fitting_gpu_machines(self, spec: JobSpec) -> list[Machine]:
        """Return the machines with GPUs on which a task of the job would fit if they were empty."""
        key = (machine_requirements(spec), task_size(spec))
        fitting_machines = self._fitting_gpu_machines.get(key)
        if fitting_machines is None:
            fitting_machines = [
                m
                for m in self.machines
                if m.machine_type.gpus > 0 and allows_machine(spec, m) and spec.fits_machine_type(m.machine_type)
            ]
            self._fitting_gpu_machines[key] = fitting_machines
        return fitting_machines

    def fitting_gpu_machines_by_zone(self, spec: JobSpec) -> dict[str, list[Machine]]:
        """Return the machines of `fitting_gpu_machines` by zone."""
        key = (machine_requirements(spec), task_size(spec))
        machines_by_zone = self._fitting_gpu_machines_by_zone.get(key)
        if machines_by_zone is None:
            machines_by_zone = self._fitting_gpu_machines_by_zone[key] = {}
            for machine in self.fitting_gpu_machines(spec):
                machines_by_zone.setdefault(machine.zone, []).append(machine)
        return machines_by_zone

    # -- sizes without room -------------------------------------------------------------------

    def is_full(self, spec: JobSpec, access_level: int) -> bool:
        """Whether a task no larger than the job's, with the same machine requirements, was recorded to have no room.

        `access_level`: which reserved room the job may use (`CapacityReservations.access_level`). A size without room
        at one level may have room at another.
        """
        return any(
            size[0] <= spec.cpus and size[1] <= spec.gpus and size[2] <= spec.memory_gb
            for size in self._full_sizes.get((machine_requirements(spec), access_level), ())
        )

    def record_full(self, spec: JobSpec, access_level: int) -> None:
        """Record that no machine has room for a task of the job."""
        self._full_sizes.setdefault((machine_requirements(spec), access_level), []).append(task_size(spec))

    def invalidate_after_preemption(self) -> None:
        """Discard results that preemption makes invalid: sizes without room may have room, and it may come earlier."""
        self._full_sizes.clear()
        self._earliest_room_order = None

    # -- when there will be room --------------------------------------------------------------

    def earliest_machines_with_room(
        self, spec: JobSpec, zone: str | None, tasks_wanted: int, is_excluded: Callable[[Machine], bool]
    ) -> list[MachineWithRoom]:
        """Return the machines with GPUs that will have room for tasks of the job first, one entry for each task.

        Machines are searched in the order of the earliest time at which they could have room for any GPU task, and the
        search ends at the first machine that cannot have room before the last entry so far.

        Args:
            spec: the job.
            zone: None for any zone.
            tasks_wanted: how many tasks need room.
            is_excluded: machines for which it is true are left out.

        Returns:
            `tasks_wanted` entries or fewer, by time and then by the machine's name.
        """
        earliest_entries: list[tuple[datetime, str, Machine]] = []
        for earliest_possible, name, machine in self._machines_by_earliest_room():
            if len(earliest_entries) >= tasks_wanted and (earliest_possible, name) >= earliest_entries[-1][:2]:
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
            if room_times and (
                len(earliest_entries) < tasks_wanted or (room_times[0], name) < earliest_entries[-1][:2]
            ):
                earliest_entries += [(free_at, name, machine) for free_at in room_times]
                earliest_entries.sort(key=_time_and_machine_name)
                del earliest_entries[tasks_wanted:]
        return [MachineWithRoom(free_at, machine) for free_at, _, machine in earliest_entries]

    def _machines_by_earliest_room(self) -> list[tuple[datetime, str, Machine]]:
        """Return the machines with GPUs in the order of the earliest instant at which one may have room for a GPU task.

        Placements made by the pass only take room, so the order's instants stay lower bounds until a task is preempted.
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
        """Return when the machine will have room for the first, the second and further tasks."""
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
        """Return (expected end, placement) of the machine's tasks, earliest first."""
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
