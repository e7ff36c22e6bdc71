"""Seeded records of the two sites, so that answers can be checked.

Each record carries the snapshot version that it was read from, so that an
answer mixed from two snapshots shows. The same seed gives the same records in
every process: the stand-ins serve them and the load tool checks against them.
"""

from collections import abc
import functools
import random
import typing
import zlib

from auburnway.core import snapshot as snapshot_lib

Record = dict[str, typing.Any]
Query = abc.Mapping[str, typing.Any]

# Each snapshot adds this many records, so that weights differ.
GROWTH_PER_SNAPSHOT = 16
# One record in this many has another text in each snapshot.
EDIT_PERIOD = 8

# Values of the text fields by kind of record.
FIELDS = {
    "cloth": {
        "weave": ("twill", "plain", "satin", "herringbone", "double"),
        "pattern": ("diamond", "caernarfon", "stripe", "check", "star"),
        "colour": ("madder", "indigo", "walnut", "heather", "undyed"),
        "mill": ("trefriw", "solva", "melin", "rock", "curlew", "bryn"),
    },
    "pit_record": {
        "pit": ("barbara", "josef", "erb", "falkenstein", "ringenwechsel"),
        "ore": ("copper", "silver", "salt", "iron", "fahlerz"),
        "gallery": ("upper", "lower", "water", "drift", "cross"),
        "shift": ("early", "late", "night", "repair"),
    },
}


class Catalogue:
    """Records of one kind at every snapshot.

    Attributes:
      kind: Key of `FIELDS`.
      seed: Same seed, same records.
      size: Records in snapshot 0.
    """

    def __init__(self, kind: str, seed: int, size: int):
        self.kind = kind
        self.seed = seed
        self.size = size
        self._indexes: dict[tuple[int, int], dict] = {}

    @functools.lru_cache(maxsize=16)  # noqa: B019
    def records(self, snapshot: int) -> tuple[Record, ...]:
        """Returns all records of a snapshot, by id."""
        count = self.size + GROWTH_PER_SNAPSHOT * snapshot
        return tuple(self._record(i, snapshot) for i in range(count))

    def _record(self, number: int, snapshot: int) -> Record:
        edited = (number + snapshot) % EDIT_PERIOD == 0
        edition = snapshot if edited else 0
        rng = random.Random(f"{self.seed}/{self.kind}/{number}/{edition}")
        fields = FIELDS[self.kind]
        return {
            "id": f"{self.kind}-{number:06d}",
            "snapshot": snapshot,
            **{name: rng.choice(words) for name, words in fields.items()},
        }

    @functools.lru_cache(maxsize=64)  # noqa: B019
    def manifest(
        self, snapshot: int, shard_count: int
    ) -> snapshot_lib.Manifest:
        """Returns the shard map of a snapshot in this many shards."""
        weights = [0] * shard_count
        for record in self.records(snapshot):
            weights[shard_of(record["id"], shard_count)] += 1
        return snapshot_lib.Manifest(snapshot, tuple(enumerate(weights)))

    def expected(
        self,
        query: Query,
        snapshot: int,
        shard_count: int = 1,
        shards: abc.Collection[int] = (0,),
    ) -> list[Record]:
        """Returns the right answer to a query, by id.

        Args:
          query: Field values that a record must have; names that are not
            text fields are ignored.
          snapshot: Version that the query reads.
          shard_count: Shards of that snapshot.
          shards: Shards to read; by default the whole snapshot.
        """
        index = self._index(snapshot, shard_count)
        names = FIELDS[self.kind]
        wanted = [(n, v) for n, v in query.items() if n in names]
        found: list[Record] = []
        for shard in shards:
            if not wanted:
                found.extend(index.get((shard, None, None), ()))
                continue
            (name, value), *rest = wanted
            found.extend(
                record
                for record in index.get((shard, name, value), ())
                if all(record[n] == v for n, v in rest)
            )
        return sorted(found, key=lambda record: record["id"])

    def _index(self, snapshot: int, shard_count: int) -> dict:
        key = (snapshot, shard_count)
        if key not in self._indexes:
            index: dict[tuple, list[Record]] = {}
            for record in self.records(snapshot):
                shard = shard_of(record["id"], shard_count)
                index.setdefault((shard, None, None), []).append(record)
                for name in FIELDS[self.kind]:
                    place = (shard, name, record[name])
                    index.setdefault(place, []).append(record)
            self._indexes[key] = index
        return self._indexes[key]

    def sample_query(self, rng: random.Random) -> dict[str, str]:
        """Returns a query for two field values that some records have."""
        fields = FIELDS[self.kind]
        names = rng.sample(sorted(fields), 2)
        return {name: rng.choice(fields[name]) for name in names}


def shard_of(record_id: str, shard_count: int) -> int:
    """Returns the shard that holds a record in a map of so many shards."""
    return zlib.crc32(record_id.encode()) % shard_count


@functools.cache
def shared(kind: str, seed: int, size: int) -> Catalogue:
    """Returns one catalogue per process for these values."""
    return Catalogue(kind, seed, size)
