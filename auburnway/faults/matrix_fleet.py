"""Real control instances and entries around a manual clock.

The fleet runs the product's own classes. Only what they meet outside the
process is replaced: the clock, the disk, gRPC links, peer sockets, the HTTP
pool and the HTTP front. A fault enters there and nowhere else.
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
WALL_MS = 1_800_000_000_000
TOKEN = "fleet"


def control_address(name: str) -> str:
    """Returns the gRPC address of a control instance."""
    return f"10.0.0.{name[1:]}:1"


def peer_address(name: str) -> str:
    """Returns the UDP address of an entry."""
    return f"10.0.1.{name[1:]}:2"


def name_at(address: str) -> str:
    """Returns the process name at an address."""
    number = address.split(":")[0].split(".")[-1]
    return ("c" if address.endswith(":1") else "e") + number


class World:
    """Processes, the messages between them and the faults in force.

    Attributes:
      cuts: Pairs (from, to) of names whose messages are dropped.
      slow_ms: Added delay of messages from and to a name.
      on_event: Called before each delivery and disk operation with its kind,
        source and target.
      on_ran: Called after a process ran.
    """

    def __init__(self):
        self.clock = clock_lib.ManualClock(1000.0, WALL_MS)
        self.processes: dict[str, Process] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.slow_ms: dict[str, float] = {}
        self.on_event: abc.Callable[[str, str, str], None] = (
            lambda kind, source, target: None
        )
        self.on_ran: abc.Callable[[Process], None] = lambda process: None
        self.current: Process | None = None
        self._queue: list = []
        self._sequence = itertools.count()

    def later(self, delay_ms: float, call: abc.Callable[[], None]) -> None:
        """Calls a function of the test after a time."""
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._queue, (due_ms, next(self._sequence), call))

    def send(self, kind, source, target, call, refused=None) -> None:
        """Delivers a message: runs `call` in the target process."""
        delay_ms = LATENCY_MS + self.slow_ms.get(source, 0.0)
        delay_ms += self.slow_ms.get(target, 0.0)

        def deliver():
            self.on_event(kind, source, target)
            process = self.processes.get(target)
            if (source, target) in self.cuts or process is None:
                return
            if process.alive:
                process.take(call, source)
            elif refused is not None and (target, source) not in self.cuts:
                self.later(
                    LATENCY_MS, lambda: self.processes[source].take(refused)
                )

        self.later(delay_ms, deliver)

    def run(self, duration_ms, until=lambda: False) -> bool:
        """Passes time until a condition holds; returns whether it does."""
        end_ms = self.clock.now_ms() + duration_ms
        while not until():
            due_ms, process = end_ms, None
            for each in self.processes.values():
                if each.alive and each.inbox is None:
                    head_ms = each.timers.next_ms()
                    if head_ms < due_ms:
                        due_ms, process = head_ms, each
            is_message = self._queue and self._queue[0][0] <= due_ms
            if is_message:
                due_ms = self._queue[0][0]
            if due_ms >= end_ms:
                self._move_to(end_ms)
                return until()
            self._move_to(due_ms)
            if is_message:
                heapq.heappop(self._queue)[2]()
            else:
                process.take(process.timers.run_due)
        return True

    def _move_to(self, instant_ms):
        self.clock.advance(max(instant_ms - self.clock.now_ms(), 0.0))


class _Timers(timers_lib.TimerQueue):
    def next_ms(self) -> float:
        """Returns when the next timer is due."""
        while self._heap and self._heap[0][2].call is None:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else float("inf")


class Process:
    """One process that can be killed and frozen; also the product's loop."""

    def __init__(self, world: World, name: str):
        self.world, self.name, self.clock = world, name, world.clock
        self.poller = None
        self.alive, self.inbox = False, None
        self.life = 0
        world.processes[name] = self

    def start(self) -> None:
        """Starts the process, or starts it again."""
        self.life += 1
        self.alive, self.inbox = True, None
        self.stack = contextlib.ExitStack()
        self.root = circuits.BaseComponent()
        self.timers = _Timers(self.clock).register(self.root)
        # Calls that fail when the process ends.
        self.resets: list[abc.Callable[[], None]] = []
        try:
            self.take(self.build)
        except disk_lib.DiskFault:
            self.kill()

    def build(self) -> None:
        """Builds what runs in the process."""

    def take(self, call: abc.Callable[[], None], source: str = "") -> None:
        """Runs a function in the process, or keeps it while frozen."""
        if not self.alive:
            return
        if self.inbox is not None:
            self.inbox.append((source, call))
            return
        previous, self.world.current = self.world.current, self
        life = self.life
        call()
        while self.alive and self.life == life and len(self.root):
            self.root.flush()
        self.world.current = previous
        if self.alive:
            self.world.on_ran(self)

    def stop(self) -> None:
        """Ends the process by its own will."""
        self.kill()

    def kill(self, resets: bool = True) -> None:
        """Ends the process.

        Args:
          resets: Whether the host closes its connections.
        """
        self.alive, self.inbox = False, None
        stale, self.resets = self.resets, []
        for reset in stale if resets else ():
            reset()

    def freeze(self) -> None:
        """Stops the process; messages wait."""
        if self.alive and self.inbox is None:
            self.inbox = []

    def wake(self, order: int) -> None:
        """Lets a frozen process go on with all that waited.

        Args:
          order: 0 for timers first, 1 for messages as they came, 2 for those
            of operators and callers first: sockets have no common order.
        """
        inbox, self.inbox = self.inbox, None
        if inbox is None or not self.alive:
            return
        if order == 0:
            self.take(self.timers.run_due)
        elif order == 2:
            inbox.sort(key=lambda item: item[0], reverse=True)
        for _, call in inbox:
            self.take(call)


