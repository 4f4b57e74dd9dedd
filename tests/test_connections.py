"""Connections are scarce: who is served, who makes way, and that no side pays for another's flood."""

import random

import pytest

from roseweir.connections import ConnectionAdmission, ConnectionClass
from roseweir.connections.admission import CLASS_SHARES, MAX_KEEP_ALIVE_USAGE


class Fleet:
    """Workers that report to a room with fewer places than there are workers."""

    def __init__(self, room: ConnectionAdmission[str], machines: int, draw: random.Random) -> None:
        self.room, self.draw = room, draw
        self.open: set[str] = set()
        self.names = [f"w-{n}" for n in range(machines)]
        self.turned_away = 0

    def connect(self, name: str) -> bool:
        if name in self.open:
            return True
        let_in, victim = self.room.admit(name)
        if victim is not None:
            self.open.discard(victim)
        if let_in:
            self.open.add(name)
        return let_in

    def talk(self, name: str, side: ConnectionClass) -> bool:
        """One request and its answer."""
        if not self.connect(name) or not self.room.admit_request(name, side):
            self.close(name)
            self.turned_away += 1
            return False
        if self.room.may_keep_alive(name, side):
            self.room.mark_idle(name)
        else:
            self.close(name)
        return True

    def close(self, name: str) -> None:
        self.room.remove(name)
        self.open.discard(name)


def test_more_machines_than_connections_and_everybody_gets_an_answer() -> None:
    """1,515 workers on 1,048 places: the leader had all in use, and nobody had decided who is turned away."""
    draw = random.Random(3)
    room: ConnectionAdmission[str] = ConnectionAdmission(1048)
    fleet = Fleet(room, 1515, draw)
    for _ in range(6):
        for name in draw.sample(fleet.names, len(fleet.names)):
            fleet.talk(name, ConnectionClass.WORKER if int(name[2:]) % 3 else ConnectionClass.IDLE_WORKER)
            if draw.random() < 0.1:
                assert fleet.talk(f"u-{draw.randint(0, 80)}", ConnectionClass.USER)
            if draw.random() < 0.02:
                assert fleet.talk("health", ConnectionClass.HEALTH)
    assert fleet.turned_away == 0 and sum(room.refused_counts.values()) == 0
    assert room.evicted_counts[ConnectionClass.USER] == room.evicted_counts[ConnectionClass.HEALTH] == 0
    assert room.closed_counts[ConnectionClass.IDLE_WORKER] > 0 and not room.may_hold_response()


@pytest.mark.parametrize("flood", [ConnectionClass.USER, ConnectionClass.NEW, ConnectionClass.WORKER])
def test_a_flood_from_one_side_costs_that_side(flood: ConnectionClass) -> None:
    draw = random.Random(flood)
    room: ConnectionAdmission[str] = ConnectionAdmission(200)
    fleet = Fleet(room, 60, draw)
    users = [f"u-{n}" for n in range(20)]
    for name in fleet.names:
        assert fleet.talk(name, ConnectionClass.WORKER)
    for name in users:
        assert fleet.talk(name, ConnectionClass.USER)
    for number in range(2000):
        name = f"x-{number}"
        if flood == ConnectionClass.NEW:
            fleet.connect(name)  # and never says anything
        else:
            fleet.talk(name, flood)
        if number % 7 == 0 and flood != ConnectionClass.USER:
            assert fleet.talk(draw.choice(users), ConnectionClass.USER)
        if number % 7 == 0 and flood != ConnectionClass.WORKER:
            assert fleet.talk(draw.choice(fleet.names), ConnectionClass.WORKER)
        assert fleet.talk("health", ConnectionClass.HEALTH)
        assert len(room) <= room.max_connections
    others = {ConnectionClass.USER, ConnectionClass.WORKER, ConnectionClass.HEALTH} - {flood}
    assert all(room.evicted_counts[side] == 0 and room.refused_counts[side] == 0 for side in others)


def test_users_above_their_share_are_told_to_come_back_and_others_are_not() -> None:
    room: ConnectionAdmission[int] = ConnectionAdmission(100)
    share = int(100 * CLASS_SHARES[ConnectionClass.USER])
    # All of them being answered: none is idle, none can make way.
    for line in range(share + 70):
        let_in, _ = room.admit(line)
        if let_in and not room.admit_request(line, ConnectionClass.USER):
            assert len(room) >= 100 * MAX_KEEP_ALIVE_USAGE
            room.remove(line)
    assert room.refused_counts[ConnectionClass.USER] > 0
    assert room.admit(1000) == (True, None) and room.admit_request(1000, ConnectionClass.WORKER)


def test_counts_stay_true_whatever_happens() -> None:
    draw = random.Random(11)
    room: ConnectionAdmission[int] = ConnectionAdmission(40)
    inside: dict[int, ConnectionClass] = {}
    for step in range(20_000):
        line = draw.randint(0, 70)
        if line not in inside:
            let_in, victim = room.admit(line)
            if victim is not None:
                del inside[victim]
            if let_in:
                inside[line] = ConnectionClass.NEW
        elif draw.random() < 0.2:
            room.remove(line)
            del inside[line]
        else:
            side = draw.choice([s for s in ConnectionClass if s != ConnectionClass.NEW])
            inside[line] = side
            if not room.admit_request(line, side) or not room.may_keep_alive(line, side):
                room.remove(line)
                del inside[line]
            elif draw.random() < 0.8:
                room.mark_idle(line)
        assert len(room) == len(inside) <= 40, step
        told = room.describe()["by_side"]
        assert all(told[s.name.lower()]["open"] == sum(k == s for k in inside.values()) for s in ConnectionClass), step
