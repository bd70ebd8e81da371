"""Placement of a request: pool, data centre, endpoint."""

from dataclasses import dataclass

from magnoliagrade.errors import ErrorKind, MagnoliagradeError

from magnoliagrade_entry.routing.endpoints import EndpointContact
from magnoliagrade_entry.routing.peers import PeerContact
from magnoliagrade_entry.routing.policies import routing_policies

__all__ = ["Placement", "Router"]


@dataclass(slots=True, kw_only=True)
class Placement:
    """Where one attempt goes; exactly one of the contacts is set.

    Parameters
    ----------
    endpoint : EndpointContact, optional
        Endpoint of this data centre.
    peer : PeerContact, optional
        Peer entry of another data centre.
    reason : str
        Why, for logs and traces.
    """

    endpoint: EndpointContact = None
    peer: PeerContact = None
    reason: str = ""

    @property
    def name(self):
        """Return the name of the endpoint or peer."""
        return self.endpoint.endpoint.name if self.endpoint else self.peer.name

    @property
    def incarnation(self):
        """Return the incarnation of the agent or peer that it was chosen as."""
        if self.endpoint:
            return self.endpoint.endpoint.incarnation
        return self.peer.link.peer_incarnation

    @property
    def data_address(self):
        """Return the `host:port` that the attempt is sent to."""
        if self.endpoint:
            return self.endpoint.endpoint.data_address
        return self.peer.data_address


class Router:
    """Chooses the placement of each attempt.

    Parameters
    ----------
    configuration : ConfigurationState
        Configuration in force.
    endpoints : EndpointDirectory
        Endpoints of this data centre.
    peers : PeerDirectory
        Peer entries.
    rng : random.Random
        Source of randomness.
    """

    __slots__ = ("_configuration", "_endpoints", "_peers", "_rng")

    def __init__(self, *, configuration, endpoints, peers, rng):
        self._configuration = configuration
        self._endpoints = endpoints
        self._peers = peers
        self._rng = rng

    async def place(self, request, *, excluded=frozenset()):
        """Return where the next attempt of a request goes.

        Parameters
        ----------
        request : Request
            The request.
        excluded : set of str
            Names of endpoints and peers that were tried.

        Raises
        ------
        MagnoliagradeError
            `NO_ROUTE` if no pool serves the request, `NOT_RUN` if nothing in its
            pool may take it now.
        """
        pool = self._configuration.in_force.pool_of(request.labels)
        if pool is None:
            detail = f"no route for application {request.application!r}"
            raise MagnoliagradeError(ErrorKind.NO_ROUTE, detail)
        local = self._endpoints.candidates(pool)
        local = [c for c in local if c.endpoint.name not in excluded]
        if local:
            choose = routing_policies.get(pool.routing)
            contact = choose(
                request=request, candidates=local, pool=pool, rng=self._rng
            )
            return Placement(endpoint=contact, reason=pool.routing)
        if not request.forwarded_from:
            peers = self._peers.candidates(pool)
            peers = [p for p in peers if p.name not in excluded]
            if peers:
                return Placement(peer=self._rng.choice(peers), reason="no-local")
        detail = f"pool {pool.name!r} has no endpoint that takes work"
        raise MagnoliagradeError(ErrorKind.NOT_RUN, detail, retry_after=1)
