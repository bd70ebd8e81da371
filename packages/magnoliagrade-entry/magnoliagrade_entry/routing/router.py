"""Placement of a request: pool, data centre, endpoint."""

import asyncio
import logging
from dataclasses import dataclass

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.observability import log_event
from opentelemetry import trace
from prometheus_client import Counter

from magnoliagrade_entry.routing.data_centres import PeerSelector
from magnoliagrade_entry.routing.endpoints import EndpointHandle
from magnoliagrade_entry.routing.outliers import without_outliers
from magnoliagrade_entry.routing.peers import PeerHandle
from magnoliagrade_entry.routing.policies import routing_policies
from magnoliagrade_entry.routing.pool_queue import PoolQueue
from magnoliagrade_entry.routing.queue_policies import flow_of
from magnoliagrade_entry.routing.usage import RecentUsage

__all__ = ["Placement", "Router"]

TICK_INTERVAL_S = 0.05
# A credit request that is pending for longer moves to an endpoint with capacity.
CREDIT_REQUEST_TIMEOUT_S = 0.1
# Largest number of waiting requests of a pool that one tick may forward to peers.
MAX_FORWARDED_PER_TICK = 8

PLACEMENTS = Counter(
    "magnoliagrade_placements_total",
    "Placements by pool and reason",
    ["pool", "reason"],
)
_log = logging.getLogger(__name__)


