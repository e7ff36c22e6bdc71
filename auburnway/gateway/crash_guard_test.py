"""Tests of what an entry does with requests that crash backend servers."""

from auburnway.core import route_table
from auburnway.gateway import crash_guard
from auburnway.gateway import testing
from auburnway.policy import crash_containment
from auburnway.registrar import messages


def make_harness(servers=6):
    return testing.GatewayHarness(
        shards=("a",),
        servers=servers,
        gather=None,
        parts=(route_table.WeightedService("a", 1.0),),
    )


def crash_all_sends(harness):
    """Crashes each server that the request reaches; returns their number."""
    count = len(harness.pool.sent)
    harness.single()
    while count < len(harness.pool.sent):
        harness.crash(harness.pool.sent[count])
        count += 1
    harness.advance(50)
    return len(harness.pool.sent)


def told(harness, kind):
    return [m for m in harness.feed.told if isinstance(m, kind)]


def test_crashing_request_is_not_sent_again_when_it_comes_again():
    # Guards against a retry each time that the request comes.
    harness = make_harness()
    assert crash_all_sends(harness) == 2
    assert crash_all_sends(harness) == 2
    answer = harness.answers[-1]
    assert (answer.status, answer.reason) == (503, "quarantined")
    assert float(dict(answer.headers)[b"Retry-After"]) > 9.0
    assert len(told(harness, messages.Strike)) == 2


def test_lost_connection_to_a_living_server_is_no_strike():
    # Guards against refusing requests because servers drop idle connections.
    harness = make_harness()
    harness.single()
    for call in harness.pool.sent:
        harness.lose_connection(call)
    harness.advance(50)
    assert not told(harness, messages.Strike)
    assert harness.dispatcher.crash_guard.is_idle


def test_answer_clears_a_request_that_ran_beside_a_crashing_one():
    # Guards against refusing innocent requests after crashes of others.
    harness = make_harness()
    harness.single()
    harness.crash(harness.pool.sent[0])
    harness.advance(50)
    harness.answer(harness.pool.sent[1])
    assert told(harness, messages.Cleared)
    assert harness.dispatcher.crash_guard.is_idle
    harness.single()
    harness.crash(harness.pool.sent[2])
    harness.advance(50)
    assert harness.dispatcher.crash_guard.quarantined_count == 0


def test_other_requests_to_the_same_service_are_served():
    harness = make_harness()
    crash_all_sends(harness)
    harness.context = harness.context.__class__(
        **{**vars(harness.context), "content": (b"GET", b"h", b"/other", b"")}
    )
    harness.single()
    assert len(harness.pool.sent) == 3


def test_news_of_another_entry_stop_the_request_here():
    harness = make_harness()
    harness.feed.containment.merge(
        harness.context.fingerprint("a"), 2, harness.clock.now_ms()
    )
    harness.single()
    assert not harness.pool.sent
    assert harness.answers[0].status == 503


def test_trial_is_one_send_after_control_allows_it():
    # Guards against a trial at each entry, and against its retries.
    harness = make_harness()
    crash_all_sends(harness)
    harness.clock.advance(crash_containment.FIRST_PAUSE_MS)
    harness.single()
    (question,) = harness.feed.trial_questions
    assert len(harness.pool.sent) == 2
    harness.feed.on_trial(messages.Trial(question.key, True, 0.0))
    assert len(harness.pool.sent) == 3
    harness.crash(harness.pool.sent[2])
    harness.advance(50)
    assert len(harness.pool.sent) == 3
    assert told(harness, messages.Strike)[-1].key == question.key


def test_passed_trial_ends_the_quarantine():
    harness = make_harness()
    crash_all_sends(harness)
    harness.clock.advance(crash_containment.FIRST_PAUSE_MS)
    harness.single()
    key = harness.feed.trial_questions[0].key
    harness.feed.on_trial(messages.Trial(key, True, 0.0))
    harness.answer(harness.pool.sent[2])
    assert harness.answers[-1].status == 200
    assert told(harness, messages.Cleared) == [messages.Cleared(key)]


def test_request_is_refused_while_control_does_not_answer():
    # Guards against requests that wait for control until their deadline.
    harness = make_harness()
    crash_all_sends(harness)
    harness.clock.advance(crash_containment.FIRST_PAUSE_MS)
    harness.single()
    answer_count = len(harness.answers)
    harness.advance(crash_guard.TRIAL_TIMEOUT_MS + 1)
    assert len(harness.pool.sent) == 2
    assert len(harness.answers) == answer_count + 1
    assert harness.answers[-1].status == 503


def test_quarantined_shard_is_left_out():
    # Guards against a query that crashes the servers of a shard each time.
    harness = testing.GatewayHarness(shards=("a", "b"), servers=6)
    harness.gather()
    for _ in range(2):
        harness.crash(harness.sent_to("a")[-1])
    harness.answer(harness.sent_to("b")[0])
    harness.advance(50)
    harness.gather()
    assert len(harness.sent_to("a")) == 2
    harness.answer(harness.sent_to("b")[1])
    assert [a.coverage for a in harness.answers] == [0.5, 0.5]
