"""Services that requests of different urgency share.

Load pattern: a burst of less urgent requests fills the queues of the endpoints, and
more urgent requests wait behind them there. All organisations have the same priority,
so that only the routes tell urgent requests from others.
"""

__all__ = ["LEAST_URGENT_LEVEL", "urgency_levels"]

# Level of the requests that endpoints admit last; 0 is admitted first.
LEAST_URGENT_LEVEL = 9


def urgency_levels(configuration):
    """Return the level of each urgency that the requests of a service may have.

    Parameters
    ----------
    configuration : SiteConfiguration
        The configuration in force.

    Returns
    -------
    level_by_urgency_by_service : dict of str to dict
        Levels from 0 to `LEAST_URGENT_LEVEL` by `DirectRequest.urgency`, for services
        whose requests differ in it. Levels that are close may be the same if a service
        has more urgencies than there are levels.
    """
    organisations = (configuration.organisation_by_key or {}).values()
    overriding = {o.priority for o in organisations if o.priority is not None}
    has_others = not overriding or any(o.priority is None for o in organisations)
    urgencies_by_service = {}
    for route in configuration.routes:
        urgencies = {(priority, route.priority) for priority in overriding}
        if has_others or route.is_public:
            urgencies.add((route.priority, route.priority))
        for share in route.shares:
            if share.weight > 0:
                urgencies_by_service.setdefault(share.service, set()).update(urgencies)
    return {
        service: _levels(urgencies)
        for service, urgencies in urgencies_by_service.items()
        if len(urgencies) > 1
    }


def _levels(urgencies):
    last = len(urgencies) - 1
    return {
        urgency: round(LEAST_URGENT_LEVEL * index / last)
        for index, urgency in enumerate(sorted(urgencies))
    }
