"""Metrics of a control instance."""

import typing

from auburnway.kernel import plain_metrics

if typing.TYPE_CHECKING:
    from auburnway.registrar import node as node_lib


class Telemetry:
    """Gauges of one control instance.

    Args:
      node: Control instance whose state the gauges report.
      dropped_lines: Function that returns the number of dropped log lines.
    """

    def __init__(self, node: "node_lib.Node", dropped_lines):
        self._metrics = plain_metrics.Metrics("control")
        consensus = node.consensus
        gauge = self._metrics.gauge
        gauge(
            "configuration.revision",
            "Committed revision; -1 before the first.",
            lambda: [(consensus.state.revision, {})],
        )
        gauge("consensus.term", "Term.", lambda: [(consensus.raft.term, {})])
        gauge(
            "consensus.is_leader",
            "1 on the leader.",
            lambda: [(int(consensus.is_leader), {})],
        )
        gauge(
            "consensus.voters",
            "Voters of the latest member set.",
            lambda: [(sum(m.voter for m in consensus.raft.members), {})],
        )
        gauge(
            "consensus.disk_full",
            "1 while the instance takes no part because its disk is full.",
            lambda: [(int(consensus.has_full_disk), {})],
        )
        gauge(
            "consensus.survivable_losses",
            "Further voters that may be lost; only on the leader.",
            lambda: _survivable_losses(consensus),
        )
        gauge(
            "consensus.log.size",
            "Size of the log on disk.",
            lambda: [(consensus.log_bytes, {})],
            unit="bytes",
        )
        gauge(
            "entries",
            "Entries that are connected.",
            lambda: [(node.entry_count, {})],
        )
        gauge(
            "backend.servers",
            "Known backend servers, ended ones included.",
            lambda: [(len(node.table), {})],
        )
        gauge(
            "backend.departures.waiting",
            "Drains and stops that wait until enough instances saved them.",
            lambda: [(node.servers.waiting_count, {})],
        )
        gauge(
            "backend.departures.refused",
            "Drains and stops that too few instances saved in time, since the"
            " start.",
            lambda: [(node.servers.refused_count, {})],
        )
        gauge(
            "requests.quarantined",
            "Requests that entries do not run as they crash backend servers.",
            lambda: [(node.crash_reports.quarantined_count, {})],
        )
        gauge(
            "log.dropped_lines",
            "Log lines dropped since the start.",
            lambda: [(dropped_lines(), {})],
        )

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return self._metrics.text()


def _survivable_losses(consensus):
    leader = consensus.raft.leader_state
    return [] if leader is None else [(leader.survivable_losses(), {})]
