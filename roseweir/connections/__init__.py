"""Admission control for connections: which are accepted, kept alive, evicted or refused when they are scarce."""

from roseweir.connections.admission import ConnectionAdmission, ConnectionClass

__all__ = ["ConnectionAdmission", "ConnectionClass"]
