"""Simulated network of `PeerLogic` objects with one manual clock.

Tests set the delay, the loss, the duplication and the partitions of datagrams.
No sockets are used.
"""

from collections import abc
import heapq
import random

from auburnway.core import clock as clock_lib
from auburnway.core import membership
from auburnway.entry import peer_logic

TOKEN = "fleet"
TICK_MS = 50.0


class SimulatedEntry:
    """One entry, which records the arguments of its callbacks."""

    def __init__(self, network: "Network", name: str, seeds, incarnation: int):
        self.network = network
        self.name = name
        self.address = network.address(name)
        self.table = membership.Table(5000.0)
        self.rows: list[membership.Row] = []
        self.configurations: list[int] = []
        self.strikes: list = []
        self.logic = peer_logic.PeerLogic(
            network.clock,
            random.Random(f"{name}/{incarnation}"),
            lambda to, data: network.send(self.address, to, data),
            name,
            (self.address.replace("10.", "20."), self.address),
            "a",
            seeds,
            TOKEN,
            self.table,
            peer_logic.PeerCallbacks(
                self.rows.append,
                lambda _, number: self.configurations.append(number),
                self.strikes.extend,
            ),
        )

    def announce(self, row: membership.Row) -> None:
        """Processes the announcement of a backend server."""
        if self.table.put(row, self.network.clock.now_ms()):
            self.logic.relay_row(row)
        else:
            self.logic.record_renewal(row.name)


class Network:
    """Delivers datagrams between entries in the order of their arrival time.

    Attributes:
      clock: Clock of all entries.
      nodes: Running entries by name.
      frozen: Queued datagrams of each frozen entry, by entry name.
      cuts: Pairs (sender, receiver) of names whose datagrams are dropped.
      loss_probability: Probability that a datagram is dropped.
      duplicate_probability: Probability that a datagram arrives twice.
      delay_ms: Greatest delay. Each datagram gets a random delay, so that
        datagrams can be reordered.
      sent: Number of datagrams sent.
      sent_bytes: Bytes of the datagrams sent.
    """

    def __init__(self, seed: int = 0, delay_ms: float = 3.0):
        self.clock = clock_lib.ManualClock(0.0, 1_000_000)
        self.nodes: dict[str, SimulatedEntry] = {}
        self.frozen: dict[str, list[tuple[str, bytes]]] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.loss_probability = 0.0
        self.duplicate_probability = 0.0
        self.delay_ms = delay_ms
        self.sent = 0
        self.sent_bytes = 0
        self._rng = random.Random(seed)
        self._name_by_address: dict[str, str] = {}
        self._queue: list[tuple[float, int, str, str, bytes]] = []
        self._start_count = 0

    def address(self, name: str) -> str:
        """Returns the peer address of an entry, the same after a restart."""
        for address, known_name in self._name_by_address.items():
            if known_name == name:
                return address
        number = len(self._name_by_address)
        address = f"10.0.{number // 200}.{number % 200 + 1}:7000"
        self._name_by_address[address] = name
        return address

    def start(self, name: str, seeds: abc.Iterable[str] = ()) -> SimulatedEntry:
        """Starts an entry, or restarts the entry of this name.

        Args:
          name: Name of the entry.
          seeds: Names of the entries to contact first.
        """
        self._start_count += 1
        addresses = [self.address(seed) for seed in seeds]
        self.frozen.pop(name, None)
        node = self.nodes[name] = SimulatedEntry(
            self, name, addresses, self._start_count
        )
        return node

    def send(self, source: str, target: str, data: bytes) -> None:
        """Queues a datagram for delivery, unless it is lost."""
        self.sent += 1
        self.sent_bytes += len(data)
        if self._rng.random() < self.loss_probability:
            return
        for _ in range(1 + (self._rng.random() < self.duplicate_probability)):
            due_ms = self.clock.now_ms() + self._rng.uniform(0, self.delay_ms)
            datagram = (due_ms, self._rng.getrandbits(62), source, target, data)
            heapq.heappush(self._queue, datagram)

    def thaw(self, name: str) -> None:
        """Resumes a frozen entry and delivers its queued datagrams."""
        for source, data in self.frozen.pop(name, []):
            self.nodes[name].logic.receive(source, data)

    def run(self, duration_ms: float) -> None:
        """Advances the clock, runs the ticks and delivers datagrams."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            for node in tuple(self.nodes.values()):
                if node.name not in self.frozen:
                    node.logic.tick()
            self._deliver(min(self.clock.now_ms() + TICK_MS, end_ms))

    def _deliver(self, until_ms: float) -> None:
        while self._queue and self._queue[0][0] <= until_ms:
            due_ms, _, source, target, data = heapq.heappop(self._queue)
            self.clock.advance(max(due_ms - self.clock.now_ms(), 0.0))
            link = (
                self._name_by_address[source],
                self._name_by_address.get(target, ""),
            )
            node = self.nodes.get(link[1])
            if node is None or link in self.cuts:
                continue
            if node.name in self.frozen:
                self.frozen[node.name].append((source, data))
            else:
                node.logic.receive(source, data)
        self.clock.advance(max(until_ms - self.clock.now_ms(), 0.0))
