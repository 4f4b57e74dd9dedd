"""Election, renewal and stepping down.

The bounds and what they rest on:
- The lease ends at the state service no earlier than TTL after the service got the renewal, which
  is after it was sent. Clocks drift apart by up to 0.05%, so counted from the *sending*, TTL less
  0.1% is safe; MARGIN is for the time between looking at the clock and an answer leaving.
- The term rises with each election, in the same transaction that takes the leader's key.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from datetime import datetime, timedelta

import msgspec

from roseweir.clock import NEVER, pause, steady
from roseweir.http import Unreachable
from roseweir.leadership.messages import LEADER, PREFIX, TERM, LeaderRecord
from roseweir.settings import Settings
from roseweir.state import Conflict, StateClient, Trouble
from roseweir.state.client import Expired, put

log = logging.getLogger(__name__)

TTL = timedelta(milliseconds=2500)
MARGIN = timedelta(milliseconds=100)
RENEW = timedelta(milliseconds=600)
WATCH = timedelta(seconds=10)
RETRY = timedelta(milliseconds=300)


class SteppedDown(Exception):
    """This node no longer leads."""


class Term:
    """One reign: the right to command, for as long as the lease surely lasts."""

    def __init__(self, number: int, lease: int, version: int, sent: datetime) -> None:
        self.number = number
        self.lease = lease
        self.version = version
        self.ended = asyncio.Event()
        self.reason = ""
        self.sure_until = NEVER
        self.renewed(sent)

    def renewed(self, sent: datetime) -> None:
        self.sure_until = max(self.sure_until, sent + TTL * 0.999 - MARGIN)

    def may_run(self) -> bool:
        return not self.ended.is_set() and steady() < self.sure_until

    def end(self, reason: str) -> None:
        if not self.ended.is_set():
            self.reason = reason
            self.ended.set()


Reign = Callable[[Term], Coroutine[None, None, None]]
# Asks the other controllers which leader they know: its name and term.
AskPeers = Callable[[], Coroutine[None, None, tuple[str, int] | None]]


class Leadership:
    def __init__(self, settings: Settings, state: StateClient, reign: Reign, ask_peers: AskPeers) -> None:
        self.settings = settings
        self._ask_peers = ask_peers
        self._successor: LeaderRecord | None = None
        self.state = state
        self._reign = reign
        self.leader: LeaderRecord | None = None
        self.term: Term | None = None
        self.faults = 0

    async def run(self) -> None:
        while True:
            try:
                revision = await self._look()
                if self.leader is None:
                    term = await self._campaign()
                    if term is not None:
                        await self._lead(term)
                    continue
                await self._follow(revision)
            except (Trouble, Unreachable, Expired) as e:
                log.debug("leadership: %s", e)
                await pause(RETRY)

    async def _look(self) -> int:
        entries, revision = await self.state.scan(PREFIX)
        self._learn(next((e.value for e in entries if e.key == LEADER), None))
        return revision

    def _learn(self, value: object) -> None:
        found = None if value is None else msgspec.convert(value, LeaderRecord)
        if found is not None and (self.leader is None or found.term != self.leader.term):
            log.info("leader is %s, term %d", found.name, found.term)
        self.leader = found

    async def _follow(self, revision: int) -> None:
        while self.leader is not None:
            changes = await self.state.watch(PREFIX, revision, WATCH)
            if changes is None:
                return
            items, revision = changes
            for item in items:
                if item.key == LEADER:
                    self._learn(item.value)

    async def _campaign(self) -> Term | None:
        sent = steady()
        lease = await self.state.hold(TTL)
        entry = await self.state.get(TERM)
        number = 1 if entry is None else int(entry.value) + 1
        record = LeaderRecord(self.settings.name, self.settings.back, number, lease)
        guards = [(LEADER, 0), (TERM, 0 if entry is None else entry.version)]
        ops = [put(LEADER, msgspec.to_builtins(record), lease), put(TERM, number)]
        try:
            version = await self.state.txn(guards, ops)
        except Conflict:
            await pause(RETRY / 3)
            return None
        except Unreachable:
            # It may have run: the key tells. If it runs later, the key lapses with its lease.
            found = await self.state.get(LEADER)
            if found is None or found.value.get("lease") != lease:
                return None
            version = found.version
        self.leader = record
        return Term(number, lease, version, sent)

    async def _lead(self, term: Term) -> None:
        log.info("elected: term %d", term.number)
        self.term = term
        self._successor = None
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._renew(term))
                group.create_task(self._until_ended(term))
                group.create_task(self._reign(term))
        except* SteppedDown:
            pass
        except* Exception:
            # A fault of ours must not take the users' API down with it: another node may lead.
            log.exception("term %d failed", term.number)
            term.end("a fault, see above")
            self.faults += 1
            await pause(TTL)
        finally:
            term.end("ended")
            self.term = None
            # A node without the state service can still send workers on, until it reads for itself.
            self.leader = self._successor
            log.info("stepped down from term %d: %s", term.number, term.reason)

    async def _until_ended(self, term: Term) -> None:
        await term.ended.wait()
        raise SteppedDown(term.reason)

    async def _renew(self, term: Term) -> None:
        failing = False
        while True:
            sent = steady()
            try:
                await self.state.extend(term.lease, patience=TTL / 2)
                term.renewed(sent)
                if failing:
                    log.info("renewals go through again")
                failing = False
                wait = RENEW - (steady() - sent)
            except Expired:
                term.end("the lease ran out")
                return
            except (Trouble, Unreachable) as e:
                # An outage ends with all leases at their full time, so the key may still be ours.
                log.log(logging.DEBUG if failing else logging.INFO, "renewal failed, nothing new starts: %s", e)
                failing = True
                wait = RETRY
                if not term.may_run():
                    await self._look_around(term)
            await pause(wait)

    async def _look_around(self, term: Term) -> None:
        """A leader that alone lost the state service steps down as soon as a peer knows of a later term.

        It may answer reports for the whole hold-over, and workers stay with it as long as it does: for 18 s
        nothing started, while a new leader that no worker reported to gave their machines back (apart, log p2).
        """
        found = await self._ask_peers()
        if found is not None and found[1] > term.number:
            name, number = found
            self._successor = LeaderRecord(name, "", number, 0)
            term.end(f"{name} leads with term {number}")
