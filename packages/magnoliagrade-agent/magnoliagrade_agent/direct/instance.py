"""The direct agent: the process that runs beside a model server."""

import asyncio
import functools
import logging
import random
import signal

import aiohttp
from magnoliagrade.clock import SystemClock
from magnoliagrade.http import ResponseConnector, ResponseMemory
from magnoliagrade.identity import InstanceIdentity, new_incarnation
from magnoliagrade.node import Tasks, start_site
from magnoliagrade.observability import log_event, serve_metrics_text
from magnoliagrade.platform import PlatformStore, RankServer, fetch_configuration
from magnoliagrade.wire import Hello, Link, RankCall, serve_links

from magnoliagrade_agent.direct.coordinator import Coordinator
from magnoliagrade_agent.direct.gathering import Gatherer
from magnoliagrade_agent.direct.group_notices import GroupNoticePublisher
from magnoliagrade_agent.direct.member import RankMember
from magnoliagrade_agent.direct.ports import LocalRankClient
from magnoliagrade_agent.direct.rank_directory import dial_rank
from magnoliagrade_agent.direct.slow_ranks import SlowRankPublisher

__all__ = ["DirectAgent"]

# Time-out of reads from the server on the same machine, which responds within a few ms.
SERVER_TIMEOUT_S = 0.25
# The server responds to orders within 4 ms. The time-out is short because a held pass
# waits for the next try.
ORDER_TIMEOUT_S = 0.08

_log = logging.getLogger(__name__)


class DirectAgent:
    """One running agent beside a model server.

    Parameters
    ----------
    settings : DirectAgentSettings
        Validated settings.
    clock : Clock, optional
        Source of time; the system's by default.

    Attributes
    ----------
    gap_objective_s : float
        Strictest objective for the gap between events among the routes to the group's
        service, in seconds; 0 for no objective.
    last_coordinator : str
        Server address of the agent that last called as coordinator; empty before.
    """

    __slots__ = (
        "_engine",
        "_last_call_at",
        "_links",
        "_runner",
        "_server",
        "clock",
        "coordinator",
        "gatherer",
        "group_notices",
        "gap_objective_s",
        "identity",
        "last_coordinator",
        "member",
        "response_memory",
        "rng",
        "session",
        "settings",
        "slow_ranks",
        "store",
        "tasks",
    )

    def __init__(self, *, settings, clock=None):
        self.settings = settings
        self.clock = clock or SystemClock()
        self.identity = InstanceIdentity(
            instance=settings.name,
            incarnation=new_incarnation(),
            data_centre=settings.data_centre,
        )
        self.rng = random.Random(self.identity.incarnation)
        self.tasks = Tasks()
        self.response_memory = ResponseMemory(
            limit_bytes=settings.response_memory_bytes
        )
        self._last_call_at = self.clock.monotonic()
        self.last_coordinator = ""
        self._engine = None
        self.gap_objective_s = 0.0
        self._links = set()

    async def start(self):
        """Open the listeners for metrics and links and start the coordinator task."""
        settings = self.settings
        source = settings.source_address
        self.session = aiohttp.ClientSession(
            connector=ResponseConnector(source_address=source),
            timeout=aiohttp.ClientTimeout(total=None),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self.store = PlatformStore(address=settings.store_address, session=self.session)
        server = RankServer(
            address=settings.server_address,
            session=self.session,
            timeout_s=SERVER_TIMEOUT_S,
            order_timeout_s=ORDER_TIMEOUT_S,
            memory=self.response_memory,
        )
        self.member = RankMember(server=server, clock=self.clock)
        self.slow_ranks = SlowRankPublisher(store=self.store, clock=self.clock)
        self.group_notices = GroupNoticePublisher(
            member=self.member, store=self.store, clock=self.clock
        )
        self.coordinator = Coordinator(node=self)
        self.gatherer = Gatherer(
            local_client=LocalRankClient(member=self.member),
            own_address=settings.server_address,
            dial=functools.partial(dial_rank, self),
        )
        app = aiohttp.web.Application()
        app.add_routes([aiohttp.web.get("/metrics", serve_metrics_text)])
        self._runner, _ = await start_site(app, settings.metrics_address)
        host, _, port = settings.link_address.rpartition(":")
        self._server = await serve_links(
            host=host,
            port=int(port),
            make_link=self.make_link,
            hello=self.hello,
            handle=self._serve_calls,
        )
        for name, run in (
            ("coordinator", self.coordinator.run),
            ("slow ranks", self.slow_ranks.run),
            ("group notices", self.group_notices.run),
        ):
            self.tasks.start_lasting(run, name=name, clock=self.clock)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._log_reload)
        log_event(_log, "agent.started", incarnation=self.identity.incarnation)

    async def stop(self):
        """Stop the tasks and close all links.

        The next coordinator settles a switch that is under way.
        """
        log_event(_log, "agent.stopped")
        self._server.close()
        await self.tasks.stop()
        for link in list(self._links):
            link.close()
        await self.session.close()

    def seconds_since_call(self):
        """Return the seconds since another agent last called, or since the start."""
        return self.clock.monotonic() - self._last_call_at

    async def engine(self):
        """Return the `EngineProfile` of the group's service; None if none is known."""
        if self._engine is None:
            configuration = await fetch_configuration(self.store, purpose="group")
            if configuration is not None:
                self._select_engine(configuration)
        return self._engine

    def _select_engine(self, configuration):
        for service in configuration.service_by_name.values():
            if service.engine is not None and service.engine.experts:
                self._engine = service.engine
                self.gap_objective_s = min(
                    (
                        route.gap_objective_s
                        for route in configuration.routes
                        if route.gap_objective_s
                        and any(s.service == service.name for s in route.shares)
                    ),
                    default=0.0,
                )

    def make_link(self, *, reader, writer, is_dialled=False):
        """Return a `Link` over a new connection."""
        return Link(
            reader=reader,
            writer=writer,
            identity=self.identity,
            revision=lambda: 0,
            is_dialled=is_dialled,
        )

    def hello(self):
        """Return the `Hello` that is sent first on each link."""
        settings = self.settings
        return Hello(
            role="agent",
            data_centre=settings.data_centre,
            data_address=settings.server_address,
            control_address=settings.link_address,
        )

    def _log_reload(self):
        # An agent reads its settings only at the start.
        log_event(_log, "agent.reloaded")

    async def _serve_calls(self, link):
        self._links.add(link)
        try:
            while True:
                message = await link.receive()
                if isinstance(message, RankCall):
                    self._last_call_at = self.clock.monotonic()
                    if message.operation in ("counts", "gather", "arm"):
                        # Agents that only check whether to take over call none of them.
                        self.last_coordinator = link.hello.data_address
                    elif message.operation == "increments":
                        # Another agent calls it for the coordinator.
                        self.last_coordinator = message.placement.decode()
                    self.tasks.start(
                        self._reply_to_call(link, message), name="rank call"
                    )
        finally:
            self._links.discard(link)

    async def _reply_to_call(self, link, call):
        if call.operation == "gather":
            coordinator = link.hello.data_address
            reply = await self.gatherer.execute(call, coordinator=coordinator)
        else:
            reply = await self.member.execute(call)
        link.send(reply)
