"""Queue policies, which assign requests to the flows of a pool's fair queue."""

from magnoliagrade.registry import Registry

__all__ = ["flow_of", "queue_policies"]

QUEUE_OPTION = "option.queue.policy"
DEFAULT_POLICY = "fair"

queue_policies = Registry(family="queue policy")


@queue_policies.register("fair")
def flow_by_organisation(request):
    """Return the organisation: each organisation has its own flow."""
    return request.organisation


@queue_policies.register("first-come")
def flow_of_all(request):
    """Return one flow for all requests: first come, first served; a baseline."""
    return ""


def flow_of(request, pool):
    """Return the flow of a request in its pool's queue.

    Parameters
    ----------
    request : Request
        The request.
    pool : Pool
        Pool of the request. Its `option.queue.policy` names the policy. An unknown
        name falls back to the default, so that a mistyped option does not stop the
        pool.
    """
    name = pool.options.get(QUEUE_OPTION, DEFAULT_POLICY)
    if name not in queue_policies.by_name:
        name = DEFAULT_POLICY
    return queue_policies.get(name)(request)
