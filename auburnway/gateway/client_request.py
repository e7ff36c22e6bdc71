"""Processing of a client request by one service or by many shards."""

from collections import abc
import dataclasses
import math
import random

from auburnway.core import route_table
from auburnway.core import server_table
from auburnway.gateway import attempts
from auburnway.gateway import dialect as dialect_lib
from auburnway.gateway import dispatcher as dispatcher_lib
from auburnway.gateway import merge
from auburnway.gateway import sub_request as sub_request_lib
from auburnway.net import web_connection

# Hop-by-hop headers; RFC 9110, section 7.6.1.
HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# Time reserved before a partial answer is due for merging the parts and sending
# the answer.
ANSWER_MS = 3.0
# Minimum time after which a refused client may retry. The time is this share of
# the route's latency objective if that share is longer.
MIN_RETRY_AFTER_MS = 30.0
RETRY_AFTER_SHARE = 0.3
# Upper bound of the time until a retry, as a share of the client's time left.
MAX_RETRY_AFTER_SHARE = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Final answer to a client.

    Attributes:
      status: HTTP status.
      headers: Pairs of name and value.
      body: HTTP body.
      reason: Short name of the cause, for logs and metrics.
      coverage: Share of the shards that the answer includes; 1 for a single
        service.
      missing: Missing shards, each with the state of its sub-request.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    reason: str = "ok"
    coverage: float = 1.0
    missing: tuple[str, ...] = ()


AnswerCallback = abc.Callable[[Answer], None]


def refusal(status: int, reason: str, retry_after_ms: float = 0.0) -> Answer:
    """Returns an error answer that the entry itself creates.

    Args:
      status: HTTP status; 429 and 503 mean that the request has not run and
        will not run.
      reason: Short name of the cause.
      retry_after_ms: Time after which the client may retry; with 0 the answer
        has no Retry-After header.
    """
    headers = [(b"Content-Type", b"text/plain")]
    if retry_after_ms > 0:
        value = b"%.3f" % (retry_after_ms / 1000.0)
        headers.append((b"Retry-After", value))
    body = reason.replace("_", " ").encode() + b"\n"
    return Answer(status, tuple(headers), body, reason, 0.0)


def retry_after_ms(route: route_table.Route) -> float:
    """Returns the time after which a refused request may be retried."""
    return max(MIN_RETRY_AFTER_MS, RETRY_AFTER_SHARE * route.target_ms)


def stated_wait_ms(wait_ms: float, retry_ms: float) -> float:
    """Returns the time after which a refused client is asked back.

    Args:
      wait_ms: Time until the servers may be sent a request; infinite if this
        entry has no part of their limits, while another one may have.
      retry_ms: Time after which a refused client may come back otherwise.
    """
    return max(wait_ms, retry_ms) if math.isfinite(wait_ms) else retry_ms


def random_retry_after_ms(
    route: route_table.Route, left_ms: float, rng: random.Random
) -> float:
    """Returns a random time after which a refused request may be retried.

    The time is random so that clients that are refused at the same time do not
    retry at the same time.

    Args:
      route: Route of the request.
      left_ms: Time left until the client's deadline.
      rng: Random number generator.
    """
    low_ms = retry_after_ms(route)
    high_ms = max(MAX_RETRY_AFTER_SHARE * left_ms, low_ms)
    return rng.uniform(low_ms, high_ms)


def _no_reply_answer(
    route, may_have_run: bool, reason: str, wait_ms: float = 0.0
) -> Answer:
    if may_have_run:
        return refusal(502, reason)
    return refusal(503, reason, stated_wait_ms(wait_ms, retry_after_ms(route)))


def _is_unsigned_success(
    reply: web_connection.Reply, signature_name: bytes
) -> bool:
    """Whether a reply looks like a success but nobody has signed it."""
    return 200 <= reply.status < 300 and signature_name not in reply.fields


