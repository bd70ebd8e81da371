"""The command that runs soaks, one seed after the other."""

import asyncio
import dataclasses
import json

from magnoliagrade_standins.soak.plan import SoakPlan
from magnoliagrade_standins.soak.regressions import REGRESSIONS
from magnoliagrade_standins.soak.run import run_soak

__all__ = ["soak_command"]


def soak_command(*, seeds=1, seed=1, regressions=False, **sizes):
    """Run soaks with seeds in a row; print a line for each and return the exit code.

    Parameters
    ----------
    seeds : int
        Number of seeds.
    seed : int
        The first one.
    regressions : bool
        Whether to run the soaks that once found something instead.
    **sizes
        Further fields of `SoakPlan`.

    Returns
    -------
    code : int
        1 if a promise was broken.
    """
    if regressions:
        plans = [regression.plan for regression in REGRESSIONS]
    else:
        plans = [SoakPlan(seed=n, **sizes) for n in range(seed, seed + seeds)]
    has_findings = False
    for plan in plans:
        report = asyncio.run(run_soak(plan))
        has_findings = has_findings or bool(report.findings)
        row = dataclasses.asdict(report)
        if not report.findings:
            row["faults"] = len(report.faults)
        print(json.dumps(row), flush=True)
    return int(has_findings)
