"""Endpoints of this data centre as the entry knows them."""

from collections import OrderedDict

from magnoliagrade.algorithms import parse_selector
from magnoliagrade.wire import CreditRequest
from magnoliagrade.world import Endpoint, EndpointState, LoadReport, Role

from magnoliagrade_entry.routing.outliers import EndpointHealth

__all__ = ["EndpointHandle", "EndpointDirectory"]


class EndpointHandle:
    """One endpoint, the link to its agent and what the entry sent to it.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint.
    link : Link
        Link to its agent.
    clock : Clock
        Source of time.

    Notes
    -----
    What the agent says of its load is old by the time it is used. The entry adds
    what it was granted since, and takes off what has ended of its own.
    """

    __slots__ = (
        "_asking_by_kind",
        "_clock",
        "_started_at_by_id",
        "asked_by_others",
        "requested_cost",
        "asked_surplus",
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
        self.asked_by_others = 0.0
        self.requested_cost = 0.0
        self.asked_surplus = 0.0
        self.in_flight_cost = 0.0
        self.in_flight_count = 0
        self.report_at = 0.0
        self.health = EndpointHealth(clock=clock)
        self._clock = clock
        self._asking_by_kind = {}
        self._started_at_by_id = {}

    @property
    def free_credit(self):
        """Return the cost that the endpoint could probably take now."""
        return max(0.0, self.limit - self.held)

    @property
    def room(self):
        """Return the free credit that no request within a share waits for here."""
        return self.limit - self.held - self.requested_cost

    @property
    def load(self):
        """Return what is held and waited for as a fraction of the limit."""
        return (self.held + self.requested_cost) / max(self.limit, 1.0)

    def has_room(self, ticket):
        """Return whether the endpoint can probably grant a request's credit now.

        Notes
        -----
        Requests above a share leave others their headroom.
        """
        room = self.room
        if ticket.is_surplus:
            room -= self.asked_surplus + self.headroom
        is_counted = ticket.handle is self
        return room >= (0 if is_counted else ticket.request.cost)

    def may_ask(self, ticket):
        """Return whether asking for a request would keep within the limit.

        Notes
        -----
        Asking for more would only move the queue to the agent. Requests within a
        share do not wait behind the asks of those above theirs.
        """
        asked = self.requested_cost + ticket.request.cost
        if ticket.is_surplus:
            asked += self.asked_surplus
        return asked <= self.limit

    def ask(self, ticket):
        """Ask the agent for the credit of a waiting request."""
        cost = ticket.request.cost
        self._asking_by_kind.setdefault(_kind(ticket), OrderedDict())[ticket] = True
        self._count_ask(ticket, cost)
        ticket.handle = self
        ticket.asked_at = self._clock.monotonic()
        self.link.send(CreditRequest(wanted=cost, is_surplus=ticket.is_surplus))

    def withdraw(self, ticket):
        """Take back what was asked for a request."""
        if self._forget(ticket):
            message = CreditRequest(
                returned=ticket.request.cost, is_surplus=ticket.is_surplus
            )
            self.link.send(message)

    def take_ask(self, amount, *, is_surplus):
        """Return the request that asked for a granted amount, or None.

        Parameters
        ----------
        amount : float
            Cost that was asked for.
        is_surplus : bool
            Whether it was asked above a share.

        Notes
        -----
        There is none if the ask was withdrawn while the grant was on its way; the
        agent has taken the credit back by then.
        """
        tickets = self._asking_by_kind.get((amount, is_surplus))
        if not tickets:
            return None
        ticket = next(iter(tickets))
        self._forget(ticket)
        return ticket

    def asking(self):
        """Return the requests that wait for credit of this endpoint."""
        return [t for tickets in self._asking_by_kind.values() for t in tickets]

    def return_credit(self, amount):
        """Give granted credit back that nothing uses."""
        if amount > 0:
            self.held = max(0.0, self.held - amount)
            self.link.send(CreditRequest(unused=amount))

    def update_load(self, *, limit, held, asked=None, headroom=0.0):
        """Take what the agent says of its limit, load and headroom."""
        self.limit = limit
        self.held = held
        self.headroom = headroom
        if asked is not None:
            own = self.requested_cost + self.asked_surplus
            self.asked_by_others = max(0.0, asked - own)
        self.report_at = self._clock.monotonic()

    def begin(self, request):
        """Count a request as in flight."""
        self.in_flight_cost += request.cost
        self.in_flight_count += 1
        self._started_at_by_id[request.id] = self._clock.monotonic()

    def end(self, request, result="whole"):
        """Count a request as no longer in flight.

        Parameters
        ----------
        request : Request
            The request.
        result : str
            `whole`, or the code of the attempt's failure.
        """
        self.in_flight_cost -= request.cost
        self.in_flight_count -= 1
        self.held = max(0.0, self.held - request.cost)
        now = self._clock.monotonic()
        started = self._started_at_by_id.pop(request.id, now)
        tokens = max(1, request.output_tokens)
        self.health.note(result, (now - started) / tokens)

    def _forget(self, ticket):
        kind = _kind(ticket)
        tickets = self._asking_by_kind.get(kind, {})
        if ticket not in tickets:
            return False
        del tickets[ticket]
        if not tickets:
            del self._asking_by_kind[kind]
        self._count_ask(ticket, -ticket.request.cost)
        ticket.handle = None
        return True

    def _count_ask(self, ticket, cost):
        if ticket.is_surplus:
            self.asked_surplus += cost
        else:
            self.requested_cost += cost


def _kind(ticket):
    return (ticket.request.cost, ticket.is_surplus)


class EndpointDirectory:
    """Contacts of this data centre by endpoint name.

    Parameters
    ----------
    configuration : ConfigurationState
        Configuration in force, for operators' labels.
    data_centre : str
        This data centre.
    departures : Departures
        Instances that are leaving.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_data_centre",
        "_departures",
        "by_name",
        "on_gone",
    )

    def __init__(self, *, configuration, data_centre, departures, clock):
        self._departures = departures
        self._configuration = configuration
        self._data_centre = data_centre
        self._clock = clock
        self.by_name = {}
        self.on_gone = None

    def on_link_up(self, link):
        """Enter the endpoint of an agent that a link came up to."""
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
        """Remove the endpoint of a link, unless a newer link took its place."""
        handle = self.by_name.get(link.peer_instance)
        if handle is not None and handle.link is link:
            self._remove(link.peer_instance)

    def on_load(self, name, message):
        """Take an agent's message about its endpoint's load."""
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
        """Return the contacts that may be given new work of a pool.

        Parameters
        ----------
        pool : Pool
            Pool whose selectors apply.

        Returns
        -------
        contacts : list of EndpointHandle
            Ready endpoints, by name.
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
        if handle is not None and self.on_gone is not None:
            self.on_gone(handle)

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
