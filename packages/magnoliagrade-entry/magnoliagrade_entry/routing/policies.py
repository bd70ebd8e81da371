"""Routing policies: which endpoint of a pool gets a request."""

from typing import Protocol

from magnoliagrade.algorithms import rendezvous_order
from magnoliagrade.registry import Registry

__all__ = ["RoutingPolicy", "routing_policies"]

LOAD_BOUND = 1.25

routing_policies = Registry(family="routing policy")


class RoutingPolicy(Protocol):
    """Function that picks one of several contacts.

    Called with `request`, `candidates` (never empty), `pool` and `rng`; returns an
    `EndpointHandle`.
    """

    def __call__(self, *, request, candidates, pool, rng):
        """Return the chosen contact."""


@routing_policies.register("random")
def choose_random(*, request, candidates, pool, rng):
    """Pick any candidate; the plain baseline."""
    return rng.choice(candidates)


@routing_policies.register("least-loaded")
def choose_least_loaded(*, request, candidates, pool, rng):
    """Pick the candidate with the least load in its own reports; a baseline."""
    return min(
        candidates,
        key=lambda h: (h.endpoint.report.tokens_in_flight, h.endpoint.name),
    )


@routing_policies.register("prefix-affinity")
def choose_by_prefix(*, request, candidates, pool, rng):
    """Pick the first place in rendezvous order that is not overloaded.

    Notes
    -----
    A place has room for the request, or its load as a fraction of its limit is at
    most 1.25 times the mean (bounded load [1]_). Loads are what agents last said,
    corrected by what this entry was granted, sent and saw end since.

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
        if handle.room >= request.cost:
            return handle
    bound = LOAD_BOUND * sum(h.load for h in candidates) / len(candidates)
    for handle in order:
        if handle.load <= bound:
            return handle
    return order[0]


@routing_policies.register("two-choices")
def choose_two_choices(*, request, candidates, pool, rng):
    """Pick the less loaded of two random candidates."""
    if len(candidates) == 1:
        return candidates[0]
    a, b = rng.sample(candidates, 2)
    return a if a.load <= b.load else b
