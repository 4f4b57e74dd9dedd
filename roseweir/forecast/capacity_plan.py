"""Which machines to rent, and which idle machines to keep, for demand that is expected. No I/O.

Reactive scale-out comes first and is not changed: the machines that it requests count here as available. A need
is met by existing machines, busy ones first, because the expected demand includes the work that they run; then idle
machines are kept for it, and what is still missing is rented, within the limits on machines and price.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import datetime
from math import ceil
from typing import NamedTuple

from roseweir.cloud.capacity import available_machines, units_per_task
from roseweir.cloud.offers import MachineOffer, MachineRequest, choose_offers
from roseweir.forecast.forecaster import CapacityNeed
from roseweir.forecast.settings import PredictiveScalingSettings
from roseweir.scheduler.capacity_snapshot import allows_machine
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import Machine
from roseweir.submissions.jobs import ARRAY, JobSpec, MachineType

# Boot and image fetch times are estimated by this quantile of the type's recorded ratios to the catalog's figures, if
# there are this many. Otherwise the cloud protocol's statement is used: most machines are up within 1.5 times the
# catalog's figure, and fetch rates differ from it by a third.
LATE_QUANTILE, MIN_RATIO_SAMPLES = 0.9, 5
DEFAULT_BOOT_RATIO, DEFAULT_FETCH_RATIO = 1.5, 4 / 3
# Requests are sent with the next scale-out decision, and these are made every second.
DECISION_DELAY_S = 2.0


class CapacityHold(NamedTuple):
    """A need and how it is met, in units and in machines."""

    need: CapacityNeed
    available_units: float  # units of existing machines, and of reactive requests
    idle_machines: int  # machines kept while idle
    ordered_machines: int
    missing_units: float  # units that the limits or the refusals of the cloud leave unmet


@dataclass(slots=True)
class CapacityPlan:
    machine_requests: list[MachineRequest] = field(default_factory=list)
    kept_machines: dict[str, str] = field(default_factory=dict)  # machine name to reason
    holds: list[CapacityHold] = field(default_factory=list)
    price_per_hour: float = 0.0  # of machines kept idle or requested
    machine_count: int = 0  # machines kept idle or requested


def representative_job(need: CapacityNeed) -> JobSpec:
    """A job specification whose tasks have the need's shape and fit the need's pool."""
    pool, shape = need.pool, need.shape
    return JobSpec(
        id="",
        job_class="",
        team="",
        job_type=ARRAY,
        priority=3,
        task_count=1,
        cpus=shape.cpus,
        gpus=shape.gpus,
        memory_gb=shape.memory_gb,
        machine_types=None if pool.types is None else list(pool.types),
        zone=pool.zone,
        allows_spot=pool.spot,
    )


def lead_time_s(
    spec: JobSpec,
    image_gb: float,
    catalog: Mapping[str, MachineType],
    boot_ratios: Mapping[str, list[float]],
    fetch_ratios: Mapping[str, list[float]],
) -> float:
    """Seconds from a request until a machine can run tasks: a late boot and a slow image fetch on the slowest type."""
    longest_s = 0.0
    for machine_type in catalog.values():
        if spec.fits_machine_type(machine_type):
            boot_s = machine_type.boot_s * late_ratio(boot_ratios.get(machine_type.name, []), DEFAULT_BOOT_RATIO)
            fetch_s = (
                image_gb
                / machine_type.fetch_gb_per_s
                * late_ratio(fetch_ratios.get(machine_type.name, []), DEFAULT_FETCH_RATIO)
            )
            longest_s = max(longest_s, boot_s + fetch_s)
    return longest_s + DECISION_DELAY_S


def late_ratio(ratios: list[float], default_ratio: float) -> float:
    """The late quantile of the recorded ratios to the catalog's figure."""
    return sorted(ratios)[ceil(LATE_QUANTILE * len(ratios)) - 1] if len(ratios) >= MIN_RATIO_SAMPLES else default_ratio


