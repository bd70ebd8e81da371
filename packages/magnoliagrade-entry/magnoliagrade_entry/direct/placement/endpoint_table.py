"""Selection of the endpoint that receives a request.

Nothing in this module waits, sends or receives.
"""

from magnoliagrade_entry.direct.placement.endpoint_load import EndpointLoad
from magnoliagrade_entry.direct.placement.permits import MIN_RATE_PER_S
from magnoliagrade_entry.direct.placement.policies import (
    PlacementContext,
    PlacementRate,
    placement_policies,
)
from magnoliagrade_entry.direct.placement.service_outages import ServiceOutages
from magnoliagrade_entry.direct.scope import Scope

__all__ = ["EJECT_MAX_S", "EndpointTable"]

# Failures in a row after which an endpoint is ejected; more than one, because one
# request in seven fails at random.
FAILURES_TO_EJECT = 2
# Time-outs in a row after which an endpoint is ejected; more than for other failures,
# because a request may exceed its route's time limit at any endpoint, and an entry
# sends few other requests to an endpoint of a plain service.
TIMEOUTS_TO_EJECT = 4
# First ejection time; longer than the latency objective of a lookup (an idempotent
# plain request) and shorter than a stall of a group.
EJECT_BASE_S = 0.5
# Longest ejection time; the usual duration of a crash.
EJECT_MAX_S = 4.0
# Ejection time of a full endpoint, which accepts requests once one of its own ends.
FULL_EJECT_S = 0.15
# Ejection time of an endpoint that is another incarnation than the registered one: the
# outdated registration expires after three heartbeats of 1.2 s.
REPLACED_EJECT_S = 4.0
# Ranks at this multiple of the best pace get no requests: reading one prompt takes such
# a rank as long as a normal pass of a full rank, and all ranks wait for it.
AVOID_PACE = 2.0


