"""HTTP/1.1 server and client over asyncio streams and h11."""

from roseweir.http.client import Client, Connect, Reply, Transport, connect
from roseweir.http.errors import HttpError, Unreachable
from roseweir.http.messages import Request, Response, json_response
from roseweir.http.server import Listener, ServerConnection, serve

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
