"""The direct agent: everything that one process beside a model server holds."""

import asyncio
import logging
import random
import signal

import aiohttp
from magnoliagrade.clock import SystemClock
from magnoliagrade.identity import InstanceIdentity, new_incarnation
from magnoliagrade.node import Tasks, start_site
from magnoliagrade.observability import log_event, serve_metrics_text
from magnoliagrade.platform import PlatformStore, RankServer, fetch_configuration
from magnoliagrade.wire import Hello, Link, RankCall, serve_links

from magnoliagrade_agent.direct.coordinator import Coordinator
from magnoliagrade_agent.direct.member import RankMember
from magnoliagrade_agent.direct.slow_ranks import SlowRankNotice

__all__ = ["DirectAgent"]

# Of calls to the server on the same machine, which answers within some ms.
SERVER_TIMEOUT_S = 0.25
# Orders: answered within 4 ms in a played day; a held pass waits for the next try.
ORDER_TIMEOUT_S = 0.08

_log = logging.getLogger(__name__)


class DirectAgent:
    """One running agent beside a model server.

    Parameters
    ----------
    settings : DirectAgentSettings
        Checked settings.
    clock : Clock, optional
        Source of time; the system's by default.
    """

    __slots__ = (
        "_called_at",
        "_engine",
        "_links",
        "_runner",
        "_server",
        "clock",
        "coordinator",
        "gap_objective_s",
        "identity",
        "last_caller",
        "member",
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
        self._called_at = self.clock.monotonic()
        self.last_caller = ""
        self._engine = None
        self.gap_objective_s = 0.0
        self._links = set()

    async def start(self):
        """Open every listener and start coordinating."""
        settings = self.settings
        source = settings.source_address
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, local_addr=(source, 0) if source else None
            ),
            timeout=aiohttp.ClientTimeout(total=None),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self.store = PlatformStore(address=settings.store_address, session=self.session)
        server = RankServer(
            address=settings.server_address,
            session=self.session,
            timeout_s=SERVER_TIMEOUT_S,
            order_timeout_s=ORDER_TIMEOUT_S,
        )
        self.member = RankMember(server=server, clock=self.clock)
        self.slow_ranks = SlowRankNotice(store=self.store, clock=self.clock)
        self.coordinator = Coordinator(node=self)
        app = aiohttp.web.Application()
        app.add_routes([aiohttp.web.get("/metrics", serve_metrics_text)])
        self._runner, _ = await start_site(app, settings.metrics_address)
        host, _, port = settings.link_address.rpartition(":")
        self._server = await serve_links(
            host=host,
            port=int(port),
            make_link=self.make_link,
            hello=self.hello,
            handle=self._answer_calls,
        )
        self.tasks.start(self.coordinator.run(), name="coordinator")
        self.tasks.start(self.slow_ranks.run(), name="slow ranks")
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._note_reload)
        log_event(_log, "agent.started", incarnation=self.identity.incarnation)

    async def stop(self):
        """Stop; a switch that is under way is settled by the next coordinator."""
        log_event(_log, "agent.stopped")
        self._server.close()
        await self.tasks.stop()
        for link in list(self._links):
            link.close()
        await self.session.close()

    def silent_s(self):
        """Return the seconds since another agent has called."""
        return self.clock.monotonic() - self._called_at

    async def engine(self):
        """Return the `EngineProfile` of the group's service, or None."""
        if self._engine is None:
            configuration = await fetch_configuration(self.store, purpose="group")
            if configuration is not None:
                self._take_engine(configuration)
        return self._engine

    def _take_engine(self, configuration):
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
        """Return a link over a new connection."""
        return Link(
            reader=reader,
            writer=writer,
            identity=self.identity,
            revision=lambda: 0,
            is_dialled=is_dialled,
        )

    def hello(self):
        """Return the first message of each link."""
        settings = self.settings
        return Hello(
            role="agent",
            data_centre=settings.data_centre,
            data_address=settings.server_address,
            control_address=settings.link_address,
        )

    def _note_reload(self):
        # Nothing that an agent reads from its settings changes while it runs.
        log_event(_log, "agent.reloaded")

    async def _answer_calls(self, link):
        self._links.add(link)
        try:
            while True:
                message = await link.receive()
                if isinstance(message, RankCall):
                    self._called_at = self.clock.monotonic()
                    if message.operation in ("counts", "arm"):
                        # Those that only look whether to take over ask for neither.
                        self.last_caller = link.hello.data_address
                    self.tasks.start(self._answer(link, message), name="rank call")
        finally:
            self._links.discard(link)

    async def _answer(self, link, call):
        link.send(await self.member.carry_out(call))
