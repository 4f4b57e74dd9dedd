"""Admission of connections: which are accepted, kept alive, evicted or told to retry when they are scarce."""

from roseweir.connections.admission import ConnectionAdmission, ConnectionClass

__all__ = ["ConnectionAdmission", "ConnectionClass"]
