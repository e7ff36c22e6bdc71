"""The platform's calls of operators and backend servers."""

import re
import urllib.parse

import orjson
from returns import pipeline
from returns import result

from auburnway.core import errors
from auburnway.net import web_server
from auburnway.platform import documents
from auburnway.registrar import node as node_lib
from auburnway.registrar import revision_machine

_JSON = ((b"Content-Type", b"application/json"),)
_INSTANCE = re.compile(
    rb"/auburnway/instances/([^/]+)/(heartbeat|deregister)\Z"
)


def _reply_error(request: web_server.Request, found) -> None:
    body = orjson.dumps({"errors": [error.as_dict() for error in found]})
    request.reply(found[0].http_status, _JSON, body)


class ControlCalls:
    """Calls of operators and backend servers.

    Args:
      node: Control instance that serves them.
      port: Port at which every control instance serves them.
    """

    def __init__(self, node: node_lib.Node, port: int):
        self._node = node
        self._port = port

    def on_request(self, request: web_server.Request) -> None:
        """Serves one call."""
        instance = _INSTANCE.match(request.path)
        place = (request.method, request.path)
        if instance is not None and request.method == b"POST":
            server_id = urllib.parse.unquote(instance[1].decode("latin-1"))
            self._instance(request, server_id, instance[2])
        elif place == (b"POST", b"/auburnway/config/put"):
            self._put(request)
        elif place == (b"GET", b"/auburnway/config/get"):
            self._node.read_configuration(
                lambda reply: self._reply_read(request, reply)
            )
        else:
            request.reply(404, _JSON, b"{}")

    def _instance(self, request, server_id: str, verb: bytes) -> None:
        if verb == b"heartbeat":
            row = documents.decode_heartbeat(server_id, request.body)
            if not pipeline.is_successful(row):
                _reply_error(request, (row.failure(),))
                return
            error = self._node.take_heartbeat(row.unwrap())
        else:
            error = self._node.end_server(server_id)
        if error is not None:
            _reply_error(request, (error,))
        else:
            request.reply(200, _JSON, b"{}")

    def _put(self, request) -> None:
        decoded = documents.decode_configuration(request.body)
        if not pipeline.is_successful(decoded):
            _reply_error(request, decoded.failure())
            return
        command = documents.proposal(request.body, decoded.unwrap())

        def on_reply(reply: result.Result):
            if pipeline.is_successful(reply):
                request.reply(200, _JSON, b"{}")
            else:
                self._reply_failure(request, reply.failure())

        self._node.put_configuration(command, on_reply)

    def _reply_read(self, request, reply: result.Result) -> None:
        if pipeline.is_successful(reply):
            content = reply.unwrap().content
            request.reply(200, _JSON, revision_machine.decompress(content))
        else:
            self._reply_failure(request, reply.failure())

    def _reply_failure(self, request, error: errors.Error) -> None:
        if isinstance(error, node_lib.SeeLeader):
            place = f"http://{error.detail}:{self._port}".encode()
            headers = (*_JSON, (b"Location", place + request.target))
            request.reply(error.http_status, headers, b"{}")
        else:
            _reply_error(request, (error,))
