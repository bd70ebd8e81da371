"""The agent instance: everything that one agent process holds."""

import logging

from magnoliagrade.algorithms import parse_selector
from magnoliagrade.node import AttemptBook, Node
from magnoliagrade.observability import log_event
from magnoliagrade.wire import Label
from magnoliagrade.world import LoadReport, Role

from magnoliagrade_agent.capacity import CreditBook, limit_policies
from magnoliagrade_agent.door import make_data_app
from magnoliagrade_agent.engine import EngineClient
from magnoliagrade_agent.handlers import agent_handlers, agent_tasks

__all__ = ["AgentInstance"]

_log = logging.getLogger(__name__)


class AgentInstance(Node):
    """One running agent.

    Parameters
    ----------
    settings : AgentSettings
        Checked settings.
    clock : Clock, optional
        Source of time; the system's by default.
    """

    __slots__ = ("attempts", "credits", "engine", "order_session", "pool", "report")

    role = Role.AGENT

    def __init__(self, *, settings, clock=None):
        super().__init__(
            settings=settings,
            handlers=agent_handlers,
            task_table=agent_tasks,
            clock=clock,
        )
        self.attempts = AttemptBook()
        self.credits = CreditBook(
            limit_policy=limit_policies.get("fixed-cold")(), clock=self.clock
        )
        self.report = LoadReport()
        self.pool = None

    async def start(self):
        """Open every listener and start the background tasks."""
        self.open_clients()
        self.order_session = self.make_session(keeps_connections=False)
        self.engine = EngineClient(
            url=self.settings.url,
            session=self.session,
            order_session=self.order_session,
            work=self.settings.work,
        )
        await self.listen_http(
            "data",
            make_data_app(self),
            self.settings.data_address,
            handler_cancellation=True,
        )
        await self.listen_admin()
        await self.listen_links()
        self.start_tasks()
        log_event(_log, "agent.started", **self.addresses)

    async def stop(self):
        """Leave gracefully: finish everything in flight, then close."""
        in_flight = self.credits.count_in_flight
        log_event(_log, "agent.leaving", requests_in_flight=in_flight)
        await self.say_leaving()
        await self.wait_for_requests(lambda: self.credits.count_in_flight)
        await self.close()
        await self.order_session.close()
        log_event(_log, "agent.stopped")

    def hello(self):
        """Return the first message of each link."""
        hello = super().hello()
        labels = self.settings.label_by_name()
        hello.labels = [Label(name=k, value=v) for k, v in sorted(labels.items())]
        hello.group = self.settings.group
        hello.rank = self.settings.rank
        return hello

    def apply_pool(self):
        """Take the limits of the first pool that selects this endpoint."""
        configuration = self.configuration.in_force
        own = self.settings.label_by_name()
        labels = configuration.labels_of(self.identity.instance, own)
        for _, pool in sorted(configuration.pool_by_name.items()):
            if parse_selector(pool.endpoint_selector).matches(labels):
                self.pool = pool
                self.credits.limit_policy.configure(
                    cold_limit=pool.cold_limit, full_limit=pool.full_limit
                )
                return
