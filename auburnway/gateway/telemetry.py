"""Metrics of an entry."""

import typing

from auburnway.kernel import plain_metrics

if typing.TYPE_CHECKING:
    from auburnway.gateway import node as node_lib


class Telemetry:
    """Counters, durations and gauges of one entry.

    Args:
      node: Entry whose state the gauges report.
      dropped_lines: Function that returns the number of dropped log lines.
    """

    def __init__(self, node: "node_lib.Node", dropped_lines):
        self._metrics = plain_metrics.Metrics("entry")
        self._answers = self._metrics.counter(
            "answers", "Answers by rank, status and reason."
        )
        self._durations = self._metrics.duration(
            "request", "Time from the whole request to its answer."
        )
        gauge = self._metrics.gauge
        gauge(
            "configuration.revision",
            "Revision in force; -1 before the first.",
            lambda: [(node.feed.revision, {})],
        )
        gauge(
            "control.streams",
            "Control instances that are connected.",
            lambda: [(node.feed.control_count, {})],
        )
        gauge(
            "backend.servers",
            "Known backend servers, ended ones included.",
            lambda: [(len(node.feed.table), {})],
        )
        gauge(
            "backend.servers.limited",
            "Backend servers that state a rate limit.",
            lambda: [(node.dispatcher.gates.limited_count, {})],
        )
        gauge(
            "backend.servers.paused",
            "Backend servers that want no request now.",
            lambda: [(node.dispatcher.gates.paused_count, {})],
        )
        gauge(
            "requests.quarantined",
            "Requests that are not run as they crash backend servers.",
            lambda: [(node.dispatcher.crash_guard.quarantined_count, {})],
        )
        gauge(
            "requests.strikes",
            "Backend servers lost while they ran a request of this entry, for"
            " each request, since the start.",
            lambda: [(node.dispatcher.crash_guard.strike_count, {})],
        )
        gauge(
            "table.requests",
            "Requests for the table of servers, as news did not arrive.",
            lambda: [(node.feed.table_request_count, {})],
        )
        gauge(
            "backend.connections",
            "Open connections to backend servers.",
            lambda: [(node.dispatcher.pool.connection_count(), {})],
        )
        gauge(
            "extra.sends",
            "Hedges, denied hedges and retries since the start.",
            lambda: [
                (count, {"kind": kind})
                for kind, count in node.dispatcher.extra_send_counts.items()
            ],
        )
        gauge(
            "log.dropped_lines",
            "Log lines dropped since the start.",
            lambda: [(dropped_lines(), {})],
        )

    def on_answer(
        self, rank: int, status: int, reason: str, took_ms: float
    ) -> None:
        """Records one answer to a client.

        Args:
          rank: Rank of the route; -1 without a route.
          status: HTTP status.
          reason: Cause of the answer, from a fixed set of names.
          took_ms: Time from the whole request to its answer.
        """
        attributes = {"rank": rank, "status": status, "reason": reason}
        self._answers.add(1, attributes)
        self._durations.record(took_ms / 1000.0, {"rank": rank})

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return self._metrics.text()
