"""Cost of control per registered entry, per release note and per claim."""

import contextlib
import dataclasses
import selectors
import socket
import threading
import time

import psutil
from returns import pipeline

from auburnway.core import clock as clock_lib
from auburnway.demo import fleet as fleet_lib
from auburnway.demo import site as site_lib
from auburnway.rpc import control_client
from auburnway.rpc import control_pb2 as pb

LEASE_CLIENT_COUNTS = (2, 4, 7, 14)
LEASE_PERIOD_S = 6.0
NOTE_COUNTS = (250, 500, 1000)
CLAIM_COUNTS = (2500, 5000, 10_000)
CLAIMS_IN_FLIGHT = 16
RENEW_WAIT_MS = 400
CALL_TIMEOUT_MS = 5000.0
READY_TIMEOUT_MS = 30_000.0
# Longer than any phase of one repeat. A claim that is not answered in this
# time ends the measurement.
CLAIM_TIMEOUT_S = 120.0


class Relay:
    """TCP relay that counts the bytes of each direction.

    Attributes:
      address: `ip:port` to connect to.
      byte_counts: Bytes to the target (`in`) and from the target (`out`).
    """

    def __init__(self, target: str):
        host, port = target.rsplit(":", 1)
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.byte_counts = {"in": 0, "out": 0}
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._stopping = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        while not self._stopping:
            for key, _ in self._selector.select(0.1):
                if key.fileobj is self._listener:
                    self._accept()
                else:
                    self._forward(key.fileobj, *key.data)

    def _accept(self):
        client_socket, _ = self._listener.accept()
        server_socket = socket.create_connection(self._target)
        event_mask = selectors.EVENT_READ
        self._selector.register(
            client_socket, event_mask, (server_socket, "in")
        )
        self._selector.register(
            server_socket, event_mask, (client_socket, "out")
        )

    def _forward(self, source, target, direction):
        try:
            data = source.recv(1 << 16)
            target.sendall(data)
        except OSError:
            data = b""
        self.byte_counts[direction] += len(data)
        if not data:
            for endpoint in (source, target):
                with contextlib.suppress(KeyError, ValueError):
                    self._selector.unregister(endpoint)
                endpoint.close()

    def close(self):
        """Stops the thread and closes the listener."""
        self._stopping = True
        self._thread.join()
        self._listener.close()
        self._selector.close()


class LeaseClient:
    """Renews one lease as an entry does, without the other work of an entry.

    Attributes:
      stopping: Whether no further renewal is sent.
      renewals: Number of successful renewals.
    """

    def __init__(self, client, address: str, number: int):
        self._client = client
        self._address = address
        self._request = pb.RenewRequest(
            entry_name=f"client-{number}",
            entry_incarnation="1",
            data_center="a",
            caller_address=f"127.0.0.1:{20_000 + number}",
            peer_address=f"127.0.0.1:{30_000 + number}",
        )
        self.stopping = False
        self.renewals = 0

    def start(self):
        """Sends the next renewal; all but the first are long polls."""
        self._client.call_async(
            "Renew", self._request, 2000.0, self._on_done, self._address
        )

    def _on_done(self, result):
        # After the client is closed, every further call fails at once, so a
        # failure ends the renewals.
        if self.stopping or not pipeline.is_successful(result):
            self.stopping = True
            return
        if result.unwrap().error.code == "":
            reply = result.unwrap()
            self.renewals += 1
            self._request.number = reply.number
            self._request.held_lease_id = reply.lease_id
            self._request.wait_ms = RENEW_WAIT_MS
        self.start()


@dataclasses.dataclass
class ControlGroup:
    """The control processes of a site, their leader and a client."""

    fleet: fleet_lib.Fleet
    leader: fleet_lib.Member
    follower: fleet_lib.Member
    client: control_client.ControlClient

    def cpu_seconds(self, member) -> float:
        """Returns the processor time that a process has used, in seconds."""
        times = psutil.Process(member.process.pid).cpu_times()
        return times.user + times.system

    def resident_megabytes(self, member) -> float:
        """Returns the resident memory of a process in megabytes."""
        return psutil.Process(member.process.pid).memory_info().rss / 1e6

    def call(self, method, request):
        """Makes a call and returns its reply.

        Raises:
          fleet_lib.NotReady: The reply holds an error.
        """
        reply = self.client.call(method, request, CALL_TIMEOUT_MS).unwrap()
        error = getattr(reply, "error", None) or pb.Error()
        if error.code or getattr(reply, "errors", ()):
            raise fleet_lib.NotReady(str(reply))
        return reply

    def status(self, member):
        """Returns the status of a control process, or None on failure."""
        reply = self.client.call(
            "Status", pb.StatusRequest(), 1000.0, member.address
        )
        return reply.unwrap() if pipeline.is_successful(reply) else None

    def restart_ms(self, member) -> float:
        """Kills and restarts a process; returns its recovery time in ms.

        The process has recovered when it has applied all commands that the
        leader had applied before the kill.
        """
        target_index = self.status(self.leader).applied_index
        self.fleet.kill(member)
        start_s = time.monotonic()
        self.fleet.start(member)

        def is_ready():
            status = self.status(member)
            return status is not None and status.applied_index >= target_index

        self.fleet.wait_for(is_ready, "restart", READY_TIMEOUT_MS)
        return (time.monotonic() - start_s) * 1000.0


