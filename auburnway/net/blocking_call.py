"""One blocking HTTP call on its own connection, for tools and tests."""

import http.client
import json
import typing


def call(
    address: str,
    method: str,
    path: str,
    data: typing.Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> tuple[int, dict[str, str], typing.Any]:
    """Makes one HTTP call.

    Args:
      address: `ip:port`.
      method: HTTP method.
      path: Path with query string.
      data: Body, sent as JSON unless None.
      headers: Further headers.
      timeout_s: Longest wait for each socket operation in seconds.

    Returns:
      Status, headers by lower-case name, and the decoded JSON body.

    Raises:
      OSError, http.client.HTTPException: There is no whole reply.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        body = None if data is None else json.dumps(data).encode()
        connection.request(method, path, body, headers or {})
        reply = connection.getresponse()
        content = reply.read()
        lower = {name.lower(): value for name, value in reply.getheaders()}
        return reply.status, lower, json.loads(content) if content else None
    finally:
        connection.close()
