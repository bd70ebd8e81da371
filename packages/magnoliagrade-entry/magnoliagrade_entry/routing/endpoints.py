"""Endpoints of the local data centre: their load, credit and eligibility."""

from collections import OrderedDict

from magnoliagrade.algorithms import parse_selector
from magnoliagrade.wire import CreditRequest
from magnoliagrade.world import Endpoint, EndpointState, LoadReport, Role

from magnoliagrade_entry.routing.outliers import EndpointHealth

__all__ = ["EndpointHandle", "EndpointDirectory"]


class EndpointHandle:
    """An endpoint, the link to its agent, and the entry's load accounting for it.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint.
    link : Link
        Link to its agent.
    clock : Clock
        Source of time.

    Attributes
    ----------
    limit : float
        Cost that the endpoint may have in progress, as its agent reported.
    held : float
        Cost in progress or reserved by granted credit, as the agent reported,
        minus the cost of the local requests that have ended since.
    headroom : float
        Cost that the agent keeps free of requests above a share.
    requested_cost : float
        Cost of the local credit requests within a share that are pending.
    requested_surplus_cost : float
        Cost of the local credit requests above a share that are pending.
    requested_by_others : float
        Cost that other entries have requested, as the agent reported.
    in_flight_cost, in_flight_count : float, int
        Cost and number of the local requests that have begun and not ended.
    health : EndpointHealth
        Recent latency and failures, from the local requests.

    Notes
    -----
    Cost and credit have the unit of `Request.cost`: tokens, or 1 for a request to a
    service. A request above a share (`is_surplus`) is one of an organisation that uses
    more than its share, by `RecentUsage`.

    A load report is out of date by the time it is used. Each grant therefore
    updates the load as well, and the entry subtracts the cost of its own requests
    as they end.
    """

    __slots__ = (
        "_pending_by_kind",
        "_clock",
        "_started_at_by_id",
        "requested_by_others",
        "requested_cost",
        "requested_surplus_cost",
        "endpoint",
        "headroom",
        "health",
        "held",
        "in_flight_cost",
        "in_flight_count",
        "limit",
        "link",
        "report_at",
    )

    def __init__(self, *, endpoint, link, clock):
        self.endpoint = endpoint
        self.link = link
        self.limit = 0.0
        self.held = 0.0
        self.headroom = 0.0
        self.requested_by_others = 0.0
        self.requested_cost = 0.0
        self.requested_surplus_cost = 0.0
        self.in_flight_cost = 0.0
        self.in_flight_count = 0
        self.report_at = 0.0
        self.health = EndpointHealth(clock=clock)
        self._clock = clock
        self._pending_by_kind = {}
        self._started_at_by_id = {}

    @property
    def free_credit(self):
        """Return the cost that the endpoint can probably accept now, at least 0."""
        return max(0.0, self.limit - self.held)

    @property
    def unrequested_credit(self):
        """Return the free credit minus the pending credit requests within a share.

        Notes
        -----
        Only the local requests are counted. Negative if more is pending than free.
        """
        return self.limit - self.held - self.requested_cost

    @property
    def load(self):
        """Return the held plus the requested cost as a fraction of the limit."""
        return (self.held + self.requested_cost) / max(self.limit, 1.0)

    def has_capacity_for(self, ticket):
        """Return whether the endpoint can probably grant a ticket's credit now.

        Notes
        -----
        A request above a share must leave the headroom free for requests within
        one. A credit request of this ticket that is pending here is already part
        of the requested cost.
        """
        unrequested_credit = self.unrequested_credit
        if ticket.is_surplus:
            unrequested_credit -= self.requested_surplus_cost + self.headroom
        is_counted = ticket.requested_from is self
        return unrequested_credit >= (0 if is_counted else ticket.request.cost)

    def can_request_credit(self, ticket):
        """Return whether a ticket's credit request keeps the total within the limit.

        Notes
        -----
        Requesting more than the limit would only move the queue to the agent.
        Credit requests above a share do not count against those within one.
        """
        requested = self.requested_cost + ticket.request.cost
        if ticket.is_surplus:
            requested += self.requested_surplus_cost
        return requested <= self.limit

    def request_credit(self, ticket):
        """Request credit for a waiting ticket from the agent."""
        cost = ticket.request.cost
        self._pending_by_kind.setdefault(_kind(ticket), OrderedDict())[ticket] = True
        self._add_requested(ticket, cost)
        ticket.requested_from = self
        ticket.requested_at = self._clock.monotonic()
        self.link.send(CreditRequest(wanted=cost, is_surplus=ticket.is_surplus))

    def cancel_credit_request(self, ticket):
        """Cancel a ticket's pending credit request, if there is one."""
        if self._remove_pending(ticket):
            message = CreditRequest(
                returned=ticket.request.cost, is_surplus=ticket.is_surplus
            )
            self.link.send(message)

    def pop_credit_request(self, amount, *, is_surplus):
        """Remove the oldest credit request that a grant fulfils; return its ticket.

        Parameters
        ----------
        amount : float
            Granted cost, equal to the requested one.
        is_surplus : bool
            Whether the request was above a share.

        Returns
        -------
        ticket : Ticket or None
            None if the credit request was cancelled before the grant arrived. The
            agent takes the credit back when it receives the cancellation.
        """
        tickets = self._pending_by_kind.get((amount, is_surplus))
        if not tickets:
            return None
        ticket = next(iter(tickets))
        self._remove_pending(ticket)
        return ticket

    def pending_tickets(self):
        """Return the tickets that have a pending credit request at this endpoint."""
        return [t for tickets in self._pending_by_kind.values() for t in tickets]

    def return_credit(self, amount):
        """Return granted but unused credit to the agent."""
        if amount > 0:
            self.held = max(0.0, self.held - amount)
            self.link.send(CreditRequest(unused=amount))

    def update_load(self, *, limit, held, asked=None, headroom=0.0):
        """Update the limit, load and headroom from an agent's message.

        Parameters
        ----------
        limit : float
            Cost that the endpoint may have in progress.
        held : float
            Cost in progress or reserved by granted credit.
        asked : float, optional
            Cost that all entries have requested; None leaves the last value.
        headroom : float
            Cost that is kept free of requests above a share.
        """
        self.limit = limit
        self.held = held
        self.headroom = headroom
        if asked is not None:
            local = self.requested_cost + self.requested_surplus_cost
            self.requested_by_others = max(0.0, asked - local)
        self.report_at = self._clock.monotonic()

    def begin(self, request):
        """Count a request as in flight."""
        self.in_flight_cost += request.cost
        self.in_flight_count += 1
        self._started_at_by_id[request.id] = self._clock.monotonic()

    def end(self, request, result="whole"):
        """Count a request as ended and add its result to the endpoint's health.

        Parameters
        ----------
        request : Request
            The request.
        result : str
            `whole` for a complete response, or the error code of the attempt.
        """
        self.in_flight_cost -= request.cost
        self.in_flight_count -= 1
        self.held = max(0.0, self.held - request.cost)
        now = self._clock.monotonic()
        started = self._started_at_by_id.pop(request.id, now)
        tokens = max(1, request.output_tokens)
        self.health.note(result, (now - started) / tokens)

    def _remove_pending(self, ticket):
        kind = _kind(ticket)
        tickets = self._pending_by_kind.get(kind, {})
        if ticket not in tickets:
            return False
        del tickets[ticket]
        if not tickets:
            del self._pending_by_kind[kind]
        self._add_requested(ticket, -ticket.request.cost)
        ticket.requested_from = None
        return True

    def _add_requested(self, ticket, cost):
        if ticket.is_surplus:
            self.requested_surplus_cost += cost
        else:
            self.requested_cost += cost