@dataclass(slots=True, kw_only=True)
class Placement:
    """Target of one attempt: either an endpoint or a peer is set.

    Parameters
    ----------
    endpoint : EndpointHandle, optional
        Endpoint in the local data centre.
    peer : PeerHandle, optional
        Peer entry in a remote data centre.
    reason : str
        Routing policy that chose the endpoint, or `remote`; for logs and metrics.
    """

    endpoint: EndpointHandle = None
    peer: PeerHandle = None
    reason: str = ""

    @property
    def name(self):
        """Return the name of the endpoint or peer."""
        return self.endpoint.endpoint.name if self.endpoint else self.peer.name

    @property
    def incarnation(self):
        """Return the incarnation that the agent or peer had when it was chosen."""
        if self.endpoint:
            return self.endpoint.endpoint.incarnation
        return self.peer.link.peer_incarnation

    @property
    def data_address(self):
        """Return the `host:port` to which the attempt is sent."""
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
        Endpoints in the local data centre.
    peers : PeerDirectory
        Peer entries.
    rng : random.Random
        Random number generator.
    clock : Clock
        Source of time.
    data_centre : str
        Name of the local data centre.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_endpoints",
        "_peer_selector",
        "_rng",
        "_usage",
        "queue_by_pool",
    )

    def __init__(self, *, configuration, endpoints, peers, rng, clock, data_centre):
        self._configuration = configuration
        self._endpoints = endpoints
        self._rng = rng
        self._clock = clock
        self._peer_selector = PeerSelector(
            peers=peers, clock=clock, rng=rng, data_centre=data_centre
        )
        self._usage = RecentUsage(clock=clock)
        self.queue_by_pool = {}
        endpoints.on_removed = self._on_endpoint_removed

    async def place(self, request, *, excluded=frozenset()):
        """Return the placement of a request's next attempt; wait for credit if needed.

        Parameters
        ----------
        request : Request
            The request.
        excluded : set of str
            Names of endpoints and peers that have been tried.

        Raises
        ------
        MagnoliagradeError
            `NO_ROUTE` if no pool serves the request, `TOO_LARGE` if its cost
            exceeds the pool's `full_limit`, `NOT_RUN` if no endpoint of the pool
            accepts requests, `DEADLINE_NOT_RUN` or `OVERLOADED` if the wait for
            credit would be too long.
        """
        pool = self._pool_of(request)
        if request.cost > pool.full_limit:
            detail = (
                f"cost {request.cost} exceeds the full_limit {pool.full_limit} of "
                f"pool {pool.name!r}"
            )
            raise MagnoliagradeError(ErrorKind.TOO_LARGE, detail)
        queue = self._queue_of(pool)
        excluded = frozenset(excluded)
        candidates = self._candidates(pool, excluded)
        peer = self._peer_selector.choose(
            request,
            pool,
            excluded=excluded,
            local_wait_s=self._local_wait_s(request, pool, queue, candidates),
        )
        if peer is not None:
            return self._record_placement(pool, Placement(peer=peer, reason="remote"))
        if not candidates:
            detail = (
                f"pool {pool.name!r} has no endpoint that accepts requests "
                f"(number of endpoints and peers tried before: {len(excluded)})"
            )
            raise MagnoliagradeError(ErrorKind.NOT_RUN, detail, retry_after=1)
        weight = self._weight_of(request.organisation)
        flow = flow_of(request, pool)
        self._usage.note(flow, request.cost, weight)
        ticket = queue.enqueue(
            request,
            flow=flow,
            weight=weight,
            excluded=excluded,
            is_surplus=self._usage.is_surplus(flow),
        )
        self._bind(ticket, pool, queue, candidates)
        try:
            placement = await ticket.future
            _trace_wait(ticket, self._clock.monotonic())
            return self._record_placement(pool, placement)
        except asyncio.CancelledError:
            self._return_unused_credit(ticket)
            raise
        finally:
            queue.remove(ticket, is_served=False)

    def on_grant(self, handle, amount, *, is_surplus=False):
        """Place a waiting request with credit that an agent granted.

        Parameters
        ----------
        handle : EndpointHandle
            Endpoint whose agent granted the credit.
        amount : float
            Granted cost, equal to that of one credit request.
        is_surplus : bool
            Whether the credit was requested above an organisation's share.
        """
        requester = handle.pop_credit_request(amount, is_surplus=is_surplus)
        if requester is None:
            return
        queue = self.queue_by_pool[requester.pool]
        queue.unbind(requester)
        pool = self._configuration.in_force.pool_by_name.get(requester.pool)
        if pool is None or handle not in self._endpoints.candidates(pool):
            handle.return_credit(amount)
            return
        chosen = queue.select_for_credit(handle, amount, requester=requester)
        handle.return_credit(amount - chosen.request.cost)
        queue.remove(chosen, is_served=True)
        chosen.settle(Placement(endpoint=handle, reason=pool.routing))
        self._bind_unbound(pool, queue)

    def on_load(self, handle):
        """Move credit requests from an endpoint without free capacity to others.

        Parameters
        ----------
        handle : EndpointHandle
            Endpoint whose agent has reported its load.
        """
        for ticket in handle.pending_tickets():
            if handle.has_capacity_for(ticket):
                continue
            pool = self._configuration.in_force.pool_by_name.get(ticket.pool)
            if pool is None:
                continue
            others = self._candidates(pool, ticket.excluded)
            others = [h for h in others if h is not handle]
            if any(h.has_capacity_for(ticket) for h in others):
                queue = self.queue_by_pool[ticket.pool]
                queue.unbind(ticket)
                self._bind(ticket, pool, queue, others)

    def tick(self):
        """Reject expired requests; rebind or forward those that wait too long."""
        for pool_name, queue in list(self.queue_by_pool.items()):
            queue.estimate.tick(has_waiting=len(queue) > 0)
            if not len(queue):
                continue
            queue.reject_expired()
            pool = self._configuration.in_force.pool_by_name.get(pool_name)
            if pool is None:
                continue
            self._unbind_stalled(pool)
            self._forward_to_peers(pool, queue)
            self._bind_unbound(pool, queue)

    def _pool_of(self, request):
        pool = self._configuration.in_force.pool_of(request.labels)
        if pool is None:
            detail = f"no route for application {request.application!r}"
            raise MagnoliagradeError(ErrorKind.NO_ROUTE, detail)
        return pool

    def _queue_of(self, pool):
        queue = self.queue_by_pool.get(pool.name)
        if queue is None:
            queue = PoolQueue(pool=pool.name, clock=self._clock)
            self.queue_by_pool[pool.name] = queue
        return queue

    def _candidates(self, pool, excluded):
        handles = self._endpoints.candidates(pool)
        kept = without_outliers(handles, on_ejected=_log_ejection)
        self._queue_of(pool).estimate.update_token_time(kept)
        return [h for h in kept if h.endpoint.name not in excluded]

    def _weight_of(self, organisation):
        found = self._configuration.in_force.organisation_by_name.get(organisation)
        return found.share if found else 1.0

    def _local_wait_s(self, request, pool, queue, candidates):
        if not candidates:
            return float("inf")
        free = sum(h.free_credit for h in candidates)
        if free - queue.cost >= request.cost:
            return 0.0
        weight = self._weight_of(request.organisation)
        return queue.flow_wait_s(flow_of(request, pool), weight, request.cost)

    def _bind(self, ticket, pool, queue, candidates):
        available = [h for h in candidates if h.can_request_credit(ticket)]
        if not available:
            return
        if ticket.is_surplus:
            available = [
                h for h in available if h.has_capacity_for(ticket)
            ] or available
        choose = routing_policies.get(pool.routing)
        handle = choose(
            request=ticket.request, candidates=available, pool=pool, rng=self._rng
        )
        queue.bind(ticket, handle)

    def _bind_unbound(self, pool, queue):
        while True:
            bound = 0
            for ticket in queue.next_unbound():
                candidates = self._candidates(pool, ticket.excluded)
                self._bind(ticket, pool, queue, candidates)
                bound += ticket.requested_from is not None
            if not bound:
                return

    def _unbind_stalled(self, pool):
        now = self._clock.monotonic()
        eligible = self._candidates(pool, frozenset())
        for handle in list(self._endpoints.by_name.values()):
            for ticket in handle.pending_tickets():
                if ticket.pool != pool.name:
                    continue
                is_overdue = now - ticket.requested_at > CREDIT_REQUEST_TIMEOUT_S
                has_better = any(
                    h.has_capacity_for(ticket) for h in eligible if h is not handle
                )
                is_too_large = ticket.request.cost > handle.limit
                is_unservable = is_too_large or handle not in eligible
                if is_unservable or (is_overdue and has_better):
                    self.queue_by_pool[pool.name].unbind(ticket)

    def _forward_to_peers(self, pool, queue):
        for ticket in queue.first_waiting(MAX_FORWARDED_PER_TICK):
            peer = self._peer_selector.choose(
                ticket.request,
                pool,
                excluded=ticket.excluded,
                local_wait_s=self._queued_wait_s(ticket, pool, queue),
            )
            if peer is None:
                continue
            queue.remove(ticket, is_served=False)
            ticket.settle(Placement(peer=peer, reason="remote"))

    def _queued_wait_s(self, ticket, pool, queue):
        """Return the estimated local wait in seconds of a request in the queue.

        Notes
        -----
        At least the time that the request has waited: if that exceeds the
        estimate, the estimate is too low. A flow above its share, for example, is
        overtaken by later requests of other flows.
        """
        if not self._candidates(pool, ticket.excluded):
            return float("inf")
        waited_s = self._clock.monotonic() - ticket.arrived_at
        return max(queue.wait_s, waited_s)

    @staticmethod
    def _return_unused_credit(ticket):
        future = ticket.future
        if future.cancelled() or not future.done() or future.exception():
            return
        placement = future.result()
        if placement.endpoint is not None:
            placement.endpoint.return_credit(ticket.request.cost)

    def _record_placement(self, pool, placement):
        PLACEMENTS.labels(pool.name, placement.reason).inc()
        return placement

    def _on_endpoint_removed(self, handle):
        for ticket in handle.pending_tickets():
            self.queue_by_pool[ticket.pool].unbind(ticket)


def _trace_wait(ticket, now):
    span = trace.get_current_span()
    span.set_attribute("magnoliagrade.queue_s", now - ticket.arrived_at)
    span.set_attribute("magnoliagrade.is_surplus", ticket.is_surplus)


def _log_ejection(handle, reason):
    health = handle.health
    log_event(
        _log,
        "endpoint.ejected",
        endpoint=handle.endpoint.name,
        reason=reason,
        token_s=health.token_s,
        failures=health.failures,
    )
