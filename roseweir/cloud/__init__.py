"""Machines rented by the second: catalog, scale out and in, liveness, and the control loops over the cloud's API."""
