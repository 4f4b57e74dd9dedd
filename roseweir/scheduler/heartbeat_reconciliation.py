"""What is learnt from workers' reports: what each may prove, and what it changes on the board.

Pure: no I/O, and the current instant is always an argument. Works on the board's own state, beside `board.py`.

A report proves something about now only as far as its token, tenure and tally do. Copies of reports come late, from
seconds to well over a lease, also to a leader that hears the machine for the first time. So a report that does not
show our own term is a *word*: it is answered, so that its worker learns our term and shows it half a second later, and
nothing else is taken from it. Before, a copy told a new leader of an attempt long gone, the real report's attempt was
then a stranger's, and a healthy task was stopped (tests/test_partial_partitions.py).

| what came | proves |
| --- | --- |
| our term, newer than what is known | all that it lists and does not list |
| a tenure above one that showed our term | that one is over, its tasks are gone; our term must be shown anew |
| another term | that somebody heard the machine once; the lease that our answer may renew counts |
| not newer than what is known | nothing |

The lease that an answer to a word may renew is counted (`Machine.renewed`), so words are answered for one lease at
most until one is followed by a report in our term or the worker answers our own question: copies by the thousand
keep no lost machine's tasks for longer than that.

Every answer with our term in it may renew a lease, so `Learning.renewal` says of each report what its answer may do.
A report that is overtaken by the answer to a direct command or a question, whose tallies are higher, is still a first
arrival: its worker waits for the answer, and the lease that it renews counts. A copy gets an answer without a term,
which renews nothing.
"""

import logging
import re
from collections import deque
from collections.abc import Iterable
from datetime import datetime, timedelta
from enum import Enum
from functools import lru_cache
from typing import TYPE_CHECKING, Any

from roseweir.clock import NEVER, ZERO, seconds
from roseweir.limits.rules import renew_restart_limit
from roseweir.scheduler.lifecycle_events import DowntimeCause
from roseweir.scheduler.model import JobRun, Machine, Placement, PlacementPhase
from roseweir.scheduler.one_way_partition import check_answer_received, mark_reachable, record_dropped_order
from roseweir.submissions.jobs import ARRAY, GANG, SERVICE, JobSpec, MachineType
from roseweir.workers import messages as wire

if TYPE_CHECKING:
    from roseweir.scheduler.cluster_state import ClusterState

log = logging.getLogger(__name__)

# A machine that failed tasks of this many different jobs since its last success is taken for faulty.
UNHEALTHY_MIN_FAILED_JOBS = 2
# After a first failure nothing starts there for a moment: the next failures tell whose fault it is.
FAILURE_QUARANTINE = timedelta(seconds=15)
# A machine goes back when this many arrays in a row took so much longer there than on average, judged
# by at least so many tasks and machines. Healthy machines of a type differ by a tenth.
SLOW_MACHINE_MIN_ARRAYS, SLOW_MACHINE_FACTOR, SLOW_MACHINE_MIN_TASKS, SLOW_MACHINE_MIN_PEERS = 2, 2.0, 3, 4
# Boots that tell how long the next ones may take.
MAX_RATIO_SAMPLES = 20
# A replica that ran so long speaks for its service; one that failed within so long of its start, against its machine.
MIN_STABLE_RUNTIME, MAX_START_FAILURE_RUNTIME = timedelta(seconds=10), timedelta(seconds=5)
# An estimate says little about a task that has only just begun.
RUNTIME_RATIO_WEIGHT = 0.2
_ADDRESS_PATTERN = re.compile(r"[^\s/:]+:[0-9]{1,5}")


@lru_cache(maxsize=16384)
def _parse_task_name(task_name: str) -> tuple[str, int]:
    """Job and number of a task's name, which most reports repeat."""
    job_id, _, index_text = task_name.rpartition("/")
    return job_id, int(index_text)


class LeaseRenewal(Enum):
    """What the answer to a report that changes nothing here may do to its worker's lease."""

    COUNTED = 0  # it may renew the lease, and the lease counts
    NOT_RENEWED = 1  # a copy's: it must not
    REFUSED = 2  # nothing proves that answers reach the machine


