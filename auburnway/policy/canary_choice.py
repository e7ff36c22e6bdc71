"""Choice of the backend server that runs an unseen query first.

A request that crashes every server may arrive at many entries within the few
milliseconds before the first of them has told the others of the loss. All
entries therefore rank shards and replicas by the same hash of the query, so
that these first runs take one server down together instead of one each.
"""

from collections import abc
import hashlib
import statistics

from auburnway.core import membership

# A replica is slow if its latency is this many times the median of the shard's
# replicas.
SLOW_FACTOR = 3.0


def shard(fingerprint: str, numbers: abc.Iterable[int]) -> int:
    """Returns the number of the shard that runs the query first.

    Args:
      fingerprint: Fingerprint of the query.
      numbers: Numbers of the shards that have replicas; at least one.
    """
    return max(numbers, key=lambda number: _rank(fingerprint, str(number)))


def replicas(
    fingerprint: str,
    rows: abc.Sequence[membership.Row],
    tried: abc.Container[str],
    latency_ms: abc.Callable[[str], float],
) -> tuple[membership.Row, ...]:
    """Returns the replica that runs the query first; none if all were tried.

    Args:
      fingerprint: Fingerprint of the query.
      rows: Usable replicas of the shard.
      tried: Names of the servers that the query was already sent to.
      latency_ms: Returns the latency estimate of a server by its name. A
        server that is much slower than the others is ranked last.
    """

    def sort_key(row: membership.Row):
        is_slow = latency_ms(row.name) > SLOW_FACTOR * usual_ms
        return (is_slow, _rank(fingerprint, row.name))

    latencies_ms = [latency_ms(row.name) for row in rows]
    usual_ms = statistics.median_low(latencies_ms) if rows else 0.0
    untried = [row for row in rows if row.name not in tried]
    return tuple(sorted(untried, key=sort_key)[:1])


def _rank(fingerprint: str, name: str) -> bytes:
    text = f"{fingerprint} {name}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
