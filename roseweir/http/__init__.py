"""HTTP/1.1 over asyncio streams and h11: one small server, one small client."""

from roseweir.http.client import Client, Connect, Reply, Transport, connect
from roseweir.http.errors import HttpError, Unreachable
from roseweir.http.server import Listener, Request, Response, ServerConnection, json_response, serve

__all__ = [
    "Client",
    "Connect",
    "HttpError",
    "Listener",
    "Reply",
    "Request",
    "Response",
    "ServerConnection",
    "Transport",
    "Unreachable",
    "connect",
    "json_response",
    "serve",
]
