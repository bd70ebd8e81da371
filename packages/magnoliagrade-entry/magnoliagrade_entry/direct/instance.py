"""The direct entry process: its state, listeners, start and shutdown."""

import asyncio
import contextlib
import functools
import logging
import random
import signal

import aiohttp
from magnoliagrade.clock import SystemClock
from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.http import (
    ListenerLimits,
    ResponseConnector,
    ResponseMemory,
    change_limits,
    start_listener,
)
from magnoliagrade.identity import InstanceIdentity, new_incarnation
from magnoliagrade.node import Tasks, start_site
from magnoliagrade.observability import log_event, serve_metrics_text
from magnoliagrade.platform import PlatformStore

from magnoliagrade_entry.direct.admission.retry_budget import RetryBudget
from magnoliagrade_entry.direct.admission.waiting import WaitQueue
from magnoliagrade_entry.direct.exchange.peer_links import PeerLinks
from magnoliagrade_entry.direct.explanation import explain_routes
from magnoliagrade_entry.direct.knowledge.registration import keep_registered
from magnoliagrade_entry.direct.knowledge.site_relay import SiteRelays
from magnoliagrade_entry.direct.knowledge.site_state import STORE_SETTLE_S, SiteState
from magnoliagrade_entry.direct.knowledge.site_watch import follow_site
from magnoliagrade_entry.direct.placement.cold_rates import ColdIntervals
from magnoliagrade_entry.direct.placement.endpoint_table import EndpointTable
from magnoliagrade_entry.direct.placement.group_notices import GroupNotices
from magnoliagrade_entry.direct.placement.limit_exchange import LimitExchange
from magnoliagrade_entry.direct.placement.recovery import watch_recovery
from magnoliagrade_entry.direct.scope import Scope
from magnoliagrade_entry.direct.serving.crash_guard import CrashGuard
from magnoliagrade_entry.direct.serving.door import make_caller_handler, ready_routes
from magnoliagrade_entry.direct.serving.server_crashes import CrashWatch
from magnoliagrade_entry.direct.serving.upstream import (
    EndpointConnector,
    trace_connections,
)
from magnoliagrade_entry.shutdown import Shutdown

__all__ = ["DirectEntry"]

# The platform takes an entry out of rotation after two failed readiness checks, one
# second apart.
ROTATION_LAG_S = 2.5
# Part of the grace period that is reserved for closing open connections.
CLOSE_MARGIN_S = 0.7
# Time limit for the error responses to the requests that are left at the end, which is
# part of that margin.
END_TIME_LIMIT_S = 0.2
# Interval of checks for requests in flight; short compared with the grace period.
DRAIN_POLL_S = 0.05
# An entry is ready while its configuration was confirmed within this fraction of the
# bound on revoked keys, so that the platform stops sending requests to it before they
# have to be rejected.
READY_MAX_AGE_FRACTION = 0.7
# Time after the start until an entry knows the names of those that have started at the
# same time, and number of entries that it assumes before.
NAMES_KNOWN_AFTER_S = 4.0
ASSUMED_ENTRIES = 40
# A connection is paused while twice as many bytes of a response are not read yet.
UNREAD_BYTES = 32 * 1024
# Interval of checks for free slots: no event marks the end of an ejection.
WAKE_INTERVAL_S = 0.05

_log = logging.getLogger(__name__)


