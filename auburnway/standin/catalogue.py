"""Generates records of two kinds, cloths and pit records, from a seed.

Each record contains the version of the snapshot that it was read from, so that
an answer that mixes two snapshots is detected. The same seed gives the same
records in every process: the stand-ins serve these records and the load tool
checks answers against them.
"""

from collections import abc
import functools
import random
import typing
import zlib

from auburnway.core import snapshot as snapshot_lib

Record = dict[str, typing.Any]
Query = abc.Mapping[str, typing.Any]

# Number of records that each snapshot adds, so that the weights of snapshots
# differ.
GROWTH_PER_SNAPSHOT = 16
# In each snapshot, one record in this many has other field values than in
# snapshot 0.
EDIT_PERIOD = 8

# Possible values of each text field, by kind of record.
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
    """Records of one kind in all snapshots.

    Attributes:
      kind: Key of `FIELDS`.
      seed: Random seed of the records.
      size: Number of records in snapshot 0.
    """

    def __init__(self, kind: str, seed: int, size: int):
        self.kind = kind
        self.seed = seed
        self.size = size
        self._indexes: dict[tuple[int, int], dict] = {}

    @functools.lru_cache(maxsize=16)  # noqa: B019
    def records(self, snapshot: int) -> tuple[Record, ...]:
        """Returns all records of a snapshot, sorted by id."""
        count = self.size + GROWTH_PER_SNAPSHOT * snapshot
        return tuple(self._record(i, snapshot) for i in range(count))

    def _record(self, number: int, snapshot: int) -> Record:
        is_edited = (number + snapshot) % EDIT_PERIOD == 0
        edition = snapshot if is_edited else 0
        rng = random.Random(f"{self.seed}/{self.kind}/{number}/{edition}")
        fields = FIELDS[self.kind]
        return {
            "id": f"{self.kind}-{number:06d}",
            "snapshot": snapshot,
            **{name: rng.choice(values) for name, values in fields.items()},
        }

    @functools.lru_cache(maxsize=64)  # noqa: B019
    def manifest(
        self, snapshot: int, shard_count: int
    ) -> snapshot_lib.Manifest:
        """Returns the weight of each shard of a snapshot."""
        weights = [0] * shard_count
        for record in self.records(snapshot):
            weights[shard_of(record["id"], shard_count)] += 1
        return snapshot_lib.Manifest(snapshot, tuple(enumerate(weights)))

    def matching_records(
        self,
        query: Query,
        snapshot: int,
        shard_count: int = 1,
        shards: abc.Collection[int] = (0,),
    ) -> list[Record]:
        """Returns the records that match a query, sorted by id.

        Args:
          query: Field values that a record must have; names that are not
            text fields are ignored.
          snapshot: Version of the snapshot that the query reads.
          shard_count: Number of shards of that snapshot.
          shards: Shards to read; by default the whole snapshot.
        """
        index = self._index(snapshot, shard_count)
        text_fields = FIELDS[self.kind]
        conditions = [
            (field, required)
            for field, required in query.items()
            if field in text_fields
        ]
        matches: list[Record] = []
        for shard in shards:
            if not conditions:
                matches.extend(index.get((shard, None, None), ()))
                continue
            (name, value), *other_conditions = conditions
            matches.extend(
                record
                for record in index.get((shard, name, value), ())
                if all(
                    record[field] == required
                    for field, required in other_conditions
                )
            )
        return sorted(matches, key=lambda record: record["id"])

    def _index(self, snapshot: int, shard_count: int) -> dict:
        cache_key = (snapshot, shard_count)
        if cache_key not in self._indexes:
            index: dict[tuple, list[Record]] = {}
            for record in self.records(snapshot):
                shard = shard_of(record["id"], shard_count)
                index.setdefault((shard, None, None), []).append(record)
                for name in FIELDS[self.kind]:
                    index_key = (shard, name, record[name])
                    index.setdefault(index_key, []).append(record)
            self._indexes[cache_key] = index
        return self._indexes[cache_key]

    def sample_query(self, rng: random.Random) -> dict[str, str]:
        """Returns a query for random values of two fields."""
        fields = FIELDS[self.kind]
        names = rng.sample(sorted(fields), 2)
        return {name: rng.choice(fields[name]) for name in names}


def shard_of(record_id: str, shard_count: int) -> int:
    """Returns the shard of a record in a snapshot with this many shards."""
    return zlib.crc32(record_id.encode()) % shard_count


@functools.cache
def shared_catalogue(kind: str, seed: int, size: int) -> Catalogue:
    """Returns the catalogue that the process shares for these values."""
    return Catalogue(kind, seed, size)
