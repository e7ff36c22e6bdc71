"""Entry of the pass-through tier: handles requests and connects the parts."""

from collections import abc
import random
import socket

import loguru

from auburnway.core import route_table
from auburnway.gateway import client_request as client_request_lib
from auburnway.gateway import dialect as dialect_lib
from auburnway.gateway import dispatcher as dispatcher_lib
from auburnway.gateway import feed as feed_lib
from auburnway.gateway import settings as settings_lib
from auburnway.gateway import start_queue
from auburnway.gateway import sub_request as sub_request_lib
from auburnway.kernel import process
from auburnway.kernel import timers as timers_lib
from auburnway.net import client_connection
from auburnway.net import header_numbers
from auburnway.net import socket_set
from auburnway.net import web_server
from auburnway.policy import client_delay
from auburnway.policy import entry_selection
from auburnway.policy import shard_admission
from auburnway.policy import stop_admission

# Time left of a request that states none; the route's timeout limits it.
MAX_DEADLINE_MS = 3_600_000.0
# Time after which a client may come back that was refused because the entry
# has no configuration.
NO_CONFIGURATION_RETRY_MS = 200.0
DRAIN_CHECK_MS = 100.0
# A stopping entry serves for this many times the time for which clients cache
# the directory's answer: some cache it longer than they are told.
MIN_DRAIN_TTLS = 3
# Time from the answers to the last open requests to the end of the process. A
# socket that is closed with unread bytes discards answers in transit.
LAST_ANSWERS_MS = 100.0
# Period of the load measurement, and weight of the newest sample.
LOAD_PERIOD_MS = 500.0
LOAD_WEIGHT = 0.2


class _LoadMeter:
    """Moving average of the share of processor time that requests use."""

    def __init__(self, cores: float):
        self._cores = cores
        self._average = 0.0
        self._sub_request_count = 0
        self._measured_ms: float | None = None

    def update(self, sub_request_count: int, now_ms: float) -> float:
        """Adds a sample and returns the new average.

        Args:
          sub_request_count: Sub-requests since the start of the process.
          now_ms: Current time.
        """
        if self._measured_ms is not None and now_ms > self._measured_ms:
            elapsed_s = (now_ms - self._measured_ms) / 1000.0
            rate = (sub_request_count - self._sub_request_count) / elapsed_s
            load = entry_selection.load(rate, self._cores)
            self._average += LOAD_WEIGHT * (load - self._average)
        self._sub_request_count, self._measured_ms = sub_request_count, now_ms
        return self._average


