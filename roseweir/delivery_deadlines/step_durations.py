"""Measured durations of steps, by class of jobs. Pure."""

from collections import deque
from collections.abc import Mapping
from typing import Any

# The latest ends that are kept of each class, and those of them that are stored.
MAX_DURATION_SAMPLES = 64
MAX_STORED_SAMPLES = 16
# Assumed, in seconds, for a class of which nothing is measured.
DEFAULT_STEP_DURATION_S = 60.0


class StepDurations:
    """The latest durations of each class: seconds from a step's release to its end."""

    def __init__(self) -> None:
        self.samples_by_class: dict[str, deque[float]] = {}

    def add(self, job_class: str, seconds: float) -> None:
        """Add the duration of a step that has ended."""
        self.samples_by_class.setdefault(job_class, deque(maxlen=MAX_DURATION_SAMPLES)).append(round(seconds, 1))

    def quantile(self, job_class: str, fraction: float) -> float | None:
        """Return the duration in seconds at a quantile (0 to 1), or None if nothing is measured of the class."""
        durations = sorted(self.samples_by_class.get(job_class, ()))
        return durations[min(len(durations) - 1, int(len(durations) * fraction))] if durations else None

    def encode(self) -> dict[str, list[float]]:
        """Return the value to store: the latest samples of each class, in the classes' order."""
        return {name: list(times)[-MAX_STORED_SAMPLES:] for name, times in sorted(self.samples_by_class.items())}

    def decode(self, value: Mapping[str, Any]) -> None:
        """Read what `encode` wrote.

        Raises:
            AttributeError, TypeError, ValueError: the value has not that form.
        """
        for name, times in value.items():
            self.samples_by_class[str(name)] = deque((float(t) for t in times), maxlen=MAX_DURATION_SAMPLES)
