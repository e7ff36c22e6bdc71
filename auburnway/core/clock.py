"""Clocks that measure time in milliseconds.

All durations and instants in the code are in milliseconds and carry the suffix
`_ms`. Code that depends on time receives a `Clock` (or an instant) as an
argument, so that tests can use a `ManualClock`.
"""

import time
import typing


class Clock(typing.Protocol):
    """Source of time in milliseconds."""

    def now_ms(self) -> float:
        """Returns a monotonic instant that also counts suspended time."""

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""


class SystemClock:
    """Clock of the operating system."""

    def now_ms(self) -> float:
        """Returns the monotonic clock in milliseconds.

        CLOCK_BOOTTIME is used because it also counts suspended time.
        Otherwise an expired lease would look valid on a machine that resumes
        from suspension.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """Clock for tests that moves only when `advance` is called.

    Args:
      start_ms: First monotonic instant.
      wall_start_ms: First wall-clock instant, ms since the Unix epoch.
    """

    def __init__(self, start_ms: float = 0.0, wall_start_ms: int = 0):
        self._now_ms = start_ms
        self._wall_offset_ms = wall_start_ms - start_ms

    def now_ms(self) -> float:
        """Returns the current manual instant in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Returns the manual instant shifted to the wall-clock start."""
        return int(self._now_ms + self._wall_offset_ms)

    def advance(self, duration_ms: float) -> None:
        """Moves the clock forward.

        Args:
          duration_ms: Step in milliseconds; not negative.

        Raises:
          ValueError: The step is negative.
        """
        if duration_ms < 0:
            raise ValueError("duration_ms must not be negative")
        self._now_ms += duration_ms
