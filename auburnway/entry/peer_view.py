"""Membership view of one entry: states of its peers and its own state.

Heartbeats (`core.peer_state`) go to all peers or to a sample of them. When
only a sample is used, the receiver answers each heartbeat at once, and each
heartbeat carries the ages of the sender's last contacts with other peers. This
module builds and evaluates heartbeats; sending them is left to `peer_logic`.
"""

from collections import abc
import random
import typing

import msgpack

from auburnway.core import clock as clock_lib
from auburnway.core import isolation
from auburnway.core import peer_state
from auburnway.net import peer_wire

# A peer that was silent for this long is removed; seeds are always contacted.
REMOVE_AFTER_MS = 30_000.0
MAX_PEERS = 1024
# For this time after its start, an entry does not report that it holds no
# lease: control may still count the lease of the previous incarnation.
STARTUP_GRACE_MS = 1500.0
# A larger demand is sent in a separate message each second, not in heartbeats.
MAX_DEMAND_BYTES = 400
# With these limits a heartbeat fits one datagram.
MAX_NAME_BYTES = 64
# Ages of other peers per heartbeat; each has 9 bytes.
MAX_AGES = 32
# The list of ages is rebuilt after this time; until then each age increases
# with the clock.
AGES_REFRESH_MS = 50.0
# One heartbeat out of this many names two other peers to the receiver.
INTRODUCTION_PERIOD = 5
# Own heartbeats whose send times are stored: 6 s with 15 peers.
MAX_STORED_SEND_TIMES = 512
NEVER = float("-inf")
_LEASED, _SAME_NUMBER, _SAME_REGISTERED = 1, 2, 4


class Peer:
    """State of one other entry."""

    def __init__(self, name: str, started_ms: int, now_ms: float):
        self.name = name
        self.started_ms = started_ms
        self.address = ""
        self.heartbeat: peer_state.Heartbeat | None = None
        self.channel = peer_wire.Channel()
        # Latest instant at which the peer is known to have been alive.
        self.last_alive_ms = NEVER
        # Arrival of the last heartbeat that came directly from the peer.
        self.last_received_ms = now_ms
        self.statement: peer_state.PeerStatement | None = None
        # Send times of the last table digest and last configuration request.
        self.last_summary_ms = NEVER
        self.last_fetch_ms = NEVER
        # Start of the present difference between the table digests.
        self.differs_since_ms: float | None = None
        self.leaving = False
        # Demand that the peer sent outside heartbeats.
        self.demand: peer_state.Demand = {}
        self.demand_sent_ms = NEVER
        # Own profile last sent to the peer, and its first sequence.
        self.profile: tuple[str, ...] = ()
        self.profile_sequence = 0
        # Identifies the peer's incarnation in the ages of heartbeats.
        self.identifier = (
            peer_state.identifier(f"{name}\n{started_ms}") & 0xFFFFFFFF
        )


