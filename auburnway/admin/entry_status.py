"""Status pages of entries, and the view of all of them together."""

from collections import abc
import http.client
import json
import typing
import urllib.request

from returns import result

from auburnway.core import errors

# An entry with thousands of backend servers answers some megabytes.
MAX_BODY_BYTES = 64 << 20


class EntryUnreachable(errors.Error):
    """An entry did not answer its status page."""

    code = "entry_unreachable"
    remedy = "Check that the entry runs and that its address is right."
    exit_code = 4


def fetch(
    address: str, timeout_ms: float
) -> result.Result[dict[str, typing.Any], errors.Error]:
    """Returns `GET /v1/status` of an entry.

    Args:
      address: `ip:port`.
      timeout_ms: Longest silence of the connection.
    """
    # Proxies of the environment are for other networks.
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(
            f"http://{address}/v1/status", timeout=timeout_ms / 1000
        ) as reply:
            data = json.loads(reply.read(MAX_BODY_BYTES))
    except (OSError, ValueError, http.client.HTTPException) as error:
        return result.Failure(EntryUnreachable(str(error), address))
    if not isinstance(data, dict):
        detail = "the status page is no JSON object"
        return result.Failure(EntryUnreachable(detail, address))
    return result.Success(data)


def merge(
    pages: abc.Iterable[dict[str, typing.Any]],
) -> list[dict[str, typing.Any]]:
    """Returns the backend servers that the entries see together.

    Args:
      pages: Status pages of entries.

    Returns:
      One row per backend server by name: the newest version that an entry
      has, requests in flight from all entries, and the greatest latency.
    """
    merged: dict[str, dict[str, typing.Any]] = {}
    for page in pages:
        for row in page.get("backend_servers", ()):
            other = merged.get(row["name"])
            if other is None:
                merged[row["name"]] = dict(row)
                continue
            newest = max(row, other, key=_version)
            merged[row["name"]] = {
                **newest,
                "in_flight": _number(row, "in_flight")
                + _number(other, "in_flight"),
                "latency_ms": max(
                    _number(row, "latency_ms"), _number(other, "latency_ms")
                ),
            }
    return [merged[name] for name in sorted(merged)]


def _version(row) -> tuple[int, int]:
    return (row.get("started_ms", 0), row.get("sequence", 0))


def _number(row, key) -> float:
    # An entry that sent a server nothing yet knows no latency.
    return row.get(key) or 0
