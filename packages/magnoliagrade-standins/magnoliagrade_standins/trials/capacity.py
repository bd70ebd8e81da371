"""Trial of limits and credits: cold start and restarts at twice the capacity."""

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
    "control_engine",
    "run_capacity",
]

ENTRIES_BY_DATA_CENTRE = {"kamloops": 3, "kelowna": 2, "vernon": 2}
ENGINES_BY_DATA_CENTRE = {"kamloops": 2, "kelowna": 2, "vernon": 2}
COLD_TOKENS = 600
WARM_TOKENS = 3000
ENGINE_OPTIONS = {
    "step_base_s": 0.02,
    "cold_tokens": COLD_TOKENS,
    "warm_tokens": WARM_TOKENS,
    "warm_after_tokens": 2000,
}
# Requests per second that one warm engine with `ENGINE_OPTIONS` completes under
# the load of these trials.
WARM_ENGINE_RATE_PER_S = 16.0
MAX_WARM_UP_ROUNDS = 12
FAULT_KINDS = ("engine", "agent", "both")


def capacity_configuration(*, routing="prefix-affinity", options=None, shares=None):
    """Return the harness's configuration with limits for the trial's engines.

    Parameters
    ----------
    routing : str
        Routing policy of the model pool.
    options : dict of str to str
        Options of the model pool by dotted name.
    shares : dict of str to float
        Shares of organisations by name.
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
    """Return the plan of a site, by default with seven entries and six engines.

    Parameters
    ----------
    configuration : str
        INI text of the operators' configuration.
    engines, entries : dict of str to int, optional
        Number of processes by data centre; `ENGINES_BY_DATA_CENTRE` and
        `ENTRIES_BY_DATA_CENTRE` by default.
    **engine_options
        Fields of the engines' profile that override `ENGINE_OPTIONS`.
    """
    return SitePlan(
        entries_by_data_centre=entries or ENTRIES_BY_DATA_CENTRE,
        engines_by_data_centre=engines or ENGINES_BY_DATA_CENTRE,
        engine_options={**ENGINE_OPTIONS, **engine_options},
        configuration=configuration,
    )


async def check_engines(result, site):
    """Check in the engines' records that none was loaded beyond its capacity.

    Parameters
    ----------
    result : TrialResult
        Result that the checks are added to.
    site : Site
        The running site.
    """
    records = await asyncio.gather(*(site.record(n) for n in site.agent_by_name))
    peak = max(r["peak_load"] for r in records)
    falls = sum(r["falls"] for r in records)
    result.check("no engine bore more than it bears", peak <= 1, f"{peak:.3f}")
    result.check("no engine fell over", falls == 0, falls)
    result.figures["engine_requests"] = sum(len(r["requests"]) for r in records)


async def control_engine(site, name, **command):
    """Send a control command to the stand-in of an endpoint.

    Parameters
    ----------
    site : Site
        The running site.
    name : str
        Name of the endpoint.
    **command
        Fields of the JSON body for `/control`.
    """
    address = site.back_end_by_name[name].addresses["http"]
    url = f"http://{address}/control"
    async with site.session.post(url, json=command) as response:
        response.raise_for_status()


async def warm_up(site, load):
    """Send load until every entry gives every endpoint its full limit.

    Parameters
    ----------
    site : Site
        The running site.
    load : LoadPlan
        Load of one round; each round has its own seed.

    Raises
    ------
    TimeoutError
        If a limit is below the full one after `MAX_WARM_UP_ROUNDS` rounds.
    """
    for number in range(MAX_WARM_UP_ROUNDS):
        await run_load(replace(load, seed=load.seed + 100 + number))
        if min(await _limits(site)) >= WARM_TOKENS:
            return
    raise TimeoutError(
        f"limits of endpoints below {WARM_TOKENS} tokens after "
        f"{MAX_WARM_UP_ROUNDS} rounds: {await _limits(site)}"
    )


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
    """Check engines' load through a cold start and restarts under overload.

    Parameters
    ----------
    seed : int
        Seed of the load and of the faults.
    fault : str
        Process that is restarted: `none`, `engine` (its agent keeps running),
        `agent`, `both`, or `all` for these three in turn.
    policy : str
        Limit policy of the model pool.
    duration_s : float
        Duration of the load in seconds.
    overload : float
        Offered rate as a multiple of the warm engines' capacity.
    entries, engines : dict of str to int, optional
        Number of processes by data centre, as for `capacity_plan`.
    streams : float
        Fraction of the completions that are streamed.
    fault_pause_s : float
        Time in seconds before each fault, the first one included.
    """
    result = TrialResult(trial="capacity", seed=seed)
    configuration = capacity_configuration(options={"option.limit.policy": policy})
    plan = capacity_plan(configuration=configuration, entries=entries, engines=engines)
    async with Site(plan=plan) as site:
        load = LoadPlan(
            urls=[site.caller_url(n) for n in site.entry_by_name],
            rate_per_s=overload * WARM_ENGINE_RATE_PER_S * len(site.agent_by_name),
            duration_s=duration_s,
            seed=seed,
            order_fraction=0.0,
            lookup_fraction=0.0,
            stream_fraction=streams,
        )
        kinds = {"none": (), "all": FAULT_KINDS}.get(fault, (fault,))
        faults = asyncio.create_task(
            _inject_faults(
                site,
                random.Random(f"faults {seed}"),
                kinds=kinds,
                count=int((duration_s - 1) / fault_pause_s),
                pause_s=fault_pause_s,
            )
        )
        outcomes = await run_load(load)
        await faults
        _record_outcomes(result, outcomes, duration_s)
        await check_engines(result, site)
    return result


async def _inject_faults(site, rng, *, kinds, count, pause_s):
    clock = SystemClock()
    for i in range(count if kinds else 0):
        await clock.sleep(pause_s)
        name = rng.choice(sorted(site.agent_by_name))
        kind = kinds[i % len(kinds)]
        if kind != "agent":
            await control_engine(site, name, restart=True)
        if kind != "engine":
            agent = site.agent_by_name[name]
            await agent.kill()
            await site.start_listed(agent, "agent")


def _record_outcomes(result, outcomes, duration_s):
    report = summarise(outcomes, duration_s=duration_s)
    complete = [o for o in outcomes if o.is_complete]
    result.check("answers were whole and own", all(o.is_correct for o in complete))
    result.check("some answers came", report.good > 0, report.good)
    unanswered = [o for o in outcomes if o.code == "no-answer"]
    result.check(
        "no caller was left without an answer", not unanswered, len(unanswered)
    )
    result.figures["offered_per_s"] = report.sent / duration_s
    result.figures["goodput_per_s"] = report.goodput_per_s
    last_quarter = [
        o for o in outcomes if o.is_good and o.arrival.at_s > 0.75 * duration_s
    ]
    result.figures["goodput_last_quarter_per_s"] = len(last_quarter) / (
        0.25 * duration_s
    )
    result.figures["good_tokens_per_s"] = report.good_tokens / duration_s
    for p in (50, 95):
        value = report.percentile_s("first token", p)
        result.figures[f"first_token_{p}_s"] = value or 0.0
    for code, count in report.count_by_code.items():
        result.figures[f"answers {code}"] = count
