"""Command that compares rebalancing policies over a simulated day."""

import dataclasses
import json
import sys

from magnoliagrade.algorithms.balance import rebalancing_policies

from magnoliagrade_standins.balance.comparison import BalancePlan, run_day
from magnoliagrade_standins.balance.plot import plot_days

__all__ = ["balance_command"]


def balance_command(output="", **plan_fields):
    """Simulate a day under each policy and print the results as JSON.

    Parameters
    ----------
    output : str
        Path without suffix of a JSON file and an SVG plot of the skew over the day;
        empty writes neither.
    **plan_fields
        Fields of `BalancePlan`.
    """
    plan = BalancePlan(**plan_fields)
    reports = []
    for name in rebalancing_policies.names():
        print(f"{name}: {plan.day_s / 3600:g} hours", file=sys.stderr)
        reports.append(run_day(plan, name))
    print(json.dumps([r.summary() for r in reports], indent=1))
    if output:
        rows = [dataclasses.asdict(r) for r in reports]
        with open(f"{output}.json", "w", encoding="utf-8") as file:
            json.dump(rows, file)
        plot_days(reports, report_s=plan.report_s, path=f"{output}.svg")
