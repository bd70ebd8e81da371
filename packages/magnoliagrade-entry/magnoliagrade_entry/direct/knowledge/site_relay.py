"""Reading of the store through a few entries of the same data centre.

Load pattern: many entries watch the same keys of the store, and each call has its
price. In each data centre two entries, the relays, watch the store. The others pull the
changes from the first one, or from the second while the first one fails.

A relay confirms a pull only by a call to the store that began after the pull arrived.
So what the puller knows is as recent as if it had called the store itself when it sent
the pull, however late the reply is.
"""

import asyncio
import hashlib
import logging

from magnoliagrade.observability import log_event
from magnoliagrade.platform import StoreEvent, StorePosition
from magnoliagrade.wire import SiteChange, SiteChanges, SiteChangesPull
from prometheus_client import Counter

from magnoliagrade_entry.direct.knowledge.change_log import ChangeLog
from magnoliagrade_entry.direct.scope import Scope

__all__ = ["RELAY_WATCH_WAIT_S", "SiteRelays", "relay_names"]

# Number of relays in each data centre: more than one, because one may have stopped.
RELAYS = 2
# With fewer entries in a data centre, relays would call the store more often than all
# entries do, because their watches are shorter.
MIN_ENTRIES = 5
# Longest wait of a relay's watch. A pull waits for the end of one and for the next one.
RELAY_WATCH_WAIT_S = 0.6
# Time-out of a pull. The second relay first ends a watch of 1.5 s, and then begins one
# that confirms it.
PULL_TIMEOUT_S = 2.2
# Time for which a relay that did not answer is not asked again, and for which a relay
# that has lost the store asks the other one instead.
RELAY_RETRY_S = 5.0
# Time after a pull for which an entry goes on with the shorter waits of a relay.
RELAY_USE_S = 5.0
# Changes beyond this size are read from the store: a relay's link is slower.
MAX_CHANGES_BYTES = 16 * 1024

PULLS = Counter(
    "magnoliagrade_site_pulls_total", "Pulls of changes from relays", ["result"]
)
_log = logging.getLogger(__name__)


def relay_names(names):
    """Return the names of the relays among those of a data centre's entries, in order.

    Examples
    --------
    >>> len(relay_names(["a", "b", "c", "d", "e"]))
    2
    >>> relay_names(["a", "b", "c"])
    []
    """
    if len(names) < MIN_ENTRIES:
        return []
    return sorted(names, key=lambda n: hashlib.blake2b(n.encode()).digest())[:RELAYS]


