"""HTTP calls of the platform to an entry: directory and readiness check."""

import urllib.parse

import orjson

from auburnway.gateway import node as node_lib
from auburnway.net import client_connection

_JSON = ((b"Content-Type", b"application/json"),)


class EntryCalls:
    """Serves the directory to clients and readiness checks to the platform.

    Args:
      node: Entry that answers the calls.
      ttl_ms: Time for which clients may cache a reply of the directory.
    """

    def __init__(self, node: node_lib.Node, ttl_ms: float):
        self._node = node
        self._ttl_s = ttl_ms / 1000.0

    def on_directory(self, request: client_connection.Request) -> None:
        """Replies with the addresses of the entries that a client may use."""
        if request.path != b"/auburnway/resolve":
            request.reply(404, _JSON, b"{}")
            return
        query = request.target.partition(b"?")[2].decode("latin-1")
        zone = urllib.parse.parse_qs(query).get("Zone", [""])[0]
        addresses = self._node.addresses(zone)
        if not addresses:
            request.reply(503, _JSON, b"{}")
            return
        body = {"addrs": addresses, "ttl_s": self._ttl_s}
        request.reply(200, _JSON, orjson.dumps(body))

    def on_readiness(self, request: client_connection.Request) -> None:
        """Replies with status 200 when the entry is ready, 503 otherwise."""
        request.reply(200 if self._node.is_ready else 503, _JSON, b"{}")
