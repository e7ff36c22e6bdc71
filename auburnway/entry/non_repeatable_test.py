import json

import pytest

from auburnway.core import answer as answer_lib
from auburnway.entry import non_repeatable
from auburnway.entry import testing
from auburnway.rpc import control_pb2

KEY = "1800000000000-a"


def new_bench(servers=3):
    bench = testing.Bench(shards=1, replicas=servers)
    bench.control.replies["Claim"] = [bench.grant_claim()]
    bench.control.replies["Settle"] = [control_pb2.SettleReply()] * 5
    return bench


def start(bench, **arguments):
    request = bench.request(key=KEY, **arguments)
    non_repeatable.NonRepeatable(
        bench.backends, bench.claims, request, 4, bench.answers.append
    ).start()
    return request


def outcomes(bench):
    return [r.outcome for m, r in bench.control.calls if m == "Settle"]


def test_claim_precedes_dispatch_and_answer_is_recorded():
    bench = new_bench()
    start(bench)
    assert [m for m, _ in bench.control.calls] == ["Claim"]
    (sent,) = bench.pool.waiting()
    assert sent[1]["x-claim-id"] == "7.1"
    bench.pool.answer(sent, ["booked"])
    assert bench.answers[0].records == ("booked",)
    settled = bench.control.calls[-1][1]
    assert settled.outcome == "done"
    assert json.loads(settled.result)["records"] == ["booked"]


def test_nothing_is_sent_without_a_claim():
    # Guards against a second run while control is unavailable.
    bench = new_bench()
    bench.control.replies["Claim"] = [None]
    start(bench)
    assert bench.answers[0].error.code == "control_unavailable"
    assert isinstance(bench.answers[0], answer_lib.NotRun)
    bench.advance(1000.0)
    assert not bench.pool.sent


@pytest.mark.parametrize("may_be_resend", [True, False])
def test_not_run_is_said_only_with_knowledge(may_be_resend):
    # Guards against the answer "not run" to a resend whose first attempt ran,
    # while control is unavailable.
    bench = new_bench()
    bench.control.replies["Claim"] = [None]
    start(bench, may_be_resend=may_be_resend)
    kind = answer_lib.Unknown if may_be_resend else answer_lib.NotRun
    assert type(bench.answers[0]) is kind


def test_grant_whose_reply_was_lost_is_settled_as_not_run():
    # Guards against a key that stays claimed although nothing ran.
    bench = new_bench()
    own = control_pb2.ClaimReply(
        state="open", claim_id=7, attempt=1, entry_incarnation="i1"
    )
    bench.control.replies["Claim"] = [None, None, own]
    start(bench)
    bench.advance(1000.0)
    assert outcomes(bench) == ["not_run"]
    assert not bench.pool.sent


@pytest.mark.parametrize("reached", [True, False])
def test_connection_lost(reached):
    # Guards against a second dispatch of a request that may have run.
    bench = new_bench()
    start(bench)
    bench.pool.lose(bench.pool.waiting()[0], reached=reached)
    if reached:
        assert isinstance(bench.answers[0], answer_lib.Unknown)
        assert outcomes(bench) == ["unknown"]
        assert len(bench.pool.sent) == 1
    else:
        bench.pool.answer(bench.pool.waiting()[0])
        assert outcomes(bench) == ["done"]
        assert len(bench.pool.sent) == 2


def test_refusal_before_start_moves_on():
    bench = new_bench()
    start(bench)
    for _ in range(3):
        bench.pool.refuse(bench.pool.waiting()[0])
    bench.advance(20.0)
    bench.pool.answer(bench.pool.waiting()[0])
    assert outcomes(bench) == ["done"]


def test_only_refusals_until_the_deadline_is_not_run():
    bench = new_bench(servers=1)
    start(bench, deadline_ms=100.0)
    for _ in range(300):
        for each in bench.pool.waiting():
            bench.pool.refuse(each)
        bench.advance(1.0)
    (answer,) = bench.answers
    assert isinstance(answer, answer_lib.NotRun)
    assert outcomes(bench) == ["not_run"]


def test_silence_is_unknown_and_a_late_reply_settles_it():
    # Guards against the answer "not run" while a server that does not reply
    # may still run the request.
    bench = new_bench()
    start(bench, deadline_ms=100.0)
    bench.advance(200.0)
    assert isinstance(bench.answers[0], answer_lib.Unknown)
    assert outcomes(bench) == []
    bench.pool.answer(bench.pool.waiting()[0])
    assert outcomes(bench) == ["done"]
    assert len(bench.answers) == 1


def test_silence_for_good_is_settled_unknown():
    bench = new_bench()
    start(bench, deadline_ms=100.0)
    bench.advance(31_000.0, step_ms=50.0)
    assert outcomes(bench) == ["unknown"]


def test_frozen_entry_does_not_dispatch_on_waking():
    # Guards against a dispatch after a freeze: the grant arrives after the
    # deadline, when the caller may have resent the request to another entry.
    bench = new_bench()
    replies = bench.control.replies.pop("Claim")
    start(bench, deadline_ms=100.0)
    bench.clock.advance(5000.0)
    ((_, on_done),) = bench.control.pending
    bench.control.replies["Claim"] = replies
    bench.control.call_async("Claim", None, 0.0, on_done)
    bench.advance(10.0)
    assert not bench.pool.sent
    assert isinstance(bench.answers[0], answer_lib.NotRun)
    assert outcomes(bench) == ["not_run"]


@pytest.mark.parametrize(
    ("state", "code", "kind"),
    [
        ("conflict", "key_conflict", answer_lib.NotRun),
        ("expired", "key_expired", answer_lib.NotRun),
        ("unknown", "outcome_unknown", answer_lib.Unknown),
    ],
)
def test_claim_that_is_not_granted(state, code, kind):
    bench = new_bench()
    bench.control.replies["Claim"] = [control_pb2.ClaimReply(state=state)]
    start(bench)
    (answer,) = bench.answers
    assert isinstance(answer, kind)
    assert answer.error.code == code
    assert not bench.pool.sent


def test_resend_of_a_done_request_gets_the_recorded_answer():
    bench = new_bench()
    bench.control.replies["Claim"] = [
        control_pb2.ClaimReply(state="done", result=b'{"outcome":"done"}')
    ]
    start(bench)
    assert answer_lib.render(bench.answers[0]).body == b'{"outcome":"done"}'
    assert not bench.pool.sent


def test_claim_held_elsewhere_is_watched_until_it_ends():
    bench = new_bench()
    foreign = control_pb2.ClaimReply(state="open", entry_incarnation="i2")
    bench.control.replies["Claim"] = [
        foreign,
        foreign,
        control_pb2.ClaimReply(state="done", result=b"{}"),
    ]
    start(bench)
    bench.advance(300.0)
    assert isinstance(bench.answers[0], answer_lib.Recorded)
    assert not bench.pool.sent


def test_resend_at_the_same_entry_while_it_runs_is_not_dispatched():
    bench = new_bench()
    start(bench)
    start(bench, request_id="q2", deadline_ms=300.0)
    bench.advance(400.0)
    assert len(bench.pool.sent) == 1
    # Guards against the answer "not run" while the first attempt is running.
    assert isinstance(bench.answers[0], answer_lib.Unknown)


def test_settlement_is_repeated_until_control_has_it():
    bench = new_bench()
    bench.control.replies["Settle"] = [None, None, control_pb2.SettleReply()]
    start(bench)
    bench.pool.answer(bench.pool.waiting()[0])
    bench.advance(1000.0)
    assert outcomes(bench) == ["done"] * 3
    assert bench.claims.unsettled == 0
