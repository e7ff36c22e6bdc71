"""Legs, gathered and single requests over a pool that tests answer by hand."""

import dataclasses
import random
import types

import loguru
import pytest

from auburnway.core import clock as clock_lib
from auburnway.core import route_table
from auburnway.core import server_table
from auburnway.gateway import dialect as dialect_lib
from auburnway.gateway import dispatcher as dispatcher_lib
from auburnway.gateway import job as job_lib
from auburnway.gateway import leg as leg_lib
from auburnway.gateway import settings as settings_lib
from auburnway.kernel import process
from auburnway.net import exchange
from auburnway.net import socket_set
from auburnway.net import web_client

SETTINGS = settings_lib.Settings(
    name="entry",
    ip="127.0.0.1",
    data_center="z",
    client_address="127.0.0.1:1",
    ready_address="127.0.0.1:2",
    internal_port=3,
    seeds=(),
    retry_slack=100.0,
)
DIALECT = dialect_lib.Dialect(decode_configuration=lambda _: None)
LOST = exchange.Failure.CONNECTION_LOST


class Pool:
    """Records the sends; `answer` ends one."""

    def __init__(self):
        self.sent = []
        self.room = True

    def set_limit(self, address, limit):
        pass

    def has_capacity(self, address):
        return self.room

    def send(self, address, payload, on_reply, *_):
        call = types.SimpleNamespace(
            address=address, payload=payload, on_reply=on_reply, cancelled=False
        )

        def cancel():
            call.cancelled = True

        call.cancel = cancel
        self.sent.append(call)
        return call


class Rig:
    def __init__(self, shards=("a", "b"), servers=2, **route):
        self.clock = clock_lib.ManualClock()
        self.loop = process.Loop(self.clock)
        table = server_table.Table()
        for shard in shards:
            for i in range(servers):
                table.put(_row(shard, i), 0.0)
        self.feed = types.SimpleNamespace(
            table=table, entries=types.SimpleNamespace(active_count=1)
        )
        self.dispatcher = dispatcher_lib.Dispatcher(
            SETTINGS,
            DIALECT,
            self.loop,
            socket_set.SocketSet(self.loop.poller),
            self.feed,
        )
        self.pool = self.dispatcher.pool = Pool()
        gather = route_table.Gather(tuple(shards), 3, 0.5)
        fields = {"gather": gather, "is_repeatable": True, **route}
        self.route = route_table.Route(
            name="r",
            host="h",
            prefix="/",
            timeout_ms=1000.0,
            target_ms=100.0,
            rank=0,
            max_attempts=2,
            **fields,
        )
        self.job = leg_lib.Job(
            b"id", self.route, b"GET / HTTP/1.1\r\n", b"", False, 0, 100, 1000
        )
        self.answers = []

    def gather(self):
        job_lib.Gathered(
            self.dispatcher,
            DIALECT,
            self.job,
            dict.fromkeys(self.route.gather.shards),
            self.answers.append,
        ).start()

    def single(self):
        work = job_lib.Single(
            self.dispatcher, self.job, "a", self.answers.append
        )
        work.start()
        return work

    def advance(self, duration_ms):
        for _ in range(int(duration_ms)):
            self.clock.advance(1.0)
            self.loop.timers.run_due()

    def sent_to(self, shard):
        return [c for c in self.pool.sent if c.address.startswith(shard)]

    def answer(self, call, status=200, body=b"x" * 16, signature=None):
        fields = {}
        if signature is not False:
            fields[b"x-signature"] = signature or call.address.encode()
        headers = tuple(fields.items())
        call.on_reply(web_client.Reply(status, headers, fields, body))

    def reject(self, call):
        fields = {b"x-not-started": b"1"}
        call.on_reply(web_client.Reply(503, (), fields))

    def lose(self, call, reached=True):
        call.on_reply(web_client.Reply(0, failure=LOST, reached=reached))


def _row(shard, i):
    return server_table.Row(
        f"{shard}{i}",
        1,
        1,
        shard,
        f"{shard}{i}:80",
        "z",
        3,
        server_table.State.READY,
    )


def test_whole_answer():
    rig = Rig()
    rig.gather()
    for call in rig.pool.sent:
        rig.answer(call, body=call.address.encode()[:1] * 16)
    (answer,) = rig.answers
    assert answer.status == 200
    assert answer.body == b"b" * 16 + b"a" * 16
    assert dict(answer.headers)[b"x-missing-parts"] == b"0"


