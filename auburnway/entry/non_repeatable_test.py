import json

import pytest

from auburnway.core import answer as answer_lib
from auburnway.entry import non_repeatable
from auburnway.entry import testing
from auburnway.rpc import control_pb2

KEY = "1800000000000-a"


def new_harness(servers=3):
    harness = testing.Harness(shards=1, replicas=servers)
    harness.control.replies["Claim"] = [harness.grant_claim()]
    harness.control.replies["Settle"] = [control_pb2.SettleReply()] * 5
    return harness


def start(harness, **arguments):
    request = harness.request(key=KEY, **arguments)
    non_repeatable.NonRepeatableRequest(
        harness.backends, harness.claims, request, 4, harness.answers.append
    ).start()
    return request


def outcomes(harness):
    return [r.outcome for m, r in harness.control.calls if m == "Settle"]


def test_claim_precedes_dispatch_and_answer_is_recorded():
    harness = new_harness()
    start(harness)
    assert [m for m, _ in harness.control.calls] == ["Claim"]
    (sent,) = harness.pool.pending_calls()
    assert sent[1]["x-claim-id"] == "7.1"
    harness.pool.answer(sent, ["booked"])
    assert harness.answers[0].records == ("booked",)
    settled = harness.control.calls[-1][1]
    assert settled.outcome == "done"
    assert json.loads(settled.result)["records"] == ["booked"]


def test_nothing_is_sent_without_a_claim():
    # Guards against a second run while control is unavailable.
    harness = new_harness()
    harness.control.replies["Claim"] = [None]
    start(harness)
    assert harness.answers[0].error.code == "control_unavailable"
    assert isinstance(harness.answers[0], answer_lib.NotRun)
    harness.advance(1000.0)
    assert not harness.pool.sent


@pytest.mark.parametrize("may_be_resend", [True, False])
def test_resend_without_control_is_unknown_instead_of_not_run(may_be_resend):
    # Guards against the answer "not run" to a resend whose first attempt ran,
    # while control is unavailable.
    harness = new_harness()
    harness.control.replies["Claim"] = [None]
    start(harness, may_be_resend=may_be_resend)
    kind = answer_lib.Unknown if may_be_resend else answer_lib.NotRun
    assert type(harness.answers[0]) is kind


def test_grant_whose_reply_was_lost_is_settled_as_not_run():
    # Guards against a key that stays claimed although nothing ran.
    harness = new_harness()
    own = control_pb2.ClaimReply(
        state="open", claim_id=7, attempt=1, entry_incarnation="i1"
    )
    harness.control.replies["Claim"] = [None, None, own]
    start(harness)
    harness.advance(1000.0)
    assert outcomes(harness) == ["not_run"]
    assert not harness.pool.sent


@pytest.mark.parametrize("reached", [True, False])
def test_request_is_repeated_only_if_it_did_not_reach_the_server(reached):
    # Guards against a second dispatch of a request that may have run.
    harness = new_harness()
    start(harness)
    harness.pool.break_connection(
        harness.pool.pending_calls()[0], reached=reached
    )
    if reached:
        assert isinstance(harness.answers[0], answer_lib.Unknown)
        assert outcomes(harness) == ["unknown"]
        assert len(harness.pool.sent) == 1
    else:
        harness.pool.answer(harness.pool.pending_calls()[0])
        assert outcomes(harness) == ["done"]
        assert len(harness.pool.sent) == 2


def test_refusal_before_start_tries_the_next_server():
    harness = new_harness()
    start(harness)
    for _ in range(3):
        harness.pool.refuse(harness.pool.pending_calls()[0])
    harness.advance(20.0)
    harness.pool.answer(harness.pool.pending_calls()[0])
    assert outcomes(harness) == ["done"]


