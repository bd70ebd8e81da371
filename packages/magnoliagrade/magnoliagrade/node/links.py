"""The links that a node holds and what runs on each."""

import asyncio
import logging

from magnoliagrade.observability.logs import log_event
from magnoliagrade.wire import Heartbeat

__all__ = ["LinkBook", "run_link", "send_heartbeats"]

HEARTBEAT_INTERVAL_S = 1.0
SILENCE_LIMIT_S = 3.0

_log = logging.getLogger(__name__)


class LinkBook:
    """Open links by the instance on the other side.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_heard_by_link", "by_instance")

    def __init__(self, *, clock):
        self._clock = clock
        self.by_instance = {}
        self._heard_by_link = {}

    def add(self, link):
        """Enter a link; an older one of the same instance is closed."""
        older = self.by_instance.get(link.peer_instance)
        if older is not None:
            older.close()
        self.by_instance[link.peer_instance] = link
        self._heard_by_link[link] = self._clock.monotonic()

    def remove(self, link):
        """Remove a link; a newer one of the same instance stays."""
        self._heard_by_link.pop(link, None)
        if self.by_instance.get(link.peer_instance) is link:
            del self.by_instance[link.peer_instance]

    def note_heard(self, link):
        """Note that something arrived on a link."""
        self._heard_by_link[link] = self._clock.monotonic()

    def silent_for(self, link):
        """Return the seconds since something arrived on a link."""
        heard = self._heard_by_link.get(link, self._clock.monotonic())
        return self._clock.monotonic() - heard

    def of_role(self, role):
        """Return the links to instances of a role.

        Parameters
        ----------
        role : Role
            Entry or agent.
        """
        return [k for k in self.by_instance.values() if k.hello.role == role.value]

    def broadcast(self, message):
        """Send a message over every link."""
        for link in list(self.by_instance.values()):
            link.send(message)


async def run_link(node, link, handlers):
    """Enter a link and handle its messages until it ends.

    Parameters
    ----------
    node : object
        Entry or agent with a `links` book and `on_link_up`, `on_link_down`.
    link : Link
        A link whose sides have said hello.
    handlers : HandlerTable
        Handlers of this kind of node.
    """
    node.links.add(link)
    log_event(_log, "link.up", peer=link.peer_instance, role=link.hello.role)
    try:
        node.on_link_up(link)
        while True:
            message = await link.receive()
            node.links.note_heard(link)
            await handlers.handle(node, link, message)
    finally:
        node.links.remove(link)
        log_event(_log, "link.down", peer=link.peer_instance)
        node.on_link_down(link)


async def send_heartbeats(node):
    """Send a heartbeat on every link and close those that fell silent.

    Parameters
    ----------
    node : object
        Entry or agent with a `links` book and a `clock`.
    """
    while True:
        await node.clock.sleep(HEARTBEAT_INTERVAL_S)
        for link in list(node.links.by_instance.values()):
            if node.links.silent_for(link) > SILENCE_LIMIT_S:
                log_event(_log, "link.silent", peer=link.peer_instance)
                link.close()
                continue
            link.send(Heartbeat(echo_sequence=link.last_sequence_in))
        await asyncio.sleep(0)
