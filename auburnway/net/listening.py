"""Listening sockets, also for a process whose modules are still imported.

An entry needs about half a second to import its modules. Clients that connect
in this time wait in the backlog of an early socket; without it, their attempts
fail, and most of them have no other entry after a loss of all processes.

This module imports as little as possible.
"""

import pathlib
import socket
import tomllib

BACKLOG = 1024


def listen(address: str, backlog: int = BACKLOG) -> socket.socket:
    """Returns a non-blocking socket that listens on `ip:port`.

    Raises:
      OSError: The address is in use or not local.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((host, int(port)))
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def listen_early(settings_path: str, key: str) -> socket.socket | None:
    """Returns a socket that listens on an address of a settings file.

    Nothing is reported: the program checks its settings and opens the socket
    itself if there is none.

    Args:
      settings_path: Settings file, TOML.
      key: Key of the address, ip:port.

    Returns:
      The socket, or None if the address cannot be read or used.
    """
    try:
        text = pathlib.Path(settings_path).read_text("utf-8")
        return listen(tomllib.loads(text)[key])
    except (AttributeError, KeyError, OSError, ValueError):
        return None
