from magnoliagrade.world import Instance, InstanceState, Role

from magnoliagrade_entry.membership import Departures


def _listed(state):
    return [
        Instance(
            name="x",
            role=Role.AGENT,
            data_centre="d",
            control_address="h:1",
            state=state,
        )
    ]


def test_departure_is_reported_as_new_only_once():
    departures = Departures()
    assert departures.note_leaving("x", 1)
    assert not departures.note_leaving("x", 1)
    assert departures.note_listed(_listed(InstanceState.LEAVING), {"x": 1}) == []
    assert departures.is_leaving("x", 1)


def test_new_incarnation_is_not_leaving_while_the_list_lags():
    departures = Departures()
    departures.note_listed(_listed(InstanceState.LEAVING), {"x": 1})
    assert departures.is_leaving("x", 1)
    assert departures.note_listed(_listed(InstanceState.LEAVING), {"x": 2}) == []
    assert not departures.is_leaving("x", 2)


def test_list_with_state_live_does_not_cancel_a_departure():
    departures = Departures()
    departures.note_leaving("x", 1)
    departures.note_listed(_listed(InstanceState.LIVE), {"x": 1})
    assert departures.is_leaving("x", 1)


def test_departure_of_a_newer_incarnation_is_reported_as_new():
    departures = Departures()
    departures.note_listed(_listed(InstanceState.LEAVING), {"x": 1})
    departures.note_listed(_listed(InstanceState.LIVE), {"x": 2})
    assert departures.note_listed(_listed(InstanceState.LEAVING), {"x": 2}) == ["x"]
    assert departures.is_leaving("x", 2)
