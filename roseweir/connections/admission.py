"""Which connections a listener keeps when they are scarce. Pure: no I/O, and no clock.

A controller has a number of sockets and more machines than that may report to it. What the leader itself needs (the
state service, the cloud, direct commands) and what peers need never comes here: `Room` divides what is left. The order
in which a lack of room spares those who come is `ConnectionClass`'s. It is kept by four means, the mildest first:

1. Above HELD_BELOW no answer is held back for an idle worker, and its connection ends with the answer. The worker
   stays with this node and opens another for its next report: that costs a handshake, and the connection is in use
   for milliseconds instead of seconds.
2. Above KEPT_BELOW the same goes for workers with tasks, and for users above their share.
3. At the brim a newcomer takes the place of the connection that has been idle the longest, of a side above its share
   if there is one, else of the last side in the order.
4. Users above their share and above KEPT_BELOW are told at once to come back.

A side's share is what nobody else can take from it. A flood from one side is above that side's share, so it is that
side's own connections that make way for it.
"""

from collections.abc import Hashable
from enum import IntEnum
from typing import Any, Generic, TypeVar


class ConnectionClass(IntEnum):
    """Who is at the other end; a lack of room spares them in this order."""

    HEALTH = 0  # the load balancer's checks
    USER = 1
    WORKER = 2  # with tasks
    IDLE_WORKER = 3
    NEW = 4  # has not said yet who it is


# Parts of the room that belong to a side; what is left over belongs to workers.
CLASS_SHARES = {ConnectionClass.HEALTH: 0.03, ConnectionClass.USER: 0.25, ConnectionClass.NEW: 0.12}
# The room's parts in use from which answers are not held, and connections not kept.
MAX_HOLD_USAGE, MAX_KEEP_ALIVE_USAGE = 0.75, 0.87

ConnectionT = TypeVar("ConnectionT", bound=Hashable)


class ConnectionAdmission(Generic[ConnectionT]):
    def __init__(self, max_connections: int) -> None:
        """`most`: connections at once."""
        self.max_connections = max_connections
        self._class_by_connection: dict[ConnectionT, ConnectionClass] = {}
        self._open_counts = dict.fromkeys(ConnectionClass, 0)
        # Between requests, the longest idle first.
        self._idle_connections: dict[ConnectionClass, dict[ConnectionT, None]] = {
            connection_class: {} for connection_class in ConnectionClass
        }
        worker_share = 1.0 - sum(CLASS_SHARES.values())
        self._reserved_counts = {
            connection_class: max(4, int(max_connections * CLASS_SHARES.get(connection_class, worker_share)))
            for connection_class in ConnectionClass
        }
        self.refused_counts = dict.fromkeys(ConnectionClass, 0)
        self.evicted_counts = dict.fromkeys(ConnectionClass, 0)
        self.closed_counts = dict.fromkeys(ConnectionClass, 0)  # ended with an answer, to make room

    def __len__(self) -> int:
        return len(self._class_by_connection)

    # -- what is decided ----------------------------------------------------------------------

    def admit(self, connection: ConnectionT) -> tuple[bool, ConnectionT | None]:
        """Whether a newcomer gets in, and whose connection ends for it."""
        evicted = None
        if len(self) >= self.max_connections:
            evicted = self._longest_idle()
            if evicted is None:
                self.refused_counts[ConnectionClass.NEW] += 1
                return False, None
            self.evicted_counts[self._class_by_connection[evicted]] += 1
            self.remove(evicted)
        self._class_by_connection[connection] = ConnectionClass.NEW
        self._open_counts[ConnectionClass.NEW] += 1
        self._idle_connections[ConnectionClass.NEW][connection] = None
        return True, evicted

    def admit_request(self, connection: ConnectionT, connection_class: ConnectionClass) -> bool:
        """A request has come in. False: it is to be told to come back later."""
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
        """Whether an idle worker's answer may wait for work."""
        return len(self) < self.max_connections * MAX_HOLD_USAGE

    def may_keep_alive(self, connection: ConnectionT, connection_class: ConnectionClass | None = None) -> bool:
        """Whether the connection goes on after this answer; `side`: who it turned out to be."""
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

    # -- what has happened --------------------------------------------------------------------

    def mark_idle(self, connection: ConnectionT) -> None:
        """It waits for its next request."""
        connection_class = self._class_by_connection.get(connection)
        if connection_class is not None:
            self._idle_connections[connection_class][connection] = None

    def remove(self, connection: ConnectionT) -> None:
        connection_class = self._class_by_connection.pop(connection, None)
        if connection_class is not None:
            self._open_counts[connection_class] -= 1
            self._idle_connections[connection_class].pop(connection, None)

    def describe(self) -> dict[str, Any]:
        """For operators: {"open", "most", "by_side": {side: {"open", "refused", "evicted", "parted"}}}."""
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

    # -- within -------------------------------------------------------------------------------

    def _reclassify(self, connection: ConnectionT, connection_class: ConnectionClass) -> None:
        known_class = self._class_by_connection.get(connection)
        if known_class is None:
            return
        self._idle_connections[known_class].pop(connection, None)
        if known_class != connection_class:
            self._open_counts[known_class] -= 1
            self._open_counts[connection_class] += 1
            self._class_by_connection[connection] = connection_class

    def _is_over_share(self, connection_class: ConnectionClass) -> bool:
        if connection_class in (ConnectionClass.WORKER, ConnectionClass.IDLE_WORKER):
            return (
                self._open_counts[ConnectionClass.WORKER] + self._open_counts[ConnectionClass.IDLE_WORKER]
                > self._reserved_counts[connection_class]
            )
        return self._open_counts[connection_class] > self._reserved_counts[connection_class]

    def _longest_idle(self) -> ConnectionT | None:
        order = sorted(ConnectionClass, reverse=True)
        for connection_class in [*(s for s in order if self._is_over_share(s)), *order]:
            if self._idle_connections[connection_class]:
                return next(iter(self._idle_connections[connection_class]))
        return None
