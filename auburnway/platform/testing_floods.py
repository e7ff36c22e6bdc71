"""Peers that send without end, in processes of their own.

The functions run in spawned processes, so that their processor time does not
count as the latency of the entry under test.
"""

import contextlib
import dataclasses
import http.client
import multiprocessing
import socket
import threading
import time

_CONTEXT = multiprocessing.get_context("spawn")
# Bytes that are sent by one call.
BURST_BYTES = 1 << 16
CALLERS = 24
CLIENTS = 8


@dataclasses.dataclass(frozen=True)
class Form:
    """Bytes that a peer sends.

    Attributes:
      head: Sent first.
      piece: Sent again and again.
      total_bytes: Bytes after which a client closes; 0 for no end.
    """

    head: bytes
    piece: bytes
    total_bytes: int = 0

    @property
    def burst(self) -> bytes:
        """As many pieces as are sent by one call."""
        return self.piece * max(BURST_BYTES // len(self.piece), 1)


def _send(connection, form):
    with contextlib.suppress(OSError):
        connection.sendall(form.head)
        sent = 0
        while not form.total_bytes or sent < form.total_bytes:
            connection.sendall(form.burst)
            sent += len(form.burst)


def _serve_one(connection, form):
    with connection, contextlib.suppress(OSError):
        received = b""
        while b"\r\n\r\n" not in received:
            data = connection.recv(65536)
            if not data:
                return
            received += data
        _send(connection, form)


def _serve(pipe, count, form):
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    pipe.send([listener.getsockname()[1] for listener in listeners])

    def accept(listener):
        while True:
            connection, _ = listener.accept()
            threading.Thread(
                target=_serve_one, args=(connection, form), daemon=True
            ).start()

    for listener in listeners:
        threading.Thread(target=accept, args=(listener,), daemon=True).start()
    pipe.recv()


def _call(address, duration_s, number):
    host, _, port = address.rpartition(":")
    end_s = time.monotonic() + duration_s
    count = 0
    while time.monotonic() < end_s:
        count += 1
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection = http.client.HTTPConnection(host, int(port), timeout=5)
            headers = {
                "Host": "h.example",
                "Request-Id": f"flood-{number}-{count}",
                "Deadline-Ms": "1500",
            }
            connection.request("GET", "/one/x", None, headers)
            connection.getresponse().read()
            connection.close()


def _send_and_leave(address, duration_s, form):
    host, _, port = address.rpartition(":")
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        with (
            contextlib.suppress(OSError),
            socket.create_connection((host, int(port)), 5) as connection,
        ):
            _send(connection, form)


def _run_threads(count, target, *arguments):
    threads = [
        threading.Thread(target=target, args=(*arguments, number))
        for number in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _run_callers(address, duration_s):
    _run_threads(CALLERS, _call, address, duration_s)


def _run_clients(address, duration_s, form):
    _run_threads(
        CLIENTS, lambda *args: _send_and_leave(*args[:3]), address,
        duration_s, form,
    )  # fmt: skip


@contextlib.contextmanager
def flooding_servers(count, form):
    """Yields the addresses of servers that answer each request with a form."""
    pipe, child_pipe = _CONTEXT.Pipe()
    process = _CONTEXT.Process(
        target=_serve, args=(child_pipe, count, form), daemon=True
    )
    process.start()
    try:
        yield [f"127.0.0.1:{port}" for port in pipe.recv()]
    finally:
        process.kill()
        process.join()


@contextlib.contextmanager
def callers(address, duration_s):
    """Runs callers of the flooding servers for a time."""
    with _running(_run_callers, address, duration_s):
        yield


@contextlib.contextmanager
def flooding_clients(address, duration_s, form):
    """Runs clients that send a form to an entry and leave, for a time."""
    with _running(_run_clients, address, duration_s, form):
        yield


@contextlib.contextmanager
def _running(target, *arguments):
    process = _CONTEXT.Process(target=target, args=arguments, daemon=True)
    process.start()
    try:
        yield
    finally:
        process.join(10)
        process.kill()
        process.join()
