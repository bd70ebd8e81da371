"""Outages of services and of the groups that serve them.

Load pattern: one of several groups of a service loses a rank. Its endpoints respond to
nothing for seconds, while the other groups have free slots.
"""

from magnoliagrade_entry.direct.placement.fault_domains import FaultDomain
from magnoliagrade_entry.direct.placement.outages import OutageTracker

__all__ = ["BROKEN_GROUP_EJECT_S", "ServiceOutages"]

# Ejection time of an endpoint whose group has lost a rank; a group forms in 0.6 s.
BROKEN_GROUP_EJECT_S = 0.4


class ServiceOutages:
    """Decides which endpoints are out together, and which requests are rejected for it.

    Parameters
    ----------
    loads_of : callable
        Returns the loads of a service's endpoints that may receive new requests.
    """

    __slots__ = ("_loads_of", "_tracker")

    def __init__(self, *, loads_of):
        self._loads_of = loads_of
        self._tracker = OutageTracker()

    def domains_of(self, service):
        """Return the fault domains of a service's endpoints, in a fixed order."""
        domains = dict.fromkeys(load.fault_domain for load in self._loads_of(service))
        return list(domains) or [FaultDomain(service=service)]

    def loads_in(self, domain):
        """Return the loads of the endpoints of a fault domain."""
        return [
            load
            for load in self._loads_of(domain.service)
            if load.fault_domain == domain
        ]

    def has_others(self, domain):
        """Return whether the service has endpoints in another fault domain."""
        return any(
            load.fault_domain != domain for load in self._loads_of(domain.service)
        )

    def is_domain_unavailable(self, domain):
        """Return whether a fault domain counts as unavailable."""
        return self._tracker.is_unavailable(domain)

    def is_unavailable(self, service):
        """Return whether all fault domains of a service count as unavailable."""
        if not self._tracker.has_outage:
            return False
        return all(map(self._tracker.is_unavailable, self.domains_of(service)))

    def without_unavailable(self, service, loads):
        """Return the loads whose fault domain is available.

        All of them are returned if the service is unavailable: a request that was let
        through as a probe may be sent to any.
        """
        if not self._tracker.has_outage or self.is_unavailable(service):
            return loads
        return [
            load
            for load in loads
            if not self._tracker.is_unavailable(load.fault_domain)
        ]

    def should_reject(self, service, *, now):
        """Return whether a request must be rejected because its service is unavailable.

        Notes
        -----
        During an outage, one request at intervals is let through as a probe.
        """
        if not self.is_unavailable(service):
            return False
        domains = self.domains_of(service)
        probed = [d for d in domains if self._tracker.acquire_probe(d, now=now)]
        for domain in probed:
            for load in self.loads_in(domain):
                load.ejected_until = min(load.ejected_until, now)
        return not probed

    def record_broken_report(self, domain, *, now):
        """Record an endpoint's report that its group is still broken."""
        self._tracker.record_broken_report(domain, now=now)

    def record_broken_group(self, load, *, now):
        """Eject an endpoint whose group has lost a rank.

        Returns
        -------
        has_begun : bool
            Whether an outage of its fault domain begins.
        """
        domain = load.fault_domain
        load.ejected_until = max(load.ejected_until, now + BROKEN_GROUP_EJECT_S)
        return self._tracker.record_broken(
            domain, load.endpoint.id, endpoints=len(self.loads_in(domain)), now=now
        )

    def begin(self, domain, *, now):
        """Begin an outage of a fault domain; return whether none was in progress."""
        return self._tracker.begin(domain, now=now)

    def end(self, domain):
        """End the outage of a fault domain; return whether one was in progress."""
        if not self._tracker.end(domain):
            return False
        for load in self.loads_in(domain):
            load.ejected_until = float("-inf")
        return True
