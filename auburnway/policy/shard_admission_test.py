"""Admission of queries to shards of which some lack room."""

from auburnway.policy import shard_admission


def plan(late, none=0, count=10, min_coverage=0.89):
    expected = {f"s{i}": 50.0 for i in range(count)}
    for i in range(late):
        expected[f"s{i}"] = 500.0
    for i in range(late, late + none):
        expected[f"s{i}"] = None
    return shard_admission.plan(expected, 100.0, min_coverage)


def test_all_shards_when_all_have_room():
    assert len(plan(0).shards) == 10


def test_shard_without_room_is_left_out_of_a_partial_answer():
    assert plan(1).shards == tuple(f"s{i}" for i in range(1, 10))


def test_shard_without_a_server_is_left_out():
    assert len(plan(0, none=1).shards) == 9


def test_query_is_refused_when_too_many_shards_lack_room():
    assert plan(2).is_refused
    assert not plan(2, min_coverage=0.75).is_refused


def test_coverage_of_one_needs_all():
    assert plan(1, min_coverage=1.0).is_refused
    assert not plan(0, min_coverage=1.0).is_refused


def test_single_shard_is_never_left_out_of_an_admitted_query():
    assert plan(1, count=1, min_coverage=0.0).is_refused


def test_prober_admits_one_query_per_period():
    # Without probes a wrong estimate would refuse for ever.
    prober = shard_admission.Prober()
    assert prober.is_due("r", 0.0)
    prober.on_admitted("r", 0.0)
    assert not prober.is_due("r", shard_admission.PROBE_MS - 1)
    assert prober.is_due("r", shard_admission.PROBE_MS)
    assert prober.is_due("other", 1.0)
