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


def test_first_source_wins_and_is_news_once():
    departures = Departures()
    assert departures.note_leaving("x", 1)
    assert not departures.note_leaving("x", 1)
    assert departures.note_listed(_listed(InstanceState.LEAVING), {"x": 1}) == []
    assert departures.is_leaving("x", 1)


def test_new_incarnation_is_back_although_the_list_lags():
    departures = Departures()
    departures.note_listed(_listed(InstanceState.LEAVING), {"x": 1})
    assert departures.is_leaving("x", 1)
    assert departures.note_listed(_listed(InstanceState.LEAVING), {"x": 2}) == []
    assert not departures.is_leaving("x", 2)


def test_list_that_says_live_does_not_bring_back():
    departures = Departures()
    departures.note_leaving("x", 1)
    departures.note_listed(_listed(InstanceState.LIVE), {"x": 1})
    assert departures.is_leaving("x", 1)


def test_second_departure_after_coming_back():
    departures = Departures()
    departures.note_listed(_listed(InstanceState.LEAVING), {"x": 1})
    departures.note_listed(_listed(InstanceState.LIVE), {"x": 2})
    assert departures.note_listed(_listed(InstanceState.LEAVING), {"x": 2}) == ["x"]
    assert departures.is_leaving("x", 2)
