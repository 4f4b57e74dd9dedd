"""Reads recorded load: JSON Lines of submissions with the time at which each was sent."""

from collections.abc import Iterator
from datetime import datetime
from importlib.resources import files
from pathlib import Path
from typing import Any, NamedTuple

import fastjsonschema
import msgspec
import orjson

from roseweir.sexp import SettingsError
from roseweir.submissions.jobs import JobSpec
from roseweir.submissions.messages import Submission


class Arrival(NamedTuple):
    arrived_at: float  # seconds since 1970
    spec: JobSpec


def load_schema() -> Any:
    return orjson.loads(files(__package__).joinpath("load.schema.json").read_bytes())


def read_load(path: Path) -> list[Arrival]:
    """All arrivals in order of time. Raises SettingsError if the file is unreadable, empty or has an invalid line.

    A repeated job id is a retry by the user and counts once, at its earliest time.
    """
    arrivals: dict[str, Arrival] = {}
    try:
        with path.open("rb") as file:
            for arrival in _read_lines(path, file):
                earlier = arrivals.get(arrival.spec.id)
                if earlier is None or arrival.arrived_at < earlier.arrived_at:
                    arrivals[arrival.spec.id] = arrival
    except OSError as e:
        raise SettingsError(f"{path}: {e.strerror or e}") from e
    if not arrivals:
        raise SettingsError(f"{path}: no submissions in it")
    return sorted(arrivals.values(), key=lambda a: (a.arrived_at, a.spec.id))


def _read_lines(path: Path, file: Any) -> Iterator[Arrival]:
    validate = fastjsonschema.compile(load_schema())
    for number, line in enumerate(file, 1):
        if not line.strip():
            continue
        try:
            value = orjson.loads(line)
        except orjson.JSONDecodeError as e:
            raise SettingsError(f"{path}: line {number}: not JSON: {e}") from e
        try:
            validate(value)
        except fastjsonschema.JsonSchemaValueException as e:
            raise SettingsError(f"{path}: line {number}: {e.message.removeprefix('data.')[:200]}") from e
        try:
            arrived_at = datetime.fromisoformat(value["at"]).timestamp()
        except ValueError as e:
            raise SettingsError(f"{path}: line {number}: at: {e}") from e
        yield Arrival(arrived_at, msgspec.convert(value, Submission).to_spec(round(arrived_at * 1000)))
