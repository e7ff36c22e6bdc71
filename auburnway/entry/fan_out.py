"""One repeatable query over all shards of a snapshot.

The query is pinned to one snapshot and sent to one replica of each shard.
Hedges and retries share one budget. The answer is complete, or it is sent at
the deadline and lists the missing shards.
"""

from collections import abc

from auburnway.core import answer as answer_lib
from auburnway.core import errors
from auburnway.core import membership
from auburnway.core import request as request_lib
from auburnway.core import snapshot as snapshot_lib
from auburnway.entry import backends as backends_lib
from auburnway.entry import sub_request
from auburnway.net import exchange as exchange_lib
from auburnway.policy import canary_choice


class FanOut:
    """Runs one query; calls `on_done` once with the answer."""

    def __init__(
        self,
        backends: backends_lib.Backends,
        request: request_lib.Request,
        configuration_number: int,
        on_done: abc.Callable[[answer_lib.Answer], None],
    ):
        self._backends = backends
        self._request = request
        self._configuration_number = configuration_number
        self._on_done = on_done
        self._shards: dict[int, sub_request.Shard] = {}
        self._manifest: snapshot_lib.Manifest | None = None
        self._sequence = 0
        self._plan_id = 0
        self._reached = False
        self._finished = False
        self._timers: list = []
        self._holds_trial = False
        self._awaited_strike = False

    def start(self) -> None:
        """Plans the query and sends its first sub-requests."""
        backends, request = self._backends, self._request
        now_ms = backends.clock.now_ms()
        left_ms = request.deadline_at_ms - now_ms
        self._after(sub_request.answer_after_ms(left_ms), self._end_merged)
        guard = backends.guard
        if guard.needs_trial(request):
            guard.acquire_trial(request, self._on_trial)
        else:
            self._plan(exclude=None)

    # Planning.

    def _on_trial(self, state: str) -> None:
        guard, source = self._backends.guard, self._request.request_id
        if self._finished:
            if state == "granted":
                guard.end_trial(self._request, "not_run", None)
            return
        if state == "refused":
            error = errors.Quarantined(source=source)
            self._end(answer_lib.NotRun(source, error))
            return
        if state == "busy":
            self._after(
                sub_request.MAX_BACKOFF_MS * 2,
                lambda: guard.acquire_trial(self._request, self._on_trial),
            )
            return
        if state == "unavailable":
            # Without control no trial is granted, so none may run.
            self._end_merged()
            return
        self._holds_trial = state == "granted"
        self._plan(exclude=None)

    def _plan(self, exclude: int | None) -> None:
        """Pins the query to a snapshot and starts its sub-requests."""
        request = self._request
        manifest = self._backends.choose_manifest(
            request.kind.application, exclude
        )
        if manifest is None:
            if self._manifest is None:
                self._end_merged()
            return
        self._plan_id += 1
        sub_request.abandon(self._backends, self._shards.values())
        self._manifest = manifest
        self._shards = {s: sub_request.Shard(s) for s, _ in manifest.weights}
        if len(self._shards) > 1 and (
            self._holds_trial or self._backends.guard.needs_canary(request)
        ):
            self._launch_canary()
        else:
            self._launch_all()

    def _launch_canary(self) -> None:
        """Launches one shard; the others follow after its reply."""
        remaining = [s for s in self._shards.values() if not s.launched]
        candidates = [s.number for s in remaining if self._replicas(s)]
        if not candidates:
            self._launch_all()
            return
        backends, request = self._backends, self._request
        fingerprint = backends.guard.fingerprint(request)
        canary = self._shards[canary_choice.shard(fingerprint, candidates)]
        self._launch(canary)
        if not self._holds_trial:
            application = request.kind.application
            wait_ms = (
                backends.hedger.delay_ms(application)
                or sub_request.CANARY_WAIT_MS
            )
            self._after(wait_ms, lambda: self._repeat_canary(canary))
            left_ms = request.deadline_at_ms - backends.clock.now_ms()
            hold_ms = sub_request.canary_hold_ms(left_ms)
            self._after(hold_ms, lambda: self._skip_canary(canary))

    def _repeat_canary(self, canary: sub_request.Shard) -> None:
        """Sends a slow canary to one other replica.

        The other shards still wait for a reply: a late crash would otherwise
        take one server of every shard.
        """
        if self._is_canary_silent(canary) and self._has_other(canary):
            canary.hedges += 1
            self._launch(canary, extra=True)

    def _skip_canary(self, canary: sub_request.Shard) -> None:
        """Launches all shards if the canary is silent but was not lost."""
        if self._is_canary_silent(canary):
            self._launch_all()

    def _is_canary_silent(self, canary: sub_request.Shard) -> bool:
        """Whether a canary has no reply, and no entry has lost its server."""
        if self._finished or not canary.is_open or not canary.attempts:
            return False
        return not self._backends.guard.needs_trial(self._request)

    def _is_first_run(self) -> bool:
        """Whether the query runs as a canary that needs no trial."""
        are_launched = all(s.launched for s in self._shards.values())
        return not are_launched and not self._holds_trial

    def _choose(self, shard: sub_request.Shard) -> membership.Row | None:
        """Returns the replica of the next attempt; None if all were tried."""
        chooser, now_ms = self._backends.chooser, self._backends.clock.now_ms()
        rows = self._replicas(shard)
        if self._is_first_run():
            fingerprint = self._backends.guard.fingerprint(self._request)
            rows = canary_choice.replicas(
                fingerprint, rows, shard.tried, chooser.latency_ms
            )
        return chooser.choose(rows, shard.tried, now_ms)

    def _launch_all(self) -> None:
        """Launches the remaining shards with one hedge timer for all."""
        if self._finished:
            return
        remaining = [s for s in self._shards.values() if not s.launched]
        for shard in remaining:
            shard.launched = True
        for shard in remaining:
            self._launch(shard)
        if remaining and not self._finished:
            plan = self._plan_id
            self._arm_hedge(plan)
            self._after(
                sub_request.SILENCE_MS, lambda: self._retry_silent(plan)
            )

    # Sub-requests.

    def _launch(self, shard: sub_request.Shard, extra: bool = False) -> None:
        backends, request = self._backends, self._request
        manifest = self._manifest
        shard.launched = True
        now_ms = backends.clock.now_ms()
        row = self._choose(shard)
        if row is None:
            self._on_no_replica(shard, bool(self._replicas(shard)))
            return
        shard.tried.add(row.name)
        self._sequence += 1
        sub_id = f"{request.request_id}.{shard.number}.{self._sequence}"
        attempt = sub_request.Attempt(row, sub_id, now_ms)
        shard.attempts.append(attempt)
        backends.chooser.on_send(row.name, now_ms)
        backends.count_sub_request(request.kind.application, extra)
        backends.budget.on_sub_request()
        payload = backends_lib.run_payload(
            row.address,
            request,
            sub_id,
            manifest.snapshot,
            shard.number,
            request.deadline_at_ms - now_ms,
        )
        attempt.exchange = backends.pool.send(
            row.address,
            payload,
            lambda reply: self._on_reply(shard, attempt, reply),
        )

    def _on_no_replica(
        self, shard: sub_request.Shard, has_replicas: bool
    ) -> None:
        if shard.attempts:
            return
        if has_replicas and shard.backoff_ms <= sub_request.MAX_BACKOFF_MS:
            # All replicas refused; try all of them again after a backoff.
            pause_ms = shard.backoff_ms * (0.5 + self._backends.rng.random())
            shard.backoff_ms *= 1.5
            shard.tried.clear()
            plan = self._plan_id
            self._after(pause_ms, lambda: self._relaunch(shard, plan))
            return
        shard.failed = True
        if has_replicas:
            self._check_complete()
        else:
            self._replan()

    def _replan(self) -> None:
        """Plans the query on another snapshot if all its shards are served."""
        application = self._request.kind.application
        current = self._manifest.snapshot
        has_other = self._backends.has_complete_manifest(application, current)
        if has_other and self._plan_id < sub_request.MAX_PLANS:
            self._plan(exclude=current)
        else:
            self._check_complete()

    def _relaunch(self, shard: sub_request.Shard, plan: int) -> None:
        if not self._finished and plan == self._plan_id and shard.is_open:
            self._launch(shard)

    def _on_reply(
        self,
        shard: sub_request.Shard,
        attempt: sub_request.Attempt,
        reply: exchange_lib.Reply,
    ) -> None:
        backends = self._backends
        now_ms = backends.clock.now_ms()
        if attempt in shard.attempts:
            shard.attempts.remove(attempt)
        self._reached = self._reached or reply.reached
        state = reply.headers.get("x-state")
        if state is not None and state != "serving":
            backends.on_state(attempt.row.name, state)
        name, latency_ms = attempt.row.name, now_ms - attempt.started_ms
        records = backends_lib.parse_records(
            reply, attempt.sub_id, self._manifest.snapshot, shard.number
        )
        if records is not None:
            backends.chooser.on_reply(
                name, latency_ms, True, now_ms, backends_lib.busy_slots(reply)
            )
            backends.hedger.observe(
                self._request.kind.application, latency_ms, now_ms
            )
            self._on_records(shard, records)
        elif reply.status == 410:
            # The replica has removed this snapshot; others may still have it.
            backends.chooser.on_rejected(name, now_ms)
            self._retry_unbudgeted(shard, drop_snapshot=True)
        elif reply.failure is None and backends_lib.not_started(reply):
            backends.chooser.on_rejected(name, now_ms)
            backends.shed_counts[self._request.kind.application] += 1
            self._retry_unbudgeted(shard)
        else:
            backends.chooser.on_reply(name, latency_ms, False, now_ms, None)
            self._on_error(shard, attempt, reply)

    def _on_records(self, shard: sub_request.Shard, records: list) -> None:
        if self._finished or not shard.is_open:
            return
        shard.records = records
        sub_request.abandon(self._backends, [shard])
        # If shards were waiting for the canary, it has passed.
        self._launch_all()
        self._check_complete()

    def _retry_unbudgeted(
        self, shard: sub_request.Shard, drop_snapshot: bool = False
    ) -> None:
        """Tries another replica without budget, because nothing ran."""
        if self._finished or not shard.is_open or shard.attempts:
            return
        if drop_snapshot and not self._has_other(shard):
            shard.failed = True
            self._replan()
            return
        self._launch(shard)

    def _on_error(
        self,
        shard: sub_request.Shard,
        attempt: sub_request.Attempt,
        reply: exchange_lib.Reply,
    ) -> None:
        guard, plan = self._backends.guard, self._plan_id
        if not reply.reached:
            if self._is_first_run() and not self._awaited_strike:
                self._awaited_strike = True
                self._after(
                    sub_request.STRIKE_WAIT_MS,
                    lambda: self._move_canary(shard, plan),
                )
            else:
                self._retry_unbudgeted(shard)
            return
        if reply.failure is exchange_lib.Failure.CONNECTION_LOST:
            guard.record_loss(self._request, attempt.row)
            if self._holds_trial:
                self._holds_trial = False
                guard.end_trial(self._request, "lost", attempt.row)
                self._refuse_as_quarantined()
                return
            if self._finished or not shard.is_open or shard.attempts:
                return
            # The request may have caused the loss, so the shard is tried
            # again only as a trial.
            self._acquire_shard_trial(shard, plan)
            return
        self._retry_budgeted(shard)

    def _move_canary(self, shard: sub_request.Shard, plan: int) -> None:
        """Sends a canary that reached no server to the next one."""
        if self._finished or plan != self._plan_id:
            return
        if self._backends.guard.needs_trial(self._request):
            self._acquire_shard_trial(shard, plan)
        else:
            self._retry_unbudgeted(shard)

    def _acquire_shard_trial(self, shard: sub_request.Shard, plan: int) -> None:
        self._backends.guard.acquire_trial(
            self._request,
            lambda state: self._on_shard_trial(shard, plan, state),
        )

    def _on_shard_trial(
        self, shard: sub_request.Shard, plan: int, state: str
    ) -> None:
        valid = not self._finished and plan == self._plan_id and shard.is_open
        if state in ("granted", "clear") and valid:
            self._holds_trial = self._holds_trial or state == "granted"
            self._retry_budgeted(shard)
            return
        if not valid:
            if state == "granted":
                self._backends.guard.end_trial(self._request, "not_run", None)
            return
        if state == "busy":
            self._after(
                sub_request.MAX_BACKOFF_MS * 2,
                lambda: self._acquire_shard_trial(shard, plan),
            )
        else:
            self._fail(shard, state == "refused")

    def _fail(self, shard: sub_request.Shard, refused: bool = False) -> None:
        """Marks a shard failed; ends the query if others wait for it."""
        shard.failed = True
        if all(other.launched for other in self._shards.values()):
            self._check_complete()
        elif refused:
            self._refuse_as_quarantined()
        else:
            self._end_merged()

    def _refuse_as_quarantined(self) -> None:
        """Ends a request during which a backend server was lost."""
        error = errors.Quarantined(source=self._request.request_id)
        self._end(answer_lib.Unknown(error.source, error))

    def _retry_budgeted(self, shard: sub_request.Shard) -> None:
        if self._finished or not shard.is_open or shard.attempts:
            return
        backends = self._backends
        if not backends.hedger.uses_budget or backends.budget.try_spend(
            backends.clock.now_ms()
        ):
            self._launch(shard, extra=True)
        else:
            self._fail(shard)

    # Hedges and missing replies.

    def _arm_hedge(self, plan: int) -> None:
        delay_ms = self._backends.hedger.delay_ms(
            self._request.kind.application
        )
        if delay_ms is not None:
            self._after(delay_ms, lambda: self._hedge(plan))

    def _hedge(self, plan: int) -> None:
        if self._finished or plan != self._plan_id or self._holds_trial:
            return
        backends = self._backends
        hedger = backends.hedger
        now_ms = backends.clock.now_ms()
        rearm = hedger.max_extra > 1
        for shard in tuple(self._shards.values()):
            if not shard.is_open or not shard.attempts:
                continue
            if hedger.cancels_previous:
                # Such a policy may also use the same replica again.
                shard.tried.clear()
            if shard.hedges >= hedger.max_extra or not self._has_other(shard):
                continue
            budget = backends.budget
            if hedger.uses_budget and not budget.try_spend_hedge(now_ms):
                rearm = True
                break
            shard.hedges += 1
            if hedger.cancels_previous:
                sub_request.abandon(self._backends, [shard])
            self._launch(shard, extra=True)
        if rearm and not self._finished:
            self._arm_hedge(plan)

    def _has_other(self, shard: sub_request.Shard) -> bool:
        """Whether a replica of the shard has not been tried yet."""
        return any(row.name not in shard.tried for row in self._replicas(shard))

    def _replicas(self, shard: sub_request.Shard):
        return self._backends.table.replicas(
            self._request.kind.application,
            self._manifest.snapshot,
            shard.number,
        )

    def _retry_silent(self, plan: int) -> None:
        if self._finished or plan != self._plan_id:
            return
        for shard in tuple(self._shards.values()):
            if shard.is_open and shard.attempts:
                sub_request.abandon(self._backends, [shard])
                self._retry_budgeted(shard)

    # Ending.

    def _check_complete(self) -> None:
        open_shards = [s for s in self._shards.values() if s.is_open]
        if not open_shards:
            self._end_merged()
        elif not self._finished and not any(s.launched for s in open_shards):
            # No replica of the canary's shard answers; use another shard.
            self._launch_canary()

    def _end_merged(self) -> None:
        """Ends the query with the records that have arrived."""
        if self._finished:
            return
        any_sent = self._reached or any(
            s.attempts or s.records is not None for s in self._shards.values()
        )
        if self._manifest is not None and any_sent:
            merged = sub_request.merge(
                self._request,
                self._configuration_number,
                self._manifest,
                self._shards,
            )
            self._end(merged)
            return
        request = self._request
        detail = f"no backend server of {request.kind.application} was reached"
        error = errors.NoBackendServer(detail, request.request_id)
        self._end(answer_lib.NotRun(request.request_id, error))

    def _end(self, answer: answer_lib.Answer) -> None:
        if self._finished:
            return
        self._finished = True
        sub_request.abandon(self._backends, self._shards.values())
        for timer in self._timers:
            timer.cancel()
        guard = self._backends.guard
        is_done = isinstance(answer, answer_lib.Done)
        is_complete = is_done and not answer.coverage.missing_shards
        if self._holds_trial:
            guard.end_trial(
                self._request, "passed" if is_complete else "not_run", None
            )
        if is_complete:
            guard.record_success(self._request)
        self._on_done(answer)

    def _after(self, delay_ms: float, call: abc.Callable[[], None]) -> None:
        self._timers.append(self._backends.timers.after(delay_ms, call))
