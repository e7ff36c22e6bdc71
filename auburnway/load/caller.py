"""Client side of a caller: addresses, second address, time limit."""

import collections
from collections import abc
import dataclasses
import json
import random
import typing

import loguru

from auburnway.core import clock as clock_lib
from auburnway.kernel import timers as timers_lib
from auburnway.net import exchange as exchange_lib
from auburnway.net import http_client

# Attempts of one request; each takes another address if there is one.
MAX_ATTEMPTS = 2
# An answer that is this much later than its deadline is given up.
GRACE_MS = 1000.0
ADDRESSES_TIMEOUT_MS = 1000.0
LEAST_TTL_MS = 100.0
# Pause after an answer to GET /v1/addresses that cannot be used.
RETRY_MS = 200.0


@dataclasses.dataclass(slots=True)
class Ending:
    """How one request ended for its caller.

    Attributes:
      status: HTTP status; 0 without an answer.
      body: Decoded answer; empty without one.
      failure: `refused`, `cut_off`, `no_answer`, `no_connection` or
        `malformed`; empty with an answer.
      clean: No earlier attempt can have reached an entry without an answer.
      attempts: Attempts made.
    """

    status: int
    body: dict[str, typing.Any]
    failure: str
    clean: bool
    attempts: int


OnEnd = abc.Callable[[Ending], None]


class Caller:
    """Sends requests to the addresses that the entries name.

    Attributes:
      counts: Failures of single attempts by name.
    """

    def __init__(
        self,
        pool: http_client.HttpPool,
        timers: timers_lib.TimerQueue,
        clock: clock_lib.Clock,
        entries: abc.Sequence[str],
        connection_limit: int,
        rng: random.Random,
    ):
        self._pool = pool
        self._timers = timers
        self._clock = clock
        self._seeds = tuple(entries)
        self._connection_limit = connection_limit
        self._rng = rng
        self._addresses: tuple[str, ...] = ()
        self._closed = False
        self.counts: collections.Counter[str] = collections.Counter()
        self.addresses_seen: set[str] = set()

    def start(self, on_ready: abc.Callable[[], None]) -> None:
        """Fetches addresses, now and when their time to live ends.

        Args:
          on_ready: Called once, when the first addresses are known.
        """
        self._fetch(on_ready)

    def close(self) -> None:
        """Fetches no more addresses."""
        self._closed = True

    def _fetch(self, on_ready: abc.Callable[[], None] | None) -> None:
        if self._closed:
            return
        known = [*self._shuffled(self._addresses), *self._seeds]
        self._fetch_from(known, on_ready)

    def _fetch_from(self, left: list[str], on_ready) -> None:
        if not left:
            self._timers.after(RETRY_MS, lambda: self._fetch(on_ready))
            return
        address, others = left[0], left[1:]
        payload = f"GET /v1/addresses HTTP/1.1\r\nhost: {address}\r\n\r\n"

        def on_reply(reply):
            timeout.cancel()
            ttl_ms = self._take_addresses(reply)
            if ttl_ms is None:
                cause = reply.failure.value if reply.failure else reply.status
                self._on_addresses_failed(address, cause)
                self._fetch_from(others, on_ready)
                return
            self._timers.after(ttl_ms, lambda: self._fetch(None))
            if on_ready is not None:
                on_ready()

        def on_timeout():
            exchange.abandon()
            self._on_addresses_failed(address, "no answer in time")
            self._fetch_from(others, on_ready)

        timeout = self._timers.after(ADDRESSES_TIMEOUT_MS, on_timeout)
        self._pool.set_server(address, self._connection_limit, 0)
        exchange = self._pool.send(address, payload.encode(), on_reply)

    def _on_addresses_failed(self, address: str, cause: str | int) -> None:
        self.counts["addresses_failed"] += 1
        loguru.logger.bind(entry=address).warning(
            "a call for addresses failed: {}", cause
        )

    def _take_addresses(self, reply: exchange_lib.Reply) -> float | None:
        """Returns the time to live, or None when there are no addresses."""
        try:
            data = json.loads(reply.body)
            addresses = tuple(str(a) for a in data["addresses"])
            ttl_ms = max(float(data["ttl_ms"]), LEAST_TTL_MS)
        except (ValueError, KeyError, TypeError):
            return None
        if reply.status != 200 or not addresses:
            return None
        self._addresses = addresses
        self.addresses_seen.update(addresses)
        return ttl_ms

    def _shuffled(self, addresses: abc.Sequence[str]) -> list[str]:
        return self._rng.sample(addresses, len(addresses))

    def send(
        self, data: dict[str, typing.Any], deadline_ms: float, on_end: OnEnd
    ) -> None:
        """Sends one request, to a second address when the first fails.

        Args:
          data: Body of POST /v1/requests without `deadline_ms`.
          deadline_ms: Time left now.
          on_end: Called once.
        """
        _Sending(self, data, deadline_ms, on_end).attempt()


