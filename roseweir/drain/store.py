"""Stores drain state in a bounded number of keys of the key-value store.

Every write is conditional on the leader's key and on the versions of the keys that it changes.

- `drain/ask/NAME`: a drain; up to `MAX_ACTIVE_DRAINS` active and `MAX_ENDED_DRAINS` ended ones.
- `drain/steps/NN`: cordoned machines by name.
- `drain/account/NN`: placement progress of jobs with tasks down, and disruption counts of the last hour for budgets
  with a rate bound.
- `drain/moves`: plans to move replicas for large tasks, and replicas that were moved recently.
- `drain/pool`: gaps by machine type, and the daily counts and circuit breakers of automatic replacement.
"""

import logging
from typing import Any

import msgspec
import orjson

from roseweir.cloud.offers import MachineOffer
from roseweir.drain.model import Drain
from roseweir.drain.surge_pool import Cordon
from roseweir.kv_store import Entry, KeyValueStoreClient, StoreError
from roseweir.kv_store.fenced_writes import FencedWriter

log = logging.getLogger(__name__)

KEY_PREFIX = "drain/"
REQUEST_KEY_PREFIX, CORDONS_KEY_PREFIX, DISRUPTIONS_KEY_PREFIX, SURGE_POOL_KEY = (
    KEY_PREFIX + "ask/",
    KEY_PREFIX + "steps/",
    KEY_PREFIX + "account/",
    KEY_PREFIX + "pool",
)
REBALANCING_KEY = KEY_PREFIX + "moves"  # moves of replicas for large tasks (`rebalancing/`)
MAX_CORDON_PAGES, MAX_DISRUPTION_PAGES = 16, 8
VALUE_FILL_RATIO = 0.8
# A machine's entry: its name, type, zone and owner, of about 40, 30, 30 and 40 characters at most.
MAX_CORDON_ENTRY_BYTES = 200


class DrainRecordFull(Exception):
    """The state that must be stored before a task is stopped does not fit into its keys."""


class StoredDrainState(msgspec.Struct):
    """Drain state stored by earlier leaders."""

    drains: list[Drain] = []
    cordons: dict[str, Cordon] = {}
    placement_progress: dict[str, int] = {}
    rate_windows: dict[str, list[list[int]]] = {}
    gaps: dict[str, int] = {}
    auto_replacement: dict[str, Any] | None = None
    rebalancing: dict[str, Any] = {}

    @property
    def is_empty(self) -> bool:
        return not (
            any(not d.outcome for d in self.drains)
            or self.cordons
            or any(self.gaps.values())
            or self.rebalancing.get("plans")
        )


