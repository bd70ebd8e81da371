"""The random walks pass on unmodified code and find planted faults."""

from magnoliagrade_standins.explore import ExplorationPlan, explore


def test_unmodified_code_has_no_step_with_two_maps():
    for ranks in (2, 3):
        finding = explore(ExplorationPlan(ranks=ranks, walks=1200))
        assert finding.two_maps == ""
        assert finding.stuck_seeds == []
        assert finding.switches > 100


def test_finds_that_steps_begin_before_all_ranks_know_the_outcome():
    finding = explore(ExplorationPlan(ranks=3, walks=2000, fault="no-known-round"))
    assert finding.two_maps


def test_finds_that_the_coordinator_aborts_on_its_own():
    plan = ExplorationPlan(ranks=3, walks=2000, fault="coordinator-decides")
    assert explore(plan).two_maps
