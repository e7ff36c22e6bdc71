"""Milliseconds: the one clock type of the project.

All durations and instants are floats in milliseconds and carry the suffix
`_ms`. Decision code takes a `Clock` (or an instant), so that tests can move
time by hand.
"""

import time
import typing


class Clock(typing.Protocol):
    """Source of time in milliseconds."""

    def now_ms(self) -> float:
        """Returns a monotonic instant; it goes on while frozen."""

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""


class SystemClock:
    """Clock of the operating system."""

    def now_ms(self) -> float:
        """Returns the monotonic clock in milliseconds.

        CLOCK_BOOTTIME is used because it also counts suspended time, so a
        lease cannot look fresh on a machine that was asleep.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """Clock that moves only when told; for tests.

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
            raise ValueError("a clock moves forward only")
        self._now_ms += duration_ms
