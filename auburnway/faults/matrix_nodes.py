"""Processes of the fault matrix: production classes with fake sockets."""

import json
import types
from unittest import mock

from auburnway.control import entries as entries_lib
from auburnway.control import node as control_node
from auburnway.control import operations as operations_lib
from auburnway.control import state_machine
from auburnway.control import store as store_lib
from auburnway.core import membership
from auburnway.core import raft_records as records
from auburnway.core import snapshot as snapshot_lib
from auburnway.entry import node as entry_node
from auburnway.entry import peers as peers_lib
from auburnway.entry import settings as settings_lib
from auburnway.faults import matrix_fleet as fleet
from auburnway.net import exchange as exchange_lib
from auburnway.rpc import control_client
from auburnway.rpc import control_pb2 as pb
from auburnway.storage import disk as disk_lib

SERVICE_MS = 5.0


class InstrumentedDisk(disk_lib.FakeDisk):
    """Disk that reports each operation as an event, where a fault may occur."""

    def __init__(self, process: "Control"):
        super().__init__()
        self._process = process

    def append(self, name: str, data: bytes) -> None:
        """Appends bytes to a file without a sync."""
        self._report_operation("append")
        super().append(name, data)

    def sync(self, name: str) -> None:
        """Makes the appended bytes of a file durable."""
        self._report_operation("sync")
        super().sync(name)

    def replace(self, name: str, data: bytes) -> None:
        """Replaces the contents of a file atomically."""
        self._report_operation("replace")
        super().replace(name, data)

    def _report_operation(self, kind):
        process = self._process
        process.simulation.on_event(kind, process.name, process.name)
        if not process.is_alive:
            raise disk_lib.DiskFault(disk_lib.DiskError("process was killed"))


class Control(fleet.Process):
    """Control instance with a fake disk."""

    def __init__(self, simulation: fleet.Simulation, name: str):
        super().__init__(simulation, name)
        self.address = fleet.control_address(name)
        self.disk = InstrumentedDisk(self)
        # Writes the initial members as `auburnway-control init` does. The
        # disk accepts operations only while the process is alive.
        self.is_alive = True
        members = tuple(
            records.Member(
                n, store_lib.first_incarnation(n), fleet.control_address(n)
            )
            for n in fleet.CONTROLS
        )
        store_lib.create(
            self.disk,
            store_lib.Identity(name, store_lib.first_incarnation(name)),
            members,
        )

    def build(self) -> None:
        """Opens the store and creates the node and its operations."""
        identity = store_lib.read_identity(self.disk)
        if identity is None:
            identity = store_lib.Identity(
                self.name, f"{self.name}.life{self.start_count}"
            )
            store_lib.create(self.disk, identity, ())
        self.node = control_node.Node(
            identity,
            self.address,
            store_lib.Store(self.disk),
            self,
            lambda address, post: None,
            state_machine.ControlStateMachine(),
            self._join,
        )
        self.node._links = {
            fleet.control_address(n): types.SimpleNamespace(
                send=self._message_sender(n), close=lambda: None
            )
            for n in fleet.CONTROLS
        }
        self.node.register(self.root)
        self.entries = entries_lib.EntryRegistry(
            self.node, self.clock, self.timers, 600_000.0
        )
        self.operations = operations_lib.Operations(
            self.node, self.entries, self.clock, self.timers, 10**9, None
        )

    def kill(self, closes_connections: bool = True) -> None:
        """Ends the process; unsynced bytes are lost."""
        super().kill(closes_connections)
        self.disk.crash()

    def lose_disk(self) -> None:
        """Kills the process and erases its disk."""
        self.kill(closes_connections=False)
        self.disk.erase()

    def serve(self, method, request, respond) -> None:
        """Runs one gRPC call on the node."""
        operation = getattr(
            self.operations,
            "in_force" if method == "InForce" else method.lower(),
        )
        self.node.post(lambda: operation(request, respond))

    def _join(self):
        identity = self.node.identity
        request = pb.JoinRequest(
            name=identity.name,
            incarnation=identity.incarnation,
            address=self.address,
        )
        for name in fleet.CONTROLS:
            if name != self.name:
                fleet.FakeCall(
                    fleet.FakeLink(self, fleet.control_address(name)),
                    "Join",
                    request,
                    1.0,
                )

    def _message_sender(self, target):
        def send(message):
            kind = type(message).__name__
            if getattr(message, "entries", True) == ():
                kind = "heartbeat"

            def receive():
                node = self.simulation.processes[target].node
                node.post(lambda: node.receive(self.address, [message]))

            self.simulation.send(kind, self.name, target, receive)

        return send


