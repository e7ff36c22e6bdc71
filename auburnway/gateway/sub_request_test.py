"""Tests of sub-requests and client requests over a fake connection pool."""

import dataclasses
import random

import loguru
import pytest

from auburnway.core import route_table
from auburnway.core import server_table
from auburnway.gateway import testing
from auburnway.net import exchange

LOST = exchange.Failure.CONNECTION_LOST


def test_complete_answer():
    harness = testing.GatewayHarness()
    harness.gather()
    for call in harness.pool.sent:
        harness.answer(call, body=call.address.encode()[:1] * 16)
    (answer,) = harness.answers
    assert answer.status == 200
    assert answer.body == b"b" * 16 + b"a" * 16
    assert dict(answer.headers)[b"x-missing-parts"] == b"0"


def test_slow_send_is_hedged_and_then_cancelled():
    harness = testing.GatewayHarness()
    harness.gather()
    first = harness.sent_to("a")[0]
    harness.answer(harness.sent_to("b")[0])
    harness.advance(60)
    copy = harness.sent_to("a")[1]
    assert copy.address != first.address
    harness.answer(copy)
    assert first.cancelled
    assert harness.answers[0].coverage == 1.0


def test_hedge_is_logged_with_its_reasons():
    # The log line must contain all values that an operator needs to explain a
    # hedge.
    lines = []
    sink = loguru.logger.add(lambda text: lines.append(text.record))
    try:
        harness = testing.GatewayHarness()
        harness.gather()
        harness.answer(harness.sent_to("b")[0])
        harness.advance(60)
    finally:
        loguru.logger.remove(sink)
    (log_fields,) = [r["extra"] for r in lines if "again" in r["message"]]
    assert (log_fields["request"], log_fields["reason"]) == ("id", "hedge")
    assert {log_fields["server"], log_fields["after"]} == {"a0", "a1"}
    assert log_fields["stands_ms"] >= log_fields["expected_ms"] == 20.0
    assert 0 < log_fields["budget_left"] < 1


def test_partial_answer_at_the_objective():
    # A partial answer in time is preferred to a complete answer that is late.
    harness = testing.GatewayHarness()
    harness.gather()
    harness.answer(harness.sent_to("a")[0])
    harness.advance(96)
    assert harness.answers == []
    harness.advance(2)
    (answer,) = harness.answers
    assert (answer.status, answer.coverage) == (200, 0.5)
    assert all(c.cancelled for c in harness.sent_to("b"))


def test_late_answer_once_enough_parts_arrived():
    harness = testing.GatewayHarness()
    harness.gather()
    harness.advance(300)
    assert harness.answers == []
    harness.answer(harness.sent_to("b")[0])
    assert harness.answers[0].coverage == 0.5


def test_signed_error_reply_is_not_a_part():
    harness = testing.GatewayHarness(servers=1)
    harness.gather()
    harness.answer(harness.sent_to("a")[0], status=500)
    harness.answer(harness.sent_to("b")[0], status=404)
    assert harness.answers[0].status == 502


def test_equal_signatures_count_once():
    harness = testing.GatewayHarness()
    harness.gather()
    for call in harness.pool.sent:
        harness.answer(call, signature=b"same")
    assert harness.answers[0].coverage == 0.5


def test_status_503_only_when_no_server_ran_the_request():
    harness = testing.GatewayHarness(servers=1)
    harness.gather()
    for call in tuple(harness.pool.sent):
        harness.reject(call)
    assert harness.answers[0].status == 503
    harness = testing.GatewayHarness(servers=1)
    harness.gather()
    harness.reject(harness.sent_to("a")[0])
    harness.lose_connection(harness.sent_to("b")[0])
    assert harness.answers[0].status == 502


@pytest.mark.parametrize(
    ("reached", "sends", "status"), [(True, 1, 502), (False, 2, 503)]
)
def test_unrepeatable_request_after_a_lost_connection(reached, sends, status):
    # The request may have run as soon as a byte can have reached the server.
    harness = testing.GatewayHarness(
        shards=("a",),
        is_repeatable=False,
        gather=None,
        parts=(route_table.WeightedService("a", 1.0),),
    )
    harness.single()
    while harness.answers == []:
        harness.lose_connection(harness.pool.sent[-1], reached)
    assert len(harness.pool.sent) == sends
    assert harness.answers[0].status == status
    harness.advance(500)
    assert len(harness.pool.sent) == sends


def test_rejected_request_goes_to_another_server():
    harness = testing.GatewayHarness(shards=("a",), gather=None)
    harness.single()
    harness.reject(harness.pool.sent[0])
    harness.answer(harness.pool.sent[1], body=b"whole")
    assert harness.answers[0].body == b"whole"
    assert harness.pool.sent[0].address != harness.pool.sent[1].address


