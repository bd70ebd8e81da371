"""Rate limit on the calls that one process makes to the platform's store."""

from magnoliagrade.errors import ErrorKind, MagnoliagradeError

__all__ = ["CallLimiter"]

# The bucket holds the calls of BURST_S at the limit, but at least BURST_MIN_CALLS.
BURST_S = 2.0
BURST_MIN_CALLS = 20.0
# Longest time that a call waits for its token.
MAX_WAIT_S = 1.0


class CallLimiter:
    """Token bucket that limits the rate of calls and allows bursts.

    Parameters
    ----------
    clock : Clock
        Source of time.
    calls_per_s : callable
        Returns the current limit in calls per second.

    Notes
    -----
    A call that would have to wait longer than `MAX_WAIT_S` is rejected at once: its
    caller knows better than a queue whether the call is still useful later.
    """

    __slots__ = ("_refilled_at", "_clock", "_calls_per_s", "_tokens")

    def __init__(self, *, clock, calls_per_s):
        self._clock = clock
        self._calls_per_s = calls_per_s
        self._tokens = BURST_MIN_CALLS
        self._refilled_at = clock.monotonic()

    async def acquire(self):
        """Wait until a call is within the limit.

        Raises
        ------
        MagnoliagradeError
            `STORE_LIMITED` if the wait would exceed `MAX_WAIT_S`; `retry_after` is
            that wait in seconds.
        """
        calls_per_s = self._calls_per_s()
        self._refill(calls_per_s)
        wait_s = max(0.0, (1.0 - self._tokens) / calls_per_s)
        if wait_s > MAX_WAIT_S:
            detail = (
                "store call rejected: this process exceeds its limit of "
                f"{calls_per_s:.1f} calls per second; the wait of {wait_s:.1f} s would "
                f"exceed {MAX_WAIT_S:.1f} s"
            )
            raise MagnoliagradeError(
                ErrorKind.STORE_LIMITED, detail, retry_after=wait_s
            )
        self._tokens -= 1.0
        if wait_s:
            await self._clock.sleep(wait_s)

    def _refill(self, calls_per_s):
        now = self._clock.monotonic()
        burst = max(BURST_MIN_CALLS, calls_per_s * BURST_S)
        self._tokens = min(
            burst, self._tokens + (now - self._refilled_at) * calls_per_s
        )
        self._refilled_at = now
