"""The leader's control loops for cloud machines: catalog, machine list, scale-out, scale-in, and probes."""

import asyncio
import logging
from collections.abc import Callable, Container, Iterable
from datetime import datetime, timedelta

from roseweir.clock import NEVER, monotonic_now, seconds, sleep, utc_now_ms
from roseweir.cloud.client import MAX_MACHINES_PER_RELEASE, CloudClient
from roseweir.cloud.errors import NoCapacity
from roseweir.cloud.machine_inventory import MachineInventory
from roseweir.cloud.offers import MachineOffer, MachineRequest
from roseweir.cloud.probing import MachineProber
from roseweir.cloud.rental import MachineRental
from roseweir.cloud.scale_in import MachineRelease, ReleaseReason, plan_scale_in
from roseweir.cloud.scale_out import plan_scale_out
from roseweir.http import Connect, Unreachable
from roseweir.kv_store import StoreError
from roseweir.scheduler.cluster_state import LEADER_SEARCH_TOLERANCE, ClusterState
from roseweir.scheduler.scheduling_pass import SchedulingPassResult

log = logging.getLogger(__name__)

DECISION_INTERVAL = timedelta(seconds=1)
PROBE_CHECK_INTERVAL = DECISION_INTERVAL / 2
CATALOG_REFRESH_INTERVAL = timedelta(seconds=60)
# The machine list is read twice per listing lag, but no more often than this.
MIN_LIST_INTERVAL = seconds(2)
# A new leader makes its first scaling decision after a heartbeat interval, but no sooner than this.
MIN_FIRST_DECISION_DELAY = seconds(3)
# How long CPU-only work may use the CPUs of idle GPU machines after the offers for it were exhausted.
OVERFLOW_DURATION = timedelta(seconds=30)
# Only lost machines are released while tasks are placed on them: the release proves that the tasks are gone.
LOSS_REASONS = (ReleaseReason.SILENT, ReleaseReason.UNREACHABLE)


# Arguments: the requests so far, until when each offer counts as refused, and the current instant. Returns additional
# requests, and the names of idle machines to keep, with reasons.
CapacityPlanner = Callable[
    [list[MachineRequest], dict[MachineOffer, datetime], datetime], tuple[list[MachineRequest], dict[str, str]]
]