class PeerView:
    """Peers of one entry with their last heartbeats and statements."""

    def __init__(
        self,
        clock: clock_lib.Clock,
        rng: random.Random,
        name: str,
        own_addresses: tuple[str, str],
        data_center: str,
        mode: isolation.Mode,
    ):
        """Creates the state.

        Args:
          clock: Clock of this entry.
          rng: Source of the random samples.
          name: Name of this entry.
          own_addresses: Caller and peer address of this entry, `ip:port`.
          data_center: Data centre of this entry.
          mode: Setting `when_isolated`.

        Raises:
          ValueError: A name is longer than 64 bytes.
        """
        if max(len(name.encode()), len(data_center.encode())) > MAX_NAME_BYTES:
            raise ValueError(f"{name!r} or {data_center!r} is too long")
        self._clock = clock
        self._rng = rng
        self.name = name
        self.started_ms = clock.wall_ms()
        self._startup_end_ms = clock.now_ms() + STARTUP_GRACE_MS
        self._caller_address, self.peer_address = own_addresses
        self._data_center = data_center
        self._mode = mode
        self.peers: dict[str, Peer] = {}
        # The value is None if two peers share an identifier; ages under that
        # identifier are ignored.
        self._peers_by_id: dict[int, Peer | None] = {}
        self._relayed_ages: list[tuple[int, float, int]] = []
        self._ages_built_ms = NEVER
        self._sequence = 0
        self._heartbeat_sent_ms: dict[int, float] = {}
        self.number = peer_state.NO_NUMBER
        # Greatest configuration number in any heartbeat so far.
        self._highest_number = peer_state.NO_NUMBER
        self._digest = ""
        self._lease_end_ms = NEVER
        self.leaving = False
        self.demand: peer_state.Demand = {}
        self.has_large_demand = False
        self._registered: frozenset[str] = frozenset()
        self._registered_digest = peer_state.registered_digest(())
        self._decision: isolation.Serving | isolation.Fenced | None = None

    @property
    def is_sampled(self) -> bool:
        """Whether heartbeats go to a sample of the peers."""
        return len(self.peers) + 1 > peer_state.FULL_MESH_MAX_ENTRIES

    def set_own_state(
        self,
        number: int,
        digest: str,
        lease_end_ms: float,
        leaving: bool,
        demand: peer_state.Demand,
    ) -> None:
        """Sets the state of this entry that the next heartbeats carry."""
        if number >= self.number:
            self.number, self._digest = number, digest
        self._lease_end_ms = lease_end_ms
        self.leaving = leaving
        if demand != self.demand:
            self.demand = demand
            size = len(msgpack.packb(demand))
            self.has_large_demand = size > MAX_DEMAND_BYTES
        self._invalidate_results()

    def set_registered_entries(self, names: abc.Iterable[str]) -> None:
        """Sets the names of the entries that are registered at control."""
        names = frozenset(names)
        if names != self._registered:
            self._registered = names
            self._registered_digest = peer_state.registered_digest(names)
            self._invalidate_results()

    def _invalidate_results(self) -> None:
        # The serving decision and the list of ages depend on the own number
        # and on the registered entries.
        self._decision = None
        self._ages_built_ms = NEVER

    # Queries.

    def addresses(self) -> tuple[str, ...]:
        """Returns the addresses that callers should use, best first."""
        own = peer_state.Address(
            self._caller_address, self._data_center, self.leaving, 0.0
        )
        others = [
            peer_state.Address(
                peer.heartbeat.caller_address,
                peer.heartbeat.data_center,
                peer.leaving,
                peer.last_alive_ms,
            )
            for peer in self.peers.values()
            if peer.heartbeat is not None
        ]
        return peer_state.addresses(own, others, self._clock.now_ms())

    def demands(self) -> dict[str, peer_state.Demand]:
        """Returns the demand of this entry and of each live peer, by name."""
        demands = {self.name: self.demand}
        for peer in self.live_peers():
            if peer.heartbeat is not None:
                demands[peer.name] = peer.heartbeat.demand or peer.demand
        return demands

    def may_serve(self) -> isolation.Serving | isolation.Fenced:
        """Decides whether this entry may serve requests.

        The decision is cached until it expires or its inputs change, so that
        a call for each request is cheap.
        """
        now_ms = self._clock.now_ms()
        decision = self._decision
        if isinstance(decision, isolation.Fenced) or (
            decision is not None and now_ms < decision.until_ms
        ):
            return decision
        self._decision = isolation.may_serve(
            self.name,
            self.number,
            self._lease_end_ms,
            self._effective_mode(now_ms),
            self._registered,
            tuple(p.statement for p in self.peers.values() if p.statement),
            now_ms,
            self._highest_number,
        )
        return self._decision

    def _effective_mode(self, now_ms: float) -> isolation.Mode:
        is_starting = now_ms < self._startup_end_ms
        if is_starting and self._mode is isolation.Mode.MAJORITY:
            return isolation.Mode.FENCE
        return self._mode

    def live_peers(self) -> list[Peer]:
        """Returns the peers that are not suspected."""
        now_ms = self._clock.now_ms()
        return [
            peer
            for peer in self.peers.values()
            if not peer_state.is_suspected(peer.last_alive_ms, now_ms)
        ]

    def known_addresses(self) -> set[str]:
        """Returns the peer addresses of all peers."""
        return {peer.address for peer in self.peers.values()}

    def is_reachable(self, peer: Peer) -> bool:
        """Whether changes are sent to the peer at once.

        A new peer, which has not answered a heartbeat yet, is reachable too.
        """
        return peer.last_alive_ms == NEVER or not peer_state.is_suspected(
            peer.last_alive_ms, self._clock.now_ms()
        )

    def status(self) -> list[dict[str, typing.Any]]:
        """Returns the state of each peer, by name."""
        now_ms = self._clock.now_ms()
        return [
            {
                "name": peer.name,
                "address": peer.address,
                "number": peer.heartbeat.number,
                "leaving": peer.leaving,
                "suspected": peer_state.is_suspected(
                    peer.last_alive_ms, now_ms
                ),
                "heard_ago_ms": min(
                    now_ms - peer.last_alive_ms, REMOVE_AFTER_MS
                ),
                "queued": peer.channel.queued,
                "dropped": peer.channel.dropped,
                "resent": peer.channel.resent,
            }
            for peer in sorted(self.peers.values(), key=lambda p: p.name)
        ]

    # Heartbeats.

    def make_heartbeat(
        self, peer: Peer | None, wants_reply: bool, table_digest: int
    ) -> list[typing.Any]:
        """Returns the content of a heartbeat.

        Args:
          peer: Receiver; None for an address whose entry is unknown.
          wants_reply: Whether the receiver must answer at once.
          table_digest: Digest of the backend table.
        """
        now_ms = self._clock.now_ms()
        self._sequence += 1
        self._heartbeat_sent_ms[self._sequence] = now_ms
        if len(self._heartbeat_sent_ms) > MAX_STORED_SEND_TIMES:
            del self._heartbeat_sent_ms[next(iter(self._heartbeat_sent_ms))]
        last_heartbeat = peer.heartbeat if peer is not None else None
        decision = self.may_serve()
        heartbeat = peer_state.Heartbeat(
            name=self.name,
            started_ms=self.started_ms,
            sequence=self._sequence,
            echo_started_ms=last_heartbeat.started_ms if last_heartbeat else 0,
            echo=last_heartbeat.sequence if last_heartbeat else 0,
            caller_address=self._caller_address,
            peer_address=self.peer_address,
            data_center=self._data_center,
            leaving=self.leaving,
            number=self.number,
            digest=self._digest,
            lease_left_ms=max(self._lease_end_ms - now_ms, 0.0),
            holds_lease=now_ms < self._startup_end_ms
            or isinstance(decision, isolation.Serving)
            and decision.basis
            in (isolation.Basis.LEASE, isolation.Basis.PEER_LEASE),
            registered=self._registered_digest,
            demand={} if self.has_large_demand else self.demand,
            table=table_digest,
            wants_reply=wants_reply,
        )
        introduced = []
        if peer is None or self._sequence % INTRODUCTION_PERIOD == 0:
            others = [p for p in self.live_peers() if p is not peer]
            selected = self._rng.sample(others, min(2, len(others)))
            introduced = [other.address for other in selected]
        return [
            peer_state.encode_heartbeat(
                heartbeat, self._needs_profile(peer, heartbeat)
            ),
            introduced,
            self._current_ages(now_ms) if self.is_sampled else [],
        ]

    def _needs_profile(self, peer: Peer | None, heartbeat) -> bool:
        if peer is None:
            return True
        profile = tuple(getattr(heartbeat, name) for name in peer_state.PROFILE)
        if profile != peer.profile:
            peer.profile = profile
            peer.profile_sequence = heartbeat.sequence
        last_heartbeat = peer.heartbeat
        # A peer that is silent may have removed this entry from its view.
        return (
            last_heartbeat.echo_started_ms != self.started_ms
            or last_heartbeat.echo < peer.profile_sequence
            or peer_state.is_suspected(peer.last_alive_ms, self._clock.now_ms())
        )

    def _current_ages(self, now_ms: float) -> list[int]:
        """Returns identifiers, ages in ms and flags of the freshest peers.

        The result is a flat list of three items per peer.
        """
        if now_ms - self._ages_built_ms >= AGES_REFRESH_MS:
            self._ages_built_ms = now_ms
            freshest = sorted(self.live_peers(), key=lambda p: -p.last_alive_ms)
            self._relayed_ages = [
                self._age_item(peer) for peer in freshest[:MAX_AGES]
            ]
        items = []
        for identifier, since_ms, flags in self._relayed_ages:
            # The age is rounded up, so that no statement looks fresher than
            # it is.
            items += (identifier, int(now_ms - since_ms) + 1, flags)
        return items

    def _age_item(self, peer: Peer) -> tuple[int, float, int]:
        statement = peer.statement
        if statement is None or statement.number != self.number:
            return peer.identifier, peer.last_alive_ms, 0
        flags = _SAME_NUMBER
        flags |= _LEASED if statement.holds_lease else 0
        if statement.registered == self._registered_digest:
            flags |= _SAME_REGISTERED
        return peer.identifier, statement.since_ms, flags

    def apply_heartbeat(
        self, name: str, started_ms: int, content: typing.Any
    ) -> tuple[Peer, peer_state.Heartbeat, bool] | None:
        """Updates the view from the content of a heartbeat.

        Returns:
          The peer, its heartbeat and whether the peer is new; None when the
          heartbeat is obsolete.

        Raises:
          ValueError, TypeError: The content is malformed.
        """
        body, _, ages = content
        now_ms = self._clock.now_ms()
        known_peer = self.peers.get(name)
        if known_peer is None or known_peer.started_ms != started_ms:
            known_peer = None
        heartbeat = peer_state.decode_heartbeat(
            body, known_peer.heartbeat if known_peer else None
        )
        if heartbeat is None and known_peer is None and body and body[1] == []:
            # A short heartbeat of an unknown peer: the sender mistakes this
            # process for an earlier incarnation of this entry, or this entry
            # has removed the sender. The next full heartbeat adds it again.
            return None
        if (
            heartbeat is None
            or heartbeat.name != name
            or heartbeat.started_ms != started_ms
        ):
            raise ValueError("malformed heartbeat")
        peer = self._find_or_add_peer(heartbeat, now_ms)
        if peer is None:
            return None
        last_heartbeat = peer.heartbeat
        if (
            last_heartbeat is not None
            and heartbeat.sequence <= last_heartbeat.sequence
        ):
            return None
        peer.heartbeat = heartbeat
        peer.address = heartbeat.peer_address
        peer.last_received_ms = now_ms
        # An incarnation never cancels its planned stop.
        peer.leaving = peer.leaving or heartbeat.leaving
        self._highest_number = max(self._highest_number, heartbeat.number)
        self._decision = None
        since_ms = self._echo_sent_ms(heartbeat)
        if since_ms != NEVER:
            self._update_statement(peer, heartbeat, since_ms)
            self._apply_relayed_ages(heartbeat, ages, since_ms)
        return peer, heartbeat, last_heartbeat is None

    def _update_statement(self, peer, heartbeat, since_ms):
        peer.last_alive_ms = max(peer.last_alive_ms, since_ms)
        if peer.statement is None or since_ms >= peer.statement.since_ms:
            peer.statement = peer_state.PeerStatement(
                peer.name,
                heartbeat.number,
                heartbeat.holds_lease,
                heartbeat.lease_left_ms,
                heartbeat.registered,
                since_ms,
            )

    def _find_or_add_peer(self, heartbeat, now_ms) -> Peer | None:
        """Returns the peer that sent a heartbeat; adds it if necessary.

        Returns None for a heartbeat of an earlier incarnation, and for a new
        peer over the limit `MAX_PEERS`.
        """
        peer = self.peers.get(heartbeat.name)
        if peer is not None and peer.started_ms == heartbeat.started_ms:
            return peer
        if peer is not None:
            # A heartbeat of a lower incarnation is a late datagram, unless
            # the higher incarnation is silent: then the wall clock was set
            # back during a restart.
            is_silent = now_ms - peer.last_received_ms > peer_state.SUSPECT_MS
            if heartbeat.started_ms < peer.started_ms and not is_silent:
                return None
            self.remove_peer(peer)
        elif len(self.peers) >= MAX_PEERS:
            return None
        peer = Peer(heartbeat.name, heartbeat.started_ms, now_ms)
        self.peers[peer.name] = peer
        is_shared = peer.identifier in self._peers_by_id
        self._peers_by_id[peer.identifier] = None if is_shared else peer
        return peer

    def remove_peer(self, peer: Peer) -> None:
        """Removes a peer and its identifier."""
        self.peers.pop(peer.name, None)
        if self._peers_by_id.get(peer.identifier) is peer:
            del self._peers_by_id[peer.identifier]

    def _echo_sent_ms(self, heartbeat) -> float:
        """Returns the send time of the own heartbeat that this one answers."""
        if heartbeat.echo_started_ms != self.started_ms:
            return NEVER
        return self._heartbeat_sent_ms.get(heartbeat.echo, NEVER)

    def _apply_relayed_ages(self, heartbeat, ages, since_ms):
        """Updates peers from the ages that a heartbeat relays.

        A peer lends its lease only by a direct statement. A relayed statement
        with the same number that follows keeps the end time of that lease.
        """
        groups = (ages[0::3], ages[1::3], ages[2::3])
        for identifier, age_ms, flags in zip(*groups, strict=True):
            peer = self._peers_by_id.get(identifier)
            if peer is None or age_ms < 0:
                continue
            alive_ms = since_ms - age_ms
            peer.last_alive_ms = max(peer.last_alive_ms, alive_ms)
            previous = peer.statement
            if flags & _SAME_NUMBER and (
                previous is None or alive_ms > previous.since_ms
            ):
                same_registered = flags & _SAME_REGISTERED
                lease_left_ms = 0.0
                if previous is not None and previous.number == heartbeat.number:
                    end_ms = previous.since_ms + previous.lease_left_ms
                    lease_left_ms = max(end_ms - alive_ms, 0.0)
                peer.statement = peer_state.PeerStatement(
                    peer.name,
                    heartbeat.number,
                    bool(flags & _LEASED),
                    lease_left_ms,
                    heartbeat.registered
                    if same_registered
                    else ~heartbeat.registered,
                    alive_ms,
                )
