"""Tests of query admission when some shards are full or failing."""

from auburnway.policy import shard_admission


def select_shards(
    slow=0, full=0, none=0, dead=0, queued=0, min_coverage=0.89, count=10
):
    shard = shard_admission.ShardOutlook
    shards = [shard(300.0)] * slow + [shard(900.0, True)] * full
    shards += [shard(None)] * none + [shard(50.0, False, True)] * dead
    shards += [shard(300.0, True)] * queued
    shards += [shard(50.0)] * (count - len(shards))
    named = {f"s{i}": shard for i, shard in enumerate(shards)}
    return shard_admission.select_shards(named, 100.0, 1000.0, min_coverage)


def test_full_shard_is_selected_when_another_has_failed():
    # The servers of the dead shard are known but fail. Guards against leaving
    # out a full shard as well, which made half of the queries fail.
    assert len(select_shards(dead=1, queued=1)) == 10
    assert len(select_shards(none=1, queued=1)) == 9


def test_query_is_refused_when_the_queue_exceeds_its_deadline():
    assert select_shards(none=1, full=1) == ()
    assert select_shards(dead=1, full=1) == ()


def test_failing_shard_is_selected_with_enough_others():
    # Only replies show that the shard's servers work again.
    assert len(select_shards(dead=1)) == 10
    assert len(select_shards(dead=10)) == 10


def test_all_shards_are_selected_when_none_is_full():
    assert len(select_shards()) == 10


def test_full_shard_is_left_out_of_a_partial_answer():
    assert select_shards(full=1) == tuple(f"s{i}" for i in range(1, 10))


def test_shard_without_a_server_is_left_out():
    assert len(select_shards(none=1)) == 9


def test_slow_shard_with_free_slots_is_selected():
    # Guards against leaving out slow shards in addition to a dead shard, which
    # made queries fail that could have been answered late.
    assert len(select_shards(slow=3, none=1)) == 9


def test_query_is_refused_when_too_many_shards_are_full():
    assert select_shards(full=2) == ()
    assert select_shards(full=1, none=1) == ()
    assert len(select_shards(full=2, min_coverage=0.75)) == 8


def test_full_coverage_requires_all_shards():
    assert select_shards(full=1, min_coverage=1.0) == ()
    assert len(select_shards(min_coverage=1.0)) == 10


def test_single_shard_is_never_left_out_of_an_admitted_query():
    assert select_shards(full=1, count=1, min_coverage=0.0) == ()


def test_prober_admits_one_query_per_period():
    # Without probes, a wrong estimate would refuse all queries for ever.
    probe_schedule = shard_admission.ProbeSchedule()
    assert probe_schedule.is_due("r", 0.0)
    probe_schedule.on_admitted("r", 0.0)
    assert not probe_schedule.is_due("r", shard_admission.PROBE_MS - 1)
    assert probe_schedule.is_due("r", shard_admission.PROBE_MS)
    assert probe_schedule.is_due("other", 1.0)
