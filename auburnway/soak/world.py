"""The programs, backend servers and links of a soak run, and their faults."""

import contextlib
import functools
import http.client
import pathlib
import shutil
import signal
import subprocess
import threading
import time

from auburnway.faults import relay as relay_lib
from auburnway.platform import testing
from auburnway.soak import checks
from auburnway.soak import operator as operator_lib
from auburnway.soak import plan

CONTROLS = 3
ENTRIES = 3
# Services of backend servers: one of single requests, two shards.
SERVICES = ("solo", "sa", "sb")
SERVERS_EACH = 2
FIRST_VERSION = 3
TOP_RECORDS = 3
BEAT_S = 0.4
DELAY_S = 0.2
TORN_BYTES = b"\x01torn"
# Between the drain's acknowledgement and the end of a server.
DRAIN_END_S = checks.DRAIN_S + 0.5
STOP_LIMIT_S = 8.0


class Server:
    """A backend server behind a relay; it announces the relay's address."""

    def __init__(self, world: "World", service: str, life: int):
        name = f"{service}-{life}"
        offset = life % 20
        records = testing.RECORDS[offset : offset + 4]
        held = records if service != "solo" else ()
        self.backend = testing.Backend(
            name, service, records=held, started_ms=life
        )
        self.records = tuple(held)
        self.relay = world.stack.enter_context(
            relay_lib.Relay(self.backend.address)
        )
        world.stack.callback(self.backend.close)
        self.is_beating = True

    def beat(self, controls) -> bool:
        """Sends one heartbeat to the first control instance that takes it."""
        for machine in controls:
            address = f"{machine.ip}:{testing.Platform.CONTROL_PORT}"
            try:
                status = self.backend.send_heartbeat(
                    address, Address=self.relay.address
                )
            except (OSError, http.client.HTTPException):
                continue
            if status == 200:
                return True
        return False


class World:
    """Everything that a run starts; `close` ends exactly that.

    Args:
      folder: Folder for settings, data and logs.
      net: Third number of the loopback addresses.
      seed: Seed of the run.

    Attributes:
      deaths: Processes that ended without a fault of the run, and faults
        that could not be carried out.
    """

    def __init__(self, folder: pathlib.Path, net: int, seed: int):
        self.stack = contextlib.ExitStack()
        self.platform = testing.Platform(folder, net, CONTROLS, ENTRIES)
        self.stack.callback(self.platform.close)
        self.operator = operator_lib.Operator(
            self.platform, FIRST_VERSION, seed
        )
        self.deaths: list[str] = []
        self.drains: dict[str, float] = {}
        self.disturbed: list[tuple[int, float, float]] = []
        self._folder = folder
        self._life = 0
        self._locks = {
            (role, index): threading.Lock()
            for role, count in (("control", CONTROLS), ("entry", ENTRIES))
            for index in range(count)
        }
        self._lives: list[Server] = []
        self.servers = [
            self._new_server(service)
            for _ in range(SERVERS_EACH)
            for service in SERVICES
        ]

    def start(self) -> None:
        """Puts the first configuration in force and announces the servers."""
        first = testing.configuration(FIRST_VERSION)
        assert self.platform.put_configuration(first) == 200
        self.beat_all()
        for entry in range(ENTRIES):
            for path in ("/one/x", "/all/x"):
                self.platform.request_until_success(path, entry=entry)

    def close(self) -> None:
        """Ends everything, frozen processes included."""
        for machine in (*self.platform.controls, *self.platform.entries):
            machine.send_signal(signal.SIGCONT)
        self.stack.close()

    def beat(self, stopped: threading.Event) -> None:
        """Lets all backend servers announce themselves until the event."""
        while not stopped.is_set():
            self.beat_all()
            stopped.wait(BEAT_S)

    def beat_all(self) -> None:
        """Sends one heartbeat of each backend server."""
        for server in tuple(self._lives):
            if server.is_beating:
                server.beat(self.platform.controls)

    def _new_server(self, service: str) -> Server:
        self._life += 1
        server = Server(self, service, self._life)
        self._lives.append(server)
        return server

    def apply(self, fault: plan.Fault) -> None:
        """Carries a fault out, and undoes it; blocks meanwhile."""
        try:
            _apply(fault, self)
        except Exception as error:
            # It runs on a thread of its own, where it would be lost.
            self.deaths.append(f"{fault} was not carried out: {error!r}")

    def check_alive(self) -> None:
        """Notes processes that ended by themselves."""
        for (role, index), lock in self._locks.items():
            if lock.acquire(blocking=False):
                machine = self.machine(role, index)
                code = machine.process.poll()
                if code is not None:
                    self.deaths.append(f"{role} {index} ended with {code}")
                    machine.start()
                lock.release()

    def machine(self, role: str, index: int) -> testing.Machine:
        """Returns a program."""
        if role == "entry":
            return self.platform.entries[index]
        return self.platform.controls[index]

    @contextlib.contextmanager
    def held(self, role: str, index: int):
        """Keeps other faults from one process, and notes the span."""
        with self._locks[(role, index)]:
            start_s = time.monotonic()
            yield self.machine(role, index)
            if role == "entry":
                self.disturbed.append((index, start_s, time.monotonic()))

    @contextlib.contextmanager
    def held_for_stop(self, role: str, index: int):
        """As `held`, but a planned stop excuses no request that is cut."""
        with self._locks[(role, index)]:
            yield self.machine(role, index)

    def restart_control(self, index: int, with_disk: bool) -> None:
        """Starts a control instance after its end, perhaps without a disk."""
        machine = self.platform.controls[index]
        if not with_disk:
            data = self._folder / f"data-{machine.ip}"
            shutil.rmtree(data)
            self.platform.controls[index] = self.platform.add_control(
                machine.ip, False
            )
        else:
            machine.start()

    def tear_log(self, index: int) -> None:
        """Leaves a torn write at the end of a control instance's log."""
        ip = self.platform.controls[index].ip
        for path in (self._folder / f"data-{ip}").glob("*log*"):
            with path.open("ab") as file:
                file.write(TORN_BYTES)

    def replace(self, index: int) -> None:
        """Drains a server that a new one of the same service follows."""
        old = self.servers[index]
        self.servers[index] = self._new_server(old.backend.service)
        self.servers[index].beat(self.platform.controls)
        old.backend.state = "draining"
        if not old.beat(self.platform.controls):
            return
        self.drains[old.backend.server_id] = time.monotonic()
        time.sleep(DRAIN_END_S)
        old.is_beating = False

    def seen(self, calls) -> checks.Seen:
        """Returns all that was seen."""
        lives = [server.backend for server in self._lives]
        return checks.Seen(
            tuple(calls),
            tuple(
                checks.Run(request_id, backend.server_id, at_s)
                for backend in lives
                for request_id, at_s in backend.runs
            ),
            tuple(self.operator.acks),
            tuple(self.operator.reads),
            dict(self.drains),
            {s.backend.server_id: s.records for s in self._lives},
            {s.backend.server_id: s.backend.service for s in self._lives},
            SERVICES[1:],
            TOP_RECORDS,
            tuple(self.disturbed),
        )


