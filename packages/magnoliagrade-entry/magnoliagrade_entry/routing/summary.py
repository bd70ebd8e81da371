"""Summaries of the local pools' free capacity, exchanged with remote peers."""

from magnoliagrade.wire import PeerSummary, PoolSummary
from magnoliagrade.world import Role

from magnoliagrade_entry.handlers import entry_handlers, entry_tasks

__all__ = ["summarise_pools"]

SUMMARY_INTERVAL_S = 2.0


@entry_tasks.register("peer-summary")
async def send_peer_summaries(node):
    """Send the summary of the local pools to the remote peers about every 2 s."""
    while True:
        pools = summarise_pools(node)
        summary = PeerSummary(data_centre=node.identity.data_centre, pools=pools)
        for link in node.links.of_role(Role.ENTRY):
            if link.hello.data_centre != node.identity.data_centre:
                link.send(summary)
        await node.clock.sleep(SUMMARY_INTERVAL_S * node.rng.uniform(0.9, 1.1))


@entry_handlers.on(PeerSummary)
async def on_peer_summary(node, link, message):
    """Store the summary that a peer sent, and the time of its receipt."""
    peer = node.peers.by_name.get(link.peer_instance)
    if peer is not None:
        peer.summary = message
        peer.summary_at = node.clock.monotonic()


def summarise_pools(node):
    """Return the summaries of all pools in the local data centre.

    Parameters
    ----------
    node : EntryInstance
        The entry.

    Returns
    -------
    pools : list of PoolSummary
        Sorted by the pool's name. `free_credits` is the sum over all endpoints that
        are linked to this entry; `waiting` and `estimated_wait_seconds` describe
        the queue of this entry alone.
    """
    rows = []
    for name, pool in sorted(node.configuration.in_force.pool_by_name.items()):
        handles = node.endpoints.candidates(pool)
        queue = node.router.queue_by_pool.get(name)
        rows.append(
            PoolSummary(
                pool=name,
                ready_endpoints=len(handles),
                free_credits=sum(h.free_credit for h in handles),
                waiting=queue.cost if queue else 0.0,
                estimated_wait_seconds=queue.wait_s if queue else 0.0,
            )
        )
    return rows
