"""Streams from one control instance to the other control instances."""

from collections import abc
import typing

from auburnway.net import stream as stream_lib
from auburnway.registrar import messages


class Peers:
    """The other control instances.

    Args:
      own_address: Address of this instance, ip:port.
      tolerated_losses: Instances that may be lost at once with their disks.
      member_count: Returns the number of instances that are known to belong to
        the system; 0 before they are known.
      dial: Returns a dialer to an address.
    """

    def __init__(
        self,
        own_address: str,
        tolerated_losses: int,
        member_count: abc.Callable[[], int],
        dial: abc.Callable[[str], typing.Any],
    ):
        self.own_address = own_address
        self._tolerated_losses = tolerated_losses
        self._member_count = member_count
        self._dial = dial
        self._dialers: dict[str, stream_lib.Dialer] = {}

    def __len__(self) -> int:
        """Number of addresses to which streams are kept."""
        return len(self._dialers)

    def copies_needed(self) -> int:
        """Returns how many disks must hold what is to survive."""
        return min(
            self._tolerated_losses + 1, self._member_count() or len(self) + 1
        )

    def dialer(self, address: str) -> stream_lib.Dialer:
        """Returns the dialer to an instance; it is created if there is none."""
        dialer = self._dialers.get(address)
        if dialer is None:
            dialer = self._dialers[address] = self._dial(address)
        return dialer

    def keep(self, addresses: abc.Set[str]) -> None:
        """Keeps streams to these addresses only."""
        for address in addresses:
            self.dialer(address)
        for address in tuple(self._dialers):
            if address not in addresses:
                self._dialers.pop(address).close()

    def are_all_reached(self) -> bool:
        """Whether there is a stream to each other instance."""
        return all(
            dialer.stream is not None for dialer in self._others().values()
        )

    def are_all_lost(self) -> bool:
        """Whether there are other instances, and no stream to any of them."""
        others = self._others()
        return bool(others) and not any(
            dialer.stream is not None for dialer in others.values()
        )

    def _others(self) -> dict[str, stream_lib.Dialer]:
        return {a: d for a, d in self._dialers.items() if a != self.own_address}

    def send(self, message: messages.Message) -> None:
        """Sends a message to all instances that are reached."""
        self.send_packed(stream_lib.pack(messages.encode(message)))

    def send_packed(self, frame: bytes) -> None:
        """Sends a packed message to all instances that are reached."""
        for dialer in self._dialers.values():
            if dialer.stream is not None:
                dialer.stream.send_packed(frame)

    def close(self) -> None:
        """Closes all streams."""
        for dialer in self._dialers.values():
            dialer.close()
