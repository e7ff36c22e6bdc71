"""Stand-ins of the platform, the clients and the backend servers.

A case starts the programs of the deploy file as processes, each with a loopback
address of its own, and plays clients, backend servers and operator in its own
process. Only the standard library is used.
"""

import asyncio
from collections import abc
import dataclasses
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]

CONTROL_PORT, DIRECTORY_PORT = 8224, 8225
FRONT_PORT, READY_PORT = 8226, 8227
INTERNAL_PORT, METRICS_PORT = 7740, 9464
PORTS = (
    CONTROL_PORT,
    DIRECTORY_PORT,
    FRONT_PORT,
    READY_PORT,
    INTERNAL_PORT,
    METRICS_PORT,
)

# Bounds of the deployments brethyn-search and ocker-suche.
BOUNDS = {
    "SeedLagS": 3,
    "AddressReuseS": 2,
    "StabilityWindowMs": 4000,
    "AckMs": 5000,
    "CatchUpS": 4,
    "DrainMs": 3000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 3000,
    "RollbackSlackMs": 250,
    "MaxSkewMs": 12000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetSlack": 54,
    "RecoveryS": 12,
    "ttl_max_s": 5,
}
STABILITY_S = BOUNDS["StabilityWindowMs"] / 1000
HEARTBEAT_S = 1.2
HOST = "leno12.example"
REGION = "tirol"
ZONES = ("tirol-a", "tirol-b", "tirol-c", "tirol-d")
# Zones of the control processes and of the entries of ocker-suche.
CONTROL_ZONES = ZONES
ENTRY_ZONES = (*ZONES[:3], *ZONES[:3], ZONES[3])
DEFAULT_LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 262144,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be played, so it shows nothing."""


class Record:
    """File with what was sent, answered and run."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w")
        self._start_s = time.monotonic()

    def add(self, event: str, **fields) -> None:
        """Writes one event with the seconds since the start."""
        at_s = time.monotonic() - self._start_s
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self._file.write(f"{at_s:8.3f} {event} {text}\n")

    def say(self, text: str) -> None:
        """Writes one line to the file and to standard output."""
        self.add("note", text=text)
        print(text, flush=True)

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


# The platform.


def _lookup(fields, path: str):
    value = fields
    for name in path.split("."):
        if isinstance(value, list):
            value = value[int(name)]
        else:
            value = value.get(name) if value is not None else None
    return value


