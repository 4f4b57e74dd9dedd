"""What the platform hands over (JSON). What operators set themselves is in `roseweir.operator_config`."""

from datetime import timedelta
from pathlib import Path
from typing import Annotated, TypeVar

import msgspec
import orjson
from msgspec import Meta

from roseweir.clock import seconds
from roseweir.sexp import SettingsError

Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
Address = Annotated[str, Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")]


class Peer(msgspec.Struct, rename={"name": "node_name", "zone": "site", "address": "peer_addr"}):
    name: str
    zone: str
    address: Address


class Endpoints(msgspec.Struct, rename={"kv_store": "state"}):
    cloud: Address
    kv_store: Address


class Team(
    msgspec.Struct,
    rename={"guaranteed_cpus": "cpus", "max_cpus": "cpus_max", "guaranteed_gpus": "gpus", "max_gpus": "gpus_max"},
):
    """Guarantee and limit of a team; 0 means none."""

    name: str
    guaranteed_cpus: NonNegative = 0.0
    max_cpus: NonNegative = 0.0
    guaranteed_gpus: NonNegative = 0.0
    max_gpus: NonNegative = 0.0

    @property
    def has_guarantee(self) -> bool:
        return self.guaranteed_cpus > 0 or self.guaranteed_gpus > 0


class ServiceLevelObjective(
    msgspec.Struct,
    rename={"objective_type": "kind", "target_share": "share", "threshold_s": "within_s", "job_class": "class"},
):
    objective_type: str
    target_share: float = 0.0
    job_class: str | None = None
    threshold_s: float | None = None
    times: float | None = None

    @property
    def threshold(self) -> timedelta | None:
        return None if self.threshold_s is None else seconds(self.threshold_s)


class WorkerSettings(
    msgspec.Struct,
    rename={
        "heartbeat_interval_s": "report_s",
        "lease_duration_s": "lease_s",
        "gang_start_timeout_s": "gang_wait_s",
        "gang_peer_timeout_s": "gang_peer_s",
        "cancel_timeout_s": "cancel_s",
    },
):
    heartbeat_interval_s: Positive
    lease_duration_s: Positive
    gang_start_timeout_s: Positive
    gang_peer_timeout_s: Positive
    cancel_timeout_s: Positive

    @property
    def heartbeat_interval(self) -> timedelta:
        return seconds(self.heartbeat_interval_s)

    @property
    def lease_duration(self) -> timedelta:
        return seconds(self.lease_duration_s)

    @property
    def gang_start_timeout(self) -> timedelta:
        return seconds(self.gang_start_timeout_s)

    @property
    def gang_peer_timeout(self) -> timedelta:
        return seconds(self.gang_peer_timeout_s)

    @property
    def cancel_timeout(self) -> timedelta:
        return seconds(self.cancel_timeout_s)


# A machine with 30 different jobs on it has to fit a value.
MIN_VALUE_KIB = 2
# A job's end and the leader's election take two changes that belong together, and a batch a note beside them.
MIN_TXN_OPS = 4
ValueKib = Annotated[float, Meta(ge=MIN_VALUE_KIB)]
TxnOps = Annotated[int, Meta(ge=MIN_TXN_OPS)]


class AnnouncedStoreLimits(
    msgspec.Struct,
    rename={
        "max_requests_per_s": "rps",
        "max_writes_per_s": "write_rps",
        "max_value_kib": "value_kb",
        "max_txn_ops": "txn_ops",
    },
):
    """Limits that the state service will have from some later moment, without notice; None: as now."""

    max_requests_per_s: Positive | None = None
    max_writes_per_s: Positive | None = None
    max_value_kib: ValueKib | None = None
    max_txn_ops: TxnOps | None = None


class KeyValueStoreSettings(
    msgspec.Struct,
    rename={
        "max_requests_per_s": "rps",
        "max_writes_per_s": "write_rps",
        "max_value_kib": "value_kb",
        "max_txn_ops": "txn_ops",
        "announced_limits": "next",
    },
):
    """Limits of the state service: requests and changes a second, KiB of a value, changes of a transaction.

    Once read, each is the lower of the one in force and the one to come: what is written always fits both.
    """

    max_requests_per_s: Positive
    max_writes_per_s: Positive
    max_value_kib: ValueKib
    max_txn_ops: TxnOps
    announced_limits: AnnouncedStoreLimits | None = None

    def __post_init__(self) -> None:
        if self.announced_limits is None:
            return
        self.max_requests_per_s = _minimum(self.max_requests_per_s, self.announced_limits.max_requests_per_s)
        self.max_writes_per_s = _minimum(self.max_writes_per_s, self.announced_limits.max_writes_per_s)
        self.max_value_kib = _minimum(self.max_value_kib, self.announced_limits.max_value_kib)
        self.max_txn_ops = _minimum(self.max_txn_ops, self.announced_limits.max_txn_ops)


Number = TypeVar("Number", int, float)


def _minimum(current: Number, announced: Number | None) -> Number:
    return current if announced is None else min(current, announced)


class CloudSettings(msgspec.Struct, rename={"max_requests_per_s": "rps", "listing_lag_s": "list_lag_s"}):
    max_requests_per_s: Positive
    listing_lag_s: NonNegative

    @property
    def listing_lag(self) -> timedelta:
        return seconds(self.listing_lag_s)


class ProcessLimits(msgspec.Struct, rename={"cpus": "cpu", "memory_mb": "ram_mb", "max_sockets": "sockets"}):
    cpus: Positive = 1.0
    memory_mb: Positive = 256.0
    max_sockets: Annotated[int, Meta(ge=16)] = 512


class ClusterParameters(
    msgspec.Struct, rename={"kv_store": "state", "process_limits": "limits", "max_clock_skew_ms": "skew_ms"}
):
    zones: list[str]
    teams: list[Team]
    workers: WorkerSettings
    kv_store: KeyValueStoreSettings
    cloud: CloudSettings
    process_limits: ProcessLimits
    objectives: list[ServiceLevelObjective] = []
    max_clock_skew_ms: NonNegative = 0.0


class Settings(
    msgspec.Struct,
    rename={
        "peer_address": "back",
        "name": "node_name",
        "zone": "site",
        "public_address": "public_addr",
        "peers": "known",
    },
):
    name: str
    zone: str
    public_address: Address
    peer_address: Address
    peers: list[Peer]
    endpoints: Endpoints
    params: ClusterParameters


def load_settings(path: Path) -> Settings:
    try:
        raw = path.read_bytes()
    except OSError as e:
        raise SettingsError(f"{path}: {e.strerror or e}") from e
    try:
        value = orjson.loads(raw)
    except orjson.JSONDecodeError as e:
        raise SettingsError(f"{path}: not JSON: {e}") from e
    try:
        settings = msgspec.convert(value, Settings)
    except msgspec.ValidationError as e:
        raise SettingsError(f"{path}: {e}") from e
    for field, address in (("public_addr", settings.public_address), ("back", settings.peer_address)):
        if int(address.rpartition(":")[2]) > 65535:
            raise SettingsError(f"{path}: port out of range - at `$.{field}`")
    return settings
