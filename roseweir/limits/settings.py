"""Settings of startup limits, read from the operators' form `(startup-limits ...)`."""

from datetime import timedelta
from typing import Any

import msgspec

from roseweir.clock import seconds
from roseweir.sexp import SettingsError, read_form, read_number, read_string


class ClassLimit(msgspec.Struct):
    """A startup limit that an operator configured: which jobs on which machines, and `count` starts per `window`."""

    name: str
    count: float
    window: timedelta
    job_class: str | None = None
    team: str | None = None
    machine_type: str | None = None
    zone: str | None = None
    burst: float = 0.0
    draw_cap: float = 0.0


class LimitSettings(msgspec.Struct):
    """Startup limits. docs/operations.md gives the reason for each default."""

    # Uncached image fetches, per zone. The rate is a share of what the zone's machines can pull
    # at their catalog rate: starting more fetches than that only makes all of them slower.
    fetch_share: float = 1.0
    fetch_window: timedelta = timedelta(seconds=30)
    fetch_burst_gb: float = 40.0
    fetch_draw_cap_gb: float = 20.0
    # Restarts of a job that failed `failure_count` times: one per window.
    failure_count: int = 6
    restart_window: timedelta = timedelta(seconds=30)
    lease: timedelta = timedelta(minutes=2)
    ban_window: timedelta = timedelta(seconds=3)
    lookahead: timedelta = timedelta(seconds=10)
    class_limits: list[ClassLimit] = []


_DURATION_NAMES = {"fetch-window", "restart-window", "lease", "ban-window", "lookahead"}
_NUMBER_NAMES = {"fetch-share", "fetch-burst-gb", "fetch-draw-cap-gb"}
_COUNT_NAMES = {"failure-count"}
_LIMIT_TEXT_NAMES = {"name", "job-class", "team", "machine-type", "zone"}
_LIMIT_NUMBER_NAMES = {"count", "burst", "draw-cap"}


def parse_limits(limit_settings: LimitSettings, entries: list[Any]) -> None:
    """Read the entries of `(startup-limits (fetch-share 1.0) ... (limit (name "x") ...))` into the settings.

    Raises `SettingsError` for an unknown name or a value out of range.
    """
    for entry in entries:
        name, args = read_form(entry)
        if name == "limit":
            limit_settings.class_limits.append(_parse_class_limit(args))
        elif name in _DURATION_NAMES:
            setattr(limit_settings, name.replace("-", "_"), seconds(read_number(name, args, must_be_positive=True)))
        elif name in _NUMBER_NAMES:
            setattr(
                limit_settings, name.replace("-", "_"), read_number(name, args, must_be_positive=name == "fetch-share")
            )
        elif name in _COUNT_NAMES:
            count = read_number(name, args, must_be_positive=True)
            if count != int(count):
                raise SettingsError(f"`{name}` must be a whole number")
            setattr(limit_settings, name.replace("-", "_"), int(count))
        else:
            raise SettingsError(f"unknown name `{name}` in `startup-limits`")


def _parse_class_limit(entries: list[Any]) -> ClassLimit:
    fields: dict[str, Any] = {}
    for entry in entries:
        name, args = read_form(entry)
        if name in _LIMIT_TEXT_NAMES:
            fields[name.replace("-", "_")] = read_string(name, args)
        elif name in _LIMIT_NUMBER_NAMES:
            fields[name.replace("-", "_")] = read_number(name, args, must_be_positive=name == "count")
        elif name == "window":
            fields["window"] = seconds(read_number(name, args, must_be_positive=True))
        else:
            raise SettingsError(f"unknown name `{name}` in `limit`")
    for required in ("name", "count", "window"):
        if required not in fields:
            raise SettingsError(f"a `limit` needs `{required}`")
    return ClassLimit(**fields)
