"""What the platform hands over (JSON) and what operators set themselves (S-expressions)."""

from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
import orjson
import sexpdata
from msgspec import Meta

from roseweir.clock import seconds

if TYPE_CHECKING:
    from roseweir.forecast.settings import AheadSettings, Calendar

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Address = Annotated[str, Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")]


class SettingsError(Exception):
    """One clear line about what is wrong with the settings."""


class Peer(msgspec.Struct, rename={"name": "node_name", "zone": "site", "address": "peer_addr"}):
    name: str
    zone: str
    address: Address


class Endpoints(msgspec.Struct):
    cloud: Address
    state: Address


class Team(msgspec.Struct):
    """Guarantee and limit of a team; 0 means none."""

    name: str
    cpus: NotNegative = 0.0
    cpus_max: NotNegative = 0.0
    gpus: NotNegative = 0.0
    gpus_max: NotNegative = 0.0

    @property
    def guaranteed(self) -> bool:
        return self.cpus > 0 or self.gpus > 0


class Objective(msgspec.Struct, rename={"job_class": "class"}):
    kind: str
    share: float = 0.0
    job_class: str | None = None
    within_s: float | None = None
    times: float | None = None

    @property
    def within(self) -> timedelta | None:
        return None if self.within_s is None else seconds(self.within_s)


class WorkerSettings(msgspec.Struct):
    report_s: Positive
    lease_s: Positive
    gang_wait_s: Positive
    gang_peer_s: Positive
    cancel_s: Positive

    @property
    def report(self) -> timedelta:
        return seconds(self.report_s)

    @property
    def lease(self) -> timedelta:
        return seconds(self.lease_s)

    @property
    def gang_wait(self) -> timedelta:
        return seconds(self.gang_wait_s)

    @property
    def gang_peer(self) -> timedelta:
        return seconds(self.gang_peer_s)

    @property
    def cancel(self) -> timedelta:
        return seconds(self.cancel_s)


class StateSettings(msgspec.Struct):
    rps: Positive
    write_rps: Positive
    value_kb: Positive
    # The end of a 100,000-task job takes 15 changes, which belong together.
    txn_ops: Annotated[int, Meta(ge=16)]


class CloudSettings(msgspec.Struct):
    rps: Positive
    list_lag_s: NotNegative

    @property
    def list_lag(self) -> timedelta:
        return seconds(self.list_lag_s)


class ProcessLimits(msgspec.Struct):
    cpu: Positive = 1.0
    ram_mb: Positive = 256.0
    sockets: Annotated[int, Meta(ge=16)] = 512


class Params(msgspec.Struct):
    zones: list[str]
    teams: list[Team]
    workers: WorkerSettings
    state: StateSettings
    cloud: CloudSettings
    limits: ProcessLimits
    objectives: list[Objective] = []
    skew_ms: NotNegative = 0.0


class Settings(msgspec.Struct, rename={"name": "node_name", "zone": "site", "public": "public_addr", "peers": "known"}):
    name: str
    zone: str
    public: Address
    back: Address
    peers: list[Peer]
    endpoints: Endpoints
    params: Params


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
    for where, address in (("public_addr", settings.public), ("back", settings.back)):
        if int(address.rpartition(":")[2]) > 65535:
            raise SettingsError(f"{path}: port out of range - at `$.{where}`")
    return settings


class ClassLimit(msgspec.Struct):
    """An operator's own startup limit: which jobs on which machines, and how fast."""

    name: str
    count: float
    window: timedelta
    job_class: str | None = None
    team: str | None = None
    machine_type: str | None = None
    zone: str | None = None
    burst: float = 0.0
    draw_cap: float = 0.0


class Tuning(msgspec.Struct):
    """Operators' own settings. docs/operations.md gives the reason for each default."""

    # Uncached image fetches, per zone. The rate is a share of what the zone's machines can pull
    # at their catalog rate: starting more fetches than that only makes all of them slower.
    fetch_share: float = 1.0
    fetch_window: timedelta = timedelta(seconds=30)
    fetch_burst_gb: float = 40.0
    fetch_draw_cap_gb: float = 20.0
    # Restarts of a job that failed `failure_count` times: one each window.
    failure_count: int = 6
    restart_window: timedelta = timedelta(seconds=30)
    lease: timedelta = timedelta(minutes=2)
    ban_window: timedelta = timedelta(seconds=3)
    lookahead: timedelta = timedelta(seconds=10)
    class_limits: list[ClassLimit] = []
    # Renting ahead of demand; None: off, and nothing of it is loaded.
    ahead: "AheadSettings | None" = None


def load_tuning(path: Path | None) -> Tuning:
    if path is None:
        return Tuning()
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as e:
        raise SettingsError(f"{path}: {e}") from e
    try:
        forms = sexpdata.parse(text)
    except Exception as e:  # sexpdata raises several kinds of its own
        raise SettingsError(f"{path}: not S-expressions: {e}") from e
    try:
        return parse_tuning(forms)
    except SettingsError as e:
        raise SettingsError(f"{path}: {e}") from e


_SPANS = {"fetch-window", "restart-window", "lease", "ban-window", "lookahead"}
_NUMBERS = {"fetch-share", "fetch-burst-gb", "fetch-draw-cap-gb"}
_COUNTS = {"failure-count"}
_LIMIT_TEXTS = {"name", "job-class", "team", "machine-type", "zone"}
_LIMIT_NUMBERS = {"count", "burst", "draw-cap"}


def parse_tuning(forms: list[Any]) -> Tuning:
    """Read `(startup-limits (fetch-share 1.0) ... (limit (name "x") ...))` and the forms of what is switched on."""
    tuning = Tuning(class_limits=[])
    calendar: Calendar | None = None
    for form in forms:
        head, rest = read_form(form)
        if head in ("renting-ahead", "calendar"):
            # Loaded only where it is used: controllers have little memory.
            from roseweir.forecast.settings import parse_ahead, parse_calendar

            if head == "calendar":
                calendar = parse_calendar(rest)
            else:
                tuning.ahead = parse_ahead(rest)
            continue
        if head != "startup-limits":
            raise SettingsError(f"unknown name `{head}`, expected one of `startup-limits`, `renting-ahead`, `calendar`")
        for entry in rest:
            name, args = read_form(entry)
            if name == "limit":
                tuning.class_limits.append(_class_limit(args))
            elif name in _SPANS:
                setattr(tuning, name.replace("-", "_"), seconds(read_number(name, args, above_zero=True)))
            elif name in _NUMBERS:
                setattr(tuning, name.replace("-", "_"), read_number(name, args, above_zero=name == "fetch-share"))
            elif name in _COUNTS:
                count = read_number(name, args, above_zero=True)
                if count != int(count):
                    raise SettingsError(f"`{name}` must be a whole number")
                setattr(tuning, name.replace("-", "_"), int(count))
            else:
                raise SettingsError(f"unknown name `{name}` in `startup-limits`")
    if calendar is not None:
        if tuning.ahead is None:
            raise SettingsError("`calendar` says nothing without `renting-ahead`")
        tuning.ahead.calendar = calendar
    return tuning


def _class_limit(entries: list[Any]) -> ClassLimit:
    fields: dict[str, Any] = {}
    for entry in entries:
        name, args = read_form(entry)
        if name in _LIMIT_TEXTS:
            fields[name.replace("-", "_")] = read_text(name, args)
        elif name in _LIMIT_NUMBERS:
            fields[name.replace("-", "_")] = read_number(name, args, above_zero=name == "count")
        elif name == "window":
            fields["window"] = seconds(read_number(name, args, above_zero=True))
        else:
            raise SettingsError(f"unknown name `{name}` in `limit`")
    for needed in ("name", "count", "window"):
        if needed not in fields:
            raise SettingsError(f"a `limit` needs `{needed}`")
    return ClassLimit(**fields)


def read_form(value: Any) -> tuple[str, list[Any]]:
    if not isinstance(value, list) or not value or not isinstance(value[0], sexpdata.Symbol):
        raise SettingsError(f"expected a form like (name value), found `{sexpdata.dumps(value)}`")
    return value[0].value(), value[1:]


def read_text(name: str, args: list[Any]) -> str:
    if len(args) != 1 or not isinstance(args[0], str):
        raise SettingsError(f"`{name}` takes one string")
    return args[0]


def read_number(name: str, args: list[Any], above_zero: bool = False) -> float:
    if len(args) != 1 or isinstance(args[0], bool) or not isinstance(args[0], int | float):
        raise SettingsError(f"`{name}` takes one number")
    if args[0] < 0 or (above_zero and args[0] == 0):
        raise SettingsError(f"`{name}` must be {'above' if above_zero else 'at least'} 0")
    return float(args[0])
