"""HTTP client of a caller: entry addresses, retries and time limits."""

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

# Attempts of one request; each uses another address if there are several.
MAX_ATTEMPTS = 2
# A request is abandoned this long after its deadline.
ANSWER_GRACE_MS = 1000.0
ADDRESSES_TIMEOUT_MS = 1000.0
MIN_TTL_MS = 100.0
# Pause before the addresses are fetched again after GET /v1/addresses failed
# at every known address.
ADDRESS_RETRY_MS = 200.0


@dataclasses.dataclass(slots=True)
class RequestResult:
    """Result of one request, as its caller sees it.

    Attributes:
      status: HTTP status; 0 without an answer.
      body: Decoded body of the answer; empty without an answer.
      failure: `refused`, `cut_off`, `no_answer`, `no_connection` or
        `malformed`; empty with an answer.
      is_certain: Whether no attempt can have reached an entry without
        getting an answer.
      attempts: Number of attempts.
    """

    status: int
    body: dict[str, typing.Any]
    failure: str
    is_certain: bool
    attempts: int


OnResult = abc.Callable[[RequestResult], None]


class Caller:
    """Sends requests to the addresses that the entries publish.

    Attributes:
      failure_counts: Number of failed attempts by name of the failure.
      addresses_seen: All entry addresses that were received.
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
        self._entries = tuple(entries)
        self._connection_limit = connection_limit
        self._rng = rng
        self._addresses: tuple[str, ...] = ()
        self._closed = False
        self.failure_counts: collections.Counter[str] = collections.Counter()
        self.addresses_seen: set[str] = set()

    def start(self, on_ready: abc.Callable[[], None]) -> None:
        """Fetches addresses now and whenever their time to live expires.

        Args:
          on_ready: Called once, when the first addresses are received.
        """
        self._fetch(on_ready)

    def close(self) -> None:
        """Stops the periodic fetch of addresses."""
        self._closed = True

    def _fetch(self, on_ready: abc.Callable[[], None] | None) -> None:
        if self._closed:
            return
        sources = [*self._shuffled(self._addresses), *self._entries]
        self._fetch_from(sources, on_ready)

    def _fetch_from(self, candidates: list[str], on_ready) -> None:
        if not candidates:
            self._timers.after(ADDRESS_RETRY_MS, lambda: self._fetch(on_ready))
            return
        address, remaining = candidates[0], candidates[1:]
        payload = f"GET /v1/addresses HTTP/1.1\r\nhost: {address}\r\n\r\n"

        def on_reply(reply):
            timeout.cancel()
            ttl_ms = self._store_addresses(reply)
            if ttl_ms is None:
                cause = reply.failure.value if reply.failure else reply.status
                self._on_addresses_failed(address, cause)
                self._fetch_from(remaining, on_ready)
                return
            self._timers.after(ttl_ms, lambda: self._fetch(None))
            if on_ready is not None:
                on_ready()

        def on_timeout():
            exchange.abandon()
            self._on_addresses_failed(address, "no answer in time")
            self._fetch_from(remaining, on_ready)

        timeout = self._timers.after(ADDRESSES_TIMEOUT_MS, on_timeout)
        self._pool.set_server(address, self._connection_limit, 0)
        exchange = self._pool.send(address, payload.encode(), on_reply)

    def _on_addresses_failed(self, address: str, cause: str | int) -> None:
        self.failure_counts["addresses_failed"] += 1
        loguru.logger.bind(entry=address).warning(
            "failed to fetch entry addresses: {}", cause
        )

    def _store_addresses(self, reply: exchange_lib.Reply) -> float | None:
        """Stores the addresses of a reply and returns their time to live.

        Returns:
          Milliseconds, or None if the reply holds no valid addresses.
        """
        try:
            data = json.loads(reply.body)
            addresses = tuple(str(address) for address in data["addresses"])
            ttl_ms = max(float(data["ttl_ms"]), MIN_TTL_MS)
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
        self,
        body: dict[str, typing.Any],
        deadline_ms: float,
        on_result: OnResult,
    ) -> None:
        """Sends one request, and retries it at another address if it fails.

        Args:
          body: Body of POST /v1/requests without `deadline_ms`.
          deadline_ms: Remaining time of the request.
          on_result: Called once with the result.
        """
        _PendingRequest(self, body, deadline_ms, on_result).attempt()


class _PendingRequest:
    """One request with its attempts, until its result is known."""

    def __init__(self, caller: Caller, body, deadline_ms: float, on_result):
        self._caller = caller
        self._body = body
        self._on_result = on_result
        self._deadline_at_ms = caller._clock.now_ms() + deadline_ms
        self._addresses = caller._shuffled(caller._addresses)
        self._attempts = 0
        self._is_certain = True
        self._exchange: exchange_lib.Exchange | None = None
        self._timeout = caller._timers.after(
            deadline_ms + ANSWER_GRACE_MS, self._on_timeout
        )

    def attempt(self) -> None:
        caller = self._caller
        remaining_ms = self._deadline_at_ms - caller._clock.now_ms()
        address = self._addresses[self._attempts % len(self._addresses)]
        self._attempts += 1
        body = json.dumps({**self._body, "deadline_ms": max(remaining_ms, 1.0)})
        payload = (
            f"POST /v1/requests HTTP/1.1\r\nhost: {address}\r\n"
            "content-type: application/json\r\n"
            f"content-length: {len(body)}\r\n\r\n{body}"
        )
        caller._pool.set_server(address, caller._connection_limit, 0)
        exchange = caller._pool.send(
            address, payload.encode("ascii"), self._on_reply
        )
        # If the send failed at once, `_on_reply` has run already and may have
        # started the next attempt, whose exchange must not be overwritten.
        if exchange.on_reply is not None:
            self._exchange = exchange

    def _on_reply(self, reply: exchange_lib.Reply) -> None:
        if reply.failure is None:
            self._on_answer(reply)
            return
        if reply.failure is exchange_lib.Failure.NO_CONNECTION:
            self._on_failure("no_connection", retry=False)
        elif not reply.reached:
            self._on_failure("refused", retry=True)
        else:
            self._is_certain = False
            # A retry is safe: the request is repeatable, or both attempts
            # have the same idempotency key.
            self._on_failure("cut_off", retry=True)

    def _on_answer(self, reply: exchange_lib.Reply) -> None:
        try:
            body = json.loads(reply.body)
            code = body.get("error", {}).get("code")
        except (ValueError, AttributeError):
            self._on_failure("malformed", retry=False)
            return
        if code == "isolated" and self._can_retry():
            self._caller.failure_counts["isolated"] += 1
            self.attempt()
            return
        self._finish(
            RequestResult(
                reply.status, body, "", self._is_certain, self._attempts
            )
        )

    def _can_retry(self) -> bool:
        remaining_ms = self._deadline_at_ms - self._caller._clock.now_ms()
        return self._attempts < MAX_ATTEMPTS and remaining_ms > 0

    def _on_failure(self, failure: str, retry: bool) -> None:
        self._caller.failure_counts[failure] += 1
        if retry and self._can_retry():
            self.attempt()
            return
        self._finish(
            RequestResult(0, {}, failure, self._is_certain, self._attempts)
        )

    def _on_timeout(self) -> None:
        if self._exchange is not None:
            self._exchange.abandon()
        self._is_certain = False
        self._on_failure("no_answer", retry=False)

    def _finish(self, result: RequestResult) -> None:
        self._timeout.cancel()
        self._on_result(result)
