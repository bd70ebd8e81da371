"""A limit on the calls that one process makes to the platform's store."""

from magnoliagrade.errors import ErrorKind, MagnoliagradeError

__all__ = ["CallLimiter"]

BURST_S = 2.0
BURST_MIN_CALLS = 20.0
WAIT_LIMIT_S = 1.0


class CallLimiter:
    """Lets calls through at a rate, with a burst.

    Parameters
    ----------
    clock : Clock
        Source of time.
    rate : callable
        Returns the calls a second that are allowed now.

    Notes
    -----
    A call that would have to wait longer than `WAIT_LIMIT_S` is refused at once:
    its caller knows better than a queue whether it still makes sense later.
    """

    __slots__ = ("_at", "_clock", "_rate", "_tokens")

    def __init__(self, *, clock, rate):
        self._clock = clock
        self._rate = rate
        self._tokens = BURST_MIN_CALLS
        self._at = clock.monotonic()

    async def take(self):
        """Wait for a turn.

        Raises
        ------
        MagnoliagradeError
            `STORE_LIMITED` if the wait would be too long.
        """
        rate = self._rate()
        self._fill(rate)
        wait_s = max(0.0, (1.0 - self._tokens) / rate)
        if wait_s > WAIT_LIMIT_S:
            detail = f"this process makes more than {rate:.1f} store calls a second"
            raise MagnoliagradeError(
                ErrorKind.STORE_LIMITED, detail, retry_after=wait_s
            )
        self._tokens -= 1.0
        if wait_s:
            await self._clock.sleep(wait_s)

    def _fill(self, rate):
        now = self._clock.monotonic()
        burst = max(BURST_MIN_CALLS, rate * BURST_S)
        self._tokens = min(burst, self._tokens + (now - self._at) * rate)
        self._at = now
