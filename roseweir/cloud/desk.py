"""The leader's dealings with the cloud: list, rent, adopt, give back."""

import asyncio
import logging
from collections.abc import Callable, Container, Iterable
from datetime import datetime, timedelta

import msgspec

from roseweir.clock import NEVER, pause, seconds, steady, wall_ms
from roseweir.cloud.client import RELEASE_MOST, CloudClient, NoCapacity
from roseweir.cloud.messages import BOOTING, FAILED, Listed
from roseweir.cloud.plan import REFUSED, Offer, Want, surplus, wanted
from roseweir.cloud.silence import ASK_PATIENCE, note, to_ask
from roseweir.http import Connect, Unreachable
from roseweir.placement.board import SEARCH, Board
from roseweir.placement.model import Machine
from roseweir.placement.plan import Pass
from roseweir.state import Trouble
from roseweir.workers import messages as wire

log = logging.getLogger(__name__)

DECIDE = timedelta(seconds=1)
PRICES = timedelta(seconds=60)
RENT_TRIES = 4
# Silent machines asked at once: one in so many of this node's sockets, and so many at least.
ASK_SHARE, ASK_LEAST = 25, 8
# How long CPU-only work may use idle GPUs' CPUs after no machines could be had for it.
SPILL = timedelta(seconds=30)


# What else to rent beside these wants, and which machines to keep ready: names and why.
PlanAhead = Callable[[list[Want], dict[Offer, datetime], datetime], tuple[list[Want], dict[str, str]]]


