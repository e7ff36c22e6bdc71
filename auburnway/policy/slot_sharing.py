"""Concurrency limit of one entry, by which all entries share the slots.

Entries have no direct view of each other's queues. Each entry receives the
other entries' demand by rank with their heartbeats, up to 400 ms old, and
computes a division of the fleet's slots: first by rank (floors, then urgency),
then by entry in proportion to demand. As all entries compute nearly the same
division, the sum of their limits is close to the number of slots. When slots
are idle while queries wait, or when backend servers refuse sub-requests for
want of a slot (shed), the entry corrects its own limit.
"""

from collections import abc
import math

from auburnway.core import configuration
from auburnway.policy import admission

# The time constant of the demand is longer than the age of the peers' demand,
# so that all entries compute from similar values.
DEMAND_TAU_MS = 3000.0
SHED_TAU_MS = 1000.0
# Additive increase and multiplicative decrease of the correction factor, at
# most once per heartbeat period of 200 ms.
CORRECTION_PERIOD_MS = 200.0
CORRECTION_INCREASE = 0.02
CORRECTION_DECREASE = 0.97
MIN_CORRECTION = 0.5
MAX_CORRECTION = 2.0
# Share of shed sub-requests above which a raised limit is lowered again. Each
# of them causes an extra sub-request, and these must stay under 2% in an
# overload.
SHED_SHARE = 0.01
# Share of shed sub-requests that differences between the entries' views do not
# explain. The servers have fewer free slots than they report, so the limit is
# lowered below the computed value.
HIGH_SHED_SHARE = 0.3
# If less than this share of the slots is used while queries wait, the division
# leaves slots idle, so the computed limit is raised.
FULL_USE_SHARE = 0.95

# Waiting and running queries of one application, by rank.
Demand = abc.Mapping[str, tuple[int, int]]


class _ApplicationState:
    """State of one application."""

    def __init__(self, now_ms: float):
        self.updated_ms = now_ms
        self.adjusted_ms = now_ms
        self.correction = 1.0
        self.shed_share = 0.0
        # Smoothed demand (waiting and in flight) by entry and rank.
        self.demands: dict[str, dict[str, float]] = {}
        self.waiting = 0.0
        self.in_flight = 0.0


