"""One token bucket: full at start, linear refill, a bounded debt."""

from dataclasses import dataclass
from datetime import datetime, timedelta

# Differences between sums of tokens below this are rounding errors.
TOKEN_TOLERANCE = 1e-9


@dataclass(slots=True)
class TokenBucket:
    """Holds between -burst and capacity tokens; `capacity` tokens are added in each window.

    A draw of cost c passes if tokens + burst >= min(c, draw_cap), and that much is debited.
    A draw cap of 0 means none.
    """

    capacity: float
    window: timedelta
    burst: float
    draw_cap: float
    tokens: float
    refilled_at: datetime

    @classmethod
    def full(
        cls, now: datetime, capacity: float, window: timedelta, burst: float = 0.0, draw_cap: float = 0.0
    ) -> "TokenBucket":
        """A bucket that starts with all its tokens."""
        return cls(capacity, window, burst, draw_cap, capacity, now)

    def resize(self, capacity: float, now: datetime) -> None:
        """Change the capacity, and so the refill rate; the tokens stay, within the new bounds."""
        self.refill(now)
        # Added capacity starts full, as in a new bucket.
        if capacity > self.capacity:
            self.tokens += capacity - self.capacity
        self.capacity = capacity
        self.tokens = self._clamp(self.tokens)

    def refill(self, now: datetime) -> None:
        """Add the tokens that have accrued since the last refill."""
        if now > self.refilled_at:
            self.tokens = self._clamp(self.tokens + self.capacity * ((now - self.refilled_at) / self.window))
            self.refilled_at = now

    def can_pay(self, cost: float, now: datetime) -> bool:
        """Whether a draw of this cost passes now."""
        self.refill(now)
        return self.tokens + self.burst + TOKEN_TOLERANCE >= self._capped_draw(cost)

    def debit(self, cost: float, now: datetime) -> None:
        """Take the cost, capped, whether or not the bucket can pay it."""
        self.refill(now)
        self.tokens = self._clamp(self.tokens - self._capped_draw(cost))

    def payable_within(self, horizon: timedelta, now: datetime) -> float:
        """The total cost that the bucket can pay within the horizon, including its burst."""
        self.refill(now)
        available = self.tokens + self.capacity * (horizon / self.window)
        return min(max(available, -self.burst), self.capacity) + self.burst

    def _capped_draw(self, cost: float) -> float:
        cost = max(0.0, cost)
        return min(cost, self.draw_cap) if self.draw_cap > 0 else cost

    def _clamp(self, tokens: float) -> float:
        return min(self.capacity, max(-self.burst, tokens))
