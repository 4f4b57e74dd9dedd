"""Bounds how many machines of each type may be missing while some are replaced, and plans replacement rentals.

Performs no I/O. The machines *missing* of a type (`hole` in the settings) are those cordoned without a replacement,
and those that left without one: each of the latter is a *gap*. While the type is available and work waits for it,
replacements come first (*surge*): a machine is cordoned once its replacement is in place, so no more are missing.
While the type is sold out, machines leave first, and the number missing is at most a configured share of the type,
but at least one machine. The same holds while no work waits for machines of the type's pool (with GPUs, or without),
because the capacity is not needed then. A gap closes when any machine of the type that was rented in this leader's
term is in place, or when no work has waited for the pool's machines for `DEMAND_TIMEOUT`.

A machine is in place when its worker has sent a heartbeat and it either holds an image or has been idle, with nothing
to fetch, for `MIN_IDLE_IN_PLACE`.

After a failover the gaps of the last leader are restored. Machines that it rented close none of them, even if they
are not up yet: one machine too many may then be rented, which is released as idle.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

from roseweir.cloud.boot_times import LATE_BOOT_FACTOR
from roseweir.cloud.offers import MAX_MACHINES_PER_REQUEST, MachineOffer, MachineRequest
from roseweir.limits.rules import fetch_tag
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import Machine

# An offer counts as sold out until this long after its last refusal has expired.
SOLD_OUT_DURATION = timedelta(seconds=60)
# A machine that has been idle this long has no image to fetch.
MIN_IDLE_IN_PLACE = timedelta(seconds=5)
# If no work has waited for machines of a pool for this long, its missing machines are not needed.
DEMAND_TIMEOUT = timedelta(seconds=30)
# Share of the key-value store's write rate and of this process's sockets that drains may use; others need them too.
MAX_WRITE_RATE_SHARE, MAX_SOCKET_SHARE = 0.1, 0.1


@dataclass(slots=True)
class Cordon:
    """A machine that is being drained."""

    owner: str  # drain name or automatic replacement reason
    machine_type: str
    offer: MachineOffer
    cordoned_at_ms: int  # wall clock
    needs_replacement: bool
    has_replacement: bool = False  # one was in place when the machine was cordoned


class SurgePool:
    def __init__(
        self,
        cluster_state: ClusterState,
        max_missing_share: float,
        started_at: datetime,
        max_missing_gpu_share: float | None = None,
    ) -> None:
        self.cluster_state = cluster_state
        self.max_missing_share = max_missing_share
        self.max_missing_gpu_share = max_missing_share if max_missing_gpu_share is None else max_missing_gpu_share
        self.started_at = started_at
        self.gaps: dict[str, deque[datetime]] = {}
        self.ready_replacements: dict[str, set[str]] = {}  # by type: in place, not reserved for a cordon
        self.sold_out_until: dict[MachineOffer, datetime] = {}
        self.provisioning_times: dict[str, timedelta] = {}  # last measured, from rental to in place
        self._counted_machines: set[str] = set()
        self._last_waiting: dict[bool, datetime] = {}  # when work last waited, by whether it needs GPUs

    # -- events -------------------------------------------------------------------------------

    def update(
        self, waiting_needs_gpus: Iterable[bool], refused_until: dict[MachineOffer, datetime], now: datetime
    ) -> None:
        """Update from the latest scheduling pass: for each job that was not placed, whether it needs GPUs."""
        for needs_gpus in waiting_needs_gpus:
            self._last_waiting[needs_gpus] = now
        for offer, until in refused_until.items():
            if until > now:
                self.sold_out_until[offer] = now + SOLD_OUT_DURATION
        machines = self.cluster_state.machines
        for machine in machines.values():
            if (
                machine.name not in self._counted_machines
                and machine.scaled_out_at >= self.started_at
                and self._is_in_place(machine, now)
            ):
                self._counted_machines.add(machine.name)
                self._record_arrival(machine, now)
        self._counted_machines &= machines.keys()
        for machine_type, names in self.ready_replacements.items():
            self.ready_replacements[machine_type] = {
                n
                for n in names
                if n in machines
                and not machines[n].is_marked_for_release
                and n not in self.cluster_state.drain_by_machine
            }
        for machine_type, gaps in self.gaps.items():
            while gaps and now - gaps[0] > DEMAND_TIMEOUT and not self._is_in_demand(machine_type, now):
                gaps.popleft()

    def _is_in_place(self, machine: Machine, now: datetime) -> bool:
        if (
            not machine.has_acknowledged_term
            or machine.is_booting
            or machine.is_marked_for_release
            or machine.name in self.cluster_state.drain_by_machine
        ):
            return False
        return bool(machine.image_cache) or (not machine.placements and now - machine.idle_since > MIN_IDLE_IN_PLACE)

    def _record_arrival(self, machine: Machine, now: datetime) -> None:
        machine_type = machine.machine_type.name
        self.provisioning_times[machine_type] = now - machine.scaled_out_at
        gaps = self.gaps.get(machine_type)
        if gaps:
            gaps.popleft()
        elif machine.is_surge:
            self.ready_replacements.setdefault(machine_type, set()).add(machine.name)

    def _is_in_demand(self, machine_type: str, now: datetime) -> bool:
        catalog_entry = self.cluster_state.catalog.get(machine_type)
        last_waiting = self._last_waiting.get(catalog_entry is not None and catalog_entry.gpus > 0)
        return last_waiting is not None and now - last_waiting <= DEMAND_TIMEOUT

    def record_departure(self, cordon: Cordon, now: datetime) -> None:
        """Count a gap for a cordoned machine that has left, if it has to be replaced and has not been."""
        if cordon.needs_replacement and not cordon.has_replacement:
            self.gaps.setdefault(cordon.machine_type, deque()).append(now)

    def provisioning_time(self, machine_type: str) -> timedelta:
        """Time from rental to in place: as last measured, or the boot duration from the catalog."""
        catalog_entry = self.cluster_state.catalog.get(machine_type)
        return self.provisioning_times.get(
            machine_type, timedelta(0) if catalog_entry is None else catalog_entry.boot_duration
        )

    # -- bounds -------------------------------------------------------------------------------

    def max_missing(self, machine_type: str) -> int:
        """Number of machines of a type that may be missing, or be replaced ahead, at once."""
        running_count = sum(
            1
            for m in self.cluster_state.machines.values()
            if m.machine_type.name == machine_type and not m.is_booting and not m.is_marked_for_release
        )
        catalog_entry = self.cluster_state.catalog.get(machine_type)
        return max(
            1,
            int(
                (
                    self.max_missing_gpu_share
                    if catalog_entry is not None and catalog_entry.gpus > 0
                    else self.max_missing_share
                )
                * running_count
            ),
        )

    def missing_count(self, machine_type: str, cordons: Iterable[Cordon]) -> int:
        cordoned_count = sum(
            1 for c in cordons if c.machine_type == machine_type and c.needs_replacement and not c.has_replacement
        )
        return cordoned_count + len(self.gaps.get(machine_type, ()))

    def is_sold_out(self, machine_type: str, is_spot: bool, now: datetime) -> bool:
        catalog_entry = self.cluster_state.catalog.get(machine_type)
        return catalog_entry is not None and all(
            self.sold_out_until.get(MachineOffer(machine_type, zone, is_spot), now) > now
            for zone in catalog_entry.zones
        )

    def cordon_capacity(
        self, machine_type: str, is_spot: bool, needs_replacement: bool, cordons: Iterable[Cordon], now: datetime
    ) -> int:
        """How many more machines of a type may be cordoned now; without demand no replacement has to come first."""
        same_type = [c for c in cordons if c.machine_type == machine_type]
        max_missing = self.max_missing(machine_type)
        if not needs_replacement:
            return max_missing - sum(not c.needs_replacement for c in same_type)
        ready_count = len(self.ready_replacements.get(machine_type, ()))
        if self._is_in_demand(machine_type, now) and not self.is_sold_out(machine_type, is_spot, now):
            return ready_count
        return max(ready_count, max_missing - self.missing_count(machine_type, same_type))

    def reserve_replacement(self, machine_type: str) -> bool:
        """Reserve a ready replacement for a machine that is cordoned now; return whether there was one."""
        ready = self.ready_replacements.get(machine_type)
        if not ready:
            return False
        ready.remove(min(ready))
        return True

    def release_replacement(self, machine_type: str) -> None:
        """Make a replacement ready again because a machine was not cordoned after all; any replacement will do."""
        counted = [
            n
            for n in self._counted_machines
            if n in self.cluster_state.machines and n not in self.cluster_state.drain_by_machine
        ]
        ready = {
            n
            for n in counted
            if self.cluster_state.machines[n].machine_type.name == machine_type
            and self.cluster_state.machines[n].is_surge
        }
        ready -= self.ready_replacements.get(machine_type, set())
        if ready:
            self.ready_replacements.setdefault(machine_type, set()).add(min(ready))

    def max_cordons_per_step(self) -> int:
        """Machines that may be cordoned in one step: each cordon changes values in the key-value store."""
        return max(1, int(self.cluster_state.settings.params.kv_store.max_writes_per_s * MAX_WRITE_RATE_SHARE))

    # -- rentals ------------------------------------------------------------------------------

    def plan_rentals(
        self,
        due_machines: dict[str, list[Machine]],
        refused_until: dict[MachineOffer, datetime],
        other_requests: list[MachineRequest],
        now: datetime,
    ) -> list[MachineRequest]:
        """Rentals that close gaps, and replacements ahead for due machines (by type) while their type is in demand."""
        machine_requests: list[MachineRequest] = []
        taken_offers = {(r.type_name, r.zone, r.is_spot) for r in other_requests}
        image_fetches = self._affordable_image_fetches(now)
        max_sockets = max(4, int(self.cluster_state.settings.params.process_limits.max_sockets * MAX_SOCKET_SHARE))
        provisioning = self._provisioning_counts(now)
        max_calls = max(1, int(self.cluster_state.settings.params.cloud.max_requests_per_s / 2))
        for machine_type in sorted(self.gaps.keys() | due_machines.keys()):
            machines = due_machines.get(machine_type, [])
            is_spot = sum(m.is_spot for m in machines) * 2 > len(machines)
            surge_count = 0
            if machines and self._is_in_demand(machine_type, now) and not self.is_sold_out(machine_type, is_spot, now):
                surge_count = max(
                    0,
                    min(self.max_missing(machine_type), len(machines))
                    - len(self.ready_replacements.get(machine_type, ())),
                )
            provisioning_count = provisioning.get(machine_type, 0) + sum(
                r.count for r in other_requests if r.type_name == machine_type
            )
            missing_count = min(len(self.gaps.get(machine_type, ())) + surge_count, max_sockets) - provisioning_count
            for offer in self._candidate_offers(machine_type, machines, is_spot):
                if missing_count <= 0 or len(machine_requests) >= max_calls:
                    break
                if offer in taken_offers or refused_until.get(offer, now) > now or image_fetches.get(offer[1], 1) <= 0:
                    continue
                count = min(
                    missing_count, MAX_MACHINES_PER_REQUEST, image_fetches.get(offer[1], MAX_MACHINES_PER_REQUEST)
                )
                machine_requests.append(MachineRequest(*offer, count, is_surge=True))
                missing_count -= count
                image_fetches[offer[1]] = image_fetches.get(offer[1], count) - count
        return machine_requests

    def _provisioning_counts(self, now: datetime) -> dict[str, int]:
        """Machines of each type rented in this term that are booting on time, or up and not in place yet."""
        counts: dict[str, int] = {}
        for machine in self.cluster_state.machines.values():
            if (
                machine.is_marked_for_release
                or machine.name in self._counted_machines
                or machine.scaled_out_at < self.started_at
            ):
                continue
            if (
                machine.is_booting
                and now - machine.scaled_out_at > machine.machine_type.boot_duration * LATE_BOOT_FACTOR
            ):
                continue
            counts[machine.machine_type.name] = counts.get(machine.machine_type.name, 0) + 1
        return counts

    def _candidate_offers(self, machine_type: str, machines: list[Machine], is_spot: bool) -> list[MachineOffer]:
        """Offers in the zones of the due machines, most machines first; then in the type's other zones."""
        machines_by_zone: dict[str, int] = {}
        for machine in machines:
            machines_by_zone[machine.zone] = machines_by_zone.get(machine.zone, 0) + 1
        catalog_entry = self.cluster_state.catalog.get(machine_type)
        if catalog_entry is None:
            return []
        zone_order = sorted(catalog_entry.zones, key=lambda zone: (-machines_by_zone.get(zone, 0), zone))
        pricings = (is_spot, not is_spot) if self.gaps.get(machine_type) else (is_spot,)
        return [MachineOffer(machine_type, zone, offer_is_spot) for offer_is_spot in pricings for zone in zone_order]

    def _affordable_image_fetches(self, now: datetime) -> dict[str, int]:
        """New machines per zone whose first image fetch the zone's rate limit can pay for within one window."""
        image_sizes_gb = [run.spec.image_gb for run in self.cluster_state.jobs.values() if run.spec.image_gb > 0]
        if not image_sizes_gb:
            return {}
        typical_size_gb = sorted(image_sizes_gb)[len(image_sizes_gb) // 2]
        fetches_by_zone: dict[str, int] = {}
        for zone in self.cluster_state.settings.params.zones:
            limit = self.cluster_state.limits.by_tag.get(fetch_tag(zone))
            if limit is not None:
                fetches_by_zone[zone] = max(
                    1, int(limit.bucket.payable_within(limit.bucket.window, now) / typical_size_gb)
                )
        return fetches_by_zone
