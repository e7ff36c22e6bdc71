"""Clients and operators of the simulated platform, for the soak.

Only this module decodes names and formats of the platform; the soak uses the
types below.
"""

import dataclasses
import http.client
import json
import typing

from auburnway.platform import testing

MAX_REDIRECTS = 2


@dataclasses.dataclass(frozen=True)
class Answer:
    """A complete answer to a client.

    Attributes:
      status: HTTP status.
      signatures: Signatures of the backend servers that contributed.
      missing_shards: Number of shards that the answer reports as missing.
      body: Body.
      closes_connection: Whether the connection is closed after the answer.
    """

    status: int
    signatures: tuple[str, ...]
    missing_shards: int
    body: bytes
    closes_connection: bool


class Connection:
    """A client's persistent connection to one entry.

    Args:
      platform: Platform of the entry.
      entry: Index of the entry.
      timeout_s: Maximum wait of each socket operation in seconds.
    """

    def __init__(
        self, platform: testing.Platform, entry: int, timeout_s: float
    ):
        self._connection = http.client.HTTPConnection(
            platform.entries[entry].ip, platform.CLIENT_PORT, timeout=timeout_s
        )

    def exchange(
        self,
        request_id: str,
        path: str,
        body: bytes,
        deadline_ms: int,
        is_gathered: bool,
    ) -> Answer:
        """Sends one request and returns its answer.

        Args:
          request_id: Id of the request.
          path: Path of the request, which selects the route.
          body: Body of the request.
          deadline_ms: Time in ms for which the client waits.
          is_gathered: Whether the answer is gathered from several shards.

        Raises:
          OSError, http.client.HTTPException: No complete answer was received.
        """
        headers = {
            "Host": "h.example",
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
        }
        self._connection.request("POST", path, body, headers)
        response = self._connection.getresponse()
        answer_body = response.read()
        reply_headers = {k.lower(): v for k, v in response.getheaders()}
        # A gathered answer has one signature per shard, any other answer the
        # signature of one backend server.
        signature_header = "part-stamps" if is_gathered else "response-stamp"
        joined_signatures = reply_headers.get(signature_header, "")
        return Answer(
            response.status,
            tuple(filter(None, joined_signatures.split(", "))),
            int(reply_headers.get("missing-parts", 0)),
            answer_body,
            response.will_close,
        )


def resolve_entries(platform: testing.Platform, entry: int) -> tuple[int, ...]:
    """Returns the indices of the entries that a directory lists.

    Args:
      platform: Platform of the directory.
      entry: Index of the entry whose directory is called.

    Returns:
      The indices; empty when the call fails.
    """
    ips = [machine.ip for machine in platform.entries]
    address = f"{ips[entry]}:{platform.DIRECTORY_PORT}"
    path = "/auburnway/resolve?Name=h.example&Zone=z"
    try:
        status, _, body = testing.call(address, "GET", path, timeout_s=1.0)
    except (OSError, http.client.HTTPException):
        return ()
    if status != 200:
        return ()
    addresses = json.loads(body)["addrs"]
    return tuple(
        ips.index(entry_address.rpartition(":")[0])
        for entry_address in addresses
    )


def put_version(
    platform: testing.Platform, control: int, version: int, timeout_s: float
) -> int | None:
    """Sends the test configuration with a version to a control instance.

    Returns:
      HTTP status of the reply; None when the outcome is unknown.
    """
    body = testing.configuration(version)
    reply = _call_control(
        platform, control, "POST", "/auburnway/config/put", body, timeout_s
    )
    return reply[0] if reply is not None else None


def read_version(
    platform: testing.Platform, control: int, timeout_s: float
) -> int | None:
    """Reads the version of the configuration in force from a control instance.

    Returns:
      The version; None when the call fails.
    """
    reply = _call_control(
        platform, control, "GET", "/auburnway/config/get", None, timeout_s
    )
    if reply is None or reply[0] != 200:
        return None
    return json.loads(reply[2])["Version"]


def _call_control(
    platform: testing.Platform,
    control: int,
    method: str,
    path: str,
    body: dict[str, typing.Any] | None,
    timeout_s: float,
):
    """Calls a control instance and follows redirects; None when it fails."""
    address = f"{platform.controls[control].ip}:{platform.CONTROL_PORT}"
    for _ in range(MAX_REDIRECTS + 1):
        try:
            reply = testing.call(
                address, method, path, body, timeout_s=timeout_s
            )
        except (OSError, http.client.HTTPException):
            return None
        if reply[0] != 307:
            return reply
        address = reply[1]["Location"].split("/")[2]
    return None