class DirectEntry:
    """One running entry that sends requests directly to endpoints.

    Parameters
    ----------
    settings : DirectSettings
        Checked settings.
    clock : Clock, optional
        Source of time; the system clock by default.
    listener : socket.socket, optional
        Socket that already listens for callers; opened by `start` if None.
    """

    __slots__ = (
        "_cold_intervals",
        "_group_notices",
        "_listener",
        "_recovery_by_domain",
        "_runners",
        "_wait_queue_by_service",
        "admin_address",
        "caller_address",
        "caller_listener",
        "clock",
        "configured",
        "crash_guard",
        "crash_watch",
        "endpoint_table",
        "identity",
        "is_leaving",
        "lease",
        "limit_exchange",
        "peers",
        "rejects_requests",
        "relays",
        "requests_in_flight",
        "response_memory",
        "retry_budget",
        "rng",
        "settings",
        "shutdown",
        "site_state",
        "started_at",
        "store",
        "store_session",
        "tasks",
        "upstream_session",
    )

    def __init__(self, *, settings, clock=None, listener=None):
        self.settings = settings
        self.clock = clock or SystemClock()
        self.identity = InstanceIdentity(
            instance=settings.name,
            incarnation=new_incarnation(),
            data_centre=settings.data_centre,
        )
        self.rng = random.Random(self.identity.incarnation)
        self.tasks = Tasks()
        self.site_state = SiteState(clock=self.clock)
        self.endpoint_table = EndpointTable(
            data_centre=settings.data_centre,
            rng=self.rng,
            is_coldness_unknown=self.site_state.is_coldness_unknown,
            report_interval_s=lambda scope: self.peers.report_interval_s(scope),
            count_entries=self.count_entries,
        )
        self.relays = SiteRelays(node=self)
        self.peers = PeerLinks(node=self)
        self.limit_exchange = LimitExchange(node=self)
        self.crash_guard = CrashGuard(clock=self.clock)
        self.crash_watch = CrashWatch(node=self)
        self.retry_budget = RetryBudget(
            ratio=settings.retry_ratio,
            extra=settings.retry_extra,
            window_s=settings.retry_window_s,
            count_entries=lambda: len(self.site_state.link_address_by_name),
        )
        self.response_memory = ResponseMemory(
            limit_bytes=settings.response_memory_bytes
        )
        self.shutdown = Shutdown(clock=self.clock)
        self._cold_intervals = ColdIntervals(name=settings.name)
        self._group_notices = GroupNotices(node=self)
        self.lease = None
        self.is_leaving = False
        self.rejects_requests = False
        self.requests_in_flight = 0
        self.caller_listener = None
        self._listener = listener
        self.configured = asyncio.Event()
        self.started_at = self.clock.monotonic()
        self._recovery_by_domain = {}
        self._wait_queue_by_service = {}
        self._runners = []

    async def start(self):
        """Open every listener and start the background tasks."""
        settings = self.settings
        self._open_clients()
        self.caller_listener, self.caller_address = await start_listener(
            make_caller_handler(self),
            settings.caller_address,
            limits=ListenerLimits(),
            listener=self._listener,
        )
        await self._serve(ready_routes(self), settings.ready_address)
        self.admin_address = await self._serve(
            [
                aiohttp.web.get("/metrics", serve_metrics_text),
                *explain_routes(self),
            ],
            settings.metrics_address,
        )
        await self.peers.listen()
        self.start_lasting(functools.partial(follow_site, self), name="site")
        self.start_lasting(
            functools.partial(keep_registered, self), name="registration"
        )
        for scope in Scope:
            self.start_lasting(
                functools.partial(self.peers.report, scope),
                name=f"{scope.value} reports",
            )
        self.start_lasting(
            self.peers.pull_newer_configurations, name="newer configurations"
        )
        self.start_lasting(self._wake_periodically, name="waking")
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._log_reload)
        log_event(_log, "entry.started", incarnation=self.identity.incarnation)

    async def stop(self):
        """Drain the requests in flight, then close.

        Requests that may outlast the entry are rejected from the start, and those that
        are left at the end get an error response.
        """
        began_at = self.clock.monotonic()
        self.is_leaving = True
        log_event(_log, "entry.leaving", requests_in_flight=self.requests_in_flight)
        ends_at = began_at + self.settings.grace_s - CLOSE_MARGIN_S
        self.shutdown.begin(ends_at)
        while self.clock.monotonic() < ends_at:
            waited_s = self.clock.monotonic() - began_at
            if waited_s >= ROTATION_LAG_S:
                await self._stop_accepting_requests()
                if not self.requests_in_flight:
                    break
            await self.clock.sleep(DRAIN_POLL_S)
        self.shutdown.end()
        closes_at = self.clock.monotonic() + END_TIME_LIMIT_S
        while self.requests_in_flight and self.clock.monotonic() < closes_at:
            await self.clock.sleep(DRAIN_POLL_S)
        log_event(
            _log,
            "entry.stopped",
            requests_cut=self.requests_in_flight,
            requests_ended=self.shutdown.requests_ended,
        )
        await self.close_now()

    def start_lasting(self, run, *, name):
        """Start a task that is started again if it fails; see `Tasks.start_lasting`."""
        return self.tasks.start_lasting(run, name=name, clock=self.clock)

    def on_site_changed(self):
        """Apply the current site state to endpoints, limits, peers and wait queues."""
        site_state = self.site_state
        configuration = site_state.configuration
        if configuration is None:
            return
        self.configured.set()
        endpoints = [
            endpoint
            for service in configuration.service_by_name
            for endpoint in site_state.endpoints_of(service)
        ]
        self.endpoint_table.update(endpoints)
        self.endpoint_table.update_slow_ranks(site_state.slow_ranks_by_group.values())
        self.endpoint_table.update_groups(site_state.rank_groups_by_name.values())
        self._group_notices.apply(site_state.rank_groups_by_name.values())
        self._update_coldness(configuration)
        self.limit_exchange.on_site_changed()
        self.crash_guard.published = set(site_state.blocked_requests)
        self._apply_limits(configuration.limits)
        self.peers.update()
        self.wake_wait_queues()

    def on_outage(self, domain, *, is_unavailable):
        """Log and announce to the other entries the start or end of an outage.

        Parameters
        ----------
        domain : FaultDomain
            Endpoints that are out together.
        is_unavailable : bool
            Whether the outage begins.
        """
        log_event(
            _log,
            "service.out" if is_unavailable else "service.back",
            level=logging.WARNING if is_unavailable else logging.INFO,
            service=domain.service,
            group=domain.group,
        )
        self.peers.announce_outage(domain, is_out=is_unavailable)
        if is_unavailable:
            self.start_recovery_watch(domain)
        self.wake_wait_queues()

    def record_leaving(self, endpoint):
        """Send no more requests to an endpoint that states that it is leaving."""
        if self.site_state.registry.record_leaving(endpoint):
            self.on_site_changed()

    def start_recovery_watch(self, domain):
        """Start polling an unavailable fault domain, unless a task does so."""
        running = self._recovery_by_domain.get(domain)
        if running is None or running.done():
            self._recovery_by_domain[domain] = self.start_lasting(
                functools.partial(watch_recovery, self, domain),
                name=f"recovery of {domain.service} {domain.group}",
            )

    def on_load_changed(self, endpoint_id):
        """Mark an endpoint's work in flight as changed, to be reported to peers."""
        self.peers.mark_changed(endpoint_id)

    def schedule_endpoint_expiry(self):
        """Schedule the removal of endpoints that do not register again."""
        self.tasks.start(self._drop_missing_after_settling(), name="settling")

    def wait_queue_of(self, service):
        """Return the wait queue of a service, created at its first use."""
        queue = self._wait_queue_by_service.get(service)
        if queue is None:
            queue = self._wait_queue_by_service[service] = WaitQueue(
                service=service,
                endpoint_table=self.endpoint_table,
                limit_exchange=self.limit_exchange,
                clock=self.clock,
                rng=self.rng,
            )
        return queue

    def count_entries(self):
        """Return the number of entries that may run, with this one.

        Placeholders for unknown entries count only while no link is up.
        """
        linked = self.peers.link_by_name
        names = linked.keys() | self.site_state.link_address_by_name.keys()
        return len({*(names if linked else self._entry_names()), self.settings.name})

    def wake_wait_queues(self):
        """Assign free slots to waiting requests."""
        for queue in self._wait_queue_by_service.values():
            queue.wake()

    def reasons_not_ready(self):
        """Return why this entry should get no new connections; empty if ready."""
        if self.is_leaving:
            return ["the instance is leaving"]
        if self.site_state.configuration is None:
            return ["no configuration has been received"]
        age_s = self.site_state.age_s()
        if age_s > READY_MAX_AGE_FRACTION * self.settings.revoke_ms / 1000:
            return [
                f"the configuration was last confirmed {age_s:.1f} s ago, more than "
                f"{READY_MAX_AGE_FRACTION} of revoke_ms={self.settings.revoke_ms:g}"
            ]
        return []

    async def _serve(self, routes, address):
        """Serve admin routes at an address; return the address with the bound port."""
        app = aiohttp.web.Application()
        app.add_routes(routes)
        runner, bound = await start_site(app, address)
        self._runners.append(runner)
        return bound

    def _open_clients(self):
        source = self.settings.source_address
        no_timeout = aiohttp.ClientTimeout(total=None)
        self.store_session = aiohttp.ClientSession(
            connector=ResponseConnector(source_address=source),
            timeout=no_timeout,
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self.upstream_session = aiohttp.ClientSession(
            connector=EndpointConnector(source_address=source),
            trace_configs=[trace_connections()],
            timeout=no_timeout,
            auto_decompress=False,
            read_bufsize=UNREAD_BYTES,
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self.store = PlatformStore(
            address=self.settings.store_address, session=self.store_session
        )

    def _update_coldness(self, configuration):
        self._cold_intervals.set_names(self._entry_names())

        def interval_s(endpoint):
            service = configuration.service_by_name[endpoint.service]
            return self._cold_intervals.interval_s(endpoint.id, service.cold_per_s)

        self.endpoint_table.update_coldness(
            self.site_state.registry.cold_until, interval_s
        )

    def _entry_names(self):
        """Return the names of all entries, with placeholders for unknown ones.

        The entries that start together after a long outage know none of the others.
        """
        names = {*self.site_state.link_address_by_name, *self.peers.link_by_name}
        if self.clock.monotonic() < self.started_at + NAMES_KNOWN_AFTER_S:
            missing = ASSUMED_ENTRIES - len(names)
            names.update(f"unknown {number}" for number in range(missing))
        return names

    def _apply_limits(self, limits):
        change_limits(
            self.caller_listener,
            ListenerLimits(
                header_bytes=limits.header_bytes,
                body_bytes=limits.body_bytes,
                header_timeout_s=limits.header_timeout_s,
                idle_timeout_s=limits.idle_timeout_s,
            ),
        )

    async def _stop_accepting_requests(self):
        """Reject new requests, so that those in flight finish in time."""
        if self.rejects_requests:
            return
        self.rejects_requests = True
        for site in list(self.caller_listener.sites):
            await site.stop()

    async def _drop_missing_after_settling(self):
        await self.clock.sleep(STORE_SETTLE_S)
        if self.site_state.drop_missing_endpoints():
            self.on_site_changed()

    async def _wake_periodically(self):
        while True:
            await self.clock.sleep(WAKE_INTERVAL_S)
            self.limit_exchange.issue_due_permits()
            self.wake_wait_queues()

    def _log_reload(self):
        # Nothing to reload: all settings that may change at run time are in the store.
        log_event(_log, "entry.reloaded", version=self.site_state.version)

    async def close_now(self):
        """Close all listeners and connections at once; requests in flight are cut."""
        if self.lease is not None:
            with contextlib.suppress(MagnoliagradeError):
                await self.store.revoke_lease(self.lease, purpose="instances")
        self.peers.close()
        await self.tasks.stop()
        for runner in (self.caller_listener, *self._runners):
            for connection in list(runner.server.connections):
                if connection.transport is not None:
                    connection.transport.close()
            await asyncio.gather(*(site.stop() for site in list(runner.sites)))
        await self.upstream_session.close()
        await self.store_session.close()
