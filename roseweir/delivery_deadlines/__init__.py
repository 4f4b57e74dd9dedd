"""Promises: each amended lot in the viewer before the next business morning, followed until it is there or late."""
