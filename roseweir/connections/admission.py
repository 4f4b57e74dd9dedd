"""Decides which connections a listener keeps when they are scarce. Pure: no I/O, and no clock.

A controller has a limited number of sockets, and more machines than that may send it heartbeats. Sockets for peers, and
for the leader's own connections (key-value store, cloud, direct commands), are reserved elsewhere;
`ConnectionAdmission` divides the rest between the classes of clients, in the order of `ConnectionClass`. It takes four
measures, in order of increasing severity:

1. From MAX_HOLD_USAGE on, responses to idle workers are not held, and their connections are closed after the response.
   A worker stays with this node and opens a new connection for its next heartbeat. This costs a handshake, but the
   connection is in use for milliseconds instead of seconds.
2. From MAX_KEEP_ALIVE_USAGE on, connections of workers with tasks, and of users above their share, are also closed
   after the response.
3. At the limit, a new connection replaces the one that has been idle the longest, from a class above its share if there
   is one, else from the last class in the order.
4. From MAX_KEEP_ALIVE_USAGE on, requests of users above their share are refused, and the client retries later.

Each class has a reserved share. A flood of connections exceeds the share of its own class, so the connections of that
class are evicted first.
"""

from collections.abc import Hashable
from enum import IntEnum
from typing import Any, Generic, NamedTuple, TypeVar


class ConnectionClass(IntEnum):
    """The class of the client; when connections are scarce, those of the last classes are closed first."""

    HEALTH = 0  # health checks of the load balancer
    USER = 1
    WORKER = 2  # with tasks
    IDLE_WORKER = 3
    NEW = 4  # has sent no request yet


# Fraction of the connections that is reserved for each class; the rest is reserved for workers.
CLASS_SHARES = {ConnectionClass.HEALTH: 0.03, ConnectionClass.USER: 0.25, ConnectionClass.NEW: 0.12}
# Fraction of the connections in use from which responses to idle workers are not held.
MAX_HOLD_USAGE = 0.75
# Fraction of the connections in use from which connections of workers with tasks, and of users above their share, are
# not kept alive.
MAX_KEEP_ALIVE_USAGE = 0.87
MIN_RESERVED_CONNECTIONS = 4

ConnectionT = TypeVar("ConnectionT", bound=Hashable)


class Admission(NamedTuple, Generic[ConnectionT]):
    """Whether a new connection is accepted, and the one to close in its place, if any."""

    is_admitted: bool
    evicted: ConnectionT | None


