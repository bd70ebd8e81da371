"""Tracks whether groups are complete; only a complete group gets requests."""

import logging

from magnoliagrade.observability import log_event
from magnoliagrade.wire import GroupState

from magnoliagrade_entry.handlers import entry_handlers

__all__ = ["record_group_state"]

_log = logging.getLogger(__name__)


@entry_handlers.on(GroupState)
async def on_group_state(node, link, message):
    """Record whether the group of an agent's endpoint is complete."""
    handle = node.endpoints.by_name.get(link.peer_instance)
    if handle is not None and handle.link is link:
        record_group_state(node.endpoints.by_name.values(), handle.endpoint, message)


def record_group_state(handles, endpoint, message):
    """Record an agent's report and update whether its group is eligible.

    Parameters
    ----------
    handles : iterable of EndpointHandle
        All endpoints of this data centre.
    endpoint : Endpoint
        The endpoint whose agent sent the report.
    message : GroupState
        The report.

    Notes
    -----
    Ranks run in lock-step, so a request on one rank needs all of them. If one agent
    reports that its generation is not complete, or reports another generation than
    the others, no endpoint of the group is eligible.
    """
    generation = message.generation if message.is_complete else 0
    if generation == endpoint.group_generation:
        return
    endpoint.group_generation = generation
    ranks = [h.endpoint for h in handles if h.endpoint.group == endpoint.group]
    generations = {rank.group_generation for rank in ranks}
    is_complete = len(generations) == 1 and 0 not in generations
    for rank in ranks:
        rank.is_group_complete = is_complete
    log_event(
        _log,
        "group.state",
        group=endpoint.group,
        endpoint=endpoint.name,
        is_complete=is_complete,
    )
