"""Soak tests: direct entries run as processes while random faults are injected.

Callers record each response, and the checks compare the records with the promises
that the entries make to callers.
"""

from magnoliagrade_standins.soak.checks import Finding, SoakReport
from magnoliagrade_standins.soak.command import soak_command
from magnoliagrade_standins.soak.plan import Fault, SoakPlan, draw_faults
from magnoliagrade_standins.soak.run import run_soak

__all__ = [
    "Fault",
    "Finding",
    "SoakPlan",
    "SoakReport",
    "draw_faults",
    "run_soak",
    "soak_command",
]
