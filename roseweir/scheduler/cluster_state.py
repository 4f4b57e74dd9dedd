"""The leader's state of jobs, machines and placements, and the changes to it.

Heartbeats are applied to it by `heartbeat_reconciliation.py`, scheduling passes by `scheduling_pass.py`.
Pure: no I/O, and the current instant is always an argument.
"""

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

import msgspec

from roseweir.bounds import bounded_unix_ms
from roseweir.clock import NEVER, ZERO
from roseweir.limits import StartupLimits
from roseweir.operator_config import OperatorConfig
from roseweir.scheduler.headroom import Headroom
from roseweir.scheduler.lifecycle_events import DowntimeCause, TaskLifecycleListener
from roseweir.scheduler.model import JobRun, Machine, Placement, PlacementPhase, new_job_run
from roseweir.scheduler.placement_policy import PlacementPolicy
from roseweir.scheduler.starvation import JobSizeHistogram
from roseweir.settings import Settings
from roseweir.submissions.jobs import (
    GANG,
    SERVICE,
    CompletedJob,
    JobSpec,
    MachineType,
    decode_job_spec,
    decode_partial_job_spec,
)
from roseweir.workers import messages as wire

log = logging.getLogger(__name__)

# Monotonic clocks drift apart by up to 0.05%; spans measured on another machine's clock are extended by twice that.
CLOCK_DRIFT_FACTOR = 1.001
# How long a received message may wait in buffers before its arrival time is recorded.
RECEIVE_DELAY_ALLOWANCE = timedelta(milliseconds=500)
# Boot times measured within this window predict the next ones.
BOOT_HISTORY_WINDOW = timedelta(minutes=3)
# Phases in which a machine may have received a task's start command.
POSSIBLY_STARTED_PHASES = (PlacementPhase.SENT, PlacementPhase.CONFIRMED, PlacementPhase.RECOVERED)
# How much later than two heartbeat intervals a heartbeat may be, from a worker that has found this leader.
HEARTBEAT_TOLERANCE = timedelta(seconds=0.75)
# The same from a worker that searches for the leader: it waits 4 s for an answer and tries the next node 1 s later.
LEADER_SEARCH_TOLERANCE = timedelta(seconds=5)
# How much later than two intervals the last heartbeat may be before nothing is started on the machine.
HEARTBEAT_DELAY_ALLOWANCE = timedelta(seconds=1.5)
# How long the names of released machines are kept: late duplicates of their heartbeats must not add them again.
RELEASED_MACHINE_RETENTION = timedelta(hours=1)
# How many names of released machines are kept at most.
MAX_RELEASED_MACHINES = 20_000
# A wait objective of at least this leaves time for a machine to become free.
MIN_RELAXED_WAIT_TARGET = timedelta(seconds=120)
# Hold reason of a workflow step until it is released.
WAITING_FOR_WORKFLOW_STEPS = "the steps that it follows"
# Hold reason of a job with DAG dependencies until it is released.
WAITING_FOR_DEPENDENCIES = "the jobs that it awaits"


@dataclass(slots=True)
class TeamUsage:
    """CPUs and GPUs that a team's placements take."""

    cpus: float = 0.0
    gpus: float = 0.0


