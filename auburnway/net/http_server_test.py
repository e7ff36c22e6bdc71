import contextlib
import socket
import threading

from auburnway.core import clock as clock_lib
from auburnway.kernel import process
from auburnway.net import http_server

PING = b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n"
LARGE = b"x" * (8 << 20)


@contextlib.contextmanager
def connected():
    """Yields a socket connected to a server that replies with the path."""

    def on_request(request):
        body = LARGE if request.path == "/large" else request.path.encode()
        request.reply(200, body)

    loop = process.Loop(clock_lib.SystemClock())
    server = http_server.HttpServer(
        loop.poller, "127.0.0.1:0", on_request
    ).register(loop.root)
    server.open()
    loop.stack.callback(server.close)
    thread = threading.Thread(target=loop.run, daemon=True)
    thread.start()
    host, _, port = server.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        yield sock
    loop.timers.after(0.0, loop.stop)
    loop.poller.resume()
    thread.join(5)


def read_until(sock, suffix):
    data = bytearray()
    while not data.endswith(suffix):
        received = sock.recv(1 << 20)
        assert received, "the connection was closed"
        data += received
    return bytes(data)


def test_pipelined_requests_are_answered_in_order():
    # Each reply starts the next request. When this was done by recursion, so
    # many requests exceeded the recursion limit and got no reply.
    count = 3000
    with connected() as sock:
        sock.sendall(b"".join(PING % i for i in range(count)))
        data = read_until(sock, b"/%d" % (count - 1))
    bodies = [part.rpartition(b"\r\n")[2] for part in data.split(b"HTTP/1.1")]
    assert bodies[1:] == [b"/%d" % i for i in range(count)]


def test_large_reply_arrives_whole():
    # Guards against losing the part of a reply that did not fit into the
    # socket's send buffer.
    with connected() as sock:
        sock.sendall(b"GET /large HTTP/1.1\r\n\r\n")
        data = read_until(sock, LARGE[-1000:])
        while not data.endswith(LARGE):
            data += read_until(sock, LARGE[-1:])
    assert len(data.partition(b"\r\n\r\n")[2]) == len(LARGE)


def test_broken_http_and_too_large_bodies_end_the_connection():
    head = b"POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n"
    size = http_server.MAX_BODY_BYTES + http_server.RECEIVE_BYTES
    for data in (b"\x00\x01\r\n\r\n", head % size + b"x" * size):
        with connected() as sock:
            with contextlib.suppress(OSError):
                sock.sendall(data)
            with contextlib.suppress(ConnectionResetError):
                assert sock.recv(100) == b""
