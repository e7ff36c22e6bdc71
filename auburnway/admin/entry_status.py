"""Reads the status pages of entries and merges their backend servers."""

from collections import abc
import http.client
import json
import typing
import urllib.request

from returns import result

from auburnway.core import errors
from auburnway.net import blocking_call


class EntryUnreachable(errors.Error):
    """An entry did not return its status page."""

    code = "entry_unreachable"
    remedy = "Check that the entry runs and that its address is right."
    exit_code = 4


def fetch(
    address: str, timeout_ms: float
) -> result.Result[dict[str, typing.Any], errors.Error]:
    """Reads the status page of an entry, `GET /v1/status`.

    Args:
      address: `ip:port`.
      timeout_ms: Longest time in ms until the connection and the page.

    Returns:
      The decoded page, or `EntryUnreachable`.
    """
    # Entries are reached directly: a proxy named by an environment variable is
    # for other networks.
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(
            f"http://{address}/v1/status", timeout=timeout_ms / 1000
        ) as reply:
            timeout_s = timeout_ms / 1000
            data = json.loads(blocking_call.read_body(reply, timeout_s))
    except (OSError, ValueError, http.client.HTTPException) as error:
        return result.Failure(EntryUnreachable(str(error), address))
    if not isinstance(data, dict):
        detail = "the status page is not a JSON object"
        return result.Failure(EntryUnreachable(detail, address))
    return result.Success(data)


def merge_backend_servers(
    pages: abc.Iterable[dict[str, typing.Any]],
) -> list[dict[str, typing.Any]]:
    """Merges the backend server rows of several entries.

    Args:
      pages: Status pages of entries.

    Returns:
      One row per backend server, sorted by name: the newest version of the
      row, the sum of the requests in flight, and the greatest latency.
    """
    merged: dict[str, dict[str, typing.Any]] = {}
    for page in pages:
        for row in page.get("backend_servers", ()):
            existing = merged.get(row["name"])
            if existing is None:
                merged[row["name"]] = dict(row)
                continue
            newest = max(row, existing, key=_row_version)
            merged[row["name"]] = {
                **newest,
                "in_flight": _number_or_zero(row, "in_flight")
                + _number_or_zero(existing, "in_flight"),
                "latency_ms": max(
                    _number_or_zero(row, "latency_ms"),
                    _number_or_zero(existing, "latency_ms"),
                ),
            }
    return [merged[name] for name in sorted(merged)]


def _row_version(row) -> tuple[int, int]:
    return (row.get("started_ms", 0), row.get("sequence", 0))


def _number_or_zero(row, key) -> float:
    # The latency is null until the entry has sent the server a request.
    return row.get(key) or 0
