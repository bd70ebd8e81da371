"""Trial of routing policies: first tokens, prefix cache hits and goodput."""

import asyncio
from dataclasses import replace

from magnoliagrade_standins.harness import Site
from magnoliagrade_standins.load import LoadPlan, run_load, summarise
from magnoliagrade_standins.trials.capacity import (
    WARM_ENGINE_RATE_PER_S,
    capacity_configuration,
    capacity_plan,
    check_engines,
    control_engine,
    warm_up,
)
from magnoliagrade_standins.trials.registry import TrialResult, trials

__all__ = ["run_routing"]

SETTLE_S = 8.0
ENTRIES_BY_DATA_CENTRE = {"kamloops": 3}
ENGINES_BY_DATA_CENTRE = {"kamloops": 6}
SLOW_STEP_SCALE = 6.0


@trials.register("routing")
async def run_routing(
    *,
    seed,
    policies=("prefix-affinity", "two-choices", "least-loaded", "random"),
    load=0.5,
    duration_s=22.0,
    prefixes=48,
    slow=False,
):
    """Run the same load under each routing policy.

    Parameters
    ----------
    seed : int
        Seed of the load.
    policies : sequence of str
        Names of routing policies.
    load : float
        Offered rate as a fraction of the warm engines' capacity.
    duration_s : float
        Duration of each run in seconds; its first 8 s are not counted.
    prefixes : int
        Number of different prompt prefixes; each engine caches eight.
    slow : bool
        Whether one engine runs six times slower.
    """
    result = TrialResult(trial="routing", seed=seed)
    for policy in policies:
        await _run_policy(
            result,
            policy,
            seed=seed,
            load=load,
            duration_s=duration_s,
            prefixes=prefixes,
            slow=slow,
        )
    return result


async def _run_policy(result, policy, *, seed, load, duration_s, prefixes, slow):
    plan = capacity_plan(
        configuration=capacity_configuration(routing=policy),
        entries=ENTRIES_BY_DATA_CENTRE,
        engines=ENGINES_BY_DATA_CENTRE,
        cached_prefixes=8,
        prefill_s=0.0003,
    )
    async with Site(plan=plan) as site:
        capacity = WARM_ENGINE_RATE_PER_S * len(site.agent_by_name)
        base = LoadPlan(
            urls=[site.caller_url(n) for n in site.entry_by_name],
            rate_per_s=load * capacity,
            duration_s=duration_s,
            seed=seed,
            order_fraction=0.0,
            lookup_fraction=0.0,
            stream_fraction=1.0,
            prefixes=prefixes,
        )
        await warm_up(site, replace(base, rate_per_s=1.5 * capacity, duration_s=5.0))
        if slow:
            await control_engine(site, "kamloops-model-0", step_scale=SLOW_STEP_SCALE)
        before = await _cache_counts(site)
        outcomes = await run_load(base)
        after = await _cache_counts(site)
        hits, lookups = (b - a for a, b in zip(before, after, strict=True))
        settled = [o for o in outcomes if o.arrival.at_s >= SETTLE_S]
        report = summarise(settled, duration_s=duration_s - SETTLE_S)
        result.figures[f"{policy}: prefix_hit_fraction"] = hits / max(1, lookups)
        result.figures[f"{policy}: goodput_per_s"] = report.goodput_per_s
        result.figures[f"{policy}: sent_per_s"] = report.sent / report.duration_s
        for p in (50, 95):
            value = report.percentile_s("first token", p) or 0.0
            result.figures[f"{policy}: first_token_{p}_s"] = value
        await check_engines(result, site)


async def _cache_counts(site):
    records = await asyncio.gather(*(site.record(n) for n in site.agent_by_name))
    hits = sum(r["cache_hits"] for r in records)
    return hits, sum(r["cache_lookups"] for r in records)
