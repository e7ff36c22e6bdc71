"""Token budget that bounds the extra load of hedges and retries.

Each sub-request adds a fraction of a token and each extra send spends a whole
token, so the extra load is at most a fixed share of the load. No tokens are
added while queries wait for admission, because the spare capacity is then
better used for the waiting queries.
"""

# Tokens that hedges leave for retries.
RETRY_RESERVE = 8.0
# Tokens that retries after the latency objective leave for retries before it.
LATE_RETRY_RESERVE = 1.0


class Budget:
    """Token bucket that sub-requests fill."""

    def __init__(
        self,
        share: float = 0.05,
        burst: float = 20.0,
        reserve: float = RETRY_RESERVE,
        tokens: float = 0.0,
        refill_per_s: float = 0.0,
    ):
        """Creates a bucket, which is empty by default.

        An empty bucket keeps extra sends within the share from the start.

        Args:
          share: Tokens that a sub-request adds: extra sends per sub-request.
          burst: Maximum number of tokens. Without it, the tokens of a quiet
            period would be spent together in an overload.
          reserve: Tokens that hedges leave for retries.
          tokens: Initial number of tokens.
          refill_per_s: Tokens that are added per second at any load.
        """
        self._tokens_per_sub_request = share
        self._max_tokens = burst
        self._reserve = reserve
        self._tokens = tokens
        self._refill_per_s = refill_per_s
        self._refilled_ms: float | None = None
        self._is_overloaded = False

    def on_sub_request(self) -> None:
        """Adds the share of a token for the first send of a sub-request."""
        if self._is_overloaded:
            return
        tokens = self._tokens + self._tokens_per_sub_request
        self._tokens = tokens if tokens < self._max_tokens else self._max_tokens

    def try_spend(self, now_ms: float) -> bool:
        """Spends one token for an extra send.

        Args:
          now_ms: Current time.

        Returns:
          Whether the extra send is allowed.
        """
        self._refill(now_ms)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def try_spend_late(self, now_ms: float) -> bool:
        """Spends one token for a retry after the latency objective.

        It leaves a token for a request that can still meet its objective.

        Args:
          now_ms: Current time.

        Returns:
          Whether the retry is allowed.
        """
        return self._try_spend_above(LATE_RETRY_RESERVE, now_ms)

    def try_spend_hedge(self, now_ms: float) -> bool:
        """Spends one token for a hedge, but leaves the reserve for retries.

        A hedge only makes an answer faster, while a retry after an error
        makes the answer complete. Without the reserve, hedges emptied the
        bucket, and one failing server caused 15 to 20% partial answers.

        Args:
          now_ms: Current time.

        Returns:
          Whether the hedge is allowed.
        """
        return self._try_spend_above(self._reserve, now_ms)

    def _try_spend_above(self, reserve: float, now_ms: float) -> bool:
        self._refill(now_ms)
        # A small bucket can never hold the whole reserve and a token more.
        reserve = min(reserve, self._max_tokens - 1.0)
        if self._tokens < reserve + 1.0 - 1e-9:
            return False
        return self.try_spend(now_ms)

    def _refill(self, now_ms: float) -> None:
        if self._refilled_ms is not None:
            elapsed_s = (now_ms - self._refilled_ms) / 1000.0
            tokens = self._tokens + self._refill_per_s * elapsed_s
            self._tokens = min(tokens, self._max_tokens)
        self._refilled_ms = now_ms

    def remaining_share(self, now_ms: float) -> float:
        """Returns the remaining tokens as a share of the maximum, 0 to 1."""
        self._refill(now_ms)
        return self._tokens / self._max_tokens

    def set_burst(
        self, burst: float, refill_per_s: float, reserve: float = 0.0
    ) -> None:
        """Sets the maximum number of tokens, the refill and the reserve.

        Args:
          burst: Maximum number of tokens.
          refill_per_s: Tokens that are added per second at any load.
          reserve: Tokens that hedges leave for retries.
        """
        self._max_tokens = burst
        self._reserve = reserve
        self._refill_per_s = refill_per_s
        self._tokens = min(self._tokens, burst)

    def set_overloaded(self, is_overloaded: bool) -> None:
        """Pauses or resumes the adding of tokens by sub-requests.

        Args:
          is_overloaded: Whether queries wait for admission.
        """
        self._is_overloaded = is_overloaded