class ClusterState:
    """One leader's state of jobs, machines and placements during its term."""

    def __init__(self, settings: Settings, operator_config: OperatorConfig, term: int, now: datetime) -> None:
        self.settings = settings
        self.operator_config = operator_config
        self.term = term
        self.term_started_at = now
        workers = settings.params.workers
        self.max_lease_duration = workers.lease_duration * CLOCK_DRIFT_FACTOR + RECEIVE_DELAY_ALLOWANCE
        # The last heartbeat of a reachable machine is no older than this, an allowance for delays included.
        self.max_heartbeat_age = workers.heartbeat_interval * 2 + HEARTBEAT_DELAY_ALLOWANCE
        # A machine that has not shown our term may follow an earlier leader until `previous_leader_lease_expiry`. That
        # leader answers heartbeats for at most `stale_cancellation_window` after it last read all cancellations, and
        # the last lease that it renews runs from a heartbeat sent by then.
        self.stale_cancellation_window = stale_cancellation_window(settings)
        self.previous_leader_lease_expiry = (
            now + self.stale_cancellation_window * CLOCK_DRIFT_FACTOR + self.max_lease_duration
        )
        self.teams = {team.name: team for team in settings.params.teams}
        self.catalog: dict[str, MachineType] = {}
        self.jobs: dict[str, JobRun] = {}
        self.machines: dict[str, Machine] = {}
        self.released_machines: dict[str, datetime] = {}
        self.usage_by_team: dict[str, TeamUsage] = {}
        self.limits = StartupLimits(operator_config.ban_window, operator_config.lookahead)
        # The Unix epoch on the monotonic clock, None if not set: jobs' acceptance times are Unix times.
        self.wall_clock_epoch: datetime | None = None
        self.job_sizes = JobSizeHistogram()
        # Zones whose image fetch tokens are reserved for a starving job, in this scheduling pass.
        self.fetch_reserved_zones: set[str] = set()
        self.runtime_ratios: dict[str, float] = {}
        # The smallest requests of waiting tasks since the last pass: CPUs of CPU-only tasks, GPUs of GPU tasks.
        self.min_waiting_cpus = self.min_waiting_gpus = 0.0
        self.highest_gpu_priority = 1 << 30  # the highest priority of this term's GPU jobs: lower numbers come first
        self.max_task_gpus = 0.0  # GPUs of the largest task in this term
        self.max_gang_tasks = 1  # tasks of the largest GPU gang in this term
        self.max_cpus_per_gpu = 0.0  # the most CPUs per GPU that a GPU job of this term requests
        # CPU-only work may overflow onto the CPUs of idle GPU machines until then: no others can be obtained.
        self.overflow_until = NEVER
        # Images of job classes with a wait objective.
        self.low_latency_images: set[str] = set()
        # Overflow work leaves enough whole machines free for `reserved_start_count` starts of the largest GPU task or
        # gang. If all GPU job classes may wait for longer than most tasks run, one start is enough: the second can use
        # machines whose tasks end in that time.
        self._max_wait_by_class: dict[str | None, timedelta] = {}
        for objective in settings.params.objectives:
            if objective.objective_type == "wait" and objective.threshold is not None:
                self._max_wait_by_class[objective.job_class] = min(
                    objective.threshold, self._max_wait_by_class.get(objective.job_class, objective.threshold)
                )
        self._min_gpu_wait_target = ZERO  # shortest wait objective of this term's GPU job classes; zero: none
        # Capacity kept free for job classes that must start at once.
        self.headroom = Headroom.from_objectives(settings.params.objectives)
        self._low_latency_classes = {
            objective.job_class for objective in settings.params.objectives if objective.objective_type == "wait"
        }
        # Instance pools (type, zone, spot) in which this leader, or an earlier one by its log, obtained machines.
        self.obtained_instance_pools: set[tuple[str, str, bool]] = set()
        # Zones most of whose machines send heartbeats, and since when.
        self.zone_responsive_since: dict[str, datetime] = {}
        # Recent boot times by machine type, as multiples of the catalog's figure, with when they were measured.
        self.boot_ratios: dict[str, deque[tuple[datetime, float]]] = {}
        # Recent image fetch times by machine type, as multiples of the time by the catalog's rate, with when they were
        # measured.
        self.image_fetch_ratios: dict[str, deque[tuple[datetime, float]]] = {}
        self._attempt_counter = 0
        # What the log writer has to write, and whether another scheduling pass is needed.
        self.planned_placements: list[Placement] = []
        self.dirty_machines: set[str] = set()
        self.dirty_jobs: set[str] = set()
        self.needs_scheduling = True
        # Jobs were added, held, released or ended: which jobs are within their team's quota must be recomputed.
        self.needs_quota_update = True
        # Searches for preemption victims that recently failed: for how many tasks and when, by the properties of a job
        # that decide which tasks it may preempt.
        self.failed_preemptions: dict[tuple[object, ...], tuple[int, datetime]] = {}
        # The drain that cordons a machine, by machine name: nothing new starts there.
        self.drain_by_machine: dict[str, str] = {}
        # Slack, in milliseconds, of jobs with a deadline that they may miss: they come first among their team's jobs of
        # the same priority, and machines are scaled out within that time.
        self.slack_ms_by_job: dict[str, int] = {}
        self._slack_by_source: dict[str, dict[str, int]] = {}
        # Job ids that a machine is reserved for while tasks are moved, by machine name.
        self.reserved_machines: dict[str, set[str]] = {}
        # The placement policy for GPU tasks, if any, and whether it also applies without GPU services.
        self.placement_policy: PlacementPolicy | None = None
        self.is_placement_policy_always_enabled = False
        self.has_gpu_services = False  # set by the first: its replicas do not end, so fragmentation persists
        # Receives the tasks' lifecycle events, if set.
        self.lifecycle_listener: TaskLifecycleListener | None = None
        # Called when a task has failed, before the next scheduling pass.
        self.on_task_failed: Callable[[JobRun], None] = lambda run: None
        # Machines whose stop commands are sent directly rather than with the answer to the next heartbeat.
        self.urgent_stop_machines: set[str] = set()

    # -- jobs ---------------------------------------------------------------------------------

    def add_job(self, spec: JobSpec, version: int) -> JobRun:
        """Add a live job unless it is present already, and return its run; `version` is that of its record."""
        run = self.jobs.get(spec.id)
        if run is None:
            run = self.jobs[spec.id] = new_job_run(spec, version)
            run.requires_gpu_machine = self.requires_gpu_machine(spec)
            self.job_sizes.record(spec)
            if spec.job_type == SERVICE and spec.gpus > 0:
                self.has_gpu_services = True
            if spec.workflow_id:
                # Held until the workflow controller releases it.
                run.hold_reason = WAITING_FOR_WORKFLOW_STEPS
            elif spec.dependencies:
                # Held until all of them are durably completed (`dependencies/reconciler.py`).
                run.hold_reason = WAITING_FOR_DEPENDENCIES
            self.needs_quota_update = True
            if spec.gpus > 0:
                self.min_waiting_gpus = min(self.min_waiting_gpus, spec.gpus)
                self.max_cpus_per_gpu = max(self.max_cpus_per_gpu, spec.cpus / spec.gpus)
                self.max_task_gpus = max(self.max_task_gpus, spec.gpus)
                self.highest_gpu_priority = min(self.highest_gpu_priority, spec.priority)
                wait_target = self._max_wait_by_class.get(spec.job_class)
                if wait_target is not None:
                    self._min_gpu_wait_target = min(wait_target, self._min_gpu_wait_target or wait_target)
                if spec.job_type == GANG:
                    self.max_gang_tasks = max(self.max_gang_tasks, spec.task_count)
            else:
                self.min_waiting_cpus = min(self.min_waiting_cpus, spec.cpus)
            if spec.job_class in self._low_latency_classes and spec.image:
                self.low_latency_images.add(spec.image)
            self.headroom.observe_job(spec, self.catalog.values())
            self.needs_scheduling = True
        return run

    def add_stored_job(self, job_id: str, stored_value: object, version: int) -> JobRun:
        """Add a live job from its stored record.

        A job whose record cannot be decoded is held: none of its tasks start, and the resources of those that run are
        accounted for. An exception here would end the term of every leader in turn, and so stop the whole service.
        """
        try:
            return self.add_job(decode_job_spec(stored_value), version)
        except (msgspec.ValidationError, TypeError, ValueError) as e:
            run = self.add_job(decode_partial_job_spec(job_id, stored_value), version)
            if not run.hold_reason:
                log.error("job record unreadable, job held: job=%s error=%s", job_id, e)
            run.hold_reason = f"its record to be readable: {e}"
            return run

    def hold_job(self, run: JobRun, reason: str) -> None:
        """Hold the job: none of its tasks start until it is released, and it has no demand."""
        run.hold_reason = reason
        self.needs_quota_update = True

    def release_job(self, run: JobRun, ready_ms: int) -> None:
        """Release a held job. Its queue position and waiting time count from `ready_ms`, Unix time in milliseconds."""
        run.hold_reason = ""
        run.eligible_from_ms = bounded_unix_ms(ready_ms)
        self.needs_quota_update = self.needs_scheduling = True

    def set_effective_priority(self, run: JobRun, priority: int) -> None:
        """Set the priority that the job is scheduled with; lower numbers come first."""
        run.priority = priority
        if run.spec.gpus > 0:
            self.highest_gpu_priority = min(self.highest_gpu_priority, priority)
        self.needs_scheduling = True

    def set_slack(self, source: str, slack_ms: dict[str, int]) -> None:
        """Set the slack (milliseconds by job id) that one source computed; the smallest of all sources counts."""
        if slack_ms == self._slack_by_source.get(source, {}):
            return
        self._slack_by_source[source] = slack_ms
        merged_slack_ms: dict[str, int] = {}
        for source_slack_ms in self._slack_by_source.values():
            for job_id, slack in source_slack_ms.items():
                merged_slack_ms[job_id] = min(slack, merged_slack_ms.get(job_id, slack))
        self.slack_ms_by_job = merged_slack_ms
        self.needs_scheduling = True

    @property
    def active_placement_policy(self) -> PlacementPolicy | None:
        """The placement policy, if it applies now."""
        return self.placement_policy if self.is_placement_policy_always_enabled or self.has_gpu_services else None

    def refresh_service_stability(self, now: datetime) -> None:
        """No longer treat crash-looping services as such once one of their replicas runs stably."""
        for run in self.jobs.values():
            if run.is_crash_looping and run.has_stable_replica(None, now):
                run.has_run_stably = True

    @property
    def reserved_start_count(self) -> int:
        """Number of starts of the largest GPU task or gang for which overflow work leaves machines free."""
        return 1 if self._min_gpu_wait_target >= MIN_RELAXED_WAIT_TARGET else 2

    def end_job(self, job_id: str, completed_job: CompletedJob, now: datetime) -> None:
        """Apply the job's end, once the key-value store holds it, and stop its tasks."""
        run = self.jobs.get(job_id)
        if run is None or run.final_state:
            return
        run.final_state = completed_job.state
        if self.lifecycle_listener is not None:
            self.lifecycle_listener.on_job_ended(run)
        self.needs_quota_update = True
        run.uncommitted_completions.clear()
        run.delta_completions.clear()
        for placement in list(run.placements.values()):
            self.request_stop(placement, ZERO, now)
        self._remove_finished_job(run)
        self.needs_scheduling = True

    def _remove_finished_job(self, run: JobRun) -> None:
        if run.final_state and not run.placements:
            self.jobs.pop(run.spec.id, None)
            self.needs_quota_update = True
            self.dirty_jobs.discard(run.spec.id)

    def requires_gpu_machine(self, spec: JobSpec) -> bool:
        """Whether the job needs no GPUs, and its tasks fit only machine types that have some: by memory, say."""
        return spec.gpus <= 0 and not any(
            machine_type.gpus <= 0 and spec.fits_machine_type(machine_type) for machine_type in self.catalog.values()
        )

    def cpus_reserved_per_gpu(self, spec: JobSpec) -> float:
        """CPUs that a CPU-only job leaves free for each GPU of a machine; none if it can run nowhere else."""
        return 0.0 if self.requires_gpu_machine(spec) else self.max_cpus_per_gpu

    def estimate_runtime(self, spec: JobSpec) -> timedelta:
        """Return the job's estimated runtime, corrected by the measured runtimes of its class."""
        return spec.estimated_duration * self.runtime_ratios.get(spec.job_class, 1.0)

    def allocate_attempt(self) -> int:
        """Return a new attempt number, unique across leaders: the term in the bits above a counter."""
        self._attempt_counter += 1
        return (self.term << 28) | self._attempt_counter

    # -- placements ---------------------------------------------------------------------------

    def add_placement(
        self,
        run: JobRun,
        index: int,
        machine: Machine,
        attempt: int,
        now: datetime,
        phase: PlacementPhase = PlacementPhase.PLANNED,
    ) -> Placement:
        placement = Placement(run, index, machine, attempt, phase, now)
        spec = run.spec
        assert index not in run.placements
        run.placements[index] = placement
        run.placed_index_bound = max(run.placed_index_bound, index + 1)
        machine.placements[(spec.id, index)] = placement
        machine.change_count += 1
        machine.free_cpus -= spec.cpus
        machine.free_gpus -= spec.gpus
        machine.free_memory_gb -= spec.memory_gb
        if spec.gpus <= 0:
            machine.cpu_only_cpus += spec.cpus
        else:
            machine.gpu_task_count += 1
        usage = self.usage_by_team.setdefault(spec.team, TeamUsage())
        usage.cpus += spec.cpus
        usage.gpus += spec.gpus
        machine.idle_since = NEVER
        if phase == PlacementPhase.PLANNED:
            if spec.job_type == GANG:
                placement.replacement_number = run.replacement_count
            self.planned_placements.append(placement)
            self.dirty_machines.add(machine.name)
            log.debug("placing %s on %s (%s)", placement.task_name, machine.name, spec.job_class)
        return placement

    def restore_machine(self, name: str, machine_type: MachineType, zone: str, is_spot: bool, now: datetime) -> Machine:
        """Return the machine that an earlier leader's write-ahead log names; it is added unless it is present."""
        machine = self.machines.get(name)
        if machine is None:
            machine = self.machines[name] = Machine(name, machine_type, zone, is_spot, added_at=now)
        return machine

    def restore_placement(
        self, run: JobRun, index: int, machine: Machine, attempt: int, now: datetime, replacement_number: int = 0
    ) -> Placement:
        """Add a placement from an earlier leader's write-ahead log; it counts as placed until proven gone."""
        placement = self.add_placement(run, index, machine, attempt, now, PlacementPhase.RECOVERED)
        placement.replacement_number = replacement_number
        if run.spec.job_type == GANG:
            run.gang_attempt = max(run.gang_attempt, attempt)
            run.replacement_count = max(run.replacement_count, replacement_number)
        if run.final_state:
            self.request_stop(placement, ZERO, now)
        return placement

    def remove_placement(self, placement: Placement, now: datetime, cause: DowntimeCause = DowntimeCause.LOST) -> None:
        """Remove the placement of a task that is proven gone. `cause`: why, if it neither completed nor was stopped."""
        run, machine, spec = placement.run, placement.machine, placement.run.spec
        if run.placements.get(placement.index) is not placement:
            return
        if (
            self.lifecycle_listener is not None
            and placement.phase in POSSIBLY_STARTED_PHASES
            and placement.stop_requested_at is None
        ):
            self.lifecycle_listener.on_task_lost(placement, cause, now)
        del run.placements[placement.index]
        del machine.placements[(spec.id, placement.index)]
        machine.change_count += 1
        machine.free_cpus += spec.cpus
        machine.free_gpus += spec.gpus
        machine.free_memory_gb += spec.memory_gb
        if spec.gpus <= 0:
            machine.cpu_only_cpus -= spec.cpus
        else:
            machine.gpu_task_count -= 1
            if machine.gpu_task_count == 0:
                machine.gpus_idle_since = now
        usage = self.usage_by_team[spec.team]
        usage.cpus -= spec.cpus
        usage.gpus -= spec.gpus
        if not machine.placements:
            machine.idle_since = now
        if not run.is_completed(placement.index):
            run.requeue(placement.index)
        self.dirty_machines.add(machine.name)
        self.needs_scheduling = True
        if spec.job_type == GANG and not run.final_state:
            self._update_gang_after_loss(run, placement)
        self._remove_finished_job(run)

    def _update_gang_after_loss(self, run: JobRun, lost_placement: Placement) -> None:
        if not run.placements:
            run.is_gang_stopping = False
            run.gang_attempt = 0
        elif lost_placement.state in (wire.RUNNING, wire.SAVING_CHECKPOINT):
            # The gang had started: the other members exit by themselves, and all must be gone before it restarts.
            run.is_gang_stopping = True

    def request_stop(
        self,
        placement: Placement,
        grace: timedelta,
        now: datetime,
        is_urgent: bool = False,
        cause: DowntimeCause = DowntimeCause.FAILED,
    ) -> None:
        """Request that a task stops within `grace`; one whose start command was never sent is removed at once."""
        if placement.phase in (PlacementPhase.PLANNED, PlacementPhase.COMMITTED):
            self.remove_placement(placement, now)
            return
        if self.lifecycle_listener is not None and placement.stop_requested_at is None:
            self.lifecycle_listener.on_task_stopped(placement, cause, now)
        if placement.stop_requested_at is None or grace < placement.stop_grace:
            placement.stop_requested_at = placement.stop_requested_at or now
            placement.stop_grace = grace
            placement.machine.change_count += 1
        if is_urgent or placement.run.spec.job_type == GANG:
            self.urgent_stop_machines.add(placement.machine.name)

    def request_graceful_stop(
        self,
        placement: Placement,
        now: datetime,
        is_urgent: bool = False,
        cause: DowntimeCause = DowntimeCause.PREEMPTED,
    ) -> None:
        """Request a stop with time for a checkpoint, if the task takes any; a gang's members are stopped together."""
        run = placement.run
        grace = run.spec.checkpoint_grace
        gang_placements = list(run.placements.values()) if run.spec.job_type == GANG else [placement]
        if run.spec.job_type == GANG:
            run.is_gang_stopping = True
            grace += self.settings.params.workers.gang_peer_timeout
        for gang_placement in gang_placements:
            if gang_placement.stop_requested_at is None:
                self.request_stop(gang_placement, grace, now, is_urgent, cause)

    def expire_machine(self, machine: Machine, now: datetime, reason: str) -> None:
        """Remove every placement of a machine whose tasks are proven gone."""
        if machine.placements:
            log.info(
                "machine's tasks are gone: machine=%s reason=%s tasks=%d", machine.name, reason, len(machine.placements)
            )
        machine.expired_incarnation = max(machine.expired_incarnation, machine.incarnation)
        for placement in list(machine.placements.values()):
            self.remove_placement(placement, now)
        machine.exits_to_clear.clear()
        machine.unknown_tasks.clear()
        machine.has_acknowledged_term = False

    def remove_machine(self, name: str, now: datetime, reason: str) -> None:
        """Remove a machine that was released or is gone, and keep its name so that late heartbeats do not add it."""
        machine = self.machines.get(name)
        if machine is not None:
            self.expire_machine(machine, now, reason)
            del self.machines[name]
            self.dirty_machines.add(name)
        self.released_machines[name] = now
        self.needs_scheduling = True

    # -- commands -----------------------------------------------------------------------------

    def collect_commands(self, machine: Machine, now: datetime, may_start_tasks: bool) -> list[dict[str, Any]]:
        """Return the commands for the answer to the newest heartbeat; start commands only if `may_start_tasks`."""
        commands: list[dict[str, Any]] = []
        for task_name, attempt, cause in machine.exits_to_clear:
            job_id, _, index_text = task_name.rpartition("/")
            run = self.jobs.get(job_id)
            if (
                cause == wire.DONE
                and run is not None
                and not run.final_state
                and run.spec.job_type != SERVICE
                and int(index_text) < run.spec.task_count
                and not run.is_durably_completed(int(index_text))
            ):
                continue  # the completion must be durable before the worker may discard it
            commands.append(wire.clear_command(task_name, attempt))
        for task_name, attempt in machine.unknown_tasks:
            commands.append(wire.stop_command(task_name, attempt, ZERO))
        for placement in machine.placements.values():
            if placement.stop_requested_at is not None:
                if placement.phase in (PlacementPhase.SENT, PlacementPhase.CONFIRMED) and not (
                    placement.state == wire.SAVING_CHECKPOINT and placement.stop_grace > ZERO
                ):
                    commands.append(wire.stop_command(placement.task_name, placement.attempt, placement.stop_grace))
            elif (
                placement.phase == PlacementPhase.COMMITTED
                and may_start_tasks
                and machine.has_acknowledged_term
                and not machine.is_suspected
            ):
                placement.phase = PlacementPhase.SENT
                placement.sent_sequence = machine.sequence
                commands.append(wire.run_command(placement.task_name, placement.attempt))
        return commands

    def collect_stop_commands(self, machine: Machine) -> list[dict[str, Any]]:
        """Return stop commands to send directly; never start commands, which could arrive arbitrarily late."""
        return [
            wire.stop_command(p.task_name, p.attempt, p.stop_grace)
            for p in machine.placements.values()
            if p.stop_requested_at is not None
            and p.phase == PlacementPhase.CONFIRMED
            and p.state != wire.SAVING_CHECKPOINT
        ]

    def pending_command_status(self, machine: Machine) -> tuple[bool, bool]:
        """Return whether start commands can be sent to the machine, and whether some are yet to be committed."""
        has_planned = False
        for placement in machine.placements.values():
            if placement.phase == PlacementPhase.COMMITTED:
                return True, has_planned
            if placement.phase == PlacementPhase.PLANNED:
                has_planned = True
        return False, has_planned

    def has_room_for_waiting_task(self, machine: Machine) -> bool:
        """Whether a waiting task may fit on the machine, so that the next scheduling pass may place one."""
        return machine.free_cpus >= self.min_waiting_cpus - 1e-6 or machine.free_gpus >= self.min_waiting_gpus - 1e-6

    # -- time ---------------------------------------------------------------------------------

    def apply_timeouts(self, now: datetime) -> None:
        """Apply lease expiry and spot reclaim notices, and drop state that has expired."""
        for machine in list(self.machines.values()):
            if machine.is_booting:
                continue
            if machine.placements:
                # A machine that showed our term accepts no earlier leader, so its lease ends with the last that we
                # renewed. The worker counts it from when it sent the heartbeat, before `lease_renewed_at`.
                lease_expiry = machine.lease_renewed_at + self.max_lease_duration
                if not machine.has_acknowledged_term:
                    lease_expiry = max(lease_expiry, self.previous_leader_lease_expiry)
                if now > lease_expiry:
                    self.expire_machine(machine, now, "lease expired")
            if machine.spot_reclaim_at is not None:
                self._drain_reclaimed(machine, now)
        for name in [n for n, at in self.released_machines.items() if now - at > RELEASED_MACHINE_RETENTION]:
            del self.released_machines[name]
        while len(self.released_machines) > MAX_RELEASED_MACHINES:
            del self.released_machines[next(iter(self.released_machines))]
        self.limits.remove_expired(now)

    def _drain_reclaimed(self, machine: Machine, now: datetime) -> None:
        for placement in list(machine.placements.values()):
            if placement.stop_requested_at is not None:
                continue
            spec = placement.run.spec
            if (
                spec.saves_when_stopped
                or placement.phase in (PlacementPhase.PLANNED, PlacementPhase.COMMITTED)
                or spec.job_type == SERVICE
            ):
                self.request_graceful_stop(placement, now, cause=DowntimeCause.SPOT_NOTICE)

    def log_status(self) -> None:
        """Log a summary of jobs, tasks and machines."""
        phase_counts = [0] * len(PlacementPhase)
        waiting_count = 0
        for run in self.jobs.values():
            waiting_count += run.pending_count
            for placement in run.placements.values():
                phase_counts[placement.phase] += 1
        log.info(
            "cluster status: jobs=%d tasks_waiting=%d planned=%d committed=%d sent=%d confirmed=%d recovered=%d "
            "machines=%d machines_up=%d free_cpus=%.0f free_gpus=%.0f",
            len(self.jobs),
            waiting_count,
            *phase_counts,
            len(self.machines),
            sum(m.has_acknowledged_term for m in self.machines.values()),
            sum(m.free_cpus for m in self.machines.values() if m.has_acknowledged_term),
            sum(m.free_gpus for m in self.machines.values() if m.has_acknowledged_term),
        )

    def recent_boot_ratios(self, machine_type: MachineType, now: datetime) -> list[float]:
        """Return recent boot times of the machine type, as multiples of the catalog's figure."""
        return [
            boot_ratio
            for observed_at, boot_ratio in self.boot_ratios.get(machine_type.name, ())
            if now - observed_at < BOOT_HISTORY_WINDOW
        ]

    def overdue_machines(self, now: datetime) -> list[Machine]:
        """Return machines with overdue heartbeats or lost answers if they are the majority, else an empty list."""
        running_machines = [m for m in self.machines.values() if not m.is_booting and m.spot_reclaim_at is None]
        heartbeat_interval = self.settings.params.workers.heartbeat_interval
        overdue_machines = [
            m
            for m in running_machines
            if m.is_suspected
            or self.time_since_heartbeat(m, now)
            > heartbeat_interval * 2 + (HEARTBEAT_TOLERANCE if m.has_acknowledged_term else LEADER_SEARCH_TOLERANCE)
        ]
        return overdue_machines if len(overdue_machines) * 2 > len(running_machines) else []

    def is_heartbeat_current(self, machine: Machine, now: datetime) -> bool:
        """Whether the machine's last heartbeat is recent enough to start tasks on it."""
        return machine.last_heartbeat_at >= now - self.max_heartbeat_age

    def time_since_heartbeat(self, machine: Machine, now: datetime) -> timedelta:
        """Return the time since the machine's last heartbeat, or since the term began if none has arrived."""
        return now - max(machine.last_heartbeat_at, self.term_started_at)


def stale_cancellation_window(settings: Settings) -> timedelta:
    """Return how long a leader that cannot read cancellations may go on answering heartbeats.

    Another leader may have accepted a cancellation right after our last read. A task that our answers keep alive ends
    with its lease, at most `lease_duration` after our last answer, and must be gone within `cancel_timeout` of the
    cancellation. Clock drift on both spans and two seconds for late timers and answers are subtracted.
    """
    workers = settings.params.workers
    return max(
        ZERO,
        (workers.cancel_timeout - workers.lease_duration * CLOCK_DRIFT_FACTOR) / CLOCK_DRIFT_FACTOR
        - timedelta(seconds=2),
    )
