"""Reconciles workers' heartbeats with the cluster state: what a heartbeat proves, and what it changes.

Pure: no I/O, and the current instant is always an argument.

How much a heartbeat proves about the present depends on its fencing token, incarnation and sequence number.
Duplicates of heartbeats arrive late, from seconds to well over a lease, also at a leader that receives the machine's
heartbeats for the first time. A heartbeat that does not show our own term is therefore *unacknowledged*: it is
answered, so that its worker learns our term and shows it half a second later, but the tasks that it lists are not
applied. If they were, a late duplicate could make a new leader record an attempt that ended long ago; the attempt in
the next current heartbeat would then be unknown, and a healthy task would be stopped
(tests/test_partial_partitions.py).

| heartbeat | proves |
| --- | --- |
| shows our term, newer than the machine's newest message | which tasks the machine has: those listed, and no others |
| incarnation above one that showed our term | the earlier one's tasks are gone; the new one must show our term |
| shows another term | only that the machine sent it at some time; a lease renewed by our answer is recorded |
| not newer than the machine's newest message | nothing |

`lease_renewal.py` decides what the answer to a heartbeat that proves nothing may do to the worker's lease.
"""

import logging
import re
from collections import deque
from datetime import datetime, timedelta

from roseweir.clock import NEVER, ZERO, seconds
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.errors import InvalidHeartbeat
from roseweir.scheduler.model import Machine, PlacementPhase, parse_task_name
from roseweir.scheduler.one_way_partition import check_answer_received, mark_reachable, record_dropped_command
from roseweir.scheduler.task_exits import apply_completion, apply_exit
from roseweir.submissions.jobs import JobSpec, MachineType
from roseweir.workers import messages as wire

log = logging.getLogger(__name__)

# Samples kept of a machine type's boot and image fetch times, to predict the next ones.
MAX_RATIO_SAMPLES = 20
# Bound of these samples: an image of a few bytes takes a million times as long as by the catalog's rate.
MAX_TIME_RATIO = 100.0
_ADDRESS_PATTERN = re.compile(r"[^\s/:]+:[0-9]{1,5}")


