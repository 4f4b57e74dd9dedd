"""Headroom: capacity kept free for classes whose jobs must start at once. No I/O.

Some classes have the highest priority and a start-time objective shorter than the boot time of any machine. On a fleet
filled with lower-priority tasks, each of their tasks waited for another to end: 0.9 s in the median, and up to a minute
if the tasks had to be spread over zones and lower-priority tasks held all room of one zone (as logged in the simulated
cluster). So lower-priority jobs leave room for HEADROOM_JOBS_PER_ZONE such jobs in each zone, on the machines that hold
most of their images. Headroom that has been used is restored as lower-priority tasks end, before others of them start.

Bound: at most MAX_HEADROOM_CPU_FRACTION of a zone's CPUs is kept free, and nothing if no class has such an objective.
The queue order is unchanged: the headroom only spares the first job the wait for running tasks.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import NamedTuple

from roseweir.clock import NEVER
from roseweir.scheduler.model import JobRun, Machine, max_fitting_tasks
from roseweir.settings import ServiceLevelObjective
from roseweir.submissions.jobs import JobSpec, MachineType

# How many jobs of each immediate-start class each zone keeps room for.
HEADROOM_JOBS_PER_ZONE = 1
# The largest fraction of a zone's CPUs that is kept free.
MAX_HEADROOM_CPU_FRACTION = 0.06
# After this wait a job that must start at once may use CPUs reserved for GPU jobs of lower priority: replicas waited a
# minute in a zone where only those CPUs were free.
GPU_RESERVE_WAIVED_AFTER = timedelta(seconds=5)


class ReservedRoom(NamedTuple):
    """What is kept free on a machine."""

    cpus: float
    memory_gb: float


NO_RESERVED_ROOM = ReservedRoom(0.0, 0.0)


@dataclass(slots=True)
class ImmediateStartClass:
    """A class whose jobs must start at once, and the sizes of its jobs in this term."""

    latest_spec: JobSpec
    max_tasks_per_zone: int = 0  # tasks that its largest job may have in one zone

    def observe_job(self, spec: JobSpec) -> None:
        """Record a job of the class."""
        self.latest_spec = spec
        self.max_tasks_per_zone = max(
            self.max_tasks_per_zone, (spec.task_count + 1) // 2 if spec.spread_across_zones else spec.task_count
        )


@dataclass(slots=True)
class Headroom:
    """The immediate-start classes, and the capacity kept free for them in the last pass, by machine name."""

    start_time_objectives: dict[str, timedelta]
    immediate_start_classes: dict[str, ImmediateStartClass] = field(default_factory=dict)
    reserved_by_machine: dict[str, ReservedRoom] = field(default_factory=dict)

    @classmethod
    def from_objectives(cls, objectives: Iterable[ServiceLevelObjective]) -> "Headroom":
        """Headroom for the classes whose objective is a time until the start."""
        return cls(
            {
                o.job_class: o.threshold
                for o in objectives
                if o.objective_type == "wait" and o.job_class and o.threshold is not None
            }
        )

    def observe_job(self, spec: JobSpec, catalog: Iterable[MachineType]) -> None:
        """Record a job: its class must start at once if no machine boots within its objective and it needs no GPUs."""
        objective = self.start_time_objectives.get(spec.job_class)
        if (
            objective is None
            or spec.gpus > 0
            or objective >= min((t.boot_duration for t in catalog), default=objective)
        ):
            return
        if spec.job_class in self.immediate_start_classes:
            self.immediate_start_classes[spec.job_class].observe_job(spec)
        else:
            self.immediate_start_classes[spec.job_class] = ImmediateStartClass(spec)
            self.immediate_start_classes[spec.job_class].observe_job(spec)

    def must_start_at_once(self, spec: JobSpec) -> bool:
        """Whether the job is of an immediate-start class."""
        return spec.job_class in self.immediate_start_classes

    def must_leave_headroom(self, run: JobRun) -> bool:
        """Whether the job must leave the headroom free: CPU-only, beyond its guarantee, and of lower priority."""
        if run.is_within_quota or run.spec.gpus > 0 or run.spec.job_class in self.immediate_start_classes:
            return False
        return any(
            run.priority > start_class.latest_spec.priority for start_class in self.immediate_start_classes.values()
        )

    def may_waive_gpu_reserve(self, run: JobRun, highest_gpu_priority: int, now: datetime) -> bool:
        """Whether the job may use CPUs reserved for GPU jobs. `highest_gpu_priority`: of all GPU jobs in this term."""
        if run.spec.job_class not in self.immediate_start_classes or run.priority >= highest_gpu_priority:
            return False
        return run.first_waited_at != NEVER and now - run.first_waited_at >= GPU_RESERVE_WAIVED_AFTER

    def reserve(self, machines: Iterable[Machine], low_latency_images: set[str]) -> dict[str, ReservedRoom]:
        """Choose again on which machines the headroom is kept, from what is free now.

        Args:
            machines: the machines that tasks may be started on.
            low_latency_images: images of low-latency classes; machines that hold most of them come first.

        Returns:
            What is kept free, by machine name; also in `reserved_by_machine`.
        """
        self.reserved_by_machine = {}
        if not self.immediate_start_classes:
            return self.reserved_by_machine
        machines_by_zone: dict[str, list[Machine]] = {}
        for machine in machines:
            machines_by_zone.setdefault(machine.zone, []).append(machine)
        for start_class in self.immediate_start_classes.values():
            for zone_machines in machines_by_zone.values():
                self._reserve_in_zone(start_class, zone_machines, low_latency_images)
        return self.reserved_by_machine

    def _reserve_in_zone(
        self, start_class: ImmediateStartClass, machines: list[Machine], low_latency_images: set[str]
    ) -> None:
        spec = start_class.latest_spec
        fitting_machines = [
            m
            for m in machines
            if m.machine_type.gpus <= 0
            and spec.fits_machine_type(m.machine_type)
            and (spec.allows_spot or not m.is_spot)
        ]
        max_cpus = sum(m.machine_type.cpus for m in machines if m.machine_type.gpus <= 0) * MAX_HEADROOM_CPU_FRACTION
        missing_tasks = min(
            start_class.max_tasks_per_zone * HEADROOM_JOBS_PER_ZONE, int(max_cpus / spec.cpus) if spec.cpus > 0 else 0
        )
        ranked_machines = [
            (-sum(image in low_latency_images for image in m.image_cache), n, m)
            for n, m in enumerate(fitting_machines)
            if m.free_cpus > 0
        ]
        ranked_machines.sort(key=lambda entry: entry[:2])
        for _, _, machine in ranked_machines:
            if missing_tasks <= 0:
                return
            cpus, memory_gb = self.reserved_by_machine.get(machine.name, NO_RESERVED_ROOM)
            reservable_tasks = max_fitting_tasks(
                spec, machine.free_cpus - cpus, 0.0, machine.free_memory_gb - memory_gb
            )
            reservable_tasks = min(reservable_tasks, missing_tasks)
            if reservable_tasks > 0:
                self.reserved_by_machine[machine.name] = ReservedRoom(
                    cpus + spec.cpus * reservable_tasks, memory_gb + spec.memory_gb * reservable_tasks
                )
                missing_tasks -= reservable_tasks
