"""Tests of the reader of replies and of its limits, without sockets."""

import gc
import weakref

import pytest

from auburnway.net import reply_reader

LIMITS = reply_reader.ReplyLimits(
    header_bytes=1000, header_count=20, body_bytes=500
)
HEAD = b"HTTP/1.1 200 OK\r\n"
PIECE = b"a" * 400


def read(*pieces, limits=LIMITS):
    reader = reply_reader.ReplyReader(limits)
    for piece in pieces:
        reader.feed(piece)
        if reader.excess:
            break
    return reader


# Each begins a reply that is followed by `piece` without end.
ENDLESS = {
    "status_line": (b"HTTP/1.1 200 ", PIECE),
    "field_name": (HEAD, PIECE),
    "field_value": (HEAD + b"A: ", PIECE),
    "fields": (HEAD, b"A: b\r\n" * 5),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 16),
    "body_of_the_connection": (HEAD + b"\r\n", PIECE),
    "chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10\r\n" + PIECE[:16] + b"\r\n",
    ),
    "chunk_extension": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n4;",
        PIECE,
    ),
    "trailers": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"A: b\r\n" * 5,
    ),
    "late_replies": (b"", HEAD + b"Content-Length: 0\r\n\r\n"),
}


@pytest.mark.parametrize("name", ENDLESS)
def test_bytes_without_end_exceed_a_limit(name):
    # Guards against a server that fills the memory of the process.
    head, piece = ENDLESS[name]
    reader = read(head, *[piece] * 200)
    assert reader.excess
    assert reader.held_bytes <= 1000 + 2 * 500 + len(piece)


# Pieces that fill a block with as many objects as they can.
SMALL_PIECES = {
    "fields": (HEAD, b"a:\r\n"),
    "trailers": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"a:\r\n"),
    "chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\na\r\n",
    ),
    "interim": (b"", b"HTTP/1.1 100 C\r\n\r\n"),
    "late_replies": (b"", HEAD + b"Content-Length: 0\r\n\r\n"),
}


@pytest.mark.parametrize("name", SMALL_PIECES)
def test_small_pieces_stop_the_parser_inside_a_block(name):
    # Guards against a block whose objects take a hundred times its size, and
    # the time of all other requests.
    head, piece = SMALL_PIECES[name]
    limits = reply_reader.ReplyLimits()
    reader = reply_reader.ReplyReader(limits)
    reader.feed(head + piece * (65536 // len(piece)))
    assert reader.excess
    assert reader.pieces <= 1 + reply_reader.FRAMING_BYTES // 4


def test_tiny_chunks_of_a_short_body_are_allowed():
    body = b"b" * 2_000
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
    limits = reply_reader.ReplyLimits()
    reader = reply_reader.ReplyReader(limits)
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    reader.feed(head + chunks + b"0\r\n\r\n")
    assert [reply.body for reply in reader.replies] == [body]


def test_closed_reader_is_freed_at_once():
    # Guards against the bytes of closed connections that stay in memory until
    # the cycle collector runs.
    reader = reply_reader.ReplyReader(reply_reader.ReplyLimits())
    reader.feed(HEAD + b"\r\n" + b"a" * 1000)
    reference = weakref.ref(reader)
    gc.disable()
    try:
        reader.close()
        del reader
        assert reference() is None
    finally:
        gc.enable()


def test_stated_length_over_the_limit_is_refused_before_the_body():
    reader = read(HEAD + b"Content-Length: 501\r\n\r\n")
    assert reader.excess == "body_bytes"
    assert reader.replies == []


def test_reply_within_the_limits_is_complete():
    body = b"b" * 500
    reader = read(HEAD + b"Content-Length: 500\r\n\r\n" + body)
    assert reader.excess == ""
    assert [reply.body for reply in reader.replies] == [body]


def test_reply_over_a_limit_is_never_complete():
    # Guards against delivering a reply whose last piece exceeds the limit.
    chunk = b"1f5\r\n" + b"b" * 501 + b"\r\n0\r\n\r\n"
    reader = read(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk)
    assert reader.excess == "body_bytes"
    assert reader.replies == []


# Forms of a head that stops before its end.
CUT_HEADS = (
    b"",
    b"HTTP/1.1 20",
    HEAD,
    HEAD + b"Response-St",
    HEAD + b"X-Signature: a",
    HEAD + b"X-Signature: a\r\n",
    HEAD + b"X-Signature: a\r\n\r",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nab",
    HEAD + b"Content-Length: 3\r\n\r\nab",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD + b"X-Signature: a\r\n",
    b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + HEAD,
)


@pytest.mark.parametrize("cut", CUT_HEADS)
def test_reply_that_is_cut_is_not_complete(cut):
    # Guards against framing a reply that was cut as a whole one.
    reader = read(cut)
    reader.end_of_stream()
    assert [r for r in reader.replies if r.status >= 200] == []


def test_bytes_after_a_reply_are_noticed():
    # Guards against taking the rest of an extra reply for the next one.
    reader = read(HEAD + b"Content-Length: 0\r\n\r\nHTTP/1.1 2")
    assert len(reader.replies) == 1
    assert reader.is_in_message


def test_body_is_kept_in_blocks_and_returned_whole():
    # Guards against a body that loses or repeats bytes at the end of a block,
    # and against one object for each small piece of it.
    size = 3 * reply_reader.BLOCK_BYTES + 7
    limits = reply_reader.ReplyLimits(body_bytes=size)
    body = bytes(i % 251 for i in range(size))
    reader = reply_reader.ReplyReader(limits)
    reader.feed(HEAD + b"Content-Length: %d\r\n\r\n" % size)
    for start in range(0, size, 1_000):
        reader.feed(body[start : start + 1_000])
    (reply,) = reader.replies
    assert reply.body == body


def test_trailers_are_no_headers():
    # Guards against a trailer that replaces the signature or the id.
    head = HEAD + b"Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    reader = read(head + b"1\r\nx\r\n0\r\nRequest-Id: b\r\n\r\n")
    (reply,) = reader.replies
    assert [v for n, v in reply.headers if n == b"Request-Id"] == [b"a"]
    assert reply.body == b"x"
