from types import SimpleNamespace

from magnoliagrade.wire import GroupState
from magnoliagrade.world import Endpoint

from magnoliagrade_entry.group_watch import note_group_state


def _contacts():
    names = ("a", "b", "c")
    groups = ("group", "group", "")
    return [
        SimpleNamespace(endpoint=Endpoint(name=n, data_centre="d", group=g))
        for n, g in zip(names, groups, strict=True)
    ]


def _say(contacts, index, generation, is_complete=True):
    state = GroupState(group="group", generation=generation, is_complete=is_complete)
    note_group_state(contacts, contacts[index].endpoint, state)
    return [c.endpoint.is_group_complete for c in contacts]


def test_group_is_eligible_only_as_a_whole():
    contacts = _contacts()
    assert _say(contacts, 0, 5) == [False, False, False]
    assert _say(contacts, 1, 5) == [True, True, False]
    assert _say(contacts, 1, 6) == [False, False, False]
    assert _say(contacts, 0, 6) == [True, True, False]
    assert _say(contacts, 0, 6, is_complete=False) == [False, False, False]
