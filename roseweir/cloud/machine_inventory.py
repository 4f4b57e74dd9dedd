"""Reconciles the cloud's list of rented machines with the machines in the leader's cluster state."""

import logging
from datetime import datetime

from roseweir.clock import NEVER, seconds
from roseweir.cloud.messages import BOOTING, FAILED, ListedMachine
from roseweir.cloud.offers import MachineOffer
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import Machine
from roseweir.submissions.jobs import MachineType

log = logging.getLogger(__name__)

# A machine that is not listed and sends no heartbeat is removed after this many listing lags, and one lease.
UNLISTED_LAG_FACTOR = 4


class MachineInventory:
    """Adds machines to the cluster state when they are listed or rented, and removes those that are gone."""

    def __init__(self, cluster_state: ClusterState) -> None:
        self.cluster_state = cluster_state
        self._last_listed_at: dict[str, datetime] = {}

    def reconcile(self, listed: list[ListedMachine], now: datetime) -> None:
        """Add listed machines that are missing from the cluster state, and mark failed ones for release.

        The list lags, so a machine that is not listed is removed only after a delay.
        """
        for entry in listed:
            if entry.name in self.cluster_state.released_machines:
                continue
            machine_type = self.cluster_state.catalog.get(entry.machine_type)
            if machine_type is None:
                continue
            self._last_listed_at[entry.name] = now
            self._reconcile_machine(entry, machine_type, now)
        self._remove_missing_machines(now)

    def add_rented(self, machine_name: str, offer: MachineOffer, rented_at: datetime, now: datetime) -> None:
        """Add a machine that was just rented, unless it has already been released."""
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
            log.debug("machine added from the list: machine=%s state=%s", entry.name, entry.state)
        elif machine.scaled_out_at == NEVER:
            machine.scaled_out_at = rented_at
        if entry.state == FAILED:
            self.cluster_state.expire_machine(machine, now, "listed as failed")
            machine.is_marked_for_release = True
        elif entry.state == BOOTING and machine.is_booting and not machine.address:
            machine.scaled_out_at = min(machine.scaled_out_at, rented_at)

    def _add_booting(
        self, machine_name: str, machine_type: MachineType, zone: str, is_spot: bool, now: datetime
    ) -> Machine:
        machine = Machine(machine_name, machine_type, zone, is_spot, added_at=now)
        machine.is_booting = True
        self.cluster_state.machines[machine_name] = machine
        return machine

    def _remove_missing_machines(self, now: datetime) -> None:
        """Remove machines without tasks that have neither been listed nor sent a heartbeat for a long time."""
        cluster_state = self.cluster_state
        listing_lag = cluster_state.settings.params.cloud.listing_lag
        missing_timeout = listing_lag * UNLISTED_LAG_FACTOR + cluster_state.max_lease_duration
        for machine in list(cluster_state.machines.values()):
            last_seen_at = max(
                self._last_listed_at.get(machine.name, machine.added_at),
                machine.last_heartbeat_at,
                cluster_state.term_started_at,
            )
            if now - last_seen_at > missing_timeout and not machine.placements:
                cluster_state.remove_machine(machine.name, now, "not listed, no heartbeat")
                self._last_listed_at.pop(machine.name, None)