def render(template: str, fields: dict) -> str:
    """Fills in the placeholders `{{a.b}}` and `{{a.b|json}}` of a template."""

    def replace(match: re.Match) -> str:
        value = _lookup(fields, match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", replace, template)


def _is_free(ip: str) -> bool:
    for port in PORTS:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


@dataclasses.dataclass
class Machine:
    """One process of the tier and the settings that it is started with."""

    name: str
    role: str
    ip: str
    zone: str
    command: list[str]
    environment: dict[str, str]
    template: str
    fields: dict
    settings_path: pathlib.Path
    log_path: pathlib.Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        self.settings_path.write_text(render(self.template, self.fields))
        # Only the first start of the whole system is one with empty disks.
        self.fields["Bootstrap"] = False
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self.command,
                cwd=ROOT,
                env=self.environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: int) -> None:
        """Sends a signal unless the process has ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process and waits for its end."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(10)

    def address(self, port: int) -> str:
        """Returns the address of one of its ports."""
        return f"{self.ip}:{port}"


class Fleet:
    """Control processes and entries of a small deployment.

    Args:
      record: Record of the case.
      control_zones: Zone of each control process; three are the seeds.
      entry_zones: Zone of each entry.
    """

    def __init__(
        self,
        record: Record,
        control_zones: abc.Sequence[str] = CONTROL_ZONES,
        entry_zones: abc.Sequence[str] = ENTRY_ZONES,
    ):
        self._record = record
        self._folder = tempfile.TemporaryDirectory(prefix="auburnway-review-")
        self._deploy = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text()
        )
        count = len(control_zones) + len(entry_zones)
        self._subnet = next(
            (
                subnet
                for subnet in range(71, 99)
                if all(
                    _is_free(f"127.{subnet}.0.{n + 1}") for n in range(count)
                )
            ),
            None,
        )
        if self._subnet is None:
            raise CannotRunError("no free loopback addresses")
        self._next_host = 1
        self._seeds = [
            f"127.{self._subnet}.0.{n + 1}:{CONTROL_PORT}"
            for n in range(min(len(control_zones), 3))
        ]
        self.controls = [
            self.add_machine("control", zone) for zone in control_zones
        ]
        self.entries = [self.add_machine("entry", z) for z in entry_zones]

    def add_machine(
        self, role: str, zone: str, is_first_start: bool = True
    ) -> Machine:
        """Prepares a machine, whose process is not started yet."""
        number = self._next_host
        self._next_host += 1
        ip = f"127.{self._subnet}.0.{number}"
        role_document = self._deploy["roles"][role]
        machine_class = role_document["on"]
        name = f"{machine_class}-{zone}-{number}"
        folder = pathlib.Path(self._folder.name) / name
        folder.mkdir()
        data_folder = folder / "data"
        data_folder.mkdir()
        is_entry = machine_class == "front"
        fields = {
            "Node": name,
            "Role": role,
            "InstanceClass": machine_class,
            "Serves": role_document["serves"],
            "Ip": ip,
            "Zone": zone,
            "Region": REGION,
            "Listen": {
                "Front": f"{ip}:{FRONT_PORT}",
                "Ready": f"{ip}:{READY_PORT}",
                "directory": f"{ip}:{DIRECTORY_PORT}",
                "Control": f"{ip}:{CONTROL_PORT}",
            },
            "InternalPorts": [INTERNAL_PORT, INTERNAL_PORT + 15],
            "Seeds": self._seeds,
            "Bootstrap": is_first_start,
            "Limits": {"CpuShare": 0.537, "Cores": 2}
            if is_entry
            else {"CpuShare": 0.645, "Cores": 1},
            "DataDir": None if is_entry else str(data_folder),
            "HeartbeatMs": int(1000 * HEARTBEAT_S),
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": BOUNDS,
        }
        template = (ROOT / role_document["template"]).read_text()
        settings_path = folder / "node.json"
        command = role_document["run"].split()
        command[0] = sys.executable
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["AUBURNWAY_SETTINGS"] = str(settings_path)
        return Machine(
            name,
            role,
            ip,
            zone,
            command,
            environment,
            template,
            fields,
            settings_path,
            folder / "log",
        )

    @property
    def machines(self) -> tuple[Machine, ...]:
        """All machines."""
        return (*self.controls, *self.entries)

    async def start(self, configuration: dict) -> None:
        """Starts all processes and puts the first configuration in force."""
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("target/deps is missing: build first")
        for machine in (*self.controls, *self.entries):
            machine.start()
        await self.put(configuration, 20.0)
        await self.wait_ready(self.entries)

    async def wait_ready(self, entries: abc.Iterable[Machine]) -> None:
        """Waits until entries answer the readiness check with 200."""
        for entry in entries:
            deadline_s = time.monotonic() + 20.0
            while True:
                answer = await exchange(
                    entry.address(READY_PORT), "GET", "/auburnway/readiness"
                )
                if answer is not None and answer.status == 200:
                    break
                if time.monotonic() > deadline_s:
                    raise CannotRunError(f"{entry.name} is not ready")
                await asyncio.sleep(0.05)

    async def put(self, configuration: dict, timeout_s: float = 10.0) -> float:
        """Sends a configuration until it is acknowledged; returns when."""
        body = json.dumps(configuration).encode()
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            for machine in self.controls:
                address = machine.address(CONTROL_PORT)
                for _ in range(3):
                    answer = await exchange(
                        address, "POST", "/auburnway/config/put", body=body
                    )
                    if answer is None or answer.status != 307:
                        break
                    address = answer.headers["location"].split("/")[2]
                if answer is not None and answer.status == 200:
                    self._record.add(
                        "acknowledged", version=configuration["Version"]
                    )
                    return time.monotonic()
            await asyncio.sleep(0.1)
        raise CannotRunError("the configuration was not acknowledged")

    async def resolve(self, entry: Machine, zone: str) -> list[str]:
        """Asks an entry which addresses a client of a zone may use."""
        path = f"/auburnway/resolve?Name={HOST}&Region={REGION}&Zone={zone}"
        answer = await exchange(entry.address(DIRECTORY_PORT), "GET", path)
        if answer is None or answer.status != 200:
            return []
        return json.loads(answer.body)["addrs"]

    def close(self) -> None:
        """Ends all processes that were started."""
        for machine in (*self.entries, *self.controls):
            machine.end()
        self._folder.cleanup()

    def log_lines(self, machine: Machine, text: str) -> list[str]:
        """Returns the log lines of a machine that hold a text."""
        if not machine.log_path.exists():
            return []
        lines = machine.log_path.read_text().splitlines()
        return [line for line in lines if text in line]


def route(name: str, prefix: str, kind: str, **fields) -> dict:
    """Returns a route of a configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "Type": kind,
        "TimeoutMs": 5000,
        "TargetLatencyMs": 1500,
        "Priority": 2,
        "MaxAttempts": 2,
        **fields,
    }


