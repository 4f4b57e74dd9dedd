"""What happens next in chains. Pure: what is known of jobs goes in, what is to be done comes out.

A step is *free* once all that it follows is over for good: done, or cancelled where the settings skip that. Nothing is
kept of that which the jobs' own records do not tell: a chain whose marks are old is brought up to date by the ends
since.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from roseweir.chains.model import Chain, Step
from roseweir.chains.settings import ChainSettings


@dataclass(slots=True)
class Todo:
    """What a look at one chain asks for."""

    free: list[int] = field(default_factory=list)  # steps that may start now
    cancel: list[int] = field(default_factory=list)  # steps that have to end, and are not over
    ended: str = ""  # the chain's state, if it is over


def mark(chain: Chain, job: str, state: str, now_ms: int) -> bool:
    """A step's job is over, durably. Whether that is news."""
    for step in chain.steps:
        if step.job == job and not step.outcome:
            step.outcome = state
            step.ended_ms = now_ms
            return True
    return False


def look(chain: Chain, settings: ChainSettings, is_over: Callable[[str], bool]) -> Todo:
    """`is_over`: whether a job of an older chain, which this one's delivery waits for, has ended in whatever way."""
    todo = Todo()
    if chain.ended:
        return todo
    lost = [n for n, step in enumerate(chain.steps) if step.outcome == "cancelled"]
    if lost and settings.on_cancel == "stop":
        # What follows a step that was cancelled will never have what it needs.
        for n in _all_after(chain, lost):
            if not chain.steps[n].outcome:
                todo.cancel.append(n)
    clear = all(is_over(job) for job in chain.behind)
    for n, step in enumerate(chain.steps):
        if step.outcome or step.released_ms or n in todo.cancel:
            continue
        if all(_passed(chain.steps[before], settings) for before in step.after) and (clear or not step.delivers):
            todo.free.append(n)
    if all(step.outcome for step in chain.steps):
        delivered = any(step.outcome == "done" and step.delivers for step in chain.steps)
        superseded = any(step.outcome == "superseded" for step in chain.steps)
        todo.ended = "superseded" if superseded and not delivered else "done"
    return todo


def _passed(step: Step, settings: ChainSettings) -> bool:
    return step.outcome == "done" or (step.outcome == "cancelled" and settings.on_cancel == "skip")


def _all_after(chain: Chain, numbers: Iterable[int]) -> set[int]:
    found: set[int] = set()
    border = list(numbers)
    while border:
        for n in chain.followers(border.pop()):
            if n not in found:
                found.add(n)
                border.append(n)
    return found


def overtaken(
    older: Chain, newest: Mapping[str, int], has_begun: Callable[[Step], bool], settings: ChainSettings
) -> list[int]:
    """Steps of the older chain that have to end, since newer ones are about all lots that they are for.

    `newest`: by lot, the newest revision that has been taken. A step that another one needs stays: with one lot of a
    join overtaken, the join waited for a step that never came, and the newer amendment waited for the join.
    """
    found = []
    for n, step in enumerate(older.steps):
        if step.outcome or not all(newest.get(lot, -1) > older.revision for lot in older.lots_of(step)):
            continue
        if not has_begun(step) or settings.superseded == "stop":
            found.append(n)
    while needed := [
        n for n in found if any(not older.steps[f].outcome and f not in found for f in older.followers(n))
    ]:
        found = [n for n in found if n not in needed]
    return found


def delivers_before(older: Chain, newer: Chain) -> list[str]:
    """Jobs of the older chain that may still deliver lots of the newer one, which must come after them.

    Those that are to be superseded count as well, until they are.
    """
    lots = set(newer.lots)
    return [step.job for step in older.steps if step.delivers and not step.outcome and lots & set(older.lots_of(step))]
