"""Simulation of control instances and entries with a manual clock.

The fleet runs the production classes. Only their interfaces to the outside are
replaced: the clock, the disk, gRPC links, peer sockets, the HTTP pool and the
HTTP front. Faults are injected only there.
"""

from collections import abc
import contextlib
import heapq
import itertools
import threading
import types
from unittest import mock

import circuits
import grpc

from auburnway.core import clock as clock_lib
from auburnway.kernel import timers as timers_lib
from auburnway.rpc import control_client
from auburnway.storage import disk as disk_lib

CONTROLS = ("c1", "c2", "c3")
ENTRIES = ("e1", "e2", "e3")
LATENCY_MS = 1.0
START_WALL_MS = 1_800_000_000_000
TOKEN = "fleet"


def control_address(name: str) -> str:
    """Returns the gRPC address of a control instance."""
    return f"10.0.0.{name[1:]}:1"


def peer_address(name: str) -> str:
    """Returns the UDP address of an entry."""
    return f"10.0.1.{name[1:]}:2"


def name_of_address(address: str) -> str:
    """Returns the process name at an address."""
    number = address.split(":")[0].split(".")[-1]
    return ("c" if address.endswith(":1") else "e") + number


class Simulation:
    """Discrete-event simulation of processes and their messages.

    Attributes:
      clock: Manual clock of all processes.
      processes: Processes by name.
      cut_links: Pairs (from, to) of names whose messages are dropped.
      added_delay_ms: Added delay of messages from and to a process, by name.
      on_event: Called before each delivery and disk operation with its kind,
        source and target.
      on_executed: Called after a function ran in a process.
      current_process: Process that currently runs a function.
    """

    def __init__(self):
        self.clock = clock_lib.ManualClock(1000.0, START_WALL_MS)
        self.processes: dict[str, Process] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.added_delay_ms: dict[str, float] = {}
        self.on_event: abc.Callable[[str, str, str], None] = (
            lambda kind, source, target: None
        )
        self.on_executed: abc.Callable[[Process], None] = lambda process: None
        self.current_process: Process | None = None
        self._queue: list = []
        self._sequence = itertools.count()

    def schedule(self, delay_ms: float, call: abc.Callable[[], None]) -> None:
        """Schedules a function that runs outside all processes."""
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._queue, (due_ms, next(self._sequence), call))

    def send(self, kind, source, target, call, on_refused=None) -> None:
        """Sends a message, which runs `call` in the target process.

        If the target is not running, `on_refused` runs in the source process.
        """
        delay_ms = LATENCY_MS + self.added_delay_ms.get(source, 0.0)
        delay_ms += self.added_delay_ms.get(target, 0.0)

        def deliver():
            self.on_event(kind, source, target)
            process = self.processes.get(target)
            if (source, target) in self.cut_links or process is None:
                return
            if process.is_alive:
                process.execute(call, source)
            elif (
                on_refused is not None
                and (target, source) not in self.cut_links
            ):
                self.schedule(
                    LATENCY_MS,
                    lambda: self.processes[source].execute(on_refused),
                )

        self.schedule(delay_ms, deliver)

    def run(self, duration_ms, until=lambda: False) -> bool:
        """Advances time until a condition holds; returns whether it does."""
        end_ms = self.clock.now_ms() + duration_ms
        while not until():
            due_ms, process = end_ms, None
            for candidate in self.processes.values():
                if candidate.is_alive and candidate.queued_calls is None:
                    timer_ms = candidate.timers.next_due_ms()
                    if timer_ms < due_ms:
                        due_ms, process = timer_ms, candidate
            is_message = self._queue and self._queue[0][0] <= due_ms
            if is_message:
                due_ms = self._queue[0][0]
            if due_ms >= end_ms:
                self._advance_to(end_ms)
                return until()
            self._advance_to(due_ms)
            if is_message:
                heapq.heappop(self._queue)[2]()
            else:
                process.execute(process.timers.run_due)
        return True

    def _advance_to(self, instant_ms):
        self.clock.advance(max(instant_ms - self.clock.now_ms(), 0.0))


class _Timers(timers_lib.TimerQueue):
    def next_due_ms(self) -> float:
        """Returns the time of the next timer, or inf if there is none."""
        while self._heap and self._heap[0][2].call is None:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else float("inf")


