"""Running the demonstration: start, load, stop, report."""

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
    skew : SkewReport or None
        Of the group's ranks, if the site has a group.
    """

    report: object
    executions_by_service: dict
    falls_by_engine: dict
    peak_load_by_engine: dict
    exit_codes: list = field(default_factory=list)
    skew: SkewReport | None = None

    @property
    def is_clean(self):
        """Whether something was served and the records show no broken promise."""
        return (
            self.report.good > 0
            and self.report.orders.is_clean
            and not self.report.foreign
            and not any(self.falls_by_engine.values())
            and not any(self.exit_codes)
            and (self.skew is None or not self.skew.has_two_maps)
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
    say(f"starting {plan.process_count} processes")
    async with plan.make_site() as site:
        for name in sorted(site.entry_by_name):
            say(f"entry {name} {site.caller_url(name)}")
        urls = [site.caller_url(name) for name in sorted(site.entry_by_name)]
        load = LoadPlan(urls=urls, **load_fields)
        say(f"sending {load.rate_per_s:g} requests/s for {load.duration_s:g} s")
        try:
            outcomes, skew = await _load_and_watch(plan, site, load, on_progress)
            result = await _read_records(site, load, outcomes)
            result.skew = skew
            if hold:
                say("the site stays up; Ctrl-C stops it")
                await asyncio.Event().wait()
        finally:
            say("stopping")
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
    # A process of ranks has an address for each of them.
    return {
        name if listener == "http" else f"{name} {listener}": f"http://{address}"
        for name, process in site.back_end_by_name.items()
        for listener, address in process.addresses.items()
    }


async def _fetch_record(site, url):
    async with site.session.get(f"{url}/record") as response:
        return await response.json()


async def _stop(site):
    # Entries first: they finish what they have in flight through the agents.
    entries = [p.stop() for p in site.entry_by_name.values()]
    codes = await asyncio.gather(*entries)
    agents = [p.stop() for p in site.agent_by_name.values()]
    return codes + await asyncio.gather(*agents)
