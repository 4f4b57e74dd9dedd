"""Workflows: the steps of an amendment, accepted as a whole and released in the order of their dependencies."""
