"""Machine offers of the cloud, and the choice of the cheapest ones for a job. Pure: no I/O, and no clock."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from math import ceil
from typing import NamedTuple

from roseweir.clock import NEVER
from roseweir.cloud.capacity import tasks_per_machine, units_per_task
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.submissions.jobs import JobSpec, MachineType

# How long after a refusal the same type, zone and pricing may be requested again.
OFFER_RETRY_INTERVAL = timedelta(seconds=12)
MAX_MACHINES_PER_REQUEST = 10
# Differences between sums of units below this are rounding errors.
UNIT_TOLERANCE = 1e-6
# Units counted at least for each task that machines are rented for: tasks may need almost none, and fewer units in all
# than `UNIT_TOLERANCE` would rent nothing.
MIN_UNITS_PER_TASK = 1e-3


class MachineOffer(NamedTuple):
    """Machines of one type in one zone, as spot instances or at the regular price."""

    type_name: str
    zone: str
    is_spot: bool


@dataclass(slots=True, frozen=True)
class MachineRequest:
    """How many machines of one offer to rent, and for which purpose."""

    type_name: str
    zone: str
    is_spot: bool
    count: int
    is_forecast: bool = False  # for forecast demand
    is_surge: bool = False  # to replace a machine that is drained

    @property
    def offer(self) -> MachineOffer:
        """The offer from which the machines are requested."""
        return MachineOffer(self.type_name, self.zone, self.is_spot)


class _RankedOffer(NamedTuple):
    """An offer that a job may use. Sorted by the first three fields: price, machines in the zone, zone name."""

    price_per_task: float
    machine_count: int  # machines of the type that are already in the zone
    zone: str
    offer: MachineOffer
    tasks_per_machine: int


def rented_units_per_task(spec: JobSpec) -> float:
    """Return the units that a task counts as while machines are chosen for it; always above 0."""
    return max(units_per_task(spec), MIN_UNITS_PER_TASK)


def choose_offers(
    cluster_state: ClusterState,
    spec: JobSpec,
    requested_units: float,
    refused_until: dict[MachineOffer, datetime],
    machine_requests: list[MachineRequest],
    now: datetime,
) -> float:
    """Add requests for a job's missing units to `machine_requests`, lowest price per task first.

    Returns the units that the added requests provide: fewer than requested if the offers do not suffice.
    """
    requested_offers = {request.offer for request in machine_requests}
    offers: list[_RankedOffer] = []
    for machine_type in cluster_state.catalog.values():
        offers += _usable_offers(cluster_state, spec, machine_type, refused_until, requested_offers, now)
    offers.sort(key=lambda ranked: ranked[:3])
    obtained_units = 0.0
    for ranked in offers:
        if obtained_units >= requested_units - UNIT_TOLERANCE:
            break
        units_per_machine = rented_units_per_task(spec) * ranked.tasks_per_machine
        missing_machines = (requested_units - obtained_units) / units_per_machine
        count = min(MAX_MACHINES_PER_REQUEST, max(1, ceil(missing_machines - UNIT_TOLERANCE)))
        machine_requests.append(MachineRequest(*ranked.offer, count))
        obtained_units += count * units_per_machine
    return obtained_units


def _usable_offers(
    cluster_state: ClusterState,
    spec: JobSpec,
    machine_type: MachineType,
    refused_until: dict[MachineOffer, datetime],
    requested_offers: set[MachineOffer],
    now: datetime,
) -> Iterable[_RankedOffer]:
    """Yield the offers of a machine type that the job may use, and that are neither refused nor already requested."""
    if not spec.fits_machine_type(machine_type):
        return
    tasks_per_offered_machine = tasks_per_machine(cluster_state, spec, machine_type)
    if tasks_per_offered_machine <= 0:
        return
    for zone in machine_type.zones:
        if spec.zone is not None and zone != spec.zone:
            continue
        candidates = [
            MachineOffer(machine_type.name, zone, is_spot)
            for is_spot in ((True, False) if spec.allows_spot else (False,))
        ]
        offers = [
            offer for offer in candidates if refused_until.get(offer, NEVER) <= now and offer not in requested_offers
        ]
        if not offers:
            continue
        machine_count = sum(
            1 for m in cluster_state.machines.values() if m.zone == zone and m.machine_type is machine_type
        )
        for offer in offers:
            price = machine_type.spot_price if offer.is_spot else machine_type.price
            yield _RankedOffer(price / tasks_per_offered_machine, machine_count, zone, offer, tasks_per_offered_machine)
