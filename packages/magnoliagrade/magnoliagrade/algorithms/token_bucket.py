"""Token bucket for rate limits."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Token bucket whose refill rate can be changed.

    Parameters
    ----------
    rate : float
        Cost per second at which the bucket is refilled.
    burst_s : float
        Time in seconds in which an empty bucket is filled.
    at : float
        Current time in seconds.

    Examples
    --------
    >>> bucket = TokenBucket(rate=10, burst_s=2, at=0.0)
    >>> bucket.take(20, at=0.0), bucket.take(5, at=0.0)
    (0.0, 0.5)
    >>> bucket.take(5, at=0.5)
    0.0
    """

    __slots__ = ("_burst_s", "_level", "_rate", "_refilled_at")

    def __init__(self, *, rate, burst_s, at):
        self._rate = rate
        self._burst_s = burst_s
        self._level = rate * burst_s
        self._refilled_at = at

    def set_rate(self, rate, *, at):
        """Set the refill rate from a time in seconds onwards."""
        self._refill(at)
        self._rate = rate

    def take(self, cost, *, at):
        """Take a cost from the bucket if its level suffices.

        Parameters
        ----------
        cost : float
            Cost to take. A cost above the bucket's capacity requires a full bucket and
            makes its level negative.
        at : float
            Current time in seconds.

        Returns
        -------
        wait_s : float
            0 if the cost was taken, else seconds until it can be.
        """
        self._refill(at)
        required = min(cost, self._rate * self._burst_s)
        if self._level >= required and self._rate > 0:
            self._level -= cost
            return 0.0
        if self._rate <= 0:
            return float("inf")
        return (required - self._level) / self._rate

    def _refill(self, at):
        capacity = self._rate * self._burst_s
        self._level = min(capacity, self._level + self._rate * (at - self._refilled_at))
        self._refilled_at = at
