"""Concurrency limit of one entry, so that all entries share the slots.

Entries do not see each other's queues. Each hears the others' demand by rank
from heartbeats, up to 400 ms old, and computes from it how the fleet's slots
divide: first by rank (floors, then by urgency), then by entry in proportion
to demand. Since all entries compute nearly the same, the sum of their limits
is close to the fleet's slots. Sheds by backend servers correct the rest.
"""

from collections import abc
import math

from auburnway.core import configuration
from auburnway.policy import admission

# Own demand is smoothed as long as peers' demand is old, so that all entries
# compute from like figures.
DEMAND_TAU_MS = 300.0
# Additive increase and multiplicative decrease of the correction, at most
# once per heartbeat of 200 ms.
ADJUST_PERIOD_MS = 200.0
INCREASE = 0.02
DECREASE = 0.9
MIN_CORRECTION = 0.3
# Up to this part of sub-requests shed is noise of uneven replica choice.
SHED_SHARE = 0.02


class _State:
    """What is kept per application."""

    def __init__(self, now_ms: float):
        self.updated_ms = now_ms
        self.adjusted_ms = now_ms
        self.correction = 1.0
        # Smoothed demand by rank name.
        self.own: dict[str, float] = {}
        self.all: dict[str, float] = {}


class Sharing:
    """Divides the slots of applications among the entries."""

    def __init__(
        self,
        fallback_entries: int,
        ranks: abc.Sequence[configuration.Rank] = (),
    ):
        """Creates a sharing.

        Args:
          fallback_entries: Number of entries to assume while no peer is
            heard.
          ranks: Ranks in force; without them demand counts alike.
        """
        self._fallback_entries = max(1, fallback_entries)
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
        own_demand: abc.Mapping[str, tuple[int, int]],
        peer_demands: abc.Mapping[str, abc.Mapping[str, tuple[int, int]]],
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
        self._adjust(state, shed_recently, now_ms)
        if not peer_demands:
            part = fleet_slots / self._fallback_entries
            return max(1.0, state.correction * part)

        self._smooth(state, own_demand, peer_demands, now_ms)
        entries = len(peer_demands) + 1
        permits = self._part(state, fleet_slots, entries)
        return max(1.0, state.correction * permits)

    def _adjust(
        self, state: _State, shed_recently: float, now_ms: float
    ) -> None:
        if now_ms - state.adjusted_ms < ADJUST_PERIOD_MS:
            return
        state.adjusted_ms = now_ms
        if shed_recently > SHED_SHARE:
            state.correction = max(MIN_CORRECTION, state.correction * DECREASE)
        else:
            state.correction = min(1.0, state.correction + INCREASE)

    def _smooth(self, state, own_demand, peer_demands, now_ms) -> None:
        elapsed_ms = max(0.0, now_ms - state.updated_ms)
        state.updated_ms = now_ms
        weight = 1.0 - math.exp(-elapsed_ms / DEMAND_TAU_MS)
        total: dict[str, float] = {}
        for demand in (own_demand, *peer_demands.values()):
            for rank, (waiting, in_flight) in demand.items():
                total[rank] = total.get(rank, 0.0) + waiting + in_flight
        for rank, value in total.items():
            own = sum(own_demand.get(rank, (0, 0)))
            if rank not in state.all:
                state.own[rank] = own
                state.all[rank] = value
                continue
            state.own[rank] += weight * (own - state.own[rank])
            state.all[rank] += weight * (value - state.all[rank])
        for rank in state.all.keys() - total.keys():
            del state.own[rank], state.all[rank]

    def _part(self, state: _State, slots: float, entries: int) -> float:
        """Returns this entry's part of the slots by rank and demand."""
        given = self._given(state.all, slots)
        part = 0.0
        for rank, amount in given.items():
            if state.all[rank] > 0.0:
                part += amount * state.own[rank] / state.all[rank]
        # Spare slots go to all alike, for the next arrivals.
        spare = max(0.0, slots - sum(given.values()))
        return part + spare / entries

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
