"""Which entries a control instance sends news of backend servers to.

An entry subscribes to one control instance; the others hear of each change
from the instance that heard of it first, and tell their own subscribers. While
that instance cannot reach another one, it tells all connected entries, because
the subscribers of the other would miss the change.
"""

import collections
from collections import abc

# An instance that starts asks this many entries for their rows, as it may have
# lost its disk or may have been down for long.
ASKED_ENTRIES = 3
# Changes of this time are repeated to all entries when another instance is
# lost: it may have been cut off for that long before its loss was noticed.
REPEAT_MS = 3_000.0


class Subscribers:
    """Subscriptions by stream; any hashable key may stand for a stream."""

    def __init__(self):
        self._unsubscribed: set[abc.Hashable] = set()
        self._watchers: set[abc.Hashable] = set()
        self._asked_count = 0
        self._recent: collections.deque[tuple[float, tuple[str, ...]]] = (
            collections.deque()
        )

    def put(self, stream: abc.Hashable, is_wanted: bool) -> None:
        """Records whether an entry wants news; a new stream wants them."""
        if is_wanted:
            self._unsubscribed.discard(stream)
        else:
            self._unsubscribed.add(stream)

    def drop(self, stream: abc.Hashable) -> None:
        """Removes a lost stream."""
        self._unsubscribed.discard(stream)
        self._watchers.discard(stream)

    def watch(self, stream: abc.Hashable, is_wanted: bool) -> None:
        """Records whether an entry wants digests of the table."""
        if is_wanted:
            self._watchers.add(stream)
        else:
            self._watchers.discard(stream)

    def watchers(self) -> tuple[abc.Hashable, ...]:
        """Returns the streams of the entries that want digests."""
        return tuple(self._watchers)

    def wants(self, stream: abc.Hashable) -> bool:
        """Whether the entry behind a stream is subscribed."""
        return stream not in self._unsubscribed

    def recipients(
        self, streams: abc.Iterable[abc.Hashable], reaches_all: bool
    ) -> tuple[abc.Hashable, ...]:
        """Returns the streams that a change is sent on.

        Args:
          streams: Streams of all connected entries.
          reaches_all: Whether all other instances hear of the change, from
            this instance or from the one that heard of it first.
        """
        if not reaches_all:
            return tuple(streams)
        return tuple(filter(self.wants, streams))

    def should_ask_rows(self) -> bool:
        """Whether a newly connected entry is asked for its rows."""
        self._asked_count += 1
        return self._asked_count <= ASKED_ENTRIES

    def on_change(self, server_ids: tuple[str, ...], now_ms: float) -> None:
        """Remembers changed servers for `recent`."""
        self._recent.append((now_ms, server_ids))
        self._forget(now_ms)

    def recent(self, now_ms: float) -> tuple[str, ...]:
        """Returns the servers that changed in the last `REPEAT_MS`."""
        self._forget(now_ms)
        ids = (i for _, server_ids in self._recent for i in server_ids)
        return tuple(dict.fromkeys(ids))

    def _forget(self, now_ms: float) -> None:
        while self._recent and now_ms - self._recent[0][0] > REPEAT_MS:
            self._recent.popleft()
