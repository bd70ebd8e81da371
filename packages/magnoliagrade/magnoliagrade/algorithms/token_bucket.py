"""A token bucket."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Cost that may be spent, refilled at a rate that may change.

    Parameters
    ----------
    rate : float
        Cost a second.
    burst_s : float
        Time of refilling that a full bucket holds.
    at : float
        Time in seconds.

    Examples
    --------
    >>> bucket = TokenBucket(rate=10, burst_s=2, at=0.0)
    >>> bucket.take(20, at=0.0), bucket.take(5, at=0.0)
    (0.0, 0.5)
    >>> bucket.take(5, at=0.5)
    0.0
    """

    __slots__ = ("_at", "_burst_s", "_level", "_rate")

    def __init__(self, *, rate, burst_s, at):
        self._rate = rate
        self._burst_s = burst_s
        self._level = rate * burst_s
        self._at = at

    def set_rate(self, rate, *, at):
        """Refill at another rate from now on."""
        self._refill(at)
        self._rate = rate

    def take(self, cost, *, at):
        """Spend a cost if the bucket holds it.

        Parameters
        ----------
        cost : float
            Cost to spend; one beyond the whole bucket needs a full bucket, which it
            leaves in debt.
        at : float
            Time in seconds.

        Returns
        -------
        wait_s : float
            0 if it was spent, else seconds until it could be.
        """
        self._refill(at)
        needed = min(cost, self._rate * self._burst_s)
        if self._level >= needed and self._rate > 0:
            self._level -= cost
            return 0.0
        if self._rate <= 0:
            return float("inf")
        return (needed - self._level) / self._rate

    def _refill(self, at):
        full = self._rate * self._burst_s
        self._level = min(full, self._level + self._rate * (at - self._at))
        self._at = at