class Process:
    """Process that can be killed and frozen.

    The process also replaces the event loop of the production classes.
    """

    def __init__(self, simulation: Simulation, name: str):
        self.simulation, self.name, self.clock = (
            simulation,
            name,
            simulation.clock,
        )
        self.poller = None
        self.is_alive, self.queued_calls = False, None
        self.start_count = 0
        simulation.processes[name] = self

    def start(self) -> None:
        """Starts or restarts the process."""
        self.start_count += 1
        self.is_alive, self.queued_calls = True, None
        self.stack = contextlib.ExitStack()
        self.root = circuits.BaseComponent()
        self.timers = _Timers(self.clock).register(self.root)
        # Callbacks that report a connection reset to peers of the process.
        self.reset_callbacks: list[abc.Callable[[], None]] = []
        try:
            self.execute(self.build)
        except disk_lib.DiskFault:
            self.kill()

    def build(self) -> None:
        """Creates the components of the process."""

    def execute(self, call: abc.Callable[[], None], source: str = "") -> None:
        """Runs a function in the process, or queues it while frozen."""
        if not self.is_alive:
            return
        if self.queued_calls is not None:
            self.queued_calls.append((source, call))
            return
        previous_process, self.simulation.current_process = (
            self.simulation.current_process,
            self,
        )
        start_count = self.start_count
        call()
        while (
            self.is_alive and self.start_count == start_count and len(self.root)
        ):
            self.root.flush()
        self.simulation.current_process = previous_process
        if self.is_alive:
            self.simulation.on_executed(self)

    def stop(self) -> None:
        """Ends the process at its own request."""
        self.kill()

    def kill(self, closes_connections: bool = True) -> None:
        """Ends the process.

        Args:
          closes_connections: Whether peers get a connection reset, as the
            host still runs.
        """
        self.is_alive, self.queued_calls = False, None
        callbacks, self.reset_callbacks = self.reset_callbacks, []
        for reset in callbacks if closes_connections else ():
            reset()

    def freeze(self) -> None:
        """Suspends the process; messages to it are queued."""
        if self.is_alive and self.queued_calls is None:
            self.queued_calls = []

    def resume(self, order: int) -> None:
        """Resumes a frozen process, which handles all queued messages.

        Args:
          order: 0 for timers first, 1 for messages in order of arrival, 2 for
            messages of operators and callers first. Several orders are
            possible, because a process reads its sockets in any order.
        """
        queued_calls, self.queued_calls = self.queued_calls, None
        if queued_calls is None or not self.is_alive:
            return
        if order == 0:
            self.execute(self.timers.run_due)
        elif order == 2:
            queued_calls.sort(key=lambda item: item[0], reverse=True)
        for _, call in queued_calls:
            self.execute(call)


class FakeCall:
    """gRPC future of one call to a control instance."""

    def __init__(self, link, method, request, timeout_s):
        self._outcome = None
        self._callbacks = []
        source, target = link.process, link.target
        start_count = source.start_count

        def end(code, value):
            if self._outcome is None and source.start_count == start_count:
                self._outcome = (code, value)
                for callback in self._callbacks:
                    callback(self)

        def respond(code, value):
            target_process = link.simulation.processes[target]
            link.simulation.send(
                "reply",
                target_process.name,
                source.name,
                lambda: end(code, value),
            )

        def serve():
            process = link.simulation.processes[target]
            process.reset_callbacks.append(
                lambda: respond(grpc.StatusCode.UNAVAILABLE, "reset")
            )
            process.serve(
                method, request, lambda r: respond(grpc.StatusCode.OK, r)
            )

        source.timers.after(
            timeout_s * 1000.0,
            lambda: end(grpc.StatusCode.DEADLINE_EXCEEDED, "no reply"),
        )
        link.simulation.send(
            method,
            source.name,
            target,
            serve,
            lambda: end(grpc.StatusCode.UNAVAILABLE, "failed to connect"),
        )

    def code(self):
        """Returns the gRPC status code."""
        return self._outcome[0]

    def result(self):
        """Returns the reply."""
        return self._outcome[1]

    def details(self):
        """Returns the error message of a failed call."""
        return self._outcome[1]

    def add_done_callback(self, callback):
        """Registers a function that is called when the call ends."""
        self._callbacks.append(callback)


class FakeLink:
    """Link of the production control client to one control instance."""

    def __init__(self, process, address):
        self.process, self.simulation = process, process.simulation
        self.address, self.target = address, name_of_address(address)
        self.stub = self

    def __getattr__(self, method):
        def future(request, timeout, metadata):
            return FakeCall(self, method, request, timeout)

        return types.SimpleNamespace(future=future)


@contextlib.contextmanager
def simulated_timers(simulation: Simulation):
    """Replaces the threading timers of the control client by process timers."""

    def new_timer(pause_s, call):
        process = simulation.current_process
        return types.SimpleNamespace(
            start=lambda: process.timers.after(pause_s * 1000.0, call)
        )

    fake_threading = types.SimpleNamespace(Timer=new_timer, Lock=threading.Lock)
    with mock.patch.object(control_client, "threading", fake_threading):
        yield
