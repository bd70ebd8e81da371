"""Agreement of all entries on the requests sent to endpoints that name a limit."""

import asyncio

from magnoliagrade.wire import EndpointLimit, Permit, PermitRequest

from magnoliagrade_entry.direct.placement.endpoint_limits import EndpointLimits
from magnoliagrade_entry.direct.placement.permits import (
    PERMIT_LIFE_S,
    PermitIssuer,
    PermitRequests,
    issue_rate,
    issuer_of,
)

__all__ = ["LimitExchange"]


class LimitExchange:
    """Tells peers the limits of endpoints, and asks for and issues permits.

    Parameters
    ----------
    node : DirectEntry
        The entry.

    Attributes
    ----------
    limits : EndpointLimits
        Limits that are known.
    """

    __slots__ = ("_issuer", "_node", "_requests", "limits")

    def __init__(self, *, node):
        self._node = node
        self._issuer = PermitIssuer(clock=node.clock)
        self._requests = PermitRequests(clock=node.clock)
        self.limits = EndpointLimits(clock=node.clock)

    def record_response(self, endpoint_id, limit_per_s, *, sent_at):
        """Record what a response says of an endpoint's limit, and tell peers.

        The parameters are those of `EndpointLimits.record_response`.
        """
        if self.limits.record_response(endpoint_id, limit_per_s, sent_at=sent_at):
            self._node.peers.broadcast(
                EndpointLimit(endpoint=endpoint_id, per_second=limit_per_s)
            )
            self._apply_limits()

    def all_limits(self):
        """Return the messages that tell a peer all limits."""
        return [
            EndpointLimit(endpoint=endpoint_id, per_second=limit_per_s)
            for endpoint_id, limit_per_s in self.limits.limit_by_id.items()
        ]

    def receive(self, name, message):
        """Handle a message of another entry.

        Parameters
        ----------
        name : str
            Name of the entry.
        message : EndpointLimit, PermitRequest or Permit
            The message.
        """
        if isinstance(message, EndpointLimit):
            if self.limits.record(message.endpoint, message.per_second):
                self._apply_limits()
        elif isinstance(message, PermitRequest):
            self._queue_request(message.endpoint, name, message.per_second)
        else:
            self._accept_permit(message.endpoint)

    def request_permit(self, service, *, rival, excluded, waiting, now):
        """Ask for a permit for an endpoint that would be selected if it had one.

        Parameters
        ----------
        service : str
            Service.
        rival : EndpointLoad or None
            Load of the endpoint that is selected without further permits.
        excluded : collection of str
            Ids of endpoints that must not be selected.
        waiting : int
            Requests that wait; at most one more permit than these is asked for.
        now : float
            Time in seconds.
        """
        if not self.limits.limit_by_id:
            return
        pending = self._requests.pending_ids()
        table = self._node.endpoint_table
        if len(pending & set(table.ids_by_service.get(service, ()))) > waiting:
            return
        load = table.select_limited_endpoint(
            service, now=now, excluded=pending | set(excluded), rival=rival
        )
        if load is None:
            return
        endpoint_id = load.endpoint.id
        self._requests.begin(endpoint_id)
        links = self._node.peers.link_by_name
        issuer = issuer_of(endpoint_id, [*links, self._node.settings.name])
        if issuer in links:
            links[issuer].send(
                PermitRequest(endpoint=endpoint_id, per_second=load.limit_per_s)
            )
        else:
            self._queue_request(endpoint_id, self._node.settings.name, load.limit_per_s)

    def count_entries(self):
        """Return the number of entries that may run, with this one."""
        return self._node.count_entries()

    def issue_due_permits(self):
        """Issue the permits that are due to the entries that wait for them."""
        links = self._node.peers.link_by_name
        for name, endpoint_id in self._issuer.issue_due():
            if name in links:
                links[name].send(Permit(endpoint=endpoint_id))
            elif name == self._node.settings.name:
                self._accept_permit(endpoint_id)

    def on_site_changed(self):
        """Apply the limits to the current endpoints."""
        self.limits.drop_unregistered(self._node.site_state.registry.endpoint_by_id)
        self._apply_limits()

    def _queue_request(self, endpoint_id, name, limit_per_s):
        # What this entry knows is newer than what a request says: changes of a limit
        # are told at once.
        limit_per_s = self.limits.limit_by_id.get(endpoint_id, limit_per_s)
        linked = len(self._node.peers.link_by_name) + 1
        known = max(linked, self.count_entries())
        rate_per_s = issue_rate(limit_per_s, linked=linked, known=known)
        self._issuer.request(endpoint_id, name, rate_per_s)
        # Not at once: the caller is selecting an endpoint for a waiting request.
        asyncio.get_running_loop().call_soon(self.issue_due_permits)

    def _accept_permit(self, endpoint_id):
        self._requests.end(endpoint_id)
        load = self._node.endpoint_table.by_id.get(endpoint_id)
        if load is not None:
            load.permitted_until = self._node.clock.monotonic() + PERMIT_LIFE_S
            self._node.wake_wait_queues()

    def _apply_limits(self):
        self._node.endpoint_table.update_limits(self.limits.limit_of)
        self._node.wake_wait_queues()
