"""What to rent before it is asked for, and which idle machines to keep for it. Pure.

Reactive rental comes first and is not changed: what it has ordered counts here as if it stood. A need is
met by machines that are there, busy ones first, since whatever is offered counts them too; idle ones are then
kept, and what is still missing is rented, within the ceilings on machines and money.
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

# Boots and fetches of a type that have been seen are trusted by their late quantile, if there are so many; else the
# protocol's word is taken: most machines are up within 1.5 times the catalog's figure, and rates differ by a third.
LATE_QUANTILE, MIN_LATE_SAMPLES = 0.9, 5
DEFAULT_BOOT_FACTOR, DEFAULT_FETCH_FACTOR = 1.5, 4 / 3
# An order goes out with the next second's decisions.
DECISION_DELAY_S = 2.0


class CapacityHold(NamedTuple):
    """A need and how it is met: units, and numbers of machines."""

    need: CapacityNeed
    available_units: float  # units there or ordered for work that waits
    idle_machines: int  # machines kept though idle
    ordered_machines: int
    missing_units: float  # units that the ceilings or the cloud leave missing


@dataclass(slots=True)
class CapacityPlan:
    wants: list[MachineRequest] = field(default_factory=list)
    kept_machines: dict[str, str] = field(default_factory=dict)  # machine: why
    holds: list[CapacityHold] = field(default_factory=list)
    price_per_hour: float = 0.0  # an hour, of what is kept idle or being rented
    machine_count: int = 0  # kept idle or being rented


def representative_job(need: CapacityNeed) -> JobSpec:
    """A task of the pool's largest shape."""
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
    boots: Mapping[str, list[float]],
    fetches: Mapping[str, list[float]],
) -> float:
    """Seconds from an order until a machine is of use: a late boot, and a slow fetch, of the slowest type."""
    longest_s = 0.0
    for machine_type in catalog.values():
        if spec.fits_machine_type(machine_type):
            boot_s = machine_type.boot_s * late_factor(boots.get(machine_type.name, []), DEFAULT_BOOT_FACTOR)
            fetch_s = (
                image_gb
                / max(machine_type.fetch_gb_per_s, 0.01)
                * late_factor(fetches.get(machine_type.name, []), DEFAULT_FETCH_FACTOR)
            )
            longest_s = max(longest_s, boot_s + fetch_s)
    return longest_s + DECISION_DELAY_S


def late_factor(factors: list[float], default_factor: float) -> float:
    """A late quantile of times seen, as a multiple of the catalog's figure."""
    return (
        sorted(factors)[ceil(LATE_QUANTILE * len(factors)) - 1] if len(factors) >= MIN_LATE_SAMPLES else default_factor
    )


def plan_capacity(
    cluster_state: ClusterState,
    needs: list[CapacityNeed],
    wants: list[MachineRequest],
    refused: dict[MachineOffer, datetime],
    settings: PredictiveScalingSettings,
    now: datetime,
) -> CapacityPlan:
    """Orders to add to `wants`, and the machines that are not to go back as idle."""
    capacity_plan = CapacityPlan()
    if not needs:
        return capacity_plan
    usable_machines = sorted(available_machines(cluster_state, now), key=_keep_order)
    used_machines: dict[bool, set[str]] = {True: set(), False: set()}
    orders = list(wants)
    unclaimed_orders = {want: want.count for want in wants}
    # GPU machines are dearer and fewer, and what they have of CPUs is there for the rest.
    for need in sorted(needs, key=lambda n: (not n.pool.gpus, repr(n.pool))):
        job_spec = representative_job(need)
        missing_units = need.units
        idle_machines = 0
        # By type, and not for each of hundreds of machines.
        units_by_type = {
            kind.name: _units_per_machine(cluster_state, job_spec, kind)
            for kind in cluster_state.catalog.values()
            if job_spec.fits_machine_type(kind)
        }
        gpu_wasting_types = {
            name for name in units_by_type if _wastes_gpus(cluster_state, job_spec, cluster_state.catalog[name])
        }
        for machine in usable_machines:
            if missing_units <= 1e-6:
                break
            name = machine.machine_type.name
            if (
                machine.name in used_machines[need.pool.gpus]
                or units_by_type.get(name, 0.0) <= 0
                or not allows_machine(job_spec, machine)
            ):
                continue
            if name in gpu_wasting_types and machine.name not in used_machines[True]:
                continue
            if not _may_keep(machine, capacity_plan, settings):
                continue
            missing_units -= units_by_type[name]
            used_machines[need.pool.gpus].add(machine.name)
            if not machine.placements:
                idle_machines += 1
                if machine.name not in capacity_plan.kept_machines:
                    capacity_plan.kept_machines[machine.name] = f"{need.pool}: {need.reason}"
                    capacity_plan.price_per_hour += _price(machine.machine_type, machine.is_spot)
                    capacity_plan.machine_count += 1
        missing_units = _deduct_pending_orders(cluster_state, job_spec, missing_units, unclaimed_orders)
        available_units = need.units - max(0.0, missing_units)
        ordered_units, ordered_machines = 0.0, 0
        if missing_units > 1e-6:
            for want in _scale_out(
                cluster_state, job_spec, missing_units, refused, orders, capacity_plan, settings, now
            ):
                ordered_units += want.count * _units_per_machine(
                    cluster_state, job_spec, cluster_state.catalog[want.type_name]
                )
                ordered_machines += want.count
                capacity_plan.wants.append(want)
                orders.append(want)
        capacity_plan.holds.append(
            CapacityHold(
                need, available_units, idle_machines, ordered_machines, max(0.0, missing_units - ordered_units)
            )
        )
    return capacity_plan


