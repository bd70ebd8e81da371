"""Trial of outcomes: orders at most once and "not run" under every fault."""

import asyncio
import random
from collections import Counter

from magnoliagrade_standins.harness import Site, SitePlan
from magnoliagrade_standins.trials.order_faults import faults
from magnoliagrade_standins.trials.orders import OrderCaller
from magnoliagrade_standins.trials.registry import TrialResult, trials

__all__ = ["run_outcomes"]

ENTRIES = ("kamloops-entry-0", "kamloops-entry-1", "kelowna-entry-0")
SERVICES = ("kamloops-service-0", "kamloops-service-1")
PLAN = SitePlan(
    entries_by_data_centre={"kamloops": 2, "kelowna": 1},
    services_by_data_centre={"kamloops": 2},
    has_proxy=True,
)
START_S = 0.3
RATE_PER_S = 60.0


@trials.register("outcomes")
async def run_outcomes(*, seed, kinds="", orders=150):
    """Bring about each fault while orders arrive and check what ran.

    Parameters
    ----------
    seed : int
        Seed of arrivals, keys, copies and times.
    kinds : str
        Names of faults, separated by commas; empty for all.
    orders : int
        Orders for each fault.

    Returns
    -------
    result : TrialResult
        Checks from the services' journals, and the share of orders served.
    """
    result = TrialResult(trial="outcomes", seed=seed)
    names = [k for k in str(kinds).split(",") if k] or faults.names()
    async with Site(plan=PLAN) as site:
        for name in names:
            rng = random.Random(f"{seed} {name}")
            caller = OrderCaller(site=site, entries=ENTRIES, rng=rng)
            await _warm_up(site, rng, name)
            await _run_fault(site, caller, name, rng, orders)
            _check(result, site, name, caller.orders)
            await site.wait_ready()
    return result


async def _warm_up(site, rng, name):
    """Send orders until each entry serves, so that only the fault is measured."""
    for turn in range(50):
        caller = OrderCaller(site=site, entries=ENTRIES, rng=rng)
        await caller.send_many(f"warm-{name}-{turn}", 6, rate_per_s=RATE_PER_S)
        answers = [a for o in caller.orders for a in o.answer_by_id.values()]
        if all(a.status in (200, 409) for a in answers):
            return
    raise TimeoutError(f"orders are refused before {name}")


async def _run_fault(site, caller, name, rng, orders):
    async def fault():
        await asyncio.sleep(START_S + rng.uniform(0, 0.2))
        await faults.get(name)(site, rng)

    await asyncio.gather(caller.send_many(name, orders, rate_per_s=RATE_PER_S), fault())


def _check(result, site, name, orders):
    executions = [e for service in SERVICES for e in site.journal(service)]
    runs_by_order = Counter(e["body"] for e in executions)
    ran_ids = {e["id"] for e in executions}
    answers = [(i, a) for o in orders for i, a in o.answer_by_id.items()]
    doubled = [o.name for o in orders if runs_by_order[o.name] > 1]
    result.check(f"{name}: no order ran twice", not doubled, doubled[:3])
    lied = [i for i, a in answers if a.ran == "no" and i in ran_ids]
    result.check(f"{name}: nothing answered ran=no has run", not lied, lied[:3])
    lost = [o.name for o in orders if o.is_served and not runs_by_order[o.name]]
    result.check(f"{name}: every order served has run", not lost, lost[:3])
    foreign = [
        i for i, a in answers if a.status == 200 and a.body["echo"] != _order_of(i)
    ]
    result.check(f"{name}: every answer is its own", not foreign, foreign[:3])
    result.figures[f"{name}: served"] = _share(orders, lambda o: o.is_served)
    keyed = [o for o in orders if o.key]
    result.figures[f"{name}: keyed served"] = _share(keyed, lambda o: o.is_served)
    unknown = [o for o in orders if not o.is_served and runs_by_order[o.name]]
    result.figures[f"{name}: ran without answer"] = len(unknown) / len(orders)


def _order_of(request_id):
    return request_id.rsplit("-", 2)[0]


def _share(orders, is_counted):
    return sum(map(is_counted, orders)) / max(1, len(orders))
