"""Endpoints as their registrations and responses describe them."""

import logging

from magnoliagrade.observability import log_event

from magnoliagrade_entry.direct.knowledge.registration_orders import RegistrationOrders

__all__ = ["EndpointRegistry"]

# Limit on the endpoints whose first registration, or whose announcement of their end,
# is remembered once they have ended.
MAX_REMEMBERED = 1000

_log = logging.getLogger(__name__)


class EndpointRegistry:
    """Registered endpoints, which of them are leaving, and until when they are cold.

    Parameters
    ----------
    clock : Clock
        Source of time.
    service_of : callable
        Returns the `BackEndService` of an endpoint; None if it is not configured.

    Attributes
    ----------
    endpoint_by_id : dict of str to SiteEndpoint
        Registered endpoints.
    """

    __slots__ = (
        "_announced_born_by_id",
        "_clock",
        "_cold_until_by_id",
        "_leaving_born_by_id",
        "_orders",
        "_position_by_id",
        "_registered_at_by_start",
        "_remove_at_by_id",
        "_service_of",
        "endpoint_by_id",
    )

    def __init__(self, *, clock, service_of):
        self._announced_born_by_id = {}
        self._clock = clock
        self._cold_until_by_id = {}
        self._leaving_born_by_id = {}
        self._orders = RegistrationOrders()
        self._position_by_id = {}
        self._registered_at_by_start = {}
        self._remove_at_by_id = {}
        self._service_of = service_of
        self.endpoint_by_id = {}

    def register(self, endpoint, position):
        """Apply a registration.

        Parameters
        ----------
        endpoint : SiteEndpoint
            The endpoint.
        position : StorePosition
            Position of the registration in the store's history.
        """
        self._orders.record(endpoint.id, endpoint.registration_order)
        if not self._supersede_at_address(endpoint, position):
            return
        self._remove_at_by_id.pop(endpoint.id, None)
        known = self.endpoint_by_id.get(endpoint.id)
        self.endpoint_by_id[endpoint.id] = endpoint
        self._position_by_id[endpoint.id] = position
        self._extend_coldness(endpoint, endpoint.cold_s)
        start = endpoint.id, endpoint.born_ms
        self._registered_at_by_start.setdefault(start, self._clock.monotonic())
        _limit_size(self._registered_at_by_start)
        if endpoint.is_draining:
            self._record_announcement(endpoint)
        if known is None or known.is_draining != endpoint.is_draining:
            log_event(
                _log,
                "site.endpoint.draining"
                if endpoint.is_draining
                else "site.endpoint.ready",
                endpoint=endpoint.id,
                service=endpoint.service,
                revision=position.revision,
                cold_s=endpoint.cold_s,
            )

    def deregister(self, endpoint_id, *, settles_at):
        """Remove an endpoint, or keep it until a time if that is in the future.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint; ignored if unknown.
        settles_at : float
            Time until which the endpoint may register again after a store outage.
        """
        if endpoint_id not in self.endpoint_by_id:
            return
        if self._clock.monotonic() < settles_at:
            self._remove_at_by_id.setdefault(endpoint_id, settles_at)
            log_event(_log, "site.endpoint.lapsed", endpoint=endpoint_id)
            return
        self._remove(endpoint_id, "its registration was deleted")

    def drop_missing(self):
        """Remove endpoints that did not register again in time; return whether any."""
        now = self._clock.monotonic()
        due = [i for i, at in self._remove_at_by_id.items() if at <= now]
        for endpoint_id in due:
            del self._remove_at_by_id[endpoint_id]
            self._remove(endpoint_id, "it did not register again after a store outage")
        return bool(due)

    def is_outdated(self, endpoint):
        """Return whether a registration is older than what is known of its endpoint."""
        return self._orders.is_outdated(endpoint.id, endpoint.registration_order)

    def accepting(self):
        """Return the endpoints that have not announced their end."""
        return [
            endpoint
            for endpoint in self.endpoint_by_id.values()
            if not endpoint.is_draining and not self._is_leaving(endpoint)
        ]

    def record_leaving(self, endpoint):
        """Record an endpoint's statement that it is leaving; return whether it is new.

        It holds until the endpoint starts again, whatever its registration says.
        """
        if endpoint.id not in self.endpoint_by_id or self._is_leaving(endpoint):
            return False
        self._leaving_born_by_id[endpoint.id] = endpoint.born_ms
        self._record_announcement(endpoint)
        log_event(_log, "site.endpoint.leaving", endpoint=endpoint.id)
        return True

    def registered_at(self, endpoint):
        """Return when a run of an endpoint first registered, also once it has ended.

        The time is in seconds, minus infinity if it is not known.
        """
        start = endpoint.id, endpoint.born_ms
        return self._registered_at_by_start.get(start, float("-inf"))

    def has_announced_end(self, endpoint):
        """Return whether an endpoint has announced its end, also once it has ended."""
        return self._announced_born_by_id.get(endpoint.id) == endpoint.born_ms

    def has_successor(self, endpoint):
        """Return whether a newer incarnation has registered at the same address."""
        return any(
            other.address == endpoint.address
            and (other.id, other.born_ms) != (endpoint.id, endpoint.born_ms)
            for other in self.endpoint_by_id.values()
        )

    def cold_until(self, endpoint_id):
        """Return the monotonic time until which an endpoint counts as cold."""
        return self._cold_until_by_id.get(endpoint_id, float("-inf"))

    def record_unreachable(self, endpoint_id, *, for_s):
        """Record that an endpoint refuses connections; it may be restarting.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint.
        for_s : float
            Longest time until the next request, in seconds. The endpoint counts as cold
            for that time and the time that a start takes.
        """
        endpoint = self.endpoint_by_id.get(endpoint_id)
        if endpoint is not None:
            self._extend_coldness(endpoint, for_s + self._cold_start_s(endpoint))

    def record_idle(self, data_centre):
        """Record that the endpoints of a data centre have had no requests.

        They may have turned cold, and register so only later.
        """
        for endpoint in self.endpoint_by_id.values():
            if endpoint.data_centre == data_centre:
                self._extend_coldness(endpoint, self._cold_start_s(endpoint))

    def _record_announcement(self, endpoint):
        self._announced_born_by_id[endpoint.id] = endpoint.born_ms
        _limit_size(self._announced_born_by_id)

    def _is_leaving(self, endpoint):
        return self._leaving_born_by_id.get(endpoint.id) == endpoint.born_ms

    def _cold_start_s(self, endpoint):
        service = self._service_of(endpoint)
        return 0.0 if service is None else service.cold_start_s

    def _extend_coldness(self, endpoint, cold_s):
        until = self._clock.monotonic() + cold_s
        self._cold_until_by_id[endpoint.id] = max(until, self.cold_until(endpoint.id))

    def _supersede_at_address(self, endpoint, position):
        """Remove older endpoints at an address; return whether this is the newest.

        The registration of a crashed server remains for a few heartbeats, while the
        next server at its address has already registered.
        """
        if self._service_of(endpoint) is None:
            return True
        others = [
            other
            for other in self.endpoint_by_id.values()
            if other.address == endpoint.address and other.id != endpoint.id
        ]
        if any(self._position_by_id[other.id] > position for other in others):
            log_event(_log, "site.endpoint.outdated", endpoint=endpoint.id)
            self._remove(endpoint.id, "a newer endpoint registered at its address")
            return False
        for other in others:
            self._remove(other.id, f"{endpoint.id} registered at its address")
        return True

    def _remove(self, endpoint_id, reason):
        self._remove_at_by_id.pop(endpoint_id, None)
        self._position_by_id.pop(endpoint_id, None)
        self._cold_until_by_id.pop(endpoint_id, None)
        self._leaving_born_by_id.pop(endpoint_id, None)
        self._orders.end(endpoint_id)
        if self.endpoint_by_id.pop(endpoint_id, None) is not None:
            log_event(_log, "site.endpoint.gone", endpoint=endpoint_id, reason=reason)


def _limit_size(remembered):
    """Drop the oldest item of a dictionary that has grown too large."""
    if len(remembered) > MAX_REMEMBERED:
        del remembered[next(iter(remembered))]
