"""A small fleet of real processes and the calls that fault tests make on it.

Three control processes, four entries, one application of four services with
three backend servers each, and one for non-repeatable requests with three.
"""

from collections import abc
import contextlib
import json
import pathlib
import shutil
import signal
import subprocess
import sys
import time
import tomllib
import typing
import zlib

from returns import pipeline
import tomli_w

from auburnway.core import clock as clock_lib
from auburnway.demo import fleet as fleet_lib
from auburnway.demo import site as site_lib
from auburnway.rpc import control_client
from auburnway.rpc import control_pb2 as pb

SEED = 11
SHARDS = 4
SEARCH_RECORDS = 400
# Only bounds a hanging test; the machine may be busy.
LIMIT_MS = 90_000.0
SITE = site_lib.Site(
    name="faults",
    data_centers=("a", "b", "c"),
    note_file="",
    second_note_file="",
    applications=(
        site_lib.Application(
            "finder", SHARDS, 3, 5, 60, "cloth", SEARCH_RECORDS, 5.0, 0.3
        ),
        site_lib.Application(
            "ledger", 1, 3, 5, 100, "cloth", 50, service_ms=20.0
        ),
    ),
    entries=4,
    control_instances=3,
    seed=SEED,
)
NOTE = {
    "number": 1,
    "author": "tester",
    "summary": "ranks, callers, kinds and applications",
    "add": {
        "rank": [
            {
                "name": "urgent",
                "order": 0,
                "floor_share": 0.5,
                "latency_target_ms": 500.0,
            },
        ],
        "application": [
            {
                "name": "finder",
                "slots_per_server": 5,
                "connections_per_server": 60,
                "connect_ms": 1.0,
            },
            {
                "name": "ledger",
                "slots_per_server": 5,
                "connections_per_server": 100,
                "connect_ms": 1.0,
            },
        ],
        "caller": [
            {"name": "desk", "share": 1.0},
            {"name": "other", "share": 1.0},
        ],
        "kind": [
            {
                "name": "search",
                "application": "finder",
                "rank": "urgent",
                "deadline_ms": 2000.0,
            },
            {
                "name": "booking",
                "application": "ledger",
                "rank": "urgent",
                "repeatable": False,
                "fan_out": False,
                "deadline_ms": 3000.0,
            },
        ],
    },
}


def note(number: int, action: str, item: str, name: str) -> str:
    """Returns a release note with one change of an item without fields."""
    return tomli_w.dumps(
        {
            "number": number,
            "author": "tester",
            "summary": f"{action} {item} {name}",
            action: {item: [{"name": name}]},
        }
    )


def small_note(number: int, name: str) -> str:
    """Returns a release note that adds one caller."""
    return tomli_w.dumps(
        {
            "number": number,
            "author": name,
            "summary": f"adds {name}",
            "add": {"caller": [{"name": name, "share": 1.0}]},
        }
    )


