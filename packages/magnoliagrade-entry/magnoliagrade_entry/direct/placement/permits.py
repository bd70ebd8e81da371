"""Permits to send requests to endpoints that name a limit on their rate.

Load pattern: an endpoint takes fewer requests per second than there are entries, and
is the least loaded one, so that every entry selects it. Entries that each kept to a
part of the limit would exceed it together, or leave it unused where the load is uneven.

Of the linked entries, one issues the permits of an endpoint; each permit is for one
request. Nothing in this module waits, sends or receives.
"""

from magnoliagrade.algorithms.hashing import rendezvous_order

__all__ = [
    "MIN_RATE_PER_S",
    "PERMIT_LIFE_S",
    "PermitIssuer",
    "PermitRequests",
    "issue_rate",
    "issuer_of",
]

# Fraction of an endpoint's limit for which permits are issued.
RATE_FRACTION = 0.9
# Lowest rate of permits, per second. An endpoint that takes no requests at all is still
# asked now and then, because only its responses tell when its limit ends.
MIN_RATE_PER_S = 0.25
# Time for which a permit may be used: long enough for the next request of an entry with
# one request per second, and short enough that unused ones do not add up.
PERMIT_LIFE_S = 1.0
# Interval at which an entry repeats a request for a permit that it still needs.
REPEAT_S = 0.5
# Time after which the issuer forgets a request that is not repeated.
REQUEST_LIFE_S = 0.8
# Longest delay of an issue that the following permits make up for.
MAX_LATE_S = 0.05
# Time after which the issuer forgets an endpoint that nobody asks for.
IDLE_S = 30.0


def issuer_of(endpoint_id, names):
    """Return the name of the entry that issues an endpoint's permits.

    Parameters
    ----------
    endpoint_id : str
        Id of the endpoint.
    names : collection of str
        Names of the entries that are linked to each other.
    """
    return rendezvous_order(endpoint_id, names)[0]


def issue_rate(limit_per_s, *, linked, known):
    """Return the permits that an issuer may issue per second.

    Parameters
    ----------
    limit_per_s : float
        Limit of the endpoint.
    linked : int
        Number of entries that the issuer is linked to, with itself.
    known : int
        Number of entries that may run, with itself.

    Notes
    -----
    Entries that are cut off from the others have an issuer of their own. Each issuer
    uses the part of the limit that corresponds to its part of the entries.

    Examples
    --------
    >>> issue_rate(10.0, linked=3, known=3)
    9.0
    >>> issue_rate(10.0, linked=1, known=3)
    3.0
    """
    rate_per_s = RATE_FRACTION * limit_per_s * min(1.0, linked / known)
    return max(MIN_RATE_PER_S, rate_per_s)


class _Queue:
    """Entries that wait for permits of one endpoint, in their order."""

    __slots__ = ("expires_at_by_name", "next_at", "rate_per_s")

    def __init__(self, *, next_at, rate_per_s):
        self.expires_at_by_name = {}
        self.next_at = next_at
        self.rate_per_s = rate_per_s


class PermitIssuer:
    """Issues the permits of the endpoints that this entry is responsible for.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Notes
    -----
    The first permit of an endpoint is issued only after an interval, because another
    entry may have been responsible before.
    """

    __slots__ = ("_clock", "_queue_by_id")

    def __init__(self, *, clock):
        self._clock = clock
        self._queue_by_id = {}

    def request(self, endpoint_id, name, rate_per_s):
        """Queue an entry's request for a permit, or renew it.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint.
        name : str
            Name of the entry.
        rate_per_s : float
            Permits that are issued per second, as `issue_rate` returns them.
        """
        now = self._clock.monotonic()
        queue = self._queue_by_id.get(endpoint_id)
        if queue is None:
            queue = self._queue_by_id[endpoint_id] = _Queue(
                next_at=now + 1 / rate_per_s, rate_per_s=rate_per_s
            )
        if rate_per_s != queue.rate_per_s:
            queue.next_at = max(queue.next_at, now + 1 / rate_per_s)
            queue.rate_per_s = rate_per_s
        queue.expires_at_by_name[name] = now + REQUEST_LIFE_S

    def issue_due(self):
        """Return the name of the entry and the endpoint of each permit due now."""
        now = self._clock.monotonic()
        issued = []
        for endpoint_id, queue in list(self._queue_by_id.items()):
            waiting = queue.expires_at_by_name
            for name in [n for n, at in waiting.items() if at <= now]:
                del waiting[name]
            while waiting and queue.next_at <= now:
                name = next(iter(waiting))
                del waiting[name]
                issued.append((name, endpoint_id))
                began_at = max(queue.next_at, now - MAX_LATE_S)
                queue.next_at = began_at + 1 / queue.rate_per_s
            if not waiting and now - queue.next_at > IDLE_S:
                del self._queue_by_id[endpoint_id]
        return issued


class PermitRequests:
    """Permits that this entry has asked for and not received.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_repeat_at_by_id")

    def __init__(self, *, clock):
        self._clock = clock
        self._repeat_at_by_id = {}

    def pending_ids(self):
        """Return the ids of the endpoints whose permits are pending."""
        now = self._clock.monotonic()
        for endpoint_id, at in list(self._repeat_at_by_id.items()):
            if at <= now:
                del self._repeat_at_by_id[endpoint_id]
        return self._repeat_at_by_id.keys()

    def begin(self, endpoint_id):
        """Record that a permit is asked for."""
        self._repeat_at_by_id[endpoint_id] = self._clock.monotonic() + REPEAT_S

    def end(self, endpoint_id):
        """Record that a permit has arrived."""
        self._repeat_at_by_id.pop(endpoint_id, None)
