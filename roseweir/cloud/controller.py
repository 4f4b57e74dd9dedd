"""The leader's dealings with the cloud: list, rent, adopt, give back."""

import asyncio
import logging
from collections.abc import Callable, Container, Iterable
from datetime import datetime, timedelta

import msgspec

from roseweir.clock import NEVER, monotonic_now, seconds, sleep, utc_now_ms
from roseweir.cloud.client import MAX_MACHINES_PER_RELEASE, CloudClient, NoCapacity
from roseweir.cloud.liveness import PROBE_TIMEOUT, machines_to_probe, record_probe_result
from roseweir.cloud.messages import BOOTING, FAILED, ListedMachine
from roseweir.cloud.scale_out import OFFER_RETRY_INTERVAL, MachineOffer, MachineRequest, plan_scale_in, plan_scale_out
from roseweir.http import Connect, Unreachable
from roseweir.kv_store import StoreError
from roseweir.scheduler.cluster_state import LEADER_SEARCH_TOLERANCE, ClusterState
from roseweir.scheduler.heartbeat_reconciliation import HeartbeatReconciler
from roseweir.scheduler.model import Machine
from roseweir.scheduler.scheduling_pass import SchedulingPassResult
from roseweir.workers import messages as wire

log = logging.getLogger(__name__)

DECISION_INTERVAL = timedelta(seconds=1)
CATALOG_REFRESH_INTERVAL = timedelta(seconds=60)
MAX_RENTAL_ATTEMPTS = 4
# Silent machines asked at once: one in so many of this node's sockets, and so many at least.
SOCKETS_PER_PROBE, MIN_CONCURRENT_PROBES = 25, 8
# How long CPU-only work may use idle GPUs' CPUs after no machines could be had for it.
OVERFLOW_DURATION = timedelta(seconds=30)


# What else to rent beside these wants, and which machines to keep ready: names and why.
CapacityPlanner = Callable[
    [list[MachineRequest], dict[MachineOffer, datetime], datetime], tuple[list[MachineRequest], dict[str, str]]
]


