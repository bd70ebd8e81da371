"""Handling and forwarding of notices about leaving instances."""

import logging

from magnoliagrade.observability import log_event
from magnoliagrade.wire import Leaving

from magnoliagrade_entry.handlers import entry_handlers
from magnoliagrade_entry.membership.departures import (
    forward_notice,
    make_leaving_notice,
)

__all__ = ["report_listed_departures"]

_log = logging.getLogger(__name__)


@entry_handlers.on(Leaving)
async def on_leaving(node, link, message):
    """Record that an instance is leaving; forward the notice if it is new."""
    name = message.subject or link.peer_instance
    incarnation = message.subject_incarnation or link.peer_incarnation
    if not node.departures.note_leaving(name, incarnation):
        return
    log_event(_log, "instance.leaving", subject=name, source=link.peer_instance)
    notice = make_leaving_notice(name, incarnation, reason=message.reason)
    forward_notice(node, notice, origin=link.peer_instance)


def report_listed_departures(node, instances):
    """Record the departures in a list; notify local peers and the instances.

    Parameters
    ----------
    node : EntryInstance
        The entry.
    instances : list of Instance
        Instances of the platform's list.
    """
    linked = {n: k.peer_incarnation for n, k in node.links.by_instance.items()}
    for name in node.departures.note_listed(instances, linked):
        log_event(_log, "instance.leaving", subject=name, source="platform")
        notice = make_leaving_notice(name, linked[name], reason="listed as leaving")
        forward_notice(node, notice, origin=name)
        node.links.by_instance[name].send(notice)