def test_client_disconnect_cancels_the_request():
    harness = testing.GatewayHarness(shards=("a",), gather=None)
    client_request = harness.single()
    client_request.cancel()
    assert harness.pool.sent[0].cancelled
    harness.advance(2000)
    assert harness.answers == []


def test_send_waits_for_a_connection():
    # A lack of free connections must not count as a failure of the server.
    harness = testing.GatewayHarness(shards=("a",), gather=None)
    harness.pool.has_free_connections = False
    harness.single()
    harness.advance(20)
    assert (harness.pool.sent, harness.answers) == ([], [])
    harness.pool.has_free_connections = True
    harness.advance(10)
    assert len(harness.pool.sent) == 1


def test_timeout_status_shows_whether_the_request_may_have_run():
    harness = testing.GatewayHarness(shards=("a",), gather=None)
    harness.single()
    harness.advance(1001)
    assert harness.answers[0].status == 504
    harness = testing.GatewayHarness(shards=("a",), gather=None)
    harness.pool.has_free_connections = False
    harness.single()
    harness.advance(1001)
    assert harness.answers[0].status == 503


def test_send_states_time_left_and_server():
    harness = testing.GatewayHarness(shards=("a",), gather=None)
    harness.single()
    harness.advance(60)
    first, second = (c.payload for c in harness.pool.sent)
    assert b"x-time-left-ms: 1000\r\n" in first
    left_ms = int(second.partition(b"x-time-left-ms: ")[2].split(b"\r\n")[0])
    assert 900 <= left_ms < 1000
    assert b"x-server-id: a" in first


def test_shard_is_failing_when_all_its_servers_failed():
    harness = testing.GatewayHarness(shards=("a",))
    harness.single()
    harness.lose_connection(harness.pool.sent[0])
    harness.lose_connection(harness.pool.sent[1])
    assert harness.dispatcher.shard_outlooks(harness.route)["a"][0].is_failing
    assert harness.answers[0].reason == "backend_server_lost"


def test_stats_of_removed_servers_are_dropped():
    # Guards against a leak: hundreds of servers restart each day, each with a
    # new identifier.
    harness = testing.GatewayHarness(shards=("a",), servers=1, gather=None)
    harness.single()
    harness.feed.table = server_table.Table()
    harness.dispatcher.remove_stale_stats()
    assert "a0" in harness.dispatcher._stats
    harness.answer(harness.pool.sent[0])
    harness.dispatcher.remove_stale_stats()
    assert harness.dispatcher._stats == {}


def test_retry_waits_for_the_budget():
    # Guards against a query that fails because a shard's server rejected it
    # while the budget was empty for a moment.
    harness = testing.GatewayHarness(shards=("a",), gather=None)
    budget = harness.dispatcher.budget("a")
    while budget.try_spend(harness.clock.now_ms()):
        pass
    harness.single()
    harness.reject(harness.pool.sent[0])
    assert harness.answers == []
    # Other requests fill the budget again.
    for _ in range(7):
        budget.on_sub_request()
    harness.advance(10)
    assert len(harness.pool.sent) == 2
    harness.answer(harness.pool.sent[1])
    assert harness.answers[0].status == 200


def test_retry_without_budget_ends_at_the_objective():
    # Guards against late requests that use up the budget of requests that are
    # still within their objective.
    harness = testing.GatewayHarness(shards=("a",), gather=None)
    budget = harness.dispatcher.budget("a")
    budget.set_burst(0.5, 0.0)
    harness.single()
    harness.reject(harness.pool.sent[0])
    harness.advance(90)
    assert harness.answers == []
    harness.advance(20)
    assert harness.answers[0].status == 503
    assert len(harness.pool.sent) == 1


def _lose_all_replies(harness):
    """Loses the replies of all shards but the first two of four."""
    harness.gather()
    for call in tuple(harness.pool.sent):
        if call.address[0] in "ab":
            harness.answer(call)
        else:
            harness.lose_connection(call)


def _four_shards(budget_tokens):
    """Returns a harness whose queries need three of four shards."""
    gather = route_table.Gather(tuple("abcd"), 3, 0.75)
    harness = testing.GatewayHarness(shards="abcd", gather=gather)
    for shard, tokens in zip("cd", budget_tokens, strict=True):
        budget = harness.dispatcher.budget(shard)
        while budget.try_spend(harness.clock.now_ms()):
            pass
        for _ in range(round(tokens / 0.16)):
            budget.on_sub_request()
    return harness