class SingleRequest:
    """A request to one service, whose reply is returned to the client.

    Status and body are unchanged; hop-by-hop headers are removed. A success
    without a signature is not passed on: its sender may not be the server.
    """

    def __init__(
        self,
        dispatcher: dispatcher_lib.Dispatcher,
        context: sub_request_lib.RequestContext,
        service: str,
        on_answer: AnswerCallback,
    ):
        self._context = context
        self._on_answer = on_answer
        self._signature_name = dispatcher.signature_name
        self._sub_request = sub_request_lib.SubRequest(
            dispatcher, context, service, self._on_done
        )
        self._timer = dispatcher.timers.after(
            context.deadline_ms - context.started_ms, self._on_deadline
        )

    def start(self) -> None:
        """Sends the request."""
        self._sub_request.start()

    def cancel(self) -> None:
        """Cancels the request without an answer, as the client disconnected."""
        self._timer.cancel()
        self._sub_request.cancel()

    def missing(self) -> tuple[str, ...]:
        """Returns the service with the state of its sub-request."""
        return (f"{self._sub_request.service}: {self._sub_request.state}",)

    def end(self, reason: str) -> None:
        """Answers the request now, without the reply of a server.

        Args:
          reason: Short name of the cause.
        """
        self._timer.cancel()
        may_have_run = self._sub_request.may_have_run
        self._sub_request.cancel()
        if may_have_run:
            self._on_answer(refusal(504, reason))
        else:
            self._on_answer(
                _no_reply_answer(self._context.route, False, reason)
            )

    def _on_deadline(self) -> None:
        self.end("timed_out")

    def _on_done(self, sub_request: sub_request_lib.SubRequest) -> None:
        self._timer.cancel()
        reply = sub_request.reply
        if reply is None:
            answer = self._answer_without_reply(sub_request)
        elif _is_unsigned_success(reply, self._signature_name):
            answer = refusal(502, "unsigned_reply")
        else:
            headers = tuple(
                (name, value)
                for name, value in reply.headers
                if name.lower() not in HOP_HEADERS
                and name.lower() != b"content-length"
            )
            reason = "ok" if reply.status < 500 else "backend_server_failed"
            answer = Answer(reply.status, headers, reply.body, reason)
        self._on_answer(answer)

    def _answer_without_reply(
        self, sub_request: sub_request_lib.SubRequest
    ) -> Answer:
        if sub_request.outcome is not attempts.Outcome.NOT_RUN:
            reason = "backend_server_lost"
        else:
            reason = sub_request.wait_reason or "no_backend_server"
        return _no_reply_answer(
            self._context.route,
            sub_request.may_have_run,
            reason,
            sub_request.wait_ms,
        )


