"""Room kept free for work that must start at once. Pure.

Some classes are to start within less time than any machine takes to boot, and before all else. On a fleet that lower
work fills, each of their tasks waited for something to end: 0.9 s in the middle and up to a minute where their tasks
have to be spread over zones of which one had no room but what lower work held (third place, steady, log). So lower
work leaves in each zone the room of JOBS such jobs, on the machines that hold most of their images. What is taken of it
is made up for by the next ends of lower work, before any of that starts again.

Bound: at most PART of a zone's CPUs stand free so; nothing where no class has such an aim. The order of the queue is
as before: this only makes that what comes first need not wait for what is there already.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from roseweir.clock import NEVER
from roseweir.scheduler.model import JobRun, Machine, max_fitting_tasks
from roseweir.settings import ServiceLevelObjective
from roseweir.submissions.jobs import JobSpec, MachineType

HEADROOM_JOBS_PER_ZONE = 1
MAX_HEADROOM_CPU_FRACTION = 0.06
# After so long without room it may use machines that are kept clear for GPU work of lower rank: replicas waited a
# minute in a zone that was full but for those (third place, rough).
GPU_RESERVE_WAIVED_AFTER = timedelta(seconds=5)


@dataclass(slots=True)
class UrgentClass:
    """A class that must start at once, as its jobs have been so far."""

    latest_spec: JobSpec  # the latest
    max_tasks_per_zone: int = 0  # tasks that its largest job may have in one zone

    def observe_job(self, spec: JobSpec) -> None:
        self.latest_spec = spec
        self.max_tasks_per_zone = max(
            self.max_tasks_per_zone, (spec.task_count + 1) // 2 if spec.spread_across_zones else spec.task_count
        )


@dataclass(slots=True)
class Headroom:
    """Which classes must start at once, and what was kept for them in the last pass: (CPUs, GB) by machine."""

    start_time_objectives: dict[str, timedelta]
    urgent_classes: dict[str, UrgentClass] = field(default_factory=dict)
    reserved_by_machine: dict[str, tuple[float, float]] = field(default_factory=dict)

    @classmethod
    def from_objectives(cls, objectives: Iterable[ServiceLevelObjective]) -> "Headroom":
        return cls(
            {
                o.job_class: o.threshold
                for o in objectives
                if o.objective_type == "wait" and o.job_class and o.threshold is not None
            }
        )

    def observe_job(self, spec: JobSpec, catalog: Iterable[MachineType]) -> None:
        objective = self.start_time_objectives.get(spec.job_class)
        if (
            objective is None
            or spec.gpus > 0
            or objective >= min((t.boot_duration for t in catalog), default=objective)
        ):
            return
        if spec.job_class in self.urgent_classes:
            self.urgent_classes[spec.job_class].observe_job(spec)
        else:
            self.urgent_classes[spec.job_class] = UrgentClass(spec)
            self.urgent_classes[spec.job_class].observe_job(spec)

    def is_urgent(self, spec: JobSpec) -> bool:
        return spec.job_class in self.urgent_classes

    def must_leave_headroom(self, run: JobRun) -> bool:
        """Whether the job's tasks leave the headroom alone: it comes after some class that must start at once."""
        if run.is_within_quota or run.spec.gpus > 0 or run.spec.job_class in self.urgent_classes:
            return False
        return any(run.priority > each.latest_spec.priority for each in self.urgent_classes.values())

    def may_waive_gpu_reserve(self, run: JobRun, gpu_priority: int, now: datetime) -> bool:
        """Whether the job need not leave GPU machines clear. `gpu_priority`: the highest rank of GPU work seen."""
        if run.spec.job_class not in self.urgent_classes or run.priority >= gpu_priority:
            return False
        return run.first_waited_at != NEVER and now - run.first_waited_at >= GPU_RESERVE_WAIVED_AFTER

    def reserve(self, machines: Iterable[Machine], urgent_images: set[str]) -> dict[str, tuple[float, float]]:
        """See anew where the room is kept, of what is free now. `images`: of classes that must start soon."""
        self.reserved_by_machine = {}
        if not self.urgent_classes:
            return self.reserved_by_machine
        machines_by_zone: dict[str, list[Machine]] = {}
        for machine in machines:
            machines_by_zone.setdefault(machine.zone, []).append(machine)
        for urgent_class in self.urgent_classes.values():
            for zone in machines_by_zone.values():
                self._reserve_in_zone(urgent_class, zone, urgent_images)
        return self.reserved_by_machine

    def _reserve_in_zone(self, urgent_class: UrgentClass, machines: list[Machine], urgent_images: set[str]) -> None:
        spec = urgent_class.latest_spec
        fitting = [
            m
            for m in machines
            if m.machine_type.gpus <= 0
            and spec.fits_machine_type(m.machine_type)
            and (spec.allows_spot or not m.is_spot)
        ]
        max_cpus = sum(m.machine_type.cpus for m in machines if m.machine_type.gpus <= 0) * MAX_HEADROOM_CPU_FRACTION
        missing_tasks = min(
            urgent_class.max_tasks_per_zone * HEADROOM_JOBS_PER_ZONE, int(max_cpus / spec.cpus) if spec.cpus > 0 else 0
        )
        ranked = [
            (-sum(image in urgent_images for image in m.image_cache), n, m)
            for n, m in enumerate(fitting)
            if m.free_cpus > 0
        ]
        ranked.sort(key=lambda entry: entry[:2])
        for _, _, machine in ranked:
            if missing_tasks <= 0:
                return
            cpus, memory_gb = self.reserved_by_machine.get(machine.name, (0.0, 0.0))
            slots = max_fitting_tasks(spec, machine.free_cpus - cpus, 0.0, machine.free_memory - memory_gb)
            slots = min(slots, missing_tasks)
            if slots > 0:
                self.reserved_by_machine[machine.name] = (cpus + spec.cpus * slots, memory_gb + spec.memory_gb * slots)
                missing_tasks -= slots
