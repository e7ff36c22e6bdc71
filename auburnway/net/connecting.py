"""Start of a connection to an address that came from outside."""

import errno
import socket


def start(sock: socket.socket, address: str) -> int:
    """Starts to connect a non-blocking socket.

    Args:
      sock: Socket.
      address: `ip:port`; anything else is an error, never an exception.

    Returns:
      Error number; 0 or `errno.EINPROGRESS` if the connection was started.
    """
    host, _, port = address.rpartition(":")
    try:
        return sock.connect_ex((host, int(port)))
    except (OSError, OverflowError, TypeError, ValueError):
        return errno.EINVAL
