"""Tables of an agent's message handlers and background tasks."""

import logging

from magnoliagrade.node import (
    HandlerTable,
    TaskTable,
    register_propagation,
    register_status,
    send_heartbeats,
)
from magnoliagrade.observability import log_event
from magnoliagrade.wire import (
    Heartbeat,
    Leaving,
    Revoke,
)

__all__ = ["agent_handlers", "agent_tasks"]

_log = logging.getLogger(__name__)
agent_handlers = HandlerTable()
agent_tasks = TaskTable()
agent_tasks.register("heartbeats")(send_heartbeats)
register_propagation(agent_handlers)
register_status(agent_handlers)


@agent_handlers.on(Heartbeat)
async def on_heartbeat(node, link, message):
    """Do nothing; the link records each received message as a sign of life."""


@agent_handlers.on(Leaving)
async def on_leaving(node, link, message):
    """Reject new work from now on if the notice is about this endpoint."""
    if message.subject == node.identity.instance:
        if message.subject_incarnation == node.identity.incarnation:
            node.is_listed_leaving = True
    log_event(
        _log,
        "instance.leaving",
        subject=message.subject or link.peer_instance,
        source=link.peer_instance,
    )


@agent_handlers.on(Revoke)
async def on_revoke(node, link, message):
    """Revoke an attempt and reply whether it never started, or how it ended."""
    never_started = node.attempts.revoke(message.attempt)
    link.send(node.outcomes.revoke_reply(message.attempt, never_started=never_started))
