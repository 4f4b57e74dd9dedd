"""A controller's dealings with its peers, and its looks at who reaches the state service and the workers."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

import msgspec

from roseweir.clock import pause, seconds, steady
from roseweir.http import Connect, Transport, Unreachable
from roseweir.leadership.messages import TERM
from roseweir.membership.judge import LOOK, Callers, Finding, Solitude, Tally, Vigil, latest, some_of
from roseweir.membership.messages import AskTold, Told
from roseweir.settings import Settings
from roseweir.state import StateClient, Trouble
from roseweir.workers import messages as wire

log = logging.getLogger(__name__)

PEER_PATIENCE = seconds(0.3)
PROBE_PATIENCE = seconds(0.4)
CHECK = seconds(0.5)
# Connections kept to each peer.
KEPT = 2

# Names and addresses of workers.
Workers = dict[str, str]
# Workers that are missed: address and newest tally of each.
Overdue = dict[str, tuple[str, Tally]]


class Membership:
    def __init__(self, settings: Settings, state: StateClient, connect: Connect) -> None:
        self.state = state
        self._connect = connect
        self._peers = {peer.name: connect(peer.address, KEPT) for peer in settings.peers}
        self._callers = Callers()
        # The state service refuses this node, but not its peers.
        self.solitude = Solitude()
        # The latest term that a worker has shown since the state service was last reached, and the one known then.
        self._shown = self._known = 0

    def peer(self, name: str) -> Transport | None:
        return self._peers.get(name)

    # -- who leads ----------------------------------------------------------------------------

    async def ask_peers(self) -> tuple[str, int] | None:
        """The latest leader that any other controller knows: its name and term."""

        async def ask(peer: Transport) -> tuple[str, int]:
            try:
                found = (await peer("GET", "/status", patience=PEER_PATIENCE)).json()
                return str(found["leader"]), int(found["term"] or 0)
            except (Unreachable, KeyError, TypeError, ValueError):
                return "", 0

        return latest(await asyncio.gather(*(ask(peer) for peer in self._peers.values())))

    async def ask_told(self, span: timedelta) -> Told | None:
        """What all other controllers together have told users of cancels in this time; None if one does not say."""
        body = msgspec.to_builtins(AskTold(span.total_seconds()))

        async def ask(peer: Transport) -> Told | None:
            try:
                reply = await peer("POST", "/told", body, patience=PEER_PATIENCE)
                return msgspec.json.decode(reply.body, type=Told) if reply.status == 200 else None
            except (Unreachable, msgspec.DecodeError):
                return None

        told = await asyncio.gather(*(ask(peer) for peer in self._peers.values()))
        known = [each for each in told if each is not None and each.cancelled is not None]
        if len(known) < len(told):
            return None
        cancelled = [job_id for each in known for job_id in each.cancelled or ()]
        return Told(max((each.term for each in known), default=0), cancelled)

    # -- the state service --------------------------------------------------------------------

    @property
    def alone(self) -> bool:
        return self.solitude.alone

    def knows_term(self, term: int) -> None:
        """The state service told of it."""
        self._known = max(self._known, term)

    @property
    def known_term(self) -> int:
        """The latest of all that this process has learnt of, its own among them."""
        return self._known

    async def watch_state(self) -> None:
        while True:
            await pause(CHECK)
            was = self.solitude.alone
            if not self.state.failing or await self.reaches_state():
                self.solitude.look(False, 0, 0, False, False, steady())
                self._shown = 0
            else:
                told = await asyncio.gather(*(status(p, "/reach", PROBE_PATIENCE * 2) for p in self._peers.values()))
                answered = sum(1 for each in told if each)
                later = self._shown > self._known > 0
                self.solitude.look(True, len(told), answered, 200 in told, later, steady())
            if self.solitude.alone != was:
                log.info("the state service is %s", "reached or out for all" if was else "refused to this node alone")

    async def reaches_state(self) -> bool:
        try:
            await self.state.get(TERM, patience=PROBE_PATIENCE)
        except (Trouble, Unreachable):
            return False
        return True

    # -- the workers --------------------------------------------------------------------------

    async def watch_workers(
        self,
        overdue: Callable[[], Overdue],
        stood_still: Callable[[], None],
        resign_if_unheard: Callable[[Workers, Callable[[], dict[str, Tally]]], Coroutine[Any, Any, None]],
    ) -> None:
        """A leader that most workers no longer reach asks whether another node should lead.

        After a node stood still, reports wait in its buffers: it first takes those, and learns who leads
        before it sends workers anywhere.
        """
        vigil = Vigil()
        while True:
            before = steady()
            await pause(LOOK)
            missed = {name: address for name, (address, _) in overdue().items()}
            finding = vigil.look(before, steady(), missed)
            if finding is Finding.STOOD_STILL:
                log.warning("stood still for %.1f s", vigil.still.total_seconds())
                stood_still()
            elif finding is Finding.UNHEARD:
                await resign_if_unheard(
                    some_of(missed), lambda: {name: tally for name, (_, tally) in overdue().items()}
                )

    async def probe_workers(self, workers: Workers) -> tuple[list[str], dict[str, Tally]]:
        """Which of these workers answer this node, and which came to it some moments ago."""
        known = {name: address for name, address in workers.items() if address}
        asked = (answers(self._connect(address, 0), "/status", PROBE_PATIENCE) for address in known.values())
        reached = await asyncio.gather(*asked)
        came = self._callers.came(workers, steady())
        return [name for name, there in zip(known, reached, strict=True) if there], came

    def note_caller(self, report: bytes) -> None:
        """A worker that reports to a node that does not lead is in search of one that does."""
        try:
            caller = msgspec.json.decode(report, type=wire.Caller)
        except msgspec.DecodeError:
            return
        self._callers.note(caller.machine, (caller.session, caller.seq), steady())
        self._shown = max(self._shown, caller.term)


async def status(send: Transport, path: str, patience: timedelta) -> int:
    """0: no answer."""
    try:
        return (await send("GET", path, patience=patience)).status
    except Unreachable:
        return 0


async def answers(send: Transport, path: str, patience: timedelta) -> bool:
    return await status(send, path, patience) == 200
