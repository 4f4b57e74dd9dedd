"""What controllers tell each other and operators about who is served."""

from collections.abc import Mapping
from dataclasses import asdict
from typing import Any

import msgspec

from roseweir.service_levels.accounting import ServiceLevel, TeamAndClass, sum_by
from roseweir.service_levels.largest_jobs import SizeCounts


class RejectedRequests(msgspec.Struct, rename={"instance_id": "instance", "uptime_s": "up_s"}):
    """Submissions that a node sent away since its process started, and how long ago that was."""

    instance_id: str
    uptime_s: float
    rows: list[tuple[str, str, int]]

    def counts_by_team_and_class(self) -> dict[TeamAndClass, int]:
        return {(team, job_class): count for team, job_class, count in self.rows}


def encode_rejected_requests(instance: str, up_s: float, counts: Mapping[TeamAndClass, int]) -> dict[str, Any]:
    rows = [(team, job_class, count) for (team, job_class), count in sorted(counts.items())]
    return {"instance": instance, "up_s": up_s, "rows": rows}


def service_level_view(
    levels: Mapping[TeamAndClass, ServiceLevel], gap_count: int, sizes: Mapping[str, SizeCounts]
) -> dict[str, Any]:
    """{"teams": {name: standing}, "classes": {name: standing}, "rows": [...], "largest": {class: size}, "gaps"}."""
    return {
        "teams": {name: _level_view(level) for name, level in sum_by(0, levels).items()},
        "classes": {name: _level_view(level) for name, level in sum_by(1, levels).items()},
        "rows": [{"team": row[0], "class": row[1]} | _level_view(level) for row, level in sorted(levels.items())],
        "largest": {name: asdict(size) for name, size in sizes.items()},
        "gaps": gap_count,
    }


def _level_view(level: ServiceLevel) -> dict[str, Any]:
    return asdict(level) | {"served": round(level.served_fraction, 3)}
