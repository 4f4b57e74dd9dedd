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
    lots: list[str] = []  # those of the amendment's lots that it is for; none: all


class Amendment(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """What a registry sends when a change of lots has landed."""

    id: str
    revision: int
    lots: list[str]
    steps: list[StepRequest]
    landed_ms: int = 0  # time of day, in milliseconds; 0: when it is accepted


def content_digest(amendment: Amendment) -> str:
    """Return a digest that tells apart two amendments with the same id and different content."""
    value = msgspec.to_builtins(amendment)
    value.pop("landed_ms", None)  # a repeated request may carry a new time
    return blake2b(orjson.dumps(value, option=orjson.OPT_SORT_KEYS), digest_size=12).hexdigest()
