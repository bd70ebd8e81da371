"""Decides how much of a group's state the coordinator reads for the rate of its link.

Load pattern: each of 129 ranks has 4,128 counters. The coordinator's machine receives
3 Mbit/s, which it shares with the model server beside it. The counters of all ranks
take several seconds of the link, for which the requests to that server wait.
"""

import random

__all__ = ["LinkBudget"]

# Fraction of the link that the replies to reads of counters, and those to reads of the
# status of all ranks, may each use.
LINK_FRACTION = 0.15
# Fraction of the link that gathered counters and statuses may use together.
GATHERING_FRACTION = 2 * LINK_FRACTION
# Size of a reply with the status of a rank, with the headers of its packet.
STATUS_BYTES = 500
# Size of the first reply with counters, which holds their values instead of increments.
FIRST_BYTES_PER_COUNTER = 2.0
# Weight of the newest reply in the moving average of the size of replies.
SIZE_SMOOTHING = 0.1
# Longest time that the link may take to send a map to all ranks, in seconds: a fraction
# of the three seconds after which the experts in demand have changed.
MAX_MAP_SEND_S = 1.0


class LinkBudget:
    """Selects the ranks to read counters from, and the times to read every status.

    Parameters
    ----------
    link_mbps : float
        Rate of the machine's link, in megabits per second.

    Examples
    --------
    >>> budget = LinkBudget(link_mbps=3.0)
    >>> len(budget.counted_ranks(129, counters=4128, interval_s=0.4)) < 10
    True
    >>> len(budget.counted_ranks(12, counters=288, interval_s=0.4))
    12
    """

    __slots__ = (
        "_bytes_per_s",
        "_next_full_read_at",
        "_next_gathering_at",
        "_order",
        "_reply_bytes",
    )

    def __init__(self, *, link_mbps):
        self._bytes_per_s = link_mbps * 1e6 / 8
        self._next_full_read_at = float("-inf")
        self._next_gathering_at = float("-inf")
        self._order = []
        self._reply_bytes = 0.0

    def counted_ranks(self, size, *, counters, interval_s):
        """Return the ranks to read counters from, at least one.

        Ranks are only added to or removed from the end of one random order, so that
        most replies hold the increments since the last one.

        Parameters
        ----------
        size : int
            Number of ranks.
        counters : int
            Number of counters of a rank; 0 if it is not known, for one rank only.
        interval_s : float
            Time between two readings, in seconds.
        """
        if len(self._order) != size:
            self._order = list(range(size))
            random.Random(size).shuffle(self._order)
        reply_bytes = self._reply_bytes or FIRST_BYTES_PER_COUNTER * counters
        budget_bytes = LINK_FRACTION * self._bytes_per_s * interval_s
        number = int(budget_bytes / (reply_bytes + STATUS_BYTES)) if reply_bytes else 1
        return sorted(self._order[: max(1, number)])

    def record_reply(self, size_bytes):
        """Record the size of a reply with counters, in bytes."""
        weight = SIZE_SMOOTHING if self._reply_bytes else 1.0
        self._reply_bytes += weight * (size_bytes - self._reply_bytes)

    def acquire_full_read(self, size, *, now):
        """Return whether the status of all ranks may be read now, and count it if so.

        Parameters
        ----------
        size : int
            Number of ranks.
        now : float
            Time in seconds.
        """
        if now < self._next_full_read_at:
            return False
        rate = LINK_FRACTION * self._bytes_per_s
        self._next_full_read_at = now + size * STATUS_BYTES / rate
        return True

    def needs_gathering(self, size, *, counters, interval_s):
        """Return whether the counters of all ranks are too many for the link.

        Parameters
        ----------
        size : int
            Number of ranks.
        counters : int
            Number of counters of a rank.
        interval_s : float
            Time between two readings, in seconds.

        Examples
        --------
        >>> LinkBudget(link_mbps=4.0).needs_gathering(63, counters=2016, interval_s=0.4)
        True
        >>> LinkBudget(link_mbps=10.0).needs_gathering(12, counters=288, interval_s=0.4)
        False
        """
        read_bytes = size * FIRST_BYTES_PER_COUNTER * counters
        return read_bytes > LINK_FRACTION * self._bytes_per_s * interval_s

    def may_gather(self, *, now):
        """Return whether the link allows another gathering at a time in seconds."""
        return now >= self._next_gathering_at

    def record_gathering(self, size_bytes, *, now):
        """Record the size of the replies of a gathering, in bytes."""
        rate = GATHERING_FRACTION * self._bytes_per_s
        self._next_gathering_at = now + size_bytes / rate

    def reset(self):
        """Allow a full read at once, because the group has a new formation."""
        self._next_full_read_at = float("-inf")
        self._next_gathering_at = float("-inf")

    def may_send_map(self, size, map_bytes):
        """Return whether a map may be sent to all ranks.

        Parameters
        ----------
        size : int
            Number of ranks.
        map_bytes : int
            Size of the encoded map, in bytes.
        """
        return size * map_bytes <= MAX_MAP_SEND_S * self._bytes_per_s
