"""One fake backend server with the HTTP API of real backend servers.

The stand-in behaves like the platform (slots, connection limit, cold start,
drain, load shedding, cancellation, deadlines) and simulates the faults that
entries must tolerate. Each fault is enabled in `settings.ServerSettings`.
"""

import collections
from collections import abc
import dataclasses
import json
import math
import os
import random
import typing

import loguru

from auburnway.core import clock as clock_lib
from auburnway.core import membership
from auburnway.core import snapshot as snapshot_lib
from auburnway.kernel import settings as settings_lib
from auburnway.kernel import timers as timers_lib
from auburnway.net import http_client
from auburnway.net import http_server
from auburnway.standin import announcer as announcer_lib
from auburnway.standin import answers
from auburnway.standin import catalogue as catalogue_lib
from auburnway.standin import record as record_lib
from auburnway.standin import settings

State = membership.State

NOT_STARTED = "x-not-started: 1\r\n"
CRASH_EXIT_CODE = 70
# Time for which earlier loads are kept; `load_lag_ms` selects one of them.
LOAD_HISTORY_MS = 30_000.0


@dataclasses.dataclass(slots=True, eq=False)
class _Run:
    """A run request that waits for a slot or occupies one."""

    request: http_server.Request
    request_id: str
    claim_id: str
    body: answers.Body
    held_snapshot: settings.SnapshotSettings
    started: bool = False
    started_ms: float = 0.0
    deadline_timer: timers_lib.Timer | None = None
    finish_timer: timers_lib.Timer | None = None


