"""Rules for sending a request again: hedges, retries and at-most-once."""

import enum

# Sends that a server rejected or that never reached a server do not count as
# runs. This limit on them keeps a request from being retried at an overloaded
# service without end.
MAX_SENDS_NOT_RUN = 2


class Verdict(enum.Enum):
    """Result of one send."""

    SUCCESS = "success"
    # The server replied that it did not run the request.
    REJECTED = "rejected"
    # The server ran the request and replied with an error.
    FAILED = "failed"
    # No reply arrived.
    LOST = "lost"


class Outcome(enum.Enum):
    """Result of a sub-request, over all its sends."""

    SUCCESS = "success"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


class AttemptTracker:
    """Counts the sends of one sub-request and decides on further sends.

    Args:
      max_runs: Maximum number of backend servers that may run the request.
      is_repeatable: Whether the request may run more than once.
    """

    def __init__(self, max_runs: int, is_repeatable: bool):
        self._max_runs = max_runs if is_repeatable else 1
        self._is_repeatable = is_repeatable
        self._open_sends = 0
        # Ended sends that a server ran or may have run.
        self._run_count = 0
        self._not_run_count = 0

    @property
    def may_have_run(self) -> bool:
        """Whether a server ran, may have run or may still run the request."""
        return self._run_count > 0 or self._open_sends > 0

    def on_send(self) -> None:
        """Counts a send."""
        self._open_sends += 1

    def on_end(self, verdict: Verdict, reached: bool) -> None:
        """Counts the end of a send.

        Args:
          verdict: Result of the send.
          reached: False only when no byte can have reached the server.
        """
        self._open_sends -= 1
        if verdict is Verdict.REJECTED or not reached:
            self._not_run_count += 1
        else:
            self._run_count += 1

    def may_hedge(self) -> bool:
        """Whether one more send is allowed while other sends are open."""
        return self._is_repeatable and self._has_runs_left()

    def may_retry(self) -> bool:
        """Whether one more send is allowed after a send did not succeed."""
        if not self._is_repeatable and self.may_have_run:
            return False
        return self._has_runs_left()

    def _has_runs_left(self) -> bool:
        possible_runs = self._run_count + self._open_sends
        return (
            possible_runs < self._max_runs
            and self._not_run_count <= MAX_SENDS_NOT_RUN
        )
