"""One request that must run at most once.

The entry claims the idempotency key durably before dispatch, and settles the
outcome in control's log afterwards. The request is sent to another backend
server only if the previous one provably did not start it. Without a reply the
outcome is unknown, and the request is not sent again.
"""

from collections import abc
import hashlib

from auburnway.core import answer as answer_lib
from auburnway.core import errors
from auburnway.core import request as request_lib
from auburnway.core import snapshot as snapshot_lib
from auburnway.entry import backends as backends_lib
from auburnway.entry import claim_client
from auburnway.net import exchange as exchange_lib

# Only a connection whose last round trip is this recent is used. An older one
# may be dead without an error, and a request on it must not be sent again.
MAX_SILENCE_MS = 1000.0
# With less time left than this, a request is not dispatched, because its answer
# would be late.
MIN_TIME_LEFT_MS = 5.0
# Delay before control is asked again, for a claim that another attempt holds
# open or for a trial while another one is running.
CONTROL_POLL_MS = 100.0
# Delay before the next round after every backend server refused for lack of a
# slot.
SHED_RETRY_MS = 10.0
# Time after the deadline in which a late reply still settles the claim.
LATE_REPLY_LIMIT_MS = 30_000.0


class NonRepeatableRequest:
    """Runs one request at most once; calls `on_done` once."""

    def __init__(
        self,
        backends: backends_lib.Backends,
        claims: claim_client.ClaimClient,
        request: request_lib.Request,
        configuration_number: int,
        on_done: abc.Callable[[answer_lib.Answer], None],
    ):
        self._backends = backends
        self._claims = claims
        self._request = request
        self._configuration_number = configuration_number
        self._on_done = on_done
        self._claim: claim_client.Claim | None = None
        self._tried_servers: set[str] = set()
        self._exchange: exchange_lib.Exchange | None = None
        self._claim_is_open = False
        self._answered = False
        self._settled = False
        self._sequence = 0
        self._deadline_timer = None

    def start(self) -> None:
        """Claims the key, then dispatches."""
        time_left_ms = self._time_left_ms()
        self._deadline_timer = self._backends.timers.after(
            time_left_ms, self._on_deadline
        )
        self._request_claim()

    # Claim.

    def _request_claim(self) -> None:
        if self._answered:
            return
        request = self._request
        digest = hashlib.sha256(
            request.kind.name.encode() + b"\0" + request.query_json
        ).hexdigest()
        self._claims.claim(
            request.caller.name,
            request.idempotency_key,
            digest,
            self._time_left_ms(),
            self._on_claim,
        )

    def _on_claim(self, claim: claim_client.Claim | None) -> None:
        request_id = self._request.request_id
        if claim is None:
            # Control may have granted the claim although the reply is missing.
            # Nothing was dispatched, and the claim client settles such a claim
            # as not run.
            self._answer_refused(errors.ControlUnavailable(source=request_id))
        elif claim.state == "granted":
            self._claim = claim
            if self._answered:
                self._settle("not_run")
            else:
                self._check_trial()
        elif self._answered:
            return
        elif claim.state == "done":
            self._answer(answer_lib.Recorded(request_id, claim.result))
        elif claim.state == "open":
            self._claim_is_open = True
            self._backends.timers.after(CONTROL_POLL_MS, self._request_claim)
        elif claim.state == "refused":
            self._answer_refused(errors.ControlUnavailable(source=request_id))
        elif claim.state == "conflict":
            self._answer_not_run(errors.KeyConflict(source=request_id))
        elif claim.state == "expired":
            self._answer_refused(errors.KeyExpired(source=request_id))
        else:
            self._answer_unknown(
                "an earlier attempt with this key ended unknown"
            )

    # Dispatch.

    def _check_trial(self) -> None:
        guard = self._backends.guard
        if guard.needs_trial(self._request):
            guard.acquire_trial(self._request, self._on_trial)
        else:
            self._dispatch()

    def _on_trial(self, state: str) -> None:
        if self._answered:
            if state == "granted":
                self._backends.guard.end_trial(self._request, "not_run", None)
            return
        source = self._request.request_id
        if state in ("granted", "clear"):
            self._dispatch(is_trial=state == "granted")
        elif state == "busy":
            self._backends.timers.after(CONTROL_POLL_MS, self._check_trial)
        elif state == "refused":
            self._settle("not_run")
            self._answer_not_run(errors.Quarantined(source=source))
        else:
            self._settle("not_run")
            self._answer_not_run(errors.ControlUnavailable(source=source))

    def _dispatch(self, is_trial: bool = False) -> None:
        """Sends the request to one backend server if enough time is left."""
        if self._answered:
            self._end_trial(is_trial, "not_run", None)
            return
        backends, request = self._backends, self._request
        # If the process was frozen, this check finds the expired deadline
        # before any byte is sent.
        if self._time_left_ms() < MIN_TIME_LEFT_MS:
            self._end_trial(is_trial, "not_run", None)
            self._on_deadline()
            return
        now_ms = backends.clock.now_ms()
        manifest = backends.choose_manifest(request.kind.application)
        if manifest is None or not manifest.weights:
            self._end_trial(is_trial, "not_run", None)
            self._settle("not_run")
            self._answer_not_run(
                errors.NoBackendServer(source=request.request_id)
            )
            return
        shard = manifest.weights[0][0]
        replicas = backends.table.replicas(
            request.kind.application, manifest.snapshot, shard
        )
        row = backends.chooser.choose(replicas, self._tried_servers, now_ms)
        if row is None:
            # All backend servers refused; try them again after a delay.
            self._tried_servers.clear()
            backends.timers.after(
                SHED_RETRY_MS, lambda: self._dispatch(is_trial)
            )
            return
        self._tried_servers.add(row.name)
        self._sequence += 1
        sub_id = f"{request.request_id}.{shard}.{self._sequence}"
        payload = backends_lib.run_payload(
            row.address,
            request,
            sub_id,
            manifest.snapshot,
            shard,
            self._time_left_ms(),
            f"{self._claim.claim_id}.{self._claim.attempt}",
        )
        backends.chooser.on_send(row.name, now_ms)
        backends.count_sub_request(request.kind.application, False)
        exchange = backends.pool.send(
            row.address,
            payload,
            lambda reply: self._on_reply(
                reply, row, sub_id, manifest, shard, now_ms, is_trial
            ),
            max_silence_ms=MAX_SILENCE_MS,
        )
        if exchange.on_reply is not None:
            self._exchange = exchange

    def _on_reply(
        self, reply, row, sub_id, manifest, shard, started_ms, is_trial
    ) -> None:
        backends = self._backends
        now_ms = backends.clock.now_ms()
        state = reply.headers.get("x-state")
        if state is not None and state != "serving":
            backends.on_state(row.name, state)
        records = backends_lib.parse_records(
            reply, sub_id, manifest.snapshot, shard
        )
        if records is not None:
            backends.chooser.on_reply(
                row.name,
                now_ms - started_ms,
                True,
                now_ms,
                backends_lib.busy_slots(reply),
            )
            self._end_trial(is_trial, "passed", None)
            self._on_result(manifest, shard, records)
            return
        if backends_lib.not_started(reply):
            self._exchange = None
            if reply.failure is None:
                backends.chooser.on_rejected(row.name, now_ms)
                backends.shed_counts[self._request.kind.application] += 1
            else:
                backends.chooser.on_reply(
                    row.name, now_ms - started_ms, False, now_ms, None
                )
            if self._answered:
                # The caller got the outcome unknown, but this reply proves
                # that the request did not run.
                self._end_trial(is_trial, "not_run", None)
                self._settle("not_run")
            else:
                self._dispatch(is_trial)
            return
        backends.chooser.on_reply(
            row.name, now_ms - started_ms, False, now_ms, None
        )
        if reply.failure is exchange_lib.Failure.CONNECTION_LOST:
            backends.guard.record_loss(self._request, row)
            self._end_trial(is_trial, "lost", row)
        else:
            self._end_trial(is_trial, "not_run", None)
        self._settle("unknown")
        self._answer_unknown(f"backend server {row.name} did not answer")

    def _on_result(self, manifest, shard: int, records: list) -> None:
        done = answer_lib.Done(
            request=self._request,
            configuration_number=self._configuration_number,
            snapshot=manifest.snapshot,
            coverage=snapshot_lib.coverage(manifest, (shard,)),
            records=tuple(records),
        )
        self._settle("done", answer_lib.render(done).body)
        self._answer(done)

    # Ending.

    def _on_deadline(self) -> None:
        if self._answered:
            return
        source = self._request.request_id
        if self._exchange is None or not self._exchange.sent:
            if self._exchange is not None:
                # The exchange waits for a connection; nothing was sent, and
                # after this call nothing will be.
                self._exchange.abandon()
            error = errors.DeadlineExceeded(source=source)
            if self._claim is not None:
                self._settle("not_run")
                self._answer_not_run(error)
            elif self._claim_is_open:
                self._answer_unknown(
                    "another attempt with this key is in progress"
                )
            else:
                # If the claim is granted later, it is settled as not run.
                self._answer_refused(error)
            return
        self._answer_unknown("the backend server has not answered in time")
        self._backends.timers.after(
            LATE_REPLY_LIMIT_MS, self._settle_without_reply
        )

    def _settle_without_reply(self) -> None:
        if not self._settled:
            self._settle("unknown")
            if self._exchange is not None:
                self._exchange.abandon()

    def _settle(self, outcome: str, body: bytes = b"") -> None:
        if not self._settled:
            self._settled = True
            self._claims.settle(self._claim, outcome, body)

    def _end_trial(self, is_trial: bool, outcome: str, row) -> None:
        if is_trial:
            self._backends.guard.end_trial(self._request, outcome, row)

    def _answer_refused(self, error: errors.Error) -> None:
        """Answers with a refusal while the state of the key is unknown.

        The answer is unknown instead of not run if the request may be a resend.
        """
        request = self._request
        self._answer(
            answer_lib.refuse(request.request_id, error, request.may_be_resend)
        )

    def _answer_not_run(self, error: errors.Error) -> None:
        self._answer(answer_lib.NotRun(self._request.request_id, error))

    def _answer_unknown(self, detail: str) -> None:
        source = self._request.request_id
        error = errors.OutcomeUnknown(detail, source)
        self._answer(answer_lib.Unknown(source, error))

    def _answer(self, answer: answer_lib.Answer) -> None:
        if self._answered:
            return
        self._answered = True
        self._deadline_timer.cancel()
        self._on_done(answer)

    def _time_left_ms(self) -> float:
        now_ms = self._backends.clock.now_ms()
        return self._request.deadline_at_ms - now_ms
