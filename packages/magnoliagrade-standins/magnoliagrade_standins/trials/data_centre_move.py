"""Trial: a data centre is evacuated under load and put back into service."""

import asyncio

from magnoliagrade.clock import SystemClock

from magnoliagrade_standins.harness import CONFIGURATION, Site, SitePlan
from magnoliagrade_standins.load import LoadPlan, run_load, summarise
from magnoliagrade_standins.load.arrivals import Kind
from magnoliagrade_standins.trials.registry import TrialResult, trials

__all__ = ["run_data_centre_move"]

DATA_CENTRES = ("kamloops", "kelowna", "vernon")
EVACUATED_DATA_CENTRE = "vernon"
WARM_UP_DURATION_S = 25.0
STEADY_DURATION_S = 15.0
EVACUATED_DURATION_S = 20.0
RETURNED_DURATION_S = 20.0
EVACUATION_LIMIT_S = 3.0
MIN_GOODPUT_FRACTION = 0.99
MAX_FIRST_TOKEN_RATIO = 1.5
ENGINE_OPTIONS = {
    "step_base_s": 0.02,
    "decode_s": 0.0005,
    "cold_tokens": 600,
    "warm_tokens": 2000,
    "warm_after_tokens": 1500,
}
# Completions per second of one warm engine while 1.3 times this rate is offered.
ENGINE_CAPACITY_PER_S = 10.5
BASE_LIMITS = "cold_limit = 600\nfull_limit = 6000"
TRIAL_LIMITS = "cold_limit = 550\nfull_limit = 1700\noption.limit.tokens_to_full = 2000"
EVACUATED_LABELS = f"\n[data_centre {EVACUATED_DATA_CENTRE}]\nlabels = state=out\n"


@trials.register("data-centre-move")
async def run_data_centre_move(*, seed, engines=2, load=0.6):
    """Evacuate a data centre under load and put it back into service.

    Parameters
    ----------
    seed : int
        Seed of the load.
    engines : int
        Model endpoints in each data centre.
    load : float
        Offered completions as a fraction of the capacity of all warm engines.

    Returns
    -------
    result : TrialResult
        Checks against the stated targets and the figures of each phase.
    """
    configuration = CONFIGURATION.replace(BASE_LIMITS, TRIAL_LIMITS)
    plan = SitePlan(
        entries_by_data_centre=dict(zip(DATA_CENTRES, (3, 2, 2), strict=True)),
        engines_by_data_centre=dict.fromkeys(DATA_CENTRES, engines),
        services_by_data_centre=dict.fromkeys(DATA_CENTRES, 1),
        configuration=configuration,
        engine_options=ENGINE_OPTIONS,
    )
    completions_per_s = load * ENGINE_CAPACITY_PER_S * engines * len(DATA_CENTRES)
    clock = SystemClock()
    async with Site(plan=plan) as site:
        load_plan = LoadPlan(
            urls=[site.caller_url(name) for name in sorted(site.entry_by_name)],
            # Orders and lookups are 30 % of the arrivals of a `LoadPlan`.
            rate_per_s=completions_per_s / 0.7,
            duration_s=WARM_UP_DURATION_S
            + STEADY_DURATION_S
            + EVACUATED_DURATION_S
            + RETURNED_DURATION_S,
            seed=seed,
            stream_fraction=1.0,
        )
        started = clock.monotonic()
        load_task = asyncio.create_task(run_load(load_plan))
        await clock.sleep(WARM_UP_DURATION_S + STEADY_DURATION_S)
        out_at = clock.monotonic()
        await site.repository.apply(configuration + EVACUATED_LABELS, author="trial")
        await clock.sleep(EVACUATED_DURATION_S)
        back_at = clock.monotonic()
        await site.repository.apply(configuration, author="trial")
        outcomes = await load_task
        result = TrialResult(trial="data-centre-move", seed=seed)
        phases = _Phases(outcomes, out_s=out_at - started, back_s=back_at - started)
        _check_phases(result, phases)
        await _check_records(result, site, out_at, back_at)
    return result


class _Phases:
    """Outcomes of a trial, split into phases by time of arrival.

    Parameters
    ----------
    outcomes : list of Outcome
        Outcomes of all phases.
    out_s, back_s : float
        Times in seconds after the start of the load at which the data centre was
        evacuated and put back into service.
    """

    __slots__ = ("all", "back", "out", "steady")

    def __init__(self, outcomes, *, out_s, back_s):
        def between(low, high):
            return [o for o in outcomes if low <= o.arrival.at_s < high]

        self.all = outcomes
        self.steady = between(WARM_UP_DURATION_S, out_s)
        self.out = between(out_s, back_s)
        self.back = between(back_s, back_s + RETURNED_DURATION_S)


def _check_phases(result, phases):
    steady = _summarise_phase(result, "steady", phases.steady)
    for name in ("out", "back"):
        phase = _summarise_phase(result, name, getattr(phases, name))
        share = phase.good / phase.sent / (steady.good / steady.sent)
        result.figures[f"{name}_goodput_share"] = share
        detail = f"{share:.4f} of steady"
        result.check(
            f"{name}: goodput at least 99 %", share >= MIN_GOODPUT_FRACTION, detail
        )
        first_token_s = [r.percentile_s("first token", 95) for r in (phase, steady)]
        ratio = first_token_s[0] / first_token_s[1]
        result.figures[f"{name}_first_token_95_ratio"] = ratio
        result.check(
            f"{name}: first token at 95 % at most 1.5 times steady",
            ratio <= MAX_FIRST_TOKEN_RATIO,
            f"{ratio:.2f}",
        )
    after_evacuation = [*phases.out, *phases.back]
    failed = [
        o
        for o in after_evacuation
        if not o.is_good and o.arrival.kind is not Kind.ORDER
    ]
    detail = (
        f"{len(failed)} of {len(after_evacuation)}: {sorted({o.code for o in failed})}"
    )
    result.check("no repeatable request failed", not failed, detail)


def _summarise_phase(result, name, outcomes):
    report = summarise(outcomes, duration_s=RETURNED_DURATION_S)
    first_token_s = report.percentile_s("first token", 95)
    result.figures[f"{name}_sent"] = report.sent
    result.figures[f"{name}_good"] = report.good
    result.figures[f"{name}_first_token_95_s"] = first_token_s
    return report


async def _check_records(result, site, out_at, back_at):
    late = []
    falls = 0
    for name in site.back_end_by_name:
        record = await site.record(name)
        falls += record.get("falls", 0)
        executions = record.get("executions", record.get("requests", []))
        if name.startswith(EVACUATED_DATA_CENTRE):
            evacuated_at = out_at + EVACUATION_LIMIT_S
            late += [e for e in executions if evacuated_at < e["at"] < back_at]
    result.check("no new work 3 s after taking out", not late, f"{len(late)} late")
    result.check("no engine was given more than it bears", not falls, f"{falls} falls")
