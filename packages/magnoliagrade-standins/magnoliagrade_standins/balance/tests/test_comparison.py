from magnoliagrade_standins.balance import BalancePlan, run_day


def test_weighed_policy_meets_skew_and_transfer_targets_under_drift():
    plan = BalancePlan(layers=4, day_s=4 * 3600.0)
    static = run_day(plan, "static")
    repack = run_day(plan, "full-repack")
    weighed = run_day(plan, "weighed")
    assert static.mean_skew > 1.3
    assert weighed.mean_skew <= 1.10
    assert weighed.bytes_moved <= repack.bytes_moved / 4


def test_weighed_policy_balances_a_slow_accelerator():
    plan = BalancePlan(layers=2, day_s=4 * 3600.0, slow_rank_from_s=3600.0)
    assert run_day(plan, "static").mean_skew > 1.3
    assert run_day(plan, "weighed").mean_skew <= 1.10


def test_weighed_policy_stays_balanced_with_lost_and_delayed_reports():
    plan = BalancePlan(layers=2, day_s=4 * 3600.0, lag_reports=6, lost_part=0.3)
    assert run_day(plan, "weighed").mean_skew <= 1.10
