"""Length-prefixed msgpack messages over TCP between processes of the tier.

A `Stream` is one established connection. A `Dialer` maintains a stream to an
address and reconnects when the stream is lost; a `Listener` accepts streams.
Both ends send heartbeats, because a connection can stop delivering data
permanently without a reset.
"""

from collections import abc
import errno
import socket
import struct
import typing

import loguru
import msgpack

from auburnway.core import clock as clock_lib
from auburnway.kernel import timers as timers_lib
from auburnway.net import connecting
from auburnway.net import listening
from auburnway.net import socket_set

RECEIVE_BYTES = 1 << 18
# A configuration of thousands of routes is far smaller.
MAX_MESSAGE_BYTES = 1 << 25
# A stream whose peer does not read is closed, as the buffer must be bounded.
MAX_UNSENT_BYTES = 1 << 25
HEARTBEAT_PERIOD_MS = 400.0
# A stream that receives nothing for five heartbeat periods is closed.
SILENCE_TIMEOUT_MS = 2000.0
# A SYN packet that is sent before the peer's machine is up is lost, and the
# kernel retransmits it only after 1 s; a new attempt is faster.
CONNECT_TIMEOUT_MS = 250.0
REDIAL_DELAY_MS = 100.0
BACKLOG = 128

_LENGTH = struct.Struct(">I")
_HEARTBEAT = _LENGTH.pack(0)


class Stream:
    """One established connection that carries messages.

    Attributes:
      peer_ip: IP address of the peer.
      context: Data that the owner attaches to the stream.
      is_open: Whether the connection is open.
      last_received_ms: Monotonic time in ms at which data was last received.
    """

    def __init__(
        self,
        sock: socket.socket,
        sockets: socket_set.SocketSet,
        clock: clock_lib.Clock,
        on_message: abc.Callable[["Stream", typing.Any], None],
        on_close: abc.Callable[["Stream"], None],
    ):
        self.peer_ip = sock.getpeername()[0]
        self.context: typing.Any = None
        self.is_open = True
        self.last_received_ms = clock.now_ms()
        self._sock = sock
        self._sockets = sockets
        self._clock = clock
        self._on_message = on_message
        self._on_close = on_close
        self._received = bytearray()
        self._unsent = bytearray()
        sockets.add(sock, socket_set.READ, self._on_ready)

    def send(self, message: typing.Any) -> None:
        """Sends a value that msgpack can encode; a closed stream drops it."""
        self.send_packed(pack(message))

    def send_packed(self, frame: bytes) -> None:
        """Sends a frame made by `pack`; many streams may send the same one."""
        if not self.is_open:
            return
        had_unsent = bool(self._unsent)
        self._unsent += frame
        if len(self._unsent) > MAX_UNSENT_BYTES:
            loguru.logger.bind(peer=self.peer_ip).warning(
                "closed a stream whose peer does not read"
            )
            self.close()
        elif not had_unsent:
            self._write()

    def keep_alive(self) -> None:
        """Sends a heartbeat, or closes the stream after the silence timeout."""
        if self._clock.now_ms() - self.last_received_ms > SILENCE_TIMEOUT_MS:
            self.close()
        elif not self._unsent:
            self.send_packed(_HEARTBEAT)

    def close(self) -> None:
        """Closes the connection and calls `on_close`, once."""
        if not self.is_open:
            return
        self.is_open = False
        self._sockets.remove(self._sock)
        self._sock.close()
        self._on_close(self)

    def _on_ready(self, mask: int) -> None:
        if mask & socket_set.WRITE:
            self._write()
        if self.is_open and mask & ~socket_set.WRITE:
            self._read()

    def _write(self) -> None:
        try:
            count = self._sock.send(self._unsent)
        except BlockingIOError:
            count = 0
        except OSError:
            self.close()
            return
        del self._unsent[:count]
        mask = socket_set.READ | (socket_set.WRITE if self._unsent else 0)
        self._sockets.change_mask(self._sock, mask)

    def _read(self) -> None:
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            return
        self.last_received_ms = self._clock.now_ms()
        self._received += data
        self._split_messages()

    def _split_messages(self) -> None:
        offset = 0
        while len(self._received) - offset >= _LENGTH.size and self.is_open:
            (size,) = _LENGTH.unpack_from(self._received, offset)
            end = offset + _LENGTH.size + size
            if size > MAX_MESSAGE_BYTES:
                self.close()
                return
            if end > len(self._received):
                break
            if size:
                body = bytes(self._received[offset + _LENGTH.size : end])
                self._deliver(body)
            offset = end
        del self._received[:offset]

    def _deliver(self, body: bytes) -> None:
        try:
            message = msgpack.unpackb(body, use_list=False)
        except ValueError:
            loguru.logger.bind(peer=self.peer_ip).warning(
                "closed a stream whose peer sent an unreadable message"
            )
            self.close()
            return
        self._on_message(self, message)


def pack(message: typing.Any) -> bytes:
    """Returns the frame of a message: length prefix and msgpack body."""
    body = msgpack.packb(message)
    return _LENGTH.pack(len(body)) + body


