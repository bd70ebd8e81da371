import asyncio
from types import SimpleNamespace

from magnoliagrade.clock import ManualClock
from magnoliagrade.configuration import (
    Change,
    ConfigurationRoot,
    StoredConfiguration,
)
from magnoliagrade.node import ConfigurationPropagation, ConfigurationState, Tasks
from magnoliagrade.wire import ConfigurationOffer, ConfigurationPull


class _Link:
    def __init__(self, revision):
        self.peer_revision = revision
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    @property
    def pulls(self):
        return sum(isinstance(m, ConfigurationPull) for m in self.sent)


def _node(clock):
    node = SimpleNamespace(
        clock=clock,
        configuration=ConfigurationState(clock=clock),
        links=SimpleNamespace(broadcast=lambda message: None),
        tasks=Tasks(),
    )
    node.propagation = ConfigurationPropagation(node=node)
    return node


def _stored(revision):
    change = Change(
        revision=revision, operation=f"o{revision}", author="", time="", summary=""
    )
    root = ConfigurationRoot(history=[change])
    return StoredConfiguration(root=root, content_by_digest={})


def _offer(revision):
    return ConfigurationOffer(
        revision=revision, root=_stored(revision).root.to_bytes(), chunks=[]
    )


def test_change_after_an_outdated_offer_is_pulled_at_once():
    async def main():
        node = _node(ManualClock())
        first, second = _Link(2), _Link(2)
        node.propagation.on_message(first)
        node.propagation.on_message(second)
        assert (first.pulls, second.pulls) == (1, 0)
        # Revision 2 arrives from the store before the peer offers it.
        await node.propagation.put_in_force(_stored(2), source="store")
        await node.propagation.on_offer(first, _offer(2))
        second.peer_revision = 3
        node.propagation.on_message(second)
        assert second.pulls == 1
        await node.propagation.on_offer(second, _offer(3))
        assert node.configuration.revision == 3
        await node.tasks.stop()

    asyncio.run(main())


def test_pull_that_times_out_is_sent_to_the_next_peer():
    async def main():
        clock = ManualClock()
        node = _node(clock)
        silent, other = _Link(2), _Link(2)
        node.propagation.on_message(silent)
        node.propagation.on_message(other)
        await clock.advance(0)
        await clock.advance(1.1)
        assert (silent.pulls, other.pulls) == (1, 1)
        await node.tasks.stop()

    asyncio.run(main())


def test_lower_revision_is_never_put_in_force():
    async def main():
        node = _node(ManualClock())
        await node.propagation.put_in_force(_stored(5), source="store")
        for source in ("store", "peer", "operator"):
            await node.propagation.put_in_force(_stored(4), source=source)
        await node.propagation.on_offer(_Link(4), _offer(4))
        assert node.configuration.revision == 5
        assert not node.configuration.offer(_stored(5), source="store")

    asyncio.run(main())
