"""What may be missing of each type of machines while some are replaced, and what is rented for it. Pure.

The *hole* of a type: machines that were cordoned without a replacement, and those gone since whose replacement is not
in place. While the type can be had, replacements come first (*surge*): a machine is cordoned once one rented for it
is in place, so the hole stays what it was. While the type is sold out, machines are given back first (*gap*), and the
hole is at most a stated share of the type, one machine at least. The same holds while nothing waits for machines of
its pool: what goes then is not missed. A gap closes when a machine of the type that was rented after this leader
began is in place, whoever asked for it; or when nothing has waited for machines of its pool for a while.

A machine is in place when its worker has reported and it holds an image, or when nothing came to be fetched for a
moment.

After a take-over the gaps of the last leader are known; what it had rented and was not up yet closes none: a machine
too many may be rented then, which goes back as idle.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

from roseweir.cloud.plan import BOOT_LATE, MOST_AT_ONCE, Offer, Want
from roseweir.limits.rules import fetch_tag
from roseweir.placement.board import Board
from roseweir.placement.model import Machine

# An offer that was refused counts as sold out for so long after the last refusal.
SOLD_OUT = timedelta(seconds=60)
# A machine without work for so long has nothing to fetch.
UNUSED = timedelta(seconds=5)
# Nothing has waited for machines of a pool for so long: what is missing there is not needed.
NOT_NEEDED = timedelta(seconds=30)
# Shares of what others need too: changes of the state service a second, and sockets.
CHANGES_SHARE, SOCKETS_SHARE = 0.1, 0.1


@dataclass(slots=True)
class Cordon:
    """A machine that is being drained."""

    drain: str
    kind: str  # its type
    offer: Offer
    since_ms: int  # by the wall clock
    replace: bool
    matched: bool = False  # a replacement was in place before it


class Pool:
    def __init__(self, board: Board, hole: float, began: datetime, hole_gpus: float | None = None) -> None:
        self.board = board
        self.share = hole
        self.share_gpus = hole if hole_gpus is None else hole_gpus
        self.began = began
        self.gaps: dict[str, deque[datetime]] = {}
        self.free: dict[str, set[str]] = {}  # replacements in place that no machine has gone for yet
        self.sold: dict[Offer, datetime] = {}  # until when an offer counts as sold out
        self.boots: dict[str, timedelta] = {}  # from rental to being in place, as measured last
        self._counted: set[str] = set()
        self._waited: dict[bool, datetime] = {}  # when work last waited, by whether it needs GPUs

    # -- what happens -------------------------------------------------------------------------

    def look(self, waiting: Iterable[bool], refused: dict[Offer, datetime], now: datetime) -> None:
        """`waiting`: for each job that found no room, whether it needs GPUs."""
        for gpus in waiting:
            self._waited[gpus] = now
        for offer, until in refused.items():
            if until > now:
                self.sold[offer] = now + SOLD_OUT
        there = self.board.machines
        for machine in there.values():
            if machine.name not in self._counted and machine.rented_at >= self.began and self._in_place(machine, now):
                self._counted.add(machine.name)
                self._arrived(machine, now)
        self._counted &= there.keys()
        for kind, names in self.free.items():
            self.free[kind] = {n for n in names if n in there and not there[n].leaving and n not in self.board.drained}
        for kind, gaps in self.gaps.items():
            while gaps and now - gaps[0] > NOT_NEEDED and not self._is_needed(kind, now):
                gaps.popleft()

    def _in_place(self, machine: Machine, now: datetime) -> bool:
        if not machine.shown or machine.booting or machine.leaving or machine.name in self.board.drained:
            return False
        return bool(machine.images) or (not machine.placements and now - machine.idle_since > UNUSED)

    def _arrived(self, machine: Machine, now: datetime) -> None:
        kind = machine.type.name
        self.boots[kind] = now - machine.rented_at
        gaps = self.gaps.get(kind)
        if gaps:
            gaps.popleft()
        elif machine.spare:
            self.free.setdefault(kind, set()).add(machine.name)

    def _is_needed(self, kind: str, now: datetime) -> bool:
        found = self.board.catalog.get(kind)
        waited = self._waited.get(found is not None and found.gpus > 0)
        return waited is not None and now - waited <= NOT_NEEDED

    def gone(self, cordon: Cordon, now: datetime) -> None:
        """A machine that was drained has left."""
        if cordon.replace and not cordon.matched:
            self.gaps.setdefault(cordon.kind, deque()).append(now)

    def boot(self, kind: str) -> timedelta:
        """From rental to being in place: as measured last, or by the catalog."""
        found = self.board.catalog.get(kind)
        return self.boots.get(kind, timedelta(0) if found is None else found.boot)

    # -- how many -----------------------------------------------------------------------------

    def most(self, kind: str) -> int:
        """The largest hole, and the largest wave, of a type."""
        up = sum(1 for m in self.board.machines.values() if m.type.name == kind and not m.booting and not m.leaving)
        found = self.board.catalog.get(kind)
        return max(1, int((self.share_gpus if found is not None and found.gpus > 0 else self.share) * up))

    def hole(self, kind: str, cordons: Iterable[Cordon]) -> int:
        out = sum(1 for c in cordons if c.kind == kind and c.replace and not c.matched)
        return out + len(self.gaps.get(kind, ()))

    def is_sold_out(self, kind: str, spot: bool, now: datetime) -> bool:
        found = self.board.catalog.get(kind)
        return found is not None and all(self.sold.get((kind, zone, spot), now) > now for zone in found.zones)

    def room(self, kind: str, spot: bool, replace: bool, cordons: Iterable[Cordon], now: datetime) -> int:
        """How many more machines of a type may be cordoned now. Nothing has to come first that nobody needs."""
        here = [c for c in cordons if c.kind == kind]
        most = self.most(kind)
        if not replace:
            return most - sum(not c.replace for c in here)
        free = len(self.free.get(kind, ()))
        if self._is_needed(kind, now) and not self.is_sold_out(kind, spot, now):
            return free
        return max(free, most - self.hole(kind, here))

    def match(self, kind: str) -> bool:
        """Whether a replacement stands ready for a machine that is cordoned now; it counts for that one."""
        free = self.free.get(kind)
        if not free:
            return False
        free.remove(min(free))
        return True

    def unmatch(self, kind: str) -> None:
        """It was not cordoned after all: the replacement that stood ready for it still does, whichever it was."""
        there = [n for n in self._counted if n in self.board.machines and n not in self.board.drained]
        ready = {n for n in there if self.board.machines[n].type.name == kind and self.board.machines[n].spare}
        ready -= self.free.get(kind, set())
        if ready:
            self.free.setdefault(kind, set()).add(min(ready))

    def pace(self) -> int:
        """Machines that may be begun with in one step: each changes a page of the record and the list of steps."""
        return max(1, int(self.board.settings.params.state.write_rps * CHANGES_SHARE))

    # -- what to rent -------------------------------------------------------------------------

    def wants(
        self, due: dict[str, list[Machine]], refused: dict[Offer, datetime], others: list[Want], now: datetime
    ) -> list[Want]:
        """Replacements for what is missing, and for what is due next where they come first. `due`: by type."""
        found: list[Want] = []
        taken = {(w.type_name, w.zone, w.spot) for w in others}
        images = self._payable(now)
        sockets = max(4, int(self.board.settings.params.limits.sockets * SOCKETS_SHARE))
        coming = self._coming(now)
        calls = max(1, int(self.board.settings.params.cloud.rps / 2))
        for kind in sorted(self.gaps.keys() | due.keys()):
            machines = due.get(kind, [])
            spot = sum(m.spot for m in machines) * 2 > len(machines)
            surge = 0
            if machines and self._is_needed(kind, now) and not self.is_sold_out(kind, spot, now):
                surge = max(0, min(self.most(kind), len(machines)) - len(self.free.get(kind, ())))
            on_their_way = coming.get(kind, 0) + sum(w.count for w in others if w.type_name == kind)
            missing = min(len(self.gaps.get(kind, ())) + surge, sockets) - on_their_way
            for offer in self._offers(kind, machines, spot):
                if missing <= 0 or len(found) >= calls:
                    break
                if offer in taken or refused.get(offer, now) > now or images.get(offer[1], 1) <= 0:
                    continue
                count = min(missing, MOST_AT_ONCE, images.get(offer[1], MOST_AT_ONCE))
                found.append(Want(*offer, count, spare=True))
                missing -= count
                images[offer[1]] = images.get(offer[1], count) - count
        return found

    def _coming(self, now: datetime) -> dict[str, int]:
        """Machines of each type that boot and are not late, or are up and not in place."""
        found: dict[str, int] = {}
        for machine in self.board.machines.values():
            if machine.leaving or machine.name in self._counted or machine.rented_at < self.began:
                continue
            if machine.booting and now - machine.rented_at > machine.type.boot * BOOT_LATE:
                continue
            found[machine.type.name] = found.get(machine.type.name, 0) + 1
        return found

    def _offers(self, kind: str, machines: list[Machine], spot: bool) -> list[Offer]:
        """Where the machines that go are, most of them first; then the type's other zones."""
        zones: dict[str, int] = {}
        for machine in machines:
            zones[machine.zone] = zones.get(machine.zone, 0) + 1
        found = self.board.catalog.get(kind)
        if found is None:
            return []
        order = sorted(found.zones, key=lambda zone: (-zones.get(zone, 0), zone))
        kinds = (spot, not spot) if self.gaps.get(kind) else (spot,)
        return [(kind, zone, each) for each in kinds for zone in order]

    def _payable(self, now: datetime) -> dict[str, int]:
        """New machines whose first images each zone's bucket pays for soon, others' fetches beside them."""
        sizes = [run.spec.image_gb for run in self.board.jobs.values() if run.spec.image_gb > 0]
        if not sizes:
            return {}
        usual = sorted(sizes)[len(sizes) // 2]
        found: dict[str, int] = {}
        for zone in self.board.settings.params.zones:
            limit = self.board.limits.by_tag.get(fetch_tag(zone))
            if limit is not None:
                found[zone] = max(1, int(limit.bucket.capacity_in(limit.bucket.window, now) / usual))
        return found
