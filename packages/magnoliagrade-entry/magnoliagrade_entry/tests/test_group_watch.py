from types import SimpleNamespace

from magnoliagrade.wire import GroupState
from magnoliagrade.world import Endpoint

from magnoliagrade_entry.group_watch import record_group_state


def _handles():
    names = ("a", "b", "c")
    groups = ("group", "group", "")
    return [
        SimpleNamespace(endpoint=Endpoint(name=n, data_centre="d", group=g))
        for n, g in zip(names, groups, strict=True)
    ]


def _report(handles, index, generation, is_complete=True):
    state = GroupState(group="group", generation=generation, is_complete=is_complete)
    record_group_state(handles, handles[index].endpoint, state)
    return [h.endpoint.is_group_complete for h in handles]


def test_group_is_eligible_only_if_all_ranks_report_the_same_complete_generation():
    handles = _handles()
    assert _report(handles, 0, 5) == [False, False, False]
    assert _report(handles, 1, 5) == [True, True, False]
    assert _report(handles, 1, 6) == [False, False, False]
    assert _report(handles, 0, 6) == [True, True, False]
    assert _report(handles, 0, 6, is_complete=False) == [False, False, False]
