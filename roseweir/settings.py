"""The platform's settings (JSON). The operators' own settings are in `roseweir.operator_config`."""

from datetime import timedelta
from pathlib import Path
from typing import Annotated, TypeVar

import msgspec
import orjson
from msgspec import Meta

from roseweir.bounds import bound_fields, bounded_amount
from roseweir.clock import seconds
from roseweir.sexp import SettingsError

Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
MAX_PORT = 65535
Address = Annotated[str, Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")]


class Peer(msgspec.Struct, rename={"name": "node_name", "zone": "site", "address": "peer_addr"}):
    """Another controller: its name, its zone, and the address of its peer API."""

    name: str
    zone: str
    address: Address


class Endpoints(msgspec.Struct, rename={"kv_store": "state"}):
    """Addresses of the services that a controller uses."""

    cloud: Address
    kv_store: Address


class Team(
    msgspec.Struct,
    rename={"guaranteed_cpus": "cpus", "max_cpus": "cpus_max", "guaranteed_gpus": "gpus", "max_gpus": "gpus_max"},
):
    """Guaranteed quota and limit of a team, in CPUs and GPUs; 0 means none."""

    name: str
    guaranteed_cpus: NonNegative = 0.0
    max_cpus: NonNegative = 0.0
    guaranteed_gpus: NonNegative = 0.0
    max_gpus: NonNegative = 0.0

    def __post_init__(self) -> None:
        bound_fields(self, ("guaranteed_cpus", "max_cpus", "guaranteed_gpus", "max_gpus"), bounded_amount)

    @property
    def has_guarantee(self) -> bool:
        """Whether the team has any guaranteed quota; one without is best-effort."""
        return self.guaranteed_cpus > 0 or self.guaranteed_gpus > 0


class ServiceLevelObjective(
    msgspec.Struct,
    rename={"objective_type": "kind", "target_share": "share", "threshold_s": "within_s", "job_class": "class"},
):
    """One service-level objective, as the platform sets it.

    Attributes:
        objective_type: What is measured: `wait`, `finished`, `deadline` or `guarantee`.
        target_share: The share that has to meet the threshold, between 0 and 1.
        job_class: The class of jobs that it applies to; None: it is not limited to one class.
        threshold_s: Bound in seconds, where the type has one.
        times: Bound of `deadline`, as a multiple.
    """

    objective_type: str
    target_share: float = 0.0
    job_class: str | None = None
    threshold_s: float | None = None
    times: float | None = None

    @property
    def threshold(self) -> timedelta | None:
        """The bound as a duration; None if the type has none."""
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
    """Intervals and timeouts of the workers' protocol, in seconds."""

    heartbeat_interval_s: Positive
    lease_duration_s: Positive
    gang_start_timeout_s: Positive
    gang_peer_timeout_s: Positive
    cancel_timeout_s: Positive

    @property
    def heartbeat_interval(self) -> timedelta:
        """The typical time between two heartbeats of a worker."""
        return seconds(self.heartbeat_interval_s)

    @property
    def lease_duration(self) -> timedelta:
        """How long a worker's lease lasts, from the sending of the last heartbeat that was answered."""
        return seconds(self.lease_duration_s)

    @property
    def gang_start_timeout(self) -> timedelta:
        """How long a gang's task waits for the gang to be complete before it exits."""
        return seconds(self.gang_start_timeout_s)

    @property
    def gang_peer_timeout(self) -> timedelta:
        """The time within which the tasks of a running gang detect that one of them has ended."""
        return seconds(self.gang_peer_timeout_s)

    @property
    def cancel_timeout(self) -> timedelta:
        """The time within which all tasks of a cancelled job must have ended."""
        return seconds(self.cancel_timeout_s)


# The write-ahead log's entry of a machine that runs 30 different jobs has to fit into one value.
MIN_VALUE_KIB = 2
# A job's end and a leader election take two operations in one transaction, and a batch adds a delta to these.
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
    """Limits that the store will have from some later time on, without further notice; None: unchanged."""

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
    """Limits of the store: requests and writes a second, KiB of a value, operations of a transaction.

    After loading, each is the lower of the current and the announced limit, so that every write satisfies both.
    """

    max_requests_per_s: Positive
    max_writes_per_s: Positive
    max_value_kib: ValueKib
    max_txn_ops: TxnOps
    announced_limits: AnnouncedStoreLimits | None = None

    def __post_init__(self) -> None:
        if self.announced_limits is not None:
            self._apply_announced_limits(self.announced_limits)
        bound_fields(self, ("max_requests_per_s", "max_writes_per_s", "max_value_kib"), bounded_amount)

    def _apply_announced_limits(self, announced_limits: AnnouncedStoreLimits) -> None:
        self.max_requests_per_s = _minimum(self.max_requests_per_s, announced_limits.max_requests_per_s)
        self.max_writes_per_s = _minimum(self.max_writes_per_s, announced_limits.max_writes_per_s)
        self.max_value_kib = _minimum(self.max_value_kib, announced_limits.max_value_kib)
        self.max_txn_ops = _minimum(self.max_txn_ops, announced_limits.max_txn_ops)


Number = TypeVar("Number", int, float)


def _minimum(current: Number, announced: Number | None) -> Number:
    return current if announced is None else min(current, announced)


class CloudSettings(msgspec.Struct, rename={"max_requests_per_s": "rps", "listing_lag_s": "list_lag_s"}):
    """The cloud's request rate, and the lag of its listings in seconds."""

    max_requests_per_s: Positive
    listing_lag_s: NonNegative

    def __post_init__(self) -> None:
        bound_fields(self, ("max_requests_per_s",), bounded_amount)

    @property
    def listing_lag(self) -> timedelta:
        """The typical maximum age of the cloud's listing of machines; at times it is twice as old."""
        return seconds(self.listing_lag_s)


class ProcessLimits(msgspec.Struct, rename={"cpus": "cpu", "memory_mb": "ram_mb", "max_sockets": "sockets"}):
    """Resource limits of one controller process: CPUs, memory in MB, open sockets."""

    cpus: Positive = 1.0
    memory_mb: Positive = 256.0
    max_sockets: Annotated[int, Meta(ge=16)] = 512


class ClusterParameters(
    msgspec.Struct, rename={"kv_store": "state", "process_limits": "limits", "max_clock_skew_ms": "skew_ms"}
):
    """The platform's settings for the whole cluster."""

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
    """The platform's settings for one controller: its name, zone and addresses, and those of its cluster."""

    name: str
    zone: str
    public_address: Address
    peer_address: Address
    peers: list[Peer]
    endpoints: Endpoints
    params: ClusterParameters


def load_settings(path: Path) -> Settings:
    """Read the platform's settings from a JSON file.

    Raises:
        SettingsError: The file cannot be read or is not valid; the message names the file.
    """
    try:
        raw = path.read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror or error}") from error
    try:
        value = orjson.loads(raw)
    except orjson.JSONDecodeError as error:
        raise SettingsError(f"{path}: not JSON: {error}") from error
    try:
        settings = msgspec.convert(value, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}") from error
    for field, address in (("public_addr", settings.public_address), ("back", settings.peer_address)):
        if int(address.rpartition(":")[2]) > MAX_PORT:
            raise SettingsError(f"{path}: port out of range - at `$.{field}`")
    return settings
