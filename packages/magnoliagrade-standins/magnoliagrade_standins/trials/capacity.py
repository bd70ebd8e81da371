"""Trial of limits and credits: cold start and restarts under twice the capacity."""

import asyncio
import random
from dataclasses import replace

from magnoliagrade.clock import SystemClock

from magnoliagrade_standins.harness import CONFIGURATION, Site, SitePlan
from magnoliagrade_standins.load import LoadPlan, run_load, summarise
from magnoliagrade_standins.trials.registry import TrialResult, trials

__all__ = [
    "capacity_configuration",
    "capacity_plan",
    "check_engines",
    "order_engine",
    "run_capacity",
]

ENTRIES = {"kamloops": 3, "kelowna": 2, "vernon": 2}
ENGINES = {"kamloops": 2, "kelowna": 2, "vernon": 2}
COLD_TOKENS = 600
WARM_TOKENS = 3000
ENGINE_OPTIONS = {
    "step_base_s": 0.02,
    "cold_tokens": COLD_TOKENS,
    "warm_tokens": WARM_TOKENS,
    "warm_after_tokens": 2000,
}
# Requests a second of one warm engine of these options under this load.
WARM_RATE_PER_S = 16.0
WARM_PARTS = 12
FAULTS = ("engine", "agent", "both")


def capacity_configuration(*, routing="prefix-affinity", options=None, shares=None):
    """Return the harness's configuration with limits that fit the trial's engines.

    Parameters
    ----------
    routing : str
        Routing policy of the model pool.
    options : dict of str to str
        Options of the model pool, by dotted name.
    shares : dict of str to float
        Shares of organisations, by name.
    """
    rows = "".join(f"\n{k} = {v}" for k, v in (options or {}).items())
    pool = f"cold_limit = {COLD_TOKENS}\nfull_limit = {WARM_TOKENS}"
    text = CONFIGURATION.replace(
        "cold_limit = 600\nfull_limit = 6000", f"{pool}\nrouting = {routing}{rows}"
    )
    for name, share in (shares or {}).items():
        section = f"[organisation {name}]\n"
        text = text.replace(section, f"{section}share = {share}\n")
    return text


def capacity_plan(*, configuration, engines=None, entries=None, **engine_options):
    """Return the plan of a site of seven entries and six engines.

    Parameters
    ----------
    configuration : str
        INI text of the operators' configuration.
    engines, entries : dict of str to int
        Other numbers by data centre.
    **engine_options
        Other fields of the engines' profile.
    """
    return SitePlan(
        entries_by_data_centre=entries or ENTRIES,
        engines_by_data_centre=engines or ENGINES,
        engine_options={**ENGINE_OPTIONS, **engine_options},
        configuration=configuration,
    )


async def check_engines(result, site):
    """Check from the engines' own records that none was given too much.

    Parameters
    ----------
    result : TrialResult
        Gets the checks.
    site : Site
        The running site.
    """
    records = await asyncio.gather(*(site.record(n) for n in site.agent_by_name))
    peak = max(r["peak_load"] for r in records)
    falls = sum(r["falls"] for r in records)
    result.check("no engine bore more than it bears", peak <= 1, f"{peak:.3f}")
    result.check("no engine fell over", falls == 0, falls)
    result.figures["engine_requests"] = sum(len(r["requests"]) for r in records)


async def order_engine(site, name, **order):
    """Give a back end's stand-in an order.

    Parameters
    ----------
    site : Site
        The running site.
    name : str
        Name of the endpoint.
    **order
        Fields that its `/control` takes.
    """
    address = site.back_end_by_name[name].addresses["http"]
    url = f"http://{address}/control"
    async with site.session.post(url, json=order) as response:
        response.raise_for_status()