class HeartbeatReconciler:
    """Applies heartbeats and responses of workers to one leader's cluster state; it has no state of its own."""

    def __init__(self, cluster_state: ClusterState) -> None:
        self.cluster_state = cluster_state

    def apply_heartbeat(self, heartbeat: wire.Heartbeat, now: datetime) -> Machine | None:
        """Apply a worker's heartbeat.

        Returns:
            The machine, if the heartbeat is its newest in our own term and may be answered with commands; else None.

        Raises:
            InvalidHeartbeat: its address is not `host:port`.
            ValueError: the name of a task in it does not end in a number.
        """
        cluster_state = self.cluster_state
        if not _ADDRESS_PATTERN.fullmatch(heartbeat.address):
            raise InvalidHeartbeat(f"address {heartbeat.address!r}")
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
                added_at=now,
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

    def _mark_up(self, machine: Machine, heartbeat: wire.Heartbeat, now: datetime) -> None:
        cluster_state, machine_type = self.cluster_state, machine.machine_type
        if machine.is_booting and machine.is_autoscaled and machine.scaled_out_at > NEVER:
            boot_ratio = (now - machine.scaled_out_at) / max(machine_type.boot_duration, seconds(1))
            cluster_state.boot_ratios.setdefault(machine_type.name, deque(maxlen=MAX_RATIO_SAMPLES)).append(
                (now, min(boot_ratio, MAX_TIME_RATIO))
            )
        if machine.is_booting or machine.incarnation == 0:
            machine.idle_since = now if not machine.placements else NEVER
            machine.gpus_idle_since = now
            machine.is_booting = False
            log.info("machine up: machine=%s type=%s zone=%s", machine.name, machine_type.name, machine.zone)
        machine.address = heartbeat.address

    def _apply_unacknowledged_heartbeat(self, machine: Machine, heartbeat: wire.Heartbeat, now: datetime) -> None:
        """Apply a heartbeat without our term: its worker searches for the leader or restarted, or it is a duplicate."""
        if not machine.address:
            machine.address = heartbeat.address
        if machine.has_acknowledged_term and heartbeat.incarnation > machine.incarnation:
            # Not a late duplicate: the machine's current incarnation showed our term, and this one is higher.
            self._begin_incarnation(machine, heartbeat, now)
            machine.sequence = heartbeat.sequence
            machine.has_acknowledged_term = False
            machine.unconfirmed_since = NEVER
            machine.exits_to_clear.clear()
            machine.unknown_tasks.clear()
            self.cluster_state.needs_scheduling = True

    def _begin_incarnation(self, machine: Machine, heartbeat: wire.Heartbeat, now: datetime) -> None:
        """Remove the tasks of earlier incarnations, which a higher incarnation proves gone.

        A start command that was not sent yet can still be sent to the new incarnation.
        """
        for placement in list(machine.placements.values()):
            if placement.phase in (PlacementPhase.SENT, PlacementPhase.CONFIRMED):
                self.cluster_state.remove_placement(placement, now)
        if self.cluster_state.lifecycle_listener is not None and machine.incarnation > 0:
            self.cluster_state.lifecycle_listener.on_lease_expired(machine, now)
        machine.incarnation = heartbeat.incarnation
        machine.heartbeat_sequence = 0
        machine.last_answered_heartbeat = (0, 0)

    def apply_command_response(self, heartbeat: wire.Heartbeat, now: datetime) -> None:
        """Apply the response to a direct command: it renews no lease and proves nothing about answers in flight."""
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
        """Apply the worker's response to our probe: the machine is reachable, and the response shows its position.

        `position_before_probe` is the machine's (incarnation, sequence) when the probe was sent. A lower position in
        the response comes from a worker that was restarted under the same name, so all earlier tasks are gone.
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
            # The machine is not used again: late duplicates of the earlier worker's heartbeats have higher sequence
            # numbers than the heartbeats of the new one.
            self.cluster_state.expire_machine(machine, now, "worker restarted under the same name")
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
                log.info(
                    "spot instance about to be reclaimed: machine=%s notice_s=%.0f",
                    machine.name,
                    heartbeat.reclaim_notice_s,
                )
                if cluster_state.lifecycle_listener is not None:
                    cluster_state.lifecycle_listener.on_spot_reclaimed(machine, now)
            machine.spot_reclaim_at = now + seconds(heartbeat.reclaim_notice_s)
            cluster_state.needs_scheduling = True
        machine.exits_to_clear.clear()
        machine.unknown_tasks.clear()
        listed_keys: set[tuple[str, int]] = set()
        for task_report in heartbeat.tasks:
            key = parse_task_name(task_report.task_id)
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
        """Remove placements that the heartbeat does not list, if no start command for them can still be in flight.

        The worker keeps one heartbeat in flight, so a later heartbeat proves that the answer to an earlier one was
        received or lost; the response to a direct command does not. Once the worker has seen our term, it ignores
        commands of earlier leaders.
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
                    # The start command was lost in transit. The start is still committed, so it may be sent again.
                    placement.phase = PlacementPhase.COMMITTED
                    record_dropped_command(machine, now)
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
                apply_exit(cluster_state, placement, task_report, now)
            elif task_report.exit_reason == wire.DONE:
                apply_completion(cluster_state, key, now)
            return
        if placement is None:
            # The machine has the task, but the write-ahead log does not: it must stop.
            log.warning(
                "unknown task on machine: machine=%s task=%s attempt=%d",
                machine.name,
                task_report.task_id,
                task_report.attempt,
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
            machine.dropped_command_count = 0
        placement.phase = PlacementPhase.CONFIRMED
        spec = placement.run.spec
        if task_report.state != placement.state:
            log.debug(
                "task state changed: task=%s machine=%s state=%s", task_report.task_id, machine.name, task_report.state
            )
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
                cluster_state.lifecycle_listener.on_task_running(placement)
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
        expected_seconds = spec.image_gb / machine_type.fetch_gb_per_s
        if expected_seconds > 0:
            samples = cluster_state.image_fetch_ratios.setdefault(machine_type.name, deque(maxlen=MAX_RATIO_SAMPLES))
            samples.append((now, min(fetch_time.total_seconds() / expected_seconds, MAX_TIME_RATIO)))
