"""Tests of what a reply states of its server."""

import pytest

from auburnway.gateway import server_report
from auburnway.gateway import testing
from auburnway.net import web_connection


def decode(name, value, status=200):
    reply = web_connection.Reply(status, fields={name: value})
    return server_report.decode(testing.DIALECT, reply)


@pytest.mark.parametrize(
    ("text", "limit_per_s"),
    [
        (b"3.3333333333333335", 10 / 3),
        (b"0.30000000000000004", 0.1 + 0.2),
        (b"1e-05", 1e-5),
        (b"1e+16", server_report.MAX_LIMIT_PER_S),
    ],
)
def test_limit_in_double_precision_is_read(text, limit_per_s):
    # Guards against a server that gets all traffic because its limit has many
    # digits.
    report = decode(testing.DIALECT.limit, text)
    assert (report.limit_per_s, report.invalid) == (limit_per_s, ())


def test_pause_in_double_precision_is_read():
    report = decode(testing.DIALECT.pause, b"0.30000000000000004", 503)
    assert report.pause_ms == pytest.approx(300.0)


def test_load_of_any_length_is_read():
    # Guards against an exception in the processing of the reply.
    report = decode(testing.DIALECT.load, b"%s,0,3" % (b"9" * 5000))
    assert report.load.running == server_report.MAX_LOAD
    assert decode(testing.DIALECT.load, b"1,x,3").load is None
