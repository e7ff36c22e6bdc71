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

LEASE_CLIENTS = (2, 4, 7, 14)
LEASE_S = 6.0
NOTES = (250, 500, 1000)
CLAIMS = (2500, 5000, 10_000)
CLAIMS_IN_FLIGHT = 16
WAIT_MS = 400
CALL_MS = 5000.0
READY_MS = 30_000.0
# Longer than any phase of one repeat; a call without an answer ends there.
BATCH_S = 120.0


class Relay:
    """Passes TCP connections on and counts their bytes."""

    def __init__(self, target: str):
        host, port = target.rsplit(":", 1)
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.sizes = {"in": 0, "out": 0}
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
                    self._pass_on(key.fileobj, *key.data)

    def _accept(self):
        near, _ = self._listener.accept()
        far = socket.create_connection(self._target)
        read = selectors.EVENT_READ
        self._selector.register(near, read, (far, "in"))
        self._selector.register(far, read, (near, "out"))

    def _pass_on(self, source, target, direction):
        try:
            data = source.recv(1 << 16)
            target.sendall(data)
        except OSError:
            data = b""
        self.sizes[direction] += len(data)
        if not data:
            for each in (source, target):
                with contextlib.suppress(KeyError, ValueError):
                    self._selector.unregister(each)
                each.close()

    def close(self):
        """Ends the thread and closes the listener."""
        self._stopping = True
        self._thread.join()
        self._listener.close()
        self._selector.close()


class LeaseClient:
    """Renews one lease as an entry does, with as little else as possible."""

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
        """Sends the next poll."""
        self._client.call_async(
            "Renew", self._request, 2000.0, self._on_done, self._address
        )

    def _on_done(self, outcome):
        # The client fails each call at once after it was closed.
        if self.stopping or not pipeline.is_successful(outcome):
            self.stopping = True
            return
        if outcome.unwrap().error.code == "":
            reply = outcome.unwrap()
            self.renewals += 1
            self._request.number = reply.number
            self._request.held_lease_id = reply.lease_id
            self._request.wait_ms = WAIT_MS
        self.start()


@dataclasses.dataclass
class Group:
    """A group of three control processes that has a leader."""

    fleet: fleet_lib.Fleet
    leader: fleet_lib.Member
    follower: fleet_lib.Member
    client: control_client.ControlClient

    def seconds(self, member) -> float:
        """Returns the processor time of a process."""
        times = psutil.Process(member.process.pid).cpu_times()
        return times.user + times.system

    def megabytes(self, member) -> float:
        """Returns the resident memory of a process."""
        return psutil.Process(member.process.pid).memory_info().rss / 1e6

    def call(self, method, request):
        """Makes a call that must succeed."""
        reply = self.client.call(method, request, CALL_MS).unwrap()
        found = getattr(reply, "error", None) or pb.Error()
        if found.code or getattr(reply, "errors", ()):
            raise fleet_lib.NotReady(str(reply))
        return reply

    def status(self, member):
        """Returns the status of one instance, or None."""
        reply = self.client.call(
            "Status", pb.StatusRequest(), 1000.0, member.address
        )
        return reply.unwrap() if pipeline.is_successful(reply) else None

    def restart_ms(self, member) -> float:
        """Kills a process and returns the time until it is ready again."""
        index = self.status(self.leader).applied_index
        self.fleet.kill(member)
        begin_s = time.monotonic()
        self.fleet.start(member)

        def is_ready():
            found = self.status(member)
            return found is not None and found.applied_index >= index

        self.fleet.wait_for(is_ready, "restart", READY_MS)
        return (time.monotonic() - begin_s) * 1000.0


@contextlib.contextmanager
def group():
    """Runs a group of control processes."""
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
        made = Group(fleet, fleet.control[0], fleet.control[0], client)

        def find_leader():
            for member in fleet.control:
                found = made.status(member)
                if found is not None and found.role == "leader":
                    return member
            return None

        made.leader = fleet.wait_for(find_leader, "a leader", READY_MS)
        made.follower = next(m for m in fleet.control if m is not made.leader)
        made.call("Read", pb.ReadRequest())
        yield made


def leases() -> list[dict]:
    """Returns the cost at leader and follower by number of lease clients."""
    return [_lease_row(count) for count in LEASE_CLIENTS]


