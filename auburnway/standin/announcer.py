"""Announcements of one backend server to two entries.

The entries are learned from replies, as section 4.3 of the design asks. An
entry that does not answer is replaced by another one.
"""

from collections import abc
import json
import zlib

from auburnway.kernel import timers as timers_lib
from auburnway.net import exchange as exchange_lib
from auburnway.net import http_client

ENTRY_COUNT = 2
TIMEOUT_MS = 500.0
RETRY_MS = 100.0
# Bounds on the period that an entry may ask for.
LEAST_HEARTBEAT_MS = 50.0
GREATEST_HEARTBEAT_MS = 10_000.0
# Connections of one process to one entry, shared by its backend servers.
CONNECTIONS_PER_ENTRY = 8


class Announcer:
    """Sends the current row to two entries each heartbeat."""

    def __init__(
        self,
        pool: http_client.HttpPool,
        timers: timers_lib.TimerQueue,
        name: str,
        entries: abc.Sequence[str],
        token: str,
        heartbeat_ms: float,
        make_body: abc.Callable[[], bytes],
    ):
        self._pool = pool
        self._timers = timers
        self._first_entries = tuple(entries)
        self._token = token
        self._heartbeat_ms = heartbeat_ms
        self._make_body = make_body
        # Servers start at different entries, so that the load is spread.
        self._start = zlib.crc32(name.encode())
        self._known: tuple[str, ...] = ()
        self._targets: list[str] = []
        self._timer: timers_lib.Timer | None = None
        self._pending: dict[str, exchange_lib.Exchange] = {}
        self.acknowledged_count = 0
        self._learn(self._first_entries)

    @property
    def targets(self) -> tuple[str, ...]:
        """Entries that are announced to now."""
        return tuple(self._targets)

    def start(self) -> None:
        """Announces now and then each heartbeat."""
        self.stop()
        self._beat()

    def stop(self) -> None:
        """Ends the announcements."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for exchange in self._pending.values():
            exchange.abandon()
        self._pending.clear()

    def announce(self) -> None:
        """Announces the present row at once."""
        for target in tuple(self._targets):
            self._send(target)

    def _beat(self) -> None:
        self._timer = self._timers.after(self._heartbeat_ms, self._beat)
        self.announce()

    def _learn(self, entries: abc.Sequence[str]) -> None:
        known = sorted(set(entries))
        if not known:
            return
        first = self._start % len(known)
        self._known = tuple(known[first:] + known[:first])
        self._targets = [t for t in self._targets if t in self._known]
        for entry in self._known:
            if len(self._targets) >= ENTRY_COUNT:
                break
            if entry not in self._targets:
                self._targets.append(entry)

    def _send(self, target: str) -> None:
        older = self._pending.pop(target, None)
        if older is not None:
            older.abandon()
        body = self._make_body()
        payload = (
            f"POST /v1/announce HTTP/1.1\r\nhost: {target}\r\n"
            f"x-fleet-token: {self._token}\r\n"
            "content-type: application/json\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        ).encode("latin-1") + body
        self._pool.set_server(target, CONNECTIONS_PER_ENTRY, 0)

        def on_reply(reply: exchange_lib.Reply) -> None:
            timeout.cancel()
            self._pending.pop(target, None)
            self._on_reply(target, reply)

        def on_timeout() -> None:
            exchange.abandon()
            if self._pending.get(target) is exchange:
                del self._pending[target]
            self._replace(target)

        timeout = self._timers.after(TIMEOUT_MS, on_timeout)
        exchange = self._pool.send(target, payload, on_reply)
        # `on_reply` may have been called already.
        if exchange.on_reply is not None:
            self._pending[target] = exchange

    def _on_reply(self, target: str, reply: exchange_lib.Reply) -> None:
        if reply.status != 200:
            self._replace(target)
            return
        self.acknowledged_count += 1
        try:
            data = json.loads(reply.body)
            heartbeat_ms = float(data["heartbeat_ms"])
            entries = [str(entry) for entry in data["entries"]]
        except (ValueError, KeyError, TypeError):
            return
        self._heartbeat_ms = min(
            max(heartbeat_ms, LEAST_HEARTBEAT_MS), GREATEST_HEARTBEAT_MS
        )
        # The entry that answered is alive even if it does not list itself.
        self._learn([*entries, target])

    def _replace(self, target: str) -> None:
        if self._timer is None or target not in self._targets:
            return
        spare = [
            entry
            for entry in (*self._known, *self._first_entries)
            if entry not in self._targets
        ]
        if not spare:
            self._timers.after(RETRY_MS, lambda: self._retry(target))
            return
        # The failed entry goes last, so that it is tried again only after
        # all the others.
        others = [e for e in self._known if e != target]
        self._known = (*others, target)
        self._targets.remove(target)
        self._targets.append(spare[0])
        self._timers.after(RETRY_MS, lambda: self._retry(spare[0]))

    def _retry(self, target: str) -> None:
        idle = self._timer is not None and target not in self._pending
        if idle and target in self._targets:
            self._send(target)
