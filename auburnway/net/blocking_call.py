"""Blocking HTTP calls, each on a new connection, for tools and tests."""

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
    """Makes one HTTP call on a new connection, which is closed afterwards.

    Args:
      address: `ip:port`.
      method: HTTP method.
      path: Path with query string.
      data: Value that is sent as a JSON body; None sends no body.
      headers: Additional request headers.
      timeout_s: Longest wait for each socket operation in seconds.

    Returns:
      Status, headers by lower-case name, and the decoded JSON body (None
      when the body is empty).

    Raises:
      OSError, http.client.HTTPException: No complete reply was received.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        body = None if data is None else json.dumps(data).encode()
        connection.request(method, path, body, headers or {})
        reply = connection.getresponse()
        content = reply.read()
        reply_headers = {
            name.lower(): value for name, value in reply.getheaders()
        }
        return (
            reply.status,
            reply_headers,
            json.loads(content) if content else None,
        )
    finally:
        connection.close()
