"""Starts the programs of auburnway on loopback, as the platform would.

The commands, templates and roles are read from `deploy/system.toml`. Every
process has a loopback address of its own; the ports are free ones.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]

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
HEARTBEAT_MS = 1200
ZONES = ("cymru-a", "cymru-b", "cymru-c")
START_TIMEOUT_S = 20.0


class CannotRunError(Exception):
    """The case could not be set up, which says nothing of the rule."""


def _lookup(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def render(template, fields):
    """Fills in a template of the deploy file."""

    def replace(match):
        path, as_json = match[1], match[2]
        value = _lookup(fields, path)
        if as_json:
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(map(str, value))
        return json.dumps(value) if isinstance(value, dict) else str(value)

    return re.sub(r"\{\{([A-Za-z.0-9]+)(\|json)?\}\}", replace, template)


class Process:
    """One program of the deploy file on one machine."""

    def __init__(self, fleet, role, ip, zone, settings):
        self.role = role
        self.ip = ip
        self.zone = zone
        self._fleet = fleet
        self._settings = settings
        self._path = fleet.folder / f"{role}-{ip}.toml"
        self.log_path = fleet.folder / f"{role}-{ip}.log"
        self.popen = None

    def start(self, **changes):
        """Starts the program; `changes` replace fields of its settings."""
        role = self._fleet.deploy["roles"][self.role]
        template = (ROOT / role["template"]).read_text()
        self._path.write_text(render(template, self._settings | changes))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["AUBURNWAY_SETTINGS"] = str(self._path)
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._fleet.started.append(self.popen)

    def signal(self, number):
        """Sends a signal unless the process has ended."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        """Ends the process at once."""
        self.signal(signal.SIGKILL)
        self.popen.wait(10)

    @property
    def data_folder(self):
        """Disk folder of the machine."""
        return pathlib.Path(self._settings["DataDir"])


class Fleet:
    """Machines with the programs of the deploy file.

    Args:
      controls: Number of machines with the control program.
      entries: Number of machines with the entry program.
      log: Called with each line for the record.
    """

    def __init__(self, controls, entries, log):
        self.log = log
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="auburnway-"))
        self.started = []
        subnet = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._subnet = subnet
        ips = [f"{subnet}.{n + 1}" for n in range(controls)]
        ips += [f"{subnet}.{n + 101}" for n in range(entries)]
        ports = _free_ports(ips, 5)
        self.control_port, self.front_port = ports[0], ports[1]
        self.ready_port, self.directory_port = ports[2], ports[3]
        self._internal_port = ports[4]
        self._seeds = [f"{ip}:{self.control_port}" for ip in ips[:controls][:3]]
        self.controls = [
            self._machine("control", ip, ZONES[n % 3])
            for n, ip in enumerate(ips[:controls])
        ]
        self.entries = [
            self._machine("entry", ip, ZONES[n % 3])
            for n, ip in enumerate(ips[controls:])
        ]

    def _machine(self, role, ip, zone):
        is_control = role == "control"
        data = self.folder / f"data-{ip}"
        if is_control:
            data.mkdir()
        listen = (
            {"Control": f"{ip}:{self.control_port}"}
            if is_control
            else {
                "Front": f"{ip}:{self.front_port}",
                "Ready": f"{ip}:{self.ready_port}",
                "directory": f"{ip}:{self.directory_port}",
            }
        )
        settings = {
            "Node": f"{role}-{ip}",
            "Role": role,
            "InstanceClass": "core" if is_control else "front",
            "Serves": self.deploy["roles"][role]["serves"],
            "Ip": ip,
            "Zone": zone,
            "Region": "cymru",
            "Zones": dict.fromkeys(ZONES, "cymru"),
            "Listen": listen,
            "InternalPorts": [self._internal_port, self._internal_port + 15],
            "Seeds": self._seeds,
            "Bootstrap": True,
            "InTolerance": is_control,
            "Limits": {
                "CpuShare": 0.645 if is_control else 0.537,
                "Cores": 1 if is_control else 2,
                "MemoryMb": 300,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
                "DiskMb": 128 if is_control else 0,
            },
            "DataDir": str(data) if is_control else None,
            "Discovery": "registry",
            "Entry": "directory",
            "HeartbeatMs": HEARTBEAT_MS,
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": BOUNDS,
            "config_mode": "highest",
        }
        return Process(self, role, ip, zone, settings)

    def start(self):
        """Starts all machines at once."""
        for process in (*self.controls, *self.entries):
            process.start()

    async def wait_ready(self, entries=None):
        """Waits until entries answer their readiness check with 200."""
        end_s = time.monotonic() + START_TIMEOUT_S
        for entry in entries or self.entries:
            while time.monotonic() < end_s:
                try:
                    reply = await call(
                        f"{entry.ip}:{self.ready_port}",
                        "GET",
                        "/auburnway/readiness",
                    )
                except (OSError, TimeoutError, EOFError):
                    reply = (0,)
                if reply[0] == 200:
                    break
                await asyncio.sleep(0.05)
            else:
                raise CannotRunError(f"{entry.ip} is not ready")

    def control_addresses(self):
        """Returns the addresses for backends and operators."""
        return [f"{c.ip}:{self.control_port}" for c in self.controls]

    def front_address(self, entry):
        """Returns the address of an entry for clients."""
        return f"{entry.ip}:{self.front_port}"

    async def order(self, method, path, body=None, first=0, seconds=15.0):
        """Makes a call of the operator, as PROTOCOL.md tells.

        Returns:
          Status and body of the first clear answer; None without one.
        """
        end_s = time.monotonic() + seconds
        number = first
        while time.monotonic() < end_s:
            address = self.control_addresses()[number % len(self.controls)]
            number += 1
            for _ in range(3):
                try:
                    status, headers, data = await call(
                        address, method, path, body, timeout_s=1.0
                    )
                except (OSError, TimeoutError, EOFError):
                    break
                if status == 307:
                    address = headers["location"].split("/")[2]
                    continue
                if status < 500 and status not in (408, 429):
                    return status, data
                break
            await asyncio.sleep(0.1)
        return None

    async def put(self, configuration, **options):
        """Sends a configuration; returns the status of the clear answer."""
        body = json.dumps(configuration).encode()
        answer = await self.order(
            "POST", "/auburnway/config/put", body, **options
        )
        return answer[0] if answer else None

    def close(self):
        """Ends all processes that were started and removes the folder."""
        for popen in self.started:
            if popen.poll() is None:
                popen.send_signal(signal.SIGCONT)
                popen.kill()
        for popen in self.started:
            popen.wait(10)
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def _free_ports(ips, count):
    """Returns ports that are free on all addresses."""
    ports = []
    while len(ports) < count:
        port = random.randint(20_000, 30_000)
        if port not in ports and all(_is_free(ip, port) for ip in ips):
            ports.append(port)
    return ports


def _is_free(ip, port):
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
        return True


async def read_head(reader):
    """Reads a message's head; returns its first line and its fields."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def call(address, method, path, body=b"", headers=None, timeout_s=5.0):
    """Makes one HTTP call on a new connection.

    Returns:
      Status, fields and body of the answer.
    """

    async def exchange():
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            if not headers or "Host" not in headers:
                lines.append(f"Host: {address}")
            if body:
                lines.append("Content-Type: application/json")
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body or b'')}")
            head = "\r\n".join(lines) + "\r\n\r\n"
            writer.write(head.encode() + (body or b""))
            first, fields = await read_head(reader)
            length = int(fields.get("content-length", 0))
            data = await reader.readexactly(length)
            return int(first.split()[1]), fields, data
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout_s)
