"""A TCP relay on loopback that delays, resets or drops in silence.

It stands between two processes. Connections stay open while bytes are dropped,
as with a network that loses packets for good.
"""

import contextlib
import socket
import struct
import threading
import time

CHUNK_BYTES = 65536
POLL_S = 0.1


class Relay:
    """Forwards connections to one address until it is closed.

    Attributes:
      address: `ip:port` to connect to.
      drops_requests: Whether bytes to the target are dropped.
      drops_replies: Whether bytes from the target are dropped.
      delay_s: Time for which bytes of either direction are held.
    """

    def __init__(self, target: str):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._stack = contextlib.ExitStack()
        self._listener = self._stack.enter_context(
            socket.create_server(("127.0.0.1", 0))
        )
        self._listener.settimeout(POLL_S)
        self.address = "{}:{}".format(*self._listener.getsockname())
        self.drops_requests = False
        self.drops_replies = False
        self.delay_s = 0.0
        self._sockets: set[socket.socket] = set()
        self._is_closed = False
        self._threads: list[threading.Thread] = []
        self._start(self._accept)

    def __enter__(self) -> "Relay":
        return self

    def __exit__(self, *_) -> None:
        self._is_closed = True
        for thread in tuple(self._threads):
            thread.join()
        self._stack.close()

    def reset(self) -> None:
        """Resets all open connections."""
        for one in tuple(self._sockets):
            try:
                linger = struct.pack("ii", 1, 0)
                one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                one.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The connection has ended meanwhile.
                continue

    def _start(self, function, *arguments) -> None:
        thread = threading.Thread(target=function, args=arguments, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _accept(self) -> None:
        while not self._is_closed:
            try:
                near, _ = self._listener.accept()
            except TimeoutError:
                continue
            try:
                far = socket.create_connection(self._target, 1.0)
            except OSError:
                near.close()
                continue
            for one in (near, far):
                one.settimeout(POLL_S)
                self._sockets.add(one)
            self._start(self._copy, near, far, "drops_requests")
            self._start(self._copy, far, near, "drops_replies")

    def _copy(self, source, sink, drops: str) -> None:
        while not self._is_closed:
            try:
                data = source.recv(CHUNK_BYTES)
            except TimeoutError:
                continue
            except OSError:
                break
            if not data:
                break
            if getattr(self, drops):
                # A stream cannot go on after a gap.
                while getattr(self, drops) and not self._is_closed:
                    threading.Event().wait(POLL_S)
                break
            if self.delay_s:
                time.sleep(self.delay_s)
            try:
                sink.sendall(data)
            except OSError:
                break
        for one in (source, sink):
            self._sockets.discard(one)
            one.close()