class GatheredRequest:
    """A query over the shards of a route, whose replies are merged.

    The query is answered when all parts have arrived, or shortly before the
    latency objective if enough parts have arrived by then. After that it is
    answered as soon as enough parts have arrived.
    """

    def __init__(
        self,
        dispatcher: dispatcher_lib.Dispatcher,
        dialect: dialect_lib.Dialect,
        context: sub_request_lib.RequestContext,
        shards: abc.Mapping[str, server_table.Row | None],
        on_answer: AnswerCallback,
    ):
        """Creates the query and starts its timers.

        Args:
          dispatcher: Dispatcher that the sub-requests are sent through.
          dialect: Header names.
          context: The client request.
          shards: Shards of the route that the query is sent to, each with
            its best server.
          on_answer: Called once with the answer.
        """
        self._dispatcher = dispatcher
        self._dialect = dialect
        self._context = context
        self._gather = context.route.gather
        self._on_answer = on_answer
        self._is_past_target = False
        self._is_done = False
        self._parts: dict[str, sub_request_lib.SubRequest] = {}
        self._signatures: set[bytes] = set()
        self._open_count = len(shards)
        self._sub_requests = [
            sub_request_lib.SubRequest(
                dispatcher, context, shard, self._on_sub_request_done, first_row
            )
            for shard, first_row in shards.items()
        ]
        now_ms = dispatcher.now_ms()
        self._timers = [
            dispatcher.timers.after(
                max(context.partial_ms - ANSWER_MS - now_ms, 0.0),
                self._on_target,
            ),
            dispatcher.timers.after(
                context.deadline_ms - now_ms, self._on_deadline
            ),
        ]

    def start(self) -> None:
        """Sends all sub-requests."""
        for sub_request in self._sub_requests:
            if self._is_done:
                return
            sub_request.start()

    def cancel(self) -> None:
        """Cancels the query without an answer."""
        self._is_done = True
        for timer in self._timers:
            timer.cancel()
        for sub_request in self._sub_requests:
            sub_request.cancel()

    def end(self, reason: str) -> None:
        """Answers the query now, with the parts that have arrived.

        Args:
          reason: Short name of the cause, if there are too few parts.
        """
        if not self._is_done:
            self._finish(reason)

    @property
    def _coverage(self) -> float:
        return len(self._parts) / len(self._gather.shards)

    @property
    def _has_enough_parts(self) -> bool:
        return bool(self._parts) and (
            self._coverage >= self._gather.min_coverage - 1e-9
        )

    @property
    def _is_success_possible(self) -> bool:
        """Whether the parts in hand and those to come can be enough."""
        count = len(self._parts) + self._open_count
        shards = len(self._gather.shards)
        return count >= self._gather.min_coverage * shards - 1e-9

    def _on_sub_request_done(
        self, sub_request: sub_request_lib.SubRequest
    ) -> None:
        if self._is_done:
            return
        self._open_count -= 1
        if sub_request.outcome is attempts.Outcome.SUCCESS and self._is_part(
            sub_request
        ):
            self._trim(sub_request)
            self._parts[sub_request.service] = sub_request
            self._signatures.add(self._signature(sub_request))
        if self._open_count == 0 or (
            self._is_past_target and self._has_enough_parts
        ):
            self._finish("incomplete")
        elif not self._is_success_possible:
            # Retries for an answer that will fail anyway would take the
            # budget of other queries.
            for other in self._sub_requests:
                other.stop_retrying()

    def _trim(self, sub_request: sub_request_lib.SubRequest) -> None:
        """Keeps only the records of a part that the answer can include."""
        reply, count = sub_request.reply, self._gather.top_records
        if len(reply.body) <= count * merge.RECORD_BYTES:
            return
        body = merge.top_records((reply.body,), count)
        sub_request.reply = dataclasses.replace(reply, body=body)

    def _is_part(self, sub_request: sub_request_lib.SubRequest) -> bool:
        # Two parts with equal signatures would make the whole answer invalid.
        is_unique = self._signature(sub_request) not in self._signatures
        return sub_request.reply.status == 200 and is_unique

    def _signature(self, sub_request: sub_request_lib.SubRequest) -> bytes:
        return sub_request.reply.fields[self._dialect.signature]

    def _on_target(self) -> None:
        self._is_past_target = True
        if self._has_enough_parts:
            self._finish("incomplete")

    def _on_deadline(self) -> None:
        self._finish("timed_out")

    def missing(self) -> tuple[str, ...]:
        """Returns the missing shards with the states of their sub-requests."""
        states = dict.fromkeys(self._gather.shards, "not asked")
        for sub_request in self._sub_requests:
            states[sub_request.service] = sub_request.state
        return tuple(
            f"{shard}: {state}"
            for shard, state in states.items()
            if shard not in self._parts
        )

    def _finish(self, reason: str) -> None:
        may_have_run = any(
            sub_request.may_have_run for sub_request in self._sub_requests
        )
        missing = self.missing()
        self.cancel()
        if not self._has_enough_parts:
            if may_have_run:
                status = 504 if reason == "timed_out" else 502
                answer = refusal(status, reason)
            else:
                waiting = max(self._sub_requests, key=lambda s: s.wait_ms)
                answer = _no_reply_answer(
                    self._context.route,
                    False,
                    waiting.wait_reason or "no_backend_server",
                    waiting.wait_ms,
                )
            answer = dataclasses.replace(
                answer, coverage=self._coverage, missing=missing
            )
            self._on_answer(answer)
            return
        parts = tuple(self._parts.values())
        headers = (
            (self._dialect.request_id, self._context.request_id),
            (
                self._dialect.part_signatures,
                b", ".join(map(self._signature, parts)),
            ),
            (self._dialect.missing_parts, b"%d" % len(missing)),
            (b"Content-Type", b"application/octet-stream"),
        )
        body = merge.top_records(
            (sub_request.reply.body for sub_request in parts),
            self._gather.top_records,
        )
        self._on_answer(
            Answer(
                200,
                headers,
                body,
                "partial" if missing else "ok",
                self._coverage,
                missing,
            )
        )


ClientRequest = SingleRequest | GatheredRequest
