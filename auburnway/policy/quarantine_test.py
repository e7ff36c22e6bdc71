"""Tests of strikes, trials, refusals and canaries."""

from auburnway.policy import quarantine

WINDOW_MS = 1000.0
FINGERPRINT = quarantine.fingerprint("ab", "cd", b"ef")


def test_fingerprints_differ_by_each_part():
    # Guards against strikes that affect another caller's request.
    parts = [("ab", "cd", b"e"), ("abc", "d", b"ef"), ("a", "bcd", b"ef")]
    parts += [("ab", "c", b"def"), ("ab", "cde", b"f")]
    keys = {quarantine.fingerprint(*part) for part in parts}
    assert len(keys | {FINGERPRINT}) == 6
    assert quarantine.fingerprint("ab", "cd", b"ef") == FINGERPRINT


def test_a_struck_request_needs_a_trial_for_the_window():
    # Guards against a crashing request that runs without a trial, and against
    # strikes that never expire.
    local = quarantine.Quarantine(WINDOW_MS)
    assert not local.needs_trial(FINGERPRINT, 0.0)
    assert local.strike(FINGERPRINT, "server/1", 0.0)
    assert not local.strike(FINGERPRINT, "server/1", 10.0)
    assert local.strike(FINGERPRINT, "server/2", 10.0)
    assert local.needs_trial(FINGERPRINT, WINDOW_MS + 5.0)
    assert not local.needs_trial(FINGERPRINT, WINDOW_MS + 10.0)


def test_a_refusal_ends_and_is_not_shortened():
    # Guards against a refusal that a later call with an earlier end shortens.
    local = quarantine.Quarantine(WINDOW_MS)
    local.refuse(FINGERPRINT, 500.0)
    local.refuse(FINGERPRINT, 100.0)
    assert local.is_refused(FINGERPRINT, 499.0) and not local.is_refused(
        FINGERPRINT, 500.0
    )


def test_a_cleared_strike_does_not_return_from_a_peer():
    # Guards against a harmless request that needs a trial again because a peer
    # relays a cleared strike late.
    local = quarantine.Quarantine(WINDOW_MS)
    peer = quarantine.Quarantine(WINDOW_MS)
    local.strike(FINGERPRINT, "server/1", 0.0)
    # The peer's monotonic clock is 5,000 ms ahead.
    new = peer.merge(local.export(100.0), 5_100.0)
    assert new == ((FINGERPRINT, "server/1", 100.0),)
    assert peer.needs_trial(FINGERPRINT, 5_999.0)
    assert not peer.needs_trial(FINGERPRINT, 6_000.0)
    local.refuse(FINGERPRINT, 900.0)
    local.clear(FINGERPRINT)
    peer.strike(FINGERPRINT, "server/1", 5_200.0)
    assert local.merge(peer.export(5_300.0), 300.0) == ()
    assert not local.needs_trial(FINGERPRINT, 300.0) and not local.is_refused(
        FINGERPRINT, 300.0
    )


def test_canaries_and_memory():
    # Guards against a crashing request that takes down a server in each shard,
    # and against memory that grows with the number of distinct requests.
    local = quarantine.Quarantine(WINDOW_MS)
    for number in range(quarantine.MAX_SUCCEEDED_REQUESTS + 10):
        assert local.needs_canary(f"ok{number}")
        local.record_success(f"ok{number}")
        local.strike(f"bad{number}", "server/1", 0.0)
    assert local.needs_canary("ok0") and not local.needs_canary("ok10")
    assert len(local.export(1.0)) == quarantine.MAX_STRUCK_REQUESTS
    local.strike("ok10", "server/1", 0.0)
    assert local.needs_canary("ok10")
