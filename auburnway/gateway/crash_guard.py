"""Keeps this entry from running requests that crash backend servers.

A lost connection alone is no crash: servers drop idle connections, cut replies
and reset what is too much. Therefore the entry connects to the server once
more, and only a server that accepts no connection counts as crashed.
"""

from collections import abc

import loguru

from auburnway.core import clock as clock_lib
from auburnway.core import server_table
from auburnway.gateway import feed as feed_lib
from auburnway.kernel import timers as timers_lib
from auburnway.policy import crash_containment
from auburnway.registrar import messages

# Time from the loss of a connection to the new one. A process that ends closes
# its connections and its listening socket one after the other.
CHECK_DELAY_MS = 20.0
# Time to wait for the answer of a control instance.
TRIAL_TIMEOUT_MS = 300.0

# Called with whether a trial is granted, and else with the time to wait.
OnTrial = abc.Callable[[bool, float], None]
# Finds out whether an address accepts connections; None if it was not tried.
CheckAddress = abc.Callable[[str, abc.Callable[[bool | None], None]], None]


class CrashGuard:
    """Strikes against the requests of this entry, and their trials.

    Args:
      feed: Connection to the control instances.
      check_address: Connects to an address.
      timers: Timer queue of the loop.
      clock: Source of time.

    Attributes:
      strike_count: Number of strikes that this entry has seen.
    """

    def __init__(
        self,
        feed: feed_lib.Feed,
        check_address: CheckAddress,
        timers: timers_lib.TimerQueue,
        clock: clock_lib.Clock,
    ):
        self.strike_count = 0
        self._feed = feed
        self._containment = feed.containment
        self._check_address = check_address
        self._timers = timers
        self._clock = clock
        # Servers that are being checked, with the requests that they ran.
        self._suspects: dict[str, set[bytes]] = {}
        self._trials: dict[bytes, OnTrial] = {}
        feed.on_trial = self._on_trial

    @property
    def is_idle(self) -> bool:
        """Whether no request has strikes, so that none needs a fingerprint."""
        return not self._containment and not self._suspects

    @property
    def quarantined_count(self) -> int:
        """Number of requests that are quarantined."""
        return len(self._containment.quarantined())

    def state(self, key: bytes) -> crash_containment.State:
        """Returns what may be done with a request now."""
        return self._containment.state(key, self._clock.now_ms())

    def wait_ms(self, key: bytes) -> float:
        """Returns the time until a quarantined request may run."""
        return self._containment.wait_ms(key, self._clock.now_ms())

    # Evidence.

    def on_lost(self, key: bytes, row: server_table.Row) -> None:
        """Records that a connection was lost while a server ran a request."""
        server = f"{row.server_id}/{row.started_ms}"
        if server in self._suspects:
            self._suspects[server].add(key)
            return
        self._suspects[server] = {key}
        self._timers.after(
            CHECK_DELAY_MS,
            lambda: self._check_address(
                row.address, lambda is_alive: self._on_checked(server, is_alive)
            ),
        )

    def _on_checked(self, server: str, is_alive: bool | None) -> None:
        keys = self._suspects.pop(server, set())
        if is_alive is not False:
            return
        for key in keys:
            self._strike(key, server)

    def _strike(self, key: bytes, server: str) -> None:
        record = self._containment.strike(key, server, self._clock.now_ms())
        if record is None:
            return
        self.strike_count += 1
        loguru.logger.bind(
            fingerprint=key.hex(), server=server, strikes=record.strikes
        ).warning("a backend server is gone that ran a request")
        self._feed.send_to_all(messages.Strike(key, server))

    def on_answered(self, key: bytes) -> None:
        """Records that a server has run a request and is still there."""
        for keys in self._suspects.values():
            keys.discard(key)
        if self._containment.clear(key) is not None:
            self._feed.send_to_all(messages.Cleared(key))

    # Trials.

    def ask_trial(self, key: bytes, on_trial: OnTrial) -> None:
        """Asks control whether a request may run once.

        Args:
          key: Fingerprint of the request.
          on_trial: Called once, perhaps at once.
        """
        record = self._containment.get(key)
        if record is None:
            on_trial(True, 0.0)
            return
        age_ms = self._clock.now_ms() - record.last_strike_ms
        question = messages.AskTrial(key, record.strikes, age_ms)
        if key in self._trials or not self._feed.ask_trial(question):
            on_trial(False, TRIAL_TIMEOUT_MS)
            return
        self._trials[key] = on_trial
        self._timers.after(
            TRIAL_TIMEOUT_MS, lambda: self._end_question(key, on_trial)
        )

    def _end_question(self, key: bytes, on_trial: OnTrial) -> None:
        if self._trials.get(key) is on_trial:
            del self._trials[key]
            on_trial(False, TRIAL_TIMEOUT_MS)

    def _on_trial(self, answer: messages.Trial) -> None:
        on_trial = self._trials.pop(answer.key, None)
        if on_trial is not None:
            on_trial(answer.is_granted, answer.wait_ms)
