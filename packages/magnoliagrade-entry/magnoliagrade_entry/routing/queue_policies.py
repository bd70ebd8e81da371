"""Queue policies: which requests share a place in a pool's fair queue."""

from magnoliagrade.registry import Registry

__all__ = ["flow_of", "queue_policies"]

QUEUE_OPTION = "option.queue.policy"
DEFAULT_POLICY = "fair"

queue_policies = Registry(family="queue policy")


@queue_policies.register("fair")
def flow_by_organisation(request):
    """Give each organisation a flow of its own."""
    return request.organisation


@queue_policies.register("first-come")
def flow_of_all(request):
    """Serve requests in the order of their arrival; the plain baseline."""
    return ""


def flow_of(request, pool):
    """Return the flow of a request in its pool's queue.

    Parameters
    ----------
    request : Request
        The request.
    pool : Pool
        Its pool, whose `option.queue.policy` names the policy; an unknown name
        counts as the default, so that a slip does not stop the pool.
    """
    name = pool.options.get(QUEUE_OPTION, DEFAULT_POLICY)
    if name not in queue_policies.by_name:
        name = DEFAULT_POLICY
    return queue_policies.get(name)(request)
