import asyncio

from magnoliagrade.clock import ManualClock
from magnoliagrade.node import ConfigurationState, HandlerTable, LinkTable, run_link
from magnoliagrade.node.links import MAX_MESSAGE_GAP_S
from magnoliagrade.wire import Hello


class FakeLink:
    def __init__(self, *, is_dialled, incarnation=1):
        self.peer_instance = "b"
        self.peer_incarnation = incarnation
        self.is_dialled = is_dialled
        self.is_closing = False

    def close(self):
        self.is_closing = True


def test_of_two_links_the_one_dialled_by_the_first_name_is_kept():
    for own_name, keeps_dialled in (("a", True), ("c", False)):
        for first_dialled in (True, False):
            table = LinkTable(clock=ManualClock(), own_name=own_name)
            first = FakeLink(is_dialled=first_dialled)
            second = FakeLink(is_dialled=not first_dialled)
            table.add(first)
            table.add(second)
            kept = table.by_instance["b"]
            assert kept.is_dialled is keeps_dialled
            assert not kept.is_closing
            assert {first.is_closing, second.is_closing} == {True, False}


def test_link_dialled_again_or_by_a_new_incarnation_replaces_the_old_one():
    table = LinkTable(clock=ManualClock(), own_name="a")
    first = FakeLink(is_dialled=True)
    table.add(first)
    again = FakeLink(is_dialled=True)
    assert table.add(again) and first.is_closing
    restarted = FakeLink(is_dialled=False, incarnation=2)
    assert table.add(restarted) and again.is_closing


def test_link_without_messages_for_too_long_is_replaced():
    clock = ManualClock()
    table = LinkTable(clock=clock, own_name="a")
    table.add(FakeLink(is_dialled=True))
    clock._time += MAX_MESSAGE_GAP_S + 0.1
    assert table.add(FakeLink(is_dialled=False))


class SilentLink(FakeLink):
    hello = Hello(role="entry")
    peer_revision = 7

    async def receive(self):
        raise ConnectionResetError


class NodeWithOlderRevision:
    def __init__(self):
        clock = ManualClock()
        self.links = LinkTable(clock=clock, own_name="a")
        self.configuration = ConfigurationState(clock=clock)
        self.newer_revisions = []

    def on_newer_revision(self, link):
        self.newer_revisions.append(link.peer_revision)

    def on_link_up(self, link):
        assert not self.newer_revisions

    def on_link_down(self, link):
        pass


def test_newer_revision_in_the_hello_is_reported_before_any_message():
    node = NodeWithOlderRevision()
    link = SilentLink(is_dialled=True)
    try:
        asyncio.run(run_link(node, link, HandlerTable()))
    except ConnectionResetError:
        pass
    assert node.newer_revisions == [7]
