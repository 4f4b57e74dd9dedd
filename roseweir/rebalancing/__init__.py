"""GPU fragmentation: placement that keeps room for large tasks, and moves of replicas that make room for them."""
