"""Plans of expert maps under shifting demand on a group's experts."""

import numpy as np
from magnoliagrade.algorithms.balance import rank_times, skew
from magnoliagrade.world.site import EngineProfile, RankStatus

from magnoliagrade_agent.direct.coordinator import is_coordinator
from magnoliagrade_agent.direct.planning import (
    ALL_COPIES_URGENCY,
    COUNT_HALF_LIFE_S,
    CountWindow,
    EventRate,
    plan_placement,
    rebalance_urgency,
    required_gain_per_copy,
    round_robin_placement,
    settled_pass_s,
)

SETS, RANKS, EXPERTS, PLACES, SPARE = 4, 12, 72, 8, 3
EVEN = np.ones(RANKS)
ENGINE = EngineProfile(
    slots=5,
    step_s=0.00455,
    sequence_s=0.00218,
    context_1000_s=0.0,
    read_tokens_per_s=61400.0,
    steps_per_pass=5,
    expert_share=0.85,
)


def test_replanning_after_each_shift_gives_less_skew_than_the_round_robin_map():
    rng = np.random.default_rng(1)
    first = placement = round_robin_placement(sets=SETS, ranks=RANKS, experts=EXPERTS)
    before, after = [], []
    for _ in range(8):
        rates = _demand(rng)
        for _ in range(2):
            placement = plan_placement(
                placement,
                rates,
                EVEN,
                places=PLACES,
                spare=SPARE,
                min_gain_per_copy=0.0015,
            )
        before.append(_skew(first, rates))
        after.append(_skew(placement, rates))
    assert np.mean(before) > 1.8
    assert np.mean(after) < 1.3


def test_a_plan_that_knows_rank_speeds_shortens_the_passes_with_a_slow_rank():
    rng = np.random.default_rng(5)
    rates = _demand(rng)
    speeds = EVEN.copy()
    speeds[3] = 1 / 1.6
    even = slow = round_robin_placement(sets=SETS, ranks=RANKS, experts=EXPERTS)
    for _ in range(3):
        even = plan_placement(even, rates, EVEN, places=PLACES, spare=SPARE)
        slow = plan_placement(slow, rates, speeds, places=PLACES, spare=SPARE)

    def step(placement):
        return rank_times(placement, rates, speeds).max(axis=1).sum()

    assert step(slow) < 0.9 * step(even)


def test_recent_choices_are_kept_when_baselines_are_reset():
    window = CountWindow(sets=1, experts=2)
    window.add({0: _counters([0, 0])}, now=0.0)
    window.add({0: _counters([9000, 3000])}, now=0.0)
    window.reset_baselines()
    # In a new formation counters start at 0, and another server may have the rank.
    later = COUNT_HALF_LIFE_S
    window.add({0: _counters([50, 10])}, now=later)
    assert window.has_enough_choices
    assert window.choices[0, 0] == 3 * window.choices[0, 1]
    window.add({0: _counters([60, 30])}, now=later)
    assert (window.choices == [[4510.0, 1520.0]]).all()


def test_a_plan_respects_the_limits_of_places_and_spare_experts():
    rng = np.random.default_rng(2)
    placement = round_robin_placement(sets=SETS, ranks=RANKS, experts=EXPERTS)
    for _ in range(6):
        planned = plan_placement(
            placement, _demand(rng), EVEN, places=PLACES, spare=SPARE
        )
        assert (planned.sum(axis=2) <= PLACES).all()
        assert (planned.sum(axis=1) >= 1).all()
        assert ((planned & ~placement).sum(axis=2) <= SPARE).all()
        placement = planned


def test_a_higher_minimum_gain_per_copy_plans_fewer_copies():
    rates = _demand(np.random.default_rng(3))
    first = round_robin_placement(sets=SETS, ranks=RANKS, experts=EXPERTS)

    def copies(gain):
        planned = plan_placement(
            first, rates, EVEN, places=PLACES, spare=SPARE, min_gain_per_copy=gain
        )
        return (planned & ~first).sum()

    assert 0 < copies(0.01) < copies(0.001) < copies(0.0)


def test_urgency_is_zero_for_an_idle_group_and_one_for_a_full_or_slow_one():
    idle = [RankStatus(running=1)] * RANKS
    full = [RankStatus(running=6, waiting=2)] * RANKS
    low_load = {"slots": 6, "pass_s": 0.04, "gap_objective_s": 0.12}
    assert rebalance_urgency(idle, **low_load) == 0
    assert rebalance_urgency(full, **low_load) == 1
    assert rebalance_urgency(idle, **low_load | {"pass_s": 0.11}) == 1
    assert 0 < rebalance_urgency(idle, **low_load | {"pass_s": 0.08}) < 1
    slow = [*idle[1:], RankStatus(running=1, pace=1.6)]
    assert rebalance_urgency(slow, **low_load) == 1
    assert required_gain_per_copy(0.0) == float("inf")