class DrainStore(FencedWriter):
    def __init__(self, kv_store: KeyValueStoreClient, leader_key_version: int) -> None:
        super().__init__(kv_store, leader_key_version, "drains")
        self._page_by_machine: dict[str, int] = {}  # page of each cordoned machine

    @property
    def max_value_bytes(self) -> int:
        """Maximum size of a value under the current transaction limits."""
        return int(min(self.kv_store.transaction_limits.max_value_bytes, 8192) * VALUE_FILL_RATIO)

    @property
    def max_cordons(self) -> int:
        """Cordons that fit in any case: `MAX_CORDON_ENTRY_BYTES` each, and up to that much unused in each page."""
        return MAX_CORDON_PAGES * max(1, self.max_value_bytes // MAX_CORDON_ENTRY_BYTES - 1)

    # -- reading ------------------------------------------------------------------------------

    async def read_entries(self) -> list[Entry]:
        entries, _ = await self.kv_store.scan(KEY_PREFIX)
        return entries

    def load_records(self, entries: list[Entry]) -> StoredDrainState:
        """Decode the entries; raises StoreError if one is invalid: a leader must know all drains and cordons."""
        stored = StoredDrainState([], {}, {}, {}, {})
        self.load(entries)
        self._page_by_machine = {}
        for entry in entries:
            try:
                self._load_entry(stored, entry)
            except (msgspec.ValidationError, KeyError, TypeError, ValueError) as e:
                raise StoreError(f"{entry.key} can't be read: {e!r}") from e
        return stored

    def _load_entry(self, stored: StoredDrainState, entry: Entry) -> None:
        value = entry.value
        if entry.key.startswith(REQUEST_KEY_PREFIX):
            stored.drains.append(msgspec.convert(value, Drain))
        elif entry.key.startswith(CORDONS_KEY_PREFIX):
            for name, (owner, machine_type, zone, is_spot, cordoned_at_ms, needs_replacement, has_replacement) in value[
                "machines"
            ].items():
                stored.cordons[name] = Cordon(
                    owner,
                    machine_type,
                    MachineOffer(machine_type, zone, is_spot),
                    cordoned_at_ms,
                    needs_replacement,
                    has_replacement,
                )
                self._page_by_machine[name] = int(entry.key.removeprefix(CORDONS_KEY_PREFIX))
        elif entry.key.startswith(DISRUPTIONS_KEY_PREFIX):
            stored.placement_progress |= value["reached"]
            stored.rate_windows |= value["windows"]
        elif entry.key == SURGE_POOL_KEY:
            stored.gaps = value["gaps"]
            stored.auto_replacement = value["own"]
        elif entry.key == REBALANCING_KEY:
            stored.rebalancing = value

    def fit_rebalancing(self, value: dict[str, Any]) -> dict[str, Any]:
        """Shorten a rebalancing value to the maximum size, dropping the replicas that were moved longest ago."""
        moved_at_ms: dict[str, int] = dict(value["moved"])
        while moved_at_ms and len(orjson.dumps(value | {"moved": moved_at_ms})) > self.max_value_bytes:
            del moved_at_ms[min(moved_at_ms, key=lambda name: moved_at_ms[name])]
        return value | {"moved": moved_at_ms}

    def encode_ended_drain(self, drain: Drain) -> dict[str, Any]:
        """Encode an ended drain, without machine names if it is too large: it selects no machines any more."""
        value = encode_drain(drain)
        if len(orjson.dumps(value)) > self.max_value_bytes:
            value["ask"] = {name: field for name, field in value["ask"].items() if name != "machines"}
        return value

    def fits_value(self, drain: Drain) -> bool:
        return len(orjson.dumps(encode_drain(drain))) <= self.max_value_bytes

    # -- writing ------------------------------------------------------------------------------

    def encode_cordons(self, cordons: dict[str, Cordon]) -> dict[str, Any]:
        """Encode cordons as values by key. Machines stay on their page; new ones go to the first with room."""
        self._page_by_machine = {name: page for name, page in self._page_by_machine.items() if name in cordons}
        entries = {
            name: [
                c.owner,
                c.machine_type,
                c.offer[1],
                c.offer[2],
                c.cordoned_at_ms,
                c.needs_replacement,
                c.has_replacement,
            ]
            for name, c in cordons.items()
        }
        sizes = [0] * MAX_CORDON_PAGES
        pages: list[dict[str, Any]] = [{} for _ in range(MAX_CORDON_PAGES)]
        for name in sorted(cordons, key=lambda n: (n not in self._page_by_machine, n)):
            size = len(orjson.dumps(entries[name])) + len(name) + 8
            page = self._page_by_machine.get(name)
            if page is None or sizes[page] + size > self.max_value_bytes:
                page = next((n for n in range(MAX_CORDON_PAGES) if sizes[n] + size <= self.max_value_bytes), None)
                if page is None:
                    raise DrainRecordFull("no room for more machines in the list of steps")
            self._page_by_machine[name] = page
            sizes[page] += size
            pages[page][name] = entries[name]
        return {f"{CORDONS_KEY_PREFIX}{n:02d}": {"machines": page} for n, page in enumerate(pages)}

    def encode_disruptions(
        self, placement_progress: dict[str, int], rate_windows: dict[str, Any], required_jobs: set[str]
    ) -> dict[str, Any]:
        """Encode the disruption account as values by key; raises DrainRecordFull if a required job does not fit.

        Other jobs that do not fit are left out: after a failover their tasks count as down by their indices alone.
        """
        values: dict[str, Any] = {}
        pages: list[dict[str, Any]] = [{"reached": {}, "windows": {}}]
        page_size = 32
        entries = [("windows", name, counts) for name, counts in rate_windows.items()]
        entries += [
            ("reached", job, placement_progress[job])
            for job in sorted(placement_progress, key=lambda j: j not in required_jobs)
        ]
        for section, name, value in entries:
            entry_size = len(orjson.dumps(value)) + len(name) + 6
            if page_size + entry_size > self.max_value_bytes:
                if len(pages) == MAX_DISRUPTION_PAGES:
                    if name in required_jobs:
                        raise DrainRecordFull("no room for more jobs in the account")
                    break
                pages.append({"reached": {}, "windows": {}})
                page_size = 32
            pages[-1][section][name] = value
            page_size += entry_size
        for page_number in range(MAX_DISRUPTION_PAGES):
            values[f"{DISRUPTIONS_KEY_PREFIX}{page_number:02d}"] = (
                pages[page_number] if page_number < len(pages) else {"reached": {}, "windows": {}}
            )
        return values


def encode_drain(drain: Drain) -> dict[str, Any]:
    value: dict[str, Any] = msgspec.to_builtins(drain)
    return value
