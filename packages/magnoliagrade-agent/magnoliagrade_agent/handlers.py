"""Messages that an agent handles, and its background tasks."""

import logging

from magnoliagrade.configuration import InvalidDocument
from magnoliagrade.configuration.repository import decode_stored
from magnoliagrade.node import HandlerTable, TaskTable, send_heartbeats
from magnoliagrade.observability import log_event
from magnoliagrade.wire import (
    ConfigurationOffer,
    ConfigurationPull,
    Heartbeat,
    Leaving,
    Revoke,
    RevokeAnswer,
)

__all__ = ["agent_handlers", "agent_tasks"]

_log = logging.getLogger(__name__)
agent_handlers = HandlerTable()
agent_tasks = TaskTable()
agent_tasks.register("heartbeats")(send_heartbeats)


@agent_handlers.on(Heartbeat)
async def on_heartbeat(node, link, message):
    """Ask a sender that is ahead for its configuration."""
    if link.peer_revision > node.configuration.revision:
        link.send(ConfigurationPull(known_revision=node.configuration.revision))


@agent_handlers.on(Leaving)
async def on_leaving(node, link, message):
    """Note that an entry leaves; its link ends when it has drained."""
    log_event(_log, "entry.leaving", peer=link.peer_instance)


@agent_handlers.on(ConfigurationOffer)
async def on_configuration_offer(node, link, message):
    """Put an entry's configuration in force if it is newer."""
    try:
        stored = decode_stored(message.root)
        if node.configuration.offer(stored, source=link.peer_instance):
            node.apply_pool()
    except InvalidDocument as exc:
        log_event(_log, "configuration.invalid", detail=exc.detail)


@agent_handlers.on(Revoke)
async def on_revoke(node, link, message):
    """Withdraw an attempt and say whether it never started."""
    never_started = node.attempts.revoke(message.attempt)
    link.send(RevokeAnswer(attempt=message.attempt, never_started=never_started))
