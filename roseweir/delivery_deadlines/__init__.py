"""Delivery deadlines: when the lots of each workflow are due in the viewer, and whether they are on time."""
