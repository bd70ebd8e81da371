"""The entries' own watch code over one store in memory, to count its calls."""

import asyncio
import random
from types import SimpleNamespace

from magnoliagrade.configuration import ConfigurationRepository, SetLabels
from magnoliagrade.node import ConfigurationPropagation, ConfigurationState, Tasks
from magnoliagrade.wire import ConfigurationOffer, ConfigurationPull, ConfigurationWatch
from magnoliagrade.world import Role
from magnoliagrade_entry.configuration_duty import WatchDuty
from magnoliagrade_entry.configuration_watch import watch_configuration

from magnoliagrade_standins.platform import MemoryStore

__all__ = ["WatchSimulation"]


class WatchSimulation:
    """Entries that only watch and propagate the configuration.

    Parameters
    ----------
    clock : ManualClock
        Source of time.
    data_centres : int
        Number of data centres.
    entries : int
        Entries in each.
    seed : int
        Seed of all jitter.
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
        """Write a first configuration and start the watches."""
        await self.repository.apply("", author="trial")
        for node in self.nodes:
            self._tasks.append(asyncio.create_task(watch_configuration(node)))
        await self._clock.advance(2)

    async def stop(self):
        """End the watches."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(node.tasks.stop() for node in self.nodes))

    async def change(self, value):
        """Make a change as an operator does."""
        change = SetLabels(kind="endpoint", name="e", value_by_label={"x": value})
        await self.repository.change(change, author="trial")

    async def store_calls_during(self, seconds):
        """Let time pass and return how many calls the store got."""
        before = sum(self.store.calls_by_purpose.values())
        # Messages need passes of the loop, so time goes on in small steps.
        for _ in range(round(seconds * 4)):
            await self._clock.advance(0.25)
        return sum(self.store.calls_by_purpose.values()) - before

    def revisions(self):
        """Return the revisions in force."""
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
        node.duty = WatchDuty(node=node)
        return node

    def _link_all(self):
        # Every entry of a data centre, and one of each other data centre.
        for a in self.nodes:
            for b in self.nodes:
                is_near = a.identity.data_centre == b.identity.data_centre
                is_first = b.identity.instance.endswith("-0")
                if a is not b and (is_near or is_first):
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
        self._own = own
        self._other = other
        self._back = None
        self.peer_instance = other.identity.instance
        self.peer_revision = 0
        self.hello = SimpleNamespace(
            role=Role.ENTRY.value, data_centre=other.identity.data_centre
        )

    def send(self, message):
        loop = asyncio.get_running_loop()
        revision = self._own.configuration.revision
        loop.create_task(self._back.deliver(message, revision))

    async def drain(self):
        pass

    async def deliver(self, message, revision):
        self.peer_revision = revision
        self._own.propagation.on_message(self)
        if isinstance(message, ConfigurationPull):
            await self._own.propagation.on_pull(self, message)
        elif isinstance(message, ConfigurationOffer):
            await self._own.propagation.on_offer(self, message)
        elif isinstance(message, ConfigurationWatch):
            self._own.duty.note(self.peer_instance, is_watching=message.is_watching)


def _link(a, b):
    if b.identity.instance in a.links.by_instance:
        return
    there, back = _MemoryLink(a, b), _MemoryLink(b, a)
    there._back, back._back = back, there
    a.links.by_instance[b.identity.instance] = there
    b.links.by_instance[a.identity.instance] = back
