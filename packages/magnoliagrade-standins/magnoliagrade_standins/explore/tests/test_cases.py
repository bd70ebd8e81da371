"""Switches of the expert map under one specific failure each."""

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

from magnoliagrade_standins.explore import ExplorationPlan, RandomWalk
from magnoliagrade_standins.explore.exploration import run_to_completion
from magnoliagrade_standins.ranks import find_map_conflict

RANKS = 3
SWITCH_STATE_MESSAGES = (ArmAck, SwitchOutcome, OutcomeKnown)


def _running_walk(fault="none"):
    plan = ExplorationPlan(ranks=RANKS, failing_part=0.0, fault=fault)
    walk = RandomWalk(plan=plan, seed=1)
    assert walk.recover()
    return walk


def _deliver_all(walk, *, is_lost=lambda rank, message: False):
    """Deliver all messages in order, except those for which `is_lost` is true."""
    for _ in range(10_000):
        if not walk.in_flight:
            return
        rank, message = walk.in_flight.pop(0)
        if not is_lost(rank, message):
            walk.deliver((rank, message))
    raise AssertionError("messages still in flight after 10,000 deliveries")


def _begin_switch(walk, *, fence=1):
    walk.begin_switch(fence=fence, generation=walk.member_by_rank[0].generation)
    return walk.coordinators[-1]


def _advance(walk, times=8):
    for _ in range(times):
        for rank in range(RANKS):
            walk.group.advance(rank)


def _restart(walk, rank, kind):
    walk.restart(rank, kind)


def _versions(walk):
    return {r.view.version_at(r.begun + 99) for r in walk.group.ranks}


def _assert_recovers_without_conflict(walk):
    assert walk.recover()
    assert find_map_conflict(walk.group.records) is None


def _is_instance_of(kind):
    return lambda rank, message: isinstance(message, kind)


def test_switch_without_faults_does_not_hold_a_rank():
    walk = _running_walk()
    coordinator = _begin_switch(walk)
    _deliver_all(walk)
    assert coordinator.phase is SwitchPhase.ARMING
    assert all(rank.hold_step == 0 for rank in walk.group.ranks)
    _advance(walk)
    last = {r.rank: r.version for r in walk.group.records}
    assert last == {0: 2, 1: 2, 2: 2}
    _assert_recovers_without_conflict(walk)


def test_older_coordinator_resuming_at_any_message_leaves_one_map():
    for delivered_count in range(12):
        walk = _running_walk()
        older = _begin_switch(walk, fence=1)
        for _ in range(min(delivered_count, len(walk.in_flight))):
            walk.deliver(walk.in_flight.pop(0))
        delayed, walk.in_flight = walk.in_flight, []
        newer = _begin_switch(walk, fence=2)
        _deliver_all(walk)
        older.resend()
        walk.in_flight.extend(delayed)
        _deliver_all(walk)
        newer.resend()
        _assert_recovers_without_conflict(walk)
        assert len(_versions(walk)) == 1


def test_older_coordinator_is_fenced():
    walk = _running_walk()
    _begin_switch(walk, fence=5)
    _deliver_all(walk)
    _advance(walk)
    older = _begin_switch(walk, fence=4)
    _deliver_all(walk)
    assert older.phase is SwitchPhase.FENCED
    assert _versions(walk) == {2}


def test_lost_messages_of_any_kind_only_delay_the_switch():
    for kind in (ArmSwitch, ArmAck, SwitchOutcome, OutcomeKnown):
        walk = _running_walk()
        coordinator = _begin_switch(walk)
        _deliver_all(walk, is_lost=_is_instance_of(kind))
        _advance(walk)
        assert all(r.begun < coordinator.step for r in walk.group.ranks) or (
            kind in (ArmSwitch, SwitchOutcome)
        )
        coordinator.resend()
        _assert_recovers_without_conflict(walk)
        assert len(_versions(walk)) == 1


