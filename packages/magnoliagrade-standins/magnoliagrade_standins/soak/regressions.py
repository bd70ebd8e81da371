"""Plans of soaks that had findings, each with the cause."""

from dataclasses import dataclass

from magnoliagrade_standins.soak.plan import SoakPlan

__all__ = ["REGRESSIONS", "Regression"]


@dataclass(slots=True, kw_only=True)
class Regression:
    """Plan of a soak that had findings, and their cause.

    Parameters
    ----------
    plan : SoakPlan
        Plan that reproduces the faults.
    cause : str
        For each promise in the findings, what broke it.
    """

    plan: SoakPlan
    cause: str


REGRESSIONS = [
    Regression(
        plan=SoakPlan(seed=1, duration_s=10.0),
        cause=(
            "whole answer: the fault proxy closed connections that it should have "
            "reset. recovers: watches lasted 1.5 s while the bound on removed keys was "
            "3 s"
        ),
    ),
    Regression(
        plan=SoakPlan(seed=4, duration_s=15.0),
        cause=(
            "recovers: watches lasted 1.5 s while the bound on removed keys was 3 s"
        ),
    ),
    Regression(
        plan=SoakPlan(seed=9, duration_s=14.0),
        cause=(
            "whole answer: the stand-in for an endpoint changed its id while it sent a "
            "response"
        ),
    ),
    Regression(
        plan=SoakPlan(seed=101, duration_s=12.0),
        cause=(
            "keys end: the stand-in for the store withheld watch events for longer "
            "than the platform does, and its empty responses named a revision that "
            "included the withheld changes"
        ),
    ),
    Regression(
        plan=SoakPlan(seed=230, duration_s=12.0),
        cause=(
            "recovers: an entry that was stopped shortly before the fault-free time at "
            "the end was down during it, because the load did not wait for its restart"
        ),
    ),
    Regression(
        plan=SoakPlan(seed=240, duration_s=12.0),
        cause=("goes on: two faults started the same entry at the same time"),
    ),
    Regression(
        plan=SoakPlan(seed=435, duration_s=12.0),
        cause=(
            "recovers: after the store was silent, entries asked for its changes with "
            "a long wait and rejected keys meanwhile"
        ),
    ),
    Regression(
        plan=SoakPlan(seed=437, duration_s=12.0),
        cause="recovers: as with seed 230",
    ),
    Regression(
        plan=SoakPlan(seed=502, duration_s=14.0, entries=8),
        cause=(
            "goes on: an entry ended at its start with the code for invalid settings, "
            "probably because two of its listeners had been given the same port"
        ),
    ),
]
