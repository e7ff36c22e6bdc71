"""Processes, backend servers and relays of a soak run, and their faults."""

import contextlib
import http.client
import pathlib
import random
import shutil
import signal
import threading
import time

from auburnway.faults import relay as relay_lib
from auburnway.platform import testing
from auburnway.soak import checks
from auburnway.soak import fault_runner
from auburnway.soak import operator as operator_lib
from auburnway.soak import plan

CONTROL_COUNT = 3
ENTRY_COUNT = 3
# Services of the backend servers: one for single requests and two shards for
# gathered requests.
SERVICES = ("solo", "sa", "sb")
SERVERS_PER_SERVICE = 2
FIRST_VERSION = 3
MAX_GATHERED_RECORDS = 3
HEARTBEAT_INTERVAL_S = 0.4
TORN_BYTES = b"\x01torn"
CRASHING_BODY = b"crash"
# Time after which a crashed server is replaced.
CRASHED_DOWN_S = 2.0
# Time in which the last heartbeat of a server arrives everywhere.
LAST_HEARTBEAT_S = 1.2
# Time between the acknowledgement of a drain and the last heartbeat of the
# server.
DRAIN_STOP_DELAY_S = checks.DRAIN_GRACE_S + 0.5


class Server:
    """A backend server behind a relay, whose address the server announces."""

    def __init__(
        self, environment: "Environment", service: str, incarnation: int
    ):
        name = f"{service}-{incarnation}"
        offset = incarnation % 20
        records = testing.RECORDS[offset : offset + 4]
        server_records = records if service != "solo" else ()
        self.backend = testing.Backend(
            name, service, records=server_records, started_ms=incarnation
        )
        self.backend.crashes_on = CRASHING_BODY
        self.records = tuple(server_records)
        self.relay = environment.stack.enter_context(
            relay_lib.Relay(self.backend.address)
        )
        self.backend.on_crash = self._on_crash
        environment.stack.callback(self.backend.close)
        self.sends_heartbeats = True

    def _on_crash(self) -> None:
        # A proper end would complete a reply without a length.
        self.relay.refuse()
        self.relay.reset()

    def send_heartbeat(self, controls) -> bool:
        """Sends one heartbeat, to the first control instance that accepts it.

        Returns:
          Whether a control instance accepted the heartbeat.
        """
        return _call_any(
            controls,
            lambda address: self.backend.send_heartbeat(
                address, Address=self.relay.address
            ),
        )

    def send_stop(self, controls) -> bool:
        """Deregisters the server; returns whether that was acknowledged."""
        return _call_any(controls, self.backend.send_stop)


def _call_any(controls, call) -> bool:
    """Makes a call to one control instance after another until it succeeds."""
    for machine in controls:
        try:
            status = call(f"{machine.ip}:{testing.Platform.CONTROL_PORT}")
        except (OSError, http.client.HTTPException):
            continue
        if status == 200:
            return True
    return False


