"""Errors of the scheduler package."""


class SchedulerError(Exception):
    """Base of the scheduler's own errors."""


class InvalidHeartbeat(SchedulerError, ValueError):
    """A heartbeat decodes but holds a value that no worker can have; the message names field and value."""
