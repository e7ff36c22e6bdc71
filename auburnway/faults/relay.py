"""A TCP relay on loopback that delays or drops bytes, or resets connections.

The relay forwards bytes between two processes. Connections stay open while
bytes are dropped, as with a network that loses packets permanently.
"""

import contextlib
import socket
import struct
import threading
import time

CHUNK_BYTES = 65536
POLL_S = 0.1


class Relay:
    """Forwards connections to one address until the relay is closed.

    Attributes:
      address: `ip:port` to connect to.
      drops_requests: Whether bytes to the target are dropped.
      drops_replies: Whether bytes from the target are dropped.
      delay_s: Delay of the bytes in both directions.
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
        self._reset_sockets: set[socket.socket] = set()
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

    def refuse(self) -> None:
        """Accepts no more connections, as after the end of the target."""
        self._listener.shutdown(socket.SHUT_RDWR)

    def reset(self) -> None:
        """Resets all open connections, within `POLL_S`."""
        for open_socket in tuple(self._sockets):
            try:
                linger = struct.pack("ii", 1, 0)
                open_socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
            except OSError:
                # The connection is already closed.
                continue
            # The copying threads close it. A shutdown would end the stream
            # properly first, which completes a reply without a length.
            self._reset_sockets.add(open_socket)

    def _start(self, function, *arguments) -> None:
        thread = threading.Thread(target=function, args=arguments, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _accept(self) -> None:
        while not self._is_closed:
            try:
                client_socket, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            try:
                target_socket = socket.create_connection(self._target, 1.0)
            except OSError:
                client_socket.close()
                continue
            for open_socket in (client_socket, target_socket):
                open_socket.settimeout(POLL_S)
                self._sockets.add(open_socket)
            self._start(
                self._copy, client_socket, target_socket, "drops_requests"
            )
            self._start(
                self._copy, target_socket, client_socket, "drops_replies"
            )

    def _copy(self, source, sink, drops_attribute: str) -> None:
        while not self._is_closed:
            try:
                data = source.recv(CHUNK_BYTES)
            except TimeoutError:
                if source in self._reset_sockets:
                    break
                continue
            except OSError:
                break
            if not data or source in self._reset_sockets:
                break
            if getattr(self, drops_attribute):
                # A stream cannot continue after a gap, so the connection
                # is closed when the fault ends.
                while getattr(self, drops_attribute) and not self._is_closed:
                    threading.Event().wait(POLL_S)
                break
            if self.delay_s:
                time.sleep(self.delay_s)
            try:
                sink.sendall(data)
            except OSError:
                break
        for open_socket in (source, sink):
            self._sockets.discard(open_socket)
            self._reset_sockets.discard(open_socket)
            open_socket.close()
