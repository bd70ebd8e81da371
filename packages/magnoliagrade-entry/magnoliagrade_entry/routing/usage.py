"""Detection of organisations that use more than their share at this entry."""

from collections import OrderedDict
from dataclasses import dataclass

__all__ = ["RecentUsage"]

USAGE_HALF_LIFE_S = 10.0
USAGE_RETENTION_S = 20.0
SURPLUS_SHARE_RATIO = 2.0


@dataclass(slots=True, kw_only=True)
class _Usage:
    cost: float = 0.0
    weight: float = 1.0
    at: float = 0.0


class RecentUsage:
    """Cost requested by each organisation, with exponential decay.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Notes
    -----
    An organisation is above its share if its fraction of the decayed cost exceeds
    twice its fraction of the weights. Only organisations with a request in the last
    20 s count. O(1) amortised for each request, independent of the number of
    organisations.

    Examples
    --------
    >>> from magnoliagrade.clock import ManualClock
    >>> usage = RecentUsage(clock=ManualClock())
    >>> for _ in range(8):
    ...     usage.note("large", 100, 1.0)
    >>> usage.is_surplus("large")
    False
    >>> usage.note("small", 100, 1.0)
    >>> usage.note("other", 100, 1.0)
    >>> usage.is_surplus("large"), usage.is_surplus("small")
    (True, False)
    """

    __slots__ = ("_by_organisation", "_clock", "_total", "_total_at", "_weight")

    def __init__(self, *, clock):
        self._clock = clock
        self._by_organisation = OrderedDict()
        self._total = 0.0
        self._total_at = clock.monotonic()
        self._weight = 0.0

    def note(self, organisation, cost, weight):
        """Add the cost of a request to its organisation's usage.

        Parameters
        ----------
        organisation : str
            Flow of the request; its organisation under the default queue policy.
        cost : float
            Cost of the request.
        weight : float
            Configured share of the organisation.
        """
        now = self._clock.monotonic()
        usage = self._by_organisation.pop(organisation, None)
        if usage is None:
            usage = _Usage(weight=0.0, at=now)
        self._weight += weight - usage.weight
        usage.weight = weight
        usage.cost = _decayed(usage.cost, now - usage.at) + cost
        usage.at = now
        self._by_organisation[organisation] = usage
        self._total = _decayed(self._total, now - self._total_at) + cost
        self._total_at = now
        self._remove_expired(now)

    def is_surplus(self, organisation):
        """Return whether an organisation is above its share."""
        usage = self._by_organisation.get(organisation)
        if usage is None or self._weight <= 0:
            return False
        now = self._clock.monotonic()
        cost = _decayed(usage.cost, now - usage.at)
        total = _decayed(self._total, now - self._total_at)
        return cost * self._weight > SURPLUS_SHARE_RATIO * usage.weight * total

    def _remove_expired(self, now):
        while self._by_organisation:
            name, usage = next(iter(self._by_organisation.items()))
            if usage.at > now - USAGE_RETENTION_S:
                return
            del self._by_organisation[name]
            self._weight -= usage.weight


def _decayed(cost, seconds):
    return cost * 0.5 ** (seconds / USAGE_HALF_LIFE_S)
