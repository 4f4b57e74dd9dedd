"""Messages of the cloud's API. Its field names occur only here, in `rename=` and in the request bodies."""

from typing import Any

import msgspec

from roseweir.submissions.jobs import MachineType


class CatalogEntry(
    msgspec.Struct,
    rename={"gpus": "accelerators", "cpus": "cores", "spot_price": "low_price", "boot_s": "ready_s", "zones": "yards"},
):
    """A machine type that can be rented. `boot_s` is in seconds, prices are in the catalog's unit."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: list[str]

    def to_machine_type(self) -> MachineType:
        """The entry as the scheduler's machine type."""
        return MachineType(
            self.name,
            self.cpus,
            self.gpus,
            self.memory_gb,
            self.cache_gb,
            self.fetch_gb_per_s,
            self.price,
            self.spot_price,
            self.boot_s,
            tuple(self.zones),
        )


class Catalog(msgspec.Struct, rename={"machine_types": "builds"}):
    """Answer to `GET /catalog`."""

    machine_types: list[CatalogEntry]


class ListedMachine(
    msgspec.Struct,
    rename={
        "name": "name_id",
        "address": "endpoint",
        "machine_type": "build",
        "zone": "yard",
        "is_spot": "loaners",
        "state": "standing",
        "age_s": "held_s",
    },
):
    """A rented machine. `age_s`: seconds since it was rented."""

    name: str
    address: str
    machine_type: str
    zone: str
    is_spot: bool
    state: str
    age_s: float


class MachineList(msgspec.Struct, rename={"machines": "hosts", "has_more": "truncated"}):
    """Answer to `GET /machines`: one page of the list."""

    machines: list[ListedMachine]
    has_more: bool = False


class RentedMachines(msgspec.Struct, rename={"machine_names": "hosts"}):
    """Answer to `POST /machines`: the machines that were obtained."""

    machine_names: list[str]


# Values of `ListedMachine.state`.
BOOTING = "booting"
FAILED = "failed"


def rental_request(request_id: str, type_name: str, zone: str, is_spot: bool, count: int) -> dict[str, Any]:
    """Body of `POST /machines`. The request id makes the call idempotent."""
    return {"requisition": request_id, "build": type_name, "yard": zone, "loaners": is_spot, "how_many": count}


def release_request(machine_names: list[str]) -> dict[str, Any]:
    """Body of `POST /machines/release`."""
    return {"hosts": machine_names}