async def warm_up(site, load):
    """Send load until every endpoint's limit is the full one.

    Parameters
    ----------
    site : Site
        The running site.
    load : LoadPlan
        What to send, in parts of its duration.

    Raises
    ------
    TimeoutError
        If the limits have not grown after `WARM_PARTS` parts.
    """
    for part in range(WARM_PARTS):
        await run_load(replace(load, seed=load.seed + 100 + part))
        if min(await _limits(site)) >= WARM_TOKENS:
            return
    raise TimeoutError(f"limits are {await _limits(site)}")


async def _limits(site):
    limits = []
    for entry in site.entry_by_name.values():
        url = f"http://{entry.addresses['admin']}/status"
        async with site.session.get(url) as response:
            status = await response.json()
        limits += [e["limit"] for e in status["endpoints"]]
    return limits


@trials.register("capacity")
async def run_capacity(
    *,
    seed,
    fault="all",
    policy="evidence",
    duration_s=24.0,
    overload=2.0,
    entries=None,
    engines=None,
    streams=0.8,
    fault_pause_s=4.0,
):
    """Run a cold start and restarts at twice the capacity.

    Parameters
    ----------
    seed : int
        Seed of load and faults.
    fault : str
        `none`, `engine` (restarts behind its agent), `agent`, `both` or `all`.
    policy : str
        Limit policy.
    duration_s : float
        Length of the load.
    overload : float
        Offered rate as a multiple of what the warm engines serve.
    entries, engines : dict of str to int
        Other numbers by data centre.
    streams : float
        Part of the completions that are streamed.
    fault_pause_s : float
        Time between faults, the first one included.
    """
    result = TrialResult(trial="capacity", seed=seed)
    configuration = capacity_configuration(options={"option.limit.policy": policy})
    plan = capacity_plan(configuration=configuration, entries=entries, engines=engines)
    async with Site(plan=plan) as site:
        load = LoadPlan(
            urls=[site.caller_url(n) for n in site.entry_by_name],
            rate_per_s=overload * WARM_RATE_PER_S * len(site.agent_by_name),
            duration_s=duration_s,
            seed=seed,
            order_fraction=0.0,
            lookup_fraction=0.0,
            stream_fraction=streams,
        )
        kinds = {"none": (), "all": FAULTS}.get(fault, (fault,))
        faults = asyncio.create_task(
            _bring_faults(
                site,
                random.Random(f"faults {seed}"),
                kinds=kinds,
                count=int((duration_s - 1) / fault_pause_s),
                pause_s=fault_pause_s,
            )
        )
        outcomes = await run_load(load)
        await faults
        _note(result, outcomes, duration_s)
        await check_engines(result, site)
    return result


async def _bring_faults(site, rng, *, kinds, count, pause_s):
    clock = SystemClock()
    for i in range(count if kinds else 0):
        await clock.sleep(pause_s)
        name = rng.choice(sorted(site.agent_by_name))
        kind = kinds[i % len(kinds)]
        if kind != "agent":
            await order_engine(site, name, restart=True)
        if kind != "engine":
            agent = site.agent_by_name[name]
            await agent.kill()
            await site.start_listed(agent, "agent")


def _note(result, outcomes, duration_s):
    report = summarise(outcomes, duration_s=duration_s)
    whole = [o for o in outcomes if o.is_whole]
    result.check("answers were whole and own", all(o.is_own for o in whole))
    result.check("some answers came", report.good > 0, report.good)
    late = [o for o in outcomes if o.code == "no-answer"]
    result.check("no caller was left without an answer", not late, len(late))
    result.figures["offered_per_s"] = report.sent / duration_s
    result.figures["goodput_per_s"] = report.goodput_per_s
    last = [o for o in outcomes if o.is_good and o.arrival.at_s > 0.75 * duration_s]
    result.figures["goodput_last_quarter_per_s"] = len(last) / (0.25 * duration_s)
    result.figures["good_tokens_per_s"] = report.good_tokens / duration_s
    for p in (50, 95):
        value = report.percentile_s("first token", p)
        result.figures[f"first_token_{p}_s"] = value or 0.0
    for code, count in report.count_by_code.items():
        result.figures[f"answers {code}"] = count