def test_slow_server_is_hedged_and_the_loser_cancelled():
    rig = Rig()
    rig.gather()
    first = rig.sent_to("a")[0]
    rig.answer(rig.sent_to("b")[0])
    rig.advance(60)
    copy = rig.sent_to("a")[1]
    assert copy.address != first.address
    rig.answer(copy)
    assert first.cancelled
    assert rig.answers[0].coverage == 1.0


def test_second_send_is_logged_with_what_decided_it():
    # An on-call engineer has nothing but the logs.
    lines = []
    sink = loguru.logger.add(lambda text: lines.append(text.record))
    try:
        rig = Rig()
        rig.gather()
        rig.answer(rig.sent_to("b")[0])
        rig.advance(60)
    finally:
        loguru.logger.remove(sink)
    (extra,) = [r["extra"] for r in lines if "again" in r["message"]]
    assert (extra["request"], extra["reason"]) == ("id", "hedge")
    assert {extra["server"], extra["after"]} == {"a0", "a1"}
    assert extra["stands_ms"] >= extra["expected_ms"] == 20.0
    assert 0 < extra["budget_left"] < 1


def test_partial_answer_at_the_objective():
    # A late answer is worth far less than one that lacks a part.
    rig = Rig()
    rig.gather()
    rig.answer(rig.sent_to("a")[0])
    rig.advance(96)
    assert rig.answers == []
    rig.advance(2)
    (answer,) = rig.answers
    assert (answer.status, answer.coverage) == (200, 0.5)
    assert all(c.cancelled for c in rig.sent_to("b"))


def test_late_answer_as_soon_as_enough_is_in():
    rig = Rig()
    rig.gather()
    rig.advance(300)
    assert rig.answers == []
    rig.answer(rig.sent_to("b")[0])
    assert rig.answers[0].coverage == 0.5


def test_failure_with_a_signature_is_no_part():
    rig = Rig(servers=1)
    rig.gather()
    rig.answer(rig.sent_to("a")[0], status=500)
    rig.answer(rig.sent_to("b")[0], status=404)
    assert rig.answers[0].status == 502


def test_equal_signatures_count_once():
    rig = Rig()
    rig.gather()
    for call in rig.pool.sent:
        rig.answer(call, signature=b"same")
    assert rig.answers[0].coverage == 0.5


def test_not_run_is_said_only_when_nothing_ran():
    rig = Rig(servers=1)
    rig.gather()
    for call in tuple(rig.pool.sent):
        rig.reject(call)
    assert rig.answers[0].status == 503
    rig = Rig(servers=1)
    rig.gather()
    rig.reject(rig.sent_to("a")[0])
    rig.lose(rig.sent_to("b")[0])
    assert rig.answers[0].status == 502


@pytest.mark.parametrize(
    ("reached", "sends", "status"), [(True, 1, 502), (False, 2, 503)]
)
def test_unrepeatable_request_after_a_lost_connection(reached, sends, status):
    # It may have run once a byte can have reached the server.
    rig = Rig(
        shards=("a",),
        is_repeatable=False,
        gather=None,
        parts=(route_table.Part("a", 1.0),),
    )
    rig.single()
    while rig.answers == []:
        rig.lose(rig.pool.sent[-1], reached)
    assert len(rig.pool.sent) == sends
    assert rig.answers[0].status == status
    rig.advance(500)
    assert len(rig.pool.sent) == sends


def test_rejected_request_goes_to_another_server():
    rig = Rig(shards=("a",), gather=None)
    rig.single()
    rig.reject(rig.pool.sent[0])
    rig.answer(rig.pool.sent[1], body=b"whole")
    assert rig.answers[0].body == b"whole"
    assert rig.pool.sent[0].address != rig.pool.sent[1].address


def test_client_that_left_cancels_its_work():
    rig = Rig(shards=("a",), gather=None)
    work = rig.single()
    work.cancel()
    assert rig.pool.sent[0].cancelled
    rig.advance(2000)
    assert rig.answers == []