class Rig:
    """A running fleet with the calls of callers and operators.

    Attributes:
      fleet: The processes.
    """

    def __init__(self, fleet: fleet_lib.Fleet):
        self.fleet = fleet
        self.control_addresses = [m.address for m in fleet.control]

    # Control.

    @contextlib.contextmanager
    def client(self, *members: fleet_lib.Member):
        """Opens a client of all control processes, or of these."""
        addresses = [m.address for m in members] or self.control_addresses
        clock = clock_lib.SystemClock()
        with control_client.ControlClient(
            addresses, fleet_lib.TOKEN, clock
        ) as client:
            yield client

    def apply(self, text: str, timeout_ms: float = 5000.0) -> typing.Any:
        """Submits a release note; returns the reply or None without one."""
        with self.client() as client:
            outcome = client.call(
                "Apply", pb.NoteRequest(text=text, author="x"), timeout_ms
            )
        return outcome.unwrap() if pipeline.is_successful(outcome) else None

    def apply_until_accepted(self, text: str, timeout_ms=LIMIT_MS) -> float:
        """Submits a note until it is accepted; returns the time, ms."""
        begin_s = time.monotonic()

        def accepted():
            reply = self.apply(text, 1000.0)
            return reply is not None and not reply.errors

        self.fleet.wait_for(accepted, "acceptance of a note", timeout_ms)
        return (time.monotonic() - begin_s) * 1000.0

    def control_status(self, member: fleet_lib.Member) -> typing.Any:
        """Returns the status of one control process, or None."""
        with self.client(member) as client:
            outcome = client.call("Status", pb.StatusRequest(), 500.0)
        return outcome.unwrap() if pipeline.is_successful(outcome) else None

    def leader(self) -> fleet_lib.Member:
        """Waits for a leader with a quorum and returns it."""

        def find():
            for member in self.fleet.control:
                if member.process.poll() is not None:
                    continue
                status = self.control_status(member)
                if status and status.role == "leader" and status.has_quorum:
                    return member
            return None

        return self.fleet.wait_for(find, "leader with a quorum", LIMIT_MS)

    def number(self) -> int:
        """Returns the number in force by a linearizable read."""
        with self.client() as client:
            return self.fleet.wait_for(
                lambda: _read_number(client), "linearizable read", LIMIT_MS
            )

    def in_force(self, number: int) -> None:
        """Waits until each running entry serves this number."""
        for entry in self.fleet.entries:
            if entry.process.poll() is None:
                self.fleet.wait_for(
                    lambda entry=entry: self.fleet.knows_fleet(entry, number),
                    f"{entry.name} serving note {number}",
                    LIMIT_MS,
                )

    def everywhere(self, number: int) -> float:
        """Waits until control says that a number is in force everywhere.

        Returns:
          The time taken, ms.
        """

        def look():
            with self.client() as client:
                outcome = client.call("InForce", pb.ReadRequest(), 2000.0)
            if not pipeline.is_successful(outcome):
                return False
            reply = outcome.unwrap()
            return reply.number >= number and reply.everywhere

        begin_s = time.monotonic()
        self.fleet.wait_for(look, "in force everywhere", LIMIT_MS)
        return (time.monotonic() - begin_s) * 1000.0

    # Processes.

    def restart(self, member: fleet_lib.Member) -> None:
        """Starts a process that has ended."""
        if member.process.poll() is not None:
            self.fleet.start(member)

    def restart_with(
        self, member: fleet_lib.Member, **changes: typing.Any
    ) -> None:
        """Kills a process and starts it with changed settings."""
        path = self.fleet.folder / f"{member.name}.toml"
        data = tomllib.loads(path.read_text())
        path.write_text(tomli_w.dumps({**data, **changes}))
        self.fleet.kill(member)
        self.fleet.start(member)
        self.wait_until_up(member)

    def wait_until_up(self, member: fleet_lib.Member) -> None:
        """Waits until a process that was started answers."""

        def answers():
            if member in self.fleet.control:
                return self.control_status(member)
            if member in self.fleet.entries:
                return self.fleet.status(member)
            try:
                return self.record(member)
            except OSError:
                return None

        self.fleet.wait_for(answers, f"start of {member.name}", LIMIT_MS)

    def lose_disk(self, member: fleet_lib.Member) -> None:
        """Kills a control process and deletes its data folder."""
        self.fleet.kill(member)
        shutil.rmtree(self.fleet.folder / member.name)

    def repair(self) -> None:
        """Wakes and restarts all processes, and waits for the fleet."""
        for member in self.fleet.members:
            if member.process.poll() is None:
                member.process.send_signal(signal.SIGCONT)
            self.restart(member)
        for member in self.fleet.members:
            self.wait_until_up(member)
        self.leader()
        self.in_force(self.number())

    def application(self, name: str) -> list[fleet_lib.Member]:
        """Returns the backend servers of an application."""
        return [
            m
            for m in self.fleet.backend_servers
            if m.name.startswith(f"{name}-")
        ]

    def announced_to(self, server: fleet_lib.Member) -> fleet_lib.Member:
        """Returns the entry that a stand-in announces to first."""
        entries = sorted(self.fleet.entries, key=lambda m: m.address)
        # The stand-in's announcer chooses by this checksum.
        return entries[zlib.crc32(server.name.encode()) % len(entries)]

    # Requests.

    def set_servers(self, name: str, **changes: typing.Any) -> None:
        """Changes settings of an application's running stand-ins."""
        for member in self.application(name):
            if member.process.poll() is None:
                self.set_server(member, **changes)

    def set_server(
        self, member: fleet_lib.Member, **changes: typing.Any
    ) -> None:
        """Changes settings of one running stand-in."""
        status, data = fleet_lib.call(
            member.control_address, "POST", "/v1/control", {"set": changes}
        )
        if status != 200:
            raise fleet_lib.NotReady(f"{member.name}: {data}")

    def act(self, member: fleet_lib.Member, action: str) -> None:
        """Starts an action of one stand-in, such as `drain`."""
        fleet_lib.call(
            member.control_address, "POST", "/v1/control", {"action": action}
        )

    def record(self, member: fleet_lib.Member) -> dict:
        """Returns the truthful record of one running stand-in."""
        _, data = fleet_lib.call(
            member.control_address, "GET", "/v1/record?ids=1"
        )
        return data[member.name]

    def runs(self) -> list[dict]:
        """Returns all non-repeatable runs, of killed stand-ins too."""
        return [
            json.loads(line)
            for path in sorted(self.fleet.folder.glob("*.runs"))
            for line in path.read_text().splitlines()
        ]

    # Load.

    @contextlib.contextmanager
    def load(
        self,
        duration_ms: float,
        bookings: bool = True,
        deadline_ms: float = 3000.0,
        partitions: abc.Sequence[tuple[int, int]] = ((1, SHARDS),),
    ) -> abc.Iterator[dict]:
        """Runs the load tool beside the block.

        Yields:
          A dictionary that holds the tool's report after the block.
        """
        stream = {
            "caller": "desk",
            "kind": "search",
            "rank": "urgent",
            "rate": 40.0,
            "query": {"weave": "*"},
            "deadline_ms": deadline_ms,
        }
        booking = {
            **stream,
            "kind": "booking",
            "rate": 20.0,
            "query": {},
            "repeatable": False,
            "fan_out": False,
        }
        scenario = {
            "name": "faults",
            "entries": [m.address for m in self.fleet.entries],
            "standin_controls": [
                m.control_address for m in self.fleet.backend_servers
            ],
            "duration_ms": duration_ms,
            "seed": SEED,
            "streams": [stream, booking] if bookings else [stream],
            "truth": [
                {
                    "kinds": ["search"],
                    "catalogue": "cloth",
                    "records": SEARCH_RECORDS,
                    "seed": SEED,
                    "partitions": [
                        {"snapshot": s, "shard_count": count}
                        for s, count in partitions
                    ],
                }
            ],
        }
        path = self.fleet.folder / "scenario.toml"
        path.write_text(tomli_w.dumps(scenario))
        report = self.fleet.folder / "report.json"
        report.unlink(missing_ok=True)
        command = [sys.executable, "-m", "auburnway.load.main", str(path)]
        found: dict = {}
        process = subprocess.Popen(
            [*command, "--json", str(report)], stdout=subprocess.DEVNULL
        )
        try:
            yield found
            process.wait(duration_ms / 1000.0 + 60.0)
        finally:
            if process.poll() is None:
                process.kill()
                process.wait()
        found.update(json.loads(report.read_text()))


def _read_number(client) -> int:
    outcome = client.call("Read", pb.ReadRequest(), 2000.0)
    if not pipeline.is_successful(outcome) or outcome.unwrap().error.code:
        return 0
    return outcome.unwrap().number


@contextlib.contextmanager
def running(folder: pathlib.Path | None = None) -> abc.Iterator[Rig]:
    """Starts the fleet with release note 1 in force and ends it."""
    with fleet_lib.Fleet(SITE, folder) as fleet:
        fleet.start_all()
        rig = Rig(fleet)
        rig.apply_until_accepted(tomli_w.dumps(NOTE))
        rig.in_force(1)
        yield rig
