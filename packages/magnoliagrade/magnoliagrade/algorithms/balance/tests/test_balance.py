import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliagrade.algorithms.balance import (
    ExpertCounter,
    RebalancingInput,
    SpeedEstimator,
    count_transfers,
    initial_placement,
    pack_placement,
    rank_times,
    rebalancing_policies,
    repack,
    skew,
    unpack_placement,
)


def _inputs(rates, **changes):
    layers, experts = rates.shape
    fields = {
        "placement": None,
        "rates": rates,
        "speeds": np.ones(4),
        "slots": 3,
        "expert_bytes": 1,
        "bytes_per_s": 100.0,
        "budget_bytes": 1000.0,
        "horizon_s": 1000.0,
    }
    fields.update(changes)
    if fields["placement"] is None:
        fields["placement"] = initial_placement(
            layers=layers, ranks=4, experts=experts, slots=3
        )
    return RebalancingInput(**fields)


def _is_valid(placement, slots):
    return placement.any(axis=1).all() and placement.sum(axis=2).max() <= slots


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(0, 10**6))
def test_every_policy_places_each_expert_within_the_slots(seed):
    rates = np.random.default_rng(seed).exponential(size=(2, 8)) + 0.01
    for name in rebalancing_policies.names():
        inputs = _inputs(rates)
        plan = rebalancing_policies.get(name)().plan(inputs)
        if plan is not None:
            assert _is_valid(plan.placement, inputs.slots), name
            assert plan.transfers == count_transfers(inputs.placement, plan.placement)


def test_unpacking_returns_the_packed_placement():
    placement = initial_placement(layers=2, ranks=3, experts=5, slots=2)
    assert (unpack_placement(pack_placement(placement)) == placement).all()


def test_repack_replicates_the_most_loaded_expert_on_every_rank():
    rates = np.ones((1, 8))
    rates[0, 5] = 20
    placement = repack(rates, speeds=np.ones(4), slots=3)
    assert placement[0, :, 5].sum() == 4


def test_slow_rank_receives_less_load_than_the_others():
    rates = np.ones((1, 8))
    speeds = np.array([1.0, 1.0, 1.0, 0.5])
    plan = rebalancing_policies.get("weighed")().plan(_inputs(rates, speeds=speeds))
    loads = rank_times(plan.placement, rates, np.ones(4))[0]
    assert loads[3] < loads[:3].min()


def test_rank_with_more_tokens_is_not_estimated_as_slow():
    speeds = SpeedEstimator(ranks=3)
    for rank, load in enumerate((10.0, 10.0, 40.0)):
        speeds.add(rank, seconds=load / 100, load=load)
    assert speeds.speeds().tolist() == [1.0, 1.0, 1.0]


def test_no_plan_if_loading_costs_more_time_than_it_saves():
    rates = np.ones((1, 8))
    rates[0, 5] = 1.5
    cheap = _inputs(rates)
    expensive = _inputs(rates, bytes_per_s=0.001)
    policy = rebalancing_policies.get("weighed")()
    assert policy.plan(cheap) is not None
    assert policy.plan(expensive) is None


def test_plan_loads_no_more_bytes_than_the_budget():
    rates = np.random.default_rng(1).exponential(size=(4, 8))
    policy = rebalancing_policies.get("weighed")()
    plan = policy.plan(_inputs(rates, budget_bytes=3.0))
    assert 0 < plan.transfers <= 3


def test_planning_60_layers_on_32_ranks_lowers_skew_with_bounded_evaluations():
    rates = np.random.default_rng(1).lognormal(sigma=0.8, size=(60, 128)) * 1000
    placement = initial_placement(layers=60, ranks=32, experts=128, slots=6)
    inputs = _inputs(
        rates,
        placement=placement,
        speeds=np.ones(32),
        slots=6,
        expert_bytes=44_000_000,
        bytes_per_s=1e9,
        budget_bytes=300e9,
    )
    plan = rebalancing_policies.get("weighed")().plan(inputs)
    assert plan.evaluations <= 60 + plan.transfers
    after = skew(rank_times(plan.placement, rates, inputs.speeds))
    assert after < skew(rank_times(placement, rates, inputs.speeds))


def test_lost_late_and_repeated_reports_leave_the_rates_unchanged():
    counter = ExpertCounter(layers=1, experts=2, half_life_s=60.0)
    report = np.array([[30.0, 10.0]])
    for sequence in (1, 2, 2, 1, 5):
        counter.add(report, rank=0, sequence=sequence, interval_s=10, now=sequence)
    assert np.allclose(counter.rates(), [[3.0, 1.0]])


def test_rates_follow_a_sudden_change_of_popularity():
    counter = ExpertCounter(layers=1, experts=2, half_life_s=60.0)
    for i in range(20):
        counts = np.array([[10.0, 0.0]]) if i < 10 else np.array([[0.0, 10.0]])
        counter.add(counts, rank=0, sequence=i + 1, interval_s=30, now=30.0 * i)
    first, second = counter.rates()[0]
    assert second > 10 * first
