"""Starts the processes of a site on loopback and ends them.

Used by the demonstration, the bench and the tests with real processes. The
daemons themselves start no process.
"""

import dataclasses
import itertools
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing
import urllib.error
import urllib.request

import tomli_w

from auburnway.demo import site as site_lib

TOKEN = "demonstration-token"
STOP_TIMEOUT_MS = 10_000.0
POLL_MS = 50.0
HTTP_TIMEOUT_MS = 3000.0
# Blocks of ports below those that Linux gives to outgoing connections, which
# could take the port of a process while it restarts.
PORTS = range(10_000, 32_000, 200)
# Bound to the first port of each block in use, until this process ends.
_guards: list[socket.socket] = []


class NotReady(Exception):
    """A process ended or a condition was not met in time."""


def free_ports(count: int) -> list[int]:
    """Returns loopback ports that are free for TCP and UDP now.

    Each call takes a block of ports for itself until this process ends, so
    that fleets of several processes started at once do not share a port.

    Raises:
      NotReady: There is no block with so many free ports.
    """
    blocks = list(PORTS)
    random.shuffle(blocks)
    for base in blocks:
        guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            guard.bind(("127.0.0.1", base))
        except OSError:
            guard.close()
            continue
        ports = filter(_is_free, range(base + 1, base + PORTS.step))
        found = list(itertools.islice(ports, count))
        if len(found) == count:
            _guards.append(guard)
            return found
        guard.close()
    raise NotReady(f"no block of {count} free ports")


