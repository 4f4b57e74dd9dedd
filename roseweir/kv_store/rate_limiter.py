"""Client-side rate limits: token buckets that delay callers so that the service need not refuse them."""

from datetime import datetime

from roseweir.clock import monotonic_now, seconds, sleep

# What the rate is multiplied by after a refusal, and the share of the configured rate that it never falls below.
RATE_DECREASE_FACTOR = 0.8
MIN_RATE_SHARE = 0.1
# The share of the configured rate that is regained in each second.
RATE_RECOVERY_PER_S = 0.01
# Refusals within this time count as one.
RATE_DECREASE_INTERVAL = seconds(1)
# Rounding errors of this many tokens don't make a caller wait again.
TOKEN_TOLERANCE = 1e-6
# Added to each wait for tokens, so that they are there when it ends.
EXTRA_WAIT_S = 0.001


class RateLimiter:
    """A token bucket that makes callers wait instead of being refused."""

    def __init__(self, per_second: float, burst_s: float = 1.0) -> None:
        """Start with a full bucket.

        Args:
            per_second: Tokens added in each second.
            burst_s: The bucket's capacity, in seconds of that rate.
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
        """Take tokens, and wait until the bucket would have held them."""
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
        """Wait until the bucket holds that many tokens, at most its capacity; return how many it holds then.

        None are taken, so that a batch can still grow meanwhile.
        """
        while True:
            self._refill()
            if self.tokens >= min(token_count, self.max_tokens) - TOKEN_TOLERANCE:
                return self.tokens
            await sleep(seconds((min(token_count, self.max_tokens) - self.tokens) / self.rate + EXTRA_WAIT_S))


class AdaptiveRateLimiter(RateLimiter):
    """A rate limiter that learns the service's rate from refusals.

    The rate is decreased at once by a refusal, and recovers slowly up to the configured one.
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
        """Apply a refusal of the service's; return whether it decreased the rate.

        Refusals within RATE_DECREASE_INTERVAL count as one.
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