def test_request_refused_until_the_deadline_is_not_run():
    harness = new_harness(servers=1)
    start(harness, deadline_ms=100.0)
    for _ in range(300):
        for call in harness.pool.pending_calls():
            harness.pool.refuse(call)
        harness.advance(1.0)
    (answer,) = harness.answers
    assert isinstance(answer, answer_lib.NotRun)
    assert outcomes(harness) == ["not_run"]


def test_late_reply_settles_a_request_answered_as_unknown():
    # Guards against the answer "not run" while a server that does not reply
    # may still run the request.
    harness = new_harness()
    start(harness, deadline_ms=100.0)
    harness.advance(200.0)
    assert isinstance(harness.answers[0], answer_lib.Unknown)
    assert outcomes(harness) == []
    harness.pool.answer(harness.pool.pending_calls()[0])
    assert outcomes(harness) == ["done"]
    assert len(harness.answers) == 1


def test_missing_reply_is_settled_as_unknown():
    harness = new_harness()
    start(harness, deadline_ms=100.0)
    harness.advance(31_000.0, step_ms=50.0)
    assert outcomes(harness) == ["unknown"]


def test_frozen_entry_does_not_dispatch_on_waking():
    # Guards against a dispatch after a freeze: the grant arrives after the
    # deadline, when the caller may have resent the request to another entry.
    harness = new_harness()
    replies = harness.control.replies.pop("Claim")
    start(harness, deadline_ms=100.0)
    harness.clock.advance(5000.0)
    ((_, on_done),) = harness.control.pending
    harness.control.replies["Claim"] = replies
    harness.control.call_async("Claim", None, 0.0, on_done)
    harness.advance(10.0)
    assert not harness.pool.sent
    assert isinstance(harness.answers[0], answer_lib.NotRun)
    assert outcomes(harness) == ["not_run"]


@pytest.mark.parametrize(
    ("state", "code", "kind"),
    [
        ("conflict", "key_conflict", answer_lib.NotRun),
        ("expired", "key_expired", answer_lib.NotRun),
        ("unknown", "outcome_unknown", answer_lib.Unknown),
    ],
)
def test_claim_that_is_not_granted(state, code, kind):
    harness = new_harness()
    harness.control.replies["Claim"] = [control_pb2.ClaimReply(state=state)]
    start(harness)
    (answer,) = harness.answers
    assert isinstance(answer, kind)
    assert answer.error.code == code
    assert not harness.pool.sent


def test_resend_of_a_done_request_gets_the_recorded_answer():
    harness = new_harness()
    harness.control.replies["Claim"] = [
        control_pb2.ClaimReply(state="done", result=b'{"outcome":"done"}')
    ]
    start(harness)
    assert answer_lib.render(harness.answers[0]).body == b'{"outcome":"done"}'
    assert not harness.pool.sent


def test_claim_of_another_entry_is_polled_until_it_is_settled():
    harness = new_harness()
    foreign = control_pb2.ClaimReply(state="open", entry_incarnation="i2")
    harness.control.replies["Claim"] = [
        foreign,
        foreign,
        control_pb2.ClaimReply(state="done", result=b"{}"),
    ]
    start(harness)
    harness.advance(300.0)
    assert isinstance(harness.answers[0], answer_lib.Recorded)
    assert not harness.pool.sent


def test_resend_at_the_same_entry_while_it_runs_is_not_dispatched():
    harness = new_harness()
    start(harness)
    start(harness, request_id="q2", deadline_ms=300.0)
    harness.advance(400.0)
    assert len(harness.pool.sent) == 1
    # Guards against the answer "not run" while the first attempt is running.
    assert isinstance(harness.answers[0], answer_lib.Unknown)


def test_settlement_is_repeated_until_control_has_it():
    harness = new_harness()
    harness.control.replies["Settle"] = [None, None, control_pb2.SettleReply()]
    start(harness)
    harness.pool.answer(harness.pool.pending_calls()[0])
    harness.advance(1000.0)
    assert outcomes(harness) == ["done"] * 3
    assert harness.claims.unsettled == 0
