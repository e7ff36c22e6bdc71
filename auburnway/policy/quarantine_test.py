"""Tests of strikes, trials, refusals and canaries."""

from auburnway.policy import quarantine

WINDOW_MS = 1000.0
KEY = quarantine.fingerprint("ab", "cd", b"ef")


def test_fingerprints_differ_by_each_part():
    # Guards against one caller's strikes that concern another's request.
    parts = [("ab", "cd", b"e"), ("abc", "d", b"ef"), ("a", "bcd", b"ef")]
    parts += [("ab", "c", b"def"), ("ab", "cde", b"f")]
    keys = {quarantine.fingerprint(*part) for part in parts}
    assert len(keys | {KEY}) == 6
    assert quarantine.fingerprint("ab", "cd", b"ef") == KEY


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
    assert book.refused(KEY, 499.0) and not book.refused(KEY, 500.0)


def test_a_cleared_strike_does_not_return_from_a_peer():
    # Guards against an innocent request that is held again by a late relay.
    book = quarantine.Quarantine(WINDOW_MS)
    peer = quarantine.Quarantine(WINDOW_MS)
    book.strike(KEY, "server/1", 0.0)
    # The peer's monotonic clock is 5,000 ms ahead.
    new = peer.merge(book.export(100.0), 5_100.0)
    assert new == ((KEY, "server/1", 100.0),)
    assert peer.needs_trial(KEY, 5_999.0)
    assert not peer.needs_trial(KEY, 6_000.0)
    book.refuse(KEY, 900.0)
    book.clear(KEY)
    peer.strike(KEY, "server/1", 5_200.0)
    assert book.merge(peer.export(5_300.0), 300.0) == ()
    assert not book.needs_trial(KEY, 300.0) and not book.refused(KEY, 300.0)


def test_canaries_and_memory():
    # Guards against one crashing request that loses a server per shard, and
    # against growth with the number of distinct requests.
    book = quarantine.Quarantine(WINDOW_MS)
    for number in range(quarantine.MAX_SEEN + 10):
        assert book.needs_canary(f"ok{number}")
        book.seen_ok(f"ok{number}")
        book.strike(f"bad{number}", "server/1", 0.0)
    assert book.needs_canary("ok0") and not book.needs_canary("ok10")
    assert len(book.export(1.0)) == quarantine.MAX_STRUCK
    book.strike("ok10", "server/1", 0.0)
    assert book.needs_canary("ok10")
