"""Renting ahead of demand: what past weeks say about the next minutes, and what should stand ready for it.

Loaded only when the operators' file has a `renting-ahead` form. `history` counts work as it is accepted,
`predict` says what to expect, `ahead` what to rent and to keep; all three are pure. `store` and `desk` are
the edges: the state service, and the leader's routine.
"""
