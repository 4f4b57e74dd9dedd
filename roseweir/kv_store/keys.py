"""Keys that the key-value store client itself reads or guards."""

# The leader's key is deleted when the leader's lease ends, and its version guards every write of the leader.
LEADER_KEY = "lead/leader"
