"""Probes an endpoint that refuses connections until it accepts them again."""

import logging

from magnoliagrade.observability import log_event

from magnoliagrade_agent.handlers import agent_tasks

__all__ = ["suspend_endpoint"]

# Mean time between attempts to connect.
PROBE_INTERVAL_S = 0.2
_log = logging.getLogger(__name__)


def suspend_endpoint(node):
    """Grant no credit for an endpoint that refused a connection until it recovers.

    Parameters
    ----------
    node : AgentInstance
        The agent.

    Notes
    -----
    An endpoint that refuses all connections appears idle. Without this function it
    would get more requests the more of them it fails.
    """
    if node.credits.is_suspended:
        return
    log_event(_log, "endpoint.unreachable")
    node.credits.is_suspended = True
    node.credits.reset_to_cold_limit("unreachable")


@agent_tasks.register("endpoint-probe")
async def probe_endpoint(node):
    """Probe a suspended endpoint and grant credit again once it accepts connections."""
    source = node.settings.source_address
    while True:
        await node.clock.sleep(PROBE_INTERVAL_S * node.rng.uniform(0.8, 1.2))
        if not node.credits.is_suspended:
            continue
        if await node.engine.accepts_connections(source=source):
            log_event(_log, "endpoint.reachable")
            node.credits.is_suspended = False
            if node.credits.on_capacity_freed is not None:
                node.credits.on_capacity_freed()
