"""A simulated platform for tests: settings, backend servers and operator.

It starts the real programs as processes, one loopback address per process, and
ends only the processes that it started.
"""

import contextlib
import dataclasses
import http.client
import http.server
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time

DEFAULT_REQUEST_ID = "r1"
RECORDS = [bytes([65 + i]) * 16 for i in range(26)]


def worker_subnet(first: int) -> int:
    """Returns the third octet of the addresses of this pytest-xdist worker.

    Args:
      first: Third octet of the addresses of the first worker.
    """
    name = os.environ.get("PYTEST_XDIST_WORKER", "gw0")
    return first + int(name.removeprefix("gw"))


def wait_until(condition, timeout_s=15.0):
    """Returns the first true result of `condition`; fails after `timeout_s`."""
    deadline_s = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        assert time.monotonic() < deadline_s, "condition not met in time"
        time.sleep(0.05)


def call(address, method, path, body=None, headers=None, timeout_s=2.0):
    """Makes one HTTP call; returns status, headers and body of the reply."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        data = json.dumps(body) if isinstance(body, dict) else body
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


REPLY_HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: s\r\n"


@dataclasses.dataclass(frozen=True)
class FaultyReply:
    """Bytes that a backend server sends in place of a reply.

    Attributes:
      head: Bytes sent first, with `%s` for the id of the request.
      piece: Bytes that are then sent until the caller closes; empty to close
        at once.
      gap_s: Pause between the pieces in seconds.
    """

    head: bytes
    piece: bytes = b""
    gap_s: float = 0.0


class Backend:
    """A simulated backend server whose behaviour tests can change.

    Attributes:
      state: State that heartbeats announce.
      delay_s: Execution time of a request in seconds.
      rejects: Whether requests are rejected as not executed.
      advice: Headers that each reply states besides the usual ones.
      arrivals_s: Monotonic time in s at which each request arrived, rejected
        ones included.
      faulty_reply: What is sent in place of a reply; None to reply properly.
      crashes_on: Body of the requests that end the server; None for none.
      has_crashed: Whether the server has ended.
      on_crash: Called when the server ends.
      requests: Id, path and headers of each executed request.
      runs: Id and monotonic time in s of each executed request.
      cancelled: Ids of the requests that were cancelled while executing.
    """

    def __init__(self, server_id, service, zone="z", records=(), started_ms=1):
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.records = b"".join(records)
        self.started_ms = started_ms
        self.sequence = 0
        self.state = "ready"
        self.delay_s = 0.0
        self.rejects = False
        self.advice: dict[str, str] = {}
        self.arrivals_s = []
        self.faulty_reply: FaultyReply | None = None
        self.crashes_on: bytes | None = None
        self.has_crashed = False
        self.on_crash = lambda: None
        self._connections = set()
        self.requests = []
        self.runs = []
        self.cancelled = []
        backend = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def setup(self):
                super().setup()
                backend._connections.add(self.connection)

            def handle_one_request(self):
                try:
                    super().handle_one_request()
                except OSError:
                    self.close_connection = True

            def do_GET(self):
                backend.serve(self)

            do_POST = do_GET  # noqa: N815 (named by http.server)

        self._server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0), Handler
        )
        self._server.daemon_threads = True
        self.address = f"127.0.0.1:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def serve(self, handler):
        length = int(handler.headers.get("Content-Length", 0))
        body = handler.rfile.read(length)
        request_id = handler.headers["Request-Id"]
        self.arrivals_s.append(time.monotonic())
        if handler.headers["Expect-Instance"] != self.server_id:
            self._reply(handler, 421, b"", {"Not-Executed": "1"})
            return
        if self.rejects:
            self._reply(handler, 503, b"", {"Not-Executed": "full"})
            return
        self.runs.append((request_id, time.monotonic()))
        if self.crashes_on is not None and body == self.crashes_on:
            self._crash()
            return
        if self.faulty_reply is not None:
            handler.close_connection = True
            self._send_faulty(handler.connection, request_id)
            return
        request_headers = {k.lower(): v for k, v in handler.headers.items()}
        self.requests.append((request_id, handler.path, request_headers))
        if self._wait_for_cancellation(handler.connection):
            self.cancelled.append(request_id)
            handler.close_connection = True
            return
        headers = {
            "Request-Id": request_id,
            "Response-Stamp": f"{self.server_id}.{request_id}",
            "Server-Load": "1,0,3",
        }
        self._reply(handler, 200, self.records or b"echo:" + body, headers)

    def _crash(self):
        """Ends the server as the end of its process would."""
        self.has_crashed = True
        self.on_crash()
        # A close would take effect only when no thread waits for the socket.
        self._server.socket.shutdown(socket.SHUT_RDWR)
        for connection in tuple(self._connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _send_faulty(self, connection, request_id):
        faulty_reply = self.faulty_reply
        try:
            connection.sendall(faulty_reply.head % request_id.encode())
            # The end of a connection would complete a body without length, so
            # only the caller may close it.
            while faulty_reply.piece:
                connection.sendall(faulty_reply.piece)
                time.sleep(faulty_reply.gap_s)
        except OSError:
            # The entry closes a connection that sends too much.
            pass

    def _wait_for_cancellation(self, connection):
        """Waits `delay_s`; returns whether the client has disconnected."""
        deadline_s = time.monotonic() + self.delay_s
        connection.settimeout(0.02)
        try:
            while time.monotonic() < deadline_s:
                try:
                    if not connection.recv(1, socket.MSG_PEEK):
                        return True
                except TimeoutError:
                    pass
            return False
        finally:
            connection.settimeout(None)

    def _reply(self, handler, status, body, headers):
        handler.send_response(status)
        for name, value in (headers | self.advice).items():
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    def send_heartbeat(self, control, **changes):
        self.sequence += 1
        body = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 3,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.started_ms,
            **changes,
        }
        path = f"/auburnway/instances/{self.server_id}/heartbeat"
        return call(control, "POST", path, body)[0]

    def send_stop(self, control):
        path = f"/auburnway/instances/{self.server_id}/deregister"
        return call(control, "POST", path, {})[0]

    def close(self):
        self._server.shutdown()
        self._server.server_close()


class Machine:
    """One program that runs as a process with its own loopback address."""

    def __init__(self, folder, program, ip, settings):
        self.ip = ip
        self._program = program
        self._path = pathlib.Path(folder) / f"{program}-{ip}.toml"
        self._path.write_text(
            "\n".join(f"{k} = {json.dumps(v)}" for k, v in settings.items())
        )
        self.log_path = self._path.with_suffix(".log")
        self._log_start = 0
        self.process = None
        self.start()

    def start(self):
        with self.log_path.open("ab") as log:
            self._log_start = log.tell()
            self.process = subprocess.Popen(
                [sys.executable, "-m", "auburnway.platform", self._program],
                env={**os.environ, "AUBURNWAY_SETTINGS": str(self._path)},
                stdout=log,
                stderr=log,
            )

    def has_started(self):
        """Returns whether the log line that ends the start was written."""
        with self.log_path.open("rb") as log:
            log.seek(self._log_start)
            return b' is running"' in log.read()

    def send_signal(self, signal_number=signal.SIGTERM):
        if self.process.poll() is None:
            self.process.send_signal(signal_number)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.process.wait(10)


class Platform:
    """Control instances, entries and backend servers on loopback addresses.

    Args:
      folder: Folder for settings, data and logs of the processes.
      subnet: Third octet of the addresses: control instance `i` (from 0) has
        127.0.SUBNET.(i + 1), entry `i` 127.0.SUBNET.(100 + i).
      controls: Number of control instances.
      entries: Number of entries.
    """

    CONTROL_PORT, CLIENT_PORT, READY_PORT, DIRECTORY_PORT = (
        18224,
        18226,
        18227,
        18225,
    )
    INTERNAL_PORT = 17740
    METRICS_PORT = 18230

    def __init__(self, folder, subnet, controls=3, entries=2):
        self.backends = []
        ips = [f"127.0.{subnet}.{n + 1}" for n in range(controls)]
        self.seeds = [f"{ip}:{self.CONTROL_PORT}" for ip in ips[:3]]
        self._folder = pathlib.Path(folder)
        self.controls = [self.add_control(ip, True) for ip in ips]
        self.entries = [
            self.add_entry(f"127.0.{subnet}.{100 + n}") for n in range(entries)
        ]

    def add_control(self, ip, is_first_start):
        data = self._folder / f"data-{ip}"
        data.mkdir(exist_ok=True)
        return Machine(
            self._folder,
            "control",
            ip,
            {
                "name": f"core-{ip}",
                "ip": ip,
                "data_center": "z",
                "data_folder": str(data),
                "public_address": f"{ip}:{self.CONTROL_PORT}",
                "internal_port": self.INTERNAL_PORT,
                "seeds": self.seeds,
                "is_first_start": is_first_start,
                "metrics_address": f"{ip}:{self.METRICS_PORT}",
            },
        )

    def add_entry(self, ip):
        return Machine(
            self._folder,
            "entry",
            ip,
            {
                "name": f"front-{ip}",
                "ip": ip,
                "data_center": "z",
                "client_address": f"{ip}:{self.CLIENT_PORT}",
                "ready_address": f"{ip}:{self.READY_PORT}",
                "directory_address": f"{ip}:{self.DIRECTORY_PORT}",
                "internal_port": self.INTERNAL_PORT,
                "seeds": self.seeds,
                "grace_ms": 3000,
                "metrics_address": f"{ip}:{self.METRICS_PORT}",
            },
        )

    def call_control(self, method, path, body=None):
        """Makes an operator's call and retries until the outcome is known.

        Each attempt tries the control instances in turn and follows up to two
        redirects to the leader. Replies with status 500 and above are retried.
        """

        def attempt():
            for machine in self.controls:
                address = f"{machine.ip}:{self.CONTROL_PORT}"
                for _ in range(3):
                    try:
                        reply = call(address, method, path, body)
                    except OSError:
                        break
                    if reply[0] == 307:
                        address = reply[1]["Location"].split("/")[2]
                        continue
                    if reply[0] < 500:
                        return reply
                    break
            return None

        return wait_until(attempt)

    def put_configuration(self, configuration):
        return self.call_control(
            "POST", "/auburnway/config/put", configuration
        )[0]

    def add_backend(self, *arguments, **options):
        backend = Backend(*arguments, **options)
        self.backends.append(backend)
        self.send_heartbeat(backend)
        return backend

    def send_heartbeat(self, backend, **changes):
        control = f"{self.controls[0].ip}:{self.CONTROL_PORT}"

        def attempt():
            try:
                status = backend.send_heartbeat(control, **changes)
            except OSError:
                return None
            return status if status != 503 else None

        return wait_until(attempt)

    def kill_and_start_all(self):
        """Kills all processes at once and starts them again."""
        machines = (*self.controls, *self.entries)
        for machine in machines:
            machine.send_signal(signal.SIGKILL)
        for machine in machines:
            machine.kill()
            machine.start()

    def request(self, path, entry=0, method="GET", body=None, **headers):
        request_headers = {
            "Host": "h.example",
            "Request-Id": DEFAULT_REQUEST_ID,
            "Deadline-Ms": "1500",
        }
        request_headers |= {k.replace("_", "-"): v for k, v in headers.items()}
        address = f"{self.entries[entry].ip}:{self.CLIENT_PORT}"
        return call(address, method, path, body, request_headers, timeout_s=5.0)

    def request_until_success(self, path, **options):
        """Repeats a request until it succeeds."""

        def attempt():
            try:
                reply = self.request(path, **options)
            except OSError:
                return None
            return reply if reply[0] == 200 else None

        return wait_until(attempt)

    def close(self):
        """Ends all processes; fails if one logged an unexpected exception."""
        machines = (*self.entries, *self.controls)
        for machine in machines:
            machine.kill()
        for backend in self.backends:
            backend.close()
        exceptions = [
            line
            for machine in machines
            for line in machine.log_path.read_text().splitlines()
            if "unexpected exception" in line or "uncaught exception" in line
        ]
        assert not exceptions, exceptions[0]


def configuration(version, timeout_ms=1500):
    """Returns a configuration with three routes.

    Route "one" is repeatable, route "unsafe" is not, and route "all" gathers
    the records of two shards.
    """

    def route(name, prefix, kind="safe", **target):
        return {
            "Name": name,
            "Host": "h.example",
            "PathPrefix": prefix,
            "Type": kind,
            "TimeoutMs": timeout_ms,
            "TargetLatencyMs": 400,
            "Priority": 0,
            "MaxAttempts": 2,
            **target,
        }

    return {
        "Version": version,
        "Routes": [
            route("one", "/one/", Service="solo"),
            route("unsafe", "/unsafe/", "unsafe", Service="solo"),
            route("all", "/all/", Gather=["sa", "sb"], TopK=3, MinCoverage=0.5),
        ],
        "Services": [
            {
                "Name": name,
                "HealthCheckPath": "/health",
                "MaxConnections": 30,
                "Protocol": "h1",
                "Tls": False,
            }
            for name in ("solo", "sa", "sb")
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 262144,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }
