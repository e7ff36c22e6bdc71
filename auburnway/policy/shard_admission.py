"""Which shards a query is sent to, and whether it is admitted at all.

It answers the load in which some shards have lost servers or are slowed, so
that queues grow there. A query takes a slot of every shard; one that cannot be
answered in time takes them from others that could. A shard that will not
answer within the latency objective is left out while the answer may be
partial, which sheds exactly the shard that lacks room. When too many shards
lack room the query is refused before it costs anything.
"""

from collections import abc
import dataclasses

# A query is admitted after this time without one, whatever is expected, so
# that a wrong estimate corrects itself.
PROBE_MS = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What to do with a query.

    Attributes:
      shards: Shards to send it to; empty when it is refused.
    """

    shards: tuple[str, ...]

    @property
    def is_refused(self) -> bool:
        """Whether the query is refused."""
        return not self.shards


def plan(
    expected_ms: abc.Mapping[str, float | None],
    left_ms: float,
    min_coverage: float,
) -> Plan:
    """Plans one query.

    Args:
      expected_ms: Expected time of each shard; None where no server is known.
      left_ms: Time to the latency objective.
      min_coverage: Least share of the shards that makes an answer.
    """
    shards = tuple(expected_ms)
    late = {
        shard
        for shard, time_ms in expected_ms.items()
        if time_ms is None or time_ms > left_ms
    }
    kept = tuple(shard for shard in shards if shard not in late)
    if len(kept) + 1e-9 < min_coverage * len(shards) or not kept:
        return Plan(())
    return Plan(kept)


class Prober:
    """Admits a refused query now and then, by kind of request."""

    def __init__(self):
        self._admitted_ms: dict[str, float] = {}

    def on_admitted(self, kind: str, now_ms: float) -> None:
        """Notes that a query was admitted."""
        self._admitted_ms[kind] = now_ms

    def is_due(self, kind: str, now_ms: float) -> bool:
        """Whether a query should be admitted in spite of the estimate."""
        admitted_ms = self._admitted_ms.get(kind, float("-inf"))
        return now_ms - admitted_ms >= PROBE_MS