def _configure(sock: socket.socket) -> None:
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(SILENCE_TIMEOUT_MS)
    )


class Dialer:
    """Maintains one stream to an address, and reconnects when it is lost.

    Args:
      address: `ip:port`.
      sockets: Set that watches the socket.
      timers: Timer queue of the loop.
      clock: Source of time.
      on_open: Called with each newly established stream.
      on_message: Called with the stream and each received message.
      on_close: Called with an established stream that was closed.

    Attributes:
      stream: The established stream; None while there is none.
    """

    def __init__(
        self,
        address: str,
        sockets: socket_set.SocketSet,
        timers: timers_lib.TimerQueue,
        clock: clock_lib.Clock,
        on_open: abc.Callable[[Stream], None],
        on_message: abc.Callable[[Stream, typing.Any], None],
        on_close: abc.Callable[[Stream], None] = lambda stream: None,
    ):
        self.address = address
        self.stream: Stream | None = None
        self._sockets = sockets
        self._timers = timers
        self._clock = clock
        self._on_open = on_open
        self._on_message = on_message
        self._on_close = on_close
        self._connecting: socket.socket | None = None
        self._is_closed = False
        self._connect_timer: timers_lib.Timer | None = None
        self._heartbeat_timer = timers.every(
            HEARTBEAT_PERIOD_MS, self._keep_alive
        )
        self._dial()

    def send(self, message: typing.Any) -> None:
        """Sends a message, or drops it while no stream is established."""
        if self.stream is not None:
            self.stream.send(message)

    def close(self) -> None:
        """Closes the stream and stops reconnecting."""
        self._is_closed = True
        self._heartbeat_timer.cancel()
        self._abort_connect()
        if self.stream is not None:
            self.stream.close()

    def _keep_alive(self) -> None:
        if self.stream is not None:
            self.stream.keep_alive()

    def _dial(self) -> None:
        if self._is_closed:
            return
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        _configure(sock)
        connect_error = connecting.start(sock, self.address)
        if connect_error not in (0, errno.EINPROGRESS):
            sock.close()
            self._redial()
            return
        self._connecting = sock
        self._sockets.add(sock, socket_set.WRITE, self._on_connect_result)
        self._connect_timer = self._timers.after(
            CONNECT_TIMEOUT_MS, self._on_connect_timeout
        )

    def _on_connect_timeout(self) -> None:
        self._abort_connect()
        self._dial()

    def _abort_connect(self) -> None:
        if self._connect_timer is not None:
            self._connect_timer.cancel()
        sock, self._connecting = self._connecting, None
        if sock is not None:
            self._sockets.remove(sock)
            sock.close()

    def _on_connect_result(self, _: int) -> None:
        sock = self._connecting
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._abort_connect()
            self._redial()
            return
        self._connect_timer.cancel()
        self._connecting = None
        self._sockets.remove(sock)
        try:
            self.stream = Stream(
                sock,
                self._sockets,
                self._clock,
                self._on_message,
                self._on_stream_close,
            )
        except OSError:
            sock.close()
            self._redial()
            return
        self._on_open(self.stream)

    def _on_stream_close(self, stream: Stream) -> None:
        self.stream = None
        self._on_close(stream)
        self._redial()

    def _redial(self) -> None:
        self._timers.after(REDIAL_DELAY_MS, self._dial)


class Listener:
    """Accepts streams on an address.

    Attributes:
      streams: Open streams.

    Raises:
      OSError: The address is in use or not local.
    """

    def __init__(
        self,
        address: str,
        sockets: socket_set.SocketSet,
        timers: timers_lib.TimerQueue,
        clock: clock_lib.Clock,
        on_message: abc.Callable[[Stream, typing.Any], None],
        on_close: abc.Callable[[Stream], None],
    ):
        self._sockets = sockets
        self._clock = clock
        self._on_message = on_message
        self._on_close = on_close
        self.streams: set[Stream] = set()
        self._sock = listening.listen(address, BACKLOG)
        sockets.add(self._sock, socket_set.READ, self._accept)
        self._heartbeat_timer = timers.every(
            HEARTBEAT_PERIOD_MS, self._keep_alive
        )

    def close(self) -> None:
        """Closes the listener and all its streams."""
        self._heartbeat_timer.cancel()
        self._sockets.remove(self._sock)
        self._sock.close()
        for stream in tuple(self.streams):
            stream.close()

    def _keep_alive(self) -> None:
        for stream in tuple(self.streams):
            stream.keep_alive()

    def _accept(self, _: int) -> None:
        while True:
            try:
                sock, _address = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                loguru.logger.warning("cannot accept a stream: {}", error)
                return
            _configure(sock)
            try:
                stream = Stream(
                    sock,
                    self._sockets,
                    self._clock,
                    self._on_message,
                    self._on_stream_close,
                )
            except OSError:
                sock.close()
                continue
            self.streams.add(stream)

    def _on_stream_close(self, stream: Stream) -> None:
        self.streams.discard(stream)
        self._on_close(stream)