class Call:
    """gRPC future of one attempt."""

    def __init__(self, link, method, request, timeout_s):
        self._outcome = None
        self._callbacks = []
        source, target = link.process, link.target
        life = source.life

        def end(code, value):
            if self._outcome is None and source.life == life:
                self._outcome = (code, value)
                for callback in self._callbacks:
                    callback(self)

        def respond(code, value):
            target_process = link.world.processes[target]
            link.world.send(
                "reply",
                target_process.name,
                source.name,
                lambda: end(code, value),
            )

        def serve():
            process = link.world.processes[target]
            process.resets.append(
                lambda: respond(grpc.StatusCode.UNAVAILABLE, "reset")
            )
            process.serve(
                method, request, lambda r: respond(grpc.StatusCode.OK, r)
            )

        source.timers.after(
            timeout_s * 1000.0,
            lambda: end(grpc.StatusCode.DEADLINE_EXCEEDED, "no reply"),
        )
        link.world.send(
            method,
            source.name,
            target,
            serve,
            lambda: end(grpc.StatusCode.UNAVAILABLE, "failed to connect"),
        )

    def code(self):
        """Returns the gRPC status."""
        return self._outcome[0]

    def result(self):
        """Returns the reply."""
        return self._outcome[1]

    def details(self):
        """Returns the text of a failure."""
        return self._outcome[1]

    def add_done_callback(self, callback):
        """Calls a function at the end of the attempt."""
        self._callbacks.append(callback)


class Link:
    """Link of the real control client to one control instance."""

    def __init__(self, process, address):
        self.process, self.world = process, process.world
        self.address, self.target = address, name_at(address)
        self.stub = self

    def __getattr__(self, method):
        def future(request, timeout, metadata):
            return Call(self, method, request, timeout)

        return types.SimpleNamespace(future=future)


@contextlib.contextmanager
def manual_pauses(world: World):
    """Makes the control client's pauses timers of the process that waits."""

    def new_timer(pause_s, call):
        process = world.current
        return types.SimpleNamespace(
            start=lambda: process.timers.after(pause_s * 1000.0, call)
        )

    replaced = types.SimpleNamespace(Timer=new_timer, Lock=threading.Lock)
    with mock.patch.object(control_client, "threading", replaced):
        yield
