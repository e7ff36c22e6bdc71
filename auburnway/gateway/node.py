"""An entry of the pass-through tier: wires its parts together."""

from collections import abc
import random

import loguru

from auburnway.core import route_table
from auburnway.gateway import dialect as dialect_lib
from auburnway.gateway import dispatcher as dispatcher_lib
from auburnway.gateway import feed as feed_lib
from auburnway.gateway import job as job_lib
from auburnway.gateway import leg as leg_lib
from auburnway.gateway import settings as settings_lib
from auburnway.kernel import process
from auburnway.net import socket_set
from auburnway.net import web_server
from auburnway.policy import client_delay
from auburnway.policy import entry_selection
from auburnway.policy import shard_admission

# Deadline of a request that states none is its route's time-out.
MAX_DEADLINE_MS = 3_600_000.0
# From SIGTERM on: when new requests are refused, as they might not end in
# time, and when the process ends whatever is left; parts of the grace time.
REFUSE_SHARE = 0.45
END_SHARE = 0.9
DRAIN_CHECK_MS = 100.0
# Period in which the load is measured, and weight of the newest measure.
LOAD_PERIOD_MS = 500.0
LOAD_WEIGHT = 0.2


class _LoadMeter:
    """Moving average of the part of the processor that requests take."""

    def __init__(self, cores: float):
        self._cores = cores
        self._load = 0.0
        self._started = 0
        self._measured_ms: float | None = None

    def update(self, started: int, now_ms: float) -> float:
        """Returns the load.

        Args:
          started: Sub-requests since the start of the process.
          now_ms: Present instant.
        """
        if self._measured_ms is not None and now_ms > self._measured_ms:
            passed_s = (now_ms - self._measured_ms) / 1000.0
            rate = (started - self._started) / passed_s
            load = entry_selection.load(rate, self._cores)
            self._load += LOAD_WEIGHT * (load - self._load)
        self._started, self._measured_ms = started, now_ms
        return self._load


