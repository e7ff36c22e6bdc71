"""Fakes of the entry's dependencies, for tests."""

import json
import random

from returns import result

from auburnway.core import clock as clock_lib
from auburnway.core import configuration as configuration_lib
from auburnway.core import membership
from auburnway.core import request as request_lib
from auburnway.core import snapshot as snapshot_lib
from auburnway.entry import backends as backends_lib
from auburnway.entry import claim_client
from auburnway.entry import crash_guard
from auburnway.kernel import timers as timers_lib
from auburnway.net import exchange as exchange_lib
from auburnway.policy import quarantine
from auburnway.policy import replica_choice
from auburnway.policy import retry_budget
from auburnway.rpc import control_pb2


class FakePool:
    """Connection pool whose exchanges the test answers.

    Each call is a tuple of address, headers, decoded body and exchange.
    """

    def __init__(self):
        self.calls: list[tuple[str, dict, dict, exchange_lib.Exchange]] = []
        self.cancelled: list[str] = []
        self.sent: list[tuple[str, dict]] = []

    def send(self, address, payload, on_reply, max_silence_ms=None):
        head, _, body = payload.partition(b"\r\n\r\n")
        exchange = exchange_lib.Exchange(payload, on_reply, 0.0)
        data = json.loads(body)
        if b"/v1/cancel" in head:
            self.cancelled.append(data["request_id"])
            return exchange
        lines = head.decode().split("\r\n")[1:]
        headers = dict(line.split(": ", 1) for line in lines)
        exchange.sent = True
        self.calls.append((address, headers, data, exchange))
        self.sent.append((address, data))
        return exchange

    def has_capacity(self, address):
        return True

    def pending_calls(self, shard=None):
        """Returns the calls without a reply, of one shard or of all."""
        return [
            call
            for call in self.calls
            if call[3].on_reply is not None
            and (shard is None or call[2]["shard"] == shard)
        ]

    def answer(self, call, records=(), **changes):
        """Sends a valid reply; `changes` replaces fields of its body."""
        _, headers, data, exchange = call
        body = {
            "request_id": headers["x-request-id"],
            "snapshot": data["snapshot"],
            "shard": data["shard"],
            "records": list(records) or [f"r{data['shard']}"],
            **changes,
        }
        exchange.finish(
            exchange_lib.Reply(200, {}, json.dumps(body).encode(), None, True)
        )

    def refuse(self, call, status=503):
        """Sends a reply with a guarantee that the work did not start."""
        headers = {"x-not-started": "1"}
        call[3].finish(exchange_lib.Reply(status, headers, b"", None, True))

    def break_connection(self, call, reached=True):
        """Ends the exchange as if the connection failed."""
        failure = (
            exchange_lib.Failure.CONNECTION_LOST
            if reached
            else exchange_lib.Failure.CONNECT_FAILED
        )
        call[3].finish(exchange_lib.Reply(0, {}, b"", failure, reached))


class FakeControl:
    """Control whose replies are lists by method, used in order.

    The reply None is a failed call. When no reply is left, a call of `Strike`
    is answered at once unless `holds_strikes` is set; other calls stay pending.
    """

    def __init__(self):
        self.replies: dict[str, list] = {}
        self.calls: list[tuple[str, object]] = []
        self.pending: list = []
        self.holds_strikes = False

    def call_async(self, method, request, timeout_ms, on_done):
        self.calls.append((method, request))
        replies = self.replies.get(method)
        if not replies and method == "Strike" and not self.holds_strikes:
            replies = [control_pb2.TrialReply()]
        if not replies:
            self.pending.append((method, on_done))
            return
        reply = replies.pop(0)
        on_done(
            result.Failure("no answer")
            if reply is None
            else result.Success(reply)
        )

    def count_calls(self, method):
        """Returns the number of calls of a method."""
        return sum(name == method for name, _ in self.calls)


class DirectMailbox:
    """Mailbox that calls posted functions at once."""

    def post(self, function):
        function()


class FixedHedger:
    """Hedging policy with one hedge after a fixed delay."""

    max_extra = 1
    uses_budget = True
    cancels_previous = False

    def __init__(self, fixed_delay_ms=20.0):
        self._fixed_delay_ms = fixed_delay_ms

    def observe(self, application, latency_ms, now_ms):
        """Does nothing."""

    def delay_ms(self, application):
        return self._fixed_delay_ms


class Harness:
    """Parts of an entry connected to fakes, with a manual clock."""

    def __init__(self, shards=3, replicas=2, canary="off", snapshots=(1,)):
        self.clock = clock_lib.ManualClock(1000.0, 1_800_000_000_000)
        self.timers = timers_lib.TimerQueue(self.clock)
        self.pool = FakePool()
        self.control = FakeControl()
        self.table = membership.Table(5000.0)
        self.answers = []
        rng = random.Random(1)
        guard = crash_guard.CrashGuard(
            quarantine.Quarantine(600_000.0),
            self.control,
            DirectMailbox(),
            self.clock,
            "entry-1",
            "i1",
            lambda strikes: None,
        )
        self.backends = backends_lib.Backends(
            pool=self.pool,
            timers=self.timers,
            clock=self.clock,
            table=self.table,
            rng=rng,
            chooser=replica_choice.Chooser(rng, "dc1"),
            hedger=FixedHedger(),
            budget=retry_budget.Budget(),
            guard=guard,
            on_state=lambda name, state: None,
        )
        self.claims = claim_client.ClaimClient(
            self.control,
            DirectMailbox(),
            self.timers,
            self.clock,
            "entry-1",
            "i1",
        )
        # Earlier sub-requests fill the budget of hedges and retries.
        for _ in range(400):
            self.backends.budget.on_sub_request()
        self.canary = canary
        for shard in range(shards):
            for replica in range(replicas):
                self.put_server(f"s{shard}-{replica}", shard, shards, snapshots)

    def put_server(self, name, shard, shards, snapshots, sequence=1, weight=10):
        """Announces a backend server."""
        weights = tuple((s, weight + s) for s in range(shards))
        row = membership.Row(
            name=name,
            started_ms=1,
            sequence=sequence,
            application="app",
            address=name,
            data_center="dc1",
            state=membership.State.SERVING,
            slots=3,
            connection_limit=10,
            holdings=tuple(snapshot_lib.Holding(s, shard) for s in snapshots),
            manifests=tuple(
                snapshot_lib.Manifest(s, weights) for s in snapshots
            ),
        )
        self.table.put(row, self.clock.now_ms())

    def request(
        self, request_id="q1", deadline_ms=500.0, key="", may_be_resend=False
    ):
        """Returns a request; `key` makes its kind non-repeatable."""
        kind = configuration_lib.Kind(
            "find", "app", "urgent", repeatable=not key, canary=self.canary
        )
        return request_lib.Request(
            request_id=request_id,
            caller=configuration_lib.Caller("caller"),
            kind=kind,
            rank=configuration_lib.Rank("urgent", 0, 0.5, 200.0),
            deadline_at_ms=self.clock.now_ms() + deadline_ms,
            query_json=b'{"a":"b"}',
            idempotency_key=key,
            may_be_resend=may_be_resend,
        )

    def advance(self, duration_ms, step_ms=1.0):
        """Advances the clock and runs timers that are due."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.advance(step_ms)
            self.timers.run_due()

    def grant_claim(self, attempt=1):
        """Returns a reply of control that grants a claim."""
        return control_pb2.ClaimReply(
            state="granted", claim_id=7, attempt=attempt, entry_incarnation="i1"
        )
