"""Simulation of entries that watch one in-memory store, to count its calls."""

import asyncio
import random
from types import SimpleNamespace

from magnoliagrade.configuration import ConfigurationRepository, SetLabels
from magnoliagrade.node import ConfigurationPropagation, ConfigurationState, Tasks
from magnoliagrade.wire import ConfigurationOffer, ConfigurationPull, ConfigurationWatch
from magnoliagrade.world import Role
from magnoliagrade_entry.configuration_watch import watch_configuration
from magnoliagrade_entry.watcher_election import WatcherElection

from magnoliagrade_standins.platform import MemoryStore

__all__ = ["WatchSimulation"]


class WatchSimulation:
    """Entries that run only the code to watch and propagate the configuration.

    Parameters
    ----------
    clock : ManualClock
        Source of time.
    data_centres : int
        Number of data centres.
    entries : int
        Entries in each data centre.
    seed : int
        Seed of the random number generators that jitter is drawn from.
    """

    __slots__ = ("_clock", "_tasks", "nodes", "repository", "store")

    def __init__(self, *, clock, data_centres, entries, seed):
        self._clock = clock
        self._tasks = []
        self.store = MemoryStore(clock=clock)
        self.repository = self._repository(seed)
        self.nodes = []
        for i in range(data_centres):
            for j in range(entries):
                node_seed = seed * 100_003 + i * 1009 + j
                self.nodes.append(self._make_node(f"dc{i}", f"{i}-{j}", node_seed))
        self._link_all()

    async def start(self):
        """Write the first configuration and start the watches of all entries."""
        await self.repository.apply("", author="trial")
        for node in self.nodes:
            self._tasks.append(asyncio.create_task(watch_configuration(node)))
        await self._clock.advance(2)

    async def stop(self):
        """Stop the watches of all entries."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(node.tasks.stop() for node in self.nodes))

    async def change(self, value):
        """Change the configuration as an operator does.

        Parameters
        ----------
        value : str
            Value of the label that the change sets.
        """
        change = SetLabels(kind="endpoint", name="e", value_by_label={"x": value})
        await self.repository.change(change, author="trial")

    async def store_calls_during(self, seconds):
        """Advance the clock and return the number of calls that the store received.

        Parameters
        ----------
        seconds : float
            Time to advance by.
        """
        calls_before = sum(self.store.calls_by_purpose.values())
        # Delivering a message takes iterations of the event loop, so the clock advances
        # in small steps.
        for _ in range(round(seconds * 4)):
            await self._clock.advance(0.25)
        return sum(self.store.calls_by_purpose.values()) - calls_before

    def revisions(self):
        """Return the set of configuration revisions that entries have in force."""
        return {node.configuration.revision for node in self.nodes}

    def _repository(self, seed):
        return ConfigurationRepository(
            store=self.store, clock=self._clock, rng=random.Random(seed)
        )

    def _make_node(self, data_centre, name, seed):
        node = SimpleNamespace(
            clock=self._clock,
            rng=random.Random(seed),
            identity=SimpleNamespace(instance=name, data_centre=data_centre),
            configuration=ConfigurationState(clock=self._clock),
            repository=self._repository(seed),
            links=_Links(),
            tasks=Tasks(),
        )
        node.propagation = ConfigurationPropagation(node=node)
        node.watcher_election = WatcherElection(node=node)
        return node

    def _link_all(self):
        # Links each entry to all others of its data centre and to the first entry of
        # each other data centre.
        for a in self.nodes:
            for b in self.nodes:
                is_same_data_centre = a.identity.data_centre == b.identity.data_centre
                is_first = b.identity.instance.endswith("-0")
                if a is not b and (is_same_data_centre or is_first):
                    _link(a, b)


class _Links:
    def __init__(self):
        self.by_instance = {}

    def of_role(self, role):
        return list(self.by_instance.values()) if role is Role.ENTRY else []

    def broadcast(self, message):
        for link in list(self.by_instance.values()):
            link.send(message)


class _MemoryLink:
    def __init__(self, own, other):
        self._local = own
        self._other = other
        self._reverse = None
        self.peer_instance = other.identity.instance
        self.peer_revision = 0
        self.hello = SimpleNamespace(
            role=Role.ENTRY.value, data_centre=other.identity.data_centre
        )

    def send(self, message):
        loop = asyncio.get_running_loop()
        revision = self._local.configuration.revision
        loop.create_task(self._reverse.deliver(message, revision))

    async def drain(self):
        pass

    async def deliver(self, message, revision):
        self.peer_revision = revision
        self._local.propagation.on_message(self)
        if isinstance(message, ConfigurationPull):
            await self._local.propagation.on_pull(self, message)
        elif isinstance(message, ConfigurationOffer):
            await self._local.propagation.on_offer(self, message)
        elif isinstance(message, ConfigurationWatch):
            self._local.watcher_election.record_peer_state(
                self.peer_instance, is_store_available=message.is_watching
            )


def _link(a, b):
    if b.identity.instance in a.links.by_instance:
        return
    forward, reverse = _MemoryLink(a, b), _MemoryLink(b, a)
    forward._reverse, reverse._reverse = reverse, forward
    a.links.by_instance[b.identity.instance] = forward
    b.links.by_instance[a.identity.instance] = reverse
