"""Limits on their request rate that endpoints name in their responses."""

import logging
import math

from magnoliagrade.observability import log_event
from prometheus_client import Gauge

__all__ = ["EndpointLimits"]

# Limits of endpoints that are not registered are kept for this long: a peer may name an
# endpoint before the store's watch does.
UNREGISTERED_LIFE_S = 30.0
# Changes of a limit by less than this part of it are ignored, so that one that varies
# with each response is not told to all peers each time. Permits are issued for less
# than the limit by this part.
IGNORED_CHANGE = 0.1

LIMITED = Gauge(
    "magnoliagrade_direct_limited_endpoints", "Endpoints that name a limit on requests"
)
_log = logging.getLogger(__name__)


class EndpointLimits:
    """Requests per second that endpoints take from all entries together.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    limit_by_id : dict of str to float
        Limit of each endpoint that has one, per second.
    """

    __slots__ = ("_changed_at_by_id", "_clock", "_unreadable_ids", "limit_by_id")

    def __init__(self, *, clock):
        self._clock = clock
        self._changed_at_by_id = {}
        self._unreadable_ids = set()
        self.limit_by_id = {}
        LIMITED.set_function(lambda: len(self.limit_by_id))

    def limit_of(self, endpoint_id):
        """Return the requests per second that an endpoint takes, or infinity."""
        return self.limit_by_id.get(endpoint_id, math.inf)

    def record_response(self, endpoint_id, limit_per_s, *, sent_at):
        """Record what a response says of the limit; return whether that is new.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint.
        limit_per_s : float or None
            Requests per second, infinite without a limit; None if the header cannot be
            read, which leaves what is known unchanged.
        sent_at : float
            Time at which the request was sent, in seconds. A response without a limit
            to a request that was sent before the limit was known does not end it.
        """
        if limit_per_s is None:
            self._record_unreadable(endpoint_id)
            return False
        is_older = sent_at <= self._changed_at_by_id.get(endpoint_id, -math.inf)
        if math.isinf(limit_per_s) and is_older:
            return False
        return self.record(endpoint_id, limit_per_s)

    def record(self, endpoint_id, limit_per_s):
        """Record an endpoint's limit, infinite for none; return whether it is new.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint.
        limit_per_s : float
            Requests per second.
        """
        known_per_s = self.limit_of(endpoint_id)
        if math.isclose(limit_per_s, known_per_s, rel_tol=IGNORED_CHANGE):
            return False
        self._changed_at_by_id[endpoint_id] = self._clock.monotonic()
        if math.isinf(limit_per_s):
            del self.limit_by_id[endpoint_id]
            log_event(_log, "site.endpoint.unlimited", endpoint=endpoint_id)
        else:
            self.limit_by_id[endpoint_id] = limit_per_s
            log_event(
                _log,
                "site.endpoint.limited",
                endpoint=endpoint_id,
                limit_per_s=limit_per_s,
            )
        return True

    def drop_unregistered(self, registered_ids):
        """Forget the limits of endpoints that have been gone for a while.

        Parameters
        ----------
        registered_ids : collection of str
            Ids of the registered endpoints.
        """
        oldest = self._clock.monotonic() - UNREGISTERED_LIFE_S
        for endpoint_id, changed_at in list(self._changed_at_by_id.items()):
            if endpoint_id not in registered_ids and changed_at < oldest:
                del self._changed_at_by_id[endpoint_id]
                self.limit_by_id.pop(endpoint_id, None)
        self._unreadable_ids &= set(registered_ids)

    def _record_unreadable(self, endpoint_id):
        if endpoint_id not in self._unreadable_ids:
            self._unreadable_ids.add(endpoint_id)
            log_event(
                _log,
                "site.endpoint.limit_refused",
                level=logging.WARNING,
                endpoint=endpoint_id,
                detail="the limit is not a number of at least 0; it is ignored",
            )
