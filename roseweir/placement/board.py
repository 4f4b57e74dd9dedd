"""The leader's board: takes in reports, tells what orders to answer, knows what may be where.

Pure: no I/O, and the current instant is always an argument.
"""

import logging
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from functools import lru_cache
from typing import Any

from roseweir.clock import NEVER, ZERO, seconds
from roseweir.limits import Limits
from roseweir.limits.rules import renew_restart_limit
from roseweir.placement.headroom import Headroom
from roseweir.placement.model import JobRun, Machine, Phase, Placement, new_run
from roseweir.placement.watch import Cause, Watcher
from roseweir.settings import Settings
from roseweir.submissions.jobs import ARRAY, GANG, SERVICE, Ended, JobSpec, MachineType
from roseweir.tuning import Tuning
from roseweir.workers import messages as wire

log = logging.getLogger(__name__)

# Steady clocks drift apart by up to 0.05%; twice that on every span measured on another machine's clock.
DRIFT = 1.001
# Messages may sit in buffers for a moment after they came in, before they are stamped here.
SLACK = timedelta(milliseconds=500)
# A machine that failed tasks of this many different jobs since its last success is taken for faulty.
SICK_JOBS = 2
# After a first failure nothing starts there for a moment: the next failures tell whose fault it is.
PAUSED = timedelta(seconds=15)
# A machine goes back when this many arrays in a row took so much longer there than on average, judged
# by at least so many tasks and machines. Healthy machines of a type differ by a tenth.
SLOW_JOBS, SLOW_FACTOR, SLOW_TASKS, SLOW_PEERS = 2, 2.0, 3, 4
# Boots that tell how long the next ones may take: so many, and for how long.
BOOTS_KEPT, BOOTS_FOR = 20, timedelta(minutes=3)
# A replica that ran so long speaks for its service; one that failed within so long of its start, against its machine.
RUNS_WELL, AT_ONCE = timedelta(seconds=10), timedelta(seconds=5)
# Phases in which a machine may have heard of a task.
STARTED = (Phase.SENT, Phase.SEEN, Phase.RECORDED)
# By how much a worker's report may be later than two of its intervals: one that is with this leader, and one in
# search of it, which gives up on an answer after 4 s and tries the next node a second later.
ON_TIME, SEARCH = timedelta(seconds=0.75), timedelta(seconds=5)
# By how much two of its reports may be late before nothing is started on it.
LATE = timedelta(seconds=1.5)
# An aim for starting within so long leaves time to wait for a machine to come clear.
LENIENT = timedelta(seconds=120)
# An estimate says little about a task that has only just begun.
RATIO_WEIGHT = 0.2


@lru_cache(maxsize=16384)
def _key(task: str) -> tuple[str, int]:
    """Job and number of a task's name, which most reports repeat."""
    job_id, _, number = task.rpartition("/")
    return job_id, int(number)


@dataclass(slots=True)
class Usage:
    cpus: float = 0.0
    gpus: float = 0.0


