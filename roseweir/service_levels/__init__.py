"""Service levels: jobs accepted, started, done and waiting by team and class, kept through failovers."""
