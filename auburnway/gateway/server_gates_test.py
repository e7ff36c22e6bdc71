"""Tests of requests while servers ask for fewer of them."""

import dataclasses

import loguru
import pytest

from auburnway.core import route_table
from auburnway.gateway import server_report
from auburnway.gateway import testing
from auburnway.net import web_connection


def _state_limit(harness, call, limit):
    """Answers a call successfully; its server states a rate limit."""
    harness.answer(call, headers={b"x-rate-limit": limit})


def test_limited_server_leaves_requests_to_its_sibling():
    # Guards against requests beyond the limit that a server stated.
    harness = testing.GatewayHarness(shards=("a",), gather=None)
    harness.single()
    (first,) = harness.pool.sent
    _state_limit(harness, first, b"0.5")
    for _ in range(20):
        harness.single()
        call = harness.pool.sent[-1]
        if call.address == first.address:
            _state_limit(harness, call, b"0.5")
        else:
            harness.answer(call)
    addresses = [call.address for call in harness.pool.sent[1:]]
    assert addresses.count(first.address) <= 3
    assert all(answer.status == 200 for answer in harness.answers)


def test_limit_ends_with_the_replies_that_state_it():
    # Guards against a limit that outlasts the need of its server.
    harness = testing.GatewayHarness(shards=("a",), servers=1, gather=None)
    harness.single()
    _state_limit(harness, harness.pool.sent[-1], b"1")
    harness.single()
    harness.answer(harness.pool.sent[-1])
    for _ in range(10):
        harness.single()
        harness.answer(harness.pool.sent[-1])
    assert len(harness.answers) == 12


def test_unreadable_limit_leaves_the_last_one_in_force():
    # Guards against all traffic for a server in need that states a limit in a
    # form that cannot be read.
    harness = testing.GatewayHarness(shards=("a",), servers=1, gather=None)
    harness.single()
    _state_limit(harness, harness.pool.sent[-1], b"0.25")
    for _ in range(20):
        count = len(harness.pool.sent)
        harness.single()
        for call in harness.pool.sent[count:]:
            _state_limit(harness, call, b"a few")
    assert len(harness.pool.sent) <= 6


def test_new_start_of_a_server_has_no_limit():
    # Guards against a limit that outlives the process that stated it.
    harness = testing.GatewayHarness(shards=("a",), servers=1, gather=None)
    harness.single()
    _state_limit(harness, harness.pool.sent[-1], b"0")
    restarted = dataclasses.replace(testing.row("a", 0), started_ms=2)
    harness.feed.table.put(restarted, 0.0)
    for _ in range(10):
        harness.single()
    assert len(harness.pool.sent) == 11


def test_request_beyond_all_limits_is_refused_with_a_true_time():
    # Guards against a request that waits for its deadline although no server
    # may be sent it, and against a client that comes back too early.
    harness = testing.GatewayHarness(shards=("a",), servers=1, gather=None)
    harness.single()
    _state_limit(harness, harness.pool.sent[-1], b"0.25")
    while len(harness.answers) < len(harness.pool.sent) + 1:
        harness.single()
        for call in harness.pool.sent[len(harness.answers) :]:
            _state_limit(harness, call, b"0.25")
        assert len(harness.pool.sent) < 10
    answer = harness.answers[-1]
    assert (answer.status, answer.reason) == (503, "rate_limited")
    wait_s = float(dict(answer.headers)[b"Retry-After"])
    assert 1.0 < wait_s < 5.0
    sent_count = len(harness.pool.sent)
    harness.advance(wait_s * 1000 + 1)
    harness.single()
    assert len(harness.pool.sent) == sent_count + 1


def test_limited_shard_is_left_out_of_the_answer():
    # Guards against a query that fails because one of its shards is limited.
    harness = testing.GatewayHarness(servers=1)
    for _ in range(8):
        harness.gather()
        for call in harness.pool.sent:
            if call.address.startswith("a"):
                _state_limit(harness, call, b"0.25")
            else:
                harness.answer(call)
        harness.pool.sent.clear()
        harness.advance(100)
    assert all(answer.status == 200 for answer in harness.answers)
    assert harness.answers[-1].coverage == 0.5


def _refuse(harness, call, pause):
    fields = {b"x-not-started": b"1", b"retry-after": pause}
    call.on_reply(web_connection.Reply(503, (), fields))


def test_paused_server_gets_no_request_until_then():
    # Guards against requests to a server that asked for a pause.
    harness = testing.GatewayHarness(shards=("a",), gather=None)
    harness.single()
    first = harness.pool.sent[0]
    _refuse(harness, first, b"4")
    for _ in range(38):
        harness.single()
        harness.answer(harness.pool.sent[-1])
        harness.advance(100)
    addresses = [call.address for call in harness.pool.sent[1:]]
    assert first.address not in addresses


def test_all_servers_paused_is_refused_at_once_with_a_true_time():
    # Guards against a request that is held, or asked back too early.
    harness = testing.GatewayHarness(shards=("a",), servers=1, gather=None)
    harness.single()
    _refuse(harness, harness.pool.sent[0], b"4")
    harness.advance(200)
    harness.single()
    answer = harness.answers[-1]
    assert (answer.status, answer.reason) == (503, "paused")
    wait_s = float(dict(answer.headers)[b"Retry-After"])
    assert 3.8 <= wait_s <= 4.3
    harness.advance(1000 * wait_s + 1)
    harness.single()
    harness.single()
    # One request at a time at first.
    assert len(harness.pool.sent) == 2
    harness.answer(harness.pool.sent[-1])
    assert harness.answers[-1].status == 200


@pytest.mark.parametrize(
    "pause", [b"-5", b"soon", b"Wed, 21 Oct 2026 07:28:00 GMT", b"1e9", b""]
)
def test_pause_that_is_no_number_is_ignored_and_logged(pause):
    # Guards against a server that is lost because of a header.
    lines = []
    sink = loguru.logger.add(lambda text: lines.append(text.record))
    try:
        harness = testing.GatewayHarness(shards=("a",), servers=1, gather=None)
        harness.single()
        _refuse(harness, harness.pool.sent[0], pause)
        harness.advance(100)
        harness.single()
    finally:
        loguru.logger.remove(sink)
    assert len(harness.pool.sent) == 2
    assert "ignored headers of a backend server" in [
        line["message"] for line in lines
    ]


def test_part_that_waits_is_not_sent_for_an_answer_that_must_fail():
    # Guards against requests of a limited server that are spent on a query
    # whose other parts are lost.
    shards = ("a", "b")
    gather = route_table.Gather(shards, 3, 1.0)
    harness = testing.GatewayHarness(shards, servers=1, gather=gather)
    harness.dispatcher.gates.on_report(
        testing.row("a", 0), server_report.ServerReport(limit_per_s=6.0)
    )
    for _ in range(4):
        harness.dispatcher.gates.on_send(testing.row("a", 0))
    harness.gather()
    assert harness.sent_to("a") == []
    harness.lose_connection(harness.sent_to("b")[0])
    harness.advance(999)
    assert harness.sent_to("a") == []
    assert harness.answers[0].status in (502, 503)
