"""Cost of control under load: requests, keyed orders and groups of ranks."""

import asyncio

from magnoliagrade_standins.harness import SitePlan
from magnoliagrade_standins.load import LoadPlan, run_load
from magnoliagrade_standins.ranks.site import GROUP, GroupSite, group_plan
from magnoliagrade_standins.slopes.measuring import (
    SETTLE_S,
    SlopeSite,
    mean_usage,
    usage_by_instance,
    usage_by_role,
)

__all__ = ["GROUP_SIZES", "LOAD_RATES_PER_S", "measure_group", "measure_load"]

LOAD_RATES_PER_S = (0, 20, 40)
# Number of ranks, and seconds between rebalancing plans; expert counts are sent five
# times between two plans.
GROUP_SIZES = ((4, 10.0), (16, 10.0), (32, 10.0), (32, 300.0))
EXPERTS = 128
LAYERS = 60
# Length of a step of the ranks.
STEP_S = 0.1
# Time after the start of a group for its formation before measuring.
GROUP_SETTLE_S = 15.0


async def measure_load(*, rate_per_s, orders, seconds, entries=2):
    """Start a site, put a load on it and return the mean usage of each role.

    Parameters
    ----------
    rate_per_s : float
        Requests per second; 0 measures at rest.
    orders : bool
        Whether the requests are keyed orders; otherwise they are completions.
    seconds : float
        Duration of the load.
    entries : int
        Number of entries that the load is distributed over.

    Returns
    -------
    mean_by_role : dict of str to dict
        Readings by name. Processor time includes the handling of the requests.
    """
    plan = SitePlan(
        entries_by_data_centre={"dc0": entries},
        engines_by_data_centre={"dc0": 0 if orders else 4},
        services_by_data_centre={"dc0": 2 if orders else 0},
    )
    async with SlopeSite(plan=plan) as site:
        await asyncio.sleep(SETTLE_S)
        if not rate_per_s:
            return await usage_by_role(site, asyncio.sleep(seconds))
        load = LoadPlan(
            urls=[site.caller_url(name) for name in site.entry_by_name],
            rate_per_s=rate_per_s,
            duration_s=seconds,
            order_fraction=1.0 if orders else 0.0,
            lookup_fraction=0.0,
            keyed_fraction=1.0,
            prompt_bytes=100,
            output_tokens=8,
        )
        return await usage_by_role(site, run_load(load))


async def measure_group(*, ranks, interval_s, seconds):
    """Return the usage of the agents of one group while its map is rebalanced.

    Parameters
    ----------
    ranks : int
        Number of ranks.
    interval_s : float
        Seconds between rebalancing plans.
    seconds : float
        Duration of the measurement.

    Returns
    -------
    usage_by_role : dict of str to dict
        `member` has the means over the members, `coordinator` the readings of the
        coordinator, which is the agent that receives the most bytes.
    """
    plan = group_plan(ranks=ranks, interval_s=interval_s)
    for name, value in (("experts", EXPERTS), ("layers", LAYERS)):
        plan.configuration = _set_group_key(plan.configuration, name, value)
    plan.configuration = _set_group_key(
        plan.configuration, "slots_per_rank", EXPERTS // ranks + 2
    )
    options = {"experts": EXPERTS, "layers": LAYERS, "step_s": STEP_S}
    async with GroupSite(plan=plan, ranks=ranks, options=options) as site:
        await asyncio.sleep(GROUP_SETTLE_S)
        rows = await usage_by_instance(site, asyncio.sleep(seconds))
    agents = [row for (role, _), row in rows.items() if role == "agent"]
    agents.sort(key=lambda row: row["bytes_in_per_s"])
    return {"member": mean_usage(agents[:-1]), "coordinator": agents[-1]}


def _set_group_key(text, key, value):
    head, found, group = text.partition(f"[group {GROUP}]")
    lines = [
        f"{key} = {value}" if line.startswith(f"{key} =") else line
        for line in group.split("\n")
    ]
    return head + found + "\n".join(lines)
