"""One client request: over one service, or gathered over many shards."""

from collections import abc
import dataclasses
import random

from auburnway.core import route_table
from auburnway.core import server_table
from auburnway.gateway import attempts
from auburnway.gateway import dialect as dialect_lib
from auburnway.gateway import dispatcher as dispatcher_lib
from auburnway.gateway import leg as leg_lib
from auburnway.gateway import merge

# Headers that concern one connection only; RFC 9110, section 7.6.1.
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
# Time from the last moment for a complete answer to the latency objective:
# merging the parts and sending them takes about this long.
ANSWER_MS = 3.0
# A refused client may come back after this time, or after part of the route's
# latency objective when that is longer.
MIN_RETRY_AFTER_MS = 30.0
RETRY_AFTER_SHARE = 0.3
# A client waits at most this part of the time that it has left.
MAX_RETRY_AFTER_SHARE = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Final answer to a client.

    Attributes:
      status: HTTP status.
      headers: Pairs of name and value.
      body: Body.
      reason: Short name of the cause, for logs and metrics.
      coverage: Share of the shards that are in; 1 for a single service.
      missing: Shards that are not in, each with what is known of it.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    reason: str = "ok"
    coverage: float = 1.0
    missing: tuple[str, ...] = ()


OnAnswer = abc.Callable[[Answer], None]


def refusal(status: int, reason: str, retry_after_ms: float = 0.0) -> Answer:
    """Returns an answer of the entry's own.

    Args:
      status: HTTP status; 429 and 503 say that the request has not run and
        never will.
      reason: Short name of the cause.
      retry_after_ms: When the client may come back; 0 states nothing.
    """
    headers = [(b"Content-Type", b"text/plain")]
    if retry_after_ms > 0:
        value = b"%.3f" % (retry_after_ms / 1000.0)
        headers.append((b"Retry-After", value))
    body = reason.replace("_", " ").encode() + b"\n"
    return Answer(status, tuple(headers), body, reason, 0.0)


def retry_after_ms(route: route_table.Route) -> float:
    """Returns when a refused request of a route may come back."""
    return max(MIN_RETRY_AFTER_MS, RETRY_AFTER_SHARE * route.target_ms)


def spread_retry_after_ms(
    route: route_table.Route, left_ms: float, rng: random.Random
) -> float:
    """Returns when a request that found no room may come back.

    Clients that are refused together must not come back together.

    Args:
      route: Its route.
      left_ms: Time that the client has left.
      rng: Spreads the returns.
    """
    low_ms = retry_after_ms(route)
    high_ms = max(MAX_RETRY_AFTER_SHARE * left_ms, low_ms)
    return rng.uniform(low_ms, high_ms)


def _without_reply(route, may_have_run: bool, reason: str) -> Answer:
    if may_have_run:
        return refusal(502, reason)
    return refusal(503, reason, retry_after_ms(route))


class Single:
    """A request to one service, whose reply is passed on unchanged."""

    def __init__(
        self,
        dispatcher: dispatcher_lib.Dispatcher,
        job: leg_lib.Job,
        service: str,
        on_answer: OnAnswer,
    ):
        self._job = job
        self._on_answer = on_answer
        self._leg = leg_lib.Leg(dispatcher, job, service, self._on_done)
        self._timer = dispatcher.timers.after(
            job.deadline_ms - job.started_ms, self._on_deadline
        )

    def start(self) -> None:
        """Begins the work."""
        self._leg.start()

    def cancel(self) -> None:
        """Ends the work without an answer, as the client has left."""
        self._timer.cancel()
        self._leg.cancel()

    def _on_deadline(self) -> None:
        may_have_run = self._leg.may_have_run
        self._leg.cancel()
        if may_have_run:
            self._on_answer(refusal(504, "timed_out"))
        else:
            self._on_answer(_without_reply(self._job.route, False, "timed_out"))

    def _on_done(self, leg: leg_lib.Leg) -> None:
        self._timer.cancel()
        reply = leg.reply
        if reply is None:
            answer = _without_reply(
                self._job.route,
                leg.outcome is not attempts.Outcome.NOT_RUN,
                "no_backend_server"
                if leg.outcome is attempts.Outcome.NOT_RUN
                else "backend_server_lost",
            )
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


