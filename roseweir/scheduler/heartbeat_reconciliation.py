"""Reconciles workers' heartbeats with the cluster state: what each may prove, and what it changes.

Pure: no I/O, and the current instant is always an argument.

A heartbeat proves something about the present only as far as its fencing token, incarnation and sequence number do.
Duplicates of heartbeats arrive late, from seconds to well over a lease, also at a leader that receives the machine's
heartbeats for the first time. So a heartbeat that does not show our own term is *unacknowledged*: it is answered, so
that its worker learns our term and shows it half a second later, and nothing else is taken from it. Before, a duplicate
told a new leader of an attempt long gone, the attempt in the real heartbeat was then unknown, and a healthy task was
stopped (tests/test_partial_partitions.py).

| what arrived | proves |
| --- | --- |
| our term, newer than what is known | all that it lists and does not list |
| an incarnation above one that showed our term | that one is over, its tasks are gone; our term must be shown anew |
| another term | that somebody received the machine's heartbeats once; the lease that our answer may renew counts |
| not newer than what is known | nothing |

What the answer to a heartbeat that proves nothing may do to a lease: `lease_renewal.py`.
"""

import logging
import re
from collections import deque
from datetime import datetime, timedelta

from roseweir.clock import NEVER, ZERO, seconds
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.errors import InvalidHeartbeat
from roseweir.scheduler.model import Machine, PlacementPhase, parse_task_name
from roseweir.scheduler.one_way_partition import check_answer_received, mark_reachable, record_dropped_order
from roseweir.scheduler.task_exits import apply_completion, apply_exit
from roseweir.submissions.jobs import JobSpec, MachineType
from roseweir.workers import messages as wire

log = logging.getLogger(__name__)

# Samples kept of a machine type's boot and image fetch times, to predict the next ones.
MAX_RATIO_SAMPLES = 20
_ADDRESS_PATTERN = re.compile(r"[^\s/:]+:[0-9]{1,5}")


class HeartbeatReconciler:
    """Applies heartbeats and responses of workers to one leader's cluster state; it has no state of its own."""

    def __init__(self, cluster_state: ClusterState) -> None:
        self.cluster_state = cluster_state

    def apply_heartbeat(self, heartbeat: wire.Heartbeat, now: datetime) -> Machine | None:
        """Apply a worker's heartbeat.

        Returns:
            The machine, if the heartbeat is its newest in our own term and may be answered with orders; else None.

        Raises:
            InvalidHeartbeat: its address is not `host:port`.
            ValueError: it names a task without a number.
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
        """A heartbeat that does not show our term: a worker in search of a leader, a restarted one, or a duplicate."""
        if not machine.address:
            machine.address = heartbeat.address
        if machine.has_acknowledged_term and heartbeat.incarnation > machine.incarnation:
            # No duplicate of an earlier one: that incarnation showed our term, and this one is later.
            self._begin_incarnation(machine, heartbeat, now)
            machine.sequence = heartbeat.sequence
            machine.has_acknowledged_term = False
            machine.unconfirmed_since = NEVER
            machine.exits_to_clear.clear()
            machine.unknown_tasks.clear()
            self.cluster_state.needs_scheduling = True

    def _begin_incarnation(self, machine: Machine, heartbeat: wire.Heartbeat, now: datetime) -> None:
        """Remove the tasks of earlier incarnations, which a higher one proves gone.

        A start order that was not sent yet can still be sent to the new one.
        """
        for placement in list(machine.placements.values()):
            if placement.phase in (PlacementPhase.SENT, PlacementPhase.CONFIRMED):
                self.cluster_state.remove_placement(placement, now)
        if self.cluster_state.lifecycle_listener is not None and machine.incarnation > 0:
            self.cluster_state.lifecycle_listener.lease_expired(machine, now)
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
        """Apply the worker's response to our probe: it is reachable, and this is its present status.

        `position_before_probe` is its (incarnation, sequence) when the probe was sent. A response below that comes from
        a worker that was restarted under the same name, so all its tasks are gone.
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
            # Duplicates of its former heartbeats have higher sequence numbers than its present ones: it is not used
            # again.
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
        """Remove placements that the heartbeat does not list, if no start order for them can still be in flight.

        The worker keeps one heartbeat in flight: a later heartbeat of its own proves that the answer to an earlier one
        was received or lost. The response to a direct command proves no such thing. Having seen our term, the worker
        drops whatever earlier leaders sent.
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
                    # The order was lost in transit. The start is still committed, so it may be sent again.
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
                apply_exit(cluster_state, placement, task_report, now)
            elif task_report.exit_reason == wire.DONE:
                apply_completion(cluster_state, key, now)
            return
        if placement is None:
            # On the machine, but not in the write-ahead log: it must stop.
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
