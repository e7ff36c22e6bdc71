"""HTTP calls of operators and backend servers to a control instance."""

from collections import abc
import re
import urllib.parse

import orjson
from returns import pipeline
from returns import result

from auburnway.core import errors
from auburnway.net import client_connection
from auburnway.platform import documents
from auburnway.registrar import node as node_lib
from auburnway.registrar import replies
from auburnway.registrar import revision_machine

_JSON = ((b"Content-Type", b"application/json"),)
_SERVER_PATH = re.compile(
    rb"/auburnway/instances/([^/]+)/(heartbeat|deregister)\Z"
)


def _reply_errors(request: client_connection.Request, problems) -> None:
    body = orjson.dumps({"errors": [error.as_dict() for error in problems]})
    request.reply(problems[0].http_status, _JSON, body)


class ControlCalls:
    """Serves the calls of operators and backend servers.

    Args:
      node: Control instance that executes the calls.
      port: Port on which every control instance serves these calls.
    """

    def __init__(self, node: node_lib.Node, port: int):
        self._node = node
        self._port = port

    def on_request(self, request: client_connection.Request) -> None:
        """Executes one call and replies, now or later."""
        server_match = _SERVER_PATH.match(request.path)
        endpoint = (request.method, request.path)
        if server_match is not None and request.method == b"POST":
            server_id = urllib.parse.unquote(server_match[1].decode("latin-1"))
            self._serve_backend_call(request, server_id, server_match[2])
        elif endpoint == (b"POST", b"/auburnway/config/put"):
            self._put_configuration(request)
        elif endpoint == (b"GET", b"/auburnway/config/get"):
            self._node.read_configuration(
                lambda reply: self._reply_configuration(request, reply)
            )
        else:
            request.reply(404, _JSON, b"{}")

    def _serve_backend_call(
        self, request, server_id: str, action: bytes
    ) -> None:
        on_reply = self._acknowledge(request)
        if action != b"heartbeat":
            self._node.servers.accept_stop(server_id, on_reply)
            return
        decoded = documents.decode_heartbeat(server_id, request.body)
        if pipeline.is_successful(decoded):
            self._node.servers.accept_heartbeat(decoded.unwrap(), on_reply)
        else:
            _reply_errors(request, (decoded.failure(),))

    def _put_configuration(self, request) -> None:
        decoded = documents.decode_configuration(request.body)
        if not pipeline.is_successful(decoded):
            _reply_errors(request, decoded.failure())
            return
        command = documents.make_put_command(request.body, decoded.unwrap())
        self._node.put_configuration(command, self._acknowledge(request))

    def _acknowledge(self, request) -> abc.Callable[[result.Result], None]:
        """Returns a function that replies whether a call was accepted."""

        def on_reply(reply: result.Result):
            if pipeline.is_successful(reply):
                request.reply(200, _JSON, b"{}")
            else:
                self._reply_failure(request, reply.failure())

        return on_reply

    def _reply_configuration(self, request, reply: result.Result) -> None:
        if pipeline.is_successful(reply):
            content = reply.unwrap().content
            request.reply(200, _JSON, revision_machine.decompress(content))
        else:
            self._reply_failure(request, reply.failure())

    def _reply_failure(self, request, error: errors.Error) -> None:
        if isinstance(error, replies.SeeLeader):
            leader_url = f"http://{error.detail}:{self._port}".encode()
            headers = (*_JSON, (b"Location", leader_url + request.target))
            request.reply(error.http_status, headers, b"{}")
        else:
            _reply_errors(request, (error,))
