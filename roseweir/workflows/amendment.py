"""Amendments, in the form in which registries send them."""

from hashlib import blake2b
from typing import Any

import msgspec
import orjson


class StepRequest(
    msgspec.Struct,
    omit_defaults=True,
    forbid_unknown_fields=True,
    rename={"submission": "job", "dependencies": "after"},
):
    """One step: its job, in the form of a submission, and the jobs of the same amendment that it depends on."""

    submission: dict[str, Any]
    dependencies: list[str] | None = None  # None: by the order of classes in the settings
    lots: list[str] = []  # the amendment's lots that it processes; empty: all of them


class Amendment(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """The request that a registry sends when changed lots have landed."""

    id: str
    revision: int
    lots: list[str]
    steps: list[StepRequest]
    landed_ms: int = 0  # in milliseconds since the epoch; 0: when it is accepted


def content_digest(amendment: Amendment) -> str:
    """Return a digest that distinguishes two amendments with the same id and different content."""
    value = msgspec.to_builtins(amendment)
    value.pop("landed_ms", None)  # may differ in a repeated request
    return blake2b(orjson.dumps(value, option=orjson.OPT_SORT_KEYS), digest_size=12).hexdigest()
