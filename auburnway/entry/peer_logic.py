"""Protocol between entries, without a socket.

The input consists of datagrams and clock ticks. Outgoing datagrams are passed
to the function `send`. The protocol has four parts:

- Heartbeats (`core.peer_state`), to all peers or to a sample of them. When
  only a sample is used, the receiver answers each heartbeat at once, and each
  heartbeat carries the ages of the sender's last contacts with other peers.
- Changes (rows, configurations, strikes), sent at once and repeated until
  acknowledged (`net.peer_wire`).
- Anti-entropy: a comparison of table digests each second finds rows that were
  lost.
- Renewals: identifiers of the backend servers that announced themselves to
  this entry within the last second. A renewal extends the servers' leases at
  entries to which the servers do not announce themselves.
"""

from collections import abc
import dataclasses
import random
import typing

import loguru
import msgpack

from auburnway.core import clock as clock_lib
from auburnway.core import isolation
from auburnway.core import membership
from auburnway.core import peer_state
from auburnway.entry import peer_table
from auburnway.entry import peer_view
from auburnway.net import peer_wire

REPAIR_INTERVAL_MS = 1000.0
# A heartbeat requests a reply when the peer's last answer is this old, so that
# two lost datagrams in a row do not make the peer suspected.
REPLY_REQUEST_AGE_MS = 500.0
# Renewed rows per datagram; each identifier has 9 bytes.
MAX_RENEWALS = 120
# Interval between messages with a demand that is too large for heartbeats.
DEMAND_INTERVAL_MS = 1000.0
# Table digests differ while a change is in transit, so only a difference that
# lasts two heartbeats is repaired. An entry with an empty table requests rows
# at once.
LASTING_DIFFERENCE_MS = 400.0
# A new configuration is pushed to at most this many peers. The others learn
# from heartbeats that theirs is outdated.
MAX_CONFIGURATION_PUSHES = 16


@dataclasses.dataclass
class PeerCallbacks:
    """Handlers of data that peers relay."""

    on_row: abc.Callable[[membership.Row], None]
    on_configuration: abc.Callable[[bytes, int], None]
    on_strikes: abc.Callable[[list], None]


