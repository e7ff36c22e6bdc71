"""Several `PeerLogic` objects on one manual clock, for tests and for costs.

The network delays, drops, duplicates and cuts datagrams as told, so that a
test decides on each of them without sockets.
"""

from collections import abc
import heapq
import random

from auburnway.core import clock as clock_lib
from auburnway.core import membership
from auburnway.entry import peer_logic

TOKEN = "fleet"
TICK_MS = 50.0


class Node:
    """One entry with what its callbacks received."""

    def __init__(self, network: "Network", name: str, seeds, life: int):
        self.network = network
        self.name = name
        self.address = network.address(name)
        self.table = membership.Table(5000.0)
        self.rows: list[membership.Row] = []
        self.configurations: list[int] = []
        self.strikes: list = []
        self.logic = peer_logic.PeerLogic(
            network.clock,
            random.Random(f"{name}/{life}"),
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
        """Takes the announcement of a backend server."""
        if self.table.put(row, self.network.clock.now_ms()):
            self.logic.relay_row(row)
        else:
            self.logic.record_renewal(row.name)


class Network:
    """Datagrams between nodes, in the order of their arrival.

    Attributes:
      frozen: Datagrams that wait for each frozen process, by its name.
      cuts: Pairs (from, to) of names whose datagrams are dropped.
      loss: Probability that a datagram is dropped.
      copies: Probability that a datagram arrives twice.
      delay_ms: Greatest delay; each datagram draws its own, so they overtake.
    """

    def __init__(self, seed: int = 0, delay_ms: float = 3.0):
        self.clock = clock_lib.ManualClock(0.0, 1_000_000)
        self.nodes: dict[str, Node] = {}
        self.frozen: dict[str, list[tuple[str, bytes]]] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.copies = 0.0
        self.delay_ms = delay_ms
        self.sent = 0
        self.sent_bytes = 0
        self._rng = random.Random(seed)
        self._names: dict[str, str] = {}
        self._queue: list[tuple[float, int, str, str, bytes]] = []
        self._lives = 0

    def address(self, name: str) -> str:
        """Returns the peer address of a name; it outlives a restart."""
        for address, known in self._names.items():
            if known == name:
                return address
        number = len(self._names)
        address = f"10.0.{number // 200}.{number % 200 + 1}:7000"
        self._names[address] = name
        return address

    def start(self, name: str, seeds: abc.Iterable[str] = ()) -> Node:
        """Starts an entry; a second start of a name is a restart.

        Args:
          name: Name of the entry.
          seeds: Names of entries whose addresses it knows.
        """
        self._lives += 1
        addresses = [self.address(seed) for seed in seeds]
        self.frozen.pop(name, None)
        node = self.nodes[name] = Node(self, name, addresses, self._lives)
        return node

    def send(self, source: str, target: str, data: bytes) -> None:
        """Takes a datagram from a node."""
        self.sent += 1
        self.sent_bytes += len(data)
        if self._rng.random() < self.loss:
            return
        for _ in range(1 + (self._rng.random() < self.copies)):
            due_ms = self.clock.now_ms() + self._rng.uniform(0, self.delay_ms)
            item = (due_ms, self._rng.getrandbits(62), source, target, data)
            heapq.heappush(self._queue, item)

    def thaw(self, name: str) -> None:
        """Lets a frozen process go on and read what waits in its socket."""
        for source, data in self.frozen.pop(name, []):
            self.nodes[name].logic.receive(source, data)

    def run(self, duration_ms: float) -> None:
        """Moves the clock; nodes tick and datagrams arrive."""
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
            pair = (self._names[source], self._names.get(target, ""))
            node = self.nodes.get(pair[1])
            if node is None or pair in self.cuts:
                continue
            if node.name in self.frozen:
                self.frozen[node.name].append((source, data))
            else:
                node.logic.receive(source, data)
        self.clock.advance(max(until_ms - self.clock.now_ms(), 0.0))