def test_late_or_repeated_arming_does_not_change_a_reply():
    walk = _running_walk()
    coordinator = _begin_switch(walk)
    _deliver_all(walk, is_lost=lambda rank, m: isinstance(m, ArmSwitch) and rank == 2)
    run_to_completion(walk.member_by_rank[0].tick(is_query_due=True))
    _deliver_all(walk)
    coordinator.resend()
    coordinator.resend()
    _deliver_all(walk)
    outcomes = {m.view.switch for m in walk.member_by_rank.values()}
    assert Outcome.COMMITTED not in {s.outcome for s in outcomes if s}
    _assert_recovers_without_conflict(walk)
    assert _versions(walk) == {1}


def test_restart_before_arming_keeps_the_old_map():
    for kind in ("agent", "rank", "both"):
        walk = _running_walk()
        _begin_switch(walk)
        _restart(walk, 1, kind)
        _assert_recovers_without_conflict(walk)
        assert _versions(walk) == {1}


def test_restart_between_arming_and_outcome_keeps_the_old_map():
    for kind in ("agent", "rank", "both"):
        walk = _running_walk()
        _begin_switch(walk)
        _deliver_all(walk, is_lost=_is_instance_of(ArmAck))
        _restart(walk, 1, kind)
        _assert_recovers_without_conflict(walk)
        assert _versions(walk) == {1}


def test_restart_after_outcome_keeps_the_new_map():
    for kind in ("agent", "rank", "both"):
        walk = _running_walk()
        _begin_switch(walk)
        _deliver_all(
            walk, is_lost=lambda rank, m: isinstance(m, OutcomeKnown) and rank == 0
        )
        _restart(walk, 1, kind)
        _assert_recovers_without_conflict(walk)
        assert _versions(walk) == {2}


def test_outcome_is_lost_only_if_its_one_rank_and_agent_restart():
    for survivor, kind in itertools.product(range(RANKS), ("rank", "both")):
        walk = _running_walk()
        _begin_switch(walk)
        _deliver_all(
            walk,
            is_lost=lambda rank, m: isinstance(m, SWITCH_STATE_MESSAGES) and rank != 1,
        )
        for rank in set(range(RANKS)) - {survivor}:
            _restart(walk, rank, kind)
        _assert_recovers_without_conflict(walk)
        is_outcome_known = survivor == 1 or kind == "rank"
        assert _versions(walk) == ({2} if is_outcome_known else {1}), (survivor, kind)


def test_restarted_group_waits_for_the_record_while_store_is_unavailable():
    walk = _running_walk()
    _begin_switch(walk)
    _deliver_all(walk)
    for rank in range(RANKS):
        _restart(walk, rank, "both")
    for _ in range(20):
        for member in walk.member_by_rank.values():
            run_to_completion(member.tick())
        _deliver_all(walk)
        _advance(walk)
    assert not any(rank.is_running for rank in walk.group.ranks)
    record = MapRecord(version=7, map=b"7")
    run_to_completion(walk.member_by_rank[2].offer_record(record, 9))
    _deliver_all(walk)
    _advance(walk)
    assert [rank.is_running for rank in walk.group.ranks] == [True] * RANKS
    assert _versions(walk) == {7}
    assert {m.fence for m in walk.member_by_rank.values()} == {9}


def test_restart_of_all_agents_keeps_the_map():
    walk = _running_walk()
    _begin_switch(walk)
    _deliver_all(walk)
    _advance(walk)
    for rank in range(RANKS):
        _restart(walk, rank, "agent")
    _assert_recovers_without_conflict(walk)
    assert _versions(walk) == {2}


def test_restarted_agent_learns_the_newest_fence_from_its_peers():
    walk = _running_walk()
    _begin_switch(walk, fence=5)
    _deliver_all(walk)
    _restart(walk, 1, "both")
    walk.recover()
    assert walk.member_by_rank[1].fence == 5


