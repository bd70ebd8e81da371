"""Command that runs soaks for consecutive seeds."""

import asyncio
import dataclasses
import json

from magnoliagrade_standins.soak.plan import SoakPlan
from magnoliagrade_standins.soak.regressions import REGRESSIONS
from magnoliagrade_standins.soak.run import run_soak

__all__ = ["soak_command"]


def soak_command(*, seeds=1, seed=1, regressions=False, **plan_fields):
    """Run soaks for consecutive seeds, print JSON lines and return the exit code.

    Parameters
    ----------
    seeds : int
        Number of seeds.
    seed : int
        First seed.
    regressions : bool
        Whether to run the plans in `REGRESSIONS` instead.
    **plan_fields
        Other fields of `SoakPlan`; not used for regressions.

    Returns
    -------
    code : int
        1 if a soak has findings, otherwise 0.
    """
    if regressions:
        plans = [regression.plan for regression in REGRESSIONS]
    else:
        plans = [SoakPlan(seed=n, **plan_fields) for n in range(seed, seed + seeds)]
    has_findings = False
    for plan in plans:
        report = asyncio.run(run_soak(plan))
        has_findings = has_findings or bool(report.findings)
        row = dataclasses.asdict(report)
        if not report.findings:
            row["faults"] = len(report.faults)
        print(json.dumps(row), flush=True)
    return int(has_findings)
