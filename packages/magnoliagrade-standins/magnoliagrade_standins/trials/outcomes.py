"""Trial of outcomes: orders run at most once and `ran` is correct under any fault."""

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
FAULT_DELAY_S = 0.3
RATE_PER_S = 60.0


@trials.register("outcomes")
async def run_outcomes(*, seed, kinds="", orders=150):
    """Inject each fault while orders arrive and check which orders ran.

    Parameters
    ----------
    seed : int
        Seed of arrivals, keys, copies and times of faults.
    kinds : str
        Names of faults separated by commas; empty means all.
    orders : int
        Number of orders for each fault.

    Returns
    -------
    result : TrialResult
        Checks against the services' journals, and the fraction of orders served.
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
    """Send orders until every entry serves, so that only the fault is measured.

    Raises
    ------
    TimeoutError
        If a response is neither 200 nor 409 in each of 50 rounds.
    """
    for turn in range(50):
        caller = OrderCaller(site=site, entries=ENTRIES, rng=rng)
        await caller.send_many(f"warm-{name}-{turn}", 6, rate_per_s=RATE_PER_S)
        outcomes = [c for o in caller.orders for c in o.outcome_by_id.values()]
        if all(c.status in (200, 409) for c in outcomes):
            return
    raise TimeoutError(f"orders still rejected before fault {name}")


async def _run_fault(site, caller, name, rng, orders):
    async def fault():
        await asyncio.sleep(FAULT_DELAY_S + rng.uniform(0, 0.2))
        await faults.get(name)(site, rng)

    await asyncio.gather(caller.send_many(name, orders, rate_per_s=RATE_PER_S), fault())


def _check(result, site, name, orders):
    executions = [e for service in SERVICES for e in site.journal(service)]
    runs_by_order = Counter(e["body"] for e in executions)
    ran_ids = {e["id"] for e in executions}
    outcomes = [(i, c) for o in orders for i, c in o.outcome_by_id.items()]
    run_twice = [o.name for o in orders if runs_by_order[o.name] > 1]
    result.check(f"{name}: no order ran twice", not run_twice, run_twice[:3])
    ran_despite_no = [i for i, c in outcomes if c.ran == "no" and i in ran_ids]
    result.check(
        f"{name}: nothing answered ran=no has run",
        not ran_despite_no,
        ran_despite_no[:3],
    )
    lost = [o.name for o in orders if o.is_served and not runs_by_order[o.name]]
    result.check(f"{name}: every order served has run", not lost, lost[:3])
    foreign = [
        i for i, c in outcomes if c.status == 200 and c.body["echo"] != _order_name(i)
    ]
    result.check(f"{name}: every answer is its own", not foreign, foreign[:3])
    result.figures[f"{name}: served"] = _fraction(orders, lambda o: o.is_served)
    keyed = [o for o in orders if o.key]
    result.figures[f"{name}: keyed served"] = _fraction(keyed, lambda o: o.is_served)
    ran_unserved = [o for o in orders if not o.is_served and runs_by_order[o.name]]
    result.figures[f"{name}: ran without answer"] = len(ran_unserved) / len(orders)


def _order_name(request_id):
    return request_id.rsplit("-", 2)[0]


def _fraction(orders, is_counted):
    return sum(map(is_counted, orders)) / max(1, len(orders))
