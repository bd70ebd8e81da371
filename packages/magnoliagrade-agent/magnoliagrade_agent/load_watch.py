"""Reads the endpoint's load and sends load and credit to entries."""

import logging

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.wire import CreditGrant, CreditRequest, EngineLoad
from magnoliagrade.world import LoadReport, Role, Work

from magnoliagrade_agent.capacity.grants import CREDIT_LEASE_S
from magnoliagrade_agent.handlers import agent_handlers, agent_tasks

__all__ = ["LoadWatch", "send_grants"]

# Longest time between reads of the load while a report could raise the admitted cost.
MAX_NEEDED_REPORT_INTERVAL_S = 0.1
# Shortest time between messages about changes other than a falling limit, a limit
# that rises from 0 or an engine's restart, which are sent immediately.
MIN_CHANGE_INTERVAL_S = 1.0
# Shortest time between messages to an entry whose credit request stays pending.
MIN_PENDING_NOTICE_INTERVAL_S = 0.05
# Longest time between messages if nothing changes.
REFRESH_INTERVAL_S = 5.0
# Smallest change of the limit or of the held cost that is sent, relative to the limit.
MIN_CHANGE_FRACTION = 0.1
# A fall of the cache's used fraction from at least the second to at most the first of
# these values means that the engine's cache was emptied.
MAX_EMPTY_CACHE_FRACTION = 0.02
MIN_USED_CACHE_FRACTION = 0.3
_log = logging.getLogger(__name__)


class LoadWatch:
    """Newest load report and the message about it that entries got last.

    Notes
    -----
    Entries are notified immediately when the limit falls below 0.9 of the value that
    was sent last, and every five seconds if nothing changes, so that idle links carry
    little traffic. They are notified within a second of other changes: of the limit or
    the held cost by `MIN_CHANGE_FRACTION`, of the requested credit, or of whether there
    is headroom. An entry whose credit request stays pending is notified immediately,
    at most every 0.05 s.
    """

    __slots__ = (
        "_pending_notice_at_by_entry",
        "_sent",
        "_sent_at",
        "limit_policy_name",
        "report",
    )

    def __init__(self):
        self.report = LoadReport()
        self.limit_policy_name = ""
        self._pending_notice_at_by_entry = {}
        self._sent = EngineLoad()
        self._sent_at = float("-inf")

    def send_to(self, node, link):
        """Send the endpoint's load to an entry; do nothing for other roles."""
        if link.hello.role == Role.ENTRY.value:
            link.send(self._message(node))

    def send_pending_notice(self, node, link):
        """Send the load to an entry with a pending request, which may try elsewhere."""
        now = node.clock.monotonic()
        last_sent_at = self._pending_notice_at_by_entry.get(
            link.peer_instance, float("-inf")
        )
        if now - last_sent_at >= MIN_PENDING_NOTICE_INTERVAL_S:
            self._pending_notice_at_by_entry[link.peer_instance] = now
            self.send_to(node, link)

    def send_if_changed(self, node):
        """Send the load to all entries if it changed enough or a refresh is due."""
        message = self._message(node)
        now = node.clock.monotonic()
        since_s = now - self._sent_at
        if not _is_due(self._sent, message, since_s):
            return
        self._sent = message
        self._sent_at = now
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


def _is_due(sent, message, since_s):
    if message.boot_id != sent.boot_id or message.limit < 0.9 * sent.limit:
        return True
    if message.limit and not sent.limit:
        return True
    if since_s >= REFRESH_INTERVAL_S:
        return True
    if since_s < MIN_CHANGE_INTERVAL_S:
        return False
    if bool(message.headroom) != bool(sent.headroom):
        return True
    scale = MIN_CHANGE_FRACTION * max(message.limit, 1.0)
    change = max(abs(message.limit - sent.limit), abs(message.held - sent.held))
    return change >= scale or message.asked != sent.asked


@agent_handlers.on(CreditRequest)
async def on_credit_request(node, link, message):
    """Record credit that an entry requests or returns, and grant free capacity."""
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
        node.load_watch.send_pending_notice(node, link)


@agent_tasks.register("engine-load")
async def watch_load(node):
    """Read the engine's load, send it to entries and grant free capacity."""
    while True:
        if node.settings.work == Work.MODEL.value:
            await _read_load(node)
        send_grants(node)
        node.load_watch.send_if_changed(node)
        pause = node.settings.load_interval_s
        if node.credits.needs_report:
            pause = min(pause, MAX_NEEDED_REPORT_INTERVAL_S)
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
    elif (
        before.cache_used >= MIN_USED_CACHE_FRACTION
        and report.cache_used <= MAX_EMPTY_CACHE_FRACTION
    ):
        node.credits.reset_to_cold_limit("cache-emptied")


def send_grants(node):
    """Grant free capacity to entries that request credit, unless work is rejected."""
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
