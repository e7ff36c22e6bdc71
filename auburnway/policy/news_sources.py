"""Choice of the control instances that send an entry news of backend servers.

Each control instance knows all backend servers, because the control instances
tell each other. If every one of them sent each change to every entry, the bytes
would grow with the product of their numbers, and most of them would cross data
centres. An entry therefore takes the news from one source, in its own data
centre if possible, and watches a second one: that sends only a digest of its
table, from which the entry finds out what its source has failed to send. The
entry keeps streams to all control instances, so that another source can take
over as soon as one is lost; the new source sends what the entry lacks.
"""

from collections import abc
import dataclasses
import hashlib

# Time for which the digest of the watched instance may differ from the entry's
# own: news of the same change take different ways.
DIFFERENCE_MS = 500.0
# Longest time until the table is asked for again while it differs.
MAX_PAUSE_MS = 8_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """Control instances, by address; None if there is none.

    Attributes:
      news: Instance that sends all news.
      watched: Instance that sends digests of its table.
    """

    news: str | None = None
    watched: str | None = None


def choose(
    connected: abc.Mapping[str, str | None],
    current: Sources,
    entry_name: str,
    data_center: str,
) -> Sources:
    """Returns the control instances to take news from and to watch.

    Args:
      connected: Data centre of each control instance with an established
        stream, by address; None while it is not known.
      current: Present sources; they are kept if none is nearer.
      entry_name: Name of the entry, which spreads the entries evenly over the
        control instances.
      data_center: Data centre of the entry.
    """

    def best(addresses: abc.Iterable[str], kept: str | None) -> str | None:
        return min(
            addresses,
            key=lambda address: (
                connected[address] != data_center,
                address != kept,
                _spread(entry_name, address),
            ),
            default=None,
        )

    known = {a for a, location in connected.items() if location is not None}
    news = best(known, current.news)
    return Sources(news, best(known - {news}, current.watched))


def _spread(entry_name: str, address: str) -> bytes:
    text = f"{entry_name} {address}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


class DigestWatch:
    """Decides when an entry asks the watched instance for its whole table.

    The pause between two requests doubles, because tables that stay different
    are no loss of news: one of them may have forgotten an old end.
    """

    def __init__(self):
        self._digest: str | None = None
        self._differs_since_ms: float | None = None
        self._pause_ms = DIFFERENCE_MS

    def reset(self) -> None:
        """Forgets the digest, as another instance is watched from now on."""
        self.__init__()

    def on_digest(self, digest: str) -> None:
        """Records the digest that the watched instance sent."""
        self._digest = digest

    def should_ask(self, own_digest: str, now_ms: float) -> bool:
        """Whether to ask for the table now.

        Args:
          own_digest: Digest of the entry's table.
          now_ms: Current time.
        """
        if self._digest is None or self._digest == own_digest:
            self._differs_since_ms = None
            self._pause_ms = DIFFERENCE_MS
            return False
        if self._differs_since_ms is None:
            self._differs_since_ms = now_ms
        if now_ms - self._differs_since_ms < self._pause_ms:
            return False
        self._differs_since_ms = now_ms
        self._pause_ms = min(2 * self._pause_ms, MAX_PAUSE_MS)
        return True
