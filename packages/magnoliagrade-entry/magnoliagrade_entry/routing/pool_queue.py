"""The queue of one pool at one entry: who is next when credit appears."""

import heapq
import itertools
import math

from magnoliagrade.algorithms import FairQueue
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from prometheus_client import Counter, Gauge, Histogram

from magnoliagrade_entry.routing.estimates import ServiceEstimate
from magnoliagrade_entry.routing.tickets import Ticket

__all__ = ["PoolQueue"]

MAX_WAITING = 2048
MAX_WAIT_S = 4.0
HEADS_SEEN = 4
MIN_FLOW_PLACES = 8

QUEUED = Gauge("magnoliagrade_queue_cost", "Cost that waits for credit", ["pool"])
WAITED = Histogram(
    "magnoliagrade_queue_seconds", "Time from arrival to a placement", ["pool"]
)
REFUSALS = Counter(
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
    Each waiting request may be bound to an endpoint, which is asked for its
    credit. Credit that arrives goes to the request that fair order puts first;
    among flows that are equally far it goes to one bound to that endpoint, so that
    prefix affinity holds without a share being given up. Credit that was asked for
    within a share never goes to a request above one. At most an endpoint's limit is
    asked of it; further requests wait unbound.
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
        """Return the estimated time until the queue's newest request is placed."""
        return self.estimate.wait_s(self._fair.cost)

    def wait_of(self, flow, weight, cost):
        """Return the estimated wait of one more request of a flow.

        Notes
        -----
        A flow gets its share of the weights while others wait. The wait for all
        that is queued would be too low for a large flow, since what smaller ones
        send later still goes before it.
        """
        if not self._fair.count:
            return 0.0
        is_new = not self._fair.flow_count(flow)
        weights = self._fair.weight + (weight if is_new else 0.0)
        own = self._fair.flow_cost(flow) + cost
        return self.estimate.wait_s(own * weights / weight)

    def enter(self, request, *, flow, weight, excluded, is_surplus=False):
        """Let a request wait, or refuse it at once.

        Parameters
        ----------
        request : Request
            The request.
        flow : str
            Flow that it belongs to, as a rule its organisation.
        weight : float
            Weight of the flow.
        excluded : frozenset of str
            Endpoints and peers that it must not go to.
        is_surplus : bool
            Whether the flow is above its share.

        Returns
        -------
        ticket : Ticket
            Its place.

        Raises
        ------
        MagnoliagradeError
            `DEADLINE_NOT_RUN` if its deadline cannot be met, `OVERLOADED` if it
            would wait for too long or too many wait.
        """
        now = self._clock.monotonic()
        wait_s = self.wait_of(flow, weight, request.cost)
        self._check_deadline(request, now, wait_s)
        self._check_room(flow, weight, wait_s)
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
        """Ask an endpoint for the credit of a waiting request."""
        self._unbound.pop(ticket, None)
        handle.ask(ticket)

    def unbind(self, ticket):
        """Take back the ask of a waiting request."""
        if ticket.handle is not None:
            ticket.handle.withdraw(ticket)
        if ticket.is_waiting:
            self._unbound[ticket] = True

    def unbound(self):
        """Return unbound requests to ask for next: the first ones and the oldest."""
        heads = [t for t in self.waiting(HEADS_SEEN) if t in self._unbound]
        oldest = next(iter(self._unbound), None)
        if oldest is not None and oldest not in heads:
            heads.append(oldest)
        return heads

    def next_for(self, handle, credit, *, asker):
        """Return the request that gets credit of an endpoint.

        Parameters
        ----------
        contact : EndpointHandle
            Endpoint that granted it.
        credit : float
            Cost that may be sent.
        asker : Ticket
            The waiting request that the credit was asked for.
        """
        slack = credit / max(1.0, self._fair.weight)
        heads = self._fair.heads(HEADS_SEEN, slack=slack)
        fitting = [
            i.value
            for i in heads
            if i.cost <= credit
            and i.value.is_surplus <= asker.is_surplus
            and handle.endpoint.name not in i.value.excluded
        ]
        own = [t for t in fitting if t is asker or t.handle is handle]
        return next(iter(own or fitting), asker)

    def leave(self, ticket, *, is_served):
        """Take a request out of the queue.

        Parameters
        ----------
        ticket : Ticket
            Its place.
        is_served : bool
            Whether it was placed, so that its organisation's turn is over.
        """
        if ticket.item.is_removed:
            return
        if ticket.handle is not None:
            ticket.handle.withdraw(ticket)
        self._unbound.pop(ticket, None)
        if is_served:
            self._fair.take(ticket.item)
            self.estimate.note_placed(ticket.request.cost)
            waited = self._clock.monotonic() - ticket.arrived_at
            WAITED.labels(self.pool).observe(waited)
        else:
            self._fair.remove(ticket.item)
        self._publish()

    def refuse_late(self):
        """Refuse at once what cannot meet its deadline any more."""
        now = self._clock.monotonic()
        while self._by_deadline:
            deadline, _, ticket = self._by_deadline[0]
            if not ticket.item.is_removed:
                if deadline - self.estimate.service_s(ticket.request) > now:
                    return
                self.leave(ticket, is_served=False)
                REFUSALS.labels(self.pool, "deadline").inc()
                ticket.refuse(self._late(now - ticket.arrived_at))
            heapq.heappop(self._by_deadline)

    def waiting(self, count):
        """Return the first waiting requests in fair order, one of each flow."""
        return [i.value for i in self._fair.heads(count)]

    def _check_deadline(self, request, now, wait_s):
        if now + wait_s + self.estimate.service_s(request) <= request.deadline:
            return
        REFUSALS.labels(self.pool, "deadline").inc()
        raise self._late(wait_s)

    def _late(self, wait_s):
        detail = f"{wait_s:.3f} s of waiting leave no time before the deadline"
        return MagnoliagradeError(
            ErrorKind.DEADLINE_NOT_RUN, detail, retry_after=self._retry_after()
        )

    def _check_room(self, flow, weight, wait_s):
        if wait_s > MAX_WAIT_S:
            self._refuse("wait", f"the wait would be {wait_s:.1f} s")
        if self._fair.count >= MAX_WAITING:
            self._refuse("count", f"{self._fair.count} requests wait")
        if self._fair.count < MAX_WAITING // 2:
            return
        # Beyond half, a flow keeps to its part, so that others find room.
        own = self._fair.flow_count(flow)
        part = MAX_WAITING * weight / max(weight, self._fair.weight)
        if own >= max(MIN_FLOW_PLACES, part / 2):
            self._refuse("share", f"{own} requests of the organisation wait")

    def _refuse(self, reason, detail):
        REFUSALS.labels(self.pool, reason).inc()
        raise MagnoliagradeError(
            ErrorKind.OVERLOADED, detail, retry_after=self._retry_after()
        )

    def _retry_after(self):
        return float(math.ceil(min(MAX_WAIT_S, max(1.0, self.wait_s))))

    def _publish(self):
        QUEUED.labels(self.pool).set(self._fair.cost)
