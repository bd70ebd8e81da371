"""Links between direct entries, which report their requests in flight to each other."""

import asyncio
import functools
import logging

from magnoliagrade.observability import log_event
from magnoliagrade.platform import FormatError
from magnoliagrade.wire import (
    EndpointLimit,
    EndpointWork,
    Hello,
    Link,
    Permit,
    PermitRequest,
    RequestCrash,
    RequestServed,
    ServiceOutage,
    SiteChanges,
    SiteChangesPull,
    SiteConfigurationCopy,
    SiteConfigurationPull,
    WorkInFlight,
    maintain_link,
    serve_links,
)
from prometheus_client import Gauge

from magnoliagrade_entry.direct.placement.fault_domains import FaultDomain
from magnoliagrade_entry.direct.scope import Scope
from magnoliagrade_entry.direct.serving.crash_suspects import ServerCrash
from magnoliagrade_entry.direct.serving.request_traits import RequestTraits

__all__ = ["PeerLinks"]

# Changes within this interval, about one pass of a group, are sent in one message.
SEND_INTERVAL_S = 0.05
# Shortest interval between messages, per linked peer in the same data centre and in
# others. The number of messages grows with the square of the number of entries, while
# each entry has fewer changes to report. Bytes between data centres are dear, and most
# requests stay in their data centre.
SEND_INTERVAL_PER_PEER_S = 0.004
SEND_INTERVAL_PER_REMOTE_PEER_S = 0.02
# Interval of full reports, which correct changes missed by the partial ones.
FULL_REPORT_INTERVAL_S = 2.0
# A link without a message for this long is closed; two and a half intervals between
# full reports.
PEER_TIMEOUT_S = 5.0
# Time for which a peer may have a newer configuration before it is asked for it. The
# store's watch delivers a change to all entries within a few hundred ms.
PULL_DELAY_S = 0.8
# Interval of checks for a newer configuration of a peer; short compared with the delay.
PULL_CHECK_INTERVAL_S = 0.1

PEERS = Gauge("magnoliagrade_direct_peers", "Other entries by state", ["result"])
_log = logging.getLogger(__name__)


