"""Admission of requests by a process that is stopping.

A client may use a stopping process until its list of addresses is replaced. A
request is taken only if its deadline is before the end of the process, because
a request that is cut has an unknown outcome and may not be sent again if it is
not repeatable. A refused request has not run, and another process can take it.
"""

import dataclasses

# Share of the grace time after which the process ends. The rest is needed to
# answer the requests that are still open and to exit.
END_SHARE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """A planned stop.

    Attributes:
      started_ms: Time at which the stop began.
      min_ms: Time from then in which clients may still know the address of
        the process; it does not end earlier.
      grace_ms: Time from the start of the stop after which the process is
        killed.
    """

    started_ms: float
    min_ms: float
    grace_ms: float

    @property
    def end_ms(self) -> float:
        """Time at which the process ends even if requests are open."""
        return self.started_ms + END_SHARE * self.grace_ms

    def accepts(self, deadline_ms: float) -> bool:
        """Whether a request is taken.

        Args:
          deadline_ms: Time by which the request is answered at the latest.
        """
        return deadline_ms <= self.end_ms

    def is_over(self, now_ms: float, open_count: int) -> bool:
        """Whether the process ends now.

        Args:
          now_ms: Current time.
          open_count: Number of requests without an answer.
        """
        is_drained = now_ms > self.started_ms + self.min_ms and not open_count
        return is_drained or now_ms > self.end_ms
