"""Pause that a backend server asks of one entry, and the return after it.

A server that refuses a request may say for how long it wants nothing more from
this entry. Nothing is sent until then. The entries return at different moments,
and each with one request at a time first; each answer doubles the number, so a
server that is still in need gets few requests.
"""

import random

# Longest pause; a server that asks for more is asked again after it.
MAX_PAUSE_MS = 600_000.0
# Random part that is added to a pause.
JITTER_SHARE = 0.1
MIN_JITTER_MS = 250.0
# Time after which a request that must wait for an answer is tried again.
RECHECK_MS = 20.0


class Pause:
    """Pause of one server at this entry."""

    def __init__(self):
        self._until_ms = float("-inf")
        # Most requests outstanding at once after a pause; None for any number.
        self._window: int | None = None

    def start(
        self, duration_ms: float, now_ms: float, rng: random.Random
    ) -> None:
        """Starts or prolongs the pause.

        Args:
          duration_ms: Time for which the server wants no request.
          now_ms: Current time.
          rng: Random number generator for the moment of the return.
        """
        duration_ms = min(duration_ms, MAX_PAUSE_MS)
        jitter_ms = max(JITTER_SHARE * duration_ms, MIN_JITTER_MS)
        until_ms = now_ms + duration_ms + jitter_ms * rng.random()
        self._until_ms = max(self._until_ms, until_ms)
        self._window = 1

    def is_active(self, now_ms: float) -> bool:
        """Whether the server wants no request now."""
        return now_ms < self._until_ms

    def wait_ms(self, outstanding: int, now_ms: float) -> float:
        """Returns the time until a request may be sent, in ms.

        Args:
          outstanding: Requests of this entry that the server has not answered.
          now_ms: Current time.
        """
        if now_ms < self._until_ms:
            return self._until_ms - now_ms
        if self._window is not None and outstanding >= self._window:
            return RECHECK_MS
        return 0.0

    def on_success(self, slots: int, now_ms: float) -> None:
        """Allows more requests at once after an answer.

        Args:
          slots: Requests that the server runs concurrently.
          now_ms: Current time.
        """
        if self._window is not None and now_ms >= self._until_ms:
            self._window *= 2
            if self._window > slots:
                self._window = None
