"""The operators' form `(packing ...)`."""

from datetime import timedelta
from typing import Any

import msgspec

from roseweir.clock import seconds
from roseweir.sexp import SettingsError, read_form, read_number, read_string


class RebalancingSettings(msgspec.Struct):
    """Settings of placement and moves against fragmentation; docs/packing.md gives the reason for each default."""

    # `choose`: placement keeps room for large tasks; `move`: replicas are moved where large tasks fit nowhere.
    # "on", "off", or "auto": on from the first service that needs GPUs.
    choose: str = "auto"
    move: str = "auto"
    after: timedelta = timedelta(seconds=10)  # how long a job waits before replicas are moved for it
    again: timedelta = timedelta(minutes=5)  # how long a moved replica is not moved again
    max_concurrent_moves: int = 8  # replicas that may be stopped for a move at the same time


def parse_rebalancing(entries: list[Any]) -> RebalancingSettings:
    """Read the entries of `(packing (choose "on") (move "on") (after 10) (again 300) (at-once 4))`."""
    settings = RebalancingSettings()
    for entry in entries:
        name, args = read_form(entry)
        if name in ("choose", "move"):
            text = read_string(name, args)
            if text not in ("on", "off", "auto"):
                raise SettingsError(f'`{name}` in `packing` is "on", "off" or "auto"')
            setattr(settings, name, text)
        elif name in ("after", "again"):
            setattr(settings, name, seconds(read_number(name, args)))
        elif name == "at-once":
            value = read_number(name, args, must_be_positive=True)
            if value != int(value):
                raise SettingsError("`at-once` must be a whole number")
            settings.max_concurrent_moves = int(value)
        else:
            raise SettingsError(f"unknown name `{name}` in `packing`")
    return settings
