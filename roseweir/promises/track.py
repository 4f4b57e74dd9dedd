"""How promises stand: where each lot is, when it should be in the viewer, and what is at risk. Pure.

The forecast goes by the longest way through the steps that are left: for each the time that its class has taken from
its release to its end, at a stated quantile, less what has passed. What is told as kept or late rests on durable ends
and the clock alone, never on a forecast.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from roseweir.chains.model import Chain, Step

KEPT, LATE, IN_VIEWER_LATE, SUPERSEDED = "kept", "late", "late, in the viewer", "superseded"
ON_COURSE, AT_RISK, CANNOT = "on course", "at risk", "cannot be kept any more"
# Ends that a class's times are told from, and what a class takes of which nothing is known.
MEASURED, UNKNOWN_S = 64, 60.0
# A step that has taken longer than its class usually does is given this part of that time again.
AGAIN = 0.25


class Times:
    """Seconds from a step's release to its end, by class: what they took lately."""

    def __init__(self) -> None:
        self.known: dict[str, deque[float]] = {}

    def add(self, job_class: str, seconds: float) -> None:
        self.known.setdefault(job_class, deque(maxlen=MEASURED)).append(round(seconds, 1))

    def quantile(self, job_class: str, share: float) -> float | None:
        times = sorted(self.known.get(job_class, ()))
        return times[min(len(times) - 1, int(len(times) * share))] if times else None

    def encode(self) -> dict[str, list[float]]:
        """Enough to go on with."""
        return {name: list(times)[-16:] for name, times in sorted(self.known.items())}

    def decode(self, value: Mapping[str, Any]) -> None:
        for name, times in value.items():
            self.known[str(name)] = deque((float(t) for t in times), maxlen=MEASURED)


@dataclass(slots=True)
class Standing:
    """Of one chain with a promise."""

    chain: str
    team: str
    due_ms: int
    state: str
    stage: str  # the class of the step that it is at, "in the viewer" or "superseded"
    expected_ms: int  # when its last lot should be in the viewer
    slack_ms: int  # until when it could wait; below 0: it will be late
    lots: int
    lots_there: int
    waits_for: str | None = None
    held_by: str = ""  # the class of the step that takes the longest of what is left


def remaining(chain: Chain, usual: Callable[[Step], float], now_ms: int) -> tuple[float, str]:
    """Seconds of the longest way to the last delivery, and the class of its longest step."""
    ways: dict[int, tuple[float, float, str]] = {}

    def way(n: int) -> tuple[float, float, str]:
        known = ways.get(n)
        if known is not None:
            return known
        step = chain.steps[n]
        before = max((way(m) for m in step.after), default=(0.0, 0.0, ""))
        if step.outcome:
            ways[n] = (before[0], before[1], before[2])
            return ways[n]
        usually = usual(step)
        left = usually
        if step.released_ms:
            left = max(usually * AGAIN, usually - (now_ms - step.released_ms) / 1000)
        longest, name = (left, step.job_class) if left > before[1] else (before[1], before[2])
        ways[n] = (before[0] + left, longest, name)
        return ways[n]

    found = max((way(n) for n, step in enumerate(chain.steps) if step.delivers), default=(0.0, 0.0, ""))
    return found[0], found[2]


def lots_there(chain: Chain, by_ms: int | None = None) -> list[str]:
    """Lots all of whose deliveries have durably ended, by an instant if one is named."""
    late: set[str] = set()
    named: set[str] = set()
    for step in chain.steps:
        if not step.delivers:
            continue
        lots = chain.lots_of(step)
        named.update(lots)
        if step.outcome != "done" or (by_ms is not None and step.ended_ms > by_ms):
            late.update(lots)
    return [lot for lot in chain.lots if lot in named and lot not in late]


def look(chain: Chain, usual: Callable[[Step], float], margin_ms: int, now_ms: int) -> Standing:
    there = len(lots_there(chain))
    left_s, held_by = remaining(chain, usual, now_ms)
    expected = now_ms + round(left_s * 1000)
    delivered = max((s.ended_ms for s in chain.steps if s.delivers and s.outcome == "done"), default=0)
    current = next((s.job_class for s in chain.steps if not s.outcome and s.released_ms), "")
    stage = current or next((s.job_class for s in chain.steps if not s.outcome), "in the viewer")
    if chain.state == "superseded":
        state, stage, expected = SUPERSEDED, "superseded", chain.ended_ms
    elif there == len(chain.lots):
        state = KEPT if delivered <= chain.due_ms else IN_VIEWER_LATE
        stage, expected = "in the viewer", delivered
    elif now_ms > chain.due_ms:
        state = LATE
    elif chain.ended:
        state, stage = LATE, "not delivered"
    elif now_ms + left_s * 1000 * AGAIN > chain.due_ms:
        state = CANNOT
    elif expected + margin_ms > chain.due_ms or chain.state != "open":
        state = AT_RISK
    else:
        state = ON_COURSE
    slack = chain.due_ms - expected
    return Standing(
        chain.id, chain.team, chain.due_ms, state, stage, expected, slack, len(chain.lots), there, held_by=held_by
    )


RANK = {AT_RISK: 0, CANNOT: 1, LATE: 2, ON_COURSE: 3, IN_VIEWER_LATE: 4, KEPT: 5, SUPERSEDED: 6}


def hurry(standings: Iterable[Standing], chains: Mapping[str, Chain]) -> dict[str, int]:
    """Slack in milliseconds of the jobs that have to be first among their team's: steps of what is at risk.

    What cannot be kept any more does not push out what can, and what is on course needs no help.
    """
    found: dict[str, int] = {}
    for standing in standings:
        if standing.state != AT_RISK:
            continue
        for step in chains[standing.chain].steps:
            if not step.outcome and step.released_ms:
                found[step.job] = min(standing.slack_ms, found.get(step.job, standing.slack_ms))
    return found


@dataclass(slots=True)
class Night:
    """A night's report: lots promised for one morning."""

    promised: int = 0
    kept: int = 0
    late: int = 0
    superseded: int = 0
    worst_late_s: int = 0
    held_by: dict[str, int] = field(
        default_factory=dict
    )  # lots that were late, by the class of the step that held them

    def add(self, chain: Chain, held_by: str, now_ms: int) -> None:
        lots = len(chain.lots)
        self.promised += lots
        if chain.state == "superseded":
            self.superseded += lots
            return
        kept = len(lots_there(chain, chain.due_ms))
        self.kept += kept
        if now_ms > chain.due_ms and kept < lots:
            self.late += lots - kept
            delivered = max((s.ended_ms for s in chain.steps if s.delivers), default=0)
            until = delivered if chain.ended and delivered else now_ms
            self.worst_late_s = max(self.worst_late_s, round((until - chain.due_ms) / 1000))
            self.held_by[held_by or "unknown"] = self.held_by.get(held_by or "unknown", 0) + lots - kept

    def encode(self) -> list[Any]:
        return [self.promised, self.kept, self.late, self.superseded, self.worst_late_s, self.held_by]

    @classmethod
    def decode(cls, value: Any) -> "Night":
        *counts, held_by = value
        promised, kept, late, superseded, worst = map(int, counts)
        return cls(promised, kept, late, superseded, worst, {str(name): int(n) for name, n in held_by.items()})