def _is_free(port: int) -> bool:
    """Whether a port can be bound for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


@dataclasses.dataclass
class Member:
    """One process of the fleet.

    Attributes:
      name: Name of the process.
      command: Its command line.
      address: `ip:port` that it serves.
      control_address: `ip:port` that changes a stand-in and shows its record.
      process: The running process, or the ended one.
    """

    name: str
    command: list[str]
    address: str
    control_address: str = ""
    process: subprocess.Popen | None = None


class Fleet:
    """All processes of one site; a context manager that ends them."""

    def __init__(self, site: site_lib.Site, folder: pathlib.Path | None = None):
        self.site = site
        self._temporary = None
        if folder is None:
            self._temporary = tempfile.TemporaryDirectory(prefix="auburnway-")
            folder = pathlib.Path(self._temporary.name)
        self.folder = folder
        self.control: list[Member] = []
        self.entries: list[Member] = []
        self.backend_servers: list[Member] = []
        self._logs: list[typing.IO] = []
        self._lay_out()

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_) -> None:
        self.stop_all()
        for log in self._logs:
            log.close()
        if self._temporary is not None:
            self._temporary.cleanup()

    @property
    def members(self) -> list[Member]:
        """All processes, control first."""
        return [*self.control, *self.entries, *self.backend_servers]

    # Layout.

    def _lay_out(self) -> None:
        site = self.site
        count = sum(a.services * a.backend_servers for a in site.applications)
        ports = iter(
            free_ports(2 * site.entries + site.control_instances + 2 * count)
        )
        control = [
            f"127.0.0.1:{next(ports)}" for _ in range(site.control_instances)
        ]
        callers = [f"127.0.0.1:{next(ports)}" for _ in range(site.entries)]
        peers = [f"127.0.0.1:{next(ports)}" for _ in range(site.entries)]
        for i, address in enumerate(control):
            self.control.append(self._lay_out_control(i, address, control))
        for i, address in enumerate(callers):
            name = f"entry-{i + 1}"
            path = self._write(
                name,
                {
                    "name": name,
                    "data_center": self._data_center(i),
                    "address": address,
                    "peer_address": peers[i],
                    "control_addresses": control,
                    "token": TOKEN,
                    "seed_peers": [p for p in peers if p != peers[i]],
                    "address_ttl_ms": 1000.0,
                    "seed": site.seed * 100 + i,
                },
            )
            command = _daemon("auburnway.entry.main", path)
            self.entries.append(Member(name, command, address))
        for application in site.applications:
            for shard in range(application.services):
                for replica in range(application.backend_servers):
                    addresses = [f"127.0.0.1:{next(ports)}" for _ in "ab"]
                    self.backend_servers.append(
                        self._lay_out_server(
                            application, shard, replica, addresses, callers
                        )
                    )
        self._write(
            "operator",
            {
                "control_addresses": control,
                "entry_addresses": callers,
                "token": TOKEN,
                "author": "demonstration",
            },
        )

    def _lay_out_control(self, i: int, address: str, control: list[str]):
        name = f"control-{i + 1}"
        path = self._write(
            name,
            {
                "name": name,
                "data_center": self._data_center(i),
                "data_folder": str(self.folder / name),
                "address": address,
                "peers": [
                    {"name": f"control-{j + 1}", "address": peer}
                    for j, peer in enumerate(control)
                ],
                "token": TOKEN,
            },
        )
        command = [
            sys.executable,
            "-m",
            "auburnway.control.main",
            "run",
            "--settings",
            str(path),
        ]
        return Member(name, command, address)

    def _lay_out_server(
        self, application, shard: int, replica: int, addresses, callers
    ) -> Member:
        address, control_address = addresses
        name = f"{application.name}-{shard + 1}-{replica + 1}"
        # Each backend server begins with another pair of entries.
        start = (shard * application.backend_servers + replica) % len(callers)
        path = self._write(
            name,
            {
                "entries": callers[start:] + callers[:start],
                "fleet_token": TOKEN,
                "seed": self.site.seed,
                "crash_exits": True,
                "control_address": control_address,
                "servers": [
                    {
                        "name": name,
                        "application": application.name,
                        "address": address,
                        "data_center": self._data_center(replica),
                        "slots": application.slots,
                        "connection_limit": application.connections,
                        "catalogue": application.catalogue,
                        "records": application.records,
                        "service_ms": application.service_ms,
                        "service_sigma": application.service_sigma,
                        "record_path": str(self.folder / f"{name}.runs"),
                        "snapshots": [
                            {
                                "snapshot": 1,
                                "shard_count": application.services,
                                "shards": [shard],
                            }
                        ],
                    }
                ],
            },
        )
        command = _daemon("auburnway.standin.main", path)
        return Member(name, command, address, control_address)

    def _data_center(self, i: int) -> str:
        return self.site.data_centers[i % len(self.site.data_centers)]

    def _write(self, name: str, data: dict) -> pathlib.Path:
        path = self.folder / f"{name}.toml"
        path.write_text(tomli_w.dumps(data))
        return path

    # Processes.

    def initialize_control(self) -> None:
        """Writes identity and first voter set on each control disk."""
        running = []
        for member in self.control:
            command = ["init" if c == "run" else c for c in member.command]
            running.append(subprocess.Popen(command, stderr=subprocess.DEVNULL))
        for process in running:
            if process.wait():
                raise NotReady("auburnway-control init failed")

    def start(self, member: Member) -> None:
        """Starts one process; its log goes to the fleet's folder."""
        log = (self.folder / f"{member.name}.log").open("ab")
        self._logs.append(log)
        member.process = subprocess.Popen(
            member.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )

    def start_all(self) -> None:
        """Initializes control and starts every process."""
        self.initialize_control()
        for member in self.members:
            self.start(member)

    def kill(self, member: Member) -> None:
        """Ends one process with SIGKILL."""
        member.process.kill()
        member.process.wait()

    def signal(self, member: Member, number: signal.Signals) -> None:
        """Sends a signal to one process."""
        member.process.send_signal(number)

    def stop(self, member: Member) -> int:
        """Ends one process with SIGTERM and returns its exit code."""
        member.process.terminate()
        return self.wait(member)

    def wait(self, member: Member) -> int:
        """Waits until a process has ended; kills it after 10 s."""
        try:
            return member.process.wait(STOP_TIMEOUT_MS / 1000.0)
        except subprocess.TimeoutExpired:
            self.kill(member)
            return member.process.returncode

    def stop_all(self) -> None:
        """Ends every process that still runs, entries first."""
        order = [*self.entries, *self.backend_servers, *self.control]
        running = [m for m in order if m.process and m.process.poll() is None]
        for member in running:
            # A stopped process takes SIGTERM only after it goes on.
            member.process.send_signal(signal.SIGCONT)
            member.process.terminate()
        for member in running:
            self.wait(member)

    def operator(self, *arguments: str) -> subprocess.CompletedProcess:
        """Runs the operator's command and returns what it printed."""
        command = [
            sys.executable,
            "-m",
            "auburnway.admin.main",
            "--settings",
            str(self.folder / "operator.toml"),
            *arguments,
        ]
        return subprocess.run(
            command, capture_output=True, text=True, timeout=60
        )

    # Conditions.

    def wait_for(
        self,
        condition: typing.Callable[[], typing.Any],
        what: str,
        timeout_ms: float = 20_000.0,
    ) -> typing.Any:
        """Polls until a condition is true, and returns its value.

        Raises:
          NotReady: It was not met in time.
        """
        end_s = time.monotonic() + timeout_ms / 1000.0
        while time.monotonic() < end_s:
            value = condition()
            if value:
                return value
            time.sleep(POLL_MS / 1000.0)
        raise NotReady(f"{what} not within {timeout_ms:.0f} ms")

    def status(self, entry: Member) -> dict | None:
        """Returns an entry's status, or None while it does not answer."""
        try:
            status, data = call(entry.address, "GET", "/v1/status")
        except OSError:
            return None
        return data if status == 200 else None

    def knows_fleet(self, entry: Member, number: int) -> bool:
        """Whether an entry serves this release note with the whole table."""
        status = self.status(entry)
        if status is None or not status["leased"]:
            return False
        serving = [
            row
            for row in status["backend_servers"]
            if row["state"] == "serving"
        ]
        running = [m for m in self.backend_servers if m.process.poll() is None]
        return status["configuration_number"] >= number and len(serving) >= len(
            running
        )


def call(
    address: str,
    method: str,
    path: str,
    body: dict | None = None,
    headers: dict[str, str] | None = None,
    timeout_ms: float = HTTP_TIMEOUT_MS,
) -> tuple[int, dict]:
    """Makes one HTTP request with JSON in both directions.

    Returns:
      Status and decoded body; error statuses are returned too.

    Raises:
      OSError: The connection failed or timed out.
    """
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://{address}{path}",
        data=data,
        method=method,
        headers={"Content-Type": "application/json", **(headers or {})},
    )
    try:
        with urllib.request.urlopen(
            request, timeout=timeout_ms / 1000.0
        ) as reply:
            return reply.status, json.loads(reply.read())
    except urllib.error.HTTPError as error:
        with error:
            return error.code, json.loads(error.read() or b"{}")


def _daemon(module: str, path: pathlib.Path) -> list[str]:
    return [sys.executable, "-m", module, "--settings", str(path)]
