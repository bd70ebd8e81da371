"""Messages that an agent handles, and its background tasks."""

import logging

from magnoliagrade.configuration import InvalidDocument
from magnoliagrade.configuration.repository import decode_stored
from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.node import HandlerTable, TaskTable, send_heartbeats
from magnoliagrade.observability import log_event
from magnoliagrade.wire import (
    ConfigurationOffer,
    CreditGrant,
    CreditRequest,
    EngineLoad,
    Heartbeat,
    Leaving,
    Revoke,
    RevokeAnswer,
)
from magnoliagrade.world import Role, Work

from magnoliagrade_agent.capacity.credits import CREDIT_LEASE_S

__all__ = ["agent_handlers", "agent_tasks"]

_log = logging.getLogger(__name__)
agent_handlers = HandlerTable()
agent_tasks = TaskTable()
agent_tasks.register("heartbeats")(send_heartbeats)


@agent_handlers.on(Heartbeat)
async def on_heartbeat(node, link, message):
    """Nothing to do: any message shows that the other side is alive."""


@agent_handlers.on(Leaving)
async def on_leaving(node, link, message):
    """Refuse new work if the notice is about this endpoint."""
    if message.subject == node.identity.instance:
        if message.subject_incarnation == node.identity.incarnation:
            node.is_listed_leaving = True
    log_event(
        _log,
        "instance.leaving",
        subject=message.subject or link.peer_instance,
        source=link.peer_instance,
    )


@agent_handlers.on(ConfigurationOffer)
async def on_configuration_offer(node, link, message):
    """Put an entry's configuration in force if it is newer."""
    try:
        stored = decode_stored(message.root)
        if node.configuration.offer(stored, source=link.peer_instance):
            node.apply_configuration()
    except InvalidDocument as exc:
        log_event(_log, "configuration.invalid", detail=exc.detail)


@agent_handlers.on(CreditRequest)
async def on_credit_request(node, link, message):
    """Grant an entry its part of the limit."""
    send_grant(node, link)


@agent_handlers.on(Revoke)
async def on_revoke(node, link, message):
    """Withdraw an attempt and say whether it never started."""
    never_started = node.attempts.revoke(message.attempt)
    link.send(RevokeAnswer(attempt=message.attempt, never_started=never_started))


@agent_tasks.register("engine-load")
async def report_load(node):
    """Read the engine's load and pass it on with fresh grants."""
    while True:
        await node.clock.sleep(node.settings.load_interval_s)
        if node.settings.work == Work.MODEL.value:
            await _read_load(node)
        for link in node.links.of_role(Role.ENTRY):
            send_grant(node, link)


async def _read_load(node):
    try:
        report = await node.engine.load_report()
    except MagnoliagradeError as exc:
        log_event(_log, "engine.silent", detail=exc.detail)
        return
    if node.report.boot_id and node.report.boot_id != report.boot_id:
        log_event(_log, "engine.restarted", boot_id=report.boot_id)
        node.credits.limit_policy.on_cold()
    node.report = report
    message = EngineLoad(
        boot_id=report.boot_id,
        running=report.running,
        waiting=report.waiting,
        tokens_in_flight=report.tokens_in_flight,
        cache_used=report.cache_used,
        age_seconds=report.age_s,
    )
    for link in node.links.of_role(Role.ENTRY):
        link.send(message)


def send_grant(node, link):
    """Tell an entry how much it may have in flight."""
    entries = [k.peer_instance for k in node.links.of_role(Role.ENTRY)]
    amount = node.credits.grant_for(link.peer_instance, entries)
    link.send(
        CreditGrant(
            amount=amount,
            lease_seconds=CREDIT_LEASE_S,
            engine_boot=node.report.boot_id,
            limit=node.credits.limit_policy.limit,
        )
    )
