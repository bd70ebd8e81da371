"""Budget of attempts beyond the first, shared by all entries without asking.

Load pattern: every endpoint of a service fails, and each request would be sent twice.
"""

from collections import deque

__all__ = ["RetryBudget"]

# Part of the allowance that is used: an entry's own requests and those that the
# service gets are counted in windows that do not begin together.
SAFETY_FACTOR = 0.8
# Entries that may run without being known here: those just added.
UNKNOWN_ENTRIES = 2


class RetryBudget:
    """Attempts that this entry may make beyond the first of each request.

    Parameters
    ----------
    ratio : float
        Attempts a request, of all entries.
    extra : float
        Attempts besides in each window, of all entries together.
    window_s : float
        Window in seconds.
    count_entries : callable
        Returns the number of entries that are known.

    Notes
    -----
    The extra is divided by at least the number of entries, so the parts never add up
    to more than the whole, whatever each entry knows of the others.
    """

    __slots__ = (
        "_count_entries",
        "_extra",
        "_ratio",
        "_request_times_by_service",
        "_attempt_times_by_service",
        "_window_s",
    )

    def __init__(self, *, ratio, extra, window_s, count_entries):
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._count_entries = count_entries
        self._request_times_by_service = {}
        self._attempt_times_by_service = {}

    def record_request(self, service, *, now):
        """Count a request of a caller for a service."""
        self._recent(self._request_times_by_service, service, now).append(now)

    def acquire(self, service, *, now):
        """Return whether one more attempt is allowed, and count it if so."""
        spent = self._recent(self._attempt_times_by_service, service, now)
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
