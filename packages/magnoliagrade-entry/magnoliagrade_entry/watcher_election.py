"""Which entries of a data centre watch the store for all of them."""

from magnoliagrade.algorithms import rendezvous_order
from magnoliagrade.wire import ConfigurationWatch
from magnoliagrade.world import Role

from magnoliagrade_entry.handlers import entry_handlers

__all__ = ["WatcherElection"]

WATCHERS_PER_DATA_CENTRE = 2
_KEY = "configuration-watch"


class WatcherElection:
    """Decides whether this entry watches the store.

    Parameters
    ----------
    node : EntryInstance
        The entry.

    Notes
    -----
    The first entries in rendezvous order among those that the store answers
    watch it; so do the first ones among all, which probe a store that is down. An
    entry without links to the others of its data centre watches on its own.
    """

    __slots__ = ("_node", "failing", "is_failing")

    def __init__(self, *, node):
        self._node = node
        self.failing = set()
        self.is_failing = False

    def is_watcher(self):
        """Return whether this entry should watch the store now."""
        own = self._node.identity.instance
        links = self._colleagues()
        names = {own, *(k.peer_instance for k in links)}
        failing = self.failing & names
        if self.is_failing:
            failing.add(own)
        ordered = rendezvous_order(_KEY, names)
        answered = [n for n in ordered if n not in failing]
        count = WATCHERS_PER_DATA_CENTRE
        return own in answered[:count] or own in ordered[:count]

    def colleague_count(self):
        """Return the number of entries of this data centre that are linked."""
        return len(self._colleagues())

    def set_failing(self, is_failing):
        """Note whether the store answers and tell the others when that changes."""
        if is_failing == self.is_failing:
            return
        self.is_failing = is_failing
        for link in self._colleagues():
            link.send(ConfigurationWatch(is_watching=not is_failing))

    def on_link_up(self, link):
        """Tell a newly linked entry if the store does not answer here."""
        self.failing.discard(link.peer_instance)
        if self.is_failing and link.hello.role == Role.ENTRY.value:
            link.send(ConfigurationWatch(is_watching=False))

    def record_peer_state(self, name, *, is_store_available):
        """Note whether the store answers another entry."""
        if is_store_available:
            self.failing.discard(name)
        else:
            self.failing.add(name)

    def reason_without_configuration(self):
        """Return why no configuration is known."""
        peers = len(self._node.links.of_role(Role.ENTRY))
        store = "does not answer" if self.is_failing else "has given none yet"
        return f"no configuration is known: the store {store}, {peers} peers are linked"

    def _colleagues(self):
        data_centre = self._node.identity.data_centre
        links = self._node.links.of_role(Role.ENTRY)
        return [k for k in links if k.hello.data_centre == data_centre]


@entry_handlers.on(ConfigurationWatch)
async def on_configuration_watch(node, link, message):
    """Note whether the store answers another entry."""
    node.watcher_election.record_peer_state(
        link.peer_instance, is_store_available=message.is_watching
    )
