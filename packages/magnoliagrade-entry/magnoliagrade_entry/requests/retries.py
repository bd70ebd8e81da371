"""Retry policies: how many attempts follow a failed one."""

from collections import deque
from typing import Protocol

from magnoliagrade.registry import Registry

__all__ = ["RetryPolicy", "retry_policies"]

MAX_ATTEMPTS = 4
WINDOW_S = 10.0
SPARE_RETRIES = 3
BACKOFF_FIRST_S = 0.01
BACKOFF_MAX_S = 0.25

retry_policies = Registry(family="retry policy")


class RetryPolicy(Protocol):
    """What allows further attempts at the requests of one pool."""

    def note_request(self):
        """Count a request."""

    def take(self, attempt_count):
        """Return whether another attempt may follow, and count it."""


@retry_policies.register("none")
class NoRetries:
    """Baseline: one attempt for each request."""

    __slots__ = ()

    def __init__(self, *, clock, fraction):
        pass

    def note_request(self):
        """Count nothing."""

    def take(self, attempt_count):
        """Allow nothing."""
        return False


@retry_policies.register("naive")
class NaiveRetries:
    """Baseline: a fixed number of attempts for each request."""

    __slots__ = ()

    def __init__(self, *, clock, fraction):
        pass

    def note_request(self):
        """Count nothing."""

    def take(self, attempt_count):
        """Allow attempts up to a fixed number."""
        return attempt_count < MAX_ATTEMPTS


@retry_policies.register("budget")
class BudgetedRetries:
    """Retries up to a fraction of the requests of the last seconds.

    Parameters
    ----------
    clock : Clock
        Source of time.
    fraction : float
        Retries per request.

    Notes
    -----
    A few retries are spare in each window, so that a pool with little traffic can
    retry too. Time and memory are proportional to the requests in a window.

    Examples
    --------
    >>> from magnoliagrade.clock import ManualClock
    >>> retries = BudgetedRetries(clock=ManualClock(), fraction=0.5)
    >>> for _ in range(4):
    ...     retries.note_request()
    >>> [retries.take(1) for _ in range(6)]
    [True, True, True, True, True, False]
    """

    __slots__ = ("_clock", "_fraction", "_requests", "_retries")

    def __init__(self, *, clock, fraction):
        self._clock = clock
        self._fraction = fraction
        self._requests = deque()
        self._retries = deque()

    def note_request(self):
        """Count a request."""
        self._requests.append(self._clock.monotonic())

    def take(self, attempt_count):
        """Allow an attempt while the window's budget lasts."""
        now = self._clock.monotonic()
        _drop_older(self._requests, now - WINDOW_S)
        _drop_older(self._retries, now - WINDOW_S)
        allowed = SPARE_RETRIES + self._fraction * len(self._requests)
        if attempt_count >= MAX_ATTEMPTS or len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True


def backoff_s(attempt_count, rng):
    """Return the pause before the next attempt in seconds.

    Parameters
    ----------
    attempt_count : int
        Attempts made so far, at least 1.
    rng : random.Random
        Source of jitter.
    """
    ceiling = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2 ** (attempt_count - 1))
    return rng.uniform(0, ceiling)


def _drop_older(times, limit):
    while times and times[0] < limit:
        times.popleft()
