"""Claims idempotency keys at control and settles the claims.

A settlement is repeated until control has recorded it, so that a resend with
the same key gets the outcome. If the reply with a grant is lost, the claim is
requested again and settled as not run, because this entry did not dispatch the
request.
"""

from collections import abc
import dataclasses
import typing

from auburnway.core import claims
from auburnway.core import clock as clock_lib
from auburnway.entry import control_call
from auburnway.kernel import mailbox as mailbox_lib
from auburnway.kernel import timers as timers_lib
from auburnway.rpc import control_errors
from auburnway.rpc import control_pb2

CLAIM_TIMEOUT_MS = 1500.0
SETTLE_TIMEOUT_MS = 1000.0
RETRY_DELAY_MS = 200.0
# A claim whose grant was lost is requested again for this long. Afterwards it
# stays open, and a resend gets the outcome unknown.
RECOVERY_LIMIT_MS = 600_000.0


@dataclasses.dataclass(frozen=True)
class Claim:
    """State of a key at control.

    Attributes:
      caller: Caller that issued the key.
      key: Idempotency key.
      state: `granted`, `open`, `done`, `unknown`, `conflict`, `expired` or
        `refused`.
      claim_id: Identifier of the claim.
      attempt: Number of the attempt with this key.
      result: Recorded answer if done; empty if the answer was too large.
    """

    caller: str
    key: str
    state: str
    claim_id: int = 0
    attempt: int = 0
    result: bytes = b""


class ClaimClient:
    """Claims keys for the requests of this entry."""

    def __init__(
        self,
        control: typing.Any,
        mailbox: mailbox_lib.Mailbox,
        timers: timers_lib.TimerQueue,
        clock: clock_lib.Clock,
        entry_name: str,
        entry_incarnation: str,
    ):
        self._control = control
        self._mailbox = mailbox
        self._timers = timers
        self._clock = clock
        self._entry_name = entry_name
        self._entry_incarnation = entry_incarnation
        # Caller and key of claims that a request of this entry holds or whose
        # grant was lost.
        self._held_keys: set[tuple[str, str]] = set()
        self.unsettled = 0

    def claim(
        self,
        caller: str,
        key: str,
        digest: str,
        time_left_ms: float,
        on_claim: abc.Callable[[Claim | None], None],
    ) -> None:
        """Claims an idempotency key for one request.

        Args:
          caller: Caller that issued the key.
          key: Idempotency key.
          digest: Digest of kind and query.
          time_left_ms: Time until the request's deadline.
          on_claim: Called on the loop with the state of the key, or with
            None if control did not answer in time.
        """
        caller_key = (caller, key)
        if caller_key in self._held_keys:
            # A request of this entry holds the claim; the caller of this
            # method asks again later.
            on_claim(Claim(caller, key, "open"))
            return
        self._held_keys.add(caller_key)

        def on_reply(claim):
            if claim is None:
                until_ms = self._clock.now_ms() + RECOVERY_LIMIT_MS
                self._recover(caller, key, digest, until_ms)
            elif claim.state != "granted":
                self._held_keys.discard(caller_key)
            on_claim(claim)

        timeout_ms = max(min(time_left_ms, CLAIM_TIMEOUT_MS), 1.0)
        self._request_claim(caller, key, digest, timeout_ms, on_reply)

    def settle(self, claim: Claim, outcome: str, result: bytes = b"") -> None:
        """Records the outcome of a claim; retries until control processes it.

        Args:
          claim: Granted claim.
          outcome: `done`, `not_run` or `unknown`.
          result: Answer to record with `done`.
        """
        if len(result) > claims.MAX_RESULT_BYTES:
            # Control would discard this result and record only the outcome.
            result = b""
        message = control_pb2.SettleRequest(
            claim_id=claim.claim_id,
            attempt=claim.attempt,
            entry_incarnation=self._entry_incarnation,
            outcome=outcome,
            result=result,
        )
        self.unsettled += 1

        def send():
            self._call_control("Settle", message, SETTLE_TIMEOUT_MS, on_settled)

        def on_settled(reply):
            if reply is None or (
                reply.error.code == control_errors.NotExecuted.code
            ):
                self._timers.after(RETRY_DELAY_MS, send)
                return
            self.unsettled -= 1
            self._held_keys.discard((claim.caller, claim.key))

        send()

    def _recover(
        self, caller: str, key: str, digest: str, until_ms: float
    ) -> None:
        """Requests a claim whose grant was lost, and settles it as not run."""

        def on_reply(claim):
            if claim is None and self._clock.now_ms() < until_ms:
                self._timers.after(RETRY_DELAY_MS, send)
            elif claim is not None and claim.state == "granted":
                self.settle(claim, "not_run")
            else:
                self._held_keys.discard((caller, key))

        def send():
            self._request_claim(caller, key, digest, CLAIM_TIMEOUT_MS, on_reply)

        send()

    def _request_claim(self, caller, key, digest, timeout_ms, on_claim) -> None:
        def on_reply(reply):
            if reply is None:
                on_claim(None)
                return
            # An error reply guarantees that control granted nothing.
            state = "refused" if reply.error.code else reply.state
            if state == "open" and (
                reply.entry_incarnation == self._entry_incarnation
            ):
                # Control granted the claim to this process earlier, but the
                # process has not dispatched the request.
                state = "granted"
            on_claim(
                Claim(
                    caller,
                    key,
                    state,
                    reply.claim_id,
                    reply.attempt,
                    reply.result,
                )
            )

        message = control_pb2.ClaimRequest(
            caller=caller,
            key=key,
            digest=digest,
            entry_name=self._entry_name,
            entry_incarnation=self._entry_incarnation,
        )
        self._call_control("Claim", message, timeout_ms, on_reply)

    def _call_control(self, method, message, timeout_ms, on_reply) -> None:
        control_call.call(
            self._control,
            self._mailbox,
            method,
            message,
            timeout_ms,
            on_reply,
        )
