"""Trials that compare policies for retries and for hedging with their baselines."""

import asyncio
import re
import time

from magnoliagrade_standins.harness import Site, SitePlan, call_service
from magnoliagrade_standins.harness.configurations import CONFIGURATION
from magnoliagrade_standins.trials.registry import TrialResult, trials

__all__ = ["run_hedging", "run_retries"]

ENTRIES = ("kamloops-entry-0", "kamloops-entry-1")
SERVICES = tuple(f"kamloops-service-{i}" for i in range(4))
CALLS_PER_SLOW_CALL = 25
MAX_ATTEMPTS_PER_REQUEST = 1.2
_AGENT_REQUESTS = re.compile(
    r"^magnoliagrade_agent_requests_total\{[^}]*\} ([0-9.e+]+)$", re.MULTILINE
)


@trials.register("retries")
async def run_retries(*, seed, rate_per_s=80.0, duration_s=4.0):
    """Kill half of the back ends and count the attempts that reach agents.

    Parameters
    ----------
    seed : int
        Unused, because arrivals are evenly spaced.
    rate_per_s : float
        Lookups per second.
    duration_s : float
        Duration in seconds of the load during the outage.

    Returns
    -------
    result : TrialResult
        Attempts per request and fraction of requests served, by retry policy.
    """
    result = TrialResult(trial="retries", seed=seed)
    for policy in ("none", "naive", "budget"):
        async with Site(plan=_plan("retry", policy)) as site:
            await _send_lookups(site, 20.0, 2.0)
            for name in SERVICES[:2]:
                await site.back_end_by_name[name].kill()
            before = await _attempts(site)
            outcomes = await _send_lookups(site, rate_per_s, duration_s)
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
    """Make one in 25 calls at each back end slow and measure lookups.

    Parameters
    ----------
    seed : int
        Unused, because arrivals are evenly spaced.
    rate_per_s : float
        Lookups per second.
    duration_s : float
        Duration of each run in seconds.

    Returns
    -------
    result : TrialResult
        Time per lookup and executions per lookup, by hedging policy.
    """
    result = TrialResult(trial="hedging", seed=seed)
    for policy in ("none", "naive", "p95"):
        async with Site(plan=_plan("hedge", policy)) as site:
            await _send_lookups(site, 40.0, 2.0)
            for name in SERVICES:
                await site.control_back_end(name, {"slow_every": CALLS_PER_SLOW_CALL})
            before = await _executions(site)
            times = await _send_lookups(site, rate_per_s, duration_s)
            ratio = (await _executions(site) - before) / len(times)
        served = sorted(t for t in times if t is not None)
        result.figures[f"{policy}: served"] = len(served) / len(times)
        for quantile in (0.5, 0.95, 0.99):
            time_ms = 1000 * served[int(quantile * (len(served) - 1))]
            result.figures[f"{policy}: lookup ms at {100 * quantile:g} %"] = time_ms
        result.figures[f"{policy}: executions per lookup"] = ratio
        if policy == "p95":
            name = f"executions stay under {MAX_ATTEMPTS_PER_REQUEST} per lookup"
            result.check(name, ratio < MAX_ATTEMPTS_PER_REQUEST, f"{ratio:.3f}")
    return result


def _plan(family, policy):
    section = "[pool order-desk]"
    section_with_policy = f"{section}\noption.{family}.policy = {policy}"
    return SitePlan(
        entries_by_data_centre={"kamloops": 2},
        services_by_data_centre={"kamloops": len(SERVICES)},
        configuration=CONFIGURATION.replace(section, section_with_policy),
    )


async def _send_lookups(site, rate_per_s, duration_s):
    tasks = []
    for number in range(int(rate_per_s * duration_s)):
        entry = ENTRIES[number % len(ENTRIES)]
        tasks.append(asyncio.create_task(_lookup(site, entry)))
        await asyncio.sleep(1 / rate_per_s)
    return await asyncio.gather(*tasks)


async def _lookup(site, entry):
    started = time.perf_counter()
    outcome = await call_service(site, entry, method="GET", path="/orders/stock")
    return time.perf_counter() - started if outcome.status == 200 else None


async def _attempts(site):
    total = 0.0
    for agent in site.agent_by_name.values():
        url = f"http://{agent.addresses['admin']}/metrics"
        async with site.session.get(url) as response:
            counts = _AGENT_REQUESTS.findall(await response.text())
        total += sum(map(float, counts))
    return total


async def _executions(site):
    return sum(len(site.journal(name)) for name in SERVICES)
