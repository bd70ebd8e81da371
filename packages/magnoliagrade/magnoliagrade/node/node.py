"""Base class of entries and agents: identity, links, listeners, shutdown."""

import asyncio
import functools
import random

import aiohttp

from magnoliagrade.clock import SystemClock
from magnoliagrade.http import ListenerLimits, ResponseConnector, start_listener
from magnoliagrade.identity import InstanceIdentity, new_incarnation
from magnoliagrade.node.admin import make_admin_app
from magnoliagrade.node.configuration_spread import ConfigurationPropagation
from magnoliagrade.node.configuration_state import ConfigurationState
from magnoliagrade.node.links import LinkTable, run_link
from magnoliagrade.node.metrics import expose_process_metrics
from magnoliagrade.node.process import announce_ready, bound_address, start_site
from magnoliagrade.node.tasks import Tasks
from magnoliagrade.observability import configure_tracing
from magnoliagrade.store import CallLimiter, HttpStore
from magnoliagrade.wire import (
    Hello,
    Leaving,
    Link,
    LinkCounters,
    serve_links,
)

__all__ = ["Node"]

DRAIN_POLL_INTERVAL_S = 0.05
# Limit on the store calls of a process whose class does not override the method.
STORE_CALLS_PER_S = 5.0


class Node:
    """Base of an entry or agent process.

    Parameters
    ----------
    settings : EntrySettings or AgentSettings
        Checked settings.
    handlers : HandlerTable
        Handlers of this kind of node.
    task_table : TaskTable
        Background tasks of this kind of node.
    clock : Clock, optional
        Source of time; the system clock by default.
    """

    __slots__ = (
        "_handlers",
        "_runners",
        "_server",
        "_task_table",
        "_tracing",
        "addresses",
        "clock",
        "configuration",
        "counters",
        "identity",
        "is_leaving",
        "links",
        "propagation",
        "rng",
        "session",
        "settings",
        "store",
        "tasks",
    )

    role = None
    # `skipped_kinds` of the configuration: kinds of sections that are not parsed.
    unused_kinds = ()

    def __init__(self, *, settings, handlers, task_table, clock=None):
        self.settings = settings
        self.clock = clock or SystemClock()
        self.identity = InstanceIdentity(
            instance=settings.name,
            incarnation=new_incarnation(),
            data_centre=settings.data_centre,
        )
        self.rng = random.Random(self.identity.incarnation)
        self.configuration = ConfigurationState(
            clock=self.clock, skipped_kinds=self.unused_kinds
        )
        self.propagation = ConfigurationPropagation(node=self)
        self.links = LinkTable(clock=self.clock, own_name=settings.name)
        self.counters = LinkCounters()
        self.tasks = Tasks()
        self.is_leaving = False
        self.addresses = {}
        self._handlers = handlers
        self._task_table = task_table
        self._runners = []
        self._server = None

    def open_clients(self):
        """Create the tracer, the HTTP session and the store's client."""
        settings = self.settings
        self._tracing = configure_tracing(
            instance=settings.name,
            otlp_url=settings.otlp_url,
            sampling=settings.sampling,
        )
        self.session = self.make_session()
        self.store = HttpStore(
            url=settings.store_url,
            session=self.session,
            limiter=CallLimiter(clock=self.clock, calls_per_s=self.store_calls_per_s),
        )

    def make_session(self, *, keeps_connections=True):
        """Return a new HTTP session without a total time-out and without cookies.

        Parameters
        ----------
        keeps_connections : bool
            Whether connections are reused for further requests.
        """
        connector = ResponseConnector(
            source_address=self.settings.source_address,
            force_close=not keeps_connections,
        )
        return aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=False,
            # Cookies belong to callers; a cookie jar would add one caller's cookies to
            # the requests of others.
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def listen_http(self, name, app, address, **runner_options):
        """Start serving an application; store its bound address under a name."""
        runner, bound = await start_site(app, address, **runner_options)
        self._runners.append(runner)
        self.addresses[name] = bound

    async def listen_for_requests(
        self, name, handle, address, *, limits=None, is_internal=False
    ):
        """Start a listener for requests; store its bound address under a name.

        Parameters
        ----------
        name : str
            Name of the listener.
        handle : coroutine function
            Called with an HTTP request; returns the response.
        address : str
            `host:port` to listen on.
        limits : ListenerLimits, optional
            Limits of a connection; by default the wide ones of `ListenerLimits`.
        is_internal : bool
            Whether the listener's clients are processes of this system.
        """
        runner, bound = await start_listener(
            handle,
            address,
            limits=limits or ListenerLimits(),
            is_internal=is_internal,
        )
        self._runners.append(runner)
        self.addresses[name] = bound

    async def listen_admin(self, routes=()):
        """Start the admin listener for health, readiness and metrics."""
        expose_process_metrics(self)
        app = make_admin_app(reasons_not_ready=self.reasons_not_ready, routes=routes)
        await self.listen_http("admin", app, self.settings.admin_address)

    async def listen_links(self):
        """Start to accept links from other processes."""
        host, _, port = self.settings.control_address.rpartition(":")
        self._server = await serve_links(
            host=host,
            port=int(port),
            make_link=self.make_link,
            hello=self.hello,
            handle=self.run_link,
        )
        self.addresses["control"] = bound_address(self._server)

    def start_tasks(self):
        """Start the background tasks and announce the bound addresses."""
        for name, function in self._task_table.by_name.items():
            self.tasks.start_lasting(
                functools.partial(function, self), name=name, clock=self.clock
            )
        announce_ready(**self.addresses)

    async def announce_leaving(self):
        """Announce on every link that this instance accepts no new work."""
        self.is_leaving = True
        self.links.broadcast(Leaving(reason="shutdown"))
        await asyncio.sleep(0)

    async def wait_for_requests(self, count_in_flight):
        """Wait until no request is in flight, at most `drain_limit_s` seconds.

        Parameters
        ----------
        count_in_flight : callable
            Returns the number of requests in flight.
        """
        deadline = self.clock.monotonic() + self.settings.drain_limit_s
        while count_in_flight() and self.clock.monotonic() < deadline:
            await self.clock.sleep(DRAIN_POLL_INTERVAL_S)

    async def close(self):
        """Close listeners, links, tasks and clients.

        Notes
        -----
        The HTTP listeners are closed first: requests that still arrive on open
        connections are served, which may need links and tasks.
        """
        self._server.close()
        await asyncio.gather(*(runner.cleanup() for runner in self._runners))
        await self.tasks.stop()
        for link in list(self.links.by_instance.values()):
            link.close()
        await self.session.close()
        self._tracing.shutdown()

    def make_link(self, *, reader, writer, is_dialled=False):
        """Return a link over a new connection."""
        return Link(
            reader=reader,
            writer=writer,
            identity=self.identity,
            revision=lambda: self.configuration.revision,
            counters=self.counters,
            is_dialled=is_dialled,
        )

    async def run_link(self, link):
        """Handle the messages of a link until it ends."""
        await run_link(self, link, self._handlers)

    def hello(self):
        """Return the first message of each link."""
        settings = self.settings
        return Hello(
            role=self.role.value,
            data_centre=self.identity.data_centre,
            data_address=settings.advertised_data_address or self.addresses["data"],
            control_address=(
                settings.advertised_control_address or self.addresses["control"]
            ),
        )

    def store_calls_per_s(self):
        """Return this process's limit on calls to the store, in calls per second."""
        return STORE_CALLS_PER_S

    def on_newer_revision(self, link):
        """Pull the newer configuration of the instance on the other side of a link."""
        self.propagation.on_message(link)

    def on_link_up(self, link):
        """Handle a link that was added; does nothing by default."""

    def on_link_down(self, link):
        """Handle a link that was removed; does nothing by default."""

    def reasons_not_ready(self):
        """Return the reasons why this node must get no requests; empty if ready."""
        return ["the instance is leaving"] if self.is_leaving else []
