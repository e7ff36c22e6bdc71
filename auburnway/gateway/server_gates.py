"""When this entry may send a request to each backend server."""

import random

import loguru

from auburnway.core import server_table
from auburnway.gateway import feed as feed_lib
from auburnway.gateway import server_report
from auburnway.policy import server_limit
from auburnway.policy import server_pause

# A limit that has changed by less than this share is not logged again.
LOGGED_CHANGE_SHARE = 0.2
# Time for which the last server of a service gets requests after its first
# reply that says that it leaves.
LAST_USE_MS = 2_000.0
# Rank of the most urgent requests.
URGENT_RANK = 0

# Identifier and start of a server: what one start says ends with it.
_Key = tuple[str, int]


class _Gate:
    """What one start of a server has said."""

    def __init__(self):
        self.limit_per_s: float | None = None
        self.logged_limit_per_s: float | None = None
        self.bucket: server_limit.Bucket | None = None
        # Share of the limit, and what it was computed from.
        self.share = server_limit.NO_SHARE
        self.share_inputs: tuple = ()
        self.leaving_since_ms: float | None = None
        self.pause: server_pause.Pause | None = None


class ServerGates:
    """Keeps what servers ask for, and the sends that it still allows.

    Args:
      own_address: Address of this entry in the list of entries.
      feed: Source of the table of servers and of the active entries.
      now_ms: Returns the current time.
    """

    def __init__(self, own_address: str, feed: feed_lib.Feed, now_ms):
        self._own_address = own_address
        self._feed = feed
        self._now_ms = now_ms
        self._rng = random.Random(own_address)
        # Only of servers that have asked for something.
        self._gates: dict[_Key, _Gate] = {}
        # Starts of servers whose unusable headers were logged.
        self._logged_invalid: set[_Key] = set()

    @property
    def limited_count(self) -> int:
        """Number of servers that state a rate limit."""
        return sum(g.limit_per_s is not None for g in self._gates.values())

    @property
    def paused_count(self) -> int:
        """Number of servers that want no request now."""
        now_ms = self._now_ms()
        return sum(_is_paused(gate, now_ms) for gate in self._gates.values())

    def wait_ms(
        self, row: server_table.Row, rank: int, outstanding: int
    ) -> float:
        """Returns the time until a server may be sent a request, in ms.

        Args:
          row: Row of the server.
          rank: Rank of the request.
          outstanding: Requests of this entry that it has not answered.
        """
        gate = self._gates.get(_key(row))
        if gate is None:
            return 0.0
        now_ms = self._now_ms()
        wait_ms = 0.0
        if gate.pause is not None:
            wait_ms = gate.pause.wait_ms(outstanding, now_ms)
        if gate.bucket is not None:
            gate.bucket.set_share(self._share(row, gate), now_ms)
            is_urgent = rank == URGENT_RANK
            wait_ms = max(wait_ms, gate.bucket.wait_ms(now_ms, is_urgent))
        return wait_ms

    def wait_reason(self, row: server_table.Row) -> str:
        """Returns why a server may not be sent a request now."""
        gate = self._gates.get(_key(row))
        if gate is not None and _is_paused(gate, self._now_ms()):
            return "paused"
        return "rate_limited"

    def on_success(self, row: server_table.Row) -> None:
        """Records a request that a server has answered."""
        gate = self._gates.get(_key(row))
        if gate is not None and gate.pause is not None:
            gate.pause.on_success(row.slots, self._now_ms())

    def on_send(self, row: server_table.Row) -> None:
        """Counts a request that is sent now."""
        gate = self._gates.get(_key(row))
        if gate is not None and gate.bucket is not None:
            gate.bucket.take(self._now_ms())

    def on_report(
        self, row: server_table.Row, report: server_report.ServerReport
    ) -> None:
        """Records what a reply of a server states."""
        if report.invalid and _key(row) not in self._logged_invalid:
            self._logged_invalid.add(_key(row))
            loguru.logger.bind(
                server=row.server_id, headers=report.invalid
            ).warning("ignored headers of a backend server")
        gate = self._gates.get(_key(row))
        if gate is None:
            if (
                report.limit_per_s is None
                and not report.is_leaving
                and not report.pause_ms
            ):
                return
            gate = self._gates[_key(row)] = _Gate()
        # A server whose limit cannot be read is still in need.
        if not report.is_limit_unreadable:
            self._set_limit(row, gate, report.limit_per_s)
        if report.is_leaving and gate.leaving_since_ms is None:
            gate.leaving_since_ms = self._now_ms()
        if report.pause_ms:
            self._start_pause(row, gate, report.pause_ms)

    def _start_pause(
        self, row: server_table.Row, gate: _Gate, pause_ms: float
    ) -> None:
        now_ms = self._now_ms()
        if gate.pause is None:
            gate.pause = server_pause.Pause()
        if not gate.pause.is_active(now_ms):
            loguru.logger.bind(
                server=row.server_id,
                pause_ms=round(pause_ms),
                is_cut=pause_ms > server_pause.MAX_PAUSE_MS,
            ).info("backend server asks for a pause")
        gate.pause.start(pause_ms, now_ms, self._rng)

    def leaving_rows(self, service: str) -> tuple[server_table.Row, ...]:
        """Returns the servers that said a moment ago that they leave."""
        since_ms = self._now_ms() - LAST_USE_MS
        rows = (
            self._feed.table.get(server_id)
            for (server_id, _), gate in self._gates.items()
            if gate.leaving_since_ms is not None
            and gate.leaving_since_ms > since_ms
        )
        return tuple(
            row
            for row in rows
            if row is not None
            and row.service == service
            and row.state is server_table.State.DRAINING
        )

    def _set_limit(
        self, row: server_table.Row, gate: _Gate, limit_per_s: float | None
    ) -> None:
        if limit_per_s == gate.limit_per_s:
            return
        gate.limit_per_s = limit_per_s
        if limit_per_s is None:
            gate.bucket = gate.logged_limit_per_s = None
            loguru.logger.bind(server=row.server_id).info(
                "backend server states no rate limit any more"
            )
            return
        share = self._share(row, gate)
        if gate.bucket is None:
            gate.bucket = server_limit.Bucket(share, self._now_ms())
        else:
            gate.bucket.set_share(share, self._now_ms())
        logged = gate.logged_limit_per_s
        if (
            logged is None
            or abs(limit_per_s - logged) > LOGGED_CHANGE_SHARE * logged
        ):
            gate.logged_limit_per_s = limit_per_s
            loguru.logger.bind(
                server=row.server_id,
                limit_per_s=limit_per_s,
                own_per_s=round(share.rate_per_s, 2),
                burst=round(share.burst, 2),
                entries=len(self._feed.entries.active_addresses),
            ).info("backend server states a rate limit")

    def _share(self, row: server_table.Row, gate: _Gate) -> server_limit.Share:
        entries = self._feed.entries.active_addresses
        inputs = (gate.limit_per_s, entries)
        if inputs != gate.share_inputs:
            gate.share_inputs = inputs
            gate.share = server_limit.share(
                gate.limit_per_s, entries, self._own_address, row.server_id
            )
        return gate.share

    def remove_stale(self) -> None:
        """Removes what was said by servers that left or started again."""
        for key in (*self._gates, *self._logged_invalid):
            row = self._feed.table.get(key[0])
            if row is None or _key(row) != key:
                self._gates.pop(key, None)
                self._logged_invalid.discard(key)


def _is_paused(gate: _Gate, now_ms: float) -> bool:
    return gate.pause is not None and gate.pause.is_active(now_ms)


def _key(row: server_table.Row) -> _Key:
    return (row.server_id, row.started_ms)
