"""Tests of the size of reads."""

from auburnway.net import parse_limit

FULL_BYTES = 65_536


def test_ordinary_peer_is_never_costly():
    # Guards against delaying each request because it has headers.
    size = parse_limit.ReadSize(FULL_BYTES)
    assert size.next_bytes() == parse_limit.SHORT_READ_BYTES
    for _ in range(3):
        size.pieces += 60
        assert not size.is_costly
        assert size.next_bytes() == FULL_BYTES


def test_peer_with_tiny_pieces_gets_short_reads_until_it_stops():
    size = parse_limit.ReadSize(FULL_BYTES)
    size.next_bytes()
    size.pieces += 400
    assert size.is_costly
    assert size.next_bytes() == parse_limit.SHORT_READ_BYTES
    size.pieces += 5
    assert size.next_bytes() == FULL_BYTES
