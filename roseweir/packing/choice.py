"""Where a task with GPUs goes so that the fewest large places are broken. Pure.

A place that nobody will want is worth nothing, so places count only as far as they are scarce: a size of which more
places are free than wait for one, or may within a minute, is no reason to pass by a machine with the image at hand.
What counts then comes before the image: a fetch takes seconds, and a broken place is gone until replicas end, which
they do not by themselves.
"""

from collections.abc import Iterable
from datetime import datetime

from roseweir.packing.pieces import Sizes, places, whole
from roseweir.placement.look import Size, size_of
from roseweir.placement.model import JobRun, Machine
from roseweir.submissions.jobs import SERVICE, JobSpec

# Places beyond those wanted that make a size plentiful.
SPARE = 2


class Choice:
    """What the planner asks within one pass (`placement/choosing.py`)."""

    def __init__(self) -> None:
        self.sizes = Sizes()
        self._scarce: set[Size] = set()
        self._lost: dict[tuple[str, Size], tuple[int, float]] = {}

    def look(self, runs: Iterable[JobRun], machines: list[Machine], now: datetime) -> None:
        """At the beginning of a pass: which sizes there are few places for."""
        runs = list(runs)
        self.sizes.learn(runs, now)
        self._scarce = set()
        self._lost = {}
        known = self.sizes.known
        if len(known) < 2:
            return
        least = min(size[1] for size in known)
        waiting: dict[Size, float] = {}
        for run in runs:
            if run.spec.gpus > least and run.pending > 0 and not run.over and not run.mistaken:
                waiting[size_of(run.spec)] = waiting.get(size_of(run.spec), 0.0) + run.pending
        with_gpus = [m for m in machines if m.type.gpus > 0 and m.free_gpus > 1e-6]
        for size, asked in known.items():
            if size[1] <= least:
                continue
            free = sum(places(m, size) for m in with_gpus if m.free_gpus >= size[1] - 1e-6 and whole(m.type, size) > 0)
            if free < waiting.get(size, 0.0) + asked.soon(now) + SPARE:
                self._scarce.add(size)

    def breaks(self, machine: Machine, spec: JobSpec) -> float:
        """GPUs of scarce larger places that a task of the job would take from the machine, beyond its own."""
        if not self._scarce:
            return 0.0
        key = (machine.name, size_of(spec))
        known = self._lost.get(key)
        if known is not None and known[0] == machine.changes:
            return known[1]
        lost = 0.0
        for size in self._scarce:
            if size[1] <= spec.gpus + 1e-6 or machine.free_gpus < size[1] - 1e-6:
                continue
            after = min(
                int((free - took + 1e-6) / need)
                for free, took, need in zip(
                    (machine.free_cpus, machine.free_gpus, machine.free_memory), size_of(spec), size, strict=True
                )
                if need > 0
            )
            lost = max(lost, (places(machine, size) - after) * size[1])
        self._lost[key] = (machine.changes, lost)
        return lost

    def mixes(self, machine: Machine, spec: JobSpec) -> float:
        """1.0 where a task that ends by itself would sit among ones that do not, or the other way round."""
        if machine.gpu_tasks == 0:
            return 0.0
        endless = spec.kind == SERVICE
        others = (p.run.spec for p in machine.placements.values() if p.run.spec.gpus > 0)
        return float(any((other.kind == SERVICE) != endless for other in others))
