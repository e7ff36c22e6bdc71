"""Fakes of the entry's dependencies, for tests of the pass-through mode."""

import types

from auburnway.core import clock as clock_lib
from auburnway.core import route_table
from auburnway.core import server_table
from auburnway.gateway import client_request as client_request_lib
from auburnway.gateway import dialect as dialect_lib
from auburnway.gateway import dispatcher as dispatcher_lib
from auburnway.gateway import settings as settings_lib
from auburnway.gateway import sub_request as sub_request_lib
from auburnway.kernel import process
from auburnway.net import exchange
from auburnway.net import socket_set
from auburnway.net import web_connection
from auburnway.policy import crash_containment

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


class FakePool:
    """Fake connection pool that records the sends and opens no connections."""

    def __init__(self):
        self.sent = []
        self.has_free_connections = True
        self.crashed = set()

    def set_limit(self, address, limit):
        pass

    def has_capacity(self, address):
        return self.has_free_connections

    def check(self, address, on_result):
        on_result(address not in self.crashed)

    def send(self, address, payload, on_reply, *_):
        call = types.SimpleNamespace(
            address=address, payload=payload, on_reply=on_reply, cancelled=False
        )

        def cancel():
            call.cancelled = True

        call.cancel = cancel
        self.sent.append(call)
        return call


class GatewayHarness:
    """Dispatcher over a fake pool, with backend servers for each shard."""

    def __init__(self, shards=("a", "b"), servers=2, **route):
        self.clock = clock_lib.ManualClock()
        self.loop = process.Loop(self.clock)
        table = server_table.Table()
        for shard in shards:
            for i in range(servers):
                table.put(row(shard, i), 0.0)
        self.feed = types.SimpleNamespace(
            table=table,
            entries=types.SimpleNamespace(
                active_count=1, active_addresses=(SETTINGS.client_address,)
            ),
            containment=crash_containment.Containment(),
            on_trial=None,
            told=[],
            trial_questions=[],
        )
        self.feed.send_to_all = self.feed.told.append
        self.feed.ask_trial = self._ask_trial
        self.dispatcher = dispatcher_lib.Dispatcher(
            SETTINGS,
            DIALECT,
            self.loop,
            socket_set.SocketSet(self.loop.poller),
            self.feed,
        )
        self.pool = self.dispatcher.pool = FakePool()
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
        self.context = sub_request_lib.RequestContext(
            b"id",
            self.route,
            b"GET / HTTP/1.1\r\n",
            b"",
            False,
            0,
            100,
            100,
            1000,
            (b"GET", b"h", b"/", b""),
        )
        self.answers = []

    def _ask_trial(self, question):
        self.feed.trial_questions.append(question)
        return True

    def gather(self):
        client_request_lib.GatheredRequest(
            self.dispatcher,
            DIALECT,
            self.context,
            dict.fromkeys(self.route.gather.shards),
            self.answers.append,
        ).start()

    def single(self):
        client_request = client_request_lib.SingleRequest(
            self.dispatcher, self.context, "a", self.answers.append
        )
        client_request.start()
        return client_request

    def advance(self, duration_ms):
        for _ in range(int(duration_ms)):
            self.clock.advance(1.0)
            self.loop.timers.run_due()

    def sent_to(self, shard):
        return [c for c in self.pool.sent if c.address.startswith(shard)]

    def answer(
        self, call, status=200, body=b"x" * 16, signature=None, headers=None
    ):
        fields = dict(headers or {})
        if signature is not False:
            fields[b"x-signature"] = signature or call.address.encode()
        headers = tuple(fields.items())
        call.on_reply(web_connection.Reply(status, headers, fields, body))

    def reject(self, call):
        fields = {b"x-not-started": b"1"}
        call.on_reply(web_connection.Reply(503, (), fields))

    def crash(self, call):
        self.pool.crashed.add(call.address)
        self.lose_connection(call)

    def lose_connection(self, call, reached=True):
        call.on_reply(web_connection.Reply(0, failure=LOST, reached=reached))


def row(shard, i):
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
