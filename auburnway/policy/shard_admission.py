"""Which shards a query is sent to, and whether it is admitted at all.

It answers the load in which some shards have lost servers or are slowed, so
that queues grow there. A query takes a slot of every shard; one that cannot be
answered in time takes them from others that could. A full shard that will not
answer within the latency objective is left out while the answer may be
partial, which sheds exactly the shard that lacks room. When too many shards
are full the query is refused before it costs anything. A shard that is slow
but not full is always asked: a late answer is still an answer.
"""

from collections import abc
import dataclasses

# A query is admitted after this time without one, whatever is expected, so
# that a wrong estimate corrects itself.
PROBE_MS = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """What is expected of one shard.

    Attributes:
      expected_ms: Time until its answer; None where no server is known.
      is_full: Whether requests wait for a slot on its best server.
    """

    expected_ms: float | None
    is_full: bool = False


def plan(
    shards: abc.Mapping[str, Shard], left_ms: float, min_coverage: float
) -> tuple[str, ...]:
    """Returns the shards to send a query to; none when it is refused.

    Args:
      shards: What is expected of each shard.
      left_ms: Time to the latency objective.
      min_coverage: Least share of the shards that makes an answer.
    """
    chosen = tuple(
        name
        for name, shard in shards.items()
        if shard.expected_ms is not None
        and (not shard.is_full or shard.expected_ms <= left_ms)
    )
    is_enough = len(chosen) + 1e-9 >= min_coverage * len(shards)
    return chosen if is_enough else ()


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
