"""One budget for all extra load: hedges and retries.

Each sub-request earns a small part of a token and each extra send spends a
whole one, so extra load is a bounded share of the load itself. While admission
queues nothing is earned: spare capacity is then worth more to waiting work.
"""

# Tokens that hedges leave for retries.
RETRY_RESERVE = 8.0


class Budget:
    """Token bucket that is filled by sub-requests."""

    def __init__(
        self,
        share: float = 0.05,
        burst: float = 20.0,
        reserve: float = RETRY_RESERVE,
        tokens: float = 0.0,
        refill_per_s: float = 0.0,
    ):
        """Creates a bucket, empty unless told otherwise.

        An empty one keeps extra sends within the share from the start.

        Args:
          share: Tokens earned by a sub-request; extra load per load.
          burst: Greatest number of tokens kept. Tokens earned in calm would
            otherwise be spent together in a flood.
          reserve: Tokens that hedges leave for retries.
          tokens: Tokens at the start.
          refill_per_s: Tokens that come by time alone.
        """
        self._share = share
        self._burst = burst
        self._reserve = reserve
        self._tokens = tokens
        self._refill_per_s = refill_per_s
        self._refilled_ms: float | None = None
        self._is_overloaded = False

    def on_sub_request(self) -> None:
        """Earns for one first send of a sub-request."""
        if self._is_overloaded:
            return
        tokens = self._tokens + self._share
        self._tokens = tokens if tokens < self._burst else self._burst

    def try_spend(self, now_ms: float) -> bool:
        """Takes one token.

        Args:
          now_ms: Present instant, in ms.

        Returns:
          True when the extra send is allowed.
        """
        self._refill(now_ms)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def try_spend_hedge(self, now_ms: float) -> bool:
        """Takes one token for a hedge, but leaves a reserve for retries.

        A hedge only makes an answer faster, while a retry after an error
        makes it whole. Hedges that emptied the bucket left one failing server
        to cost 15 to 20% partial answers.

        Args:
          now_ms: Present instant, in ms.

        Returns:
          True when the hedge is allowed.
        """
        self._refill(now_ms)
        if self._tokens < self._reserve + 1.0 - 1e-9:
            return False
        return self.try_spend(now_ms)

    def _refill(self, now_ms: float) -> None:
        if self._refilled_ms is not None:
            passed_s = (now_ms - self._refilled_ms) / 1000.0
            tokens = self._tokens + self._refill_per_s * passed_s
            self._tokens = min(tokens, self._burst)
        self._refilled_ms = now_ms

    def fill(self, now_ms: float) -> float:
        """Returns the tokens that are left, as a share of the greatest."""
        self._refill(now_ms)
        return self._tokens / self._burst

    def set_burst(self, burst: float, refill_per_s: float) -> None:
        """Changes the greatest number of tokens kept and the refill."""
        self._burst = burst
        self._refill_per_s = refill_per_s
        self._tokens = min(self._tokens, burst)

    def set_overloaded(self, is_overloaded: bool) -> None:
        """Stops or resumes earning; true while admission queues."""
        self._is_overloaded = is_overloaded
