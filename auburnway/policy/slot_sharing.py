"""Concurrency limit of one entry, so that all entries share the slots.

Entries do not see each other's queues. Each hears the others' demand by rank
from heartbeats, up to 400 ms old, and computes from it how the fleet's slots
divide: first by rank (floors, then by urgency), then by entry in proportion
to demand. Since all entries compute nearly the same, the sum of their limits
is close to the fleet's slots. Where that leaves slots idle while work waits,
or where backend servers shed, the entry corrects its own limit.
"""

from collections import abc
import math

from auburnway.core import configuration
from auburnway.policy import admission

# Demand is smoothed for longer than peers' demand is old, so that all entries
# compute from like figures.
DEMAND_TAU_MS = 3000.0
SHED_TAU_MS = 1000.0
# Additive increase and multiplicative decrease of the correction, at most
# once per heartbeat of 200 ms.
ADJUST_PERIOD_MS = 200.0
INCREASE = 0.02
DECREASE = 0.97
MIN_CORRECTION = 0.5
MAX_CORRECTION = 2.0
# Sheds cost extra sub-requests, which must stay under 2% in a flood. Above
# this share a limit that was raised is lowered again.
SHED_SHARE = 0.01
# More sheds than views of peers that differ explain: the servers have fewer
# free slots than they announce, so the limit goes below the computed part.
GREAT_SHED_SHARE = 0.3
# Below this use of the slots, waiting work means that they divide badly.
FULL_SHARE = 0.95

# Waiting and running queries of one application, by rank.
Demand = abc.Mapping[str, tuple[int, int]]


class _State:
    """What is kept per application."""

    def __init__(self, now_ms: float):
        self.updated_ms = now_ms
        self.adjusted_ms = now_ms
        self.correction = 1.0
        self.shed_share = 0.0
        # Smoothed demand (waiting and in flight) by entry and rank.
        self.demands: dict[str, dict[str, float]] = {}
        self.waiting = 0.0
        self.in_flight = 0.0


