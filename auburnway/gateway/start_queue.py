"""Requests that wait for the first configuration of an entry.

How long a request may wait is decided by `policy.start_wait`.
"""

from collections import abc

from auburnway.core import clock as clock_lib
from auburnway.kernel import timers as timers_lib
from auburnway.net import client_connection
from auburnway.policy import start_wait


class StartQueue:
    """Holds requests, in the order of their arrival.

    Args:
      timers: Timer queue of the entry's loop.
      clock: Source of time.
      on_refused: Called with a request that must not wait or has waited for
        as long as it may.
    """

    def __init__(
        self,
        timers: timers_lib.TimerQueue,
        clock: clock_lib.Clock,
        on_refused: abc.Callable[[client_connection.Request], None],
    ):
        self._timers = timers
        self._clock = clock
        self._on_refused = on_refused
        self._started_ms = clock.now_ms()
        self._waiting: dict[client_connection.Request, timers_lib.Timer] = {}

    def add(self, request: client_connection.Request, left_ms: float) -> None:
        """Holds a request, or refuses it at once.

        Args:
          request: The request.
          left_ms: Time until its deadline.
        """
        now_ms = self._clock.now_ms()
        wait_ms = start_wait.wait_ms(
            now_ms - self._started_ms,
            left_ms - (now_ms - request.received_ms),
            len(self._waiting),
            sum(len(r.body) for r in self._waiting) + len(request.body),
        )
        if wait_ms <= 0:
            self._on_refused(request)
            return
        self._waiting[request] = self._timers.after(
            wait_ms, lambda: self._refuse(request)
        )
        request.on_gone = lambda: self._remove(request)

    def take_all(self) -> tuple[client_connection.Request, ...]:
        """Removes and returns all requests."""
        requests = tuple(self._waiting)
        for request in requests:
            self._remove(request)
        return requests

    def refuse_all(self) -> None:
        """Refuses all requests, as when the entry stops."""
        for request in self.take_all():
            self._on_refused(request)

    def _remove(self, request: client_connection.Request) -> None:
        self._waiting.pop(request).cancel()
        request.on_gone = None

    def _refuse(self, request: client_connection.Request) -> None:
        self._remove(request)
        self._on_refused(request)
