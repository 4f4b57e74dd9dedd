"""Scores machines for a task with GPUs so that the fewest slots of larger tasks are lost. Pure.

Only slots of scarce sizes count: if a size has more free slots than tasks that wait or are expected within a minute,
losing one is no reason to avoid a machine that has the image cached. The loss of scarce slots takes precedence over
cached images: fetching an image takes seconds, but a lost slot is gone until replicas end, which they do not do by
themselves.
"""

from collections.abc import Iterable
from datetime import datetime

from roseweir.rebalancing.fragmentation import RequestedSizes, free_slots, slots_when_empty
from roseweir.scheduler.capacity_snapshot import TaskSize, task_size
from roseweir.scheduler.model import JobRun, Machine
from roseweir.submissions.jobs import SERVICE, JobSpec

# Free slots beyond the demand for a size from which on it is not scarce.
SPARE_SLOTS = 2


class FragmentationScorer:
    """The placement policy of a scheduling pass (see `scheduler/placement_policy.py`) that limits fragmentation."""

    def __init__(self) -> None:
        self.requested_sizes = RequestedSizes()
        self._scarce_sizes: set[TaskSize] = set()
        self._cost_cache: dict[tuple[str, TaskSize], tuple[int, float]] = {}

    def begin_pass(self, runs: Iterable[JobRun], machines: list[Machine], now: datetime) -> None:
        """Start a pass: determine the sizes of which slots are scarce."""
        runs = list(runs)
        self.requested_sizes.observe_jobs(runs, now)
        self._scarce_sizes = set()
        self._cost_cache = {}
        demand_by_size = self.requested_sizes.demand_by_size
        if len(demand_by_size) < 2:
            return
        min_gpus = min(size[1] for size in demand_by_size)
        waiting: dict[TaskSize, float] = {}
        for run in runs:
            if run.spec.gpus > min_gpus and run.pending_count > 0 and not run.final_state and not run.is_crash_looping:
                waiting[task_size(run.spec)] = waiting.get(task_size(run.spec), 0.0) + run.pending_count
        gpu_machines = [m for m in machines if m.machine_type.gpus > 0 and m.free_gpus > 1e-6]
        for size, demand in demand_by_size.items():
            if size[1] <= min_gpus:
                continue
            available_slots = sum(
                free_slots(m, size)
                for m in gpu_machines
                if m.free_gpus >= size[1] - 1e-6 and slots_when_empty(m.machine_type, size) > 0
            )
            if available_slots < waiting.get(size, 0.0) + demand.expected_arrivals(now) + SPARE_SLOTS:
                self._scarce_sizes.add(size)

    def fragmentation_cost(self, machine: Machine, spec: JobSpec) -> float:
        """GPUs of scarce slots of larger tasks that are lost if a task of the job is placed on the machine."""
        if not self._scarce_sizes:
            return 0.0
        key = (machine.name, task_size(spec))
        cached = self._cost_cache.get(key)
        if cached is not None and cached[0] == machine.change_count:
            return cached[1]
        lost_gpus = 0.0
        for size in self._scarce_sizes:
            if size[1] <= spec.gpus + 1e-6 or machine.free_gpus < size[1] - 1e-6:
                continue
            slots_after = min(
                int((free - used + 1e-6) / need)
                for free, used, need in zip(
                    (machine.free_cpus, machine.free_gpus, machine.free_memory_gb), task_size(spec), size, strict=True
                )
                if need > 0
            )
            lost_gpus = max(lost_gpus, (free_slots(machine, size) - slots_after) * size[1])
        self._cost_cache[key] = (machine.change_count, lost_gpus)
        return lost_gpus

    def lifetime_mismatch(self, machine: Machine, spec: JobSpec) -> float:
        """1.0 if the task would share the machine's GPUs with services but ends by itself, or the reverse; else 0.0."""
        if machine.gpu_task_count == 0:
            return 0.0
        is_service = spec.job_type == SERVICE
        others = (p.run.spec for p in machine.placements.values() if p.run.spec.gpus > 0)
        return float(any((other.job_type == SERVICE) != is_service for other in others))
