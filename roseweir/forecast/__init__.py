"""Predictive scaling: forecasts demand from past weeks and keeps or rents machines before it arrives.

Loaded only when the operators' file has a `renting-ahead` form. `demand_history` counts accepted work, `forecaster`
computes the expected demand, `capacity_plan` decides what to rent and to keep, and `scaling_planner` combines the
three; all four are without I/O. `history_store` reads and writes the key-value store, and `predictive_scaler` is the
leader's background task.
"""
