"""How much of what is free is free in pieces. Pure.

For each size of GPU task that was asked for lately: the places that exist for it, and those that would if what is free
on all machines were together. The difference is what is lost to pieces: 11 GPUs free on 6 machines are no place for
a task of 8. Sizes are forgotten when nobody has asked for them for a while, so that one odd job does not make
everybody's places precious.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from roseweir.placement.look import Size, size_of, suits
from roseweir.placement.model import JobRun, Machine
from roseweir.submissions.jobs import JobSpec, MachineType

# For how long a size counts as asked for, and how many are told apart: the ones asked for last.
ASKED_FOR, SIZES = timedelta(minutes=5), 8
# What is counted on within that time, of the arrivals of the last `ASKED_FOR`.
AHEAD = timedelta(minutes=1)


@dataclass(slots=True)
class Asked:
    """A size of GPU task, as jobs have asked for it."""

    latest: datetime
    times: list[tuple[datetime, int]] = field(default_factory=list)  # tasks that were asked for, and when

    def soon(self, now: datetime) -> float:
        """Tasks of this size that may come within AHEAD."""
        self.times = [(at, tasks) for at, tasks in self.times if now - at < ASKED_FOR]
        return sum(tasks for _, tasks in self.times) * (AHEAD / ASKED_FOR)


@dataclass(slots=True)
class Pieces:
    """For operators."""

    gpus: float
    cpus: float
    memory_gb: float
    places: int  # tasks of this size that fit now
    together: int  # that would if what is free were on as few machines as it could be
    waiting: int  # that wait for a place


class Sizes:
    def __init__(self) -> None:
        self.known: dict[Size, Asked] = {}
        self._seen: dict[str, None] = {}

    def learn(self, runs: Iterable[JobRun], now: datetime) -> None:
        """Jobs with GPUs that are there; each counts once, as it is first seen."""
        there: dict[str, None] = {}
        for run in runs:
            spec = run.spec
            if spec.gpus <= 0 or run.over:
                continue
            there[spec.id] = None
            asked = self.known.setdefault(size_of(spec), Asked(now))
            if run.pending > 0:
                asked.latest = now
            if spec.id not in self._seen:
                asked.times.append((now, spec.tasks))
        self._seen = there
        for size in [s for s, asked in self.known.items() if now - asked.latest > ASKED_FOR]:
            del self.known[size]
        while len(self.known) > SIZES:
            del self.known[min(self.known, key=lambda s: (self.known[s].latest, s))]

    def larger(self, spec: JobSpec) -> list[Size]:
        return [size for size in self.known if size[1] > spec.gpus + 1e-6]


def places(machine: Machine, size: Size) -> int:
    return min(
        int((free + 1e-6) / need)
        for free, need in zip((machine.free_cpus, machine.free_gpus, machine.free_memory), size, strict=True)
        if need > 0
    )


def whole(kind: MachineType, size: Size) -> int:
    """How many tasks of this size an empty machine of the type holds."""
    has = (kind.cpus, kind.gpus, kind.memory_gb)
    return min(int((have + 1e-6) / need) for have, need in zip(has, size, strict=True) if need > 0)


def count(machines: Iterable[Machine], waiting: Iterable[tuple[JobSpec, int]], sizes: Iterable[Size]) -> list[Pieces]:
    """For each size, in ascending order of GPUs. `waiting`: jobs and how many of their tasks have no place."""
    with_gpus = [m for m in machines if m.type.gpus > 0]
    lacking: dict[Size, int] = {}
    for spec, tasks in waiting:
        if spec.gpus > 0:
            lacking[size_of(spec)] = lacking.get(size_of(spec), 0) + tasks
    found = []
    for size in sorted(sizes, key=lambda s: (s[1], s)):
        here = sum(places(m, size) for m in with_gpus if whole(m.type, size) > 0)
        together = 0
        for kind in {m.type.name: m.type for m in with_gpus}.values():
            free = [m for m in with_gpus if m.type.name == kind.name]
            each = whole(kind, size)
            if each == 0:
                continue
            # As if the free parts of machines of one type were moved together: no machine holds more than it can.
            sums = (sum(m.free_cpus for m in free), sum(m.free_gpus for m in free), sum(m.free_memory for m in free))
            fit = min(int((have + 1e-6) / need) for have, need in zip(sums, size, strict=True) if need > 0)
            together += min(fit, each * len(free))
        cpus, gpus, memory = size
        found.append(Pieces(gpus, cpus, memory, here, max(here, together), lacking.get(size, 0)))
    return found


def fits_in_total(spec: JobSpec, machines: Iterable[Machine]) -> tuple[float, int]:
    """GPUs free on machines that the job allows, and on how many machines."""
    free = [m for m in machines if m.free_gpus > 1e-6 and suits(spec, m) and spec.fits(m.type)]
    return sum(m.free_gpus for m in free), len(free)


def line(pieces: Pieces) -> str:
    """For `status` and the log."""
    text = f"{pieces.gpus:g} GPUs, {pieces.cpus:g} CPUs: {pieces.places} places, {pieces.together} if together"
    return text + (f", {pieces.waiting} wait" if pieces.waiting else "")