def plan_capacity(
    cluster_state: ClusterState,
    needs: list[CapacityNeed],
    machine_requests: list[MachineRequest],
    refused_until: dict[MachineOffer, datetime],
    settings: PredictiveScalingSettings,
    now: datetime,
) -> CapacityPlan:
    """Requests to add to `machine_requests`, and the idle machines that must not be released."""
    capacity_plan = CapacityPlan()
    if not needs:
        return capacity_plan
    usable_machines = sorted(available_machines(cluster_state, now), key=_keep_priority)
    claimed_machines: dict[bool, set[str]] = {True: set(), False: set()}
    all_requests = list(machine_requests)
    unclaimed_counts = {machine_request: machine_request.count for machine_request in machine_requests}
    # GPU pools first: GPU machines cost more and are fewer, and their spare CPUs can serve the CPU pools.
    for need in sorted(needs, key=lambda n: (not n.pool.gpus, repr(n.pool))):
        spec = representative_job(need)
        missing_units = need.units
        idle_machines = 0
        # Computed once for each type, since there are hundreds of machines.
        units_by_type = {
            machine_type.name: _units_per_machine(cluster_state, spec, machine_type)
            for machine_type in cluster_state.catalog.values()
            if spec.fits_machine_type(machine_type)
        }
        gpu_wasting_types = {
            type_name
            for type_name in units_by_type
            if _wastes_gpus(cluster_state, spec, cluster_state.catalog[type_name])
        }
        for machine in usable_machines:
            if missing_units <= 1e-6:
                break
            type_name = machine.machine_type.name
            if (
                machine.name in claimed_machines[need.pool.gpus]
                or units_by_type.get(type_name, 0.0) <= 0
                or not allows_machine(spec, machine)
            ):
                continue
            if type_name in gpu_wasting_types and machine.name not in claimed_machines[True]:
                continue
            if not _may_keep(machine, capacity_plan, settings):
                continue
            missing_units -= units_by_type[type_name]
            claimed_machines[need.pool.gpus].add(machine.name)
            if not machine.placements:
                idle_machines += 1
                if machine.name not in capacity_plan.kept_machines:
                    capacity_plan.kept_machines[machine.name] = f"{need.pool}: {need.reason}"
                    capacity_plan.price_per_hour += _price(machine.machine_type, machine.is_spot)
                    capacity_plan.machine_count += 1
        missing_units = _deduct_reactive_requests(cluster_state, spec, missing_units, unclaimed_counts)
        available_units = need.units - max(0.0, missing_units)
        ordered_units, ordered_machines = 0.0, 0
        if missing_units > 1e-6:
            for machine_request in _scale_out(
                cluster_state, spec, missing_units, refused_until, all_requests, capacity_plan, settings, now
            ):
                ordered_units += machine_request.count * _units_per_machine(
                    cluster_state, spec, cluster_state.catalog[machine_request.type_name]
                )
                ordered_machines += machine_request.count
                capacity_plan.machine_requests.append(machine_request)
                all_requests.append(machine_request)
        capacity_plan.holds.append(
            CapacityHold(
                need, available_units, idle_machines, ordered_machines, max(0.0, missing_units - ordered_units)
            )
        )
    return capacity_plan


def _keep_priority(machine: Machine) -> tuple[bool, bool, float, datetime, str]:
    """Sort key: busy, then booted, cheapest and oldest machines, so that the same ones are kept each time."""
    return (
        not machine.placements,
        machine.is_booting,
        _price(machine.machine_type, machine.is_spot),
        machine.added_at,
        machine.name,
    )


def _price(machine_type: MachineType, is_spot: bool) -> float:
    return machine_type.spot_price if is_spot else machine_type.price


def _units_per_machine(cluster_state: ClusterState, spec: JobSpec, machine_type: MachineType) -> float:
    """Units that the tasks fitting on an empty machine of this type use."""
    return Machine("", machine_type, "", False).count_fitting_tasks(
        spec, cluster_state.cpus_reserved_per_gpu(spec)
    ) * units_per_task(spec)


def _wastes_gpus(cluster_state: ClusterState, spec: JobSpec, machine_type: MachineType) -> bool:
    """Whether the type has GPUs that the job does not need, although the job fits a type without GPUs."""
    return spec.gpus <= 0 < machine_type.gpus and not cluster_state.requires_gpu_machine(spec)


def _may_keep(machine: Machine, capacity_plan: CapacityPlan, settings: PredictiveScalingSettings) -> bool:
    if machine.placements or machine.name in capacity_plan.kept_machines:
        return True
    if capacity_plan.machine_count >= settings.machines_most:
        return False
    return capacity_plan.price_per_hour + _price(machine.machine_type, machine.is_spot) <= settings.money_most + 1e-9


def _deduct_reactive_requests(
    cluster_state: ClusterState, spec: JobSpec, missing_units: float, unclaimed_counts: dict[MachineRequest, int]
) -> float:
    """The missing units, less those of the reactive requests made in the same decision."""
    for machine_request in unclaimed_counts:
        machine_type = cluster_state.catalog[machine_request.type_name]
        if (
            (machine_request.is_spot and not spec.allows_spot)
            or not spec.fits_machine_type(machine_type)
            or spec.zone not in (None, machine_request.zone)
        ):
            continue
        units_per_machine = _units_per_machine(cluster_state, spec, machine_type)
        while missing_units > 1e-6 and unclaimed_counts[machine_request] > 0 and units_per_machine > 0:
            unclaimed_counts[machine_request] -= 1
            missing_units -= units_per_machine
    return missing_units


def _scale_out(
    cluster_state: ClusterState,
    spec: JobSpec,
    missing_units: float,
    refused_until: dict[MachineOffer, datetime],
    all_requests: list[MachineRequest],
    capacity_plan: CapacityPlan,
    settings: PredictiveScalingSettings,
    now: datetime,
) -> list[MachineRequest]:
    requests_with_new = list(all_requests)
    choose_offers(cluster_state, spec, missing_units, refused_until, requests_with_new, now)
    machine_requests: list[MachineRequest] = []
    for machine_request in requests_with_new[len(all_requests) :]:
        price = _price(cluster_state.catalog[machine_request.type_name], machine_request.is_spot)
        count = min(machine_request.count, int(settings.machines_most - capacity_plan.machine_count))
        if price > 0:
            count = min(count, int((settings.money_most - capacity_plan.price_per_hour) / price + 1e-9))
        if count <= 0:
            continue
        capacity_plan.machine_count += count
        capacity_plan.price_per_hour += price * count
        machine_requests.append(
            MachineRequest(
                machine_request.type_name, machine_request.zone, machine_request.is_spot, count, is_forecast=True
            )
        )
    return machine_requests