class CloudDesk:
    def __init__(
        self,
        cloud: CloudClient,
        board: Board,
        may_act: Callable[[], bool],
        connect: Connect,
        ahead: Iterable[PlanAhead] = (),
    ) -> None:
        self._connect = connect
        self.cloud = cloud
        self.board = board
        self._may_act = may_act  # another may lead otherwise, and machines that left us report to it
        self._ahead = list(ahead)
        self.list_read = NEVER  # when it was last read
        self.last_pass = Pass()
        self.refused: dict[Offer, datetime] = {}
        self._requests = 0
        self._renting: set[Offer] = set()
        self._listed_at: dict[str, datetime] = {}
        self._hear_until = NEVER

    def hear_first(self) -> None:
        """This node stood still: whom it has not heard meanwhile need not be silent."""
        self._hear_until = steady() + self.board.settings.params.workers.report * 2 + SEARCH
        self.board.talking_since.clear()

    async def run(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self._list())
            group.create_task(self._prices())
            group.create_task(self._decide(group))
            group.create_task(self._ask_silent(group))

    async def _prices(self) -> None:
        while True:
            await pause(PRICES)
            try:
                for kind in await self.cloud.catalog():
                    self.board.catalog[kind.name] = kind
            except (Trouble, Unreachable) as e:
                log.info("catalog not read: %s", e)

    async def _list(self) -> None:
        lag = self.board.settings.params.cloud.list_lag
        while True:
            try:
                asked = steady()
                self._learn(await self.cloud.machines(), steady())
                self.list_read = asked
            except (Trouble, Unreachable, NoCapacity) as e:
                log.info("machine list not read: %s", e)
            await pause(max(seconds(2), lag / 2))

    def _learn(self, listed: list[Listed], now: datetime) -> None:
        """Adopt what the list shows and nobody knew; drop what has failed.

        The list lags, so what it does not show proves nothing for a while.
        """
        board = self.board
        for entry in listed:
            if entry.name in board.gone:
                continue
            kind = board.catalog.get(entry.type)
            if kind is None:
                continue
            self._listed_at[entry.name] = now
            machine = board.machines.get(entry.name)
            if machine is None:
                machine = Machine(entry.name, kind, entry.zone, entry.spot, known_since=now)
                machine.booting = True
                machine.rented_at = now - seconds(entry.age_s)
                board.machines[entry.name] = machine
                log.debug("machine %s found in the list: %s", entry.name, entry.state)
            elif machine.rented_at == NEVER:
                machine.rented_at = now - seconds(entry.age_s)
            if entry.state == FAILED:
                board.lapse(machine, now, "the cloud lists it as failed")
                machine.leaving = True
            elif entry.state == BOOTING and machine.booting and not machine.address:
                machine.rented_at = min(machine.rented_at, now - seconds(entry.age_s))
        unseen = board.settings.params.cloud.list_lag * 4 + board.lease
        for machine in list(board.machines.values()):
            last = max(self._listed_at.get(machine.name, machine.known_since), machine.heard, board.began)
            if now - last > unseen and not machine.placements:
                board.forget_machine(machine.name, now, "neither listed nor heard of")
                self._listed_at.pop(machine.name, None)

    async def _decide(self, group: asyncio.TaskGroup) -> None:
        # A new leader first hears what is there.
        await pause(max(seconds(3), self.board.settings.params.workers.report))
        while True:
            now = steady()
            if not self._may_act() or now < self._hear_until:
                await pause(DECIDE)
                continue
            wants, exhausted = wanted(self.board, self.last_pass, self.refused, wall_ms(), now)
            if exhausted:
                self.board.spill_until = now + SPILL
            kept: dict[str, str] = {}
            for plan_ahead in self._ahead:
                more, keep = plan_ahead(wants, self.refused, now)
                wants += more
                kept |= keep
            for want in wants:
                offer = (want.type_name, want.zone, want.spot)
                if offer not in self._renting and len(self._renting) < 6:
                    self._renting.add(offer)
                    group.create_task(self._rent(want, offer))
            await self._release(now, kept)
            await pause(DECIDE)

    async def _ask_silent(self, group: asyncio.TaskGroup) -> None:
        most = max(ASK_LEAST, self.board.settings.params.limits.sockets // ASK_SHARE)
        asking = 0

        async def ask(machine: Machine) -> None:
            nonlocal asking
            asked = machine.asked = steady()
            before = (machine.session, machine.seq)
            asking += 1
            accepted = True
            try:
                reply = await self._connect(machine.address, 0)("GET", "/status", patience=ASK_PATIENCE)
                self.board.learning.learn_asked(msgspec.convert(reply.json(), wire.Report), before, steady())
            except Unreachable as e:
                accepted = e.connected
            except msgspec.ValidationError as e:
                log.debug("what %s answered is no report: %s", machine.name, e)
            finally:
                asking -= 1
            note(self.board, machine, asked, accepted, steady())

        while True:
            await pause(DECIDE / 2)
            if self._may_act() and steady() >= self._hear_until:
                for machine in to_ask(self.board, steady())[: most - asking]:
                    group.create_task(ask(machine))

    async def _rent(self, want: Want, offer: Offer) -> None:
        """One requisition, never used again by anybody; repeating it unanswered rents nothing twice."""
        self._requests += 1
        request = f"r-{self.board.term}-{self._requests}"
        try:
            for _ in range(RENT_TRIES):
                asked = steady()
                try:
                    names = await self.cloud.rent(request, *offer, want.count, self._may_act)
                except NoCapacity:
                    self.refused[offer] = steady() + REFUSED
                    return
                except Unreachable:
                    continue
                except Trouble as e:
                    log.info("rental failed: %s", e)
                    self.refused[offer] = steady() + seconds(2)
                    return
                if len(names) < want.count:
                    self.refused[offer] = steady() + REFUSED
                self.board.obtained.add(offer)
                kind = " (spot)" * offer[2] + " ahead of demand" * want.ahead + " for one that is drained" * want.spare
                log.info("rented %d of %d %s in %s%s", len(names), want.count, *offer[:2], kind)
                for name in names:
                    self._expect(name, offer, asked)
                    if want.spare and name in self.board.machines:
                        self.board.machines[name].spare = True
                return
        finally:
            self._renting.discard(offer)

    def _expect(self, name: str, offer: Offer, asked: datetime) -> None:
        board = self.board
        machine = board.machines.get(name)
        if machine is None and name not in board.gone:
            machine = Machine(name, board.catalog[offer[0]], offer[1], offer[2], known_since=steady())
            machine.booting = True
            board.machines[name] = machine
        if machine is not None:
            machine.rented_at = asked
            machine.rented = True

    async def _release(self, now: datetime, kept: Container[str]) -> None:
        chosen = surplus(self.board, self.last_pass, now, kept)[:RELEASE_MOST]
        if not chosen:
            return
        for machine, why in chosen:
            if not machine.leaving:
                log.info("giving back %s (%s in %s): %s", machine.name, machine.type.name, machine.zone, why)
                if why == "never came up":
                    # Another of the kind may not come up either: for a while others go first.
                    self.refused[machine.type.name, machine.zone, machine.spot] = now + machine.type.boot
            machine.leaving = True
        names = [machine.name for machine, why in chosen if not machine.placements or why in ("silent", "deaf")]
        if not names:
            return
        try:
            await self.cloud.release(names, self._may_act)
        except (Trouble, Unreachable, NoCapacity) as e:
            log.info("release failed: %s", e)
            return
        for name in names:
            self.board.forget_machine(name, steady(), "released")