class PeerLogic:
    """State machine of one entry in the exchange with its peers."""

    def __init__(
        self,
        clock: clock_lib.Clock,
        rng: random.Random,
        send: abc.Callable[[str, bytes], None],
        name: str,
        own_addresses: tuple[str, str],
        data_center: str,
        seeds: abc.Iterable[str],
        token: str,
        table: membership.Table,
        callbacks: PeerCallbacks,
        mode: isolation.Mode = isolation.Mode.MAJORITY,
    ):
        """Creates the state.

        Args:
          clock: Clock of this entry.
          rng: Source of the random samples.
          send: Called with an address and a datagram to send.
          name: Name of this entry.
          own_addresses: Caller and peer address of this entry, `ip:port`.
          data_center: Data centre of this entry.
          seeds: Peer addresses to contact; this entry's address is ignored.
          token: Fleet token.
          table: Backend table; rows from peers are stored there.
          callbacks: Handlers of data that peers relay.
          mode: Setting `when_isolated`.
        """
        self._clock = clock
        self._rng = rng
        self._send_datagram = send
        self._datagram_codec = peer_wire.DatagramCodec(token)
        self.view = peer_view.PeerView(
            clock, rng, name, own_addresses, data_center, mode
        )
        self._seeds = frozenset(s for s in seeds if s != own_addresses[1])
        # Addresses contacted since the last maintenance round.
        self._contacted: set[str] = set()
        self._callbacks = callbacks
        self._peer_table = peer_table.PeerTable(table, callbacks.on_row)
        self._configuration: tuple[bytes, int] = (b"", peer_state.NO_NUMBER)
        self._next_heartbeat_ms = peer_view.NEVER
        self._next_maintenance_ms = peer_view.NEVER
        self._next_summary_ms = peer_view.NEVER
        self._rejected_count = 0

    # State and changes of this entry.

    def set_own_state(
        self,
        number: int,
        digest: str,
        lease_end_ms: float,
        leaving: bool,
        demand: peer_state.Demand,
    ) -> None:
        """Sets the state of this entry that the next heartbeats carry."""
        was_leaving = self.view.leaving
        self.view.set_own_state(number, digest, lease_end_ms, leaving, demand)
        if leaving != was_leaving:
            # The change goes to all peers, not to a sample: no peer may
            # name this entry to callers when the listener closes.
            self._send_change("leaving", leaving)

    def relay_row(self, row: membership.Row) -> None:
        """Sends a changed row to all peers."""
        self._peer_table.store_announced(row)
        self._send_change("rows", [membership.encode_row(row)])

    def record_renewal(self, name: str) -> None:
        """Records that a backend server announced itself to this entry."""
        self._peer_table.record_renewal(name)

    def relay_configuration(self, data: bytes, number: int) -> None:
        """Sends a configuration to peers with an older one."""
        if number > self._configuration[1]:
            self._configuration = (data, number)
            self._push_configuration(MAX_CONFIGURATION_PUSHES)

    def relay_strikes(self, strikes: list) -> None:
        """Sends strikes to all peers."""
        self._send_change("strikes", strikes)

    def status(self) -> dict[str, typing.Any]:
        """Returns the state of each peer and the counters."""
        return {
            "peers": self.view.status(),
            "table_digest": self._peer_table.digest.total,
            "rejected": self._rejected_count,
        }

    # Periodic work.

    def tick(self) -> None:
        """Runs periodic work that is due; must be called every 50 ms."""
        now_ms = self._clock.now_ms()
        if now_ms >= self._next_heartbeat_ms:
            self._next_heartbeat_ms = now_ms + peer_state.HEARTBEAT_MS
            self._heartbeat_round(now_ms)
        if now_ms >= self._next_maintenance_ms:
            self._next_maintenance_ms = now_ms + REPAIR_INTERVAL_MS
            self._maintenance_round(now_ms)
        for peer in self.view.peers.values():
            if peer.channel.queued:
                self._flush(peer)

    def _heartbeat_round(self, now_ms: float) -> None:
        targets = list(self.view.peers.values())
        is_sampled = self.view.is_sampled
        if is_sampled:
            targets = self._rng.sample(
                targets, peer_state.HEARTBEAT_SAMPLE_SIZE
            )
        for peer in targets:
            needs_reply = now_ms - peer.last_alive_ms > REPLY_REQUEST_AGE_MS
            self._send_heartbeat(peer.address, peer, is_sampled or needs_reply)

    def _maintenance_round(self, now_ms: float) -> None:
        for peer in tuple(self.view.peers.values()):
            if now_ms - peer.last_received_ms > peer_view.REMOVE_AFTER_MS:
                self.view.remove_peer(peer)
            elif not self.view.is_reachable(peer):
                # The queue would be obsolete when the peer is reachable
                # again; the comparison of digests then finds missing rows.
                peer.channel.clear()
        self._contacted.clear()
        for address in self._seeds:
            self._contact(address)
        renewed_ids = self._peer_table.pop_renewals()
        if renewed_ids:
            for peer in self.view.live_peers():
                for start in range(0, len(renewed_ids), MAX_RENEWALS):
                    batch = renewed_ids[start : start + MAX_RENEWALS]
                    self._send(peer.address, "renew", batch)

    def _send_heartbeat(
        self, address: str, peer: peer_view.Peer | None, wants_reply: bool
    ) -> None:
        content = self.view.make_heartbeat(
            peer, wants_reply, self._peer_table.digest.total
        )
        self._send(address, "hb", content)
        if peer is None or not self.view.has_large_demand:
            return
        now_ms = self._clock.now_ms()
        if now_ms - peer.demand_sent_ms >= DEMAND_INTERVAL_MS:
            peer.demand_sent_ms = now_ms
            peer.channel.send("demand", self.view.demand)

    # Datagrams.

    def receive(self, source: str, datagram: bytes) -> None:
        """Handles a received datagram.

        Args:
          source: Sender's address, `ip:port`.
          datagram: Bytes of the datagram; ignored unless authentic.
        """
        body = self._datagram_codec.decode(datagram)
        try:
            kind, name, started_ms, content = body
            if name == self.view.name:
                return
            self._handle(source, kind, name, started_ms, content)
        except (TypeError, ValueError, KeyError, AttributeError) as error:
            # The datagram has another protocol version or is not authentic.
            self._rejected_count += 1
            # Only counts that are powers of two are logged, so that a flood
            # does not fill the log.
            if self._rejected_count & (self._rejected_count - 1) == 0:
                loguru.logger.warning(
                    "rejected datagram from {}: {}", source, error
                )

    def _handle(self, source, kind, name, started_ms, content):
        peer = self.view.peers.get(name)
        if kind == "hb":
            self._on_heartbeat(name, started_ms, content)
        elif peer is None or peer.started_ms != started_ms:
            # The heartbeat that introduces this peer was lost or is late. The
            # peer repeats unacknowledged parts.
            return
        elif kind == "part":
            part_number, message = peer.channel.receive_part(content)
            if part_number:
                self._send(peer.address, "ack", [part_number])
            if message is not None:
                self._on_message(peer, *message)
        elif kind == "ack":
            peer.channel.acknowledge(content)
            self._flush(peer)
        elif kind == "renew":
            self._fetch(
                peer,
                self._peer_table.apply_renewals(content, self._clock.now_ms()),
            )
        elif kind == "summary":
            self._on_summary(peer, content)

    def _on_heartbeat(self, name, started_ms, content):
        accepted = self.view.apply_heartbeat(name, started_ms, content)
        if accepted is None:
            return
        peer, heartbeat, is_new = accepted
        for address in content[1]:
            self._contact(address)
        if heartbeat.wants_reply or is_new:
            self._send_heartbeat(peer.address, peer, False)
        if is_new:
            self._send_known_addresses(peer)
        self._compare_heartbeat(peer, heartbeat)

    def _send_known_addresses(self, peer: peer_view.Peer) -> None:
        """Sends the addresses of the other peers to a new peer."""
        other_addresses = [
            p.address for p in self.view.peers.values() if p is not peer
        ]
        if other_addresses:
            peer.channel.send("peers", other_addresses)
        self._flush(peer)

    def _on_message(self, peer: peer_view.Peer, kind: str, content) -> None:
        if kind == "rows":
            self._peer_table.merge_rows(content, self._clock.now_ms())
        elif kind == "versions":
            newer_rows, ids_to_fetch = self._peer_table.compare_bucket(*content)
            self._send_rows(peer, newer_rows)
            self._fetch(peer, ids_to_fetch)
        elif kind == "fetch":
            self._send_rows(peer, self._peer_table.encode_rows(content))
        elif kind == "configuration":
            data, number = content
            if number > self._configuration[1]:
                self._configuration = (data, number)
                self._callbacks.on_configuration(data, number)
                if self.view.is_sampled:
                    self._push_configuration(peer_state.HEARTBEAT_SAMPLE_SIZE)
        elif kind == "fetch_configuration":
            self._push_configuration_to(peer)
        elif kind == "strikes":
            self._callbacks.on_strikes(content)
        elif kind == "peers":
            for address in content[: peer_view.MAX_PEERS]:
                self._contact(address)
        elif kind == "leaving":
            peer.leaving = bool(content)
        elif kind == "demand":
            peer.demand = dict(content)

    # Anti-entropy.

    def _compare_heartbeat(self, peer: peer_view.Peer, heartbeat) -> None:
        """Compares a peer's heartbeat with the state of this entry.

        Requests a newer configuration, and starts the repair of the backend
        table after a lasting difference.
        """
        now_ms = self._clock.now_ms()
        known_number = max(self.view.number, self._configuration[1])
        if (
            heartbeat.number > known_number
            and now_ms - peer.last_fetch_ms >= REPAIR_INTERVAL_MS
        ):
            peer.last_fetch_ms = now_ms
            peer.channel.send("fetch_configuration", known_number)
            self._flush(peer)
        if heartbeat.table == self._peer_table.digest.total:
            peer.differs_since_ms = None
            return
        if peer.differs_since_ms is None:
            peer.differs_since_ms = now_ms
        is_lasting = now_ms - peer.differs_since_ms >= LASTING_DIFFERENCE_MS
        if (
            (is_lasting or not self._peer_table.digest.total)
            and now_ms - peer.last_summary_ms >= REPAIR_INTERVAL_MS
            and now_ms >= self._next_summary_ms
        ):
            # One peer at a time: the differences from several peers are
            # usually the same rows.
            self._next_summary_ms = now_ms + peer_state.HEARTBEAT_MS
            peer.last_summary_ms = now_ms
            self._send(peer.address, "summary", self._peer_table.digest.buckets)

    def _on_summary(self, peer: peer_view.Peer, buckets) -> None:
        if len(buckets) != peer_state.DIGEST_BUCKETS:
            raise ValueError("malformed summary")
        for rows in self._peer_table.differing_buckets(buckets):
            peer.channel.send("versions", rows)
        self._flush(peer)

    def _send_rows(self, peer: peer_view.Peer, rows) -> None:
        for batch in peer_table.datagram_batches(rows):
            peer.channel.send("rows", batch)
        self._flush(peer)

    def _fetch(self, peer: peer_view.Peer, ids_to_fetch: list[int]) -> None:
        if ids_to_fetch:
            peer.channel.send("fetch", ids_to_fetch)
            self._flush(peer)

    def _push_configuration(self, limit: int) -> None:
        outdated_peers = [
            peer
            for peer in self.view.live_peers()
            if peer.heartbeat is None
            or peer.heartbeat.number < self._configuration[1]
        ]
        for peer in self._rng.sample(
            outdated_peers, min(limit, len(outdated_peers))
        ):
            self._push_configuration_to(peer)

    def _push_configuration_to(self, peer: peer_view.Peer) -> None:
        data, number = self._configuration
        if number != peer_state.NO_NUMBER:
            peer.channel.send("configuration", [data, number])
            self._flush(peer)

    # Helpers.

    def _send_change(self, kind: str, content) -> None:
        """Sends a change to all peers, repeated until acknowledged."""
        data = msgpack.packb([kind, content])
        for peer in self.view.peers.values():
            if self.view.is_reachable(peer):
                peer.channel.send_packed(data)
                self._flush(peer)

    def _contact(self, address: str) -> None:
        """Sends a heartbeat to an unknown address, at most once a second."""
        if address == self.view.peer_address or address in self._contacted:
            return
        if address in self.view.known_addresses():
            return
        if len(self._contacted) < peer_view.MAX_PEERS:
            self._contacted.add(address)
            self._send_heartbeat(address, None, True)

    def _flush(self, peer: peer_view.Peer) -> None:
        for body in peer.channel.due_parts(self._clock.now_ms()):
            self._send(peer.address, "part", body)

    def _send(self, address: str, kind: str, content) -> None:
        body = [kind, self.view.name, self.view.started_ms, content]
        datagram = self._datagram_codec.encode(body)
        if len(datagram) > peer_wire.MAX_DATAGRAM_BYTES:
            raise AssertionError(
                f"datagram of kind {kind} exceeds the size limit"
            )
        self._send_datagram(address, datagram)
