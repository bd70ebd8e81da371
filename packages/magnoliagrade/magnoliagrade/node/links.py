"""Open links of a node, their message loop and their heartbeats."""

import logging

from magnoliagrade.observability.logs import log_event
from magnoliagrade.wire import Heartbeat

__all__ = ["LinkTable", "run_link", "send_heartbeats"]

HEARTBEAT_INTERVAL_S = 2.0
# Longest time between two messages received on a healthy link.
MAX_MESSAGE_GAP_S = 2 * HEARTBEAT_INTERVAL_S
# A link is closed if no message was received on it for longer than this.
SILENCE_TIMEOUT_S = 6.0

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

    __slots__ = ("_clock", "_received_at_by_link", "_own_name", "by_instance")

    def __init__(self, *, clock, own_name):
        self._clock = clock
        self._own_name = own_name
        self.by_instance = {}
        self._received_at_by_link = {}

    def add(self, link):
        """Add a link; close it or the existing link to the same instance.

        Parameters
        ----------
        link : Link
            A link whose sides have exchanged a `Hello`.

        Returns
        -------
        is_kept : bool
            Whether the new link was added; False if it was closed.

        Notes
        -----
        Two instances that dial each other at the same time must keep the same one
        of the two links: the one dialled by the instance whose name sorts first.
        """
        existing = self.by_instance.get(link.peer_instance)
        if existing is not None and self._is_preferred(existing, link):
            link.close()
            return False
        if existing is not None:
            existing.close()
        self.by_instance[link.peer_instance] = link
        self._received_at_by_link[link] = self._clock.monotonic()
        return True

    def _is_preferred(self, existing, new):
        if existing.is_closing or existing.peer_incarnation != new.peer_incarnation:
            return False
        if existing.is_dialled == new.is_dialled:
            return False
        if self.silence_s(existing) > MAX_MESSAGE_GAP_S:
            return False
        return existing.is_dialled == (self._own_name < existing.peer_instance)

    def remove(self, link):
        """Remove a link, but not a newer link to the same instance."""
        self._received_at_by_link.pop(link, None)
        if self.by_instance.get(link.peer_instance) is link:
            del self.by_instance[link.peer_instance]

    def record_received(self, link):
        """Record that a message was received on a link."""
        self._received_at_by_link[link] = self._clock.monotonic()

    def silence_s(self, link):
        """Return the seconds since a message was last received on a link.

        The time counts from `add` before the first message; 0 for an unknown link.
        """
        received_at = self._received_at_by_link.get(link, self._clock.monotonic())
        return self._clock.monotonic() - received_at

    def of_role(self, role):
        """Return the links to instances of a role.

        Parameters
        ----------
        role : Role
            Role of the instances: entry or agent.
        """
        return [
            link for link in self.by_instance.values() if link.hello.role == role.value
        ]

    def broadcast(self, message):
        """Send a message on every link."""
        for link in list(self.by_instance.values()):
            link.send(message)


async def run_link(node, link, handlers):
    """Add a link to the node's table and handle its messages until it ends.

    Returns at once if the table keeps an existing link and closes this one.

    Parameters
    ----------
    node : object
        Entry or agent with a `links` table, a `configuration` and the methods
        `on_link_up`, `on_link_down` and `on_newer_revision`.
    link : Link
        A link whose sides have exchanged a `Hello`.
    handlers : HandlerTable
        Handlers of this kind of node.
    """
    if not node.links.add(link):
        return
    log_event(_log, "link.up", peer=link.peer_instance, role=link.hello.role)
    try:
        node.on_link_up(link)
        # The Hello received before may name a newer configuration revision.
        _check_peer_revision(node, link)
        while True:
            message = await link.receive()
            node.links.record_received(link)
            _check_peer_revision(node, link)
            await handlers.handle(node, link, message)
    finally:
        node.links.remove(link)
        log_event(_log, "link.down", peer=link.peer_instance)
        node.on_link_down(link)


async def send_heartbeats(node):
    """Send heartbeats on idle links and close links that time out, until cancelled.

    Parameters
    ----------
    node : object
        Entry or agent with a `links` table and a `clock`.

    Notes
    -----
    Any message shows that its sender is alive, so a link on which one was sent during
    the last heartbeat interval needs no heartbeat.
    """
    while True:
        await node.clock.sleep(HEARTBEAT_INTERVAL_S)
        for link in list(node.links.by_instance.values()):
            if node.links.silence_s(link) > SILENCE_TIMEOUT_S:
                log_event(_log, "link.silent", peer=link.peer_instance)
                link.close()
                continue
            if not link.consume_sent_flag():
                link.send(Heartbeat(echo_sequence=link.last_sequence_in))
                link.consume_sent_flag()


def _check_peer_revision(node, link):
    if link.peer_revision > node.configuration.revision:
        node.on_newer_revision(link)