class HeartbeatReconciler:
    def __init__(self, cluster_state: "ClusterState") -> None:
        self.cluster_state = cluster_state

    def apply_heartbeat(self, heartbeat: wire.Heartbeat, now: datetime) -> Machine | None:
        """The machine, if the report is the newest word of it in our own term, and may be answered with orders.

        ValueError: it names tasks or an address that cannot be.
        """
        cluster_state = self.cluster_state
        if not _ADDRESS_PATTERN.fullmatch(heartbeat.address):
            raise ValueError(f"address {heartbeat.address!r}")
        if (
            heartbeat.machine_type not in cluster_state.catalog
            or heartbeat.machine_name in cluster_state.released_machines
        ):
            return None
        machine = cluster_state.machines.get(heartbeat.machine_name)
        if heartbeat.fencing_token != cluster_state.term:
            if machine is not None:
                self._apply_unacknowledged_heartbeat(machine, heartbeat, now)
            return None
        if machine is None:
            machine = Machine(
                heartbeat.machine_name,
                cluster_state.catalog[heartbeat.machine_type],
                heartbeat.zone,
                heartbeat.is_spot,
                known_since=now,
                idle_since=now,
            )
            cluster_state.machines[heartbeat.machine_name] = machine
        if (heartbeat.incarnation, heartbeat.sequence) <= (
            machine.incarnation,
            machine.sequence,
        ) or heartbeat.incarnation <= machine.expired_incarnation:
            return None
        self._mark_up(machine, heartbeat, now)
        check_answer_received(machine, heartbeat, now)
        self._apply_status(machine, heartbeat, now)
        machine.last_heartbeat_at = machine.lease_renewed_at = now
        machine.heartbeat_sequence = heartbeat.sequence
        machine.unconfirmed_since = NEVER
        machine.is_hung, machine.missed_probe_count = False, machine.missed_probe_count if machine.is_unreachable else 0
        return machine

    def decide_lease_renewal(self, heartbeat: wire.Heartbeat, now: datetime) -> LeaseRenewal:
        """Whether a report that proves nothing is answered with our term, which may renew its worker's lease."""
        machine = self.cluster_state.machines.get(heartbeat.machine_name)
        if machine is None:
            return LeaseRenewal.COUNTED  # nothing is on record there, and what it has is told to go
        if heartbeat.fencing_token == self.cluster_state.term or machine.has_acknowledged_term:
            # Older than what is known. Answers to commands and questions are newer by their tallies and renew nothing,
            # so a report that one of them has overtaken is the first to do so: its lease was not counted, and what ran
            # on the machine was started elsewhere while it ran there still.
            is_first_arrival = (
                heartbeat.incarnation == machine.incarnation
                and machine.has_acknowledged_term
                and heartbeat.sequence > machine.heartbeat_sequence
            )
            if heartbeat.fencing_token != self.cluster_state.term or not is_first_arrival:
                return LeaseRenewal.NOT_RENEWED
            machine.heartbeat_sequence = heartbeat.sequence
            machine.lease_renewed_at = now
            return LeaseRenewal.COUNTED
        if machine.unconfirmed_since == NEVER:
            machine.unconfirmed_since = now
        if now - machine.unconfirmed_since > self.cluster_state.max_lease_duration:
            return LeaseRenewal.REFUSED
        machine.lease_renewed_at = now
        return LeaseRenewal.COUNTED

    def stop_orders_for(self, heartbeat: wire.Heartbeat) -> list[dict[str, Any]]:
        """What a word is answered with: tasks of jobs that are over have to go, whoever commands.

        Leaders that ended one after the other heard words only, and a cancelled task stayed beyond its time.
        """
        machine = self.cluster_state.machines.get(heartbeat.machine_name)
        if heartbeat.fencing_token == self.cluster_state.term:
            return [] if machine is None else self.cluster_state.collect_stop_orders(machine)
        stop_orders = []
        for task_report in heartbeat.tasks:
            run = self.cluster_state.jobs.get(_parse_task_name(task_report.task_id)[0])
            if task_report.state != wire.EXITED and (run is None or run.final_state):
                stop_orders.append(wire.stop_command(task_report.task_id, task_report.attempt, ZERO))
        return stop_orders

    def _mark_up(self, machine: Machine, heartbeat: wire.Heartbeat, now: datetime) -> None:
        cluster_state, machine_type = self.cluster_state, machine.machine_type
        if machine.is_booting and machine.is_autoscaled and machine.scaled_out_at > NEVER:
            boot_ratio = (now - machine.scaled_out_at) / max(machine_type.boot_duration, seconds(1))
            cluster_state.boot_ratios.setdefault(machine_type.name, deque(maxlen=MAX_RATIO_SAMPLES)).append(
                (now, boot_ratio)
            )
        if machine.is_booting or machine.incarnation == 0:
            machine.idle_since = now if not machine.placements else NEVER
            machine.gpus_idle_since = now
            machine.is_booting = False
            log.info("machine %s is up: %s in %s", machine.name, machine_type.name, machine.zone)
        machine.address = heartbeat.address

    def _apply_unacknowledged_heartbeat(self, machine: Machine, heartbeat: wire.Heartbeat, now: datetime) -> None:
        """A report that does not show our term: a worker in search of us, a new one of its name, or a copy."""
        if not machine.address:
            machine.address = heartbeat.address
        if machine.has_acknowledged_term and heartbeat.incarnation > machine.incarnation:
            # No copy of what came before: that tenure showed our term, and this one is later.
            self._begin_incarnation(machine, heartbeat, now)
            machine.sequence = heartbeat.sequence
            machine.has_acknowledged_term = False
            machine.unconfirmed_since = NEVER
            machine.exits_to_clear.clear()
            machine.unknown_tasks.clear()
            self.cluster_state.needs_scheduling = True

    def _begin_incarnation(self, machine: Machine, heartbeat: wire.Heartbeat, now: datetime) -> None:
        """A higher session proves that every task of the earlier ones is gone; what has not been sent yet can still go
        out to the new one."""
        for placement in list(machine.placements.values()):
            if placement.phase in (PlacementPhase.SENT, PlacementPhase.CONFIRMED):
                self.cluster_state.remove_placement(placement, now)
        if self.cluster_state.lifecycle_listener is not None and machine.incarnation > 0:
            self.cluster_state.lifecycle_listener.lease_expired(machine, now)
        machine.incarnation = heartbeat.incarnation
        machine.heartbeat_sequence = 0
        machine.last_answered_heartbeat = (0, 0)

    def apply_command_response(self, heartbeat: wire.Heartbeat, now: datetime) -> None:
        """The answer of a direct command: it renews no lease and proves nothing about answers under way."""
        machine = self.cluster_state.machines.get(heartbeat.machine_name)
        if (
            machine is not None
            and heartbeat.fencing_token == self.cluster_state.term
            and heartbeat.incarnation == machine.incarnation
            and machine.has_acknowledged_term
            and heartbeat.sequence > machine.sequence
        ):
            self._apply_status(machine, heartbeat, now, is_command_response=True)

    def apply_probe_response(
        self, heartbeat: wire.Heartbeat, position_before_probe: tuple[int, int], now: datetime
    ) -> None:
        """The worker's own answer to a question of ours: the way to it is open, and this is how it is now.

        `before`: its (session, seq) as we asked. An answer below that comes from a worker that began anew under its
        name, so all that was there is gone.
        """
        machine = self.cluster_state.machines.get(heartbeat.machine_name)
        if machine is None or heartbeat.machine_name in self.cluster_state.released_machines:
            return
        mark_reachable(machine)
        machine.unconfirmed_since = NEVER
        if (heartbeat.incarnation, heartbeat.sequence) < position_before_probe and (
            machine.incarnation,
            machine.sequence,
        ) == position_before_probe:
            # Copies of its former reports are newer by their tallies than what it says now: it is not used again.
            self.cluster_state.expire_machine(machine, now, "its worker began anew")
            machine.is_marked_for_release = True
        elif machine.has_acknowledged_term and heartbeat.incarnation == machine.incarnation:
            machine.sequence = max(machine.sequence, heartbeat.sequence)

    def _apply_status(
        self, machine: Machine, heartbeat: wire.Heartbeat, now: datetime, is_command_response: bool = False
    ) -> None:
        cluster_state = self.cluster_state
        if heartbeat.incarnation > machine.incarnation:
            self._begin_incarnation(machine, heartbeat, now)
        machine.sequence = heartbeat.sequence
        if heartbeat.reclaim_notice_s is not None:
            if machine.spot_reclaim_at is None:
                log.info("machine %s will be taken back in %.0f s", machine.name, heartbeat.reclaim_notice_s)
                if cluster_state.lifecycle_listener is not None:
                    cluster_state.lifecycle_listener.spot_reclaimed(machine, now)
            machine.spot_reclaim_at = now + seconds(heartbeat.reclaim_notice_s)
            cluster_state.needs_scheduling = True
        machine.exits_to_clear.clear()
        machine.unknown_tasks.clear()
        listed_keys: set[tuple[str, int]] = set()
        for task_report in heartbeat.tasks:
            key = _parse_task_name(task_report.task_id)
            listed_keys.add(key)
            placement = machine.placements.get(key)
            if (
                placement is None
                or task_report.state != wire.RUNNING
                or placement.state != wire.RUNNING
                or placement.phase != PlacementPhase.CONFIRMED
                or placement.attempt != task_report.attempt
                or placement.run.final_state
            ):
                self._apply_task_status(machine, key, task_report, now)
        self._remove_unlisted_tasks(machine, listed_keys, heartbeat, now, is_command_response)
        if not machine.has_acknowledged_term:
            machine.has_acknowledged_term = True
            cluster_state.needs_scheduling = True

    def _remove_unlisted_tasks(
        self,
        machine: Machine,
        listed_keys: set[tuple[str, int]],
        heartbeat: wire.Heartbeat,
        now: datetime,
        is_command_response: bool,
    ) -> None:
        """What the report does not list is gone, if no order for it can still be under way.

        The worker keeps one report in flight: a later report of its own proves the answer to an
        earlier one taken or dropped. The answer of a direct command proves no such thing. Having
        seen our term, the worker drops whatever earlier leaders sent.
        """
        cluster_state = self.cluster_state
        for key, placement in list(machine.placements.items()):
            if key in listed_keys:
                continue
            if placement.phase in (PlacementPhase.CONFIRMED, PlacementPhase.RECOVERED):
                cluster_state.remove_placement(placement, now)
            elif (
                placement.phase == PlacementPhase.SENT
                and not is_command_response
                and heartbeat.sequence > placement.sent_sequence
            ):
                if placement.stop_requested_at is None and not placement.run.final_state:
                    # The order was dropped on its way. The record still stands, so it may go out again.
                    placement.phase = PlacementPhase.COMMITTED
                    record_dropped_order(machine, now)
                else:
                    cluster_state.remove_placement(placement, now)

    def _apply_task_status(
        self, machine: Machine, key: tuple[str, int], task_report: wire.TaskStatus, now: datetime
    ) -> None:
        cluster_state = self.cluster_state
        placement = machine.placements.get(key)
        if task_report.state == wire.EXITED:
            machine.exits_to_clear.append((task_report.task_id, task_report.attempt, task_report.exit_reason or ""))
            if placement is not None and placement.attempt == task_report.attempt:
                self._apply_exit(placement, task_report, now)
            elif task_report.exit_reason == wire.DONE:
                self._apply_completion(key, now)
            return
        if placement is None:
            # On the machine, but in no record: it must not stay.
            log.warning(
                "machine %s runs unknown task %s (attempt %d)", machine.name, task_report.task_id, task_report.attempt
            )
            machine.unknown_tasks.append((task_report.task_id, task_report.attempt))
            return
        if placement.attempt != task_report.attempt:
            if placement.phase == PlacementPhase.RECOVERED:
                placement.attempt = task_report.attempt
            else:
                machine.unknown_tasks.append((task_report.task_id, task_report.attempt))
                return
        if placement.phase == PlacementPhase.SENT:
            machine.dropped_order_count = 0
        placement.phase = PlacementPhase.CONFIRMED
        spec = placement.run.spec
        if task_report.state != placement.state:
            log.debug("%s on %s is %s", task_report.task_id, machine.name, task_report.state)
            if task_report.state == wire.RUNNING:
                placement.running_since = now
                placement.run.has_started = True
            if task_report.state == wire.FETCHING_IMAGE:
                placement.fetching_since = now
            elif placement.state == wire.FETCHING_IMAGE and placement.fetching_since is not None:
                self._record_image_fetch(machine.machine_type, spec, now - placement.fetching_since, now)
            placement.state = task_report.state
            if (
                task_report.state == wire.RUNNING
                and placement.stop_requested_at is None
                and cluster_state.lifecycle_listener is not None
            ):
                cluster_state.lifecycle_listener.running(placement)
        if task_report.state != wire.FETCHING_IMAGE and spec.image:
            if spec.image not in machine.image_cache:
                cluster_state.dirty_machines.add(machine.name)
            machine.record_image_use(spec.image, spec.image_gb)
        if placement.run.final_state and placement.stop_requested_at is None:
            cluster_state.request_stop(placement, ZERO, now)

    def _record_image_fetch(
        self, machine_type: MachineType, spec: JobSpec, fetch_time: timedelta, now: datetime
    ) -> None:
        cluster_state = self.cluster_state
        expected_seconds = spec.image_gb / max(machine_type.fetch_gb_per_s, 0.01)
        if expected_seconds > 0:
            samples = cluster_state.image_fetch_ratios.setdefault(machine_type.name, deque(maxlen=MAX_RATIO_SAMPLES))
            samples.append((now, fetch_time.total_seconds() / expected_seconds))

    def _apply_completion(self, key: tuple[str, int], now: datetime) -> None:
        cluster_state = self.cluster_state
        run = cluster_state.jobs.get(key[0])
        if run is None or run.final_state or run.spec.job_type == SERVICE or key[1] >= run.spec.task_count:
            return
        # A gang completes together: if one task is done, all are.
        indices: Iterable[int] = range(run.spec.task_count) if run.spec.job_type == GANG else (key[1],)
        for index in indices:
            self._mark_completed(run, index)
        running_placement = run.placements.get(key[1])
        if running_placement is not None:
            cluster_state.request_stop(running_placement, ZERO, now)

    def _apply_exit(self, placement: Placement, task_report: wire.TaskStatus, now: datetime) -> None:
        cluster_state = self.cluster_state
        run, machine = placement.run, placement.machine
        spec = run.spec
        log.debug("%s on %s (%s) ended: %s", task_report.task_id, machine.name, spec.job_class, task_report.exit_reason)
        if task_report.exit_reason == wire.DONE:
            if spec.image:
                machine.record_image_use(spec.image, spec.image_gb)
            self._update_runtime_ratio(placement, now)
            run.failure_count = 0
            machine.failed_job_ids.clear()
            machine.unhealthy_until = NEVER
            self.complete_placement(placement, now)
            return
        if task_report.exit_reason == wire.ERROR:
            self._apply_failure(placement, now)
        elif task_report.exit_reason in (wire.INSUFFICIENT_RESOURCES, wire.ATTEMPT_CONFLICT, wire.UNKNOWN_TASK):
            log.info("machine %s refused %s: %s", machine.name, task_report.task_id, task_report.exit_reason)
        cluster_state.remove_placement(placement, now, DowntimeCause.FAILED)
        if (
            spec.job_type == GANG
            and run.placements
            and task_report.exit_reason in (wire.ERROR, wire.GANG_PEER_LOST, wire.STOPPED, wire.GANG_WAIT_TIMED_OUT)
        ):
            # The attempt has failed; what is left of it must go before the next one.
            run.is_gang_stopping = True
            for gang_placement in list(run.placements.values()):
                if gang_placement.stop_requested_at is None and task_report.exit_reason != wire.STOPPED:
                    cluster_state.request_stop(gang_placement, ZERO, now)

    def complete_placement(self, placement: Placement, now: datetime) -> None:
        cluster_state = self.cluster_state
        run = placement.run
        if run.spec.job_type != SERVICE:
            self._mark_completed(run, placement.index)
        cluster_state.remove_placement(placement, now)
        if run.spec.job_type == GANG:
            self._apply_completion((run.spec.id, placement.index), now)

    def _mark_completed(self, run: JobRun, index: int) -> None:
        cluster_state = self.cluster_state
        if not run.final_state and run.mark_completed(index):
            if cluster_state.lifecycle_listener is not None:
                cluster_state.lifecycle_listener.completed(run, index)
            run.uncommitted_completions.add(index)
            cluster_state.dirty_jobs.add(run.spec.id)

    def _update_runtime_ratio(self, placement: Placement, now: datetime) -> None:
        cluster_state = self.cluster_state
        spec = placement.run.spec
        if spec.job_type != ARRAY or spec.estimated_duration_s <= 0 or placement.running_since is None:
            return
        self._detect_slow_machines(placement, now - placement.running_since, now)
        if cluster_state.lifecycle_listener is not None:
            cluster_state.lifecycle_listener.runtime_measured(placement, now - placement.running_since)
        runtime_ratio = (now - placement.running_since) / spec.estimated_duration
        if 0.05 < runtime_ratio < 20:
            previous_ratio = cluster_state.runtime_ratios.get(spec.job_class, 1.0)
            cluster_state.runtime_ratios[spec.job_class] = previous_ratio + RUNTIME_RATIO_WEIGHT * (
                min(runtime_ratio, 4.0) - previous_ratio
            ) / max(1.0, spec.task_count**0.5)

    def _detect_slow_machines(self, placement: Placement, runtime: timedelta, now: datetime) -> None:
        """Tell slow machines by whole arrays only: before its end, those that ran long tasks look slow."""
        cluster_state = self.cluster_state
        run = placement.run
        total, count = run.runtimes_by_machine.get(placement.machine.name, (ZERO, 0))
        run.runtimes_by_machine[placement.machine.name] = (total + runtime, count + 1)
        if run.completed_count + 1 < run.spec.task_count or len(run.runtimes_by_machine) < SLOW_MACHINE_MIN_PEERS:
            return
        mean_runtime = sum((t for t, _ in run.runtimes_by_machine.values()), ZERO) / sum(
            n for _, n in run.runtimes_by_machine.values()
        )
        for name, (total, count) in run.runtimes_by_machine.items():
            machine = cluster_state.machines.get(name)
            if machine is None or count < SLOW_MACHINE_MIN_TASKS:
                continue
            machine.slow_array_count = (
                machine.slow_array_count + 1 if total / count > mean_runtime * SLOW_MACHINE_FACTOR else 0
            )
            if machine.slow_array_count >= SLOW_MACHINE_MIN_ARRAYS and not machine.is_marked_for_release:
                log.info(
                    "machine %s took %.1f times as long as others and goes back", name, total / count / mean_runtime
                )
                machine.is_marked_for_release = True

    def _apply_failure(self, placement: Placement, now: datetime) -> None:
        """A faulty machine fails tasks of several jobs; a mistaken job fails on several machines."""
        cluster_state = self.cluster_state
        run, machine = placement.run, placement.machine
        # A service is never done, so its failures were summed up over its life: after the third faulty machine it
        # counted as mistaken and went last, and after the sixth failure its replicas waited for the restart limit, as
        # if the job were at fault. Replicas that run say otherwise.
        is_stable_elsewhere = has_stable_replica(run, placement, now)
        if is_stable_elsewhere:
            run.has_run_stably = True
        else:
            run.failure_count += 1
        run.failed_machines.add(machine.name)
        if run.is_crash_looping:
            # The job speaks against itself, not against the machines that it failed on.
            for other_machine in cluster_state.machines.values():
                if other_machine.failed_job_ids == {run.spec.id} and not other_machine.is_marked_for_release:
                    other_machine.failed_job_ids.clear()
                    other_machine.unhealthy_until = NEVER
        else:
            machine.failed_job_ids.add(run.spec.id)
            if cluster_state.lifecycle_listener is not None:
                cluster_state.lifecycle_listener.task_failed(machine, run, now)
            machine.unhealthy_until = max(machine.unhealthy_until, now + FAILURE_QUARANTINE)
            is_machine_at_fault = (run.completed_count > 0 and run.failure_count >= 2) or (
                is_stable_elsewhere and _failed_at_start(placement, now)
            )
            if (
                len(machine.failed_job_ids) >= UNHEALTHY_MIN_FAILED_JOBS or is_machine_at_fault
            ) and not machine.is_marked_for_release:
                log.info("machine %s fails tasks of %d jobs and goes back", machine.name, len(machine.failed_job_ids))
                machine.is_marked_for_release = True
        if run.failure_count >= cluster_state.operator_config.failure_count:
            renew_restart_limit(cluster_state.limits, run.spec.id, cluster_state.operator_config, now)
        cluster_state.on_task_failed(run)


def has_stable_replica(run: JobRun, excluded: Placement | None, now: datetime) -> bool:
    """Whether (other) replicas of a service have been running for a while."""
    return run.spec.job_type == SERVICE and any(
        p is not excluded
        and p.state == wire.RUNNING
        and p.running_since is not None
        and now - p.running_since >= MIN_STABLE_RUNTIME
        for p in run.placements.values()
    )


def _failed_at_start(placement: Placement, now: datetime) -> bool:
    return placement.running_since is None or now - placement.running_since < MAX_START_FAILURE_RUNTIME
