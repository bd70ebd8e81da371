"""Routing policies, which choose the endpoint of a pool for a request."""

from typing import Protocol

from magnoliagrade.algorithms import rendezvous_order
from magnoliagrade.registry import Registry

__all__ = ["RoutingPolicy", "routing_policies"]

LOAD_BOUND_RATIO = 1.25

routing_policies = Registry(family="routing policy")


class RoutingPolicy(Protocol):
    """Function that chooses one of several candidate endpoints.

    Called with `request`, `candidates` (a list of `EndpointHandle`, never empty),
    `pool` and `rng`; returns one of the candidates.
    """

    def __call__(self, *, request, candidates, pool, rng):
        """Return the chosen candidate."""


@routing_policies.register("random")
def choose_random(*, request, candidates, pool, rng):
    """Return a random candidate; the simplest baseline."""
    return rng.choice(candidates)


@routing_policies.register("least-loaded")
def choose_least_loaded(*, request, candidates, pool, rng):
    """Return the candidate that reports the fewest tokens in flight; a baseline."""
    return min(
        candidates,
        key=lambda h: (h.endpoint.report.tokens_in_flight, h.endpoint.name),
    )


@routing_policies.register("prefix-affinity")
def choose_by_prefix(*, request, candidates, pool, rng):
    """Return the first candidate in rendezvous order that is not overloaded.

    Notes
    -----
    A candidate with enough credit for the request comes first. If there is none,
    the first candidate is taken whose load, as a fraction of its limit, is at most
    1.25 times the mean (bounded load [1]_). Loads are the agents' last reports,
    corrected by this entry's grants, pending credit requests and ended requests.

    References
    ----------
    .. [1] V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent hashing with
       bounded loads", SODA 2018.
    """
    if not request.prefix_hash or len(candidates) == 1:
        return choose_two_choices(
            request=request, candidates=candidates, pool=pool, rng=rng
        )
    by_name = {h.endpoint.name: h for h in candidates}
    order = [by_name[n] for n in rendezvous_order(request.prefix_hash, by_name)]
    for handle in order:
        if handle.unrequested_credit >= request.cost:
            return handle
    bound = LOAD_BOUND_RATIO * sum(h.load for h in candidates) / len(candidates)
    for handle in order:
        if handle.load <= bound:
            return handle
    return order[0]


@routing_policies.register("two-choices")
def choose_two_choices(*, request, candidates, pool, rng):
    """Return the less loaded of two random candidates."""
    if len(candidates) == 1:
        return candidates[0]
    a, b = rng.sample(candidates, 2)
    return a if a.load <= b.load else b
