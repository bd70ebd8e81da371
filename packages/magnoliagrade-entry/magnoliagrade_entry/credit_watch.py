"""Handles the credit and load that agents report, and checks the queues."""

from magnoliagrade.wire import CreditGrant, EngineLoad

from magnoliagrade_entry.handlers import entry_handlers, entry_tasks
from magnoliagrade_entry.routing.router import TICK_INTERVAL_S

__all__ = ["tick_queues"]


@entry_handlers.on(CreditGrant)
async def on_credit_grant(node, link, message):
    """Update an endpoint's load and dispatch requests with the granted credit."""
    handle = node.endpoints.by_name.get(link.peer_instance)
    if handle is None or handle.link is not link:
        return
    handle.update_load(
        limit=message.limit, held=message.held, headroom=message.headroom
    )
    node.router.on_grant(handle, message.amount, is_surplus=message.is_surplus)


@entry_handlers.on(EngineLoad)
async def on_engine_load(node, link, message):
    """Record an endpoint's load and limit; move requests that exceed its capacity."""
    node.endpoints.on_load(link.peer_instance, message)
    handle = node.endpoints.by_name.get(link.peer_instance)
    if handle is not None:
        node.router.on_load(handle)


@entry_tasks.register("queues")
async def tick_queues(node):
    """Reject or move queued requests whose wait exceeds its limit."""
    while True:
        await node.clock.sleep(TICK_INTERVAL_S)
        node.router.tick()