class _FakeFront:
    """HTTP front of an entry, whose routes are called directly."""

    def __init__(self, settings, clock, timers, routes):
        self.routes, self.pending, self.is_accepting = routes, 0, True

    def register(self, root):
        return self

    def pending_count(self):
        return self.pending

    def close_after_response(self):
        """Does nothing, because there are no connections."""

    def stop_accepting(self):
        self.is_accepting = False


class _FakePool:
    """Pool of connections from one entry to backend servers."""

    def __init__(self, process):
        self._process = process

    def register(self, root):
        return self

    def set_server(self, address, limit, warm):
        pass

    def remove_server(self, address):
        pass

    def close_all(self):
        pass

    def has_capacity(self, address):
        return True

    def send(self, address, payload, on_reply, max_silence_ms=None):
        process, simulation = self._process, self._process.simulation
        exchange = exchange_lib.Exchange(payload, on_reply, 0.0)
        exchange.sent = True
        head, _, body = payload.partition(b"\r\n\r\n")
        if b"/v1/cancel" in head:
            return exchange
        lines = head.decode().split("\r\n")[1:]
        headers = dict(line.split(": ", 1) for line in lines)
        start_count = process.start_count

        def finish(status, reply_headers, data, failure=None, reached=True):
            reply = exchange_lib.Reply(
                status,
                reply_headers,
                json.dumps(data).encode(),
                failure,
                reached,
            )

            def end():
                if process.start_count == start_count:
                    exchange.finish(reply)

            return end

        def serve():
            server = simulation.processes[address]

            def respond(*reply):
                simulation.send("reply", address, process.name, finish(*reply))

            lost = exchange_lib.Failure.CONNECTION_LOST
            server.reset_callbacks.append(lambda: respond(0, {}, {}, lost))
            server.serve(headers, json.loads(body), respond)

        refused = exchange_lib.Failure.CONNECT_FAILED
        simulation.processes[address].record_send(
            simulation.clock.now_ms(), float(headers["x-time-left-ms"])
        )
        simulation.send(
            "run",
            process.name,
            address,
            serve,
            finish(0, {}, {}, refused, False),
        )
        return exchange


class Entry(fleet.Process):
    """Entry, with fakes of its sockets, HTTP pool and HTTP front."""

    def build(self) -> None:
        """Creates the production entry with fake interfaces."""
        process, simulation = self, self.simulation

        class FakeLinkClient(control_client.ControlClient):
            def acquire_link(self, address):
                return fleet.FakeLink(process, address)

            def release_link(self, link, started_ms, is_silent):
                pass

        class FakeSocket:
            def __init__(self, poller, address, on_datagram):
                self.address = address
                process.on_datagram = on_datagram
                self.sent = self.sent_bytes = self.unsent = 0
                self.received = self.received_bytes = 0

            def register(self, parent):
                return self

            def send(self, address, data):
                target = fleet.name_of_address(address)
                source = fleet.peer_address(process.name)
                simulation.send(
                    "datagram",
                    process.name,
                    target,
                    lambda: simulation.processes[target].on_datagram(
                        source, data
                    ),
                )

            def close(self):
                pass

        settings = settings_lib.EntrySettings(
            name=self.name,
            data_center="dc1",
            address=f"10.0.2.{self.name[1:]}:3",
            peer_address=fleet.peer_address(self.name),
            control_addresses=tuple(
                fleet.control_address(n) for n in fleet.CONTROLS
            ),
            token=fleet.TOKEN,
            seed_peers=tuple(
                fleet.peer_address(n) for n in fleet.ENTRIES if n != self.name
            ),
            address_ttl_ms=300.0,
            seed=int(self.name[1:]),
        )
        with (
            mock.patch.object(control_client, "ControlClient", FakeLinkClient),
            mock.patch.object(peers_lib.peer_socket, "PeerSocket", FakeSocket),
            mock.patch.object(
                entry_node.http_client,
                "HttpPool",
                lambda *arguments: _FakePool(process),
            ),
            mock.patch.object(entry_node.front_lib, "Front", _FakeFront),
            mock.patch.object(entry_node.metrics_lib, "Metrics"),
        ):
            self.entry = entry_node.Entry(settings, self)
        self.front = self.entry._front

    def request(self, route, body, on_reply) -> None:
        """Passes one HTTP request to its route."""
        front, has_responded = self.front, []
        front.pending += 1

        def respond(rendered):
            front.pending -= 1
            has_responded.append(True)
            on_reply(rendered)

        front.routes[route](
            json.dumps(body).encode(), {"x-fleet-token": fleet.TOKEN}, respond
        )