class SiteRelays:
    """The relays of one entry's data centre, of which it may be one.

    Parameters
    ----------
    node : DirectEntry
        The entry.

    Attributes
    ----------
    change_log : ChangeLog
        Changes that this entry has applied.
    is_store_lost : bool
        Whether this entry's last call to the store has failed.
    """

    __slots__ = (
        "_failed_until_by_name",
        "_is_declined",
        "_last_call",
        "_node",
        "_pulled_at",
        "_pulls",
        "_reply_by_call",
        "_store_retry_at",
        "change_log",
        "is_store_lost",
    )

    def __init__(self, *, node):
        self._node = node
        self._failed_until_by_name = {}
        self._is_declined = False
        self._last_call = 0
        self._pulled_at = float("-inf")
        self._pulls = []
        self._reply_by_call = {}
        self._store_retry_at = float("-inf")
        self.change_log = ChangeLog()
        self.is_store_lost = False

    def pick(self):
        """Return the link to a relay; None if this entry has to read the store."""
        links = self._local_links()
        relays = relay_names([*links, self._node.settings.name])
        if self._node.settings.name in relays and not self._may_ask_other_relay():
            return None
        now = self._node.clock.monotonic()
        usable = [
            name
            for name in relays
            if name in links and self._failed_until_by_name.get(name, now) <= now
        ]
        return links[usable[0]] if usable else None

    def is_relay(self):
        """Return whether this entry reads the store for others."""
        names = [*self._local_links(), self._node.settings.name]
        return self._node.settings.name in relay_names(names) and not self.is_store_lost

    def _may_ask_other_relay(self):
        """Return whether a relay that has lost the store need not try it now."""
        now = self._node.clock.monotonic()
        if not self.is_store_lost or now >= self._store_retry_at:
            self._store_retry_at = now + RELAY_RETRY_S
            return False
        return True

    def is_unused(self):
        """Return whether no peer has pulled from this entry recently."""
        last_s = self._node.clock.monotonic() - self._pulled_at
        return last_s > RELAY_USE_S

    async def pull(self, link, position):
        """Return the changes after a position from a relay.

        Parameters
        ----------
        link : Link
            Link to the relay.
        position : StorePosition
            Position that the changes follow.

        Returns
        -------
        events : list of StoreEvent or None
            Changes; None if the relay could not answer.
        position : StorePosition
            Position to continue from.
        is_confirmed : bool
            Whether they are all changes up to the time of the pull.
        """
        self._last_call += 1
        call = self._last_call
        reply = asyncio.get_running_loop().create_future()
        self._reply_by_call[call] = (link, reply)
        link.send(
            SiteChangesPull(call=call, era=position.era, revision=position.revision)
        )
        try:
            async with asyncio.timeout(PULL_TIMEOUT_S):
                message = await reply
        except TimeoutError:
            message = SiteChanges()
        finally:
            del self._reply_by_call[call]
        if not message.is_known:
            self._record_unanswered(link, message)
            return None, position, False
        self._is_declined = False
        PULLS.labels("answered").inc()
        events = [_event_of(change) for change in message.changes]
        return (
            events,
            StorePosition(position.era, message.revision),
            message.is_confirmed,
        )

    def receive_pull(self, link, message):
        """Keep a peer's pull until it can be answered."""
        if self.change_log.position is None or not self.is_relay():
            self.reject_pulls([(link, message)])
            return
        self._pulled_at = self._node.clock.monotonic()
        self._pulls.append((link, message))
        self._answer_changed()

    def receive_reply(self, _link, message):
        """Pass a relay's reply on to the pull that waits for it."""
        _, reply = self._reply_by_call.get(message.call, (None, None))
        if reply is not None and not reply.done():
            reply.set_result(message)

    def drop_link(self, link):
        """End the pulls over a link that has closed."""
        self._pulls = [
            (other, pull) for other, pull in self._pulls if other is not link
        ]
        for other, reply in self._reply_by_call.values():
            if other is link and not reply.done():
                reply.set_result(SiteChanges())

    def take_pulls(self):
        """Return the pulls that the next call to the store may confirm."""
        pulls, self._pulls = self._pulls, []
        return pulls

    def confirm_pulls(self, pulls):
        """Answer pulls after a call to the store that began after they had arrived."""
        for link, pull in pulls:
            self._answer(link, pull, is_confirmed=True)
        self._answer_changed()

    def reject_pulls(self, pulls):
        """Tell peers to read the store themselves, because this entry cannot."""
        for link, pull in pulls:
            link.send(SiteChanges(call=pull.call))

    def _answer_changed(self):
        """Answer the pulls that changes are known for; the next ones are confirmed.

        A peer that has read the store itself may be ahead until this entry's next call.
        """
        waiting = []
        for link, pull in self._pulls:
            is_ahead = self.change_log.is_behind(_position_of(pull))
            if is_ahead or self.change_log.after(_position_of(pull)) == []:
                waiting.append((link, pull))
            else:
                self._answer(link, pull, is_confirmed=False)
        self._pulls = waiting

    def _answer(self, link, pull, *, is_confirmed):
        events = self.change_log.after(_position_of(pull))
        if events is None or _size(events) > MAX_CHANGES_BYTES:
            # A peer in this era is up to date once it has read the store itself.
            is_relaying = pull.era == self.change_log.position.era
            link.send(SiteChanges(call=pull.call, is_relaying=is_relaying))
            return
        link.send(
            SiteChanges(
                call=pull.call,
                is_known=True,
                is_confirmed=is_confirmed,
                revision=self.change_log.position.revision,
                changes=[_change_of(event) for event in events],
            )
        )

    def _local_links(self):
        peers = self._node.peers
        return {
            name: link
            for name, link in peers.link_by_name.items()
            if peers.scope_of(link) is Scope.LOCAL
        }

    def _record_unanswered(self, link, message):
        """Record that a relay did not answer; it may have declined this pull only."""
        if message.is_relaying and not self._is_declined:
            PULLS.labels("declined").inc()
            self._is_declined = True
        else:
            self._record_failure(link)

    def _record_failure(self, link):
        PULLS.labels("failed").inc()
        now = self._node.clock.monotonic()
        self._failed_until_by_name[link.peer_instance] = now + RELAY_RETRY_S
        log_event(_log, "site.relay.failed", peer=link.peer_instance)


def _position_of(pull):
    return StorePosition(pull.era, pull.revision)


def _size(events):
    return sum(len(event.key) + len(event.value or b"") for event in events)


def _change_of(event):
    return SiteChange(
        key=event.key,
        value=event.value or b"",
        is_deleted=event.value is None,
        revision=event.revision,
    )


def _event_of(change):
    return StoreEvent(
        key=change.key,
        value=None if change.is_deleted else change.value,
        revision=change.revision,
    )
