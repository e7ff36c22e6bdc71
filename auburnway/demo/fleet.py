"""Starts and stops the processes of a site on the loopback interface.

The demonstration, the bench and the tests with real processes use this module.
The daemons themselves start no other processes.
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
# First ports of the blocks. All blocks are below the port range that Linux
# assigns to outgoing connections, because such a connection could occupy the
# port of a process during a restart.
PORT_BLOCKS = range(10_000, 32_000, 200)
# Sockets bound to the first port of each block in use, until this process ends.
_reserved_sockets: list[socket.socket] = []


class NotReady(Exception):
    """A process failed or a condition was not met in time."""


def free_ports(count: int) -> list[int]:
    """Returns loopback ports that are currently free for TCP and UDP.

    Each call reserves a block of ports until this process ends, so that fleets
    that several processes start at the same time do not use the same port.

    Raises:
      NotReady: No block has that many free ports.
    """
    first_ports = list(PORT_BLOCKS)
    random.shuffle(first_ports)
    for first_port in first_ports:
        block_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            block_socket.bind(("127.0.0.1", first_port))
        except OSError:
            block_socket.close()
            continue
        ports = filter(
            _is_free_port, range(first_port + 1, first_port + PORT_BLOCKS.step)
        )
        free = list(itertools.islice(ports, count))
        if len(free) == count:
            _reserved_sockets.append(block_socket)
            return free
        block_socket.close()
    raise NotReady(f"no block of {count} free ports")


def _is_free_port(port: int) -> bool:
    """Returns whether a port can be bound for TCP and UDP."""
    for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, socket_type) as test_socket:
            try:
                test_socket.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


@dataclasses.dataclass
class Member:
    """One process of the fleet.

    Attributes:
      name: Name of the process.
      command: Command line of the process.
      address: `ip:port` that the process serves.
      control_address: `ip:port` where a stand-in accepts changes of its
        behaviour and returns its record of requests; empty for other processes.
      process: The process, running or ended; None before the first start.
    """

    name: str
    command: list[str]
    address: str
    control_address: str = ""
    process: subprocess.Popen | None = None


class Fleet:
    """All processes of one site; a context manager that stops them on exit."""

    def __init__(self, site: site_lib.Site, folder: pathlib.Path | None = None):
        self.site = site
        self._temporary_folder = None
        if folder is None:
            self._temporary_folder = tempfile.TemporaryDirectory(
                prefix="auburnway-"
            )
            folder = pathlib.Path(self._temporary_folder.name)
        self.folder = folder
        self.control: list[Member] = []
        self.entries: list[Member] = []
        self.backend_servers: list[Member] = []
        self._log_files: list[typing.IO] = []
        self._create_members()

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_) -> None:
        self.stop_all()
        for log in self._log_files:
            log.close()
        if self._temporary_folder is not None:
            self._temporary_folder.cleanup()

    @property
    def members(self) -> list[Member]:
        """All processes: control, then entries, then backend servers."""
        return [*self.control, *self.entries, *self.backend_servers]

    # Settings files and command lines.

    def _create_members(self) -> None:
        site = self.site
        server_count = sum(
            a.services * a.backend_servers for a in site.applications
        )
        ports = iter(
            free_ports(
                2 * site.entries + site.control_instances + 2 * server_count
            )
        )
        control_addresses = [
            f"127.0.0.1:{next(ports)}" for _ in range(site.control_instances)
        ]
        entry_addresses = [
            f"127.0.0.1:{next(ports)}" for _ in range(site.entries)
        ]
        peer_addresses = [
            f"127.0.0.1:{next(ports)}" for _ in range(site.entries)
        ]
        for i, address in enumerate(control_addresses):
            self.control.append(
                self._create_control_member(i, address, control_addresses)
            )
        for i, address in enumerate(entry_addresses):
            name = f"entry-{i + 1}"
            path = self._write_settings(
                name,
                {
                    "name": name,
                    "data_center": self._data_center(i),
                    "address": address,
                    "peer_address": peer_addresses[i],
                    "control_addresses": control_addresses,
                    "token": TOKEN,
                    "seed_peers": [
                        peer
                        for peer in peer_addresses
                        if peer != peer_addresses[i]
                    ],
                    "address_ttl_ms": 1000.0,
                    "seed": site.seed * 100 + i,
                },
            )
            command = _daemon_command("auburnway.entry.main", path)
            self.entries.append(Member(name, command, address))
        for application in site.applications:
            for shard in range(application.services):
                for replica in range(application.backend_servers):
                    addresses = [f"127.0.0.1:{next(ports)}" for _ in "ab"]
                    self.backend_servers.append(
                        self._create_backend_server_member(
                            application,
                            shard,
                            replica,
                            addresses,
                            entry_addresses,
                        )
                    )
        self._write_settings(
            "operator",
            {
                "control_addresses": control_addresses,
                "entry_addresses": entry_addresses,
                "token": TOKEN,
                "author": "demonstration",
            },
        )

    def _create_control_member(
        self, i: int, address: str, control_addresses: list[str]
    ):
        name = f"control-{i + 1}"
        path = self._write_settings(
            name,
            {
                "name": name,
                "data_center": self._data_center(i),
                "data_folder": str(self.folder / name),
                "address": address,
                "peers": [
                    {"name": f"control-{j + 1}", "address": peer}
                    for j, peer in enumerate(control_addresses)
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

    def _create_backend_server_member(
        self, application, shard: int, replica: int, addresses, entry_addresses
    ) -> Member:
        address, control_address = addresses
        name = f"{application.name}-{shard + 1}-{replica + 1}"
        # Each backend server first announces to a different pair of entries.
        first_entry = (shard * application.backend_servers + replica) % len(
            entry_addresses
        )
        path = self._write_settings(
            name,
            {
                "entries": entry_addresses[first_entry:]
                + entry_addresses[:first_entry],
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
        command = _daemon_command("auburnway.standin.main", path)
        return Member(name, command, address, control_address)

    def _data_center(self, i: int) -> str:
        return self.site.data_centers[i % len(self.site.data_centers)]

    def _write_settings(self, name: str, data: dict) -> pathlib.Path:
        path = self.folder / f"{name}.toml"
        path.write_text(tomli_w.dumps(data))
        return path

    # Processes.

    def initialize_control(self) -> None:
        """Writes identity and first voter set to the folders of control."""
        running = []
        for member in self.control:
            command = [
                "init" if argument == "run" else argument
                for argument in member.command
            ]
            running.append(subprocess.Popen(command, stderr=subprocess.DEVNULL))
        for process in running:
            if process.wait():
                raise NotReady("`auburnway-control init` failed")

    def start(self, member: Member) -> None:
        """Starts one process and appends its log to a file in the folder."""
        log = (self.folder / f"{member.name}.log").open("ab")
        self._log_files.append(log)
        member.process = subprocess.Popen(
            member.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )

    def start_all(self) -> None:
        """Initializes control and starts every process."""
        self.initialize_control()
        for member in self.members:
            self.start(member)

    def kill(self, member: Member) -> None:
        """Kills one process with SIGKILL."""
        member.process.kill()
        member.process.wait()

    def send_signal(self, member: Member, number: signal.Signals) -> None:
        """Sends a signal to one process."""
        member.process.send_signal(number)

    def stop(self, member: Member) -> int:
        """Stops one process with SIGTERM and returns its exit code."""
        member.process.terminate()
        return self.wait_for_exit(member)

    def wait_for_exit(self, member: Member) -> int:
        """Waits for the end of a process and kills the process after 10 s.

        Returns:
          The exit code.
        """
        try:
            return member.process.wait(STOP_TIMEOUT_MS / 1000.0)
        except subprocess.TimeoutExpired:
            self.kill(member)
            return member.process.returncode

    def stop_all(self) -> None:
        """Stops all running processes: entries, backend servers, control."""
        order = [*self.entries, *self.backend_servers, *self.control]
        running = [
            candidate
            for candidate in order
            if candidate.process and candidate.process.poll() is None
        ]
        for member in running:
            # A process suspended by SIGSTOP handles SIGTERM only after SIGCONT.
            member.process.send_signal(signal.SIGCONT)
            member.process.terminate()
        for member in running:
            self.wait_for_exit(member)

    def run_operator_command(
        self, *arguments: str
    ) -> subprocess.CompletedProcess:
        """Runs the operator's command; returns its output and exit code."""
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
        description: str,
        timeout_ms: float = 20_000.0,
    ) -> typing.Any:
        """Polls a condition until its value is true, and returns the value.

        Raises:
          NotReady: The condition was not met in time.
        """
        end_s = time.monotonic() + timeout_ms / 1000.0
        while time.monotonic() < end_s:
            value = condition()
            if value:
                return value
            time.sleep(POLL_MS / 1000.0)
        raise NotReady(f"{description}: not met within {timeout_ms:.0f} ms")

    def status(self, entry: Member) -> dict | None:
        """Returns the status page of an entry, or None without an answer."""
        try:
            status, data = call_http(entry.address, "GET", "/v1/status")
        except OSError:
            return None
        return data if status == 200 else None

    def is_entry_ready(self, entry: Member, number: int) -> bool:
        """Returns whether an entry is ready to serve this release note.

        An entry is ready if it has a lease, serves this or a later number, and
        its table has all running backend servers in the state `serving`.
        """
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


def call_http(
    address: str,
    method: str,
    path: str,
    body: dict | None = None,
    headers: dict[str, str] | None = None,
    timeout_ms: float = HTTP_TIMEOUT_MS,
) -> tuple[int, dict]:
    """Sends one HTTP request; request and reply bodies are JSON.

    Returns:
      Status and decoded body, also for error statuses.

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


def _daemon_command(module: str, path: pathlib.Path) -> list[str]:
    return [sys.executable, "-m", module, "--settings", str(path)]
