"""Which shards a query is sent to, and whether it is admitted at all.

It answers the load in which some shards have lost servers or are slowed, so
that queues grow there. A query takes a slot of every shard; one that cannot be
answered in time takes them from others that could.

- A full shard that will not answer within the latency objective is left out
  while the answer may be partial. This sheds exactly the shard that lacks room.
- When that leaves too few, as beside a shard without a working server, full
  shards are asked as long as their queues end well before the deadline: a late
  answer is still an answer.
- Otherwise the query is refused before it costs anything.
"""

from collections import abc
import dataclasses

# A query is admitted after this time without one, whatever is expected, so
# that a wrong estimate corrects itself.
PROBE_MS = 100.0


# Part of the time left within which a full shard must be expected to answer.
# The rest covers what the estimate cannot know, such as other entries' sends.
FULL_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """What is expected of one shard.

    Attributes:
      expected_ms: Time until its answer; None where no server is known.
      is_full: Whether requests wait for a slot on its best server.
      is_doubtful: Whether all its servers failed a short time ago.
    """

    expected_ms: float | None
    is_full: bool = False
    is_doubtful: bool = False


def plan(
    shards: abc.Mapping[str, Shard],
    target_ms: float,
    deadline_ms: float,
    min_coverage: float,
) -> tuple[str, ...]:
    """Returns the shards to send a query to; none when it is refused.

    Args:
      shards: What is expected of each shard.
      target_ms: Time left to the latency objective.
      deadline_ms: Time left to the deadline.
      min_coverage: Least share of the shards that makes an answer.
    """
    known = {n: s for n, s in shards.items() if s.expected_ms is not None}
    doubtful = [n for n, s in known.items() if s.is_doubtful]
    full = [
        n
        for n, s in known.items()
        if s.is_full and s.expected_ms > target_ms and not s.is_doubtful
    ]
    chosen = set(known) - set(doubtful) - set(full)
    wanted = min_coverage * len(shards) - 1e-9
    for name in sorted(full, key=lambda n: known[n].expected_ms):
        in_time = known[name].expected_ms <= FULL_SHARE * deadline_ms
        if len(chosen) < wanted and in_time:
            chosen.add(name)
    is_left_out = any(name not in chosen for name in full)
    hoped = len(chosen) + (0 if is_left_out else len(doubtful))
    if hoped < wanted:
        return ()
    # Servers that failed are asked, too: that is how their return is noticed.
    chosen.update(doubtful)
    return tuple(name for name in shards if name in chosen)


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
