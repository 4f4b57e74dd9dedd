"""Reconciliation of the machines that the cloud lists with those that the leader knows."""

import logging
from datetime import datetime

from roseweir.clock import NEVER, seconds
from roseweir.cloud.messages import BOOTING, FAILED, ListedMachine
from roseweir.cloud.offers import MachineOffer
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import Machine
from roseweir.submissions.jobs import MachineType

log = logging.getLogger(__name__)

# A machine that neither the list nor a heartbeat shows is forgotten after this many times the list's lag, and a lease.
UNLISTED_LAG_FACTOR = 4


class MachineInventory:
    """Adds machines to the cluster state when they are listed or rented, and drops those that are gone."""

    def __init__(self, cluster_state: ClusterState) -> None:
        self.cluster_state = cluster_state
        self._last_listed_at: dict[str, datetime] = {}

    def reconcile(self, listed: list[ListedMachine], now: datetime) -> None:
        """Adopt what the list shows and nobody knew; drop what has failed.

        The list lags, so what it does not show proves nothing for a while.
        """
        for entry in listed:
            if entry.name in self.cluster_state.released_machines:
                continue
            machine_type = self.cluster_state.catalog.get(entry.machine_type)
            if machine_type is None:
                continue
            self._last_listed_at[entry.name] = now
            self._reconcile_machine(entry, machine_type, now)
        self._forget_unseen(now)

    def add_rented(self, machine_name: str, offer: MachineOffer, rented_at: datetime, now: datetime) -> None:
        """Enter a machine that was just rented, unless its release was already answered."""
        cluster_state = self.cluster_state
        machine = cluster_state.machines.get(machine_name)
        if machine is None and machine_name not in cluster_state.released_machines:
            machine_type = cluster_state.catalog[offer.type_name]
            machine = self._add_booting(machine_name, machine_type, offer.zone, offer.is_spot, now)
        if machine is not None:
            machine.scaled_out_at = rented_at
            machine.is_autoscaled = True

    def _reconcile_machine(self, entry: ListedMachine, machine_type: MachineType, now: datetime) -> None:
        rented_at = now - seconds(entry.age_s)
        machine = self.cluster_state.machines.get(entry.name)
        if machine is None:
            machine = self._add_booting(entry.name, machine_type, entry.zone, entry.is_spot, now)
            machine.scaled_out_at = rented_at
            log.debug("machine found in the list: machine=%s state=%s", entry.name, entry.state)
        elif machine.scaled_out_at == NEVER:
            machine.scaled_out_at = rented_at
        if entry.state == FAILED:
            self.cluster_state.expire_machine(machine, now, "the cloud lists it as failed")
            machine.is_marked_for_release = True
        elif entry.state == BOOTING and machine.is_booting and not machine.address:
            machine.scaled_out_at = min(machine.scaled_out_at, rented_at)

    def _add_booting(
        self, machine_name: str, machine_type: MachineType, zone: str, is_spot: bool, now: datetime
    ) -> Machine:
        machine = Machine(machine_name, machine_type, zone, is_spot, known_since=now)
        machine.is_booting = True
        self.cluster_state.machines[machine_name] = machine
        return machine

    def _forget_unseen(self, now: datetime) -> None:
        """Forget machines without tasks that have been neither listed nor heard of for long."""
        cluster_state = self.cluster_state
        listing_lag = cluster_state.settings.params.cloud.listing_lag
        max_unseen = listing_lag * UNLISTED_LAG_FACTOR + cluster_state.max_lease_duration
        for machine in list(cluster_state.machines.values()):
            last_seen = max(
                self._last_listed_at.get(machine.name, machine.known_since),
                machine.last_heartbeat_at,
                cluster_state.term_started_at,
            )
            if now - last_seen > max_unseen and not machine.placements:
                cluster_state.forget_machine(machine.name, now, "neither listed nor heard of")
                self._last_listed_at.pop(machine.name, None)