class Gathered:
    """A query over all shards of a route, merged into one answer.

    It is answered when all parts are in, or when the latency objective comes
    and enough parts are in; past it, as soon as enough parts are in.
    """

    def __init__(
        self,
        dispatcher: dispatcher_lib.Dispatcher,
        dialect: dialect_lib.Dialect,
        job: leg_lib.Job,
        shards: abc.Mapping[str, server_table.Row | None],
        on_answer: OnAnswer,
    ):
        """Creates the job.

        Args:
          dispatcher: Sends the sub-requests.
          dialect: Header names.
          job: The request.
          shards: Shards of the route that the query is sent to, each with
            its best server.
          on_answer: Called once with the answer.
        """
        self._dispatcher = dispatcher
        self._dialect = dialect
        self._job = job
        self._gather = job.route.gather
        self._on_answer = on_answer
        self._is_late = False
        self._is_done = False
        self._parts: dict[str, leg_lib.Leg] = {}
        self._signatures: set[bytes] = set()
        self._open = len(shards)
        self._legs = [
            leg_lib.Leg(dispatcher, job, shard, self._on_leg, first)
            for shard, first in shards.items()
        ]
        now_ms = dispatcher.now_ms()
        self._timers = [
            dispatcher.timers.after(
                max(job.target_ms - ANSWER_MS - now_ms, 0.0), self._on_target
            ),
            dispatcher.timers.after(
                job.deadline_ms - now_ms, self._on_deadline
            ),
        ]

    def start(self) -> None:
        """Sends all sub-requests."""
        for leg in self._legs:
            if self._is_done:
                return
            leg.start()

    def cancel(self) -> None:
        """Ends the work without an answer."""
        self._is_done = True
        for timer in self._timers:
            timer.cancel()
        for leg in self._legs:
            leg.cancel()

    @property
    def _coverage(self) -> float:
        return len(self._parts) / len(self._gather.shards)

    @property
    def _has_enough(self) -> bool:
        return bool(self._parts) and (
            self._coverage >= self._gather.min_coverage - 1e-9
        )

    def _on_leg(self, leg: leg_lib.Leg) -> None:
        if self._is_done:
            return
        self._open -= 1
        if leg.outcome is attempts.Outcome.SUCCESS and self._is_part(leg):
            self._parts[leg.service] = leg
            self._signatures.add(self._signature(leg))
        if self._open == 0 or (self._is_late and self._has_enough):
            self._finish("incomplete")

    def _is_part(self, leg: leg_lib.Leg) -> bool:
        # Two equal signatures would make the whole answer wrong.
        is_new = self._signature(leg) not in self._signatures
        return leg.reply.status == 200 and is_new

    def _signature(self, leg: leg_lib.Leg) -> bytes:
        return leg.reply.fields[self._dialect.signature]

    def _on_target(self) -> None:
        self._is_late = True
        if self._has_enough:
            self._finish("incomplete")

    def _on_deadline(self) -> None:
        self._finish("timed_out")

    def _missing(self) -> tuple[str, ...]:
        """Returns the shards that are not in, each with its state."""
        states = dict.fromkeys(self._gather.shards, "not asked")
        for leg in self._legs:
            states[leg.service] = leg.state
        return tuple(
            f"{shard}: {state}"
            for shard, state in states.items()
            if shard not in self._parts
        )

    def _finish(self, reason: str) -> None:
        may_have_run = any(leg.may_have_run for leg in self._legs)
        missing = self._missing()
        self.cancel()
        if not self._has_enough:
            if may_have_run:
                status = 504 if reason == "timed_out" else 502
                answer = refusal(status, reason)
            else:
                answer = _without_reply(
                    self._job.route, False, "no_backend_server"
                )
            answer = dataclasses.replace(
                answer, coverage=self._coverage, missing=missing
            )
            self._on_answer(answer)
            return
        legs = tuple(self._parts.values())
        headers = (
            (self._dialect.request_id, self._job.request_id),
            (
                self._dialect.part_signatures,
                b", ".join(map(self._signature, legs)),
            ),
            (self._dialect.missing_parts, b"%d" % len(missing)),
            (b"Content-Type", b"application/octet-stream"),
        )
        body = merge.top_records(
            (leg.reply.body for leg in legs), self._gather.top_records
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
