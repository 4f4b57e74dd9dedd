"""Keys of the election in the key-value store, and what they hold."""

from typing import NamedTuple

import msgspec

# Other packages import it from here, among the other keys of the election.
from roseweir.kv_store.keys import LEADER_KEY as LEADER_KEY

LEADER_ELECTION_PREFIX = "lead/"
# Holds the term of the latest election.
TERM_KEY = "lead/term"
# The leader's query whether others reach the workers whose heartbeats it misses; each node answers under its own name.
REACHABILITY_QUERY_KEY = "lead/ask"
REACHABILITY_ANSWER_PREFIX = "lead/reach/"

# The feature level of this version: raised with each change of what is stored or sent that the version before can't
# handle. A version that states none has level 0.
FEATURE_LEVEL = 1

# Incarnation and sequence number of a heartbeat: the message with the larger pair is the newer one.
HeartbeatId = tuple[int, int]


class PeerLeader(NamedTuple):
    """A leader as another controller knows it: its name and term."""

    name: str
    term: int


class LeaderRecord(msgspec.Struct, rename={"peer_address": "back", "lease_id": "lease", "feature_level": "level"}):
    """Who leads, as stored with the leader's key.

    Versions ignore fields that they do not know, so fields may be added; none may be left out.
    """

    name: str
    peer_address: str
    term: int
    lease_id: int
    feature_level: int = 0


class ReachabilityQuery(msgspec.Struct, rename={"query_number": "number", "worker_addresses": "workers"}):
    """The leader's query which nodes reach these workers; term and number identify it.

    The addresses are by worker name, and empty where they are not known.
    """

    term: int
    query_number: int
    worker_addresses: dict[str, str]


class ReachabilityAnswer(
    msgspec.Struct,
    rename={"query_number": "number", "reachable": "reached", "redirected": "came", "heartbeat_ids": "tallies"},
):
    """Which of the queried workers answer this node, and which sent it heartbeats and were redirected in vain.

    `heartbeat_ids` holds the newest heartbeat of each redirected worker: one that was delivered late is older.
    """

    term: int
    query_number: int
    reachable: list[str]
    redirected: list[str]
    heartbeat_ids: dict[str, HeartbeatId] = {}
