"""Which silent machines hang and will go on, and which are gone. Pure.

A machine without power, or behind a cut, lets a connection attempt run out. One that hangs has an operating system
that takes the connection, and only its worker says nothing. So a silent machine is asked: one that takes the connection
is waited for, one that does not is given back sooner than patience alone would allow. Before, 200 machines that hung
for less than their lease were given back after two reports, and others booted for 50 s in their place (own day,
mass-fall at 1.8 times the size).

Bounds: a machine that hangs is waited for HANGS leases from its last report. One that takes no connection goes after
OVERDUE and MISSES attempts, if most of its zone is heard: what holds for it alone is not a cut, and its release proves
its tasks gone. One that could not be asked goes after `patience`, as if there were nobody to ask.
"""

import logging
from datetime import datetime, timedelta

from roseweir.clock import ZERO
from roseweir.placement.board import SEARCH, Board
from roseweir.placement.hearing import found_deaf, unsent
from roseweir.placement.model import Machine

log = logging.getLogger(__name__)

# A report comes a quarter of its interval late at most, and its answer may have been held: this much more is overdue.
OVERDUE = timedelta(seconds=2.5)
# How often a silent machine is asked, how long an attempt may take, and how many must fail.
ASK_GAP, ASK_PATIENCE, MISSES = timedelta(seconds=1), timedelta(milliseconds=500), 2
HANGS = 2


def patience(board: Board) -> timedelta:
    """How long a machine may be silent of which nothing else is known."""
    return min(board.settings.params.workers.report * 2 + SEARCH, board.lease)


def to_ask(board: Board, now: datetime) -> list[Machine]:
    """Silent machines that should be asked now, those silent for the shortest first: their tasks can still be saved."""
    overdue = board.settings.params.workers.report * 1.25 + OVERDUE
    silent = [
        m
        for m in board.machines.values()
        if not m.booting
        and not m.leaving
        and m.address
        and now - m.asked >= ASK_GAP
        and (m.in_doubt or board.silent(m, now) > overdue)
    ]
    silent.sort(key=lambda m: (board.silent(m, now), m.name))
    return silent


def note(board: Board, machine: Machine, asked: datetime, accepted: bool, now: datetime) -> None:
    """What came of asking. An attempt that ran out late says more about this node than about the machine.

    A report since then says that a silent machine lives, and nothing about one in doubt: its reports come all the time.
    """
    if machine.heard >= asked and not machine.in_doubt:
        return
    if accepted and not machine.in_doubt:
        machine.hangs, machine.misses = True, 0
    elif now - asked <= ASK_PATIENCE * 2:
        machine.hangs = False
        machine.misses += 1
        if machine.misses >= MISSES and found_deaf(machine, now):
            log.info("machine %s is heard, and neither answers nor commands reach it", machine.name)
            for key in unsent(machine):
                board.stop(machine.placements[key], ZERO, now)


def is_lost(board: Board, machine: Machine, now: datetime) -> bool:
    """Whether it should go back: it has been silent, and waiting for it pays no longer."""
    if machine.deaf:
        return now - machine.deaf_since > board.lease
    silent = board.silent(machine, now)
    if machine.hangs:
        return silent > board.lease * HANGS
    return silent > patience(board) or (
        machine.misses >= MISSES and silent > board.settings.params.workers.report * 1.25 + OVERDUE
    )


def is_awaited(board: Board, machine: Machine, now: datetime) -> bool:
    """Whether it counts as capacity: it runs, or is expected to go on."""
    return board.silent(machine, now) <= board.lease * (HANGS if machine.hangs else 1)
