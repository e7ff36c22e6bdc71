"""Which sends of a request are allowed: hedges, retries, at most once."""

import enum

# Sends that servers rejected or that never reached one do not count as runs.
# Without a bound a full service would be asked again and again.
MAX_NOT_RUN = 2


class Verdict(enum.Enum):
    """What the end of one send says."""

    SUCCESS = "success"
    # The server says that it did not run the request.
    REJECTED = "rejected"
    # The server ran the request and failed.
    FAILED = "failed"
    # There is no reply.
    LOST = "lost"


class Outcome(enum.Enum):
    """How the work on one service ended."""

    SUCCESS = "success"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


class Attempts:
    """Counts the sends of one request to one service.

    Args:
      max_runs: Backend servers that may run it.
      is_repeatable: Whether it may run more than once.
    """

    def __init__(self, max_runs: int, is_repeatable: bool):
        self._max_runs = max_runs if is_repeatable else 1
        self._is_repeatable = is_repeatable
        self._open = 0
        # Sends that ran or may have run.
        self._runs = 0
        self._not_run = 0

    @property
    def may_have_run(self) -> bool:
        """Whether a server ran it, may have run it or may still run it."""
        return self._runs > 0 or self._open > 0

    def on_send(self) -> None:
        """Counts a send."""
        self._open += 1

    def on_end(self, verdict: Verdict, reached: bool) -> None:
        """Counts the end of a send.

        Args:
          verdict: What the end says.
          reached: False only when no byte can have reached the server.
        """
        self._open -= 1
        if verdict is Verdict.REJECTED or not reached:
            self._not_run += 1
        else:
            self._runs += 1

    def may_hedge(self) -> bool:
        """Whether one more send may go out beside the open ones."""
        return self._is_repeatable and self._has_runs_left()

    def may_retry(self) -> bool:
        """Whether one more send may follow one that did not succeed."""
        if not self._is_repeatable and self.may_have_run:
            return False
        return self._has_runs_left()

    def _has_runs_left(self) -> bool:
        used = self._runs + self._open
        return used < self._max_runs and self._not_run <= MAX_NOT_RUN
