"""Strikes that entries report, and what control tells all entries of them.

Each entry reports to all control instances, and each of these tells all entries
that a request is quarantined, so the loss of an instance loses no strike. An
entry asks one of them for a trial. Nothing of this is on disk: after a loss of
all control instances the entries still know what is quarantined.
"""

import loguru

from auburnway.core import clock as clock_lib
from auburnway.net import stream as stream_lib
from auburnway.policy import crash_containment
from auburnway.registrar import entry_news
from auburnway.registrar import messages


class CrashReports:
    """Requests that crash backend servers, at one control instance.

    Args:
      entries: The connected entries.
      clock: Source of time.
    """

    def __init__(self, entries: entry_news.EntryNews, clock: clock_lib.Clock):
        self._entries = entries
        self._clock = clock
        self._containment = crash_containment.Containment()

    @property
    def quarantined_count(self) -> int:
        """Number of requests that are quarantined."""
        return len(self._containment.quarantined())

    def on_strike(
        self, message: messages.Strike, stream: stream_lib.Stream
    ) -> None:
        """Counts a strike; tells all entries if the request is quarantined."""
        now_ms = self._clock.now_ms()
        record = self._containment.strike(message.key, message.server, now_ms)
        if record is None or not record.is_quarantined:
            return
        loguru.logger.bind(
            fingerprint=message.key.hex(),
            server=message.server,
            strikes=record.strikes,
            pause_ms=crash_containment.pause_ms(record.strikes),
            entry=str(stream.context),
        ).warning("a request that crashes backend servers is quarantined")
        self._entries.push(_quarantine(message.key, record, now_ms))

    def on_cleared(self, message: messages.Cleared) -> None:
        """Ends the quarantine of a request that a server has survived."""
        record = self._containment.clear(message.key)
        # Other entries do not know of a single strike.
        if record is not None and record.is_quarantined:
            loguru.logger.bind(fingerprint=message.key.hex()).info(
                "a quarantined request is cleared"
            )
            self._entries.push(message)

    def on_ask_trial(
        self, message: messages.AskTrial, stream: stream_lib.Stream
    ) -> None:
        """Answers whether an entry may run a quarantined request once."""
        now_ms = self._clock.now_ms()
        self._containment.merge(
            message.key, message.strikes, now_ms - message.age_ms
        )
        is_granted = self._containment.grant_trial(message.key, now_ms)
        wait_ms = 0.0
        if not is_granted:
            wait_ms = self._containment.wait_ms(message.key, now_ms)
        stream.send(
            messages.encode(messages.Trial(message.key, is_granted, wait_ms))
        )

    def send_all(self, stream: stream_lib.Stream) -> None:
        """Tells a new entry of all quarantined requests."""
        now_ms = self._clock.now_ms()
        for key, record in self._containment.quarantined():
            stream.send(messages.encode(_quarantine(key, record, now_ms)))

    def purge(self) -> None:
        """Forgets old strikes."""
        self._containment.purge(self._clock.now_ms())


def _quarantine(
    key: bytes, record: crash_containment.Record, now_ms: float
) -> messages.Quarantine:
    age_ms = now_ms - record.last_strike_ms
    return messages.Quarantine(key, record.strikes, age_ms)
