"""Election of the entries that watch the store for their data centre."""

from magnoliagrade.algorithms import rendezvous_order
from magnoliagrade.wire import ConfigurationWatch
from magnoliagrade.world import Role

from magnoliagrade_entry.handlers import entry_handlers

__all__ = ["WatcherElection"]

# Number of entries of a data centre that watch the store at the same time.
WATCHERS_PER_DATA_CENTRE = 2
_RENDEZVOUS_KEY = "configuration-watch"


class WatcherElection:
    """Decides whether this entry watches the store.

    Parameters
    ----------
    node : EntryInstance
        The entry.

    Notes
    -----
    The first `WATCHERS_PER_DATA_CENTRE` entries in rendezvous order among those that
    get responses from the store watch it. The first ones among all entries watch as
    well, so that a store that is unavailable is probed. An entry without links to
    other entries of its data centre is the only candidate and watches the store.
    """

    __slots__ = ("_node", "failing_peers", "is_store_failing")

    def __init__(self, *, node):
        self._node = node
        self.failing_peers = set()
        self.is_store_failing = False

    def is_watcher(self):
        """Return whether this entry should watch the store now."""
        own_name = self._node.identity.instance
        links = self._local_peers()
        names = {own_name, *(k.peer_instance for k in links)}
        failing = self.failing_peers & names
        if self.is_store_failing:
            failing.add(own_name)
        ordered = rendezvous_order(_RENDEZVOUS_KEY, names)
        healthy = [n for n in ordered if n not in failing]
        count = WATCHERS_PER_DATA_CENTRE
        return own_name in healthy[:count] or own_name in ordered[:count]

    def local_peer_count(self):
        """Return the number of linked entries in this data centre."""
        return len(self._local_peers())

    def set_store_failing(self, is_failing):
        """Set whether the store fails here; notify local peers when that changes."""
        if is_failing == self.is_store_failing:
            return
        self.is_store_failing = is_failing
        for link in self._local_peers():
            link.send(ConfigurationWatch(is_watching=not is_failing))

    def on_link_up(self, link):
        """Notify a newly linked entry if the store does not respond here."""
        self.failing_peers.discard(link.peer_instance)
        if self.is_store_failing and link.hello.role == Role.ENTRY.value:
            link.send(ConfigurationWatch(is_watching=False))

    def record_peer_state(self, name, *, is_store_available):
        """Record whether another entry gets responses from the store."""
        if is_store_available:
            self.failing_peers.discard(name)
        else:
            self.failing_peers.add(name)

    def missing_configuration_reason(self):
        """Return a text that says why this entry has no configuration."""
        peers = len(self._node.links.of_role(Role.ENTRY))
        store = "does not respond" if self.is_store_failing else "has returned none yet"
        return f"no configuration is known: the store {store}, {peers} peers are linked"

    def _local_peers(self):
        data_centre = self._node.identity.data_centre
        links = self._node.links.of_role(Role.ENTRY)
        return [k for k in links if k.hello.data_centre == data_centre]


@entry_handlers.on(ConfigurationWatch)
async def on_configuration_watch(node, link, message):
    """Record whether another entry gets responses from the store."""
    node.watcher_election.record_peer_state(
        link.peer_instance, is_store_available=message.is_watching
    )
