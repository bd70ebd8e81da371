"""Trial: a data centre is taken out under load and comes back."""

import asyncio

from magnoliagrade.clock import SystemClock

from magnoliagrade_standins.harness import CONFIGURATION, Site, SitePlan
from magnoliagrade_standins.load import LoadPlan, run_load, summarise
from magnoliagrade_standins.load.arrivals import Kind
from magnoliagrade_standins.trials.registry import TrialResult, trials

__all__ = ["run_data_centre_move"]

DATA_CENTRES = ("kamloops", "kelowna", "vernon")
MOVED = "vernon"
WARM_UP_S = 25.0
STEADY_S = 15.0
OUT_S = 20.0
BACK_S = 20.0
NO_NEW_WORK_AFTER_S = 3.0
GOODPUT_SHARE = 0.99
FIRST_TOKEN_RATIO = 1.5
ENGINE = {
    "step_base_s": 0.02,
    "decode_s": 0.0005,
    "cold_tokens": 600,
    "warm_tokens": 2000,
    "warm_after_tokens": 1500,
}
# What one warm engine completed at 1.3 times this rate offered.
ENGINE_CAPACITY_PER_S = 10.5
LIMITS = "cold_limit = 600\nfull_limit = 6000"
TRIAL_LIMITS = "cold_limit = 550\nfull_limit = 1700\noption.limit.tokens_to_full = 2000"
OUT_LABELS = f"\n[data_centre {MOVED}]\nlabels = state=out\n"


@trials.register("data-centre-move")
async def run_data_centre_move(*, seed, engines=2, load=0.6):
    """Take a data centre out under load and bring it back.

    Parameters
    ----------
    seed : int
        Seed of the load.
    engines : int
        Model endpoints in each data centre.
    load : float
        Offered completions as a part of what all engines bear when warm.

    Returns
    -------
    result : TrialResult
        Checks against the stated targets, and the figures of each phase.
    """
    configuration = CONFIGURATION.replace(LIMITS, TRIAL_LIMITS)
    plan = SitePlan(
        entries_by_data_centre=dict(zip(DATA_CENTRES, (3, 2, 2), strict=True)),
        engines_by_data_centre=dict.fromkeys(DATA_CENTRES, engines),
        services_by_data_centre=dict.fromkeys(DATA_CENTRES, 1),
        configuration=configuration,
        engine_options=ENGINE,
    )
    completions = load * ENGINE_CAPACITY_PER_S * engines * len(DATA_CENTRES)
    clock = SystemClock()
    async with Site(plan=plan) as site:
        load_plan = LoadPlan(
            urls=[site.caller_url(name) for name in sorted(site.entry_by_name)],
            rate_per_s=completions / 0.7,
            duration_s=WARM_UP_S + STEADY_S + OUT_S + BACK_S,
            seed=seed,
            stream_fraction=1.0,
        )
        started = clock.monotonic()
        running = asyncio.create_task(run_load(load_plan))
        await clock.sleep(WARM_UP_S + STEADY_S)
        out_at = clock.monotonic()
        await site.repository.apply(configuration + OUT_LABELS, author="trial")
        await clock.sleep(OUT_S)
        back_at = clock.monotonic()
        await site.repository.apply(configuration, author="trial")
        outcomes = await running
        result = TrialResult(trial="data-centre-move", seed=seed)
        phases = _Phases(outcomes, out_s=out_at - started, back_s=back_at - started)
        _compare(result, phases)
        await _check_records(result, site, out_at, back_at)
    return result


class _Phases:
    """Outcomes of the phases of a trial, by time of arrival.

    Parameters
    ----------
    outcomes : list of Outcome
        All outcomes.
    out_s, back_s : float
        When the data centre was taken out and brought back, from the start.
    """

    __slots__ = ("back", "out", "steady", "whole")

    def __init__(self, outcomes, *, out_s, back_s):
        def between(low, high):
            return [o for o in outcomes if low <= o.arrival.at_s < high]

        self.whole = outcomes
        self.steady = between(WARM_UP_S, out_s)
        self.out = between(out_s, back_s)
        self.back = between(back_s, back_s + BACK_S)


def _compare(result, phases):
    steady = _figures(result, "steady", phases.steady)
    for name in ("out", "back"):
        phase = _figures(result, name, getattr(phases, name))
        share = phase.good / phase.sent / (steady.good / steady.sent)
        result.figures[f"{name}_goodput_share"] = share
        detail = f"{share:.4f} of steady"
        result.check(f"{name}: goodput at least 99 %", share >= GOODPUT_SHARE, detail)
        first = [r.percentile_s("first token", 95) for r in (phase, steady)]
        ratio = first[0] / first[1]
        result.figures[f"{name}_first_token_95_ratio"] = ratio
        result.check(
            f"{name}: first token at 95 % at most 1.5 times steady",
            ratio <= FIRST_TOKEN_RATIO,
            f"{ratio:.2f}",
        )
    moved = [*phases.out, *phases.back]
    failed = [o for o in moved if not o.is_good and o.arrival.kind is not Kind.ORDER]
    detail = f"{len(failed)} of {len(moved)}: {sorted({o.code for o in failed})}"
    result.check("no repeatable request failed", not failed, detail)


def _figures(result, name, outcomes):
    report = summarise(outcomes, duration_s=BACK_S)
    first = report.percentile_s("first token", 95)
    result.figures[f"{name}_sent"] = report.sent
    result.figures[f"{name}_good"] = report.good
    result.figures[f"{name}_first_token_95_s"] = first
    return report


async def _check_records(result, site, out_at, back_at):
    late = []
    falls = 0
    for name in site.back_end_by_name:
        record = await site.record(name)
        falls += record.get("falls", 0)
        starts = record.get("executions", record.get("requests", []))
        if name.startswith(MOVED):
            limit = out_at + NO_NEW_WORK_AFTER_S
            late += [s for s in starts if limit < s["at"] < back_at]
    result.check("no new work 3 s after taking out", not late, f"{len(late)} late")
    result.check("no engine was given more than it bears", not falls, f"{falls} falls")