class Board:
    def __init__(self, settings: Settings, tuning: Tuning, term: int, now: datetime) -> None:
        self.settings = settings
        self.tuning = tuning
        self.term = term
        self.began = now
        workers = settings.params.workers
        self.lease = workers.lease * DRIFT + SLACK
        # A machine that is reached has reported in this time, with some of it for what delays a report.
        self.usual = workers.report * 2 + LATE
        # Until when a machine that has not shown our term may still obey an earlier leader: that
        # leader answers reports for `holdover` after it last knew of every cancel, at most, and the
        # last lease that it renewed runs from a report sent by then.
        self.holdover = holdover(settings)
        self.unproven_until = now + self.holdover * DRIFT + self.lease
        self.teams = {team.name: team for team in settings.params.teams}
        self.catalog: dict[str, MachineType] = {}
        self.jobs: dict[str, JobRun] = {}
        self.machines: dict[str, Machine] = {}
        self.gone: dict[str, datetime] = {}
        self.usage: dict[str, Usage] = {}
        self.limits = Limits(tuning.ban_window, tuning.lookahead)
        self.ratios: dict[str, float] = {}
        # The least that a waiting task takes, of those without and those with GPUs, since the last pass.
        self.least_cpus = self.least_gpus = 0.0
        self.gpu_priority = 1 << 30  # the highest rank of GPU work seen: lower numbers come first
        self.gpu_most = 0.0  # GPUs of the largest task seen
        self.gang_most = 1  # tasks of the largest GPU gang seen
        self.gpu_cpus = 0.0  # CPUs that GPU jobs bring along for each GPU, the most seen
        # While no more machines can be had for CPU-only work, it may spill onto the CPUs of idle GPUs.
        self.spill_until = NEVER
        # Images of classes whose aims are about starting soon.
        self.prompt_images: set[str] = set()
        # Spilled work keeps whole machines clear, for so many starts of the largest GPU task or gang. Where all classes
        # may wait for longer than most tasks take, the machines that come clear by themselves do for the second.
        self._waits: dict[str | None, timedelta] = {}
        for o in settings.params.objectives:
            if o.kind == "wait" and o.within is not None:
                self._waits[o.job_class] = min(o.within, self._waits.get(o.job_class, o.within))
        self._gpu_wait = ZERO  # the shortest such aim of classes with GPUs seen; zero: not known
        # Room for classes that must start at once.
        self.headroom = Headroom.of(settings.params.objectives)
        self._prompt_classes = {o.job_class for o in settings.params.objectives if o.kind == "wait"}
        # Kinds of machines (type, zone, spot) that were rented by this leader or one on record.
        self.obtained: set[tuple[str, str, bool]] = set()
        # Zones most of whose machines are heard, and since when.
        self.talking_since: dict[str, datetime] = {}
        # How long machines of a type took to come up lately, as a multiple of the catalog's figure.
        self.boots: dict[str, deque[tuple[datetime, float]]] = {}
        # How long images took to come, as a multiple of what the catalog's rate says, by type of machine.
        self.fetches: dict[str, deque[tuple[datetime, float]]] = {}
        self._attempts = 0
        # What the recorder has to write, and what the planner should look at again.
        self.planned: list[Placement] = []
        self.dirty_machines: set[str] = set()
        self.dirty_jobs: set[str] = set()
        self.changed = True
        # Jobs have come or gone: whose work fits its team's guarantee has to be told anew.
        self.roster_changed = True
        # For jobs of which kind nobody could be stopped lately: for how many tasks, and when.
        self.barren: dict[tuple[object, ...], tuple[int, datetime]] = {}
        # Machines that are being drained, and by which drain: nothing new starts on them.
        self.drained: dict[str, str] = {}
        # Who keeps account of tasks' ups and downs, if anybody does.
        self.watcher: Watcher | None = None
        # Direct halts that should not wait for the next report: machine names.
        self.urgent: set[str] = set()

    # -- jobs ---------------------------------------------------------------------------------

    def add_job(self, spec: JobSpec, version: int) -> JobRun:
        run = self.jobs.get(spec.id)
        if run is None:
            run = self.jobs[spec.id] = new_run(spec, version)
            self.roster_changed = True
            if spec.gpus > 0:
                self.least_gpus = min(self.least_gpus, spec.gpus)
                self.gpu_cpus = max(self.gpu_cpus, spec.cpus / spec.gpus)
                self.gpu_most = max(self.gpu_most, spec.gpus)
                self.gpu_priority = min(self.gpu_priority, spec.priority)
                aim = self._waits.get(spec.job_class)
                if aim is not None:
                    self._gpu_wait = min(aim, self._gpu_wait or aim)
                if spec.kind == GANG:
                    self.gang_most = max(self.gang_most, spec.tasks)
            else:
                self.least_cpus = min(self.least_cpus, spec.cpus)
            if spec.job_class in self._prompt_classes and spec.image:
                self.prompt_images.add(spec.image)
            self.headroom.learn(spec, self.catalog.values())
            self.changed = True
        return run

    def hear_out(self, now: datetime) -> None:
        """A service that was taken for mistaken as it began may run well by now."""
        for run in self.jobs.values():
            if run.mistaken and _runs_well(run, None, now):
                run.sound = True

    @property
    def clear_starts(self) -> int:
        return 1 if self._gpu_wait >= LENIENT else 2

    def end_job(self, job_id: str, ended: Ended, now: datetime) -> None:
        """The state service holds that the job is over."""
        run = self.jobs.get(job_id)
        if run is None or run.over:
            return
        run.over = ended.state
        if self.watcher is not None:
            self.watcher.over(run)
        self.roster_changed = True
        run.unsaved.clear()
        run.noted.clear()
        for placement in list(run.placed.values()):
            self.stop(placement, ZERO, now)
        self._retire(run)
        self.changed = True

    def _retire(self, run: JobRun) -> None:
        if run.over and not run.placed:
            self.jobs.pop(run.spec.id, None)
            self.roster_changed = True
            self.dirty_jobs.discard(run.spec.id)

    def estimate(self, spec: JobSpec) -> timedelta:
        """The owner's estimate, corrected by how the class's tasks have turned out."""
        return spec.estimate * self.ratios.get(spec.job_class, 1.0)

    def next_attempt(self) -> int:
        """Unique across leaders: the term in front of a counter."""
        self._attempts += 1
        return (self.term << 28) | self._attempts

    # -- placements ---------------------------------------------------------------------------

    def place(
        self, run: JobRun, index: int, machine: Machine, attempt: int, now: datetime, phase: Phase = Phase.PLANNED
    ) -> Placement:
        placement = Placement(run, index, machine, attempt, phase, now)
        spec = run.spec
        assert index not in run.placed
        run.placed[index] = placement
        run.placed_upto = max(run.placed_upto, index + 1)
        machine.placements[(spec.id, index)] = placement
        machine.changes += 1
        machine.free_cpus -= spec.cpus
        machine.free_gpus -= spec.gpus
        machine.free_memory -= spec.memory_gb
        if spec.gpus <= 0:
            machine.cpu_only += spec.cpus
        else:
            machine.gpu_tasks += 1
        usage = self.usage.setdefault(spec.team, Usage())
        usage.cpus += spec.cpus
        usage.gpus += spec.gpus
        machine.idle_since = NEVER
        if phase == Phase.PLANNED:
            if spec.kind == GANG:
                placement.serial = run.serial
            self.planned.append(placement)
            self.dirty_machines.add(machine.name)
            log.debug("placing %s on %s (%s)", placement.name, machine.name, spec.job_class)
        return placement

    def restore_machine(self, name: str, kind: MachineType, zone: str, spot: bool, now: datetime) -> Machine:
        """A machine named in an earlier leader's record."""
        machine = self.machines.get(name)
        if machine is None:
            machine = self.machines[name] = Machine(name, kind, zone, spot, known_since=now)
        return machine

    def restore(
        self, run: JobRun, index: int, machine: Machine, attempt: int, now: datetime, serial: int = 0
    ) -> Placement:
        """A task of an earlier leader's record counts as there until proven gone."""
        placement = self.place(run, index, machine, attempt, now, Phase.RECORDED)
        placement.serial = serial
        if run.spec.kind == GANG:
            run.attempt = max(run.attempt, attempt)
            run.serial = max(run.serial, serial)
        if run.over:
            self.stop(placement, ZERO, now)
        return placement

    def remove(self, placement: Placement, now: datetime, cause: Cause = Cause.LOST) -> None:
        """The task is proven gone from its machine. `cause`: why, if it was neither done nor told to stop."""
        run, machine, spec = placement.run, placement.machine, placement.run.spec
        if run.placed.get(placement.index) is not placement:
            return
        if self.watcher is not None and placement.phase in STARTED and placement.halt_at is None:
            self.watcher.gone(placement, cause, now)
        del run.placed[placement.index]
        del machine.placements[(spec.id, placement.index)]
        machine.changes += 1
        machine.free_cpus += spec.cpus
        machine.free_gpus += spec.gpus
        machine.free_memory += spec.memory_gb
        if spec.gpus <= 0:
            machine.cpu_only -= spec.cpus
        else:
            machine.gpu_tasks -= 1
            if machine.gpu_tasks == 0:
                machine.gpus_idle_since = now
        usage = self.usage[spec.team]
        usage.cpus -= spec.cpus
        usage.gpus -= spec.gpus
        if not machine.placements:
            machine.idle_since = now
        if not run.is_done(placement.index):
            run.give_back(placement.index)
        self.dirty_machines.add(machine.name)
        self.changed = True
        if spec.kind == GANG and not run.over:
            self._mate_gone(run, placement)
        self._retire(run)

    def _mate_gone(self, run: JobRun, lost: Placement) -> None:
        if not run.placed:
            run.stopping = False
            run.attempt = 0
        elif lost.state in (wire.RUNNING, wire.SAVING):
            # The gang had started: the rest exits by itself, and all must be gone before it restarts.
            run.stopping = True

    def stop(
        self,
        placement: Placement,
        grace: timedelta,
        now: datetime,
        urgent: bool = False,
        cause: Cause = Cause.FAILED,
    ) -> None:
        """Ask a task to go; one whose order never went out is taken off at once."""
        if placement.phase in (Phase.PLANNED, Phase.READY):
            self.remove(placement, now)
            return
        if self.watcher is not None and placement.halt_at is None:
            self.watcher.halted(placement, cause, now)
        if placement.halt_at is None or grace < placement.halt_grace:
            placement.halt_at = placement.halt_at or now
            placement.halt_grace = grace
            placement.machine.changes += 1
        if urgent or placement.run.spec.kind == GANG:
            self.urgent.add(placement.machine.name)

    def stop_gently(
        self, placement: Placement, now: datetime, urgent: bool = False, cause: Cause = Cause.PREEMPTED
    ) -> None:
        """Stop so that progress is kept where it can be. All mates of a gang are told together."""
        run = placement.run
        grace = seconds(run.spec.save_s + 1.0) if run.spec.checkpoint_s > 0 else ZERO
        mates = list(run.placed.values()) if run.spec.kind == GANG else [placement]
        if run.spec.kind == GANG:
            run.stopping = True
            grace += self.settings.params.workers.gang_peer
        for mate in mates:
            if mate.halt_at is None:
                self.stop(mate, grace, now, urgent, cause)

    def lapse(self, machine: Machine, now: datetime, why: str) -> None:
        """Everything on the machine is proven gone."""
        if machine.placements:
            log.info("machine %s: %s, %d tasks gone", machine.name, why, len(machine.placements))
        machine.dead_session = max(machine.dead_session, machine.session)
        for placement in list(machine.placements.values()):
            self.remove(placement, now)
        machine.exits.clear()
        machine.strangers.clear()
        machine.shown = False

    def forget_machine(self, name: str, now: datetime, why: str) -> None:
        machine = self.machines.get(name)
        if machine is not None:
            self.lapse(machine, now, why)
            del self.machines[name]
            self.dirty_machines.add(name)
        self.gone[name] = now
        self.changed = True

    # -- reports ------------------------------------------------------------------------------

    def machine_for(self, report: wire.Report, now: datetime) -> Machine | None:
        kind = self.catalog.get(report.type)
        if kind is None or report.machine in self.gone:
            return None
        machine = self.machines.get(report.machine)
        if machine is None:
            machine = Machine(report.machine, kind, report.zone, report.spot, known_since=now)
            self.machines[report.machine] = machine
        if machine.booting and machine.rented and machine.rented_at > NEVER:
            taken = (now - machine.rented_at) / max(kind.boot, seconds(1))
            self.boots.setdefault(kind.name, deque(maxlen=BOOTS_KEPT)).append((now, taken))
        if machine.booting or not machine.address:
            machine.idle_since = now if not machine.placements else NEVER
            machine.gpus_idle_since = now
            machine.booting = False
            log.info("machine %s is up: %s in %s", machine.name, kind.name, machine.zone)
        machine.address = report.address
        return machine

    def take_report(self, report: wire.Report, now: datetime) -> Machine | None:
        """Learn from a worker's report; None if it is too old to be answered with orders.

        Reports are ordered by (session, seq). One that comes late says nothing new and gets no orders.
        """
        machine = self.machine_for(report, now)
        if machine is None or not self._learn(machine, report, now):
            return None
        machine.heard = now
        machine.hangs, machine.misses = False, 0
        return machine

    def learn_direct(self, report: wire.Report, now: datetime) -> None:
        """The answer of a direct command: it renews no lease and proves nothing about answers under way."""
        machine = self.machines.get(report.machine)
        if machine is not None and report.term == self.term and report.session == machine.session:
            self._learn(machine, report, now, direct=True)

    def _learn(self, machine: Machine, report: wire.Report, now: datetime, direct: bool = False) -> bool:
        if report.session <= machine.dead_session or (report.session, report.seq) <= (machine.session, machine.seq):
            return False
        ours = report.term == self.term
        if report.session > machine.session:
            # A higher session proves that every task of the earlier ones is gone; what has not
            # been sent yet can still go out to the new session.
            for placement in list(machine.placements.values()):
                if placement.phase in (Phase.SENT, Phase.SEEN):
                    self.remove(placement, now)
            if self.watcher is not None and machine.session > 0:
                self.watcher.lapsed(machine, now)
            machine.session = report.session
        machine.seq = report.seq
        if report.notice_s is not None:
            if machine.recall_at is None:
                log.info("machine %s will be taken back in %.0f s", machine.name, report.notice_s)
                if self.watcher is not None:
                    self.watcher.recalled(machine, now)
            machine.recall_at = now + seconds(report.notice_s)
            self.changed = True
        machine.exits.clear()
        machine.strangers.clear()
        listed: set[tuple[str, int]] = set()
        for task in report.tasks:
            key = _key(task.task)
            listed.add(key)
            known = machine.placements.get(key)
            if (
                known is None
                or task.state != wire.RUNNING
                or known.state != wire.RUNNING
                or known.phase != Phase.SEEN
                or known.attempt != task.attempt
                or known.run.over
            ):
                self._learn_task(machine, key, task, now)
        if ours:
            self._conclude_absences(machine, listed, report, now, direct)
            if not machine.shown:
                machine.shown = True
                self.changed = True
        return True

    def _conclude_absences(
        self, machine: Machine, listed: set[tuple[str, int]], report: wire.Report, now: datetime, direct: bool
    ) -> None:
        """What the report does not list is gone, if no order for it can still be under way.

        The worker keeps one report in flight: a later report of its own proves the answer to an
        earlier one taken or dropped. The answer of a direct command proves no such thing. Having
        seen our term, the worker drops whatever earlier leaders sent.
        """
        for key, placement in list(machine.placements.items()):
            if key in listed:
                continue
            if placement.phase in (Phase.SEEN, Phase.RECORDED):
                self.remove(placement, now)
            elif placement.phase == Phase.SENT and not direct and report.seq > placement.sent_seq:
                if placement.halt_at is None and not placement.run.over:
                    # The order was dropped on its way. The record still stands, so it may go out again.
                    placement.phase = Phase.READY
                else:
                    self.remove(placement, now)

    def _learn_task(self, machine: Machine, key: tuple[str, int], task: wire.TaskReport, now: datetime) -> None:
        placement = machine.placements.get(key)
        if task.state == wire.EXITED:
            machine.exits.append((task.task, task.attempt, task.why or ""))
            if placement is not None and placement.attempt == task.attempt:
                self._exited(placement, task, now)
            elif task.why == wire.DONE:
                self._completed(key, now)
            return
        if placement is None:
            # On the machine, but in no record: it must not stay.
            log.warning("machine %s runs unknown task %s (attempt %d)", machine.name, task.task, task.attempt)
            machine.strangers.append((task.task, task.attempt))
            return
        if placement.attempt != task.attempt:
            if placement.phase == Phase.RECORDED:
                placement.attempt = task.attempt
            else:
                machine.strangers.append((task.task, task.attempt))
                return
        placement.phase = Phase.SEEN
        spec = placement.run.spec
        if task.state != placement.state:
            log.debug("%s on %s is %s", task.task, machine.name, task.state)
            if task.state == wire.RUNNING:
                placement.running_since = now
            if task.state == wire.FETCHING:
                placement.fetching_since = now
            elif placement.state == wire.FETCHING and placement.fetching_since is not None:
                self._note_fetch(machine.type, spec, now - placement.fetching_since, now)
            placement.state = task.state
            if task.state == wire.RUNNING and placement.halt_at is None and self.watcher is not None:
                self.watcher.runs(placement)
        if task.state != wire.FETCHING and spec.image:
            if spec.image not in machine.images:
                self.dirty_machines.add(machine.name)
            machine.keep_image(spec.image, spec.image_gb)
        if placement.run.over and placement.halt_at is None:
            self.stop(placement, ZERO, now)

    def _note_fetch(self, kind: MachineType, spec: JobSpec, taken: timedelta, now: datetime) -> None:
        usual = spec.image_gb / max(kind.fetch_gb_per_s, 0.01)
        if usual > 0:
            kept = self.fetches.setdefault(kind.name, deque(maxlen=BOOTS_KEPT))
            kept.append((now, taken.total_seconds() / usual))

    def _completed(self, key: tuple[str, int], now: datetime) -> None:
        run = self.jobs.get(key[0])
        if run is None or run.over or run.spec.kind == SERVICE or key[1] >= run.spec.tasks:
            return
        # A gang completes together: if one task is done, all are.
        indices: Iterable[int] = range(run.spec.tasks) if run.spec.kind == GANG else (key[1],)
        for index in indices:
            self._mark_done(run, index)
        other = run.placed.get(key[1])
        if other is not None:
            self.stop(other, ZERO, now)

    def _exited(self, placement: Placement, task: wire.TaskReport, now: datetime) -> None:
        run, machine = placement.run, placement.machine
        spec = run.spec
        log.debug("%s on %s (%s) ended: %s", task.task, machine.name, spec.job_class, task.why)
        if task.why == wire.DONE:
            if spec.image:
                machine.keep_image(spec.image, spec.image_gb)
            self._judge_speed(placement, now)
            run.failures = 0
            machine.suspect_jobs.clear()
            machine.sick_until = NEVER
            self.remove_done(placement, now)
            return
        if task.why == wire.ERROR:
            self._failed(placement, now)
        elif task.why in (wire.NO_ROOM, wire.BUSY, wire.UNKNOWN):
            log.info("machine %s refused %s: %s", machine.name, task.task, task.why)
        self.remove(placement, now, Cause.FAILED)
        if spec.kind == GANG and run.placed and task.why in (wire.ERROR, wire.PEERS, wire.STOPPED, wire.ALONE):
            # The attempt has failed; what is left of it must go before the next one.
            run.stopping = True
            for mate in list(run.placed.values()):
                if mate.halt_at is None and task.why != wire.STOPPED:
                    self.stop(mate, ZERO, now)

    def remove_done(self, placement: Placement, now: datetime) -> None:
        run = placement.run
        if run.spec.kind != SERVICE:
            self._mark_done(run, placement.index)
        self.remove(placement, now)
        if run.spec.kind == GANG:
            self._completed((run.spec.id, placement.index), now)

    def _mark_done(self, run: JobRun, index: int) -> None:
        if not run.over and run.mark_done(index):
            if self.watcher is not None:
                self.watcher.done(run, index)
            run.unsaved.add(index)
            self.dirty_jobs.add(run.spec.id)

    def _judge_speed(self, placement: Placement, now: datetime) -> None:
        spec = placement.run.spec
        if spec.kind != ARRAY or spec.estimate_s <= 0 or placement.running_since is None:
            return
        self._compare_machines(placement, now - placement.running_since, now)
        if self.watcher is not None:
            self.watcher.took(placement, now - placement.running_since)
        taken = (now - placement.running_since) / spec.estimate
        if 0.05 < taken < 20:
            old = self.ratios.get(spec.job_class, 1.0)
            self.ratios[spec.job_class] = old + RATIO_WEIGHT * (min(taken, 4.0) - old) / max(1.0, spec.tasks**0.5)

    def _compare_machines(self, placement: Placement, taken: timedelta, now: datetime) -> None:
        """Tell slow machines by whole arrays only: before its end, those that ran long tasks look slow."""
        run = placement.run
        total, count = run.times.get(placement.machine.name, (ZERO, 0))
        run.times[placement.machine.name] = (total + taken, count + 1)
        if run.done_count + 1 < run.spec.tasks or len(run.times) < SLOW_PEERS:
            return
        mean = sum((t for t, _ in run.times.values()), ZERO) / sum(n for _, n in run.times.values())
        for name, (total, count) in run.times.items():
            machine = self.machines.get(name)
            if machine is None or count < SLOW_TASKS:
                continue
            machine.slow_jobs = machine.slow_jobs + 1 if total / count > mean * SLOW_FACTOR else 0
            if machine.slow_jobs >= SLOW_JOBS and not machine.leaving:
                log.info("machine %s took %.1f times as long as others and goes back", name, total / count / mean)
                machine.leaving = True

    def _failed(self, placement: Placement, now: datetime) -> None:
        """A faulty machine fails tasks of several jobs; a mistaken job fails on several machines."""
        run, machine = placement.run, placement.machine
        # A service is never done, so its failures were summed up over its life: after the third faulty machine it
        # counted as mistaken and went last, and after the sixth failure its replicas waited for the restart limit, as
        # if the job were at fault. Replicas that run say otherwise.
        runs_elsewhere = _runs_well(run, placement, now)
        if runs_elsewhere:
            run.sound = True
        else:
            run.failures += 1
        run.error_machines.add(machine.name)
        if run.mistaken:
            # The job speaks against itself, not against the machines that it failed on.
            for other in self.machines.values():
                if other.suspect_jobs == {run.spec.id} and not other.leaving:
                    other.suspect_jobs.clear()
                    other.sick_until = NEVER
        else:
            machine.suspect_jobs.add(run.spec.id)
            if self.watcher is not None:
                self.watcher.failed(machine, run, now)
            machine.sick_until = max(machine.sick_until, now + PAUSED)
            proven = (run.done_count > 0 and run.failures >= 2) or (runs_elsewhere and _fell_at_once(placement, now))
            if (len(machine.suspect_jobs) >= SICK_JOBS or proven) and not machine.leaving:
                log.info("machine %s fails tasks of %d jobs and goes back", machine.name, len(machine.suspect_jobs))
                machine.leaving = True
        if run.failures >= self.tuning.failure_count:
            renew_restart_limit(self.limits, run.spec.id, self.tuning, now)

    # -- answers ------------------------------------------------------------------------------

    def orders(self, machine: Machine, now: datetime, may_run: bool) -> list[dict[str, Any]]:
        """What to answer the machine's newest report with. `run` is given only while the lease surely holds."""
        orders: list[dict[str, Any]] = []
        for task, attempt, cause in machine.exits:
            job_id, _, number = task.rpartition("/")
            run = self.jobs.get(job_id)
            keeps = cause == wire.DONE and run is not None and not run.over and run.spec.kind != SERVICE
            if keeps and run is not None and (int(number) in run.unsaved or not run.is_done(int(number))):
                continue  # completion is recorded before the worker may forget it
            orders.append(wire.clear(task, attempt))
        for task, attempt in machine.strangers:
            orders.append(wire.halt(task, attempt, ZERO))
        for placement in machine.placements.values():
            if placement.halt_at is not None:
                if placement.phase in (Phase.SENT, Phase.SEEN) and not (
                    placement.state == wire.SAVING and placement.halt_grace > ZERO
                ):
                    orders.append(wire.halt(placement.name, placement.attempt, placement.halt_grace))
            elif placement.phase == Phase.READY and may_run and machine.shown:
                placement.phase = Phase.SENT
                placement.sent_seq = machine.seq
                orders.append(wire.run(placement.name, placement.attempt))
        return orders

    def halts(self, machine: Machine) -> list[dict[str, Any]]:
        """Halts for a direct command: never a `run`, which could arrive arbitrarily late."""
        return [
            wire.halt(p.name, p.attempt, p.halt_grace)
            for p in machine.placements.values()
            if p.halt_at is not None and p.phase == Phase.SEEN and p.state != wire.SAVING
        ]

    def due_orders(self, machine: Machine) -> tuple[bool, bool]:
        """Whether orders can go out to the machine, and whether some are on their way into the record."""
        awaited = False
        for placement in machine.placements.values():
            if placement.phase == Phase.READY:
                return True, awaited
            if placement.phase == Phase.PLANNED:
                awaited = True
        return False, awaited

    def may_take_more(self, machine: Machine) -> bool:
        """Whether it has room for any task that waits, so that the next pass may give it one."""
        return machine.free_cpus >= self.least_cpus - 1e-6 or machine.free_gpus >= self.least_gpus - 1e-6

    # -- time ---------------------------------------------------------------------------------

    def sweep(self, now: datetime) -> None:
        """What time alone proves or asks for."""
        for machine in list(self.machines.values()):
            if machine.booting:
                continue
            if machine.placements:
                # A machine that showed our term obeys nobody else, so our own last answer counts.
                # `heard` is when the report came in, which is after it was sent.
                until = machine.heard + self.lease if machine.shown else self.unproven_until
                if not machine.shown and machine.heard > NEVER:
                    until = max(until, machine.heard + self.lease)
                if now > until:
                    self.lapse(machine, now, "lease ran out")
            if machine.recall_at is not None:
                self._drain_recalled(machine, now)
        for name in [n for n, at in self.gone.items() if now - at > timedelta(minutes=10)]:
            del self.gone[name]
        self.limits.expire(now)

    def _drain_recalled(self, machine: Machine, now: datetime) -> None:
        for placement in list(machine.placements.values()):
            if placement.halt_at is not None:
                continue
            spec = placement.run.spec
            if spec.checkpoint_s > 0 or placement.phase in (Phase.PLANNED, Phase.READY) or spec.kind == SERVICE:
                self.stop_gently(placement, now, cause=Cause.NOTICE)

    def report(self) -> None:
        """Tell an operator how the work stands."""
        phases = [0] * len(Phase)
        waiting = 0
        for run in self.jobs.values():
            waiting += run.pending
            for placement in run.placed.values():
                phases[placement.phase] += 1
        log.info(
            "%d jobs, %d tasks wait, %d being recorded, %d to be sent, %d sent, %d seen, %d from records; "
            "%d machines, %d up, %.0f CPUs and %.0f GPUs free",
            len(self.jobs),
            waiting,
            *phases,
            len(self.machines),
            sum(m.shown for m in self.machines.values()),
            sum(m.free_cpus for m in self.machines.values() if m.shown),
            sum(m.free_gpus for m in self.machines.values() if m.shown),
        )

    def recent_boots(self, kind: MachineType, now: datetime) -> list[float]:
        """How long machines of this type took to come up lately, as multiples of the catalog's figure."""
        return [taken for at, taken in self.boots.get(kind.name, ()) if now - at < BOOTS_FOR]

    def overdue(self, now: datetime) -> list[Machine]:
        """Machines whose reports should have come, if these are most of all; else none."""
        up = [m for m in self.machines.values() if not m.booting and m.recall_at is None]
        report = self.settings.params.workers.report
        late = [m for m in up if self.silent(m, now) > report * 2 + (ON_TIME if m.shown else SEARCH)]
        return late if len(late) * 2 > len(up) else []

    def is_heard(self, machine: Machine, now: datetime) -> bool:
        """Whether its last report is no older than usual."""
        return machine.heard >= now - self.usual

    def silent(self, machine: Machine, now: datetime) -> timedelta:
        return now - max(machine.heard, self.began)


def _runs_well(run: JobRun, but: Placement | None, now: datetime) -> bool:
    """Whether (other) replicas of a service have been running for a while."""
    return run.spec.kind == SERVICE and any(
        p is not but and p.state == wire.RUNNING and p.running_since is not None and now - p.running_since >= RUNS_WELL
        for p in run.placed.values()
    )


def _fell_at_once(placement: Placement, now: datetime) -> bool:
    return placement.running_since is None or now - placement.running_since < AT_ONCE


def holdover(settings: Settings) -> timedelta:
    """How long a leader without news of cancels may go on answering reports.

    Another may lead and have accepted a cancel right after our last news. A task that we keep alive
    ends when its lease does, at most lease_s after our last answer, and has to be gone within
    cancel_s. Drift on both spans and two seconds for late timers and answers are taken off.
    """
    workers = settings.params.workers
    return max(ZERO, (workers.cancel - workers.lease * DRIFT) / DRIFT - timedelta(seconds=2))
