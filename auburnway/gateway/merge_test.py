"""Tests of merging the records of several shards."""

from hypothesis import given
from hypothesis import strategies as st

from auburnway.gateway import merge

record = st.binary(min_size=16, max_size=16)


@given(
    st.lists(st.lists(record, max_size=6), max_size=4),
    st.binary(max_size=15),
    st.integers(1, 10),
)
def test_greatest_records_in_descending_order(shards, rest, count):
    bodies = [b"".join(records) + rest for records in shards]
    everything = sorted(r for records in shards for r in records)[::-1]
    assert merge.top_records(bodies, count) == b"".join(everything[:count])


def test_equal_records_all_count():
    assert merge.top_records([b"x" * 32, b"x" * 16], 3) == b"x" * 48
