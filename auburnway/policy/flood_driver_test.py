"""Driver for floods: entries, callers and backend slots in simulated time.

The clock is a `ManualClock`; an event queue moves it. Used by the tests of
admission, slot sharing and the baselines.
"""

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
# Offered load by rank, as shares of the capacity.
CALM = {"urgent": 0.3, "normal": 0.15, "bulk": 0.1}
BULK_FLOOD = {"urgent": 0.3, "normal": 0.25, "bulk": 5.0}
URGENT_FLOOD = {"urgent": 3.0, "normal": 0.5, "bulk": 0.5}


class Fleet:
    """Entries that share `slots` backend slots; one slot per query."""

    def __init__(self, entries, slots, seed=1, sharings=()):
        self.clock = clock.ManualClock()
        self.entries = entries
        self.slots = slots
        self.sharings = sharings
        self.rng = random.Random(seed)
        self.load = lambda now_ms: CALM
        self.running = 0
        self.waiting = 0
        self.max_running = [0] * len(entries)
        self._events = []
        self._count = itertools.count()
        # (entry, rank, arrival) of each query that is not done.
        self._queries = {}
        self._heard = [{} for _ in entries]
        self._sends = [collections.Counter() for _ in entries]
        self.reset()
        for entry in range(len(entries)):
            self._push(200.0 * entry / len(entries), "beat", entry)
            for rank in RANKS:
                self._next_arrival(entry, rank.name)

    def reset(self):
        """Starts a new measurement."""
        self.started_ms = self.clock.now_ms()
        self.offered = collections.Counter()
        self.good = collections.Counter()
        self.latencies = collections.defaultdict(list)
        self.busy_ms = collections.Counter()
        self.total_busy_ms = self.idle_while_waiting_ms = 0.0
        self.shed = self.sent = 0

    def share(self, rank):
        """Returns the part of the slot time that a rank used."""
        duration_ms = self.clock.now_ms() - self.started_ms
        return self.busy_ms[rank] / (duration_ms * self.slots)

    def idle_share(self):
        duration_ms = self.clock.now_ms() - self.started_ms
        return self.idle_while_waiting_ms / (duration_ms * self.slots)

    def goodput(self, rank):
        """Returns the part of the offered queries answered in time."""
        return self.good[rank] / max(1, self.offered[rank])

    def p99(self, rank):
        ordered = sorted(self.latencies[rank])
        return ordered[int(0.99 * len(ordered))]

    def run(self, duration_ms):
        end_ms = self.clock.now_ms() + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, action, data = heapq.heappop(self._events)
            self._advance(at_ms - self.clock.now_ms())
            getattr(self, f"_on_{action}")(data)
        self._advance(end_ms - self.clock.now_ms())

    def _advance(self, step_ms):
        idle = min(self.slots - self.running, self.waiting)
        self.idle_while_waiting_ms += max(0, idle) * step_ms
        self.clock.advance(step_ms)

    def _push(self, at_ms, action, data):
        heapq.heappush(self._events, (at_ms, next(self._count), action, data))

    def _next_arrival(self, entry, rank):
        now_ms = self.clock.now_ms()
        load = self.load(now_ms)
        load = load[entry] if isinstance(load, list) else load
        rate = load[rank] * self.slots / SERVICE_MS / len(self.entries)
        self._push(
            now_ms + self.rng.expovariate(rate), "arrival", (entry, rank)
        )

    def _on_arrival(self, data):
        entry, rank = data
        self._next_arrival(entry, rank)
        now_ms = self.clock.now_ms()
        name = f"q{next(self._count)}"
        self.offered[rank] += 1
        answer = self.entries[entry].offer(
            name, rank, "caller", now_ms + DEADLINE_MS, now_ms
        )
        if not isinstance(answer, admission.Refused):
            self._queries[name] = (entry, rank, now_ms)
        if isinstance(answer, admission.Admitted):
            self._start(name)
        elif isinstance(answer, admission.Queued):
            self.waiting += 1
        self._poll(entry)

    def _poll(self, entry):
        started, dropped = self.entries[entry].poll(self.clock.now_ms())
        self.waiting -= len(started) + len(dropped)
        for name, _ in dropped:
            del self._queries[name]
        for name in started:
            self._start(name)

    def _start(self, name):
        entry, _, _ = self._queries[name]
        self.sent += 1
        in_flight = sum(n for _, n in self.entries[entry].demand().values())
        self.max_running[entry] = max(self.max_running[entry], in_flight)
        self.shed += self.running >= self.slots
        self._on_send(name)

    def _on_send(self, name):
        is_shed = self.running >= self.slots
        sends = self._sends[self._queries[name][0]]
        sends["sent"] += 1
        sends["shed"] += is_shed
        if is_shed:
            self._push(self.clock.now_ms() + 5.0, "send", name)
            return
        self.running += 1
        service_ms = self.rng.expovariate(1.0 / SERVICE_MS)
        self.busy_ms[self._queries[name][1]] += service_ms
        self._push(self.clock.now_ms() + service_ms, "finish", name)

    def _on_finish(self, name):
        entry, rank, arrived_ms = self._queries.pop(name)
        now_ms = self.clock.now_ms()
        self.running -= 1
        self.entries[entry].finish(name, now_ms)
        self.latencies[rank].append(now_ms - arrived_ms)
        self.good[rank] += now_ms - arrived_ms <= DEADLINE_MS
        self._poll(entry)

    def _on_beat(self, entry):
        now_ms = self.clock.now_ms()
        self._push(now_ms + 200.0, "beat", entry)
        if self.sharings:
            demand = self.entries[entry].demand()
            for peer in range(len(self.entries)):
                if peer != entry:
                    late_ms = self.rng.random() * 200.0
                    self._push(now_ms + late_ms, "hear", (peer, entry, demand))
            sends = self._sends[entry]
            limit = self.sharings[entry].limit(
                "application",
                self.slots,
                demand,
                self._heard[entry],
                sends["shed"] / max(1, sends["sent"]),
                now_ms,
            )
            sends.clear()
            self.entries[entry].set_limit(limit)
        self._poll(entry)

    def _on_hear(self, data):
        peer, entry, demand = data
        self._heard[peer][str(entry)] = demand


def one_entry(permits, make=admission.Admission, seed=1):
    """Returns a fleet of one entry with a fixed limit."""
    entry = make(RANKS, {}, 0.0)
    entry.set_limit(permits)
    return Fleet([entry], permits, seed)