def test_send_waits_for_a_connection():
    # All connections in use is no failure of the server.
    rig = Rig(shards=("a",), gather=None)
    rig.pool.room = False
    rig.single()
    rig.advance(20)
    assert (rig.pool.sent, rig.answers) == ([], [])
    rig.pool.room = True
    rig.advance(10)
    assert len(rig.pool.sent) == 1


def test_time_out_says_whether_the_request_may_have_run():
    rig = Rig(shards=("a",), gather=None)
    rig.single()
    rig.advance(1001)
    assert rig.answers[0].status == 504
    rig = Rig(shards=("a",), gather=None)
    rig.pool.room = False
    rig.single()
    rig.advance(1001)
    assert rig.answers[0].status == 503


def test_handed_time_shrinks_and_names_the_server():
    rig = Rig(shards=("a",), gather=None)
    rig.single()
    rig.advance(60)
    first, second = (c.payload for c in rig.pool.sent)
    assert b"x-time-left-ms: 1000\r\n" in first
    left_ms = int(second.partition(b"x-time-left-ms: ")[2].split(b"\r\n")[0])
    assert 900 <= left_ms < 1000
    assert b"x-server-id: a" in first


def test_servers_that_all_failed_make_a_shard_doubtful():
    rig = Rig(shards=("a",))
    rig.single()
    rig.lose(rig.pool.sent[0])
    rig.lose(rig.pool.sent[1])
    assert rig.dispatcher.outlooks(rig.route)["a"][0].is_doubtful
    assert rig.answers[0].reason == "backend_server_lost"


def test_servers_that_left_the_table_are_forgotten():
    # Hundreds of servers restart each day, each under a new identity.
    rig = Rig(shards=("a",), servers=1, gather=None)
    rig.single()
    rig.feed.table = server_table.Table()
    rig.dispatcher.forget_gone()
    assert "a0" in rig.dispatcher._seen
    rig.answer(rig.pool.sent[0])
    rig.dispatcher.forget_gone()
    assert rig.dispatcher._seen == {}


def test_retry_waits_for_the_budget():
    # Guards against a query that fails because a shard's server rejected it
    # in the instant in which the budget was empty.
    rig = Rig(shards=("a",), gather=None)
    budget = rig.dispatcher.budget("a")
    while budget.try_spend(rig.clock.now_ms()):
        pass
    rig.single()
    rig.reject(rig.pool.sent[0])
    assert rig.answers == []
    # The share of other requests fills the budget again.
    for _ in range(7):
        budget.on_sub_request()
    rig.advance(10)
    assert len(rig.pool.sent) == 2
    rig.answer(rig.pool.sent[1])
    assert rig.answers[0].status == 200


def test_retry_without_budget_ends_at_the_objective():
    # Guards against late requests that take the budget from those in time.
    rig = Rig(shards=("a",), gather=None)
    budget = rig.dispatcher.budget("a")
    budget.set_burst(0.5, 0.0)
    rig.single()
    rig.reject(rig.pool.sent[0])
    rig.advance(90)
    assert rig.answers == []
    rig.advance(20)
    assert rig.answers[0].status == 503
    assert len(rig.pool.sent) == 1


def test_rejecting_servers_are_left_to_the_others_when_the_budget_is_spent():
    # Plays a load in which two of three servers reject half of the requests,
    # while the budget bears a fifth. Rejected without budget, a shard is lost.
    rng = random.Random(1)
    rig = Rig(shards=("a",), servers=3, gather=None)
    rig.dispatcher.budget("a").set_burst(2.0, 0.0)
    verdicts, done = [], set()
    for step in range(600):
        now_ms = rig.clock.now_ms()
        rig.job = dataclasses.replace(
            rig.job,
            started_ms=now_ms,
            target_ms=now_ms + 100,
            deadline_ms=now_ms + 1000,
        )
        for _ in range(rng.choice((0, 0, 1, 4))):
            rig.single()
        rig.advance(10)
        for i, call in enumerate(rig.pool.sent):
            if i == len(verdicts):
                is_good = call.address.startswith("a2") or rng.random() < 0.5
                verdicts.append((is_good, step))
            is_good, sent_at = verdicts[i]
            if i in done or call.cancelled:
                continue
            if not is_good:
                done.add(i)
                rig.reject(call)
            elif step - sent_at >= 2:
                done.add(i)
                rig.answer(call)
    # One server that rejects nothing has room for all of them.
    assert {answer.status for answer in rig.answers} == {200}
