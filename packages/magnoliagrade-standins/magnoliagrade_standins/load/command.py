"""The command that puts a load on running entries."""

import asyncio
import json
import sys

import aiohttp

from magnoliagrade_standins.flags import split_flags
from magnoliagrade_standins.load.order_checks import check_orders
from magnoliagrade_standins.load.plan import LoadPlan
from magnoliagrade_standins.load.plot import plot_report
from magnoliagrade_standins.load.report import summarise
from magnoliagrade_standins.load.run import run_load

__all__ = ["fetch_executions", "load_command", "print_progress"]

# Fields that are arguments of their own, or no flags.
GIVEN = ("urls", "key_by_organisation")


def load_command(urls, *, records="", json_path="", plot_path="", **fields):
    """Send a load, print its report and return the exit code.

    Parameters
    ----------
    urls : str or sequence of str
        URLs of entries, separated by commas.
    records : str or sequence of str
        URLs of plain services whose `/record` tells what ran; they must be fresh.
    json_path : str
        File for the report as JSON.
    plot_path : str
        File for the plot; its ending gives the format.
    **fields
        Fields of `LoadPlan`.

    Returns
    -------
    code : int
        1 if an answer was foreign or an order's record does not fit, else 0.
    """
    (fields,) = split_flags(fields, LoadPlan, without=GIVEN)
    plan = LoadPlan(urls=_listed(urls), **fields)
    report = asyncio.run(_load(plan, _listed(records)))
    print(report.as_text())
    if json_path:
        with open(json_path, "w", encoding="utf-8") as file:
            json.dump(report.as_dict(), file, indent=2)
    if plot_path:
        plot_report(report, plot_path)
    is_clean = report.orders is None or report.orders.is_clean
    return 0 if is_clean and not report.foreign else 1


async def fetch_executions(session, urls):
    """Return the executions that plain services recorded.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session to use.
    urls : list of str
        Base URLs of the services.

    Returns
    -------
    executions : list of dict
        Of all services, service by service.
    """
    executions = []
    for url in urls:
        async with session.get(f"{url}/record") as response:
            executions += (await response.json())["executions"]
    return executions


def print_progress(progress):
    """Write how far a load is to standard error."""
    line = (
        f"{progress.elapsed_s:5.0f} s  sent {progress.sent}  good {progress.good}  "
        f"in flight {progress.in_flight}  refused {progress.refused}  "
        f"failed {progress.failed}"
    )
    print(line, file=sys.stderr, flush=True)


async def _load(plan, records):
    outcomes = await run_load(plan, on_progress=print_progress)
    orders = None
    if records:
        async with aiohttp.ClientSession() as session:
            executions = await fetch_executions(session, records)
        orders = check_orders(outcomes, executions)
    return summarise(outcomes, duration_s=plan.duration_s, orders=orders)


def _listed(urls):
    parts = urls.split(",") if isinstance(urls, str) else urls
    return [part.strip().rstrip("/") for part in parts if part.strip()]
