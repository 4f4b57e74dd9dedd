"""What controllers tell each other and operators about who is served."""

from collections.abc import Mapping
from dataclasses import asdict
from typing import Any

import msgspec

from roseweir.served.account import Row, Standing, by
from roseweir.served.largest import Size


class Turned(msgspec.Struct):
    """Submissions that a node sent away since its process started, and how long ago that was."""

    instance: str
    up_s: float
    rows: list[tuple[str, str, int]]

    def counts(self) -> dict[Row, int]:
        return {(team, job_class): count for team, job_class, count in self.rows}


def turned(instance: str, up_s: float, counts: Mapping[Row, int]) -> dict[str, Any]:
    rows = [(team, job_class, count) for (team, job_class), count in sorted(counts.items())]
    return {"instance": instance, "up_s": up_s, "rows": rows}


def describe(standings: Mapping[Row, Standing], gaps: int, sizes: Mapping[str, Size]) -> dict[str, Any]:
    """{"teams": {name: standing}, "classes": {name: standing}, "rows": [...], "largest": {class: size}, "gaps"}."""
    return {
        "teams": {name: _shown(at) for name, at in by(0, standings).items()},
        "classes": {name: _shown(at) for name, at in by(1, standings).items()},
        "rows": [{"team": row[0], "class": row[1]} | _shown(at) for row, at in sorted(standings.items())],
        "largest": {name: asdict(size) for name, size in sizes.items()},
        "gaps": gaps,
    }


def _shown(at: Standing) -> dict[str, Any]:
    return asdict(at) | {"served": round(at.served, 3)}
