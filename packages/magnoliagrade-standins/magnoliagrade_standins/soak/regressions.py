"""Soaks that once broke a promise, each with its cause."""

from dataclasses import dataclass

from magnoliagrade_standins.soak.plan import SoakPlan

__all__ = ["REGRESSIONS", "Regression"]


@dataclass(slots=True, kw_only=True)
class Regression:
    """A plan that once found something, and what that was."""

    plan: SoakPlan
    cause: str


REGRESSIONS = [
    Regression(
        plan=SoakPlan(seed=1, duration_s=10.0),
        cause=(
            "whole answer: the fault proxy closed connections that it should reset; "
            "recovers: watches of 1.5 s under a bound on keys of 3 s"
        ),
    ),
    Regression(
        plan=SoakPlan(seed=4, duration_s=15.0),
        cause="recovers: watches of 1.5 s under a bound on keys of 3 s",
    ),
    Regression(
        plan=SoakPlan(seed=9, duration_s=14.0),
        cause="whole answer: the stand-in of an endpoint changed its id in an answer",
    ),
    Regression(
        plan=SoakPlan(seed=101, duration_s=12.0),
        cause=(
            "keys end: the stand-in of the store was deaf for longer than the platform "
            "is, and its empty answers claimed to know the changes that they left out"
        ),
    ),
    Regression(
        plan=SoakPlan(seed=230, duration_s=12.0),
        cause=(
            "recovers: an entry that is stopped shortly before the calm at the end is "
            "down in it; open, see KNOWN-RED.txt"
        ),
    ),
    Regression(
        plan=SoakPlan(seed=240, duration_s=12.0),
        cause=(
            "goes on: two faults start one entry at the same time; open, see "
            "KNOWN-RED.txt"
        ),
    ),
]
