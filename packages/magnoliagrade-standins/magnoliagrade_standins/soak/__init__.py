"""Soak: direct entries as processes, random faults from outside, promises checked."""

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
