"""Simulation of overloads: entries and backend slots in simulated time."""

import collections
import heapq
import itertools
import random

from auburnway.core import clock
from auburnway.core import configuration
from auburnway.policy import admission

RANKS = (
    configuration.Rank("urgent", 0, 0.5, 200.0),
    configuration.Rank("normal", 1, 0.2, 500.0),
    configuration.Rank("bulk", 2, 0.1, 2000.0),
)
SERVICE_MS = 20.0
DEADLINE_MS = 2000.0
HEARTBEAT_MS = 200.0
# Offered load by rank, as a share of the capacity.
LOW_LOAD = {"urgent": 0.3, "normal": 0.15, "bulk": 0.1}
BULK_FLOOD = {"urgent": 0.3, "normal": 0.25, "bulk": 5.0}
URGENT_FLOOD = {"urgent": 3.0, "normal": 0.5, "bulk": 0.5}


class Fleet:
    """Entries that share `slots` backend slots; a query uses one slot."""

    def __init__(self, entries, slots, seed=1, sharings=()):
        self.clock = clock.ManualClock()
        self.entries, self.slots, self.sharings = entries, slots, sharings
        self.rng = random.Random(seed)
        # Load by rank for each entry.
        self.loads = [LOW_LOAD] * len(entries)
        self.running = self.waiting = self.max_in_flight = 0
        self._events = []
        self._count = itertools.count()
        # (entry, rank, arrival time) of each unfinished query.
        self._queries = {}
        self._peer_demands = [{} for _ in entries]
        self._recent_sheds = [[] for _ in entries]
        for entry in range(len(entries)):
            self._schedule(
                HEARTBEAT_MS * entry / len(entries), self._heartbeat, entry
            )
            for rank in RANKS:
                self._schedule_arrival(entry, rank.name)

    def measure(self, duration_ms):
        """Runs the simulation and records only the figures of this period."""
        self.offered, self.good = collections.Counter(), collections.Counter()
        self.latencies = collections.defaultdict(list)
        self.busy_ms = collections.Counter()
        self.idle_ms = 0.0
        self.was_shed = []
        self.slot_ms = duration_ms * self.slots
        end_ms = self.clock.now_ms() + duration_ms
        while self._events[0][0] <= end_ms:
            at_ms, _, action, data = heapq.heappop(self._events)
            step_ms = at_ms - self.clock.now_ms()
            idle = min(self.slots - self.running, self.waiting)
            self.idle_ms += max(0, idle) * step_ms
            self.clock.advance(step_ms)
            action(*data)
        self.clock.advance(end_ms - self.clock.now_ms())
        return self

    def figures(self, rank):
        """Returns goodput, share of the slots and p99 latency of a rank.

        Goodput is the share of queries that are answered within the deadline;
        the latency is in ms.
        """
        ordered = sorted(self.latencies[rank])
        return (
            self.good[rank] / max(1, self.offered[rank]),
            self.busy_ms[rank] / self.slot_ms,
            ordered[int(0.99 * len(ordered))],
        )

    def __str__(self):
        return ", ".join(
            "{}: goodput {:.4f} share {:.3f} p99 {:.0f} ms".format(
                rank.name, *self.figures(rank.name)
            )
            for rank in RANKS
        )

    def _schedule(self, delay_ms, action, *data):
        at_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._events, (at_ms, next(self._count), action, data))

    def _schedule_arrival(self, entry, rank):
        load = self.loads[entry][rank] / len(self.entries)
        delay_ms = self.rng.expovariate(load * self.slots / SERVICE_MS)
        self._schedule(delay_ms, self._arrive, entry, rank)

    def _arrive(self, entry, rank):
        self._schedule_arrival(entry, rank)
        now_ms = self.clock.now_ms()
        name = f"q{next(self._count)}"
        self.offered[rank] += 1
        self._queries[name] = (entry, rank, now_ms)
        answer = self.entries[entry].offer(
            name, rank, "caller", now_ms + DEADLINE_MS, now_ms
        )
        self.waiting += answer == admission.QUEUED
        if answer == admission.ADMITTED:
            self._start(name)
        self._poll(entry)

    def _poll(self, entry):
        started, dropped = self.entries[entry].poll(self.clock.now_ms())
        self.waiting -= len(started) + len(dropped)
        for name in started:
            self._start(name)

    def _start(self, name):
        demand = self.entries[self._queries[name][0]].demand().values()
        in_flight = sum(running for _, running in demand)
        self.max_in_flight = max(self.max_in_flight, in_flight)
        self.was_shed.append(self.running >= self.slots)
        self._send(name)

    def _send(self, name):
        entry, rank, _ = self._queries[name]
        self._recent_sheds[entry].append(self.running >= self.slots)
        if self.running >= self.slots:
            self._schedule(5.0, self._send, name)
            return
        self.running += 1
        service_ms = self.rng.expovariate(1.0 / SERVICE_MS)
        self.busy_ms[rank] += service_ms
        self._schedule(service_ms, self._finish, name)

    def _finish(self, name):
        entry, rank, arrived_ms = self._queries.pop(name)
        latency_ms = self.clock.now_ms() - arrived_ms
        self.running -= 1
        self.entries[entry].finish(name, self.clock.now_ms())
        self.latencies[rank].append(latency_ms)
        self.good[rank] += latency_ms <= DEADLINE_MS
        self._poll(entry)

    def _heartbeat(self, entry):
        self._schedule(HEARTBEAT_MS, self._heartbeat, entry)
        if self.sharings:
            demand = self.entries[entry].demand()
            for peer, peer_demands in enumerate(self._peer_demands):
                if peer != entry:
                    late_ms = self.rng.random() * HEARTBEAT_MS
                    self._schedule(
                        late_ms, peer_demands.__setitem__, str(entry), demand
                    )
            recent_sheds = self._recent_sheds[entry]
            permits = self.sharings[entry].limit(
                "application",
                self.slots,
                demand,
                self._peer_demands[entry],
                sum(recent_sheds) / max(1, len(recent_sheds)),
                self.clock.now_ms(),
            )
            recent_sheds.clear()
            self.entries[entry].set_limit(permits)
        self._poll(entry)


def one_entry(permits, load, admission_class=admission.Admission, seed=1):
    """Returns a fleet of one entry, after 5 s of calm and 5 s of `load`."""
    entry = admission_class(RANKS, {}, 0.0)
    entry.set_limit(permits)
    fleet = Fleet([entry], permits, seed).measure(5_000)
    fleet.loads = [load]
    return fleet.measure(5_000)
