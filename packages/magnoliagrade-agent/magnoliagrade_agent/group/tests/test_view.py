import json

from magnoliagrade.wire import GenerationAnswer

from magnoliagrade_agent.group import GroupView, Outcome, Switch
from magnoliagrade_agent.group.rank_client import decode_view, encode_view
from magnoliagrade_agent.group.view import agreed_view, generation_of


def _answer(rank, **fields):
    common = {"origin": 9, "current_version": 1, "map": b"1", "completed_step": 4}
    return GenerationAnswer(rank=rank, **{**common, **fields})


def _answer_with_switch(rank, outcome, **fields):
    return _answer(
        rank, open_version=2, open_step=6, open_map=b"2", outcome=outcome, **fields
    )


def test_switch_is_committed_if_one_survivor_knows_the_commit():
    view = agreed_view(
        [_answer_with_switch(0, ""), _answer_with_switch(1, "committed")], generation=5
    )
    assert view.version_at(5) == 1
    assert view.version_at(6) == 2


def test_switch_is_aborted_if_no_survivor_knows_a_commit():
    view = agreed_view([_answer_with_switch(0, ""), _answer(1)], generation=5)
    assert view.switch.outcome is Outcome.ABORTED
    assert view.version_at(6) == 1


def test_restart_of_all_ranks_resets_steps_and_uses_the_newest_map():
    answers = [
        _answer_with_switch(0, "committed", is_rank_new=True),
        _answer(1, is_rank_new=True),
    ]
    view = agreed_view(answers, generation=5)
    assert (view.origin, view.completed, view.version) == (5, 0, 2)


def test_answer_with_an_earlier_origin_is_ignored():
    older = _answer_with_switch(
        0, "committed", origin=7, is_rank_new=True, completed_step=90
    )
    view = agreed_view([older, _answer(1)], generation=5)
    assert (view.origin, view.completed, view.version) == (9, 4, 1)


def test_generation_depends_on_the_incarnation_of_each_rank():
    assert generation_of([1, 2]) != generation_of([2, 1])


def test_view_is_unchanged_by_a_json_round_trip():
    switch = Switch(version=2, step=6, outcome=Outcome.COMMITTED)
    view = GroupView(
        origin=2**63 + 1,
        version=1,
        switch=switch,
        completed=4,
        map_by_version={1: b"\x00", 2: b"\xff"},
    )
    assert decode_view(json.loads(json.dumps(encode_view(view)))) == view
