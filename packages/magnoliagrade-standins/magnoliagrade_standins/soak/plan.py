"""Plan of a soak, and the random faults that follow from its seed."""

import random
from dataclasses import dataclass

from magnoliagrade.registry import Registry

__all__ = ["Fault", "SoakPlan", "draw_faults", "fault_kinds"]

# All faults end at least this long before the load ends, to check the recovery.
FAULT_FREE_END_S = 4.0
# No fault begins this early, so that the entries serve requests first.
FAULT_FREE_START_S = 1.0
# Range of durations: shorter as well as longer than leases, watches and the bound on
# removed keys.
MIN_FAULT_S, MAX_FAULT_S = 0.2, 4.0

fault_kinds = Registry(family="soak fault")


@dataclass(slots=True, kw_only=True)
class SoakPlan:
    """Size, load and fault rate of one soak.

    Parameters
    ----------
    seed : int
        Seed of the random number generators for faults and requests.
    duration_s : float
        Duration of the load in seconds.
    entries, plain, models : int
        Number of entries, of endpoints of the plain service, and of model endpoints.
    callers : int
        Number of callers, each with one request at a time.
    faults_per_s : float
        Mean number of faults that begin in a second; faults may overlap.
    revoke_ms : float
        Time after which a removed key must be rejected, in milliseconds.
    agents : bool
        Whether an agent runs beside each model endpoint.
    store_losses : int
        Number of times that the store loses its last changes, at even intervals and
        beside the random faults.
    """

    seed: int = 1
    duration_s: float = 20.0
    entries: int = 3
    plain: int = 3
    models: int = 4
    callers: int = 12
    faults_per_s: float = 1.2
    revoke_ms: float = 3000.0
    agents: bool = False
    store_losses: int = 0


@dataclass(slots=True, kw_only=True)
class Fault:
    """One fault to inject.

    Parameters
    ----------
    kind : str
        Name in `fault_kinds`.
    start_s : float
        Time from the start of the load, in seconds.
    duration_s : float
        Duration in seconds.
    target : int
        Random number that selects the entry or endpoint, modulo their number.
    """

    kind: str
    start_s: float
    duration_s: float
    target: int


def draw_faults(plan, kinds):
    """Return the random faults of a plan, ordered by start time.

    Parameters
    ----------
    plan : SoakPlan
        Plan whose seed, duration and fault rate are used.
    kinds : list of str
        Kinds of faults to choose from.

    Examples
    --------
    >>> plan = SoakPlan(seed=3, duration_s=10.0)
    >>> faults = draw_faults(plan, ["a", "b"])
    >>> faults == draw_faults(plan, ["a", "b"])
    True
    >>> all(fault.start_s + fault.duration_s <= 6.0 for fault in faults)
    True
    """
    rng = random.Random(plan.seed)
    end_s = plan.duration_s - FAULT_FREE_END_S
    faults = []
    start_s = FAULT_FREE_START_S
    while True:
        start_s += rng.expovariate(plan.faults_per_s)
        if start_s + MIN_FAULT_S >= end_s:
            return faults
        duration_s = min(rng.uniform(MIN_FAULT_S, MAX_FAULT_S), end_s - start_s)
        faults.append(
            Fault(
                kind=rng.choice(kinds),
                start_s=start_s,
                duration_s=duration_s,
                target=rng.randrange(1000),
            )
        )