class CloudController:
    """Scales the fleet to what the jobs need; rents and releases only while this node's leader lease is valid."""

    def __init__(
        self,
        cloud_client: CloudClient,
        cluster_state: ClusterState,
        is_lease_valid: Callable[[], bool],
        connect: Connect,
        capacity_planners: Iterable[CapacityPlanner] = (),
    ) -> None:
        self.cloud_client = cloud_client
        self.cluster_state = cluster_state
        self.inventory = MachineInventory(cluster_state)
        self.list_read_at = NEVER  # when the newest machine list that was received had been requested
        self.last_scheduling_pass = SchedulingPassResult()
        # Without a valid lease, silent machines may send heartbeats to another leader.
        self._is_lease_valid = is_lease_valid
        self._capacity_planners = list(capacity_planners)
        self._rental = MachineRental(cloud_client, cluster_state, self.inventory, is_lease_valid)
        self._prober = MachineProber(cluster_state, connect)
        self._paused_until = NEVER

    @property
    def refused_until(self) -> dict[MachineOffer, datetime]:
        """Until when each offer counts as refused; for reading only, see `allow_offer`."""
        return self._rental.refused_until

    def allow_offer(self, offer: MachineOffer) -> None:
        """Discard the refusal of an offer, since a machine of that offer has just been released."""
        self._rental.allow(offer)

    def record_scheduling_pass(self, result: SchedulingPassResult) -> None:
        """Record the result of the last scheduling pass: scaling decisions start from what it could not place."""
        self.last_scheduling_pass = result

    def pause_for_heartbeats(self) -> None:
        """Suspend scaling and probes after a pause of this process.

        Heartbeats were not received during the pause, so their absence does not show that machines are silent.
        """
        self._paused_until = (
            monotonic_now()
            + self.cluster_state.settings.params.workers.heartbeat_interval * 2
            + LEADER_SEARCH_TOLERANCE
        )
        self.cluster_state.zone_responsive_since.clear()

    async def run(self) -> None:
        """Run all loops until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_machine_list())
            group.create_task(self._refresh_catalog())
            group.create_task(self._run_scaling(group))
            group.create_task(self._probe_silent_machines(group))

    async def _refresh_catalog(self) -> None:
        while True:
            await sleep(CATALOG_REFRESH_INTERVAL)
            try:
                for machine_type in await self.cloud_client.read_catalog():
                    self.cluster_state.catalog[machine_type.name] = machine_type
            except (StoreError, Unreachable) as e:
                log.info("catalog request failed: error=%s", e)

    async def _poll_machine_list(self) -> None:
        list_lag = self.cluster_state.settings.params.cloud.listing_lag
        while True:
            try:
                sent_at = monotonic_now()
                self.inventory.reconcile(await self.cloud_client.list_machines(), monotonic_now())
                self.list_read_at = sent_at
            except (StoreError, Unreachable, NoCapacity) as e:
                log.info("machine list request failed: error=%s", e)
            await sleep(max(MIN_LIST_INTERVAL, list_lag / 2))

    async def _run_scaling(self, group: asyncio.TaskGroup) -> None:
        # A new leader learns from the first heartbeats which machines are running.
        await sleep(max(MIN_FIRST_DECISION_DELAY, self.cluster_state.settings.params.workers.heartbeat_interval))
        while True:
            now = monotonic_now()
            if self._is_lease_valid() and now >= self._paused_until:
                kept_machines = self._scale_out(group, now)
                await self._scale_in(now, kept_machines)
            await sleep(DECISION_INTERVAL)

    async def _probe_silent_machines(self, group: asyncio.TaskGroup) -> None:
        while True:
            await sleep(PROBE_CHECK_INTERVAL)
            if self._is_lease_valid() and monotonic_now() >= self._paused_until:
                self._prober.start_probes(group)

    def _scale_out(self, group: asyncio.TaskGroup, now: datetime) -> dict[str, str]:
        """Start the rentals that are needed now; return the names of idle machines to keep, with reasons."""
        machine_requests, are_cpu_offers_exhausted = plan_scale_out(
            self.cluster_state, self.last_scheduling_pass, self.refused_until, utc_now_ms(), now
        )
        if are_cpu_offers_exhausted:
            self.cluster_state.overflow_until = now + OVERFLOW_DURATION
        kept_machines: dict[str, str] = {}
        for plan_capacity in self._capacity_planners:
            additional_requests, additional_kept_machines = plan_capacity(machine_requests, self.refused_until, now)
            machine_requests += additional_requests
            kept_machines |= additional_kept_machines
        self._rental.start_rentals(machine_requests, group)
        return kept_machines

    async def _scale_in(self, now: datetime, kept_machines: Container[str]) -> None:
        """Mark machines for release, and release those that run nothing or are lost."""
        planned = plan_scale_in(self.cluster_state, self.last_scheduling_pass, now, kept_machines)
        releases = planned[:MAX_MACHINES_PER_RELEASE]
        for release in releases:
            self._mark_for_release(release, now)
        machine_names = [
            machine.name for machine, reason in releases if not machine.placements or reason in LOSS_REASONS
        ]
        if not machine_names:
            return
        try:
            await self.cloud_client.release_machines(machine_names, self._is_lease_valid)
        except (StoreError, Unreachable, NoCapacity) as e:
            log.info("machine release failed: error=%s", e)
            return
        for name in machine_names:
            self.cluster_state.remove_machine(name, monotonic_now(), "released")

    def _mark_for_release(self, release: MachineRelease, now: datetime) -> None:
        machine, reason = release
        if not machine.is_marked_for_release:
            machine_type = machine.machine_type
            log.info(
                "scaling in: machine=%s type=%s zone=%s reason=%s",
                machine.name,
                machine_type.name,
                machine.zone,
                reason,
            )
            if reason is ReleaseReason.BOOT_FAILED:
                # Other machines of this offer may fail to boot too, so other offers are preferred for a while.
                offer = MachineOffer(machine_type.name, machine.zone, machine.is_spot)
                self._rental.refuse(offer, now + machine_type.boot_duration)
        machine.is_marked_for_release = True
