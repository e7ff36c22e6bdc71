"""Timer queue on the circuits loop.

A circuits `Timer` is a component with a handler of its own, which costs one
event dispatch per timer in each turn of the loop. A query sets dozens of
timers, so all timers share one heap that is checked once per turn.
"""

from collections import abc
import heapq
import itertools

import circuits
from circuits import core

from auburnway.core import clock as clock_lib


class Timer:
    """Handle of one scheduled function.

    Attributes:
      due_ms: Monotonic instant at which the function is called.
      call: The scheduled function; None after `cancel`.
    """

    __slots__ = ("due_ms", "call")

    def __init__(self, due_ms: float, call: abc.Callable[[], None] | None):
        self.due_ms = due_ms
        self.call = call

    def cancel(self) -> None:
        """Cancels the call; its heap entry is removed later."""
        self.call = None


class TimerQueue(circuits.BaseComponent):
    """Calls functions at given instants, on the loop of its component tree."""

    channel = "timers"

    def __init__(self, clock: clock_lib.Clock):
        super().__init__()
        self._clock = clock
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()

    def after(self, delay_ms: float, call: abc.Callable[[], None]) -> Timer:
        """Schedules one call of a function.

        Args:
          delay_ms: Delay from now, in milliseconds.
          call: Function without arguments, called on the loop.

        Returns:
          The handle with which the call can be cancelled.
        """
        timer = Timer(self._clock.now_ms() + delay_ms, call)
        heap_entry = (timer.due_ms, next(self._sequence), timer)
        heapq.heappush(self._heap, heap_entry)
        return timer

    def every(self, period_ms: float, call: abc.Callable[[], None]) -> Timer:
        """Schedules a call per period until the handle is cancelled."""
        handle = Timer(0.0, call)

        def run_and_reschedule():
            if handle.call is not None:
                handle.call()
                self.after(period_ms, run_and_reschedule)

        self.after(period_ms, run_and_reschedule)
        return handle

    def run_due(self) -> None:
        """Calls all functions that are due."""
        now_ms = self._clock.now_ms()
        while self._heap and self._heap[0][0] <= now_ms:
            _, _, timer = heapq.heappop(self._heap)
            if timer.call is not None:
                timer.call()

    @core.handler("generate_events", channel="*", priority=100)
    def _on_generate_events(self, event):
        self.run_due()
        # The loop need not wake up for cancelled timers at the head.
        while self._heap and self._heap[0][2].call is None:
            heapq.heappop(self._heap)
        if self._heap:
            wait_ms = self._heap[0][0] - self._clock.now_ms()
            event.reduce_time_left(max(wait_ms, 0.0) / 1000.0)
