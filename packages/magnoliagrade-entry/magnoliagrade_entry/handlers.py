"""Tables of an entry's message handlers and background tasks."""

from magnoliagrade.node import HandlerTable, TaskTable, send_heartbeats
from magnoliagrade.wire import (
    Heartbeat,
)

__all__ = ["entry_handlers", "entry_tasks"]

entry_handlers = HandlerTable()
entry_tasks = TaskTable()
entry_tasks.register("heartbeats")(send_heartbeats)


@entry_handlers.on(Heartbeat)
async def on_heartbeat(node, link, message):
    """Do nothing; the link records each received message as a sign of life."""