class CloudController:
    def __init__(
        self,
        cloud_client: CloudClient,
        cluster_state: ClusterState,
        may_act: Callable[[], bool],
        connect: Connect,
        capacity_planners: Iterable[CapacityPlanner] = (),
    ) -> None:
        self._connect = connect
        self.cloud_client = cloud_client
        self.cluster_state = cluster_state
        self._heartbeat_reconciler = HeartbeatReconciler(cluster_state)
        self._may_act = may_act  # another may lead otherwise, and machines that left us report to it
        self._capacity_planners = list(capacity_planners)
        self.list_read_at = NEVER  # when it was last read
        self.last_scheduling_pass = SchedulingPassResult()
        self.refused_until: dict[MachineOffer, datetime] = {}
        self._request_count = 0
        self._pending_offers: set[MachineOffer] = set()
        self._last_listed_at: dict[str, datetime] = {}
        self._paused_until = NEVER

    def pause_for_heartbeats(self) -> None:
        """This node stood still: whom it has not heard meanwhile need not be silent."""
        self._paused_until = (
            monotonic_now()
            + self.cluster_state.settings.params.workers.heartbeat_interval * 2
            + LEADER_SEARCH_TOLERANCE
        )
        self.cluster_state.zone_responsive_since.clear()

    async def run(self) -> None:
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
                log.info("catalog not read: %s", e)

    async def _poll_machine_list(self) -> None:
        list_lag = self.cluster_state.settings.params.cloud.listing_lag
        while True:
            try:
                sent_at = monotonic_now()
                self._reconcile_machine_list(await self.cloud_client.list_machines(), monotonic_now())
                self.list_read_at = sent_at
            except (StoreError, Unreachable, NoCapacity) as e:
                log.info("machine list not read: %s", e)
            await sleep(max(seconds(2), list_lag / 2))

    def _reconcile_machine_list(self, listed: list[ListedMachine], now: datetime) -> None:
        """Adopt what the list shows and nobody knew; drop what has failed.

        The list lags, so what it does not show proves nothing for a while.
        """
        cluster_state = self.cluster_state
        for entry in listed:
            if entry.name in cluster_state.released_machines:
                continue
            machine_type = cluster_state.catalog.get(entry.machine_type)
            if machine_type is None:
                continue
            self._last_listed_at[entry.name] = now
            machine = cluster_state.machines.get(entry.name)
            if machine is None:
                machine = Machine(entry.name, machine_type, entry.zone, entry.is_spot, known_since=now)
                machine.is_booting = True
                machine.scaled_out_at = now - seconds(entry.age_s)
                cluster_state.machines[entry.name] = machine
                log.debug("machine %s found in the list: %s", entry.name, entry.state)
            elif machine.scaled_out_at == NEVER:
                machine.scaled_out_at = now - seconds(entry.age_s)
            if entry.state == FAILED:
                cluster_state.expire_machine(machine, now, "the cloud lists it as failed")
                machine.is_marked_for_release = True
            elif entry.state == BOOTING and machine.is_booting and not machine.address:
                machine.scaled_out_at = min(machine.scaled_out_at, now - seconds(entry.age_s))
        max_unseen = cluster_state.settings.params.cloud.listing_lag * 4 + cluster_state.max_lease_duration
        for machine in list(cluster_state.machines.values()):
            last_seen = max(
                self._last_listed_at.get(machine.name, machine.known_since),
                machine.last_heartbeat_at,
                cluster_state.term_started_at,
            )
            if now - last_seen > max_unseen and not machine.placements:
                cluster_state.forget_machine(machine.name, now, "neither listed nor heard of")
                self._last_listed_at.pop(machine.name, None)

    async def _run_scaling(self, group: asyncio.TaskGroup) -> None:
        # A new leader first hears what is there.
        await sleep(max(seconds(3), self.cluster_state.settings.params.workers.heartbeat_interval))
        while True:
            now = monotonic_now()
            if not self._may_act() or now < self._paused_until:
                await sleep(DECISION_INTERVAL)
                continue
            machine_requests, is_cpu_exhausted = plan_scale_out(
                self.cluster_state, self.last_scheduling_pass, self.refused_until, utc_now_ms(), now
            )
            if is_cpu_exhausted:
                self.cluster_state.overflow_until = now + OVERFLOW_DURATION
            retained: dict[str, str] = {}
            for plan_capacity in self._capacity_planners:
                more_requests, more_retained = plan_capacity(machine_requests, self.refused_until, now)
                machine_requests += more_requests
                retained |= more_retained
            for machine_request in machine_requests:
                offer = (machine_request.type_name, machine_request.zone, machine_request.is_spot)
                if offer not in self._pending_offers and len(self._pending_offers) < 6:
                    self._pending_offers.add(offer)
                    group.create_task(self._scale_out(machine_request, offer))
            await self._scale_in(now, retained)
            await sleep(DECISION_INTERVAL)

    async def _probe_silent_machines(self, group: asyncio.TaskGroup) -> None:
        max_probes = max(
            MIN_CONCURRENT_PROBES, self.cluster_state.settings.params.process_limits.max_sockets // SOCKETS_PER_PROBE
        )
        asking = 0

        async def probe(machine: Machine) -> None:
            nonlocal asking
            probed_at = machine.last_probe_at = monotonic_now()
            known_heartbeat = (machine.incarnation, machine.sequence)
            asking += 1
            is_connected = True
            try:
                reply = await self._connect(machine.address, 0)("GET", "/status", timeout=PROBE_TIMEOUT)
                self._heartbeat_reconciler.apply_probe_response(
                    msgspec.convert(reply.json(), wire.Heartbeat), known_heartbeat, monotonic_now()
                )
            except Unreachable as e:
                is_connected = e.connected
            except msgspec.ValidationError as e:
                log.debug("what %s answered is no report: %s", machine.name, e)
            finally:
                asking -= 1
            record_probe_result(self.cluster_state, machine, probed_at, is_connected, monotonic_now())

        while True:
            await sleep(DECISION_INTERVAL / 2)
            if self._may_act() and monotonic_now() >= self._paused_until:
                for machine in machines_to_probe(self.cluster_state, monotonic_now())[: max_probes - asking]:
                    group.create_task(probe(machine))

    async def _scale_out(self, machine_request: MachineRequest, offer: MachineOffer) -> None:
        """One requisition, never used again by anybody; repeating it unanswered rents nothing twice."""
        self._request_count += 1
        request_id = f"r-{self.cluster_state.term}-{self._request_count}"
        try:
            for _ in range(MAX_RENTAL_ATTEMPTS):
                sent_at = monotonic_now()
                try:
                    machine_names = await self.cloud_client.rent_machines(
                        request_id, *offer, machine_request.count, self._may_act
                    )
                except NoCapacity:
                    self.refused_until[offer] = monotonic_now() + OFFER_RETRY_INTERVAL
                    return
                except Unreachable:
                    continue
                except StoreError as e:
                    log.info("rental failed: %s", e)
                    self.refused_until[offer] = monotonic_now() + seconds(2)
                    return
                if len(machine_names) < machine_request.count:
                    self.refused_until[offer] = monotonic_now() + OFFER_RETRY_INTERVAL
                self.cluster_state.obtained_instance_pools.add(offer)
                description = (
                    " (spot)" * offer[2]
                    + " ahead of demand" * machine_request.is_forecast
                    + " for one that is drained" * machine_request.is_surge
                )
                log.info(
                    "rented %d of %d %s in %s%s", len(machine_names), machine_request.count, *offer[:2], description
                )
                for name in machine_names:
                    self._add_rented_machine(name, offer, sent_at)
                    if machine_request.is_surge and name in self.cluster_state.machines:
                        self.cluster_state.machines[name].is_surge = True
                return
        finally:
            self._pending_offers.discard(offer)

    def _add_rented_machine(self, machine_name: str, offer: MachineOffer, rented_at: datetime) -> None:
        cluster_state = self.cluster_state
        machine = cluster_state.machines.get(machine_name)
        if machine is None and machine_name not in cluster_state.released_machines:
            machine = Machine(
                machine_name, cluster_state.catalog[offer[0]], offer[1], offer[2], known_since=monotonic_now()
            )
            machine.is_booting = True
            cluster_state.machines[machine_name] = machine
        if machine is not None:
            machine.scaled_out_at = rented_at
            machine.is_autoscaled = True

    async def _scale_in(self, now: datetime, retained: Container[str]) -> None:
        releases = plan_scale_in(self.cluster_state, self.last_scheduling_pass, now, retained)[
            :MAX_MACHINES_PER_RELEASE
        ]
        if not releases:
            return
        for machine, reason in releases:
            if not machine.is_marked_for_release:
                log.info("giving back %s (%s in %s): %s", machine.name, machine.machine_type.name, machine.zone, reason)
                if reason == "never came up":
                    # Another of the kind may not come up either: for a while others go first.
                    self.refused_until[machine.machine_type.name, machine.zone, machine.is_spot] = (
                        now + machine.machine_type.boot_duration
                    )
            machine.is_marked_for_release = True
        machine_names = [
            machine.name for machine, reason in releases if not machine.placements or reason in ("silent", "deaf")
        ]
        if not machine_names:
            return
        try:
            await self.cloud_client.release_machines(machine_names, self._may_act)
        except (StoreError, Unreachable, NoCapacity) as e:
            log.info("release failed: %s", e)
            return
        for name in machine_names:
            self.cluster_state.forget_machine(name, monotonic_now(), "released")