class SlotSharing:
    """Computes this entry's part of the slots of each application."""

    def __init__(
        self,
        fallback_entry_count: int,
        ranks: abc.Sequence[configuration.Rank] = (),
        own_name: str = "",
    ):
        """Creates an instance without demand.

        Args:
          fallback_entry_count: Number of entries to assume while no peer's
            demand is known.
          ranks: Ranks in force; without them all demand has equal priority.
          own_name: Name of this entry among its peers. If given, the entries
            divide the slots into whole permits, in the order of their names;
            otherwise limits are fractional.
        """
        self._fallback_entry_count = max(1, fallback_entry_count)
        self._own_name = own_name
        self._states: dict[str, _ApplicationState] = {}
        self._ranks: tuple[configuration.Rank, ...] = ()
        self.reconfigure(ranks)

    def reconfigure(self, ranks: abc.Sequence[configuration.Rank]) -> None:
        """Replaces the ranks."""
        self._ranks = tuple(sorted(ranks, key=lambda rank: rank.order))

    def limit(
        self,
        application: str,
        fleet_slots: int,
        own_demand: Demand,
        peer_demands: abc.Mapping[str, Demand],
        recent_shed_share: float,
        now_ms: float,
    ) -> float:
        """Returns the number of permits of this entry, at least one.

        Args:
          application: Application whose slots are shared.
          fleet_slots: Number of queries that the fleet runs concurrently: the
            minimum over all shards of the sum of their replicas' slots.
          own_demand: Demand at this entry: (waiting, in flight) by rank.
          peer_demands: Demand of each live peer, by name of the peer.
          recent_shed_share: Share of this entry's sub-requests since the last
            call that backend servers refused for want of a slot, 0 to 1.
          now_ms: Current time.
        """
        state = self._states.get(application)
        if state is None:
            state = self._states[application] = _ApplicationState(now_ms)
        demands = {**peer_demands, self._own_name: own_demand}
        self._update_averages(state, demands, recent_shed_share, now_ms)
        self._update_correction(state, fleet_slots, now_ms)
        if not peer_demands:
            permits = fleet_slots / self._fallback_entry_count
        else:
            permits = self._own_permits(state, fleet_slots)
        return max(1.0, state.correction * permits)

    def _update_averages(
        self,
        state: _ApplicationState,
        demands: abc.Mapping[str, Demand],
        recent_shed_share: float,
        now_ms: float,
    ) -> None:
        elapsed_ms = max(0.0, now_ms - state.updated_ms)
        state.updated_ms = now_ms
        weight = 1.0 - math.exp(-elapsed_ms / SHED_TAU_MS)
        state.shed_share += weight * (recent_shed_share - state.shed_share)
        weight = 1.0 - math.exp(-elapsed_ms / DEMAND_TAU_MS)
        waiting = in_flight = 0
        smoothed = {}
        for entry, demand in demands.items():
            previous = state.demands.get(entry, {})
            entry_demand = smoothed[entry] = {}
            for rank, (own_waiting, own_in_flight) in demand.items():
                waiting += own_waiting
                in_flight += own_in_flight
                value = own_waiting + own_in_flight
                previous_value = previous.get(rank, value)
                entry_demand[rank] = previous_value + weight * (
                    value - previous_value
                )
        state.demands = smoothed
        state.waiting += weight * (waiting - state.waiting)
        state.in_flight += weight * (in_flight - state.in_flight)

    def _update_correction(
        self, state: _ApplicationState, slots: int, now_ms: float
    ) -> None:
        if now_ms - state.adjusted_ms < CORRECTION_PERIOD_MS:
            return
        state.adjusted_ms = now_ms
        correction = state.correction
        idle_slots = FULL_USE_SHARE * slots - state.in_flight
        if correction > 1.0 and state.shed_share > SHED_SHARE:
            correction = max(1.0, correction * CORRECTION_DECREASE)
        elif state.shed_share > HIGH_SHED_SHARE:
            correction *= CORRECTION_DECREASE
        elif correction < 1.0 or (idle_slots > 0.0 and state.waiting > 0.1):
            correction += CORRECTION_INCREASE
        state.correction = min(max(correction, MIN_CORRECTION), MAX_CORRECTION)

    def _own_permits(self, state: _ApplicationState, slots: int) -> float:
        """Returns this entry's permits before the correction."""
        totals: dict[str, float] = {}
        for entry_demand in state.demands.values():
            for rank, value in entry_demand.items():
                totals[rank] = totals.get(rank, 0.0) + value
        granted = self._slots_by_rank(totals, slots)
        # Spare slots are divided equally among the entries, for new arrivals.
        count = len(state.demands)
        spare_per_entry = max(0.0, slots - sum(granted.values())) / count
        parts = {
            entry: spare_per_entry
            + sum(
                granted[rank] * value / totals[rank]
                for rank, value in entry_demand.items()
                if totals[rank] > 0.0
            )
            for entry, entry_demand in state.demands.items()
        }

        # Each entry has at least one permit. The parts above one permit are
        # scaled down accordingly.
        above_one = sum(max(0.0, part - 1.0) for part in parts.values())
        scale = max(0.0, slots - count) / above_one if above_one > 0.0 else 0.0
        own_name = self._own_name
        if not own_name:
            return 1.0 + scale * max(0.0, parts[own_name] - 1.0)
        # The permits above one are rounded so that their sum is preserved: the
        # running sum over the entries is rounded before and after each entry,
        # and the difference is the entry's number of permits.
        begin = 0.0
        for entry in sorted(parts):
            end = begin + scale * max(0.0, parts[entry] - 1.0)
            if entry == own_name:
                break
            begin = end
        return 1.0 + math.floor(end + 0.5) - math.floor(begin + 0.5)

    def _slots_by_rank(
        self, demand: abc.Mapping[str, float], slots: float
    ) -> dict[str, float]:
        """Returns the slots of each rank, which are at most its demand."""
        total = sum(demand.values())
        if total <= slots:
            return dict(demand)
        known_ranks = [rank for rank in self._ranks if rank.name in demand]
        if len(known_ranks) < len(demand):
            # Some rank has no known order, so all demand has equal priority.
            return {
                name: value * slots / total for name, value in demand.items()
            }
        floors = {
            rank.name: max(admission.MIN_FLOOR_SHARE, rank.floor_share)
            for rank in known_ranks
        }
        scale = max(1.0, sum(floors.values()))
        granted = {
            name: min(demand[name], floor / scale * slots)
            for name, floor in floors.items()
        }
        remaining = slots - sum(granted.values())
        for rank in known_ranks:
            extra = min(remaining, demand[rank.name] - granted[rank.name])
            granted[rank.name] += extra
            remaining -= extra
        return granted
