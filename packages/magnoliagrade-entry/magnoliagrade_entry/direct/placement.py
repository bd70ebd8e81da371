"""Choosing the endpoint that gets a request.

Decisions only: nothing here waits or sends.
"""

from dataclasses import dataclass, field

from magnoliagrade.registry import Registry

from magnoliagrade_entry.direct.outages import OutageTracker

__all__ = ["EndpointLoad", "EndpointTable", "placement_policies"]

# An endpoint that failed this often in a row is left out for a while; failures by
# chance are one in seven (site sheets).
FAILURES_TO_EJECT = 2
# The same for requests that took too long: some take longer than their route allows at
# any endpoint, and an entry sends an endpoint of a plain service few others.
TIMEOUTS_TO_EJECT = 4
# Longer than a lookup's objective, shorter than a stall of a group.
EJECT_BASE_S = 0.5
# The usual length of a crash in the sites' days.
EJECT_MAX_S = 4.0
# A full endpoint takes new work once one of its requests has ended.
FULL_EJECT_S = 0.15
# An endpoint of a group that has lost a rank; a group forms in 0.6 s (site sheets).
BROKEN_GROUP_EJECT_S = 0.4
# An endpoint that is another incarnation than its entry says: the entry is gone after
# three heartbeats of 1.2 s (platform pages, settings of the sites).
REPLACED_EJECT_S = 4.0
# A rank this much slower than the others gets nothing: reading one prompt there takes
# as long as a usual pass of a full rank, and all ranks wait for it.
AVOID_PACE = 2.0
# Requests in flight that weigh as much as the way to another data centre: nearly one,
# so that even load goes first.
REMOTE_PENALTY_REQUESTS = 0.9

placement_policies = Registry(family="placement policy")


@dataclass(slots=True, kw_only=True)
class EndpointLoad:
    """An endpoint and the work that it has as far as this entry knows.

    Parameters
    ----------
    endpoint : SiteEndpoint
        The endpoint.
    own : int
        Requests that this entry has in flight there.
    in_flight_by_peer : dict of str to int
        Requests that other entries have in flight there.
    failures : int
        Failures in a row.
    ejected_until : float
        Time until which it is left out.
    pace : float
        Time that its work takes, as a multiple of the usual.
    slow_until : float
        Time until which that pace holds.
    """

    endpoint: object
    local_in_flight: int = 0
    in_flight_by_peer: dict = field(default_factory=dict)
    failures: int = 0
    ejected_until: float = float("-inf")
    pace: float = 1.0
    slow_until: float = float("-inf")

    def pace_at(self, now):
        """Return the pace that holds at a time."""
        return self.pace if now < self.slow_until else 1.0

    @property
    def in_flight(self):
        """Requests in flight there, of all entries."""
        return self.local_in_flight + sum(self.in_flight_by_peer.values())