class ConnectionAdmission(Generic[ConnectionT]):
    """Tracks a listener's open connections by class, and decides which are accepted and kept alive."""

    def __init__(self, max_connections: int) -> None:
        """`max_connections`: how many may be open at once."""
        self.max_connections = max_connections
        self._class_by_connection: dict[ConnectionT, ConnectionClass] = {}
        self._open_counts = dict.fromkeys(ConnectionClass, 0)
        # Connections between two requests, the longest idle first.
        self._idle_connections: dict[ConnectionClass, dict[ConnectionT, None]] = {
            connection_class: {} for connection_class in ConnectionClass
        }
        worker_share = 1.0 - sum(CLASS_SHARES.values())
        self._reserved_counts = {
            connection_class: max(
                MIN_RESERVED_CONNECTIONS, int(max_connections * CLASS_SHARES.get(connection_class, worker_share))
            )
            for connection_class in ConnectionClass
        }
        self.refused_counts = dict.fromkeys(ConnectionClass, 0)
        self.evicted_counts = dict.fromkeys(ConnectionClass, 0)
        self.closed_counts = dict.fromkeys(ConnectionClass, 0)  # closed after a response, as connections were scarce

    def __len__(self) -> int:
        return len(self._class_by_connection)

    # -- decisions ----------------------------------------------------------------------------

    def admit(self, connection: ConnectionT) -> Admission[ConnectionT]:
        """Whether a new connection is accepted, and the one to close in its place, if any."""
        evicted = None
        if len(self) >= self.max_connections:
            evicted = self._longest_idle_connection()
            if evicted is None:
                self.refused_counts[ConnectionClass.NEW] += 1
                return Admission(False, None)
            self.evicted_counts[self._class_by_connection[evicted]] += 1
            self.remove(evicted)
        self._class_by_connection[connection] = ConnectionClass.NEW
        self._open_counts[ConnectionClass.NEW] += 1
        self._idle_connections[ConnectionClass.NEW][connection] = None
        return Admission(True, evicted)

    def admit_request(self, connection: ConnectionT, connection_class: ConnectionClass) -> bool:
        """Record a request and its class. Return False if the request is refused, and the client is to retry later."""
        self._reclassify(connection, connection_class)
        if (
            connection_class == ConnectionClass.USER
            and self._is_over_share(connection_class)
            and len(self) >= self.max_connections * MAX_KEEP_ALIVE_USAGE
        ):
            self.refused_counts[connection_class] += 1
            return False
        return True

    def may_hold_response(self) -> bool:
        """Whether the response to an idle worker may be held until there are commands for it."""
        return len(self) < self.max_connections * MAX_HOLD_USAGE

    def may_keep_alive(self, connection: ConnectionT, connection_class: ConnectionClass | None = None) -> bool:
        """Whether the connection stays open after this response.

        `connection_class`: the client's class as determined by the handler; None leaves it unchanged.
        """
        if connection not in self._class_by_connection:
            return False
        connection_class = self._class_by_connection[connection] if connection_class is None else connection_class
        self._reclassify(connection, connection_class)
        open_count = len(self)
        if open_count >= self.max_connections * MAX_HOLD_USAGE and (
            connection_class == ConnectionClass.IDLE_WORKER
            or (
                open_count >= self.max_connections * MAX_KEEP_ALIVE_USAGE
                and (
                    connection_class == ConnectionClass.WORKER
                    or (connection_class == ConnectionClass.USER and self._is_over_share(connection_class))
                )
            )
        ):
            self.closed_counts[connection_class] += 1
            return False
        return True

    # -- events and status --------------------------------------------------------------------

    def mark_idle(self, connection: ConnectionT) -> None:
        """Record that the connection waits for its next request."""
        connection_class = self._class_by_connection.get(connection)
        if connection_class is not None:
            self._idle_connections[connection_class][connection] = None

    def remove(self, connection: ConnectionT) -> None:
        """Record that the connection was closed; does nothing if it is not open."""
        connection_class = self._class_by_connection.pop(connection, None)
        if connection_class is not None:
            self._open_counts[connection_class] -= 1
            self._idle_connections[connection_class].pop(connection, None)

    def describe(self) -> dict[str, Any]:
        """Counts for operators: {"open", "most", "by_side": {class: {"open", "refused", "evicted", "parted"}}}."""
        by_class = {
            connection_class.name.lower(): {
                "open": self._open_counts[connection_class],
                "refused": self.refused_counts[connection_class],
                "evicted": self.evicted_counts[connection_class],
                "parted": self.closed_counts[connection_class],
            }
            for connection_class in ConnectionClass
        }
        return {"open": len(self), "most": self.max_connections, "by_side": by_class}

    def _reclassify(self, connection: ConnectionT, connection_class: ConnectionClass) -> None:
        previous_class = self._class_by_connection.get(connection)
        if previous_class is None:
            return
        self._idle_connections[previous_class].pop(connection, None)
        if previous_class != connection_class:
            self._open_counts[previous_class] -= 1
            self._open_counts[connection_class] += 1
            self._class_by_connection[connection] = connection_class

    def _is_over_share(self, connection_class: ConnectionClass) -> bool:
        if connection_class in (ConnectionClass.WORKER, ConnectionClass.IDLE_WORKER):
            return (
                self._open_counts[ConnectionClass.WORKER] + self._open_counts[ConnectionClass.IDLE_WORKER]
                > self._reserved_counts[connection_class]
            )
        return self._open_counts[connection_class] > self._reserved_counts[connection_class]

    def _longest_idle_connection(self) -> ConnectionT | None:
        eviction_order = sorted(ConnectionClass, reverse=True)
        for connection_class in [*(c for c in eviction_order if self._is_over_share(c)), *eviction_order]:
            if self._idle_connections[connection_class]:
                return next(iter(self._idle_connections[connection_class]))
        return None
