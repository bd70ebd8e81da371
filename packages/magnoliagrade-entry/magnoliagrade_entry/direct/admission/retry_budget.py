"""Retry budget, shared by all entries without coordination.

Load pattern: every endpoint of a service fails, and each request would be sent twice.
"""

from collections import deque

__all__ = ["RetryBudget"]

# Fraction of the budget that is used, because the windows in which an entry counts its
# requests and a service counts those it receives do not begin at the same time.
SAFETY_FACTOR = 0.8
# Number of entries that may run without being known here yet: those just added.
UNKNOWN_ENTRIES = 2


class RetryBudget:
    """Retries that this entry may make: attempts beyond the first of each request.

    Parameters
    ----------
    ratio : float
        Retries allowed per request of a caller.
    extra : float
        Additional retries in each window, of all entries together.
    window_s : float
        Window in seconds.
    count_entries : callable
        Returns the number of known entries.

    Notes
    -----
    Each entry divides the extra by its number of known entries and an allowance for
    unknown ones, so the shares do not add up to more than the extra although entries
    may know different numbers of others.
    """

    __slots__ = (
        "_retry_times_by_service",
        "_count_entries",
        "_extra",
        "_ratio",
        "_request_times_by_service",
        "_window_s",
    )

    def __init__(self, *, ratio, extra, window_s, count_entries):
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._count_entries = count_entries
        self._request_times_by_service = {}
        self._retry_times_by_service = {}

    def record_request(self, service, *, now):
        """Count a request of a caller for a service."""
        self._recent(self._request_times_by_service, service, now).append(now)

    def acquire(self, service, *, now):
        """Return whether one more retry is allowed, and count it if so."""
        spent = self._recent(self._retry_times_by_service, service, now)
        requests = self._recent(self._request_times_by_service, service, now)
        entries = self._count_entries() + UNKNOWN_ENTRIES
        allowed = SAFETY_FACTOR * (self._ratio * len(requests) + self._extra / entries)
        if len(spent) + 1 > allowed:
            return False
        spent.append(now)
        return True

    def _recent(self, times_by_service, service, now):
        times = times_by_service.setdefault(service, deque())
        while times and now - times[0] > self._window_s:
            times.popleft()
        return times