def _kind(ticket):
    """Return the key of equal credit requests; a grant fulfils any one of them."""
    return (ticket.request.cost, ticket.is_surplus)


class EndpointDirectory:
    """Handles of the endpoints in the local data centre, by endpoint name.

    Parameters
    ----------
    configuration : ConfigurationState
        Configuration in force, for operators' labels.
    data_centre : str
        Name of the local data centre.
    departures : Departures
        Instances that are leaving.
    clock : Clock
        Source of time.

    Attributes
    ----------
    by_name : dict of str to EndpointHandle
        Handles of the linked endpoints.
    on_removed : callable or None
        Called with the handle of an endpoint that was removed.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_data_centre",
        "_departures",
        "by_name",
        "on_removed",
    )

    def __init__(self, *, configuration, data_centre, departures, clock):
        self._departures = departures
        self._configuration = configuration
        self._data_centre = data_centre
        self._clock = clock
        self.by_name = {}
        self.on_removed = None

    def on_link_up(self, link):
        """Add the endpoint of an agent whose link has been established."""
        hello = link.hello
        if hello.role != Role.AGENT.value:
            return
        self._remove(link.peer_instance)
        self.by_name[link.peer_instance] = EndpointHandle(
            endpoint=Endpoint(
                name=link.peer_instance,
                data_centre=hello.data_centre,
                data_address=hello.data_address,
                incarnation=link.peer_incarnation,
                labels={label.name: label.value for label in hello.labels},
                group=hello.group,
            ),
            link=link,
            clock=self._clock,
        )

    def on_link_down(self, link):
        """Remove the endpoint of a link, unless a newer link has replaced it."""
        handle = self.by_name.get(link.peer_instance)
        if handle is not None and handle.link is link:
            self._remove(link.peer_instance)

    def on_load(self, name, message):
        """Update an endpoint's load from its agent's message."""
        handle = self.by_name.get(name)
        if handle is None:
            return
        handle.endpoint.report = LoadReport(
            boot_id=message.boot_id,
            running=message.running,
            waiting=message.waiting,
            tokens_in_flight=message.tokens_in_flight,
            cache_used=message.cache_used,
            age_s=message.age_seconds,
        )
        handle.update_load(
            limit=message.limit,
            held=message.held,
            asked=message.asked,
            headroom=message.headroom,
        )

    def candidates(self, pool):
        """Return the endpoints that may be given new requests of a pool.

        Parameters
        ----------
        pool : Pool
            Pool whose selectors are applied.

        Returns
        -------
        handles : list of EndpointHandle
            Ready endpoints, sorted by name. Empty if the data centre is
            evacuated or the pool does not select it.
        """
        configuration = self._configuration.in_force
        if configuration.is_data_centre_out(self._data_centre):
            return []
        if not self._is_data_centre_selected(pool):
            return []
        selector = parse_selector(pool.endpoint_selector)
        chosen = []
        for name, handle in sorted(self.by_name.items()):
            labels = configuration.labels_of(name, handle.endpoint.labels)
            if self._may_take_work(handle, labels) and selector.matches(labels):
                chosen.append(handle)
        return chosen

    def _remove(self, name):
        handle = self.by_name.pop(name, None)
        if handle is not None and self.on_removed is not None:
            self.on_removed(handle)

    def _is_data_centre_selected(self, pool):
        data_centre = self._configuration.in_force.data_centre_by_name.get(
            self._data_centre
        )
        labels = data_centre.labels if data_centre else {}
        labels = {"name": self._data_centre, **labels}
        return parse_selector(pool.data_centre_selector).matches(labels)

    def _may_take_work(self, handle, labels):
        endpoint = handle.endpoint
        if endpoint.state is not EndpointState.READY:
            return False
        if endpoint.group and not endpoint.is_group_complete:
            return False
        if self._departures.is_leaving(endpoint.name, endpoint.incarnation):
            return False
        return labels.get("state") != "draining"
