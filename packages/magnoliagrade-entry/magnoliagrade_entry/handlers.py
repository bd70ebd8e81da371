"""Messages that an entry handles, and its background tasks."""

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
    """Nothing to do: any message shows that the other side is alive."""