@contextlib.contextmanager
def run_control_group():
    """Runs a group of control processes and yields it with a leader."""
    site = site_lib.Site(
        name="capacity",
        data_centers=("a",),
        note_file="",
        second_note_file="",
        applications=(),
        entries=1,
    )
    with contextlib.ExitStack() as stack:
        fleet = stack.enter_context(fleet_lib.Fleet(site))
        fleet.initialize_control()
        for member in fleet.control:
            fleet.start(member)
        client = stack.enter_context(
            control_client.ControlClient(
                [m.address for m in fleet.control],
                fleet_lib.TOKEN,
                clock_lib.SystemClock(),
            )
        )
        control_group = ControlGroup(
            fleet, fleet.control[0], fleet.control[0], client
        )

        def find_leader():
            for member in fleet.control:
                status = control_group.status(member)
                if status is not None and status.role == "leader":
                    return member
            return None

        control_group.leader = fleet.wait_for(
            find_leader, "a leader", READY_TIMEOUT_MS
        )
        control_group.follower = next(
            m for m in fleet.control if m is not control_group.leader
        )
        control_group.call("Read", pb.ReadRequest())
        yield control_group


def measure_leases() -> list[dict]:
    """Measures leader and follower for each number of lease clients."""
    return [_lease_row(count) for count in LEASE_CLIENT_COUNTS]


def _lease_row(count: int) -> dict:
    with run_control_group() as control_group, contextlib.ExitStack() as stack:
        relay = Relay(control_group.leader.address)
        stack.callback(relay.close)
        lease_clients = []
        for number in range(count):
            # Each lease client has its own connection, as an entry has.
            client = control_client.ControlClient(
                [relay.address], fleet_lib.TOKEN, clock_lib.SystemClock()
            )
            stack.callback(client.close)
            lease_clients.append(LeaseClient(client, relay.address, number))
            lease_clients[-1].start()
        control_group.fleet.wait_for(
            lambda: all(
                lease_client.renewals > 5 for lease_client in lease_clients
            ),
            "leases",
            READY_TIMEOUT_MS,
        )
        time.sleep(1.0)
        members = (control_group.leader, control_group.follower)
        cpu_before_s = [control_group.cpu_seconds(m) for m in members]
        bytes_before, renewals_before = (
            dict(relay.byte_counts),
            sum(c.renewals for c in lease_clients),
        )
        start_s = time.monotonic()
        time.sleep(LEASE_PERIOD_S)
        elapsed_s = time.monotonic() - start_s
        cpu_after_s = [control_group.cpu_seconds(m) for m in members]
        row = {
            "size": count,
            "leader_core_percent": (cpu_after_s[0] - cpu_before_s[0])
            / elapsed_s
            * 100,
            "follower_core_percent": (cpu_after_s[1] - cpu_before_s[1])
            / elapsed_s
            * 100,
            "in_bytes_per_s": (relay.byte_counts["in"] - bytes_before["in"])
            / elapsed_s,
            "out_bytes_per_s": (relay.byte_counts["out"] - bytes_before["out"])
            / elapsed_s,
            "renewals_per_s": (
                sum(c.renewals for c in lease_clients) - renewals_before
            )
            / elapsed_s,
            "leader_megabytes": control_group.resident_megabytes(
                control_group.leader
            ),
        }
        for lease_client in lease_clients:
            lease_client.stopping = True
        return row


