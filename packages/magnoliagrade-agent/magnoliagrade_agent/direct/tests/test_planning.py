"""Replay of shifting demand on a group's experts."""

import numpy as np
from magnoliagrade.algorithms.balance import rank_times, skew
from magnoliagrade.world.site import RankStatus

from magnoliagrade_agent.direct.coordinator import is_coordinator
from magnoliagrade_agent.direct.planning import (
    CountWindow,
    first_placement,
    least_gain,
    plan_placement,
    pressure,
)

SETS, RANKS, EXPERTS, PLACES, SPARE = 4, 12, 72, 8, 3
EVEN = np.ones(RANKS)


def test_shifts_every_few_seconds_skew_passes_less_than_the_first_map():
    rng = np.random.default_rng(1)
    first = holds = first_placement(sets=SETS, ranks=RANKS, experts=EXPERTS)
    before, after = [], []
    for _ in range(8):
        rates = _demand(rng)
        for _ in range(2):
            holds = plan_placement(
                holds, rates, EVEN, places=PLACES, spare=SPARE, least_gain=0.0015
            )
        before.append(_skew(first, rates))
        after.append(_skew(holds, rates))
    assert np.mean(before) > 1.8
    assert np.mean(after) < 1.3


def test_a_slow_rank_gets_less_of_the_experts_work():
    rng = np.random.default_rng(5)
    rates = _demand(rng)
    speeds = EVEN.copy()
    speeds[3] = 1 / 1.6
    even = slow = first_placement(sets=SETS, ranks=RANKS, experts=EXPERTS)
    for _ in range(3):
        even = plan_placement(even, rates, EVEN, places=PLACES, spare=SPARE)
        slow = plan_placement(slow, rates, speeds, places=PLACES, spare=SPARE)

    def step(holds):
        return rank_times(holds, rates, speeds).max(axis=1).sum()

    assert step(slow) < 0.9 * step(even)


def test_what_was_chosen_lately_outlasts_a_new_formation_of_the_group():
    window = CountWindow(sets=1, experts=2)
    window.add({0: _counters([0, 0])}, now=0.0)
    window.add({0: _counters([9000, 3000])}, now=0.4)
    window.start_anew()
    # Counters begin at 0 again, and another server may have the rank.
    window.add({0: _counters([50, 10])}, now=1.4)
    assert window.has_enough
    assert window.choices[0, 0] == 3 * window.choices[0, 1]
    window.add({0: _counters([60, 30])}, now=1.4)
    assert (window.choices == [[4510.0, 1520.0]]).all()


def test_a_plan_is_one_that_a_server_accepts():
    rng = np.random.default_rng(2)
    holds = first_placement(sets=SETS, ranks=RANKS, experts=EXPERTS)
    for _ in range(6):
        planned = plan_placement(holds, _demand(rng), EVEN, places=PLACES, spare=SPARE)
        assert (planned.sum(axis=2) <= PLACES).all()
        assert (planned.sum(axis=1) >= 1).all()
        assert ((planned & ~holds).sum(axis=2) <= SPARE).all()
        holds = planned


def test_a_higher_price_of_copies_copies_less():
    rates = _demand(np.random.default_rng(3))
    first = first_placement(sets=SETS, ranks=RANKS, experts=EXPERTS)

    def copies(gain):
        planned = plan_placement(
            first, rates, EVEN, places=PLACES, spare=SPARE, least_gain=gain
        )
        return (planned & ~first).sum()

    assert 0 < copies(0.01) < copies(0.001) < copies(0.0)


def test_nothing_is_copied_for_a_group_that_is_hardly_used():
    idle = [RankStatus(running=1)] * RANKS
    full = [RankStatus(running=6, waiting=2)] * RANKS
    calm = {"slots": 6, "pass_s": 0.04, "gap_objective_s": 0.12}
    assert pressure(idle, **calm) == 0
    assert pressure(full, **calm) == 1
    assert pressure(idle, **calm | {"pass_s": 0.11}) == 1
    assert 0 < pressure(idle, **calm | {"pass_s": 0.08}) < 1
    slow = [*idle[1:], RankStatus(running=1, pace=1.6)]
    assert pressure(slow, **calm) == 1
    assert least_gain(0.0) == float("inf")


def test_counters_that_start_anew_do_not_count_backwards():
    window = CountWindow(sets=1, experts=2)
    for now, counts in ((0.0, (5, 5)), (1.0, (15, 5)), (1.0, (0, 0)), (1.0, (4, 0))):
        window.add({0: np.array(counts, dtype="<i8").tobytes()}, now=now)
    assert window.choices.tolist() == [[14.0, 0.0]]


def test_the_next_rank_takes_over_only_after_silence():
    assert is_coordinator(0, silent_s=0.0)
    assert not is_coordinator(1, silent_s=3.0)
    assert is_coordinator(1, silent_s=5.0)
    assert not is_coordinator(9, silent_s=100.0)


def _demand(rng):
    popularity = 1.0 / np.arange(1, EXPERTS + 1) ** 1.3
    return np.array([rng.permutation(popularity) for _ in range(SETS)]) + 0.005


def _skew(holds, rates):
    return skew(rank_times(holds, rates, np.ones(RANKS)))


def _counters(counts):
    return np.array(counts, dtype="<i8").tobytes()
