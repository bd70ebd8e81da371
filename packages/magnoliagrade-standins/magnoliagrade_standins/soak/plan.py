"""What a soak does: its sizes, and the faults that a seed draws."""

import random
from dataclasses import dataclass

from magnoliagrade.registry import Registry

__all__ = ["Fault", "SoakPlan", "draw_faults", "fault_kinds"]

# Faults end this long before the end, so that recovery is seen.
CALM_END_S = 4.0
# Nothing happens before every entry has served.
CALM_START_S = 1.0
# Lengths of faults: shorter and longer than leases, watches and the bound on keys.
SHORTEST_S, LONGEST_S = 0.2, 4.0

fault_kinds = Registry(family="soak fault")


@dataclass(slots=True, kw_only=True)
class SoakPlan:
    """Sizes of one soak.

    Parameters
    ----------
    seed : int
        Seed of all faults and requests.
    duration_s : float
        Length of the load in seconds.
    entries, plain, models : int
        Entries, endpoints of the plain service and model endpoints.
    callers : int
        Callers who send one request after the other.
    faults_per_s : float
        Faults that begin a second; they overlap.
    revoke_ms : float
        Bound on keys that were taken away, in milliseconds.
    """

    seed: int = 1
    duration_s: float = 20.0
    entries: int = 3
    plain: int = 3
    models: int = 4
    callers: int = 12
    faults_per_s: float = 1.2
    revoke_ms: float = 3000.0


@dataclass(slots=True, kw_only=True)
class Fault:
    """One fault: its kind, when it begins, how long it lasts, and whom it strikes."""

    kind: str
    at_s: float
    for_s: float
    target: int


def draw_faults(plan, kinds):
    """Return the faults of a plan, in the order of their beginnings.

    Parameters
    ----------
    plan : SoakPlan
        The plan.
    kinds : list of str
        Kinds to draw from.

    Examples
    --------
    >>> plan = SoakPlan(seed=3, duration_s=10.0)
    >>> faults = draw_faults(plan, ["a", "b"])
    >>> faults == draw_faults(plan, ["a", "b"])
    True
    >>> all(fault.at_s + fault.for_s <= 6.0 for fault in faults)
    True
    """
    rng = random.Random(plan.seed)
    ends_s = plan.duration_s - CALM_END_S
    faults = []
    at_s = CALM_START_S
    while True:
        at_s += rng.expovariate(plan.faults_per_s)
        if at_s + SHORTEST_S >= ends_s:
            return faults
        for_s = min(rng.uniform(SHORTEST_S, LONGEST_S), ends_s - at_s)
        faults.append(
            Fault(
                kind=rng.choice(kinds),
                at_s=at_s,
                for_s=for_s,
                target=rng.randrange(1000),
            )
        )
