"""Running the demonstration: start, load, stop, report."""

import asyncio
from dataclasses import dataclass

from magnoliagrade_standins.harness import Site
from magnoliagrade_standins.load import (
    LoadPlan,
    fetch_executions,
    judge_orders,
    run_load,
    summarise,
)

__all__ = ["DemoResult", "run_demo"]


@dataclass(slots=True, kw_only=True)
class DemoResult:
    """What a demonstration showed.

    Parameters
    ----------
    report : LoadReport
        What callers saw, with verdicts on orders.
    executions_by_service : dict of str to int
        Calls that each service recorded.
    falls_by_engine : dict of str to int
        How often each engine was given more than it bears and fell over.
    peak_load_by_engine : dict of str to float
        Greatest part of what each engine bore at the time.
    exit_codes : list of int
        Of entries and agents, which were told to stop.
    """

    report: object
    executions_by_service: dict
    falls_by_engine: dict
    peak_load_by_engine: dict
    exit_codes: list

    @property
    def is_clean(self):
        """Whether every promise that the records can show was kept."""
        return (
            self.report.orders.is_clean
            and not self.report.foreign
            and not any(self.falls_by_engine.values())
            and not any(self.exit_codes)
        )


async def run_demo(plan, *, say, on_progress=None, hold=False, **load_fields):
    """Start a site, put a load on it, stop it and return what was seen.

    Parameters
    ----------
    plan : DemoPlan
        Sizes.
    say : callable
        Takes one line of text about what goes on.
    on_progress : callable, optional
        Takes a `Progress` of the load each second.
    hold : bool
        Whether to keep the site up after the load until cancelled.
    **load_fields
        Fields of `LoadPlan`.

    Returns
    -------
    result : DemoResult
        Counted from callers' outcomes and the stand-ins' records.
    """
    site_plan = plan.site_plan()
    say(f"starting {_process_count(plan)} processes")
    async with Site(plan=site_plan) as site:
        for name in sorted(site.entry_by_name):
            say(f"entry {name} {site.caller_url(name)}")
        urls = [site.caller_url(name) for name in sorted(site.entry_by_name)]
        load = LoadPlan(urls=urls, **load_fields)
        say(f"sending {load.rate_per_s:g} requests/s for {load.duration_s:g} s")
        try:
            outcomes = await run_load(load, on_progress=on_progress)
            result = await _read_records(site, load, outcomes)
            if hold:
                say("the site stays up; Ctrl-C stops it")
                await asyncio.Event().wait()
        finally:
            say("stopping")
            exit_codes = await _stop(site)
        result.exit_codes = exit_codes
        return result


def _process_count(plan):
    endpoints = plan.engines + plan.services
    return 1 + plan.entries + 2 * endpoints


async def _read_records(site, load, outcomes):
    record_by_name = {name: await site.record(name) for name in site.back_end_by_name}
    service_urls = [
        f"http://{process.addresses['http']}"
        for name, process in site.back_end_by_name.items()
        if "executions" in record_by_name[name]
    ]
    executions = await fetch_executions(site.session, service_urls)
    orders = judge_orders(outcomes, executions)
    engines = {n: r for n, r in record_by_name.items() if "falls" in r}
    return DemoResult(
        report=summarise(outcomes, duration_s=load.duration_s, orders=orders),
        executions_by_service={
            name: len(record["executions"])
            for name, record in record_by_name.items()
            if "executions" in record
        },
        falls_by_engine={n: r["falls"] for n, r in engines.items()},
        peak_load_by_engine={n: r["peak_load"] for n, r in engines.items()},
        exit_codes=[],
    )


async def _stop(site):
    # Entries first: they finish what they have in flight through the agents.
    entries = [p.stop() for p in site.entry_by_name.values()]
    codes = await asyncio.gather(*entries)
    agents = [p.stop() for p in site.agent_by_name.values()]
    return codes + await asyncio.gather(*agents)
