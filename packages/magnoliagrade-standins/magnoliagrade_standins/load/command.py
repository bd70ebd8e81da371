"""Command that sends a load to running entries."""

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

# Fields of `LoadPlan` that are not flags: `urls` is an argument of the command, and
# `key_by_organisation` keeps its default.
NON_FLAG_FIELDS = ("urls", "key_by_organisation")


def load_command(urls, *, records="", json_path="", plot_path="", **fields):
    """Send a load, print its report and return the exit code.

    Parameters
    ----------
    urls : str or sequence of str
        URLs of entries, separated by commas.
    records : str or sequence of str
        URLs of plain services whose `/record` lists their executions. The services
        must not have run anything before the load.
    json_path : str
        File to which the report is written as JSON; none if empty.
    plot_path : str
        File to which the plot is written, in the format of its extension; none if
        empty.
    **fields
        Fields of `LoadPlan`.

    Returns
    -------
    code : int
        1 if a response belonged to another request or an order contradicts the
        services' records, else 0.
    """
    (fields,) = split_flags(fields, LoadPlan, without=NON_FLAG_FIELDS)
    plan = LoadPlan(urls=_split_urls(urls), **fields)
    report = asyncio.run(_run_and_summarise(plan, _split_urls(records)))
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
        HTTP session to use.
    urls : list of str
        Base URLs of the services.

    Returns
    -------
    executions : list of dict
        Executions in the order of `urls`.
    """
    executions = []
    for url in urls:
        async with session.get(f"{url}/record") as response:
            executions += (await response.json())["executions"]
    return executions


def print_progress(progress):
    """Write the progress of a load to standard error."""
    line = (
        f"{progress.elapsed_s:5.0f} s  sent {progress.sent}  good {progress.good}  "
        f"in flight {progress.in_flight}  rejected {progress.rejected}  "
        f"failed {progress.failed}"
    )
    print(line, file=sys.stderr, flush=True)


async def _run_and_summarise(plan, records):
    outcomes = await run_load(plan, on_progress=print_progress)
    orders = None
    if records:
        async with aiohttp.ClientSession() as session:
            executions = await fetch_executions(session, records)
        orders = check_orders(outcomes, executions)
    return summarise(outcomes, duration_s=plan.duration_s, orders=orders)


def _split_urls(urls):
    parts = urls.split(",") if isinstance(urls, str) else urls
    return [part.strip().rstrip("/") for part in parts if part.strip()]
