"""The switch of a map in each failure that has a name."""

import itertools
import unittest
from unittest import mock

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.wire import (
    ArmAck,
    ArmSwitch,
    GenerationAnswer,
    OutcomeKnown,
    SwitchOutcome,
)
from magnoliagrade_agent.group import MapRecord, Outcome
from magnoliagrade_agent.group.coordinator import SwitchPhase

from magnoliagrade_standins.explore import Exploration, ExplorationPlan
from magnoliagrade_standins.explore.exploration import finish
from magnoliagrade_standins.ranks import find_map_conflict

RANKS = 3
TELLING = (ArmAck, SwitchOutcome, OutcomeKnown)


def _running_group(fault="none"):
    plan = ExplorationPlan(ranks=RANKS, failing_part=0.0, fault=fault)
    exploration = Exploration(plan=plan, seed=1)
    assert exploration.settle()
    return exploration


def _flow(group, *, lose=lambda rank, message: False):
    """Deliver everything in order, but for what is lost."""
    for _ in range(10_000):
        if not group.in_flight:
            return
        rank, message = group.in_flight.pop(0)
        if not lose(rank, message):
            group.deliver((rank, message))
    raise AssertionError("messages without end")


def _begin_switch(group, *, fence=1):
    group.begin_switch(fence=fence, generation=group.member_by_rank[0].generation)
    return group.coordinators[-1]


def _advance(group, times=8):
    for _ in range(times):
        for rank in range(RANKS):
            group.group.advance(rank)


def _restart(group, rank, kind):
    group.restart(rank, kind)


def _versions(group):
    return {r.view.version_at(r.begun + 99) for r in group.group.ranks}


def _check(group):
    assert group.settle()
    assert find_map_conflict(group.group.records) is None


def _is(kind):
    return lambda rank, message: isinstance(message, kind)


def test_switch_without_faults_does_not_hold_a_rank():
    group = _running_group()
    coordinator = _begin_switch(group)
    _flow(group)
    assert coordinator.phase is SwitchPhase.ARMING
    assert all(rank.hold_step == 0 for rank in group.group.ranks)
    _advance(group)
    last = {r.rank: r.version for r in group.group.records}
    assert last == {0: 2, 1: 2, 2: 2}
    _check(group)


def test_coordinator_wakes_between_any_two_messages():
    for before in range(12):
        group = _running_group()
        paused = _begin_switch(group, fence=1)
        for _ in range(min(before, len(group.in_flight))):
            group.deliver(group.in_flight.pop(0))
        held, group.in_flight = group.in_flight, []
        newer = _begin_switch(group, fence=2)
        _flow(group)
        paused.resend()
        group.in_flight.extend(held)
        _flow(group)
        newer.resend()
        _check(group)
        assert len(_versions(group)) == 1


def test_older_coordinator_is_fenced():
    group = _running_group()
    _begin_switch(group, fence=5)
    _flow(group)
    _advance(group)
    older = _begin_switch(group, fence=4)
    _flow(group)
    assert older.phase is SwitchPhase.FENCED
    assert _versions(group) == {2}


def test_lost_messages_of_each_kind_only_delay():
    for kind in (ArmSwitch, ArmAck, SwitchOutcome, OutcomeKnown):
        group = _running_group()
        coordinator = _begin_switch(group)
        _flow(group, lose=_is(kind))
        _advance(group)
        assert all(r.begun < coordinator.step for r in group.group.ranks) or (
            kind in (ArmSwitch, SwitchOutcome)
        )
        coordinator.resend()
        _check(group)
        assert len(_versions(group)) == 1


def test_late_and_repeated_arming_changes_no_answer():
    group = _running_group()
    coordinator = _begin_switch(group)
    _flow(group, lose=lambda rank, m: isinstance(m, ArmSwitch) and rank == 2)
    finish(group.member_by_rank[0].tick(is_query_due=True))
    _flow(group)
    coordinator.resend()
    coordinator.resend()
    _flow(group)
    outcomes = {m.view.switch for m in group.member_by_rank.values()}
    assert Outcome.COMMITTED not in {s.outcome for s in outcomes if s}
    _check(group)
    assert _versions(group) == {1}


def test_rank_restarted_before_arming():
    for kind in ("agent", "rank", "both"):
        group = _running_group()
        _begin_switch(group)
        _restart(group, 1, kind)
        _check(group)
        assert _versions(group) == {1}


def test_rank_restarted_between_arming_and_outcome():
    for kind in ("agent", "rank", "both"):
        group = _running_group()
        _begin_switch(group)
        _flow(group, lose=_is(ArmAck))
        _restart(group, 1, kind)
        _check(group)
        assert _versions(group) == {1}


def test_rank_restarted_after_outcome():
    for kind in ("agent", "rank", "both"):
        group = _running_group()
        _begin_switch(group)
        _flow(group, lose=lambda rank, m: isinstance(m, OutcomeKnown) and rank == 0)
        _restart(group, 1, kind)
        _check(group)
        assert _versions(group) == {2}


