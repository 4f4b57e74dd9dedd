"""The simulated provider of a replay: machine types, the number of machines of each, and teams."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from roseweir.cloud.messages import Catalog
from roseweir.settings import ClusterParameters, Settings, Team, load_settings
from roseweir.sexp import SettingsError
from roseweir.submissions.jobs import MachineType

DEFAULT_CATALOG = [
    MachineType("std", 16.0, 0.0, 64.0, 100.0, 0.5, 0.8, 0.3, 60.0, ("a", "b")),
    MachineType("acc", 16.0, 2.0, 128.0, 100.0, 0.5, 4.0, 1.5, 60.0, ("a", "b")),
]
DEFAULT_CAPACITY = 60


class SimulatedProvider(msgspec.Struct):
    settings: Settings
    catalog: dict[str, MachineType]
    machines_per_offer: int  # limit of machines for each type, zone and spot or on-demand


def load_provider(config: Path | None, catalog: Path | None, capacity: int, teams: Iterable[str]) -> SimulatedProvider:
    """Load the platform's settings and a catalog as answered by the cloud; small defaults replace a missing file.

    With default settings each team of the load has a guarantee, except a team called `guests`.
    """
    machine_types = DEFAULT_CATALOG if catalog is None else _read_catalog(catalog)
    settings = _default_settings(machine_types, teams) if config is None else load_settings(config)
    return SimulatedProvider(settings, {machine_type.name: machine_type for machine_type in machine_types}, capacity)


def _read_catalog(path: Path) -> list[MachineType]:
    try:
        return [entry.to_machine_type() for entry in msgspec.json.decode(path.read_bytes(), type=Catalog).machine_types]
    except OSError as e:
        raise SettingsError(f"{path}: {e.strerror or e}") from e
    except (msgspec.DecodeError, msgspec.ValidationError) as e:
        raise SettingsError(f"{path}: {e}") from e


def _default_settings(machine_types: list[MachineType], teams: Iterable[str]) -> Settings:
    params: dict[str, Any] = {
        "zones": sorted({zone for machine_type in machine_types for zone in machine_type.zones}),
        "teams": [],
        "workers": {"report_s": 3.0, "lease_s": 15.0, "gang_wait_s": 30.0, "gang_peer_s": 5.0, "cancel_s": 40.0},
        "state": {"rps": 100.0, "write_rps": 30.0, "value_kb": 8.0, "txn_ops": 24},
        "cloud": {"rps": 5.0, "list_lag_s": 5.0},
        "limits": {},
    }
    parsed_params = msgspec.convert(params, ClusterParameters)
    parsed_params.teams = [
        Team(name) if name == "guests" else Team(name, guaranteed_cpus=1e6, guaranteed_gpus=1e6)
        for name in sorted(set(teams))
    ]
    address = "127.0.0.1:1"
    return msgspec.convert(
        {
            "node_name": "replay",
            "site": parsed_params.zones[0],
            "public_addr": address,
            "back": address,
            "known": [],
            "endpoints": {"cloud": address, "state": address},
            "params": parsed_params,
        },
        Settings,
        from_attributes=True,
    )