class Node:
    """One entry, which serves clients and calls backend servers.

    Args:
      settings: Settings of the entry.
      dialect: Header names and document formats.
      loop: Event loop of the entry.
      listener: Socket that listens on the address for clients already; None
        to open one.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        dialect: dialect_lib.Dialect,
        loop: process.Loop,
        listener: socket.socket | None = None,
    ):
        self._settings = settings
        self._dialect = dialect
        self._loop = loop
        self._clock = loop.clock
        self._matcher: route_table.Matcher | None = None
        self._split_credits: dict[str, list[float]] = {}
        self._stop: stop_admission.Stop | None = None
        self._drain_timer: timers_lib.Timer | None = None
        self._open_requests: set[client_request_lib.ClientRequest] = set()
        self._start_queue = start_queue.StartQueue(
            loop.timers, loop.clock, self._refuse_unconfigured
        )
        # Called with rank, status, reason and duration in ms of each answer.
        self.on_answer: abc.Callable[[int, int, str, float], None] | None = None
        self._probe_schedule = shard_admission.ProbeSchedule()
        self._rng = random.Random(settings.name)
        self.sockets = socket_set.SocketSet(loop.poller).register(loop.root)
        loop.stack.callback(self.sockets.close)
        self.feed = feed_lib.Feed(
            settings, dialect, loop, self.sockets, self._configure
        )
        self.dispatcher = dispatcher_lib.Dispatcher(
            settings, dialect, loop, self.sockets, self.feed
        )
        self.client_delay = client_delay.ClientDelay(settings.client_delay_ms)
        self.client_server = web_server.WebServer(
            settings.client_address,
            self.sockets,
            loop.timers,
            loop.clock,
            self._on_request,
            listener=listener,
        )
        loop.stack.callback(self.client_server.close)
        self.client_server.on_round_trip = self.client_delay.on_round_trip
        self._load_meter = _LoadMeter(
            settings.processor_share * settings.processor_cores
        )
        loop.timers.every(LOAD_PERIOD_MS, self._report_load)
        self._dropped_headers = {
            *client_request_lib.HOP_HEADERS,
            b"content-length",
            b"expect",
            dialect.time_left.lower(),
            dialect.target_server.lower(),
        }

    @property
    def is_ready(self) -> bool:
        """Whether clients should use this entry."""
        return self._matcher is not None and self._stop is None

    def addresses(self, data_center: str) -> tuple[str, ...]:
        """Returns the addresses of entries for a client.

        Entries of the client's data centre are preferred if there are at least
        two of them.

        Args:
          data_center: Data centre of the client.
        """
        entries = self.feed.entries.active()
        nearby = [
            entry for entry in entries if entry.data_center == data_center
        ]
        chosen = [
            entry.address for entry in (nearby if len(nearby) >= 2 else entries)
        ]
        if not chosen and self.is_ready:
            chosen = [self._settings.client_address]
        limit = self._settings.address_limit
        if len(chosen) > limit:
            chosen = self._rng.sample(chosen, limit)
        return tuple(chosen)

    def stop(self) -> None:
        """Starts the graceful stop, in which open requests are finished.

        Requests that may outlast the grace time are refused.
        """
        self._stop = stop_admission.Stop(
            self._clock.now_ms(),
            MIN_DRAIN_TTLS * self._settings.address_ttl_ms,
            self._settings.grace_ms,
        )
        loguru.logger.info("stopping")
        self._start_queue.refuse_all()
        self.feed.report_ready(False)
        self.feed.entries.remove_entry(self._settings.client_address)
        self.client_server.closes_after_reply = True
        self._drain_timer = self._loop.timers.every(
            DRAIN_CHECK_MS, self._check_drain
        )

    def _check_drain(self) -> None:
        open_count = self.client_server.busy_count
        if not self._stop.is_over(self._clock.now_ms(), open_count):
            return
        self._drain_timer.cancel()
        loguru.logger.bind(open=open_count).info("stopped")
        for client_request in tuple(self._open_requests):
            client_request.end("stopping")
        self._loop.timers.after(
            LAST_ANSWERS_MS if open_count else 0.0, self._loop.stop
        )

    def _report_load(self) -> None:
        sub_request_count = self.dispatcher.sub_request_count
        self.feed.report_load(
            self._load_meter.update(sub_request_count, self._clock.now_ms())
        )

    def _configure(self, configuration: route_table.Configuration) -> None:
        self._matcher = route_table.Matcher(configuration)
        limits = configuration.limits
        self.client_server.limits = web_server.Limits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        )
        self.dispatcher.configure(configuration)
        self._split_credits = {}
        if self.is_ready:
            self.feed.report_ready(True)
        self._serve_waiting()

    def _serve_waiting(self) -> None:
        """Processes the requests that waited for the first configuration."""
        requests = self._start_queue.take_all()
        if requests:
            loguru.logger.bind(count=len(requests)).info(
                "requests waited for the configuration"
            )
        for request in sorted(requests, key=self._urgency):
            self._on_request(request)

    def _urgency(self, request: client_connection.Request) -> tuple[int, float]:
        """Returns the sort key of a request: its rank, then its deadline."""
        route = self._match(request)
        rank = route.rank if route is not None else 0
        return rank, request.received_ms + self._time_left_ms(request)

    # Requests.

    def _on_request(self, request: client_connection.Request) -> None:
        try:
            self._process(request)
        except Exception:
            # The request may have been sent, so nothing is promised of it.
            loguru.logger.exception("unexpected exception of a request")
            failed = client_request_lib.refusal(500, "internal_error")
            self._answer(request, None, failed)

    def _process(self, request: client_connection.Request) -> None:
        refused = self._refuse_early(request)
        if refused is not None:
            self._answer(request, None, refused)
            return
        if self._matcher is None:
            self._wait_for_configuration(request)
            return
        route = self._match(request)
        if route is None:
            self._answer(
                request, None, client_request_lib.refusal(404, "no_route")
            )
            return
        context = self._request_context(request, route)
        if self._stop is not None and not self._stop.accepts(
            context.deadline_ms
        ):
            # A client that comes back later has a list of entries without
            # this one.
            refused = client_request_lib.refusal(
                503, "stopping", self._settings.address_ttl_ms
            )
            self._answer(request, context, refused)
            return
        client_request: client_request_lib.ClientRequest | None = None

        def on_answer(answer: client_request_lib.Answer):
            self._open_requests.discard(client_request)
            self._answer(request, context, answer)

        def on_gone():
            self._open_requests.discard(client_request)
            loguru.logger.bind(
                request=context.request_id.decode("latin-1"),
                route=route.name,
                missing=client_request.missing(),
                took_ms=round(self._clock.now_ms() - context.started_ms, 1),
                revision=self.feed.revision,
            ).info("client left before its answer")
            client_request.cancel()

        if route.gather is not None:
            client_request = self._gathered_request(context, on_answer)
            if client_request is None:
                return
        else:
            service = self._next_service(route)
            client_request = client_request_lib.SingleRequest(
                self.dispatcher, context, service, on_answer
            )
        self._open_requests.add(client_request)
        request.on_gone = on_gone
        client_request.start()

    def _match(
        self, request: client_connection.Request
    ) -> route_table.Route | None:
        host = request.fields[b"host"].decode("latin-1")
        return self._matcher.match(host, request.path.decode("latin-1"))

    def _wait_for_configuration(
        self, request: client_connection.Request
    ) -> None:
        if self._stop is not None:
            self._refuse_unconfigured(request)
            return
        self._start_queue.add(request, self._time_left_ms(request))

    def _refuse_unconfigured(self, request: client_connection.Request) -> None:
        refused = client_request_lib.refusal(
            503, "no_configuration", NO_CONFIGURATION_RETRY_MS
        )
        self._answer(request, None, refused)

    def _gathered_request(
        self, context, on_answer
    ) -> client_request_lib.GatheredRequest | None:
        """Returns the gathered request; None after it was refused."""
        route, now_ms = context.route, self._clock.now_ms()
        shard_outlooks = self.dispatcher.shard_outlooks(route)
        outlooks = {
            shard: outlook for shard, (outlook, _) in shard_outlooks.items()
        }
        shards = shard_admission.select_shards(
            outlooks,
            context.target_ms - now_ms,
            context.deadline_ms - now_ms,
            route.gather.min_coverage,
        )
        if not shards:
            if not self._probe_schedule.is_due(route.name, now_ms):
                wait_ms = shard_admission.wait_ms(
                    outlooks, route.gather.min_coverage
                )
                on_answer(self._no_room(context, wait_ms))
                return None
            shards = route.gather.shards
        self._probe_schedule.on_admitted(route.name, now_ms)
        return client_request_lib.GatheredRequest(
            self.dispatcher,
            self._dialect,
            context,
            {shard: shard_outlooks[shard][1] for shard in shards},
            on_answer,
        )

    def _no_room(
        self, context: sub_request_lib.RequestContext, wait_ms: float
    ) -> client_request_lib.Answer:
        left_ms = context.deadline_ms - context.started_ms
        retry_ms = client_request_lib.random_retry_after_ms(
            context.route, left_ms, self._rng
        )
        return client_request_lib.refusal(
            503,
            "no_room",
            client_request_lib.stated_wait_ms(wait_ms, retry_ms),
        )

    def _refuse_early(
        self, request: client_connection.Request
    ) -> client_request_lib.Answer | None:
        hosts = [n for n, _ in request.headers if n.lower() == b"host"]
        if len(hosts) != 1:
            return client_request_lib.refusal(400, "bad_host")
        if not request.target.startswith(b"/"):
            return client_request_lib.refusal(400, "bad_target")
        if self._dialect.request_id.lower() not in request.fields:
            return client_request_lib.refusal(400, "no_request_id")
        return None

    def _time_left_ms(self, request: client_connection.Request) -> float:
        """Returns the time that a request states until its deadline."""
        header = request.fields.get(self._dialect.time_left.lower(), b"")
        left_ms = header_numbers.decimal(header, MAX_DEADLINE_MS)
        return MAX_DEADLINE_MS if left_ms is None else left_ms

    def _request_context(
        self, request: client_connection.Request, route: route_table.Route
    ) -> sub_request_lib.RequestContext:
        left_ms = min(self._time_left_ms(request), route.timeout_ms)
        objective_ms = request.received_ms + route.target_ms
        delay_ms = self.client_delay.delay_ms(request.is_first)
        reserved_ms = self.client_delay.reserved_ms(
            request.is_first, route.target_ms
        )
        return sub_request_lib.RequestContext(
            request.fields[self._dialect.request_id.lower()],
            route,
            self._head(request),
            request.body,
            request.method == b"HEAD",
            request.received_ms,
            objective_ms - delay_ms,
            objective_ms - reserved_ms,
            request.received_ms + left_ms,
            (
                request.method,
                request.fields[b"host"],
                request.target,
                request.body,
            ),
        )

    def _head(self, request: client_connection.Request) -> bytes:
        connection_headers = (
            request.fields.get(b"connection", b"").lower().split(b",")
        )
        dropped = self._dropped_headers.union(
            name.strip() for name in connection_headers
        )
        lines = [b"%s %s HTTP/1.1" % (request.method, request.target)]
        lines.extend(
            b"%s: %s" % (name, value)
            for name, value in request.headers
            if name.lower() not in dropped
        )
        if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
            lines.append(b"Content-Length: %d" % len(request.body))
        return b"\r\n".join(lines) + b"\r\n"

    def _next_service(self, route: route_table.Route) -> str:
        """Returns the next service of a route, by weighted round robin."""
        if len(route.parts) == 1:
            return route.parts[0].service
        credits = self._split_credits.setdefault(
            route.name, [0.0] * len(route.parts)
        )
        total = sum(part.weight for part in route.parts)
        for i, part in enumerate(route.parts):
            credits[i] += part.weight / total
        best = max(range(len(credits)), key=credits.__getitem__)
        credits[best] -= 1.0
        return route.parts[best].service

    def _answer(
        self,
        request: client_connection.Request,
        context: sub_request_lib.RequestContext | None,
        answer: client_request_lib.Answer,
    ) -> None:
        request.reply(answer.status, answer.headers, answer.body)
        took_ms = self._clock.now_ms() - request.received_ms
        is_late = context is not None and took_ms > context.route.target_ms
        reason = "late" if is_late and answer.reason == "ok" else answer.reason
        if self.on_answer is not None:
            rank = context.route.rank if context is not None else -1
            self.on_answer(rank, answer.status, reason, took_ms)
        if reason == "ok":
            return
        request_id = request.fields.get(self._dialect.request_id.lower(), b"")
        loguru.logger.bind(
            request=request_id.decode("latin-1"),
            route=context.route.name if context is not None else "",
            status=answer.status,
            reason=reason,
            coverage=round(answer.coverage, 3),
            missing=answer.missing,
            took_ms=round(took_ms, 1),
            revision=self.feed.revision,
        ).info("request was not answered in full")
