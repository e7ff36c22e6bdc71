"""One fake backend server: the API of design sections 4.2 and 4.3.

It behaves as the platform does (slots, connection limit, cold start, drain,
shedding, cancellation, deadlines) and shows the faults that entries must
survive, each set by `settings.ServerSettings`.
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
# How long past loads are kept for `load_lag_ms`.
LOAD_HISTORY_MS = 30_000.0


@dataclasses.dataclass(slots=True, eq=False)
class _Run:
    """One run request that waits or holds a slot."""

    request: http_server.Request
    request_id: str
    claim_id: str
    body: answers.Body
    read: settings.SnapshotSettings
    started: bool = False
    started_ms: float = 0.0
    deadline: timers_lib.Timer | None = None
    end: timers_lib.Timer | None = None


class Backend:
    """Serves one address and announces itself."""

    def __init__(
        self,
        process: settings.Settings,
        own: settings.ServerSettings,
        poller,
        timers: timers_lib.TimerQueue,
        clock: clock_lib.Clock,
        pool: http_client.HttpPool,
    ):
        self.own = own
        self.record = record_lib.Record(own.record_path)
        self._process = process
        self._timers = timers
        self._clock = clock
        self._rng = random.Random(f"{process.seed}/{own.name}")
        self.server = http_server.HttpServer(
            poller, own.address, self._on_request, own.connection_limit
        )
        self.announcer = announcer_lib.Announcer(
            pool,
            timers,
            own.name,
            process.entries,
            process.fleet_token,
            process.heartbeat_ms,
            self._announcement,
        )
        self.state = State.GONE
        self._started_ms = 0
        self._reset()

    def _reset(self) -> None:
        self._sequence = 0
        self._row: membership.Row | None = None
        self._running: set[_Run] = set()
        self._waiting: collections.deque[_Run] = collections.deque()
        self._by_id: dict[str, _Run] = {}
        self._loads: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._earlier_body = b""

    # Life cycle.

    def start(self) -> None:
        """Listens and announces itself as a new incarnation."""
        if self.state is not State.GONE:
            return
        self._reset()
        # A restart within the same millisecond must still be greater.
        self._started_ms = max(self._started_ms + 1, self._clock.wall_ms())
        self._serving_ms = self._clock.now_ms() + self.own.warming_ms
        self.server.open()
        self.own = dataclasses.replace(self.own, address=self.server.address)
        self.state = State.SERVING
        if self.own.warming_ms:
            self.state = State.WARMING
            started_ms = self._started_ms
            self._timers.after(
                self.own.warming_ms, lambda: self._end_warming(started_ms)
            )
        self.announcer.start()

    def _end_warming(self, started_ms: int) -> None:
        if self.state is State.WARMING and started_ms == self._started_ms:
            self.state = State.SERVING
            self.announcer.announce()

    def drain(self, on_drained: abc.Callable[[], None] | None = None) -> None:
        """Takes no new work, finishes the work it has, then stops."""
        if self.state in (State.WARMING, State.SERVING):
            self.state = State.DRAINING
            self.announcer.announce()
        least_ms = self._clock.now_ms() + self._process.drain_min_ms

        def look():
            if self.state is State.DRAINING:
                late = self._clock.now_ms() >= least_ms
                if self._running or self._waiting or not late:
                    self._timers.after(20.0, look)
                    return
                self.stop()
            if on_drained is not None:
                on_drained()

        look()

    def stop(self) -> None:
        """Stops at once; connections are closed without a reply."""
        self.state = State.GONE
        self.announcer.stop()
        self.server.close()
        for run in (*self._running, *self._waiting):
            self._cancel_timers(run)
        self._reset()

    def crash(self) -> None:
        """Ends the process or, in process, loses connections and state."""
        self.record.crashes += 1
        loguru.logger.warning("{} crashes", self.own.name)
        if self._process.crash_exits:
            os._exit(CRASH_EXIT_CODE)
        self.stop()

    def change(
        self, changes: dict[str, typing.Any]
    ) -> tuple[settings_lib.errors.Error, ...]:
        """Changes settings at run time.

        Args:
          changes: Values by key of `ServerSettings`, in TOML form.

        Returns:
          What is wrong with them; nothing is changed then.
        """
        merged = dataclasses.asdict(self.own) | {
            "snapshots": [
                {**dataclasses.asdict(s), "shards": list(s.shards)}
                for s in self.own.snapshots
            ]
        }
        fixed = {"name", "address"} & changes.keys()
        checked, found = settings_lib.check(
            settings.ServerSettings, merged | changes, self.own.name
        )
        if fixed:
            detail = "cannot be changed at run time"
            found += tuple(
                settings_lib.SettingsError(detail, f"{self.own.name}:{key}")
                for key in sorted(fixed)
            )
        if found:
            return found
        self.own = checked
        self.server.connection_limit = checked.connection_limit
        self.record.path = checked.record_path
        if self.state is not State.GONE:
            self.announcer.announce()
        return ()

    # Announcement.

    def _catalogue(self) -> catalogue_lib.Catalogue:
        return catalogue_lib.shared(
            self.own.catalogue, self._process.seed, self.own.records
        )

    def row(self) -> membership.Row:
        """Returns the present row; its sequence rises with each change."""
        own = self.own
        row = membership.Row(
            name=own.name,
            started_ms=self._started_ms,
            sequence=self._sequence,
            application=own.application,
            address=own.address,
            data_center=own.data_center,
            state=self.state,
            slots=own.slots,
            connection_limit=own.connection_limit,
            holdings=tuple(
                snapshot_lib.Holding(held.snapshot, shard)
                for held in own.snapshots
                for shard in held.shards
            ),
            manifests=tuple(
                self._catalogue().manifest(held.snapshot, held.shard_count)
                for held in own.snapshots
            ),
        )
        if row != self._row:
            self._sequence += 1
            row = dataclasses.replace(row, sequence=self._sequence)
            self._row = row
        return row

    def _announcement(self) -> bytes:
        data = membership.encode_row(self.row())
        data["load"] = self._reported_load()
        return json.dumps(data).encode()

    # Requests.

    def _on_request(self, request: http_server.Request) -> None:
        path, _, arguments = request.path.partition("?")
        if self.state is State.DRAINING:
            # Connections end with their replies, so that none is cut off
            # when the server stops.
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
            status, reply, action = self.control(_decode(request.body))
            # The action can close the connection.
            self._reply_data(request, status, reply)
            action()
        else:
            self._reply(request, 404, b"{}")

    def control(
        self, data: typing.Any
    ) -> tuple[int, dict[str, typing.Any], abc.Callable[[], None]]:
        """Carries out the changes of a control request.

        Args:
          data: `{"set": {...}, "action": name}`, both optional.

        Returns:
          HTTP status, JSON reply, and the action to run after the reply.
        """
        actions = {
            "": _nothing,
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
            return 400, {"errors": [detail]}, _nothing
        action = data.get("action", "")
        if action not in actions:
            known = ", ".join(sorted(actions))
            detail = f"unknown action; known: {known}"
            return 400, {"errors": [detail]}, _nothing
        found = self.change(data["set"]) if data.get("set") else ()
        if found:
            errors = [error.message for error in found]
            return 400, {"errors": errors}, _nothing
        return 200, {"name": self.own.name}, actions[action]

    def record_data(self, with_ids: bool) -> dict[str, typing.Any]:
        """Returns the truthful record, with the slots it refers to."""
        data = self.record.as_dict(with_ids)
        return {**data, "slots": self.own.slots}

    def _on_run(self, request: http_server.Request) -> None:
        self.record.received += 1
        own = self.own
        body = _decode(request.body)
        left_ms = _number(request.headers.get("x-time-left-ms", "inf"))
        query = body.get("query") or {} if isinstance(body, dict) else None
        if not isinstance(query, dict) or left_ms is None:
            self._reply(request, 400, b"{}", NOT_STARTED)
            return
        if left_ms <= 0:
            self._reply(request, 504, b"{}", NOT_STARTED)
            return
        if own.fail_fast:
            self.record.failed += 1
            self._reply(request, own.fail_status, b"{}")
            return
        if self.state is not State.SERVING:
            self._shed(request)
            return
        read = answers.held(own, body)
        if read is None:
            self._reply(request, 410, b"{}", NOT_STARTED)
            return
        if len(self._running) >= own.slots and len(self._waiting) >= own.queue:
            self._shed(request)
            return
        run = _Run(
            request,
            request.headers.get("x-request-id", ""),
            request.headers.get("x-claim-id", ""),
            body,
            read,
        )
        if left_ms < math.inf:
            run.deadline = self._timers.after(
                left_ms, lambda: self._expire(run)
            )
        if run.request_id:
            self._by_id[run.request_id] = run
        if len(self._running) < own.slots:
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
        self._note_load()
        self.record.started += 1
        self.record.most_busy = max(self.record.most_busy, len(self._running))
        self.record.started_ids.append(run.request_id)
        query = run.body.get("query") or {}
        if run.claim_id:
            key = str(query.get("marker", ""))
            self.record.add_run(run.claim_id, key, run.request_id)
        if self.own.poison and self.own.poison in query.values():
            self.crash()
            return
        run.end = self._timers.after(
            self._service_ms(), lambda: self._finish(run)
        )

    def _service_ms(self) -> float:
        own = self.own
        drawn_ms = own.service_ms * math.exp(
            self._rng.gauss(0.0, own.service_sigma)
        )
        age_ms = self._clock.now_ms() - self._serving_ms
        if age_ms < own.cold_ms:
            left = 1.0 - age_ms / own.cold_ms
            drawn_ms *= 1.0 + (own.cold_factor - 1.0) * left
        return drawn_ms * own.straggler_factor

    def _finish(self, run: _Run) -> None:
        self.record.finished += 1
        self._release(run)
        body = answers.answer(
            self._catalogue(), run.read, run.body, run.request_id, run.claim_id
        )
        earlier, self._earlier_body = self._earlier_body, body
        if earlier and self._rng.random() < self.own.crossed_share:
            body = earlier
        self._reply(run.request, 200, body)

    def _expire(self, run: _Run) -> None:
        self.record.expired += 1
        self._release(run)
        self._reply(run.request, 504, b"{}", "" if run.started else NOT_STARTED)

    def _on_cancel(self, request: http_server.Request) -> None:
        data = _decode(request.body)
        request_id = data.get("request_id") if isinstance(data, dict) else None
        run = self._by_id.get(request_id)
        if run is not None:
            self.record.cancelled += 1
            self._release(run)
            self._reply(
                run.request, 499, b"{}", "" if run.started else NOT_STARTED
            )
        self._reply_data(request, 200, {"cancelled": run is not None})

    def _release(self, run: _Run) -> None:
        self._cancel_timers(run)
        if self._by_id.get(run.request_id) is run:
            del self._by_id[run.request_id]
        if run in self._running:
            self._running.discard(run)
            self.record.busy_ms += self._clock.now_ms() - run.started_ms
        elif run in self._waiting:
            self._waiting.remove(run)
        while self._waiting and len(self._running) < self.own.slots:
            self._start_run(self._waiting.popleft())
        self._note_load()

    def _cancel_timers(self, run: _Run) -> None:
        for timer in (run.deadline, run.end):
            if timer is not None:
                timer.cancel()

    # Replies.

    def _note_load(self) -> None:
        if not self.own.load_lag_ms:
            return
        now_ms = self._clock.now_ms()
        self._loads.append((now_ms, self._load()))
        while self._loads[0][0] < now_ms - LOAD_HISTORY_MS:
            self._loads.popleft()

    def _load(self) -> float:
        work = len(self._running) + len(self._waiting)
        return round(work / self.own.slots, 3)

    def _reported_load(self) -> float:
        if self.own.reported_load >= 0:
            return self.own.reported_load
        if not self.own.load_lag_ms:
            return self._load()
        seen_ms = self._clock.now_ms() - self.own.load_lag_ms
        past = 0.0
        for at_ms, load in reversed(self._loads):
            if at_ms <= seen_ms:
                past = load
                break
        return past

    def _reply(
        self,
        request: http_server.Request,
        status: int,
        body: bytes,
        headers: str = "",
    ) -> None:
        load = self._reported_load()
        busy = len(self._running)
        if self.own.reported_load >= 0:
            busy = min(round(load * self.own.slots), self.own.slots)
        request.reply(
            status,
            body,
            f"x-state: {self.state.value}\r\nx-busy-slots: {busy}\r\n"
            f"x-load: {load}\r\n{headers}",
        )

    def _reply_data(self, request, status, data) -> None:
        self._reply(request, status, json.dumps(data).encode())


def _number(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None


def _nothing() -> None:
    """Action of a control request that names none."""


def _decode(body: bytes) -> typing.Any:
    try:
        return json.loads(body)
    except ValueError:
        return None
