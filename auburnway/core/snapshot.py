"""Snapshots of an index, and selection of the snapshot that a query reads.

A manifest maps the shards of one snapshot to their weights. A query is pinned
to one manifest, so that its answer reflects one snapshot and one shard map
even while data is repartitioned.
"""

from collections import abc
import dataclasses


@dataclasses.dataclass(frozen=True)
class Holding:
    """One shard of one snapshot, held by a backend server."""

    snapshot: int
    shard: int


@dataclasses.dataclass(frozen=True)
class Manifest:
    """Shard map of one snapshot.

    Attributes:
      snapshot: Version of the index.
      weights: Pairs of shard and weight (records in the shard), by shard.
    """

    snapshot: int
    weights: tuple[tuple[int, int], ...]

    @property
    def total_weight(self) -> int:
        """Weight of the whole snapshot."""
        return sum(weight for _, weight in self.weights)


@dataclasses.dataclass(frozen=True)
class Coverage:
    """Share of a snapshot that an answer covers.

    Attributes:
      covered_weight: Weight of the shards that answered.
      total_weight: Weight of all shards of the snapshot.
      missing_shards: Shards that did not answer, sorted.
    """

    covered_weight: int
    total_weight: int
    missing_shards: tuple[int, ...]

    @property
    def share(self) -> float:
        """Part of the snapshot that is covered, 0 to 1."""
        if not self.total_weight:
            return 0.0
        return self.covered_weight / self.total_weight


def coverage(manifest: Manifest, answered: abc.Collection[int]) -> Coverage:
    """Returns the coverage of an answer.

    Args:
      manifest: Shard map that the query was pinned to.
      answered: Shards whose replies are included in the answer.
    """
    covered = sum(w for shard, w in manifest.weights if shard in answered)
    missing = tuple(s for s, _ in manifest.weights if s not in answered)
    return Coverage(covered, manifest.total_weight, missing)


def choose_manifest(
    manifests: abc.Iterable[Manifest],
    is_served: abc.Callable[[int, int], bool],
) -> Manifest | None:
    """Selects the snapshot that a query reads.

    This is the newest snapshot of which all shards are served. If there is
    none, it is the snapshot with the greatest served share, or the newest of
    these on a tie.

    Args:
      manifests: Known manifests, in any order.
      is_served: Function of (snapshot, shard) that returns whether a usable
        replica holds the shard.

    Returns:
      The manifest, or None when no snapshot is known.
    """
    best: tuple[float, int] | None = None
    chosen = None
    for manifest in manifests:
        served = [
            shard
            for shard, _ in manifest.weights
            if is_served(manifest.snapshot, shard)
        ]
        rating = (coverage(manifest, served).share, manifest.snapshot)
        if best is None or rating > best:
            best, chosen = rating, manifest
    return chosen
