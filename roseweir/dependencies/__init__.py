"""Dependencies between jobs: holding and releasing dependents, transitive cancellation, and slack before deadlines."""