class Server(fleet.Process):
    """Backend server that announces itself to two entries."""

    def __init__(
        self,
        simulation: fleet.Simulation,
        name: str,
        shard: int,
        shard_count: int,
    ):
        super().__init__(simulation, name)
        self.shard, self.shard_count, self.snapshots = shard, shard_count, (1,)
        self.state, self.sequence = membership.State.SERVING, 1
        self.executed_requests: list[tuple[dict, dict]] = []
        self.sent_times_ms: list[float] = []
        self.late_send_count = 0

    def build(self) -> None:
        """Announces the server now and every second."""
        self.started_ms = int(self.clock.now_ms())
        self.announce()
        self.timers.every(1000.0, self.announce)

    def row(self) -> membership.Row:
        """Returns the membership row that the server announces."""
        weights = tuple((s, 10 + s) for s in range(self.shard_count))
        return membership.Row(
            name=self.name,
            started_ms=self.started_ms,
            sequence=self.sequence,
            application="app" if self.shard_count > 1 else "desk",
            address=self.name,
            data_center="dc1",
            state=self.state,
            slots=8,
            connection_limit=40,
            holdings=tuple(
                snapshot_lib.Holding(s, self.shard) for s in self.snapshots
            ),
            manifests=tuple(
                snapshot_lib.Manifest(s, weights) for s in self.snapshots
            ),
        )

    def announce(self) -> None:
        """Sends the current row to two entries."""
        data = membership.encode_row(self.row())
        for name in ("e1", "e2"):

            def call(name=name):
                entry = self.simulation.processes[name]
                route = ("POST", "/v1/announce")
                entry.request(route, data, lambda rendered: None)

            self.simulation.send("announce", self.name, name, call)

    def update_row(self, **changes) -> None:
        """Changes attributes of the server and announces the new row."""
        vars(self).update(changes)
        self.sequence += 1
        self.announce()

    def record_send(self, now_ms: float, time_left_ms: float) -> None:
        """Records that an entry sent a request to this server."""
        self.sent_times_ms.append(now_ms)
        self.late_send_count += time_left_ms <= 0

    def serve(self, headers, body, respond) -> None:
        """Runs one request.

        The request is refused if the server is draining or does not hold the
        snapshot.
        """
        state = {"x-state": self.state.value}
        if self.state is not membership.State.SERVING:
            respond(503, {**state, "x-not-started": "1"}, {})
            return
        if body["snapshot"] not in self.snapshots:
            respond(410, {**state, "x-not-started": "1"}, {})
            return
        self.executed_requests.append((headers, body))
        reply = {
            "request_id": headers["x-request-id"],
            "snapshot": body["snapshot"],
            "shard": body["shard"],
            "records": [[body["snapshot"], body["shard"]]],
        }
        self.timers.after(SERVICE_MS, lambda: respond(200, state, reply))


class Clients(fleet.Process):
    """Callers and operators; no fault affects this process."""

    def build(self) -> None:
        """Creates the control client of the operators."""
        process = self

        class FakeLinkClient(control_client.ControlClient):
            def acquire_link(self, address):
                return fleet.FakeLink(process, address)

            def release_link(self, link, started_ms, is_silent):
                pass

        addresses = [fleet.control_address(n) for n in fleet.CONTROLS]
        self.client = FakeLinkClient(addresses, fleet.TOKEN, self.clock)

    def send_request(self, entry, body, on_reply) -> None:
        """Sends a caller's request.

        `on_reply` gets the rendered answer, or None if the connection was reset
        or refused.
        """
        simulation = self.simulation

        def call():
            process = simulation.processes[entry]
            answered = []

            def reply(rendered):
                if not answered:
                    answered.append(True)
                    simulation.send(
                        "reply", entry, self.name, lambda: on_reply(rendered)
                    )

            process.reset_callbacks.append(lambda: reply(None))
            if process.front.is_accepting:
                process.request(("POST", "/v1/requests"), body, reply)
            else:
                reply(None)

        simulation.send(
            "request", self.name, entry, call, lambda: on_reply(None)
        )
