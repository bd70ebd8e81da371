"""Requests in flight at one endpoint, and from when on it may get another."""

from dataclasses import dataclass, field

from magnoliagrade_entry.direct.placement.fault_domains import FaultDomain

__all__ = ["EndpointLoad"]

# Time after which an entry that must not use a cold endpoint looks at it again at the
# earliest, if it is not known how long the endpoint stays cold.
COLD_RECHECK_S = 0.2


@dataclass(slots=True, kw_only=True)
class EndpointLoad:
    """An endpoint and its requests in flight, as far as this entry knows.

    Parameters
    ----------
    endpoint : SiteEndpoint
        The endpoint.
    local_in_flight : int
        Requests that this entry has in flight there.
    in_flight_by_peer : dict of str to int
        Requests that other entries have in flight there; see `set_peer_in_flight`.
    peers_in_flight : int
        Their sum.
    unreported_releases : int
        Slots that this entry has released there since its last report, so that no other
        entry knows that they are free.
    group : str
        Group whose rank the endpoint is; empty if that is not known.
    failures : int
        Failures in a row.
    ejected_until : float
        Time until which the endpoint is ejected.
    pace : float
        Time per pass relative to normal; 2.0 is twice as slow.
    slow_until : float
        Time until which `pace` is valid.
    cold_until : float
        Time until which the endpoint counts as cold.
    cold_interval_s : float or None
        Shortest interval of this entry's requests while the endpoint is cold, in
        seconds; 0 for no limit, None if this entry must not send any.
    sent_at : float
        Time of this entry's last request.
    paused_until : float
        Time until which the endpoint has asked this entry for no further requests.
    limit_per_s : float
        Requests per second that the endpoint takes from all entries together.
    permitted_until : float
        Time until which this entry may send one request to it in spite of its limit.
    """

    endpoint: object
    local_in_flight: int = 0
    in_flight_by_peer: dict = field(default_factory=dict)
    peers_in_flight: int = 0
    unreported_releases: int = 0
    group: str = ""
    failures: int = 0
    ejected_until: float = float("-inf")
    pace: float = 1.0
    slow_until: float = float("-inf")
    cold_until: float = float("-inf")
    cold_interval_s: float | None = 0.0
    sent_at: float = float("-inf")
    paused_until: float = float("-inf")
    limit_per_s: float = float("inf")
    permitted_until: float = float("-inf")

    @property
    def fault_domain(self):
        """`FaultDomain` of the endpoint."""
        return FaultDomain(service=self.endpoint.service, group=self.group)

    def pace_at(self, now):
        """Return the pace that is valid at a time; 1.0 is normal."""
        return self.pace if now < self.slow_until else 1.0

    def available_at(self, now, *, is_coldness_unknown=False):
        """Return from when on the endpoint may get a request of this entry.

        Its free slots are not considered.

        Parameters
        ----------
        now : float
            Time in seconds.
        is_coldness_unknown : bool
            Whether the endpoint counts as cold whatever `cold_until` says.
        """
        available_at = max(self.ejected_until, self.paused_until)
        is_cold = is_coldness_unknown or now < self.cold_until
        if not is_cold or self.cold_interval_s == 0:
            return available_at
        if self.cold_interval_s is None:
            return max(available_at, self.cold_until, now + COLD_RECHECK_S)
        return max(available_at, self.sent_at + self.cold_interval_s)

    def needs_permit(self, now):
        """Return whether the endpoint's limit forbids this entry a request."""
        return self.limit_per_s < float("inf") and now >= self.permitted_until

    def acquire_slot(self, now):
        """Count a request that is about to be sent."""
        self.local_in_flight += 1
        self.unreported_releases = max(0, self.unreported_releases - 1)
        self.sent_at = now
        self.permitted_until = float("-inf")

    def release_slot(self):
        """Count a request that has ended."""
        self.local_in_flight -= 1
        self.unreported_releases += 1

    @property
    def in_flight(self):
        """Requests of all entries in flight at the endpoint."""
        return self.local_in_flight + self.peers_in_flight

    def set_peer_in_flight(self, peer, in_flight):
        """Set another entry's requests in flight; return by how many they grew."""
        added = in_flight - self.in_flight_by_peer.pop(peer, 0)
        if in_flight:
            self.in_flight_by_peer[peer] = in_flight
        self.peers_in_flight += added
        return added
