"""Circuits component that connects the peer protocol to a socket."""

from collections import abc
import random
import typing

import circuits

from auburnway.core import clock as clock_lib
from auburnway.core import isolation
from auburnway.core import membership
from auburnway.core import peer_state
from auburnway.entry import peer_logic
from auburnway.kernel import timers as timers_lib
from auburnway.net import peer_socket

# Period of the protocol's timer, for heartbeats and repeated messages.
TICK_MS = 50.0


class Peers(circuits.BaseComponent):
    """Socket to the other entries, and the state of the peer protocol."""

    channel = "peers"

    def __init__(
        self,
        poller,
        timers: timers_lib.TimerQueue,
        clock: clock_lib.Clock,
        name: str,
        caller_address: str,
        peer_address: str,
        data_center: str,
        seeds: abc.Iterable[str],
        token: str,
        table: membership.Table,
        on_row: abc.Callable[[membership.Row], None],
        on_configuration: abc.Callable[[bytes, int], None],
        on_strikes: abc.Callable[[list], None],
        mode: isolation.Mode = isolation.Mode.MAJORITY,
        rng: random.Random | None = None,
    ):
        """Binds the socket and starts the protocol's timer.

        Args:
          poller: Poller of the loop.
          timers: Timer queue of the loop.
          clock: Clock of the process.
          name: Unique name of this entry.
          caller_address: Where callers connect, `ip:port`.
          peer_address: Where peers send datagrams, `ip:port`; with port 0
            the kernel chooses one.
          data_center: Data centre of this entry.
          seeds: Peer addresses of other entries; one live entry suffices.
          token: Fleet token.
          table: Backend table; rows from peers are stored there.
          on_row: Called with each row that a peer's newer version replaced.
          on_configuration: Called with a newer configuration and its number.
          on_strikes: Called with a list of strikes from a peer.
          mode: Setting `when_isolated`.
          rng: Source of the random samples.

        Raises:
          OSError: The address cannot be bound.
        """
        super().__init__()
        self._socket = peer_socket.PeerSocket(
            poller, peer_address, self._on_datagram
        ).register(self)
        self._logic = peer_logic.PeerLogic(
            clock,
            rng or random.Random(),
            self._socket.send,
            name,
            (caller_address, self._socket.address),
            data_center,
            seeds,
            token,
            table,
            peer_logic.PeerCallbacks(on_row, on_configuration, on_strikes),
            mode,
        )
        self._timer = timers.every(TICK_MS, self._logic.tick)
        # Methods of the protocol that this component exposes directly.
        self.set_own_state = self._logic.set_own_state
        self.set_registered_entries = self._logic.view.set_registered_entries
        self.relay_row = self._logic.relay_row
        self.record_renewal = self._logic.record_renewal
        self.relay_configuration = self._logic.relay_configuration
        self.relay_strikes = self._logic.relay_strikes
        self.addresses = self._logic.view.addresses
        self.demands: abc.Callable[[], dict[str, peer_state.Demand]] = (
            self._logic.view.demands
        )
        self.may_serve = self._logic.view.may_serve

    @property
    def address(self) -> str:
        """Bound peer address, `ip:port`."""
        return self._socket.address

    def status(self) -> dict[str, typing.Any]:
        """Returns the state of each peer and the counters."""
        return {
            **self._logic.status(),
            "sent": self._socket.sent,
            "sent_bytes": self._socket.sent_bytes,
            "received": self._socket.received,
            "received_bytes": self._socket.received_bytes,
            "unsent": self._socket.unsent,
        }

    def close(self) -> None:
        """Stops the exchange and closes the socket."""
        self._timer.cancel()
        self._socket.close()

    def _on_datagram(self, source: str, datagram: bytes) -> None:
        self._logic.receive(source, datagram)
