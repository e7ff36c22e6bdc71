"""Tests of the containment of requests that crash backend servers."""

import hypothesis
from hypothesis import strategies

from auburnway.policy import crash_containment as containment_lib

KEY = containment_lib.fingerprint(b"POST", b"/x", b"body")
State = containment_lib.State


def struck(*servers):
    containment = containment_lib.Containment()
    for i, server in enumerate(servers):
        containment.strike(KEY, server, float(i))
    return containment


def test_one_lost_server_is_no_evidence():
    # Guards against refusing all requests that ran beside a crashing one.
    assert struck("a/1").state(KEY, 1.0) is State.FREE
    # Several entries report the same loss.
    assert struck("a/1", "a/1").state(KEY, 1.0) is State.FREE


def test_two_lost_servers_quarantine_a_request():
    # Guards against a crashing request that is retried each time it comes.
    containment = struck("a/1", "b/1")
    assert containment.state(KEY, 2.0) is State.QUARANTINED
    assert containment.wait_ms(KEY, 2.0) == 9_999.0
    assert not containment.grant_trial(KEY, 2.0)


def test_trials_exclude_each_other():
    # Guards against one trial for each entry, each of which loses a server.
    containment = struck("a/1", "b/1")
    due_ms = 1.0 + containment_lib.FIRST_PAUSE_MS
    assert containment.state(KEY, due_ms) is State.TRIAL
    assert containment.grant_trial(KEY, due_ms)
    assert not containment.grant_trial(KEY, due_ms + 1.0)
    # A trial that nobody ends blocks the request for a time only.
    assert containment.grant_trial(KEY, due_ms + containment_lib.TRIAL_MS)


def test_few_servers_are_lost_however_often_the_request_comes():
    # Guards against pauses that do not grow: a trial as soon as one is allowed
    # must lose few servers in an hour.
    containment, now_ms, lost = struck("a/1", "b/1"), 1.0, 2
    while True:
        now_ms += containment.wait_ms(KEY, now_ms)
        if now_ms > 3_600_000.0:
            break
        assert containment.grant_trial(KEY, now_ms)
        containment.strike(KEY, f"c/{lost}", now_ms)
        lost += 1
    assert lost <= 7


def test_survivor_clears_a_request():
    containment = struck("a/1", "b/1")
    assert containment.clear(KEY)
    assert not containment.clear(KEY)
    assert containment.state(KEY, 2.0) is State.FREE
    assert containment.grant_trial(KEY, 2.0)


def test_news_of_fewer_strikes_change_nothing():
    # Guards against a pause that the news of another process shorten.
    containment = struck("a/1", "b/1", "c/1")
    assert not containment.merge(KEY, 2, 50.0)
    assert containment.wait_ms(KEY, 2.0) == 40_000.0
    assert containment.merge(KEY, 4, 50.0)
    assert containment.wait_ms(KEY, 50.0) == 160_000.0


@hypothesis.given(strategies.integers(2, 10**6))
def test_pause_is_bounded(strikes):
    # Guards against a power that overflows after many strikes.
    pause_ms = containment_lib.pause_ms(strikes)
    assert (
        containment_lib.FIRST_PAUSE_MS
        <= pause_ms
        <= containment_lib.MAX_PAUSE_MS
    )


def test_memory_is_bounded():
    containment = containment_lib.Containment()
    for n in range(containment_lib.MAX_RECORDS + 10):
        containment.strike(n.to_bytes(16, "big"), "a/1", float(n))
    assert len(containment) == containment_lib.MAX_RECORDS
    containment.purge(1e9)
    assert len(containment) == 0


def test_fingerprints_differ_by_each_part():
    parts = [(b"a", b"bc"), (b"ab", b"c"), (b"abc", b""), (b"", b"abc")]
    keys = {containment_lib.fingerprint(*pair) for pair in parts}
    assert len(keys) == len(parts)
