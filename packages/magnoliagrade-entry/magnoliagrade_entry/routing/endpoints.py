"""Endpoints of this data centre as the entry knows them."""

from magnoliagrade.algorithms import parse_selector
from magnoliagrade.world import Endpoint, EndpointState, Role

__all__ = ["EndpointContact", "EndpointDirectory"]


class EndpointContact:
    """One endpoint, the link to its agent and what the entry sent to it.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint.
    link : Link
        Link to its agent.
    """

    __slots__ = (
        "credit",
        "credit_until",
        "endpoint",
        "in_flight_cost",
        "in_flight_count",
        "link",
        "report_at",
        "sent_since_report",
    )

    def __init__(self, *, endpoint, link):
        self.endpoint = endpoint
        self.link = link
        self.credit = 0.0
        self.credit_until = 0.0
        self.in_flight_cost = 0.0
        self.in_flight_count = 0
        self.report_at = 0.0
        self.sent_since_report = 0.0

    @property
    def free_credit(self):
        """Return the granted cost that is not in flight."""
        return self.credit - self.in_flight_cost

    def begin(self, request):
        """Count a request as in flight."""
        self.in_flight_cost += request.cost
        self.in_flight_count += 1
        self.sent_since_report += request.cost

    def end(self, request):
        """Count a request as no longer in flight."""
        self.in_flight_cost -= request.cost
        self.in_flight_count -= 1


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
    """

    __slots__ = ("_configuration", "_data_centre", "_departures", "by_name")

    def __init__(self, *, configuration, data_centre, departures):
        self._departures = departures
        self._configuration = configuration
        self._data_centre = data_centre
        self.by_name = {}

    def on_link_up(self, link):
        """Enter the endpoint of an agent that a link came up to."""
        hello = link.hello
        if hello.role != Role.AGENT.value:
            return
        self.by_name[link.peer_instance] = EndpointContact(
            endpoint=Endpoint(
                name=link.peer_instance,
                data_centre=hello.data_centre,
                data_address=hello.data_address,
                incarnation=link.peer_incarnation,
                labels={label.name: label.value for label in hello.labels},
                group=hello.group,
            ),
            link=link,
        )

    def on_link_down(self, link):
        """Remove the endpoint of a link, unless a newer link took its place."""
        contact = self.by_name.get(link.peer_instance)
        if contact is not None and contact.link is link:
            del self.by_name[link.peer_instance]

    def candidates(self, pool):
        """Return the contacts that may be given new work of a pool.

        Parameters
        ----------
        pool : Pool
            Pool whose selectors apply.

        Returns
        -------
        contacts : list of EndpointContact
            Ready endpoints, by name.
        """
        configuration = self._configuration.in_force
        if configuration.is_data_centre_out(self._data_centre):
            return []
        if not self._is_data_centre_selected(pool):
            return []
        selector = parse_selector(pool.endpoint_selector)
        chosen = []
        for name, contact in sorted(self.by_name.items()):
            labels = configuration.labels_of(name, contact.endpoint.labels)
            if self._may_take_work(contact, labels) and selector.matches(labels):
                chosen.append(contact)
        return chosen

    def _is_data_centre_selected(self, pool):
        data_centre = self._configuration.in_force.data_centre_by_name.get(
            self._data_centre
        )
        labels = data_centre.labels if data_centre else {}
        labels = {"name": self._data_centre, **labels}
        return parse_selector(pool.data_centre_selector).matches(labels)

    def _may_take_work(self, contact, labels):
        endpoint = contact.endpoint
        if endpoint.state is not EndpointState.READY:
            return False
        if self._departures.is_leaving(endpoint.name, endpoint.incarnation):
            return False
        return labels.get("state") != "draining"