class PeerLinks:
    """Links of one entry to all others.

    Parameters
    ----------
    node : DirectEntry
        The entry.

    Attributes
    ----------
    address : str
        `host:port` that peers dial, with the port that `listen` has opened.
    """

    __slots__ = (
        "_behind_since",
        "_changed_by_scope",
        "_dialling_by_name",
        "_handler_by_class",
        "_node",
        "_server",
        "address",
        "link_by_name",
    )

    def __init__(self, *, node):
        self._node = node
        self._behind_since = None
        self._changed_by_scope = {scope: set() for scope in Scope}
        self._dialling_by_name = {}
        self._handler_by_class = {
            WorkInFlight: self._apply_peer_work,
            ServiceOutage: self._apply_peer_outage,
            RequestCrash: self._record_peer_crash,
            RequestServed: self._record_peer_success,
            EndpointLimit: self._receive_limit,
            PermitRequest: self._receive_limit,
            Permit: self._receive_limit,
            SiteChangesPull: node.relays.receive_pull,
            SiteChanges: node.relays.receive_reply,
            SiteConfigurationPull: self._send_configuration,
            SiteConfigurationCopy: self._apply_peer_configuration,
        }
        self._server = None
        self.address = node.settings.link_address
        self.link_by_name = {}
        PEERS.labels("linked").set_function(lambda: len(self.link_by_name))
        PEERS.labels("registered").set_function(
            lambda: len(node.site_state.link_address_by_name)
        )

    async def listen(self):
        """Open the listener for links."""
        host, _, port = self._node.settings.link_address.rpartition(":")
        self._server = await serve_links(
            host=host,
            port=int(port),
            make_link=self._make_link,
            hello=self._hello,
            handle=self._exchange_reports,
        )
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def update(self):
        """Start links to added entries and stop those to removed ones.

        Notes
        -----
        Of two entries, the one whose name sorts first dials.
        """
        local_name = self._node.settings.name
        addresses = self._node.site_state.link_address_by_name
        wanted = {n: a for n, a in addresses.items() if n > local_name}
        for name, (address, task) in list(self._dialling_by_name.items()):
            if wanted.get(name) != address:
                task.cancel()
                del self._dialling_by_name[name]
        for name, address in wanted.items():
            if name not in self._dialling_by_name:
                task = self._node.start_lasting(
                    functools.partial(self._dial, name, address),
                    name=f"link to {name}",
                )
                self._dialling_by_name[name] = (address, task)

    def mark_changed(self, endpoint_id):
        """Mark an endpoint's work in flight as changed, to be reported."""
        for changed in self._changed_by_scope.values():
            changed.add(endpoint_id)

    def report_interval_s(self, scope):
        """Return the interval of reports to the peers of a `Scope`, in seconds.

        The intervals of the other entries are much alike.
        """
        per_peer_s = (
            SEND_INTERVAL_PER_PEER_S
            if scope is Scope.LOCAL
            else SEND_INTERVAL_PER_REMOTE_PEER_S
        )
        return max(SEND_INTERVAL_S, per_peer_s * len(self._links_of(scope)))

    async def report(self, scope):
        """Send changes and, at longer intervals, full reports until cancelled.

        Parameters
        ----------
        scope : Scope
            Peers that the reports are sent to.
        """
        clock = self._node.clock
        full_report_at = clock.monotonic()
        while True:
            await clock.sleep(self.report_interval_s(scope))
            changed = self._changed_by_scope[scope]
            if clock.monotonic() >= full_report_at:
                full_report_at = clock.monotonic() + FULL_REPORT_INTERVAL_S
                message = self._full_report()
            elif changed:
                rows = [self._row(endpoint_id) for endpoint_id in changed]
                message = WorkInFlight(endpoints=rows)
            else:
                continue
            changed.clear()
            for link in self._links_of(scope):
                link.send(message)
            if scope is Scope.LOCAL:
                self._node.endpoint_table.record_report()

    async def pull_newer_configurations(self):
        """Ask peers for configurations that the store does not deliver in time."""
        while True:
            await self._node.clock.sleep(PULL_CHECK_INTERVAL_S)
            self._pull_newer_configuration()

    def broadcast(self, message):
        """Send a message to all linked peers."""
        for link in list(self.link_by_name.values()):
            link.send(message)

    def announce_outage(self, domain, *, is_out):
        """Announce to all peers that an outage of a fault domain begins or ends."""
        self.broadcast(
            ServiceOutage(service=domain.service, group=domain.group, is_out=is_out)
        )

    def announce_crash(self, crash):
        """Announce to all peers that a server ended while it ran a request."""
        self.broadcast(self._crash_message(crash))

    def announce_served(self, traits):
        """Announce to all peers that a request is served under which a server ended."""
        self.broadcast(RequestServed(**_trait_fields(traits)))

    def newest_version(self):
        """Return the newest configuration version of any linked entry; 0 without."""
        return max(
            (link.peer_revision for link in self.link_by_name.values()), default=0
        )

    def close(self):
        """Stop listening and close all links."""
        if self._server is not None:
            self._server.close()
        for link in list(self.link_by_name.values()):
            link.close()

    def scope_of(self, link):
        """Return the `Scope` that the peer of a link belongs to."""
        is_local = link.hello.data_centre == self._node.settings.data_centre
        return Scope.LOCAL if is_local else Scope.REMOTE

    def _links_of(self, scope):
        return [
            link for link in self.link_by_name.values() if self.scope_of(link) is scope
        ]

    def _dial(self, name, address):
        node = self._node
        return maintain_link(
            address=address,
            make_link=self._make_link,
            hello=self._hello,
            handle=self._exchange_reports,
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
            revision=lambda: self._node.site_state.version,
            is_dialled=is_dialled,
        )

    def _hello(self):
        settings = self._node.settings
        return Hello(
            role="entry",
            data_centre=settings.data_centre,
            data_address=settings.caller_address,
            control_address=self.address,
        )

    async def _exchange_reports(self, link):
        name = link.peer_instance
        self.link_by_name[name] = link
        log_event(_log, "link.up", peer=name, peer_version=link.peer_revision)
        link.send(self._full_report())
        for limit in self._node.limit_exchange.all_limits():
            link.send(limit)
        for crash in self._node.crash_guard.crashes():
            link.send(self._crash_message(crash))
        try:
            while True:
                async with asyncio.timeout(PEER_TIMEOUT_S):
                    message = await link.receive()
                handle = self._handler_by_class.get(type(message))
                if handle is not None:
                    handle(link, message)
        finally:
            if self.link_by_name.get(name) is link:
                del self.link_by_name[name]
                self._node.endpoint_table.remove_peer(name)
                self._node.wake_wait_queues()
            self._node.relays.drop_link(link)
            log_event(_log, "link.down", peer=name)

    def _crash_message(self, crash):
        return RequestCrash(
            endpoint=crash.endpoint_id,
            age_seconds=self._node.clock.monotonic() - crash.crashed_at,
            lasted_seconds=crash.crashed_at - crash.began_at,
            silent_seconds=crash.crashed_at - crash.responded_at,
            **_trait_fields(crash.traits),
        )

    def _record_peer_success(self, _link, message):
        self._node.crash_guard.record_served(_traits_of_message(message))

    def _receive_limit(self, link, message):
        self._node.limit_exchange.receive(link.peer_instance, message)

    def _record_peer_crash(self, _link, message):
        crashed_at = self._node.clock.monotonic() - message.age_seconds
        crash = ServerCrash(
            endpoint_id=message.endpoint,
            traits=_traits_of_message(message),
            began_at=crashed_at - message.lasted_seconds,
            crashed_at=crashed_at,
            responded_at=crashed_at - message.silent_seconds,
        )
        self._node.crash_guard.record_crashes([crash])

    def _apply_peer_work(self, link, message):
        self._node.endpoint_table.update_peer_work(
            link.peer_instance,
            message.endpoints,
            is_complete=message.is_complete,
            scope=self.scope_of(link),
            now=self._node.clock.monotonic(),
        )
        self._node.wake_wait_queues()

    def _apply_peer_outage(self, _link, message):
        outages = self._node.endpoint_table.outages
        domain = FaultDomain(service=message.service, group=message.group)
        if message.is_out:
            if outages.begin(domain, now=self._node.clock.monotonic()):
                self._node.start_recovery_watch(domain)
        elif outages.end(domain):
            self._node.wake_wait_queues()

    def _pull_newer_configuration(self):
        """Ask a peer for its configuration if the store does not deliver it in time."""
        now = self._node.clock.monotonic()
        version = self._node.site_state.version
        ahead = [
            link for link in self.link_by_name.values() if link.peer_revision > version
        ]
        if not ahead:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since >= PULL_DELAY_S:
            self._behind_since = now
            link = self._node.rng.choice(ahead)
            log_event(
                _log,
                "site.configuration.behind",
                level=logging.WARNING,
                version=version,
                peer=link.peer_instance,
                peer_version=link.peer_revision,
            )
            link.send(SiteConfigurationPull(version=version))

    def _send_configuration(self, link, message):
        site_state = self._node.site_state
        if site_state.version > message.version:
            link.send(SiteConfigurationCopy(data=site_state.configuration_data))

    def _apply_peer_configuration(self, link, message):
        try:
            self._node.site_state.apply_peer_configuration(message.data)
        except FormatError as exc:
            log_event(
                _log,
                "site.configuration.refused",
                level=logging.WARNING,
                peer=link.peer_instance,
                detail=exc.detail,
            )
            return
        self._node.on_site_changed()

    def _row(self, endpoint_id):
        load = self._node.endpoint_table.by_id.get(endpoint_id)
        in_flight = load.local_in_flight if load is not None else 0
        return EndpointWork(endpoint=endpoint_id, in_flight=in_flight)

    def _full_report(self):
        rows = [
            EndpointWork(endpoint=endpoint_id, in_flight=load.local_in_flight)
            for endpoint_id, load in self._node.endpoint_table.by_id.items()
            if load.local_in_flight
        ]
        return WorkInFlight(is_complete=True, endpoints=rows)


def _trait_fields(traits):
    return {
        "parts": list(traits.parts),
        "request": traits.request,
        "variant": traits.variant,
        "caller": traits.caller,
    }


def _traits_of_message(message):
    return RequestTraits(
        request=message.request,
        variant=message.variant,
        caller=message.caller,
        parts=tuple(message.parts),
    )
