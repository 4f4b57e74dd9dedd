"""Measured durations of steps, by job class. Pure."""

from collections import deque
from collections.abc import Mapping
from typing import Any

# Number of latest durations of each class that are kept in memory, and that are stored.
MAX_DURATION_SAMPLES = 64
MAX_STORED_SAMPLES = 16
# Assumed for a class without measured durations.
DEFAULT_STEP_DURATION_S = 60.0


class StepDurations:
    """The latest durations of each class: seconds from a step's release to its end."""

    def __init__(self) -> None:
        self.samples_by_class: dict[str, deque[float]] = {}

    def add(self, job_class: str, seconds: float) -> None:
        """Add the duration of a step that has ended."""
        self.samples_by_class.setdefault(job_class, deque(maxlen=MAX_DURATION_SAMPLES)).append(round(seconds, 1))

    def quantile(self, job_class: str, fraction: float) -> float | None:
        """Return the duration in seconds at a quantile (0 to 1), or None if the class has no measured durations."""
        durations = sorted(self.samples_by_class.get(job_class, ()))
        return durations[min(len(durations) - 1, int(len(durations) * fraction))] if durations else None

    def encode(self) -> dict[str, list[float]]:
        """Return the value to store: the latest durations of each class, sorted by class."""
        return {
            job_class: list(samples)[-MAX_STORED_SAMPLES:]
            for job_class, samples in sorted(self.samples_by_class.items())
        }

    def decode(self, value: Mapping[str, Any]) -> None:
        """Load a value that `encode` returned.

        Raises:
            AttributeError, TypeError, ValueError: the value does not have that form.
        """
        for job_class, samples in value.items():
            self.samples_by_class[str(job_class)] = deque(
                (float(sample) for sample in samples), maxlen=MAX_DURATION_SAMPLES
            )