class EndpointTable:
    """Work in flight at each endpoint.

    Parameters
    ----------
    data_centre : str
        Data centre of this entry.
    rng : random.Random
        Source of chance.
    policy : str
        Name of the placement policy.
    """

    __slots__ = (
        "_data_centre",
        "_outages",
        "_policy",
        "_rng",
        "by_id",
        "ids_by_service",
    )

    def __init__(self, *, data_centre, rng, policy="least-loaded"):
        self._data_centre = data_centre
        self._rng = rng
        self._policy = placement_policies.get(policy)
        self._outages = OutageTracker()
        self.by_id = {}
        self.ids_by_service = {}

    def update(self, endpoints):
        """Take over the endpoints that may get new requests.

        Parameters
        ----------
        endpoints : iterable of SiteEndpoint
            All of them; places of others stay while they have own work.
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
        """Return the places of a service that may get new requests."""
        return [self.by_id[i] for i in self.ids_by_service.get(service, ())]

    def select_endpoint(self, service, *, now, excluded=()):
        """Return a place with room for one more request, or None.

        Parameters
        ----------
        service : str
            Service.
        now : float
            Time in seconds.
        excluded : collection of str
            Ids of endpoints that were tried.
        """
        loads = self.loads_of(service)
        best_pace = min((load.pace_at(now) for load in loads), default=1.0)
        free = [
            load
            for load in loads
            if load.endpoint.id not in excluded
            and load.ejected_until <= now
            and load.in_flight < _usable_slots(load, load.pace_at(now) / best_pace)
            and (not load.failures or not load.local_in_flight)
        ]
        if not free:
            return None
        return self._policy(free, self._data_centre, self._rng, now)

    def update_slow_ranks(self, notices):
        """Take over the paces of slow ranks.

        Parameters
        ----------
        notices : iterable of SlowRanks
            One for each group that has any.
        """
        pace_and_end = {
            address: (pace, notice.until)
            for notice in notices
            for address, pace in notice.pace_by_address.items()
        }
        usual = (1.0, float("-inf"))
        for load in self.by_id.values():
            address = load.endpoint.address
            load.pace, load.slow_until = pace_and_end.get(address, usual)

    def next_return_time(self, service, *, now):
        """Return when the first place that is left out comes back, or None.

        None means that at least one place of the service is in use.
        """
        times = [load.ejected_until for load in self.loads_of(service)]
        if any(time <= now for time in times):
            return None
        return min(times, default=now + EJECT_MAX_S)

    def update_peer_work(self, peer, rows, *, is_complete):
        """Take over what another entry has in flight.

        Parameters
        ----------
        peer : str
            Name of the entry.
        rows : list of EndpointWork
            Requests by endpoint.
        is_complete : bool
            Whether endpoints that are not listed have none.
        """
        if is_complete:
            self.remove_peer(peer)
        for row in rows:
            load = self.by_id.get(row.endpoint)
            if load is not None and row.in_flight:
                load.in_flight_by_peer[peer] = row.in_flight
            elif load is not None:
                load.in_flight_by_peer.pop(peer, None)

    def remove_peer(self, peer):
        """Count nothing in flight for an entry that is gone."""
        for load in self.by_id.values():
            load.in_flight_by_peer.pop(peer, None)

    def should_reject(self, service, *, now):
        """Return whether requests of a service cannot be served now.

        Notes
        -----
        Now and then one request is let through, to find out whether that still holds.
        """
        if not self._outages.is_unavailable(service):
            return False
        if not self._outages.acquire_probe(service, now=now):
            return True
        for load in self.loads_of(service):
            load.ejected_until = min(load.ejected_until, now)
        return False

    def is_unavailable(self, service):
        """Return whether a service counts as out."""
        return self._outages.is_unavailable(service)

    def record_broken_report(self, service, *, now):
        """Note that an endpoint has said that its group is still broken."""
        self._outages.record_broken_report(service, now=now)

    def record_broken_group(self, load, *, now):
        """Note that an endpoint's group has lost a rank.

        Returns
        -------
        has_begun : bool
            Whether the whole service counts as out from now on.
        """
        service = load.endpoint.service
        load.ejected_until = max(load.ejected_until, now + BROKEN_GROUP_EJECT_S)
        return self._outages.record_broken(
            service,
            load.endpoint.id,
            endpoints=len(self.loads_of(service)),
            now=now,
        )

    def record_outage(self, service, *, now):
        """Note that a service is out; returns whether that is new."""
        return self._outages.begin(service, now=now)

    def record_response(self, service):
        """Note that a service has answered; returns whether it was out."""
        if not self._outages.end(service):
            return False
        for load in self.loads_of(service):
            load.ejected_until = float("-inf")
        return True

    def record_success(self, load):
        """Note that an endpoint answered."""
        load.failures = 0

    def record_failure(self, load, *, now, is_timeout=False):
        """Note that an endpoint failed; returns whether it is left out now.

        Parameters
        ----------
        place : EndpointLoad
            The endpoint.
        now : float
            Time in seconds.
        is_timeout : bool
            Whether the request took too long, which may be its own fault.
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
        """Leave out an endpoint at whose address another incarnation answers."""
        load.ejected_until = now + REPLACED_EJECT_S

    def eject_full(self, load, *, now):
        """Leave out an endpoint that refused a request because it was full."""
        load.ejected_until = max(load.ejected_until, now + FULL_EJECT_S)


@placement_policies.register("least-loaded")
def _least_loaded(loads, data_centre, rng, now):
    """Even load: ranks step together, so the fullest endpoint slows all of them."""

    def cost(load):
        is_remote = load.endpoint.data_centre != data_centre
        work = (load.in_flight + 1) * load.pace_at(now)
        return work + REMOTE_PENALTY_REQUESTS * is_remote, rng.random()

    return min(loads, key=cost)


@placement_policies.register("random")
def _random(loads, _data_centre, rng, _now):
    """Baseline."""
    return rng.choice(loads)


def _usable_slots(load, pace):
    """Return how many requests an endpoint is given.

    A rank's own part of a pass grows with its requests and its pace; beyond this it is
    longer than that of a full rank of the usual pace, and slows the whole group.
    """
    return 0 if pace >= AVOID_PACE else int(load.endpoint.slots / pace)
