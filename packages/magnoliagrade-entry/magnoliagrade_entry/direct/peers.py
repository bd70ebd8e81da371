"""Links between direct entries: each tells the others what it has in flight."""

import asyncio
import logging

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.platform import encode_instance, instance_key
from magnoliagrade.store import StoreConflict
from magnoliagrade.wire import (
    EndpointWork,
    Hello,
    Link,
    ServiceOutage,
    WorkInFlight,
    maintain_link,
    serve_links,
)

__all__ = ["PeerLinks", "keep_registered"]

# Changes of this span travel together; about one pass of a group.
SEND_INTERVAL_S = 0.05
# With many entries each has few changes to tell, and messages grow with their square:
# every 0.15 s with 38 entries, in which some 20 requests come to a site of that size.
SEND_INTERVAL_PEER_S = 0.004
# A whole report this often heals whatever a report of changes missed.
WHOLE_INTERVAL_S = 2.0
# Without a message for so long a peer counts as gone: two and a half whole reports.
SILENCE_S = 5.0
# Entries of the store last longer than most outages of the sites' days (4 to 9 s).
LEASE_S = 10.0
# Three renewals may fail before the lease ends.
RENEW_INTERVAL_S = 2.5
# Calls are priced also while the store refuses them.
RETRY_INTERVAL_S = 1.0

_log = logging.getLogger(__name__)


class PeerLinks:
    """Links of one entry to all others.

    Parameters
    ----------
    node : DirectEntry
        The entry.
    """

    __slots__ = ("_changed", "_dialling_by_name", "_node", "_server", "link_by_name")

    def __init__(self, *, node):
        self._node = node
        self._changed = set()
        self._dialling_by_name = {}
        self._server = None
        self.link_by_name = {}

    async def listen(self):
        """Open the listener for links."""
        host, _, port = self._node.settings.link_address.rpartition(":")
        self._server = await serve_links(
            host=host,
            port=int(port),
            make_link=self._make_link,
            hello=self._hello,
            handle=self._run,
        )

    def update(self):
        """Dial entries that have been added and leave those that are gone.

        Notes
        -----
        Of two entries the one with the lesser name dials.
        """
        own = self._node.settings.name
        addresses = self._node.knowledge.link_address_by_name
        wanted = {n: a for n, a in addresses.items() if n > own}
        for name, (address, task) in list(self._dialling_by_name.items()):
            if wanted.get(name) != address:
                task.cancel()
                del self._dialling_by_name[name]
        for name, address in wanted.items():
            if name not in self._dialling_by_name:
                task = self._node.tasks.start(
                    self._dial(name, address), name=f"link to {name}"
                )
                self._dialling_by_name[name] = (address, task)

    def note_change(self, endpoint_id):
        """Note that the work in flight at an endpoint has changed."""
        self._changed.add(endpoint_id)

    async def report(self):
        """Send changes, and everything now and then, until cancelled."""
        clock = self._node.clock
        whole_at = clock.monotonic()
        while True:
            by_peers_s = SEND_INTERVAL_PEER_S * len(self.link_by_name)
            await clock.sleep(max(SEND_INTERVAL_S, by_peers_s))
            if clock.monotonic() >= whole_at:
                whole_at = clock.monotonic() + WHOLE_INTERVAL_S
                self._changed.clear()
                self._broadcast(self._whole_report())
            elif self._changed:
                changed, self._changed = self._changed, set()
                rows = [self._row(endpoint_id) for endpoint_id in changed]
                self._broadcast(WorkInFlight(endpoints=rows))

    def tell_outage(self, service, *, is_out):
        """Tell all peers that a service is out, or back."""
        self._broadcast(ServiceOutage(service=service, is_out=is_out))

    def close(self):
        """Stop listening and close every link."""
        if self._server is not None:
            self._server.close()
        for link in list(self.link_by_name.values()):
            link.close()

    def _dial(self, name, address):
        node = self._node
        return maintain_link(
            address=address,
            make_link=self._make_link,
            hello=self._hello,
            handle=self._run,
            clock=node.clock,
            rng=node.rng,
            source=node.settings.source_address,
            expected=name,
        )

    def _make_link(self, *, reader, writer, is_dialled=False):
        return Link(
            reader=reader,
            writer=writer,
            identity=self._node.identity,
            revision=lambda: self._node.knowledge.version,
            is_dialled=is_dialled,
        )

    def _hello(self):
        settings = self._node.settings
        return Hello(
            role="entry",
            data_centre=settings.data_centre,
            data_address=settings.caller_address,
            control_address=settings.link_address,
        )

    async def _run(self, link):
        name = link.peer_instance
        self.link_by_name[name] = link
        log_event(_log, "link.up", peer=name)
        link.send(self._whole_report())
        try:
            while True:
                async with asyncio.timeout(SILENCE_S):
                    message = await link.receive()
                if isinstance(message, WorkInFlight):
                    self._take(name, message)
                elif isinstance(message, ServiceOutage):
                    self._take_outage(message)
        finally:
            if self.link_by_name.get(name) is link:
                del self.link_by_name[name]
                self._node.places.forget_peer(name)
                self._node.wake_rooms()
            log_event(_log, "link.down", peer=name)

    def _take(self, name, message):
        self._node.places.take_peer_work(
            name, message.endpoints, is_complete=message.is_complete
        )
        self._node.wake_rooms()

    def _take_outage(self, message):
        places = self._node.places
        if message.is_out:
            if places.note_outage(message.service, now=self._node.clock.monotonic()):
                self._node.start_recovery_watch(message.service)
        elif places.note_answer(message.service):
            self._node.wake_rooms()

    def _broadcast(self, message):
        for link in list(self.link_by_name.values()):
            link.send(message)

    def _row(self, endpoint_id):
        place = self._node.places.by_id.get(endpoint_id)
        own = place.own if place is not None else 0
        return EndpointWork(endpoint=endpoint_id, in_flight=own)

    def _whole_report(self):
        rows = [
            EndpointWork(endpoint=endpoint_id, in_flight=place.own)
            for endpoint_id, place in self._node.places.by_id.items()
            if place.own
        ]
        return WorkInFlight(is_complete=True, endpoints=rows)


async def keep_registered(node):
    """Keep the entry's own key in the store under a lease, until cancelled.

    Parameters
    ----------
    node : DirectEntry
        The entry.
    """
    while True:
        try:
            if node.lease is None:
                await _register(node)
            else:
                await node.store.renew_lease(node.lease, purpose="instances")
            pause_s = RENEW_INTERVAL_S
        except StoreConflict:
            node.lease = None
            pause_s = 0.0
        except MagnoliagradeError as exc:
            log_event(_log, "instance.not_registered", detail=exc.detail)
            pause_s = RETRY_INTERVAL_S
        await node.clock.sleep(pause_s)


async def _register(node):
    lease = await node.store.grant_lease(LEASE_S, purpose="instances")
    await node.store.put(
        instance_key(node.settings.name),
        encode_instance(node.settings.link_address),
        expected_revision=None,
        lease=lease,
        purpose="instances",
    )
    node.lease = lease
