"""How an entry learns the configuration: from the store and over links."""

import logging

from magnoliagrade.configuration import InvalidDocument
from magnoliagrade.configuration.repository import decode_stored
from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.wire import ConfigurationOffer, ConfigurationPull

from magnoliagrade_entry.handlers import entry_handlers, entry_tasks

__all__ = ["watch_configuration"]

WATCH_WAIT_S = 20.0
RETRY_PAUSE_S = 0.5
RETRY_PAUSE_MAX_S = 10.0
_log = logging.getLogger(__name__)


@entry_tasks.register("configuration-watch")
async def watch_configuration(node):
    """Watch the store's configuration and put each newer one in force."""
    known = 0
    pause = RETRY_PAUSE_S
    while True:
        try:
            stored = await node.repository.wait_for_change(known, wait_s=WATCH_WAIT_S)
            pause = RETRY_PAUSE_S
        except MagnoliagradeError as exc:
            log_event(_log, "configuration.unreadable", detail=exc.detail)
            await node.clock.sleep(pause * node.rng.uniform(0.5, 1.5))
            pause = min(RETRY_PAUSE_MAX_S, pause * 2)
            continue
        if stored is None:
            continue
        known = stored.store_revision
        offer_configuration(node, stored, source="store")


def offer_configuration(node, stored, *, source):
    """Put a configuration in force if it is valid and newer.

    Parameters
    ----------
    node : EntryInstance
        The entry.
    stored : StoredConfiguration
        The configuration.
    source : str
        Where it came from.
    """
    try:
        if not node.configuration.offer(stored, source=source):
            return
    except InvalidDocument as exc:
        log_event(_log, "configuration.invalid", detail=exc.detail)
        return
    offer = _make_offer(node)
    node.links.broadcast(offer)


@entry_handlers.on(ConfigurationPull)
async def on_configuration_pull(node, link, message):
    """Send the configuration to a process that is behind."""
    if message.known_revision < node.configuration.revision:
        link.send(_make_offer(node))


@entry_handlers.on(ConfigurationOffer)
async def on_configuration_offer(node, link, message):
    """Put a peer's configuration in force if it is newer."""
    if message.revision > node.configuration.revision:
        stored = decode_stored(message.root)
        offer_configuration(node, stored, source=link.peer_instance)


def _make_offer(node):
    stored = node.configuration.stored
    return ConfigurationOffer(revision=stored.revision, root=stored.to_bytes())
