"""Tests of the choice among the servers of one service."""

import random

from auburnway.policy import server_choice

BASE_MS = 20.0


def candidate(key, server=None, penalty_ms=0.0, is_last_resort=False):
    server = server or server_choice.ServerStats(slots=3)
    return server_choice.Candidate(key, server, penalty_ms, is_last_resort)


def chosen(candidates, now_ms=1000.0):
    rng = random.Random(1)
    picks = [
        server_choice.choose(candidates, now_ms, BASE_MS, rng).key
        for _ in range(50)
    ]
    return max(set(picks), key=picks.count)


def test_choice_without_candidates_is_none():
    assert server_choice.choose([], 0.0, BASE_MS, random.Random(1)) is None


def test_paused_server_is_avoided_before_any_reply():
    # The age of an outstanding request shows a pause of 150 ms before any
    # reply does.
    paused = server_choice.ServerStats(slots=3)
    paused.on_send(900.0)
    pair = [candidate("paused", paused), candidate("other", penalty_ms=5.0)]
    assert chosen(pair) == "other"


def test_slow_server_is_avoided_and_tried_again_later():
    slow = server_choice.ServerStats(slots=3)
    for i in range(10):
        slow.on_send(i * 10.0)
        slow.on_reply(i * 10.0, 1000.0, 8.0)
    pair = [candidate("slow", slow), candidate("other", penalty_ms=5.0)]
    assert chosen(pair) == "other"
    assert chosen(pair, 1000.0 + 5 * server_choice.DECAY_TAU_MS) == "slow"


def test_full_server_is_avoided():
    full = server_choice.ServerStats(slots=3)
    full.on_load(3, 4, 1000.0)
    pair = [candidate("full", full), candidate("other", penalty_ms=5.0)]
    assert chosen(pair) == "other"


def test_server_that_rejects_is_avoided():
    # Health checks may pass while more than half of the requests are rejected.
    shedding = server_choice.ServerStats(slots=3)
    for _ in range(5):
        shedding.on_send(990.0)
        shedding.on_rejected(990.0, 1000.0)
    pair = [candidate("shedding", shedding), candidate("other", penalty_ms=5.0)]
    assert chosen(pair) == "other"


def test_failed_server_is_used_when_no_other_is_left():
    failed = server_choice.ServerStats(slots=3)
    failed.on_send(990.0)
    failed.on_failure(990.0, 1000.0)
    assert chosen([candidate("failed", failed)]) == "failed"
    pair = [candidate("failed", failed), candidate("far", penalty_ms=5.0)]
    assert chosen(pair) == "far"
    assert not server_choice.is_usable(pair[0], 1000.0)


def test_queueing_does_not_raise_slowness():
    # A latency that the queue explains must not change the slowness.
    server = server_choice.ServerStats(slots=1)
    server.on_load(1, 3, 1000.0)
    expected_ms = BASE_MS * server.queue_factor(1000.0)
    server.on_send(1000.0)
    server.on_reply(1000.0, 1000.0 + expected_ms, 1.0)
    assert server.slowness == 1.0


def near_share(near_ratio, far_ratio, seed):
    """Returns how often the near one of two servers with noise is chosen."""
    rng = random.Random(seed)
    chosen = 0
    for _ in range(200):
        pair = []
        for key, ratio, penalty_ms in (
            ("near", near_ratio, 0.0),
            ("far", far_ratio, 3.0),
        ):
            server = server_choice.ServerStats(slots=3)
            for n in range(6):
                server.on_send(n * 50.0)
                latency = ratio * rng.lognormvariate(0.0, 0.35)
                server.on_reply(n * 50.0, 300.0, latency)
            pair.append(candidate(key, server, penalty_ms))
        chosen += server_choice.choose(pair, 310.0, 40.0, rng).key == "near"
    return chosen / 200


def test_noise_of_few_samples_sends_no_request_to_another_data_centre():
    # Guards against an entry that sees a few requests a second and takes the
    # noise of their latencies for a faster server elsewhere.
    assert near_share(1.0, 1.0, 1) > 0.9


def test_much_slower_server_of_the_own_data_centre_is_left():
    # Guards against nearness that keeps requests at a slow server.
    assert near_share(2.5, 1.0, 1) < 0.05


def test_busy_server_of_the_own_data_centre_is_left():
    busy = server_choice.ServerStats(slots=3)
    busy.on_load(3, 1, 1000.0)
    pair = [candidate("near", busy), candidate("far", penalty_ms=5.0)]
    assert chosen(pair) == "far"


def test_server_that_fails_part_of_its_requests_gets_few():
    # Guards against a server that loses two of five answers and gets its share
    # of the requests again after each pause.
    rng = random.Random(3)
    servers = {key: server_choice.ServerStats(slots=3) for key in "abc"}
    counts = dict.fromkeys(servers, 0)
    for n in range(200):
        now_ms = n * 100.0
        best = server_choice.choose(
            [candidate(key, stats) for key, stats in servers.items()],
            now_ms,
            BASE_MS,
            rng,
        )
        counts[best.key] += 1
        best.stats.on_send(now_ms)
        if best.key == "a" and rng.random() < 0.4:
            best.stats.on_failure(now_ms, now_ms + 20.0)
        else:
            best.stats.on_reply(now_ms, now_ms + 20.0, 1.0)
    assert counts["a"] < 20


def test_server_that_failed_once_is_used_again():
    stats = server_choice.ServerStats(slots=3)
    stats.on_send(0.0)
    stats.on_failure(0.0, 20.0)
    pair = [candidate("failed", stats), candidate("far", penalty_ms=3.0)]
    assert chosen(pair, 300.0) == "far"
    assert chosen(pair, 5000.0) == "failed"


def test_server_that_always_fails_is_avoided_for_a_bounded_time():
    # Guards against a power that overflows after 1,024 failures.
    stats = server_choice.ServerStats()
    for number in range(3_000):
        stats.on_failure(float(number), float(number))
    assert stats.avoid_until_ms == 2_999.0 + server_choice.MAX_FAILURE_PAUSE_MS
