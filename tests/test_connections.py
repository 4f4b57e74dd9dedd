"""Admission of scarce connections: which are admitted or evicted, and that a flood only affects its own class."""

import random

import pytest

from roseweir.connections import ConnectionAdmission, ConnectionClass
from roseweir.connections.admission import CLASS_SHARES, MAX_KEEP_ALIVE_USAGE


class SimulatedClients:
    """Clients of an admission with fewer connections than there are workers."""

    def __init__(self, admission: ConnectionAdmission[str], worker_count: int, rng: random.Random) -> None:
        self.admission, self.rng = admission, rng
        self.open: set[str] = set()
        self.workers = [f"w-{n}" for n in range(worker_count)]
        self.rejected_count = 0

    def connect(self, name: str) -> bool:
        if name in self.open:
            return True
        is_admitted, victim = self.admission.admit(name)
        if victim is not None:
            self.open.discard(victim)
        if is_admitted:
            self.open.add(name)
        return is_admitted

    def exchange(self, name: str, connection_class: ConnectionClass) -> bool:
        """Send one request and receive its response; return False if the request is refused."""
        if not self.connect(name) or not self.admission.admit_request(name, connection_class):
            self.close(name)
            self.rejected_count += 1
            return False
        if self.admission.may_keep_alive(name, connection_class):
            self.admission.mark_idle(name)
        else:
            self.close(name)
        return True

    def close(self, name: str) -> None:
        self.admission.remove(name)
        self.open.discard(name)


def test_more_workers_than_connections_are_all_answered() -> None:
    """1,515 workers share 1,048 connections: without an eviction rule, all are in use and requests are refused."""
    rng = random.Random(3)
    admission: ConnectionAdmission[str] = ConnectionAdmission(1048)
    clients = SimulatedClients(admission, 1515, rng)
    for _ in range(6):
        for name in rng.sample(clients.workers, len(clients.workers)):
            clients.exchange(name, ConnectionClass.WORKER if int(name[2:]) % 3 else ConnectionClass.IDLE_WORKER)
            if rng.random() < 0.1:
                assert clients.exchange(f"u-{rng.randint(0, 80)}", ConnectionClass.USER)
            if rng.random() < 0.02:
                assert clients.exchange("health", ConnectionClass.HEALTH)
    assert clients.rejected_count == 0 and sum(admission.refused_counts.values()) == 0
    assert admission.evicted_counts[ConnectionClass.USER] == admission.evicted_counts[ConnectionClass.HEALTH] == 0
    assert admission.closed_counts[ConnectionClass.IDLE_WORKER] > 0 and not admission.may_hold_response()


@pytest.mark.parametrize("flood", [ConnectionClass.USER, ConnectionClass.NEW, ConnectionClass.WORKER])
def test_flood_of_one_class_evicts_only_that_class(flood: ConnectionClass) -> None:
    rng = random.Random(flood)
    admission: ConnectionAdmission[str] = ConnectionAdmission(200)
    clients = SimulatedClients(admission, 60, rng)
    users = [f"u-{n}" for n in range(20)]
    for name in clients.workers:
        assert clients.exchange(name, ConnectionClass.WORKER)
    for name in users:
        assert clients.exchange(name, ConnectionClass.USER)
    for number in range(2000):
        name = f"x-{number}"
        if flood == ConnectionClass.NEW:
            clients.connect(name)  # sends no request
        else:
            clients.exchange(name, flood)
        if number % 7 == 0 and flood != ConnectionClass.USER:
            assert clients.exchange(rng.choice(users), ConnectionClass.USER)
        if number % 7 == 0 and flood != ConnectionClass.WORKER:
            assert clients.exchange(rng.choice(clients.workers), ConnectionClass.WORKER)
        assert clients.exchange("health", ConnectionClass.HEALTH)
        assert len(admission) <= admission.max_connections
    other_classes = {ConnectionClass.USER, ConnectionClass.WORKER, ConnectionClass.HEALTH} - {flood}
    assert all(
        admission.evicted_counts[connection_class] == 0 and admission.refused_counts[connection_class] == 0
        for connection_class in other_classes
    )


def test_users_above_their_share_are_refused_and_workers_are_not() -> None:
    admission: ConnectionAdmission[int] = ConnectionAdmission(100)
    share = int(100 * CLASS_SHARES[ConnectionClass.USER])
    # All connections have a request in progress, so none is idle and none can be evicted.
    for connection in range(share + 70):
        is_admitted, _ = admission.admit(connection)
        if is_admitted and not admission.admit_request(connection, ConnectionClass.USER):
            assert len(admission) >= 100 * MAX_KEEP_ALIVE_USAGE
            admission.remove(connection)
    assert admission.refused_counts[ConnectionClass.USER] > 0
    assert admission.admit(1000) == (True, None) and admission.admit_request(1000, ConnectionClass.WORKER)


def test_counts_match_the_open_connections_in_any_order_of_events() -> None:
    rng = random.Random(11)
    admission: ConnectionAdmission[int] = ConnectionAdmission(40)
    class_by_connection: dict[int, ConnectionClass] = {}
    for step in range(20_000):
        connection = rng.randint(0, 70)
        if connection not in class_by_connection:
            is_admitted, victim = admission.admit(connection)
            if victim is not None:
                del class_by_connection[victim]
            if is_admitted:
                class_by_connection[connection] = ConnectionClass.NEW
        elif rng.random() < 0.2:
            admission.remove(connection)
            del class_by_connection[connection]
        else:
            connection_class = rng.choice([s for s in ConnectionClass if s != ConnectionClass.NEW])
            class_by_connection[connection] = connection_class
            if not admission.admit_request(connection, connection_class) or not admission.may_keep_alive(
                connection, connection_class
            ):
                admission.remove(connection)
                del class_by_connection[connection]
            elif rng.random() < 0.8:
                admission.mark_idle(connection)
        assert len(admission) == len(class_by_connection) <= 40, step
        counts_by_class = admission.describe()["by_side"]
        assert all(
            counts_by_class[s.name.lower()]["open"] == sum(k == s for k in class_by_connection.values())
            for s in ConnectionClass
        ), step
