"""Connections as a resource: who may hold one, who is asked to come back, and who pays when there is no room."""

from roseweir.connections.admission import ConnectionAdmission, ConnectionClass

__all__ = ["ConnectionAdmission", "ConnectionClass"]
