"""Rents machines with idempotent requests, and records which offers were refused."""

import asyncio
import logging
from collections.abc import Callable
from datetime import datetime

from roseweir.clock import monotonic_now, seconds
from roseweir.cloud.client import CloudClient
from roseweir.cloud.errors import NoCapacity
from roseweir.cloud.machine_inventory import MachineInventory
from roseweir.cloud.offers import OFFER_RETRY_INTERVAL, MachineOffer, MachineRequest
from roseweir.http import Unreachable
from roseweir.kv_store import StoreError
from roseweir.scheduler.cluster_state import ClusterState

log = logging.getLogger(__name__)

MAX_RENTAL_ATTEMPTS = 4
MAX_CONCURRENT_RENTALS = 6
# How long after a call that failed for a reason other than capacity the same offer may be tried again.
FAILED_CALL_RETRY_INTERVAL = seconds(2)


class MachineRental:
    """Rents the requested machines, with one pending call per offer, and records which offers were refused."""

    def __init__(
        self,
        cloud_client: CloudClient,
        cluster_state: ClusterState,
        inventory: MachineInventory,
        is_lease_valid: Callable[[], bool],
    ) -> None:
        self.cloud_client = cloud_client
        self.cluster_state = cluster_state
        self.refused_until: dict[MachineOffer, datetime] = {}
        self._inventory = inventory
        self._is_lease_valid = is_lease_valid
        self._request_count = 0
        self._pending_offers: set[MachineOffer] = set()

    def refuse(self, offer: MachineOffer, until: datetime) -> None:
        """Count an offer as refused, so that others are tried first."""
        self.refused_until[offer] = until

    def allow(self, offer: MachineOffer) -> None:
        """Forget that an offer was refused."""
        self.refused_until.pop(offer, None)

    def start_rentals(self, machine_requests: list[MachineRequest], group: asyncio.TaskGroup) -> None:
        """Start rentals as tasks of the group, at most MAX_CONCURRENT_RENTALS and one per offer.

        Other requests are dropped: the next scaling decision repeats them.
        """
        for machine_request in machine_requests:
            offer = machine_request.offer
            if offer not in self._pending_offers and len(self._pending_offers) < MAX_CONCURRENT_RENTALS:
                self._pending_offers.add(offer)
                group.create_task(self._rent_pending_offer(machine_request, offer))

    async def _rent_pending_offer(self, machine_request: MachineRequest, offer: MachineOffer) -> None:
        try:
            await self._rent(machine_request, offer)
        finally:
            self._pending_offers.discard(offer)

    async def _rent(self, machine_request: MachineRequest, offer: MachineOffer) -> None:
        """Rent machines. A call with unknown outcome is retried with the same request id, so nothing is rented twice.

        The id contains the term and a counter, so that no other rental uses it.
        """
        self._request_count += 1
        request_id = f"r-{self.cluster_state.term}-{self._request_count}"
        for _ in range(MAX_RENTAL_ATTEMPTS):
            sent_at = monotonic_now()
            try:
                machine_names = await self.cloud_client.rent_machines(
                    request_id, offer, machine_request.count, self._is_lease_valid
                )
            except NoCapacity:
                self.refuse(offer, monotonic_now() + OFFER_RETRY_INTERVAL)
                return
            except Unreachable:
                continue
            except StoreError as e:
                log.info("machine rental failed: error=%s", e)
                self.refuse(offer, monotonic_now() + FAILED_CALL_RETRY_INTERVAL)
                return
            self._record_rented(machine_request, offer, machine_names, sent_at)
            return

    def _record_rented(
        self, machine_request: MachineRequest, offer: MachineOffer, machine_names: list[str], sent_at: datetime
    ) -> None:
        if len(machine_names) < machine_request.count:
            self.refuse(offer, monotonic_now() + OFFER_RETRY_INTERVAL)
        self.cluster_state.obtained_instance_pools.add(offer)
        log.info(
            "scaled out: rented=%d requested=%d type=%s zone=%s spot=%s forecast=%s surge=%s",
            len(machine_names),
            machine_request.count,
            offer.type_name,
            offer.zone,
            offer.is_spot,
            machine_request.is_forecast,
            machine_request.is_surge,
        )
        for name in machine_names:
            self._inventory.add_rented(name, offer, sent_at, monotonic_now())
            if machine_request.is_surge and name in self.cluster_state.machines:
                self.cluster_state.machines[name].is_surge = True
