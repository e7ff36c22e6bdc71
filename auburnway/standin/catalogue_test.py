import hypothesis
from hypothesis import strategies as st

from auburnway.standin import catalogue


@hypothesis.given(
    kind=st.sampled_from(sorted(catalogue.FIELDS)),
    snapshot=st.integers(0, 5),
    shard_count=st.integers(1, 12),
)
def test_shards_together_hold_each_record_once(kind, snapshot, shard_count):
    # Checks of coverage rely on each record being in exactly one shard.
    generated = catalogue.shared_catalogue(kind, 3, 100)
    all_shards = range(shard_count)
    all_records = generated.matching_records({}, snapshot)
    assert (
        generated.matching_records({}, snapshot, shard_count, all_shards)
        == all_records
    )
    manifest = generated.manifest(snapshot, shard_count)
    assert manifest.total_weight == len(all_records)
    assert {record["snapshot"] for record in all_records} == {snapshot}


def test_snapshots_differ_in_field_values():
    generated = catalogue.Catalogue("cloth", 3, 400)
    old, new = (
        [
            {**record, "snapshot": 0}
            for record in generated.matching_records({}, version)
        ]
        for version in (0, 1)
    )
    assert old != new[: len(old)]
