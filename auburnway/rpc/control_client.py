"""Client of the control group: finds the leader and limits each call's time.

A call ends in one of four ways. `Success` holds the reply, which may itself
contain an error. `NotExecuted` means that the call certainly had no effect.
`OutcomeUncertain` means that the call was sent and may have had, or may still
have, an effect. `BadToken` means that control rejected the fleet token.
"""

from collections import abc
from concurrent import futures
import threading
import typing

import grpc
from returns import result

from auburnway.core import clock as clock_lib
from auburnway.core import errors
from auburnway.rpc import channels
from auburnway.rpc import control_errors
from auburnway.rpc import control_pb2_grpc as pb_grpc

# Timeout of one attempt. A connection without a reply for this long is
# replaced, so the timeout exceeds the 400 ms for which the reply to a renewal
# may be delayed.
ATTEMPT_TIMEOUT_MS = 1000.0
# Pause after attempts at all instances, for an election to end meanwhile.
RETRY_PAUSE_MS = 50.0
# Calls that are sent again after an attempt with an uncertain outcome, because
# they have no effect or a repetition detects the effect of the first attempt.
RETRYABLE_METHODS = frozenset(
    ("Renew", "Read", "Plan", "Apply", "InForce", "Audit", "Status")
)
# Part of the details of a gRPC error for a call that never had a connection, so
# that no byte of the call was sent.
_CONNECT_FAILED_DETAIL = "failed to connect"

OnDone = abc.Callable[[result.Result], None]


class ControlClient:
    """Calls control instances; thread-safe.

    Args:
      addresses: `ip:port` of the control instances.
      token: Fleet token.
      clock: Source of time.
    """

    def __init__(
        self,
        addresses: abc.Sequence[str],
        token: str,
        clock: clock_lib.Clock,
    ):
        self.clock = clock
        self.metadata = channels.metadata(token)
        # In the order of attempts: instances that failed move to the end.
        self._addresses = list(addresses)
        self._lock = threading.Lock()
        self._leader = ""
        self._links: dict[str, _Link] = {}
        self._is_closed = False

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.close()

    def call(
        self,
        method: str,
        request: typing.Any,
        timeout_ms: float,
        address: str = "",
    ) -> result.Result[typing.Any, errors.Error]:
        """Makes a call and waits for its result.

        Args:
          method: Method of the gRPC service, such as `Read`.
          request: Request message of the method.
          timeout_ms: Time for all attempts together.
          address: `ip:port` of the only instance to call; empty for any.
        """
        future: futures.Future = futures.Future()
        self.call_async(method, request, timeout_ms, future.set_result, address)
        return future.result()

    def call_async(
        self,
        method: str,
        request: typing.Any,
        timeout_ms: float,
        on_done: OnDone,
        address: str = "",
    ) -> None:
        """Starts a call; `on_done` is called with its result.

        Args:
          method: Method of the gRPC service, such as `Renew`.
          request: Request message of the method.
          timeout_ms: Time for all attempts together.
          on_done: Called exactly once, usually on another thread; must not
            block.
          address: `ip:port` of the only instance to call; empty for any.
        """
        deadline_ms = self.clock.now_ms() + timeout_ms
        _Call(
            self, method, request, deadline_ms, on_done, address
        ).start_attempt()

    def close(self) -> None:
        """Closes all connections; calls in flight fail."""
        with self._lock:
            self._is_closed = True
            links = tuple(self._links.values())
            self._links.clear()
        for link in links:
            link.channel.close()

    def next_address(self, tried: abc.Collection[str]) -> str:
        """Returns the address of the next attempt; empty if all were tried."""
        with self._lock:
            if self._leader and self._leader not in tried:
                return self._leader
            for address in self._addresses:
                if address not in tried:
                    return address
        return ""

    def remember_leader(self, address: str) -> None:
        """Stores the address of the leader."""
        with self._lock:
            self._leader = address

    def forget_leader(self, address: str) -> None:
        """Drops the stored leader if it has this address."""
        with self._lock:
            if self._leader == address:
                self._leader = ""

    def deprioritize(self, address: str) -> None:
        """Moves a failed instance to the end of the order of attempts.

        Otherwise every call that must not be sent twice would be sent to the
        unresponsive instance first, and all of these calls would fail.
        """
        self.forget_leader(address)
        with self._lock:
            if address in self._addresses:
                self._addresses.remove(address)
                self._addresses.append(address)

    def acquire_link(self, address: str) -> "_Link | None":
        """Returns the link for one attempt; None after `close`."""
        with self._lock:
            if self._is_closed:
                return None
            link = self._links.get(address)
            if link is None:
                link = self._links[address] = _Link(address)
            link.in_flight += 1
            return link

    def release_link(
        self, link: "_Link", started_ms: float, timed_out: bool
    ) -> None:
        """Ends an attempt on a link, and replaces the link if it stalled.

        A link has stalled if the attempt timed out and no call on the link got
        a reply since the attempt started. Other calls on the link are not
        cancelled; the link is closed after the last of them.
        """
        with self._lock:
            link.in_flight -= 1
            if not timed_out:
                link.last_reply_ms = self.clock.now_ms()
            elif link.last_reply_ms < started_ms:
                link.is_replaced = True
                if self._links.get(link.address) is link:
                    del self._links[link.address]
            is_unused = link.is_replaced and not link.in_flight
        if is_unused:
            link.channel.close()


