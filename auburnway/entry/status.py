"""Status page and gauges of an entry."""

from collections import abc
import dataclasses
import typing

from auburnway.core import configuration as configuration_lib
from auburnway.core import membership
from auburnway.entry import backends as backends_lib
from auburnway.kernel import metrics as metrics_lib


@dataclasses.dataclass(frozen=True)
class EntryStatus:
    """State of an entry at one instant.

    Attributes:
      name: Name of the entry.
      configuration: Configuration in force.
      may_serve: Whether the entry may serve.
      leaving: Whether a planned stop has begun.
      lease_left_ms: Remaining time of the lease from control; negative if
        the entry has no lease.
      demand: Waiting and in-flight requests by application and rank.
      unsettled_claims: Number of claims whose outcome control has not
        recorded yet.
    """

    name: str
    configuration: configuration_lib.Configuration
    may_serve: bool
    leaving: bool
    lease_left_ms: float
    demand: dict[str, dict[str, tuple[int, int]]]
    unsettled_claims: int


def status_page(
    status: EntryStatus,
    backends: backends_lib.Backends,
    peers: dict[str, typing.Any],
) -> dict[str, typing.Any]:
    """Returns the content of the status page of an entry."""
    rows = [
        {
            **membership.encode_row(row),
            "drained": backends.table.is_drained(row.name),
            "in_flight": backends.chooser.in_flight(row.name),
            "latency_ms": backends.chooser.latency_ms(row.name),
            "connections": backends.pool.connection_count(row.address),
        }
        for row in backends.table.rows()
    ]
    return {
        "entry": status.name,
        "configuration_number": status.configuration.number,
        "leased": status.may_serve,
        "leaving": status.leaving,
        "lease_left_ms": status.lease_left_ms,
        "kinds": [kind.name for kind in status.configuration.kinds],
        "peers": peers,
        "backend_servers": rows,
        "ranks": status.demand,
        "sub_requests": backends.sub_requests,
        "extra_sub_requests": backends.extra_sub_requests,
        "unsettled_claims": status.unsettled_claims,
    }


def add_gauges(
    metrics: metrics_lib.Metrics,
    get_status: abc.Callable[[], EntryStatus],
    backends: backends_lib.Backends,
) -> None:
    """Adds gauges whose values are computed at each scrape."""
    metrics.gauge(
        "configuration.number",
        "Release note in force.",
        lambda: [(get_status().configuration.number, {})],
    )
    metrics.gauge(
        "lease.remaining",
        "Time left on the configuration lease.",
        lambda: [(get_status().lease_left_ms / 1000.0, {})],
        unit="s",
    )
    metrics.gauge(
        "sub_requests",
        "Sub-requests sent to backend servers since the start.",
        lambda: [
            (backends.sub_requests, {"kind": "all"}),
            (backends.extra_sub_requests, {"kind": "extra"}),
        ],
    )
    metrics.gauge(
        "requests.in_progress",
        "Requests by application, rank and state.",
        lambda: [
            (count, {"application": a, "rank": r, "state": state})
            for a, ranks in get_status().demand.items()
            for r, counts in ranks.items()
            for state, count in zip(
                ("waiting", "in_flight"), counts, strict=True
            )
        ],
    )