class EndpointTable:
    """Requests in flight at each endpoint, and the ejections of endpoints.

    Parameters
    ----------
    data_centre : str
        Data centre of this entry.
    rng : random.Random
        Random number generator.
    policy : str
        Name of the placement policy.
    is_coldness_unknown : callable
        Returns whether every endpoint has to count as cold.
    report_interval_s : callable
        Returns the interval, in seconds, at which the entries of a `Scope` report their
        work.
    count_entries : callable
        Returns the number of entries that use the endpoints.

    Attributes
    ----------
    by_id : dict of str to EndpointLoad
        Loads, also of endpoints that get no new requests, by the endpoint's id.
    outages : ServiceOutages
        Outages of services and of the groups that serve them.
    """

    __slots__ = (
        "_count_entries",
        "_data_centre",
        "_is_coldness_unknown",
        "_peer_rates_by_service",
        "_policy",
        "_report_interval_s",
        "_rng",
        "by_id",
        "ids_by_service",
        "outages",
    )

    def __init__(
        self,
        *,
        data_centre,
        rng,
        policy="claimed",
        is_coldness_unknown=lambda: False,
        report_interval_s=lambda _scope: 0.0,
        count_entries=lambda: 1,
    ):
        self._count_entries = count_entries
        self._data_centre = data_centre
        self._is_coldness_unknown = is_coldness_unknown
        self._rng = rng
        self._policy = placement_policies.get(policy)
        self._peer_rates_by_service = {}
        self._report_interval_s = report_interval_s
        self.by_id = {}
        self.ids_by_service = {}
        self.outages = ServiceOutages(loads_of=self.loads_of)

    def update(self, endpoints):
        """Replace the set of endpoints that may receive new requests.

        Parameters
        ----------
        endpoints : iterable of SiteEndpoint
            All of them; the loads of others are kept while this entry has requests in
            flight there.
        """
        self.ids_by_service = {}
        for endpoint in endpoints:
            load = self.by_id.get(endpoint.id)
            if load is None:
                load = self.by_id[endpoint.id] = EndpointLoad(endpoint=endpoint)
            load.endpoint = endpoint
            self.ids_by_service.setdefault(endpoint.service, []).append(endpoint.id)
        current = {i for ids in self.ids_by_service.values() for i in ids}
        for endpoint_id in [i for i in self.by_id if i not in current]:
            if not self.by_id[endpoint_id].local_in_flight:
                del self.by_id[endpoint_id]

    def loads_of(self, service):
        """Return the loads of a service's endpoints that may receive new requests."""
        return [self.by_id[i] for i in self.ids_by_service.get(service, ())]

    def select_endpoint(self, service, *, now, excluded=()):
        """Return the load of the endpoint selected for a request, or None.

        None means that no endpoint may receive another request now.

        Parameters
        ----------
        service : str
            Service.
        now : float
            Time in seconds.
        excluded : collection of str
            Ids of endpoints that must not be selected.
        """
        free = [
            load
            for load in self._free_loads(service, now, excluded)
            if not load.needs_permit(now)
        ]
        if not free:
            return None
        return self._policy(free, self.context_of(service, now))

    def has_free_slot(self, service, *, now, excluded=()):
        """Return whether an endpoint may get a request, by what this entry knows."""
        return any(
            not load.needs_permit(now)
            for load in self._free_loads(service, now, excluded)
        )

    def select_limited_endpoint(self, service, *, now, excluded, rival):
        """Return the load that would be selected if it did not need a permit, or None.

        Parameters
        ----------
        service : str
            Service.
        now : float
            Time in seconds.
        excluded : collection of str
            Ids of endpoints that must not be selected.
        rival : EndpointLoad or None
            Load that is selected without a permit.
        """
        limited = [
            load
            for load in self._free_loads(service, now, excluded)
            if load.needs_permit(now)
        ]
        if not limited:
            return None
        context = self.context_of(service, now)
        best = self._policy(limited, context)
        if best is None or rival is None:
            return best
        selected = min(best, rival, key=context.cost)
        return best if selected is best else None

    def update_coldness(self, cold_until, cold_interval_s):
        """Update until when each endpoint is cold, and this entry's rate meanwhile.

        Parameters
        ----------
        cold_until : callable
            Returns the time until which the endpoint of an id counts as cold.
        cold_interval_s : callable
            Returns `EndpointLoad.cold_interval_s` for an endpoint.
        """
        for load in (
            self.by_id[i] for ids in self.ids_by_service.values() for i in ids
        ):
            load.cold_until = cold_until(load.endpoint.id)
            load.cold_interval_s = cold_interval_s(load.endpoint)

    def update_limits(self, limit_of):
        """Update the limits of all endpoints.

        Parameters
        ----------
        limit_of : callable
            Returns the requests per second that the endpoint of an id takes.
        """
        for load in self.by_id.values():
            load.limit_per_s = limit_of(load.endpoint.id)

    def total_limit_per_s(self, service):
        """Return the permits per second of a service; infinite without a limit."""
        loads = self.loads_of(service)
        limits = [max(MIN_RATE_PER_S, load.limit_per_s) for load in loads]
        return sum(limits) if limits else float("inf")

    def update_slow_ranks(self, notices):
        """Apply the paces of slow ranks; all other endpoints get the normal pace.

        Parameters
        ----------
        notices : iterable of SlowRanks
            One for each group with slow ranks.
        """
        pace_and_end = {
            address: (pace, notice.until)
            for notice in notices
            for address, pace in notice.pace_by_address.items()
        }
        normal = (1.0, float("-inf"))
        for load in self.by_id.values():
            address = load.endpoint.address
            load.pace, load.slow_until = pace_and_end.get(address, normal)

    def update_groups(self, groups):
        """Apply the groups that the endpoints are ranks of.

        Parameters
        ----------
        groups : iterable of RankGroup
            The groups that are known.
        """
        name_by_address = {
            address: group.name for group in groups for address in group.addresses
        }
        for load in self.by_id.values():
            load.group = name_by_address.get(load.endpoint.address, "")

    def record_report(self):
        """Record that the entries of this data centre know of all released slots."""
        for load in self.by_id.values():
            load.unreported_releases = 0

    def _record_placements(self, load, peer_scope, placements, now):
        is_local = load.endpoint.data_centre == self._data_centre
        scope = Scope.LOCAL if is_local else Scope.REMOTE
        rates = self._peer_rates_by_service.setdefault(load.endpoint.service, {})
        rate = rates.setdefault((scope, peer_scope), PlacementRate())
        rate.record(placements, now=now)

    def context_of(self, service, now):
        """Return the `PlacementContext` of a service at a time in seconds."""
        loads = self.loads_of(service)
        unseen_by_scope = dict.fromkeys(Scope, 0.0)
        rates = self._peer_rates_by_service.get(service, {})
        for (scope, peer_scope), rate in rates.items():
            interval_s = self._report_interval_s(peer_scope)
            unseen_by_scope[scope] += rate.per_s(now=now) * interval_s
        return PlacementContext(
            data_centre=self._data_centre,
            rng=self._rng,
            now=now,
            unseen_by_scope=unseen_by_scope,
            own_in_flight=sum(load.local_in_flight for load in loads),
            fair_share=sum(load.endpoint.slots for load in loads)
            / self._count_entries(),
        )

    def _free_loads(self, service, now, excluded):
        """Return the loads with a free slot that may get a request but for a limit."""
        loads = self.outages.without_unavailable(service, self.loads_of(service))
        best_pace = min((load.pace_at(now) for load in loads), default=1.0)
        is_unknown = self._is_coldness_unknown()
        return [
            load
            for load in loads
            if load.endpoint.id not in excluded
            and load.available_at(now, is_coldness_unknown=is_unknown) <= now
            and load.in_flight < _usable_slots(load, load.pace_at(now) / best_pace)
            and (not load.failures or not load.local_in_flight)
        ]

    def next_return_time(self, service, *, now):
        """Return when the first endpoint of a service is available again, or None.

        None means that at least one of its endpoints may get a request once it has a
        free slot.
        """
        is_unknown = self._is_coldness_unknown()
        times = [
            load.available_at(now, is_coldness_unknown=is_unknown)
            for load in self.outages.without_unavailable(
                service, self.loads_of(service)
            )
        ]
        if any(time <= now for time in times):
            return None
        return min(times, default=now + EJECT_MAX_S)

    def update_peer_work(self, peer, rows, *, is_complete, now, scope=Scope.LOCAL):
        """Apply another entry's report of its requests in flight.

        Parameters
        ----------
        peer : str
            Name of the entry.
        rows : list of EndpointWork
            Number of requests in flight by endpoint.
        is_complete : bool
            Whether the entry has no requests at endpoints that are not listed.
        now : float
            Time in seconds.
        scope : Scope
            Whether that entry is in this entry's data centre.
        """
        if is_complete:
            listed = {row.endpoint for row in rows}
            for endpoint_id, load in self.by_id.items():
                if endpoint_id not in listed:
                    load.set_peer_in_flight(peer, 0)
        for row in rows:
            load = self.by_id.get(row.endpoint)
            if load is None:
                continue
            added = load.set_peer_in_flight(peer, row.in_flight)
            if added > 0:
                self._record_placements(load, scope, added, now)

    def remove_peer(self, peer):
        """Discard the requests in flight of an entry that is gone."""
        for load in self.by_id.values():
            load.set_peer_in_flight(peer, 0)

    def record_success(self, load):
        """Reset the count of failures of an endpoint that responded."""
        load.failures = 0

    def record_failure(self, load, *, now, is_timeout=False):
        """Record a failure of an endpoint; return whether it is ejected.

        Parameters
        ----------
        load : EndpointLoad
            Load of the endpoint.
        now : float
            Time in seconds.
        is_timeout : bool
            Whether the request timed out, which may not be the endpoint's fault.
        """
        load.failures += 1
        needed = TIMEOUTS_TO_EJECT if is_timeout else FAILURES_TO_EJECT
        if load.failures < needed:
            return False
        doublings = load.failures - needed
        pause = min(EJECT_MAX_S, EJECT_BASE_S * 2**doublings)
        load.ejected_until = now + pause * self._rng.uniform(0.8, 1.2)
        return True

    def eject_replaced(self, load, *, now):
        """Eject an endpoint at whose address another incarnation responds."""
        load.ejected_until = now + REPLACED_EJECT_S

    def eject_full(self, load, *, now):
        """Eject an endpoint that rejected a request because it was full."""
        load.ejected_until = max(load.ejected_until, now + FULL_EJECT_S)


def _usable_slots(load, pace):
    """Return how many requests an endpoint may have in flight.

    A rank's share of a pass grows with its requests and its pace. With more requests
    than this it exceeds that of a full rank at normal pace and slows the entire group.
    """
    return 0 if pace >= AVOID_PACE else int(load.endpoint.slots / pace)
