"""Answers workers' reports, and sends the direct commands that cannot wait for one."""

import asyncio
import logging
from collections.abc import Callable
from datetime import datetime, timedelta

import msgspec
import orjson

from roseweir.bell import Bell
from roseweir.clock import NEVER, pause, seconds, steady
from roseweir.connections import Side
from roseweir.http import Connect, Request, Response, Unreachable, json_response
from roseweir.leadership.leadership import Term
from roseweir.membership.judge import Scouts
from roseweir.placement.board import Board
from roseweir.placement.hearing import answered
from roseweir.placement.learning import Renewal
from roseweir.placement.model import Machine
from roseweir.workers import messages as wire

log = logging.getLogger(__name__)

# An idle machine's answer waits a little for work; it has nothing to report meanwhile.
IDLE_HOLD = timedelta(milliseconds=1500)
# A report may have freed room: its answer waits for the next pass, and with orders being recorded for the machine,
# for the record.
SETTLE, RECORD_HOLD = timedelta(milliseconds=220), timedelta(milliseconds=400)
DIRECT_PATIENCE = timedelta(seconds=1)
# Nothing starts while the last news of cancels is older: the watch is answered each second.
START_NEWS = timedelta(seconds=5)
# Direct commands at once: one in so many of this node's sockets, and so many at least.
DIRECT_SHARE, DIRECT_LEAST = 25, 8


class WorkerDesk:
    """The leader's side of /hello and /do, for one term."""

    def __init__(
        self,
        board: Board,
        term: Term,
        recorded: Bell,
        work: asyncio.Event,
        connect: Connect,
        may_hold: Callable[[], bool],
    ) -> None:
        self._connect = connect
        self._may_hold = may_hold  # there is room for a connection that waits
        self.board = board
        self.term = term
        self.recorded = recorded
        self.work = work
        self.scouts = Scouts()  # workers sent to look for another leader
        self.news_at = NEVER  # every cancel accepted up to then is known

    def may_answer(self, now: datetime) -> bool:
        """Past the hold-over another leader may have accepted cancels that we do not know of.

        It counts from the renewal of our lease as well. A leader whose renewals failed while its watch went on kept
        leases alive for longer than its successor counts on (`Board.unproven_until`), and tasks ran twice.
        """
        return now - self.known_at < self.board.holdover and not self.term.ended.is_set()

    @property
    def known_at(self) -> datetime:
        """Up to when every cancel is known, and nobody else led."""
        return min(self.news_at, self.term.held_at)

    def may_start(self, now: datetime) -> bool:
        """Not only the lease is sure: a lease that an outage left to us is renewed before the first news comes, and
        tasks of jobs that others had cancelled meanwhile were started."""
        return self.term.may_run() and now - self.news_at < START_NEWS

    async def report(self, request: Request) -> Response:
        try:
            report = msgspec.convert(orjson.loads(request.body), wire.Report)
        except (orjson.JSONDecodeError, msgspec.ValidationError, ValueError) as e:
            return json_response(400, {"error": str(e)})
        if report.term > self.board.term:
            self.term.end(f"{report.machine} has seen term {report.term}")
            return json_response(421, wire.misdirected(None))
        now = steady()
        if not self.may_answer(now):
            return json_response(503, {"error": "no news from the state service"})
        try:
            machine = self.board.take_report(report, now)
        except ValueError as e:
            return json_response(400, {"error": str(e)})
        if machine is None:
            if report.machine in self.board.gone:
                return json_response(503, {"error": "released"})
            renewal = self.board.learning.renewal(report, now)
            if renewal is Renewal.REFUSED:
                return json_response(503, {"error": "not known to hear this node"})
            if renewal is Renewal.NONE:
                return json_response(200, wire.answer(None, []))
            return json_response(200, wire.answer(self.board.term, self.board.learning.halts_for(report)))
        if self.scouts.sends_away(machine.name, bool(machine.placements), now):
            return json_response(503, {"error": "look for another leader"})
        self.work.set()
        await self._hold(machine, report.seq, now)
        now = steady()
        if not self.may_answer(now):
            return json_response(503, {"error": "no news from the state service"})
        if (machine.session, machine.seq) != (report.session, report.seq):
            # Overtaken while it was held. It renews the lease all the same, and no answer does that without the halts.
            return json_response(200, wire.answer(self.board.term, self.board.halts(machine)))
        response = json_response(
            200, wire.answer(self.board.term, self.board.orders(machine, now, self.may_start(now)))
        )
        answered(machine, report.seq, now)
        response.side = Side.WORKER if machine.placements else Side.IDLE_WORKER
        return response

    async def _hold(self, machine: Machine, seq: int, since: datetime) -> None:
        # Give the planner its turn: what this report freed may be filled at once.
        idle_hold = min(IDLE_HOLD, self.board.settings.params.workers.report)
        settle = since + SETTLE
        while machine.seq == seq:
            ready, awaited = self.board.due_orders(machine)
            if ready:
                return
            now = steady()
            if machine.name in self.board.drained:
                return
            if machine.shown and not machine.placements and not machine.exits and machine.recall_at is None:
                if not self._may_hold():
                    return
                until = since + idle_hold
            elif awaited:
                until = since + RECORD_HOLD
                if machine.name in self.board.headroom.kept:
                    until = max(until, since + idle_hold + RECORD_HOLD)
            elif machine.name in self.board.headroom.kept and machine.shown and not machine.exits and self._may_hold():
                # What is kept there is for work that must start at once, without waiting for the next report.
                until = since + idle_hold
            elif self.board.changed and machine.shown and self.board.may_take_more(machine):
                until = settle
            else:
                return
            if now >= until or not self.term.may_run():
                return
            await self.recorded.wait(machine.name, until - now)

    async def direct(self) -> None:
        """Halts that mates of a gang must hear together go out at once.

        Only to machines that are heard, and to so many at a time: after a zone was cut, halts for hundreds of
        machines that cannot answer each held a socket until its patience ended, and a silent machine hears of
        them first with its next report anyway.
        """
        board = self.board
        sockets = max(DIRECT_LEAST, board.settings.params.limits.sockets // DIRECT_SHARE)
        turns = asyncio.Semaphore(sockets)
        async with asyncio.TaskGroup() as group:
            while True:
                await pause(seconds(0.05))
                now = steady()
                if not board.urgent or not self.may_answer(now):
                    continue
                for name in sorted(board.urgent):
                    machine = board.machines.get(name)
                    if machine is not None and machine.address and board.is_heard(machine, now):
                        group.create_task(self._halt(machine, turns))
                board.urgent.clear()

    async def _halt(self, machine: Machine, turns: asyncio.Semaphore) -> None:
        async with turns:
            # What it is to be told now: it may have told meanwhile that all is gone.
            orders = self.board.halts(machine)
            if not orders or not self.may_answer(steady()):
                return
            send = self._connect(machine.address, 0)
            try:
                body = wire.direct(self.board.term, machine.session, orders)
                reply = await send("POST", "/do", body, patience=DIRECT_PATIENCE)
                report = msgspec.convert(reply.json(), wire.Report)
            except (Unreachable, msgspec.ValidationError) as e:
                log.debug("direct halt of %s: %s", machine.name, e)
                return
        if report.term > self.board.term:
            self.term.end(f"{machine.name} has seen term {report.term}")
        elif reply.status == 200:
            self.board.learn_direct(report, steady())
