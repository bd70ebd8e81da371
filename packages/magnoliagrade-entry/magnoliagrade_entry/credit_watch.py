"""Credit and load that agents tell, and the queues that wait for it."""

from magnoliagrade.wire import CreditGrant, EngineLoad

from magnoliagrade_entry.handlers import entry_handlers, entry_tasks
from magnoliagrade_entry.routing.router import TICK_INTERVAL_S

__all__ = ["tick_queues"]


@entry_handlers.on(CreditGrant)
async def on_credit_grant(node, link, message):
    """Use credit that an agent granted."""
    handle = node.endpoints.by_name.get(link.peer_instance)
    if handle is None or handle.link is not link:
        return
    handle.update_load(
        limit=message.limit, held=message.held, headroom=message.headroom
    )
    node.router.on_grant(handle, message.amount, is_surplus=message.is_surplus)


@entry_handlers.on(EngineLoad)
async def on_engine_load(node, link, message):
    """Note an endpoint's load and limit; what it has no room for asks elsewhere."""
    node.endpoints.on_load(link.peer_instance, message)
    handle = node.endpoints.by_name.get(link.peer_instance)
    if handle is not None:
        node.router.on_load(handle)


@entry_tasks.register("queues")
async def tick_queues(node):
    """Refuse and move requests whose wait has become too long."""
    while True:
        await node.clock.sleep(TICK_INTERVAL_S)
        node.router.tick()
