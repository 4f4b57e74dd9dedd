"""Messages about service levels, between controllers and to operators."""

from collections.abc import Mapping
from dataclasses import asdict
from typing import Any

import msgspec

from roseweir.service_levels.largest_jobs import SizeCounts
from roseweir.service_levels.service_level import ServiceLevel, TeamAndClass, sum_by_class, sum_by_team


class RejectedRequests(msgspec.Struct, rename={"instance_id": "instance", "uptime_s": "up_s"}):
    """Submissions that a node has rejected with a time to retry, since its process started `uptime_s` seconds ago."""

    instance_id: str
    uptime_s: float
    rows: list[tuple[str, str, int]]

    def counts_by_team_and_class(self) -> dict[TeamAndClass, int]:
        """Return the number of rejected requests of each team and class."""
        return {(team, job_class): count for team, job_class, count in self.rows}


def encode_rejected_requests(instance_id: str, uptime_s: float, counts: Mapping[TeamAndClass, int]) -> dict[str, Any]:
    """Return `RejectedRequests` as JSON; `instance_id` identifies the process, `uptime_s` is its age in seconds."""
    rows = [(team, job_class, count) for (team, job_class), count in sorted(counts.items())]
    return {"instance": instance_id, "up_s": uptime_s, "rows": rows}


def service_level_view(
    levels: Mapping[TeamAndClass, ServiceLevel], gap_count: int, largest_jobs: Mapping[str, SizeCounts]
) -> dict[str, Any]:
    """Return the answer to `served`: service levels by team, by class and by both, largest jobs and gaps.

    Its shape: {"teams": {name: level}, "classes": {name: level}, "rows": [level], "largest": {class: counts},
    "gaps": number of times that ends were lost}.
    """
    return {
        "teams": {name: _level_view(level) for name, level in sum_by_team(levels).items()},
        "classes": {name: _level_view(level) for name, level in sum_by_class(levels).items()},
        "rows": [{"team": row[0], "class": row[1]} | _level_view(level) for row, level in sorted(levels.items())],
        "largest": {job_class: asdict(counts) for job_class, counts in largest_jobs.items()},
        "gaps": gap_count,
    }


def _level_view(level: ServiceLevel) -> dict[str, Any]:
    return asdict(level) | {"served": round(level.served_fraction, 3)}
