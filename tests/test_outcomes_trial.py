"""Runs the trial of outcomes with three of its faults and one seed."""

from magnoliagrade_standins.trials import run_trial

KINDS = "link-cut-after,agent-killed,store-answers-lost"


def test_orders_run_at_most_once_with_correct_outcomes_under_three_faults():
    result = run_trial("outcomes", seed=11, kinds=KINDS, orders=60)
    assert len(result.checks) == 12
    assert result.passed, [c for c in result.checks if not c.passed]
