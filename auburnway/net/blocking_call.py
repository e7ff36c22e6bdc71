"""Blocking HTTP calls, each on a new connection, for tools and tests."""

import http.client
import json
import time
import typing

# Largest body of a reply; the status page of an entry with thousands of backend
# servers has several megabytes.
MAX_BODY_BYTES = 64 << 20
READ_BYTES = 1 << 16


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
        content = read_body(reply, timeout_s)
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


def read_body(
    reply: http.client.HTTPResponse,
    timeout_s: float,
    max_bytes: int = MAX_BODY_BYTES,
) -> bytes:
    """Reads the body of a reply that may be sent slowly or without end.

    Args:
      reply: Reply whose headers were read.
      timeout_s: Longest time until the end of the body in seconds.
      max_bytes: Largest size of the body.

    Raises:
      OSError, http.client.HTTPException: The body is incomplete or too large,
        or did not end in time.
    """
    end_s = time.monotonic() + timeout_s
    body = bytearray()
    while data := reply.read1(READ_BYTES):
        body += data
        if len(body) > max_bytes:
            raise http.client.HTTPException(f"body over {max_bytes} bytes")
        if time.monotonic() > end_s:
            raise TimeoutError(f"body did not end in {timeout_s} s")
    if reply.length:
        raise http.client.IncompleteRead(bytes(body), reply.length)
    return bytes(body)
