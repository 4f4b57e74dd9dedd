"""Client-side rate limits: token buckets that delay requests which the store would otherwise refuse."""

from datetime import datetime

from roseweir.clock import monotonic_now, seconds, sleep

# A refusal multiplies the rate by this factor.
RATE_DECREASE_FACTOR = 0.8
# Lower bound of the rate, as a share of the configured rate.
MIN_RATE_SHARE = 0.1
# Share of the configured rate by which the rate increases in each second.
RATE_RECOVERY_PER_S = 0.01
# Further refusals within this time after a decrease do not decrease the rate again.
RATE_DECREASE_INTERVAL = seconds(1)
# A shortage of at most this many tokens is a rounding error, and does not make a caller wait again.
TOKEN_TOLERANCE = 1e-6
# Added to each wait for tokens, so that the tokens are available when it ends.
EXTRA_WAIT_S = 0.001


class RateLimiter:
    """A token bucket that makes callers wait for tokens."""

    def __init__(self, per_second: float, burst_s: float = 1.0) -> None:
        """Start with a full bucket.

        Args:
            per_second: Tokens added in each second.
            burst_s: The bucket's capacity, as the time in seconds in which that many tokens are added.
        """
        self.rate = per_second
        self.max_tokens = per_second * burst_s
        self.tokens = self.max_tokens
        self.refilled_at: datetime | None = None

    def _refill(self) -> None:
        now = monotonic_now()
        if self.refilled_at is not None:
            self.tokens = min(self.max_tokens, self.tokens + (now - self.refilled_at).total_seconds() * self.rate)
        self.refilled_at = now

    async def acquire(self, cost: float = 1.0) -> None:
        """Take tokens at once, even beyond the available ones, and wait until the shortage is made up."""
        self._refill()
        self.tokens -= cost
        if self.tokens < 0:
            await sleep(seconds(-self.tokens / self.rate))

    def try_acquire(self, cost: float = 1.0) -> bool:
        """Take tokens without waiting; return False, and take none, if there are too few."""
        self._refill()
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True

    async def wait_for_tokens(self, token_count: float) -> float:
        """Wait until the bucket holds that many tokens, or is full; return how many it holds then.

        No tokens are taken yet, so that the caller's batch can grow during the wait.
        """
        while True:
            self._refill()
            if self.tokens >= min(token_count, self.max_tokens) - TOKEN_TOLERANCE:
                return self.tokens
            await sleep(seconds((min(token_count, self.max_tokens) - self.tokens) / self.rate + EXTRA_WAIT_S))


class AdaptiveRateLimiter(RateLimiter):
    """A rate limiter that adapts its rate to the store's refusals.

    A refusal decreases the rate at once; afterwards it recovers slowly, up to the configured rate.
    """

    def __init__(self, per_second: float) -> None:
        """Start at the configured rate, in tokens per second."""
        super().__init__(per_second)
        self._configured_rate = per_second
        self._last_decreased_at: datetime | None = None

    def _refill(self) -> None:
        previously_refilled_at = self.refilled_at
        super()._refill()
        if previously_refilled_at is not None and self.refilled_at is not None and self.rate < self._configured_rate:
            rate_gain = (
                (self.refilled_at - previously_refilled_at).total_seconds()
                * RATE_RECOVERY_PER_S
                * self._configured_rate
            )
            self.rate = self.max_tokens = min(self._configured_rate, self.rate + rate_gain)

    def decrease_rate(self) -> bool:
        """Decrease the rate after a refusal; return False if the rate was decreased less than an interval ago.

        That interval is RATE_DECREASE_INTERVAL.
        """
        self._refill()
        if (
            self._last_decreased_at is not None
            and self.refilled_at is not None
            and self.refilled_at - self._last_decreased_at < RATE_DECREASE_INTERVAL
        ):
            return False
        self._last_decreased_at = self.refilled_at
        self.rate = self.max_tokens = max(self._configured_rate * MIN_RATE_SHARE, self.rate * RATE_DECREASE_FACTOR)
        self.tokens = min(self.tokens, 0.0)
        return True