def test_streams_are_not_late_for_a_second_after_a_shift_before_a_map_is_planned():
    # Passes of 63 ranks were 60 ms; a shift makes the fullest rank 2.9 times the mean.
    # Streams of 19 events come at a constant rate, and may have no gap above 150 ms.
    first_urgent_s, pass_s = _replay_shift(ENGINE)
    assert first_urgent_s <= 0.5
    assert pass_s < 0.12


def test_a_map_that_fits_the_demand_is_not_urgent_at_a_constant_load():
    urgencies = [u for _, _, u in _readings_of_shift(ENGINE, skew=1.2, seconds=3.0)]
    assert not any(urgencies)


def test_passes_settle_at_those_of_full_ranks_if_streams_come_faster_than_they_end():
    full_s = settled_pass_s(events_per_s=1e9, engine=ENGINE, load_skew=2.0)
    assert full_s == settled_pass_s(events_per_s=60.0, engine=ENGINE, load_skew=2.0)
    assert settled_pass_s(events_per_s=0.0, engine=ENGINE, load_skew=2.0) == 0.0
    half = settled_pass_s(events_per_s=30.0, engine=ENGINE, load_skew=1.2)
    assert 0.02 < half < full_s / 2


def test_the_event_rate_outlasts_the_first_long_passes():
    rate = EventRate()
    rate.update([RankStatus(running=3)] * 4, pass_s=0.06, now=10.0)
    assert rate.per_s == 50.0
    rate.update([RankStatus(running=3)] * 4, pass_s=0.12, now=10.25)
    assert 45.0 < rate.per_s < 50.0
    rate.update([RankStatus(running=0)] * 4, pass_s=0.0, now=10.5)
    assert rate.per_s > 45.0


def test_the_event_rate_follows_traffic_that_begins():
    rate = EventRate()
    for now, running in ((0.3, 1), (0.6, 3), (0.9, 6)):
        rate.update([RankStatus(running=running)] * 4, pass_s=0.05, now=now)
        assert rate.per_s == running / 0.05


def _replay_shift(engine):
    """Return when after a shift a new map is urgent, and the length of a pass then."""
    for elapsed_s, pass_s, urgency in _readings_of_shift(engine, skew=2.9, seconds=3.0):
        if urgency > ALL_COPIES_URGENCY:
            return elapsed_s, pass_s
    raise AssertionError("not urgent within 3 s")


def _readings_of_shift(engine, *, skew, seconds, interval_s=0.25, pass_s=0.06):
    """Yield time, length of a pass and urgency of the readings after a shift."""
    rate = EventRate()
    streams, stream_passes = 2.6, 19
    arrivals_per_s = streams / (stream_passes * pass_s)
    rate.update(_statuses(streams), pass_s=pass_s, now=0.0)
    now, next_reading = 0.0, interval_s
    passes = []
    while now < seconds:
        stream_s = engine.sequence_s * engine.steps_per_pass
        stream_s *= 1 - engine.expert_share + engine.expert_share * skew
        length_s = engine.step_s * engine.steps_per_pass + streams * stream_s
        now += length_s
        passes.append(length_s)
        streams += arrivals_per_s * length_s - streams / stream_passes
        if now < next_reading:
            continue
        next_reading += interval_s
        mean_s = sum(passes) / len(passes)
        passes = []
        rate.update(_statuses(streams), pass_s=mean_s, now=now)
        settled_s = settled_pass_s(
            events_per_s=rate.per_s, engine=engine, load_skew=skew
        )
        yield (
            now,
            mean_s,
            rebalance_urgency(
                _statuses(streams),
                slots=engine.slots,
                pass_s=max(mean_s, settled_s),
                gap_objective_s=0.15,
            ),
        )


def _statuses(streams, *, ranks=20):
    """Return statuses of ranks that run a mean number of streams."""
    total = round(streams * ranks)
    return [
        RankStatus(running=total // ranks + (rank < total % ranks))
        for rank in range(ranks)
    ]


def test_counters_that_fall_add_no_choices():
    window = CountWindow(sets=1, experts=2)
    for now, counts in ((0.0, (5, 5)), (1.0, (15, 5)), (1.0, (0, 0)), (1.0, (4, 0))):
        window.add({0: np.array(counts, dtype="<i8").tobytes()}, now=now)
    assert window.choices.tolist() == [[14.0, 0.0]]


def test_a_candidate_coordinates_only_after_its_time_without_calls():
    assert is_coordinator(0, seconds_since_call=0.0)
    assert not is_coordinator(1, seconds_since_call=3.0)
    assert is_coordinator(1, seconds_since_call=5.0)
    assert not is_coordinator(9, seconds_since_call=100.0)


def _demand(rng):
    popularity = 1.0 / np.arange(1, EXPERTS + 1) ** 1.3
    return np.array([rng.permutation(popularity) for _ in range(SETS)]) + 0.005


def _skew(placement, rates):
    return skew(rank_times(placement, rates, np.ones(RANKS)))


def _counters(counts):
    return np.array(counts, dtype="<i8").tobytes()