def measure_log() -> list[dict]:
    """Measures the cost of release notes and of claims as the log grows.

    Notes and claims are measured in separate groups.

    Returns:
      Rows of both measurements, merged in order. The `size` of a row is its
      position, counted from 1; `notes` and `claims` hold the number of
      records written so far.
    """
    with run_control_group() as control_group:
        note_rows = [_note_row(control_group, count) for count in NOTE_COUNTS]
    with run_control_group() as control_group:
        lease_client = LeaseClient(
            control_group.client, control_group.leader.address, 0
        )
        lease_client.start()
        control_group.fleet.wait_for(
            lambda: lease_client.renewals, "a lease", READY_TIMEOUT_MS
        )
        claim_rows = [
            _claim_row(control_group, count) for count in CLAIM_COUNTS
        ]
        lease_client.stopping = True
    return [
        {"size": size, **note, **claim}
        for size, (note, claim) in enumerate(
            zip(note_rows, claim_rows, strict=True), start=1
        )
    ]


def _note_row(control_group: ControlGroup, target_count: int) -> dict:
    cpu_before_s = [
        control_group.cpu_seconds(m)
        for m in (control_group.leader, control_group.follower)
    ]
    initial_count = control_group.status(control_group.leader).number
    start_s = time.monotonic()
    for next_number in range(initial_count + 1, target_count + 1):
        action = "add" if next_number == 1 else "change"
        control_group.call(
            "Apply",
            pb.NoteRequest(
                text=f'number = {next_number}\nauthor = "a"\nsummary = "s"\n'
                f'[[{action}.caller]]\nname = "desk"\n'
                f"share = {1 + next_number % 7}.0\n",
                author="a",
            ),
        )
    elapsed_ms = (time.monotonic() - start_s) * 1000.0
    count = target_count - initial_count
    cpu_after_s = [
        control_group.cpu_seconds(m)
        for m in (control_group.leader, control_group.follower)
    ]
    return {
        "notes": target_count,
        "note_ms": elapsed_ms / count,
        "note_leader_ms": (cpu_after_s[0] - cpu_before_s[0]) * 1000 / count,
        "note_follower_ms": (cpu_after_s[1] - cpu_before_s[1]) * 1000 / count,
        "notes_leader_megabytes": control_group.resident_megabytes(
            control_group.leader
        ),
        "notes_restart_ms": control_group.restart_ms(control_group.follower),
    }


def _claim_row(control_group: ControlGroup, target_count: int) -> dict:
    initial_count = control_group.status(control_group.leader).claims
    count = target_count - initial_count
    cpu_before_s = [
        control_group.cpu_seconds(m)
        for m in (control_group.leader, control_group.follower)
    ]
    start_s = time.monotonic()
    free_slots = threading.Semaphore(CLAIMS_IN_FLIGHT)
    failures = []

    def on_settled(outcome):
        if not pipeline.is_successful(outcome) or outcome.unwrap().error.code:
            failures.append(outcome)
        free_slots.release()

    def on_granted(outcome):
        reply = outcome.unwrap() if pipeline.is_successful(outcome) else None
        if reply is None or reply.state != "granted":
            failures.append(outcome)
            free_slots.release()
            return
        control_group.client.call_async(
            "Settle",
            pb.SettleRequest(
                claim_id=reply.claim_id,
                attempt=reply.attempt,
                entry_incarnation="1",
                outcome="done",
                result=b"r" * 300,
            ),
            CALL_TIMEOUT_MS,
            on_settled,
        )

    issued_ms = time.time_ns() // 1_000_000
    for sequence in range(initial_count, target_count):
        if not free_slots.acquire(timeout=CLAIM_TIMEOUT_S):
            raise fleet_lib.NotReady("a claim got no answer")
        control_group.client.call_async(
            "Claim",
            pb.ClaimRequest(
                caller="desk",
                key=f"{issued_ms}-{sequence}",
                digest=f"{sequence:064x}",
                entry_name="client-0",
                entry_incarnation="1",
            ),
            CALL_TIMEOUT_MS,
            on_granted,
        )
    for _ in range(CLAIMS_IN_FLIGHT):
        free_slots.acquire(timeout=CLAIM_TIMEOUT_S)
    elapsed_s = time.monotonic() - start_s
    cpu_after_s = [
        control_group.cpu_seconds(m)
        for m in (control_group.leader, control_group.follower)
    ]
    return {
        "claims": target_count,
        # Claims and settlements without a successful reply; an attempt times
        # out after 1 s.
        "claims_failed": len(failures),
        "claims_per_s": count / elapsed_s,
        "claim_leader_ms": (cpu_after_s[0] - cpu_before_s[0]) * 1000 / count,
        "claim_follower_ms": (cpu_after_s[1] - cpu_before_s[1]) * 1000 / count,
        "claims_leader_megabytes": control_group.resident_megabytes(
            control_group.leader
        ),
        "claims_restart_ms": control_group.restart_ms(control_group.follower),
    }
