"""What the keys about leading hold."""

import msgspec

# Other packages import it from here, among the other keys of the election.
from roseweir.kv_store.keys import LEADER_KEY as LEADER_KEY

LEADER_ELECTION_PREFIX = "lead/"
TERM_KEY = "lead/term"
# The leader asks whether others reach the workers that it no longer hears; each node answers under its name.
REACHABILITY_QUERY_KEY = "lead/ask"
REACHABILITY_ANSWER_PREFIX = "lead/reach/"


# The feature level of this version: raised with each change of what is stored or said that the version before can't
# live with. A version that states none has level 0.
FEATURE_LEVEL = 1


class LeaderRecord(msgspec.Struct, rename={"peer_address": "back", "lease_id": "lease", "feature_level": "level"}):
    """Who leads. Versions ignore fields that they do not know, so one more may be added; none may be left out."""

    name: str
    peer_address: str
    term: int
    lease_id: int
    feature_level: int = 0


class ReachabilityQuery(msgspec.Struct, rename={"query_number": "number", "worker_addresses": "workers"}):
    """A question of the leader's: who reaches these workers? Term and number make it unlike any other."""

    term: int
    query_number: int
    worker_addresses: dict[str, str]  # their names, and their addresses as far as known


class ReachabilityAnswer(
    msgspec.Struct,
    rename={"query_number": "number", "reachable": "reached", "redirected": "came", "heartbeat_ids": "tallies"},
):
    """Which of those asked about answer this node, and which came to it and were sent on in vain."""

    term: int
    query_number: int
    reachable: list[str]
    redirected: list[str]
    heartbeat_ids: dict[str, tuple[int, int]] = {}  # newest of those that came: a copy that came late is older
