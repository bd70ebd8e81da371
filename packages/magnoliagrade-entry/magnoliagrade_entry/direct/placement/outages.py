"""Outages of services, and the times at which a request may probe their recovery.

Load pattern: a rank of an expert-parallel group crashes or is cut off, and its service
sends no responses for a few seconds.
"""

__all__ = ["OutageTracker"]

# Interval at which one request is let through to probe an unavailable service while no
# status reports arrive. A group forms in 0.6 s.
PROBE_INTERVAL_S = 0.4
# Time after a status report during which no request is used as a probe: two intervals
# between the reports that `watch_recovery` requests, and one for a lost report.
PROBE_HOLDOFF_S = 1.2
# Endpoints in a row that report a lost rank before their service counts as unavailable:
# a single rejection may come from one group of several that serve the same service.
BROKEN_ENDPOINTS_FOR_OUTAGE = 2


class OutageTracker:
    """Tracks the services whose group has lost a rank.

    Examples
    --------
    >>> tracker = OutageTracker()
    >>> tracker.record_broken("s", "i-1", endpoints=1, now=5.0)
    True
    >>> tracker.is_unavailable("s")
    True
    >>> tracker.end("s")
    True
    """

    __slots__ = (
        "_broken_ids_by_service",
        "_probe_at_by_service",
        "_unavailable_services",
    )

    def __init__(self):
        self._unavailable_services = set()
        self._broken_ids_by_service = {}
        self._probe_at_by_service = {}

    def is_unavailable(self, service):
        """Return whether a service counts as unavailable."""
        return service in self._unavailable_services

    def acquire_probe(self, service, *, now):
        """Return whether a request may probe a service now, and count it if so."""
        if self._probe_at_by_service.get(service, now) > now:
            return False
        self._probe_at_by_service[service] = now + PROBE_INTERVAL_S
        return True

    def record_broken_report(self, service, *, now):
        """Record an endpoint's report that its group is still broken."""
        if service in self._unavailable_services:
            self._probe_at_by_service[service] = now + PROBE_HOLDOFF_S

    def record_broken(self, service, endpoint_id, *, endpoints, now):
        """Record that an endpoint's group has lost a rank.

        Parameters
        ----------
        service, endpoint_id : str
            Service, and the endpoint that reported the lost rank.
        endpoints : int
            Number of endpoints of the service.
        now : float
            Time in seconds.

        Returns
        -------
        has_begun : bool
            Whether an outage of the service begins.

        Notes
        -----
        A service may have several groups: it counts as unavailable once several
        endpoints in a row have reported a lost rank and none has responded.
        """
        broken = self._broken_ids_by_service.setdefault(service, set())
        broken.add(endpoint_id)
        if len(broken) < min(BROKEN_ENDPOINTS_FOR_OUTAGE, endpoints):
            return False
        return self.begin(service, now=now)

    def begin(self, service, *, now):
        """Begin an outage of a service; return whether none was in progress."""
        has_begun = service not in self._unavailable_services
        self._unavailable_services.add(service)
        self._probe_at_by_service[service] = now + PROBE_INTERVAL_S
        return has_begun

    def end(self, service):
        """End the outage of a service; return whether one was in progress."""
        self._broken_ids_by_service.pop(service, None)
        self._probe_at_by_service.pop(service, None)
        was_out = service in self._unavailable_services
        self._unavailable_services.discard(service)
        return was_out