def test_query_without_budget_gets_a_late_retry_instead_of_an_error():
    # Simulates a time in which many replies are lost, so that the budget is
    # used up: a query that lacks one part failed at its objective, and its
    # client sent all parts again.
    harness = _four_shards(budget_tokens=(0, 0))
    _lose_all_replies(harness)
    harness.advance(120)
    assert harness.answers == []
    for _ in range(13):
        harness.dispatcher.budget("c").on_sub_request()
    harness.advance(10)
    (retry,) = harness.sent_to("c")[1:]
    harness.answer(retry)
    (answer,) = harness.answers
    assert (answer.status, answer.reason) == (200, "partial")
    assert len(harness.sent_to("d")) == 1


def test_late_retry_does_not_wait_until_the_deadline():
    # Guards against a client that has no time left for another attempt.
    harness = _four_shards(budget_tokens=(0, 0))
    _lose_all_replies(harness)
    harness.advance(540)
    assert harness.answers == []
    harness.advance(20)
    assert harness.answers[0].status == 502


def test_query_that_must_fail_waits_for_no_budget():
    # Guards against retries for a query that cannot have enough parts any
    # more, while other queries wait for the budget.
    harness = _four_shards(budget_tokens=(1, 0))
    harness.gather()
    for call in tuple(harness.pool.sent):
        if call.address[0] == "a":
            harness.answer(call)
        else:
            harness.lose_connection(call)
    for shard in "bc":
        assert harness.answers == []
        harness.lose_connection(harness.sent_to(shard)[1])
    assert harness.answers[0].status == 502
    assert len(harness.sent_to("d")) == 1


def test_hedges_leave_budget_for_retries():
    # Guards against hedges of slow sends that use up the budget while replies
    # are lost: each missing retry leaves a shard out of the answer.
    harness = testing.GatewayHarness(shards=("a",), gather=None)
    budget = harness.dispatcher.budget("a")
    budget.set_burst(8.0, 0.0, 2.0)
    while budget.try_spend_hedge(harness.clock.now_ms()):
        pass
    harness.single()
    harness.advance(60)
    assert len(harness.pool.sent) == 1
    harness.lose_connection(harness.pool.sent[0])
    assert len(harness.pool.sent) == 2


def test_partial_answer_is_sent_earlier_than_a_whole_one_is_due():
    # Guards against partial answers that are ready and miss the objective.
    harness = testing.GatewayHarness()
    harness.context = dataclasses.replace(harness.context, partial_ms=80)
    harness.gather()
    harness.answer(harness.sent_to("a")[0])
    harness.advance(76)
    assert not harness.answers
    harness.advance(2)
    assert harness.answers[0].coverage == 0.5


def test_rejecting_servers_are_avoided_when_the_budget_is_spent():
    # Simulates a load in which two of three servers reject half of the
    # requests, while the budget allows retries of a fifth. A shard whose
    # request is rejected without budget is missing from the answer.
    rng = random.Random(1)
    harness = testing.GatewayHarness(shards=("a",), servers=3, gather=None)
    harness.dispatcher.budget("a").set_burst(2.0, 0.0)
    verdicts, done = [], set()
    for step in range(600):
        now_ms = harness.clock.now_ms()
        harness.context = dataclasses.replace(
            harness.context,
            started_ms=now_ms,
            target_ms=now_ms + 100,
            partial_ms=now_ms + 100,
            deadline_ms=now_ms + 1000,
        )
        for _ in range(rng.choice((0, 0, 1, 4))):
            harness.single()
        harness.advance(10)
        for i, call in enumerate(harness.pool.sent):
            if i == len(verdicts):
                is_good = call.address.startswith("a2") or rng.random() < 0.5
                verdicts.append((is_good, step))
            is_good, sent_at = verdicts[i]
            if i in done or call.cancelled:
                continue
            if not is_good:
                done.add(i)
                harness.reject(call)
            elif step - sent_at >= 2:
                done.add(i)
                harness.answer(call)
    # The server that rejects nothing has capacity for all requests.
    assert {answer.status for answer in harness.answers} == {200}


@pytest.mark.parametrize("is_repeatable", [True, False])
def test_success_without_a_signature_is_not_passed_on(is_repeatable):
    # Guards against a body that no server vouches for and that looks whole.
    harness = testing.GatewayHarness(
        shards=("a",), is_repeatable=is_repeatable, gather=None
    )
    harness.single()
    for call in harness.pool.sent:
        harness.answer(call, signature=False)
    (answer,) = harness.answers
    assert (answer.status, answer.reason) == (502, "unsigned_reply")
