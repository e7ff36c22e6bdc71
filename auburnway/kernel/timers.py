"""One timer queue on the circuits loop.

A circuits `Timer` is a component with its own handler, which costs an event
dispatch per loop turn and timer. A query sets dozens of timers, so all of
them share one heap that is looked at once a turn.
"""

from collections import abc
import heapq
import itertools

import circuits
from circuits import core

from auburnway.core import clock as clock_lib


class Timer:
    """Handle of one scheduled call; `cancel` makes it a no-op.

    Attributes:
      due_ms: Monotonic instant at which it is called.
      call: What is called; None once it was cancelled.
    """

    __slots__ = ("due_ms", "call")

    def __init__(self, due_ms: float, call: abc.Callable[[], None] | None):
        self.due_ms = due_ms
        self.call = call

    def cancel(self) -> None:
        """Drops the call; the heap slot is freed when it comes due."""
        self.call = None


class TimerQueue(circuits.BaseComponent):
    """Runs calls at given instants on the loop that it is registered on."""

    channel = "timers"

    def __init__(self, clock: clock_lib.Clock):
        super().__init__()
        self._clock = clock
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()

    def after(self, delay_ms: float, call: abc.Callable[[], None]) -> Timer:
        """Schedules a call.

        Args:
          delay_ms: Milliseconds from now.
          call: Function without arguments, run on the loop.

        Returns:
          The handle with which the call can be cancelled.
        """
        timer = Timer(self._clock.now_ms() + delay_ms, call)
        entry = (timer.due_ms, next(self._sequence), timer)
        heapq.heappush(self._heap, entry)
        return timer

    def every(self, period_ms: float, call: abc.Callable[[], None]) -> Timer:
        """Schedules a call each period until the handle is cancelled."""
        handle = Timer(0.0, call)

        def run():
            if handle.call is not None:
                handle.call()
                self.after(period_ms, run)

        self.after(period_ms, run)
        return handle

    def run_due(self) -> None:
        """Runs the calls whose instant has come."""
        now_ms = self._clock.now_ms()
        while self._heap and self._heap[0][0] <= now_ms:
            _, _, timer = heapq.heappop(self._heap)
            if timer.call is not None:
                timer.call()

    @core.handler("generate_events", channel="*", priority=100)
    def _on_generate_events(self, event):
        self.run_due()
        # Cancelled timers at the head need no wake-up.
        while self._heap and self._heap[0][2].call is None:
            heapq.heappop(self._heap)
        if self._heap:
            wait_ms = self._heap[0][0] - self._clock.now_ms()
            event.reduce_time_left(max(wait_ms, 0.0) / 1000.0)
