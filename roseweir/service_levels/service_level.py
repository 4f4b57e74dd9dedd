"""The service level of one team or one class of jobs: its job counts, and the fraction that is served. Pure."""

from collections.abc import Mapping
from dataclasses import dataclass, fields

# Team and class. Rows that do not fit into the stored account are merged under `OTHER_ROW`.
TeamAndClass = tuple[str, str]
# Below this served fraction a team or class is reported as UNDER HALF.
MIN_SERVED_FRACTION = 0.5


@dataclass(slots=True)
class EndedJobCounts:
    """Ended jobs of one team and class, and its submissions that were rejected with a time to retry."""

    done: int = 0
    cancelled: int = 0
    cancelled_after_start: int = 0  # part of `cancelled`
    rejected_requests: int = 0

    def add(self, other: "EndedJobCounts") -> None:
        """Add the counts of another row to this one."""
        for counter in fields(self):
            setattr(self, counter.name, getattr(self, counter.name) + getattr(other, counter.name))


@dataclass(slots=True)
class ServiceLevel:
    """Service level of a team or class. The counts are of jobs, unless a field's name or comment says otherwise."""

    accepted: int = 0
    started: int = 0
    done: int = 0
    cancelled: int = 0
    turned_away: int = 0  # rejected requests, retries included
    waiting: int = 0  # not started yet
    tasks_waiting: int = 0
    tasks_running: int = 0
    services: int = 0  # live services; a service is never done
    # Of services: replicas requested, and those running.
    replicas: int = 0
    replicas_up: int = 0

    def add(self, other: "ServiceLevel") -> None:
        """Add the counts of another row to this one."""
        for counter in fields(self):
            setattr(self, counter.name, getattr(self, counter.name) + getattr(other, counter.name))

    @property
    def served_fraction(self) -> float:
        """Return the lowest of the fractions (0 to 1) of requests not rejected, jobs started and replicas up.

        Jobs in progress count as started, whether or not they will complete.
        """
        fractions = [1.0]
        if self.accepted + self.turned_away:
            fractions.append(self.accepted / (self.accepted + self.turned_away))
        if self.accepted - self.cancelled > 0:
            fractions.append(min(1.0, self.started / (self.accepted - self.cancelled)))
        if self.replicas:
            fractions.append(self.replicas_up / self.replicas)
        return min(fractions)


def sum_by_team(levels: Mapping[TeamAndClass, ServiceLevel]) -> dict[str, ServiceLevel]:
    """Return the service level of each team, summed over its classes, sorted by team."""
    return _sum_by_name({row: row[0] for row in levels}, levels)


def sum_by_class(levels: Mapping[TeamAndClass, ServiceLevel]) -> dict[str, ServiceLevel]:
    """Return the service level of each class, summed over all teams, sorted by class."""
    return _sum_by_name({row: row[1] for row in levels}, levels)


def _sum_by_name(
    names: Mapping[TeamAndClass, str], levels: Mapping[TeamAndClass, ServiceLevel]
) -> dict[str, ServiceLevel]:
    sums: dict[str, ServiceLevel] = {}
    for row, level in levels.items():
        sums.setdefault(names[row], ServiceLevel()).add(level)
    return dict(sorted(sums.items()))


def format_service_level(name: str, level: ServiceLevel) -> str:
    """Return one line about a team or class, for the log and for `status`."""
    text = f"{name}: {level.accepted} jobs accepted, {level.started} started"
    text += f", {level.done} done, {level.cancelled} cancelled"
    if level.replicas:
        text += f", {level.replicas_up} of {level.replicas} replicas up"
    if level.turned_away:
        text += f", {level.turned_away} requests sent away"
    if level.tasks_waiting:
        text += f", {level.waiting} jobs and {level.tasks_waiting} tasks wait"
    return text + (", UNDER HALF" if level.served_fraction < MIN_SERVED_FRACTION else "")
