"""Tests of the choice of the server that runs an unseen query first."""

from auburnway.core import membership
from auburnway.policy import canary_choice


def row(name):
    return membership.Row(
        name=name,
        started_ms=1,
        sequence=1,
        application="finder",
        address=f"{name}:80",
        data_center="dc1",
        state=membership.State.SERVING,
        slots=3,
        connection_limit=40,
        holdings=(),
        manifests=(),
    )


ROWS = tuple(row(f"s{i}") for i in range(3))


def first(fingerprint, rows=ROWS, tried=(), latency_ms=lambda name: 10.0):
    return canary_choice.replicas(fingerprint, rows, tried, latency_ms)


def test_all_entries_choose_the_same_server():
    # Guards against a crashing query that takes one server for each entry.
    for i in range(20):
        assert first(f"q{i}") == first(f"q{i}", ROWS[::-1])
        shards = canary_choice.shard(f"q{i}", range(10))
        assert shards == canary_choice.shard(f"q{i}", reversed(range(10)))


def test_queries_are_spread_over_all_servers():
    # Guards against a single server that runs all unseen queries.
    chosen = [first(f"q{i}")[0].name for i in range(300)]
    assert all(70 <= chosen.count(r.name) <= 130 for r in ROWS)
    shards = [canary_choice.shard(f"q{i}", range(3)) for i in range(300)]
    assert all(70 <= shards.count(number) <= 130 for number in range(3))


def test_tried_servers_are_left_out():
    names = set()
    while chosen := first("q", tried=names):
        names.add(chosen[0].name)
    assert len(names) == 3


def test_slow_server_runs_an_unseen_query_only_as_the_last():
    # Guards against unseen queries that wait for a server that stands still.
    def latency_ms(name):
        return 200.0 if name == "s1" else 10.0

    chosen = {first(f"q{i}", latency_ms=latency_ms)[0] for i in range(50)}
    assert chosen == {ROWS[0], ROWS[2]}
    others = {"s0", "s2"}
    assert first("q", tried=others, latency_ms=latency_ms) == (ROWS[1],)
