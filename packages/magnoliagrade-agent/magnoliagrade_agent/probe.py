"""Watching an endpoint that takes no connections until it does again."""

import logging

from magnoliagrade.observability import log_event

from magnoliagrade_agent.handlers import agent_tasks

__all__ = ["block_endpoint"]

PROBE_INTERVAL_S = 0.2
_log = logging.getLogger(__name__)


def block_endpoint(node):
    """Take back credit for an endpoint that refused a connection.

    Parameters
    ----------
    node : AgentInstance
        The agent.

    Notes
    -----
    An endpoint that refuses everything looks idle, so without this it draws more
    requests the worse it is.
    """
    if node.credits.is_blocked:
        return
    log_event(_log, "endpoint.unreachable")
    node.credits.is_blocked = True
    node.credits.reset_to_cold_limit("unreachable")


@agent_tasks.register("endpoint-probe")
async def probe_endpoint(node):
    """Try to connect to a blocked endpoint and give credit once it takes it."""
    source = node.settings.source_address
    while True:
        await node.clock.sleep(PROBE_INTERVAL_S * node.rng.uniform(0.8, 1.2))
        if not node.credits.is_blocked:
            continue
        if await node.engine.takes_connections(source=source):
            log_event(_log, "endpoint.reachable")
            node.credits.is_blocked = False
            if node.credits.on_capacity_freed is not None:
                node.credits.on_capacity_freed()
