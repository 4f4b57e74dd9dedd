"""Membership: which nodes are up, which one leads, and which can reach each other, as observed by one controller.

Used for health checks, for redirecting workers and for resigning from leadership.
"""