def configuration(
    version: int, routes: list[dict], services: abc.Iterable[str]
) -> dict:
    """Returns a configuration document."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {
                "Name": service,
                "HealthCheckPath": "/health",
                "MaxConnections": 100,
                "Protocol": "h1",
                "Tls": False,
            }
            for service in services
        ],
        "Limits": DEFAULT_LIMITS,
    }


# HTTP.


@dataclasses.dataclass(frozen=True)
class Message:
    """Start line, headers by lower-case name, and body."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads one message with a length; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        start, *lines = head.decode("latin-1").split("\r\n")
        pairs = [line.partition(":") for line in lines if line]
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(start, headers, body)


def encode_message(
    start: str, headers: abc.Mapping[str, str], body: bytes = b""
) -> bytes:
    """Returns the bytes of a message."""
    lines = [start, *(f"{k}: {v}" for k, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def exchange(
    address: str,
    method: str,
    path: str,
    headers: abc.Mapping[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Message | None:
    """Makes one call on a new connection; None without a whole answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            sent = {"Host": address, "Connection": "close", **(headers or {})}
            start = f"{method} {path} HTTP/1.1"
            writer.write(encode_message(start, sent, body))
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


# Clients.

_request_numbers = random.Random(7)


class Client:
    """Sends requests to one entry and records the answers.

    Args:
      record: Record of the case.
      address: Address of the entry.
    """

    def __init__(self, record: Record, address: str):
        self._record = record
        self.address = address

    async def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        deadline_ms: int = 5000,
        **headers: str,
    ) -> tuple[str, Message | None]:
        """Sends one request; returns its id and its answer."""
        request_id = f"{_request_numbers.getrandbits(64):016x}"
        self._record.add(
            "sent", id=request_id, to=self.address, method=method, path=path
        )
        answer = await exchange(
            self.address,
            method,
            path,
            {
                "Host": HOST,
                "Request-Id": request_id,
                "Deadline-Ms": str(deadline_ms),
                **{k.replace("_", "-"): v for k, v in headers.items()},
            },
            body,
            deadline_ms / 1000 + 0.2,
        )
        status = answer.status if answer is not None else "none"
        stamp = answer.headers.get("response-stamp") if answer else None
        self._record.add(
            "answered", id=request_id, status=status, stamp=stamp or "-"
        )
        return request_id, answer


# Backend servers.


class Backend:
    """One backend server, which registers itself by heartbeats.

    Attributes:
      arrivals: Id and monotonic time in s of each request, rejected ones too.
      runs: Id and monotonic time in s of each request that it began to run.
      work_s: Time that it works on a request, in s.
      advice: Headers that each answer states besides the usual ones.
    """

    def __init__(
        self,
        record: Record,
        server_id: str,
        service: str,
        zone: str,
        controls: abc.Sequence[str],
        rng: random.Random,
        slots: int = 3,
        work_s: float = 0.05,
    ):
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.advice: dict[str, str] = {}
        self.arrivals: list[tuple[str, float]] = []
        self.runs: list[tuple[str, float]] = []
        self.address = ""
        self._record = record
        self._controls = list(controls)
        self._rng = rng
        self._slots = slots
        self._running = 0
        self._sequence = 0
        self._born_ms = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task | None = None

    async def start(self, port: int = 0) -> None:
        """Starts to listen and to send heartbeats."""
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self._beats = asyncio.create_task(self._send_heartbeats())

    async def _send_heartbeats(self) -> None:
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S * self._rng.uniform(0.95, 1.05))

    async def send_heartbeat(self) -> None:
        """Sends one heartbeat, to the next control process if one fails."""
        await self._call("heartbeat", self._next_heartbeat())

    def _next_heartbeat(self) -> bytes:
        self._sequence += 1
        fields = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self._slots,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": self._sequence,
            "born": self._born_ms,
        }
        return json.dumps(fields).encode()

    async def send_late_heartbeat(self, delay_s: float) -> None:
        """Sends a heartbeat that arrives late, at one control process."""
        body = self._next_heartbeat()
        sequence, address = self._sequence, self._rng.choice(self._controls)
        await asyncio.sleep(delay_s)
        path = f"/auburnway/instances/{self.server_id}/heartbeat"
        await exchange(address, "POST", path, body=body)
        self._record.add(
            "late_heartbeat",
            server=self.server_id,
            to=address,
            sequence=sequence,
        )

    async def _call(self, action: str, body: bytes) -> tuple[str, float] | None:
        """Calls the control processes, in a random order, until one agrees."""
        path = f"/auburnway/instances/{self.server_id}/{action}"
        for address in self._rng.sample(self._controls, len(self._controls)):
            answer = await exchange(address, "POST", path, body=body)
            status = answer.status if answer is not None else "none"
            self._record.add(
                action,
                server=self.server_id,
                to=address,
                sequence=self._sequence,
                status=status,
            )
            if status == 200:
                return address, time.monotonic()
        return None

    async def deregister(self) -> float | None:
        """Says that it leaves; returns when that was acknowledged, in s."""
        self._beats.cancel()
        called = await self._call("deregister", b"")
        return called[1] if called is not None else None

    async def stop(self) -> None:
        """Takes no more connections, ends its work, and closes."""
        self._beats.cancel()
        self._server.close()
        while self._running:
            await asyncio.sleep(0.01)
        self.crash()

    def crash(self) -> None:
        """Closes everything at once, as a process that dies."""
        self._beats.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if not await self._answer(request, writer):
                    break
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message, writer) -> bool:
        """Answers one request; returns whether the connection goes on."""
        request_id = request.headers.get("request-id", "")
        if request.headers.get("expect-instance") != self.server_id:
            await self.reply(writer, request_id, 421, b"", {"Not-Executed": ""})
            return True
        self.arrivals.append((request_id, time.monotonic()))
        return await self.on_request(request, request_id, writer)

    async def on_request(self, request: Message, request_id, writer) -> bool:
        """Runs one request; subclasses behave otherwise."""
        self.begin(request_id)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
        stamp = {"Response-Stamp": f"{self.server_id}.{request_id}"}
        body = b"ran " + request_id.encode()
        await self.reply(writer, request_id, 200, body, stamp)
        return True

    def begin(self, request_id: str) -> None:
        """Records that it begins to run a request."""
        self._running += 1
        self.runs.append((request_id, time.monotonic()))
        self._record.add("run", id=request_id, server=self.server_id)

    async def reply(self, writer, request_id, status, body, headers) -> None:
        """Sends an answer."""
        fields = {
            "Request-Id": request_id,
            "Server-Load": f"{self._running},0,{self._slots}",
            "Keep-Alive": "timeout=5",
            **headers,
            **self.advice,
        }
        start = f"HTTP/1.1 {status} Status"
        writer.write(encode_message(start, fields, body))
        await writer.drain()


def run_case(
    folder: pathlib.Path, play: abc.Callable[[Record], abc.Awaitable[int]]
) -> int:
    """Plays a case; returns its exit code.

    Args:
      folder: Folder of the case.
      play: Plays the case and returns `HELD` or `BROKEN`.
    """
    record = Record(folder / "record.txt")
    try:
        verdict = asyncio.run(asyncio.wait_for(play(record), 115))
        record.say("the rule was broken" if verdict else "the rule held")
        return verdict
    except (CannotRunError, TimeoutError, OSError) as error:
        record.say(f"the case could not run: {error!r}")
        return NOT_RUN
    finally:
        record.close()


def has_trouble() -> bool:
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"
