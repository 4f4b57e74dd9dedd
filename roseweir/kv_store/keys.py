"""Keys that this package itself knows."""

# The leader's key. It is deleted with the leader's lease, and every write of a leader is guarded by its version.
LEADER_KEY = "lead/leader"