def test_two_ranks_restarted_while_one_knew_the_outcome():
    for survivor, kind in itertools.product(range(RANKS), ("rank", "both")):
        group = _running_group()
        _begin_switch(group)
        _flow(group, lose=lambda rank, m: isinstance(m, TELLING) and rank != 1)
        for rank in set(range(RANKS)) - {survivor}:
            _restart(group, rank, kind)
        _check(group)
        knew = survivor == 1 or kind == "rank"
        assert _versions(group) == ({2} if knew else {1}), (survivor, kind)


def test_whole_group_restarted_with_store_down():
    group = _running_group()
    _begin_switch(group)
    _flow(group)
    for rank in range(RANKS):
        _restart(group, rank, "both")
    for _ in range(20):
        for member in group.member_by_rank.values():
            finish(member.tick())
        _flow(group)
        _advance(group)
    assert not any(rank.is_running for rank in group.group.ranks)
    record = MapRecord(version=7, map=b"7")
    finish(group.member_by_rank[2].offer_record(record, 9))
    _flow(group)
    _advance(group)
    assert [rank.is_running for rank in group.group.ranks] == [True] * RANKS
    assert _versions(group) == {7}
    assert {m.fence for m in group.member_by_rank.values()} == {9}


def test_agents_restarted_beside_running_ranks_keep_the_map():
    group = _running_group()
    _begin_switch(group)
    _flow(group)
    _advance(group)
    for rank in range(RANKS):
        _restart(group, rank, "agent")
    _check(group)
    assert _versions(group) == {2}


def test_restarted_agent_learns_the_newest_fence_from_its_peers():
    group = _running_group()
    _begin_switch(group, fence=5)
    _flow(group)
    _restart(group, 1, "both")
    group.settle()
    assert group.member_by_rank[1].fence == 5


def test_stalled_rank_holds_all_and_is_waited_for():
    group = _running_group()
    coordinator = _begin_switch(group)
    _flow(group)
    for _ in range(20):
        group.group.advance(0)
        group.group.advance(1)
    assert max(r.begun for r in group.group.ranks) <= coordinator.step
    _check(group)
    assert _versions(group) == {2}


def test_data_centre_cut_at_any_message_of_a_switch():
    for before in range(0, 40, 3):
        group = _running_group()
        coordinator = _begin_switch(group)
        for _ in range(before):
            if group.in_flight:
                group.deliver(group.in_flight.pop(0))
        group.cuts = {(2, 0), (2, 1), (0, 2), (1, 2)}
        group.in_flight = [i for i in group.in_flight if i[0] != 2]
        for _ in range(5):
            for member in group.member_by_rank.values():
                finish(member.tick(is_query_due=True))
            _flow(group)
            _advance(group)
        group.cuts = set()
        coordinator.resend()
        _check(group)
        assert len(_versions(group)) == 1


def _lose_those_who_settled(fault):
    """Let all but rank 2 settle a commit that it does not know, and die."""
    group = _running_group(fault)
    _begin_switch(group)
    _flow(group, lose=lambda rank, m: isinstance(m, TELLING) and rank != 0)
    _advance(group)
    _restart(group, 1, "both")
    for _ in range(3):
        for member in group.member_by_rank.values():
            finish(member.tick())
        _flow(group, lose=_is_answer_of_rank_0_to_rank_2)
    _advance(group)
    _restart(group, 0, "both")
    _restart(group, 1, "both")
    assert group.settle()
    return find_map_conflict(group.group.records)


def _is_answer_of_rank_0_to_rank_2(rank, message):
    return isinstance(message, GenerationAnswer) and (message.rank, rank) == (0, 2)


def test_generation_runs_only_once_all_have_settled():
    assert _lose_those_who_settled("none") is None
    assert _lose_those_who_settled("no-settled-round") is not None


def test_rank_held_without_an_answer_is_released():
    group = _running_group()
    rank = group.group.ranks[1]
    _begin_switch(group)
    rank_hold = type(rank).hold

    async def hold_and_fail(self, view, *, after_step):
        await rank_hold(self, view, after_step=after_step)
        raise MagnoliagradeError(ErrorKind.UPSTREAM_FAILED, "no answer")

    with mock.patch.object(type(rank), "hold", hold_and_fail):
        _flow(group)
    assert rank.hold_step
    _check(group)
    assert _versions(group) == {1}


def test_rank_that_restarted_unnoticed_refuses_what_it_has_not_settled():
    group = _running_group()
    rank = group.group.ranks[1]
    view = rank.view
    rank.restart()
    for order in (rank.note_outcome(view), rank.run(1, 9)):
        with unittest.TestCase().assertRaises(MagnoliagradeError):
            finish(order)
    group.unnoticed.add(1)
    _check(group)


def test_repeated_order_to_run_does_not_turn_back():
    group = _running_group()
    rank = group.group.ranks[1]
    begun = rank.begun
    assert finish(rank.run(rank.generation, 1))
    assert rank.begun == begun


def test_replaced_agent_steps_down():
    group = _running_group()
    old = group.member_by_rank[1]
    _restart(group, 1, "agent")
    group.settle()
    finish(old.tick())
    join = group.member_by_rank[1]._join()
    finish(old.on_message(join, lambda message: None))
    assert old.is_superseded
