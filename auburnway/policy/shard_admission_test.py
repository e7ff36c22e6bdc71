"""Admission of queries to shards of which some lack room."""

from auburnway.policy import shard_admission


def plan(slow=0, full=0, none=0, count=10, min_coverage=0.89):
    shard = shard_admission.Shard
    shards = [shard(500.0)] * slow + [shard(500.0, True)] * full
    shards += [shard(None)] * none
    shards += [shard(50.0)] * (count - len(shards))
    named = {f"s{i}": shard for i, shard in enumerate(shards)}
    return shard_admission.plan(named, 100.0, min_coverage)


def test_all_shards_when_all_have_room():
    assert len(plan()) == 10


def test_full_shard_is_left_out_of_a_partial_answer():
    assert plan(full=1) == tuple(f"s{i}" for i in range(1, 10))


def test_shard_without_a_server_is_left_out():
    assert len(plan(none=1)) == 9


def test_slow_shard_with_room_is_asked():
    # Beside a dead shard, leaving out a slow one too made queries fail that
    # could be answered late.
    assert len(plan(slow=3, none=1)) == 9


def test_query_is_refused_when_too_many_shards_are_full():
    assert plan(full=2) == ()
    assert plan(full=1, none=1) == ()
    assert len(plan(full=2, min_coverage=0.75)) == 8


def test_coverage_of_one_needs_all():
    assert plan(full=1, min_coverage=1.0) == ()
    assert len(plan(min_coverage=1.0)) == 10


def test_single_shard_is_never_left_out_of_an_admitted_query():
    assert plan(full=1, count=1, min_coverage=0.0) == ()


def test_prober_admits_one_query_per_period():
    # Without probes a wrong estimate would refuse for ever.
    prober = shard_admission.Prober()
    assert prober.is_due("r", 0.0)
    prober.on_admitted("r", 0.0)
    assert not prober.is_due("r", shard_admission.PROBE_MS - 1)
    assert prober.is_due("r", shard_admission.PROBE_MS)
    assert prober.is_due("other", 1.0)
