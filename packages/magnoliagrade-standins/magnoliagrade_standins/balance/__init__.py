"""Comparison of rebalancing policies over a simulated day of expert popularity."""

from magnoliagrade_standins.balance.command import balance_command
from magnoliagrade_standins.balance.comparison import (
    BalancePlan,
    DayReport,
    compare,
    run_day,
)
from magnoliagrade_standins.balance.drift import DriftingPopularity
from magnoliagrade_standins.balance.plot import plot_days

__all__ = [
    "balance_command",
    "BalancePlan",
    "DayReport",
    "DriftingPopularity",
    "compare",
    "plot_days",
    "run_day",
]
