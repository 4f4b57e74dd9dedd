"""Where a task with GPUs goes so that the fewest large places are broken. Pure.

A place that nobody will want is worth nothing, so places count only as far as they are scarce: a size of which more
places are free than wait for one, or may within a minute, is no reason to pass by a machine with the image at hand.
What counts then comes before the image: a fetch takes seconds, and a broken place is gone until replicas end, which
they do not by themselves.
"""

from collections.abc import Iterable
from datetime import datetime

from roseweir.rebalancing.fragmentation import RequestedSizes, free_slots, slots_when_empty
from roseweir.scheduler.capacity_snapshot import TaskSize, task_size
from roseweir.scheduler.model import JobRun, Machine
from roseweir.submissions.jobs import SERVICE, JobSpec

# Places beyond those wanted that make a size plentiful.
SPARE_SLOTS = 2


class FragmentationScorer:
    """What the planner asks within one pass (`scheduler/placement_policy.py`)."""

    def __init__(self) -> None:
        self.requested_sizes = RequestedSizes()
        self._scarce_sizes: set[TaskSize] = set()
        self._cost_cache: dict[tuple[str, TaskSize], tuple[int, float]] = {}

    def begin_pass(self, runs: Iterable[JobRun], machines: list[Machine], now: datetime) -> None:
        """At the beginning of a pass: which sizes there are few places for."""
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
        with_gpus = [m for m in machines if m.machine_type.gpus > 0 and m.free_gpus > 1e-6]
        for size, demand in demand_by_size.items():
            if size[1] <= min_gpus:
                continue
            available_slots = sum(
                free_slots(m, size)
                for m in with_gpus
                if m.free_gpus >= size[1] - 1e-6 and slots_when_empty(m.machine_type, size) > 0
            )
            if available_slots < waiting.get(size, 0.0) + demand.expected_arrivals(now) + SPARE_SLOTS:
                self._scarce_sizes.add(size)

    def fragmentation_cost(self, machine: Machine, spec: JobSpec) -> float:
        """GPUs of scarce larger places that a task of the job would take from the machine, beyond its own."""
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
                int((free - took + 1e-6) / need)
                for free, took, need in zip(
                    (machine.free_cpus, machine.free_gpus, machine.free_memory), task_size(spec), size, strict=True
                )
                if need > 0
            )
            lost_gpus = max(lost_gpus, (free_slots(machine, size) - slots_after) * size[1])
        self._cost_cache[key] = (machine.change_count, lost_gpus)
        return lost_gpus

    def lifetime_mismatch(self, machine: Machine, spec: JobSpec) -> float:
        """1.0 where a task that ends by itself would sit among ones that do not, or the other way round."""
        if machine.gpu_task_count == 0:
            return 0.0
        is_service = spec.job_type == SERVICE
        others = (p.run.spec for p in machine.placements.values() if p.run.spec.gpus > 0)
        return float(any((other.job_type == SERVICE) != is_service for other in others))
