"""What this data centre could take, for the summaries that peers get."""

from magnoliagrade.wire import PoolSummary

__all__ = ["summarise_pools"]


def summarise_pools(node):
    """Return the summary of each pool in this data centre.

    Parameters
    ----------
    node : EntryInstance
        The entry.

    Returns
    -------
    pools : list of PoolSummary
        By name of pool. Free credits are those of all endpoints together, as far
        as this entry knows; waiting and the estimated wait are its own queue's.
    """
    rows = []
    for name, pool in sorted(node.configuration.in_force.pool_by_name.items()):
        contacts = node.endpoints.candidates(pool)
        queue = node.router.queue_by_pool.get(name)
        rows.append(
            PoolSummary(
                pool=name,
                ready_endpoints=len(contacts),
                free_credits=sum(c.free_credit for c in contacts),
                waiting=queue.cost if queue else 0.0,
                estimated_wait_seconds=queue.wait_s if queue else 0.0,
            )
        )
    return rows
