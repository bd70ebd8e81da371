"""Load generator: open-loop callers, a check of each response, latency histograms."""

from magnoliagrade_standins.load.arrivals import Arrival, make_arrivals
from magnoliagrade_standins.load.caller import Outcome, send_arrival
from magnoliagrade_standins.load.command import (
    fetch_executions,
    load_command,
    print_progress,
)
from magnoliagrade_standins.load.order_checks import OrderCheckResult, check_orders
from magnoliagrade_standins.load.plan import LoadPlan
from magnoliagrade_standins.load.plot import plot_report
from magnoliagrade_standins.load.report import LoadReport, summarise
from magnoliagrade_standins.load.run import Progress, run_load

__all__ = [
    "Arrival",
    "LoadPlan",
    "LoadReport",
    "OrderCheckResult",
    "Outcome",
    "Progress",
    "fetch_executions",
    "check_orders",
    "load_command",
    "make_arrivals",
    "plot_report",
    "print_progress",
    "run_load",
    "send_arrival",
    "summarise",
]
