"""Trials of retries and hedging against their baselines."""

import asyncio
import re
import time

from magnoliagrade_standins.harness import Site, SitePlan, call_service
from magnoliagrade_standins.harness.configurations import CONFIGURATION
from magnoliagrade_standins.trials.registry import TrialResult, trials

__all__ = ["run_hedging", "run_retries"]

ENTRIES = ("kamloops-entry-0", "kamloops-entry-1")
SERVICES = tuple(f"kamloops-service-{i}" for i in range(4))
SLOW_EVERY = 25
MAX_ATTEMPTS_PER_REQUEST = 1.2
_REQUESTS = re.compile(
    r"^magnoliagrade_agent_requests_total\{[^}]*\} ([0-9.e+]+)$", re.MULTILINE
)


@trials.register("retries")
async def run_retries(*, seed, rate_per_s=80.0, duration_s=4.0):
    """Kill half of the back ends and count the attempts that agents get.

    Parameters
    ----------
    seed : int
        Not used; arrivals are evenly spaced.
    rate_per_s : float
        Lookups a second.
    duration_s : float
        Length of the outage in seconds.

    Returns
    -------
    result : TrialResult
        Attempts per request and share of requests served, by retry policy.
    """
    result = TrialResult(trial="retries", seed=seed)
    for policy in ("none", "naive", "budget"):
        async with Site(plan=_plan("retry", policy)) as site:
            await _send(site, 20.0, 2.0)
            for name in SERVICES[:2]:
                await site.back_end_by_name[name].kill()
            before = await _attempts(site)
            outcomes = await _send(site, rate_per_s, duration_s)
            ratio = (await _attempts(site) - before) / len(outcomes)
        served = [s for s in outcomes if s is not None]
        result.figures[f"{policy}: attempts per request"] = ratio
        result.figures[f"{policy}: served"] = len(served) / len(outcomes)
        if policy == "budget":
            name = f"attempts stay under {MAX_ATTEMPTS_PER_REQUEST} per request"
            result.check(name, ratio < MAX_ATTEMPTS_PER_REQUEST, f"{ratio:.3f}")
    return result


@trials.register("hedging")
async def run_hedging(*, seed, rate_per_s=80.0, duration_s=4.0):
    """Let one of 25 calls at each back end be slow and measure lookups.

    Parameters
    ----------
    seed : int
        Not used; arrivals are evenly spaced.
    rate_per_s : float
        Lookups a second.
    duration_s : float
        Length of each run in seconds.

    Returns
    -------
    result : TrialResult
        Time of a lookup and executions per lookup, by hedge policy.
    """
    result = TrialResult(trial="hedging", seed=seed)
    for policy in ("none", "naive", "p95"):
        async with Site(plan=_plan("hedge", policy)) as site:
            await _send(site, 40.0, 2.0)
            for name in SERVICES:
                await site.control_back_end(name, {"slow_every": SLOW_EVERY})
            before = await _executions(site)
            times = await _send(site, rate_per_s, duration_s)
            ratio = (await _executions(site) - before) / len(times)
        served = sorted(t for t in times if t is not None)
        result.figures[f"{policy}: served"] = len(served) / len(times)
        for quantile in (0.5, 0.95, 0.99):
            taken = 1000 * served[int(quantile * (len(served) - 1))]
            result.figures[f"{policy}: lookup ms at {100 * quantile:g} %"] = taken
        result.figures[f"{policy}: executions per lookup"] = ratio
        if policy == "p95":
            name = f"executions stay under {MAX_ATTEMPTS_PER_REQUEST} per lookup"
            result.check(name, ratio < MAX_ATTEMPTS_PER_REQUEST, f"{ratio:.3f}")
    return result


def _plan(family, policy):
    mark = "[pool order-desk]"
    option = f"{mark}\noption.{family}.policy = {policy}"
    return SitePlan(
        entries_by_data_centre={"kamloops": 2},
        services_by_data_centre={"kamloops": len(SERVICES)},
        configuration=CONFIGURATION.replace(mark, option),
    )


async def _send(site, rate_per_s, duration_s):
    tasks = []
    for number in range(int(rate_per_s * duration_s)):
        entry = ENTRIES[number % len(ENTRIES)]
        tasks.append(asyncio.create_task(_lookup(site, entry)))
        await asyncio.sleep(1 / rate_per_s)
    return await asyncio.gather(*tasks)


async def _lookup(site, entry):
    started = time.perf_counter()
    answer = await call_service(site, entry, method="GET", path="/orders/stock")
    return time.perf_counter() - started if answer.status == 200 else None


async def _attempts(site):
    total = 0.0
    for agent in site.agent_by_name.values():
        url = f"http://{agent.addresses['admin']}/metrics"
        async with site.session.get(url) as response:
            found = _REQUESTS.findall(await response.text())
        total += sum(map(float, found))
    return total


async def _executions(site):
    return sum(len(site.journal(name)) for name in SERVICES)
