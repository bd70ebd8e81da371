"""The fair queue of one pool at one entry: order, limits and deadlines."""

import heapq
import itertools
import math

from magnoliagrade.algorithms import FairQueue
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from prometheus_client import Counter, Gauge, Histogram

from magnoliagrade_entry.routing.estimates import ServiceEstimate
from magnoliagrade_entry.routing.tickets import Ticket

__all__ = ["PoolQueue"]

MAX_WAITING_REQUESTS = 2048
MAX_WAIT_S = 4.0
# Number of flows, in fair order, whose first requests are considered for binding and
# for granted credit.
MAX_FLOWS_CONSIDERED = 4
# Number of waiting requests that each flow may have until the queue is full.
MIN_FLOW_WAITING_REQUESTS = 8

QUEUED = Gauge("magnoliagrade_queue_cost", "Cost that waits for credit", ["pool"])
WAITED = Histogram(
    "magnoliagrade_queue_seconds", "Time from arrival to a placement", ["pool"]
)
REJECTIONS = Counter(
    "magnoliagrade_queue_refusals_total",
    "Requests refused by the queue",
    ["pool", "reason"],
)


class PoolQueue:
    """Requests of one pool that wait for credit, in fair order.

    Parameters
    ----------
    pool : str
        Name of the pool.
    clock : Clock
        Source of time.

    Notes
    -----
    A waiting request may be bound to an endpoint: credit for the request is then
    requested from the endpoint. Granted credit goes to the request that is first
    in fair order. Among flows that have received equal service, a request bound to
    the granting endpoint is preferred, which keeps prefix affinity without taking
    from a flow's share. Credit requested within a share never goes to a request
    above one. The credit requested from an endpoint is at most its limit; further
    requests wait unbound.
    """

    __slots__ = (
        "_by_deadline",
        "_clock",
        "_fair",
        "_order",
        "_unbound",
        "estimate",
        "pool",
    )

    def __init__(self, *, pool, clock):
        self.pool = pool
        self._clock = clock
        self._fair = FairQueue()
        self._order = itertools.count()
        self._by_deadline = []
        self._unbound = {}
        self.estimate = ServiceEstimate(clock=clock)

    def __len__(self):
        """Return the number of waiting requests."""
        return len(self._fair)

    @property
    def cost(self):
        """Return the cost of the waiting requests."""
        return self._fair.cost

    @property
    def wait_s(self):
        """Return the estimated seconds until all waiting requests are placed."""
        return self.estimate.wait_s(self._fair.cost)

    def flow_wait_s(self, flow, weight, cost):
        """Return the estimated wait in seconds of a new request of a flow.

        Parameters
        ----------
        flow : str
            Flow of the request.
        weight : float
            Weight of the flow.
        cost : float
            Cost of the request.

        Notes
        -----
        While other flows wait, a flow is served in proportion to its weight. The
        cost of the whole queue would give too short a wait for a large flow,
        because later requests of smaller flows are served before it.
        """
        if not self._fair.count:
            return 0.0
        is_new = not self._fair.flow_count(flow)
        weights = self._fair.weight + (weight if is_new else 0.0)
        flow_cost = self._fair.flow_cost(flow) + cost
        return self.estimate.wait_s(flow_cost * weights / weight)

    def enqueue(self, request, *, flow, weight, excluded, is_surplus=False):
        """Add a request to the queue and return its ticket, or reject the request.

        Parameters
        ----------
        request : Request
            The request.
        flow : str
            Flow of the request; its organisation under the default policy.
        weight : float
            Weight of the flow.
        excluded : frozenset of str
            Names of endpoints and peers that the request must not be sent to.
        is_surplus : bool
            Whether the flow is above its share.

        Returns
        -------
        ticket : Ticket
            Ticket whose future receives the placement.

        Raises
        ------
        MagnoliagradeError
            `DEADLINE_NOT_RUN` if the estimated wait and service time exceed the
            deadline, `OVERLOADED` if the estimated wait exceeds 4 s or too many
            requests are waiting.
        """
        now = self._clock.monotonic()
        wait_s = self.flow_wait_s(flow, weight, request.cost)
        self._check_deadline(request, now, wait_s)
        self._check_capacity(flow, weight, wait_s)
        ticket = Ticket(
            request=request,
            pool=self.pool,
            excluded=excluded,
            arrived_at=now,
            is_surplus=is_surplus,
        )
        ticket.item = self._fair.push(
            flow,
            request.cost,
            value=ticket,
            weight=weight,
            priority=request.priority,
        )
        entry = (request.deadline, next(self._order), ticket)
        heapq.heappush(self._by_deadline, entry)
        self._unbound[ticket] = True
        self._publish()
        return ticket

    def bind(self, ticket, handle):
        """Request credit for a waiting ticket from an endpoint."""
        self._unbound.pop(ticket, None)
        handle.request_credit(ticket)

    def unbind(self, ticket):
        """Cancel a ticket's credit request; while it waits, it may be bound again."""
        if ticket.requested_from is not None:
            ticket.requested_from.cancel_credit_request(ticket)
        if ticket.is_waiting:
            self._unbound[ticket] = True

    def next_unbound(self):
        """Return the tickets to bind next.

        Returns
        -------
        tickets : list of Ticket
            The unbound tickets among the first of each flow in fair order, and the
            oldest unbound ticket.
        """
        heads = [
            t for t in self.first_waiting(MAX_FLOWS_CONSIDERED) if t in self._unbound
        ]
        oldest = next(iter(self._unbound), None)
        if oldest is not None and oldest not in heads:
            heads.append(oldest)
        return heads

    def select_for_credit(self, handle, credit, *, requester):
        """Return the ticket that receives granted credit, in fair order.

        Parameters
        ----------
        handle : EndpointHandle
            Endpoint whose agent granted the credit.
        credit : float
            Granted cost.
        requester : Ticket
            Ticket for which the credit was requested; returned if no other ticket
            fits.
        """
        # Flows whose virtual start times differ by at most the slack count as having
        # received equal service.
        slack = credit / max(1.0, self._fair.weight)
        heads = self._fair.heads(MAX_FLOWS_CONSIDERED, slack=slack)
        # Only credit that was requested above a share may go to a request above one.
        fitting = [
            i.value
            for i in heads
            if i.cost <= credit
            and i.value.is_surplus <= requester.is_surplus
            and handle.endpoint.name not in i.value.excluded
        ]
        bound = [t for t in fitting if t is requester or t.requested_from is handle]
        return next(iter(bound or fitting), requester)

    def remove(self, ticket, *, is_served):
        """Remove a ticket from the queue and cancel its credit request.

        Parameters
        ----------
        ticket : Ticket
            Ticket to remove; ignored if removed before.
        is_served : bool
            Whether the request was placed and counts as service of its flow.
        """
        if ticket.item.is_removed:
            return
        if ticket.requested_from is not None:
            ticket.requested_from.cancel_credit_request(ticket)
        self._unbound.pop(ticket, None)
        if is_served:
            self._fair.take(ticket.item)
            self.estimate.note_placed(ticket.request.cost)
            waited = self._clock.monotonic() - ticket.arrived_at
            WAITED.labels(self.pool).observe(waited)
        else:
            self._fair.remove(ticket.item)
        self._publish()

    def reject_expired(self):
        """Reject the waiting requests that can no longer meet their deadlines."""
        now = self._clock.monotonic()
        while self._by_deadline:
            deadline, _, ticket = self._by_deadline[0]
            if not ticket.item.is_removed:
                if deadline - self.estimate.service_s(ticket.request) > now:
                    return
                self.remove(ticket, is_served=False)
                REJECTIONS.labels(self.pool, "deadline").inc()
                ticket.reject(self._deadline_error(now - ticket.arrived_at))
            heapq.heappop(self._by_deadline)

    def first_waiting(self, count):
        """Return the first ticket of each flow in fair order, at most `count`."""
        return [i.value for i in self._fair.heads(count)]

    def _check_deadline(self, request, now, wait_s):
        if now + wait_s + self.estimate.service_s(request) <= request.deadline:
            return
        REJECTIONS.labels(self.pool, "deadline").inc()
        raise self._deadline_error(wait_s)

    def _deadline_error(self, wait_s):
        detail = (
            f"a wait of {wait_s:.3f} s in pool {self.pool!r} leaves no time before "
            "the deadline"
        )
        return MagnoliagradeError(
            ErrorKind.DEADLINE_NOT_RUN, detail, retry_after=self._retry_after()
        )

    def _check_capacity(self, flow, weight, wait_s):
        if wait_s > MAX_WAIT_S:
            self._raise_overloaded(
                "wait",
                f"the estimated wait in pool {self.pool!r} is {wait_s:.1f} s, above "
                f"the limit of {MAX_WAIT_S:.1f} s",
            )
        if self._fair.count >= MAX_WAITING_REQUESTS:
            self._raise_overloaded(
                "count",
                f"{self._fair.count} requests are waiting in pool {self.pool!r}, the "
                f"limit is {MAX_WAITING_REQUESTS}",
            )
        if self._fair.count < MAX_WAITING_REQUESTS // 2:
            return
        # Once the queue is half full, each flow is limited to half of its share of
        # the queue, but not below 8 requests, so that other flows can still enter.
        waiting = self._fair.flow_count(flow)
        share = MAX_WAITING_REQUESTS * weight / max(weight, self._fair.weight)
        if waiting >= max(MIN_FLOW_WAITING_REQUESTS, share / 2):
            self._raise_overloaded(
                "share",
                f"{waiting} requests of flow {flow!r} are waiting in pool "
                f"{self.pool!r}, which is at least half full",
            )

    def _raise_overloaded(self, reason, detail):
        REJECTIONS.labels(self.pool, reason).inc()
        raise MagnoliagradeError(
            ErrorKind.OVERLOADED, detail, retry_after=self._retry_after()
        )

    def _retry_after(self):
        return float(math.ceil(min(MAX_WAIT_S, max(1.0, self.wait_s))))

    def _publish(self):
        QUEUED.labels(self.pool).set(self._fair.cost)
