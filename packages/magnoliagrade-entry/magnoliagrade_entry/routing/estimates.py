"""Estimates of the rate at which a pool serves this entry's requests."""

import statistics

__all__ = ["ServiceEstimate"]

RATE_INTERVAL_S = 0.25
RATE_SMOOTHING_FACTOR = 0.25


class ServiceEstimate:
    """Estimates a pool's placement rate and service time.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    rate : float
        Placed cost per second; an exponential moving average over intervals of
        0.25 s.

    Notes
    -----
    Only intervals in which requests wait can lower the rate. In other intervals
    the placed cost shows the demand and not the capacity.

    Examples
    --------
    >>> from magnoliagrade.clock import ManualClock
    >>> import asyncio
    >>> clock = ManualClock()
    >>> estimate = ServiceEstimate(clock=clock)
    >>> for _ in range(8):
    ...     asyncio.run(clock.advance(0.25))
    ...     estimate.note_placed(250)
    ...     estimate.tick(has_waiting=True)
    >>> estimate.wait_s(2000)
    2.0
    """

    __slots__ = ("_clock", "_interval_started_at", "_placed_cost", "_token_s", "rate")

    def __init__(self, *, clock):
        self._clock = clock
        self._interval_started_at = clock.monotonic()
        self._placed_cost = 0.0
        self._token_s = 0.0
        self.rate = 0.0

    def note_placed(self, cost):
        """Add the cost of a request that was placed to the current interval."""
        self._placed_cost += cost

    def update_token_time(self, handles):
        """Set the time per token to the median of the endpoints of the pool."""
        times = [h.health.token_s for h in handles if h.health.samples]
        if times:
            self._token_s = statistics.median_low(times)

    def tick(self, *, has_waiting):
        """Update the rate if the current interval has ended.

        Parameters
        ----------
        has_waiting : bool
            Whether requests are waiting.
        """
        now = self._clock.monotonic()
        length = now - self._interval_started_at
        if length < RATE_INTERVAL_S:
            return
        rate = self._placed_cost / length
        if has_waiting and self.rate:
            self.rate += RATE_SMOOTHING_FACTOR * (rate - self.rate)
        elif has_waiting or rate > self.rate:
            self.rate = rate
        self._interval_started_at = now
        self._placed_cost = 0.0

    def wait_s(self, cost):
        """Return the seconds until a cost has been placed; 0 if the rate is unknown."""
        return cost / self.rate if self.rate else 0.0

    def service_s(self, request):
        """Return the seconds from a request's placement to its complete response."""
        return self._token_s * max(1, request.output_tokens)
