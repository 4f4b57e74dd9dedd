"""Chains: jobs that follow one another, from a registry's amendment to the viewer, told by the jobs' own records."""
