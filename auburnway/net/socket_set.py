"""Many sockets behind one descriptor of the circuits poller.

One circuits event is fired when any socket of the set is ready, and its handler
calls the callbacks of all ready sockets. One event per socket would cost more
than the work of most callbacks.
"""

from collections import abc
import select
import socket

import circuits
from circuits import core
import loguru

READ = select.EPOLLIN | select.EPOLLRDHUP
WRITE = select.EPOLLOUT

OnReady = abc.Callable[[int], None]


class SocketSet(circuits.BaseComponent):
    """Calls the callback of each watched socket that is ready.

    Args:
      poller: circuits poller that watches the set.
      name: circuits channel; sets on the same loop need different channels.
    """

    def __init__(self, poller, name: str = "sockets"):
        super().__init__(channel=name)
        self._epoll = select.epoll()
        self._poller = poller
        self._callbacks: dict[int, OnReady] = {}
        self._masks: dict[int, int] = {}
        poller.addReader(self, self._epoll)

    def add(self, sock: socket.socket, mask: int, on_ready: OnReady) -> None:
        """Watches a socket.

        Args:
          sock: Non-blocking socket.
          mask: `READ`, `WRITE` or both.
          on_ready: Called with the epoll mask of the ready operations.
        """
        descriptor = sock.fileno()
        self._callbacks[descriptor] = on_ready
        self._masks[descriptor] = mask
        self._epoll.register(descriptor, mask)

    def change_mask(self, sock: socket.socket, mask: int) -> None:
        """Sets the mask of a socket; an unchanged mask costs no system call."""
        descriptor = sock.fileno()
        if self._masks[descriptor] != mask:
            self._masks[descriptor] = mask
            self._epoll.modify(descriptor, mask)

    def remove(self, sock: socket.socket) -> None:
        """Stops watching a socket that is about to be closed."""
        descriptor = sock.fileno()
        if self._callbacks.pop(descriptor, None) is not None:
            del self._masks[descriptor]
            self._epoll.unregister(descriptor)

    def close(self) -> None:
        """Stops watching all sockets, which stay open."""
        self._poller.discard(self._epoll)
        self._epoll.close()

    @core.handler("_read")
    def _on_read(self, _):
        self.dispatch_ready()

    def dispatch_ready(self) -> None:
        """Calls the callbacks of all sockets that are ready now."""
        for descriptor, mask in self._epoll.poll(0):
            # An earlier callback of this batch may have closed the socket.
            on_ready = self._callbacks.get(descriptor)
            if on_ready is None:
                continue
            try:
                on_ready(mask)
            except Exception:
                loguru.logger.exception("uncaught exception of a callback")
