"""Rate at which one entry may send requests to a cold endpoint.

Load pattern: an endpoint starts, or turns cold again, and is the least loaded one of
its service, so that every entry selects it at the same time.
"""

from magnoliagrade.algorithms.hashing import rendezvous_order

__all__ = ["ColdIntervals", "cold_send_interval_s"]

# Fraction of a cold endpoint's rate that all entries together use.
RATE_FRACTION = 0.9
# An entry's requests are this much further apart than its share of a second, so that
# variations of the delay do not put one more of them into a second.
SPACING = 1.1


def cold_send_interval_s(endpoint_id, *, rate_per_s, name, names):
    """Return the shortest interval of an entry's requests to a cold endpoint, or None.

    None means that the entry must not send any: other entries share the rate.

    Parameters
    ----------
    endpoint_id : str
        Id of the endpoint.
    rate_per_s : float
        Requests per second that it sustains while it is cold.
    name : str
        Name of the entry.
    names : collection of str
        Names of all entries, with or without `name`.

    Returns
    -------
    interval_s : float or None
        Interval in seconds.

    Notes
    -----
    Entries do not coordinate. Each of them ranks all entries by rendezvous hashing, and
    those that share the rate are the first ones, at most as many as the requests of one
    second. All of them together send at most `rate_per_s` requests in any second; where
    they know different names, a few more entries count themselves among the first.

    Examples
    --------
    >>> names = [f"entry-{n}" for n in range(30)]
    >>> intervals = [
    ...     cold_send_interval_s("i-1", rate_per_s=15.0, name=name, names=names)
    ...     for name in names
    ... ]
    >>> sum(interval is not None for interval in intervals)
    15
    >>> sum(1.0 // interval + 1 for interval in intervals if interval is not None)
    15.0
    """
    candidates = {*names, name}
    sharing = min(len(candidates), max(1, int(rate_per_s)))
    if name not in rendezvous_order(endpoint_id, candidates)[:sharing]:
        return None
    per_second = RATE_FRACTION * rate_per_s / sharing
    if per_second < 1:
        return SPACING / min(1.0, rate_per_s)
    return SPACING / int(per_second)


class ColdIntervals:
    """Intervals of one entry at all endpoints, each computed once.

    Parameters
    ----------
    name : str
        Name of the entry.
    """

    __slots__ = ("_interval_by_key", "_name", "_names")

    def __init__(self, *, name):
        self._name = name
        self._names = frozenset()
        self._interval_by_key = {}

    def set_names(self, names):
        """Set the names of all entries."""
        if names != self._names:
            self._names = frozenset(names)
            self._interval_by_key.clear()

    def interval_s(self, endpoint_id, rate_per_s):
        """Return the interval for an endpoint; 0 if its service has no cold rate."""
        if not rate_per_s:
            return 0.0
        key = endpoint_id, rate_per_s
        if key not in self._interval_by_key:
            self._interval_by_key[key] = cold_send_interval_s(
                endpoint_id,
                rate_per_s=rate_per_s,
                name=self._name,
                names=self._names,
            )
        return self._interval_by_key[key]
