import json

from magnoliagrade.wire import GenerationAnswer

from magnoliagrade_agent.group import GroupView, Outcome, Switch
from magnoliagrade_agent.group.rank_client import decode_view, encode_view
from magnoliagrade_agent.group.view import agreed_view, generation_of


def _answer(rank, **fields):
    common = {"origin": 9, "current_version": 1, "map": b"1", "completed_step": 4}
    return GenerationAnswer(rank=rank, **{**common, **fields})


def _open(rank, outcome, **fields):
    return _answer(
        rank, open_version=2, open_step=6, open_map=b"2", outcome=outcome, **fields
    )


def test_commit_that_one_survivor_knows_binds_all():
    known = agreed_view([_open(0, ""), _open(1, "committed")], generation=5)
    assert known.version_at(5) == 1
    assert known.version_at(6) == 2


def test_switch_that_nobody_knows_committed_is_aborted():
    known = agreed_view([_open(0, ""), _answer(1)], generation=5)
    assert known.switch.outcome is Outcome.ABORTED
    assert known.version_at(6) == 1


def test_new_ranks_count_steps_anew_from_the_newest_map():
    answers = [_open(0, "committed", is_rank_new=True), _answer(1, is_rank_new=True)]
    known = agreed_view(answers, generation=5)
    assert (known.origin, known.completed, known.version) == (5, 0, 2)


def test_answer_of_an_earlier_count_of_steps_is_left_out():
    older = _open(0, "committed", origin=7, is_rank_new=True, completed_step=90)
    known = agreed_view([older, _answer(1)], generation=5)
    assert (known.origin, known.completed, known.version) == (9, 4, 1)


def test_generation_is_named_by_all_incarnations():
    assert generation_of([1, 2]) != generation_of([2, 1])


def test_knowledge_survives_json():
    switch = Switch(version=2, step=6, outcome=Outcome.COMMITTED)
    known = GroupView(
        origin=2**63 + 1,
        version=1,
        switch=switch,
        completed=4,
        map_by_version={1: b"\x00", 2: b"\xff"},
    )
    assert decode_view(json.loads(json.dumps(encode_view(known)))) == known