class Sharing:
    """Divides the slots of applications among the entries."""

    def __init__(
        self,
        fallback_entries: int,
        ranks: abc.Sequence[configuration.Rank] = (),
        own_name: str = "",
    ):
        """Creates a sharing.

        Args:
          fallback_entries: Number of entries to assume while no peer is
            heard.
          ranks: Ranks in force; without them demand counts alike.
          own_name: Name under which peers know this entry. With it the
            entries divide the slots into whole permits in the order of their
            names; without it limits have fractions.
        """
        self._fallback_entries = max(1, fallback_entries)
        self._own_name = own_name
        self._states: dict[str, _State] = {}
        self._ranks: tuple[configuration.Rank, ...] = ()
        self.reconfigure(ranks)

    def reconfigure(self, ranks: abc.Sequence[configuration.Rank]) -> None:
        """Puts other ranks in force."""
        self._ranks = tuple(sorted(ranks, key=lambda rank: rank.order))

    def limit(
        self,
        application: str,
        fleet_slots: int,
        own_demand: Demand,
        peer_demands: abc.Mapping[str, Demand],
        shed_recently: float,
        now_ms: float,
    ) -> float:
        """Returns the permits of this entry, at least one.

        Args:
          application: Application whose slots are shared.
          fleet_slots: Queries that the fleet runs at once: the least sum of
            slots over the replicas of any shard.
          own_demand: (waiting, in flight) by rank at this entry.
          peer_demands: The same of each live peer, by its name.
          shed_recently: Part of this entry's sub-requests that backend
            servers refused for want of a slot since the last call, 0 to 1.
          now_ms: Present instant.
        """
        state = self._states.get(application)
        if state is None:
            state = self._states[application] = _State(now_ms)
        demands = {**peer_demands, self._own_name: own_demand}
        self._smooth(state, demands, shed_recently, now_ms)
        self._adjust(state, fleet_slots, now_ms)
        if not peer_demands:
            permits = fleet_slots / self._fallback_entries
        else:
            permits = self._permits(state, fleet_slots)
        return max(1.0, state.correction * permits)

    def _smooth(
        self,
        state: _State,
        demands: abc.Mapping[str, Demand],
        shed_recently: float,
        now_ms: float,
    ) -> None:
        elapsed_ms = max(0.0, now_ms - state.updated_ms)
        state.updated_ms = now_ms
        weight = 1.0 - math.exp(-elapsed_ms / SHED_TAU_MS)
        state.shed_share += weight * (shed_recently - state.shed_share)
        weight = 1.0 - math.exp(-elapsed_ms / DEMAND_TAU_MS)
        waiting = in_flight = 0
        smoothed = {}
        for entry, demand in demands.items():
            before = state.demands.get(entry, {})
            row = smoothed[entry] = {}
            for rank, (own_waiting, own_in_flight) in demand.items():
                waiting += own_waiting
                in_flight += own_in_flight
                value = own_waiting + own_in_flight
                old = before.get(rank, value)
                row[rank] = old + weight * (value - old)
        state.demands = smoothed
        state.waiting += weight * (waiting - state.waiting)
        state.in_flight += weight * (in_flight - state.in_flight)

    def _adjust(self, state: _State, slots: int, now_ms: float) -> None:
        if now_ms - state.adjusted_ms < ADJUST_PERIOD_MS:
            return
        state.adjusted_ms = now_ms
        correction = state.correction
        idle = FULL_SHARE * slots - state.in_flight
        if correction > 1.0 and state.shed_share > SHED_SHARE:
            correction = max(1.0, correction * DECREASE)
        elif state.shed_share > GREAT_SHED_SHARE:
            correction *= DECREASE
        elif correction < 1.0 or (idle > 0.0 and state.waiting > 0.1):
            correction += INCREASE
        state.correction = min(max(correction, MIN_CORRECTION), MAX_CORRECTION)

    def _permits(self, state: _State, slots: int) -> float:
        """Returns this entry's part of the slots."""
        totals: dict[str, float] = {}
        for row in state.demands.values():
            for rank, value in row.items():
                totals[rank] = totals.get(rank, 0.0) + value
        given = self._given(totals, slots)
        # Spare slots go to all alike, for the next arrivals.
        count = len(state.demands)
        spare = max(0.0, slots - sum(given.values())) / count
        parts = {
            entry: spare
            + sum(
                given[rank] * value / totals[rank]
                for rank, value in row.items()
                if totals[rank] > 0.0
            )
            for entry, row in state.demands.items()
        }

        # Each has at least one permit; the others give up what that takes.
        above = sum(max(0.0, part - 1.0) for part in parts.values())
        scale = max(0.0, slots - count) / above if above > 0.0 else 0.0
        own = self._own_name
        if not own:
            return 1.0 + scale * max(0.0, parts[own] - 1.0)
        # The permits above one, rounded so that their sum is kept: an entry
        # has those whole numbers that its stretch of the running sum passes.
        begin = 0.0
        for entry in sorted(parts):
            end = begin + scale * max(0.0, parts[entry] - 1.0)
            if entry == own:
                break
            begin = end
        return 1.0 + math.floor(end + 0.5) - math.floor(begin + 0.5)

    def _given(
        self, demand: abc.Mapping[str, float], slots: float
    ) -> dict[str, float]:
        """Returns the slots of each rank, at most its demand."""
        total = sum(demand.values())
        if total <= slots:
            return dict(demand)
        known = [rank for rank in self._ranks if rank.name in demand]
        if len(known) < len(demand):
            # Without the order of all ranks, demand counts alike.
            return {
                name: value * slots / total for name, value in demand.items()
            }
        floors = {
            rank.name: max(admission.MIN_FLOOR_SHARE, rank.floor_share)
            for rank in known
        }
        scale = max(1.0, sum(floors.values()))
        given = {
            name: min(demand[name], floor / scale * slots)
            for name, floor in floors.items()
        }
        left = slots - sum(given.values())
        for rank in known:
            more = min(left, demand[rank.name] - given[rank.name])
            given[rank.name] += more
            left -= more
        return given
