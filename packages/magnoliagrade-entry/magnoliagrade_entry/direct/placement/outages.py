"""Outages of fault domains, and the times at which a request may probe their recovery.

Load pattern: a rank of an expert-parallel group crashes or is cut off, and the group
sends no responses for a few seconds.
"""

__all__ = ["OutageTracker"]

# Interval at which one request is let through to probe an unavailable service while no
# status reports arrive. A group forms in 0.6 s.
PROBE_INTERVAL_S = 0.4
# Time after a status report during which no request is used as a probe: two intervals
# between the reports that `watch_recovery` requests, and one for a lost report.
PROBE_HOLDOFF_S = 1.2
# Endpoints in a row that report a lost rank before their fault domain counts as
# unavailable: the group of an endpoint may be unknown, and a single rejection may come
# from one group of several that serve the same service.
BROKEN_ENDPOINTS_FOR_OUTAGE = 2


class OutageTracker:
    """Tracks the fault domains whose group has lost a rank.

    Examples
    --------
    >>> tracker = OutageTracker()
    >>> tracker.record_broken("d", "i-1", endpoints=1, now=5.0)
    True
    >>> tracker.is_unavailable("d")
    True
    >>> tracker.end("d")
    True
    """

    __slots__ = (
        "_broken_ids_by_domain",
        "_probe_at_by_domain",
        "_unavailable_domains",
    )

    def __init__(self):
        self._unavailable_domains = set()
        self._broken_ids_by_domain = {}
        self._probe_at_by_domain = {}

    @property
    def has_outage(self):
        """Whether any fault domain counts as unavailable."""
        return bool(self._unavailable_domains)

    def is_unavailable(self, domain):
        """Return whether a fault domain counts as unavailable."""
        return domain in self._unavailable_domains

    def acquire_probe(self, domain, *, now):
        """Return whether a request may probe a domain now, and count it if so."""
        if self._probe_at_by_domain.get(domain, now) > now:
            return False
        self._probe_at_by_domain[domain] = now + PROBE_INTERVAL_S
        return True

    def record_broken_report(self, domain, *, now):
        """Record an endpoint's report that its group is still broken."""
        if domain in self._unavailable_domains:
            self._probe_at_by_domain[domain] = now + PROBE_HOLDOFF_S

    def record_broken(self, domain, endpoint_id, *, endpoints, now):
        """Record that an endpoint's group has lost a rank.

        Parameters
        ----------
        domain : FaultDomain
            Fault domain of the endpoint.
        endpoint_id : str
            Endpoint that reported the lost rank.
        endpoints : int
            Number of endpoints of the fault domain.
        now : float
            Time in seconds.

        Returns
        -------
        has_begun : bool
            Whether an outage of the fault domain begins.
        """
        broken = self._broken_ids_by_domain.setdefault(domain, set())
        broken.add(endpoint_id)
        if len(broken) < min(BROKEN_ENDPOINTS_FOR_OUTAGE, endpoints):
            return False
        return self.begin(domain, now=now)

    def begin(self, domain, *, now):
        """Begin an outage of a fault domain; return whether none was in progress."""
        has_begun = domain not in self._unavailable_domains
        self._unavailable_domains.add(domain)
        self._probe_at_by_domain[domain] = now + PROBE_INTERVAL_S
        return has_begun

    def end(self, domain):
        """End the outage of a fault domain; return whether one was in progress."""
        self._broken_ids_by_domain.pop(domain, None)
        self._probe_at_by_domain.pop(domain, None)
        was_out = domain in self._unavailable_domains
        self._unavailable_domains.discard(domain)
        return was_out