class Backend:
    """Backend server that serves one address and announces itself."""

    def __init__(
        self,
        process: settings.Settings,
        config: settings.ServerSettings,
        poller,
        timers: timers_lib.TimerQueue,
        clock: clock_lib.Clock,
        pool: http_client.HttpPool,
    ):
        self.config = config
        self.record = record_lib.Record(config.record_path)
        self._process = process
        self._timers = timers
        self._clock = clock
        self._rng = random.Random(f"{process.seed}/{config.name}")
        self.server = http_server.HttpServer(
            poller, config.address, self._on_request, config.connection_limit
        )
        self.announcer = announcer_lib.Announcer(
            pool,
            timers,
            config.name,
            process.entries,
            process.fleet_token,
            process.heartbeat_ms,
            self._encode_announcement,
        )
        self.state = State.GONE
        self._started_ms = 0
        self._reset_state()

    def _reset_state(self) -> None:
        self._sequence = 0
        self._last_row: membership.Row | None = None
        self._running: set[_Run] = set()
        self._waiting: collections.deque[_Run] = collections.deque()
        self._run_by_request_id: dict[str, _Run] = {}
        self._load_history: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._previous_body = b""

    # Life cycle.

    def start(self) -> None:
        """Starts to listen and to announce, as a new incarnation."""
        if self.state is not State.GONE:
            return
        self._reset_state()
        # The start time must increase even within the same millisecond.
        self._started_ms = max(self._started_ms + 1, self._clock.wall_ms())
        self._warm_up_end_ms = self._clock.now_ms() + self.config.warming_ms
        self.server.open()
        self.config = dataclasses.replace(
            self.config, address=self.server.address
        )
        self.state = State.SERVING
        if self.config.warming_ms:
            self.state = State.WARMING
            started_ms = self._started_ms
            self._timers.after(
                self.config.warming_ms, lambda: self._end_warming(started_ms)
            )
        self.announcer.start()

    def _end_warming(self, started_ms: int) -> None:
        if self.state is State.WARMING and started_ms == self._started_ms:
            self.state = State.SERVING
            self.announcer.announce()

    def drain(self, on_drained: abc.Callable[[], None] | None = None) -> None:
        """Accepts no new work, finishes the current work and then stops."""
        if self.state in (State.WARMING, State.SERVING):
            self.state = State.DRAINING
            self.announcer.announce()
        earliest_stop_ms = self._clock.now_ms() + self._process.drain_min_ms

        def stop_when_idle():
            if self.state is State.DRAINING:
                may_stop = self._clock.now_ms() >= earliest_stop_ms
                if self._running or self._waiting or not may_stop:
                    self._timers.after(20.0, stop_when_idle)
                    return
                self.stop()
            if on_drained is not None:
                on_drained()

        stop_when_idle()

    def stop(self) -> None:
        """Stops immediately and closes all connections without a reply."""
        self.state = State.GONE
        self.announcer.stop()
        self.server.close()
        for run in (*self._running, *self._waiting):
            self._cancel_timers(run)
        self._reset_state()

    def crash(self) -> None:
        """Exits the process or, if embedded, drops connections and state."""
        self.record.crashes += 1
        loguru.logger.warning("backend server {} crashes", self.config.name)
        if self._process.crash_exits:
            os._exit(CRASH_EXIT_CODE)
        self.stop()

    def change_settings(
        self, changes: dict[str, typing.Any]
    ) -> tuple[settings_lib.errors.Error, ...]:
        """Changes settings at run time.

        Args:
          changes: Values by key of `ServerSettings`, in TOML form.

        Returns:
          Errors of the values. If there are any, nothing is changed.
        """
        current = dataclasses.asdict(self.config) | {
            "snapshots": [
                {**dataclasses.asdict(held), "shards": list(held.shards)}
                for held in self.config.snapshots
            ]
        }
        fixed_keys = {"name", "address"} & changes.keys()
        new_settings, problems = settings_lib.check(
            settings.ServerSettings, current | changes, self.config.name
        )
        if fixed_keys:
            detail = "cannot be changed at run time"
            problems += tuple(
                settings_lib.SettingsError(detail, f"{self.config.name}:{key}")
                for key in sorted(fixed_keys)
            )
        if problems:
            return problems
        self.config = new_settings
        self.server.connection_limit = new_settings.connection_limit
        self.record.path = new_settings.record_path
        if self.state is not State.GONE:
            self.announcer.announce()
        return ()

    # Announcement.

    def _catalogue(self) -> catalogue_lib.Catalogue:
        return catalogue_lib.shared_catalogue(
            self.config.catalogue, self._process.seed, self.config.records
        )

    def row(self) -> membership.Row:
        """Returns the current row; each change increases its sequence."""
        config = self.config
        row = membership.Row(
            name=config.name,
            started_ms=self._started_ms,
            sequence=self._sequence,
            application=config.application,
            address=config.address,
            data_center=config.data_center,
            state=self.state,
            slots=config.slots,
            connection_limit=config.connection_limit,
            holdings=tuple(
                snapshot_lib.Holding(held.snapshot, shard)
                for held in config.snapshots
                for shard in held.shards
            ),
            manifests=tuple(
                self._catalogue().manifest(held.snapshot, held.shard_count)
                for held in config.snapshots
            ),
        )
        if row != self._last_row:
            self._sequence += 1
            row = dataclasses.replace(row, sequence=self._sequence)
            self._last_row = row
        return row

    def _encode_announcement(self) -> bytes:
        data = membership.encode_row(self.row())
        data["load"] = self._reported_load()
        return json.dumps(data).encode()

    # Requests.

    def _on_request(self, request: http_server.Request) -> None:
        path, _, arguments = request.path.partition("?")
        if self.state is State.DRAINING:
            # Close connections after replies, so that the stop interrupts none.
            request.keep = False
        if path == "/v1/run" and request.method == "POST":
            self._on_run(request)
        elif path == "/v1/ping":
            self._reply(request, 200, b"{}")
        elif path == "/v1/cancel" and request.method == "POST":
            self._on_cancel(request)
        elif path == "/v1/record":
            with_ids = "ids=1" in arguments
            self._reply_data(request, 200, self.record_data(with_ids))
        elif path == "/v1/control" and request.method == "POST":
            status, reply, action = self.apply_control(_load_json(request.body))
            # Reply first, because the action can close the connection.
            self._reply_data(request, status, reply)
            action()
        else:
            self._reply(request, 404, b"{}")

    def apply_control(
        self, data: typing.Any
    ) -> tuple[int, dict[str, typing.Any], abc.Callable[[], None]]:
        """Applies the changed settings of a control request.

        Args:
          data: `{"set": {...}, "action": name}`, both optional.

        Returns:
          HTTP status, JSON reply, and the action to run after the reply.
        """
        actions = {
            "": _no_action,
            "start": self.start,
            "drain": self.drain,
            "stop": self.stop,
            "crash": self.crash,
            "silence": self.server.silence,
        }
        if not isinstance(data, dict) or not isinstance(
            data.get("set", {}), dict
        ):
            detail = "the body is not a JSON object"
            return 400, {"errors": [detail]}, _no_action
        action = data.get("action", "")
        if action not in actions:
            known_actions = ", ".join(sorted(actions))
            detail = f"unknown action; known: {known_actions}"
            return 400, {"errors": [detail]}, _no_action
        problems = self.change_settings(data["set"]) if data.get("set") else ()
        if problems:
            errors = [error.message for error in problems]
            return 400, {"errors": errors}, _no_action
        return 200, {"name": self.config.name}, actions[action]

    def record_data(self, with_ids: bool) -> dict[str, typing.Any]:
        """Returns the record of actual runs and the number of slots."""
        data = self.record.as_dict(with_ids)
        return {**data, "slots": self.config.slots}

    def _on_run(self, request: http_server.Request) -> None:
        self.record.received += 1
        config = self.config
        body = _load_json(request.body)
        left_ms = _parse_float(request.headers.get("x-time-left-ms", "inf"))
        query = body.get("query") or {} if isinstance(body, dict) else None
        if not isinstance(query, dict) or left_ms is None:
            self._reply(request, 400, b"{}", NOT_STARTED)
            return
        if left_ms <= 0:
            self._reply(request, 504, b"{}", NOT_STARTED)
            return
        if config.fail_fast:
            self.record.failed += 1
            self._reply(request, config.fail_status, b"{}")
            return
        if self.state is not State.SERVING:
            self._shed(request)
            return
        held_snapshot = answers.find_held_snapshot(config, body)
        if held_snapshot is None:
            self._reply(request, 410, b"{}", NOT_STARTED)
            return
        if (
            len(self._running) >= config.slots
            and len(self._waiting) >= config.queue
        ):
            self._shed(request)
            return
        run = _Run(
            request,
            request.headers.get("x-request-id", ""),
            request.headers.get("x-claim-id", ""),
            body,
            held_snapshot,
        )
        if left_ms < math.inf:
            run.deadline_timer = self._timers.after(
                left_ms, lambda: self._expire(run)
            )
        if run.request_id:
            self._run_by_request_id[run.request_id] = run
        if len(self._running) < config.slots:
            self._start_run(run)
        else:
            self._waiting.append(run)

    def _shed(self, request: http_server.Request) -> None:
        self.record.shed += 1
        self._reply(request, 503, b"{}", NOT_STARTED)

    def _start_run(self, run: _Run) -> None:
        run.started = True
        run.started_ms = self._clock.now_ms()
        self._running.add(run)
        self._record_load()
        self.record.started += 1
        self.record.most_busy = max(self.record.most_busy, len(self._running))
        self.record.started_ids.append(run.request_id)
        query = run.body.get("query") or {}
        if run.claim_id:
            key = str(query.get("marker", ""))
            self.record.add_run(run.claim_id, key, run.request_id)
        if self.config.poison and self.config.poison in query.values():
            self.crash()
            return
        run.finish_timer = self._timers.after(
            self._service_ms(), lambda: self._finish(run)
        )

    def _service_ms(self) -> float:
        config = self.config
        sampled_ms = config.service_ms * math.exp(
            self._rng.gauss(0.0, config.service_sigma)
        )
        age_ms = self._clock.now_ms() - self._warm_up_end_ms
        if age_ms < config.cold_ms:
            cold_share = 1.0 - age_ms / config.cold_ms
            sampled_ms *= 1.0 + (config.cold_factor - 1.0) * cold_share
        return sampled_ms * config.straggler_factor

    def _finish(self, run: _Run) -> None:
        self.record.finished += 1
        self._release(run)
        body = answers.encode_answer(
            self._catalogue(),
            run.held_snapshot,
            run.body,
            run.request_id,
            run.claim_id,
        )
        previous, self._previous_body = self._previous_body, body
        if previous and self._rng.random() < self.config.crossed_share:
            body = previous
        self._reply(run.request, 200, body)

    def _expire(self, run: _Run) -> None:
        self.record.expired += 1
        self._release(run)
        self._reply(run.request, 504, b"{}", "" if run.started else NOT_STARTED)

    def _on_cancel(self, request: http_server.Request) -> None:
        data = _load_json(request.body)
        request_id = data.get("request_id") if isinstance(data, dict) else None
        run = self._run_by_request_id.get(request_id)
        if run is not None:
            self.record.cancelled += 1
            self._release(run)
            self._reply(
                run.request, 499, b"{}", "" if run.started else NOT_STARTED
            )
        self._reply_data(request, 200, {"cancelled": run is not None})

    def _release(self, run: _Run) -> None:
        self._cancel_timers(run)
        if self._run_by_request_id.get(run.request_id) is run:
            del self._run_by_request_id[run.request_id]
        if run in self._running:
            self._running.discard(run)
            self.record.busy_ms += self._clock.now_ms() - run.started_ms
        elif run in self._waiting:
            self._waiting.remove(run)
        while self._waiting and len(self._running) < self.config.slots:
            self._start_run(self._waiting.popleft())
        self._record_load()

    def _cancel_timers(self, run: _Run) -> None:
        for timer in (run.deadline_timer, run.finish_timer):
            if timer is not None:
                timer.cancel()

    # Replies.

    def _record_load(self) -> None:
        if not self.config.load_lag_ms:
            return
        now_ms = self._clock.now_ms()
        self._load_history.append((now_ms, self._load()))
        while self._load_history[0][0] < now_ms - LOAD_HISTORY_MS:
            self._load_history.popleft()

    def _load(self) -> float:
        run_count = len(self._running) + len(self._waiting)
        return round(run_count / self.config.slots, 3)

    def _reported_load(self) -> float:
        if self.config.reported_load >= 0:
            return self.config.reported_load
        if not self.config.load_lag_ms:
            return self._load()
        reported_at_ms = self._clock.now_ms() - self.config.load_lag_ms
        reported = 0.0
        for at_ms, load in reversed(self._load_history):
            if at_ms <= reported_at_ms:
                reported = load
                break
        return reported

    def _reply(
        self,
        request: http_server.Request,
        status: int,
        body: bytes,
        headers: str = "",
    ) -> None:
        load = self._reported_load()
        busy = len(self._running)
        if self.config.reported_load >= 0:
            busy = min(round(load * self.config.slots), self.config.slots)
        request.reply(
            status,
            body,
            f"x-state: {self.state.value}\r\nx-busy-slots: {busy}\r\n"
            f"x-load: {load}\r\n{headers}",
        )

    def _reply_data(self, request, status, data) -> None:
        self._reply(request, status, json.dumps(data).encode())


def _parse_float(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None


def _no_action() -> None:
    """Does nothing: the action of a control request without an action."""


def _load_json(body: bytes) -> typing.Any:
    try:
        return json.loads(body)
    except ValueError:
        return None
