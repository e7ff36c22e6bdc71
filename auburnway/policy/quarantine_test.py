"""Tests of strikes, trials, refusals and canaries."""

import hypothesis
from hypothesis import strategies as st

from auburnway.policy import quarantine

WINDOW_MS = 1000.0
KEY = quarantine.fingerprint("caller", "kind", b"query")


@hypothesis.given(st.lists(st.text(max_size=3), min_size=2, max_size=2))
def test_fingerprints_differ_by_each_part(parts):
    # Guards against one caller's strikes that concern another's request.
    caller, kind = parts
    query = b"query"
    known = quarantine.fingerprint(caller, kind, query)
    assert known == quarantine.fingerprint(caller, kind, query)
    assert known != quarantine.fingerprint(caller + "x", kind, query)
    assert known != quarantine.fingerprint(caller, kind + "x", query)
    assert known != quarantine.fingerprint(caller, kind, query + b"x")
    # The parts do not run together.
    moved = quarantine.fingerprint(caller + "x", "y" + kind, query)
    assert moved != quarantine.fingerprint(caller + "xy", kind, query)


def test_a_struck_request_needs_a_trial_for_the_window():
    # Guards against a crashing request that runs freely, and against one that
    # is held for good.
    book = quarantine.Quarantine(WINDOW_MS)
    assert not book.needs_trial(KEY, 0.0)
    assert book.strike(KEY, "server/1", 0.0)
    assert not book.strike(KEY, "server/1", 10.0)
    assert book.strike(KEY, "server/2", 10.0)
    assert book.needs_trial(KEY, WINDOW_MS + 5.0)
    assert not book.needs_trial(KEY, WINDOW_MS + 10.0)


def test_a_refusal_ends_and_is_not_shortened():
    # Guards against a refusal that is lost to an earlier end.
    book = quarantine.Quarantine(WINDOW_MS)
    book.refuse(KEY, 500.0)
    book.refuse(KEY, 100.0)
    assert book.refused(KEY, 499.0)
    assert not book.refused(KEY, 500.0)


def test_a_cleared_strike_does_not_return_from_a_peer():
    # Guards against an innocent request that is held again by a late relay.
    book = quarantine.Quarantine(WINDOW_MS)
    peer = quarantine.Quarantine(WINDOW_MS)
    book.strike(KEY, "server/1", 0.0)
    # The peer's monotonic clock is 5,000 ms ahead.
    assert peer.merge(book.export(100.0), 5_100.0) == (
        (KEY, "server/1", 100.0),
    )
    assert peer.needs_trial(KEY, 5_999.0)
    assert not peer.needs_trial(KEY, 6_000.0)
    book.refuse(KEY, 900.0)
    book.clear(KEY)
    peer.strike(KEY, "server/1", 5_200.0)
    assert book.merge(peer.export(5_300.0), 300.0) == ()
    assert not book.needs_trial(KEY, 300.0)
    assert not book.refused(KEY, 300.0)


def test_a_canary_is_needed_until_success_and_after_a_strike():
    # Guards against one crashing request that loses a server per shard.
    book = quarantine.Quarantine(WINDOW_MS)
    assert book.needs_canary(KEY)
    book.seen_ok(KEY)
    assert not book.needs_canary(KEY)
    book.strike(KEY, "server/1", 0.0)
    assert book.needs_canary(KEY)


def test_memory_is_bounded():
    # Guards against growth with the number of distinct requests.
    book = quarantine.Quarantine(WINDOW_MS)
    for number in range(quarantine.MAX_SEEN + 10):
        book.seen_ok(f"ok{number}")
        book.strike(f"bad{number}", "server/1", 0.0)
    assert book.needs_canary("ok0")
    assert not book.needs_canary("ok10")
    assert len(book.export(1.0)) == quarantine.MAX_STRUCK
