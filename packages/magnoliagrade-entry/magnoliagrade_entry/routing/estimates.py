"""Estimates of how fast a pool serves this entry's requests."""

import statistics

__all__ = ["ServiceEstimate"]

RATE_INTERVAL_S = 0.25
RATE_WEIGHT = 0.25


class ServiceEstimate:
    """Rate at which credit came lately, and time that answers take.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Notes
    -----
    The rate counts only intervals in which requests waited; otherwise it would
    show what was asked for and not what could be had.

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

    __slots__ = ("_clock", "_interval_from", "_placed", "_token_s", "rate")

    def __init__(self, *, clock):
        self._clock = clock
        self._interval_from = clock.monotonic()
        self._placed = 0.0
        self._token_s = 0.0
        self.rate = 0.0

    def note_placed(self, cost):
        """Count a request as placed."""
        self._placed += cost

    def take_token_times(self, handles):
        """Take the median time for each token that endpoints of the pool show."""
        times = [h.health.token_s for h in handles if h.health.samples]
        if times:
            self._token_s = statistics.median_low(times)

    def tick(self, *, has_waiting):
        """End the interval if its time has come.

        Parameters
        ----------
        has_waiting : bool
            Whether requests wait now.
        """
        now = self._clock.monotonic()
        length = now - self._interval_from
        if length < RATE_INTERVAL_S:
            return
        rate = self._placed / length
        if has_waiting and self.rate:
            self.rate += RATE_WEIGHT * (rate - self.rate)
        elif has_waiting or rate > self.rate:
            self.rate = rate
        self._interval_from = now
        self._placed = 0.0

    def wait_s(self, cost):
        """Return the time until a cost has been placed; 0 if unknown."""
        return cost / self.rate if self.rate else 0.0

    def service_s(self, request):
        """Return the time that an answer takes once it is placed."""
        return self._token_s * max(1, request.output_tokens)
