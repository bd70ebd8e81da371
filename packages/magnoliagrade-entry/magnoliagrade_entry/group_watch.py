"""What agents tell of their groups: a group takes work as a whole or not at all."""

import logging

from magnoliagrade.observability import log_event
from magnoliagrade.wire import GroupState

from magnoliagrade_entry.handlers import entry_handlers

__all__ = ["note_group_state"]

_log = logging.getLogger(__name__)


@entry_handlers.on(GroupState)
async def on_group_state(node, link, message):
    """Note whether the group behind an agent is complete."""
    handle = node.endpoints.by_name.get(link.peer_instance)
    if handle is not None and handle.link is link:
        note_group_state(node.endpoints.by_name.values(), handle.endpoint, message)


def note_group_state(handles, endpoint, message):
    """Note an agent's word and settle whether its group may take requests.

    Parameters
    ----------
    handles : iterable of EndpointHandle
        All endpoints of this data centre.
    endpoint : Endpoint
        The endpoint whose agent spoke.
    message : GroupState
        What it said.

    Notes
    -----
    Ranks run in lock-step, so a request on one rank needs all of them: as soon as
    one agent says that its generation is not complete, or names another one than
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
