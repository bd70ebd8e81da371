"""Run of a demonstration: starts a site, sends a load, stops the site and reports."""

import asyncio
from dataclasses import dataclass, field

from magnoliagrade_standins.demo.skew import SkewReport, watch_skew
from magnoliagrade_standins.load import (
    LoadPlan,
    check_orders,
    run_load,
    summarise,
)

__all__ = ["DemoResult", "run_demo"]


@dataclass(slots=True, kw_only=True)
class DemoResult:
    """Result of a demonstration.

    Parameters
    ----------
    report : LoadReport
        Outcomes at the callers, with verdicts on orders.
    executions_by_service : dict of str to int
        Number of calls that each service recorded.
    falls_by_engine : dict of str to int
        Number of times that the load of each engine exceeded its capacity, so that
        the engine restarted.
    peak_load_by_engine : dict of str to float
        Maximum load of each engine as a fraction of its capacity at the time.
    exit_codes : list of int
        Exit codes of entries and agents, which are stopped by a signal.
    skew : SkewReport or None
        Skew of the group's ranks; None if the site has no group.
    """

    report: object
    executions_by_service: dict
    falls_by_engine: dict
    peak_load_by_engine: dict
    exit_codes: list = field(default_factory=list)
    skew: SkewReport | None = None

    @property
    def is_clean(self):
        """Whether requests were served and all checks of the records passed."""
        return (
            self.report.good > 0
            and self.report.orders.is_clean
            and not self.report.foreign
            and not any(self.falls_by_engine.values())
            and not any(self.exit_codes)
            and (self.skew is None or not self.skew.has_two_maps)
        )


async def run_demo(plan, *, report_status, on_progress=None, hold=False, **load_fields):
    """Start a site, put a load on it, stop it and return the result.

    Parameters
    ----------
    plan : DemoPlan
        Sizes of the site.
    report_status : callable
        Called with one line of text at each stage of the run.
    on_progress : callable, optional
        Called with a `Progress` of the load each second.
    hold : bool
        Whether to keep the site running after the load until cancelled.
    **load_fields
        Fields of `LoadPlan`.

    Returns
    -------
    result : DemoResult
        Counts from the callers' outcomes and from the records of the stand-ins.
    """
    report_status(f"starting {plan.process_count} processes")
    async with plan.make_site() as site:
        for name in sorted(site.entry_by_name):
            report_status(f"entry {name} {site.caller_url(name)}")
        urls = [site.caller_url(name) for name in sorted(site.entry_by_name)]
        load = LoadPlan(urls=urls, **load_fields)
        report_status(
            f"sending {load.rate_per_s:g} requests/s for {load.duration_s:g} s"
        )
        try:
            outcomes, skew = await _load_and_watch(plan, site, load, on_progress)
            result = await _read_records(site, load, outcomes)
            result.skew = skew
            if hold:
                report_status("the site keeps running; Ctrl-C stops it")
                await asyncio.Event().wait()
        finally:
            report_status("stopping")
            exit_codes = await _stop(site)
        result.exit_codes = exit_codes
        return result


async def _load_and_watch(plan, site, load, on_progress):
    if not plan.group_ranks:
        return await run_load(load, on_progress=on_progress), None
    report = SkewReport()
    watch = asyncio.create_task(watch_skew(site, report))
    try:
        outcomes = await run_load(load, on_progress=on_progress)
    finally:
        watch.cancel()
    await report.read_maps(site)
    return outcomes, report


async def _read_records(site, load, outcomes):
    url_by_name = _back_end_urls(site)
    record_by_name = {
        name: await _fetch_record(site, url) for name, url in url_by_name.items()
    }
    services = [n for n, record in record_by_name.items() if "executions" in record]
    executions = [e for n in services for e in record_by_name[n]["executions"]]
    orders = check_orders(outcomes, executions)
    engines = {n: r for n, r in record_by_name.items() if "falls" in r}
    return DemoResult(
        report=summarise(outcomes, duration_s=load.duration_s, orders=orders),
        executions_by_service={
            name: len(record_by_name[name]["executions"]) for name in services
        },
        falls_by_engine={n: r["falls"] for n, r in engines.items()},
        peak_load_by_engine={n: r["peak_load"] for n, r in engines.items()},
    )


def _back_end_urls(site):
    # A process that runs several ranks has one listener for each rank.
    return {
        name if listener == "http" else f"{name} {listener}": f"http://{address}"
        for name, process in site.back_end_by_name.items()
        for listener, address in process.addresses.items()
    }


async def _fetch_record(site, url):
    async with site.session.get(f"{url}/record") as response:
        return await response.json()


async def _stop(site):
    # Stops the entries first, because they complete their requests in flight through
    # the agents.
    entries = [p.stop() for p in site.entry_by_name.values()]
    codes = await asyncio.gather(*entries)
    agents = [p.stop() for p in site.agent_by_name.values()]
    return codes + await asyncio.gather(*agents)
