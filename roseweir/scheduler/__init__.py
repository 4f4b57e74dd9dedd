"""Scheduling: the queue, quotas, placement, gangs, preemption, and the write-ahead log."""