def _lease_row(count: int) -> dict:
    with group() as made, contextlib.ExitStack() as stack:
        relay = Relay(made.leader.address)
        stack.callback(relay.close)
        renewing = []
        for number in range(count):
            # An entry has a connection of its own.
            client = control_client.ControlClient(
                [relay.address], fleet_lib.TOKEN, clock_lib.SystemClock()
            )
            stack.callback(client.close)
            renewing.append(LeaseClient(client, relay.address, number))
            renewing[-1].start()
        made.fleet.wait_for(
            lambda: all(each.renewals > 5 for each in renewing),
            "leases",
            READY_MS,
        )
        time.sleep(1.0)
        members = (made.leader, made.follower)
        before = [made.seconds(m) for m in members]
        sizes, renewals = dict(relay.sizes), sum(e.renewals for e in renewing)
        begin_s = time.monotonic()
        time.sleep(LEASE_S)
        elapsed_s = time.monotonic() - begin_s
        after = [made.seconds(m) for m in members]
        row = {
            "size": count,
            "leader_core_percent": (after[0] - before[0]) / elapsed_s * 100,
            "follower_core_percent": (after[1] - before[1]) / elapsed_s * 100,
            "in_bytes_per_s": (relay.sizes["in"] - sizes["in"]) / elapsed_s,
            "out_bytes_per_s": (relay.sizes["out"] - sizes["out"]) / elapsed_s,
            "renewals_per_s": (sum(e.renewals for e in renewing) - renewals)
            / elapsed_s,
            "leader_megabytes": made.megabytes(made.leader),
        }
        for each in renewing:
            each.stopping = True
        return row


def log() -> list[dict]:
    """Returns the cost of release notes, then of claims, as one group grows.

    Returns:
      Rows whose size is the number of thousands of log records written so
      far in that phase; figures of the other phase are zero.
    """
    with group() as made:
        rows = [_note_row(made, count) for count in NOTES]
    with group() as made:
        entry = LeaseClient(made.client, made.leader.address, 0)
        entry.start()
        made.fleet.wait_for(lambda: entry.renewals, "a lease", READY_MS)
        claimed = [_claim_row(made, count) for count in CLAIMS]
        entry.stopping = True
    return [
        {"size": i, **note, **claim}
        for i, (note, claim) in enumerate(
            zip(rows, claimed, strict=True), start=1
        )
    ]


def _note_row(made: Group, until: int) -> dict:
    before = [made.seconds(m) for m in (made.leader, made.follower)]
    number = made.status(made.leader).number
    begin_s = time.monotonic()
    for next_number in range(number + 1, until + 1):
        action = "add" if next_number == 1 else "change"
        made.call(
            "Apply",
            pb.NoteRequest(
                text=f'number = {next_number}\nauthor = "a"\nsummary = "s"\n'
                f'[[{action}.caller]]\nname = "desk"\n'
                f"share = {1 + next_number % 7}.0\n",
                author="a",
            ),
        )
    elapsed_ms = (time.monotonic() - begin_s) * 1000.0
    count = until - number
    after = [made.seconds(m) for m in (made.leader, made.follower)]
    return {
        "notes": until,
        "note_ms": elapsed_ms / count,
        "note_leader_ms": (after[0] - before[0]) * 1000 / count,
        "note_follower_ms": (after[1] - before[1]) * 1000 / count,
        "notes_leader_megabytes": made.megabytes(made.leader),
        "notes_restart_ms": made.restart_ms(made.follower),
    }


def _claim_row(made: Group, until: int) -> dict:
    already = made.status(made.leader).claims
    count = until - already
    before = [made.seconds(m) for m in (made.leader, made.follower)]
    begin_s = time.monotonic()
    slots = threading.Semaphore(CLAIMS_IN_FLIGHT)
    failed = []

    def settled(outcome):
        if not pipeline.is_successful(outcome) or outcome.unwrap().error.code:
            failed.append(outcome)
        slots.release()

    def granted(outcome):
        reply = outcome.unwrap() if pipeline.is_successful(outcome) else None
        if reply is None or reply.state != "granted":
            failed.append(outcome)
            slots.release()
            return
        made.client.call_async(
            "Settle",
            pb.SettleRequest(
                claim_id=reply.claim_id,
                attempt=reply.attempt,
                entry_incarnation="1",
                outcome="done",
                result=b"r" * 300,
            ),
            CALL_MS,
            settled,
        )

    stamp = time.time_ns() // 1_000_000
    for i in range(already, until):
        if not slots.acquire(timeout=BATCH_S):
            raise fleet_lib.NotReady("a claim was not answered")
        made.client.call_async(
            "Claim",
            pb.ClaimRequest(
                caller="desk",
                key=f"{stamp}-{i}",
                digest=f"{i:064x}",
                entry_name="client-0",
                entry_incarnation="1",
            ),
            CALL_MS,
            granted,
        )
    for _ in range(CLAIMS_IN_FLIGHT):
        slots.acquire(timeout=BATCH_S)
    elapsed_s = time.monotonic() - begin_s
    after = [made.seconds(m) for m in (made.leader, made.follower)]
    return {
        "claims": until,
        # Without an answer within the 1 s of an attempt.
        "claims_failed": len(failed),
        "claims_per_s": count / elapsed_s,
        "claim_leader_ms": (after[0] - before[0]) * 1000 / count,
        "claim_follower_ms": (after[1] - before[1]) * 1000 / count,
        "claims_leader_megabytes": made.megabytes(made.leader),
        "claims_restart_ms": made.restart_ms(made.follower),
    }
