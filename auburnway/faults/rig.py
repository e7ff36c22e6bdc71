"""A small fleet of real processes and the operations of the fault tests on it.

The fleet has three control processes, four entries, and two applications:
`finder` with four shards of three backend servers each, and `ledger`, for
non-repeatable requests, with three backend servers.
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
# Ends a hanging test. The value is large, because the machine may be busy.
WAIT_TIMEOUT_MS = 90_000.0
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
INITIAL_NOTE = {
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


def one_change_note(number: int, action: str, item: str, name: str) -> str:
    """Returns a release note that changes one item that has only a name."""
    return tomli_w.dumps(
        {
            "number": number,
            "author": "tester",
            "summary": f"{action} {item} {name}",
            action: {item: [{"name": name}]},
        }
    )


def caller_note(number: int, name: str) -> str:
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
    """A running fleet with the operations of callers and operators.

    Attributes:
      fleet: The processes of the fleet.
      control_addresses: Addresses of all control processes.
    """

    def __init__(self, fleet: fleet_lib.Fleet):
        self.fleet = fleet
        self.control_addresses = [m.address for m in fleet.control]

    # Control.

    @contextlib.contextmanager
    def client(self, *members: fleet_lib.Member):
        """Opens a client of the given control processes, or of all."""
        addresses = [m.address for m in members] or self.control_addresses
        clock = clock_lib.SystemClock()
        with control_client.ControlClient(
            addresses, fleet_lib.TOKEN, clock
        ) as client:
            yield client

    def apply(self, text: str, timeout_ms: float = 5000.0) -> typing.Any:
        """Submits a release note; returns the reply or None without a reply."""
        with self.client() as client:
            outcome = client.call(
                "Apply", pb.NoteRequest(text=text, author="x"), timeout_ms
            )
        return outcome.unwrap() if pipeline.is_successful(outcome) else None

    def apply_until_accepted(
        self, text: str, timeout_ms=WAIT_TIMEOUT_MS
    ) -> float:
        """Submits a note until it is accepted; returns the time taken in ms."""
        begin_s = time.monotonic()

        def is_accepted():
            reply = self.apply(text, 1000.0)
            return reply is not None and not reply.errors

        self.fleet.wait_for(is_accepted, "acceptance of a note", timeout_ms)
        return (time.monotonic() - begin_s) * 1000.0

    def control_status(self, member: fleet_lib.Member) -> typing.Any:
        """Returns the status of a control process, or None without a reply."""
        with self.client(member) as client:
            outcome = client.call("Status", pb.StatusRequest(), 500.0)
        return outcome.unwrap() if pipeline.is_successful(outcome) else None

    def leader(self) -> fleet_lib.Member:
        """Waits for a leader with a quorum and returns it."""

        def find_leader():
            for member in self.fleet.control:
                if member.process.poll() is not None:
                    continue
                status = self.control_status(member)
                if status and status.role == "leader" and status.has_quorum:
                    return member
            return None

        return self.fleet.wait_for(
            find_leader, "leader with a quorum", WAIT_TIMEOUT_MS
        )

    def newest_note_number(self) -> int:
        """Returns the number of the newest note by a linearizable read."""
        with self.client() as client:
            return self.fleet.wait_for(
                lambda: _read_number(client),
                "linearizable read",
                WAIT_TIMEOUT_MS,
            )

    def wait_until_in_force(self, number: int) -> None:
        """Waits until each running entry serves the note of this number."""
        for entry in self.fleet.entries:
            if entry.process.poll() is None:
                self.fleet.wait_for(
                    lambda entry=entry: self.fleet.is_entry_ready(
                        entry, number
                    ),
                    f"{entry.name} serving note {number}",
                    WAIT_TIMEOUT_MS,
                )

    def wait_until_in_force_everywhere(self, number: int) -> float:
        """Waits until control reports that a note is in force everywhere.

        Returns:
          The time taken, ms.
        """

        def is_in_force_everywhere():
            with self.client() as client:
                outcome = client.call("InForce", pb.ReadRequest(), 2000.0)
            if not pipeline.is_successful(outcome):
                return False
            reply = outcome.unwrap()
            return reply.number >= number and reply.everywhere

        begin_s = time.monotonic()
        self.fleet.wait_for(
            is_in_force_everywhere, "in force everywhere", WAIT_TIMEOUT_MS
        )
        return (time.monotonic() - begin_s) * 1000.0

    # Processes.

    def start_if_ended(self, member: fleet_lib.Member) -> None:
        """Starts a process unless it is running."""
        if member.process.poll() is not None:
            self.fleet.start(member)

    def restart_with_settings(
        self, member: fleet_lib.Member, **changes: typing.Any
    ) -> None:
        """Kills a process and restarts it with changed settings."""
        path = self.fleet.folder / f"{member.name}.toml"
        data = tomllib.loads(path.read_text())
        path.write_text(tomli_w.dumps({**data, **changes}))
        self.fleet.kill(member)
        self.fleet.start(member)
        self.wait_until_up(member)

    def wait_until_leased(self, entry: fleet_lib.Member) -> None:
        """Waits until an entry holds a lease of its own."""

        def is_leased():
            status = self.fleet.status(entry)
            return status and status["lease_left_ms"] > 0

        self.fleet.wait_for(is_leased, f"lease of {entry.name}")

    def wait_until_up(self, member: fleet_lib.Member) -> None:
        """Waits until a started process replies to a status request."""

        def read_any_status():
            if member in self.fleet.control:
                return self.control_status(member)
            if member in self.fleet.entries:
                return self.fleet.status(member)
            try:
                return self.read_record(member)
            except OSError:
                return None

        self.fleet.wait_for(
            read_any_status, f"start of {member.name}", WAIT_TIMEOUT_MS
        )

    def lose_disk(self, member: fleet_lib.Member) -> None:
        """Kills a control process and deletes its data folder."""
        self.fleet.kill(member)
        shutil.rmtree(self.fleet.folder / member.name)

    def repair(self) -> None:
        """Resumes or restarts all processes; waits until the fleet is ready."""
        for member in self.fleet.members:
            if member.process.poll() is None:
                member.process.send_signal(signal.SIGCONT)
            self.start_if_ended(member)
        for member in self.fleet.members:
            self.wait_until_up(member)
        self.leader()
        self.wait_until_in_force(self.newest_note_number())

    def servers_of(self, name: str) -> list[fleet_lib.Member]:
        """Returns the backend servers of an application."""
        return [
            m
            for m in self.fleet.backend_servers
            if m.name.startswith(f"{name}-")
        ]

    def first_announced_entry(
        self, server: fleet_lib.Member
    ) -> fleet_lib.Member:
        """Returns the entry that a stand-in server announces to first."""
        entries = sorted(self.fleet.entries, key=lambda m: m.address)
        # The stand-in selects its first entry by the same checksum.
        return entries[zlib.crc32(server.name.encode()) % len(entries)]

    # Requests.

    def set_application_settings(
        self, name: str, **changes: typing.Any
    ) -> None:
        """Changes settings of an application's running stand-ins."""
        for member in self.servers_of(name):
            if member.process.poll() is None:
                self.set_server_settings(member, **changes)

    def set_server_settings(
        self, member: fleet_lib.Member, **changes: typing.Any
    ) -> None:
        """Changes settings of one running stand-in."""
        status, data = fleet_lib.call_http(
            member.control_address, "POST", "/v1/control", {"set": changes}
        )
        if status != 200:
            raise fleet_lib.NotReady(f"{member.name}: {data}")

    def start_action(self, member: fleet_lib.Member, action: str) -> None:
        """Makes one running stand-in perform an action, such as `drain`."""
        fleet_lib.call_http(
            member.control_address, "POST", "/v1/control", {"action": action}
        )

    def read_record(self, member: fleet_lib.Member) -> dict:
        """Returns the record of requests that a running stand-in keeps."""
        _, data = fleet_lib.call_http(
            member.control_address, "GET", "/v1/record?ids=1"
        )
        return data[member.name]

    def runs(self) -> list[dict]:
        """Returns the non-repeatable runs recorded by all stand-ins.

        The runs of killed stand-ins are included.
        """
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
        """Runs the load tool while the `with` block runs.

        Yields:
          A dictionary that holds the report of the tool after the block.
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
                        {"snapshot": snapshot, "shard_count": count}
                        for snapshot, count in partitions
                    ],
                }
            ],
        }
        path = self.fleet.folder / "scenario.toml"
        path.write_text(tomli_w.dumps(scenario))
        report_path = self.fleet.folder / "report.json"
        report_path.unlink(missing_ok=True)
        command = [sys.executable, "-m", "auburnway.load.main", str(path)]
        loaded_report: dict = {}
        process = subprocess.Popen(
            [*command, "--json", str(report_path)], stdout=subprocess.DEVNULL
        )
        try:
            yield loaded_report
            process.wait(duration_ms / 1000.0 + 60.0)
        finally:
            if process.poll() is None:
                process.kill()
                process.wait()
        loaded_report.update(json.loads(report_path.read_text()))


def _read_number(client) -> int:
    outcome = client.call("Read", pb.ReadRequest(), 2000.0)
    if not pipeline.is_successful(outcome) or outcome.unwrap().error.code:
        return 0
    return outcome.unwrap().number


@contextlib.contextmanager
def running_rig(folder: pathlib.Path | None = None) -> abc.Iterator[Rig]:
    """Runs a fleet with release note 1 in force during the `with` block."""
    with fleet_lib.Fleet(SITE, folder) as fleet:
        fleet.start_all()
        rig = Rig(fleet)
        rig.apply_until_accepted(tomli_w.dumps(INITIAL_NOTE))
        rig.wait_until_in_force(1)
        yield rig
