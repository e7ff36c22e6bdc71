"""Entry process: connects HTTP server, policies, peers and control."""

import hmac
import json
import random
import typing

import loguru
from returns import pipeline

from auburnway.core import answer as answer_lib
from auburnway.core import configuration as configuration_lib
from auburnway.core import errors
from auburnway.core import isolation
from auburnway.core import membership
from auburnway.core import peer_state
from auburnway.core import request as request_lib
from auburnway.entry import admitter as admitter_lib
from auburnway.entry import backends as backends_lib
from auburnway.entry import claim_client
from auburnway.entry import crash_guard
from auburnway.entry import fan_out
from auburnway.entry import front as front_lib
from auburnway.entry import lease as lease_lib
from auburnway.entry import non_repeatable
from auburnway.entry import peers as peers_lib
from auburnway.entry import settings as settings_lib
from auburnway.entry import status as status_lib
from auburnway.kernel import mailbox as mailbox_lib
from auburnway.kernel import metrics as metrics_lib
from auburnway.kernel import process
from auburnway.kernel import registry
from auburnway.net import http_client
from auburnway.policy import quarantine as quarantine_lib
from auburnway.policy import retry_budget
from auburnway.policy import slot_sharing
from auburnway.rpc import control_client
from auburnway.rpc import control_pb2

# Connections opened to a new backend server before its first sub-request.
WARM_CONNECTIONS = 2
EXPIRE_PERIOD_MS = 250.0
PUBLISH_PERIOD_MS = 100.0
DRAIN_CHECK_MS = 20.0
# Time that a planned stop waits until control has recorded all outcomes. The
# wait is limited because control may be stopped as well.
SETTLE_WAIT_MS = 4000.0
QUARANTINE_WINDOW_MS = 600_000.0


