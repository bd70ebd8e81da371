"""Messages that an entry handles, and its background tasks."""

from magnoliagrade.node import HandlerTable, TaskTable, send_heartbeats
from magnoliagrade.wire import (
    CreditGrant,
    EngineLoad,
    Heartbeat,
)
from magnoliagrade.world import LoadReport

__all__ = ["entry_handlers", "entry_tasks"]

entry_handlers = HandlerTable()
entry_tasks = TaskTable()
entry_tasks.register("heartbeats")(send_heartbeats)


@entry_handlers.on(Heartbeat)
async def on_heartbeat(node, link, message):
    """Nothing to do: any message shows that the other side is alive."""


@entry_handlers.on(CreditGrant)
async def on_credit_grant(node, link, message):
    """Note how much may be in flight at an endpoint."""
    contact = node.endpoints.by_name.get(link.peer_instance)
    if contact is not None:
        contact.credit = message.amount
        contact.credit_until = node.clock.monotonic() + message.lease_seconds


@entry_handlers.on(EngineLoad)
async def on_engine_load(node, link, message):
    """Note an engine's load."""
    contact = node.endpoints.by_name.get(link.peer_instance)
    if contact is None:
        return
    contact.endpoint.report = LoadReport(
        boot_id=message.boot_id,
        running=message.running,
        waiting=message.waiting,
        tokens_in_flight=message.tokens_in_flight,
        cache_used=message.cache_used,
        age_s=message.age_seconds,
    )
    contact.report_at = node.clock.monotonic()
    contact.sent_since_report = 0.0
