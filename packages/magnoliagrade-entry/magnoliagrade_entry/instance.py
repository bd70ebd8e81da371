"""The entry instance: the state and life cycle of one entry process."""

import logging

from magnoliagrade.configuration import ConfigurationRepository
from magnoliagrade.http import BodyBudget, ListenerLimits, ResponseMemory
from magnoliagrade.node import Node, OutcomeTable
from magnoliagrade.observability import log_event
from magnoliagrade.store import HttpInstanceList
from magnoliagrade.world import Role

from magnoliagrade_entry import (  # noqa: F401
    configuration_watch,
    credit_watch,
    group_watch,
    usage_gossip,
)
from magnoliagrade_entry.claims import ClaimGuard
from magnoliagrade_entry.configuration_routes import configuration_routes
from magnoliagrade_entry.doors import make_caller_handler, make_peer_handler
from magnoliagrade_entry.handlers import entry_handlers, entry_tasks
from magnoliagrade_entry.membership import Departures, KnownInstances, LinkManager
from magnoliagrade_entry.membership.messages import report_listed_departures
from magnoliagrade_entry.requests import (
    Dispatcher,
    ForwardedTable,
    RevocationClient,
    admission_policies,
)
from magnoliagrade_entry.routing import EndpointDirectory, PeerDirectory, Router
from magnoliagrade_entry.shutdown import Shutdown
from magnoliagrade_entry.status import status_routes
from magnoliagrade_entry.watcher_election import WatcherElection

__all__ = ["EntryInstance"]

_log = logging.getLogger(__name__)


class EntryInstance(Node):
    """One running entry.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.
    clock : Clock, optional
        Source of time; the system clock by default.
    """

    __slots__ = (
        "admission",
        "body_budget",
        "claims",
        "closes_connections",
        "departures",
        "dispatcher",
        "watcher_election",
        "endpoints",
        "forwarded",
        "instance_list",
        "known",
        "link_manager",
        "outcomes",
        "peers",
        "repository",
        "requests_in_flight",
        "response_memory",
        "revocations",
        "router",
        "shutdown",
    )

    role = Role.ENTRY

    def __init__(self, *, settings, clock=None):
        super().__init__(
            settings=settings,
            handlers=entry_handlers,
            task_table=entry_tasks,
            clock=clock,
        )
        self.requests_in_flight = 0
        self.closes_connections = False
        self.body_budget = BodyBudget(limit_bytes=settings.body_memory_bytes)
        self.response_memory = ResponseMemory(
            limit_bytes=settings.response_memory_bytes
        )
        directory_options = {
            "configuration": self.configuration,
            "data_centre": settings.data_centre,
        }
        self.departures = Departures()
        self.known = KnownInstances(clock=self.clock)
        directory_options["departures"] = self.departures
        self.endpoints = EndpointDirectory(clock=self.clock, **directory_options)
        self.peers = PeerDirectory(**directory_options)
        self.router = Router(
            configuration=self.configuration,
            endpoints=self.endpoints,
            peers=self.peers,
            rng=self.rng,
            clock=self.clock,
            data_centre=settings.data_centre,
        )
        self.admission = admission_policies.get("fair")(node=self)
        self.dispatcher = Dispatcher(node=self)
        self.claims = ClaimGuard(node=self)
        self.forwarded = ForwardedTable(node=self)
        self.outcomes = OutcomeTable()
        self.revocations = RevocationClient(node=self)
        self.link_manager = LinkManager(node=self)
        self.watcher_election = WatcherElection(node=self)
        self.shutdown = Shutdown(clock=self.clock)

    async def start(self):
        """Open every listener and start the background tasks."""
        settings = self.settings
        self.open_clients()
        self.instance_list = HttpInstanceList(
            url=settings.instances_url, session=self.session
        )
        self.repository = ConfigurationRepository(
            store=self.store, clock=self.clock, rng=self.rng, is_in_background=True
        )
        limits = ListenerLimits(
            header_bytes=settings.header_limit_bytes,
            body_bytes=settings.body_limit_bytes,
            header_timeout_s=settings.header_timeout_s,
            idle_timeout_s=settings.idle_timeout_s,
        )
        await self.listen_for_requests(
            "data", make_peer_handler(self), settings.data_address, is_internal=True
        )
        await self.listen_links()
        await self.listen_admin([*status_routes(self), *configuration_routes(self)])
        await self.listen_for_requests(
            "caller", make_caller_handler(self), settings.caller_address, limits=limits
        )
        self.start_tasks()
        log_event(_log, "entry.started", **self.addresses)

    async def stop(self):
        """Leave gracefully: finish everything in flight, then close."""
        log_event(_log, "entry.leaving", requests_in_flight=self.requests_in_flight)
        settings = self.settings
        self.shutdown.begin(
            self.clock.monotonic() + settings.drain_lag_s + settings.drain_limit_s
        )
        await self.announce_leaving()
        await self.clock.sleep(settings.drain_lag_s)
        self.closes_connections = True
        await self.wait_for_requests(lambda: self.requests_in_flight)
        await self.claims.wait_for_records()
        await self.close()
        log_event(_log, "entry.stopped")

    def on_link_up(self, link):
        """Add the instance at the other end of a link."""
        self.endpoints.on_link_up(link)
        self.peers.on_link_up(link)
        self.watcher_election.on_link_up(link)

    def on_link_down(self, link):
        """Remove the instance at the other end of a link."""
        self.endpoints.on_link_down(link)
        self.peers.on_link_down(link)

    def store_calls_per_s(self):
        """Return the calls per second that this entry may make to the store."""
        entries = [i for i in self.known.by_name.values() if i.role is Role.ENTRY]
        return self.settings.store_calls_per_s / max(1, len(entries))

    def update_instances(self, instances, *, age_s=0.0):
        """Use a list of instances, unless a newer one is known.

        Parameters
        ----------
        instances : list of Instance
            The list.
        age_s : float
            Seconds since it was read from the platform.
        """
        if self.known.update(instances, age_s=age_s):
            report_listed_departures(self, instances)
            self.link_manager.update()

    def reasons_not_ready(self):
        """Return the reasons why this entry is not ready; empty if it is ready."""
        reasons = super().reasons_not_ready()
        data_centre = self.identity.data_centre
        if self.configuration.in_force.is_data_centre_out(data_centre):
            reasons.append(f"data centre {data_centre!r} is out of service")
        if not self.configuration.revision:
            reasons.append(self.watcher_election.missing_configuration_reason())
        return reasons
