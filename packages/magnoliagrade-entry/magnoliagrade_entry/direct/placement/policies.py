"""Policies that select one of several endpoints with a free slot.

Load pattern: each entry learns of the requests that the others place from reports, and
the time between two reports grows with the number of entries. With 99 entries and 157
requests per second, 61 requests are placed before the entry learns of them. If each
entry selects the least loaded of all endpoints, most of these go to the same few.
"""

import math
from dataclasses import dataclass, field

from magnoliagrade.registry import Registry

from magnoliagrade_entry.direct.scope import Scope

__all__ = ["PlacementContext", "PlacementRate", "placement_policies"]

# Cost of sending a request to another data centre, in requests in flight: less than
# one, so that an even load has precedence over staying in the local data centre.
REMOTE_PENALTY_REQUESTS = 0.9
# Free slots for each endpoint that has one, below which slots count as scarce.
SCARCE_SLOTS_PER_ENDPOINT = 1.5
# Part of the slots that an entry may hold before it leaves those that it releases to
# others, as a multiple of its share: channels of callers fall unevenly on entries.
SHARE_SLACK = 1.25
# Half-life of the weight of placements in their rate: shorter than a burst.
RATE_HALF_LIFE_S = 1.0

placement_policies = Registry(family="placement policy")


@dataclass(slots=True, kw_only=True)
class PlacementContext:
    """What a policy takes into account besides the loads of the endpoints.

    Parameters
    ----------
    data_centre : str
        Data centre of this entry.
    rng : random.Random
        Random number generator.
    now : float
        Time in seconds.
    unseen_by_scope : dict of Scope to float
        Requests that other entries have placed on the service's endpoints of a scope,
        as estimated, and not reported yet.
    own_in_flight : int
        Requests of this entry at the service's endpoints.
    fair_share : float
        Slots of the service, divided by the number of entries.
    """

    data_centre: str
    rng: object
    now: float
    unseen_by_scope: dict = field(default_factory=dict)
    own_in_flight: int = 0
    fair_share: float = 0.0

    def scope_of(self, load):
        """Return the `Scope` of the endpoint of a load."""
        is_local = load.endpoint.data_centre == self.data_centre
        return Scope.LOCAL if is_local else Scope.REMOTE

    def load_cost(self, load):
        """Return the cost of sending a request to the endpoint of a load."""
        is_remote = self.scope_of(load) is Scope.REMOTE
        work = (load.in_flight + 1) * load.pace_at(self.now)
        return work + REMOTE_PENALTY_REQUESTS * is_remote

    def cost(self, load):
        """Return the sort key of a load; loads of equal cost are in random order."""
        return self.load_cost(load), self.rng.random()


class PlacementRate:
    """Rate of the requests that other entries place, from their reports.

    Examples
    --------
    >>> rate = PlacementRate()
    >>> for number in range(1000):
    ...     rate.record(1, now=number * 0.1)
    >>> round(rate.per_s(now=100.0))
    10
    """

    __slots__ = ("_at", "_weighted")

    def __init__(self):
        self._at = 0.0
        self._weighted = 0.0

    def record(self, placements, *, now):
        """Record a number of placements that were reported at a time in seconds."""
        self._decay(now)
        self._weighted += placements

    def per_s(self, *, now):
        """Return the rate in requests per second."""
        self._decay(now)
        return self._weighted * math.log(2) / RATE_HALF_LIFE_S

    def _decay(self, now):
        self._weighted *= 0.5 ** (max(0.0, now - self._at) / RATE_HALF_LIFE_S)
        self._at = max(self._at, now)


@placement_policies.register("claimed")
def _claimed(loads, context):
    """Return the least loaded of a sample, or None if it is probably taken already.

    Load pattern: nearly all slots are in use. Each slot that becomes free is reported
    to all entries, whose requests wait, and several of them send one there.

    While few slots are free, an entry first uses those that it has released itself and
    not reported, which no other entry knows of, unless it holds more than its share. It
    tries for another slot with a probability that leaves about one entry for each slot.
    """
    loads_by_scope = {scope: [] for scope in Scope}
    for load in loads:
        loads_by_scope[context.scope_of(load)].append(load)
    if _are_slots_scarce(loads_by_scope[Scope.LOCAL]):
        own = [load for load in loads if load.unreported_releases]
        if own and context.own_in_flight < SHARE_SLACK * context.fair_share:
            return _least_loaded(own, context)
    sample = []
    for scope, part in loads_by_scope.items():
        unseen = context.unseen_by_scope.get(scope, 0.0)
        free_slots = sum(load.endpoint.slots - load.in_flight for load in part)
        if context.rng.random() < free_slots / (1 + unseen):
            sample += _sample_of(part, unseen, context)
    return _least_loaded(sample, context) if sample else None


@placement_policies.register("sampled")
def _sampled(loads, context):
    """Return the least loaded of a sample, which is smaller the less is known.

    With nothing unseen, all endpoints are compared. Local and remote endpoints are
    sampled separately, so that the sample always has local ones.
    """
    loads_by_scope = {scope: [] for scope in Scope}
    for load in loads:
        loads_by_scope[context.scope_of(load)].append(load)
    sample = []
    for scope, part in loads_by_scope.items():
        unseen = context.unseen_by_scope.get(scope, 0.0)
        sample += _sample_of(part, unseen, context)
    return _least_loaded(sample, context)


def _sample_of(part, unseen, context):
    size = max(1, round(len(part) / (1 + unseen)))
    return context.rng.sample(part, size) if size < len(part) else part


def _are_slots_scarce(loads):
    """Return whether few slots are free at the endpoints that have any."""
    free_slots = sum(load.endpoint.slots - load.in_flight for load in loads)
    return free_slots < max(1, len(loads)) * SCARCE_SLOTS_PER_ENDPOINT


@placement_policies.register("least-loaded")
def _least_loaded(loads, context):
    """Return the least loaded endpoint's load.

    Ranks run their passes in lock-step, so the fullest endpoint slows all of them.
    """
    return min(loads, key=context.cost)


@placement_policies.register("random")
def _random(loads, context):
    """Return a random endpoint's load; a baseline for comparisons."""
    return context.rng.choice(loads)