def test_stalled_rank_stops_the_others_at_the_step_of_the_switch():
    walk = _running_walk()
    coordinator = _begin_switch(walk)
    _deliver_all(walk)
    for _ in range(20):
        walk.group.advance(0)
        walk.group.advance(1)
    assert max(r.begun for r in walk.group.ranks) <= coordinator.step
    _assert_recovers_without_conflict(walk)
    assert _versions(walk) == {2}


def test_partition_at_any_message_of_a_switch_leaves_one_map():
    for delivered_count in range(0, 40, 3):
        walk = _running_walk()
        coordinator = _begin_switch(walk)
        for _ in range(delivered_count):
            if walk.in_flight:
                walk.deliver(walk.in_flight.pop(0))
        walk.cut_links = {(2, 0), (2, 1), (0, 2), (1, 2)}
        walk.in_flight = [i for i in walk.in_flight if i[0] != 2]
        for _ in range(5):
            for member in walk.member_by_rank.values():
                run_to_completion(member.tick(is_query_due=True))
            _deliver_all(walk)
            _advance(walk)
        walk.cut_links = set()
        coordinator.resend()
        _assert_recovers_without_conflict(walk)
        assert len(_versions(walk)) == 1


def _find_conflict_after_settled_ranks_restart(fault):
    """Return the map conflict after the ranks that settled a commit have restarted.

    Ranks 0 and 1 settle a generation with a commit that rank 2 does not know, then
    both restart.
    """
    walk = _running_walk(fault)
    _begin_switch(walk)
    _deliver_all(
        walk,
        is_lost=lambda rank, m: isinstance(m, SWITCH_STATE_MESSAGES) and rank != 0,
    )
    _advance(walk)
    _restart(walk, 1, "both")
    for _ in range(3):
        for member in walk.member_by_rank.values():
            run_to_completion(member.tick())
        _deliver_all(walk, is_lost=_is_answer_from_rank_0_to_rank_2)
    _advance(walk)
    _restart(walk, 0, "both")
    _restart(walk, 1, "both")
    assert walk.recover()
    return find_map_conflict(walk.group.records)


def _is_answer_from_rank_0_to_rank_2(rank, message):
    return isinstance(message, GenerationAnswer) and (message.rank, rank) == (0, 2)


def test_generation_runs_only_after_all_ranks_have_settled():
    assert _find_conflict_after_settled_ranks_restart("none") is None
    assert _find_conflict_after_settled_ranks_restart("no-settled-round") is not None


def test_rank_is_released_after_a_hold_order_without_reply():
    walk = _running_walk()
    rank = walk.group.ranks[1]
    _begin_switch(walk)
    rank_hold = type(rank).hold

    async def hold_and_fail(self, view, *, after_step):
        await rank_hold(self, view, after_step=after_step)
        raise MagnoliagradeError(ErrorKind.UPSTREAM_FAILED, "no reply")

    with mock.patch.object(type(rank), "hold", hold_and_fail):
        _deliver_all(walk)
    assert rank.hold_step
    _assert_recovers_without_conflict(walk)
    assert _versions(walk) == {1}


def test_restarted_rank_rejects_outcome_and_run_before_it_has_settled():
    walk = _running_walk()
    rank = walk.group.ranks[1]
    view = rank.view
    rank.restart()
    for order in (rank.note_outcome(view), rank.run(1, 9)):
        with unittest.TestCase().assertRaises(MagnoliagradeError):
            run_to_completion(order)
    walk.undetected_restarts.add(1)
    _assert_recovers_without_conflict(walk)


def test_repeated_order_to_run_does_not_reset_the_step():
    walk = _running_walk()
    rank = walk.group.ranks[1]
    begun = rank.begun
    assert run_to_completion(rank.run(rank.generation, 1))
    assert rank.begun == begun


def test_replaced_agent_is_superseded():
    walk = _running_walk()
    old = walk.member_by_rank[1]
    _restart(walk, 1, "agent")
    walk.recover()
    run_to_completion(old.tick())
    join = walk.member_by_rank[1]._join()
    run_to_completion(old.on_message(join, lambda message: None))
    assert old.is_superseded