class _Sending:
    """One request and its attempts."""

    def __init__(self, caller: Caller, data, deadline_ms: float, on_end):
        self._caller = caller
        self._data = data
        self._on_end = on_end
        self._deadline_at_ms = caller._clock.now_ms() + deadline_ms
        self._addresses = caller._shuffled(caller._addresses)
        self._attempts = 0
        self._clean = True
        self._exchange: exchange_lib.Exchange | None = None
        self._timeout = caller._timers.after(
            deadline_ms + GRACE_MS, self._on_timeout
        )

    def attempt(self) -> None:
        caller = self._caller
        left_ms = self._deadline_at_ms - caller._clock.now_ms()
        address = self._addresses[self._attempts % len(self._addresses)]
        self._attempts += 1
        body = json.dumps({**self._data, "deadline_ms": max(left_ms, 1.0)})
        payload = (
            f"POST /v1/requests HTTP/1.1\r\nhost: {address}\r\n"
            "content-type: application/json\r\n"
            f"content-length: {len(body)}\r\n\r\n{body}"
        )
        caller._pool.set_server(address, caller._connection_limit, 0)
        exchange = caller._pool.send(
            address, payload.encode("ascii"), self._on_reply
        )
        # A failure at once has already started the next attempt.
        if exchange.on_reply is not None:
            self._exchange = exchange

    def _on_reply(self, reply: exchange_lib.Reply) -> None:
        if reply.failure is None:
            self._on_answer(reply)
            return
        if reply.failure is exchange_lib.Failure.NO_CONNECTION:
            self._fail("no_connection", again=False)
        elif not reply.reached:
            self._fail("refused", again=True)
        else:
            self._clean = False
            # A second attempt is safe: repeatable, or with the same key.
            self._fail("cut_off", again=True)

    def _on_answer(self, reply: exchange_lib.Reply) -> None:
        try:
            body = json.loads(reply.body)
            code = body.get("error", {}).get("code")
        except (ValueError, AttributeError):
            self._fail("malformed", again=False)
            return
        if code == "isolated" and self._may_try_again():
            self._caller.counts["isolated"] += 1
            self.attempt()
            return
        self._end(Ending(reply.status, body, "", self._clean, self._attempts))

    def _may_try_again(self) -> bool:
        left_ms = self._deadline_at_ms - self._caller._clock.now_ms()
        return self._attempts < MAX_ATTEMPTS and left_ms > 0

    def _fail(self, failure: str, again: bool) -> None:
        self._caller.counts[failure] += 1
        if again and self._may_try_again():
            self.attempt()
            return
        self._end(Ending(0, {}, failure, self._clean, self._attempts))

    def _on_timeout(self) -> None:
        if self._exchange is not None:
            self._exchange.abandon()
        self._clean = False
        self._fail("no_answer", again=False)

    def _end(self, ending: Ending) -> None:
        self._timeout.cancel()
        self._on_end(ending)
