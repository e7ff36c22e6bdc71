"""Announcements of one backend server to two entries.

The replies of entries list the addresses of all entries. An entry that does not
answer is replaced by another entry.
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
# Bounds of the heartbeat period, which entries set in their replies.
MIN_HEARTBEAT_MS = 50.0
MAX_HEARTBEAT_MS = 10_000.0
# Connections from a process to one entry, shared by all backend servers of the
# process.
CONNECTIONS_PER_ENTRY = 8


class Announcer:
    """Sends the current row to two entries at each heartbeat."""

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
        self._seed_entries = tuple(entries)
        self._token = token
        self._heartbeat_ms = heartbeat_ms
        self._encode_announcement = make_body
        # Servers begin at different entries, which spreads the load.
        self._start_offset = zlib.crc32(name.encode())
        self._known_entries: tuple[str, ...] = ()
        self._targets: list[str] = []
        self._timer: timers_lib.Timer | None = None
        self._pending: dict[str, exchange_lib.Exchange] = {}
        self.acknowledged_count = 0
        self._set_known_entries(self._seed_entries)

    @property
    def targets(self) -> tuple[str, ...]:
        """Addresses of the entries that receive the announcements."""
        return tuple(self._targets)

    def start(self) -> None:
        """Sends an announcement now and then at each heartbeat."""
        self.stop()
        self._send_heartbeat()

    def stop(self) -> None:
        """Stops the announcements and abandons pending ones."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for exchange in self._pending.values():
            exchange.abandon()
        self._pending.clear()

    def announce(self) -> None:
        """Announces the current row immediately."""
        for target in tuple(self._targets):
            self._send(target)

    def _send_heartbeat(self) -> None:
        self._timer = self._timers.after(
            self._heartbeat_ms, self._send_heartbeat
        )
        self.announce()

    def _set_known_entries(self, entries: abc.Sequence[str]) -> None:
        known = sorted(set(entries))
        if not known:
            return
        offset = self._start_offset % len(known)
        self._known_entries = tuple(known[offset:] + known[:offset])
        self._targets = [
            target for target in self._targets if target in self._known_entries
        ]
        for entry in self._known_entries:
            if len(self._targets) >= ENTRY_COUNT:
                break
            if entry not in self._targets:
                self._targets.append(entry)

    def _send(self, target: str) -> None:
        older_exchange = self._pending.pop(target, None)
        if older_exchange is not None:
            older_exchange.abandon()
        body = self._encode_announcement()
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
            self._replace_target(target)

        timeout = self._timers.after(TIMEOUT_MS, on_timeout)
        exchange = self._pool.send(target, payload, on_reply)
        # If the send failed at once, `on_reply` has run already and the
        # exchange is no longer pending.
        if exchange.on_reply is not None:
            self._pending[target] = exchange

    def _on_reply(self, target: str, reply: exchange_lib.Reply) -> None:
        if reply.status != 200:
            self._replace_target(target)
            return
        self.acknowledged_count += 1
        try:
            data = json.loads(reply.body)
            heartbeat_ms = float(data["heartbeat_ms"])
            entries = [str(entry) for entry in data["entries"]]
        except (ValueError, KeyError, TypeError):
            return
        self._heartbeat_ms = min(
            max(heartbeat_ms, MIN_HEARTBEAT_MS), MAX_HEARTBEAT_MS
        )
        # The entry that answered is alive even if its list does not include it.
        self._set_known_entries([*entries, target])

    def _replace_target(self, target: str) -> None:
        if self._timer is None or target not in self._targets:
            return
        unused = [
            entry
            for entry in (*self._known_entries, *self._seed_entries)
            if entry not in self._targets
        ]
        if not unused:
            self._timers.after(RETRY_MS, lambda: self._retry_target(target))
            return
        # The failed entry becomes the last candidate and is tried again only
        # after all others.
        others = [
            known_entry
            for known_entry in self._known_entries
            if known_entry != target
        ]
        self._known_entries = (*others, target)
        self._targets.remove(target)
        self._targets.append(unused[0])
        self._timers.after(RETRY_MS, lambda: self._retry_target(unused[0]))

    def _retry_target(self, target: str) -> None:
        can_retry = self._timer is not None and target not in self._pending
        if can_retry and target in self._targets:
            self._send(target)
