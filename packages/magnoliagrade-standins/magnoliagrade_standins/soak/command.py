"""The command that runs soaks, one seed after the other."""

import asyncio
import dataclasses
import json

from magnoliagrade_standins.soak.plan import SoakPlan
from magnoliagrade_standins.soak.run import run_soak

__all__ = ["soak_command"]


def soak_command(*, seeds=1, seed=1, **sizes):
    """Run soaks with seeds in a row; print a line for each and return the exit code.

    Parameters
    ----------
    seeds : int
        Number of seeds.
    seed : int
        The first one.
    **sizes
        Further fields of `SoakPlan`.

    Returns
    -------
    code : int
        1 if a promise was broken.
    """
    has_findings = False
    for number in range(seed, seed + seeds):
        report = asyncio.run(run_soak(SoakPlan(seed=number, **sizes)))
        has_findings = has_findings or bool(report.findings)
        row = dataclasses.asdict(report)
        if not report.findings:
            row["faults"] = len(report.faults)
        print(json.dumps(row), flush=True)
    return int(has_findings)
