"""Retry policies: whether another attempt may follow a failed one."""

from collections import deque
from typing import Protocol

from magnoliagrade.registry import Registry

__all__ = ["RetryPolicy", "retry_policies"]

# Attempts at one request, the first included.
MAX_ATTEMPTS = 4
BUDGET_WINDOW_S = 10.0
EXTRA_RETRIES_PER_WINDOW = 3
INITIAL_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.25

retry_policies = Registry(family="retry policy")


class RetryPolicy(Protocol):
    """Interface of the policies that allow retries of one pool's requests."""

    def record_request(self):
        """Count a request towards the budget."""

    def take(self, attempt_count):
        """Return whether another attempt may follow; if so, count it as a retry.

        `attempt_count` is the number of attempts at this request so far.
        """


@retry_policies.register("none")
class NoRetries:
    """Baseline: no retries."""

    __slots__ = ()

    def __init__(self, *, clock, fraction):
        pass

    def record_request(self):
        """Do nothing."""

    def take(self, attempt_count):
        """Return False."""
        return False


@retry_policies.register("naive")
class FixedRetries:
    """Baseline: a fixed maximum of attempts for each request, without a budget."""

    __slots__ = ()

    def __init__(self, *, clock, fraction):
        pass

    def record_request(self):
        """Do nothing."""

    def take(self, attempt_count):
        """Return whether fewer than `MAX_ATTEMPTS` attempts were made."""
        return attempt_count < MAX_ATTEMPTS


@retry_policies.register("budget")
class BudgetedRetries:
    """Retry budget: retries up to a fraction of the requests of the last 10 s.

    Parameters
    ----------
    clock : Clock
        Source of time.
    fraction : float
        Retries allowed as a fraction of the requests in the window.

    Notes
    -----
    Each window allows `EXTRA_RETRIES_PER_WINDOW` retries in addition, so that a pool
    with little traffic can retry too. Time and memory are proportional to the
    requests in a window.

    Examples
    --------
    >>> from magnoliagrade.clock import ManualClock
    >>> retries = BudgetedRetries(clock=ManualClock(), fraction=0.5)
    >>> for _ in range(4):
    ...     retries.record_request()
    >>> [retries.take(1) for _ in range(6)]
    [True, True, True, True, True, False]
    """

    __slots__ = ("_clock", "_fraction", "_requests", "_retries")

    def __init__(self, *, clock, fraction):
        self._clock = clock
        self._fraction = fraction
        self._requests = deque()
        self._retries = deque()

    def record_request(self):
        """Count a request towards the budget."""
        self._requests.append(self._clock.monotonic())

    def take(self, attempt_count):
        """Return whether the window's budget and `MAX_ATTEMPTS` allow a retry."""
        now = self._clock.monotonic()
        _drop_older(self._requests, now - BUDGET_WINDOW_S)
        _drop_older(self._retries, now - BUDGET_WINDOW_S)
        allowed = EXTRA_RETRIES_PER_WINDOW + self._fraction * len(self._requests)
        if attempt_count >= MAX_ATTEMPTS or len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True


def backoff_s(attempt_count, rng):
    """Return the jittered exponential backoff before the next attempt, in seconds.

    Parameters
    ----------
    attempt_count : int
        Attempts made so far, at least 1.
    rng : random.Random
        Random number generator for the jitter.
    """
    ceiling = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (attempt_count - 1))
    return rng.uniform(0, ceiling)


def _drop_older(times, start_s):
    while times and times[0] < start_s:
        times.popleft()
