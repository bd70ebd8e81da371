"""Counts of recent events by key, in bounded memory."""

__all__ = ["RecentCounts"]

# Time after which counts begin to be forgotten; all are after twice that time.
GENERATION_S = 300.0
# Keys of one generation. Once they are reached the next generation begins early.
MAX_KEYS = 4096


class RecentCounts:
    """Counts by key over the present and the previous generation.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Examples
    --------
    >>> from magnoliagrade.clock import ManualClock
    >>> counts = RecentCounts(clock=ManualClock())
    >>> counts.record(["a", "b"])
    >>> counts.record(["a"])
    >>> counts.count("a"), counts.count("b"), counts.count("c")
    (2, 1, 0)
    """

    __slots__ = ("_began_at", "_clock", "_count_by_key", "_previous_count_by_key")

    def __init__(self, *, clock):
        self._clock = clock
        self._began_at = clock.monotonic()
        self._count_by_key = {}
        self._previous_count_by_key = {}

    def record(self, keys):
        """Count one event under each of several keys."""
        is_full = len(self._count_by_key) >= MAX_KEYS
        if is_full or self._clock.monotonic() - self._began_at >= GENERATION_S:
            self._previous_count_by_key = self._count_by_key
            self._count_by_key = {}
            self._began_at = self._clock.monotonic()
        for key in keys:
            self._count_by_key[key] = self._count_by_key.get(key, 0) + 1

    def count(self, key):
        """Return the number of recent events under a key."""
        previous = self._previous_count_by_key.get(key, 0)
        return self._count_by_key.get(key, 0) + previous
