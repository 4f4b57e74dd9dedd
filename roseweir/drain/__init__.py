"""Drains and replaces machines in steps, within a disruption budget for each team.

Modules without I/O: `settings` has the operators' settings, `model` their requests, `disruption_budget` the account of
all tasks that are down, `machine_health` and `auto_replacement` the reasons for automatic replacement, `surge_pool` the
bounds on missing machines and the replacement rentals, and `eviction_state_machine` the next step of each machine.
`store` stores the state, and `controller` carries the decisions out.
"""
