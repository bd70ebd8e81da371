"""Placement of a request: pool, data centre, endpoint."""

import asyncio
import logging
from dataclasses import dataclass

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.observability import log_event
from opentelemetry import trace
from prometheus_client import Counter

from magnoliagrade_entry.routing.data_centres import RemoteOffers
from magnoliagrade_entry.routing.endpoints import EndpointHandle
from magnoliagrade_entry.routing.outliers import without_outliers
from magnoliagrade_entry.routing.peers import PeerHandle
from magnoliagrade_entry.routing.policies import routing_policies
from magnoliagrade_entry.routing.pool_queue import PoolQueue
from magnoliagrade_entry.routing.queue_policies import flow_of
from magnoliagrade_entry.routing.usage import RecentUsage

__all__ = ["Placement", "Router"]

TICK_INTERVAL_S = 0.05
PATIENCE_S = 0.1
HEADS_SPILLED = 8

PLACEMENTS = Counter(
    "magnoliagrade_placements_total",
    "Placements by pool and reason",
    ["pool", "reason"],
)
_log = logging.getLogger(__name__)


@dataclass(slots=True, kw_only=True)
class Placement:
    """Where one attempt goes; exactly one of the contacts is set.

    Parameters
    ----------
    endpoint : EndpointHandle, optional
        Endpoint of this data centre.
    peer : PeerHandle, optional
        Peer entry of another data centre.
    reason : str
        Why, for logs and traces.
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
    clock : Clock
        Source of time.
    data_centre : str
        This data centre.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_endpoints",
        "_offers",
        "_rng",
        "_usage",
        "queue_by_pool",
    )

    def __init__(self, *, configuration, endpoints, peers, rng, clock, data_centre):
        self._configuration = configuration
        self._endpoints = endpoints
        self._rng = rng
        self._clock = clock
        self._offers = RemoteOffers(
            peers=peers, clock=clock, rng=rng, data_centre=data_centre
        )
        self._usage = RecentUsage(clock=clock)
        self.queue_by_pool = {}
        endpoints.on_gone = self._on_gone

    async def place(self, request, *, excluded=frozenset()):
        """Return where the next attempt of a request goes, once there is room.

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
            pool takes work, `DEADLINE_NOT_RUN` or `OVERLOADED` if the wait for
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
        peer = self._offers.choose(
            request,
            pool,
            excluded=excluded,
            local_wait_s=self._local_wait_s(request, pool, queue, candidates),
        )
        if peer is not None:
            return self._placed(pool, Placement(peer=peer, reason="remote"))
        if not candidates:
            detail = f"pool {pool.name!r} has no endpoint that takes work"
            raise MagnoliagradeError(ErrorKind.NOT_RUN, detail, retry_after=1)
        weight = self._weight_of(request.organisation)
        flow = flow_of(request, pool)
        self._usage.note(flow, request.cost, weight)
        ticket = queue.enter(
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
            return self._placed(pool, placement)
        except asyncio.CancelledError:
            self._return_unused(ticket)
            raise
        finally:
            queue.leave(ticket, is_served=False)

    def on_grant(self, handle, amount, *, is_surplus=False):
        """Place what credit of an endpoint allows.

        Parameters
        ----------
        contact : EndpointHandle
            Endpoint whose agent granted it.
        amount : float
            The amount that one request asked for.
        is_surplus : bool
            Whether it asked above its organisation's share.
        """
        asker = handle.take_ask(amount, is_surplus=is_surplus)
        if asker is None:
            return
        queue = self.queue_by_pool[asker.pool]
        queue.unbind(asker)
        pool = self._configuration.in_force.pool_by_name.get(asker.pool)
        if pool is None or handle not in self._endpoints.candidates(pool):
            handle.return_credit(amount)
            return
        chosen = queue.next_for(handle, amount, asker=asker)
        handle.return_credit(amount - chosen.request.cost)
        queue.leave(chosen, is_served=True)
        chosen.settle(Placement(endpoint=handle, reason=pool.routing))
        self._bind_more(pool, queue)

    def on_load(self, handle):
        """Move asks away from an endpoint that has turned out to have no room.

        Parameters
        ----------
        contact : EndpointHandle
            Endpoint whose agent has told its load.
        """
        for ticket in handle.asking():
            if handle.has_room(ticket):
                continue
            pool = self._configuration.in_force.pool_by_name.get(ticket.pool)
            if pool is None:
                continue
            others = self._candidates(pool, ticket.excluded)
            others = [h for h in others if h is not handle]
            if any(h.has_room(ticket) for h in others):
                queue = self.queue_by_pool[ticket.pool]
                queue.unbind(ticket)
                self._bind(ticket, pool, queue, others)

    def tick(self):
        """Move and refuse requests whose wait has become too long."""
        for pool_name, queue in list(self.queue_by_pool.items()):
            queue.estimate.tick(has_waiting=len(queue) > 0)
            if not len(queue):
                continue
            queue.refuse_late()
            pool = self._configuration.in_force.pool_by_name.get(pool_name)
            if pool is None:
                continue
            self._unbind_stuck(pool)
            self._spill(pool, queue)
            self._bind_more(pool, queue)

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
        self._queue_of(pool).estimate.take_token_times(kept)
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
        return queue.wait_of(flow_of(request, pool), weight, request.cost)

    def _bind(self, ticket, pool, queue, candidates):
        open_ones = [h for h in candidates if h.may_ask(ticket)]
        if not open_ones:
            return
        if ticket.is_surplus:
            open_ones = [h for h in open_ones if h.has_room(ticket)] or open_ones
        choose = routing_policies.get(pool.routing)
        handle = choose(
            request=ticket.request, candidates=open_ones, pool=pool, rng=self._rng
        )
        queue.bind(ticket, handle)

    def _bind_more(self, pool, queue):
        while True:
            bound = 0
            for ticket in queue.unbound():
                candidates = self._candidates(pool, ticket.excluded)
                self._bind(ticket, pool, queue, candidates)
                bound += ticket.handle is not None
            if not bound:
                return

    def _unbind_stuck(self, pool):
        now = self._clock.monotonic()
        eligible = self._candidates(pool, frozenset())
        for handle in list(self._endpoints.by_name.values()):
            for ticket in handle.asking():
                if ticket.pool != pool.name:
                    continue
                is_late = now - ticket.asked_at > PATIENCE_S
                has_better = any(
                    h.has_room(ticket) for h in eligible if h is not handle
                )
                is_beyond = ticket.request.cost > handle.limit
                is_lost = is_beyond or handle not in eligible
                if is_lost or (is_late and has_better):
                    self.queue_by_pool[pool.name].unbind(ticket)

    def _spill(self, pool, queue):
        for ticket in queue.waiting(HEADS_SPILLED):
            peer = self._offers.choose(
                ticket.request,
                pool,
                excluded=ticket.excluded,
                local_wait_s=self._waited_s(ticket, pool, queue),
            )
            if peer is None:
                continue
            queue.leave(ticket, is_served=False)
            ticket.settle(Placement(peer=peer, reason="remote"))

    def _waited_s(self, ticket, pool, queue):
        """Return the estimated wait here of a request that waits already.

        Notes
        -----
        Who has waited longer than the estimate shows that the estimate is wrong:
        what others send goes before a flow above its share.
        """
        if not self._candidates(pool, ticket.excluded):
            return float("inf")
        waited_s = self._clock.monotonic() - ticket.arrived_at
        return max(queue.wait_s, waited_s)

    @staticmethod
    def _return_unused(ticket):
        future = ticket.future
        if future.cancelled() or not future.done() or future.exception():
            return
        placement = future.result()
        if placement.endpoint is not None:
            placement.endpoint.return_credit(ticket.request.cost)

    def _placed(self, pool, placement):
        PLACEMENTS.labels(pool.name, placement.reason).inc()
        return placement

    def _on_gone(self, handle):
        for ticket in handle.asking():
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
