"""Bounds of the numbers that users and other systems send.

A number is brought within its bounds as the record that holds it is made, whether from a request or from the store. So
sums with an instant, products and quotients that are computed from it later stay within the range of their types.
"""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from roseweir.clock import FOREVER, MAX_DURATION, NEVER

# Seconds: shorter durations than the first can't be represented, longer ones than the second are never planned with.
MIN_DURATION_S = 1e-6
MAX_DURATION_S = MAX_DURATION.total_seconds()
# Unix time in milliseconds. The instant that it stands for on the monotonic clock has to lie before FOREVER as well.
MAX_UNIX_MS = (FOREVER - NEVER).days * 24 * 3600 * 1000

# CPUs, GPUs and GB. Shortages below the first are ignored as rounding errors (`CAPACITY_TOLERANCE`); the second is the
# most that a submission may ask for.
MIN_AMOUNT = 1e-6
MAX_AMOUNT = 1e12


def bounded_amount(value: float) -> float:
    """Return the nearest amount of a resource that can be calculated with; 0 or below becomes 0.0.

    Amounts above 0 stay above 0: a task that needs a share of a GPU, however small, does not fit a machine without any.
    """
    return min(max(value, MIN_AMOUNT), MAX_AMOUNT) if value > 0 else 0.0


def bounded_duration_s(value: float) -> float:
    """Return the nearest duration, in seconds, that can be planned with; 0 or below becomes 0.0."""
    return min(max(value, MIN_DURATION_S), MAX_DURATION_S) if value > 0 else 0.0


def bounded_unix_ms(value: int) -> int:
    """Return the nearest Unix time, in milliseconds, that can be compared with others."""
    return min(max(value, 0), MAX_UNIX_MS)


def bound_fields(record: msgspec.Struct, names: Iterable[str], bound: Callable[[Any], float]) -> None:
    """Replace the named fields of a record, frozen or not, by their bounded values; None is left as it is."""
    for name in names:
        value = getattr(record, name)
        if value is not None and (bounded := bound(value)) != value:
            msgspec.structs.force_setattr(record, name, bounded)