class Entry:
    """One entry process."""

    def __init__(
        self, settings: settings_lib.EntrySettings, loop: process.Loop
    ):
        self._settings = settings
        self._loop = loop
        self._clock = loop.clock
        self._rng = random.Random(settings.seed or None)
        self._started_wall_ms = self._clock.wall_ms()
        incarnation = str(self._started_wall_ms)
        self._sequence = 0
        self._leaving = False
        self._entry_count = len(settings.seed_peers) + 1
        registry.load("auburnway.policy")

        mailbox = mailbox_lib.Mailbox().register(loop.root)
        control = control_client.ControlClient(
            settings.control_addresses, settings.token, self._clock
        )
        loop.stack.callback(control.close)
        self._pool = http_client.HttpPool(
            loop.poller, loop.timers, self._clock
        ).register(loop.root)
        loop.stack.callback(self._pool.close_all)
        self._table = membership.Table(settings.backend_lease_ms)
        self._peers = peers_lib.Peers(
            poller=loop.poller,
            timers=loop.timers,
            clock=self._clock,
            name=settings.name,
            caller_address=settings.address,
            peer_address=settings.peer_address,
            data_center=settings.data_center,
            seeds=settings.seed_peers,
            token=settings.token,
            table=self._table,
            on_row=self._on_row,
            on_configuration=self._on_peer_configuration,
            on_strikes=lambda strikes: self._guard.merge_strikes(strikes),
            mode=isolation.Mode(settings.when_isolated),
        ).register(loop.root)
        loop.stack.callback(self._peers.close)
        self._guard = crash_guard.CrashGuard(
            quarantine_lib.Quarantine(QUARANTINE_WINDOW_MS),
            control,
            mailbox,
            self._clock,
            settings.name,
            incarnation,
            self._peers.relay_strikes,
        )
        self._claims = claim_client.ClaimClient(
            control,
            mailbox,
            loop.timers,
            self._clock,
            settings.name,
            incarnation,
        )
        self._backends = backends_lib.Backends(
            pool=self._pool,
            timers=loop.timers,
            clock=self._clock,
            table=self._table,
            rng=self._rng,
            chooser=self._new_chooser("two_choices"),
            hedger=registry.get("hedging", "quantile")(),
            budget=retry_budget.Budget(),
            guard=self._guard,
            on_state=self._on_reply_state,
        )
        self._admitter = admitter_lib.Admitter(
            self._clock,
            loop.timers,
            self._table,
            slot_sharing.SlotSharing(
                len(settings.seed_peers) + 1, (), settings.name
            ),
            self._peer_demands,
            self._backends.pop_shed_share,
            self._refuse,
        )
        self._pending_responses: dict[str, typing.Any] = {}
        self._lease = lease_lib.LeaseKeeper(
            control,
            mailbox,
            loop.timers,
            self._clock,
            control_pb2.RenewRequest(
                entry_name=settings.name,
                entry_incarnation=incarnation,
                data_center=settings.data_center,
                caller_address=settings.address,
                peer_address=settings.peer_address,
            ),
            self._on_configuration,
            self._on_lease,
        )
        self._metrics = metrics_lib.Metrics("entry")
        loop.stack.callback(self._metrics.close)
        self._latency = self._metrics.duration(
            "request", "Time from a caller's request to its answer."
        )
        self._outcomes = self._metrics.counter(
            "request.outcomes", "Answers by rank, caller and outcome."
        )
        status_lib.add_gauges(
            self._metrics, self._current_status, self._backends
        )
        self._front = front_lib.Front(
            settings,
            self._clock,
            loop.timers,
            {
                ("GET", "/v1/addresses"): self._on_addresses,
                ("POST", "/v1/requests"): self._on_request,
                ("POST", "/v1/announce"): self._on_announce,
                ("GET", "/v1/status"): self._on_status,
                ("GET", "/metrics"): self._on_metrics,
            },
        ).register(loop.root)
        loop.timers.every(EXPIRE_PERIOD_MS, self._expire_leases)
        loop.timers.every(PUBLISH_PERIOD_MS, self._publish_state)
        loop.on_stop = self.start_planned_stop
        self._lease.start()

    # Callers.

    def _on_addresses(self, body, headers, respond) -> None:
        data = {
            "addresses": self._peers.addresses(),
            "ttl_ms": self._settings.address_ttl_ms,
        }
        respond(answer_lib.RenderedAnswer(200, json.dumps(data).encode()))

    def _on_request(self, body, headers, respond) -> None:
        now_ms = self._clock.now_ms()
        self._sequence += 1
        request_id = (
            f"{self._settings.name}-{self._started_wall_ms}-{self._sequence}"
        )
        if not self._may_serve():
            error = errors.Isolated(source=request_id)
            self._refuse_unparsed(request_id, error, body, respond)
            return
        parsed = request_lib.parse(
            body,
            self._lease.configuration,
            request_id,
            now_ms,
            self._clock.wall_ms(),
        )
        if not pipeline.is_successful(parsed):
            error = parsed.failure()
            self._refuse_unparsed(request_id, error, body, respond)
            return
        request = parsed.unwrap()

        def on_rendered(rendered, outcome):
            seconds = (self._clock.now_ms() - now_ms) / 1000.0
            labels = {
                "rank": request.rank.name,
                "caller": request.caller.name,
            }
            self._latency.record(seconds, labels)
            self._outcomes.add(1, {**labels, "outcome": outcome})
            respond(rendered)

        self._pending_responses[request_id] = on_rendered
        if self._guard.is_refused(request):
            self._refuse(request, errors.Quarantined(source=request_id), None)
            return
        self._admitter.offer(request, lambda: self._start(request))

    def _start(self, request: request_lib.Request) -> None:
        def on_done(answer):
            self._admitter.finish(request)
            self._answer(request, answer)

        number = self._lease.configuration.number
        if request.kind.repeatable:
            execution = fan_out.FanOut(self._backends, request, number, on_done)
        else:
            execution = non_repeatable.NonRepeatableRequest(
                self._backends, self._claims, request, number, on_done
            )
        execution.start()

    def _refuse(
        self,
        request: request_lib.Request,
        error: errors.Error,
        retry_after_ms: float | None,
    ) -> None:
        answer = answer_lib.refuse(
            request.request_id, error, request.may_be_resend, retry_after_ms
        )
        self._answer(request, answer)

    @staticmethod
    def _refuse_unparsed(request_id, error, body, respond) -> None:
        answer = answer_lib.refuse(
            request_id, error, request_lib.may_be_resend(body)
        )
        respond(answer_lib.render(answer))

    def _answer(
        self, request: request_lib.Request, answer: answer_lib.Answer
    ) -> None:
        respond = self._pending_responses.pop(request.request_id)
        respond(answer_lib.render(answer), answer.outcome)
        loguru.logger.debug(
            "answered",
            request_id=request.request_id,
            caller=request.caller.name,
            rank=request.rank.name,
            outcome=answer.outcome,
            snapshot=getattr(answer, "snapshot", None),
        )

    # Backend servers.

    def _on_announce(self, body, headers, respond) -> None:
        token = headers.get("x-fleet-token", "")
        if not hmac.compare_digest(token, self._settings.token):
            detail = "x-fleet-token is missing or wrong"
            respond(front_lib.render_error(BadToken(detail)))
            return
        try:
            decoded = membership.decode_row(json.loads(body))
        except ValueError as error:
            respond(front_lib.render_error(errors.BadRequest(str(error))))
            return
        if not pipeline.is_successful(decoded):
            respond(front_lib.render_error(decoded.failure()))
            return
        row = decoded.unwrap()
        if self._table.put(row, self._clock.now_ms()):
            self._on_row(row)
            self._peers.relay_row(row)
        else:
            self._peers.record_renewal(row.name)
        data = {
            "heartbeat_ms": self._settings.heartbeat_ms,
            "entries": self._peers.addresses(),
        }
        respond(answer_lib.RenderedAnswer(200, json.dumps(data).encode()))

    def _on_row(self, row: membership.Row) -> None:
        """Applies a changed row to the connection pool and replica choice."""
        current_row = self._table.get(row.name)
        if current_row.state is membership.State.GONE:
            self._pool.remove_server(row.address)
            self._backends.chooser.remove_server(row.name)
            return
        # The entries share the connection limit of a backend server equally.
        # One share stays unused, for an entry that replaces another one.
        limit = max(row.connection_limit // (self._entry_count + 1), 1)
        self._pool.set_server(row.address, limit, min(WARM_CONNECTIONS, limit))
        if current_row.state is membership.State.SERVING:
            self._backends.chooser.on_added(row.name, self._clock.now_ms())

    def _on_reply_state(self, name: str, state: str) -> None:
        """Marks a draining backend server before its next announcement."""
        if state == membership.State.DRAINING.value:
            self._table.mark(name, membership.State.DRAINING)

    def _expire_leases(self) -> None:
        for row in self._table.expire(self._clock.now_ms()):
            loguru.logger.warning(
                "lease of a backend server expired",
                backend_server=row.name,
                state=row.state.value,
            )
            self._on_row(row)

    # Configuration.

    def _on_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        loguru.logger.info(
            "configuration in force",
            number=configuration.number,
            digest=configuration.digest,
        )
        backends = self._backends
        backends.chooser = self._select_policy(
            backends.chooser, configuration, "replica_choice", "two_choices"
        )
        backends.hedger = self._select_policy(
            backends.hedger, configuration, "hedging", "quantile"
        )
        self._table.set_drained([d.name for d in configuration.drains])
        self._admitter.reconfigure(configuration)
        self._peers.relay_configuration(
            configuration_lib.encode(configuration), configuration.number
        )
        self._publish_state()

    def _select_policy(
        self, current_policy, configuration, kind: str, default: str
    ):
        """Returns the configured policy; the present one if unchanged."""
        factory = registry.get(kind, configuration.policy(kind, default))
        if type(current_policy) is factory:
            return current_policy
        if kind != "replica_choice":
            return factory()
        return self._new_chooser(configuration.policy(kind, default))

    def _new_chooser(self, name: str):
        factory = registry.get("replica_choice", name)
        return factory(self._rng, self._settings.data_center)

    def _on_peer_configuration(self, data: bytes, number: int) -> None:
        if number > self._lease.configuration.number:
            self._lease.apply_configuration(configuration_lib.decode(data))

    def _on_lease(self, lease_end_ms: float, entry_names) -> None:
        self._entry_count = max(self._entry_count, len(entry_names))
        self._peers.set_registered_entries(entry_names)
        self._publish_state()

    def _publish_state(self) -> None:
        """Updates the state of this entry that heartbeats carry."""
        configuration = self._lease.configuration
        number = configuration.number
        if not self._lease.has_initial_read:
            number = peer_state.NO_NUMBER
        self._peers.set_own_state(
            number=number,
            digest=configuration.digest,
            lease_end_ms=self._lease.lease_end_ms,
            leaving=self._leaving,
            demand={
                application: {rank: sum(counts) for rank, counts in ranks}
                for application, ranks in self._demand_items()
            },
        )
        self._backends.budget.set_overloaded(self._admitter.is_overloaded())

    def _demand_items(self):
        for application, ranks in self._admitter.demand().items():
            yield application, ranks.items()

    def _peer_demands(self) -> dict[str, peer_state.Demand]:
        demands = self._peers.demands()
        demands.pop(self._settings.name, None)
        return demands

    def _may_serve(self) -> bool:
        return isinstance(self._peers.may_serve(), isolation.Serving)

    def _current_status(self) -> status_lib.EntryStatus:
        return status_lib.EntryStatus(
            name=self._settings.name,
            configuration=self._lease.configuration,
            may_serve=self._may_serve(),
            leaving=self._leaving,
            lease_left_ms=self._lease.lease_end_ms - self._clock.now_ms(),
            demand=self._admitter.demand(),
            unsettled_claims=self._claims.unsettled,
        )

    def _on_status(self, body, headers, respond) -> None:
        data = status_lib.status_page(
            self._current_status(), self._backends, self._peers.status()
        )
        respond(answer_lib.RenderedAnswer(200, json.dumps(data).encode()))

    def _on_metrics(self, body, headers, respond) -> None:
        respond(
            answer_lib.RenderedAnswer(
                200,
                self._metrics.text(),
                content_type="text/plain; version=0.0.4",
            )
        )

    # Planned stop.

    def start_planned_stop(self) -> None:
        """Begins a planned stop.

        The entry leaves the address lists, serves requests while a cached list
        may still name this entry, drains, and then stops the loop.
        """
        loguru.logger.info("leaving")
        self._leaving = True
        self._publish_state()
        self._front.close_after_response()
        self._loop.timers.after(
            peer_state.leaving_accept_ms(self._settings.address_ttl_ms),
            self._stop_accepting,
        )

    def _stop_accepting(self) -> None:
        self._front.stop_accepting()
        self._stop_when_drained(self._clock.now_ms() + SETTLE_WAIT_MS)

    def _stop_when_drained(self, settle_until_ms: float) -> None:
        is_settling = (
            self._claims.unsettled and self._clock.now_ms() < settle_until_ms
        )
        if self._front.pending_count() or is_settling:
            self._loop.timers.after(
                DRAIN_CHECK_MS, lambda: self._stop_when_drained(settle_until_ms)
            )
            return
        if self._claims.unsettled:
            # Control will settle these claims as unknown. Their callers have
            # received their answers already.
            loguru.logger.warning(
                "stopping although control has not recorded all outcomes",
                claims=self._claims.unsettled,
            )
        self._lease.release(self._loop.stop)
        # If control is unavailable, the lease expires without a release.
        self._loop.timers.after(
            lease_lib.POLL_WAIT_MS + lease_lib.CALL_TIMEOUT_MS, self._loop.stop
        )


class BadToken(errors.Error):
    """The fleet token is missing or wrong."""

    code = "bad_token"
    remedy = "Send the fleet's token in x-fleet-token."
    http_status = 401
