"""What an agent tells entries: its endpoint's load and their credit."""

import logging

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.wire import CreditGrant, CreditRequest, EngineLoad
from magnoliagrade.world import LoadReport, Role, Work

from magnoliagrade_agent.capacity.grants import CREDIT_LEASE_S
from magnoliagrade_agent.handlers import agent_handlers, agent_tasks

__all__ = ["LoadWatch", "send_grants"]

BLIND_INTERVAL_S = 0.1
CHANGE_INTERVAL_S = 1.0
FULL_INTERVAL_S = 0.05
REFRESH_INTERVAL_S = 5.0
NOTABLE_FRACTION = 0.1
EMPTY_CACHE = 0.02
USED_CACHE = 0.3
_log = logging.getLogger(__name__)


class LoadWatch:
    """Newest load report and what entries were told of it last.

    Notes
    -----
    Entries are told at once when the limit falls, within a second of a notable
    change, and every five seconds otherwise, so that links at rest carry little. An
    entry whose ask has to wait is told at once.
    """

    __slots__ = (
        "_full_told_at_by_entry",
        "_told",
        "_told_at",
        "limit_policy_name",
        "report",
    )

    def __init__(self):
        self.report = LoadReport()
        self.limit_policy_name = ""
        self._full_told_at_by_entry = {}
        self._told = EngineLoad()
        self._told_at = float("-inf")

    def send_to(self, node, link):
        """Tell one entry."""
        if link.hello.role == Role.ENTRY.value:
            link.send(self._message(node))

    def send_full(self, node, link):
        """Tell an entry whose ask has to wait, so that it may ask elsewhere."""
        now = node.clock.monotonic()
        told_at = self._full_told_at_by_entry.get(link.peer_instance, float("-inf"))
        if now - told_at >= FULL_INTERVAL_S:
            self._full_told_at_by_entry[link.peer_instance] = now
            self.send_to(node, link)

    def send_changes(self, node):
        """Tell every entry, if there is news that is worth it."""
        message = self._message(node)
        now = node.clock.monotonic()
        since_s = now - self._told_at
        if not _is_due(self._told, message, since_s):
            return
        self._told = message
        self._told_at = now
        for link in node.links.of_role(Role.ENTRY):
            link.send(message)

    def _message(self, node):
        report = self.report
        credits = node.credits
        return EngineLoad(
            boot_id=report.boot_id,
            running=report.running,
            waiting=report.waiting,
            tokens_in_flight=report.tokens_in_flight,
            cache_used=report.cache_used,
            age_seconds=report.age_s,
            limit=credits.advertised_limit,
            held=credits.held + credits.grants.reserved,
            asked=credits.grants.requested,
            headroom=credits.headroom,
        )


def _is_due(told, message, since_s):
    if message.boot_id != told.boot_id or message.limit < 0.9 * told.limit:
        return True
    if message.limit and not told.limit:
        return True
    if since_s >= REFRESH_INTERVAL_S:
        return True
    if since_s < CHANGE_INTERVAL_S:
        return False
    if bool(message.headroom) != bool(told.headroom):
        return True
    scale = NOTABLE_FRACTION * max(message.limit, 1.0)
    moved = max(abs(message.limit - told.limit), abs(message.held - told.held))
    return moved >= scale or message.asked != told.asked


@agent_handlers.on(CreditRequest)
async def on_credit_request(node, link, message):
    """Note what an entry asks for or returns, and grant what is free."""
    grants = node.credits.grants
    entry = link.peer_instance
    if message.unused:
        grants.use(entry, message.unused)
    if message.returned:
        grants.withdraw(entry, message.returned, is_surplus=message.is_surplus)
    if message.wanted:
        grants.request_credit(entry, message.wanted, is_surplus=message.is_surplus)
    send_grants(node)
    if message.wanted and grants.has_pending(entry):
        node.load_watch.send_full(node, link)


@agent_tasks.register("engine-load")
async def watch_load(node):
    """Read the engine's load, pass it on and grant what has become free."""
    while True:
        if node.settings.work == Work.MODEL.value:
            await _read_load(node)
        send_grants(node)
        node.load_watch.send_changes(node)
        pause = node.settings.load_interval_s
        if node.credits.needs_report:
            pause = min(pause, BLIND_INTERVAL_S)
        await node.clock.sleep(pause)


async def _read_load(node):
    requested_at = node.clock.monotonic()
    try:
        report = await node.engine.load_report()
    except MagnoliagradeError as exc:
        log_event(_log, "engine.silent", detail=exc.detail)
        return
    before = node.load_watch.report
    node.load_watch.report = report
    node.credits.on_report(report, requested_at=requested_at)
    if before.boot_id and before.boot_id != report.boot_id:
        log_event(_log, "engine.restarted", boot_id=report.boot_id)
    elif before.cache_used >= USED_CACHE and report.cache_used <= EMPTY_CACHE:
        node.credits.reset_to_cold_limit("cache-emptied")


def send_grants(node):
    """Grant what is free to the entries that ask for it, unless leaving."""
    if node.reason_to_reject():
        return
    for grant in node.credits.distribute():
        link = node.links.by_instance.get(grant.entry)
        if link is None:
            continue
        link.send(
            CreditGrant(
                amount=grant.amount,
                lease_seconds=CREDIT_LEASE_S,
                engine_boot=node.load_watch.report.boot_id,
                limit=node.credits.advertised_limit,
                held=node.credits.held + node.credits.grants.reserved,
                is_surplus=grant.is_surplus,
                headroom=node.credits.headroom,
            )
        )
