"""The agent instance: the state and life cycle of one agent process."""

import importlib
import logging

from magnoliagrade.algorithms import parse_selector
from magnoliagrade.node import AttemptTable, Node, OutcomeTable
from magnoliagrade.observability import log_event
from magnoliagrade.wire import Label
from magnoliagrade.world import Role, Work

from magnoliagrade_agent.capacity import CreditLedger, limit_policies
from magnoliagrade_agent.door import make_data_handler
from magnoliagrade_agent.engine import EngineClient
from magnoliagrade_agent.handlers import agent_handlers, agent_tasks
from magnoliagrade_agent.load_watch import LoadWatch, send_grants

__all__ = ["AgentInstance"]

DEFAULT_LIMIT_POLICY = "evidence"
LIMIT_POLICY_OPTION = "option.limit.policy"
# Time from an entry's choice of this agent to the arrival of the request here.
LEAVING_LAG_S = 0.5
_log = logging.getLogger(__name__)


class AgentInstance(Node):
    """One running agent.

    Parameters
    ----------
    settings : AgentSettings
        Checked settings.
    clock : Clock, optional
        Source of time; the system clock by default.
    """

    __slots__ = (
        "_was_rejecting",
        "attempts",
        "credits",
        "engine",
        "group_service",
        "is_listed_leaving",
        "load_watch",
        "single_use_session",
        "outcomes",
        "pool",
    )

    role = Role.AGENT
    unused_kinds = ("organisation",)

    def __init__(self, *, settings, clock=None):
        super().__init__(
            settings=settings,
            handlers=agent_handlers,
            task_table=agent_tasks,
            clock=clock,
        )
        self.attempts = AttemptTable()
        self.outcomes = OutcomeTable()
        self.credits = CreditLedger(
            limit_policy=limit_policies.get(DEFAULT_LIMIT_POLICY)(),
            clock=self.clock,
            has_reports=settings.work == Work.MODEL.value,
        )
        self.credits.on_capacity_freed = lambda: send_grants(self)
        self.load_watch = LoadWatch()
        self.is_listed_leaving = False
        self._was_rejecting = False
        self.pool = None
        self.group_service = None
        self.configuration.listeners.append(lambda _: self.apply_configuration())

    async def start(self):
        """Open every listener and start the background tasks."""
        self.open_clients()
        self.single_use_session = self.make_session(keeps_connections=False)
        self.engine = EngineClient(
            url=self.settings.url,
            session=self.session,
            single_use_session=self.single_use_session,
            work=self.settings.work,
        )
        if self.settings.group:
            self.group_service = _make_group_service(self)
        await self.listen_for_requests(
            "data",
            make_data_handler(self),
            self.settings.data_address,
            is_internal=True,
        )
        await self.listen_admin()
        await self.listen_links()
        self.start_tasks()
        log_event(_log, "agent.started", **self.addresses)

    async def stop(self):
        """Leave gracefully: finish everything in flight, then close."""
        in_flight = self.credits.count_in_flight
        log_event(_log, "agent.leaving", requests_in_flight=in_flight)
        await self.announce_leaving()
        # Entries that connected before they received the announcement are answered.
        await self.clock.sleep(LEAVING_LAG_S)
        await self.wait_for_requests(self.count_in_flight)
        await self.close()
        await self.single_use_session.close()
        log_event(_log, "agent.stopped")

    def count_in_flight(self):
        """Return the number of requests that would be cut off if this agent stopped."""
        if self.group_service is not None:
            return self.group_service.count_in_flight()
        return self.credits.count_in_flight

    def hello(self):
        """Return the first message that this agent sends on each link."""
        hello = super().hello()
        labels = self.settings.label_by_name()
        hello.labels = [Label(name=k, value=v) for k, v in sorted(labels.items())]
        hello.group = self.settings.group
        hello.rank = self.settings.rank
        return hello

    def reason_to_reject(self):
        """Return why new work is rejected; empty if it is accepted.

        Returns
        -------
        reason : str
            Names the cause: shutdown, the platform's list of instances or the
            operators' labels.
        """
        if self.is_leaving:
            return "the endpoint is leaving"
        if self.is_listed_leaving:
            return "the platform lists the endpoint as leaving"
        if self.configuration.in_force.is_data_centre_out(self.identity.data_centre):
            return f"data centre {self.identity.data_centre!r} is out of service"
        if self.labels().get("state") == "draining":
            return "the endpoint is draining"
        return ""

    def reasons_not_ready(self):
        """Return the reasons why this agent is not ready; empty if it is ready."""
        reason = self.reason_to_reject()
        return [reason] if reason else []

    def labels(self):
        """Return the endpoint's labels; those that operators set take precedence."""
        own_labels = self.settings.label_by_name()
        return self.configuration.in_force.labels_of(self.identity.instance, own_labels)

    def apply_configuration(self):
        """Apply a new configuration: limits, and a cold limit after readmission."""
        is_rejecting = bool(self.reason_to_reject())
        if self._was_rejecting and not is_rejecting:
            self.credits.reset_to_cold_limit("admitted-again")
        self._was_rejecting = is_rejecting
        self._apply_pool()

    def _apply_pool(self):
        configuration = self.configuration.in_force
        labels = self.labels()
        for _, pool in sorted(configuration.pool_by_name.items()):
            if parse_selector(pool.endpoint_selector).matches(labels):
                self.pool = pool
                self._configure_limit(pool)
                return

    def on_link_up(self, link):
        """Send load and group state to an entry, or a join message to a group peer."""
        if self.group_service is not None:
            self.group_service.on_link_up(link)
        if link.hello.role != Role.ENTRY.value:
            return
        self.credits.grants.drop_pending(link.peer_instance)
        self.load_watch.send_to(self, link)

    def on_link_down(self, link):
        """Drop an entry's pending credit requests; its credit expires by its lease."""
        if link.peer_instance not in self.links.by_instance:
            self.credits.grants.drop_pending(link.peer_instance)

    def _configure_limit(self, pool):
        name = pool.options.get(LIMIT_POLICY_OPTION, DEFAULT_LIMIT_POLICY)
        if name not in limit_policies.by_name:
            log_event(_log, "limit_policy.unknown", pool=pool.name, policy=name)
            name = DEFAULT_LIMIT_POLICY
        make = limit_policies.get(name)
        if name != self.load_watch.limit_policy_name:
            self.credits.limit_policy = make()
            self.load_watch.limit_policy_name = name
        self.credits.limit_policy.configure(
            cold_limit=pool.cold_limit,
            full_limit=pool.full_limit,
            options=pool.options,
        )
        self.load_watch.send_if_changed(self)


def _make_group_service(node):
    """Return the group service; only agents in a group import its libraries."""
    importlib.import_module("magnoliagrade_agent.group.handlers")
    service = importlib.import_module("magnoliagrade_agent.group.service")
    return service.GroupService(node=node)