def _keep_order(machine: Machine) -> tuple[bool, bool, float, datetime, str]:
    """Busy ones, then those that are up, the cheapest and the longest known: always the same ones are kept."""
    return (
        not machine.placements,
        machine.is_booting,
        _price(machine.machine_type, machine.is_spot),
        machine.known_since,
        machine.name,
    )


def _price(machine_type: MachineType, spot: bool) -> float:
    return machine_type.spot_price if spot else machine_type.price


def _units_per_machine(cluster_state: ClusterState, job_spec: JobSpec, machine_type: MachineType) -> float:
    """What a machine of this type holds of the pool's units."""
    return Machine("", machine_type, "", False).count_fitting_tasks(
        job_spec, cluster_state.max_cpus_per_gpu
    ) * units_per_task(job_spec)


def _wastes_gpus(cluster_state: ClusterState, job_spec: JobSpec, machine_type: MachineType) -> bool:
    """A GPU machine for work without GPUs, which other machines could take."""
    return job_spec.gpus <= 0 < machine_type.gpus and any(
        job_spec.fits_machine_type(k) for k in cluster_state.catalog.values() if k.gpus <= 0
    )


def _may_keep(machine: Machine, capacity_plan: CapacityPlan, settings: PredictiveScalingSettings) -> bool:
    if machine.placements or machine.name in capacity_plan.kept_machines:
        return True
    if capacity_plan.machine_count >= settings.machines_most:
        return False
    return capacity_plan.price_per_hour + _price(machine.machine_type, machine.is_spot) <= settings.money_most + 1e-9


def _deduct_pending_orders(
    cluster_state: ClusterState, job_spec: JobSpec, missing_units: float, unclaimed_orders: dict[MachineRequest, int]
) -> float:
    """Take what reactive rental orders in this very second off what is missing."""
    for want in unclaimed_orders:
        machine_type = cluster_state.catalog[want.type_name]
        if (
            (want.is_spot and not job_spec.allows_spot)
            or not job_spec.fits_machine_type(machine_type)
            or job_spec.zone not in (None, want.zone)
        ):
            continue
        units_per_machine = _units_per_machine(cluster_state, job_spec, machine_type)
        while missing_units > 1e-6 and unclaimed_orders[want] > 0 and units_per_machine > 0:
            unclaimed_orders[want] -= 1
            missing_units -= units_per_machine
    return missing_units


def _scale_out(
    cluster_state: ClusterState,
    job_spec: JobSpec,
    missing_units: float,
    refused: dict[MachineOffer, datetime],
    orders: list[MachineRequest],
    capacity_plan: CapacityPlan,
    settings: PredictiveScalingSettings,
    now: datetime,
) -> list[MachineRequest]:
    chosen = list(orders)
    choose_offers(cluster_state, job_spec, missing_units, refused, chosen, now)
    wants: list[MachineRequest] = []
    for want in chosen[len(orders) :]:
        price = _price(cluster_state.catalog[want.type_name], want.is_spot)
        count = min(want.count, int(settings.machines_most - capacity_plan.machine_count))
        if price > 0:
            count = min(count, int((settings.money_most - capacity_plan.price_per_hour) / price + 1e-9))
        if count <= 0:
            continue
        capacity_plan.machine_count += count
        capacity_plan.price_per_hour += price * count
        wants.append(MachineRequest(want.type_name, want.zone, want.is_spot, count, is_forecast=True))
    return wants
