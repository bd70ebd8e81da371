"""Trial of fairness: one organisation at ten times its share."""

import asyncio
from dataclasses import replace

from magnoliagrade_standins.harness import KEY_BY_ORGANISATION, Site
from magnoliagrade_standins.load import LoadPlan, run_load, summarise
from magnoliagrade_standins.trials.capacity import (
    WARM_RATE_PER_S,
    capacity_configuration,
    capacity_plan,
    check_engines,
    warm_up,
)
from magnoliagrade_standins.trials.registry import TrialResult, trials

__all__ = ["run_fairness"]

LARGE = "organisation-0"
SETTLE_S = 5.0
TOLERANCE = 1.10


@trials.register("fairness")
async def run_fairness(*, seed, queue="fair", factor=10.0, load=0.6, duration_s=20.0):
    """Compare others' first tokens with one organisation at once and ten times.

    Parameters
    ----------
    seed : int
        Seed of the loads.
    queue : str
        Queue policy.
    factor : float
        The large organisation's rate as a multiple of the others'.
    load : float
        Rate of all organisations at once, as a fraction of what the warm engines
        serve.
    duration_s : float
        Length of each of the two runs; its first 5 s do not count.
    """
    result = TrialResult(trial="fairness", seed=seed)
    configuration = capacity_configuration(options={"option.queue.policy": queue})
    async with Site(plan=capacity_plan(configuration=configuration)) as site:
        capacity = WARM_RATE_PER_S * len(site.agent_by_name)
        others = {k: v for k, v in KEY_BY_ORGANISATION.items() if k != LARGE}
        each_per_s = load * capacity / (len(others) + 1)
        base = LoadPlan(
            urls=[site.caller_url(n) for n in site.entry_by_name],
            rate_per_s=each_per_s * len(others),
            duration_s=duration_s,
            seed=seed,
            key_by_organisation=others,
            zipf_exponent=0.0,
            order_fraction=0.0,
            lookup_fraction=0.0,
            stream_fraction=1.0,
        )
        await warm_up(site, replace(base, rate_per_s=1.5 * capacity, duration_s=5.0))
        at_once = await _run_both(base, each_per_s, "at once", result)
        at_factor = await _run_both(base, factor * each_per_s, "at factor", result)
        await check_engines(result, site)
    ratio = at_factor / at_once
    result.figures["ratio"] = ratio
    result.check(
        "others' 95 % first token moved by at most 10 %", ratio <= TOLERANCE, ratio
    )
    return result


async def _run_both(base, large_per_s, name, result):
    large = replace(
        base,
        rate_per_s=large_per_s,
        seed=base.seed + 1000,
        key_by_organisation={LARGE: KEY_BY_ORGANISATION[LARGE]},
    )
    of_others, of_large = await asyncio.gather(run_load(base), run_load(large))
    reports = {"others": of_others, "large": of_large}
    for who, outcomes in reports.items():
        settled = [o for o in outcomes if o.arrival.at_s >= SETTLE_S]
        report = summarise(settled, duration_s=base.duration_s - SETTLE_S)
        reports[who] = report
        result.figures[f"{name}: {who} good_per_s"] = report.goodput_per_s
        result.figures[f"{name}: {who} sent_per_s"] = report.sent / report.duration_s
        for p in (50, 95):
            value = report.percentile_s("first token", p) or 0.0
            result.figures[f"{name}: {who} first_token_{p}_s"] = value
    return reports["others"].percentile_s("first token", 95)
