"""Trial of fairness: one organisation sends ten times its share."""

import asyncio
from dataclasses import replace

from magnoliagrade_standins.harness import KEY_BY_ORGANISATION, Site
from magnoliagrade_standins.load import LoadPlan, run_load, summarise
from magnoliagrade_standins.trials.capacity import (
    WARM_ENGINE_RATE_PER_S,
    capacity_configuration,
    capacity_plan,
    check_engines,
    warm_up,
)
from magnoliagrade_standins.trials.registry import TrialResult, trials

__all__ = ["run_fairness"]

LARGE_ORGANISATION = "organisation-0"
SETTLE_S = 5.0
MAX_FIRST_TOKEN_RATIO = 1.10


@trials.register("fairness")
async def run_fairness(*, seed, queue="fair", factor=10.0, load=0.6, duration_s=20.0):
    """Measure how far one organisation's overload delays the others' first tokens.

    Compares two runs: the large organisation sends at the others' rate, then at
    `factor` times that rate.

    Parameters
    ----------
    seed : int
        Seed of the loads.
    queue : str
        Queue policy of the model pool.
    factor : float
        Rate of the large organisation as a multiple of that of each other one.
    load : float
        Rate of all organisations together in the first run, as a fraction of the
        warm engines' capacity.
    duration_s : float
        Duration of each run in seconds; its first 5 s are not counted.
    """
    result = TrialResult(trial="fairness", seed=seed)
    configuration = capacity_configuration(options={"option.queue.policy": queue})
    async with Site(plan=capacity_plan(configuration=configuration)) as site:
        capacity = WARM_ENGINE_RATE_PER_S * len(site.agent_by_name)
        others = {
            k: v for k, v in KEY_BY_ORGANISATION.items() if k != LARGE_ORGANISATION
        }
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
        "others' 95 % first token moved by at most 10 %",
        ratio <= MAX_FIRST_TOKEN_RATIO,
        ratio,
    )
    return result


async def _run_both(base, large_per_s, name, result):
    large = replace(
        base,
        rate_per_s=large_per_s,
        seed=base.seed + 1000,
        key_by_organisation={
            LARGE_ORGANISATION: KEY_BY_ORGANISATION[LARGE_ORGANISATION]
        },
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
