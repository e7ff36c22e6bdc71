"""Clients and operators of the stand-in platform, for the soak.

Names and formats of the platform are decoded here, once; the soak sees only
the types below.
"""

import dataclasses
import http.client
import json
import typing

from auburnway.platform import testing

MAX_REDIRECTS = 2


@dataclasses.dataclass(frozen=True)
class Answer:
    """A whole answer to a client.

    Attributes:
      status: HTTP status.
      signatures: Proofs of the backend servers that have a part in it.
      missing: Number of shards that it says are missing.
      body: Body.
      closes: Whether it ends its connection.
    """

    status: int
    signatures: tuple[str, ...]
    missing: int
    body: bytes
    closes: bool


class Connection:
    """A client's connection to one entry, kept for many requests.

    Args:
      platform: Platform of the entry.
      entry: Index of the entry.
      timeout_s: Longest wait for an answer, in seconds.
    """

    def __init__(
        self, platform: testing.Platform, entry: int, timeout_s: float
    ):
        self._connection = http.client.HTTPConnection(
            platform.entries[entry].ip, platform.FRONT_PORT, timeout=timeout_s
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
          request_id: Identity of the request.
          path: Path of its route.
          body: Its body.
          deadline_ms: Time that the client waits, in ms.
          is_gathered: Whether its answer is made of the parts of shards.

        Raises:
          OSError, http.client.HTTPException: There is no whole answer.
        """
        headers = {
            "Host": "h.example",
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
        }
        self._connection.request("POST", path, body, headers)
        response = self._connection.getresponse()
        answer = response.read()
        found = {k.lower(): v for k, v in response.getheaders()}
        # A gathered answer names its parts, any other one its server.
        name = "part-stamps" if is_gathered else "response-stamp"
        signed = found.get(name, "")
        return Answer(
            response.status,
            tuple(filter(None, signed.split(", "))),
            int(found.get("missing-parts", 0)),
            answer,
            response.will_close,
        )


def named_entries(platform: testing.Platform, entry: int) -> tuple[int, ...]:
    """Returns the indices of the entries that a directory names.

    Args:
      platform: Platform of the directory.
      entry: Index of the entry that is asked.

    Returns:
      The indices; empty when the directory does not answer.
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
    named = json.loads(body)["addrs"]
    return tuple(ips.index(one.rpartition(":")[0]) for one in named)


def send_version(
    platform: testing.Platform, control: int, version: int, timeout_s: float
) -> int | None:
    """Sends a configuration to a control instance.

    Returns:
      HTTP status; None without a clear answer.
    """
    body = testing.configuration(version)
    got = _operate(
        platform, control, "POST", "/auburnway/config/put", body, timeout_s
    )
    return got[0] if got is not None else None


def read_version(
    platform: testing.Platform, control: int, timeout_s: float
) -> int | None:
    """Reads the version in force from a control instance.

    Returns:
      The version; None without a clear answer.
    """
    got = _operate(
        platform, control, "GET", "/auburnway/config/get", None, timeout_s
    )
    if got is None or got[0] != 200:
        return None
    return json.loads(got[2])["Version"]


def _operate(
    platform: testing.Platform,
    control: int,
    method: str,
    path: str,
    body: dict[str, typing.Any] | None,
    timeout_s: float,
):
    """Calls one control instance, and follows its redirects."""
    address = f"{platform.controls[control].ip}:{platform.CONTROL_PORT}"
    for _ in range(MAX_REDIRECTS + 1):
        try:
            got = testing.call(address, method, path, body, timeout_s=timeout_s)
        except (OSError, http.client.HTTPException):
            return None
        if got[0] != 307:
            return got
        address = got[1]["Location"].split("/")[2]
    return None
