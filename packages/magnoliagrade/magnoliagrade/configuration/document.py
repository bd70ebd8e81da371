"""The operators' configuration as objects."""

import hashlib
from dataclasses import dataclass, field

from magnoliagrade.algorithms import parse_selector

__all__ = ["Configuration"]


@dataclass(slots=True, kw_only=True)
class Configuration:
    """One revision of the operators' configuration.

    Parameters
    ----------
    revision : int
        Revision number, strictly increasing; 0 means no configuration.
    data_centre_by_name : dict of str to DataCentre
        Data centres.
    pool_by_name : dict of str to Pool
        Pools.
    route_by_name : dict of str to Route
        Routes.
    application_by_name : dict of str to Application
        Applications.
    organisation_by_name : dict of str to Organisation
        Organisations.
    endpoint_labels_by_name : dict of str to dict
        Labels set by operators on endpoints; they override the labels of the
        endpoint's settings.
    group_by_name : dict of str to Group
        Expert-parallel groups.
    """

    revision: int = 0
    data_centre_by_name: dict = field(default_factory=dict)
    pool_by_name: dict = field(default_factory=dict)
    route_by_name: dict = field(default_factory=dict)
    application_by_name: dict = field(default_factory=dict)
    organisation_by_name: dict = field(default_factory=dict)
    endpoint_labels_by_name: dict = field(default_factory=dict)
    group_by_name: dict = field(default_factory=dict)
    _organisation_by_digest: dict = field(default_factory=dict, compare=False)

    def index(self):
        """Build the index of organisations by the digests of their API keys."""
        self._organisation_by_digest.clear()
        for organisation in self.organisation_by_name.values():
            for digest in organisation.key_digests:
                self._organisation_by_digest[digest] = organisation

    def organisation_of_key(self, key):
        """Return the organisation that an API key belongs to, or None."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        return self._organisation_by_digest.get(digest)

    def pool_of(self, labels):
        """Return the pool that requests with these labels are routed to, or None.

        Parameters
        ----------
        labels : dict of str to str
            Labels of a request.
        """
        routes = sorted(self.route_by_name.values(), key=lambda r: (r.order, r.name))
        for route in routes:
            if parse_selector(route.request_selector).matches(labels):
                return self.pool_by_name.get(route.pool)
        return None

    def labels_of(self, endpoint_name, endpoint_labels):
        """Return an endpoint's labels, overridden by those set by operators."""
        return {
            **endpoint_labels,
            **self.endpoint_labels_by_name.get(endpoint_name, {}),
        }

    def is_data_centre_out(self, name):
        """Return whether operators have taken a data centre out of service."""
        data_centre = self.data_centre_by_name.get(name)
        return data_centre is not None and data_centre.is_out
