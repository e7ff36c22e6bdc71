"""Shared access to backend servers, and the wire form of sub-requests."""

import collections
import dataclasses
import random
import typing

import orjson

from auburnway.core import clock as clock_lib
from auburnway.core import membership
from auburnway.core import request as request_lib
from auburnway.core import snapshot as snapshot_lib
from auburnway.kernel import timers as timers_lib
from auburnway.net import exchange as exchange_lib
from auburnway.net import http_client


@dataclasses.dataclass
class Backends:
    """Connections, table and policies shared by all queries of an entry.

    Attributes:
      pool: Connections to backend servers.
      timers: Timer queue of the loop.
      clock: Monotonic and wall clock.
      table: Announced backend servers.
      rng: Source of jitter.
      chooser: Policy `replica_choice`.
      hedger: Policy `hedging`.
      budget: Shared budget of hedges and retries.
      guard: Strikes, trials and canaries.
      on_state: Called with a backend server's name and the state in its
        reply, so that a drain takes effect before the next announcement.
      sub_requests: Number of sub-requests sent.
      extra_sub_requests: Number of those that were hedges or retries.
      sent_counts: Number of sub-requests sent by application.
      shed_counts: Number of sub-requests by application that were refused
        for lack of a slot.
    """

    pool: http_client.HttpPool
    timers: timers_lib.TimerQueue
    clock: clock_lib.Clock
    table: membership.Table
    rng: random.Random
    chooser: typing.Any
    hedger: typing.Any
    budget: typing.Any
    guard: typing.Any
    on_state: typing.Callable[[str, str], None]
    sub_requests: int = 0
    extra_sub_requests: int = 0
    sent_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    shed_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def choose_manifest(
        self, application: str, exclude: int | None = None
    ) -> snapshot_lib.Manifest | None:
        """Returns the manifest that a new query of an application reads.

        Args:
          application: Name of the application.
          exclude: Snapshot that is not read; None for no such snapshot.
        """
        return snapshot_lib.choose_manifest(
            (
                manifest
                for manifest in self.table.manifests(application)
                if manifest.snapshot != exclude
            ),
            lambda snapshot, shard: bool(
                self.table.replicas(application, snapshot, shard)
            ),
        )

    def has_complete_manifest(self, application: str, exclude: int) -> bool:
        """Whether all shards of a snapshot other than `exclude` are served."""
        return any(
            manifest.snapshot != exclude
            and all(
                self.table.replicas(application, manifest.snapshot, shard)
                for shard, _ in manifest.weights
            )
            for manifest in self.table.manifests(application)
        )

    def count_sub_request(self, application: str, is_extra: bool) -> None:
        """Counts one sub-request in the totals and by application."""
        self.sub_requests += 1
        self.extra_sub_requests += is_extra
        self.sent_counts[application] += 1

    def pop_shed_share(self, application: str) -> float:
        """Returns the share of sub-requests shed since the last call.

        Resets the counts of the application.
        """
        sent = self.sent_counts.pop(application, 0)
        shed = self.shed_counts.pop(application, 0)
        return shed / sent if sent else 0.0


def run_payload(
    address: str,
    request: request_lib.Request,
    sub_id: str,
    snapshot: int,
    shard: int,
    time_left_ms: float,
    claim_id: str = "",
) -> bytes:
    """Returns the HTTP request of a sub-request to a backend server."""
    body = b'{"kind":"%s","snapshot":%d,"shard":%d,"query":%s}' % (
        request.kind.name.encode(),
        snapshot,
        shard,
        request.query_json,
    )
    claim = f"x-claim-id: {claim_id}\r\n" if claim_id else ""
    head = (
        f"POST /v1/run HTTP/1.1\r\nhost: {address}\r\n"
        "content-type: application/json\r\n"
        f"x-request-id: {sub_id}\r\nx-time-left-ms: {time_left_ms:.0f}\r\n"
        f"x-rank: {request.rank.name}\r\n{claim}"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def cancel_payload(address: str, sub_id: str) -> bytes:
    """Returns the HTTP request that cancels a sub-request."""
    body = b'{"request_id":"%s"}' % sub_id.encode()
    head = (
        f"POST /v1/cancel HTTP/1.1\r\nhost: {address}\r\n"
        "content-type: application/json\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def not_started(reply: exchange_lib.Reply) -> bool:
    """Whether the reply proves that the server did not run the request."""
    return not reply.reached or reply.headers.get("x-not-started") == "1"


def busy_slots(reply: exchange_lib.Reply) -> int | None:
    """Returns the number of busy slots that a reply states, or None."""
    value = reply.headers.get("x-busy-slots", "")
    return int(value) if value.isdigit() else None


def parse_records(
    reply: exchange_lib.Reply, sub_id: str, snapshot: int, shard: int
) -> list[typing.Any] | None:
    """Returns the records of a reply if the reply matches its sub-request.

    Args:
      reply: Reply or failure of the exchange.
      sub_id: Request identifier of the sub-request.
      snapshot: Requested snapshot.
      shard: Requested shard.

    Returns:
      Records, or None if the sub-request failed or the reply belongs to
      another one.
    """
    if reply.status != 200:
        return None
    try:
        data = orjson.loads(reply.body)
        matches = (
            data["request_id"] == sub_id
            and data["snapshot"] == snapshot
            and data["shard"] == shard
        )
        return data["records"] if matches else None
    except (ValueError, KeyError, TypeError):
        return None
