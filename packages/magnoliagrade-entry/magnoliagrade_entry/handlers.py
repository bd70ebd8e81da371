"""Messages that an entry handles, and its background tasks."""

from magnoliagrade.node import HandlerTable, TaskTable, send_heartbeats
from magnoliagrade.wire import (
    ConfigurationPull,
    Heartbeat,
    Leaving,
    PeerSummary,
)
from magnoliagrade.world import EndpointState

__all__ = ["entry_handlers", "entry_tasks"]

entry_handlers = HandlerTable()
entry_tasks = TaskTable()
entry_tasks.register("heartbeats")(send_heartbeats)


@entry_handlers.on(Heartbeat)
async def on_heartbeat(node, link, message):
    """Ask a sender that is ahead for its configuration."""
    if link.peer_revision > node.configuration.revision:
        link.send(ConfigurationPull(known_revision=node.configuration.revision))


@entry_handlers.on(Leaving)
async def on_leaving(node, link, message):
    """Stop giving new work to an instance that leaves."""
    contact = node.endpoints.by_name.get(link.peer_instance)
    if contact is not None:
        contact.endpoint.state = EndpointState.LEAVING
    peer = node.peers.by_name.get(link.peer_instance)
    if peer is not None:
        peer.is_leaving = True


@entry_handlers.on(PeerSummary)
async def on_peer_summary(node, link, message):
    """Note what a peer's data centre could take."""
    peer = node.peers.by_name.get(link.peer_instance)
    if peer is not None:
        peer.summary = message
        peer.summary_at = node.clock.monotonic()
