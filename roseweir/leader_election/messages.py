"""Keys of the election in the key-value store, and the structure of their values."""

from typing import NamedTuple

import msgspec

# Other packages import it from here, among the other keys of the election.
from roseweir.kv_store.keys import LEADER_KEY as LEADER_KEY

LEADER_ELECTION_PREFIX = "lead/"
# Holds the term of the latest election.
TERM_KEY = "lead/term"
# The leader's query which nodes can reach the workers whose heartbeats it misses, and the prefix of the answers, which
# each node stores under its own name.
REACHABILITY_QUERY_KEY = "lead/ask"
REACHABILITY_ANSWER_PREFIX = "lead/reach/"

# The feature level of this version, raised with each change of the stored data or messages that the previous version
# can't handle. A record without a level is from a version of level 0.
FEATURE_LEVEL = 1

# Incarnation and sequence number of a heartbeat: the message with the larger pair is the newer one.
HeartbeatId = tuple[int, int]


class PeerLeader(NamedTuple):
    """Name and term of the leader that another controller reports."""

    name: str
    term: int


class LeaderRecord(msgspec.Struct, rename={"peer_address": "back", "lease_id": "lease", "feature_level": "level"}):
    """The value of the leader's key.

    Every version ignores unknown fields, so fields may be added, but no field may be removed.
    """

    name: str
    peer_address: str
    term: int
    lease_id: int
    feature_level: int = 0


class ReachabilityQuery(msgspec.Struct, rename={"query_number": "number", "worker_addresses": "workers"}):
    """The leader's query which nodes can reach these workers; term and number identify it.

    The addresses are by worker name; an unknown address is empty.
    """

    term: int
    query_number: int
    worker_addresses: dict[str, str]


class ReachabilityAnswer(
    msgspec.Struct,
    rename={"query_number": "number", "reachable": "reached", "redirected": "came", "heartbeat_ids": "tallies"},
):
    """Which of the queried workers answer this node's probes, and which sent it heartbeats and were redirected.

    `heartbeat_ids` holds the newest heartbeat of each redirected worker; a late delivery shows by an older id.
    """

    term: int
    query_number: int
    reachable: list[str]
    redirected: list[str]
    heartbeat_ids: dict[str, HeartbeatId] = {}