class _Link:
    """Connection to one control instance."""

    def __init__(self, address: str):
        self.address = address
        self.channel = channels.connect(address)
        self.stub = pb_grpc.ControlStub(self.channel)
        self.in_flight = 0
        self.last_reply_ms = float("-inf")
        self.is_replaced = False


class _Call:
    """One call, with attempts at one instance after another."""

    def __init__(self, client, method, request, deadline_ms, on_done, address):
        self._client = client
        self._method = method
        self._request = request
        self._deadline_ms = deadline_ms
        self._on_done = on_done
        self._only_address = address
        self._tried: set[str] = set()
        # Reported when the deadline passes.
        self._error: errors.Error = control_errors.NotExecuted(
            "no control instance answered in time", method
        )

    def start_attempt(self) -> None:
        """Sends the request to the next instance, or ends the call."""
        client = self._client
        now_ms = client.clock.now_ms()
        remaining_ms = self._deadline_ms - now_ms
        if remaining_ms <= 0:
            self._fail()
            return
        address = client.next_address(self._tried)
        if self._only_address:
            address = (
                "" if self._only_address in self._tried else self._only_address
            )
        if not address:
            self._tried.clear()
            retry_timer = threading.Timer(
                min(RETRY_PAUSE_MS, remaining_ms) / 1000.0, self.start_attempt
            )
            retry_timer.daemon = True
            retry_timer.start()
            return
        self._tried.add(address)
        link = client.acquire_link(address)
        if link is None:
            self._fail()
            return
        try:
            grpc_call = getattr(link.stub, self._method).future(
                self._request,
                timeout=min(remaining_ms, ATTEMPT_TIMEOUT_MS) / 1000.0,
                metadata=client.metadata,
            )
        except ValueError:
            # The client was closed after the link was acquired.
            client.release_link(link, now_ms, False)
            self._fail()
            return
        grpc_call.add_done_callback(
            lambda finished_call: self._on_attempt_end(
                link, now_ms, finished_call
            )
        )

    def _fail(self):
        self._on_done(result.Failure(self._error))

    def _on_attempt_end(self, link, started_ms, grpc_call):
        code = grpc_call.code()
        timed_out = code is grpc.StatusCode.DEADLINE_EXCEEDED
        self._client.release_link(link, started_ms, timed_out)
        if code is grpc.StatusCode.OK:
            self._on_reply(link, grpc_call.result())
            return
        self._client.deprioritize(link.address)
        if code is grpc.StatusCode.UNAUTHENTICATED:
            self._error = control_errors.BadToken(
                grpc_call.details(), link.address
            )
            self._fail()
            return
        was_never_sent = code is grpc.StatusCode.UNAVAILABLE and (
            _CONNECT_FAILED_DETAIL in (grpc_call.details() or "")
        )
        # The service returns this code before it executes any part of a call.
        was_rejected = code is grpc.StatusCode.RESOURCE_EXHAUSTED
        if was_never_sent or was_rejected:
            self.start_attempt()
            return
        self._on_uncertain(f"{code.name}: {grpc_call.details()}", link.address)

    def _on_reply(self, link, reply):
        error = _first_error(reply)
        if error is not None and error.code == control_errors.NotLeader.code:
            self._client.forget_leader(link.address)
            leader = error.leader_address
            if leader and leader not in self._tried:
                self._client.remember_leader(leader)
            self.start_attempt()
            return
        uncertain_code = control_errors.OutcomeUncertain.code
        if error is not None and error.code == uncertain_code:
            self._on_uncertain(error.message, link.address)
            return
        if self._method != "Status":
            self._client.remember_leader(link.address)
        self._on_done(result.Success(reply))

    def _on_uncertain(self, detail, address):
        self._error = control_errors.OutcomeUncertain(detail, address)
        if self._method in RETRYABLE_METHODS:
            self.start_attempt()
        else:
            self._fail()


def _first_error(reply):
    """Returns the first error of a reply, or None."""
    found_errors = getattr(reply, "errors", None)
    if found_errors is not None:
        return found_errors[0] if found_errors else None
    error = getattr(reply, "error", None)
    return error if error is not None and error.code else None
