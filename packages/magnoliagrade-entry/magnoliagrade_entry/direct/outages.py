"""Which services cannot serve now, and when a request may find out that one is back.

Load pattern: a rank of an expert-parallel group crashes or is cut off, and its service
answers nothing for some seconds.
"""

__all__ = ["OutageTracker"]

# One request at a time finds out whether a service is back while no report says so: a
# group forms in 0.6 s (site sheets).
PROBE_INTERVAL_S = 0.4
# While reports arrive, requests are not spent on finding out: twice the interval of
# reports and a lost one.
PROBE_HOLDOFF_S = 1.2
# One refusal may be of one group among several.
BROKEN_ENDPOINTS_FOR_OUTAGE = 2


class OutageTracker:
    """Services whose group has lost a rank.

    Examples
    --------
    >>> book = OutageTracker()
    >>> book.record_broken("s", "i-1", endpoints=1, now=5.0)
    True
    >>> book.is_unavailable("s")
    True
    >>> book.end("s")
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
        """Return whether a service counts as out."""
        return service in self._unavailable_services

    def acquire_probe(self, service, *, now):
        """Return whether a request may find out now whether a service is back."""
        if self._probe_at_by_service.get(service, now) > now:
            return False
        self._probe_at_by_service[service] = now + PROBE_INTERVAL_S
        return True

    def record_broken_report(self, service, *, now):
        """Note that an endpoint has said that its group is still broken."""
        if service in self._unavailable_services:
            self._probe_at_by_service[service] = now + PROBE_HOLDOFF_S

    def record_broken(self, service, endpoint_id, *, endpoints, now):
        """Note that an endpoint's group has lost a rank.

        Parameters
        ----------
        service, endpoint_id : str
            Service and the endpoint that said so.
        endpoints : int
            Endpoints of the service.
        now : float
            Time in seconds.

        Returns
        -------
        has_begun : bool
            Whether the whole service counts as out from now on.

        Notes
        -----
        A service may have several groups: it counts as out once several endpoints in
        a row have said so and none has answered.
        """
        broken = self._broken_ids_by_service.setdefault(service, set())
        broken.add(endpoint_id)
        if len(broken) < min(BROKEN_ENDPOINTS_FOR_OUTAGE, endpoints):
            return False
        return self.begin(service, now=now)

    def begin(self, service, *, now):
        """Note that a service is out; returns whether that is new."""
        has_begun = service not in self._unavailable_services
        self._unavailable_services.add(service)
        self._probe_at_by_service[service] = now + PROBE_INTERVAL_S
        return has_begun

    def end(self, service):
        """Note that a service answers; returns whether it was out."""
        self._broken_ids_by_service.pop(service, None)
        self._probe_at_by_service.pop(service, None)
        was_out = service in self._unavailable_services
        self._unavailable_services.discard(service)
        return was_out
