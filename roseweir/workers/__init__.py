"""The workers' API: heartbeats in, commands out, each with the fencing token of the leader's term."""
