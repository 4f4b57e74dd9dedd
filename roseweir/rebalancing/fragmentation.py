"""Measures how much of the free GPU capacity is lost to fragmentation. Pure.

For each size of GPU task that was requested recently, it counts the slots that exist, and those that would exist if
the free capacity of all machines were consolidated. The difference is lost to fragmentation: 11 GPUs free on 6 machines
may hold no task of 8. A size expires when it has not been requested for a while, so that a single unusual job does not
make slots scarce for all others.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from roseweir.scheduler.capacity_snapshot import TaskSize, allows_machine, task_size
from roseweir.scheduler.model import JobRun, Machine
from roseweir.submissions.jobs import JobSpec, MachineType

# How long a size counts as requested, and how many sizes are tracked: the most recently requested ones.
DEMAND_WINDOW, MAX_TRACKED_SIZES = timedelta(minutes=5), 8
# Time for which arrivals are expected, at the rate of the last `DEMAND_WINDOW`.
DEMAND_HORIZON = timedelta(minutes=1)


@dataclass(slots=True)
class SizeDemand:
    """Recent demand for one size of GPU task."""

    last_requested_at: datetime
    arrivals: list[tuple[datetime, int]] = field(default_factory=list)  # time and number of requested tasks

    def expected_arrivals(self, now: datetime) -> float:
        """Number of tasks of this size expected to arrive within `DEMAND_HORIZON`."""
        self.arrivals = [(at, tasks) for at, tasks in self.arrivals if now - at < DEMAND_WINDOW]
        return sum(tasks for _, tasks in self.arrivals) * (DEMAND_HORIZON / DEMAND_WINDOW)


@dataclass(slots=True)
class FragmentationReport:
    """Free slots of one task size, with and without fragmentation, for operators."""

    gpus: float
    cpus: float
    memory_gb: float
    free_slots: int  # tasks of this size that fit now
    slots_if_defragmented: int  # that would fit if the free capacity were consolidated on as few machines as possible
    waiting_tasks: int  # that wait for a slot


class RequestedSizes:
    def __init__(self) -> None:
        self.demand_by_size: dict[TaskSize, SizeDemand] = {}
        self._observed_jobs: dict[str, None] = {}

    def observe_jobs(self, runs: Iterable[JobRun], now: datetime) -> None:
        """Update the demand from the present jobs with GPUs; a job counts as an arrival only once, when it is new."""
        present_jobs: dict[str, None] = {}
        for run in runs:
            spec = run.spec
            if spec.gpus <= 0 or run.final_state:
                continue
            present_jobs[spec.id] = None
            demand = self.demand_by_size.setdefault(task_size(spec), SizeDemand(now))
            if run.pending_count > 0:
                demand.last_requested_at = now
            if spec.id not in self._observed_jobs:
                demand.arrivals.append((now, spec.task_count))
        self._observed_jobs = present_jobs
        for size in [s for s, demand in self.demand_by_size.items() if now - demand.last_requested_at > DEMAND_WINDOW]:
            del self.demand_by_size[size]
        while len(self.demand_by_size) > MAX_TRACKED_SIZES:
            del self.demand_by_size[
                min(self.demand_by_size, key=lambda s: (self.demand_by_size[s].last_requested_at, s))
            ]

    def larger_sizes(self, spec: JobSpec) -> list[TaskSize]:
        return [size for size in self.demand_by_size if size[1] > spec.gpus + 1e-6]


def free_slots(machine: Machine, size: TaskSize) -> int:
    return min(
        int((free + 1e-6) / need)
        for free, need in zip((machine.free_cpus, machine.free_gpus, machine.free_memory_gb), size, strict=True)
        if need > 0
    )


def slots_when_empty(machine_type: MachineType, size: TaskSize) -> int:
    """Number of tasks of this size that an empty machine of the type holds."""
    capacity = (machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
    return min(int((available + 1e-6) / need) for available, need in zip(capacity, size, strict=True) if need > 0)


def measure_fragmentation(
    machines: Iterable[Machine], waiting_jobs: Iterable[tuple[JobSpec, int]], sizes: Iterable[TaskSize]
) -> list[FragmentationReport]:
    """Return a report for each size, in ascending order of GPUs.

    Args:
        machines: The machines whose free capacity counts.
        waiting_jobs: Jobs, each with the number of its tasks that are not placed.
        sizes: The task sizes to report.
    """
    gpu_machines = [m for m in machines if m.machine_type.gpus > 0]
    waiting_by_size: dict[TaskSize, int] = {}
    for spec, tasks in waiting_jobs:
        if spec.gpus > 0:
            waiting_by_size[task_size(spec)] = waiting_by_size.get(task_size(spec), 0) + tasks
    reports = []
    for size in sorted(sizes, key=lambda s: (s[1], s)):
        current_slots = sum(free_slots(m, size) for m in gpu_machines if slots_when_empty(m.machine_type, size) > 0)
        defragmented_slots = 0
        for machine_type in {m.machine_type.name: m.machine_type for m in gpu_machines}.values():
            same_type = [m for m in gpu_machines if m.machine_type.name == machine_type.name]
            slots_per_machine = slots_when_empty(machine_type, size)
            if slots_per_machine == 0:
                continue
            # As if the free capacity of all machines of a type were consolidated, limited to what they hold when empty.
            free_totals = (
                sum(m.free_cpus for m in same_type),
                sum(m.free_gpus for m in same_type),
                sum(m.free_memory_gb for m in same_type),
            )
            pooled_slots = min(
                int((available + 1e-6) / need) for available, need in zip(free_totals, size, strict=True) if need > 0
            )
            defragmented_slots += min(pooled_slots, slots_per_machine * len(same_type))
        cpus, gpus, memory = size
        reports.append(
            FragmentationReport(
                gpus, cpus, memory, current_slots, max(current_slots, defragmented_slots), waiting_by_size.get(size, 0)
            )
        )
    return reports


def total_free_gpus(spec: JobSpec, machines: Iterable[Machine]) -> tuple[float, int]:
    """Number of GPUs that are free on machines allowed by the job, and the number of these machines."""
    free_machines = [
        m for m in machines if m.free_gpus > 1e-6 and allows_machine(spec, m) and spec.fits_machine_type(m.machine_type)
    ]
    return sum(m.free_gpus for m in free_machines), len(free_machines)


def format_report(report: FragmentationReport) -> str:
    """Format a report as one line, for `status` and the log."""
    text = f"{report.gpus:g} GPUs, {report.cpus:g} CPUs: {report.free_slots} places"
    text += f", {report.slots_if_defragmented} if together"
    return text + (f", {report.waiting_tasks} wait" if report.waiting_tasks else "")
