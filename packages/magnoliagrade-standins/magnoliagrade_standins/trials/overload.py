"""Trial of overload: three times the capacity for a minute, and what follows."""

from dataclasses import replace

from magnoliagrade_standins.harness import Site
from magnoliagrade_standins.load import LoadPlan, run_load, summarise
from magnoliagrade_standins.trials.capacity import (
    WARM_RATE_PER_S,
    capacity_configuration,
    capacity_plan,
    check_engines,
    warm_up,
)
from magnoliagrade_standins.trials.registry import TrialResult, trials

__all__ = ["run_overload"]

CALM_LOAD = 0.5
PEAK_LOAD = 1.5
RECOVERY_S = 5.0
GOODPUT_FRACTION = 0.9
RECOVERED_RATIO = 1.5
MEMORY_GROWTH_BYTES = 64 * 1024**2


@trials.register("overload")
async def run_overload(
    *, seed, queue="fair", factor=3.0, duration_s=60.0, peak_s=15.0, calm_s=12.0
):
    """Compare goodput under overload with the peak, and calm after with before.

    Parameters
    ----------
    seed : int
        Seed of the loads.
    queue : str
        Queue policy.
    factor : float
        Offered rate as a multiple of what the warm engines serve.
    duration_s : float
        Length of the overload.
    peak_s : float
        Length of the load, 1.5 times what the engines serve, that shows the peak.
    calm_s : float
        Length of the half load before and after; its first 5 s do not count.
    """
    result = TrialResult(trial="overload", seed=seed)
    configuration = capacity_configuration(options={"option.queue.policy": queue})
    async with Site(plan=capacity_plan(configuration=configuration)) as site:
        capacity = WARM_RATE_PER_S * len(site.agent_by_name)
        base = LoadPlan(
            urls=[site.caller_url(n) for n in site.entry_by_name],
            rate_per_s=capacity,
            seed=seed,
            order_fraction=0.0,
            lookup_fraction=0.0,
            stream_fraction=1.0,
        )
        await warm_up(site, replace(base, rate_per_s=1.5 * capacity, duration_s=5.0))
        calm = replace(base, rate_per_s=CALM_LOAD * capacity, duration_s=calm_s)
        before = await _run(calm, "calm before", result, settled_s=RECOVERY_S)
        peak = await _run(
            replace(base, rate_per_s=PEAK_LOAD * capacity, duration_s=peak_s),
            "peak",
            result,
        )
        memory = await _memory_bytes(site)
        over = replace(base, rate_per_s=factor * capacity, duration_s=duration_s)
        overload = await _run(over, "overload", result)
        grown = await _memory_bytes(site) - memory
        after = await _run(calm, "calm after", result, settled_s=RECOVERY_S)
        await check_engines(result, site)
    result.figures["entry_memory_growth_bytes"] = grown
    fraction = overload.goodput_per_s / peak.goodput_per_s
    result.check("goodput stays", fraction >= GOODPUT_FRACTION, f"{fraction:.3f}")
    bound = MEMORY_GROWTH_BYTES
    result.check("memory of entries is bounded", grown <= bound, grown)
    slower = _first_token_95(after) / _first_token_95(before)
    result.check(
        "first tokens are back within 5 s", slower <= RECOVERED_RATIO, f"{slower:.2f}"
    )
    return result


async def _run(plan, name, result, *, settled_s=0.0):
    outcomes = await run_load(plan)
    settled = [o for o in outcomes if o.arrival.at_s >= settled_s]
    report = summarise(settled, duration_s=plan.duration_s - settled_s)
    result.figures[f"{name}: sent_per_s"] = report.sent / report.duration_s
    result.figures[f"{name}: goodput_per_s"] = report.goodput_per_s
    result.figures[f"{name}: good_tokens_per_s"] = (
        report.good_tokens / report.duration_s
    )
    result.figures[f"{name}: first_token_95_s"] = _first_token_95(report)
    for code, count in report.count_by_code.items():
        result.figures[f"{name}: {code}"] = count
    refused = sorted(o.total_s for o in settled if o.status > 200)
    if refused:
        median = refused[len(refused) // 2]
        result.figures[f"{name}: refused_after_50_s"] = median
    return report


def _first_token_95(report):
    return report.percentile_s("first token", 95) or 0.0


async def _memory_bytes(site):
    name = "process_resident_memory_bytes"
    sizes = []
    for entry in site.entry_by_name.values():
        url = f"http://{entry.addresses['admin']}/metrics"
        async with site.session.get(url) as response:
            lines = (await response.text()).splitlines()
        sizes += [float(x.split()[1]) for x in lines if x.startswith(name)]
    return max(sizes)
