"""Entries that read the store through a relay know it as recently as by themselves."""

import asyncio
from types import SimpleNamespace

from magnoliagrade.clock import ManualClock
from magnoliagrade.platform import StoreEvent, StorePosition
from magnoliagrade.wire import SiteChanges, SiteChangesPull

from magnoliagrade_entry.direct.knowledge.change_log import MAX_CHANGES, ChangeLog
from magnoliagrade_entry.direct.knowledge.site_relay import (
    MAX_CHANGES_BYTES,
    MIN_ENTRIES,
    SiteRelays,
    relay_names,
)
from magnoliagrade_entry.direct.scope import Scope

NAMES = [f"entry-{number}" for number in range(MIN_ENTRIES + 3)]
RELAY, STANDBY = relay_names(NAMES)
PULLER = next(name for name in NAMES if name not in (RELAY, STANDBY))


def test_pull_is_confirmed_only_by_a_call_that_began_after_it_arrived():
    relays, link = _relays(RELAY), _Link(PULLER)
    pulls_before_call = relays.take_pulls()
    relays.receive_pull(link, _pull())
    relays.confirm_pulls(pulls_before_call)
    assert link.sent == []
    relays.confirm_pulls(relays.take_pulls())
    assert link.sent == [
        SiteChanges(call=1, is_known=True, is_confirmed=True, revision=7)
    ]


def test_changes_are_passed_on_at_once_but_confirm_nothing():
    relays, link = _relays(RELAY), _Link(PULLER)
    relays.receive_pull(link, _pull())
    pulls = relays.take_pulls()
    relays.receive_pull(link, _pull(call=2))
    relays.change_log.extend(
        [StoreEvent(key="k", value=None, revision=8)], StorePosition(1, 8)
    )
    relays.confirm_pulls(pulls)
    assert [message.is_confirmed for message in link.sent] == [True, False]
    for message in link.sent:
        assert message.revision == 8
        assert [change.is_deleted for change in message.changes] == [True]
    # The next pull follows that change and waits for a call of its own.
    relays.receive_pull(link, _pull(call=3, revision=8))
    assert len(link.sent) == 2


def test_pull_that_cannot_be_answered_is_rejected_at_once():
    position = StorePosition(1, 7)
    large = StoreEvent(key="k", value=b"x" * MAX_CHANGES_BYTES, revision=8)
    for pull, events, is_relaying in (
        (_pull(era=2), [], False),
        (_pull(revision=3), [], True),
        (_pull(), [large], True),
    ):
        relays, link = _relays(RELAY), _Link(PULLER)
        relays.change_log.extend(events, StorePosition(1, 8) if events else position)
        relays.receive_pull(link, pull)
        assert link.sent == [SiteChanges(call=1, is_relaying=is_relaying)], pull
    for relays in (_relays(PULLER), _relays(RELAY, position=None)):
        link = _Link(STANDBY)
        relays.receive_pull(link, _pull())
        assert link.sent == [SiteChanges(call=1)]


def test_pull_of_a_peer_that_is_ahead_waits_for_the_next_call():
    relays, link = _relays(RELAY), _Link(PULLER)
    relays.receive_pull(link, _pull(revision=9))
    assert link.sent == []
    pulls = relays.take_pulls()
    relays.change_log.extend([], StorePosition(1, 9))
    relays.confirm_pulls(pulls)
    assert link.sent == [
        SiteChanges(call=1, is_known=True, is_confirmed=True, revision=9)
    ]


def test_relay_that_declines_one_pull_is_asked_again_at_once():
    async def scenario():
        relays = _relays(PULLER)
        for is_answered, expected in (
            (False, RELAY),
            (True, RELAY),
            (False, RELAY),
            # Declining twice in a row counts as a failure.
            (False, STANDBY),
        ):
            link = relays.pick()
            pulling = asyncio.ensure_future(relays.pull(link, StorePosition(1, 7)))
            await asyncio.sleep(0)
            reply = SiteChanges(
                call=relays._last_call, is_known=is_answered, is_relaying=True
            )
            relays.receive_reply(link, reply)
            await pulling
            assert relays.pick().peer_instance == expected

    asyncio.run(scenario())


def test_relays_read_the_store_and_others_the_first_relay_that_answers():
    assert _relays(RELAY).pick() is None
    assert _relays(STANDBY).pick() is None
    relays = _relays(PULLER)
    assert relays.pick().peer_instance == RELAY
    relays._record_failure(relays.pick())
    assert relays.pick().peer_instance == STANDBY
    relays._record_failure(relays.pick())
    assert relays.pick() is None
    relays._node.clock._time += 10.0
    assert relays.pick().peer_instance == RELAY


def test_entries_of_other_data_centres_and_few_entries_make_no_relays():
    relays = _relays(PULLER, scope=Scope.REMOTE)
    assert relays.pick() is None
    relays = _relays(PULLER, names=NAMES[: MIN_ENTRIES - 1])
    assert relays.pick() is None


def test_pull_ends_without_changes_if_the_relay_is_silent_or_its_link_closes():
    async def scenario():
        relays = _relays(PULLER)
        link = relays.pick()
        pulling = asyncio.ensure_future(relays.pull(link, StorePosition(1, 7)))
        await asyncio.sleep(0)
        relays.drop_link(link)
        events, position, is_confirmed = await pulling
        assert (events, position, is_confirmed) == (None, StorePosition(1, 7), False)
        # A late reply to a pull that has ended is ignored.
        relays.receive_reply(link, SiteChanges(call=1, is_known=True, revision=9))

    asyncio.run(scenario())


def test_log_keeps_a_bounded_number_of_changes():
    log = ChangeLog()
    log.restart(StorePosition(1, 0))
    for revision in range(1, MAX_CHANGES + 11):
        event = StoreEvent(key="k", value=b"", revision=revision)
        log.extend([event], StorePosition(1, revision))
    assert log.after(StorePosition(1, 9)) is None
    assert len(log.after(StorePosition(1, 10))) == MAX_CHANGES


class _Link:
    def __init__(self, name):
        self.peer_instance = name
        self.sent = []

    def send(self, message):
        self.sent.append(message)


def _pull(*, call=1, era=1, revision=7):
    return SiteChangesPull(call=call, era=era, revision=revision)


def _relays(name, *, names=NAMES, scope=Scope.LOCAL, position=StorePosition(1, 7)):
    links = {other: _Link(other) for other in names if other != name}
    node = SimpleNamespace(
        clock=ManualClock(start=50.0),
        settings=SimpleNamespace(name=name),
        peers=SimpleNamespace(link_by_name=links, scope_of=lambda _link: scope),
    )
    relays = SiteRelays(node=node)
    if position is not None:
        relays.change_log.restart(position)
    return relays