@functools.singledispatch
def _apply(fault, world: World) -> None:
    raise TypeError(f"no such fault: {fault!r}")


@_apply.register
def _(fault: plan.Kill, world: World) -> None:
    with world.held(fault.role, fault.index) as machine:
        machine.kill()
        time.sleep(fault.down_s)
        machine.start()


@_apply.register
def _(fault: plan.Freeze, world: World) -> None:
    with world.held(fault.role, fault.index) as machine:
        machine.send_signal(signal.SIGSTOP)
        time.sleep(fault.for_s)
        machine.send_signal(signal.SIGCONT)


@_apply.register
def _(fault: plan.Stop, world: World) -> None:
    with world.held_for_stop(fault.role, fault.index) as machine:
        has_started = machine.has_started()
        machine.send_signal()
        try:
            code = machine.process.wait(STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            code = "no end in time"
            machine.kill()
        # Before its first line a process has no handler for the signal yet.
        if code != 0 and has_started:
            world.deaths.append(f"stop of {fault}: {code}")
        machine.start()


@_apply.register
def _(fault: plan.Reload, world: World) -> None:
    with world.held_for_stop(fault.role, fault.index) as machine:
        # Before its first line a process has no handler for the signal yet.
        if machine.process.poll() is None and machine.has_started():
            machine.send_signal(signal.SIGHUP)


@_apply.register
def _(fault: plan.LoseDisk, world: World) -> None:
    with world.held("control", fault.index) as machine:
        machine.kill()
        world.restart_control(fault.index, with_disk=False)


@_apply.register
def _(fault: plan.TearLog, world: World) -> None:
    with world.held("control", fault.index) as machine:
        machine.kill()
        world.tear_log(fault.index)
        world.restart_control(fault.index, with_disk=True)


@_apply.register
def _(fault: plan.Link, world: World) -> None:
    relay = world.servers[fault.index].relay
    if fault.how == "reset":
        relay.reset()
        return
    if fault.how == "delay":
        relay.delay_s = DELAY_S
    else:
        setattr(relay, f"drops_{fault.how}", True)
    time.sleep(fault.for_s)
    relay.delay_s = 0.0
    relay.drops_requests = relay.drops_replies = False


@_apply.register
def _(fault: plan.Reject, world: World) -> None:
    backend = world.servers[fault.index].backend
    backend.rejects = True
    time.sleep(fault.for_s)
    backend.rejects = False


@_apply.register
def _(fault: plan.Drain, world: World) -> None:
    world.replace(fault.index)


@_apply.register
def _(fault: plan.Change, world: World) -> None:
    world.operator.change()
