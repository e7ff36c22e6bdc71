"""Admission of queries, and selection of the shards that a query is sent to.

This policy handles overload of single shards, which have lost servers or are
slow, so that requests queue there. A query uses a slot of every shard; a query
that cannot be answered in time uses slots that other queries need.

- A full shard that is expected to miss the latency objective is left out if
  the answer may be partial. This reduces the load of that shard only.
- When too few shards would remain, for example because another shard has no
  working server, full shards are included if they are expected to answer well
  before the deadline: a late answer is better than none.
- Otherwise the query is refused before any work is done for it.
"""

from collections import abc
import dataclasses
import math

# When no query was admitted for this time, the next query is admitted even if
# it is expected to be late, so that a wrong estimate is corrected.
PROBE_MS = 100.0


# Share of the time until the deadline within which a full shard must be
# expected to answer. The remaining time covers load that the estimate does not
# include, such as the sends of other entries.
FULL_SHARD_TIME_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ShardOutlook:
    """Expected performance of one shard.

    Attributes:
      expected_ms: Expected time until its answer; None if no server is known.
      is_full: Whether requests wait for a slot on its best server.
      is_failing: Whether all its servers have recently failed.
      wait_ms: Time until its best server may be sent a request; part of
        `expected_ms`.
    """

    expected_ms: float | None
    is_full: bool = False
    is_failing: bool = False
    wait_ms: float = 0.0


def select_shards(
    shards: abc.Mapping[str, ShardOutlook],
    target_ms: float,
    deadline_ms: float,
    min_coverage: float,
) -> tuple[str, ...]:
    """Returns the shards to send a query to; empty if the query is refused.

    Args:
      shards: Expected performance of each shard, by name.
      target_ms: Time left until the latency objective.
      deadline_ms: Time left until the deadline.
      min_coverage: Minimum share of the shards that an answer must cover.
    """
    known_shards = {
        shard: outlook
        for shard, outlook in shards.items()
        if outlook.expected_ms is not None
    }
    failing_shards = [
        shard for shard, outlook in known_shards.items() if outlook.is_failing
    ]
    full_shards = [
        shard
        for shard, outlook in known_shards.items()
        if outlook.is_full
        and outlook.expected_ms > target_ms
        and not outlook.is_failing
    ]
    selected = set(known_shards) - set(failing_shards) - set(full_shards)
    min_count = min_coverage * len(shards) - 1e-9
    for name in sorted(
        full_shards, key=lambda shard: known_shards[shard].expected_ms
    ):
        is_in_time = (
            known_shards[name].expected_ms
            <= FULL_SHARD_TIME_SHARE * deadline_ms
        )
        if len(selected) < min_count and is_in_time:
            selected.add(name)
    is_left_out = any(name not in selected for name in full_shards)
    expected_count = len(selected) + (0 if is_left_out else len(failing_shards))
    if expected_count < min_count:
        return ()
    # Failing shards are included as well, as only replies show that their
    # servers work again.
    selected.update(failing_shards)
    return tuple(name for name in shards if name in selected)


def wait_ms(
    shards: abc.Mapping[str, ShardOutlook], min_coverage: float
) -> float:
    """Returns the time until enough shards may be sent a request.

    Args:
      shards: Expected performance of each shard, by name.
      min_coverage: Minimum share of the shards that an answer must cover.
    """
    waits_ms = sorted(
        shard.wait_ms
        for shard in shards.values()
        if shard.expected_ms is not None
    )
    count = max(math.ceil(min_coverage * len(shards) - 1e-9), 1)
    return waits_ms[count - 1] if count <= len(waits_ms) else 0.0


class ProbeSchedule:
    """Decides, by request kind, when to admit a query expected to be late."""

    def __init__(self):
        self._admitted_ms: dict[str, float] = {}

    def on_admitted(self, kind: str, now_ms: float) -> None:
        """Records that a query was admitted."""
        self._admitted_ms[kind] = now_ms

    def is_due(self, kind: str, now_ms: float) -> bool:
        """Whether the next query is admitted even if expected to be late."""
        admitted_ms = self._admitted_ms.get(kind, float("-inf"))
        return now_ms - admitted_ms >= PROBE_MS
