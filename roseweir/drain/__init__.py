"""Draining machines and replacing them in steps, within a budget of disruption for each team.

`settings` is what operators set, `model` what they ask for, `budget` the one account of everything that takes tasks
down, `evidence` and `reasons` why the service replaces machines by itself, `pool` what may be missing and what is
rented for it, `steps` what happens next to which machine. All of these are pure. `store` keeps them, `desk` carries
them out.
"""
