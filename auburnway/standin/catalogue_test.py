import hypothesis
from hypothesis import strategies as st

from auburnway.standin import catalogue


@hypothesis.given(
    kind=st.sampled_from(sorted(catalogue.FIELDS)),
    snapshot=st.integers(0, 5),
    shard_count=st.integers(1, 12),
)
def test_shards_add_up_to_the_whole(kind, snapshot, shard_count):
    # A lost or doubled record would make coverage checks meaningless.
    records = catalogue.shared(kind, 3, 100)
    every = range(shard_count)
    whole = records.expected({}, snapshot)
    assert records.expected({}, snapshot, shard_count, every) == whole
    manifest = records.manifest(snapshot, shard_count)
    assert manifest.total_weight == len(whole)
    assert {record["snapshot"] for record in whole} == {snapshot}


def test_snapshots_differ_in_text():
    records = catalogue.Catalogue("cloth", 3, 400)
    old, new = (
        [{**r, "snapshot": 0} for r in records.expected({}, v)] for v in (0, 1)
    )
    assert old != new[: len(old)]
