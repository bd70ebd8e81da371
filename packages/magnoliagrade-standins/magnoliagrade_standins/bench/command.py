"""Command that runs the benchmark and prints its tables."""

import functools

import aiohttp
import uvloop
from magnoliagrade.clock import SystemClock

from magnoliagrade_standins.bench.latency import (
    AddedLatency,
    measure_latency,
    time_call,
    time_stream,
)
from magnoliagrade_standins.bench.throughput import measure_throughput
from magnoliagrade_standins.harness import CONFIGURATION, Site, SitePlan
from magnoliagrade_standins.load.histograms import make_histogram

__all__ = ["bench_command"]

DATA_CENTRE = "kamloops"
# Entries that send requests to the measured agent.
ENTRIES_BEFORE_AGENT = 3
# Configuration whose concurrency limits the benchmark does not reach.
UNLIMITED_CONFIGURATION = CONFIGURATION.replace(
    "cold_limit = 16", "cold_limit = 4096"
).replace("full_limit = 64", "full_limit = 4096")
LATENCY_TABLE_HEADER = [
    "| call | at | direct (ms) | through (ms) | added (ms) | ratio |",
    "|---|---|---|---|---|---|",
]
THROUGHPUT_TABLE_HEADER = [
    "| busiest process | requests/s | refused | processor per request (us) "
    "| processor in use |",
    "|---|---|---|---|---|",
]


def bench_command(*, calls=1500, streams=60, duration_s=4.0, callers=24, seed=1):
    """Measure added latency and throughput and print them as Markdown tables.

    Parameters
    ----------
    calls : int
        Calls of a plain service on each path, direct and through the load balancer.
    streams : int
        Streamed completions on each path.
    duration_s : float
        Duration of each throughput measurement in seconds.
    callers : int
        Concurrent calls in throughput measurements.
    seed : int
        Seed of the random order of calls on the two paths.
    """
    rows = uvloop.run(_measure_latencies(calls, streams, seed))
    print("\n".join([*LATENCY_TABLE_HEADER, *rows, ""]), flush=True)
    rows = uvloop.run(_measure_throughputs(callers, duration_s))
    print("\n".join([*THROUGHPUT_TABLE_HEADER, *rows]), flush=True)


async def _measure_latencies(calls, streams, seed):
    plan = _plan(entries=1, engines=1, services=1)
    clock = SystemClock()
    async with Site(plan=plan) as site:
        entry = site.caller_url(f"{DATA_CENTRE}-entry-0")
        service_call = await measure_latency(
            functools.partial(time_call, site.session, clock),
            name="service call",
            direct_url=f"{_back_end(site, 'service-0')}/stock",
            through_url=f"{entry}/orders/stock",
            count=calls,
            seed=seed,
        )
        stream = await _measure_streams(site, clock, entry, streams, seed)
    return [line for added in (service_call, *stream) for line in added.table_rows()]


async def _measure_streams(site, clock, entry, count, seed):
    times_by_url = {}

    async def time_url(url):
        times_by_url.setdefault(url, []).append(
            await time_stream(site.session, clock, url)
        )
        return []

    direct = f"{_back_end(site, 'model-0')}/v1/completions"
    through = f"{entry}/v1/completions"
    await measure_latency(
        time_url,
        name="",
        direct_url=direct,
        through_url=through,
        count=count,
        seed=seed,
    )
    return [
        AddedLatency(
            name=name,
            direct=make_histogram(select_times(times_by_url[direct])),
            through=make_histogram(select_times(times_by_url[through])),
        )
        for name, select_times in (
            ("first token", lambda streams: [s[0] for s in streams]),
            ("between tokens", lambda streams: [t for s in streams for t in s[1:]]),
        )
    ]


async def _measure_throughputs(callers, duration_s):
    clock = SystemClock()
    rows = []
    for name, entries, services in (
        ("entry", 1, 3),
        ("agent", ENTRIES_BEFORE_AGENT, 1),
    ):
        plan = _plan(entries=entries, services=services)
        async with (
            Site(plan=plan) as site,
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session,
        ):
            processes = {"entry": site.entry_by_name, "agent": site.agent_by_name}[name]
            throughput = await measure_throughput(
                session,
                clock,
                [f"{site.caller_url(n)}/orders/stock" for n in site.entry_by_name],
                name=name,
                process_ids=[p.process.pid for p in processes.values()],
                callers=callers,
                duration_s=duration_s,
            )
        rows.append(throughput.table_row())
    return rows


def _plan(*, entries, engines=0, services=0):
    return SitePlan(
        entries_by_data_centre={DATA_CENTRE: entries},
        engines_by_data_centre={DATA_CENTRE: engines},
        services_by_data_centre={DATA_CENTRE: services},
        service_options={"service_s": 0},
        configuration=UNLIMITED_CONFIGURATION,
    )


def _back_end(site, name):
    process = site.back_end_by_name[f"{DATA_CENTRE}-{name}"]
    return f"http://{process.addresses['http']}"
