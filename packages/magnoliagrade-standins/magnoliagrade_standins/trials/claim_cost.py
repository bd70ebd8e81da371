"""Trial of claims: store calls per keyed order with each claims keeper."""

import asyncio
import re
import time

from magnoliagrade_standins.harness import Site, SitePlan, call_service
from magnoliagrade_standins.trials.registry import TrialResult, trials

__all__ = ["run_claim_cost"]

ENTRIES = ("kamloops-entry-0", "kamloops-entry-1", "kelowna-entry-0")
_CLAIM_CALLS = re.compile(
    r'^magnoliagrade_store_calls_total\{purpose="claims",result="(\w+)",'
    r'verb="(\w+)"\} ([0-9.e+]+)$',
    re.MULTILINE,
)


@trials.register("claim-cost")
async def run_claim_cost(*, seed, rates="20,100,300", duration_s=4.0, shards=4):
    """Send keyed orders at several rates and count the calls to the store.

    Parameters
    ----------
    seed : int
        Unused, because arrivals are evenly spaced.
    rates : str
        Orders per second, separated by commas.
    duration_s : float
        Duration of each run in seconds.
    shards : int
        Number of shards of the batched keeper.

    Returns
    -------
    result : TrialResult
        Store calls per thousand orders and the median time of an order, by keeper
        and rate.
    """
    result = TrialResult(trial="claim-cost", seed=seed)
    rates = [float(r) for r in re.split(r"[,\s()]+", str(rates)) if r]
    for keeper in ("single", "batched"):
        settings = {"claims": {"claims_keeper": keeper, "claims_shards": shards}}
        plan = SitePlan(
            entries_by_data_centre={"kamloops": 2, "kelowna": 1},
            services_by_data_centre={"kamloops": 2},
            entry_settings=settings,
        )
        async with Site(plan=plan) as site:
            await _send_orders(site, f"{keeper}-first", 20.0, 2.0)
            for rate in rates:
                await _measure_claim_calls(result, site, keeper, rate, duration_s)
    return result


async def _measure_claim_calls(result, site, keeper, rate, duration_s):
    before = await _claim_calls(site)
    times = await _send_orders(site, f"{keeper}-{rate:g}", rate, duration_s)
    await asyncio.sleep(1.0)
    calls = await _claim_calls(site) - before
    label = f"{keeper} at {rate:g}/s"
    served = [t for t in times if t is not None]
    result.check(f"{label}: half of the orders served", len(served) * 2 > len(times))
    result.figures[f"{label}: store calls per 1000 orders"] = 1000 * calls / len(times)
    result.figures[f"{label}: store calls per s"] = calls / duration_s
    result.figures[f"{label}: served"] = len(served) / len(times)
    result.figures[f"{label}: median order ms"] = (
        1000 * sorted(served)[len(served) // 2]
    )


async def _send_orders(site, label, rate, duration_s):
    tasks = []
    for number in range(int(rate * duration_s)):
        entry = ENTRIES[number % len(ENTRIES)]
        tasks.append(asyncio.create_task(_send_order(site, entry, f"{label}-{number}")))
        await asyncio.sleep(1 / rate)
    return await asyncio.gather(*tasks)


async def _send_order(site, entry, key):
    started = time.perf_counter()
    outcome = await call_service(site, entry, headers={"Idempotency-Key": key})
    return time.perf_counter() - started if outcome.status == 200 else None


async def _claim_calls(site):
    total = 0.0
    for entry in site.entry_by_name.values():
        url = f"http://{entry.addresses['admin']}/metrics"
        async with site.session.get(url) as response:
            text = await response.text()
        total += sum(float(count) for _, _, count in _CLAIM_CALLS.findall(text))
    return total
