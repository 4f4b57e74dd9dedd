"""Membership: who is up, who leads and who reaches whom, as a controller concludes from its peers and workers.

Used for health checks, for redirecting workers and for resigning from leadership.
"""