class Node:
    """One entry.

    Args:
      settings: Settings.
      dialect: Names and formats of the surroundings.
      loop: Loop that runs the entry.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        dialect: dialect_lib.Dialect,
        loop: process.Loop,
    ):
        self._settings = settings
        self._dialect = dialect
        self._loop = loop
        self._clock = loop.clock
        self._matcher: route_table.Matcher | None = None
        self._splits: dict[str, list[float]] = {}
        self._stopping_ms: float | None = None
        # Called with rank, status, reason and time in ms of each answer.
        self.on_answer: abc.Callable[[int, int, str, float], None] | None = None
        self._prober = shard_admission.Prober()
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
        self.front = web_server.WebServer(
            settings.client_address,
            self.sockets,
            loop.timers,
            loop.clock,
            self._on_request,
        )
        loop.stack.callback(self.front.close)
        self.front.on_round_trip = self.client_delay.on_round_trip
        self._load = _LoadMeter(
            settings.processor_share * settings.processor_cores
        )
        loop.timers.every(LOAD_PERIOD_MS, self._tell_load)
        self._removed_own = {
            *job_lib.HOP_HEADERS,
            b"content-length",
            b"expect",
            dialect.time_left.lower(),
            dialect.wanted_server.lower(),
        }

    @property
    def is_ready(self) -> bool:
        """Whether clients should be sent here."""
        return self._matcher is not None and self._stopping_ms is None

    def addresses(self, data_center: str) -> tuple[str, ...]:
        """Returns entries for a client, those of its data centre if enough.

        Args:
          data_center: Data centre of the client.
        """
        entries = self.feed.entries.active()
        near = [e for e in entries if e.data_center == data_center]
        chosen = [e.address for e in (near if len(near) >= 2 else entries)]
        if not chosen and self.is_ready:
            chosen = [self._settings.client_address]
        limit = self._settings.address_limit
        if len(chosen) > limit:
            chosen = self._rng.sample(chosen, limit)
        return tuple(chosen)

    def stop(self) -> None:
        """Begins a graceful end: finishes the work and refuses new one."""
        self._stopping_ms = self._clock.now_ms()
        loguru.logger.info("stopping")
        self.feed.announce(False)
        self.feed.entries.forget(self._settings.client_address)
        self.front.closes_after_reply = True
        self._loop.timers.every(DRAIN_CHECK_MS, self._check_drain)

    def _check_drain(self) -> None:
        grace_ms = self._settings.grace_ms
        since_ms = self._clock.now_ms() - self._stopping_ms
        kept_ms = 3 * self._settings.address_ttl_ms
        is_idle = self.front.busy_count == 0
        if since_ms > kept_ms and is_idle or since_ms > END_SHARE * grace_ms:
            loguru.logger.bind(open=self.front.busy_count).info("stopped")
            self._loop.stop()

    def _tell_load(self) -> None:
        started = self.dispatcher.started_count
        self.feed.tell_load(self._load.update(started, self._clock.now_ms()))

    def _configure(self, configuration: route_table.Configuration) -> None:
        self._matcher = route_table.Matcher(configuration)
        limits = configuration.limits
        self.front.limits = web_server.Limits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        )
        self.dispatcher.configure(configuration)
        self._splits = {}
        if self.is_ready:
            self.feed.announce(True)

    # Requests.

    def _on_request(self, request: web_server.Request) -> None:
        refused = self._refuse_early(request)
        if refused is not None:
            self._answer(request, None, refused)
            return
        host = request.fields[b"host"].decode("latin-1")
        route = self._matcher.match(host, request.path.decode("latin-1"))
        if route is None:
            self._answer(request, None, job_lib.refusal(404, "no_route"))
            return
        job = self._job(request, route)

        def on_answer(answer: job_lib.Answer):
            self._answer(request, job, answer)

        if route.gather is not None:
            work = self._gathered(job, on_answer)
            if work is None:
                left_ms = job.deadline_ms - job.started_ms
                wait_ms = job_lib.spread_retry_after_ms(
                    route, left_ms, self._rng
                )
                on_answer(job_lib.refusal(503, "no_room", wait_ms))
                return
        else:
            service = self._choose_part(route)
            work = job_lib.Single(self.dispatcher, job, service, on_answer)
        request.on_gone = work.cancel
        work.start()

    def _gathered(self, job, on_answer) -> job_lib.Gathered | None:
        """Returns the work on a query; None when it finds no room."""
        route, now_ms = job.route, self._clock.now_ms()
        outlooks = self.dispatcher.outlooks(route)
        shards = shard_admission.plan(
            {shard: outlook for shard, (outlook, _) in outlooks.items()},
            job.target_ms - now_ms,
            job.deadline_ms - now_ms,
            route.gather.min_coverage,
        )
        if not shards:
            if not self._prober.is_due(route.name, now_ms):
                return None
            shards = route.gather.shards
        self._prober.on_admitted(route.name, now_ms)
        return job_lib.Gathered(
            self.dispatcher,
            self._dialect,
            job,
            {shard: outlooks[shard][1] for shard in shards},
            on_answer,
        )

    def _refuse_early(
        self, request: web_server.Request
    ) -> job_lib.Answer | None:
        if self._matcher is None:
            return job_lib.refusal(503, "no_configuration", 200.0)
        if self._stopping_ms is not None:
            since_ms = self._clock.now_ms() - self._stopping_ms
            if since_ms > REFUSE_SHARE * self._settings.grace_ms:
                return job_lib.refusal(503, "stopping", 1.0)
        hosts = [n for n, _ in request.headers if n.lower() == b"host"]
        if len(hosts) != 1:
            return job_lib.refusal(400, "bad_host")
        if not request.target.startswith(b"/"):
            return job_lib.refusal(400, "bad_target")
        if self._dialect.request_id.lower() not in request.fields:
            return job_lib.refusal(400, "no_request_id")
        return None

    def _job(
        self, request: web_server.Request, route: route_table.Route
    ) -> leg_lib.Job:
        stated = request.fields.get(self._dialect.time_left.lower(), b"")
        left_ms = float(stated) if stated.isdigit() else MAX_DEADLINE_MS
        left_ms = min(left_ms, route.timeout_ms)
        return leg_lib.Job(
            request.fields[self._dialect.request_id.lower()],
            route,
            self._head(request),
            request.body,
            request.method == b"HEAD",
            request.received_ms,
            request.received_ms
            + route.target_ms
            - self.client_delay.delay_ms(request.is_first),
            request.received_ms + left_ms,
        )

    def _head(self, request: web_server.Request) -> bytes:
        named = request.fields.get(b"connection", b"").lower().split(b",")
        removed = self._removed_own.union(name.strip() for name in named)
        lines = [b"%s %s HTTP/1.1" % (request.method, request.target)]
        lines.extend(
            b"%s: %s" % (name, value)
            for name, value in request.headers
            if name.lower() not in removed
        )
        if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
            lines.append(b"Content-Length: %d" % len(request.body))
        return b"\r\n".join(lines) + b"\r\n"

    def _choose_part(self, route: route_table.Route) -> str:
        """Returns the service that is furthest behind its weight."""
        if len(route.parts) == 1:
            return route.parts[0].service
        credits = self._splits.setdefault(route.name, [0.0] * len(route.parts))
        total = sum(part.weight for part in route.parts)
        for i, part in enumerate(route.parts):
            credits[i] += part.weight / total
        best = max(range(len(credits)), key=credits.__getitem__)
        credits[best] -= 1.0
        return route.parts[best].service

    def _answer(
        self,
        request: web_server.Request,
        job: leg_lib.Job | None,
        answer: job_lib.Answer,
    ) -> None:
        request.reply(answer.status, answer.headers, answer.body)
        took_ms = self._clock.now_ms() - request.received_ms
        is_late = job is not None and took_ms > job.route.target_ms
        reason = "late" if is_late and answer.reason == "ok" else answer.reason
        if self.on_answer is not None:
            rank = job.route.rank if job is not None else -1
            self.on_answer(rank, answer.status, reason, took_ms)
        if reason == "ok":
            return
        request_id = request.fields.get(self._dialect.request_id.lower(), b"")
        loguru.logger.bind(
            request=request_id.decode("latin-1"),
            route=job.route.name if job is not None else "",
            status=answer.status,
            reason=reason,
            coverage=round(answer.coverage, 3),
            missing=answer.missing,
            took_ms=round(took_ms, 1),
            revision=self.feed.revision,
        ).info("request was not answered in full")
