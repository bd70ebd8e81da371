"""Trial of overload: goodput at three times the capacity, and recovery after it."""

from dataclasses import replace

from magnoliagrade_standins.harness import Site
from magnoliagrade_standins.load import LoadPlan, run_load, summarise
from magnoliagrade_standins.trials.capacity import (
    WARM_ENGINE_RATE_PER_S,
    capacity_configuration,
    capacity_plan,
    check_engines,
    warm_up,
)
from magnoliagrade_standins.trials.registry import TrialResult, trials

__all__ = ["run_overload"]

LOW_LOAD_RATIO = 0.5
PEAK_LOAD_RATIO = 1.5
RECOVERY_S = 5.0
MIN_GOODPUT_FRACTION = 0.9
MAX_FIRST_TOKEN_RATIO = 1.5
MAX_MEMORY_GROWTH_BYTES = 64 * 1024**2


@trials.register("overload")
async def run_overload(
    *, seed, queue="fair", factor=3.0, duration_s=60.0, peak_s=15.0, calm_s=12.0
):
    """Check goodput and memory during an overload and first tokens after it.

    Parameters
    ----------
    seed : int
        Seed of the loads.
    queue : str
        Queue policy of the model pool.
    factor : float
        Offered rate as a multiple of the warm engines' capacity.
    duration_s : float
        Duration of the overload in seconds.
    peak_s : float
        Duration in seconds of the load at 1.5 times the capacity, which gives the
        peak goodput.
    calm_s : float
        Duration in seconds of the load at half the capacity, before and after the
        overload; its first 5 s are not counted.
    """
    result = TrialResult(trial="overload", seed=seed)
    configuration = capacity_configuration(options={"option.queue.policy": queue})
    async with Site(plan=capacity_plan(configuration=configuration)) as site:
        capacity = WARM_ENGINE_RATE_PER_S * len(site.agent_by_name)
        base = LoadPlan(
            urls=[site.caller_url(n) for n in site.entry_by_name],
            rate_per_s=capacity,
            seed=seed,
            order_fraction=0.0,
            lookup_fraction=0.0,
            stream_fraction=1.0,
        )
        await warm_up(site, replace(base, rate_per_s=1.5 * capacity, duration_s=5.0))
        low_load = replace(
            base, rate_per_s=LOW_LOAD_RATIO * capacity, duration_s=calm_s
        )
        before = await _run(low_load, "calm before", result, settled_s=RECOVERY_S)
        peak = await _run(
            replace(base, rate_per_s=PEAK_LOAD_RATIO * capacity, duration_s=peak_s),
            "peak",
            result,
        )
        memory_before = await _memory_bytes(site)
        overload_plan = replace(
            base, rate_per_s=factor * capacity, duration_s=duration_s
        )
        overload = await _run(overload_plan, "overload", result)
        grown = await _memory_bytes(site) - memory_before
        after = await _run(low_load, "calm after", result, settled_s=RECOVERY_S)
        await check_engines(result, site)
    result.figures["entry_memory_growth_bytes"] = grown
    fraction = overload.goodput_per_s / peak.goodput_per_s
    result.check("goodput stays", fraction >= MIN_GOODPUT_FRACTION, f"{fraction:.3f}")
    bound = MAX_MEMORY_GROWTH_BYTES
    result.check("memory of entries is bounded", grown <= bound, grown)
    ratio = _first_token_95(after) / _first_token_95(before)
    result.check(
        "first tokens are back within 5 s",
        ratio <= MAX_FIRST_TOKEN_RATIO,
        f"{ratio:.2f}",
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
    rejection_times_s = sorted(o.total_s for o in settled if o.status > 200)
    if rejection_times_s:
        median_s = rejection_times_s[len(rejection_times_s) // 2]
        result.figures[f"{name}: refused_after_50_s"] = median_s
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
