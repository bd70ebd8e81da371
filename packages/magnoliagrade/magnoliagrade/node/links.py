"""The links that a node holds and what runs on each."""

import logging

from magnoliagrade.observability.logs import log_event
from magnoliagrade.wire import Heartbeat

__all__ = ["LinkTable", "run_link", "send_heartbeats"]

HEARTBEAT_INTERVAL_S = 2.0
# The longest time between two messages of a healthy link.
HEARTBEAT_GAP_S = 2 * HEARTBEAT_INTERVAL_S
SILENCE_LIMIT_S = 6.0

_log = logging.getLogger(__name__)


class LinkTable:
    """Open links by the instance on the other side.

    Parameters
    ----------
    clock : Clock
        Source of time.
    own_name : str
        Name of this instance.
    """

    __slots__ = ("_clock", "_heard_by_link", "_own_name", "by_instance")

    def __init__(self, *, clock, own_name):
        self._clock = clock
        self._own_name = own_name
        self.by_instance = {}
        self._heard_by_link = {}

    def add(self, link):
        """Enter a link and close the one that it replaces, or the other way.

        Parameters
        ----------
        link : Link
            A link whose sides have said hello.

        Returns
        -------
        is_kept : bool
            Whether the new link is the one to keep.

        Notes
        -----
        Two instances that dial each other at the same time must keep the same one
        of the two links: that dialled by the instance whose name sorts first.
        """
        older = self.by_instance.get(link.peer_instance)
        if older is not None and self._is_preferred(older, link):
            link.close()
            return False
        if older is not None:
            older.close()
        self.by_instance[link.peer_instance] = link
        self._heard_by_link[link] = self._clock.monotonic()
        return True

    def _is_preferred(self, older, newer):
        if older.is_closing or older.peer_incarnation != newer.peer_incarnation:
            return False
        if older.is_dialled == newer.is_dialled:
            return False
        if self.silence_s(older) > HEARTBEAT_GAP_S:
            return False
        return older.is_dialled == (self._own_name < older.peer_instance)

    def remove(self, link):
        """Remove a link; a newer one of the same instance stays."""
        self._heard_by_link.pop(link, None)
        if self.by_instance.get(link.peer_instance) is link:
            del self.by_instance[link.peer_instance]

    def note_received(self, link):
        """Note that something arrived on a link."""
        self._heard_by_link[link] = self._clock.monotonic()

    def silence_s(self, link):
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
        Entry or agent with a `links` table and `on_link_up`, `on_link_down`.
    link : Link
        A link whose sides have said hello.
    handlers : HandlerTable
        Handlers of this kind of node.
    """
    if not node.links.add(link):
        return
    log_event(_log, "link.up", peer=link.peer_instance, role=link.hello.role)
    try:
        node.on_link_up(link)
        # The hello that came before may tell of a newer configuration.
        _note_revision(node, link)
        while True:
            message = await link.receive()
            node.links.note_received(link)
            _note_revision(node, link)
            await handlers.handle(node, link, message)
    finally:
        node.links.remove(link)
        log_event(_log, "link.down", peer=link.peer_instance)
        node.on_link_down(link)


async def send_heartbeats(node):
    """Send a heartbeat on every idle link and close those that fell silent.

    Parameters
    ----------
    node : object
        Entry or agent with a `links` table and a `clock`.

    Notes
    -----
    Any message shows that its sender is alive, so a link that carried one lately
    needs no heartbeat.
    """
    while True:
        await node.clock.sleep(HEARTBEAT_INTERVAL_S)
        for link in list(node.links.by_instance.values()):
            if node.links.silence_s(link) > SILENCE_LIMIT_S:
                log_event(_log, "link.silent", peer=link.peer_instance)
                link.close()
                continue
            if not link.consume_sent_flag():
                link.send(Heartbeat(echo_sequence=link.last_sequence_in))
                link.consume_sent_flag()


def _note_revision(node, link):
    if link.peer_revision > node.configuration.revision:
        node.on_peer_ahead(link)