class Environment:
    """All processes and servers of a soak run; `close` stops them.

    Args:
      folder: Folder for settings, data and logs.
      net: Third octet of the loopback addresses.
      seed: Seed of the run.

    Attributes:
      stack: Clean-up of the platform, the servers and the relays.
      platform: Control instances and entries.
      operator: Operator that writes and reads configuration versions.
      failures: A line for each process that exited without a fault, for each
        failed planned stop and for each fault or loop that raised an
        exception.
      drains: Time at which the drain of a server was acknowledged, by server
        id.
      fault_spans: Periods in which an entry was killed or frozen, each as
        entry index, start and end.
      restart_spans: Periods of planned restarts of entries, in the same form.
      limits: Rate limits that backend servers stated.
      crashing_calls: Requests that end each server that runs them.
      servers: Current backend servers; a fault addresses them by index.
    """

    def __init__(self, folder: pathlib.Path, net: int, seed: int):
        self.stack = contextlib.ExitStack()
        self.platform = testing.Platform(
            folder, net, CONTROL_COUNT, ENTRY_COUNT
        )
        self.stack.callback(self.platform.close)
        self.operator = operator_lib.Operator(
            self.platform, FIRST_VERSION, seed
        )
        self.failures: list[str] = []
        self.drains: dict[str, float] = {}
        self.fault_spans: list[tuple[int, float, float]] = []
        self.restart_spans: list[tuple[int, float, float]] = []
        self.limits: list[checks.Limit] = []
        self.crashing_calls: list[checks.Call] = []
        self._folder = folder
        self._server_count = 0
        self._locks = {
            (role, index): threading.Lock()
            for role, count in (
                ("control", CONTROL_COUNT),
                ("entry", ENTRY_COUNT),
            )
            for index in range(count)
        }
        self._all_servers: list[Server] = []
        self.servers = [
            self._new_server(service)
            for _ in range(SERVERS_PER_SERVICE)
            for service in SERVICES
        ]

    def start(self) -> None:
        """Applies the first configuration and announces the servers.

        Returns when each entry has served a single and a gathered request.
        """
        first_configuration = testing.configuration(FIRST_VERSION)
        assert self.platform.put_configuration(first_configuration) == 200
        self.send_heartbeats()
        for entry in range(ENTRY_COUNT):
            for path in ("/one/x", "/all/x"):
                self.platform.request_until_success(path, entry=entry)

    def close(self) -> None:
        """Stops all processes, including frozen processes."""
        for machine in (*self.platform.controls, *self.platform.entries):
            machine.send_signal(signal.SIGCONT)
        self.stack.close()

    def send_heartbeats_until(self, stop_event: threading.Event) -> None:
        """Sends heartbeats of all backend servers until the event is set."""
        while not stop_event.is_set():
            self.send_heartbeats()
            stop_event.wait(HEARTBEAT_INTERVAL_S)

    def send_heartbeats(self) -> None:
        """Sends one heartbeat of each backend server that is not stopped."""
        for server in tuple(self._all_servers):
            if server.sends_heartbeats:
                server.send_heartbeat(self.platform.controls)

    def _new_server(self, service: str) -> Server:
        self._server_count += 1
        server = Server(self, service, self._server_count)
        self._all_servers.append(server)
        return server

    def apply_fault(self, fault: plan.Fault) -> None:
        """Injects a fault and reverts it; blocks until the fault is over."""
        try:
            fault_runner.run(fault, self)
        except Exception as error:
            # Each fault runs on its own thread, where an exception would not
            # be noticed.
            self.failures.append(f"{fault} raised {error!r}")

    def check_alive(self) -> None:
        """Records and restarts processes that exited without a fault."""
        for (role, index), lock in self._locks.items():
            if lock.acquire(blocking=False):
                machine = self.machine(role, index)
                exit_code = machine.process.poll()
                if exit_code is not None:
                    self.failures.append(
                        f"{role} {index} exited with {exit_code}"
                    )
                    machine.start()
                lock.release()

    def machine(self, role: str, index: int) -> testing.Machine:
        """Returns the process of a role (`entry` or `control`) by index."""
        if role == "entry":
            return self.platform.entries[index]
        return self.platform.controls[index]

    @contextlib.contextmanager
    def lock_for_fault(self, role: str, index: int):
        """Prevents other faults of one process; yields the process.

        For an entry, the period is recorded in `fault_spans`.
        """
        with self._locks[(role, index)]:
            start_s = time.monotonic()
            yield self.machine(role, index)
            if role == "entry":
                self.fault_spans.append((index, start_s, time.monotonic()))

    @contextlib.contextmanager
    def lock_for_stop(self, role: str, index: int):
        """Like `lock_for_fault`, but without a record in `fault_spans`.

        A planned stop must not cut off requests.
        """
        with self._locks[(role, index)]:
            start_s = time.monotonic()
            yield self.machine(role, index)
            if role == "entry":
                self.restart_spans.append((index, start_s, time.monotonic()))

    def restart_control(self, index: int, with_disk: bool) -> None:
        """Restarts a control instance that was killed.

        Args:
          index: Index of the control instance.
          with_disk: Whether the data folder is kept; otherwise the folder is
            removed.
        """
        machine = self.platform.controls[index]
        if not with_disk:
            data_folder = self._folder / f"data-{machine.ip}"
            shutil.rmtree(data_folder)
            self.platform.controls[index] = self.platform.add_control(
                machine.ip, False
            )
        else:
            machine.start()

    def append_torn_write(self, index: int) -> None:
        """Appends a torn write to the log of a control instance."""
        ip = self.platform.controls[index].ip
        for path in (self._folder / f"data-{ip}").glob("*log*"):
            with path.open("ab") as file:
                file.write(TORN_BYTES)

    def replace_server(self, index: int) -> None:
        """Replaces a server by a new one of its service, and drains it."""
        old_server = self.servers[index]
        self.servers[index] = self._new_server(old_server.backend.service)
        self.servers[index].send_heartbeat(self.platform.controls)
        old_server.backend.state = "draining"
        if not old_server.send_heartbeat(self.platform.controls):
            return
        self.drains[old_server.backend.server_id] = time.monotonic()
        time.sleep(DRAIN_STOP_DELAY_S)
        old_server.sends_heartbeats = False

    def leave_and_lose_all(self, fault: plan.DepartAndLoseAll) -> None:
        """Lets a server leave, and kills all processes right after it."""
        with contextlib.ExitStack() as stack:
            machines = [
                stack.enter_context(self.lock_for_fault(role, index))
                for role, index in self._locks
            ]
            old_server = self.servers[fault.index]
            self.servers[fault.index] = self._new_server(
                old_server.backend.service
            )
            self.servers[fault.index].send_heartbeat(self.platform.controls)
            if fault.way == "draining":
                old_server.backend.state = "draining"
                is_known = old_server.send_heartbeat(self.platform.controls)
            else:
                old_server.sends_heartbeats = False
                time.sleep(LAST_HEARTBEAT_S)
                is_known = old_server.send_stop(self.platform.controls)
            if is_known:
                self.drains[old_server.backend.server_id] = time.monotonic()
            time.sleep(fault.kill_after_s)
            for machine in machines:
                machine.send_signal(signal.SIGKILL)
            for machine in machines:
                machine.kill()
            time.sleep(fault.down_s)
            for machine in machines:
                machine.start()
        if fault.way == "draining":
            time.sleep(DRAIN_STOP_DELAY_S)
            old_server.sends_heartbeats = False

    def send_crashing(self, fault: plan.SendCrashing) -> None:
        """Sends a request that crashes its servers; replaces these."""
        rng = random.Random(fault.seed)
        end_s = time.monotonic() + fault.for_s
        while time.monotonic() < end_s:
            entry = rng.randrange(ENTRY_COUNT)
            request_id = f"crash-{len(self.crashing_calls)}"
            sent_s = time.monotonic()
            try:
                status = self.platform.request(
                    fault.path, entry, "POST", CRASHING_BODY,
                    Request_Id=request_id,
                )[0]  # fmt: skip
            except (OSError, http.client.HTTPException):
                status = 0
            kind = "unsafe" if fault.path.startswith("/unsafe") else "safe"
            self.crashing_calls.append(
                checks.Call(
                    request_id, kind, entry, sent_s, time.monotonic(), status
                )
            )
            self._replace_crashed()
            time.sleep(fault.gap_s)
        time.sleep(CRASHED_DOWN_S)
        self._replace_crashed()

    def _replace_crashed(self) -> None:
        for index, server in enumerate(self.servers):
            if not server.backend.has_crashed:
                continue
            server.sends_heartbeats = False
            crashed_s = server.backend.runs[-1][1]
            if time.monotonic() > crashed_s + CRASHED_DOWN_S:
                self.servers[index] = self._new_server(server.backend.service)

    def observations(self, calls) -> checks.Observations:
        """Returns the observations of the run.

        Args:
          calls: Requests of all callers.
        """
        backends = [server.backend for server in self._all_servers]
        return checks.Observations(
            (*calls, *self.crashing_calls),
            tuple(
                checks.Run(request_id, backend.server_id, at_s)
                for backend in backends
                for request_id, at_s in backend.runs
            ),
            tuple(self.operator.acks),
            tuple(self.operator.reads),
            dict(self.drains),
            {s.backend.server_id: s.records for s in self._all_servers},
            {s.backend.server_id: s.backend.service for s in self._all_servers},
            SERVICES[1:],
            MAX_GATHERED_RECORDS,
            tuple(self.fault_spans),
            tuple(self.restart_spans),
            tuple(self.limits),
            frozenset(call.request_id for call in self.crashing_calls),
        )
